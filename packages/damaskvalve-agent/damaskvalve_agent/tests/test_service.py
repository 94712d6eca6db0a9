"""Tests of which work a crash of a backend server counts against."""

import unittest
from unittest import mock

from damaskvalve_agent._backend_client import BackendError
from damaskvalve_agent._service import WorkService
from damaskvalve_core.messages import WorkRequest


class CrashTests(unittest.TestCase):
    def setUp(self):
        unused = mock.Mock()
        self.service = WorkService(unused, unused, unused, unused, unused, unused)
        self.service.backend_up = True
        self.service.start_id = "new"
        self.reported = []
        self.accepts_reports = True
        self.service.report_crash = self.report

    def report(self, work):
        self.reported.append(work)
        return self.accepts_reports

    def has_incarnation_ended(self, *, crashed, start_id):
        error = BackendError("", sent=True, crashed=crashed)
        return self.service._has_incarnation_ended(error, start_id)

    def test_a_broken_connection_to_a_running_server_is_no_crash(self):
        """The start id is still that of the incarnation that ran the work."""
        self.assertFalse(self.has_incarnation_ended(crashed=True, start_id="new"))

    def test_a_server_that_ends_without_a_connection_reset_has_crashed(self):
        """The work timed out or its stream was cut, and another incarnation answers."""
        self.assertTrue(self.has_incarnation_ended(crashed=False, start_id="old"))
        self.service.backend_up = False
        self.assertTrue(self.has_incarnation_ended(crashed=False, start_id="new"))

    def test_without_a_start_id_the_connection_error_decides(self):
        """Not every backend server has a start id."""
        self.assertTrue(self.has_incarnation_ended(crashed=True, start_id=""))
        self.assertFalse(self.has_incarnation_ended(crashed=False, start_id=""))

    def test_a_restart_counts_only_against_work_of_the_previous_incarnation(self):
        """A crash counts against work for which no caller waits any more, too."""
        before, after = WorkRequest("r-1"), WorkRequest("r-2")
        self.service._running = {1: (before, "old"), 2: (after, "new")}
        self.service.backend_restarted()
        self.assertEqual(self.reported, [before])

    def test_without_a_leader_a_restart_does_not_delay_health_checks(self):
        """Each report that no leader accepts waits for its timeout."""
        self.accepts_reports = False
        self.service._running = {
            number: (WorkRequest(f"r-{number}"), "old") for number in range(64)
        }
        self.service.backend_restarted()
        self.assertEqual(len(self.reported), 1)
