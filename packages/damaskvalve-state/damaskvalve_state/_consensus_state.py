"""What one member of a group knows, and the steps that every job shares."""

import random
from collections.abc import Sequence

from damaskvalve_core.messages import (
    HardState,
    JournalRecord,
    Member,
)
from damaskvalve_state._log import Log
from damaskvalve_state._progress import (
    NEVER_S,
    Progress,
    quorum_contact_s,
)
from damaskvalve_state._timing import Output, Timing

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"
# Members that start together try to be elected one after the other, so far apart:
# an election takes some message delays and syncs of a disk.
FRESH_ELECTION_S = 0.1


class ConsensusState:
    """The fields of a member, its term and its standing."""

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
        # Whether it has heard no leader, nor led, since it started.
        self._is_fresh = True
        # Candidates that this start has told so.
        self._told_fresh: set[str] = set()
        self._fresh_election = False
        self._fresh_until_s = now_s + timing.election_timeout_s
        self._fresh_election_at_s = now_s + FRESH_ELECTION_S * (self._rank() + 0.5)
        self._next_heartbeat_s = now_s
        self._became_leader_s = NEVER_S
        self._election_at_s = 0.0
        self._output = Output()
        self._reset_election(now_s)

    def voters(self) -> Sequence[Member]:
        """Return the members that vote now."""
        return self.log.members()[0]

    def is_voter(self) -> bool:
        """Return whether this member votes."""
        return any(item.member_id == self.member.member_id for item in self.voters())

    def _rank(self) -> int:
        """Return this member's place in the order of the voters' ids."""
        return sum(item.member_id < self.member.member_id for item in self.voters())

    def lease_left_s(self, now_s: float) -> float:
        """Return how long no other leader can exist; zero or less if unknown."""
        if self.role != LEADER:
            return 0.0
        own_id = self.member.member_id
        contact_s = quorum_contact_s(self.voters(), own_id, now_s, self.progress)
        return contact_s + self.timing.lease_s - now_s

    def take_output(self) -> Output:
        """Return what the steps since the last call have asked for."""
        output = self._output
        self._output = Output()
        while self._applied_index < self.commit_index:
            self._applied_index += 1
            output.committed.append(self.log.entry_at(self._applied_index))
        return output

    def _is_other_voter(self, member: Member) -> bool:
        if member.member_id == self.member.member_id:
            return False
        return any(voter.member_id == member.member_id for voter in self.voters())

    def _reset_election(self, now_s: float) -> None:
        spread_s = self.timing.election_timeout_s * self._rng.random()
        self._election_at_s = now_s + self.timing.election_timeout_s + spread_s

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
