"""Replies that never end, trickle, stall or break off, over real connections."""

import asyncio
import socket
import struct
import tracemalloc
import unittest
from unittest import mock

from damaskvalve_core.http import BackendPool, _client
from damaskvalve_gateway import _backend_attempt
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
    flood,
    make_exchange,
    once,
    send_to,
)

# Callers of these routes give a stream up after two seconds of silence.
PATIENCE_S = 2.0
HOSTILE = 40
HELD_BYTES = 16 * 1024 * 1024


def after(head, script):
    """Return a script that writes a head first."""

    async def both(writer):
        writer.write(head)
        await script(writer)

    return both


class EndlessReplyTests(unittest.IsolatedAsyncioTestCase):
    async def broken_by(self, script, within_s=PATIENCE_S, **terms):
        server = ScriptedServer(script)
        exchange = make_exchange(**terms)
        outcome, reason, took_s = await send_to(server, exchange, within_s=within_s)
        self.assertEqual(outcome, BROKEN, reason)
        self.assertFalse(exchange.responder.finished)
        await asyncio.wait_for(server.closed.wait(), 1.0)
        return reason, took_s

    async def test_an_endless_head_ends_the_send(self):
        """Whether it is one header without an end or ever more headers."""
        for data in (b"x" * 4_096, b"x-more: 1\r\n" * 400):
            await self.broken_by(after(b"HTTP/1.1 200 OK\r\n", flood(data)))

    async def test_bytes_that_are_no_status_line_end_the_send(self):
        """With or without line ends."""
        await self.broken_by(flood(b"\x00\xff" * 2_048))
        await self.broken_by(flood(b"garbage\r\n" * 400))

    async def test_informational_replies_without_end_end_the_send(self):
        """A caller of a plain route has its answer long before its deadline."""
        await self.broken_by(flood(b"HTTP/1.1 102 Wait\r\n\r\n"), kind=UNSAFE)

    async def test_an_endless_body_ends_the_send(self):
        """A plain answer is held whole, so it is bounded."""
        reason, _ = await self.broken_by(
            after(CHUNKED, flood(chunk(b"y" * 65_536))), within_s=10.0, kind=UNSAFE
        )
        self.assertIn("too large", reason)

    async def test_endless_chunk_extensions_and_trailers_end_the_send(self):
        """Neither is part of a body, and both grow without one."""
        extension = after(CHUNKED + b"5;", flood(b"e" * 4_096))
        await self.broken_by(extension, kind=UNSAFE)
        trailer = after(CHUNKED + b"0\r\n", flood(b"t: 1\r\n" * 400))
        await self.broken_by(trailer, kind=UNSAFE)

    async def test_an_endless_event_ends_the_stream(self):
        """Also on a route whose streams may not be resumed."""
        for resumable in (False, True):
            script = after(CHUNKED + event(1), flood(chunk(b"z" * 4_096)))
            await self.broken_by(script, within_s=5.0, resumable=resumable)

    async def test_a_refusal_with_an_endless_body_is_a_refusal(self):
        """Its head says all; the caller does not wait for the rest."""
        head = OK.replace(b"200 OK", b"503 Busy") + b"not-run: 1\r\n"
        for rest in (flood(b"b" * 65_536), flood(b"b", 0.02)):
            server = ScriptedServer(
                after(head + b"content-length: 99999999\r\n\r\n", rest)
            )
            exchange = make_exchange(kind=UNSAFE)
            outcome, _, took_s = await send_to(server, exchange, within_s=1.0)
            self.assertEqual((outcome, exchange.runs), (NOT_RUN, 0))
            self.assertLess(took_s, 0.5)
            await asyncio.wait_for(server.closed.wait(), 1.0)

    async def test_many_endless_bodies_at_once_stay_within_the_memory(self):
        """Sound answers of usual size go through beside them."""
        pool = BackendPool()
        pool.reply_memory.limit = HELD_BYTES
        endless = after(CHUNKED, flood(chunk(b"y" * 65_536), 0.01))

        async def later(writer):
            # Connections are made first: this one process plays all sides.
            await asyncio.sleep(0.5)
            await endless(writer)

        server = ScriptedServer(later)
        tracemalloc.start()
        # All sides share this one process, so connecting takes longer than usual.
        patient = mock.patch.object(_client, "CONNECT_TIMEOUT_S", 10.0)
        self.enterContext(patient)
        try:
            hostile = [
                send_to(server, make_exchange(kind=UNSAFE), within_s=30.0, pool=pool)
                for _ in range(HOSTILE)
            ]
            whole = OK + b"content-length: 800\r\n\r\n" + b"w" * 800
            sound = [
                send_to(
                    ScriptedServer(once(whole)),
                    make_exchange(kind=UNSAFE),
                    within_s=30.0,
                    pool=pool,
                )
                for _ in range(20)
            ]
            results = await asyncio.gather(*hostile, *sound)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        reasons = {item[1] for item in results[:HOSTILE]}
        self.assertEqual({item[0] for item in results[:HOSTILE]}, {BROKEN}, reasons)
        self.assertEqual({item[0] for item in results[HOSTILE:]}, {ANSWERED})
        self.assertEqual(pool.reply_memory.held, 0)
        # Beside what replies hold: what each connection has read ahead.
        self.assertLess(peak_bytes, 4 * HELD_BYTES)


