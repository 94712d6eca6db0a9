"""Tests of admission: which requests start and which adapters are loaded."""

import random
import tracemalloc
import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_agent._permits._loads import LoadTracker
from damaskvalve_agent._slots import Slots
from damaskvalve_agent.permits import (
    ACCEPTED,
    COMPLETED,
    CONFLICT,
    LOAD,
    LOAD_MODEL,
    NO_ANSWER,
    UNLOAD,
    AdmissionController,
    AdmissionRequest,
    EngineCapacity,
    EngineReport,
)

MODEL = "m"


def make_request(
    number,
    adapter="a1",
    version=0,
    wait_s=10.0,
    now_s=0.0,
    tokens=1000,
    target_s=1.0,
    priority=1,
):
    return AdmissionRequest(
        f"r{number}",
        MODEL,
        adapter,
        version,
        tokens,
        100,
        priority,
        now_s + 20,
        wait_s,
        now_s,
        0.25,
        now_s + target_s,
    )


def make_report(
    adapters=None, pending=(), started_at_ms=1, order_count=0, models=(MODEL,)
):
    resident = {model: dict(adapters or {}) for model in models}
    return EngineReport(started_at_ms, order_count, resident, pending, 0, 0)


def make_admission(slots=64, adapter_slots=4, memory_tokens=100_000, adapters=None):
    admission = AdmissionController()
    admission.set_engine_capacity(EngineCapacity(slots, adapter_slots, memory_tokens))
    admission.apply_report(make_report(adapters), 0.0)
    return admission


