"""Whether a request may be sent, by what is known of runs of it that did not end."""

from collections.abc import Mapping

from damaskvalve_core import RefusedError
from damaskvalve_core.messages import SuspectRecord
from damaskvalve_gateway._backends import SILENT_S
from damaskvalve_gateway._crashes import REFUSED_AT, CrashTracker

# After this a request in quarantine is tried once more; if it ends another backend
# server, it goes back at once.
QUARANTINE_S = 600.0
# Within this it is clear whether backend servers have ended or only a connection, and
# the leader has said so.
UNPROVED_S = SILENT_S + 2.0
# The leader takes a request out of quarantine within this after its time.
LEAST_WAIT_S = 0.5


class SuspectStatus:
    """What was committed about a request, and since when this host knows it."""

    __slots__ = ("record", "since_s")

    def __init__(self, record: SuspectRecord, since_s: float) -> None:
        self.record = record
        # Since it stands as it does, by this host's boot clock.
        self.since_s = since_s

    def left_s(self, now_s: float) -> float:
        """Return how long this is meant to stand still."""
        length_s = QUARANTINE_S if self.record.quarantined else UNPROVED_S
        return max(0.0, self.since_s + length_s - now_s)

    def is_refused(self, now_s: float) -> bool:
        """Return whether the request is refused.

        Without proof only for a time: a host that is cut off hears of no proof, but
        neither that there is none.
        """
        if self.record.quarantined:
            return True
        return bool(self.record.refused) and self.left_s(now_s) > 0


def give_way(
    tracker: CrashTracker,
    held: Mapping[str, SuspectStatus],
    records: Mapping[str, SuspectRecord],
) -> None:
    """Take back in a host's own book what the leader has taken back.

    A request that leaves quarantine is tried once more, as the leader's book has it.
    """
    for fingerprint, suspicion in held.items():
        record = records.get(fingerprint)
        if record is None:
            tracker.forget(fingerprint)
        elif suspicion.record.quarantined and not record.quarantined:
            tracker.keep(fingerprint, REFUSED_AT - 1)


def renewed(
    held: Mapping[str, SuspectStatus],
    records: Mapping[str, SuspectRecord],
    now_s: float,
) -> dict[str, SuspectStatus]:
    """Return the suspicions for newly committed records; unchanged ones stay."""
    return {
        fingerprint: (
            held[fingerprint]
            if fingerprint in held and held[fingerprint].record == record
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
    """Raise :class:`RefusedError` if a request would end another backend server."""
    suspicion = suspect_statuses.get(fingerprint)
    if suspicion is not None and suspicion.is_refused(now_s):
        wait_s = max(LEAST_WAIT_S, suspicion.left_s(now_s))
    elif suspicion is not None and suspicion.record.crashes >= tracker.count(
        fingerprint
    ):
        # The leader knows of all that this host does, and of what ran beside it.
        return
    elif tracker.is_refused(fingerprint):
        wait_s = UNPROVED_S
    else:
        return
    raise RefusedError(
        503,
        "crashing_request",
        f"request {fingerprint} has ended the backend servers that ran it",
        retry_after_s=wait_s,
    )
