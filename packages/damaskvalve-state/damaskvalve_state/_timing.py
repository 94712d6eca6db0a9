"""Consensus timing, and the output of a consensus step."""

from typing import Any

from damaskvalve_core.messages import JournalRecord, LogEntry, Member, SnapshotFile


class Timing:
    """Timeouts and intervals of the consensus."""

    __slots__ = ("election_timeout_s", "heartbeat_s", "lease_s", "resend_s")

    def __init__(
        self,
        election_timeout_s: float = 1.0,
        heartbeat_s: float = 0.15,
        max_drift: float = 0.1,
    ) -> None:
        if heartbeat_s * 3 > election_timeout_s:
            raise ValueError(
                "heartbeat_s must be at most a third of election_timeout_s"
            )
        self.election_timeout_s = election_timeout_s
        self.heartbeat_s = heartbeat_s
        # Shorter than the election timeout by the fraction max_drift, to tolerate
        # clocks whose rates differ.
        self.lease_s = election_timeout_s * (1 - max_drift)
        # An unanswered request is sent again after this time.
        self.resend_s = election_timeout_s / 2


class Output:
    """Work that a consensus step hands to its driver.

    The driver writes and syncs ``install`` and ``records`` before it sends
    ``messages``; it may send ``early_messages`` before that. It applies
    ``committed`` last.
    """

    __slots__ = ("install", "records", "early_messages", "messages", "committed")

    def __init__(self) -> None:
        self.install: SnapshotFile | None = None
        self.records: list[JournalRecord] = []
        self.early_messages: list[tuple[Member, Any]] = []
        self.messages: list[tuple[Member, Any]] = []
        self.committed: list[LogEntry] = []
