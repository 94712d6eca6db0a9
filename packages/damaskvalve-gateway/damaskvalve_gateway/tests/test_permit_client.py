"""Permits from an agent whose engine changes while a request waits."""

import asyncio
import contextlib
import types
import unittest
from unittest import mock

from damaskvalve_core.messages import AdmitReply
from damaskvalve_gateway._model import EngineSpec
from damaskvalve_gateway._permits import PermitClient
from damaskvalve_gateway.tests.attempt_fixtures import (
    backend_at,
    make_exchange,
    make_gate,
)

QUEUED = AdmitReply(False, 0, 0.0, "queued", 0.0)
ENGINE = EngineSpec(8, 4, 100_000, {})


class ScriptedAgent:
    """Answers with queued replies, one for each that is put."""

    def __init__(self, *replies):
        self.notices = []
        self.replies = asyncio.Queue()
        for reply in replies:
            self.replies.put_nowait(reply)

    @contextlib.asynccontextmanager
    async def open(self, address, request):
        self.request = request
        yield types.SimpleNamespace(receive=self.replies.get, send=self.note)

    def note(self, notice):
        """Grant the version that the host says is the newest."""
        self.notices.append(notice)
        if notice.version:
            self.replies.put_nowait(granted(notice.version))


def granted(version):
    return AdmitReply(True, version, 0.0, "", 0.0, 0.0, 1, False)


class PermitClientTests(unittest.IsolatedAsyncioTestCase):
    async def permitted_version(self, agent, newest_version=lambda: 1):
        """Return the version with which a request may start."""
        client = PermitClient(
            agent, 1, make_gate(), mock.Mock(), lambda: 1, mock.Mock()
        )
        async with asyncio.timeout(5.0):
            async with client.permit(
                make_exchange(),
                [backend_at("127.0.0.1:9")],
                newest_version,
                ENGINE,
                lambda backend: None,
                mock.Mock(),
            ) as permit:
                return permit.version

    async def test_a_waiting_request_starts_on_the_version_named_meanwhile(self):
        """Guards against VERSION, review case 10."""
        newest = iter((1, 1, 1, 2))
        agent = ScriptedAgent(QUEUED)
        version = await self.permitted_version(agent, lambda: next(newest, 2))
        self.assertEqual((agent.request.version, version), (1, 2))
        self.assertEqual([item.version for item in agent.notices], [2])
