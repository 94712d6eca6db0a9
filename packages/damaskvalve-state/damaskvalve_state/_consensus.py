"""Raft consensus on a replicated log, as a deterministic state machine.

Implements Raft with pre-vote, check-quorum, a leader lease and single-server
membership changes. :class:`Consensus` performs no input or output: each call takes
the current time, and the records to write and messages to send are collected in an
:class:`Output`.
"""

from collections.abc import Collection, Sequence
from typing import Any

from damaskvalve_core.messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    Member,
    SnapshotFile,
    SnapshotPartRequest,
    SnapshotRequest,
    TakeOverRequest,
    VoteReply,
    VoteRequest,
)
from damaskvalve_state._consensus_state import LEADER, WITHOUT_LOST_VOTER
from damaskvalve_state._elections import Elections
from damaskvalve_state._membership import (
    LossTolerance,
    MembershipChange,
    MembershipView,
    next_members,
)
from damaskvalve_state._progress import (
    NEVER_S,
    Progress,
)

# Entries that a snapshot covers stay in memory, up to this number and size, for
# followers that lag behind.
RETAINED_ENTRIES = 1_000
RETAINED_BYTES = 1024 * 1024
# A member that has not answered the heartbeats of this many intervals may be lost.
DOUBTFUL_HEARTBEATS = 2
# A member counts as stopping for this long after its last announcement. Should it start
# again, it is treated like any other member afterwards.
STOPPING_TIMEOUT_S = 2.0


