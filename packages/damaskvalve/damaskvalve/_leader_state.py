"""The leader's soft state: credit, load permits and job leases.

All methods run inside the group's actor, so the state needs no lock. It is not
replicated; the leader of each term starts with a new one.
"""

from collections.abc import Callable, Mapping
from typing import Any

from damaskvalve._configuration import WORKSPACE, parse_row
from damaskvalve._retention import Retention
from damaskvalve_core.messages import (
    Command,
    CommandResult,
    CreditAsk,
    CreditReply,
    CreditRequest,
    ExpireClaims,
    JobRecord,
    LeaseJobReply,
    LeaseJobRequest,
    PermitReply,
    PermitRequest,
    ReserveCredit,
)
from damaskvalve_state import (
    GRANT_LIFETIME_S,
    PERMIT_VALID_S,
    CreditLedger,
    GroupNode,
    Limit,
    LoadBudget,
    LoadLimit,
    LoadRequest,
)

JOB_LEASE_S = 30.0

#: Sends the reply to a waiting request.
Resolve = Callable[[Any], None]


class LeaderState:
    """The soft state of a leader for one term."""

    def __init__(
        self,
        node: GroupNode,
        load_limit: LoadLimit,
        retention_s: float,
        now_s: float,
    ) -> None:
        self.term = node.consensus.term
        self._node = node
        self._ledger = CreditLedger(node.state_machine.credits, now_s)
        self._loads = LoadBudget(load_limit, self.term, now_s)
        self._retention = Retention(retention_s)
        self._reserving: set[str] = set()
        self._waiting: list[tuple[CreditRequest, Resolve]] = []
        self._job_leases: dict[str, float] = {}

    # ---- credit ----

    def credit(self, request: CreditRequest, resolve: Resolve, now_s: float) -> None:
        """Settle an entry host's reports, then grant the credit that it requests.

        A repeated or late request is answered without a grant.
        """
        if not self._ledger.record_sequence(request.entry_id, request.sequence):
            resolve(self._credit_reply([]))
            return
        limits = self._limits(request)
        for ask in request.asks:
            if ask.workspace in limits:
                limit = limits[ask.workspace]
                self._ledger.settle(request.entry_id, ask, limit, now_s)
        self._grant_or_reserve(request, resolve, now_s)

    def _limits(self, request: CreditRequest) -> Mapping[str, Limit]:
        limits = {}
        for ask in request.asks:
            row = self._node.state_machine.row(WORKSPACE, ask.workspace)
            if row is not None:
                workspace = parse_row(WORKSPACE, ask.workspace, row.value)
                limits[ask.workspace] = Limit(
                    workspace.rate_tokens_per_s, workspace.burst_tokens
                )
        return limits

    def _grant_or_reserve(
        self, request: CreditRequest, resolve: Resolve, now_s: float
    ) -> None:
        if any(ask.workspace in self._reserving for ask in request.asks):
            self._waiting.append((request, resolve))
            return
        limits = self._limits(request)
        records = self._ledger.reservations(request.asks, limits, now_s)
        if not records:
            self._grant(request, limits, resolve, now_s)
            return
        names = {record.workspace for record in records}

        def committed(result: CommandResult | None) -> None:
            self._reserving -= names
            if result is None:
                resolve(CreditReply(False, "", [], 0.0))
                self._reject_waiting()
                return
            self._ledger.apply_reservations(records)
            # The actor's step time is the time at which it learned of the commit.
            self._grant(request, limits, resolve, self._node.step_at_s)
            self._resume_waiting(self._node.step_at_s)

        self._reserving |= names
        command = Command(reserve=ReserveCredit(list(records)))
        if not self._node.propose(command, committed, now_s):
            committed(None)

    def _grant(
        self,
        request: CreditRequest,
        limits: Mapping[str, Limit],
        resolve: Resolve,
        now_s: float,
    ) -> None:
        grants = [
            self._ledger.grant(request.entry_id, ask, limits[ask.workspace], now_s)
            for ask in request.asks
            if ask.workspace in limits and _requests_tokens(ask)
        ]
        resolve(self._credit_reply(grants))

    def _credit_reply(self, grants: list[Any]) -> CreditReply:
        address = self._node.member.address
        return CreditReply(True, address, grants, GRANT_LIFETIME_S)

    def _resume_waiting(self, now_s: float) -> None:
        waiting, self._waiting = self._waiting, []
        for request, resolve in waiting:
            self._grant_or_reserve(request, resolve, now_s)

    def _reject_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for _, resolve in waiting:
            resolve(CreditReply(False, "", [], 0.0))

    # ---- load permits ----

    def permit(self, request: PermitRequest, resolve: Resolve, now_s: float) -> None:
        """Queue an agent for a load permit, or release a finished one."""
        if request.finished_permit_id:
            self._loads.finish(request.finished_permit_id)
            resolve(self._permit_reply(None))
        else:
            expires_at_s = now_s + request.wait_s
            self._loads.enqueue(
                LoadRequest(
                    request.agent_id,
                    request.adapter,
                    request.workspace,
                    request.share or 1.0,
                    request.urgency,
                    now_s - request.waited_s,
                    expires_at_s,
                    resolve,
                )
            )
        self.tick(now_s)

    def tick(self, now_s: float) -> None:
        """Decide on queued load permits and expire claims past their retention."""
        expired_index = self._retention.through_index(self._node.applied_index, now_s)
        if expired_index is not None:
            command = Command(expire=ExpireClaims(expired_index))
            self._node.propose(command, lambda result: None, now_s)
        for decision in self._loads.decide(now_s):
            answer: Any = decision.request.reply_handle
            answer(self._permit_reply(decision.permit_id))

    def _permit_reply(self, permit_id: str | None) -> PermitReply:
        address = self._node.member.address
        retry_after_s = self._loads.retry_after_s()
        granted = permit_id is not None
        return PermitReply(
            granted, address, permit_id or "", retry_after_s, PERMIT_VALID_S
        )

    # ---- deferred jobs ----

    def lease_jobs(self, request: LeaseJobRequest, now_s: float) -> LeaseJobReply:
        """Lease unfinished jobs that have no lease.

        A lease ends after ``JOB_LEASE_S``, whether or not its runner still works.
        """
        jobs: list[JobRecord] = []
        for job in self._node.state_machine.jobs.values():
            if len(jobs) >= request.max_jobs:
                break
            if job.answer is None and self._job_leases.get(job.job_id, 0.0) <= now_s:
                self._job_leases[job.job_id] = now_s + JOB_LEASE_S
                jobs.append(job)
        for job_id in [
            job_id
            for job_id in self._job_leases
            if job_id not in self._node.state_machine.jobs
        ]:
            del self._job_leases[job_id]
        return LeaseJobReply(self._node.member.address, jobs)


def _requests_tokens(ask: CreditAsk) -> bool:
    return bool(ask.wanted_tokens > 0)
