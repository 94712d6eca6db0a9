"""What a backend server tolerates while it is cold, and until when it is cold.

A backend server is cold for some time after it has started, and may become cold again.
Its announcements state for how much longer. One that has stated nothing is cold for the
configured time after its start. Its start time is by its own clock, of which this host
knows no more than that it is ASSUMED_SKEW_S off at most.
"""

import math
from collections.abc import Mapping

# The length of the windows for which the bound holds.
WINDOW_S = 1.0
# The clocks of a backend server and of a host differ by no more.
ASSUMED_SKEW_S = 1.0
# Stands for a time before all others.
NEVER_S = -1e9
# A longer time cannot be stated.
MAX_COLD_S = 3600.0
# The end of a cold time moves by less than this from one announcement to the next.
END_JITTER_S = 0.3


class ColdRule:
    """What is configured about the cold backend servers of a service."""

    __slots__ = ("start_s", "per_s")

    def __init__(self, start_s: float, per_s: float) -> None:
        # For how long one is cold after a start.
        self.start_s = start_s
        # Requests a second, from all hosts, that a cold one tolerates; above 0.
        self.per_s = per_s


class ColdBound:
    """How many requests a cold backend server may get in WINDOW_S."""

    __slots__ = ("excess", "slack")

    def __init__(self, excess: float = 1.0, slack: float = 0.0) -> None:
        for value in (excess, slack):
            if not 0 <= value < math.inf:
                raise ValueError(f"{value} is not finite and at least 0")
        self.excess = excess
        self.slack = slack

    def most(self, per_s: float) -> int:
        """Return the most requests in any window if it tolerates ``per_s``."""
        return max(0, math.floor(per_s * self.excess + self.slack))


class ColdTime:
    """Until when one incarnation of a backend server is cold, as far as is known."""

    __slots__ = ("rule", "_started_s", "_stated_until_s")

    def __init__(self, rule: ColdRule | None, started_s: float = NEVER_S) -> None:
        # None if nothing is configured: then it is never cold.
        self.rule = rule
        # When it started, by this host's clock.
        self._started_s = started_s
        # None if it has stated nothing.
        self._stated_until_s: float | None = None

    def until_s(self) -> float:
        """Return the end of the cold time; NEVER_S if there was none."""
        if self.rule is None:
            return NEVER_S
        if self._stated_until_s is not None:
            return self._stated_until_s
        return self._started_s + self.rule.start_s

    def note_stated(self, left_s: float | None, announced_s: float) -> bool:
        """Apply a newer announcement; return whether the end has changed.

        ``left_s`` is the rest of the cold time at ``announced_s``. An announcement that
        states nothing changes nothing.
        """
        if left_s is None:
            return False
        previous_s = self.until_s()
        until_s = announced_s + left_s if left_s else min(previous_s, announced_s)
        self._stated_until_s = until_s
        change_s = max(until_s, announced_s) - max(previous_s, announced_s)
        return abs(change_s) > END_JITTER_S

    def per_s(self, now_s: float) -> float | None:
        """Return the requests a second that it tolerates; None if it is not cold."""
        if self.rule is None or now_s >= self.until_s():
            return None
        return self.rule.per_s

    def stated_left_s(self, now_s: float) -> float | None:
        """Return the rest of the stated cold time; None if nothing is stated."""
        if self._stated_until_s is None:
            return None
        return max(0.0, self._stated_until_s - now_s)


def started_by_own_clock_s(started_at_ms: int, unix_s: float, now_s: float) -> float:
    """Return when a backend server started at the latest, by this host's clock.

    ``started_at_ms`` is the Unix time by the backend server's clock, 0 if unknown, and
    ``unix_s`` the Unix time of this host at ``now_s``. The result may be later than the
    true start by twice ASSUMED_SKEW_S, and is never in the future.
    """
    if started_at_ms <= 0:
        return NEVER_S
    age_s = unix_s - started_at_ms / 1000.0 - ASSUMED_SKEW_S
    return now_s - max(0.0, age_s)


def lower_limit(one: float | None, other: float | None) -> float | None:
    """Return the lower of two limits; None stands for no limit."""
    if one is None or other is None:
        return other if one is None else one
    return min(one, other)


#: The rules of the services that have one, by the name of the service.
ColdRules = Mapping[str, ColdRule]

__all__ = [
    "MAX_COLD_S",
    "WINDOW_S",
    "ColdBound",
    "ColdRule",
    "ColdRules",
    "ColdTime",
    "lower_limit",
    "started_by_own_clock_s",
]
