"""The replicated state machine: configuration, claims, jobs, credit, fences."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from damaskvalve_core import decode_struct
from damaskvalve_core.messages import (
    AnswerOnce,
    AuditRecord,
    BaseVersion,
    ChangeConfiguration,
    ClaimOnce,
    ClaimRecord,
    ClearSuspect,
    Command,
    CommandResult,
    DepartureRecord,
    DocumentRecord,
    DropJob,
    EvacuationRecord,
    ExpireClaims,
    ExpireStreams,
    FenceRecord,
    FinishJob,
    GrantFence,
    JobRecord,
    OperationRecord,
    RecordStreams,
    RecordSuspects,
    ReleaseOnce,
    ReportCrash,
    ReserveCredit,
    ResolveOnce,
    Row,
    StoredAnswer,
    StreamRecord,
    SubmitJob,
    SuspectRecord,
    VersionRecord,
)
from damaskvalve_state._evacuations import ordered
from damaskvalve_state._machine_state import MachineState

RUNNING = "running"
ANSWERED = "answered"
RESOLVED = "resolved"

# A resent change is recognised while it is among this many newest operations.
MAX_OPERATIONS = 10_000
# Subscribers that lag by more rows than this receive the full configuration.
MAX_RECENT_ROWS = 4_096
MAX_AUDIT = 2_000
MAX_CLAIMS = 200_000
MAX_SUSPECTS = 1_000
MAX_STREAMS = 200_000
# Some days of restarts of the largest fleet.
MAX_DEPARTURES = 2_000
# Number of crashes, the last one in an isolated run, that quarantines a request.
QUARANTINE_CRASHES = 2


class StateMachine(MachineState):
    """Applies committed commands; equal logs result in equal states.

    Commands are applied without reading a clock or a random source.
    """

    def apply(self, index: int, data: bytes) -> CommandResult:
        """Apply one committed command and return its result."""
        command = decode_struct(Command(), data)
        for name, handler in _HANDLERS.items():
            body = getattr(command, name)
            if body is not None:
                return handler(self, index, body)
        return self._result(accepted=False, reason="unknown command")

    def _result(
        self, *, accepted: bool, reason: str = "", **fields: Any
    ) -> CommandResult:
        return CommandResult(accepted, reason, self.revision, **fields)

    # ---- configuration ----

    def change(self, index: int, body: ChangeConfiguration) -> CommandResult:
        """Apply a configuration change once; a repeat returns the first result."""
        existing = self.operations.get(body.operation_id)
        if existing is not None:
            return CommandResult(True, "repeated", existing.revision, existing.actor)
        if body.expected_revision != self.revision:
            winner = self.audit[-1].actor if self.audit else ""
            return CommandResult(False, "conflict", self.revision, winner)
        self.revision += 1
        for row in body.rows:
            self._put_row(row)
        self._trim_recent()
        record = OperationRecord(body.operation_id, self.revision, body.actor)
        self.operations[body.operation_id] = record
        if len(self.operations) > MAX_OPERATIONS:
            self.operations.popitem(last=False)
        self._append_audit_record(body)
        return CommandResult(True, "", self.revision, body.actor)

    def _put_row(self, row: Row) -> None:
        stored = Row(row.table, row.key, row.value, self.revision)
        table = self._tables.setdefault(row.table, {})
        if row.value is None:
            table.pop(row.key, None)
        else:
            table[row.key] = stored
        self.recent.append(stored)

    def row(self, table: str, key: str) -> Row | None:
        """Return one row of the configuration, or None if it does not exist."""
        return self._tables.get(table, {}).get(key)

    def table(self, table: str) -> Mapping[str, Row]:
        """Return the rows of one table by their keys."""
        return self._tables.get(table, {})

    def tables(self) -> Sequence[str]:
        """Return the names of the known tables, some of which may have no row now."""
        return sorted(self._tables)

    def _trim_recent(self) -> None:
        excess = len(self.recent) - MAX_RECENT_ROWS
        if excess > 0:
            self.recent_floor = self.recent[excess - 1].revision
            del self.recent[:excess]

    def _append_audit_record(self, body: ChangeConfiguration) -> None:
        summary = ", ".join(
            f"{'-' if row.value is None else '+'}{row.table}/{row.key}"
            for row in body.rows[:8]
        )
        if len(body.rows) > 8:
            summary += f" and {len(body.rows) - 8} more"
        self.audit.append(
            AuditRecord(
                self.revision, body.actor, body.operation_id, summary, body.at_s
            )
        )
        del self.audit[:-MAX_AUDIT]

    def rows_since(self, revision: int) -> Sequence[Row] | None:
        """Return the newest state of each row changed after a revision.

        A deleted row has the value None. Return None if not all changes after the
        revision are retained, or if this state has not reached the revision.
        """
        if not self.recent_floor <= revision <= self.revision:
            return None
        newest: dict[tuple[str, str], Row] = {}
        for row in reversed(self.recent):
            if row.revision <= revision:
                break
            newest.setdefault((row.table, row.key), row)
        return list(newest.values())

    # ---- documents and adapter versions ----

    def put_document(self, index: int, body: DocumentRecord) -> CommandResult:
        """Store a document; only a higher version replaces the stored one."""
        existing = self.documents.get(body.name)
        if existing is not None and existing.version >= body.version:
            return self._result(accepted=False, reason="superseded")
        self.documents[body.name] = body
        return self._result(accepted=True)

    def name_version(self, index: int, body: VersionRecord) -> CommandResult:
        """Record the version of an adapter unless a newer one is recorded."""
        recorded = self.adapter_versions.get(body.adapter, 0)
        self.adapter_versions[body.adapter] = max(recorded, body.version)
        return self._result(accepted=True)

    # ---- at-most-once claims ----

    def claim(self, index: int, body: ClaimOnce) -> CommandResult:
        """Claim the single run of a request; the first claim wins."""
        existing = self.claims.get(body.claim_id)
        if existing is None and len(self.claims) >= MAX_CLAIMS:
            return self._result(accepted=False, reason="full")
        if existing is None:
            record = ClaimRecord(
                body.claim_id, RUNNING, body.body_digest, body.holder, index
            )
            self.claims[body.claim_id] = record
            return self._result(accepted=True, claim=record)
        if existing.body_digest != body.body_digest:
            return self._result(accepted=False, reason="other-body", claim=existing)
        return self._result(accepted=False, reason=existing.state, claim=existing)

    def answer(self, index: int, body: AnswerOnce) -> CommandResult:
        """Store the answer of a claimed run; later resends receive it."""
        existing = self.claims.get(body.claim_id)
        if (
            existing is None
            or existing.state != RUNNING
            or existing.holder != body.holder
        ):
            return self._result(accepted=False, reason="not-held", claim=existing)
        self._settle(existing, ANSWERED, body.answer)
        return self._result(accepted=True, claim=self.claims[body.claim_id])

    def release(self, index: int, body: ReleaseOnce) -> CommandResult:
        """Release the claim of a request that is known not to have run."""
        existing = self.claims.get(body.claim_id)
        if (
            existing is None
            or existing.state != RUNNING
            or existing.holder != body.holder
        ):
            return self._result(accepted=False, reason="not-held")
        del self.claims[body.claim_id]
        return self._result(accepted=True)

    def resolve(self, index: int, body: ResolveOnce) -> CommandResult:
        """Settle a running claim as an operator decides.

        A claim whose request did not run is deleted, so that a resend may run.
        """
        existing = self.claims.get(body.claim_id)
        if existing is None or existing.state != RUNNING:
            return self._result(accepted=False, reason="not-unknown")
        if not body.ran:
            del self.claims[body.claim_id]
            return self._result(accepted=True)
        text = b'{"resolved_by_operator": true}'
        self._settle(
            existing, RESOLVED, StoredAnswer(200, "application/json", text, "ran")
        )
        return self._result(accepted=True, claim=self.claims[body.claim_id])

    def _settle(self, existing: ClaimRecord, state: str, answer: StoredAnswer) -> None:
        self.claims[existing.claim_id] = ClaimRecord(
            existing.claim_id,
            state,
            existing.body_digest,
            existing.holder,
            existing.index,
            answer,
        )

    def expire(self, index: int, body: ExpireClaims) -> CommandResult:
        """Delete settled claims and finished jobs that are past their retention.

        The retention of a claim starts when it is made, that of a job when it finishes.
        """
        settled = [
            item.claim_id
            for item in self.claims.values()
            if item.state != RUNNING and item.index <= body.through_index
        ]
        for claim_id in settled:
            del self.claims[claim_id]
        finished = [
            item.job_id
            for item in self.jobs.values()
            if item.answer is not None and item.index <= body.through_index
        ]
        for job_id in finished:
            del self.jobs[job_id]
        return self._result(accepted=True)

    # ---- deferred jobs ----

    def submit(self, index: int, body: SubmitJob) -> CommandResult:
        """Store a deferred job; a repeated id is the same job."""
        existing = self.jobs.get(body.job_id)
        if existing is not None:
            return self._result(accepted=True, reason="repeated", job=existing)
        unfinished = sum(
            job.workspace == body.workspace and job.answer is None
            for job in self.jobs.values()
        )
        if unfinished >= body.max_jobs:
            return self._result(accepted=False, reason="full")
        job = JobRecord(body.job_id, body.workspace, body.path, body.body, index)
        self.jobs[body.job_id] = job
        return self._result(accepted=True, job=job)

    def finish(self, index: int, body: FinishJob) -> CommandResult:
        """Store the answer of a job and drop its body; the first answer is kept."""
        job = self.jobs.get(body.job_id)
        if job is None:
            return self._result(accepted=False, reason="gone")
        if job.answer is None:
            job = JobRecord(
                job.job_id,
                job.workspace,
                job.path,
                b"",
                index,
                body.answer,
            )
            self.jobs[body.job_id] = job
        return self._result(accepted=True, job=job)

    def drop(self, index: int, body: DropJob) -> CommandResult:
        """Delete a finished job; reject a job that is unknown or not finished."""
        existing = self.jobs.get(body.job_id)
        if existing is None or existing.answer is None:
            return self._result(accepted=False, reason="not-finished")
        del self.jobs[body.job_id]
        return self._result(accepted=True)

    # ---- software versions of streams ----

    def record_streams(self, index: int, body: RecordStreams) -> CommandResult:
        """Record which software version began streams; a later record replaces one.

        A command may arrive late, after a later one of the same host.
        """
        for item in body.streams:
            known = self.streams.get(item.stream)
            if known is not None and (known.attempt or 0) > (item.attempt or 0) > 0:
                continue
            record = StreamRecord(
                item.stream, item.software_version, index, item.attempt
            )
            self.streams[item.stream] = record
            self.streams.move_to_end(item.stream)
        while len(self.streams) > MAX_STREAMS:
            self.streams.popitem(last=False)
        return self._result(accepted=True)

    def expire_streams(self, index: int, body: ExpireStreams) -> CommandResult:
        """Delete the records of streams that no caller can resume any more."""
        while self.streams:
            oldest = next(iter(self.streams))
            if self.streams[oldest].index > body.through_index:
                break
            del self.streams[oldest]
        return self._result(accepted=True)

    def set_base_version(self, index: int, body: BaseVersion) -> CommandResult:
        """Set the software version of a service's streams that have no record."""
        self.base_versions[body.service_name] = body.software_version
        return self._result(accepted=True)

    # ---- backend servers that leave ----

    def record_departure(self, index: int, body: DepartureRecord) -> CommandResult:
        """Record that an incarnation of a backend server leaves or is gone.

        An older incarnation does not replace a newer one, and none that is gone leaves.
        """
        known = self.departures.get(body.instance_id)
        if known is not None and (known.started_at_ms, known.gone) >= (
            body.started_at_ms,
            body.gone,
        ):
            return self._result(accepted=True, reason="repeated")
        self.departures[body.instance_id] = DepartureRecord(
            body.instance_id, body.started_at_ms, body.gone, index
        )
        self.departures.move_to_end(body.instance_id)
        while len(self.departures) > MAX_DEPARTURES:
            self.departures.popitem(last=False)
        return self._result(accepted=True)

    # ---- evacuations ----

    def evacuate(self, index: int, body: EvacuationRecord) -> CommandResult:
        """Apply an order to evacuate a data centre, or to withdraw that.

        An order from before the newest one about the data centre is not accepted.
        """
        known = self.evacuations.get(body.data_centre)
        record = ordered(known, body, index)
        if record is None:
            return self._result(accepted=False, reason="conflict", evacuation=known)
        self.evacuations[body.data_centre] = record
        return self._result(accepted=True, evacuation=record)

    # ---- credit, fences, suspects ----

    def reserve(self, index: int, body: ReserveCredit) -> CommandResult:
        """Store the credit records from which a new leader initialises its buckets."""
        for credit in body.credits:
            self.credits[credit.workspace] = credit
        return self._result(accepted=True)

    def fence(self, index: int, body: GrantFence) -> CommandResult:
        """Grant a holder the next fencing number of a backend server.

        A grant repeated after a lost reply returns the same number and previous holder.
        """
        fence = self.fences.get(body.backend_server)
        if fence is None or fence.holder != body.holder:
            number = fence.number + 1 if fence else 1
            previous = fence.holder if fence else ""
            fence = FenceRecord(body.backend_server, number, body.holder, previous)
            self.fences[body.backend_server] = fence
        return self._result(accepted=True, fence=fence)

    def crash(self, index: int, body: ReportCrash) -> CommandResult:
        """Count a crash against a fingerprint.

        A repeated report counts once, unless the suspect was removed in between.

        Only a crash during an isolated run quarantines: requests that ran beside the
        one that caused a crash must not be blamed.
        """
        existing = self.suspects.get(body.fingerprint)
        if body.report_id in self._crash_reports and existing is not None:
            return self._result(accepted=True, reason="repeated", suspect=existing)
        self._crash_reports[body.report_id] = None
        if len(self._crash_reports) > MAX_SUSPECTS:
            self._crash_reports.popitem(last=False)
        crashes = existing.crashes + 1 if existing else 1
        must_quarantine = body.isolated and crashes >= QUARANTINE_CRASHES
        quarantined = must_quarantine or (existing is not None and existing.quarantined)
        suspect = SuspectRecord(body.fingerprint, crashes, quarantined)
        self.suspects[body.fingerprint] = suspect
        self._evict_excess_suspects()
        self.suspects_version = index
        return self._result(accepted=True, suspect=suspect)

    def record_suspects(self, index: int, body: RecordSuspects) -> CommandResult:
        """Replace records of suspects; one without crashes clears its suspect."""
        for suspect in body.suspects:
            if suspect.crashes > 0:
                self.suspects[suspect.fingerprint] = suspect
            else:
                self.suspects.pop(suspect.fingerprint, None)
        self._evict_excess_suspects()
        self.suspects_version = index
        return self._result(accepted=True)

    def _evict_excess_suspects(self) -> None:
        """Evict the oldest suspects, quarantined ones last."""
        excess = len(self.suspects) - MAX_SUSPECTS
        if excess <= 0:
            return
        eviction_order = sorted(
            self.suspects.values(), key=lambda item: item.quarantined
        )
        for suspect in eviction_order[:excess]:
            del self.suspects[suspect.fingerprint]

    def clear(self, index: int, body: ClearSuspect) -> CommandResult:
        """Remove a suspect, after a run without a crash or as an operator decides."""
        removed = self.suspects.pop(body.fingerprint, None)
        if removed is not None:
            self.suspects_version = index
        return self._result(accepted=removed is not None)


_HANDLERS: dict[str, Callable[[StateMachine, int, Any], CommandResult]] = {
    "change": StateMachine.change,
    "claim": StateMachine.claim,
    "answer": StateMachine.answer,
    "release": StateMachine.release,
    "resolve": StateMachine.resolve,
    "submit": StateMachine.submit,
    "finish": StateMachine.finish,
    "drop": StateMachine.drop,
    "reserve": StateMachine.reserve,
    "fence": StateMachine.fence,
    "crash": StateMachine.crash,
    "record_suspects": StateMachine.record_suspects,
    "clear": StateMachine.clear,
    "expire": StateMachine.expire,
    "document": StateMachine.put_document,
    "name_version": StateMachine.name_version,
    "record_streams": StateMachine.record_streams,
    "expire_streams": StateMachine.expire_streams,
    "base_version": StateMachine.set_base_version,
    "departure": StateMachine.record_departure,
    "evacuation": StateMachine.evacuate,
}
