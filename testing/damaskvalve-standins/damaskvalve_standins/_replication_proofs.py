"""Mechanisms of transfers to members that lag, each with the test that needs it."""

from typing import Any

from damaskvalve_standins._proof import Proof, replace
from damaskvalve_state import Consensus, _peers, _replication
from damaskvalve_state._transfer import InFlightWindow

_TRANSFER = "damaskvalve_state.tests.test_transfer."


def _take_whole_snapshot(self: Any, request: Any, data: bytes) -> None:
    self._install_snapshot(
        _replication.SnapshotFile(
            request.last_index, request.last_term, request.members, data
        )
    )


REPLICATION_PROOFS = (
    Proof(
        "a member that lags far is sent the state",
        replace(Consensus, "_plan_transfer", lambda self, peer: False),
        f"{_TRANSFER}ReturningMemberTests."
        "test_all_members_that_return_at_once_pass_the_leaders_own_link",
    ),
    Proof(
        "members without a vote share a window",
        replace(InFlightWindow, "admits", lambda self: True),
        f"{_TRANSFER}ReturningMemberTests."
        "test_what_is_under_way_to_many_members_is_limited",
    ),
    Proof(
        "a large message is awaited for longer",
        replace(_replication, "transfer_time_s", lambda size_bytes: 0.0),
        f"{_TRANSFER}SendTests."
        "test_a_large_message_is_not_sent_again_while_it_is_under_way",
    ),
    Proof(
        "the timeout of a call grows with its payload",
        replace(_peers, "transfer_time_s", lambda size_bytes: 0.0),
        "damaskvalve_state.tests.test_peers.PeerSenderTests."
        "test_a_call_may_take_longer_the_more_it_carries",
    ),
    Proof(
        "nothing large is sent to a member that is silent",
        replace(Consensus, "_may_send_large", lambda self, peer, window, now_s: True),
        f"{_TRANSFER}SendTests."
        "test_a_member_that_does_not_answer_is_sent_nothing_large",
    ),
    Proof(
        "a snapshot removes no entries that were acknowledged",
        replace(Consensus, "_take_snapshot", _take_whole_snapshot),
        f"{_TRANSFER}HeldEntriesTests."
        "test_a_snapshot_of_entries_that_a_member_holds_removes_no_later_ones",
    ),
)

__all__ = ["REPLICATION_PROOFS"]
