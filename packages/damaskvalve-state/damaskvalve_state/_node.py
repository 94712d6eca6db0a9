"""The actor that runs agreement on a control host: disk, peers and callers."""

import os
import signal
from collections.abc import Callable, Sequence
from typing import Any

import logbook

from damaskvalve_core import (
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
    VoteReply,
    VoteRequest,
)
from damaskvalve_state._consensus_state import LEADER
from damaskvalve_state._log import Log, empty_snapshot
from damaskvalve_state._membership import (
    can_bootstrap,
    founders,
    is_founder,
    next_members,
)
from damaskvalve_state._node_messages import Answer, Flush, Request, Run, Tick
from damaskvalve_state._stored_member import StoredMember

HELLO_S = 0.3
# A member that hears a leader may still be unknown to it: what it hears may be meant
# for the lost disk of its address. So it goes on saying hello, but rarely.
KNOWN_HELLO_S = 1.0
# A member that is not heard for so long is given up: longer than a restart or a
# freeze takes, shorter than the time after which another loss has to be borne.
GIVE_UP_SILENT_S = 8.0

_log = logbook.Logger("group")

#: Gets the result of a proposal, or None if its outcome is not known.
ResultCallback = Callable[[CommandResult | None], None]


class GroupNode(StoredMember):
    """Runs a member: messages, founding, members that join and leave.

    All proposals that wait in the mailbox share one sync. An answer never
    leaves before what it promises is on the disk.
    """

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
        self.consensus.tick(now_s)
        if self.consensus.needs_hello() and now_s >= self._next_hello_s:
            has_leader_contact = self.consensus.has_leader_contact(now_s)
            self._next_hello_s = now_s + (
                KNOWN_HELLO_S if has_leader_contact else HELLO_S
            )
            self._say_hello(now_s)
            self._try_founding(now_s)
        if self.consensus.role == LEADER:
            self._change_members(now_s)
            self._greet_seeds(now_s)
        for hook in self.tick_hooks:
            hook(self, now_s)
        self._publish(now_s)

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
            reply = VoteReply(self.consensus.term, own_id, False, request.pre_vote)
        else:
            self._join_if_empty()
            reply = self.consensus.receive(request, now_s)
        self._replies.append((message.future, reply))

    def _on_answer(self, message: Answer, now_s: float) -> None:
        reply = message.reply
        if reply is None:
            self.consensus.request_failed(message.member)
        elif isinstance(reply, HelloReply):
            self._on_hello_reply(reply, now_s)
        elif not isinstance(reply, FoundReply):
            self.consensus.receive(reply, now_s)

    # ---- founding and joining ----

    def _say_hello(self, now_s: float) -> None:
        request = HelloRequest(self.member, not self.founded)
        targets = {*self.settings.group_addresses, self._told_leader}
        if self.settings.open_group:
            targets.update(voter.address for voter in self.consensus.voters())
            if self.consensus.has_leader_contact(now_s):
                targets = {self.consensus.leader_address}
        for address in targets - {self.member.address, ""}:
            self._send(Member("", address, ""), request)

    def _greet_seeds(self, now_s: float) -> None:
        """Let seeds that do not follow this leader know where it is.

        A restarted member knows only its seeds, and those may know nothing either.
        """
        if not self.settings.open_group or now_s < self._next_hello_s:
            return
        self._next_hello_s = now_s + KNOWN_HELLO_S
        known = {item.member.address for item in self.consensus.progress.values()}
        request = HelloRequest(self.member, not self.founded, True)
        for address in set(self.settings.group_addresses) - known:
            if address != self.member.address:
                self._send(Member("", address, ""), request)

    def transfer_leadership(self, now_s: float) -> None:
        """Let another member lead, because this one is about to stop."""
        if self.consensus.transfer_leadership(now_s):
            _log.info("handed the lead over")
        self._publish(now_s)

    def _on_hello(self, request: HelloRequest, now_s: float) -> HelloReply:
        if request.leads and not self.consensus.has_leader_contact(now_s):
            self._told_leader = request.member.address
            self._next_hello_s = now_s
        if self.consensus.role == LEADER:
            self.consensus.add_learner(request.member, now_s)
        elif request.empty and self.founded:
            self._repeat_founding(request.member)
        return HelloReply(self.member, not self.founded, self.consensus.leader_address)

    def _repeat_founding(self, member: Member) -> None:
        log = self.consensus.log
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
        if self.founded or not self.settings.may_bootstrap:
            return
        hellos = [*self._hellos.values(), (self.member, True)]
        addresses = self.settings.group_addresses
        if can_bootstrap(hellos, addresses) and is_founder(self.member, hellos):
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
        if not self.consensus.may_change_members():
            return
        learners = self.consensus.caught_up_learners()
        voters = self.consensus.voters()
        if self.settings.open_group:
            silent = self.consensus.silent_members(now_s, GIVE_UP_SILENT_S)
            self.consensus.forget_learners(silent)
            members = next_members(voters, learners, None, silent)
        else:
            addresses = self.settings.group_addresses
            members = next_members(voters, learners, addresses)
        if members is not None:
            self.consensus.propose_members(members, now_s)
            _log.info("changing the group to {} voters", len(members))

    def propose(self, command: Command, callback: ResultCallback, now_s: float) -> bool:
        """Propose from inside the actor; False if this is not the leader."""
        indexes = self.consensus.propose([encode_struct(command)], now_s)
        for index in indexes:
            self._callbacks[index] = (self.consensus.term, callback)
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
