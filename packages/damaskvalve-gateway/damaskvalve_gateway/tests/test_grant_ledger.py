"""The leader's grants to limited backend servers, under any order of claims."""

import collections
import itertools
import random
import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_gateway._grant_ledger import (
    DEPTH_S,
    MAX_WAIT_S,
    MIN_DEPTH,
    MIN_WAIT_S,
    GrantClaim,
    GrantLedger,
)
from damaskvalve_gateway._quota import TokenBucket
from damaskvalve_gateway.tests.limit_rule import (
    WINDOW_S,
    allowed_requests,
    most_in_window,
)

SERVER = ("i-1", 1)
# How much later than its grant a request may arrive: the lifetime of a grant.
LATE_S = 0.5


def claim(host="h1", priority=0, workspace="w", wanted=1):
    return GrantClaim(host, priority, workspace, wanted)


class WindowTests(unittest.TestCase):
    """From the users' rule: one and a half times the limit, and five requests."""

    @settings(max_examples=300)
    @given(
        limit_per_s=st.sampled_from([0.0, 0.1, 0.7, 1.0, 2.5, 10.0, 70.0, 1e9]),
        steps=st.lists(
            st.tuples(
                st.sampled_from(["claim", "claim", "claim", "pause", "new leader"]),
                st.floats(0.0, 0.3),
                st.integers(1, 30),
                st.sampled_from([0, 0, 0, 1, 3]),
            ),
            min_size=1,
            max_size=150,
        ),
    )
    def test_no_window_has_more_than_the_limit_allows(self, limit_per_s, steps):
        """Claims of any number, unused grants, pauses and new leaders.

        Grants are used as late as possible or at once.
        """
        ledger, now_s, granted_s = GrantLedger(100.0), 100.0, []
        for kind, for_s, number, unused in steps:
            now_s += for_s
            if kind == "pause":
                now_s += number / 10
            elif kind == "new leader":
                ledger = GrantLedger(now_s)
            else:
                count, _ = ledger.take(
                    SERVER, limit_per_s, claim(f"h{number}", wanted=number), now_s
                )
                used = max(0, count - unused)
                ledger.give_back(SERVER, count - used)
                granted_s += [now_s] * used
        most = most_in_window(granted_s, WINDOW_S + LATE_S)
        self.assertLessEqual(most, allowed_requests(limit_per_s))

    def test_a_lower_limit_binds_at_once(self):
        """What had accrued under the higher one is gone."""
        ledger = GrantLedger(0.0)
        ledger.take(SERVER, 1000.0, claim(), 100.0)
        times_s = []
        for step in range(400):
            now_s = 102.0 + step * 0.02
            count, _ = ledger.take(SERVER, 1.0, claim(wanted=50), now_s)
            times_s += [now_s] * count
        self.assertLessEqual(
            most_in_window(times_s, WINDOW_S + LATE_S), allowed_requests(1.0)
        )

    def test_a_limit_of_zero_gets_a_request_now_and_then(self):
        """Its reply shows whether the limit still holds."""
        ledger, times_s = GrantLedger(0.0), []
        for step in range(1000):
            now_s = 100.0 + step * 0.02
            count, _ = ledger.take(SERVER, 0.0, claim(f"h{step % 70}"), now_s)
            times_s += [now_s] * count
        self.assertLessEqual(
            most_in_window(times_s, WINDOW_S + LATE_S), allowed_requests(0.0)
        )
        self.assertGreaterEqual(len(times_s), 8)

    def test_grants_that_come_back_exceed_no_depth(self):
        """Returned twice or too late, they are still bounded."""
        ledger = GrantLedger(0.0)
        ledger.take(SERVER, 1.0, claim(), 100.0)
        for _ in range(100):
            ledger.give_back(SERVER, 10)
        count, _ = ledger.take(SERVER, 1.0, claim(wanted=100), 100.0)
        self.assertLessEqual(count, 2)

    def test_absurd_limits_and_endless_servers_are_bounded(self):
        """Old buckets are forgotten."""
        ledger = GrantLedger(0.0)
        for number in range(1000):
            ledger.take((f"i-{number}", 1), 1e300, claim(wanted=3), 100.0 + number)
            ledger.expire(100.0 + number)
        self.assertLess(len(ledger._buckets), 100)


