"""Rate and burst over all hosts, whatever is lost, cut off or elected."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_gateway._model import Workspace
from damaskvalve_gateway._quota import (
    LOCAL_PART,
    LONGEST_PROMISE_S,
    SMALL_LOCAL_PART,
    HostCount,
    HostQuota,
    LeaderQuota,
    QuotaSlack,
)

STEP_S = 0.05
SYNC_S = 0.4
WINDOW_S = 8.0


def workspace(rate_per_s, burst):
    return Workspace("w", None, rate_per_s, burst, 100.0, by_tokens=True)


class FakeFleet:
    """Hosts that spend as fast as they can, and leaders that come and go."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.slack = QuotaSlack(11_000.0, 0.1, WINDOW_S)
        rate = self.rng.choice([2_700.0, 40_000.0])
        self.workspace = workspace(rate, rate * self.rng.choice([0.5, 1.0, 3.0]))
        size = self.rng.choice([3, 8, 29])
        # The first hosts lend; which ones may change with a new leader.
        self.lenders = self.rng.choice([1, 3, 3, 5])
        self.hosts = [HostQuota(self.slack, 0.0) for _ in range(size)]
        self.cut = set()
        self.leader = LeaderQuota(self.slack, 0.0)
        self.heard = set()
        self.admitted = []

    def sync(self, number, now_s):
        host = self.hosts[number]
        if number in self.cut or self.leader is None:
            return
        name = f"h{number}"
        held = host.share_now(now_s)
        self.heard.add(number)
        unheard = set(range(len(self.hosts))) - self.heard
        lenders = set(range(min(self.lenders, len(self.hosts))))
        count = HostCount(
            len(self.hosts), len(lenders), len(unheard), len(unheard & lenders)
        )
        share, lease_s = self.leader.grant_share(
            name, held, count, now_s, lends=number in lenders
        )
        if self.rng.random() > 0.1:
            host.renew(share, now_s + lease_s, now_s)

    def spend(self, number, now_s):
        tokens = self.rng.choice([300.0, 1_500.0, 4_000.0])
        host = self.hosts[number]
        own = host.take(self.workspace, tokens, now_s)
        if own < tokens and not self.lend(number, tokens - own, now_s):
            host.give_back(self.workspace, own, now_s)
            return
        self.admitted.append((now_s, tokens))

    def lend(self, number, tokens, now_s):
        if number in self.cut:
            return False
        for lender in range(len(self.hosts)):
            # A host of an older list of lenders may be asked, too.
            if lender == number or lender in self.cut or lender > 5:
                continue
            lent = self.hosts[lender].take(self.workspace, tokens, now_s)
            if lent >= tokens:
                return True
            self.hosts[lender].give_back(self.workspace, lent, now_s)
        if self.leader is None:
            return False
        return self.leader.take(self.workspace, tokens, "", now_s) <= 0

    def run(self, seconds):
        elected_s = 0.0
        for step in range(int(seconds / STEP_S)):
            now_s = 1.0 + step * STEP_S
            if self.rng.random() < 0.003:
                self.leader, elected_s = None, now_s + 2.0
            if self.leader is None and now_s >= elected_s:
                self.leader = LeaderQuota(self.slack, now_s)
                self.heard = set()
                self.lenders = self.rng.choice([1, 3, 3, 5])
                for number in range(len(self.hosts)):
                    if self.rng.random() < 0.3:
                        # A restarted host has forgotten its part and its level.
                        self.hosts[number] = HostQuota(self.slack, now_s)
            if self.rng.random() < 0.01:
                most = len(self.hosts)
                self.cut = set(self.rng.sample(range(most), self.rng.randint(0, most)))
            for number in range(len(self.hosts)):
                if step % int(SYNC_S / STEP_S) == number % int(SYNC_S / STEP_S):
                    self.sync(number, now_s)
                for _ in range(3):
                    self.spend(number, now_s)

    def worst_window(self):
        worst, first, held = 0.0, 0, 0.0
        for at_s, tokens in self.admitted:
            held += tokens
            while self.admitted[first][0] < at_s - WINDOW_S:
                held -= self.admitted[first][1]
                first += 1
            worst = max(worst, held)
        return worst


