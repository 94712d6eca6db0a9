"""Hybrid logical clock: orders events of many processes without synced clocks."""

import threading
from collections.abc import Callable

_LOGICAL_BITS = 16
_NANOS_PER_SECOND = 1_000_000_000


class HybridClock:
    """Never goes backwards, and passes every stamp that it has observed."""

    def __init__(self, wall_s: Callable[[], float]) -> None:
        self._wall_s = wall_s
        self._lock = threading.Lock()
        self._last = 0

    def tick(self) -> int:
        """Return a stamp greater than each one returned or observed before."""
        wall = int(self._wall_s() * _NANOS_PER_SECOND) >> _LOGICAL_BITS
        with self._lock:
            self._last = max(self._last + 1, wall << _LOGICAL_BITS)
            return self._last

    def observe(self, stamp: int) -> None:
        """Move past a stamp that came from another process."""
        with self._lock:
            self._last = max(self._last, stamp)


def stamp_to_wall_s(stamp: int) -> float:
    """Return the wall time in seconds that a stamp stands for."""
    return stamp / _NANOS_PER_SECOND


def wall_s_to_stamp(wall_s: float) -> int:
    """Return the stamp of a wall time in seconds."""
    return int(wall_s * _NANOS_PER_SECOND)
