"""Who leads: elections with pre-votes, and leads that are handed over."""

from damaskvalve_core.messages import (
    TakeOverRequest,
    VoteReply,
    VoteRequest,
)
from damaskvalve_state._consensus_state import (
    CANDIDATE,
    FOLLOWER,
    FRESH_ELECTION_S,
    LEADER,
)
from damaskvalve_state._progress import (
    quorum_size,
)
from damaskvalve_state._replication import Replication


class Elections(Replication):
    """Asks for votes and gives them, at most one a term."""

    def _on_take_over(self, request: TakeOverRequest, now_s: float) -> VoteReply:
        """Start an election for a leader that stops, without waiting for silence."""
        wanted = request.term == self.term and request.leader_id == self.leader_id
        if wanted and self.role == FOLLOWER and self.is_voter():
            self._start_election(now_s, pre_vote=False, handed_over=True)
        return VoteReply(self.term, self.member.member_id, False, True)

    def _try_fresh_election(self, now_s: float) -> None:
        """Look for votes at once after a start, if every voter has just started.

        A lease that is still running belongs to a voter that leads or is silent. So
        if all of them answer, and none has heard a leader since its start, there is
        none to wait for.
        """
        self._fresh_election_at_s = now_s + FRESH_ELECTION_S * len(self.voters())
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
            # A fresh pre-vote does not put off the ordinary election.
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
        for voter in self.voters():
            if voter.member_id != self.member.member_id:
                self._output.messages.append((voter, request))
        self._count_votes(now_s)

    def _count_votes(self, now_s: float) -> None:
        voters = self.voters()
        granted = sum(voter.member_id in self._votes for voter in voters)
        needs_all = self._pre_vote and self._fresh_election
        if granted < (len(voters) if needs_all else quorum_size(len(voters))):
            return
        if self._pre_vote:
            fresh = self._fresh_election
            self._start_election(now_s, pre_vote=False, fresh=fresh)
        else:
            self._become_leader(now_s)

    def _has_leader_contact(self, now_s: float) -> bool:
        if self.role == LEADER:
            return self.lease_left_s(now_s) > 0
        return now_s - self._leader_contact_s < self.timing.election_timeout_s

    def _may_be_leased(self, request: VoteRequest, now_s: float) -> bool:
        """Return whether another leader may still count on this voter."""
        if request.handed_over:
            return False
        if request.fresh_start and self._is_fresh:
            # A vote counts on what this same start has answered before.
            return not request.pre_vote and request.candidate_id not in self._told_fresh
        return self._has_leader_contact(now_s)

    def _on_vote_request(self, request: VoteRequest, now_s: float) -> VoteReply:
        granted = self._may_grant(request, now_s)
        if request.pre_vote and request.fresh_start and granted:
            self._told_fresh.add(request.candidate_id)
        if request.pre_vote:
            return VoteReply(self.term, self.member.member_id, granted, True)
        if request.term > self.term and not self._may_be_leased(request, now_s):
            self._follow_term(request.term, now_s)
        if granted:
            self._set_hard_state(request.term, request.candidate_id)
            self._reset_election(now_s)
            self._fresh_election_at_s = self._election_at_s
        return VoteReply(self.term, self.member.member_id, granted, False)

    def _may_grant(self, request: VoteRequest, now_s: float) -> bool:
        if self._may_be_leased(request, now_s):
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
