"""Mechanisms of membership changes, each with the test that fails without it."""

from collections.abc import Collection, Sequence
from typing import Any

from damaskvalve_standins._proof import Proof, replace
from damaskvalve_state import Consensus, GroupNode, LossTolerance, _membership
from damaskvalve_state._elections import Elections

_LOSSES = "damaskvalve_state.tests.test_losses.LossTests."
_MEMBERSHIP = "damaskvalve_state.tests.test_open_group.MembershipTests."
_OPEN_GROUP = "damaskvalve_state.tests.test_open_group.OpenGroupTests."
_REPLACED = "damaskvalve_state.tests.test_replaced_hosts.ReplacedHostTests."
# The time after which a silent voter was removed before the incident CONFIG.
_LATE_S = 8.0


def _silent_late(self: Any, now_s: float) -> Collection[str]:
    ids: Collection[str] = self.unresponsive_members(now_s, _LATE_S)
    return ids


def _promote_all_learners(self: Any) -> Sequence[Any]:
    voter_ids = {voter.member_id for voter in self.voters()}
    return [
        item.member
        for item in self.progress.values()
        if item.member.member_id not in voter_ids
    ]


def _send_no_hello(self: Any, now_s: float) -> None:
    """Send nothing."""


MEMBERSHIP_PROOFS = (
    Proof(
        "hosts without a disk hand over their votes",
        replace(_membership, "_without_memory_only", lambda *_: None),
        f"{_OPEN_GROUP}test_a_change_survives_lost_power_where_the_seeds_had_no_disk",
    ),
    Proof(
        "no command is accepted before the votes are with disks",
        replace(Consensus, "awaits_disks", lambda *_: False),
        f"{_OPEN_GROUP}test_a_change_was_acknowledged_by_hosts_without_a_disk_alone",
    ),
    Proof(
        "a restarted host votes again in a group without any disk",
        replace(
            _membership,
            "may_vote",
            lambda learners, voters: [
                item for item in learners if not item.memory_only or not voters
            ],
        ),
        f"{_OPEN_GROUP}"
        "test_a_group_without_any_disk_outlives_the_restart_of_all_in_turn",
    ),
    Proof(
        "a silent voter is replaced after an election timeout",
        replace(Consensus, "_silent_ids", _silent_late),
        f"{_LOSSES}test_hosts_gone_one_after_another_leave_a_quorum",
    ),
    Proof(
        "a host that stops gives up its vote",
        replace(Consensus, "note_stopping", lambda self, member, now_s: None),
        f"{_REPLACED}test_change_survives_a_disk_lost_after_a_planned_replacement",
    ),
    Proof(
        "no voter is added beside one that may be gone",
        replace(Consensus, "_doubtful_ids", lambda self, now_s: ()),
        f"{_LOSSES}test_a_successor_that_is_lost_at_once_leaves_a_quorum",
    ),
    Proof(
        "a voter is removed only if a majority of the others answers",
        replace(_membership, "_has_quorum", lambda voters, doubtful_ids: True),
        f"{_MEMBERSHIP}"
        "test_a_voter_is_removed_only_if_a_majority_of_the_others_answers",
    ),
    Proof(
        "enough voters are kept for the tolerated losses",
        replace(LossTolerance, "min_voters", lambda self, members: 2),
        f"{_MEMBERSHIP}test_enough_voters_remain_for_the_tolerated_losses",
    ),
    Proof(
        "a learner votes only once it holds all committed entries",
        replace(Consensus, "caught_up_learners", _promote_all_learners),
        f"{_LOSSES}test_group_survives_all_losses_within_a_tolerance_of_one",
    ),
    Proof(
        "a voter that lost its disk does not keep the others from electing",
        replace(Elections, "_voter_without_disk", lambda self, voters: None),
        f"{_LOSSES}"
        "test_disks_lost_right_after_a_replaced_host_is_removed_leave_a_quorum",
    ),
    Proof(
        "a change of an even list needs a majority of the old one",
        replace(Consensus, "_voters_before_change", lambda self: ()),
        f"{_LOSSES}"
        "test_a_disk_lost_in_overlapping_cuts_of_an_even_group_loses_nothing",
    ),
    Proof(
        "a leader greets the hosts that the replicated state names",
        replace(GroupNode, "_send_leader_hello", _send_no_hello),
        f"{_REPLACED}"
        "test_a_host_without_a_disk_is_found_after_all_its_seeds_are_gone",
    ),
)

__all__ = ["MEMBERSHIP_PROOFS"]
