"""Permits for an older version of an adapter than the operator has named."""

import asyncio
import contextlib
import types
import unittest
from unittest import mock

from damaskvalve_core import RefusedError
from damaskvalve_gateway._gateway import Gateway
from damaskvalve_gateway.tests.attempt_fixtures import backend_at, make_exchange


class OutdatedGrantTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.granted = []
        self.named = 2
        self.gateway = Gateway.__new__(Gateway)
        versions = mock.Mock()
        versions.get.side_effect = lambda name, default: self.named
        self.gateway._view = types.SimpleNamespace(adapter_versions=versions)
        self.gateway._permits = types.SimpleNamespace(permit=self.permit)
        self.gateway._log = mock.Mock()
        self.gateway._attempt = mock.AsyncMock()

    @contextlib.asynccontextmanager
    async def permit(self, exchange, candidates, newest_version, *_):
        self.granted.append(newest_version())
        if len(self.granted) > 3:
            raise AssertionError("asked again and again")
        yield types.SimpleNamespace(
            version=self.version_of(newest_version()),
            backend=backend_at("127.0.0.1:9"),
            release=lambda outcome: None,
        )

    def version_of(self, asked):
        return 1

    async def attempt(self, adapter="a"):
        exchange = make_exchange(resumable=True)
        exchange.request.adapter = adapter
        exchange.service.engine = mock.Mock()
        async with asyncio.timeout(5.0):
            return await self.gateway._attempt_on_engine(exchange, [])

    async def test_an_agent_that_grants_an_older_version_was_asked_in_a_loop(self):
        """Guards against RECOVER, review case 14: it used up host and agent."""
        with self.assertRaises(RefusedError) as context:
            await self.attempt()
        self.assertEqual(context.exception.code, "outdated_adapter")
        self.assertEqual((context.exception.status, len(self.granted)), (503, 1))

    async def test_a_version_that_is_named_with_the_grant_is_asked_for(self):
        """The request starts on it."""

        def name_another(asked):
            self.named = 3
            return asked

        self.version_of = name_another
        await self.attempt()
        self.assertEqual(self.granted, [2, 3])

    async def test_a_request_for_the_model_itself_asks_for_no_version(self):
        """Named weights are loaded with the model; none is ordered to replace them."""
        await self.attempt(adapter="")
        self.assertEqual(self.granted, [0])
