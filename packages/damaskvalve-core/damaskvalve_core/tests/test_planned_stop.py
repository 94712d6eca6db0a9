"""The times of a planned stop of a process whose work runs in threads."""

import threading
import unittest

from damaskvalve_core import DEFAULT_GRACE_S, MAX_GRACE_S, MIN_GRACE_S, PlannedStop


class PlannedStopTests(unittest.TestCase):
    def test_each_wait_of_a_stop_began_anew(self):
        """All of them share times that are counted from the first signal."""
        stop = PlannedStop(20.0)
        self.assertEqual(stop.end_s(), float("inf"))
        stop.note_signal(100.0)
        stop.note_signal(107.0)
        stop.wait()
        times = (stop.signalled_s(), stop.end_s(), stop.answered_s(), stop.killed_s())
        self.assertEqual(times, (100.0, 117.5, 119.375, 120.0))

    def test_requests_are_not_ended_before_the_last_sixth_of_the_grace_period(self):
        """The reserve for what follows them lies in it, and has at least 2 s."""
        for grace_s in (MIN_GRACE_S, 30.0, DEFAULT_GRACE_S, MAX_GRACE_S):
            stop = PlannedStop(grace_s)
            stop.note_signal(0.0)
            self.assertGreaterEqual(stop.end_s(), grace_s * 5 / 6)
            self.assertLessEqual(stop.end_s(), grace_s - 2.0)
            self.assertLess(stop.end_s(), stop.answered_s())
            self.assertLess(stop.answered_s(), grace_s)

    def test_a_second_signal_blocked_a_main_thread_that_it_interrupted(self):
        """A handler runs in the main thread, which may hold the lock of an event."""
        stop = PlannedStop(20.0)
        done = threading.Event()

        def interrupt():
            with stop.requested._cond:
                stop.note_signal(100.0)
                stop.note_signal(101.0)
            done.set()

        threading.Thread(target=interrupt, daemon=True).start()
        self.assertTrue(done.wait(5.0))
        stop.wait()
        self.assertTrue(stop.requested.is_set())


if __name__ == "__main__":
    unittest.main()
