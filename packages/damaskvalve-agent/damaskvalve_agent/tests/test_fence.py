"""Tests of the fence: agents of one backend server, pauses and stale replies.

The fields of a ``ReportReply`` are the number and the holder of the fence, whether they
are confirmed, the age of that state in seconds, and what other agents served.
"""

import random
import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_agent import Fence
from damaskvalve_core.messages import ReportReply

STEP_S = 0.1


class Registry:
    """The committed holder, and the older state that a lagging host replies with."""

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
        """An engine that ignores the number must not get orders from two agents."""
        rng = random.Random(seed)
        registry = Registry()
        clock_rates = {name: rng.choice([0.97, 1.0, 1.03]) for name in "abc"}
        fences = {name: Fence(name) for name in "abc"}
        pending_grants = {}
        frozen_until_s = dict.fromkeys("abc", 0.0)
        now_s = 10.0
        for _ in range(300):
            now_s += STEP_S
            for name, fence in fences.items():
                if now_s < frozen_until_s[name]:
                    continue
                local_s = now_s * clock_rates[name]
                if rng.random() < 0.02:
                    frozen_until_s[name] = now_s + rng.random() * 8
                if fence.needs_grant() and rng.random() < 0.05:
                    pending_grants[name] = (now_s, now_s + rng.random() * 2)
                if name in pending_grants and now_s >= pending_grants[name][1]:
                    requested_at_s, _ = pending_grants.pop(name)
                    previous = registry.grant(name, now_s)
                    requested_s = requested_at_s * clock_rates[name]
                    fence.granted(registry.number, previous, requested_s, local_s)
                elif rng.random() < 0.4:
                    # Replies are younger than the lease of 3 s.
                    age_s = rng.random() * 2.9
                    _, number, holder = registry.as_of(now_s - age_s)
                    reply = ReportReply(number, holder, True, age_s, {})
                    fence.renew(reply, local_s)
            allowed = [
                name
                for name, fence in fences.items()
                if now_s >= frozen_until_s[name]
                and fence.number(now_s * clock_rates[name]) is not None
            ]
            self.assertLessEqual(len(allowed), 1)

    def test_an_agent_that_lost_its_fence_sends_no_orders(self):
        """A reply that names another holder ends its right to order."""
        fence = Fence("a")
        fence.granted(1, "", 0.0, 0.0)
        self.assertEqual(fence.number(1.0), 1)
        fence.renew(ReportReply(2, "b", True, 0.0, {}), 1.0)
        self.assertIsNone(fence.number(1.1))
        self.assertTrue(fence.is_lost())

    def test_a_stale_reply_does_not_end_a_newer_fence(self):
        """A lagging control host names the previous holder, also after the grant."""
        fence = Fence("new")
        stale = ReportReply(1, "old", True, 1.0, {})
        fence.renew(stale, 0.1)
        self.assertTrue(fence.needs_grant())
        fence.granted(2, "", 0.2, 0.3)
        fence.renew(stale, 0.4)
        self.assertEqual(fence.number(0.5), 2)
        fence.renew(ReportReply(3, "newer", True, 0.0, {}), 0.6)
        self.assertTrue(fence.is_lost())

    def test_a_relinquished_fence_allows_no_orders(self):
        """A fence that is granted without a previous holder allows orders at once."""
        old = Fence("a")
        old.granted(1, "", 0.0, 0.0)
        old.relinquish()
        self.assertIsNone(old.number(0.1))
        new = Fence("b")
        new.granted(3, "", 0.2, 0.3)
        self.assertEqual(new.number(0.3), 3)

    def test_a_disconnected_agent_stops_when_its_lease_ends(self):
        """Without replies, the right to order expires with the lease."""
        fence = Fence("a")
        fence.granted(1, "", 0.0, 0.0)
        # The lease of 3 s began at 0.0.
        self.assertIsNone(fence.number(3.0))


if __name__ == "__main__":
    unittest.main()
