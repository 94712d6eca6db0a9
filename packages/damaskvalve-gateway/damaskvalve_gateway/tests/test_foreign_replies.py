"""Replies and bytes that belong to another request than the one on the connection."""

import asyncio
import unittest

from damaskvalve_core.http import BackendPool
from damaskvalve_gateway._backend_attempt import (
    ANSWERED,
    BROKEN,
    NOT_RUN,
    BackendAttempt,
)
from damaskvalve_gateway.tests.attempt_fixtures import (
    DIALECT,
    OK,
    UNSAFE,
    ScriptedServer,
    backend_at,
    make_exchange,
)

WHOLE = OK + b"content-length: 3\r\n\r\none"
REFUSAL_FIELDS = b"not-run: 1\r\ncontent-length: 0\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Busy\r\nrequest-id: r-1\r\n" + REFUSAL_FIELDS
REFUSAL_WITHOUT_ID = b"HTTP/1.1 503 Busy\r\n" + REFUSAL_FIELDS


class RepeatedRefusalTests(unittest.IsolatedAsyncioTestCase):
    async def play(self, replies, exchanges):
        """Return the outcomes of requests, one after the other, at one server."""
        remaining = list(replies)

        async def reply(writer):
            writer.write(remaining.pop(0))
            await writer.drain()

        server, pool, outcomes = ScriptedServer(reply), BackendPool(), []
        async with server.listening() as address:
            backend = backend_at(address)
            for exchange in exchanges:
                attempt = BackendAttempt(
                    exchange,
                    backend,
                    0,
                    pool,
                    DIALECT,
                    lambda: None,
                    lambda *_: None,
                    lambda now_s: True,
                )
                outcomes.append(await attempt.run())
                await asyncio.sleep(0.01)
        pool.close_all_idle()
        return outcomes, pool.opened_count

    async def test_a_refusal_without_an_id_proves_nothing_on_a_used_connection(self):
        """A faulty server writes an earlier refusal once more; the request may run."""
        exchanges = [make_exchange(kind=UNSAFE), make_exchange(kind=UNSAFE)]
        outcomes, opened = await self.play([WHOLE, REFUSAL_WITHOUT_ID], exchanges)
        self.assertEqual((outcomes, opened), ([ANSWERED, BROKEN], 1))

    async def test_a_request_that_comes_again_to_a_server_gets_a_new_connection(self):
        """On the old one, its own earlier refusal might be written once more."""
        exchange = make_exchange(kind=UNSAFE)
        outcomes, opened = await self.play([REFUSAL, REFUSAL], [exchange, exchange])
        self.assertEqual((outcomes, opened), ([NOT_RUN, NOT_RUN], 2))

    async def test_a_refusal_of_the_request_itself_counts_on_a_used_connection(self):
        """Connections are reused, and most refusals name their request."""
        exchanges = [make_exchange(kind=UNSAFE), make_exchange(kind=UNSAFE)]
        outcomes, opened = await self.play([WHOLE, REFUSAL], exchanges)
        self.assertEqual((outcomes, opened), ([ANSWERED, NOT_RUN], 1))
