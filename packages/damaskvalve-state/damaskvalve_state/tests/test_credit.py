"""Fleet-wide rate and burst with crashes, message loss and leader changes."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_core.messages import (
    CreditAsk,
    CreditRecord,
    CreditRefund,
    CreditReport,
)
from damaskvalve_state import GRANT_LIFETIME_S, CreditLedger, Limit

STEP_S = 0.05
MAX_DELAY_S = 0.4
WORKSPACE = "w"
TOLERANCE_TOKENS = 1e-6


class EntryHost:
    """Spends grants until they expire on its own clock, and reports with delay."""

    def __init__(self, name, rng):
        self.name = name
        self.sequence = 0
        self.clock_rate = rng.choice([0.97, 1.0, 1.03])
        self.grants = []
        self.refunds = []


class FakeFleet:
    """Entry hosts and successive leaders that share committed records."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.rate = self.rng.choice([5.0, 50.0, 500.0])
        self.burst = self.rate * self.rng.choice([0.5, 2.0, 10.0])
        self.limit = Limit(self.rate, self.burst)
        self.entries = [EntryHost(f"e{n}", self.rng) for n in range(3)]
        self.committed = {}
        self.ledger = CreditLedger({}, self.now_s)
        self.messages = []
        self.pending_refunds = []
        self.idle_until_s = 0.0
        # Time and tokens of each admission; a refund reduces its tokens.
        self.admitted = []

    def elect_new_leader(self):
        """Replace the leader by one that knows only the committed records."""
        self.ledger = CreditLedger(dict(self.committed), self.now_s)

    def ask(self, entry):
        entry.sequence += 1
        reports = [
            CreditReport(g["id"], g["spent"], self.return_tokens(g))
            for g in entry.grants
        ]
        for grant in entry.grants:
            grant["spent"] = 0.0
        entry.grants = [
            g
            for g in entry.grants
            if g["left"] > 0 and g["until"] > self.now_s * entry.clock_rate
        ]
        refunds = [CreditRefund(t, self.now_s - at) for t, at in entry.refunds]
        entry.refunds = []
        wanted = self.rng.choice([0.0, self.burst * self.rng.random()])
        ask = CreditAsk(WORKSPACE, wanted, reports, refunds)
        if self.rng.random() < 0.15:
            return
        at_s = self.now_s + self.rng.random() * MAX_DELAY_S
        message = (at_s, entry, entry.sequence, ask, self.now_s * entry.clock_rate)
        self.messages.append(message)
        if self.rng.random() < 0.1:
            self.messages.append((at_s + 0.3, *message[1:]))

    def return_tokens(self, grant):
        if self.rng.random() < 0.7:
            return 0.0
        returned = grant["left"]
        grant["left"] = 0.0
        return returned

    def answer(self, entry, sequence, ask, sent_at_s):
        ledger = self.ledger
        if not ledger.record_sequence(entry.name, sequence):
            return
        limits = {WORKSPACE: self.limit}
        ledger.settle(entry.name, ask, self.limit, self.now_s)
        records = ledger.reservations([ask], limits, self.now_s)
        if records and self.rng.random() < 0.1:
            if self.rng.random() < 0.5:
                self.commit(records)
            return
        self.commit(records)
        ledger.apply_reservations(records)
        grant = ledger.grant(entry.name, ask, self.limit, self.now_s)
        lost = self.rng.random() < 0.1
        if grant.tokens > 0 and not lost:
            until_s = sent_at_s + GRANT_LIFETIME_S
            grant_fields = {"id": grant.grant_id, "left": grant.tokens, "spent": 0.0}
            entry.grants.append({**grant_fields, "until": until_s})

    def commit(self, records):
        for record in records:
            self.committed[record.workspace] = CreditRecord(
                record.workspace, record.level_tokens, record.outstanding_tokens
            )

    def spend(self, entry):
        for grant in entry.grants:
            if grant["until"] <= self.now_s * entry.clock_rate:
                continue
            tokens = grant["left"] * self.rng.random()
            grant["left"] -= tokens
            grant["spent"] += tokens
            self.admitted.append([self.now_s, tokens])
            if self.rng.random() < 0.3:
                self.schedule_refund(entry, self.admitted[-1])

    def schedule_refund(self, entry, admission):
        """Use a part of the charged tokens and schedule a refund of the rest."""
        unused = admission[1] * self.rng.random()
        admission[1] -= unused
        due_s = self.now_s + self.rng.random() * 8
        self.pending_refunds.append((due_s, entry, unused, admission[0]))

    def send_due_refunds(self):
        for item in list(self.pending_refunds):
            due_s, entry, unused, charged_at_s = item
            if due_s <= self.now_s:
                self.pending_refunds.remove(item)
                entry.refunds.append((unused, charged_at_s))

    def step(self):
        self.now_s += STEP_S
        due = [item for item in self.messages if item[0] <= self.now_s]
        self.messages = [item for item in self.messages if item[0] > self.now_s]
        for _, *rest in due:
            self.answer(*rest)
        self.send_due_refunds()
        if self.rng.random() < 0.02:
            self.idle_until_s = self.now_s + self.rng.random() * 10
        if self.now_s < self.idle_until_s:
            return
        for entry in self.entries:
            if self.rng.random() < 0.3:
                self.ask(entry)
            if self.rng.random() < 0.4:
                self.spend(entry)
        if self.rng.random() < 0.01:
            entry = self.rng.choice(self.entries)
            entry.grants = []
        if self.rng.random() < 0.01:
            self.elect_new_leader()

    def greatest_excess(self):
        """Return the greatest excess of any interval over its bound."""
        greatest = 0.0
        level = self.burst
        last_s = None
        for at_s, tokens in self.admitted:
            if last_s is not None:
                level = min(self.burst, level + (at_s - last_s) * self.rate)
            last_s = at_s
            level -= tokens
            greatest = max(greatest, -level)
        return greatest