class StallTests(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_now_and_then_do_not_keep_a_stalled_stream(self):
        """Neither parts of an event nor comments are events."""
        for trickle in (chunk(b"x"), chunk(b": alive\n\n")):
            for resumable, limit_s in ((True, 2.5), (False, 4.8)):
                script = after(CHUNKED + event(1), flood(trickle, 0.1))
                exchange = make_exchange(resumable=resumable)
                outcome, reason, took_s = await send_to(
                    ScriptedServer(script), exchange, within_s=limit_s
                )
                self.assertEqual(outcome, BROKEN, reason)
                self.assertGreater(took_s, PATIENCE_S)
                self.assertEqual(exchange.last_event_id, 1)
                self.assertFalse(exchange.responder.finished)

    async def slow_stream(self, every_s, **terms):
        async def script(writer):
            writer.write(CHUNKED)
            for number in range(1, 4):
                writer.write(event(number))
                await asyncio.sleep(every_s)
            writer.write(LAST_CHUNK)

        exchange = make_exchange(**terms)
        outcome, reason, _ = await send_to(
            ScriptedServer(script), exchange, within_s=20.0
        )
        self.assertEqual(outcome, ANSWERED, reason)
        self.assertTrue(exchange.responder.finished)

    async def test_a_slow_but_sound_stream_is_not_cut(self):
        """Pauses that its callers wait out, on both kinds of streaming route."""
        await self.slow_stream(1.9, resumable=True)
        await self.slow_stream(3.0, resumable=False)

    async def test_a_route_with_long_pauses_is_not_cut_by_the_limit_of_a_quick_one(
        self,
    ):
        """Its own terms decide."""
        await self.slow_stream(3.0, resumable=True, pause_s=1.0)

    async def test_an_own_pause_is_not_taken_for_a_stall(self):
        """Events that came while this process stood still are found afterwards."""
        jump = 0.0
        real = _backend_attempt.boot_clock_s

        async def script(writer):
            nonlocal jump
            writer.write(CHUNKED + event(1))
            await asyncio.sleep(0.3)
            # As after a suspension of the host: the boot clock is far ahead.
            jump = 12.0
            writer.write(event(2) + LAST_CHUNK)

        exchange = make_exchange(resumable=True)
        with mock.patch.object(_backend_attempt, "boot_clock_s", lambda: real() + jump):
            outcome, reason, _ = await send_to(
                ScriptedServer(script), exchange, within_s=5.0
            )
        self.assertEqual((outcome, exchange.last_event_id), (ANSWERED, 2), reason)


class BrokenOffTests(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_that_breaks_off_never_looks_complete(self):
        """With a length, in chunks or without either; by an end or a reset."""
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
                    await self.breaks_off(data, reset)

    async def test_an_answer_without_a_length_is_broken_by_a_reset(self):
        """Only an orderly end of the connection ends it."""
        await self.breaks_off(OK + b"\r\nall of it?", reset=True)

    async def breaks_off(self, data, reset):
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
        outcome, reason, _ = await send_to(
            ScriptedServer(script), exchange, within_s=2.0
        )
        self.assertEqual(outcome, BROKEN, reason)
        self.assertFalse(exchange.responder.finished)


class SecondCopyTests(unittest.IsolatedAsyncioTestCase):
    async def answered_twice(self, copy, pause_s):
        """Return what two requests get on one connection, both the same answer."""

        async def script(writer):
            writer.write(copy)
            await writer.drain()
            if server.requests == 1:
                asyncio.get_running_loop().call_later(pause_s, writer.write, copy)

        server = ScriptedServer(script)
        pool = BackendPool()
        outcomes = []
        async with server.listening() as address:
            backend = backend_at(address)
            for number in (1, 2):
                exchange = make_exchange(kind=UNSAFE)
                exchange.request.request_id = f"r-{number}"
                send = BackendAttempt(
                    exchange, backend, 0, pool, DIALECT, lambda: None, lambda _: None
                )
                outcomes.append((await send.run(), exchange.responder.finished))
                await asyncio.sleep(0.05)
        return outcomes

    async def test_a_second_copy_of_an_answer_reaches_nobody(self):
        """While the connection is idle, or when it is in use again."""
        copy = OK + b"content-length: 3\r\n\r\none"
        for pause_s in (0.0, 0.02, 0.06, 0.1):
            first, second = await self.answered_twice(copy, pause_s)
            self.assertEqual(first, (ANSWERED, True))
            # The stand-in always answers as to the first request.
            self.assertEqual(second, (BROKEN, False))

    async def test_a_second_copy_of_a_refusal_does_not_refuse_the_next_request(self):
        """The next request may have run, so nobody may take it for not run."""
        refusal = OK.replace(b"200 OK", b"503 Busy") + b"not-run: 1\r\n"
        refusal += b"content-length: 0\r\n\r\n"
        (first, _), (second, _) = await self.answered_twice(refusal, 0.06)
        self.assertEqual((first, second), (NOT_RUN, BROKEN))

    async def test_a_refusal_that_names_no_request_counts(self):
        """Whoever is reached at an address that is used again may know no ids."""
        refusal = b"HTTP/1.1 421 No\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
        server = ScriptedServer(once(refusal))
        outcome, _, _ = await send_to(server, make_exchange(kind=UNSAFE), within_s=2.0)
        self.assertEqual(outcome, NOT_RUN)
