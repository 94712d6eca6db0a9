"""Callers' and backend servers' HTTP: strict reading, whole or visibly cut answers."""

import asyncio
import unittest

from damaskvalve_core import ChannelError
from damaskvalve_core.http import (
    BackendFailedError,
    BackendPool,
    ServerLimits,
    serving_http,
)

ADDRESS = "127.0.0.1:21690"
PORT = 21_690
HEAD = b"POST /p HTTP/1.1\r\nHost: h\r\n"


def refusal(error):
    return [(b"x-code", error.code.encode())], b""


class ServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.seen = []
        self.cancelled = asyncio.Event()
        self.limits = ServerLimits(1_000, 2_000, 0.5, 5.0)
        serving = serving_http(ADDRESS, self.handle, lambda: self.limits, refusal)
        self.server = await self.enterAsyncContext(serving)

    async def handle(self, incoming, responder):
        self.seen.append((incoming.target, incoming.body))
        if incoming.target == "/cut":
            await responder.start(200, [])
            await responder.write(b"part")
            responder.abort()
        elif incoming.target == "/slow":
            try:
                await asyncio.sleep(5)
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        else:
            await responder.send(200, [], incoming.body)

    async def test_many_large_bodies_at_once_stay_within_the_memory(self):
        """What does not fit is refused as not run; small requests go through."""
        self.limits = ServerLimits(1_000, 4_000_000, 5.0, 5.0)
        self.server.body_budget.limit_bytes = 2_000_000
        head = HEAD + b"Content-Length: 1000000\r\n\r\n"
        opened = []
        for _ in range(6):
            reader, writer = await asyncio.open_connection("127.0.0.1", PORT)
            writer.write(head + b"x" * 500_000)
            opened.append((reader, writer))
        answers = [
            await asyncio.wait_for(reader.read(), 2.0)
            for reader, _ in opened
            if await self.has_answer(reader)
        ]
        self.assertGreaterEqual(len(answers), 2)
        for answer in answers:
            self.assertIn(b" 503 ", answer)
            self.assertIn(b"bodies_too_large", answer)
        small = HEAD + b"Content-Length: 2\r\n\r\nok"
        self.assertIn(b" 200 ", await self.exchange(small))
        for _, writer in opened:
            writer.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.server.body_budget.used_bytes, 0)

    async def has_answer(self, reader):
        """Return whether anything was sent back within a moment."""
        for _ in range(10):
            if reader._buffer or reader.at_eof():
                return True
            await asyncio.sleep(0.01)
        return False

    async def exchange(self, data):
        """Send bytes, close the sending side later, return all that comes."""
        reader, writer = await asyncio.open_connection("127.0.0.1", PORT)
        writer.write(data)
        await writer.drain()
        chunks = []
        try:
            while True:
                chunk = await asyncio.wait_for(reader.read(65_536), 0.8)
                if not chunk:
                    break
                chunks.append(chunk)
        except TimeoutError:
            pass
        writer.close()
        return b"".join(chunks)

    async def test_what_two_readers_could_frame_differently_is_refused(self):
        """Nothing behind it is read as a request of its own."""
        hidden = b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
        cases = {
            "two lengths": b"Content-Length: 4\r\nContent-Length: 40\r\n\r\n",
            "same length twice": b"Content-Length: 4\r\nContent-Length: 4\r\n\r\n",
            "length beside chunks": b"Content-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "two codings": b"Transfer-Encoding: chunked\r\n"
            b"Transfer-Encoding: identity\r\n\r\n0\r\n\r\n",
            "other coding": b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "bare line feed": b"X: y\nContent-Length: 0\r\n\r\n",
            "bare end": b"X: y\n\n",
            "signed length": b"Content-Length: +4\r\n\r\n",
            "space before colon": b"Content-Length : 4\r\n\r\n",
            "folded header": b"X: y\r\n Content-Length: 4\r\n\r\n",
            "bad chunk": b"Transfer-Encoding: chunked\r\n\r\n4x\r\nabcd\r\n0\r\n\r\n",
        }
        for name, rest in cases.items():
            with self.subTest(name):
                self.seen.clear()
                answer = await self.exchange(HEAD + rest + hidden)
                self.assertTrue(answer.startswith(b"HTTP/1.1 400 "), answer[:80])
                self.assertEqual(self.seen, [])

    async def test_requests_behind_each_other_are_answered_in_turn(self):
        """Bodies with a length and in chunks, one byte at a time or at once."""
        data = HEAD + b"Content-Length: 3\r\n\r\nabc"
        data += HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n"
        answer = await self.exchange(data)
        self.assertEqual([body for _, body in self.seen], [b"abc", b"de"])
        self.assertEqual(answer.count(b"HTTP/1.1 200"), 2)

    async def test_bounds_are_kept(self):
        """Headers, body and the time for the headers."""
        long_head = HEAD + b"X: " + b"y" * 2_000 + b"\r\n\r\n"
        self.assertIn(b" 431 ", await self.exchange(long_head))
        long_body = HEAD + b"Content-Length: 3000\r\n\r\n" + b"y" * 3_000
        self.assertIn(b" 413 ", await self.exchange(long_body))
        self.assertIn(b" 408 ", await self.exchange(HEAD))

    async def test_a_cut_answer_looks_cut(self):
        """There is no last chunk, and the connection ends."""
        answer = await self.exchange(b"GET /cut HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b"part", answer)
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))

    async def test_a_request_that_is_being_read_keeps_the_server_busy(self):
        """A stop waits for it and answers it; idle connections are closed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", PORT)
        idle_reader, idle_writer = await asyncio.open_connection("127.0.0.1", PORT)
        writer.write(HEAD + b"Content-Length: 4\r\n\r\nbo")
        await writer.drain()
        await asyncio.sleep(0.1)
        self.assertEqual(self.server.active, 0)
        self.assertTrue(self.server.is_busy())
        self.server.close_idle()
        self.assertEqual(await asyncio.wait_for(idle_reader.read(), 0.5), b"")
        writer.write(b"dy")
        answer = await asyncio.wait_for(reader.readuntil(b"body"), 0.5)
        self.assertIn(b" 200 ", answer)
        for each in (writer, idle_writer):
            each.close()

    async def test_a_caller_that_leaves_cancels_what_is_done_for_it(self):
        """At once, not when its answer is ready."""
        _, writer = await asyncio.open_connection("127.0.0.1", PORT)
        writer.write(b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.wait_for(self.cancelled.wait(), 0.5)


class ClientTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.pool = BackendPool()
        self.scripts = []
        self.accepted = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", PORT)
        self.addAsyncCleanup(self.stop, server)

    async def stop(self, server):
        self.pool.close_all_idle()
        server.close()

    async def serve(self, reader, writer):
        self.accepted += 1
        for script in self.scripts.pop(0):
            if script is None:
                break
            await reader.readuntil(b"\r\n\r\n")
            writer.write(script)
            await writer.drain()
        writer.close()

    async def ask(self, now_s=0.0):
        connection = await self.pool.acquire("i", ADDRESS, now_s, 60.0)
        connection.send("GET", "/", [(b"host", b"h")], b"")
        try:
            head = await connection.read_head()
            parts = []
            while (piece := await connection.read_chunk()) is not None:
                parts.append(piece)
        except ChannelError:
            connection.close()
            raise
        connection.finish_reply(head, now_s)
        self.pool.release("i", connection, now_s)
        return head.status, b"".join(parts)

    async def test_a_connection_is_used_again(self):
        """For one request after the other."""
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        self.scripts = [[reply, reply]]
        self.assertEqual(await self.ask(), (200, b"ok"))
        self.assertEqual(await self.ask(), (200, b"ok"))
        self.assertEqual(self.accepted, 1)

    async def test_bytes_behind_an_answer_end_the_connection(self):
        """They belong to no request and are never taken for the next answer."""
        extra = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew"
        self.scripts = [[extra], [reply]]
        self.assertEqual(await self.ask(), (200, b"ok"))
        self.assertEqual(await self.ask(), (200, b"new"))
        self.assertEqual(self.accepted, 2)

    async def test_a_cut_answer_is_a_failure(self):
        """Short of its length, without its last chunk, or no answer at all."""
        cases = [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            b"\x00\x01 garbage\r\n\r\n",
            b"",
        ]
        for reply in cases:
            with self.subTest(reply), self.assertRaises(BackendFailedError):
                self.scripts = [[reply]]
                await self.ask()

    async def test_an_answer_without_a_length_ends_with_its_connection(self):
        """A clean end completes it, and the connection is not used again."""
        self.scripts = [[b"HTTP/1.1 200 OK\r\n\r\nall"]]
        self.assertEqual(await self.ask(), (200, b"all"))

    async def test_an_idle_connection_is_left_alone_before_its_time_out(self):
        """A second before the named time; later a new one is made."""
        reply = (
            b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok"
        )
        self.scripts = [[reply], [reply]]
        await self.ask(now_s=0.0)
        await self.ask(now_s=1.5)
        self.assertEqual(self.accepted, 2)
