"""The replicated state machine: configuration, claims, jobs, credit, fences."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from damaskvalve_core import decode_struct
from damaskvalve_core.messages import (
    AnswerOnce,
    AuditRecord,
    ChangeConfiguration,
    ClaimOnce,
    ClaimRecord,
    ClearSuspect,
    Command,
    CommandResult,
    DocumentRecord,
    DropJob,
    ExpireClaims,
    FenceRecord,
    FinishJob,
    GrantFence,
    JobRecord,
    OperationRecord,
    RecordSuspects,
    ReleaseOnce,
    ReportCrash,
    ReserveCredit,
    ResolveOnce,
    Row,
    StoredAnswer,
    SubmitJob,
    SuspectRecord,
    VersionRecord,
)
from damaskvalve_state._machine_state import MachineState

RUNNING = "running"
ANSWERED = "answered"
RESOLVED = "resolved"

MAX_OPERATIONS = 10_000
MAX_RECENT_ROWS = 4_096
MAX_AUDIT = 2_000
MAX_CLAIMS = 200_000
MAX_SUSPECTS = 1_000
QUARANTINE_CRASHES = 2


class StateMachine(MachineState):
    """Applies committed commands; equal logs give equal states.

    Nothing here reads a clock or a random source.
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
        """Apply a change once; a repeat gets the first answer again."""
        known = self.operations.get(body.operation_id)
        if known is not None:
            return CommandResult(True, "repeated", known.revision, known.actor)
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
        self._note_change(body)
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
        """Return one row of the configuration."""
        return self._tables.get(table, {}).get(key)

    def table(self, table: str) -> Mapping[str, Row]:
        """Return the rows of one table by their keys."""
        return self._tables.get(table, {})

    def tables(self) -> Sequence[str]:
        """Return the names of the tables that were ever used."""
        return sorted(self._tables)

    def _trim_recent(self) -> None:
        excess = len(self.recent) - MAX_RECENT_ROWS
        if excess > 0:
            self.recent_floor = self.recent[excess - 1].revision
            del self.recent[:excess]

    def _note_change(self, body: ChangeConfiguration) -> None:
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
        """Return the rows changed after a revision; None if that is too old."""
        if not self.recent_floor <= revision <= self.revision:
            return None
        newest: dict[tuple[str, str], Row] = {}
        for row in reversed(self.recent):
            if row.revision <= revision:
                break
            newest.setdefault((row.table, row.key), row)
        return list(newest.values())

    # ---- whole documents and adapter versions ----

    def put_document(self, index: int, body: DocumentRecord) -> CommandResult:
        """Take a whole document; only a higher version replaces the one held."""
        known = self.documents.get(body.name)
        if known is not None and known.version >= body.version:
            return self._result(accepted=False, reason="superseded")
        self.documents[body.name] = body
        return self._result(accepted=True)

    def name_version(self, index: int, body: VersionRecord) -> CommandResult:
        """Note the newest version of an adapter; an older one changes nothing."""
        known = self.adapter_versions.get(body.adapter, 0)
        self.adapter_versions[body.adapter] = max(known, body.version)
        return self._result(accepted=True)

    # ---- at most once ----

    def claim(self, index: int, body: ClaimOnce) -> CommandResult:
        """Claim the only run of a request; the first claim wins."""
        known = self.claims.get(body.claim_id)
        if known is None and len(self.claims) >= MAX_CLAIMS:
            return self._result(accepted=False, reason="full")
        if known is None:
            record = ClaimRecord(
                body.claim_id, RUNNING, body.body_digest, body.holder, index
            )
            self.claims[body.claim_id] = record
            return self._result(accepted=True, claim=record)
        if known.body_digest != body.body_digest:
            return self._result(accepted=False, reason="other-body", claim=known)
        return self._result(accepted=False, reason=known.state, claim=known)

    def answer(self, index: int, body: AnswerOnce) -> CommandResult:
        """Store the answer of a claimed run for every later resend."""
        known = self.claims.get(body.claim_id)
        if known is None or known.state != RUNNING or known.holder != body.holder:
            return self._result(accepted=False, reason="not-held", claim=known)
        self._settle(known, ANSWERED, body.answer)
        return self._result(accepted=True, claim=self.claims[body.claim_id])

    def release(self, index: int, body: ReleaseOnce) -> CommandResult:
        """Give a claim back whose request is known not to have run."""
        known = self.claims.get(body.claim_id)
        if known is None or known.state != RUNNING or known.holder != body.holder:
            return self._result(accepted=False, reason="not-held")
        del self.claims[body.claim_id]
        return self._result(accepted=True)

    def resolve(self, index: int, body: ResolveOnce) -> CommandResult:
        """Let an operator settle a claim whose outcome is unknown."""
        known = self.claims.get(body.claim_id)
        if known is None or known.state != RUNNING:
            return self._result(accepted=False, reason="not-unknown")
        if not body.ran:
            del self.claims[body.claim_id]
            return self._result(accepted=True)
        text = b'{"resolved_by_operator": true}'
        self._settle(
            known, RESOLVED, StoredAnswer(200, "application/json", text, "ran")
        )
        return self._result(accepted=True, claim=self.claims[body.claim_id])

    def _settle(self, known: ClaimRecord, state: str, answer: StoredAnswer) -> None:
        self.claims[known.claim_id] = ClaimRecord(
            known.claim_id, state, known.body_digest, known.holder, known.index, answer
        )

    def expire(self, index: int, body: ExpireClaims) -> CommandResult:
        """Forget settled claims and finished jobs older than their retention."""
        old = [
            item.claim_id
            for item in self.claims.values()
            if item.state != RUNNING and item.index <= body.through_index
        ]
        for claim_id in old:
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
        """Keep a deferred job; a repeated id is the same job."""
        known = self.jobs.get(body.job_id)
        if known is not None:
            return self._result(accepted=True, reason="repeated", job=known)
        waiting = sum(
            job.workspace == body.workspace and job.answer is None
            for job in self.jobs.values()
        )
        if waiting >= body.max_jobs:
            return self._result(accepted=False, reason="full")
        job = JobRecord(body.job_id, body.workspace, body.path, body.body, index)
        self.jobs[body.job_id] = job
        return self._result(accepted=True, job=job)

    def finish(self, index: int, body: FinishJob) -> CommandResult:
        """Store the answer of a job; the first answer stays."""
        known = self.jobs.get(body.job_id)
        if known is None:
            return self._result(accepted=False, reason="gone")
        if known.answer is None:
            known = JobRecord(
                known.job_id, known.workspace, known.path, b"", index, body.answer
            )
            self.jobs[body.job_id] = known
        return self._result(accepted=True, job=known)

    def drop(self, index: int, body: DropJob) -> CommandResult:
        """Forget a job whose answer was fetched or whose retention ended."""
        known = self.jobs.get(body.job_id)
        if known is None or known.answer is None:
            return self._result(accepted=False, reason="not-finished")
        del self.jobs[body.job_id]
        return self._result(accepted=True)

    # ---- credit, fences, suspects ----

    def reserve(self, index: int, body: ReserveCredit) -> CommandResult:
        """Record the watermark that a later leader starts its buckets from."""
        for credit in body.credits:
            self.credits[credit.workspace] = credit
        return self._result(accepted=True)

    def fence(self, index: int, body: GrantFence) -> CommandResult:
        """Give a holder the next fencing number of a backend server.

        A repeated grant, after a lost answer, names the same previous holder.
        """
        known = self.fences.get(body.backend_server)
        if known is None or known.holder != body.holder:
            number = known.number + 1 if known else 1
            previous = known.holder if known else ""
            known = FenceRecord(body.backend_server, number, body.holder, previous)
            self.fences[body.backend_server] = known
        return self._result(accepted=True, fence=known)

    def crash(self, index: int, body: ReportCrash) -> CommandResult:
        """Count a crash against a fingerprint; a repeated report counts once.

        Only a crash of a run without neighbours quarantines: requests that ran
        beside the guilty one must not be blamed.
        """
        known = self.suspects.get(body.fingerprint)
        if body.report_id in self._crash_reports and known is not None:
            return self._result(accepted=True, reason="repeated", suspect=known)
        self._crash_reports[body.report_id] = None
        if len(self._crash_reports) > MAX_SUSPECTS:
            self._crash_reports.popitem(last=False)
        crashes = known.crashes + 1 if known else 1
        proved = body.isolated and crashes >= QUARANTINE_CRASHES
        quarantined = proved or (known is not None and known.quarantined)
        suspect = SuspectRecord(body.fingerprint, crashes, quarantined)
        self.suspects[body.fingerprint] = suspect
        self._drop_excess_suspects()
        self.suspects_version = index
        return self._result(accepted=True, suspect=suspect)

    def record_suspects(self, index: int, body: RecordSuspects) -> CommandResult:
        """Replace what is known of some requests; without crashes they are sound."""
        for suspect in body.suspects:
            if suspect.crashes > 0:
                self.suspects[suspect.fingerprint] = suspect
            else:
                self.suspects.pop(suspect.fingerprint, None)
        self._drop_excess_suspects()
        self.suspects_version = index
        return self._result(accepted=True)

    def _drop_excess_suspects(self) -> None:
        """Forget the oldest suspects, those in quarantine after all others."""
        excess = len(self.suspects) - MAX_SUSPECTS
        if excess <= 0:
            return
        by_worth = sorted(self.suspects.values(), key=lambda item: item.quarantined)
        for suspect in by_worth[:excess]:
            del self.suspects[suspect.fingerprint]

    def clear(self, index: int, body: ClearSuspect) -> CommandResult:
        """Take a fingerprint off the list after it ran without a crash."""
        found = self.suspects.pop(body.fingerprint, None)
        if found is not None:
            self.suspects_version = index
        return self._result(accepted=found is not None)

    # ---- snapshot ----


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
}
