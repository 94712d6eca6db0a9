"""What one host knows about the load and the speed of backend servers.

The figures come with the replies to this host's requests. A host sends to one engine
every few seconds, so each figure loses its weight quickly: without a fresh one, a
server counts as idle, and the next request to it is what brings the next figure.
"""

from collections.abc import Sequence

from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._incarnations import Incarnation

# A stated backlog shrinks as the engine works on it, and loses half of its weight over
# each of these times: other hosts send there too, or no longer do.
BACKLOG_HALF_LIFE_S = 0.5
# Weight of the newest time to a first event in the average, and the time over which an
# average that is not renewed loses half of its weight.
FIRST_EVENT_WEIGHT = 0.3
FIRST_EVENT_HALF_LIFE_S = 5.0
# At least this many have to be known for a typical time to a first event.
MIN_KNOWN_ENGINES = 3
# A server counts as slow only above this multiple of the typical time.
SLOW_FACTOR = 1.5
# What is known of an engine is dropped after this time without a reply from it.
RETENTION_S = 60.0


class ServerLoad:
    """The load and speed of one incarnation of a backend server."""

    __slots__ = (
        "_backlog_s",
        "_backlog_at_s",
        "_first_event_s",
        "_first_event_at_s",
        "_used_s",
    )

    def __init__(self, now_s: float) -> None:
        # The agent's last prediction; None if it has made none.
        self._backlog_s: float | None = None
        self._backlog_at_s = now_s
        # From the permit to the first event, as a moving average; None if unknown.
        self._first_event_s: float | None = None
        self._first_event_at_s = now_s
        self._used_s = now_s

    def note_reply(self, backlog_s: float | None, now_s: float) -> None:
        """Record what an agent's reply says; an agent of an earlier release omits it.

        ``backlog_s`` is how long a typical request would wait there.
        """
        self._used_s = now_s
        if backlog_s is None:
            return
        self._backlog_s = max(0.0, backlog_s)
        self._backlog_at_s = now_s

    def note_first_event(self, took_s: float, now_s: float) -> None:
        """Record how long a first event, or a whole reply, took."""
        self._used_s = now_s
        known_s = self._first_event_s
        if known_s is None:
            known_s = took_s
        self._first_event_s = known_s + FIRST_EVENT_WEIGHT * (took_s - known_s)
        self._first_event_at_s = now_s

    def backlog_s(self, now_s: float) -> float:
        """Return the expected wait for a start; 0 if nothing recent is known."""
        age_s = max(0.0, now_s - self._backlog_at_s)
        if self._backlog_s is None or self._backlog_s <= age_s:
            return 0.0
        return (self._backlog_s - age_s) * _weight(age_s, BACKLOG_HALF_LIFE_S)

    def first_event_s(self) -> float | None:
        """Return the usual time from a permit to the first event; None if unknown."""
        return self._first_event_s

    def slowness_s(
        self, typical_s: float, now_s: float, slow_factor: float = SLOW_FACTOR
    ) -> float:
        """Return by how much first events come later than at a typical server."""
        own_s = self._first_event_s
        if own_s is None or own_s <= slow_factor * typical_s:
            return 0.0
        age_s = max(0.0, now_s - self._first_event_at_s)
        return (own_s - typical_s) * _weight(age_s, FIRST_EVENT_HALF_LIFE_S)

    def is_outdated(self, now_s: float) -> bool:
        """Return whether no reply has come for so long that nothing is known."""
        return now_s - self._used_s > RETENTION_S


class ServerLoads:
    """The load of each server that this host has used."""

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        self._loads: dict[Incarnation, ServerLoad] = {}

    def of(self, backend: Backend, now_s: float) -> ServerLoad:
        """Return the load of a server, to be updated."""
        load = self._loads.get(backend.incarnation())
        if load is None:
            for key in [k for k, v in self._loads.items() if v.is_outdated(now_s)]:
                del self._loads[key]
            load = self._loads[backend.incarnation()] = ServerLoad(now_s)
        return load

    def wait_s(
        self,
        backend: Backend,
        typical_s: float,
        now_s: float,
        slow_factor: float = SLOW_FACTOR,
    ) -> float:
        """Return how much later than at an idle, typical server a first event comes."""
        load = self._loads.get(backend.incarnation())
        if load is None:
            return 0.0
        return load.backlog_s(now_s) + load.slowness_s(typical_s, now_s, slow_factor)

    def typical_first_event_s(
        self, backends: Sequence[Backend], min_known: int = MIN_KNOWN_ENGINES
    ) -> float:
        """Return the median time to a first event; infinite if too few are known."""
        found = [self._loads.get(item.incarnation()) for item in backends]
        known_s = [load.first_event_s() for load in found if load is not None]
        times_s = [item for item in known_s if item is not None]
        if len(times_s) < min_known:
            return float("inf")
        times_s.sort()
        return times_s[(len(times_s) - 1) // 2]


def _weight(age_s: float, half_life_s: float) -> float:
    weight: float = 0.5 ** (age_s / half_life_s)
    return weight
