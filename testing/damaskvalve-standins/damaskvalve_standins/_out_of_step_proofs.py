"""Mechanisms for hosts that are out of step, each with the test that fails without."""

from typing import Any

from damaskvalve_core._turn_limit import TurnLimit
from damaskvalve_gateway import _stream_versions
from damaskvalve_gateway._backends import BackendTable
from damaskvalve_gateway._control_service import ControlService
from damaskvalve_gateway._stream_versions import StreamVersions
from damaskvalve_standins._proof import Proof, replace

_GATEWAY = "damaskvalve_gateway.tests."
_DEPARTURES = f"{_GATEWAY}test_departures.AcknowledgedDepartureTests."
_VERSIONS = f"{_GATEWAY}test_stream_versions.StreamVersionTests."


async def _do_nothing(self: Any, *arguments: Any) -> None:
    """Return at once."""


def _list_all(self: Any, overdue_ages: Any, leader_id: str, now_s: float) -> None:
    self.note_listed(list(self._backends), leader_id)
    _ORIGINAL_CONFIRM(self, overdue_ages, leader_id, now_s)


_ORIGINAL_CONFIRM = BackendTable.confirm_live
_RECORD = _stream_versions.StreamRecord

OUT_OF_STEP_PROOFS = (
    Proof(
        "reading of buffered bytes lets other tasks run",
        replace(TurnLimit, "step", _do_nothing),
        "damaskvalve_core.tests.test_turn_limit.TurnLimitTests."
        "test_an_endless_reply_in_small_chunks_lets_other_tasks_run",
    ),
    Proof(
        "departures are committed before they are acknowledged",
        replace(ControlService, "_commit_departure", _do_nothing),
        f"{_DEPARTURES}test_a_removal_outlives_the_leader_that_acknowledged_it",
    ),
    Proof(
        "late announcements do not undo a departure",
        replace(
            BackendTable, "_with_departure", lambda self, announcement: announcement
        ),
        f"{_DEPARTURES}test_a_removal_outlives_all_hosts_that_know_it",
    ),
    Proof(
        "only servers that the leader lists are kept in use",
        replace(BackendTable, "confirm_live", _list_all),
        f"{_GATEWAY}test_sync.RestartedLeaderTests."
        "test_a_backend_server_that_no_leader_lists_is_not_kept_in_use",
    ),
    Proof(
        "no stream is relayed without a record",
        replace(StreamVersions, "_serves_only", lambda self, *arguments: True),
        f"{_VERSIONS}"
        "test_a_stream_is_resumed_at_its_version_whichever_step_a_host_misses",
    ),
    Proof(
        "records of streams keep their order",
        replace(
            _stream_versions,
            "StreamRecord",
            lambda key, version, index, attempt: _RECORD(key, version, index),
        ),
        f"{_VERSIONS}test_a_record_that_arrives_late_does_not_replace_a_later_one",
    ),
    Proof(
        "a stream is resumed only by a host that knows the servers",
        replace(StreamVersions, "_await_current_table", _do_nothing),
        f"{_VERSIONS}"
        "test_a_host_that_was_out_of_step_waits_for_the_table_of_the_leader",
    ),
)

__all__ = ["OUT_OF_STEP_PROOFS"]
