"""The actor of a control host: messages, bootstrap and membership changes."""

import os
import signal
from collections.abc import Callable, Sequence
from typing import Any

import logbook

from damaskvalve_core import (
    ProtocolError,
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
    Problem,
    VoteReply,
    VoteRequest,
)
from damaskvalve_state._consensus_state import LEADER
from damaskvalve_state._foreign_messages import (
    check_peer_reply,
    check_peer_request,
)
from damaskvalve_state._group_reporter import addresses_text
from damaskvalve_state._log import Log, empty_snapshot
from damaskvalve_state._membership import (
    can_bootstrap,
    initial_voters,
    initiates_bootstrap,
    next_fixed_members,
)
from damaskvalve_state._node_messages import (
    Flush,
    PeerReply,
    PeerRequest,
    RunInActor,
    Tick,
)
from damaskvalve_state._stored_member import StoredMember

HELLO_INTERVAL_S = 0.3
# A member with leader contact may still be unknown to the leader, whose messages may
# be addressed to the member that lost its disk at this address. So it keeps sending
# hellos, at a longer interval.
HELLO_INTERVAL_WITH_LEADER_S = 1.0
# An unresponsive learner is dropped after this time. It sends a hello when it is back.
LEARNER_TIMEOUT_S = 8.0
# Interval at which a member that stops repeats that to the leader.
STOPPING_INTERVAL_S = 0.3

_log = logbook.Logger("group")

#: Receives the result of a proposal, or None if its outcome is unknown.
ResultCallback = Callable[[CommandResult | None], None]


