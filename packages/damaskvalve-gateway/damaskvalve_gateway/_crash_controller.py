"""Replication of crash reports between hosts.

Each host reports broken and pending runs to the leader. The leader merges the reports
of all hosts and commits a record of a request once its runs broke on two incarnations
of backend servers. The record reaches every host and survives restarts. Nearly all
broken runs are single ones, which cost one notice to the leader and nothing else.

Records about parts of prompts work in the same way. A host names the parts of a broken
run in its reports, with the age of its last proof that a part is sound, and tells the
leader when a suspected part proves sound on it.
"""

import asyncio
import math
from collections.abc import Mapping, Sequence

from damaskvalve_core import DecisionLog, RetryLaterError, boot_clock_s
from damaskvalve_core.messages import (
    Command,
    CrashNotice,
    RecordSuspects,
    SuspectRecord,
)
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._crashes import (
    MAX_FINGERPRINTS,
    NEVER_S,
    PENDING_TIMEOUT_S,
    REFUSED_AT,
    SUSPECTED_AT,
    parts_key,
    parts_of_key,
)
from damaskvalve_gateway._incarnations import (
    Incarnation,
    format_incarnation,
    parse_incarnation,
)
from damaskvalve_gateway._part_records import part_records, quarantined_parts
from damaskvalve_gateway._quarantine import SuspectStatus
from damaskvalve_gateway._state_client import StateClient

# The longest time between two evaluations of pending runs and, on the leader, of all
# suspects; and the shortest time, which applies after new reports.
SETTLE_S = 0.4
URGENT_SETTLE_S = 0.1
# Maximum number of records in one command, which is sent to all hosts: some 15 kB.
MAX_RECORDS = 100
# Committed records do not hold when crashes happened, only that they were separate.
RESTORED_CRASH_INTERVAL_S = 1.0
# Maximum number of runs, and of successes, in one call to the leader.
MAX_NOTICES = 200


class _UnreportedRun:
    """A run that has not been reported to the leader yet."""

    __slots__ = ("at_s", "pending", "until_s", "parts")

    def __init__(
        self, at_s: float, pending: bool, until_s: float, parts: Sequence[str]
    ) -> None:
        self.at_s = at_s
        self.parts = tuple(parts)
        self.pending = pending
        # Until when the backend server may still be running a pending run.
        self.until_s = until_s


