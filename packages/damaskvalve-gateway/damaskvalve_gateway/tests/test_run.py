"""The sequence of a planned stop."""

import time
import unittest
from unittest import mock

from damaskvalve_core import boot_clock_s
from damaskvalve_gateway import _run

GRACE_S = 1.0


class BusyServer:
    """A server with one request that runs until it is ended."""

    def __init__(self):
        self.active = 1
        self.stop_accepting = self.close_after_response = mock.Mock()
        self.close_idle = self.refuse_unread = mock.Mock()

    def is_busy(self):
        return self.active > 0


class StopTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_slow_transfer_of_leadership_took_its_time_from_the_requests(self):
        """Requests are ended when the grace period ends, not later by the transfer."""
        started_s = boot_clock_s()
        server, group, gateway = BusyServer(), mock.Mock(), mock.Mock()
        group.announce_stop = lambda: time.sleep(1.5)
        ended_s = []

        def end_unfinished():
            server.active = 0
            ended_s.append(boot_clock_s() - started_s)

        gateway.end_unfinished = end_unfinished
        with mock.patch.object(_run, "BALANCER_REMOVAL_S", 0.2):
            await _run._stop(GRACE_S, group, server, gateway, mock.Mock())
        self.assertLess(ended_s[0], GRACE_S)
        (end_s,), _ = gateway.begin_stop.call_args
        self.assertLess(end_s - started_s, GRACE_S)
