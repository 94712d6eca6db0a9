"""When settled claims and finished jobs may be forgotten."""

from collections import deque

MARK_S = 60.0


class Retention:
    """Remembers how far the log was at regular times.

    A new leader starts without marks, so work is kept for at least the retention
    after each change of the leader.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._marks: deque[tuple[float, int]] = deque()

    def through_index(self, applied_index: int, now_s: float) -> int | None:
        """Return the index up to which settled work is old enough, if that moved."""
        if not self._marks or now_s - self._marks[-1][0] >= MARK_S:
            self._marks.append((now_s, applied_index))
        through = None
        while self._marks and now_s - self._marks[0][0] >= self._retention_s:
            through = self._marks.popleft()[1]
        return through
