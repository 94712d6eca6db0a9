"""Whom a host asks for tokens, and what share of a rate a fleet gets to use."""

import asyncio
import random
import types
import unittest

from damaskvalve_core import ChannelError
from damaskvalve_gateway._lending import (
    SILENT_LENDER_S,
    LenderTracker,
    TokenAsk,
    TokenAsker,
)
from damaskvalve_gateway._model import Workspace
from damaskvalve_gateway._quota import (
    HostCount,
    HostQuota,
    LeaderQuota,
    QuotaSlack,
    TokenBucket,
)

RATE_PER_S = 40_000.0
SYNC_S = 0.4
# From the users' sheet of the large site.
SLACK = QuotaSlack(11_000.0, 0.1, 8.0)
LENDERS = 5
FROZEN_S, ELECTED_S, END_S = 10.0, 11.5, 20.0


def workspace(rate_per_s=RATE_PER_S):
    return Workspace("w", None, rate_per_s, rate_per_s, 100.0, by_tokens=True)


class FakeLog:
    """Keeps the kinds of its lines."""

    def __init__(self):
        self.kinds = []

    def line(self, kind, **fields):
        self.kinds.append(kind)


class FleetOfLenders:
    """Hosts with skewed demand whose leader freezes; the next is elected later."""

    def __init__(self, size, seed, frozen=(0,)):
        # Who freezes; without end if it is one, until the election if it is more.
        self.freezing = set(frozen)
        self.rng = random.Random(seed)
        self.size = size
        self.held = workspace()
        self.now_s = 0.0
        self.hosts = [HostQuota(SLACK, 0.0) for _ in range(size)]
        self.leader, self.leading = LeaderQuota(SLACK, 0.0), 0
        self.frozen = set()
        self.heard = set()
        self.log = FakeLog()
        self.askers = [TokenAsker(f"h{n}", self.send, self.log) for n in range(size)]

    async def send(self, address, request, timeout_s):
        number = int(address[1:])
        if number in self.frozen:
            raise ChannelError("no answer")
        host = self.hosts[number]
        own = host.take(self.held, request.tokens, self.now_s)
        lacking = request.tokens - own
        leads = number == self.leading and self.leader is not None
        reply = types.SimpleNamespace(
            granted=True, retry_after_s=0.0, leader_address=address if leads else ""
        )
        if lacking <= 0:
            return reply
        if leads:
            wait_s = self.leader.take(self.held, lacking, "", self.now_s)
        else:
            wait_s = host.wait_s(self.held, lacking, self.now_s)
        if wait_s > 0:
            host.give_back(self.held, own, self.now_s)
        reply.granted, reply.retry_after_s = wait_s <= 0, wait_s
        return reply

    def sync(self):
        if self.leader is None:
            return
        for number, host in enumerate(self.hosts):
            if number in self.frozen:
                continue
            self.heard.add(number)
            unheard = set(range(self.size)) - self.heard
            lenders = set(range(LENDERS))
            count = HostCount(self.size, LENDERS, len(unheard), len(unheard & lenders))
            share, lease_s = self.leader.grant_share(
                f"h{number}",
                host.share_now(self.now_s),
                count,
                self.now_s,
                lends=number in lenders,
            )
            host.renew(share, self.now_s + lease_s, self.now_s)

    async def serve(self, number, tokens):
        """Return whether a host may run a request."""
        host = self.hosts[number]
        own = host.take(self.held, tokens, self.now_s)
        if own >= tokens:
            return True
        ask = TokenAsk(self.held, tokens - own, "", f"h{number}")
        lenders = [f"h{item}" for item in range(LENDERS)]
        leader = f"h{self.leading}" if self.leading is not None else ""
        await self.askers[number].find(ask, lenders, leader, lambda: self.now_s)
        if not ask.lender:
            host.give_back(self.held, own, self.now_s)
        return bool(ask.lender)

    async def run(self, load):
        """Return the share of what one undivided bucket would have served."""
        bucket = TokenBucket(0.0, 0.0)
        depth = self.held.burst
        weights = [1.0 / (place + 1) for place in range(self.size)]
        self.rng.shuffle(weights)
        served = undivided = 0.0
        next_sync_s = 0.0
        while self.now_s < END_S:
            self.now_s += self.rng.expovariate(load * RATE_PER_S / 1_300.0)
            self.elect()
            if self.now_s >= next_sync_s:
                self.sync()
                next_sync_s = self.now_s + SYNC_S
            tokens = self.rng.uniform(300.0, 2_300.0)
            bucket.refill(RATE_PER_S, depth, self.now_s)
            whole = bucket.level >= tokens
            bucket.level -= tokens if whole else 0.0
            if self.now_s < 2.0:
                continue
            (number,) = self.rng.choices(range(self.size), weights)
            while number in self.frozen:
                (number,) = self.rng.choices(range(self.size), weights)
            undivided += tokens if whole else 0.0
            served += tokens if await self.serve(number, tokens) else 0.0
        return served / undivided

    def elect(self):
        if self.now_s >= FROZEN_S and not self.frozen:
            # What it would have lent is gone with it.
            self.frozen, self.leader = self.freezing, None
        if self.now_s >= ELECTED_S and self.leader is None:
            self.leader, self.leading = LeaderQuota(SLACK, self.now_s), 1
            self.heard = set()
            if len(self.frozen) > 1:
                self.frozen = {0}