class QuotaTests(unittest.TestCase):
    @settings(max_examples=60)
    @given(seed=st.integers(0, 2**32))
    def test_no_window_has_more_than_rate_burst_and_slack(self, seed):
        """The bound holds over lost answers, cuts and changes of the leader."""
        fleet = FakeFleet(seed)
        fleet.run(40.0)
        held = fleet.workspace
        whole = held.rate_per_s * WINDOW_S + held.burst
        self.assertLessEqual(fleet.worst_window(), whole * 1.1 + 11_000.0)

    def test_a_small_workspace_gets_a_request_larger_than_any_part(self):
        """What one host lacks comes from the leader, so size alone refuses nothing."""
        slack = QuotaSlack(0.0, 0.0, WINDOW_S)
        leader, host = LeaderQuota(slack, 0.0), HostQuota(slack, 0.0)
        host.renew(0.3 / 8, 100.0, 2.0)
        small = workspace(2_700.0, 2_700.0)
        own = host.take(small, 1_900.0, 5.0)
        self.assertGreater(own, 0.0)
        self.assertEqual(leader.take(small, 1_900.0 - own, "", 5.0), 0.0)

    def test_under_overload_those_turned_away_are_served_when_they_come_back(self):
        """Newcomers do not take what it can still be on time with.

        They ask for six times what the leader's part of the rate gives.
        """
        leader = LeaderQuota(QuotaSlack(0.0, 0.0, WINDOW_S), 0.0)
        rate_per_s = 25_000.0 / (1 - LOCAL_PART)
        held = workspace(rate_per_s, rate_per_s)
        back, came_back, served = [], 0, 0
        for step in range(2_000):
            now_s = 10.0 + step * 0.01
            for due_s, fingerprint in [item for item in back if item[0] <= now_s]:
                back.remove((due_s, fingerprint))
                came_back += 1
                served += leader.take(held, 1_500.0, fingerprint, now_s) == 0.0
            fingerprint = f"new-{step}"
            wait_s = leader.take(held, 1_500.0, fingerprint, now_s)
            if 0 < wait_s <= LONGEST_PROMISE_S:
                back.append((now_s + wait_s, fingerprint))
        self.assertGreater(came_back, 100)
        self.assertGreater(served / came_back, 0.95)

    def test_a_host_whose_lease_has_ended_spends_nothing(self):
        """A part that may have been granted again is not spent."""
        host = HostQuota(QuotaSlack(11_000.0, 0.1, WINDOW_S), 0.0)
        host.renew(0.1, 10.0, 0.0)
        self.assertGreater(host.take(workspace(4e4, 4e4), 500.0, 9.9), 0.0)
        self.assertEqual(host.take(workspace(4e4, 4e4), 500.0, 10.1), 0.0)

    def test_nothing_grows_while_a_host_has_no_part(self):
        """A long cut does not end with a full bucket that others have spent."""
        host = HostQuota(QuotaSlack(0.0, 0.0, WINDOW_S), 0.0)
        held = workspace(40_000.0, 40_000.0)
        host.renew(0.1, 10.0, 0.0)
        self.assertGreater(host.take(held, 1e9, 9.0), 0.0)
        host.renew(0.1, 60.0, 50.0)
        self.assertLess(host.take(held, 1e9, 50.0), 1.0)

    def test_a_new_leader_leaves_room_for_hosts_that_it_has_not_heard(self):
        """Parts never add up to more than the hosts' part, whoever is cut off."""
        slack = QuotaSlack(0.0, 0.0, WINDOW_S)
        hosts = [HostQuota(slack, 0.0) for _ in range(8)]
        leader = LeaderQuota(slack, -60.0)
        for number, host in enumerate(hosts):
            share, lease_s = leader.grant_share(
                f"h{number}", 0.0, HostCount(8, 3), 0.0, lends=number < 3
            )
            host.renew(share, lease_s, 0.0)
        leader = LeaderQuota(slack, 1.0)
        for step in range(200):
            now_s = 1.0 + step * 0.1
            for number in range(4):
                held = hosts[number].share_now(now_s)
                share, lease_s = leader.grant_share(
                    f"h{number}", held, HostCount(8, 3, 4), now_s, lends=number < 3
                )
                hosts[number].renew(share, now_s + lease_s, now_s)
            total = sum(host.share_now(now_s) for host in hosts)
            self.assertLessEqual(total, LOCAL_PART + 1e-9)

    def test_a_refusal_names_a_time_at_which_the_tokens_are_there(self):
        """Coming back after Retry-After finds the tokens."""
        leader = LeaderQuota(QuotaSlack(0.0, 0.0, WINDOW_S), 0.0)
        held = workspace(1_000.0, 1_000.0)
        self.assertEqual(leader.take(held, 600.0, "", 10.0), 0.0)
        wait_s = leader.take(held, 500.0, "", 10.0)
        self.assertGreater(wait_s, 0.0)
        self.assertEqual(leader.take(held, 500.0, "", 10.0 + wait_s + 1e-6), 0.0)

    def test_callers_a_little_over_their_rate_are_served_within_the_slack(self):
        """The load: a workspace whose rate was lowered to below what it uses.

        It asks for 1.2 times its rate for a minute, in requests that come in threes.
        """
        slack = QuotaSlack(17_000.0, 0.1, WINDOW_S)
        leader = LeaderQuota(slack, 0.0)
        held = workspace(4_200.0, 4_200.0)
        part = 1 - SMALL_LOCAL_PART
        asked = served = 0.0
        for step in range(60 * 4):
            now_s = 10.0 + step / 4
            tokens = 1.2 * part * held.rate_per_s / 4 / 3
            for _ in range(3):
                asked += tokens
                served += tokens * (leader.take(held, tokens, "", now_s) == 0.0)
        self.assertGreaterEqual(served / asked, 0.95)

    def test_callers_far_over_a_rate_are_not_told_to_come_back_in_vain(self):
        """The load: a workspace sends 3.3 times its rate for eleven seconds.

        Its callers come back once, if that takes no longer than a third of the twelve
        seconds that they wait.
        """
        leader = LeaderQuota(QuotaSlack(11_000.0, 0.1, WINDOW_S), 0.0)
        held = workspace(40_000.0, 40_000.0)
        asked_per_s = 3.3 * held.rate_per_s * (1 - LOCAL_PART)
        back, came_back, in_vain, served, number = [], 0, 0, 0.0, 0
        now_s = 10.0
        while now_s < 21.0:
            now_s += 1_300.0 / asked_per_s
            for due_s, fingerprint in [item for item in back if item[0] <= now_s]:
                back.remove((due_s, fingerprint))
                came_back += 1
                granted = leader.take(held, 1_300.0, fingerprint, now_s) == 0.0
                in_vain += not granted
                served += 1_300.0 * granted
            number += 1
            wait_s = leader.take(held, 1_300.0, f"m{number}", now_s)
            served += 1_300.0 * (wait_s == 0.0)
            if 0 < wait_s <= 4.0:
                back.append((now_s + wait_s, f"m{number}"))
        self.assertLess(in_vain, 0.1 * number)
        # The rate is used up all the same.
        self.assertGreater(served, 0.95 * 11 * held.rate_per_s * (1 - LOCAL_PART))
