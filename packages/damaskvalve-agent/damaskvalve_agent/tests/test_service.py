"""Which work the end of a backend server counts against."""

import unittest
from unittest import mock

from damaskvalve_agent._backend_client import BackendError
from damaskvalve_agent._service import WorkService
from damaskvalve_core.messages import WorkRequest


class CrashTests(unittest.TestCase):
    def setUp(self):
        none = mock.Mock()
        self.service = WorkService(none, none, none, none, none, none)
        self.service.backend_up = True
        self.service.start_id = "new"
        self.reported = []
        self.takes_reports = True
        self.service.report_crash = self.report

    def report(self, work):
        self.reported.append(work)
        return self.takes_reports

    def has_ended(self, *, crashed, start_id):
        error = BackendError("", sent=True, crashed=crashed)
        return self.service._has_process_ended(error, start_id)

    def test_a_broken_connection_to_a_server_that_lives_is_no_crash(self):
        """Its start is the one that ran the work."""
        self.assertFalse(self.has_ended(crashed=True, start_id="new"))

    def test_a_server_that_ends_without_a_reset_is_a_crash(self):
        """It fell silent, or its stream ended too soon, and another start answers."""
        self.assertTrue(self.has_ended(crashed=False, start_id="old"))
        self.service.backend_up = False
        self.assertTrue(self.has_ended(crashed=False, start_id="new"))

    def test_without_a_start_id_the_connection_decides(self):
        """Not every backend server names its start."""
        self.assertTrue(self.has_ended(crashed=True, start_id=""))
        self.assertFalse(self.has_ended(crashed=False, start_id=""))

    def test_a_restart_counts_against_work_of_the_start_before_only(self):
        """Also when nobody waits for that work any more."""
        before, after = WorkRequest("r-1"), WorkRequest("r-2")
        self.service._running = {1: (before, "old"), 2: (after, "new")}
        self.service.backend_restarted()
        self.assertEqual(self.reported, [before])

    def test_without_a_leader_a_restart_does_not_hold_up_health_checks(self):
        """Each report that is not taken costs its time-out."""
        self.takes_reports = False
        self.service._running = {
            number: (WorkRequest(f"r-{number}"), "old") for number in range(64)
        }
        self.service.backend_restarted()
        self.assertEqual(len(self.reported), 1)
