"""Crashes whose backend servers seem to live on by announcements that arrive late."""

import unittest

from damaskvalve_gateway._backends import BackendTable
from damaskvalve_gateway._crashes import (
    MAX_ANNOUNCEMENT_LATENESS_S,
    REFUSED_AT,
    CrashTracker,
    parts_key,
)
from damaskvalve_gateway._model import LEAVING
from damaskvalve_gateway.tests.test_crashes import announcement

CRASHED_S = 20.0
# A late announcement of before the crash, and the first one of the next start.
LATE_S, NEXT_START_S = CRASHED_S + 1.5, CRASHED_S + 5.0


class LateAnnouncementTests(unittest.TestCase):
    def setUp(self):
        self.table, self.tracker = BackendTable(), CrashTracker()
        self.names = [f"i-{number}" for number in range(REFUSED_AT)]
        self.announce(1, 10.0)

    def announce(self, sequence, at_s, started_at_ms=5, **state):
        for number, name in enumerate(self.names):
            item = announcement(
                sequence, started_at_ms=started_at_ms, name=name, **state
            )
            item.address = f"10.0.1.{number}:1"
            self.table.update(item, at_s)

    def crash(self, **fields):
        for name in self.names:
            self.tracker.note_run("m", (name, 5), CRASHED_S, **fields)

    def settle(self, now_s):
        return self.tracker.settle(
            lambda incarnation, since_s: self.table.incarnation_status(
                incarnation, since_s, now_s
            ),
            now_s,
        )

    def test_runs_count_again_once_the_next_start_is_announced(self):
        """Guards against BUDGET, review case 9: they were removed for good."""
        self.crash()
        self.announce(2, LATE_S)
        self.settle(LATE_S + 0.1)
        self.assertFalse(self.tracker.is_refused("m"))
        self.announce(1, NEXT_START_S, started_at_ms=9)
        counted = self.settle(NEXT_START_S + 0.1)
        self.assertEqual(len(counted), REFUSED_AT)
        self.assertTrue(self.tracker.is_refused("m"))
        self.assertTrue(self.tracker.is_proved("m"))

    def test_runs_of_parts_count_again_with_their_requests(self):
        """They are counted under a key of their own."""
        self.crash(parts=("deadly",))
        self.announce(2, LATE_S)
        self.settle(LATE_S + 0.1)
        self.assertEqual(self.tracker.count(parts_key(("deadly",))), 0)
        self.announce(1, NEXT_START_S, started_at_ms=9)
        self.settle(NEXT_START_S + 0.1)
        self.assertEqual(self.tracker.count(parts_key(("deadly",))), REFUSED_AT)

    def test_a_server_that_lives_on_has_outlived_the_run(self):
        """Should it end later, the request is not to blame."""
        self.crash()
        certain_s = CRASHED_S + MAX_ANNOUNCEMENT_LATENESS_S + 1.0
        for sequence, at_s in enumerate((LATE_S, certain_s), start=2):
            self.announce(sequence, at_s)
            self.settle(at_s + 0.1)
        self.announce(1, certain_s + 2.0, started_at_ms=9)
        self.assertEqual(self.settle(certain_s + 2.1), [])
        self.assertEqual(self.tracker.count("m"), 0)

    def test_a_success_clears_the_runs_that_are_kept_aside(self):
        """The request does not crash backend servers."""
        self.crash()
        self.announce(2, LATE_S)
        self.settle(LATE_S + 0.1)
        self.tracker.note_served("m", LATE_S + 0.2)
        self.announce(1, NEXT_START_S, started_at_ms=9)
        self.assertEqual(self.settle(NEXT_START_S + 0.1), [])
        self.assertEqual(self.tracker.count("m"), 0)

    def test_runs_of_a_server_that_leaves_by_plan_do_not_come_back(self):
        """Its connections end with it, and it starts again under its id."""
        self.crash()
        self.announce(2, LATE_S, state=LEAVING)
        self.settle(LATE_S + 0.1)
        self.announce(1, NEXT_START_S, started_at_ms=9)
        self.assertEqual(self.settle(NEXT_START_S + 0.1), [])
        self.assertEqual(self.tracker.count("m"), 0)
