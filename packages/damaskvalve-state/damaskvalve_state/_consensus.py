"""Agreement on a log between control hosts, as a deterministic state machine.

Raft with pre-vote, check-quorum, a leader lease and one-at-a-time member
changes. :class:`Consensus` does no input or output: each call takes the present
time, and what has to be written and sent is collected in an :class:`Output`.
"""

from collections.abc import Collection, Sequence
from typing import Any

from damaskvalve_core.messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    Member,
    SnapshotFile,
    SnapshotRequest,
    TakeOverRequest,
    VoteReply,
    VoteRequest,
)
from damaskvalve_state._consensus_state import (
    LEADER,
)
from damaskvalve_state._elections import Elections
from damaskvalve_state._progress import (
    NEVER_S,
    Progress,
)

RETAINED_ENTRIES = 1_000


class Consensus(Elections):
    """One member of the group.

    Guarantees that entries handed out as committed are the same, in the same
    order, on each member, as long as each one keeps what it has synced.
    """

    def needs_hello(self) -> bool:
        """Return whether a leader may not know of this member.

        A voter counts too while it hears no leader: the change that made it one
        may have been replaced by another leader's.
        """
        return not self.is_voter() or not self.leader_id

    def has_leader_contact(self, now_s: float) -> bool:
        """Return whether a leader was heard within the election timeout.

        One that has just started waits as if it had heard one, and has not.
        """
        return bool(self.leader_id) and self._has_leader_contact(now_s)

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

    def tick(self, now_s: float) -> None:
        """Do what the passing of time asks for."""
        if self.role == LEADER:
            self._tick_leader(now_s)
        elif not self.is_voter():
            return
        elif now_s >= self._election_at_s:
            self._start_election(now_s, pre_vote=True)
        elif (
            self._is_fresh and self._fresh_election_at_s <= now_s < self._fresh_until_s
        ):
            self._try_fresh_election(now_s)

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

    def transfer_leadership(self, now_s: float) -> bool:
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