class PermitTests(unittest.TestCase):
    def test_a_request_for_a_resident_adapter_starts_at_once(self):
        """No order is sent."""
        admission = make_admission(adapters={"a1": 3})
        self.assertEqual(admission.submit(make_request(1), 0.0), 0.0)
        (grant,) = admission.take_grants(0.0)
        self.assertEqual(grant.version, 3)
        self.assertIsNone(admission.next_order(0.0))

    def test_a_waiting_request_starts_on_a_version_named_meanwhile(self):
        """Guards against VERSION, review case 10: it began on the older one."""
        admission = make_admission(slots=1, adapters={"a1": 1, "a2": 1})
        admission.submit(make_request(1, "a2"), 0.0)
        admission.take_grants(0.0)
        waiting = make_request(2, "a1", version=1)
        self.assertEqual(admission.submit(waiting, 0.0), 0.0)
        admission.require_version(waiting, 2)
        admission.release("r1", 6.0)
        self.assertEqual(admission.take_grants(6.0), [])
        order = admission.next_order(6.0)
        self.assertEqual((order.kind, order.adapter, order.version), (LOAD, "a1", 2))
        admission.apply_report(make_report({"a1": 2, "a2": 1}, order_count=1), 6.5)
        (grant,) = admission.take_grants(6.5)
        self.assertEqual((grant.request.request_id, grant.version), ("r2", 2))

    def test_names_of_adapters_that_callers_invent_are_not_kept(self):
        """Each may be as long as a header, and their number has no limit."""
        admission = make_admission()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(100):
            adapter = f"{number}" + "a" * 10_000
            admission.submit(make_request(number, adapter, wait_s=0.0), 0.0)
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(held_bytes, 100_000)

    def test_a_missing_adapter_is_loaded_once_for_all_waiting_requests(self):
        """All requests wait for the same load."""
        admission = make_admission()
        for number in range(3):
            admission.submit(make_request(number), 0.0)
        order = admission.next_order(0.0)
        self.assertEqual((order.kind, order.adapter), (LOAD, "a1"))
        admission.record_outcome(order, ACCEPTED, 0.0)
        self.assertIsNone(admission.next_order(0.0))
        admission.apply_report(make_report({"a1": 1}, order_count=1), 0.3)
        self.assertEqual(len(admission.take_grants(0.3)), 3)

    def test_an_adapter_in_use_is_never_unloaded(self):
        """With all adapter slots in use, no order is sent and the request waits."""
        admission = make_admission(adapter_slots=1, adapters={"a1": 1})
        admission.submit(make_request(1), 0.0)
        admission.take_grants(0.0)
        admission.submit(make_request(2, "a2"), 0.0)
        self.assertIsNone(admission.next_order(0.0))
        admission.release("r1", 1.0)
        self.assertEqual(admission.next_order(1.0).kind, UNLOAD)

    def test_simultaneous_prompts_are_read_one_after_the_other(self):
        """Prompts that start within a pause of 0.25 s take at most 0.25 s to read."""
        admission = make_admission(adapters={"a1": 1})
        for number in range(6):
            admission.submit(make_request(number, tokens=3_000), 0.0)
        starts = []
        for step in range(200):
            now_s = step * 0.01
            starts.extend((now_s, 3_000) for _ in admission.take_grants(now_s))
        self.assertEqual(len(starts), 6)
        for at_s, _ in starts:
            window = [n for other_s, n in starts if at_s <= other_s < at_s + 0.25]
            self.assertLessEqual(sum(window) / 25_800, 0.25)

    def test_under_overload_some_are_on_time_instead_of_all_late(self):
        """At twice the load that the slots can serve, about half is on time."""
        on_time = run_overload(slots=4, run_s=1.0, requests_per_s=8.0, seconds=30)
        self.assertGreater(on_time, 0.35)

    def test_streams_that_go_on_are_admitted_before_new_requests(self):
        """After a restart of all hosts, many callers return to few engines."""
        admission = make_admission(adapters={"a1": 1})
        for number in range(20):
            admission.submit(make_request(number, tokens=4_000), 0.0)
        goes_on = make_request(99, tokens=4_000, priority=-1, target_s=-5.0)
        new = make_request(50, tokens=4_000)
        self.assertLess(
            admission.predicted_wait_s(goes_on, 0.0),
            admission.predicted_wait_s(new, 0.0) / 4,
        )
        admission.submit(goes_on, 0.0)
        granted = [grant.request.request_id for grant in admission.take_grants(0.0)]
        self.assertEqual(granted[0], "r99")

    def test_a_prompt_longer_than_a_pause_is_read_alone(self):
        """The prompt waits until earlier prompts are read, and then starts."""
        admission = make_admission(adapters={"a1": 1})
        admission.submit(make_request(1, tokens=1_000), 0.0)
        admission.submit(make_request(2, tokens=20_000), 0.0)
        self.assertEqual(len(admission.take_grants(0.0)), 1)
        self.assertEqual(len(admission.take_grants(0.26)), 1)

    def test_a_newer_version_is_loaded_before_a_request_starts(self):
        """Runs on the old version end first, and no new request starts on it."""
        admission = make_admission(adapters={"a1": 1})
        admission.submit(make_request(1), 0.0)
        admission.take_grants(0.0)
        admission.submit(make_request(2, version=2), 0.1)
        self.assertEqual(admission.take_grants(0.1), [])
        # A replacement that waits for runs would block every other order.
        self.assertIsNone(admission.next_order(0.1))
        admission.submit(make_request(9, "a2"), 0.1)
        self.assertEqual(admission.next_order(0.1).adapter, "a2")
        admission.cancel("r9")
        admission.release("r1", 0.1)
        order = admission.next_order(0.1)
        self.assertEqual((order.kind, order.version), (LOAD, 2))
        admission.record_outcome(order, ACCEPTED, 0.1)
        # A request from a host that does not know the new version runs on it too.
        admission.submit(make_request(3, version=0), 0.2)
        self.assertEqual(admission.take_grants(0.2), [])
        admission.apply_report(make_report({"a1": 2}, order_count=1), 0.6)
        self.assertEqual(
            [grant.version for grant in admission.take_grants(0.6)], [2, 2]
        )

    def test_a_request_that_would_wait_too_long_is_rejected_with_the_wait(self):
        """The request is not queued."""
        admission = make_admission(slots=1, adapters={"a1": 1})
        admission.submit(make_request(1), 0.0)
        admission.take_grants(0.0)
        self.assertGreater(admission.submit(make_request(2, wait_s=0.3), 0.0), 0.3)
        self.assertEqual(len(admission.waiting()), 0)

    def test_memory_limits_how_many_requests_start(self):
        """A request larger than the memory starts alone rather than never."""
        admission = make_admission(memory_tokens=2_500, adapters={"a1": 1})
        for number in range(3):
            admission.submit(make_request(number), 0.0)
        self.assertEqual(len(admission.take_grants(0.0)), 2)
        admission.release("r0", 1.0)
        self.assertEqual(len(admission.take_grants(1.0)), 1)

    def test_residency_is_cleared_when_the_engine_restarts(self):
        """Pins are cleared too, and the model is loaded again."""
        admission = make_admission(adapters={"a1": 1})
        admission.submit(make_request(1), 0.0)
        admission.take_grants(0.0)
        empty = make_report(started_at_ms=2, models=())
        self.assertTrue(admission.apply_report(empty, 1.0))
        admission.submit(make_request(2), 1.0)
        self.assertEqual(admission.take_grants(1.0), [])
        self.assertEqual(admission.next_order(1.0).kind, LOAD_MODEL)

    def test_a_late_copy_of_an_earlier_report_is_no_restart(self):
        """Loads in transit keep their places: one more would crash the engine."""
        admission = make_admission(adapter_slots=2, adapters={"a1": 1})
        early = make_report({"a1": 1}, order_count=0)
        admission.submit(make_request(2, adapter="a2"), 0.0)
        order = admission.next_order(0.0)
        admission.record_outcome(order, ACCEPTED, 0.0)
        admission.apply_report(make_report({"a1": 1}, ["m/a2@1"], order_count=1), 0.1)
        self.assertFalse(admission.apply_report(early, 0.2))
        self.assertEqual(admission.load_count(), 1)
        admission.submit(make_request(3, adapter="a3"), 0.2)
        next_order = admission.next_order(0.2)
        self.assertTrue(next_order is None or next_order.kind == UNLOAD)

    def test_a_late_copy_with_the_same_count_frees_no_place(self):
        """An adapter that has been loaded since the copy was made stays counted."""
        admission = make_admission(adapter_slots=2, adapters={"a1": 1})
        admission.submit(make_request(1, adapter="a1"), 0.0)
        admission.take_grants(0.0)
        admission.submit(make_request(2, adapter="a2"), 0.0)
        admission.record_outcome(admission.next_order(0.0), ACCEPTED, 0.0)
        early = make_report({"a1": 1}, ["m/a2@1"], order_count=1)
        admission.apply_report(early, 0.1)
        admission.apply_report(make_report({"a1": 1, "a2": 1}, (), 1, 1), 0.3)
        admission.take_grants(0.3)
        admission.submit(make_request(3, adapter="a3"), 0.35)
        self.assertIsNone(admission.next_order(0.35))
        admission.apply_report(early, 0.4)
        self.assertIsNone(admission.next_order(0.4))

    def test_a_load_from_before_the_agent_started_keeps_its_place(self):
        """Only the report tells of it."""
        admission = AdmissionController()
        admission.set_engine_capacity(EngineCapacity(64, 1, 100_000))
        admission.apply_report(make_report((), ["m/a1@1"], order_count=1), 0.0)
        admission.submit(make_request(2, "a2"), 0.0)
        self.assertIsNone(admission.next_order(0.0))
        admission.apply_report(make_report({"a1": 1}, order_count=1), 0.3)
        self.assertEqual(admission.next_order(0.3).kind, UNLOAD)

    def test_an_answer_after_a_report_that_takes_the_last_place_is_recorded(self):
        """The engine may carry out the order, so it counts, even beyond the places."""
        admission = make_admission(adapter_slots=1)
        admission.submit(make_request(1, "a1"), 0.0)
        order = admission.next_order(0.0)
        admission.apply_report(make_report({"a2": 1}, order_count=1), 0.1)
        admission.record_outcome(order, NO_ANSWER, 0.2)
        self.assertEqual(admission.load_count(), 1)
        next_order = admission.next_order(0.2)
        self.assertTrue(next_order is None or next_order.kind == UNLOAD)

    def test_a_late_copy_from_before_a_restart_is_no_other_restart(self):
        """Its count may be the current one again, for fewer adapters."""
        admission = make_admission(adapter_slots=1)
        early = make_report({}, order_count=2)
        admission.apply_report(early, 0.1)
        restarted = make_report({"a1": 1}, (), 9, order_count=2)
        self.assertTrue(admission.apply_report(restarted, 0.2))
        self.assertFalse(admission.apply_report(early, 0.3))
        admission.submit(make_request(2, "a2"), 0.3)
        self.assertEqual(admission.next_order(0.3).kind, UNLOAD)

    def test_an_order_from_before_a_restart_finds_a_place_after_it(self):
        """The engine may carry it out once its count is the same again."""
        admission = make_admission(adapter_slots=1)
        admission.apply_report(make_report(order_count=2), 0.0)
        admission.submit(make_request(1, "a1"), 0.0)
        admission.record_outcome(admission.next_order(0.0), NO_ANSWER, 0.2)
        admission.cancel("r1")
        admission.apply_report(make_report((), (), 9, 1), 0.3)
        admission.submit(make_request(2, "a2"), 0.3)
        order = admission.next_order(0.3)
        if order is not None and order.kind == LOAD_MODEL:
            admission.record_outcome(order, COMPLETED, 0.3)
            order = admission.next_order(0.3)
        # Its load would make the count 2, for which the first order is still valid.
        self.assertIsNone(order)
        # No order is carried out so late.
        self.assertEqual(admission.next_order(0.0 + 10.3).kind, LOAD)

    def test_a_restart_with_the_clock_set_back_is_believed_in_the_end(self):
        """No report of the earlier incarnation arrives any more."""
        admission = make_admission(adapters={"a1": 1})
        admission.apply_report(make_report({"a1": 1}, (), 9, 5), 0.0)
        restarts = [
            admission.apply_report(make_report((), (), 5, 0), 0.5 * step)
            for step in range(1, 9)
        ]
        self.assertEqual(restarts.count(True), 1)
        self.assertEqual(admission.slots.resident(), [])

    def test_an_engine_without_a_start_time_shows_a_restart_by_its_count(self):
        """Nothing else tells it."""
        admission = make_admission(adapters={"a1": 1})
        admission.apply_report(make_report({"a1": 1}, (), 0, 5), 0.1)
        self.assertTrue(admission.apply_report(make_report((), (), 0, 1), 0.2))

    def test_a_request_waits_for_a_model_on_the_engines_disk(self):
        """A load from the disk is shorter than one from the store."""
        for on_disk, accepted in (((MODEL,), True), ((), False)):
            admission = AdmissionController()
            admission.set_engine_capacity(EngineCapacity(64, 4, 100_000))
            empty = EngineReport(1, 0, {}, (), 0, 0, on_disk)
            admission.apply_report(empty, 0.0)
            wait_s = admission.submit(make_request(1, wait_s=2.0), 0.0)
            self.assertIs(wait_s == 0.0, accepted)

    def test_a_lost_load_is_ordered_again(self):
        """A load that the engine accepted but no longer reports has failed."""
        admission = make_admission()
        admission.submit(make_request(1), 0.0)
        order = admission.next_order(0.0)
        admission.record_outcome(order, ACCEPTED, 0.0)
        self.assertIsNone(admission.next_order(0.1))
        admission.apply_report(make_report(), 2.0)
        self.assertEqual(admission.next_order(2.0).kind, LOAD)

    def test_a_conflicting_order_is_repeated_with_the_reported_count(self):
        """A conflict changes no other state."""
        admission = make_admission()
        admission.submit(make_request(1), 0.0)
        order = admission.next_order(0.0)
        admission.record_outcome(order, CONFLICT, 0.0)
        admission.apply_report(make_report(order_count=7), 0.1)
        self.assertEqual(admission.next_order(0.1).adapter, "a1")
        self.assertEqual(admission.order_count, 7)

    def test_an_unload_that_waits_for_runs_is_ordered_once(self):
        """Runs from before the start of the agent delay the unload.

        Meanwhile, another adapter is unloaded.
        """
        resident = {"a1": 1, "a2": 1}
        admission = make_admission(adapter_slots=2, adapters=resident)
        admission.submit(make_request(1, "a3"), 0.0)
        first = admission.next_order(0.0)
        self.assertEqual(first.kind, UNLOAD)
        admission.record_outcome(first, ACCEPTED, 0.0)
        admission.apply_report(make_report(resident, order_count=1), 0.1)
        second = admission.next_order(0.1)
        self.assertEqual({first.adapter, second.adapter}, {"a1", "a2"})
        admission.record_outcome(second, COMPLETED, 0.1)
        admission.apply_report(make_report({first.adapter: 1}, order_count=2), 0.2)
        self.assertEqual(admission.next_order(0.2).kind, LOAD)

    def test_a_request_waits_for_an_adapter_that_is_being_unloaded(self):
        """The engine would reject the request.

        The adapter is loaded again after the unload.
        """
        resident = {"a1": 1, "a2": 1}
        admission = make_admission(adapter_slots=2, adapters=resident)
        admission.submit(make_request(1, "a3"), 0.0)
        order = admission.next_order(0.0)
        admission.record_outcome(order, ACCEPTED, 0.0)
        admission.submit(make_request(2, order.adapter), 0.1)
        self.assertEqual(admission.take_grants(0.1), [])
        rest = {name: 1 for name in resident if name != order.adapter}
        admission.apply_report(make_report(rest, order_count=1), 0.2)
        self.assertEqual(admission.next_order(0.2).kind, LOAD)

    def test_a_cached_adapter_does_not_wait_for_the_store(self):
        """A load from the cache is added to those from the store and is short."""
        admission = make_admission(adapters={"a9": 1})
        admission.apply_report(make_report(order_count=1), 0.1)
        for number in range(3):
            admission.submit(make_request(number, f"a{number}"), 0.2)
        loaded = []
        admission.submit(make_request(9, "a9", wait_s=0.2), 0.2)
        while (order := admission.next_order(0.2)) is not None:
            admission.record_outcome(order, ACCEPTED, 0.2)
            loaded.append(order.adapter)
        self.assertEqual(len(loaded), 3)
        self.assertIn("a9", loaded)

    def test_an_unanswered_unload_is_void_after_the_next_accepted_order(self):
        """The engine accepts an order only if the order names its current count."""
        resident = {"a1": 1, "a2": 1}
        admission = make_admission(adapter_slots=2, adapters=resident)
        admission.submit(make_request(1, "a3"), 0.0)
        lost = admission.next_order(0.0)
        admission.record_outcome(lost, NO_ANSWER, 0.0)
        admission.submit(make_request(2, lost.adapter), 0.1)
        self.assertEqual(admission.take_grants(0.1), [])
        other = admission.next_order(0.1)
        self.assertEqual(other.kind, UNLOAD)
        admission.record_outcome(other, ACCEPTED, 0.1)
        self.assertEqual(len(admission.take_grants(0.1)), 1)

    def test_an_unanswered_load_is_ordered_again_at_once(self):
        """Guards against delays when an engine leaves every third order unanswered.

        The slot stays reserved meanwhile, because the load may be carried out late.
        """
        admission = make_admission(adapter_slots=2, adapters={"a1": 1})
        admission.submit(make_request(1, "a2"), 0.0)
        lost = admission.next_order(0.0)
        admission.record_outcome(lost, NO_ANSWER, 0.0)
        self.assertFalse(admission.slots.has_free_slot())
        again = admission.next_order(0.0)
        self.assertEqual((again.kind, again.adapter), (LOAD, "a2"))
        admission.record_outcome(again, ACCEPTED, 0.0)
        self.assertIsNone(admission.next_order(0.0))
        admission.apply_report(make_report({"a1": 1}, ["m/a2@1"], order_count=1), 0.1)
        self.assertIsNone(admission.next_order(0.1))

    def test_an_unanswered_load_is_void_after_the_next_accepted_order(self):
        """The slot of the load is freed.

        If a request still needs the adapter, its load is ordered again.
        """
        admission = make_admission(adapter_slots=2)
        admission.submit(make_request(1, "a1"), 0.0)
        admission.record_outcome(admission.next_order(0.0), NO_ANSWER, 0.0)
        admission.cancel("r1")
        admission.submit(make_request(2, "a2"), 0.1)
        admission.record_outcome(admission.next_order(0.1), ACCEPTED, 0.1)
        self.assertTrue(admission.slots.has_free_slot())
        self.assertEqual(admission.load_count(), 1)

    def test_the_order_count_shows_whether_a_load_was_carried_out(self):
        """A pending load stays in transit; one that is not pending frees its slot."""
        for pending, load_count in ((["m/a1@1"], 1), ([], 0)):
            admission = make_admission(adapter_slots=2)
            admission.submit(make_request(1, "a1"), 0.0)
            admission.record_outcome(admission.next_order(0.0), NO_ANSWER, 0.0)
            admission.apply_report(make_report({}, pending, order_count=1), 0.05)
            self.assertEqual(admission.load_count(), load_count)

    def test_an_unanswered_replacement_is_ordered_again(self):
        """Requests for the newer version do not wait for the unanswered order."""
        admission = make_admission(adapters={"a1": 1})
        admission.submit(make_request(1, "a1", version=2), 0.0)
        admission.record_outcome(admission.next_order(0.0), NO_ANSWER, 0.0)
        again = admission.next_order(0.0)
        self.assertEqual((again.kind, again.version), (LOAD, 2))

    def test_the_most_requested_adapter_is_loaded_first(self):
        """An engine that has lost all adapters can serve more requests sooner."""
        admission = make_admission()
        admission.submit(make_request(1, "rare"), 0.0)
        for number in range(2, 5):
            admission.submit(make_request(number, "popular"), 0.0)
        self.assertEqual(admission.next_order(0.0).adapter, "popular")

    def test_a_load_that_comes_too_late_waits_for_one_in_time(self):
        """The store gives the second place to the request that can be on time."""
        admission = make_admission()
        admission.submit(make_request(1, "timely"), 0.0)
        admission.submit(make_request(2, "late", target_s=-1.0), 0.0)
        order = admission.next_order(0.0)
        self.assertEqual(order.adapter, "timely")
        admission.record_outcome(order, ACCEPTED, 0.0)
        self.assertIsNone(admission.next_order(0.0))
        admission.apply_report(make_report({"timely": 1}, order_count=1), 0.3)
        self.assertEqual(len(admission.take_grants(0.3)), 1)
        self.assertEqual(admission.next_order(0.3).adapter, "late")

    def test_a_request_that_no_run_could_still_serve_is_refused_at_once(self):
        """Runs here take two seconds; it has one left, and would run in vain."""
        admission = make_admission(adapters={"a1": 1})
        for number in range(10):
            now_s = 3.0 * number
            admission.submit(make_request(number, now_s=now_s), now_s)
            self.assertEqual(len(admission.take_grants(3.0 * number)), 1)
            admission.release(f"r{number}", 3.0 * number + 2.0)
        admission.submit(make_request(50, "a2", now_s=30.0), 30.0)
        self.assertEqual(admission.take_expired(47.5), [])
        (expired,) = admission.take_expired(48.5)
        self.assertEqual(expired.request_id, "r50")
        # Little may be left of a stream that goes on.
        for number, priority in ((51, 1), (52, -1)):
            request = make_request(number, now_s=30.0, priority=priority)
            refused = admission.submit(request, 48.5) > 0.0
            self.assertEqual(refused, priority > 0)

    @settings(max_examples=150)
    @given(seed=st.integers(0, 2**32))
    def test_slots_and_pins_hold_under_every_interleaving(self, seed):
        """Loads fit the slots, no used adapter is unloaded, and every request ends."""
        engine = FakeEngine(seed)
        for _ in range(400):
            engine.step()
        engine.finish()