class UseTests(unittest.TestCase):
    """At least 0.95 of what one undivided bucket serves."""

    def served_share(self, hosts, limit_per_s, *, seed, election_s=0.0):
        """Return the grants in a minute as a share of those of one undivided bucket.

        Callers arrive at three times the limit, at host k in proportion to 1/k. Each
        host asks again when it was told to; for ``election_s`` there is no leader.
        """
        rng = random.Random(seed)
        weights = [1.0 / (number + 1) for number in range(hosts)]
        ledger, undivided = GrantLedger(0.0), TokenBucket(0.0, 0.0)
        next_ask_s = collections.defaultdict(float)
        granted = undivided_granted = 0
        now_s, length_s = 0.0, 60.0
        while True:
            now_s += rng.expovariate(3.0 * limit_per_s)
            if now_s >= length_s:
                return granted / undivided_granted
            undivided.refill(limit_per_s, MIN_DEPTH + DEPTH_S * limit_per_s, now_s)
            if undivided.level >= 1.0:
                undivided.level -= 1.0
                undivided_granted += 1
            if 30.0 <= now_s < 30.0 + election_s:
                ledger = GrantLedger(30.0 + election_s)
                continue
            host = rng.choices(range(hosts), weights)[0]
            if now_s < next_ask_s[host]:
                continue
            count, wait_s = ledger.take(SERVER, limit_per_s, claim(f"h{host}"), now_s)
            granted += count
            next_ask_s[host] = now_s + wait_s

    def test_quiet_hosts_strand_nothing(self):
        """Three, 70 and 410 hosts with skewed demand, an election in the middle."""
        for hosts, limit_per_s in itertools.product((3, 70, 410), (1.0, 10.0, 100.0)):
            shares = [
                self.served_share(hosts, limit_per_s, seed=seed, election_s=1.5)
                for seed in range(5)
            ]
            with self.subTest(hosts=hosts, limit_per_s=limit_per_s):
                self.assertGreaterEqual(sum(shares) / len(shares), 0.95)
                self.assertLessEqual(max(shares), 1.05)


class FairnessTests(unittest.TestCase):
    def contend(self, claims, *, limit_per_s=4.0, for_s=60.0):
        """Return the grants of each claim, each made as often as it is allowed."""
        ledger, granted = GrantLedger(0.0), collections.Counter()
        next_s = dict.fromkeys(range(len(claims)), 0.0)
        for step in range(int(for_s / 0.01)):
            now_s = step * 0.01
            for number, item in enumerate(claims):
                if now_s >= next_s[number]:
                    count, wait_s = ledger.take(SERVER, limit_per_s, item, now_s)
                    granted[number] += count
                    next_s[number] = now_s + (wait_s or 0.01)
        return granted

    def test_urgent_requests_come_first(self):
        """A more urgent claim gets nearly everything, whatever its host."""
        granted = self.contend([claim("h1", 2, "a"), claim("h2", 0, "b")])
        self.assertGreater(granted[1], 0.85 * sum(granted.values()))
        self.assertGreater(sum(granted.values()), 0.95 * 4.0 * 60.0)

    def test_workspaces_of_equal_priority_share_equally(self):
        """One of them claims from nine hosts, the other from one."""
        claims = [claim(f"h{number}", 1, "many") for number in range(9)]
        granted = self.contend([*claims, claim("h9", 1, "few")])
        share = granted[9] / sum(granted.values())
        self.assertGreater(share, 0.35)
        self.assertLess(share, 0.65)

    def test_nothing_is_kept_for_a_claim_that_is_not_made_again(self):
        """A less urgent claim alone uses the limit."""
        ledger = GrantLedger(0.0)
        ledger.take(SERVER, 1.0, claim("h1", 0, "gone"), 0.0)
        times_s = [
            step * 0.02
            for step in range(3000)
            if ledger.take(SERVER, 1.0, claim("h2", 2, "w"), step * 0.02)[0]
        ]
        self.assertGreaterEqual(len(times_s), 57)

    def test_a_refused_claim_is_told_when_to_come_back(self):
        """The wait is bounded, and hosts that wait are told different times."""
        ledger = GrantLedger(0.0)
        waits_s = [
            ledger.take(SERVER, 10.0, claim(f"h{number}"), 0.0)[1]
            for number in range(30)
        ]
        self.assertGreaterEqual(min(waits_s), MIN_WAIT_S)
        self.assertLessEqual(max(waits_s), MAX_WAIT_S)
        self.assertGreater(len(set(waits_s)), 15)

    def test_an_invalid_claim_is_rejected(self):
        """A claim for no request would be refused for ever."""
        with self.assertRaises(ValueError):
            claim(wanted=0)
