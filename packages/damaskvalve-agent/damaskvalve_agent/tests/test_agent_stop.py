"""The planned stop of an agent."""

import threading
import time
import unittest
from unittest import mock

import pykka

from damaskvalve_agent._agent_stop import LEAVING_NOTICE_S, drain, release_fence
from damaskvalve_agent._fence import Fence
from damaskvalve_agent._registration import Registration
from damaskvalve_agent._service import Counters
from damaskvalve_core import MIN_GRACE_S, PlannedStop, ProtocolError, boot_clock_s

# How long a request still runs at the stop.
RUNS_S = 1.5


class DrainTests(unittest.TestCase):
    def setUp(self):
        self.service = mock.Mock(leaving=False)
        self.service.running_ids.return_value = ["r-1"]
        self.counters = Counters()
        self.stop = PlannedStop(MIN_GRACE_S)
        self.stop.begin(boot_clock_s())

    def run_request(self):
        """Answer a request for some time; return the event of its end."""
        ended = threading.Event()
        self.counters.enter()

        def end():
            ended.set()
            self.counters.leave()

        timer = threading.Timer(RUNS_S, end)
        self.addCleanup(timer.cancel)
        timer.start()
        return ended

    def drain(self, reports):
        return drain(self.stop, self.service, self.counters, reports)

    def test_a_report_that_failed_cut_the_requests_of_an_agent_that_stops(self):
        """They are finished, and the other control hosts are told."""
        for error in (pykka.Timeout("busy"), ProtocolError("invalid reply")):
            with self.subTest(error):
                ended, told = self.run_request(), threading.Event()
                self.drain([mock.Mock(side_effect=error), told.set])
                self.assertTrue(ended.is_set())
                self.assertTrue(told.is_set())

    def test_control_hosts_that_answer_slowly_delayed_the_stop_of_an_agent(self):
        """Each of them is told at once, and none is waited for."""
        told = []

        def report_slowly():
            told.append(time.monotonic())
            time.sleep(1.0)

        started_s = time.monotonic()
        self.drain([report_slowly] * 9)
        self.assertEqual(len(told), 9)
        self.assertLess(max(told) - started_s, LEAVING_NOTICE_S)
        self.assertLess(time.monotonic() - started_s, 2 * LEAVING_NOTICE_S)

    def test_the_time_of_a_stop_was_not_counted_from_its_signal(self):
        """What came before the drain is part of the grace period."""
        self.counters.enter()
        self.stop = PlannedStop(MIN_GRACE_S)
        self.stop.begin(boot_clock_s() - MIN_GRACE_S + 2.5)
        started_s = time.monotonic()
        self.assertFalse(self.drain([]))
        self.assertLess(time.monotonic() - started_s, 1.0)

    def test_a_leader_that_does_not_answer_held_the_end_of_an_agent(self):
        """The fence is given up at once, and its release is not waited for too long."""
        unused = [mock.MagicMock() for _ in range(9)]
        registration = Registration(*unused)
        registration._fence = Fence("me")
        registration._fence.granted(1, "", boot_clock_s(), boot_clock_s())
        released = threading.Event()
        self.addCleanup(released.set)
        registration._control.grant_fence = lambda *_: released.wait(20.0)
        stop = PlannedStop(MIN_GRACE_S)
        stop.begin(boot_clock_s() - MIN_GRACE_S + 1.5)
        release_fence(stop, registration)
        self.assertLess(boot_clock_s(), stop.killed_s())
        self.assertIsNone(registration._fence.number(boot_clock_s()))
        threads = [item for item in threading.enumerate() if not item.daemon]
        self.assertEqual(threads, [threading.main_thread()])


if __name__ == "__main__":
    unittest.main()