def run_overload(slots, run_s, requests_per_s, seconds):
    """Send requests, each for a new adapter; return the fraction that is on time."""
    admission = make_admission(adapter_slots=slots)
    resident, loading, running = {}, {}, {}
    submitted = on_time = 0
    for step in range(int(seconds * 100)):
        now_s = step * 0.01
        if now_s * requests_per_s >= submitted:
            submitted += 1
            name = f"a{submitted}"
            admission.submit(
                make_request(submitted, name, wait_s=99.0, now_s=now_s), now_s
            )
        for name, ready_s in list(loading.items()):
            if now_s >= ready_s:
                del loading[name]
                resident[name] = 1
        pending = [f"{MODEL}/{name}@1" for name in loading]
        admission.apply_report(make_report(resident, pending), now_s)
        admission.take_expired(now_s)
        for grant in admission.take_grants(now_s):
            running[grant.request.request_id] = now_s + run_s
            on_time += now_s < grant.request.first_event_target_s
        for request_id, end_s in list(running.items()):
            if now_s >= end_s:
                del running[request_id]
                admission.release(request_id, now_s)
        order = admission.next_order(now_s)
        if order is not None:
            if order.kind == UNLOAD:
                del resident[order.adapter]
                admission.record_outcome(order, COMPLETED, now_s)
            else:
                loading[order.adapter] = now_s + 0.25
                admission.record_outcome(order, ACCEPTED, now_s)
    return on_time / submitted