class Consensus(Elections):
    """One member of a Raft group.

    Guarantees that all members commit the same entries in the same order, as long
    as no member loses data that it has synced.
    """

    def should_send_hello(self) -> bool:
        """Return whether the leader may not know this member.

        This includes a voter without a known leader: the membership change that made
        it a voter may have been overwritten by another leader.
        """
        return not self.is_voter() or not self.leader_id

    def has_leader_contact(self, now_s: float) -> bool:
        """Return whether a known leader sent a message within the election timeout.

        On the leader itself, return whether its lease is still valid. A member that has
        just started has had no contact, although it waits for an election timeout as
        if it had.
        """
        return bool(self.leader_id) and self._has_leader_contact(now_s)

    def unresponsive_members(self, now_s: float, limit_s: float) -> set[str]:
        """Return the ids of members that acknowledged no request sent in ``limit_s``.

        Members added within ``limit_s`` are left out. The set is empty unless this
        member has led for at least ``limit_s``.
        """
        since_s = now_s - limit_s
        if self.role != LEADER or self._became_leader_s > since_s:
            return set()
        return {
            member_id
            for member_id, item in self.progress.items()
            if item.acked_sent_at_s < since_s and item.added_at_s < since_s
        }

    def silent_voters(self, now_s: float) -> Sequence[Member]:
        """Return the voters that this leader has not heard of for an election timeout.

        A new leader waits for that time before it calls a voter silent.
        """
        silent_ids = self._silent_ids(now_s)
        return [item for item in self.voters() if item.member_id in silent_ids]

    def _silent_ids(self, now_s: float) -> Collection[str]:
        return self.unresponsive_members(now_s, self.timing.election_timeout_s)

    def _doubtful_ids(self, now_s: float) -> Collection[str]:
        """Return the ids of members that have not answered the last heartbeats."""
        since_s = now_s - DOUBTFUL_HEARTBEATS * self.timing.heartbeat_s
        return {
            member_id
            for member_id, item in self.progress.items()
            if item.acked_sent_at_s < since_s
        }

    def granted_votes(self) -> Collection[str]:
        """Return the ids of the members that granted the last vote or pre-vote."""
        return frozenset(self._votes)

    def remove_learners(self, member_ids: Collection[str]) -> None:
        """Stop replicating to learners; ids of voters are ignored.

        A learner that still runs sends a hello and is added again.
        """
        voter_ids = {voter.member_id for voter in self.voters()}
        for member_id in member_ids:
            if member_id not in voter_ids:
                self.progress.pop(member_id, None)

    def leader_contact_s(self) -> float:
        """Return the time of the last contact with a leader.

        The start of this member counts as contact, and so does the end of its own
        leadership. The time is NEVER_S after a transfer of its leadership.
        """
        return self._leader_contact_s

    def may_serve(self, now_s: float) -> bool:
        """Return whether this is a leader with a valid lease.

        It must have committed an entry of its term, and so knows all commits.
        """
        if self.role != LEADER or self.commit_index < self._term_start_index:
            return False
        return self.lease_left_s(now_s) > 0

    def awaits_disks(self, tolerance: LossTolerance, now_s: float) -> bool:
        """Return whether votes are about to pass to members with a disk.

        What is committed before would be lost with the power of the members without
        one. A new group waits until every running host has had time to join, as one
        with a disk may be among them.
        """
        if not any(voter.memory_only for voter in self.voters()):
            return False
        if any(not item.member.memory_only for item in self.progress.values()):
            return True
        return not self.holds_commands and not self._is_settled(tolerance, now_s)

    def _is_settled(self, tolerance: LossTolerance, now_s: float) -> bool:
        """Return whether each running host has had time to join under this leader."""
        return now_s - self._became_leader_s >= tolerance.catch_up_s

    def has_applied_its_term(self, applied_index: int) -> bool:
        """Return whether a leader has applied the first entry of its term."""
        return applied_index >= self._term_start_index

    def tick(self, now_s: float) -> None:
        """Start elections, send heartbeats or step down when they are due."""
        if self.role == LEADER:
            self._tick_leader(now_s)
        elif not self.is_voter():
            return
        elif now_s >= self._election_deadline_s:
            self._start_election(now_s, pre_vote=True)
        elif (
            self._is_fresh_start
            and self._fresh_election_at_s <= now_s < self._fresh_until_s
        ):
            self._try_fresh_election(now_s)

    def propose(self, commands: Sequence[bytes], now_s: float) -> Sequence[int]:
        """Append commands to the log; return their indexes, none if not leader."""
        if self.role != LEADER:
            return ()
        indexes = [
            self._append_as_leader(EntryKind.COMMAND, item, ()) for item in commands
        ]
        self._broadcast(now_s)
        return indexes

    def change_members(
        self, tolerance: LossTolerance, now_s: float
    ) -> MembershipChange | None:
        """Propose the next change of an open group's members, if one is due.

        A change that takes this leader's own vote is left to its successor. Return the
        change, or None.
        """
        if not self.may_change_members():
            return None
        doubtful_ids = self._doubtful_ids(now_s)
        voters = self.voters()
        view = MembershipView(
            voters,
            # A learner that is gone holds all entries until the next commit.
            [
                item
                for item in self.caught_up_learners()
                if item.member_id not in doubtful_ids
            ],
            self._silent_ids(now_s),
            [item.member_id for item in voters if item.member_id in doubtful_ids],
            {
                member_id
                for member_id, item in self.progress.items()
                if now_s < item.stopping_until_s
            },
            leader_id=self.member.member_id,
            is_settled=self._is_settled(tolerance, now_s),
        )
        change = next_members(view, tolerance)
        if change is None:
            return None
        if not change.includes(self.member.member_id):
            # The next leader proposes the same change.
            self.transfer_leadership(now_s)
            return None
        self.propose_members(change, now_s)
        return change

    def has_spare_vote(self, tolerance: LossTolerance) -> bool:
        """Return whether this member votes and the others suffice without it."""
        voters = self.voters()
        return self.is_voter() and len(voters) > tolerance.min_voters(voters)

    def propose_members(self, change: MembershipChange, now_s: float) -> bool:
        """Append a member list, which must differ by one voter from the current one.

        Return False, and append nothing, if no change is allowed now.
        """
        if not self.may_change_members():
            return False
        new_ids = {member.member_id for member in change.members}
        for voter in self.voters():
            if voter.member_id not in new_ids:
                self.progress.pop(voter.member_id, None)
        command = WITHOUT_LOST_VOTER if change.leaves_out_lost else b""
        self._append_as_leader(EntryKind.MEMBERS, command, change.members)
        self._refresh_progress(now_s)
        self._broadcast(now_s)
        return True

    def may_change_members(self) -> bool:
        """Return whether this leader has a commit of its term and no pending change."""
        if self.role != LEADER or self.commit_index < self._term_start_index:
            return False
        return self.log.members()[1] <= self.commit_index

    def transfer_leadership(self, now_s: float) -> bool:
        """Step down and ask the voter with the highest match index to take over.

        Return whether a voter with the complete log was found. This member serves
        nothing afterwards, so the target may win an election before this member's
        lease expires.
        """
        if self.role != LEADER:
            return False
        candidates = [
            item
            for item in self.progress.values()
            if self._is_other_voter(item.member) and now_s >= item.stopping_until_s
        ]
        # Of those that hold the log, the one that answered last surely runs.
        target = max(
            candidates,
            key=lambda item: (item.match_index, item.acked_sent_at_s),
            default=None,
        )
        if target is None or target.match_index < self.log.last_index:
            return False
        request = TakeOverRequest(self.term, self.member.member_id)
        self._output.early_messages.append((target.member, request))
        self._become_follower(self.term, now_s)
        self._leader_contact_s = NEVER_S
        self.leader_id = ""
        self.leader_address = ""
        return True

    def add_learner(self, member: Member, now_s: float) -> None:
        """Start replicating to a non-voting member."""
        if self.role != LEADER or member.member_id in self.progress:
            return
        if member.member_id == self.member.member_id:
            return
        new = Progress(member, self.log.last_index + 1, now_s)
        self.progress[member.member_id] = new
        self._send_append(new, self._open_window(now_s), now_s, heartbeat=True)

    def note_stopping(self, member: Member, now_s: float) -> None:
        """Record that a member announced its stop; it repeats that until it ends."""
        item = self.progress.get(member.member_id)
        if item is not None:
            item.stopping_until_s = now_s + STOPPING_TIMEOUT_S

    def caught_up_learners(self) -> Sequence[Member]:
        """Return the learners that hold all committed entries."""
        voter_ids = {voter.member_id for voter in self.voters()}
        return [
            item.member
            for item in self.progress.values()
            if item.member.member_id not in voter_ids
            and item.match_index >= max(self.commit_index, 1)
        ]

    def record_synced(self, index: int, now_s: float) -> None:
        """Record that the entries up to ``index`` are synced to the local disk."""
        self.synced_index = min(index, self.log.last_index)
        if self.role == LEADER:
            self._advance_commit(now_s)

    def compact(self, index: int, data: bytes) -> SnapshotFile:
        """Replace the entries up to ``index`` by a snapshot with the given data."""
        snapshot = self._snapshot_at(index, data)
        self.log.compact(snapshot, RETAINED_ENTRIES, RETAINED_BYTES)
        if snapshot.last_index >= self._newest_snapshot.last_index:
            self._newest_snapshot = snapshot
        return snapshot

    def receive(self, message: Any, now_s: float) -> Any:
        """Handle a message; return the reply if it is a request, else None.

        The reply must not be sent before the output of this step is synced.
        """
        if isinstance(message, VoteRequest):
            return self._on_vote_request(message, now_s)
        if isinstance(message, AppendRequest):
            return self._on_append_request(message, now_s)
        if isinstance(message, SnapshotRequest):
            return self._on_snapshot_request(message, now_s)
        if isinstance(message, SnapshotPartRequest):
            return self._on_snapshot_part(message, now_s)
        if isinstance(message, TakeOverRequest):
            return self._on_take_over(message, now_s)
        if isinstance(message, VoteReply):
            self._on_vote_reply(message, now_s)
        elif isinstance(message, AppendReply):
            self._on_append_reply(message, now_s)
        return None

    def record_request_failure(self, member: Member, request: Any) -> None:
        """Record that a request to a member failed, so that it can be sent again."""
        peer = self.progress.get(member.member_id)
        if peer is None:
            return
        peer.answered_at_s = NEVER_S
        if getattr(request, "sent_at_s", NEVER_S) == peer.in_flight_since_s:
            peer.end_request()