class LendingTests(unittest.TestCase):
    def test_a_fleet_serves_what_one_bucket_would_have_served(self):
        """With skewed demand within the rate and a leader that freezes, at any size.

        Callers use 0.55 of their rate, as on the users' sheets.
        """
        for size in (8, 70, 410):
            with self.subTest(hosts=size):
                fleet = FleetOfLenders(size, seed=size)
                part = asyncio.run(fleet.run(load=0.55))
                self.assertGreaterEqual(part, 0.95)

    def test_a_small_fleet_serves_on_while_all_lenders_are_gone(self):
        """What its hosts have without asking carries it to the next election."""
        fleet = FleetOfLenders(8, seed=8, frozen=range(LENDERS))
        part = asyncio.run(fleet.run(load=0.55))
        self.assertGreaterEqual(part, 0.95)

    def test_a_workspace_far_over_its_rate_still_gets_its_rate(self):
        """Requests that are refused use up nothing."""
        for size in (8, 70):
            with self.subTest(hosts=size):
                fleet = FleetOfLenders(size, seed=size)
                part = asyncio.run(fleet.run(load=5.0))
                self.assertGreaterEqual(part, 0.95)

    def test_a_frozen_lender_holds_up_one_request_a_second_at_most(self):
        """The others do not wait for it."""
        tracker = LenderTracker()
        lenders = [f"h{number}" for number in range(LENDERS)]
        self.assertEqual(set(tracker.order("h9", lenders, "w", 1.0)), set(lenders))
        tracker.note_silent("h2", 1.0)
        self.assertNotIn("h2", tracker.order("h9", lenders, "w", 1.5))
        later_s = 1.0 + SILENT_LENDER_S
        tries = [
            "h2" in tracker.order("h9", lenders, "w", later_s + 0.001 * number)
            for number in range(100)
        ]
        self.assertEqual(tries, [True] + [False] * 99)
        tracker.note_heard("h2")
        self.assertIn("h2", tracker.order("h9", lenders, "w", later_s + 0.1))

    def test_tokens_of_requests_that_did_not_run_serve_others(self):
        """The load: engines that have no place for a second while callers come.

        Tokens that were lent for requests that are refused then are there afterwards.
        """
        leader = LeaderQuota(QuotaSlack(0.0, 0.0, 8.0), 0.0)
        held = workspace()
        before = 0
        while leader.take(held, 1_000.0, "", 10.0) <= 0:
            before += 1
        for _ in range(before):
            leader.give_back(held, 1_000.0)
        after = 0
        while leader.take(held, 1_000.0, "", 10.0) <= 0:
            after += 1
        self.assertEqual(after, before)
        for _ in range(10 * before):
            leader.give_back(held, 1_000.0)
        after = 0
        while leader.take(held, 1_000.0, "", 10.0) <= 0:
            after += 1
        self.assertEqual(after, before)

    def test_hosts_begin_with_different_lenders(self):
        """So that none answers all asks."""
        lenders = [f"h{number}" for number in range(LENDERS)]
        first = [
            LenderTracker().order(f"host-{number}", lenders, "w", 0.0)[0]
            for number in range(500)
        ]
        for lender in lenders:
            self.assertGreater(first.count(lender), 50)

    def test_a_host_that_has_ceased_to_lead_refuses_nobody_as_over_the_rate(self):
        """Between two leaders its own part may be empty while others have plenty."""
        fleet = FleetOfLenders(8, seed=1)
        fleet.leader = None
        ask = TokenAsk(fleet.held, 1e9, "", "h7")
        asked = fleet.askers[7].find(ask, ["h0"], "h0", lambda: fleet.now_s)
        asyncio.run(asked)
        self.assertEqual(ask.refusal().code, "lender_silent")

    def test_a_refusal_says_whether_anybody_knew(self):
        """429 only on the word of a leader; a silent one is no word."""
        ask = TokenAsk(workspace(), 100.0, "", "h1")
        ask.silent.append("h0")
        refused = ask.refusal()
        self.assertEqual((refused.status, refused.code), (503, "lender_silent"))
        self.assertIn("h0", str(refused))
        self.assertGreater(refused.retry_after_s, 0)
        ask.leader_wait_s = 0.3
        refused = ask.refusal()
        self.assertEqual((refused.status, refused.retry_after_s), (429, 0.3))