class GroupNode(StoredMember):
    """Runs a member: handles messages, bootstraps the group and changes its members.

    All proposals that are queued in the mailbox share one sync. A reply is never sent
    before the data that it acknowledges is on disk.
    """

    # The process does not wait for a member that its disk holds.
    use_daemon_thread = True

    # ---- mailbox ----

    def on_receive(self, message: Any) -> None:
        """Handle one message; a later flush syncs all records in one batch."""
        now_s = boot_clock_s()
        self.step_at_s = now_s
        if isinstance(message, Flush):
            self._flush_scheduled = False
            self._flush(now_s)
            return
        if isinstance(message, Tick):
            self._on_tick(now_s)
        elif isinstance(message, PeerRequest):
            self._on_request(message, now_s)
        elif isinstance(message, PeerReply):
            self._on_peer_reply(message, now_s)
        elif isinstance(message, RunInActor):
            self._on_run_in_actor(message, now_s)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.actor_ref.tell(Flush())

    def _on_tick(self, now_s: float) -> None:
        self.consensus.tick(now_s)
        if self.consensus.should_send_hello() and now_s >= self._next_hello_s:
            has_leader_contact = self.consensus.has_leader_contact(now_s)
            self._next_hello_s = now_s + (
                HELLO_INTERVAL_WITH_LEADER_S if has_leader_contact else HELLO_INTERVAL_S
            )
            self._send_hello(now_s)
            self._try_bootstrap(now_s)
        if self._stops and now_s >= self._next_stopping_s:
            self._give_up_vote(now_s)
        if self.consensus.role == LEADER:
            self._change_members(now_s)
            self._send_leader_hello(now_s)
        for hook in self.tick_hooks:
            hook(self, now_s)
        self._publish(now_s)
        self.reporter.observe(self.consensus, now_s)

    def _on_run_in_actor(self, message: "RunInActor[Any]", now_s: float) -> None:
        try:
            message.future.set(message.function(self, now_s))
        except Exception:
            message.future.set_exception()

    def _on_request(self, message: PeerRequest, now_s: float) -> None:
        request = message.message
        reply: Any
        try:
            check_peer_request(request, self.consensus.term)
        except ProtocolError as error:
            _log.warning("refused a message that no member sends: {}", error)
            self._replies.append((message.future, Problem("invalid", str(error))))
            return
        if isinstance(request, HelloRequest):
            reply = self._on_hello(request, now_s)
        elif isinstance(request, FoundRequest):
            reply = FoundReply(self._bootstrap(request.members, now_s))
        elif isinstance(request, VoteRequest) and not self.is_bootstrapped:
            own_id = self.member.member_id
            reply = VoteReply(self.consensus.term, own_id, False, request.pre_vote)
        else:
            self._join_if_empty()
            reply = self.consensus.receive(request, now_s)
        self._replies.append((message.future, reply))

    def _on_peer_reply(self, message: PeerReply, now_s: float) -> None:
        reply = message.reply
        if reply is not None:
            try:
                check_peer_reply(reply, self.consensus.term)
            except ProtocolError as error:
                _log.warning("dropped a reply that no member sends: {}", error)
                reply = None
        if reply is None:
            self.consensus.record_request_failure(message.member, message.request)
        elif isinstance(reply, HelloReply):
            self._on_hello_reply(reply, now_s)
        elif not isinstance(reply, FoundReply):
            if isinstance(reply, VoteReply):
                self._note_answering_member(message.member, reply.voter_id, now_s)
            self.consensus.receive(reply, now_s)

    def _note_answering_member(
        self, voter: Member, member_id: str, now_s: float
    ) -> None:
        if self.consensus.note_answering_member(voter, member_id, now_s):
            self.reporter.report(
                "voter_lost_disk",
                voter=voter.address,
                member=voter.member_id,
                answered_as=member_id,
                term=self.consensus.term,
            )

    # ---- bootstrap and membership ----

    def _send_hello(self, now_s: float) -> None:
        request = HelloRequest(
            self.member, not self.is_bootstrapped, stopping=self._stops
        )
        targets = {*self.settings.group_addresses, self._advertised_leader}
        if self.settings.open_group:
            targets.update(voter.address for voter in self.consensus.voters())
            if self.consensus.has_leader_contact(now_s):
                # A leader that has just stepped down names its successor.
                targets = {self.consensus.leader_address, self._advertised_leader}
        for address in targets - {self.member.address, ""}:
            self._send(Member("", address, ""), request)

    def _send_leader_hello(self, now_s: float) -> None:
        """Send the leader's address to seeds and known hosts that do not follow it.

        A restarted member without a disk knows only its seeds. These may have lost
        their state, or may have been replaced.
        """
        if not self.settings.open_group or now_s < self._next_hello_s:
            return
        self._next_hello_s = now_s + HELLO_INTERVAL_WITH_LEADER_S
        followers = {item.member.address for item in self.consensus.progress.values()}
        request = HelloRequest(self.member, not self.is_bootstrapped, True)
        addresses = self.known_addresses.union(self.settings.group_addresses)
        for address in addresses - followers:
            if address != self.member.address:
                self._send(Member("", address, ""), request)

    def announce_stop(self, now_s: float) -> None:
        """Give up leadership and vote, as far as the others can spare them.

        The member goes on following the log. It does not know whether it will start
        again; if it does, it becomes a voter like any other.
        """
        self._stops = True
        self._give_up_vote(now_s)

    def _give_up_vote(self, now_s: float) -> None:
        self._next_stopping_s = now_s + STOPPING_INTERVAL_S
        if self.consensus.transfer_leadership(now_s):
            self.reporter.report("leadership_transferred", term=self.consensus.term)
        elif self.consensus.leader_address not in ("", self.member.address):
            request = HelloRequest(self.member, not self.is_bootstrapped, stopping=True)
            self._send(Member("", self.consensus.leader_address, ""), request)
        self._publish(now_s)

    def _on_hello(self, request: HelloRequest, now_s: float) -> HelloReply:
        if request.leads and not self.consensus.has_leader_contact(now_s):
            self._advertised_leader = request.member.address
            self._next_hello_s = now_s
        if self.consensus.role == LEADER:
            self.consensus.add_learner(request.member, now_s)
            if request.stopping:
                self.consensus.note_stopping(request.member, now_s)
        elif request.empty and self.is_bootstrapped:
            self._resend_bootstrap(request.member)
        return HelloReply(
            self.member, not self.is_bootstrapped, self.consensus.leader_address
        )

    def _resend_bootstrap(self, member: Member) -> None:
        log = self.consensus.log
        if log.first_index > 1 or log.last_index < 1:
            return
        initial_voters = log.entry_at(1).members
        if member.member_id in [voter.member_id for voter in initial_voters]:
            self._send(member, FoundRequest(initial_voters))

    def _on_hello_reply(self, reply: HelloReply, now_s: float) -> None:
        self._hello_replies[reply.member.address] = (reply.member, reply.empty)
        if reply.leader_address and reply.leader_address != self._advertised_leader:
            self._advertised_leader = reply.leader_address
            self._next_hello_s = now_s
        self._try_bootstrap(now_s)

    def _try_bootstrap(self, now_s: float) -> None:
        if self.is_bootstrapped or not self.settings.may_bootstrap:
            return
        hellos = [*self._hello_replies.values(), (self.member, True)]
        addresses = self.settings.group_addresses
        if can_bootstrap(hellos, addresses) and initiates_bootstrap(
            self.member, hellos
        ):
            members = initial_voters(hellos)
            self._bootstrap(members, now_s)
            for member in members:
                if member.member_id != self.member.member_id:
                    self._send(member, FoundRequest(members))

    def _bootstrap(self, members: Sequence[Member], now_s: float) -> bool:
        ids = [member.member_id for member in members]
        if self.is_bootstrapped or self.member.member_id not in ids:
            return False
        entry = LogEntry(1, 0, EntryKind.MEMBERS, b"", list(members))
        snapshot = empty_snapshot()
        state = HardState(0, "")
        self._write_with_retry(lambda: self.journal.install(snapshot, [entry], state))
        self._start_consensus(Log(snapshot, [entry]), HardState(0, ""), now_s)
        self.is_bootstrapped = True
        _log.info("bootstrapped a group of {} members", len(members))
        return True

    def _join_if_empty(self) -> None:
        if self.is_bootstrapped:
            return
        snapshot, state = empty_snapshot(), HardState(0, "")
        self._write_with_retry(lambda: self.journal.install(snapshot, [], state))
        self.is_bootstrapped = True
        _log.info("joining an existing group as a learner")

    def _change_members(self, now_s: float) -> None:
        consensus = self.consensus
        if self.settings.open_group:
            consensus.remove_learners(
                consensus.unresponsive_members(now_s, LEARNER_TIMEOUT_S)
            )
            change = consensus.change_members(self.settings.tolerance, now_s)
        elif consensus.may_change_members():
            change = next_fixed_members(
                consensus.voters(),
                consensus.caught_up_learners(),
                self.settings.group_addresses,
            )
            if change is not None:
                consensus.propose_members(change, now_s)
        else:
            change = None
        if change is not None:
            voters = addresses_text(change.members)
            self.reporter.report("voters_proposed", voters=voters, reason=change.reason)
            _log.info("proposed as voters: {}, as {}", voters, change.reason)

    def propose(self, command: Command, callback: ResultCallback, now_s: float) -> bool:
        """Propose a command from within the actor; return False if not the leader.

        A leader whose group waits for members with a disk takes no commands yet.
        """
        if self.awaits_disks(now_s):
            return False
        indexes = self.consensus.propose([encode_struct(command)], now_s)
        for index in indexes:
            self._callbacks[index] = (self.consensus.term, callback)
        return bool(indexes)

    def on_failure(self, *failure: Any) -> None:
        """Terminate the process after any unexpected error of the actor.

        A member that cannot write must not continue.
        """
        self._fail_callbacks()
        self.journal.close()
        if self._published.stop_requested.is_set():
            _log.warning("stopped with an unfinished write: {}", failure[1])
            return
        _log.critical(
            "the group member failed, terminating the process: {}", failure[1]
        )
        os.kill(os.getpid(), signal.SIGTERM)

    def on_stop(self) -> None:
        """Stop the peer senders and close the journal."""
        for sender in self._senders.values():
            sender.stop()
        self._fail_callbacks()
        self.journal.close()
