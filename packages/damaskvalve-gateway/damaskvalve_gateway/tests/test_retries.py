"""The retry budget of a host."""

import tracemalloc
import unittest

from damaskvalve_gateway._retries import RetryBudget

WINDOW_S = 10.0
REQUESTS_PER_S = 100


class RetryBudgetTests(unittest.TestCase):
    def test_requests_without_retries_do_not_fill_the_memory(self):
        """Only those within the window are kept."""
        budget = RetryBudget(0.1, 0.0, WINDOW_S)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(50 * int(WINDOW_S) * REQUESTS_PER_S):
            budget.earn("s", number / REQUESTS_PER_S)
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(held_bytes, 200_000)

    def test_requests_of_the_window_earn_retries(self):
        """Earlier ones do not."""
        budget = RetryBudget(0.1, 0.0, WINDOW_S)
        for now_s in (0.0,) * 30 + (100.0,) * 20:
            budget.earn("s", now_s)
        taken = [budget.take("s", 1, 101.0) for _ in range(3)]
        self.assertEqual(taken, [True, True, False])


if __name__ == "__main__":
    unittest.main()
