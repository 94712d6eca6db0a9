"""Tests of an entry host's credit: spending, reporting and returning grants."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve._credit_pool import CreditPool
from damaskvalve_core.messages import CreditGrant

LIFETIME_S = 2.0


class CreditPoolTests(unittest.TestCase):
    @settings(max_examples=200)
    @given(seed=st.integers(0, 2**32))
    def test_spent_and_returned_tokens_never_exceed_the_grants(self, seed):
        """For any sequence of grants, charges and reports."""
        rng = random.Random(seed)
        pool = CreditPool()
        now_s = 0.0
        granted = spent = reported = returned = 0.0
        for number in range(1, 120):
            now_s += rng.random() * 0.4
            action = rng.choice(["grant", "spend", "spend", "report"])
            if action == "grant":
                grant = CreditGrant("w", number, rng.random() * 50, 0.0)
                pool.add_grants([grant], LIFETIME_S, now_s - rng.random())
                granted += grant.tokens
            elif action == "spend":
                tokens = rng.random() * 30
                if pool.spend("w", tokens, 100.0, now_s):
                    spent += tokens
            else:
                for ask in pool.build_asks(now_s):
                    reported += sum(item.spent_tokens for item in ask.reports)
                    returned += sum(item.returned_tokens for item in ask.reports)
            self.assertLessEqual(spent + returned, granted + 1e-6)
            self.assertLessEqual(reported, spent + 1e-6)

    def test_expired_credit_is_not_spent(self):
        """Its lifetime is counted from when the request for it was sent."""
        pool = CreditPool()
        pool.add_grants([CreditGrant("w", 1, 10.0, 0.0)], LIFETIME_S, 5.0)
        self.assertFalse(pool.spend("w", 1.0, 100.0, 7.0))
        self.assertTrue(pool.spend("w", 1.0, 100.0, 6.9))

    def test_requested_credit_covers_every_waiting_request(self):
        """Forty requests without credit ask for forty times the tokens of one."""
        pool = CreditPool()
        for _ in range(40):
            pool.spend("w", 21.0, 10_000.0, 1.0)
        self.assertGreaterEqual(pool.build_asks(1.0)[0].wanted_tokens, 40 * 21.0)

    def test_use_beyond_the_charge_is_added_to_the_next_charge(self):
        """Otherwise a prompt with more tokens than estimated would be partly free."""
        pool = CreditPool()
        pool.add_grants([CreditGrant("w", 1, 30.0, 0.0)], LIFETIME_S, 0.0)
        self.assertTrue(pool.spend("w", 10.0, 100.0, 0.1))
        pool.refund("w", -15.0, 0.1)
        self.assertFalse(pool.spend("w", 10.0, 100.0, 0.2))
        self.assertTrue(pool.spend("w", 5.0, 100.0, 0.3))
        self.assertFalse(pool.spend("w", 1.0, 100.0, 0.4))

    def test_idle_credit_is_returned_before_it_expires(self):
        """The leader can grant it to other hosts."""
        pool = CreditPool()
        pool.add_grants([CreditGrant("w", 1, 10.0, 0.0)], LIFETIME_S, 0.0)
        ask = pool.build_asks(1.6)[0]
        self.assertEqual(ask.reports[0].returned_tokens, 10.0)
        self.assertFalse(pool.spend("w", 1.0, 100.0, 1.7))


if __name__ == "__main__":
    unittest.main()
