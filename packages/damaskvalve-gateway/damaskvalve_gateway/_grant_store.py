"""A host's side of request limits: the grants that it holds.

A grant is valid for a short time from when the host asked for it, so that a suspended
or delayed host does not use it late. What a request did not use is left for the next
one; what nobody used goes back to the leader.
"""

import collections
import math

from damaskvalve_gateway._incarnations import Incarnation

# A grant may be used for this long after the host asked for it.
GRANT_LIFETIME_S = 0.5
# Grants are asked for in advance if this host sends more often than this.
PREFETCH_SENDS_PER_S = 20.0
PREFETCH_S = 0.1
# Time constant of the average of sends a second.
SENDS_AVERAGING_S = 1.0
# Number of backend servers whose grants are kept.
MAX_INCARNATIONS = 4096
# Number of refused claims that are kept for each of them.
MAX_CLAIMS = 256


class _Held:
    """The grants for one backend server."""

    __slots__ = ("expires_s", "unused", "limit_per_s", "empty_until_s", "sends", "at_s")

    def __init__(self) -> None:
        # When each grant expires, the first to expire at the left.
        self.expires_s: collections.deque[float] = collections.deque()
        # Number of expired grants that have not been returned.
        self.unused = 0
        # The limit for which the grants were made.
        self.limit_per_s: float | None = None
        # The time until which a claim, as (priority, workspace), is refused.
        self.empty_until_s: dict[tuple[int, str], float] = {}
        # Decaying number of sends, and the time of the last one.
        self.sends = 0.0
        self.at_s = 0.0


class GrantStore:
    """The grants of a host, and when refused claims may be made again."""

    def __init__(self) -> None:
        self._held: collections.OrderedDict[Incarnation, _Held] = (
            collections.OrderedDict()
        )

    def _of(self, incarnation: Incarnation) -> _Held:
        held = self._held.get(incarnation)
        if held is None:
            held = self._held[incarnation] = _Held()
            if len(self._held) > MAX_INCARNATIONS:
                self._held.popitem(last=False)
        return held

    def add(
        self,
        incarnation: Incarnation,
        limit_per_s: float,
        count: int,
        asked_s: float,
        now_s: float,
    ) -> None:
        """Add grants; they are valid from the time at which they were asked for."""
        held = self._of(incarnation)
        self.set_limit(incarnation, limit_per_s)
        if now_s < asked_s + GRANT_LIFETIME_S:
            held.expires_s.extend([asked_s + GRANT_LIFETIME_S] * count)
        else:
            held.unused += count

    def set_limit(self, incarnation: Incarnation, limit_per_s: float) -> None:
        """Return all grants if they were made for a higher limit."""
        held = self._of(incarnation)
        if held.limit_per_s is not None and limit_per_s < held.limit_per_s:
            held.unused += len(held.expires_s)
            held.expires_s.clear()
        held.limit_per_s = limit_per_s

    def take(self, incarnation: Incarnation, now_s: float) -> float | None:
        """Take one grant and return when it expires; return None if there is none."""
        held = self._held.get(incarnation)
        if held is None:
            return None
        while held.expires_s and held.expires_s[0] <= now_s:
            held.expires_s.popleft()
            held.unused += 1
        return held.expires_s.popleft() if held.expires_s else None

    def put_back(
        self, incarnation: Incarnation, expires_s: float, now_s: float
    ) -> None:
        """Keep a grant that its request did not use."""
        held = self._of(incarnation)
        if now_s < expires_s:
            held.expires_s.appendleft(expires_s)
        else:
            held.unused += 1

    def take_unused(self, now_s: float) -> dict[Incarnation, int]:
        """Return and forget the number of expired grants of each backend server."""
        unused = {}
        for incarnation, held in self._held.items():
            while held.expires_s and held.expires_s[0] <= now_s:
                held.expires_s.popleft()
                held.unused += 1
            if held.unused:
                unused[incarnation] = held.unused
                held.unused = 0
        return unused

    def note_sent(self, incarnation: Incarnation, now_s: float) -> None:
        """Count a request that was sent to a limited backend server."""
        held = self._of(incarnation)
        held.sends = 1.0 + held.sends * _decay(now_s - held.at_s)
        held.at_s = now_s

    def wanted(self, incarnation: Incarnation, now_s: float) -> int:
        """Return for how many requests to ask: one, and more on a busy host."""
        held = self._of(incarnation)
        sends_per_s = held.sends * _decay(now_s - held.at_s) / SENDS_AVERAGING_S
        if sends_per_s < PREFETCH_SENDS_PER_S:
            return 1
        return 1 + math.ceil(PREFETCH_S * sends_per_s)

    def note_refused(
        self, incarnation: Incarnation, claim: tuple[int, str], until_s: float
    ) -> None:
        """Record until when a claim, as (priority, workspace), is refused."""
        empty_until_s = self._of(incarnation).empty_until_s
        empty_until_s.pop(claim, None)
        empty_until_s[claim] = until_s
        if len(empty_until_s) > MAX_CLAIMS:
            del empty_until_s[next(iter(empty_until_s))]

    def empty_until_s(self, incarnation: Incarnation, claim: tuple[int, str]) -> float:
        """Return the time until which a claim is refused; 0 if it is not."""
        held = self._held.get(incarnation)
        return 0.0 if held is None else held.empty_until_s.get(claim, 0.0)


def _decay(passed_s: float) -> float:
    return math.exp(-max(0.0, passed_s) / SENDS_AVERAGING_S)


__all__ = ["GrantStore"]
