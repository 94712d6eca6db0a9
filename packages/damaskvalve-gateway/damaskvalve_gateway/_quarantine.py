"""Quarantine of requests that crash backend servers."""

from collections.abc import Mapping

from damaskvalve_core import RefusedError
from damaskvalve_core.messages import SuspectRecord
from damaskvalve_gateway._backend import ANNOUNCEMENT_TIMEOUT_S
from damaskvalve_gateway._crashes import REFUSED_AT, CrashTracker

# A request in quarantine is tried once more after this time. If that run breaks too,
# the request is refused again at once.
QUARANTINE_S = 600.0
# A request is refused without proof for this long. Within this time it becomes known
# whether backend servers or only connections ended, and the leader commits the result.
UNPROVED_REFUSAL_S = ANNOUNCEMENT_TIMEOUT_S + 2.0
# The shortest Retry-After: the leader commits the end of a quarantine within this time
# after it is due.
MIN_QUARANTINE_RETRY_S = 0.5


class SuspectStatus:
    """A committed record about a request, and since when this host has it."""

    __slots__ = ("record", "since_s")

    def __init__(self, record: SuspectRecord, since_s: float) -> None:
        self.record = record
        # When the record last changed, by this host's boot clock.
        self.since_s = since_s

    def left_s(self, now_s: float) -> float:
        """Return the time until a quarantine, or a refusal without proof, ends."""
        length_s = QUARANTINE_S if self.record.quarantined else UNPROVED_REFUSAL_S
        return max(0.0, self.since_s + length_s - now_s)

    def is_refused(self, now_s: float) -> bool:
        """Return whether the request is refused.

        A refusal without proof ends after UNPROVED_REFUSAL_S, because a host that is
        cut off does not learn whether the leader has found proof.
        """
        if self.record.quarantined:
            return True
        return bool(self.record.refused) and self.left_s(now_s) > 0


def drop_cleared_runs(
    tracker: CrashTracker,
    current: Mapping[str, SuspectStatus],
    records: Mapping[str, SuspectRecord],
) -> None:
    """Remove runs of this host that the leader has cleared.

    For a request that leaves quarantine, the newest REFUSED_AT - 1 runs are kept, as in
    the leader's tracker, so that the request is tried once more.
    """
    for fingerprint, suspect in current.items():
        record = records.get(fingerprint)
        if record is None:
            tracker.forget(fingerprint)
        elif suspect.record.quarantined and not record.quarantined:
            tracker.keep_newest(fingerprint, REFUSED_AT - 1)


def updated_statuses(
    current: Mapping[str, SuspectStatus],
    records: Mapping[str, SuspectRecord],
    now_s: float,
) -> dict[str, SuspectStatus]:
    """Return the statuses for newly committed records, keeping unchanged ones."""
    return {
        fingerprint: (
            current[fingerprint]
            if fingerprint in current and current[fingerprint].record == record
            else SuspectStatus(record, now_s)
        )
        for fingerprint, record in records.items()
    }


def check_quarantine(
    fingerprint: str,
    tracker: CrashTracker,
    suspect_statuses: Mapping[str, SuspectStatus],
    now_s: float,
) -> None:
    """Raise :class:`RefusedError` if a request is likely to crash a backend server."""
    suspect = suspect_statuses.get(fingerprint)
    if suspect is not None and suspect.is_refused(now_s):
        wait_s = max(MIN_QUARANTINE_RETRY_S, suspect.left_s(now_s))
    elif suspect is not None and suspect.record.crashes >= tracker.count(fingerprint):
        # The leader decides: it knows of at least as many runs as this host, and of
        # requests that ran at the same time on other hosts.
        return
    elif tracker.is_refused(fingerprint):
        wait_s = UNPROVED_REFUSAL_S
    else:
        return
    raise RefusedError(
        503,
        "crashing_request",
        f"request {fingerprint} crashed the backend servers that ran it",
        retry_after_s=wait_s,
    )