class CrashController:
    """Reports this host's runs to the leader; as the leader, commits suspects."""

    def __init__(
        self, state_client: StateClient, view: ClusterView, log: DecisionLog
    ) -> None:
        self._state_client = state_client
        self._view = view
        self._tracker = view.crashes
        self._log = log
        # Set when a run or a success has to be reported to the leader at once.
        self.urgent = asyncio.Event()
        # Set when the suspects have to be evaluated before the next period.
        self._changed = asyncio.Event()
        # Runs, and times of success, that the leader has not received yet.
        self._unreported_runs: dict[tuple[str, Incarnation], _UnreportedRun] = {}
        self._unreported_served: dict[str, float] = {}
        # The newest proof that was reported of each suspected part.
        self._reported_proofs: dict[str, float] = {}
        # Suspects that have succeeded since the last commit.
        self._cleared: set[str] = set()
        # The id of the leadership for which this host has loaded the committed records;
        # empty before the first.
        self._leader_id = ""

    # ---- runs of this host ----

    def note_broken(
        self,
        fingerprint: str,
        incarnation: Incarnation,
        at_s: float,
        parts: Sequence[str] = (),
    ) -> None:
        """Count a run whose connection broke, also for the parts of its prompt."""
        parts = self._tracker.parts_to_count(parts)
        if self._tracker.note_run(fingerprint, incarnation, at_s, parts=parts):
            self._queue_run(fingerprint, incarnation, at_s, pending=False, parts=parts)

    def note_pending(
        self,
        fingerprint: str,
        incarnation: Incarnation,
        at_s: float,
        until_s: float = NEVER_S,
        parts: Sequence[str] = (),
    ) -> None:
        """Record a run that was cancelled or answered with a failure.

        Until ``until_s`` the backend server may still be running the request.
        """
        parts = self._tracker.parts_to_count(parts)
        self._tracker.note_pending(fingerprint, incarnation, at_s, until_s, parts)
        self._queue_run(
            fingerprint,
            incarnation,
            at_s,
            pending=True,
            until_s=until_s,
            parts=parts,
        )

    def _queue_run(
        self,
        fingerprint: str,
        incarnation: Incarnation,
        at_s: float,
        *,
        pending: bool,
        until_s: float = NEVER_S,
        parts: Sequence[str] = (),
    ) -> None:
        """Queue a run for the leader, dropping the oldest if the queue is full."""
        self._unreported_runs[fingerprint, incarnation] = _UnreportedRun(
            at_s, pending, until_s, parts
        )
        if len(self._unreported_runs) > MAX_FINGERPRINTS:
            del self._unreported_runs[next(iter(self._unreported_runs))]
        # Requests with a crashing part differ, so their first broken runs are urgent.
        is_urgent = not pending and any(map(self._may_be_crashing, parts))
        if self._is_suspected(fingerprint) or is_urgent:
            self.urgent.set()
            self._changed.set()

    def _may_be_crashing(self, part: str) -> bool:
        """Return whether a part has never proved sound or is suspected."""
        return (
            not self._tracker.is_proved_sound(part)
            or self._tracker.count(parts_key((part,))) >= SUSPECTED_AT
        )

    def note_sound(self, parts: Sequence[str], began_s: float) -> None:
        """Record that an answer to a request with these parts succeeded."""
        for part in parts:
            had_runs = self._tracker.note_sound(part, began_s)
            if had_runs or self._view.suspect_keys_of(part):
                self._report_sound(part, began_s)

    def _report_sound(self, part: str, began_s: float) -> None:
        self._reported_proofs[part] = began_s
        self._unreported_served[parts_key((part,))] = began_s
        self.urgent.set()

    def _report_suspects_known_sound(self) -> None:
        """Tell the leader of proofs from before this host knew of the suspicion."""
        suspected = {
            part for key in self._view.suspect_statuses for part in parts_of_key(key)
        }
        self._reported_proofs = {
            part: began_s
            for part, began_s in self._reported_proofs.items()
            if part in suspected
        }
        for part in suspected:
            began_s = self._tracker.proved_at_s(part)
            if began_s > self._reported_proofs.get(part, NEVER_S):
                self._report_sound(part, began_s)

    def may_repeat(self, parts: Sequence[str]) -> bool:
        """Return whether a request whose run broke may be sent again at once.

        A part that several crashes point to may have broken the run, unless it has
        proved sound before and is not refused.
        """
        return not any(map(self._may_break_again, parts))

    def _may_break_again(self, part: str) -> bool:
        keys = self._view.suspect_keys_of(part)
        if self._tracker.is_proved_sound(part):
            statuses = self._view.suspect_statuses
            return any(statuses[key].record.refused for key in keys)
        return bool(keys) or self._tracker.count(parts_key((part,))) >= SUSPECTED_AT

    def note_served(self, fingerprint: str, at_s: float) -> None:
        """Record a run that succeeded."""
        had_runs = self._tracker.note_served(fingerprint, at_s)
        if had_runs or fingerprint in self._view.suspect_statuses:
            self._unreported_served[fingerprint] = at_s
            self.urgent.set()

    def _is_suspected(self, fingerprint: str) -> bool:
        suspect_statuses = self._view.suspect_statuses
        return (
            fingerprint in suspect_statuses
            or self._tracker.count(fingerprint) >= SUSPECTED_AT
        )

    # ---- reports to the leader ----

    def notices(self, now_s: float) -> list[CrashNotice]:
        """Return the next runs to report to the leader, with ages instead of times."""
        return [
            CrashNotice(
                fingerprint,
                instance_id,
                now_s - run.at_s,
                started_at_ms,
                self._served_age_s(fingerprint, now_s),
                run.pending,
                max(0.0, run.until_s - now_s),
                list(run.parts) or None,
                {
                    part: now_s - self._tracker.proved_at_s(part)
                    for part in run.parts
                    if self._tracker.is_proved_sound(part)
                }
                or None,
            )
            for (fingerprint, (instance_id, started_at_ms)), run in self._next_runs()
        ]

    def _next_runs(self) -> list[tuple[tuple[str, Incarnation], "_UnreportedRun"]]:
        return list(self._unreported_runs.items())[:MAX_NOTICES]

    def _served_age_s(self, fingerprint: str, now_s: float) -> float | None:
        served_at_s = self._tracker.served_at_s(fingerprint)
        return None if served_at_s == NEVER_S else now_s - served_at_s

    def served_ages_s(self, now_s: float) -> dict[str, float]:
        """Return how long ago requests succeeded, for successes yet to be reported."""
        served = list(self._unreported_served.items())[:MAX_NOTICES]
        return {fingerprint: now_s - at_s for fingerprint, at_s in served}

    def note_reported(
        self, notices: Sequence[CrashNotice], served: Mapping[str, float]
    ) -> bool:
        """Remove the reports received by the leader; return whether any are left."""
        for notice in notices:
            incarnation = notice.instance_id, notice.started_at_ms
            self._unreported_runs.pop((notice.fingerprint, incarnation), None)
        for fingerprint in served:
            self._unreported_served.pop(fingerprint, None)
        return bool(self._unreported_runs or self._unreported_served)

    def requeue_recent(self, now_s: float) -> None:
        """Queue all recent counted runs to be reported to a new leader."""
        for fingerprint, incarnation, at_s in self._tracker.recent(now_s):
            parts = self._tracker.parts_of(fingerprint)
            self._queue_run(fingerprint, incarnation, at_s, pending=False, parts=parts)

    # ---- the leader's side ----

    def merge_reports(
        self,
        notices: Sequence[CrashNotice],
        served: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Merge a host's runs, and the ages of its successes, into the tracker."""
        for notice in notices:
            incarnation = notice.instance_id, notice.started_at_ms
            age_s = notice.served_age_s
            served_at_s = NEVER_S if age_s is None else now_s - age_s
            fingerprint, at_s = notice.fingerprint, now_s - notice.age_s
            parts = notice.parts or ()
            for part, proof_age_s in (notice.proof_ages_s or {}).items():
                self._tracker.note_sound(part, now_s - proof_age_s)
            if notice.pending:
                until_s = now_s + (notice.may_run_s or 0.0)
                self._tracker.note_pending(
                    fingerprint, incarnation, at_s, until_s, parts
                )
            elif self._tracker.note_run(
                fingerprint, incarnation, at_s, served_at_s, parts
            ):
                self._log_counted(fingerprint, incarnation, parts)
            if parts or self._is_suspected(fingerprint):
                self._changed.set()
        for fingerprint, age_s in served.items():
            self._clear_suspect(fingerprint, now_s - age_s)

    def _log_counted(
        self, fingerprint: str, incarnation: Incarnation, parts: Sequence[str]
    ) -> None:
        self._log.line(
            "crash_counted",
            fingerprint=fingerprint,
            backend=incarnation[0],
            parts=" ".join(parts),
            sound_before=" ".join(filter(self._tracker.is_proved_sound, parts)),
        )

    def _clear_suspect(self, fingerprint: str, at_s: float) -> None:
        for part in parts_of_key(fingerprint):
            self._tracker.note_sound(part, at_s)
            # A crash after the answer began counts on.
            if not self._tracker.count(fingerprint):
                self._cleared.update(self._view.suspect_keys_of(part))
            self._changed.set()
            return
        self._tracker.note_served(fingerprint, at_s)
        suspect = self._view.suspect_statuses.get(fingerprint)
        if suspect is not None:
            self._cleared.add(fingerprint)
            self._changed.set()

    def restore(self, now_s: float) -> None:
        """Load the records committed under earlier leaders."""
        for fingerprint, suspect in self._view.suspect_statuses.items():
            if parts_of_key(fingerprint):
                self._restore_parts(suspect.record, now_s)
                continue
            for name in suspect.record.starts or ():
                incarnation = parse_incarnation(name)
                self._tracker.note_run(fingerprint, incarnation, now_s)
                if suspect.record.quarantined:
                    self._tracker.note_ended(fingerprint, incarnation)

    def _restore_parts(self, record: SuspectRecord, now_s: float) -> None:
        """Load a committed record about parts.

        Its incarnations ended one after the other, each under a request of its own.
        """
        for number, name in enumerate(record.starts or ()):
            incarnation = parse_incarnation(name)
            at_s = now_s - number * RESTORED_CRASH_INTERVAL_S
            for part in parts_of_key(record.fingerprint):
                self._tracker.note_run_of_part(part, name, incarnation, at_s)
                if record.quarantined:
                    self._tracker.note_ended(parts_key((part,)), incarnation)

    def changed_records(self, now_s: float) -> Sequence[SuspectRecord]:
        """Return the records to commit next, those with the most crashes first."""
        committed = self._view.suspect_statuses
        part_records = self._part_records(now_s)
        fingerprints = {*committed, *self._tracker.suspected()}
        fingerprints.difference_update(part_records)
        changed: list[SuspectRecord] = []
        for fingerprint in (
            *part_records,
            *sorted(fingerprints, key=lambda item: (-self._tracker.count(item), item)),
        ):
            record = part_records.get(fingerprint) or self._evaluate(fingerprint, now_s)
            known = committed.get(fingerprint)
            if record != (known.record if known else _cleared_record(fingerprint)):
                changed.append(record)
            if len(changed) >= MAX_RECORDS:
                break
        return changed

    def _begin_trials(
        self,
        records: Sequence[SuspectRecord],
        previous: Mapping[str, SuspectStatus],
    ) -> None:
        """Let this host send one request for each trial that was committed."""
        for record in records:
            known = previous.get(record.fingerprint)
            if record.trials and known and known.record.trials != record.trials:
                self._view.trial_parts.add(record.fingerprint)
                self._log.line(
                    "parts_trial", fingerprint=record.fingerprint, trial=record.trials
                )

    def _part_records(self, now_s: float) -> Mapping[str, SuspectRecord]:
        """Return the records about parts that have not proved sound since, by key."""
        records = part_records(self._tracker, self._view.suspect_statuses, now_s)
        return {
            key: record for key, record in records.items() if key not in self._cleared
        }

    def _evaluate(self, fingerprint: str, now_s: float) -> SuspectRecord:
        known = self._view.suspect_statuses.get(fingerprint)
        if fingerprint in self._cleared or parts_of_key(fingerprint):
            return _cleared_record(fingerprint)
        if known is not None and known.record.quarantined:
            explained = self._tracker.is_explained_by_parts(fingerprint)
            if known.left_s(now_s) > 0 and not explained:
                return known.record
            # The quarantine has ended. One more broken run refuses the request again.
            self._tracker.keep_newest(fingerprint, REFUSED_AT - 1)
        count = self._tracker.count(fingerprint)
        if count < SUSPECTED_AT:
            return _cleared_record(fingerprint)
        names = sorted(
            format_incarnation(incarnation)
            for incarnation in self._tracker.incarnations(fingerprint)
        )
        refused = self._tracker.is_refused(fingerprint)
        return SuspectRecord(
            fingerprint, count, self._tracker.is_proved(fingerprint), names, refused
        )

    # ---- background task ----

    async def run(self) -> None:
        """Evaluate runs periodically and, as the leader, commit changed records."""
        while True:
            now_s = boot_clock_s()
            leads = self._state_client.leads(now_s)
            self._settle(now_s, leads=leads)
            if leads:
                await self._commit_changes(now_s)
            await asyncio.sleep(URGENT_SETTLE_S)
            try:
                async with asyncio.timeout(SETTLE_S - URGENT_SETTLE_S):
                    await self._changed.wait()
            except TimeoutError:
                continue
            self._changed.clear()

    def _settle(self, now_s: float, *, leads: bool) -> None:
        table = self._view.backends
        counted = self._tracker.settle(
            lambda incarnation, since_s: table.incarnation_status(
                incarnation, since_s, now_s
            ),
            now_s,
            # Other hosts receive announcements later than the leader, so only the
            # leader counts a pending run by its time-out.
            PENDING_TIMEOUT_S if leads else math.inf,
            quarantined_parts(self._view.suspect_statuses),
        )
        for fingerprint, incarnation, at_s in counted:
            parts = self._tracker.parts_of(fingerprint)
            self._log_counted(fingerprint, incarnation, parts)
            self._queue_run(fingerprint, incarnation, at_s, pending=False, parts=parts)
        self._report_suspects_known_sound()

    async def _commit_changes(self, now_s: float) -> None:
        leader_id = self._state_client.status().leader_id
        if leader_id != self._leader_id:
            self._leader_id = leader_id
            self.restore(now_s)
        self._unreported_runs.clear()
        for fingerprint, at_s in self._unreported_served.items():
            self._clear_suspect(fingerprint, at_s)
        self._unreported_served.clear()
        records = self.changed_records(now_s)
        if not records:
            self._cleared.clear()
            return
        previous = dict(self._view.suspect_statuses)
        try:
            command = Command(record_suspects=RecordSuspects(list(records)))
            await self._state_client.commit(command)
        except RetryLaterError as error:
            self._log.line("suspects_not_recorded", reason=str(error))
            return
        self._begin_trials(records, previous)
        self._cleared.difference_update(item.fingerprint for item in records)
        for item in records:
            subject = "parts" if parts_of_key(item.fingerprint) else "request"
            self._log.line(
                f"{subject}_suspected" if item.crashes else f"{subject}_cleared",
                fingerprint=item.fingerprint,
                crashes=item.crashes,
                refused=bool(item.refused),
                proved=item.quarantined,
                starts=item.starts or "",
            )


def _cleared_record(fingerprint: str) -> SuspectRecord:
    """Return the record that clears a request."""
    return SuspectRecord(fingerprint, 0, False)


__all__ = ["CrashController"]
