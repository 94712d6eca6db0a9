"""Streams whose backend server falls silent for longer than it may pause."""

import asyncio
import unittest

from damaskvalve_core import boot_clock_s
from damaskvalve_core.http import IncomingRequest
from damaskvalve_gateway._model import STREAMING
from damaskvalve_gateway.tests import test_stopping
from damaskvalve_gateway.tests.attempt_fixtures import (
    CHUNKED,
    LAST_CHUNK,
    ScriptedServer,
    event,
)
from damaskvalve_gateway.tests.test_stopping import StopResponder

# A resumable stream is given up after 2.2 s; its caller waits for 4 s.
PAUSE_S = 2.8


async def pause(writer):
    writer.write(CHUNKED + event(1))
    await asyncio.sleep(PAUSE_S)
    writer.write(event(2) + LAST_CHUNK)
    await asyncio.sleep(0.2)


class SilentServerTests(unittest.IsolatedAsyncioTestCase):
    make_gateway = test_stopping.GatewayStopTests.make_gateway
    announce = test_stopping.GatewayStopTests.announce

    async def end_of_stream(self, left_of_stop_s=None):
        """Return whether a stream with a long pause was finished, or aborted."""
        async with ScriptedServer(pause).listening() as address:
            gateway = self.make_gateway(STREAMING, resumable=True)
            (route,) = [gateway._view.configuration.find_route("h", "/x")]
            route.pause_s = 0.25
            self.announce(address)
            responder = StopResponder()
            incoming = IncomingRequest("POST", "/x", [], b"", "127.0.0.1")
            handling = asyncio.ensure_future(gateway.handle(incoming, responder))
            await asyncio.sleep(0.1)
            self.assertTrue(responder.started)
            if left_of_stop_s is not None:
                now_s = boot_clock_s()
                gateway.begin_stop(now_s, now_s + left_of_stop_s)
            await asyncio.wait((handling,), timeout=4.0)
        return responder.finished, responder.aborted

    async def test_a_stream_whose_only_engine_paused_was_ended(self):
        """No other server could go on with it, and its caller still waits."""
        self.assertEqual(await self.end_of_stream(), (True, False))

    async def test_a_stream_whose_only_engine_paused_was_ended_during_a_stop(self):
        """The same; the host goes on for long enough."""
        self.assertEqual(await self.end_of_stream(6.0), (True, False))
