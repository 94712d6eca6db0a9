"""When callers may come back to a host that has just started.

The load that this answers: all hosts and engines have lost power and are back, and the
callers as well. One that is told to return too soon is refused a second time, and most
return only once.
"""

# After this a host that knows nothing has another reason for it.
STARTING_S = 4.0
# From logs of such starts: a configuration is there after 0.5 s, backend servers have
# announced themselves after 1.2 s, an engine has its model from its disk after 2.5 s.
PLAIN_READY_S = 1.2
ENGINE_READY_S = 2.5
# Otherwise what a host lacks comes with its next exchange with the leader or two.
USUAL_RETRY_S = 0.5


def startup_retry_after_s(began_s: float, now_s: float, *, needs_engine: bool) -> float:
    """Return when a caller may come back to a host that lacks what others told it."""
    if now_s - began_s > STARTING_S:
        return USUAL_RETRY_S
    ready_s = began_s + (ENGINE_READY_S if needs_engine else PLAIN_READY_S)
    return max(USUAL_RETRY_S, ready_s - now_s)
