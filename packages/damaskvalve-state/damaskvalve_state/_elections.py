"""Leader elections with pre-vote, and leadership transfer."""

from collections.abc import Sequence

from damaskvalve_core.messages import (
    Member,
    TakeOverRequest,
    VoteReply,
    VoteRequest,
)
from damaskvalve_state._consensus_state import (
    CANDIDATE,
    FOLLOWER,
    FRESH_ELECTION_STAGGER_S,
    LEADER,
)
from damaskvalve_state._progress import (
    quorum_size,
)
from damaskvalve_state._replication import Replication


class Elections(Replication):
    """Requests votes and grants at most one vote per term."""

    def _on_take_over(self, request: TakeOverRequest, now_s: float) -> VoteReply:
        """Start an election at once, at the request of a leader that steps down.

        The reply only acknowledges the request; it is not a vote.
        """
        is_current = request.term == self.term and request.leader_id == self.leader_id
        if is_current and self.role == FOLLOWER and self.is_voter():
            self._start_election(now_s, pre_vote=False, handed_over=True)
        return VoteReply(self.term, self.member.member_id, False, True)

    def _try_fresh_election(self, now_s: float) -> None:
        """Start an early election that needs a fresh pre-vote from every voter.

        Only a voter that leads or does not answer can hold a running lease. If all
        voters answer and none has had a leader since its start, no lease can exist
        and there is no need to wait for an election timeout.
        """
        self._fresh_election_at_s = now_s + FRESH_ELECTION_STAGGER_S * len(
            self.voters()
        )
        self._start_election(now_s, pre_vote=True, fresh=True)

    def _start_election(
        self,
        now_s: float,
        *,
        pre_vote: bool,
        handed_over: bool = False,
        fresh: bool = False,
    ) -> None:
        if not (fresh and pre_vote):
            # A fresh pre-vote does not postpone the regular election.
            self._reset_election(now_s)
        self._fresh_election = fresh
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
            fresh,
        )
        voters = {voter.member_id: voter for voter in self.voters()}
        if not fresh:
            earlier = self._voters_before_unknown_commit()
            voters.update((voter.member_id, voter) for voter in earlier)
        for voter in voters.values():
            if voter.member_id != self.member.member_id:
                self._output.messages.append((voter, request))
        self._count_votes(now_s)

    def note_answering_member(
        self, voter: Member, member_id: str, now_s: float
    ) -> bool:
        """Record which member answered a vote request that was sent to a voter.

        A member id is created with its data folder and not used again. Another id at
        the voter's address shows that the voter's disk is lost, so that the voter can
        neither vote nor acknowledge an entry any more. Return whether this is new.
        """
        if member_id == voter.member_id or voter.member_id in self._lost_disk_ids:
            return False
        self._lost_disk_ids.add(voter.member_id)
        if self.role == CANDIDATE:
            self._count_votes(now_s)
        return True

    def _count_granted(self, voters: Sequence[Member]) -> int:
        return sum(voter.member_id in self._votes for voter in voters)

    def _count_votes(self, now_s: float) -> None:
        """Win the election if a majority has granted its vote.

        The majority may be one of the voters without one that lost its disk. Such a
        majority overlaps each majority of all voters, as at any change of one voter.
        """
        voters = self.voters()
        needs_all_voters = self._pre_vote and self._fresh_election
        needed = len(voters) if needs_all_voters else quorum_size(len(voters))
        lost_voter = None
        if self._count_granted(voters) < needed:
            lost_voter = self._voter_without_disk(voters)
            if needs_all_voters or lost_voter is None:
                return
            earlier = self._voters_before_unknown_commit()
            if self._count_granted(earlier) < quorum_size(len(earlier)) and earlier:
                return
            remaining = [voter for voter in voters if voter is not lost_voter]
            if self._count_granted(remaining) < quorum_size(len(remaining)):
                return
        if self._pre_vote:
            fresh = self._fresh_election
            self._start_election(now_s, pre_vote=False, fresh=fresh)
        else:
            self._become_leader(now_s, lost_voter)

    def _has_leader_contact(self, now_s: float) -> bool:
        """Return whether a leader's own lease or a follower's leader contact holds."""
        if self.role == LEADER:
            return self.lease_left_s(now_s) > 0
        return now_s - self._leader_contact_s < self.timing.election_timeout_s

    def _is_bound_by_lease(self, request: VoteRequest, now_s: float) -> bool:
        """Return whether a valid leader lease may rely on this voter."""
        if request.handed_over:
            return False
        if request.fresh_start and self._is_fresh_start:
            # A fresh vote needs a pre-vote that this process granted to the candidate.
            return (
                not request.pre_vote
                and request.candidate_id not in self._fresh_pre_votes
            )
        return self._has_leader_contact(now_s)

    def _on_vote_request(self, request: VoteRequest, now_s: float) -> VoteReply:
        granted = self._can_grant_vote(request, now_s)
        if request.pre_vote and request.fresh_start and granted:
            self._fresh_pre_votes.add(request.candidate_id)
        if request.pre_vote:
            return VoteReply(self.term, self.member.member_id, granted, True)
        if request.term > self.term and not self._is_bound_by_lease(request, now_s):
            self._become_follower(request.term, now_s)
        if granted:
            self._set_hard_state(request.term, request.candidate_id)
            self._reset_election(now_s)
            self._fresh_election_at_s = self._election_deadline_s
        return VoteReply(self.term, self.member.member_id, granted, False)

    def _can_grant_vote(self, request: VoteRequest, now_s: float) -> bool:
        if self._is_bound_by_lease(request, now_s):
            return False
        if request.term < self.term:
            return False
        can_vote = self.voted_for in ("", request.candidate_id)
        if not request.pre_vote and request.term == self.term and not can_vote:
            return False
        own_position = (self.log.last_term, self.log.last_index)
        return (request.last_term, request.last_index) >= own_position

    def _on_vote_reply(self, reply: VoteReply, now_s: float) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, now_s)
            return
        if self.role != CANDIDATE or reply.pre_vote != self._pre_vote:
            return
        if not reply.pre_vote and reply.term != self.term:
            return
        if reply.granted:
            self._votes.add(reply.voter_id)
            self._count_votes(now_s)
