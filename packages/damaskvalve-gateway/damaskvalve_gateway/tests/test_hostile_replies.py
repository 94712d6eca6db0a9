"""Endless, trickling, stalled, cut and duplicate replies over real connections."""

import asyncio
import socket
import struct
import tracemalloc
import unittest
from unittest import mock

from damaskvalve_core.http import BackendPool, ReplyHead, _client
from damaskvalve_gateway import _backend_attempt
from damaskvalve_gateway._backend_attempt import (
    ANSWERED,
    BROKEN,
    NOT_RUN,
    BackendAttempt,
)
from damaskvalve_gateway._model import STREAMING
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
    write_endlessly,
    write_once,
)

# Callers of these routes cancel a stream after two seconds without an event.
CALLER_TIMEOUT_S = 2.0
HOSTILE_REPLIES = 40
BUFFER_BUDGET_BYTES = 16 * 1024 * 1024


def write_head_then(head, script):
    """Return a script that writes a head first."""

    async def head_then_script(writer):
        writer.write(head)
        await script(writer)

    return head_then_script


class EndlessReplyTests(unittest.IsolatedAsyncioTestCase):
    async def assert_attempt_breaks(
        self, script, within_s=CALLER_TIMEOUT_S, **route_settings
    ):
        server = ScriptedServer(script)
        exchange = make_exchange(**route_settings)
        outcome, reason, took_s = await run_attempt(server, exchange, within_s=within_s)
        self.assertEqual(outcome, BROKEN, reason)
        self.assertFalse(exchange.responder.finished)
        await asyncio.wait_for(server.closed.wait(), 1.0)
        return reason, took_s

    async def test_an_endless_head_ends_the_attempt(self):
        """The head has one endless header, or more and more headers."""
        for data in (b"x" * 4_096, b"x-more: 1\r\n" * 400):
            await self.assert_attempt_breaks(
                write_head_then(b"HTTP/1.1 200 OK\r\n", write_endlessly(data))
            )

    async def test_bytes_without_a_status_line_end_the_attempt(self):
        """The bytes come with or without line breaks."""
        await self.assert_attempt_breaks(write_endlessly(b"\x00\xff" * 2_048))
        await self.assert_attempt_breaks(write_endlessly(b"garbage\r\n" * 400))

    async def test_endless_informational_replies_end_the_attempt(self):
        """The caller of a plain route is answered long before its deadline."""
        await self.assert_attempt_breaks(
            write_endlessly(b"HTTP/1.1 102 Wait\r\n\r\n"), kind=UNSAFE
        )

    async def test_an_endless_body_ends_the_attempt(self):
        """Replies on plain routes are buffered whole, so their size is limited."""
        reason, _ = await self.assert_attempt_breaks(
            write_head_then(CHUNKED, write_endlessly(chunk(b"y" * 65_536))),
            within_s=10.0,
            kind=UNSAFE,
        )
        self.assertIn("too large", reason)

    async def test_endless_chunk_extensions_and_trailers_end_the_attempt(self):
        """Neither counts towards the size of the body."""
        extension = write_head_then(CHUNKED + b"5;", write_endlessly(b"e" * 4_096))
        await self.assert_attempt_breaks(extension, kind=UNSAFE)
        trailer = write_head_then(
            CHUNKED + b"0\r\n", write_endlessly(b"t: 1\r\n" * 400)
        )
        await self.assert_attempt_breaks(trailer, kind=UNSAFE)

    async def test_an_endless_event_ends_the_stream(self):
        """The stream ends on routes with and without resumable streams."""
        for resumable in (False, True):
            script = write_head_then(
                CHUNKED + event(1), write_endlessly(chunk(b"z" * 4_096))
            )
            await self.assert_attempt_breaks(script, within_s=5.0, resumable=resumable)

    async def test_a_refusal_with_an_endless_body_counts_as_not_run(self):
        """Its head suffices; the caller does not wait for the body."""
        head = OK.replace(b"200 OK", b"503 Busy") + b"not-run: 1\r\n"
        for rest in (write_endlessly(b"b" * 65_536), write_endlessly(b"b", 0.02)):
            server = ScriptedServer(
                write_head_then(head + b"content-length: 99999999\r\n\r\n", rest)
            )
            exchange = make_exchange(kind=UNSAFE)
            outcome, _, took_s = await run_attempt(server, exchange, within_s=1.0)
            self.assertEqual((outcome, exchange.runs), (NOT_RUN, 0))
            self.assertLess(took_s, 0.5)
            await asyncio.wait_for(server.closed.wait(), 1.0)

    async def test_an_endless_event_counts_towards_the_buffer_budget(self):
        """Streams share the limit of all replies, and release it at their end."""
        for data in (b"z" * 4_096, b": " + b"c" * 4_000 + b"\n\n"):
            pool = BackendPool()
            pool.reply_budget.limit_bytes = 200_000
            server = ScriptedServer(
                write_head_then(CHUNKED, write_endlessly(chunk(data)))
            )
            outcome, reason, _ = await run_attempt(
                server, make_exchange(), within_s=5.0, pool=pool
            )
            self.assertEqual((outcome, pool.reply_budget.used_bytes), (BROKEN, 0))
            self.assertIn("buffered messages exceed", reason)

    async def test_a_head_of_many_short_fields_counts_with_what_it_weighs(self):
        """It takes megabytes although it has only some kilobytes."""
        head = OK + b"ab:\r\n" * 8_000 + b"content-length: 9\r\n\r\n"
        for kind in (UNSAFE, STREAMING):
            pool, exchange = BackendPool(), make_exchange(kind=kind)
            pool.reply_budget.limit_bytes = 1_000_000
            server = ScriptedServer(write_once(head + b"wwwwwwwww"))
            outcome, reason, _ = await run_attempt(
                server, exchange, within_s=5.0, pool=pool
            )
            self.assertEqual((outcome, pool.reply_budget.used_bytes), (BROKEN, 0))
            self.assertIn("buffered messages exceed", reason)

    async def test_a_reply_counts_until_a_slow_caller_has_received_it(self):
        """Many replies that wait for their callers would exceed the limit."""
        body = b"b" * 300_000
        head = OK + b"content-length: %d\r\n\r\n" % len(body)
        pool, exchange = BackendPool(), make_exchange(kind=UNSAFE)
        used_bytes = []

        async def note_used(data):
            used_bytes.append(pool.reply_budget.used_bytes)

        exchange.responder.write = note_used
        server = ScriptedServer(write_once(head + body))
        outcome, _, _ = await run_attempt(server, exchange, within_s=5.0, pool=pool)
        fields = [(b"request-id", b"r-1"), (b"content-length", b"300000")]
        expected_bytes = ReplyHead(200, fields).memory_bytes() + len(body)
        self.assertEqual((outcome, used_bytes), (ANSWERED, [expected_bytes]))
        self.assertEqual(pool.reply_budget.used_bytes, 0)

    async def test_many_endless_bodies_at_once_stay_within_the_buffer_budget(self):
        """Valid replies of usual size are relayed meanwhile."""
        pool = BackendPool()
        pool.reply_budget.limit_bytes = BUFFER_BUDGET_BYTES
        endless = write_head_then(CHUNKED, write_endlessly(chunk(b"y" * 65_536), 0.01))

        async def start_late(writer):
            # All connections are established first: one process runs all sides.
            await asyncio.sleep(0.5)
            await endless(writer)

        server = ScriptedServer(start_late)
        tracemalloc.start()
        # Connecting takes longer than usual for the same reason.
        longer_connect_timeout = mock.patch.object(_client, "CONNECT_TIMEOUT_S", 10.0)
        self.enterContext(longer_connect_timeout)
        try:
            hostile = [
                run_attempt(
                    server, make_exchange(kind=UNSAFE), within_s=30.0, pool=pool
                )
                for _ in range(HOSTILE_REPLIES)
            ]
            whole = OK + b"content-length: 800\r\n\r\n" + b"w" * 800
            valid = [
                run_attempt(
                    ScriptedServer(write_once(whole)),
                    make_exchange(kind=UNSAFE),
                    within_s=30.0,
                    pool=pool,
                )
                for _ in range(20)
            ]
            results = await asyncio.gather(*hostile, *valid)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        reasons = {item[1] for item in results[:HOSTILE_REPLIES]}
        self.assertEqual(
            {item[0] for item in results[:HOSTILE_REPLIES]}, {BROKEN}, reasons
        )
        self.assertEqual({item[0] for item in results[HOSTILE_REPLIES:]}, {ANSWERED})
        self.assertEqual(pool.reply_budget.used_bytes, 0)
        # Each connection also reads ahead, beyond what the replies reserve.
        self.assertLess(peak_bytes, 4 * BUFFER_BUDGET_BYTES)


