"""The load budget across leader changes, and the order of grants."""

import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_state import LoadBudget, LoadLimit, LoadRequest

LIMIT = LoadLimit(rate_loads_per_s=2.0, burst_loads=2.0, max_in_flight=8)


def load_request(agent, urgency, expires_at_s, since_s, workspace="w"):
    return LoadRequest(agent, "a", workspace, 1.0, urgency, since_s, expires_at_s, None)


def granted(decisions):
    return [item for item in decisions if item.permit_id is not None]


class LoadBudgetTests(unittest.TestCase):
    @settings(max_examples=200)
    @given(
        steps=st.lists(
            st.tuples(st.floats(0.0, 1.0), st.sampled_from(["ask", "elect", "finish"])),
            max_size=120,
        )
    )
    def test_no_window_grants_more_than_the_store_allows(self, steps):
        """Grants in every window are at most rate * length + burst."""
        now_s = 0.0
        term = 1
        budget = LoadBudget(LIMIT, term, now_s)
        times = []
        for gap_s, event in steps:
            now_s += gap_s
            if event == "elect":
                term += 1
                budget = LoadBudget(LIMIT, term, now_s)
            elif event == "ask":
                for _ in range(3):
                    budget.enqueue(load_request("agent", 0, now_s + 5, now_s))
            decisions = granted(budget.decide(now_s))
            times.extend([now_s] * len(decisions))
            if event == "finish":
                for decision in decisions:
                    budget.finish(decision.permit_id)
        for first in range(len(times)):
            for last in range(first, len(times)):
                length_s = times[last] - times[first]
                allowed = LIMIT.rate_loads_per_s * length_s + LIMIT.burst_loads
                self.assertLessEqual(last - first + 1, allowed + 1e-9)

    def test_at_most_eight_loads_are_in_flight(self):
        """Permits count until they expire, those of a previous leader too."""
        limit = LoadLimit(1000.0, 1000.0, 8)
        budget = LoadBudget(limit, 1, 0.0)
        for _ in range(20):
            budget.enqueue(load_request("agent", 0, 100.0, 0.0))
        self.assertEqual(len(granted(budget.decide(0.5))), 0)
        self.assertEqual(len(granted(budget.decide(5.0))), 8)
        self.assertEqual(len(granted(budget.decide(5.1))), 0)

    def test_most_urgent_request_is_granted_first(self):
        """Interactive requests come before prefetch and deferred work."""
        budget = LoadBudget(LIMIT, 1, 0.0)
        budget.enqueue(load_request("late", 2, 100.0, 0.0))
        budget.enqueue(load_request("soon", 0, 100.0, 1.0))
        first = granted(budget.decide(4.0))[0]
        self.assertEqual(first.request.agent_id, "soon")

    def test_repeated_request_keeps_its_place_in_the_queue(self):
        """The longest waiting time goes first, also after a lost reply."""
        budget = LoadBudget(LIMIT, 1, 0.0)
        budget.enqueue(load_request("new", 0, 100.0, 2.0))
        budget.enqueue(load_request("old", 0, 100.0, 1.0))
        first = granted(budget.decide(4.0))[0]
        self.assertEqual(first.request.agent_id, "old")

    def test_workspace_with_many_requests_does_not_starve_another(self):
        """The workspace with fewer loads goes first, however long others waited."""
        budget = LoadBudget(LIMIT, 1, 0.0)
        for _ in range(20):
            budget.enqueue(load_request("a", 0, 100.0, 0.0, workspace="greedy"))
        now_s = 4.0
        budget.decide(now_s)
        budget.enqueue(load_request("b", 0, 100.0, now_s, workspace="modest"))
        first = granted(budget.decide(now_s + 0.5))[0]
        self.assertEqual(first.request.workspace, "modest")

    def test_request_is_refused_when_its_wait_expires(self):
        """No agent waits longer than its wait_s."""
        budget = LoadBudget(LIMIT, 1, 0.0)
        budget.enqueue(load_request("agent", 0, 0.3, 0.0))
        answers = budget.decide(0.3)
        self.assertEqual([item.permit_id for item in answers], [None])


if __name__ == "__main__":
    unittest.main()
