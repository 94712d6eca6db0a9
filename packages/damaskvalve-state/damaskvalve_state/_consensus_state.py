"""The Raft state of one member and the helpers shared by elections and replication."""

import random
from collections.abc import Sequence

from damaskvalve_core.messages import (
    EntryKind,
    HardState,
    JournalRecord,
    LogEntry,
    Member,
)
from damaskvalve_state._log import Log
from damaskvalve_state._progress import (
    NEVER_S,
    Progress,
    quorum_contact_s,
)
from damaskvalve_state._state_access import WITHOUT_STATE, StateAccess
from damaskvalve_state._timing import Output, Timing
from damaskvalve_state._transfer import SnapshotAssembly

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"
# The command of an entry that follows a committed list of voters.
LIST_COMMITTED = b"committed"
# The command of a member list that leaves out a voter known to have lost its disk.
WITHOUT_LOST_VOTER = b"lost"
# Members that start together stagger their first elections by this interval, which
# leaves time for an election's message round trips and disk syncs.
FRESH_ELECTION_STAGGER_S = 0.1


class ConsensusState:
    """The term, role, log and replication state of a member."""

    def __init__(
        self,
        member: Member,
        log: Log,
        hard_state: HardState,
        timing: Timing,
        rng: random.Random,
        now_s: float,
        access: StateAccess = WITHOUT_STATE,
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
        self._access = access
        # The newest snapshot for members that lag. The log may hold an older one.
        self._newest_snapshot = log.snapshot
        # Of the snapshot that a leader sends to this member.
        self._assembly = SnapshotAssembly()
        self._applied_index: int = log.snapshot.last_index
        # Whether a command has been committed in this group, as far as is known.
        self.holds_commands = log.snapshot.last_index > 0
        self._votes: set[str] = set()
        # Members whose data folders are known to be lost.
        self._lost_disk_ids: set[str] = set()
        self._pre_vote = False
        # The index of the list of voters that this leader has marked as committed.
        self._marked_list_index = 0
        # The index of the first entry that this member appended as leader.
        self._term_start_index = 0
        # A restarted voter may have acknowledged a leader's lease before. Its start
        # counts as leader contact, so that it does not vote while the lease may hold.
        self._leader_contact_s = now_s
        # Whether this member has neither had a leader nor led since it started.
        self._is_fresh_start = True
        # Candidates whose fresh pre-votes this member has granted since it started.
        self._fresh_pre_votes: set[str] = set()
        self._fresh_election = False
        # Fresh elections are tried only before this time.
        self._fresh_until_s = now_s + timing.election_timeout_s
        # When the next fresh election is due.
        self._fresh_election_at_s = now_s + FRESH_ELECTION_STAGGER_S * (
            self._rank() + 0.5
        )
        self._next_heartbeat_s = now_s
        self._became_leader_s = NEVER_S
        self._election_deadline_s = 0.0
        self._output = Output()
        self._reset_election(now_s)

    def voters(self) -> Sequence[Member]:
        """Return the current voters."""
        return self.log.members()[0]

    def is_voter(self) -> bool:
        """Return whether this member is a voter."""
        return any(item.member_id == self.member.member_id for item in self.voters())

    def _rank(self) -> int:
        """Return the number of voters with a lower id than this member."""
        return sum(item.member_id < self.member.member_id for item in self.voters())

    def lease_left_s(self, now_s: float) -> float:
        """Return the time left on the leader lease; zero or less if there is none."""
        if self.role != LEADER:
            return 0.0
        own_id = self.member.member_id
        contact_s = quorum_contact_s(self.voters(), own_id, now_s, self.progress)
        old_voters = self._voters_before_change()
        if old_voters:
            contact_s = min(
                contact_s, quorum_contact_s(old_voters, own_id, now_s, self.progress)
            )
        return contact_s + self.timing.lease_s - now_s

    def take_output(self) -> Output:
        """Return and clear the output collected since the last call."""
        output = self._output
        self._output = Output()
        while self._applied_index < self.commit_index:
            self._applied_index += 1
            entry = self.log.entry_at(self._applied_index)
            self.holds_commands = self.holds_commands or entry.kind == EntryKind.COMMAND
            output.committed.append(entry)
        return output

    def _voters_before_change(self) -> Sequence[Member]:
        """Return the voters whose majority an uncommitted change of voters needs too.

        An even number of voters may elect a leader without one that lost its disk. Such
        a leader must not miss a change, so this has to be on a majority of those that
        may elect it, not only of the new voters. The result is empty if there is no
        such change, or if it only leaves out a voter that lost its disk.
        """
        entry = self.log.newest_members_entry()
        if entry is None or entry.index <= self.commit_index:
            return ()
        if entry.command == WITHOUT_LOST_VOTER:
            return ()
        voters = self.log.members_at(entry.index - 1)
        if len(voters) % 2 or self._is_marked_as_committed(entry):
            return ()
        lost_voter = self._voter_without_disk(voters)
        return [voter for voter in voters if voter is not lost_voter]

    def _voters_before_unknown_commit(self) -> Sequence[Member]:
        """Return the voters before the newest list, unless that is known as committed.

        Members that lack it may have elected by the list before it. The commit index is
        not kept over a restart, but the leader's mark is.
        """
        entry = self.log.newest_members_entry()
        if entry is None or entry.index <= self.commit_index:
            return ()
        if self._is_marked_as_committed(entry):
            return ()
        return self.log.members_at(entry.index - 1)

    def _is_marked_as_committed(self, entry: LogEntry) -> bool:
        """Return whether a leader has marked the newest list of voters as committed."""
        later = self.log.entries_from(entry.index + 1, self.log.last_index)
        return any(item.command == LIST_COMMITTED for item in later)

    def _voter_without_disk(self, voters: Sequence[Member]) -> Member | None:
        """Return a voter that is known to have lost its disk."""
        lost = (item for item in voters if item.member_id in self._lost_disk_ids)
        return next(lost, None)

    def _is_other_voter(self, member: Member) -> bool:
        if member.member_id == self.member.member_id:
            return False
        return any(voter.member_id == member.member_id for voter in self.voters())

    def _reset_election(self, now_s: float) -> None:
        spread_s = self.timing.election_timeout_s * self._rng.random()
        self._election_deadline_s = now_s + self.timing.election_timeout_s + spread_s

    def _become_follower(self, term: int, now_s: float) -> None:
        if term > self.term:
            self._set_hard_state(term, "")
        if self.role == LEADER:
            self._leader_contact_s = now_s
        self.role = FOLLOWER
        self.progress = {}
        self._newest_snapshot = self.log.snapshot
        self._reset_election(now_s)

    def _set_hard_state(self, term: int, voted_for: str) -> None:
        self.term = term
        self.voted_for = voted_for
        record = JournalRecord(hard_state=HardState(term, voted_for))
        self._output.records.append(record)
