"""Permits from an agent whose engine changes while a request waits or starts."""

import asyncio
import contextlib
import types
import unittest
from unittest import mock

from damaskvalve_core import RefusedError
from damaskvalve_core.messages import AdmitReply, ModelSize
from damaskvalve_gateway._model import EngineSpec
from damaskvalve_gateway._permits import PermitClient
from damaskvalve_gateway.tests.attempt_fixtures import (
    backend_at,
    make_exchange,
    make_gate,
)

QUEUED = AdmitReply(False, 0, 0.0, "queued", 0.0)
SIZES = [ModelSize("m", 600.0, 100.0)]
ENGINE = EngineSpec(8, 4, 100_000, {}, 1_000.0, SIZES)
# When the backend server started, by its announcement.
STARTED_AT_MS = 1


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


def granted(version, started_at_ms=STARTED_AT_MS):
    return AdmitReply(
        True, version, 0.0, "", 0.0, 0.0, 1, False, started_at_ms=started_at_ms
    )


class PermitClientTests(unittest.IsolatedAsyncioTestCase):
    async def permitted_version(
        self, agent, newest_version=lambda: 1, software_version=None
    ):
        """Return the version with which a request may start."""
        self.log = mock.Mock()
        client = PermitClient(agent, 1, make_gate(), mock.Mock(), lambda: 1, self.log)
        exchange = make_exchange(resumable=True)
        exchange.software_version = software_version
        async with asyncio.timeout(5.0):
            async with client.permit(
                exchange,
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

    async def test_the_agent_is_told_the_memory_for_weights(self):
        """Guards against LIMIT, review case 12: it knew the places only."""
        agent = ScriptedAgent(granted(1))
        await self.permitted_version(agent)
        limits = agent.request.limits
        self.assertEqual((limits.weights_mb, limits.model_sizes), (1_000.0, SIZES))

    async def test_an_engine_that_has_restarted_is_used_once_it_is_announced(self):
        """Guards against ORDER, review case 8: other software went on with a stream."""
        for replies in (
            [granted(1, STARTED_AT_MS + 500)],
            [QUEUED, granted(1, STARTED_AT_MS + 500)],
        ):
            with self.assertRaises(RefusedError) as context:
                await self.permitted_version(ScriptedAgent(*replies))
            self.assertEqual(context.exception.ran, "not-run")
            kinds = [call.args[0] for call in self.log.line.call_args_list]
            self.assertIn("unannounced_restart", kinds)

    async def test_agents_that_do_not_tell_the_start_grant_as_before(self):
        """They run earlier software, or their engine does not state its start."""
        for started_at_ms in (None, 0, STARTED_AT_MS):
            agent = ScriptedAgent(granted(1, started_at_ms))
            self.assertEqual(await self.permitted_version(agent), 1)

    async def test_without_its_agent_an_engine_goes_on_with_no_stream(self):
        """Guards against ORDER, review case 8, while the agent does not answer."""
        self.assertEqual(await self.permitted_version(ScriptedAgent()), 1)
        with self.assertRaises(RefusedError):
            await self.permitted_version(ScriptedAgent(), software_version="v1")