class FakeEngine:
    """An engine that loses and delays orders and answers, and restarts."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.slots = self.rng.choice([1, 2, 5])
        self.admission = AdmissionController()
        self.admission.set_engine_capacity(EngineCapacity(6, self.slots, 10_000))
        self.started_at_ms = 1
        self.order_count = 0
        self.resident = {}
        self.loading = {}
        self.running = {}
        self.submitted = 0
        self.ended = set()
        # Orders that had no answer and may still be carried out.
        self.delayed_orders = []

    def make_report(self):
        return EngineReport(
            self.started_at_ms,
            self.order_count,
            {MODEL: dict(self.resident)},
            [f"{MODEL}/{name}@1" for name in self.loading],
            len(self.running),
            0,
        )

    def step(self, quiet=False):
        self.now_s += 0.05
        for name, ready_s in list(self.loading.items()):
            if self.now_s >= ready_s:
                del self.loading[name]
                self.resident[name] = 1
        if not quiet and self.rng.random() < 0.4:
            name = f"a{self.rng.randrange(8)}"
            self.submitted += 1
            self.admission.submit(
                make_request(self.submitted, name, 0, 99.0, self.now_s), self.now_s
            )
        self.admission.apply_report(self.make_report(), self.now_s)
        for item in self.admission.take_expired(self.now_s):
            self.ended.add(item.request_id)
        for grant in self.admission.take_grants(self.now_s):
            assert grant.request.adapter in self.resident, "started without its adapter"
            self.running[grant.request.request_id] = grant.request.adapter
        for request_id in list(self.running):
            if self.rng.random() < 0.2:
                del self.running[request_id]
                self.ended.add(request_id)
                self.admission.release(request_id, self.now_s)
        self.process_order()
        if not quiet and self.rng.random() < 0.005:
            self.restart()

    def process_order(self):
        order = self.admission.next_order(self.now_s)
        if order is None:
            return
        lost = self.rng.random() < 0.2
        if not lost:
            self.carry_out(order)
        elif self.rng.random() < 0.5:
            due_s = self.now_s + self.rng.uniform(0.05, 3.0)
            count = self.admission.order_count
            self.delayed_orders.append((due_s, order, self.started_at_ms, count))
        done = COMPLETED if order.kind == UNLOAD else ACCEPTED
        outcome = NO_ANSWER if lost or self.rng.random() < 0.1 else done
        self.admission.record_outcome(order, outcome, self.now_s)

    def carry_out(self, order):
        self.order_count += 1
        if order.kind == UNLOAD:
            assert order.adapter not in self.running.values(), "unloaded in use"
            self.resident.pop(order.adapter, None)
        elif order.kind == LOAD:
            if order.adapter not in self.resident:
                self.loading[order.adapter] = self.now_s + 0.25
            total = len(set(self.resident) | set(self.loading))
            assert total <= self.slots, "more adapters than slots"

    def carry_out_late(self):
        """Carry out unanswered orders if no other order was accepted since."""
        for item in list(self.delayed_orders):
            due_s, order, started_at_ms, count = item
            if self.now_s < due_s:
                continue
            self.delayed_orders.remove(item)
            if (started_at_ms, count) == (self.started_at_ms, self.order_count):
                self.carry_out(order)

    def restart(self):
        self.started_at_ms += 1
        self.order_count = 0
        self.resident, self.loading = {}, {}
        for request_id in list(self.running):
            self.admission.release(request_id, self.now_s)
            self.ended.add(request_id)
        self.running = {}

    def finish(self):
        for _ in range(1200):
            self.step(quiet=True)
        assert (
            len(self.ended) == self.submitted
        ), "a request neither ran nor was refused"


class RestartTests(unittest.TestCase):
    """All machines restart at once while callers are already sending requests."""

    def empty_report(self, on_disk, models=()):
        resident = {model: {} for model in models}
        return EngineReport(1, 0, resident, (), 0, 0, on_disk)

    def test_the_model_on_disk_is_loaded_before_the_first_request(self):
        """Agent and engine have restarted together, and the load is ordered once."""
        admission = AdmissionController()
        admission.apply_report(self.empty_report([MODEL]), 5.0)
        order = admission.next_order(5.0)
        self.assertEqual((order.kind, order.model), (LOAD_MODEL, MODEL))
        admission.record_outcome(order, ACCEPTED, 5.0)
        admission.apply_report(self.empty_report([MODEL]), 5.1)
        self.assertIsNone(admission.next_order(5.1))

    def test_an_engine_with_a_model_loads_no_other(self):
        """The models on its disk make no difference."""
        admission = AdmissionController()
        admission.apply_report(self.empty_report(["old"], models=[MODEL]), 0.0)
        self.assertIsNone(admission.next_order(0.0))

    def test_with_several_models_on_disk_the_first_request_decides(self):
        """The engine may not have memory for all of them."""
        admission = AdmissionController()
        admission.apply_report(self.empty_report(["m1", "m2"]), 0.0)
        self.assertIsNone(admission.next_order(0.0))

    def test_the_time_of_a_model_load_is_learned(self):
        """Later requests are told the wait that the last load had."""
        admission = AdmissionController()
        waits_s = []
        for restart in range(4):
            start_s = 10.0 + 20.0 * restart
            empty = EngineReport(restart + 1, 0, {}, (), 0, 0)
            admission.apply_report(empty, start_s)
            request = make_request(restart, wait_s=0.1, now_s=start_s)
            waits_s.append(admission.submit(request, start_s))
            order = admission.next_order(start_s)
            self.assertEqual(order.kind, LOAD_MODEL)
            admission.record_outcome(order, ACCEPTED, start_s)
            loaded = EngineReport(restart + 1, 1, {MODEL: {}}, (), 0, 0)
            admission.apply_report(loaded, start_s + 6.0)
        self.assertLess(waits_s[0], 4.0)
        self.assertAlmostEqual(waits_s[-1], 6.0, delta=0.5)

    def test_the_configured_time_of_a_model_load_is_the_first_estimate(self):
        """A load that was seen counts more."""
        admission = AdmissionController()
        admission.engine.set_model_load_s(9.0)
        admission.apply_report(EngineReport(1, 0, {}, (), 0, 0), 1.0)
        wait_s = admission.submit(make_request(1, wait_s=0.1, now_s=1.0), 1.0)
        self.assertAlmostEqual(wait_s, 9.0)
        admission.record_outcome(admission.next_order(1.0), ACCEPTED, 1.0)
        admission.apply_report(EngineReport(1, 1, {MODEL: {}}, (), 0, 0), 4.0)
        admission.engine.set_model_load_s(9.0)
        admission.apply_report(EngineReport(2, 0, {}, (), 0, 0), 5.0)
        wait_s = admission.submit(make_request(2, wait_s=0.1, now_s=5.0), 5.0)
        self.assertAlmostEqual(wait_s, 6.0)

    def test_loads_at_once_follow_the_store(self):
        """More of them while they take the usual time, fewer once they take longer."""
        tracker = LoadTracker(Slots(200))
        now_s, most = 0.0, []
        for number in range(60):
            name = f"m/a{number}"
            tracker.note_ordered(name, now_s)
            now_s += 0.25 if number < 30 else 0.6
            tracker.note_resident(name, now_s)
            most.append(tracker.max_store_loads())
        self.assertEqual((most[0], most[29]), (2, 4))
        self.assertEqual(min(most[30:]), 1)

    def test_slow_first_loads_are_not_taken_for_usual(self):
        """After a loss of power all engines load at once."""
        tracker = LoadTracker(Slots(200))
        for number in range(3):
            tracker.note_ordered(f"m/a{number}", float(number))
            tracker.note_resident(f"m/a{number}", number + 0.8)
        self.assertEqual(tracker.max_store_loads(), 1)

    def test_predicted_waits_follow_the_load_time_of_the_store(self):
        """A slower store leads to longer predicted waits."""
        for load_s in (0.08, 0.25, 1.0):
            admission = make_admission(adapter_slots=200)
            resident, now_s = {}, 0.0
            for number in range(40):
                name = f"a{number}"
                admission.submit(make_request(number, name, now_s=now_s), now_s)
                order = admission.next_order(now_s)
                admission.record_outcome(order, ACCEPTED, now_s)
                now_s += load_s
                resident[name] = 1
                admission.apply_report(
                    make_report(resident, order_count=number + 1), now_s
                )
                admission.take_grants(now_s)
                admission.release(f"r{number}", now_s)
            wait_s = admission.predicted_wait_s(
                make_request(99, "new", now_s=now_s), now_s
            )
            self.assertAlmostEqual(wait_s, load_s, delta=0.1 * load_s + 0.05)
