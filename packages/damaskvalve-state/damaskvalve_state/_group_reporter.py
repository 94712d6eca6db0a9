"""Reports changes of the voters, their silence, the loss of the quorum and lags."""

from collections.abc import Callable, Iterable
from typing import Any

from damaskvalve_core.messages import Member
from damaskvalve_state._consensus import Consensus
from damaskvalve_state._consensus_state import LEADER
from damaskvalve_state._progress import Progress

# A group without a leader reports this often which voters it lacks.
NO_QUORUM_INTERVAL_S = 5.0
# A member that lacks committed entries for this long is reported.
LAG_REPORT_S = 2.0

#: Receives the kind of an event and its fields.
GroupObserver = Callable[[str, dict[str, Any]], None]


def ignore_event(kind: str, fields: dict[str, Any]) -> None:
    """Discard an event."""


class GroupReporter:
    """Compares the state of a member with what it reported last."""

    def __init__(self, observer: GroupObserver, now_s: float) -> None:
        self._observer = observer
        self._voters: tuple[object, ...] = ()
        self._leader: tuple[int, str] = (0, "")
        self._silent: dict[str, Member] = {}
        self._learners: dict[str, Member] = {}
        # When each member that lacks committed entries began to, and those of them
        # that were reported.
        self._lagging_since_s: dict[str, float] = {}
        self._reported_lags: set[str] = set()
        self._leader_known_s = now_s
        self._next_no_quorum_s = now_s + NO_QUORUM_INTERVAL_S

    def report(self, kind: str, **fields: Any) -> None:
        """Report a single event."""
        self._observer(kind, fields)

    def observe(self, consensus: Consensus, now_s: float) -> None:
        """Report what has changed since the last call."""
        self._observe_voters(consensus)
        self._observe_leader(consensus, now_s)
        if consensus.role == LEADER:
            self._observe_silence(consensus, now_s)
            self._observe_learners(consensus)
            self._observe_lags(consensus, now_s)
        else:
            self._silent = {}
            self._learners = {}
            self._lagging_since_s = {}
            self._reported_lags = set()

    def _observe_voters(self, consensus: Consensus) -> None:
        members, index = consensus.log.members()
        is_committed = index <= consensus.commit_index
        state = (index, is_committed, tuple(item.member_id for item in members))
        if state == self._voters or not members:
            return
        self._voters = state
        self.report(
            "voters",
            voters=addresses_text(members),
            index=index,
            term=consensus.term,
            committed=is_committed,
        )

    def _observe_leader(self, consensus: Consensus, now_s: float) -> None:
        leader = consensus.term, consensus.leader_address
        if consensus.leader_id and leader != self._leader:
            self._leader = leader
            self.report("follows", leader=consensus.leader_address, term=consensus.term)
        if consensus.has_leader_contact(now_s):
            self._leader_known_s = now_s
            self._next_no_quorum_s = now_s + NO_QUORUM_INTERVAL_S
        elif now_s >= self._next_no_quorum_s:
            self._next_no_quorum_s = now_s + NO_QUORUM_INTERVAL_S
            granted = consensus.granted_votes()
            lacking = [
                item for item in consensus.voters() if item.member_id not in granted
            ]
            self.report(
                "no_leader",
                since_s=round(now_s - self._leader_known_s, 2),
                voters=addresses_text(consensus.voters()),
                lacking=addresses_text(lacking),
                term=consensus.term,
            )

    def _observe_silence(self, consensus: Consensus, now_s: float) -> None:
        silent = {item.member_id: item for item in consensus.silent_voters(now_s)}
        for member_id, member in silent.items():
            if member_id not in self._silent:
                self.report("voter_silent", voter=member.address, member=member_id)
        for member_id, member in self._silent.items():
            if member_id not in silent:
                is_voter = any(
                    item.member_id == member_id for item in consensus.voters()
                )
                kind = "voter_regained" if is_voter else "voter_removed"
                self.report(kind, voter=member.address, member=member_id)
        self._silent = silent

    def _observe_learners(self, consensus: Consensus) -> None:
        learners = {
            item.member_id: item
            for item in consensus.caught_up_learners()
            if not item.memory_only
        }
        for member_id, member in learners.items():
            if member_id not in self._learners:
                self.report("learner_ready", learner=member.address, member=member_id)
        self._learners = learners

    def _observe_lags(self, consensus: Consensus, now_s: float) -> None:
        for member_id, item in consensus.progress.items():
            if item.match_index >= consensus.commit_index:
                since_s = self._lagging_since_s.pop(member_id, now_s)
                if member_id in self._reported_lags:
                    self._reported_lags.discard(member_id)
                    self._report_lag(
                        "member_caught_up", item, consensus, since_s, now_s
                    )
                continue
            since_s = self._lagging_since_s.setdefault(member_id, now_s)
            is_due = now_s - since_s >= LAG_REPORT_S
            if is_due and member_id not in self._reported_lags:
                self._reported_lags.add(member_id)
                self._report_lag("member_lags", item, consensus, since_s, now_s)
        for member_id in set(self._lagging_since_s) - set(consensus.progress):
            del self._lagging_since_s[member_id]
            self._reported_lags.discard(member_id)

    def _report_lag(
        self,
        kind: str,
        item: Progress,
        consensus: Consensus,
        since_s: float,
        now_s: float,
    ) -> None:
        self.report(
            kind,
            peer=item.member.address,
            member=item.member.member_id,
            match_index=item.match_index,
            lacking_entries=consensus.commit_index - item.match_index,
            since_s=round(now_s - since_s, 2),
        )


def addresses_text(members: Iterable[Member]) -> str:
    """Return the addresses of members, separated by blanks."""
    return " ".join(member.address for member in members)