class StallTests(unittest.IsolatedAsyncioTestCase):
    async def test_partial_events_and_comments_do_not_keep_a_stalled_stream(self):
        """Only complete events reset the stall timer."""
        for partial_data in (chunk(b"x"), chunk(b": alive\n\n")):
            for resumable, limit_s in ((True, 2.5), (False, 4.8)):
                script = write_head_then(
                    CHUNKED + event(1), write_endlessly(partial_data, 0.1)
                )
                exchange = make_exchange(resumable=resumable)
                outcome, reason, took_s = await run_attempt(
                    ScriptedServer(script), exchange, within_s=limit_s
                )
                self.assertEqual(outcome, BROKEN, reason)
                self.assertGreater(took_s, CALLER_TIMEOUT_S)
                self.assertEqual(exchange.last_event_id, 1)
                self.assertFalse(exchange.responder.finished)

    async def assert_slow_stream_is_relayed(self, every_s, **route_settings):
        async def script(writer):
            writer.write(CHUNKED)
            for number in range(1, 4):
                writer.write(event(number))
                await asyncio.sleep(every_s)
            writer.write(LAST_CHUNK)

        exchange = make_exchange(**route_settings)
        outcome, reason, _ = await run_attempt(
            ScriptedServer(script), exchange, within_s=20.0
        )
        self.assertEqual(outcome, ANSWERED, reason)
        self.assertTrue(exchange.responder.finished)

    async def test_a_slow_stream_within_its_pause_limit_is_not_cut(self):
        """Callers wait out these pauses, on both kinds of streaming route."""
        await self.assert_slow_stream_is_relayed(1.9, resumable=True)
        await self.assert_slow_stream_is_relayed(3.0, resumable=False)

    async def test_a_route_with_long_pauses_is_not_cut_by_the_default_limit(
        self,
    ):
        """The limit follows from the pause of the route."""
        await self.assert_slow_stream_is_relayed(3.0, resumable=True, pause_s=1.0)

    async def test_a_pause_of_this_process_is_not_taken_for_a_stall(self):
        """Events that arrived while the process was suspended are still relayed."""
        clock_offset_s = 0.0
        real_clock = _backend_attempt.boot_clock_s

        async def script(writer):
            nonlocal clock_offset_s
            writer.write(CHUNKED + event(1))
            await asyncio.sleep(0.3)
            # As after a suspension of the host: the boot clock jumps ahead.
            clock_offset_s = 12.0
            writer.write(event(2) + LAST_CHUNK)

        exchange = make_exchange(resumable=True)
        with mock.patch.object(
            _backend_attempt, "boot_clock_s", lambda: real_clock() + clock_offset_s
        ):
            outcome, reason, _ = await run_attempt(
                ScriptedServer(script), exchange, within_s=5.0
            )
        self.assertEqual((outcome, exchange.last_event_id), (ANSWERED, 2), reason)


class CutReplyTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_cut_reply_is_never_relayed_as_complete(self):
        """The cut is in a body of known length, in chunks or in the head.

        It is a close or a reset of the connection.
        """
        cases = {
            "length": OK + b"content-length: 9\r\n\r\n12345678",
            "length, no byte": OK + b"content-length: 9\r\n\r\n",
            "chunks": CHUNKED + chunk(b"part"),
            "chunks, half a chunk": CHUNKED + b"9\r\npart",
            "chunks, no last line": CHUNKED + chunk(b"part") + b"0\r\n",
            "head": OK[:-4],
        }
        for name, data in cases.items():
            for reset in (False, True):
                with self.subTest(case=name, reset=reset):
                    await self.assert_cut_reply_breaks(data, reset)

    async def test_a_reply_without_a_length_is_broken_by_a_reset(self):
        """Only an orderly close of the connection completes it."""
        await self.assert_cut_reply_breaks(OK + b"\r\nall of it?", reset=True)

    async def assert_cut_reply_breaks(self, data, reset):
        async def script(writer):
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0.02)
            if reset:
                linger = struct.pack("ii", 1, 0)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()
            raise OSError("broken off")

        exchange = make_exchange(kind=UNSAFE)
        outcome, reason, _ = await run_attempt(
            ScriptedServer(script), exchange, within_s=2.0
        )
        self.assertEqual(outcome, BROKEN, reason)
        self.assertFalse(exchange.responder.finished)


class DuplicateReplyTests(unittest.IsolatedAsyncioTestCase):
    async def replies_with_duplicate(self, reply, pause_s):
        """Return the outcomes of two requests when the first reply is sent twice."""

        async def script(writer):
            writer.write(reply)
            await writer.drain()
            if server.requests == 1:
                asyncio.get_running_loop().call_later(pause_s, writer.write, reply)

        server = ScriptedServer(script)
        pool = BackendPool()
        outcomes = []
        async with server.listening() as address:
            backend = backend_at(address)
            for number in (1, 2):
                exchange = make_exchange(kind=UNSAFE)
                exchange.request.request_id = f"r-{number}"
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
                outcomes.append((await attempt.run(), exchange.responder.finished))
                await asyncio.sleep(0.05)
        return outcomes

    async def test_a_duplicate_of_a_reply_is_relayed_to_no_caller(self):
        """It arrives while the connection is idle or already in use again."""
        reply = OK + b"content-length: 3\r\n\r\none"
        for pause_s in (0.0, 0.02, 0.06, 0.1):
            first, second = await self.replies_with_duplicate(reply, pause_s)
            self.assertEqual(first, (ANSWERED, True))
            # The server answers every request with the id of the first.
            self.assertEqual(second, (BROKEN, False))

    async def test_a_duplicate_of_a_refusal_does_not_refuse_the_next_request(self):
        """The next request may have run, so it must not be reported as not run."""
        refusal = OK.replace(b"200 OK", b"503 Busy") + b"not-run: 1\r\n"
        refusal += b"content-length: 0\r\n\r\n"
        (first, _), (second, _) = await self.replies_with_duplicate(refusal, 0.06)
        self.assertEqual((first, second), (NOT_RUN, BROKEN))

    async def test_a_refusal_without_a_request_id_counts_as_not_run(self):
        """Another server that reuses an address may not know request ids."""
        refusal = b"HTTP/1.1 421 No\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
        server = ScriptedServer(write_once(refusal))
        outcome, _, _ = await run_attempt(
            server, make_exchange(kind=UNSAFE), within_s=2.0
        )
        self.assertEqual(outcome, NOT_RUN)
