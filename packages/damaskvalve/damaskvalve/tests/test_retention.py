"""Tests of the retention of settled work."""

import unittest

from damaskvalve._retention import CHECKPOINT_INTERVAL_S, Retention


class RetentionTests(unittest.TestCase):
    def test_nothing_expires_before_its_retention(self):
        """Work settled after a checkpoint is kept when the checkpoint expires."""
        retention = Retention(3600.0)
        now_s = 0.0
        settled_at_s = {}
        for index in range(1, 200):
            now_s += CHECKPOINT_INTERVAL_S
            settled_at_s[index] = now_s
            expired_index = retention.through_index(index, now_s)
            if expired_index is not None:
                self.assertGreaterEqual(now_s - settled_at_s[expired_index], 3600.0)

    def test_old_work_expires_eventually(self):
        """The expired index advances with time."""
        retention = Retention(3600.0)
        seen = [
            retention.through_index(n, n * CHECKPOINT_INTERVAL_S) for n in range(200)
        ]
        self.assertEqual(seen[-1], 199 - 3600 / CHECKPOINT_INTERVAL_S)

    def test_new_leader_expires_nothing_at_first(self):
        """It does not know the age of the log entries."""
        self.assertIsNone(Retention(3600.0).through_index(500, 1e6))


if __name__ == "__main__":
    unittest.main()
