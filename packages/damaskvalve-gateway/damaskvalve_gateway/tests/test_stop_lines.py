"""Each request that a stop ends is named in the log."""

import asyncio
import io
import json
import time
import unittest

from damaskvalve_core import DecisionLog, boot_clock_s
from damaskvalve_core.http import IncomingRequest
from damaskvalve_gateway._model import STREAMING, CallerRequest
from damaskvalve_gateway.tests import test_stopping
from damaskvalve_gateway.tests.test_stopping import StopResponder

STREAMS = 80


class UnnamedRequestTests(unittest.IsolatedAsyncioTestCase):
    make_gateway = test_stopping.GatewayStopTests.make_gateway

    def setUp(self):
        self.log = DecisionLog("h", io.StringIO(), boot_clock_s, time.time)

    def lines(self):
        return json.dumps(list(self.log._queue), default=str)

    async def test_streams_that_a_stop_cut_had_no_line_beyond_the_limit_of_lines(self):
        """Each request that a stop cuts is named, however many there are."""
        gateway = self.make_gateway(STREAMING)
        gateway._log = self.log
        ids = [f"id-{number:03}" for number in range(STREAMS)]
        numbers = iter(ids)
        gateway._dialect.read_request = lambda incoming: CallerRequest(
            next(numbers), "POST", "/x", "h", (), b""
        )

        async def stream(exchange):
            exchange.runs = exchange.attempts = 1
            exchange.responder.started = True
            await asyncio.sleep(30.0)

        gateway._attempt_once = stream
        incoming = IncomingRequest("POST", "/x", [], b"", "127.0.0.1")
        tasks = [
            asyncio.ensure_future(gateway.handle(incoming, StopResponder()))
            for _ in ids
        ]
        await asyncio.sleep(0.05)
        gateway.begin_stop(boot_clock_s(), boot_clock_s())
        gateway.end_unfinished()
        await asyncio.wait(tasks, timeout=2.0)
        text = self.lines()
        self.assertEqual([name for name in ids if name not in text], [])
