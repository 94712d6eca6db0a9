"""How an agent that gives permits finds the leader."""

import asyncio
import io
import types
import unittest

from damaskvalve_agent._permits._run import PermitServer
from damaskvalve_agent.permits import PermitSettings
from damaskvalve_core import DecisionLog, RetryLaterError


class FakeLeader:
    """Grants a fence once it has learned the address of a host that runs."""

    def __init__(self, running):
        self.running = running
        self.learned = []

    def learn(self, address):
        self.learned.append(address)

    def commit(self, command, timeout_s):
        if self.running not in self.learned:
            raise RetryLaterError("no control host is the leader now")
        return types.SimpleNamespace(fence=types.SimpleNamespace(number=7))


class FenceTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_host_that_asks_for_a_permit_is_asked_for_the_leader(self):
        """Its seeds may all have been replaced; without a fence it gives no orders."""
        settings = PermitSettings("e", "h9:3", "h9:8000", "h9:9", ["h1:2", "h2:2"])
        log = DecisionLog("e", io.StringIO(), lambda: 0.0, lambda: 0.0)
        server = PermitServer(settings, dialect=None, pool=None, log=log)
        leader = FakeLeader("10.0.0.4:2")
        fetching = asyncio.create_task(server.fetch_fence(leader))
        await asyncio.sleep(0.05)
        self.assertFalse(fetching.done())
        server._note_host("10.0.0.4:40312")
        await asyncio.wait_for(fetching, 5.0)
