"""Checks that each mechanism is guarded by a test that fails without it.

For every mechanism one test is run twice: with the unchanged code, where it has to
pass, and with the mechanism disabled, where it has to fail.
"""

import contextlib
import io
import sys
import unittest
from collections.abc import Iterator, Sequence
from http.client import HTTPResponse
from typing import Any
from unittest import mock

from damaskvalve import ConfigurationView, _view
from damaskvalve._filters import _claim
from damaskvalve_agent import Fence, Slots, _strict_http
from damaskvalve_agent._permits._loads import LoadTracker
from damaskvalve_agent._permits._pace import ReadingPacer
from damaskvalve_agent._permits._weight_memory import WeightMemory
from damaskvalve_agent.permits import AdmissionController
from damaskvalve_core import RefusedError
from damaskvalve_core.http import Responder, _client as http_client
from damaskvalve_gateway import (
    _backend_attempt,
    _backends,
    _base_versions,
    _confirmation_controller,
    _crashes,
    _gateway,
    _overload,
    _part_blame,
)
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._backend_attempt import BackendAttempt
from damaskvalve_gateway._confirmation_controller import ConfirmationController
from damaskvalve_gateway._confirmations import Confirmations
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._crashes import CrashTracker
from damaskvalve_gateway._gateway import Gateway
from damaskvalve_gateway._lending import LenderTracker
from damaskvalve_gateway._model import GONE, LEAVING, READY
from damaskvalve_gateway._permits import _client
from damaskvalve_gateway._quota import (
    HostCount,
    LeaderQuota,
    TokenBucket,
    TokenReservations,
)
from damaskvalve_gateway._state_client import StateClient
from damaskvalve_gateway._stopping import StopAdmission
from damaskvalve_gateway._stream_versions import StreamVersions
from damaskvalve_standins._cold_proofs import COLD_PROOFS
from damaskvalve_standins._evacuation_proofs import EVACUATION_PROOFS
from damaskvalve_standins._limit_proofs import LIMIT_PROOFS
from damaskvalve_standins._membership_proofs import MEMBERSHIP_PROOFS
from damaskvalve_standins._out_of_step_proofs import OUT_OF_STEP_PROOFS
from damaskvalve_standins._proof import Proof, replace
from damaskvalve_standins._replication_proofs import REPLICATION_PROOFS
from damaskvalve_standins.run_tests import use_fixed_profile
from damaskvalve_state import (
    Bucket,
    Consensus,
    CreditLedger,
    LoadBudget,
    StateMachine,
    _journal,
    _state_machine,
)
from damaskvalve_state._elections import Elections
from damaskvalve_state._progress import quorum_size

STATE = "damaskvalve_state.tests"
AGENT = "damaskvalve_agent.tests"
HOST = "damaskvalve.tests"
GATEWAY = "damaskvalve_gateway.tests"


async def _record_nothing(*_: Any) -> None:
    """Return at once."""


def _confirm_any_version(
    self: Any, version: int, leader_id: str, asked_s: float
) -> None:
    self.confirmed_s, self.leader_id = asked_s, leader_id


def _keep_member_id_after_lost_disk() -> Any:
    from damaskvalve_core.messages import Member
    from damaskvalve_state.tests.fake_group import Host

    def member(self: Any) -> Any:
        return Member(self.address, self.address, "dc")

    return mock.patch.object(Host, "member", member)


def _promote_all_learners(self: Any) -> Sequence[Any]:
    voter_ids = {voter.member_id for voter in self.voters()}
    return [
        item.member
        for item in self.progress.values()
        if item.member.member_id not in voter_ids
    ]


@contextlib.contextmanager
def _leader_without_reservations() -> Iterator[None]:
    original = CreditLedger.__init__

    def start(self: Any, records: Any, now_s: float) -> None:
        original(self, {}, now_s)

    with mock.patch.object(CreditLedger, "__init__", start):
        yield


def _refund_in_full(self: Any, refund: Any, now_s: float) -> None:
    free_tokens = self.limit.burst_tokens - self.outstanding_tokens
    self.level_tokens = min(free_tokens, self.level_tokens + refund.tokens)


@contextlib.contextmanager
def _start_with_full_load_budget() -> Iterator[None]:
    original = LoadBudget.__init__

    def start(self: Any, limit: Any, term: int, now_s: float) -> None:
        original(self, limit, term, now_s)
        self._level_loads = limit.burst_loads
        self._in_flight.clear()

    with mock.patch.object(LoadBudget, "__init__", start):
        yield