class CreditTests(unittest.TestCase):
    @settings(max_examples=300)
    @given(seed=st.integers(0, 2**32))
    def test_no_interval_admits_more_than_rate_times_length_plus_burst(self, seed):
        """Entry hosts crash, messages are lost, duplicated and late, leaders change."""
        fleet = FakeFleet(seed)
        for _ in range(400):
            fleet.step()
        self.assertLessEqual(fleet.greatest_excess(), TOLERANCE_TOKENS)

    @settings(max_examples=20)
    @given(seed=st.integers(0, 2**32))
    def test_steady_demand_gets_nearly_the_full_rate(self, seed):
        """Demand beyond the rate is granted over 90 % of the rate and burst."""
        fleet = FakeFleet(seed)
        fleet.rng = random.Random(1)
        limits = {WORKSPACE: fleet.limit}
        granted = 0.0
        start_s = fleet.now_s
        for sequence in range(1, 400):
            fleet.now_s += STEP_S
            reports = [CreditReport(sequence - 1, granted, 0.0)]
            ask = CreditAsk(WORKSPACE, fleet.burst, reports, [])
            fleet.ledger.settle("e0", ask, fleet.limit, fleet.now_s)
            records = fleet.ledger.reservations([ask], limits, fleet.now_s)
            fleet.ledger.apply_reservations(records)
            grant = fleet.ledger.grant("e0", ask, fleet.limit, fleet.now_s)
            granted = grant.tokens
            fleet.admitted.append([fleet.now_s, granted])
        total = sum(tokens for _, tokens in fleet.admitted)
        entitled = fleet.burst + fleet.rate * (fleet.now_s - start_s)
        self.assertGreater(total, 0.9 * entitled)

    def grant_and_spend(self, ledger, wanted, now_s):
        """Grant and spend tokens at once; return their number."""
        ask = CreditAsk(WORKSPACE, wanted, [], [])
        limits = {WORKSPACE: Limit(10.0, 100.0)}
        ledger.apply_reservations(ledger.reservations([ask], limits, now_s))
        grant = ledger.grant("e", ask, limits[WORKSPACE], now_s)
        spent = CreditReport(grant.grant_id, grant.tokens, 0.0)
        report = CreditAsk(WORKSPACE, 0.0, [spent], [])
        ledger.settle("e", report, limits[WORKSPACE], now_s)
        return grant.tokens

    def test_refund_does_not_restore_refill_lost_to_a_full_bucket(self):
        """The refill has already replaced the charge; a refund would add it twice."""
        ledger = CreditLedger({}, 0.0)
        self.assertEqual(self.grant_and_spend(ledger, 100.0, 0.0), 100.0)
        self.assertEqual(self.grant_and_spend(ledger, 100.0, 20.0), 100.0)
        late_refund = CreditAsk(WORKSPACE, 0.0, [], [CreditRefund(90.0, 20.0)])
        ledger.settle("e", late_refund, Limit(10.0, 100.0), 20.0)
        self.assertEqual(self.grant_and_spend(ledger, 100.0, 20.0), 0.0)

    def test_refund_is_complete_when_the_bucket_was_never_full(self):
        """A busy workspace gets all unused tokens of its requests back."""
        ledger = CreditLedger({}, 0.0)
        self.grant_and_spend(ledger, 100.0, 0.0)
        self.grant_and_spend(ledger, 30.0, 3.0)
        refund = CreditAsk(WORKSPACE, 0.0, [], [CreditRefund(20.0, 0.5)])
        ledger.settle("e", refund, Limit(10.0, 100.0), 5.0)
        self.assertAlmostEqual(self.grant_and_spend(ledger, 100.0, 5.0), 40.0)

    def test_new_leader_does_not_start_above_the_committed_level(self):
        """A new leader grants at first only what the old one left."""
        limit = Limit(1.0, 100.0)
        limits = {WORKSPACE: limit}
        ask = CreditAsk(WORKSPACE, 90.0, [], [])
        old = CreditLedger({}, 0.0)
        records = old.reservations([ask], limits, 0.0)
        old.apply_reservations(records)
        self.assertEqual(old.grant("e", ask, limit, 0.0).tokens, 90.0)
        new = CreditLedger({record.workspace: record for record in records}, 1.0)
        new.apply_reservations(new.reservations([ask], limits, 1.0))
        self.assertLessEqual(new.grant("e", ask, limit, 1.0).tokens, 11.0)


if __name__ == "__main__":
    unittest.main()
