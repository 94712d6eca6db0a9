"""Tests of the scheduler: pins, isolation, starvation and fairness."""

import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_agent import (
    FairQueue,
    RejectRequest,
    RequestLoadPermit,
    Scheduler,
    SchedulerLimits,
    Slots,
    StartRequest,
    Ticket,
)

ADAPTERS = st.sampled_from([f"a{n}@1" for n in range(6)])
WORKSPACES = st.sampled_from(["big", "small", "tiny"])
DEBT_UNITS = 50.0


def make_scheduler(slots=2, max_running=3, max_waiting=50, debt=DEBT_UNITS):
    return Scheduler(
        FairQueue(max_waiting, debt),
        Slots(slots),
        SchedulerLimits(max_running, 2),
        lambda: 0.5,
    )


def make_ticket(name, workspace="big", adapter="a0@1", now_s=0.0, **more):
    # The workspaces differ only in their names.
    share = {"big": 1.0, "small": 1.0, "tiny": 1.0}[workspace]
    return Ticket(name, workspace, share, adapter, 10.0, now_s + 60.0, now_s, **more)


class FakeAgent:
    """Performs the scheduler's actions as the agent does, one step at a time."""

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.permits = []
        self.loads = []
        self.started = {}
        self.rejected = []
        self.resident = set()

    def perform(self, now_s):
        for action in self.scheduler.decide(now_s):
            if isinstance(action, StartRequest):
                self.started[action.ticket.request_id] = action.ticket
            elif isinstance(action, RequestLoadPermit):
                self.permits.append(action.adapter)
            elif isinstance(action, RejectRequest):
                self.rejected.append(action)

    def begin(self, now_s):
        if not self.permits:
            return
        load = self.scheduler.begin_load(self.permits.pop(0), now_s)
        if load is None:
            return
        if load.victim is not None:
            self.resident.discard(load.victim)
        self.loads.append(load.adapter)

    def end(self, now_s, loaded=True):
        if not self.loads:
            return
        adapter = self.loads.pop(0)
        if loaded:
            self.resident.add(adapter)
        self.scheduler.end_load(adapter, loaded=loaded, now_s=now_s)

    def restart(self):
        self.resident.clear()
        self.loads.clear()
        self.scheduler.engine_restarted()

    def finish(self, delivered=True):
        if self.started:
            name = next(iter(self.started))
            self.scheduler.finish(self.started.pop(name), delivered=delivered)


KINDS = (
    ["submit"] * 6
    + ["begin"] * 4
    + ["end"] * 4
    + ["finish"] * 2
    + ["isolated", "fail", "lost", "restart"]
)
STEPS = st.lists(
    st.tuples(st.sampled_from(KINDS), WORKSPACES, ADAPTERS), min_size=30, max_size=120
)


class SchedulerTests(unittest.TestCase):
    @settings(max_examples=400)
    @given(steps=STEPS)
    def test_an_adapter_in_use_is_never_evicted(self, steps):
        """Running requests keep their adapter resident at the engine.

        Isolated requests run alone, and there are never more adapters than slots.
        """
        scheduler = make_scheduler()
        agent = FakeAgent(scheduler)
        before_restart = set()
        for number, step in enumerate(steps):
            now_s = number * 0.1
            name = f"r{number}"
            if step[0] in ("submit", "isolated"):
                isolated = step[0] == "isolated"
                item = make_ticket(name, step[1], step[2], now_s, isolated=isolated)
                scheduler.submit(item, now_s)
            elif step[0] == "begin":
                agent.begin(now_s)
            elif step[0] in ("end", "fail"):
                agent.end(now_s, loaded=step[0] == "end")
            elif step[0] in ("finish", "lost"):
                agent.finish(delivered=step[0] == "finish")
            else:
                agent.restart()
                before_restart.update(agent.started)
            agent.perform(now_s)
            for running in scheduler.running.values():
                if running.request_id not in before_restart:
                    self.assertIn(running.adapter, agent.resident)
            isolated = [item for item in scheduler.running.values() if item.isolated]
            if isolated:
                self.assertEqual(len(scheduler.running), 1)
            loading = scheduler.slots.loading_count()
            self.assertLessEqual(loading + len(agent.resident), 2)

    @settings(max_examples=150)
    @given(requests=st.lists(st.tuples(WORKSPACES, ADAPTERS), min_size=1, max_size=40))
    def test_no_request_starves(self, requests):
        """Each of n requests starts within 4 n + 4 rounds of one load each."""
        scheduler = make_scheduler()
        agent = FakeAgent(scheduler)
        for number, (workspace, adapter) in enumerate(requests):
            scheduler.submit(make_ticket(f"r{number}", workspace, adapter), 0.0)
        done = 0
        for round_number in range(4 * len(requests) + 4):
            now_s = round_number * 0.01
            agent.perform(now_s)
            done += len(agent.started)
            while agent.started:
                agent.finish()
            agent.begin(now_s)
            agent.end(now_s)
        agent.perform(1.0)
        done += len(agent.started)
        self.assertEqual(done, len(requests))

    def test_a_request_from_before_a_restart_removes_no_new_pin(self):
        """The restart clears residency, and pins are those of newer requests only."""
        scheduler = make_scheduler(slots=1, max_running=4)
        agent = FakeAgent(scheduler)
        scheduler.submit(make_ticket("old"), 0.0)
        agent.perform(0.0)
        agent.begin(0.0)
        agent.end(0.0)
        agent.perform(0.0)
        old = agent.started["old"]
        agent.restart()
        scheduler.submit(make_ticket("new"), 1.0)
        agent.perform(1.0)
        agent.begin(1.0)
        agent.end(1.0)
        agent.perform(1.0)
        scheduler.finish(old, delivered=False)
        self.assertEqual(scheduler.slots.pins("a0@1"), 1)

    def test_requests_for_a_version_that_repeatedly_fails_to_load_are_rejected(self):
        """After three failed loads, the adapter is listed and requests are rejected."""
        scheduler = make_scheduler()
        agent = FakeAgent(scheduler)
        now_s = 0.0
        for number in range(3):
            now_s = number * 30.0
            scheduler.submit(make_ticket(f"r{number}", now_s=now_s), now_s)
            agent.perform(now_s)
            agent.begin(now_s)
            agent.end(now_s, loaded=False)
        agent.perform(now_s)
        self.assertEqual(scheduler.failing_adapters(), ["a0@1"])
        rejected = scheduler.submit(make_ticket("next", now_s=now_s), now_s)
        self.assertEqual(rejected.code, "adapter_held_back")
        self.assertGreater(rejected.retry_after_s, 0)

    def test_a_waiting_request_is_rejected_at_its_deadline(self):
        """A request does not stay in the queue beyond its deadline."""
        scheduler = make_scheduler()
        agent = FakeAgent(scheduler)
        scheduler.submit(make_ticket("r"), 0.0)
        agent.perform(60.0)
        self.assertEqual([item.code for item in agent.rejected], ["deadline"])

    def test_one_workspace_cannot_block_others_with_a_full_queue(self):
        """A full queue still accepts requests of a workspace with few in it."""
        scheduler = make_scheduler(max_waiting=10)
        for number in range(30):
            scheduler.submit(make_ticket(f"b{number}", "big"), 0.0)
        self.assertIsNone(scheduler.submit(make_ticket("s", "small"), 0.0))
        self.assertIsNotNone(scheduler.submit(make_ticket("b", "big"), 0.0))


