"""Handles the messages that a control host receives."""

import threading
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

import logbook
import pykka

from damaskvalve._backend_table import BackendTable
from damaskvalve._configuration import ADAPTER
from damaskvalve._leader_state import LeaderState
from damaskvalve._state_reader import read_state
from damaskvalve_core import (
    ChannelError,
    Connection,
    Dialer,
    ProtocolError,
    RetryLaterError,
    boot_clock_s,
)
from damaskvalve_core.messages import (
    AppendRequest,
    BackendReport,
    ConfirmReply,
    ConfirmRequest,
    CreditReply,
    CreditRequest,
    FoundRequest,
    HelloRequest,
    LeaseJobReply,
    LeaseJobRequest,
    LookupReply,
    LookupRequest,
    PermitReply,
    PermitRequest,
    PollReply,
    PollRequest,
    Problem,
    ProposeReply,
    ProposeRequest,
    ReadReply,
    ReadRequest,
    ReportReply,
    Row,
    SnapshotPartRequest,
    SnapshotRequest,
    SubscriberRecord,
    VoteRequest,
)
from damaskvalve_state import Group, GroupNode, LoadLimit, check_command

PEER_TIMEOUT_S = 1.0
PROPOSE_TIMEOUT_S = 2.0
CONFIRM_INTERVAL_S = 0.25
APPLIED_POLL_INTERVAL_S = 0.02
# A subscriber that has not polled for this time is no longer listed.
SUBSCRIBER_RETENTION_S = 60.0

_log = logbook.Logger("control")


