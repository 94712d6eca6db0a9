"""Each request that a stop ends is named in the log."""

import asyncio
import io
import json
import time
import unittest
from unittest import mock

from damaskvalve_core import DecisionLog, RefusedError, boot_clock_s
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

    def waiting_for_confirmation(self):
        gateway = self.make_gateway(STREAMING)
        gateway._log = self.log
        gateway._admit = mock.Mock(side_effect=RefusedError(404, "no_route", "none"))
        gateway._confirmations.is_fresh = lambda: False
        # The longest time that the step takes on an idle machine.
        gateway._confirmations.confirm = lambda _: asyncio.sleep(0.4)
        responder = StopResponder()
        incoming = IncomingRequest("POST", "/x", [], b"", "127.0.0.1")
        handling = asyncio.ensure_future(gateway.handle(incoming, responder))
        return gateway, responder, handling

    async def test_a_request_that_is_cut_as_it_is_confirmed_had_no_line(self):
        """As at the end of the event loop, which cancels it."""
        _, _, handling = self.waiting_for_confirmation()
        await asyncio.sleep(0.05)
        handling.cancel()
        await asyncio.wait((handling,))
        self.assertIn("r-1", self.lines())

    async def test_a_request_that_is_confirmed_outlasted_the_end_of_requests(self):
        """It is refused as not run; 4 s of grace leave 0.25 s for the last answers."""
        gateway, responder, handling = self.waiting_for_confirmation()
        await asyncio.sleep(0.05)
        gateway.begin_stop(boot_clock_s(), boot_clock_s())
        gateway.end_unfinished()
        await asyncio.wait((handling,), timeout=0.25)
        self.assertTrue(handling.done())
        self.assertEqual(
            (responder.status, responder.body, responder.closes),
            (503, b"stopping not-run", True),
        )