class FairnessTests(unittest.TestCase):
    @settings(max_examples=150)
    @given(
        costs=st.lists(st.sampled_from([1.0, 5.0, 20.0]), min_size=30, max_size=90),
        shares=st.tuples(st.sampled_from([1.0, 2.0, 4.0]), st.just(1.0)),
    )
    def test_service_of_backlogged_workspaces_differs_by_a_bounded_amount(
        self, costs, shares
    ):
        """Service divided by share differs by at most the largest cost of a request."""
        queue = FairQueue(1000, DEBT_UNITS)
        share = dict(zip(("big", "small"), shares))
        for number, cost in enumerate(costs):
            for name in share:
                item = Ticket(f"{name}{number}", name, share[name], "", cost, 1e9, 0.0)
                queue.add(item)
        served = {"big": 0.0, "small": 0.0}
        left = {"big": len(costs), "small": len(costs)}
        while all(left.values()):
            item = next(queue.ordered())
            queue.remove(item)
            queue.charge(item.workspace, item.cost_units, item.share)
            served[item.workspace] += item.cost_units / item.share
            left[item.workspace] -= 1
            gap = abs(served["big"] - served["small"])
            self.assertLessEqual(gap, max(costs) + 1e-9)

    def test_overtaking_is_bounded_by_the_debt(self):
        """A ready request may overtake while its workspace is within the debt."""
        queue = FairQueue(100, DEBT_UNITS)
        behind = Ticket("x", "behind", 1.0, "a", 1.0, 1e9, 0.0)
        ahead = Ticket("y", "ahead", 1.0, "b", 1.0, 1e9, 0.0)
        queue.add(behind)
        queue.add(ahead)
        queue.charge("ahead", DEBT_UNITS, 1.0)
        self.assertTrue(queue.may_overtake(ahead))
        queue.charge("ahead", 1.0, 1.0)
        self.assertFalse(queue.may_overtake(ahead))

    def test_an_idle_workspace_gets_no_credit_for_its_idleness(self):
        """An idle workspace starts at the lowest virtual time of the waiting ones."""
        queue = FairQueue(100, DEBT_UNITS)
        first = Ticket("x", "busy", 1.0, "a", 1.0, 1e9, 0.0)
        queue.add(first)
        queue.charge("busy", 1000.0, 1.0)
        # Raises the lower bound for workspaces that start to wait.
        queue.min_virtual_time()
        queue.add(Ticket("y", "idle", 1.0, "a", 1.0, 1e9, 0.0))
        times = queue.virtual_times()
        self.assertEqual(times["idle"], times["busy"])

    def test_interactive_requests_go_before_deferred_ones(self):
        """The deferred request is later even if its workspace has less virtual time."""
        queue = FairQueue(100, DEBT_UNITS)
        queue.add(Ticket("d", "behind", 1.0, "", 1.0, 1e9, 0.0, deferred=True))
        queue.add(Ticket("i", "ahead", 1.0, "", 1.0, 1e9, 0.0))
        queue.charge("ahead", 500.0, 1.0)
        self.assertEqual(next(queue.ordered()).request_id, "i")


if __name__ == "__main__":
    unittest.main()
