"""How long a stream may be silent before its backend server counts as stalled.

All limits follow from the route's own terms, so that a route that allows long pauses
or long prompts is not cut by a limit made for a quick one. A stream that may run again
goes on elsewhere while its caller still waits; one that may not is held for as long as
callers do.
"""

from damaskvalve_gateway._exchange import Exchange

# Callers give a stream up after a silence of the longest of these.
PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
# A little longer than callers wait, so that their leaving is seen first.
PATIENCE_MARGIN = 1.1
# A permit is given when the prompt can be read, so the first event is due well within
# the objective; half as long again means that the engine has stopped.
FIRST_EVENT_OBJECTIVES = 1.5
LEAST_FIRST_EVENT_S = 1.5
# The slowest reading of prompts that counts as sound.
LEAST_PROMPT_TOKENS_PER_S = 10_000.0
# A limit that is noticed so much too late says that this process stood still, not that
# the backend server did.
OWN_PAUSE_S = 0.3


class StallWatch:
    """The time within which the next event of a stream has to come."""

    __slots__ = ("limit_s", "_until_s")

    def __init__(self, limit_s: float, now_s: float) -> None:
        self.limit_s = limit_s
        self._until_s = now_s + limit_s

    def left_s(self, now_s: float) -> float:
        """Return how long until the stream counts as stalled."""
        return max(0.0, self._until_s - now_s)

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the time is over; it starts again after an own pause."""
        if now_s - self._until_s > OWN_PAUSE_S:
            self._until_s = now_s + self.limit_s
        return now_s >= self._until_s


def first_event_limit_s(exchange: Exchange) -> float:
    """Return how long after a send the first event may take."""
    if not exchange.may_run_again():
        return _patience_s(exchange)
    if exchange.first_event_s is not None:
        return pause_limit_s(exchange)
    objective_s = FIRST_EVENT_OBJECTIVES * exchange.route.objective_s
    reading_s = (exchange.request.prompt_tokens or 0) / LEAST_PROMPT_TOKENS_PER_S
    return max(LEAST_FIRST_EVENT_S, objective_s) + reading_s


def pause_limit_s(exchange: Exchange) -> float:
    """Return how long a stream may pause between two events."""
    if not exchange.may_run_again():
        return _patience_s(exchange)
    pause_s = exchange.route.pause_s
    if pause_s is None:
        return _patience_s(exchange)
    return PATIENCE_MARGIN * max(PATIENCE_S, PATIENCE_PAUSES * pause_s)


def _patience_s(exchange: Exchange) -> float:
    """Return how long callers wait for the next event."""
    route = exchange.route
    longest_s = max(
        PATIENCE_S,
        PATIENCE_OBJECTIVES * route.objective_s,
        PATIENCE_PAUSES * (route.pause_s or 0.0),
    )
    return PATIENCE_MARGIN * longest_s
