"""Decides when settled claims and finished jobs may be deleted."""

from collections import deque

CHECKPOINT_INTERVAL_S = 60.0


class Retention:
    """Records the applied log index at regular intervals.

    A new leader starts without checkpoints, so work is kept for at least the
    retention period after each change of the leader.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._checkpoints: deque[tuple[float, int]] = deque()

    def through_index(self, applied_index: int, now_s: float) -> int | None:
        """Return the index through which settled work expired; None if unchanged."""
        if (
            not self._checkpoints
            or now_s - self._checkpoints[-1][0] >= CHECKPOINT_INTERVAL_S
        ):
            self._checkpoints.append((now_s, applied_index))
        expired_index = None
        while (
            self._checkpoints and now_s - self._checkpoints[0][0] >= self._retention_s
        ):
            expired_index = self._checkpoints.popleft()[1]
        return expired_index
