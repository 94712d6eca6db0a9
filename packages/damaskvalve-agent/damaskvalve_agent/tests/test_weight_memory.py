"""Orders within the memory of an engine for models and adapters."""

import unittest

from hypothesis import given, strategies as st

from damaskvalve_agent._permits._admission import UNSERVABLE_WAIT_S
from damaskvalve_agent._permits._weight_memory import (
    UNBOUNDED,
    ModelSize,
    WeightMemory,
    read_weight_memory,
)
from damaskvalve_agent.permits import (
    ACCEPTED,
    COMPLETED,
    LOAD,
    LOAD_MODEL,
    NO_ANSWER,
    UNLOAD,
    AdmissionController,
    EngineCapacity,
    EngineReport,
)
from damaskvalve_agent.tests.test_permits import (
    MODEL,
    FakeEngine,
    make_report,
    make_request,
)
from damaskvalve_core.messages import EngineLimits, ModelSize as StatedSize

# A model of 600 MB and adapters of 100 MB in 1,000 MB: four adapters fit.
SIZES = {MODEL: ModelSize(600.0, 100.0), "other": ModelSize(500.0, 100.0)}
MEMORY = WeightMemory(1_000.0, SIZES)


def make_admission(adapters=None, places=20, memory=MEMORY):
    admission = AdmissionController()
    admission.set_engine_capacity(EngineCapacity(64, places, 100_000, memory))
    admission.apply_report(make_report(adapters), 0.0)
    return admission


class WeightMemoryTests(unittest.TestCase):
    def test_an_agent_filled_its_engine_beyond_the_memory(self):
        """Guards against LIMIT, review case 12: only the places were counted."""
        admission = make_admission(dict.fromkeys(("a1", "a2", "a3"), 1))
        for number in (4, 5):
            admission.submit(make_request(number, f"a{number}"), 0.0)
        order = admission.next_order(0.0)
        self.assertEqual((order.kind, order.adapter), (LOAD, "a4"))
        admission.record_outcome(order, ACCEPTED, 0.0)
        # The load on its way counts; an idle adapter is unloaded before the next.
        unload = admission.next_order(0.0)
        self.assertEqual((unload.kind, unload.adapter), (UNLOAD, "a1"))
        admission.record_outcome(unload, COMPLETED, 0.0)
        order = admission.next_order(0.0)
        self.assertEqual((order.kind, order.adapter), (LOAD, "a5"))

    def test_a_load_from_before_a_restart_finds_memory_after_it(self):
        """The engine may carry it out once its count of orders is the same again."""
        memory = WeightMemory(700.0, SIZES)
        admission = make_admission(memory=memory)
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
        self.assertIsNone(order)

    def test_a_model_without_memory_for_it_is_not_ordered(self):
        """Either of two models fits, both do not; the second one stays out."""
        admission = make_admission()
        empty = EngineReport(2, 0, {}, (), 0, 0)
        admission.apply_report(empty, 1.0)
        admission.submit(make_request(1, adapter=""), 1.0)
        order = admission.next_order(1.0)
        self.assertEqual((order.kind, order.model), (LOAD_MODEL, MODEL))
        admission.record_outcome(order, ACCEPTED, 1.0)
        request = make_request(2, adapter="")
        request.model = "other"
        self.assertEqual(admission.submit(request, 1.0), UNSERVABLE_WAIT_S)
        self.assertIsNone(admission.next_order(1.0))

    def test_models_are_ordered_again_after_a_restart_only_while_they_fit(self):
        """Adapters that are on their way take memory too."""
        memory = WeightMemory(1_150.0, SIZES)
        admission = make_admission(memory=memory)
        both = make_report({}, models=(MODEL, "other"))
        admission.apply_report(both, 0.0)
        admission.apply_report(EngineReport(2, 0, {}, (), 0, 0), 0.1)
        first = admission.next_order(0.1)
        admission.record_outcome(first, ACCEPTED, 0.1)
        loaded = EngineReport(2, 1, {first.model: {}}, (f"{first.model}/x@1",), 0, 0)
        admission.apply_report(loaded, 3.0)
        self.assertIsNone(admission.next_order(3.0))

    def test_what_an_engine_can_never_hold_is_rejected_at_once(self):
        """Waiting would not help."""
        cases = [
            ("a model beyond the memory", WeightMemory(500.0, SIZES), 20, "", {}),
            ("no memory beside the model", WeightMemory(650.0, SIZES), 20, "a1", None),
            ("no places for adapters", MEMORY, 0, "a1", None),
        ]
        for name, memory, places, adapter, models in cases:
            with self.subTest(name):
                admission = make_admission(places=places, memory=memory)
                if models is not None:
                    report = EngineReport(2, 0, models, (), 0, 0)
                    admission.apply_report(report, 0.0)
                wait_s = admission.submit(make_request(1, adapter), 0.0)
                self.assertEqual(wait_s, UNSERVABLE_WAIT_S)
                order = admission.next_order(0.0)
                self.assertFalse(order and order.kind == LOAD)

    def test_the_sizes_add_up_to_the_whole_memory(self):
        """Their sum may exceed it by a rounding error."""
        sizes = {"m": ModelSize(65_099.99999999999, 0.1)}
        memory = WeightMemory(65_100.3, sizes)
        self.assertTrue(memory.fits(["m"], ["m/a", "m/b", "m/c"]))
        self.assertFalse(memory.fits(["m"], ["m/a", "m/b", "m/c", "m/d"]))
        self.assertFalse(memory.fits(["m"], ["m/a", "m/b", "m/c"], reserved=1))

    def test_a_host_that_states_no_sizes_bounds_no_loads(self):
        """A host of an earlier release sends none; a part of them may be missing."""
        self.assertIs(read_weight_memory(EngineLimits(1, 1, 1)), UNBOUNDED)
        limits = EngineLimits(1, 1, 1, None, 10.0, [StatedSize("m", 8.0)])
        self.assertTrue(read_weight_memory(limits).fits(["m"], ["m/a", "n/b"]))
        limits.weights_mb = 7.0
        self.assertFalse(read_weight_memory(limits).fits(["m"], []))

    @given(fitting=st.integers(1, 4), seed=st.integers(0, 2**32))
    def test_loads_fit_the_memory_under_every_interleaving(self, fitting, seed):
        """Orders and answers are lost and delayed, and the engine restarts."""
        memory = WeightMemory(600.0 + 100.0 * fitting, SIZES)

        class Engine(FakeEngine):
            def carry_out(self, order):
                super().carry_out(order)
                names = {*self.resident, *self.loading}
                adapters = [f"{MODEL}/{name}" for name in names]
                assert memory.fits([MODEL], adapters), "more than the memory holds"

        engine = Engine(seed)
        capacity = EngineCapacity(6, engine.slots, 10_000, memory)
        engine.admission.set_engine_capacity(capacity)
        for _ in range(200):
            engine.step()
            engine.carry_out_late()
