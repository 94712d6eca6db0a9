"""Replies and bytes that belong to another request than the one on the connection."""

import asyncio
import unittest

from damaskvalve_core import boot_clock_s
from damaskvalve_core.http import BackendPool
from damaskvalve_gateway._backend_attempt import (
    ANSWERED,
    BROKEN,
    NOT_RUN,
    BackendAttempt,
)
from damaskvalve_gateway.tests.attempt_fixtures import (
    CHUNKED,
    DIALECT,
    LAST_CHUNK,
    OK,
    UNSAFE,
    ScriptedServer,
    backend_at,
    chunk,
    event,
    make_exchange,
    run_attempt,
    write_once,
)

WHOLE = OK + b"content-length: 3\r\n\r\none"
REFUSAL_FIELDS = b"not-run: 1\r\ncontent-length: 0\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Busy\r\nrequest-id: r-1\r\n" + REFUSAL_FIELDS
REFUSAL_WITHOUT_ID = b"HTTP/1.1 503 Busy\r\n" + REFUSAL_FIELDS
STREAM_TYPE = b"content-type: text/event-stream\r\n"
UNFRAMED = OK + STREAM_TYPE + b"connection: close\r\n\r\n"


def plain_event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


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

    async def test_a_refusal_without_an_id_is_followed_by_the_backoff_it_asks_for(self):
        """The server wants no request for a while, whichever one it refuses."""
        refusal = REFUSAL_WITHOUT_ID.replace(b"not-run", b"keep-off: 9\r\nnot-run")
        exchanges = [make_exchange(kind=UNSAFE) for _ in range(3)]
        outcomes, opened = await self.play([WHOLE, refusal, WHOLE], exchanges)
        self.assertEqual(outcomes, [ANSWERED, BROKEN, NOT_RUN])

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


class ForeignStreamTests(unittest.IsolatedAsyncioTestCase):
    async def play(self, reply, *, last_event_id=None, begun=False):
        """Return the outcome of a stream, and what its caller got."""

        async def script(writer):
            await write_once(reply)(writer)
            writer.close()

        exchange = make_exchange(resumable=True)
        exchange.last_event_id = last_event_id
        if begun:
            exchange.first_event_s = boot_clock_s()
            exchange.responder.started = True
        outcome, _, _ = await run_attempt(
            ScriptedServer(script), exchange, within_s=2.0
        )
        return outcome, exchange.responder

    async def test_text_in_place_of_the_rest_of_a_stream_is_not_relayed(self):
        """The server that was to go on answers 200 with an error page."""
        for body in (b"no such stream\n\n", b'{"error": "gone"}\n\n', b"<html>\n\n"):
            reply = CHUNKED + chunk(body) + LAST_CHUNK
            outcome, responder = await self.play(reply, last_event_id=4, begun=True)
            self.assertEqual((outcome, responder.body), (BROKEN, b""), body)
            self.assertFalse(responder.finished)

    async def test_a_refusal_within_a_stream_is_not_relayed(self):
        """Without a length, its head and text follow the events."""
        refusal = b"HTTP/1.1 503 Busy\nretry-after: 1\n\ntoo busy\n\n"
        reply = UNFRAMED + plain_event(1) + refusal
        outcome, responder = await self.play(reply)
        self.assertEqual(outcome, BROKEN)
        self.assertFalse(responder.finished)
        self.assertNotIn(b"HTTP", responder.body)

    async def test_a_body_of_another_type_does_not_end_a_stream(self):
        """A stream that has begun goes on with events only."""
        head = OK + b"content-type: application/json\r\n"
        for framing in (b"content-length: 0\r\n\r\n", b"content-length: 2\r\n\r\n\n\n"):
            reply = head + framing
            outcome, responder = await self.play(reply, last_event_id=4, begun=True)
            self.assertEqual((outcome, responder.finished), (BROKEN, False), framing)

    async def test_a_resumed_stream_does_not_repeat_what_its_caller_has(self):
        """A server ignored the id of the last event; another host had the first run."""
        reply = CHUNKED + event(1) + event(2) + LAST_CHUNK
        outcome, responder = await self.play(reply, last_event_id=4)
        self.assertEqual((outcome, responder.body), (BROKEN, b""))

    async def test_an_empty_stream_that_ends_with_its_connection_is_not_complete(self):
        """A server that ends before its first event leaves the same behind."""
        outcome, responder = await self.play(UNFRAMED)
        self.assertEqual((outcome, responder.finished), (BROKEN, False))

    async def test_a_stream_without_length_is_complete_at_the_end_of_an_event(self):
        """The end of the connection is the end of the reply."""
        reply = UNFRAMED + b": note\n\n" + plain_event(1) + plain_event(2)
        outcome, responder = await self.play(reply)
        self.assertEqual((outcome, responder.finished), (ANSWERED, True))

    async def test_the_fields_of_events_are_relayed(self):
        """All fields of server-sent events, and those of the dialect."""
        block = (
            b"version-of-weights: 4\nevent: token\nid: 1\nretry: 5\ndata\ndata: x\n\n"
        )
        reply = CHUNKED + chunk(block) + LAST_CHUNK
        outcome, responder = await self.play(reply)
        self.assertEqual((outcome, responder.body), (ANSWERED, block))
