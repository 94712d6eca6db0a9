"""Agreement on a log between control hosts, as a deterministic state machine.

Raft with pre-vote, check-quorum, a leader lease and one-at-a-time member
changes. :class:`Agreement` does no input or output: each call takes the present
time, and what has to be written and sent is collected in an :class:`Output`.
"""

import random
from collections.abc import Collection, Sequence
from typing import Any

from damaskvalve_core.messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    HardState,
    JournalRecord,
    LogEntry,
    Member,
    SnapshotFile,
    SnapshotRequest,
    TakeOverRequest,
    VoteReply,
    VoteRequest,
)
from damaskvalve_state._log import Log
from damaskvalve_state._progress import (
    NEVER_S,
    Progress,
    quorum_contact_s,
    quorum_index,
    quorum_size,
)
from damaskvalve_state._timing import Output, Timing

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

MAX_ENTRIES_PER_APPEND = 512
RETAINED_ENTRIES = 1_000


class Agreement:
    """One member of the group.

    Guarantees that entries handed out as committed are the same, in the same
    order, on each member, as long as each one keeps what it has synced.
    """

    def __init__(
        self,
        member: Member,
        log: Log,
        hard_state: HardState,
        timing: Timing,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.member = member
        self.log = log
        self.timing = timing
        self.term: int = hard_state.term or 0
        self.voted_for: str = hard_state.voted_for or ""
        self.role = FOLLOWER
        self.leader_id = ""
        self.leader_address = ""
        self.commit_index: int = log.snapshot.last_index
        self.synced_index = log.last_index
        self.progress: dict[str, Progress] = {}
        self._rng = rng
        self._applied_index: int = log.snapshot.last_index
        self._votes: set[str] = set()
        self._pre_vote = False
        self._term_start_index = 0
        # A restarted voter may have promised a lease: it waits before voting.
        self._leader_contact_s = now_s
        self._next_heartbeat_s = now_s
        self._became_leader_s = NEVER_S
        self._election_at_s = 0.0
        self._output = Output()
        self._reset_election(now_s)

    # ---- reading ----

    def voters(self) -> Sequence[Member]:
        """Return the members that vote now."""
        return self.log.members()[0]

    def is_voter(self) -> bool:
        """Return whether this member votes."""
        return any(item.member_id == self.member.member_id for item in self.voters())

    def lease_left_s(self, now_s: float) -> float:
        """Return how long no other leader can exist; zero or less if unknown."""
        if self.role != LEADER:
            return 0.0
        own_id = self.member.member_id
        contact_s = quorum_contact_s(self.voters(), own_id, now_s, self.progress)
        return contact_s + self.timing.lease_s - now_s

    def needs_hello(self) -> bool:
        """Return whether a leader may not know of this member.

        A voter counts too while it hears no leader: the change that made it one
        may have been replaced by another leader's.
        """
        return not self.is_voter() or not self.leader_id

    def hears_leader(self, now_s: float) -> bool:
        """Return whether a leader was heard within the election timeout."""
        return self._hears_leader(now_s)

    def silent_members(self, now_s: float, limit_s: float) -> set[str]:
        """Return the ids of the members that a leader has not heard for so long."""
        since_s = now_s - limit_s
        if self.role != LEADER or self._became_leader_s > since_s:
            return set()
        return {
            member_id
            for member_id, item in self.progress.items()
            if item.acked_sent_at_s < since_s and item.added_at_s < since_s
        }

    def forget_learners(self, member_ids: Collection[str]) -> None:
        """Stop replicating to learners that are gone; they say hello if not."""
        voter_ids = {voter.member_id for voter in self.voters()}
        for member_id in member_ids:
            if member_id not in voter_ids:
                self.progress.pop(member_id, None)

    def leader_contact_s(self) -> float:
        """Return when a follower last heard its leader."""
        return self._leader_contact_s

    def may_serve(self, now_s: float) -> bool:
        """Return whether this is the leader and knows all that is committed."""
        if self.role != LEADER or self.commit_index < self._term_start_index:
            return False
        return self.lease_left_s(now_s) > 0

    def take_output(self) -> Output:
        """Return what the steps since the last call have asked for."""
        output = self._output
        self._output = Output()
        while self._applied_index < self.commit_index:
            self._applied_index += 1
            output.committed.append(self.log.entry_at(self._applied_index))
        return output

    # ---- steps ----

    def tick(self, now_s: float) -> None:
        """Do what the passing of time asks for."""
        if self.role == LEADER:
            self._tick_leader(now_s)
        elif now_s >= self._election_at_s and self.is_voter():
            self._start_election(now_s, pre_vote=True)

    def propose(self, commands: Sequence[bytes], now_s: float) -> Sequence[int]:
        """Append commands as leader; return their indexes, none if not leader."""
        if self.role != LEADER:
            return ()
        indexes = [self._append_own(EntryKind.COMMAND, item, ()) for item in commands]
        self._broadcast(now_s)
        return indexes

    def propose_members(self, members: Sequence[Member], now_s: float) -> bool:
        """Append a member list that differs by one voter; False if not now."""
        if not self.may_change_members():
            return False
        kept = {member.member_id for member in members}
        for voter in self.voters():
            if voter.member_id not in kept:
                self.progress.pop(voter.member_id, None)
        self._append_own(EntryKind.MEMBERS, b"", members)
        self._refresh_progress(now_s)
        self._broadcast(now_s)
        return True

    def may_change_members(self) -> bool:
        """Return whether the last member change and this term are committed."""
        if self.role != LEADER or self.commit_index < self._term_start_index:
            return False
        return self.log.members()[1] <= self.commit_index

    def hand_over(self, now_s: float) -> bool:
        """Stop leading and ask the voter that is furthest to take over.

        Returns whether there was one to ask. Nothing is served after this, so the
        other may be elected before this member's lease has ended.
        """
        if self.role != LEADER:
            return False
        others = [
            item for item in self.progress.values() if self._is_other_voter(item.member)
        ]
        best = max(others, key=lambda item: item.match_index, default=None)
        if best is None or best.match_index < self.log.last_index:
            return False
        request = TakeOverRequest(self.term, self.member.member_id)
        self._output.early_messages.append((best.member, request))
        self._follow_term(self.term, now_s)
        self._leader_contact_s = NEVER_S
        self.leader_id = ""
        self.leader_address = ""
        return True

    def _is_other_voter(self, member: Member) -> bool:
        if member.member_id == self.member.member_id:
            return False
        return any(voter.member_id == member.member_id for voter in self.voters())

    def add_learner(self, member: Member, now_s: float) -> None:
        """Replicate to a member that does not vote yet."""
        if self.role != LEADER or member.member_id in self.progress:
            return
        if member.member_id == self.member.member_id:
            return
        self.progress[member.member_id] = Progress(
            member, self.log.last_index + 1, now_s
        )
        self._send_append(self.progress[member.member_id], now_s)

    def caught_up_learners(self) -> Sequence[Member]:
        """Return the learners that hold all that is committed."""
        voter_ids = {voter.member_id for voter in self.voters()}
        return [
            item.member
            for item in self.progress.values()
            if item.member.member_id not in voter_ids
            and item.match_index >= max(self.commit_index, 1)
        ]

    def synced(self, index: int, now_s: float) -> None:
        """Take note that the entries up to ``index`` are on this disk."""
        self.synced_index = min(index, self.log.last_index)
        if self.role == LEADER:
            self._advance_commit(now_s)

    def compact(self, index: int, data: bytes) -> SnapshotFile:
        """Put the entries up to ``index`` into a snapshot of the given data."""
        term = self.log.term_at(index)
        members = list(self.log.members_at(index))
        snapshot = SnapshotFile(index, term, members, data)
        self.log.compact(snapshot, RETAINED_ENTRIES)
        return snapshot

    def receive(self, message: Any, now_s: float) -> Any:
        """Handle a message; return the reply to a request, else None.

        A reply must not leave before the output of this step is synced.
        """
        if isinstance(message, VoteRequest):
            return self._on_vote_request(message, now_s)
        if isinstance(message, AppendRequest):
            return self._on_append_request(message, now_s)
        if isinstance(message, SnapshotRequest):
            return self._on_snapshot_request(message, now_s)
        if isinstance(message, TakeOverRequest):
            return self._on_take_over(message, now_s)
        if isinstance(message, VoteReply):
            self._on_vote_reply(message, now_s)
        elif isinstance(message, AppendReply):
            self._on_append_reply(message, now_s)
        return None

    def request_failed(self, member: Member) -> None:
        """Take note that a request to a member got no answer."""
        known = self.progress.get(member.member_id)
        if known is not None:
            known.in_flight = NEVER_S

    # ---- elections ----

    def _reset_election(self, now_s: float) -> None:
        spread_s = self.timing.election_timeout_s * self._rng.random()
        self._election_at_s = now_s + self.timing.election_timeout_s + spread_s

    def _on_take_over(self, request: TakeOverRequest, now_s: float) -> VoteReply:
        """Start an election for a leader that stops, without waiting for silence."""
        wanted = request.term == self.term and request.leader_id == self.leader_id
        if wanted and self.role == FOLLOWER and self.is_voter():
            self._start_election(now_s, pre_vote=False, handed_over=True)
        return VoteReply(self.term, self.member.member_id, False, True)

    def _start_election(
        self, now_s: float, *, pre_vote: bool, handed_over: bool = False
    ) -> None:
        self._reset_election(now_s)
        self.leader_id = ""
        self.leader_address = ""
        self._pre_vote = pre_vote
        self._votes = {self.member.member_id}
        self.role = CANDIDATE
        if not pre_vote:
            self._set_hard_state(self.term + 1, self.member.member_id)
        request = VoteRequest(
            self.term + 1 if pre_vote else self.term,
            self.member.member_id,
            self.log.last_index,
            self.log.last_term,
            pre_vote,
            handed_over,
        )
        for voter in self.voters():
            if voter.member_id != self.member.member_id:
                self._output.messages.append((voter, request))
        self._count_votes(now_s)

    def _count_votes(self, now_s: float) -> None:
        voters = self.voters()
        granted = sum(voter.member_id in self._votes for voter in voters)
        if granted < quorum_size(len(voters)):
            return
        if self._pre_vote:
            self._start_election(now_s, pre_vote=False)
        else:
            self._become_leader(now_s)

    def _hears_leader(self, now_s: float) -> bool:
        if self.role == LEADER:
            return self.lease_left_s(now_s) > 0
        return now_s - self._leader_contact_s < self.timing.election_timeout_s

    def _on_vote_request(self, request: VoteRequest, now_s: float) -> VoteReply:
        granted = self._may_grant(request, now_s)
        if request.pre_vote:
            return VoteReply(self.term, self.member.member_id, granted, True)
        free = request.handed_over or not self._hears_leader(now_s)
        if request.term > self.term and free:
            self._follow_term(request.term, now_s)
        if granted:
            self._set_hard_state(request.term, request.candidate_id)
            self._reset_election(now_s)
        return VoteReply(self.term, self.member.member_id, granted, False)

    def _may_grant(self, request: VoteRequest, now_s: float) -> bool:
        if self._hears_leader(now_s) and not request.handed_over:
            return False
        if request.term < self.term:
            return False
        free = self.voted_for in ("", request.candidate_id)
        if not request.pre_vote and request.term == self.term and not free:
            return False
        own_position = (self.log.last_term, self.log.last_index)
        return (request.last_term, request.last_index) >= own_position

    def _on_vote_reply(self, reply: VoteReply, now_s: float) -> None:
        if reply.term > self.term:
            self._follow_term(reply.term, now_s)
            return
        if self.role != CANDIDATE or reply.pre_vote != self._pre_vote:
            return
        if not reply.pre_vote and reply.term != self.term:
            return
        if reply.granted:
            self._votes.add(reply.voter_id)
            self._count_votes(now_s)

    def _follow_term(self, term: int, now_s: float) -> None:
        if term > self.term:
            self._set_hard_state(term, "")
        if self.role == LEADER:
            self._leader_contact_s = now_s
        self.role = FOLLOWER
        self.progress = {}
        self._reset_election(now_s)

    def _set_hard_state(self, term: int, voted_for: str) -> None:
        self.term = term
        self.voted_for = voted_for
        record = JournalRecord(hard_state=HardState(term, voted_for))
        self._output.records.append(record)

    # ---- leading ----

    def _become_leader(self, now_s: float) -> None:
        self.role = LEADER
        self.leader_id = self.member.member_id
        self.leader_address = self.member.address
        self.progress = {}
        self._refresh_progress(now_s)
        self._became_leader_s = now_s
        self._term_start_index = self._append_own(EntryKind.NOOP, b"", ())
        self._broadcast(now_s)

    def _refresh_progress(self, now_s: float) -> None:
        for voter in self.voters():
            known = voter.member_id in self.progress
            if not known and voter.member_id != self.member.member_id:
                fresh = Progress(voter, self.log.last_index + 1, now_s)
                self.progress[voter.member_id] = fresh

    def _append_own(self, kind: int, command: bytes, members: Sequence[Member]) -> int:
        index = self.log.last_index + 1
        entry = LogEntry(index, self.term, kind, command, list(members))
        self.log.append(entry)
        self._output.records.append(JournalRecord(entry=entry))
        return index

    def _tick_leader(self, now_s: float) -> None:
        since_s = now_s - self._became_leader_s
        if since_s > self.timing.election_timeout_s and self.lease_left_s(now_s) <= 0:
            self._follow_term(self.term, now_s)
            self.leader_id = ""
            self.leader_address = ""
            return
        if now_s >= self._next_heartbeat_s:
            self._broadcast(now_s, heartbeat=True)

    def _broadcast(self, now_s: float, *, heartbeat: bool = False) -> None:
        for known in self.progress.values():
            awaited = now_s - known.in_flight < self.timing.resend_s
            if heartbeat or (self._lacks_something(known) and not awaited):
                self._send_append(known, now_s)
        if heartbeat:
            self._next_heartbeat_s = now_s + self.timing.heartbeat_s

    def _lacks_something(self, known: Progress) -> bool:
        """Return whether a member lacks entries or does not know what is committed."""
        if known.next_index <= self.log.last_index:
            return True
        return known.sent_commit_index < self.commit_index

    def _send_append(self, known: Progress, now_s: float) -> None:
        """Send what a member lacks; only contact while an answer is awaited."""
        previous = known.next_index - 1
        waiting = now_s - known.in_flight < self.timing.resend_s
        if self.log.term_at(previous) is None:
            if not waiting:
                known.in_flight = now_s
                self._send_snapshot(known, now_s)
            return
        if not waiting:
            known.in_flight = now_s
        most = 0 if waiting else MAX_ENTRIES_PER_APPEND
        known.sent_commit_index = self.commit_index
        request = AppendRequest(
            self.term,
            self.member.member_id,
            self.member.address,
            previous,
            self.log.term_at(previous),
            list(self.log.entries_from(known.next_index, most)),
            self.commit_index,
            now_s,
        )
        self._output.early_messages.append((known.member, request))

    def _send_snapshot(self, known: Progress, now_s: float) -> None:
        snapshot = self.log.snapshot
        request = SnapshotRequest(
            self.term,
            self.member.member_id,
            self.member.address,
            snapshot.last_index,
            snapshot.last_term,
            list(snapshot.members),
            snapshot.data,
            now_s,
        )
        self._output.early_messages.append((known.member, request))

    def _on_append_reply(self, reply: AppendReply, now_s: float) -> None:
        if reply.term > self.term:
            self._follow_term(reply.term, now_s)
            return
        known = self.progress.get(reply.member_id)
        if self.role != LEADER or reply.term != self.term or known is None:
            return
        awaited = reply.sent_at_s == known.in_flight
        if awaited:
            known.in_flight = NEVER_S
        known.acked_sent_at_s = max(known.acked_sent_at_s, reply.sent_at_s)
        if reply.success:
            known.match_index = max(known.match_index, reply.match_index)
            known.next_index = known.match_index + 1
            self._advance_commit(now_s)
        else:
            self._step_back(known, reply.match_index)
        if awaited and self._lacks_something(known):
            self._send_append(known, now_s)

    def _step_back(self, known: Progress, hint_index: int) -> None:
        known.next_index = max(1, min(known.next_index - 1, hint_index + 1))

    def _advance_commit(self, now_s: float) -> None:
        own_id = self.member.member_id
        index = quorum_index(self.voters(), own_id, self.synced_index, self.progress)
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        self.commit_index = index
        self._broadcast(now_s)

    # ---- following ----

    def _accept_leader(
        self, term: int, leader_id: str, address: str, now_s: float
    ) -> None:
        if term > self.term or self.role != FOLLOWER:
            self._follow_term(term, now_s)
        self.leader_id = leader_id
        self.leader_address = address
        self._leader_contact_s = now_s
        self._reset_election(now_s)

    def _reply(
        self, *, success: bool, match_index: int, sent_at_s: float
    ) -> AppendReply:
        own_id = self.member.member_id
        return AppendReply(self.term, own_id, success, match_index, sent_at_s)

    def _on_append_request(self, request: AppendRequest, now_s: float) -> AppendReply:
        sent_at_s = request.sent_at_s
        if request.term < self.term:
            return self._reply(success=False, match_index=0, sent_at_s=NEVER_S)
        self._accept_leader(
            request.term, request.leader_id, request.leader_address, now_s
        )
        if request.previous_index < self.log.snapshot.last_index:
            base = self.log.snapshot.last_index
            return self._reply(success=True, match_index=base, sent_at_s=sent_at_s)
        if self.log.term_at(request.previous_index) != request.previous_term:
            hint = min(self.log.last_index, request.previous_index - 1)
            return self._reply(success=False, match_index=hint, sent_at_s=sent_at_s)
        for entry in request.entries:
            self._store_entry(entry)
        match_index = request.previous_index + len(request.entries)
        commit_index = min(request.commit_index, match_index)
        self.commit_index = max(self.commit_index, commit_index)
        return self._reply(success=True, match_index=match_index, sent_at_s=sent_at_s)

    def _store_entry(self, entry: LogEntry) -> None:
        held_term = self.log.term_at(entry.index)
        if held_term == entry.term:
            return
        if held_term is not None:
            self.log.truncate_from(entry.index)
            self.synced_index = min(self.synced_index, entry.index - 1)
            record = JournalRecord(truncate_from_index=entry.index)
            self._output.records.append(record)
        self.log.append(entry)
        self._output.records.append(JournalRecord(entry=entry))

    def _on_snapshot_request(
        self, request: SnapshotRequest, now_s: float
    ) -> AppendReply:
        if request.term < self.term:
            return self._reply(success=False, match_index=0, sent_at_s=NEVER_S)
        self._accept_leader(
            request.term, request.leader_id, request.leader_address, now_s
        )
        if request.last_index > self.commit_index:
            snapshot = SnapshotFile(
                request.last_index, request.last_term, request.members, request.data
            )
            self._install(snapshot)
        match_index = request.last_index
        return self._reply(
            success=True, match_index=match_index, sent_at_s=request.sent_at_s
        )

    def _install(self, snapshot: SnapshotFile) -> None:
        self.log.reset(snapshot)
        self.commit_index = snapshot.last_index
        self._applied_index = snapshot.last_index
        # Records of entries that the snapshot replaces must not be written.
        kept = [item for item in self._output.records if item.hard_state is not None]
        self._output.records = kept
        self._output.install = snapshot
        self.synced_index = snapshot.last_index
