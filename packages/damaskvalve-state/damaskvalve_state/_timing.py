"""The times that agreement runs by, and what a step asks of its driver."""

from typing import Any

from damaskvalve_core.messages import JournalRecord, LogEntry, Member, SnapshotFile


class Timing:
    """The times that agreement runs by, all in seconds."""

    __slots__ = ("election_timeout_s", "heartbeat_s", "lease_s", "resend_s")

    def __init__(
        self,
        election_timeout_s: float = 1.0,
        heartbeat_s: float = 0.15,
        max_drift: float = 0.1,
    ) -> None:
        if heartbeat_s * 3 > election_timeout_s:
            raise ValueError("heartbeat_s must be at most a third of the timeout")
        self.election_timeout_s = election_timeout_s
        self.heartbeat_s = heartbeat_s
        # Shorter than the timeout, so that clocks may drift apart by max_drift.
        self.lease_s = election_timeout_s * (1 - max_drift)
        # After this long a request without an answer is sent again.
        self.resend_s = election_timeout_s / 2


class Output:
    """What a step asks of its driver, in this order.

    ``install`` and ``records`` are written and synced before ``messages`` go
    out; ``early_messages`` may go out before that.
    """

    __slots__ = ("install", "records", "early_messages", "messages", "committed")

    def __init__(self) -> None:
        self.install: SnapshotFile | None = None
        self.records: list[JournalRecord] = []
        self.early_messages: list[tuple[Member, Any]] = []
        self.messages: list[tuple[Member, Any]] = []
        self.committed: list[LogEntry] = []
