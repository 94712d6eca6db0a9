"""The planned stop of an agent."""

import threading
import time
import unittest
from unittest import mock

import pykka

from damaskvalve_agent import _agent
from damaskvalve_agent._service import Counters
from damaskvalve_core import ProtocolError

# How long a request still runs at the stop.
RUNS_S = 1.5


class DrainTests(unittest.TestCase):
    def setUp(self):
        self.service = mock.Mock(leaving=False)
        self.counters = Counters()

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
        _agent._drain(self.service, self.counters, reports)

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
        self.assertLess(max(told) - started_s, _agent.LEAVING_NOTICE_S)
        self.assertLess(time.monotonic() - started_s, 2 * _agent.LEAVING_NOTICE_S)


if __name__ == "__main__":
    unittest.main()
