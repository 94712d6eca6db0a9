"""The replicated records about parts of prompts that crash backend servers."""

from collections.abc import Collection, Mapping

from damaskvalve_core.messages import SuspectRecord
from damaskvalve_gateway._crashes import CrashTracker, parts_key, parts_of_key
from damaskvalve_gateway._incarnations import Incarnation, format_incarnation
from damaskvalve_gateway._part_blame import count_causes
from damaskvalve_gateway._quarantine import SuspectStatus

# Maximum number of crashes that a record about parts lists.
MAX_RECORDED_CRASHES = 8
# After these times in quarantine, one request with the parts is let through, so that
# sound parts that were blamed get out. Crashing parts end a backend server each time.
TRIALS_AFTER_S = (60.0, 600.0)


def part_records(
    tracker: CrashTracker, statuses: Mapping[str, SuspectStatus], now_s: float
) -> Mapping[str, SuspectRecord]:
    """Return the records about parts that follow from the counted runs, by key.

    Parts that are to blame come first.
    """
    evidence = tracker.part_evidence(only_ended=False)
    known = [
        parts_of_key(key)
        for key, suspect in statuses.items()
        if parts_of_key(key) and suspect.record.refused
    ]
    proved = {
        parts_key(parts) for parts in tracker.blamed_parts(only_ended=True, known=known)
    }
    records: dict[str, SuspectRecord] = {}
    blamed: set[str] = set()
    for parts in tracker.blamed_parts(only_ended=False, known=known):
        key = parts_key(parts)
        crashes = evidence[parts[0]].crashes
        records[key] = _part_record(
            key, crashes, quarantined=key in proved, refused=True
        )
        blamed.update(parts)
    for part, item in evidence.items():
        key = parts_key((part,))
        # A record does not tell that a part was sound, nor how many requests broke with
        # it, so that restored ones would blame the part that all requests share.
        if part not in blamed and item.is_suspect() and not item.was_sound:
            records[key] = _part_record(
                key, item.crashes, quarantined=False, refused=False
            )
    for key, suspect in statuses.items():
        # Parts stay in quarantine until they prove sound.
        if parts_of_key(key) and suspect.record.quarantined:
            records[key] = _next_trial(suspect, now_s)
    return records


def quarantined_parts(statuses: Mapping[str, SuspectStatus]) -> Collection[str]:
    """Return the keys of parts in quarantine; their runs are kept."""
    return [
        parts_key((part,))
        for key, suspect in statuses.items()
        if suspect.record.quarantined
        for part in parts_of_key(key)
    ]


def _next_trial(suspect: SuspectStatus, now_s: float) -> SuspectRecord:
    """Return the record of parts in quarantine, with a new trial if one is due."""
    record = suspect.record
    trials = record.trials or 0
    if trials >= len(TRIALS_AFTER_S):
        return record
    if now_s - suspect.since_s < TRIALS_AFTER_S[trials]:
        return record
    return SuspectRecord(
        record.fingerprint,
        record.crashes,
        record.quarantined,
        record.starts,
        record.refused,
        trials + 1,
    )


def _part_record(
    key: str,
    crashes: Mapping[Incarnation, float],
    *,
    quarantined: bool,
    refused: bool,
) -> SuspectRecord:
    """Return a record about parts, with one incarnation for each separate crash."""
    starts: list[str] = []
    times_s: list[float] = []
    for incarnation, at_s in sorted(crashes.items(), key=lambda item: item[1]):
        if count_causes([*times_s, at_s]) > len(times_s):
            times_s.append(at_s)
            starts.append(format_incarnation(incarnation))
    starts = starts[:MAX_RECORDED_CRASHES]
    return SuspectRecord(key, len(starts), quarantined, sorted(starts), refused)
