"""Which idle connections may carry a request.

A backend server may drop an idle connection without notice; what is sent next on it is
lost. Whether the request has run is then unknown.
"""

from damaskvalve_gateway._exchange import Exchange

# A connection that has been idle for longer than this is not used for a request that
# may not be repeated.
UNSAFE_MAX_IDLE_S = 0.5
# The same limit for the last run that the route of a repeatable request allows.
LAST_RUN_MAX_IDLE_S = 4.0
# The same limit for requests that may be repeated.
MAX_IDLE_S = 60.0


def max_idle_s(exchange: Exchange) -> float:
    """Return how long a connection may have been idle that carries the next run."""
    if not exchange.route.is_repeatable():
        return UNSAFE_MAX_IDLE_S
    is_last = exchange.runs + 1 >= exchange.route.max_attempts
    return LAST_RUN_MAX_IDLE_S if is_last else MAX_IDLE_S