class _Freshness:
    """Tracks the time up to which this host's state includes every commit."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._as_of_s = float("-inf")

    def confirm(self, as_of_s: float) -> None:
        with self._lock:
            self._as_of_s = max(self._as_of_s, as_of_s)

    def age_s(self, now_s: float) -> float:
        with self._lock:
            return now_s - self._as_of_s


class ControlService:
    """The control host's side of all protocols between the system's processes."""

    def __init__(
        self,
        control_id: str,
        group: Group,
        dialer: Dialer,
        load_limit: LoadLimit,
        lease_s: float,
        retention_s: float,
    ) -> None:
        self._control_id = control_id
        self._group = group
        self._dialer = dialer
        self._load_limit = load_limit
        self._lease_s = lease_s
        self._retention_s = retention_s
        self._poll_condition = threading.Condition()
        self._state_versions = (-1, -1)
        self.backends = BackendTable(self._wake_polls)
        self._freshness = _Freshness()
        self._leader_state: LeaderState | None = None
        self._lock = threading.Lock()
        self._subscribers: dict[str, tuple[SubscriberRecord, float]] = {}
        self._handlers: Mapping[type, Callable[[Any, Connection], Any]] = {
            VoteRequest: self._handle_peer_message,
            AppendRequest: self._handle_peer_message,
            SnapshotRequest: self._handle_peer_message,
            SnapshotPartRequest: self._handle_peer_message,
            HelloRequest: self._handle_peer_message,
            FoundRequest: self._handle_peer_message,
            ProposeRequest: self._propose,
            ConfirmRequest: self._confirm,
            BackendReport: self._report,
            PollRequest: self._poll,
            LookupRequest: self._lookup,
            CreditRequest: self._credit,
            PermitRequest: self._permit,
            LeaseJobRequest: self._lease_jobs,
            ReadRequest: self._read,
        }
        group.run(lambda node, now_s: node.tick_hooks.append(self._tick))

    def handle(self, request: Any, connection: Connection) -> Iterator[Any]:
        """Handle one message and yield exactly one reply."""
        handler = self._handlers.get(type(request))
        if handler is None:
            yield Problem(
                "unexpected", f"no handler for message {type(request).__name__}"
            )
            return
        try:
            yield handler(request, connection)
        except RetryLaterError as error:
            yield Problem("retry-later", str(error))

    # ---- consensus ----

    def _handle_peer_message(self, request: Any, connection: Connection) -> Any:
        return self._group.handle_peer_message(request, PEER_TIMEOUT_S)

    def _propose(self, request: ProposeRequest, connection: Connection) -> ProposeReply:
        try:
            check_command(request.command)
            result = self._group.propose(request.command, PROPOSE_TIMEOUT_S)
        except (RetryLaterError, ProtocolError) as error:
            return ProposeReply(False, self._leader_address(), None, str(error))
        if result is None:
            return ProposeReply(False, self._leader_address(), None, "not the leader")
        return ProposeReply(True, self._leader_address(own=True), result, "")

    def _leader_address(self, *, own: bool = False) -> str:
        def read(node: GroupNode, now_s: float) -> str:
            return node.member.address if own else node.consensus.leader_address

        return self._group.run(read)

    def _confirm(self, request: ConfirmRequest, connection: Connection) -> ConfirmReply:
        def confirm(node: GroupNode, now_s: float) -> ConfirmReply:
            consensus = node.consensus
            confirmed = consensus.may_serve(now_s)
            return ConfirmReply(
                confirmed, consensus.commit_index, consensus.leader_address
            )

        return self._group.run(confirm)

    def confirm_freshness(self) -> None:
        """Ask the leader to confirm that this host's state is up to date."""
        sent_at_s = boot_clock_s()

        def read_leadership(node: GroupNode, now_s: float) -> tuple[bool, str, str]:
            serving = node.consensus.may_serve(now_s)
            return serving, node.consensus.leader_address, node.member.address

        serving, leader_address, own_address = self._group.run(read_leadership)
        if serving:
            self._freshness.confirm(sent_at_s)
            return
        if not leader_address or leader_address == own_address:
            return
        try:
            reply = self._dialer.call(
                leader_address, ConfirmRequest(self._control_id), PEER_TIMEOUT_S
            )
        except ChannelError as error:
            _log.debug(
                "the leader did not confirm this host's state as up to date: {}", error
            )
            return
        if reply.confirmed and self._await_applied(reply.commit_index):
            self._freshness.confirm(sent_at_s)

    def _await_applied(self, index: int) -> bool:
        deadline_s = boot_clock_s() + PEER_TIMEOUT_S
        while boot_clock_s() < deadline_s:
            if self._group.run(lambda node, now_s: node.applied_index) >= index:
                return True
            time.sleep(APPLIED_POLL_INTERVAL_S)
        return False

    def _is_fresh(self, age_s: float) -> bool:
        return age_s < self._lease_s

    # ---- backend servers ----

    def _report(self, report: BackendReport, connection: Connection) -> ReportReply:
        def read(node: GroupNode, now_s: float) -> tuple[int, str]:
            fence = node.state_machine.fences.get(report.backend_server)
            return (fence.number, fence.holder) if fence else (0, "")

        is_full = report.served is not None
        number, holder = self._group.run(read)
        if holder in ("", report.incarnation):
            self.backends.update(report, boot_clock_s())
        age_s = self._freshness.age_s(boot_clock_s())
        served = None
        if is_full:
            served = dict(self.backends.served_elsewhere(report.backend_server))
        return ReportReply(number, holder, self._is_fresh(age_s), age_s, served)

    # ---- subscriptions ----

    def _wake_polls(self) -> None:
        with self._poll_condition:
            self._poll_condition.notify_all()

    def _poll(self, request: PollRequest, connection: Connection) -> PollReply:
        """Answer once the state or a backend server's usability changes.

        Without such a change, answer after the requested wait, which is limited to
        half a lease. A subscriber that last polled another control host or has another
        state is answered at once.
        """
        self._record_subscriber(request)
        wait_s = min(request.wait_s, self._lease_s / 2)
        if request.control_id == self._control_id:
            with self._poll_condition:
                if self._state_versions == (request.revision, request.suspects_version):
                    self._poll_condition.wait(wait_s)
        same_host = request.control_id == self._control_id
        reply = self._group.run(
            lambda node, now_s: self._make_poll_reply(node, request)
        )
        changes = self.backends.changes_since(
            request.backends_version if same_host else 0
        )
        reply.backends_version = changes.version
        reply.backends = list(changes.changed)
        reply.removed_backends = list(changes.removed)
        reply.age_s = self._freshness.age_s(boot_clock_s())
        reply.fresh = self._is_fresh(reply.age_s)
        return reply

    def _make_poll_reply(self, node: GroupNode, request: PollRequest) -> PollReply:
        state_machine = node.state_machine
        changed = state_machine.rows_since(request.revision)
        if changed is None:
            rows = [
                row
                for table in state_machine.tables()
                if table != ADAPTER
                for row in state_machine.table(table).values()
            ]
        else:
            rows = [row for row in changed if row.table != ADAPTER]
        evicted = [row.key for row in changed or () if row.table == ADAPTER]
        same_suspects = state_machine.suspects_version == request.suspects_version
        return PollReply(
            revision=state_machine.revision,
            full=changed is None,
            rows=rows,
            evicted_adapters=evicted,
            suspects_version=state_machine.suspects_version,
            suspects=None if same_suspects else list(state_machine.suspects.values()),
            leader_address=node.consensus.leader_address,
            control_id=self._control_id,
        )

    def _record_subscriber(self, request: PollRequest) -> None:
        record = SubscriberRecord(
            request.subscriber, request.data_centre, request.revision, 0.0
        )
        now_s = boot_clock_s()
        with self._lock:
            self._subscribers[request.subscriber] = (record, now_s)
            for name, (_, polled_at_s) in list(self._subscribers.items()):
                if now_s - polled_at_s > SUBSCRIBER_RETENTION_S:
                    del self._subscribers[name]

    def _lookup(self, request: LookupRequest, connection: Connection) -> LookupReply:
        def read(node: GroupNode, now_s: float) -> tuple[int, list[Row]]:
            found = [node.state_machine.row(request.table, key) for key in request.keys]
            return node.state_machine.revision, [
                row for row in found if row is not None
            ]

        revision, rows = self._group.run(read)
        age_s = self._freshness.age_s(boot_clock_s())
        return LookupReply(self._is_fresh(age_s), age_s, revision, rows)

    # ---- metrics ----

    def log_lag(self) -> Mapping[str, float]:
        """Return the number of this host's unapplied log entries, by its name."""

        def read(node: GroupNode, now_s: float) -> int:
            return node.consensus.log.last_index - node.applied_index

        return {self._control_id.rpartition("-")[0]: float(self._group.run(read))}

    # ---- requests that only the leader answers ----

    def _make_leader_task(
        self, operation: Callable[[LeaderState, Callable[[Any], None], float], None]
    ) -> Callable[[GroupNode, float], Any]:
        """Return an actor task that runs ``operation`` if this host is the leader.

        The task returns a future for the result, and the leader's address. The
        future resolves to None if this host is not the leader.
        """

        def run(node: GroupNode, now_s: float) -> Any:
            future: pykka.ThreadingFuture[Any] = pykka.ThreadingFuture()
            leader_state = self._current_leader_state(node, now_s)
            if leader_state is None:
                future.set(None)
            else:
                operation(leader_state, future.set, now_s)
            return future, node.consensus.leader_address

        return run

    def _current_leader_state(
        self, node: GroupNode, now_s: float
    ) -> LeaderState | None:
        if not node.consensus.may_serve(now_s):
            return None
        if self._leader_state is None or self._leader_state.term != node.consensus.term:
            self._leader_state = LeaderState(
                node, self._load_limit, self._retention_s, now_s
            )
        return self._leader_state

    def _tick(self, node: GroupNode, now_s: float) -> None:
        versions = (node.state_machine.revision, node.state_machine.suspects_version)
        if versions != self._state_versions:
            self._state_versions = versions
            self._wake_polls()
        self.backends.expire(now_s)
        if self._leader_state is not None:
            self._leader_state.tick(now_s)

    def _call_leader_state(
        self,
        operation: Callable[[LeaderState, Callable[[Any], None], float], None],
        timeout_s: float,
    ) -> tuple[Any, str]:
        future, leader_address = self._group.run(self._make_leader_task(operation))
        try:
            return future.get(timeout=timeout_s), leader_address
        except pykka.Timeout:
            return None, leader_address

    def _credit(self, request: CreditRequest, connection: Connection) -> CreditReply:
        reply, leader = self._call_leader_state(
            lambda leader_state, resolve, now_s: leader_state.credit(
                request, resolve, now_s
            ),
            PROPOSE_TIMEOUT_S,
        )
        return reply or CreditReply(False, leader, [], 0.0)

    def _permit(self, request: PermitRequest, connection: Connection) -> PermitReply:
        reply, leader = self._call_leader_state(
            lambda leader_state, resolve, now_s: leader_state.permit(
                request, resolve, now_s
            ),
            request.wait_s + PEER_TIMEOUT_S,
        )
        return reply or PermitReply(False, leader, "", 1.0, 0.0)

    def _lease_jobs(
        self, request: LeaseJobRequest, connection: Connection
    ) -> LeaseJobReply:
        reply, leader = self._call_leader_state(
            lambda leader_state, resolve, now_s: resolve(
                leader_state.lease_jobs(request, now_s)
            ),
            PEER_TIMEOUT_S,
        )
        return reply or LeaseJobReply(leader, [])

    # ---- reads by operators and entry hosts ----

    def _read(self, request: ReadRequest, connection: Connection) -> ReadReply:
        reply = self._group.run(lambda node, now_s: read_state(node, request))
        age_s = self._freshness.age_s(boot_clock_s())
        reply.fresh = self._is_fresh(age_s)
        reply.subscribers = self._subscriber_list() if request.what == "status" else []
        if request.what == "status":
            reply.data_centres = self._data_centres(reply)
        return reply

    def _data_centres(self, reply: ReadReply) -> Sequence[str]:
        """Return where hosts and backend servers are."""
        located = [*reply.members, *reply.subscribers, *self.backends.usable()]
        return sorted({item.data_centre for item in located})

    def _subscriber_list(self) -> Sequence[SubscriberRecord]:
        now_s = boot_clock_s()
        with self._lock:
            entries = list(self._subscribers.values())
        return [
            SubscriberRecord(
                record.subscriber,
                record.data_centre,
                record.revision,
                now_s - polled_at_s,
            )
            for record, polled_at_s in entries
        ]
