"""Hybrid logical clock: orders events of processes whose clocks are not in sync."""

import threading
from collections.abc import Callable

# A stamp is wall time in nanoseconds. Its lowest bits, about 65 microseconds, count the
# stamps that are issued at the same time.
_LOGICAL_BITS = 16
_NANOS_PER_SECOND = 1_000_000_000


class HybridClock:
    """Issues stamps that increase strictly and exceed every observed stamp."""

    def __init__(self, wall_s: Callable[[], float]) -> None:
        self._wall_s = wall_s
        self._lock = threading.Lock()
        self._last_stamp = 0

    def tick(self) -> int:
        """Return a stamp greater than all stamps returned or observed before."""
        wall = int(self._wall_s() * _NANOS_PER_SECOND) >> _LOGICAL_BITS
        with self._lock:
            self._last_stamp = max(self._last_stamp + 1, wall << _LOGICAL_BITS)
            return self._last_stamp

    def observe(self, stamp: int) -> None:
        """Advance the clock to a stamp received from another process."""
        with self._lock:
            self._last_stamp = max(self._last_stamp, stamp)


def stamp_to_wall_s(stamp: int) -> float:
    """Return the wall time of a stamp in seconds."""
    return stamp / _NANOS_PER_SECOND


def wall_s_to_stamp(wall_s: float) -> int:
    """Return the stamp of a wall time in seconds."""
    return int(wall_s * _NANOS_PER_SECOND)
