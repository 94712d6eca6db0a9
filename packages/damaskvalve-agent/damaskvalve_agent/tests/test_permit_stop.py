"""The stop of a permit server."""

import asyncio
import io
import signal
import socket
import unittest
from unittest import mock

from damaskvalve_agent._permits._serve import _serve
from damaskvalve_agent._permits._settings import PermitSettings
from damaskvalve_core import boot_clock_s, decision_log

IP = "127.0.229.2"
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class PermitStopTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        for number in STOP_SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    async def test_a_stop_during_a_start_waited_for_an_address_in_use(self):
        """The start is given up; its supervisor would have killed the process."""
        for held in ("address", "metrics_address"):
            with self.subTest(held), socket.create_server((IP, 0)) as other:
                settings = PermitSettings("a", f"{IP}:0", f"{IP}:1", f"{IP}:0", [])
                setattr(settings, held, "{}:{}".format(*other.getsockname()))
                with decision_log("a", boot_clock_s, io.StringIO()) as log:
                    start = asyncio.ensure_future(_serve(settings, mock.Mock(), log))
                    await asyncio.sleep(0.3)
                    signalled_s = boot_clock_s()
                    signal.raise_signal(signal.SIGTERM)
                    noted_s = await asyncio.wait_for(start, 2.0)
                self.assertLess(abs(noted_s - signalled_s), 0.5)


if __name__ == "__main__":
    unittest.main()
