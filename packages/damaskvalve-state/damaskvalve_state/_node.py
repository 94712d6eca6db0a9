"""The actor that runs agreement on a control host: disk, peers and callers."""

import contextlib
import errno
import os
import random
import signal
import time
import uuid
from collections.abc import Callable, Sequence
from typing import Any

import logbook
import pykka

from damaskvalve_core import (
    DamagedJournalError,
    Dialer,
    boot_clock_s,
    encode_struct,
)
from damaskvalve_core.messages import (
    Command,
    CommandResult,
    EntryKind,
    FoundReply,
    FoundRequest,
    HardState,
    HelloReply,
    HelloRequest,
    LogEntry,
    Member,
    SnapshotFile,
    VoteReply,
    VoteRequest,
)
from damaskvalve_state._agreement import Agreement
from damaskvalve_state._agreement_state import LEADER
from damaskvalve_state._journal import (
    JOURNAL_FILE,
    Journal,
    MemoryJournal,
    read_or_make_member_id,
    recover,
    set_aside,
)
from damaskvalve_state._log import Log, empty_snapshot
from damaskvalve_state._machine import Machine
from damaskvalve_state._membership import (
    founders,
    is_founder,
    may_found,
    next_members,
)
from damaskvalve_state._node_messages import Answer, Flush, Request, Run, Tick
from damaskvalve_state._node_settings import NodeSettings, NodeStatus, StatusBoard
from damaskvalve_state._peers import PeerSender
from damaskvalve_state._timing import Output

HELLO_S = 0.3
# A member that hears a leader may still be unknown to it: what it hears may be meant
# for the lost disk of its address. So it goes on saying hello, but rarely.
KNOWN_HELLO_S = 1.0
SNAPSHOT_ENTRIES = 5_000
# A member that is not heard for so long is given up: longer than a restart or a
# freeze takes, shorter than the time after which another loss has to be borne.
GIVE_UP_SILENT_S = 8.0
FULL_DISK_ERRORS = (errno.ENOSPC, errno.EDQUOT)
# Between two tries to write to a full disk.
DISK_RETRY_S = 0.2

_log = logbook.Logger("group")

#: Gets the result of a proposal, or None if its outcome is not known.
ResultCallback = Callable[[CommandResult | None], None]