@contextlib.contextmanager
def _grant_without_waiting() -> Iterator[None]:
    original = Fence.granted

    def granted(
        self: Any, number: int, previous: str, asked_at_s: float, now_s: float
    ) -> None:
        original(self, number, "", asked_at_s, now_s)

    with mock.patch.object(Fence, "granted", granted):
        yield


def _elect_fresh_leader_by_quorum(self: Any, now_s: float) -> None:
    votes = [voter for voter in self.voters() if voter.member_id in self._votes]
    if len(votes) < quorum_size(len(self.voters())):
        return
    if self._pre_vote:
        self._start_election(now_s, pre_vote=False, fresh=self._fresh_election)
    else:
        self._become_leader(now_s)


def _grant_claim(self: Any, index: int, body: Any) -> Any:
    self.claims.pop(body.claim_id, None)
    return _ORIGINAL_CLAIM(self, index, body)


_ORIGINAL_CLAIM = StateMachine.claim


@contextlib.contextmanager
def _no_run_outlasts_its_caller() -> Iterator[None]:
    original = CrashTracker.note_pending

    def note_pending(self: Any, fingerprint: str, *arguments: Any) -> None:
        original(self, fingerprint, *arguments[:2])

    with mock.patch.object(CrashTracker, "note_pending", note_pending):
        yield


def _grant_every_claim() -> Any:
    handlers = {**_state_machine._HANDLERS, "claim": _grant_claim}
    return mock.patch.object(_state_machine, "_HANDLERS", handlers)


@contextlib.contextmanager
def _accept_any_revision() -> Iterator[None]:
    original = ConfigurationView.apply

    def apply(self: Any, reply: Any, sent_at_s: float) -> bool:
        self.revision = 0
        return original(self, reply, sent_at_s)

    with mock.patch.object(ConfigurationView, "apply", apply):
        yield


def _refuse_as_not_run(message: str) -> RefusedError:
    return RefusedError(409, "outcome_unknown", message)


def _start_with_full_bucket() -> Any:
    def start(self: Any, level: float, now_s: float) -> None:
        self.level = float("inf")
        self._at_s = now_s

    return mock.patch.object(TokenBucket, "__init__", start)


@contextlib.contextmanager
def _reserve_nothing_for_unsynced_hosts() -> Iterator[None]:
    original = LeaderQuota.grant_share

    def grant(
        self: Any,
        host: str,
        reported_share: float,
        count: HostCount,
        now_s: float,
        *,
        lends: bool,
    ) -> tuple[float, float]:
        synced = HostCount(
            count.hosts - count.unsynced_hosts, count.lenders - count.unsynced_lenders
        )
        return original(self, host, reported_share, synced, now_s, lends=lends)

    with mock.patch.object(LeaderQuota, "grant_share", grant):
        yield


def _disable_checksums() -> Any:
    return mock.patch.object(_journal.zlib, "crc32", lambda data: 0)


