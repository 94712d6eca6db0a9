"""Detection of stalled streams.

All limits follow from the settings of the route, so that streams with long pauses or
long prompts are not cut by a limit for quick ones. A stalled stream that may run again
is restarted on another backend server while its caller still waits, if there is one.
Any other stream is kept open for as long as callers wait.
"""

from damaskvalve_gateway._exchange import Exchange

# Callers close a stream after the longest of these times without an event: a fixed
# time, a multiple of the route's objective, and a multiple of its longest pause.
CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4.0
CALLER_TIMEOUT_PAUSES = 8.0
# Factor on the time that callers wait, so that this host sees the disconnect first.
CALLER_TIMEOUT_MARGIN = 1.1
# A permit is granted when the engine can read the prompt, so the first event is due
# well within the objective. An engine that takes half as long again has stopped.
FIRST_EVENT_OBJECTIVES = 1.5
MIN_FIRST_EVENT_S = 1.5
# The slowest prefill of a healthy engine.
MIN_PREFILL_TOKENS_PER_S = 10_000.0
# If a limit is noticed this much too late, this process was suspended, not the backend
# server.
PROCESS_PAUSE_S = 0.3
# Interval between checks whether a stream that has stalled can go on elsewhere.
STALLED_CHECK_INTERVAL_S = 0.5


class StallWatch:
    """The deadline for the next event of a stream."""

    __slots__ = ("limit_s", "_until_s")

    def __init__(self, limit_s: float, now_s: float) -> None:
        self.limit_s = limit_s
        self._until_s = now_s + limit_s

    def left_s(self, now_s: float) -> float:
        """Return how long until the stream counts as stalled."""
        return max(0.0, self._until_s - now_s)

    def extend(self, longest_s: float) -> bool:
        """Wait for one more interval, or return False if the limit is the longest."""
        longer_s = min(STALLED_CHECK_INTERVAL_S, longest_s - self.limit_s)
        if longer_s <= 0:
            return False
        self.limit_s += longer_s
        self._until_s += longer_s
        return True

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the stream stalled; restart the wait after a suspension."""
        if now_s - self._until_s > PROCESS_PAUSE_S:
            self._until_s = now_s + self.limit_s
        return now_s >= self._until_s


def first_event_limit_s(exchange: Exchange) -> float:
    """Return how long after the start of an attempt its first event may arrive."""
    if not exchange.may_run_again():
        return caller_timeout_s(exchange)
    if exchange.first_event_s is not None:
        return pause_limit_s(exchange)
    objective_s = FIRST_EVENT_OBJECTIVES * exchange.route.objective_s
    prefill_s = (exchange.request.prompt_tokens or 0) / MIN_PREFILL_TOKENS_PER_S
    return max(MIN_FIRST_EVENT_S, objective_s) + prefill_s


def pause_limit_s(exchange: Exchange) -> float:
    """Return how long a stream may pause between two events."""
    if not exchange.may_run_again():
        return caller_timeout_s(exchange)
    pause_s = exchange.route.pause_s
    if pause_s is None:
        return caller_timeout_s(exchange)
    return CALLER_TIMEOUT_MARGIN * max(
        CALLER_TIMEOUT_S, CALLER_TIMEOUT_PAUSES * pause_s
    )


def caller_timeout_s(exchange: Exchange) -> float:
    """Return how long callers wait for the next event."""
    route = exchange.route
    longest_s = max(
        CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_OBJECTIVES * route.objective_s,
        CALLER_TIMEOUT_PAUSES * (route.pause_s or 0.0),
    )
    return CALLER_TIMEOUT_MARGIN * longest_s