class GroupNode(pykka.ThreadingActor):
    """Owns one member's agreement, journal and state machine.

    All proposals that wait in the mailbox share one sync. An answer never
    leaves before what it promises is on the disk.
    """

    use_daemon_thread = True

    def __init__(
        self,
        settings: NodeSettings,
        dialer: Dialer,
        board: StatusBoard | None = None,
    ) -> None:
        super().__init__()
        self._board = board or StatusBoard()
        self.settings = settings
        self.machine = Machine()
        self.applied_index = 0
        self._dialer = dialer
        self._senders: dict[str, PeerSender] = {}
        self._replies: list[tuple[Any, Any]] = []
        self._callbacks: dict[int, tuple[int, ResultCallback]] = {}
        self._flush_asked = False
        self._hellos: dict[str, tuple[Member, bool]] = {}
        self._next_hello_s = 0.0
        # The leader that another member named when this one looked for it.
        self._told_leader = ""
        # The time of the step that runs now.
        self.step_at_s = boot_clock_s()
        # Called inside the actor after committed commands were applied.
        self.apply_hooks: list[Callable[[GroupNode], None]] = []
        self._stopping = False
        self.tick_hooks: list[Callable[[GroupNode, float], None]] = []
        self._open_folder(boot_clock_s())

    # ---- the folder ----

    def _open_folder(self, now_s: float) -> None:
        folder = self.settings.folder
        if folder is None:
            self._start_without_disk(now_s)
            return
        try:
            recovered = recover(folder)
        except DamagedJournalError as error:
            kept = set_aside(folder, str(time.time_ns()))
            _log.error("{}; set aside as {}; joining anew", error, kept)
            recovered = None
        self.member = Member(
            read_or_make_member_id(folder),
            self.settings.address,
            self.settings.data_centre,
        )
        self.founded = recovered is not None
        log = recovered.log if recovered else Log(empty_snapshot())
        hard_state = recovered.hard_state if recovered else HardState(0, "")
        if recovered is None:
            (folder / JOURNAL_FILE).unlink(missing_ok=True)
        elif recovered.cut_bytes:
            _log.warning("cut a torn tail of {} bytes", recovered.cut_bytes)
        self.journal: Journal | MemoryJournal = Journal(folder)
        self._start_agreement(log, hard_state, now_s)
        self._restore(log.snapshot)

    def _start_without_disk(self, now_s: float) -> None:
        address = self.settings.address
        self.member = Member(uuid.uuid4().hex, address, self.settings.data_centre, True)
        self.founded = False
        self.journal = MemoryJournal()
        self._start_agreement(Log(empty_snapshot()), HardState(0, ""), now_s)
        self._restore(self.agreement.log.snapshot)

    def _start_agreement(self, log: Log, hard_state: HardState, now_s: float) -> None:
        self.agreement = Agreement(
            self.member,
            log,
            hard_state,
            self.settings.timing,
            random.Random(self.member.member_id),
            now_s,
        )

    def _restore(self, snapshot: SnapshotFile) -> None:
        self.machine = Machine.from_bytes(snapshot.data)
        self.applied_index = snapshot.last_index

    # ---- the mailbox ----

    def on_receive(self, message: Any) -> None:
        """Handle one message; everything written is synced in one batch later."""
        now_s = boot_clock_s()
        self.step_at_s = now_s
        if isinstance(message, Flush):
            self._flush_asked = False
            self._flush(now_s)
            return
        if isinstance(message, Tick):
            self._on_tick(now_s)
        elif isinstance(message, Request):
            self._on_request(message, now_s)
        elif isinstance(message, Answer):
            self._on_answer(message, now_s)
        elif isinstance(message, Run):
            self._on_run(message, now_s)
        if not self._flush_asked:
            self._flush_asked = True
            self.actor_ref.tell(Flush())

    def _on_tick(self, now_s: float) -> None:
        self.agreement.tick(now_s)
        if self.agreement.needs_hello() and now_s >= self._next_hello_s:
            hears_leader = self.agreement.hears_leader(now_s)
            self._next_hello_s = now_s + (KNOWN_HELLO_S if hears_leader else HELLO_S)
            self._say_hello(now_s)
            self._try_founding(now_s)
        if self.agreement.role == LEADER:
            self._change_members(now_s)
            self._greet_seeds(now_s)
        for hook in self.tick_hooks:
            hook(self, now_s)
        self._publish(now_s)

    def _publish(self, now_s: float) -> None:
        agreement = self.agreement
        leads = agreement.may_serve(now_s)
        self._board.status = NodeStatus(
            f"{agreement.leader_id}/{agreement.term}" if agreement.leader_id else "",
            agreement.leader_address,
            is_leader=leads,
            lease_until_s=now_s + agreement.lease_left_s(now_s) if leads else 0.0,
            contact_s=now_s if leads else agreement.leader_contact_s(),
            applied_index=self.applied_index,
        )

    def _on_run(self, message: "Run[Any]", now_s: float) -> None:
        try:
            message.future.set(message.work(self, now_s))
        except Exception:
            message.future.set_exception()

    def _on_request(self, message: Request, now_s: float) -> None:
        request = message.message
        reply: Any
        if isinstance(request, HelloRequest):
            reply = self._on_hello(request, now_s)
        elif isinstance(request, FoundRequest):
            reply = FoundReply(self._found(request.members, now_s))
        elif isinstance(request, VoteRequest) and not self.founded:
            own_id = self.member.member_id
            reply = VoteReply(self.agreement.term, own_id, False, request.pre_vote)
        else:
            self._join_if_empty()
            reply = self.agreement.receive(request, now_s)
        self._replies.append((message.future, reply))

    def _on_answer(self, message: Answer, now_s: float) -> None:
        reply = message.reply
        if reply is None:
            self.agreement.request_failed(message.member)
        elif isinstance(reply, HelloReply):
            self._on_hello_reply(reply, now_s)
        elif not isinstance(reply, FoundReply):
            self.agreement.receive(reply, now_s)

    # ---- founding and joining ----

    def _say_hello(self, now_s: float) -> None:
        request = HelloRequest(self.member, not self.founded)
        targets = {*self.settings.group_addresses, self._told_leader}
        if self.settings.open_group:
            targets.update(voter.address for voter in self.agreement.voters())
            if self.agreement.hears_leader(now_s):
                targets = {self.agreement.leader_address}
        for address in targets - {self.member.address, ""}:
            self._send(Member("", address, ""), request)

    def _greet_seeds(self, now_s: float) -> None:
        """Let seeds that do not follow this leader know where it is.

        A restarted member knows only its seeds, and those may know nothing either.
        """
        if not self.settings.open_group or now_s < self._next_hello_s:
            return
        self._next_hello_s = now_s + KNOWN_HELLO_S
        known = {item.member.address for item in self.agreement.progress.values()}
        request = HelloRequest(self.member, not self.founded, True)
        for address in set(self.settings.group_addresses) - known:
            if address != self.member.address:
                self._send(Member("", address, ""), request)

    def hand_over(self, now_s: float) -> None:
        """Let another member lead, because this one is about to stop."""
        if self.agreement.hand_over(now_s):
            _log.info("handed the lead over")
        self._publish(now_s)

    def _on_hello(self, request: HelloRequest, now_s: float) -> HelloReply:
        if request.leads and not self.agreement.hears_leader(now_s):
            self._told_leader = request.member.address
            self._next_hello_s = now_s
        if self.agreement.role == LEADER:
            self.agreement.add_learner(request.member, now_s)
        elif request.empty and self.founded:
            self._repeat_founding(request.member)
        return HelloReply(self.member, not self.founded, self.agreement.leader_address)

    def _repeat_founding(self, member: Member) -> None:
        log = self.agreement.log
        if log.first_index > 1 or log.last_index < 1:
            return
        founders = log.entry_at(1).members
        if member.member_id in [founder.member_id for founder in founders]:
            self._send(member, FoundRequest(founders))

    def _on_hello_reply(self, reply: HelloReply, now_s: float) -> None:
        self._hellos[reply.member.address] = (reply.member, reply.empty)
        if reply.leader_address and reply.leader_address != self._told_leader:
            self._told_leader = reply.leader_address
            self._next_hello_s = now_s
        self._try_founding(now_s)

    def _try_founding(self, now_s: float) -> None:
        if self.founded or not self.settings.may_found:
            return
        hellos = [*self._hellos.values(), (self.member, True)]
        addresses = self.settings.group_addresses
        if may_found(hellos, addresses) and is_founder(self.member, hellos):
            members = founders(hellos)
            self._found(members, now_s)
            for member in members:
                if member.member_id != self.member.member_id:
                    self._send(member, FoundRequest(members))

    def _found(self, members: Sequence[Member], now_s: float) -> bool:
        ids = [member.member_id for member in members]
        if self.founded or self.member.member_id not in ids:
            return False
        entry = LogEntry(1, 0, EntryKind.MEMBERS, b"", list(members))
        snapshot = empty_snapshot()
        state = HardState(0, "")
        self._insist(lambda: self.journal.install(snapshot, [entry], state))
        self._start_agreement(Log(snapshot, [entry]), HardState(0, ""), now_s)
        self.founded = True
        _log.info("founded a group of {} members", len(members))
        return True

    def _join_if_empty(self) -> None:
        if self.founded:
            return
        snapshot, state = empty_snapshot(), HardState(0, "")
        self._insist(lambda: self.journal.install(snapshot, [], state))
        self.founded = True
        _log.info("joining an existing group as a learner")

    def _change_members(self, now_s: float) -> None:
        if not self.agreement.may_change_members():
            return
        learners = self.agreement.caught_up_learners()
        voters = self.agreement.voters()
        if self.settings.open_group:
            silent = self.agreement.silent_members(now_s, GIVE_UP_SILENT_S)
            self.agreement.forget_learners(silent)
            members = next_members(voters, learners, None, silent)
        else:
            addresses = self.settings.group_addresses
            members = next_members(voters, learners, addresses)
        if members is not None:
            self.agreement.propose_members(members, now_s)
            _log.info("changing the group to {} voters", len(members))

    # ---- output ----

    def _flush(self, now_s: float) -> None:
        while True:
            output = self.agreement.take_output()
            replies, self._replies = self._replies, []
            if not self._work_in(output) and not replies:
                return
            self._send_all(output.early_messages)
            self._write(output)
            self.agreement.synced(self.agreement.log.last_index, now_s)
            self._send_all(output.messages)
            for future, reply in replies:
                future.set(reply)
            self._apply(output.committed)

    @staticmethod
    def _work_in(output: Output) -> bool:
        return bool(
            output.install
            or output.records
            or output.early_messages
            or output.messages
            or output.committed
        )

    def _write(self, output: Output) -> None:
        if output.install is not None:
            snapshot = output.install
            hard_state = HardState(self.agreement.term, self.agreement.voted_for)
            self._insist(lambda: self.journal.install(snapshot, [], hard_state))
            self._restore(snapshot)
            self._run_apply_hooks()
        self._insist(lambda: self.journal.append(output.records))

    def _insist(self, write: Callable[[], None]) -> None:
        """Repeat a write until a full disk has room again.

        The actor does nothing else meanwhile, so a leader stops its heartbeats and
        another is elected, and nothing is promised that is not on the disk.
        """
        failed = False
        while True:
            try:
                write()
                break
            except OSError as error:
                if error.errno not in FULL_DISK_ERRORS:
                    raise
                if not failed:
                    _log.error("the disk is full, trying again: {}", error)
                failed = True
                if self._stopping:
                    raise
                time.sleep(DISK_RETRY_S)
        if failed:
            _log.info("the disk has room again")

    def _run_apply_hooks(self) -> None:
        for hook in self.apply_hooks:
            hook(self)

    def _send_all(self, messages: Sequence[tuple[Member, Any]]) -> None:
        for member, message in messages:
            self._send(member, message)

    def _send(self, member: Member, message: Any) -> None:
        sender = self._senders.get(member.address)
        if sender is None:
            timeout_s = self.settings.timing.election_timeout_s
            sender = PeerSender(
                member.address, self._dialer, timeout_s, self._take_answer
            )
            self._senders[member.address] = sender
        sender.send(member, message)

    def _take_answer(self, member: Member, reply: Any) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(Answer(member, reply))

    def _apply(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            result = None
            if entry.kind == EntryKind.COMMAND:
                result = self.machine.apply(entry.index, entry.command)
            self.applied_index = entry.index
            term, callback = self._callbacks.pop(entry.index, (0, None))
            if callback is not None:
                callback(result if term == entry.term else None)
        if self.agreement.role != LEADER:
            self._fail_callbacks()
        if entries:
            self._publish(self.step_at_s)
            self._run_apply_hooks()
        covered = self.agreement.log.snapshot.last_index
        if self.applied_index - covered >= SNAPSHOT_ENTRIES:
            self._snapshot()

    def _fail_callbacks(self) -> None:
        callbacks, self._callbacks = self._callbacks, {}
        for _, callback in callbacks.values():
            callback(None)

    def _snapshot(self) -> None:
        data = self.machine.to_bytes()
        snapshot = self.agreement.compact(self.applied_index, data)
        entries = self.agreement.log.entries_after_snapshot()
        hard_state = HardState(self.agreement.term, self.agreement.voted_for)
        self._insist(lambda: self.journal.install(snapshot, entries, hard_state))

    def propose(self, command: Command, callback: ResultCallback, now_s: float) -> bool:
        """Propose from inside the actor; False if this is not the leader."""
        indexes = self.agreement.propose([encode_struct(command)], now_s)
        for index in indexes:
            self._callbacks[index] = (self.agreement.term, callback)
        return bool(indexes)

    def on_failure(self, *failure: Any) -> None:
        """End the process: a member that cannot write must not go on."""
        _log.critical("the control role failed and stops: {}", failure[1])
        self._fail_callbacks()
        self.journal.close()
        os.kill(os.getpid(), signal.SIGTERM)

    def on_stop(self) -> None:
        """Close the peers and the journal."""
        self._stopping = True
        for sender in self._senders.values():
            sender.stop()
        self._fail_callbacks()
        self.journal.close()
