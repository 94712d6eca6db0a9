"""The mechanisms that keep what cold backend servers tolerate."""

from damaskvalve_gateway import _backend, _cold, _grant_ledger
from damaskvalve_gateway._cold import ColdTime
from damaskvalve_standins._proof import Proof, replace

_COLD = "damaskvalve_gateway.tests.test_cold"
_SIMULATED = "damaskvalve_gateway.tests.test_cold_simulated.ColdSimulationTests"

COLD_PROOFS = (
    Proof(
        "a cold backend server gets what it tolerates from all hosts together",
        replace(ColdTime, "per_s", lambda self, now_s: None),
        f"{_SIMULATED}."
        "test_the_bound_holds_for_the_sum_of_all_hosts_through_their_faults",
    ),
    Proof(
        "a grant for a cold backend server counts for as long as it may be used",
        replace(_grant_ledger, "COLD_SPAN_S", 0.0),
        f"{_COLD}.GrantTests.test_grants_that_are_used_as_late_as_possible_count",
    ),
    Proof(
        "hosts tell each other of cold times",
        replace(ColdTime, "stated_left_s", lambda self, now_s: None),
        f"{_COLD}.NoticeTests.test_no_host_ends_a_cold_time_early",
    ),
    Proof(
        "a change of a cold time is published",
        replace(_cold, "END_JITTER_S", 1e9),
        f"{_COLD}.NoticeTests.test_changes_are_published_and_repetitions_are_not",
    ),
    Proof(
        "a start time by another clock is taken as later than it seems",
        replace(_cold, "ASSUMED_SKEW_S", 0.0),
        f"{_COLD}.ColdTimeTests."
        "test_a_start_time_by_another_clock_is_taken_as_later_than_it_seems",
    ),
    Proof(
        "the share grows back after a cold time",
        replace(_backend, "LIMIT_RAMP_S", 0.0),
        f"{_COLD}.ColdTimeTests.test_its_share_comes_back_step_by_step",
    ),
)

__all__ = ["COLD_PROOFS"]
