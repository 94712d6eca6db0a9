"""Two agents for one backend server, with cuts, freezes and late answers."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_agent import Fence
from damaskvalve_core.messages import ReportReply

STEP_S = 0.1


class Registry:
    """The committed holder, and a control host that sees it late."""

    def __init__(self):
        self.number = 0
        self.holder = ""
        self.history = [(0.0, 0, "")]

    def grant(self, holder, now_s):
        previous = self.holder
        if holder != self.holder:
            self.number += 1
            self.holder = holder
            self.history.append((now_s, self.number, holder))
        return previous

    def as_of(self, at_s):
        return [item for item in self.history if item[0] <= at_s][-1]


class FenceTests(unittest.TestCase):
    @settings(max_examples=300)
    @given(seed=st.integers(0, 2**32))
    def test_no_two_agents_may_order_at_the_same_time(self, seed):
        """Engines that ignore the number never get orders from two agents."""
        rng = random.Random(seed)
        registry = Registry()
        rates = {name: rng.choice([0.97, 1.0, 1.03]) for name in "abc"}
        fences = {name: Fence(name) for name in "abc"}
        waiting = {}
        frozen_until = dict.fromkeys("abc", 0.0)
        now_s = 10.0
        for _ in range(300):
            now_s += STEP_S
            for name, fence in fences.items():
                if now_s < frozen_until[name]:
                    continue
                local_s = now_s * rates[name]
                if rng.random() < 0.02:
                    frozen_until[name] = now_s + rng.random() * 8
                if fence.needs_grant() and rng.random() < 0.05:
                    waiting[name] = (now_s, now_s + rng.random() * 2)
                if name in waiting and now_s >= waiting[name][1]:
                    requested_at_s, _ = waiting.pop(name)
                    previous = registry.grant(name, now_s)
                    asked_s = requested_at_s * rates[name]
                    fence.granted(registry.number, previous, asked_s, local_s)
                elif rng.random() < 0.4:
                    age_s = rng.random() * 2.9
                    _, number, holder = registry.as_of(now_s - age_s)
                    reply = ReportReply(number, holder, True, age_s, {})
                    fence.renew(reply, local_s)
            able = [
                name
                for name, fence in fences.items()
                if now_s >= frozen_until[name]
                and fence.number(now_s * rates[name]) is not None
            ]
            self.assertLessEqual(len(able), 1)

    def test_an_agent_that_lost_its_fence_stays_silent(self):
        """It orders nothing after it has heard of another holder."""
        fence = Fence("a")
        fence.granted(1, "", 0.0, 0.0)
        self.assertEqual(fence.number(1.0), 1)
        fence.renew(ReportReply(2, "b", True, 0.0, {}), 1.0)
        self.assertIsNone(fence.number(1.1))
        self.assertTrue(fence.is_lost())

    def test_a_late_word_of_the_holder_before_does_not_end_a_fence(self):
        """A control host that lags behind names it before and after the grant."""
        fence = Fence("new")
        late = ReportReply(1, "old", True, 1.0, {})
        fence.renew(late, 0.1)
        self.assertTrue(fence.needs_grant())
        fence.granted(2, "", 0.2, 0.3)
        fence.renew(late, 0.4)
        self.assertEqual(fence.number(0.5), 2)
        fence.renew(ReportReply(3, "newer", True, 0.0, {}), 0.6)
        self.assertTrue(fence.is_lost())

    def test_an_agent_that_gave_up_orders_nothing_and_its_successor_need_not_wait(self):
        """A planned restart costs no lease."""
        old = Fence("a")
        old.granted(1, "", 0.0, 0.0)
        old.relinquish()
        self.assertIsNone(old.number(0.1))
        new = Fence("b")
        new.granted(3, "", 0.2, 0.3)
        self.assertEqual(new.number(0.3), 3)

    def test_a_cut_off_agent_stops_when_its_lease_ends(self):
        """Without answers the right to order lapses by itself."""
        fence = Fence("a")
        fence.granted(1, "", 0.0, 0.0)
        self.assertIsNone(fence.number(3.0))


if __name__ == "__main__":
    unittest.main()