PROOFS = (
    Proof(
        "pre-vote and lease of the leader",
        replace(Consensus, "_has_leader_contact", lambda self, now_s: False),
        f"{STATE}.test_consensus.ConsensusTests."
        "test_member_without_leader_contact_cannot_depose_leader",
    ),
    Proof(
        "a new id for an empty folder",
        _keep_member_id_after_lost_disk,
        f"{STATE}.test_consensus.ConsensusTests."
        "test_majority_with_lost_disks_commits_nothing",
    ),
    Proof(
        "a learner votes only after its copy is complete",
        replace(Consensus, "caught_up_learners", _promote_all_learners),
        f"{STATE}.test_consensus.ConsensusTests."
        "test_disk_lost_right_after_a_replacement_loses_no_accepted_change",
    ),
    Proof(
        "checksums of the journal",
        _disable_checksums,
        f"{STATE}.test_journal.JournalTests." "test_flipped_byte_anywhere_is_detected",
    ),
    Proof(
        "outstanding credit counts against the burst",
        replace(Bucket, "outstanding_tokens", 0.0),
        f"{STATE}.test_credit.CreditTests."
        "test_no_interval_admits_more_than_rate_times_length_plus_burst",
    ),
    Proof(
        "the committed watermark of a bucket",
        _leader_without_reservations,
        f"{STATE}.test_credit.CreditTests."
        "test_no_interval_admits_more_than_rate_times_length_plus_burst",
    ),
    Proof(
        "a refund gives back no refill that was lost",
        replace(Bucket, "refund", _refund_in_full),
        f"{STATE}.test_credit.CreditTests."
        "test_refund_does_not_restore_refill_lost_to_a_full_bucket",
    ),
    Proof(
        "a claim is granted once",
        _grant_every_claim,
        f"{STATE}.test_state_machine.StateMachineTests."
        "test_claim_runs_at_most_once_unless_released_before_its_run",
    ),
    Proof(
        "the claim before the run",
        _grant_every_claim,
        f"{HOST}.test_filters.OncePropertyTests."
        "test_request_runs_at_most_once_and_not_run_is_never_false",
    ),
    Proof(
        "a resend refused before its claim says unknown",
        replace(_claim, "_unknown", _refuse_as_not_run),
        f"{HOST}.test_filters.OncePropertyTests."
        "test_request_runs_at_most_once_and_not_run_is_never_false",
    ),
    Proof(
        "a new leader starts with an empty load budget",
        _start_with_full_load_budget,
        f"{STATE}.test_load_budget.LoadBudgetTests."
        "test_no_window_grants_more_than_the_store_allows",
    ),
    Proof(
        "pins",
        replace(Slots, "pins", lambda self, adapter: 0),
        f"{AGENT}.test_scheduler.SchedulerTests."
        "test_an_adapter_in_use_is_never_evicted",
    ),
    Proof(
        "a new agent waits for the old one's lease",
        _grant_without_waiting,
        f"{AGENT}.test_fence.FenceTests."
        "test_no_two_agents_may_order_at_the_same_time",
    ),
    Proof(
        "the lease on the configuration",
        replace(ConfigurationView, "is_leased", lambda self, now_s: True),
        f"{HOST}.test_view.ViewTests."
        "test_withdrawn_key_is_refused_within_the_lease_on_every_host",
    ),
    Proof(
        "the age of an answer counts against the lease",
        replace(_view, "CONFIGURATION_LEASE_S", 30.0),
        f"{HOST}.test_view.ViewTests."
        "test_withdrawn_key_is_refused_within_the_lease_on_every_host",
    ),
    Proof(
        "a restarted host's bucket starts empty",
        _start_with_full_bucket,
        f"{GATEWAY}.test_quota.QuotaTests."
        "test_no_window_has_more_than_rate_burst_and_slack",
    ),
    Proof(
        "a new leader reserves shares of a rate",
        _reserve_nothing_for_unsynced_hosts,
        f"{GATEWAY}.test_quota.QuotaTests."
        "test_a_new_leader_reserves_shares_for_hosts_that_have_not_synced",
    ),
    Proof(
        "tokens are reserved for announced retries",
        replace(TokenReservations, "tokens", lambda self, until_s: 0.0),
        f"{GATEWAY}.test_quota.QuotaTests."
        "test_refused_requests_are_served_when_retried_under_overload",
    ),
    Proof(
        "an end is final for its start",
        replace(_backends, "_rank", lambda announcement: (0, announcement.sequence)),
        f"{GATEWAY}.test_backends.BackendTableTests."
        "test_a_gone_incarnation_stays_gone",
    ),
    Proof(
        "leaving is final for its start",
        replace(_backends, "_STATE_ORDER", {READY: 0, LEAVING: 0, GONE: 1}),
        f"{GATEWAY}.test_overload.LeavingTests."
        "test_an_incarnation_that_left_gets_no_work_again",
    ),
    Proof(
        "hosts that vote lend tokens",
        replace(LenderTracker, "order", lambda *_: []),
        f"{GATEWAY}.test_lending.LendingTests."
        "test_a_fleet_serves_what_one_bucket_would_have_served",
    ),
    Proof(
        "runs that their servers outlive do not count",
        replace(CrashTracker, "settle", lambda *_: ()),
        f"{GATEWAY}.test_crashes.CrashTrackerTests."
        "test_runs_that_their_servers_outlive_do_not_count",
    ),
    Proof(
        "a run that ends well clears its request",
        replace(CrashTracker, "note_served", lambda *_: False),
        f"{GATEWAY}.test_crashes.CrashTrackerTests."
        "test_crashing_requests_are_refused_and_harmless_ones_served",
    ),
    Proof(
        "a request concurrent with crashing ones is excused",
        replace(CrashTracker, "_has_excuse", lambda *_: False),
        f"{GATEWAY}.test_crashes.CrashTrackerTests."
        "test_a_request_concurrent_with_three_crashing_ones_is_not_blamed",
    ),
    Proof(
        "concurrent requests excuse only some runs",
        replace(_crashes, "EXCUSED_RUNS", 1_000),
        f"{GATEWAY}.test_crashes.CrashTrackerTests."
        "test_concurrent_requests_do_not_excuse_a_crashing_one_for_long",
    ),
    Proof(
        "a run that was given up may last until its deadline",
        _no_run_outlasts_its_caller,
        f"{GATEWAY}.test_crashes.GivenUpRunTests."
        "test_a_run_that_was_given_up_counts_if_its_server_crashes_under_it_later",
    ),
    Proof(
        "the quarantine is checked before each send",
        replace(
            Gateway, "_check_quarantine", lambda self, fingerprint, parts, **_: None
        ),
        f"{GATEWAY}.test_later_attempts.LaterAttemptTests."
        "test_an_admitted_request_is_not_sent_after_it_becomes_refused",
    ),
    Proof(
        "a leader restores the committed suspects",
        replace(CrashController, "restore", lambda self, now_s: None),
        f"{GATEWAY}.test_crash_controller.CrashControllerTests."
        "test_committed_suspects_survive_a_restart_of_all_hosts",
    ),
    Proof(
        "crashes are explained by the fewest parts",
        replace(_part_blame, "_own_crashes", lambda item, _: [*item.crashes.values()]),
        f"{GATEWAY}.test_part_blame.BlamedPartTests."
        "test_two_crashing_parts_are_both_blamed_instead_of_the_part_they_share",
    ),
    Proof(
        "servers that fail together are one crash",
        replace(_part_blame, "SAME_CAUSE_S", 0.0),
        f"{GATEWAY}.test_part_blame.BlamedPartTests."
        "test_servers_that_fail_together_are_one_crash",
    ),
    Proof(
        "adapters are loaded only while they fit the memory",
        replace(WeightMemory, "fits", lambda *_: True),
        f"{AGENT}.test_weight_memory.WeightMemoryTests."
        "test_an_agent_filled_its_engine_beyond_the_memory",
    ),
    Proof(
        "a part that proved sound is not blamed",
        replace(CrashTracker, "note_sound", lambda *_: False),
        f"{GATEWAY}.test_part_blame.BlamedPartTests."
        "test_a_part_that_proved_sound_is_never_blamed",
    ),
    Proof(
        "a request that would be cut off by a planned stop is refused",
        replace(StopAdmission, "admits", lambda self, exchange, now_s: True),
        f"{GATEWAY}.test_stopping.GatewayStopTests."
        "test_requests_that_came_late_in_a_stop_were_taken_and_cut_off",
    ),
    Proof(
        "a stream goes on at its software version",
        replace(_gateway, "_of_version", lambda backends, software_version: backends),
        f"{GATEWAY}.test_stream_versions.GatewayVersionTests."
        "test_a_broken_stream_goes_on_at_its_version_only",
    ),
    Proof(
        "a stream is recorded before its first event",
        replace(StreamVersions, "wait_until_recorded", _record_nothing),
        f"{GATEWAY}.test_stream_versions.StreamVersionTests."
        "test_a_stream_of_another_version_is_known_after_a_restart_of_all_hosts",
    ),
    Proof(
        "a host confirms that it knows all records",
        replace(StreamVersions, "_catch_up", _record_nothing),
        f"{GATEWAY}.test_stream_versions.StreamVersionTests."
        "test_a_stream_is_not_resumed_while_its_version_may_be_unknown",
    ),
    Proof(
        "the base version outlives its last server",
        replace(_base_versions, "MIN_STREAM_RETENTION_S", 0.0),
        f"{GATEWAY}.test_stream_versions.BaseVersionTests."
        "test_the_base_changes_once_its_streams_cannot_be_resumed_any_more",
    ),
    Proof(
        "an old confirmation denies nothing",
        replace(Confirmations, "may_deny", lambda *_: True),
        f"{GATEWAY}.test_confirmation_controller.DenialTests."
        "test_a_host_without_a_leader_refuses_what_it_cannot_deny",
    ),
    Proof(
        "a configuration that is not in force is not confirmed",
        replace(Confirmations, "note", _confirm_any_version),
        f"{GATEWAY}.test_sync.ConfirmationTests."
        "test_an_exchange_does_not_confirm_a_configuration_that_the_host_lacks",
    ),
    Proof(
        "the leader is asked before a request is denied",
        replace(ConfirmationController, "_ask", _record_nothing),
        f"{GATEWAY}.test_confirmation_controller.DenialTests."
        "test_a_route_acknowledged_while_the_host_was_away_is_served",
    ),
    Proof(
        "unknown routes do not flood the leader",
        replace(_confirmation_controller, "ASK_INTERVAL_S", 0.0),
        f"{GATEWAY}.test_confirmation_controller.DenialTests."
        "test_a_leader_that_cannot_confirm_is_not_asked_for_each_request",
    ),
    Proof(
        "a leader states what it has received",
        replace(StateClient, "committed_version", lambda self: self._committed[1]),
        f"{GATEWAY}.test_confirmation_controller.CatchUpTests."
        "test_a_leader_states_no_version_before_it_has_received_the_state",
    ),
    Proof(
        "a leader restores the committed parts",
        replace(CrashController, "_restore_parts", lambda *_: None),
        f"{GATEWAY}.test_crash_controller.CrashingPartTests."
        "test_crashes_are_counted_on_after_all_hosts_were_restarted",
    ),
    Proof(
        "retries are spread after a backoff",
        replace(_overload, "_step_s", lambda backends, hosts, now_s: 0.0),
        f"{GATEWAY}.test_overload.OverloadBackoffTests."
        "test_retries_are_spread_after_a_backoff",
    ),
    Proof(
        "an unanswered load keeps its place",
        replace(LoadTracker, "note_unanswered", lambda *_: None),
        f"{AGENT}.test_permits.PermitTests."
        "test_slots_and_pins_hold_under_every_interleaving",
    ),
    Proof(
        "a reported load has a place",
        replace(LoadTracker, "note_pending", lambda *_: None),
        f"{AGENT}.test_permits.PermitTests."
        "test_a_load_from_before_the_agent_started_keeps_its_place",
    ),
    Proof(
        "an accepted order voids unanswered loads",
        replace(LoadTracker, "discard_unanswered", lambda *_: None),
        f"{AGENT}.test_permits.PermitTests."
        "test_an_unanswered_load_is_void_after_the_next_accepted_order",
    ),
    Proof(
        "only whole events keep a stream alive",
        replace(_backend_attempt, "has_event", lambda events: True),
        f"{GATEWAY}.test_hostile_replies.StallTests."
        "test_partial_events_and_comments_do_not_keep_a_stalled_stream",
    ),
    Proof(
        "pins of permits",
        replace(Slots, "pins", lambda self, adapter: 0),
        f"{AGENT}.test_permits.PermitTests."
        "test_slots_and_pins_hold_under_every_interleaving",
    ),
    Proof(
        "prompts are read one after the other",
        replace(ReadingPacer, "may_start", lambda self, ask, streams, now_s: True),
        f"{AGENT}.test_permits.PermitTests."
        "test_simultaneous_prompts_are_read_one_after_the_other",
    ),
    Proof(
        "requests that can be on time go first",
        replace(AdmissionController, "_spare_s", lambda *_: 1.0),
        f"{AGENT}.test_permits.PermitTests."
        "test_under_overload_some_are_on_time_instead_of_all_late",
    ),
    Proof(
        "leadership is transferred",
        replace(Consensus, "_on_take_over", lambda self, request, now_s: None),
        f"{STATE}.test_consensus.ConsensusTests."
        "test_leadership_transfer_completes_within_election_timeout",
    ),
    Proof(
        "a fresh leader needs the votes of all voters",
        replace(Elections, "_count_votes", _elect_fresh_leader_by_quorum),
        f"{STATE}.test_consensus.ConsensusTests."
        "test_simultaneous_voter_restarts_do_not_break_leader_lease",
    ),
    Proof(
        "a restarted member knows that a list of voters is committed",
        replace(Consensus, "_is_marked_as_committed", lambda self, entry: False),
        f"{STATE}.test_power_losses.PowerLossTests."
        "test_a_host_replaced_before_a_loss_of_power_is_not_needed_after_it",
    ),
    Proof(
        "revisions never go down",
        _accept_any_revision,
        f"{HOST}.test_view.ViewTests."
        "test_older_answer_never_reverts_the_configuration",
    ),
    Proof(
        "a head ends at its empty line",
        replace(_strict_http._StrictConnection, "response_class", HTTPResponse),
        f"{AGENT}.test_cut_answers.CutAnswerTests."
        "test_an_answer_whose_head_is_cut_is_no_answer",
    ),
    Proof(
        "a success has a signature",
        replace(BackendAttempt, "_check_signature", lambda self, head, metadata: None),
        f"{GATEWAY}.test_cut_replies.CutReplyTests."
        "test_a_success_without_a_signature_is_not_relayed",
    ),
    Proof(
        "an aborted response to HTTP/1.0 is reset",
        replace(Responder, "ends_with_connection", lambda self: False),
        f"{GATEWAY}.test_cut_replies.CutStreamTests."
        "test_a_cut_stream_does_not_end_as_complete_for_an_old_caller",
    ),
    Proof(
        "a stream is framed by the host",
        replace(
            _backend_attempt,
            "_stream_headers",
            lambda head, exchange: _backend_attempt.reply_headers(head),
        ),
        f"{GATEWAY}.test_cut_replies.CutStreamTests."
        "test_the_length_of_a_cut_stream_does_not_end_the_one_that_goes_on",
    ),
    *COLD_PROOFS,
    *EVACUATION_PROOFS,
    *LIMIT_PROOFS,
    *MEMBERSHIP_PROOFS,
    *OUT_OF_STEP_PROOFS,
    *REPLICATION_PROOFS,
    Proof(
        "crashes of a blamed part excuse other requests",
        replace(CrashTracker, "_crashes_of_parts", lambda self, record: frozenset()),
        "damaskvalve_gateway.tests.test_part_excuses.ExcusedRequestTests."
        "test_requests_that_a_blamed_part_cut_off_three_times_are_served",
    ),
    Proof(
        "runs cleared by a late announcement may count again",
        replace(CrashTracker, "_settle_doubtful", lambda self, status_of, now_s: []),
        "damaskvalve_gateway.tests.test_late_announcements.LateAnnouncementTests."
        "test_runs_count_again_once_the_next_start_is_announced",
    ),
    Proof(
        "an engine that has restarted is used once announced",
        replace(Backend, "has_restarted", lambda self, started_at_ms: False),
        "damaskvalve_gateway.tests.test_permit_client.PermitClientTests."
        "test_an_engine_that_has_restarted_is_used_once_it_is_announced",
    ),
    Proof(
        "a waiting request is told of a new version",
        replace(_client, "_make_version_notifier", lambda *arguments: lambda: None),
        "damaskvalve_gateway.tests.test_permit_client.PermitClientTests."
        "test_a_waiting_request_starts_on_the_version_named_meanwhile",
    ),
    Proof(
        "a reply has one of the final statuses",
        replace(http_client, "is_final_status", lambda status: True),
        "damaskvalve_gateway.tests.test_invalid_statuses.InvalidStatusTests."
        "test_no_caller_gets_an_invalid_status",
    ),
)


def _test_passes(test: str) -> bool:
    suite = unittest.defaultTestLoader.loadTestsFromName(test)
    with contextlib.redirect_stderr(io.StringIO()):
        result = unittest.TextTestRunner(stream=io.StringIO()).run(suite)
    return result.wasSuccessful()


def main(filters: Sequence[str]) -> int:
    """Run every proof with and without its mechanism; return 1 if one is not valid.

    Filters select the proofs whose mechanism contains one of them.
    """
    use_fixed_profile()
    invalid_count = 0
    selected = [
        proof
        for proof in PROOFS
        if not filters or any(filter_text in proof.mechanism for filter_text in filters)
    ]
    for proof in selected:
        passes_unchanged = _test_passes(proof.test)
        with proof.remove():
            passes_without = _test_passes(proof.test)
        is_valid = passes_unchanged and not passes_without
        invalid_count += not is_valid
        unchanged_result = "passes" if passes_unchanged else "FAILS"
        disabled_result = "PASSES" if passes_without else "fails"
        print(
            f"{proof.mechanism:<50} {unchanged_result}; disabled: {disabled_result}",
            flush=True,
        )
    print(f"{len(selected) - invalid_count} passed, {invalid_count} failed")
    return 1 if invalid_count else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
