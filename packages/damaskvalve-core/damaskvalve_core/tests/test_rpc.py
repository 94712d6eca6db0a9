"""RPC over asyncio: replies and requests that no release of the system sends."""

import asyncio
import contextlib
import unittest
from unittest import mock

from hypothesis import given, settings, strategies as st

from damaskvalve_core import ChannelError, NotSentError, tasks
from damaskvalve_core.messages import Ack, SendGrantAsk, SendGrantsRequest
from damaskvalve_core.rpc import RpcClient, serving_rpc
from damaskvalve_core.tasks import run_restarting

ADDRESS = "127.0.61.50:21693"


class RpcTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = RpcClient(None)
        self.addCleanup(self.client.close_idle)

    async def answer(self, request, call):
        """Answer a request with itself, or with what cannot be encoded."""
        if request.number == 1:
            call.send(Ack(2**80))
        call.send(request)

    async def test_an_invalid_reply_is_a_failure_of_the_channel(self):
        """Another process answers; callers handle a lost connection, too."""
        for reply in (b"\0\0\0\2\xee\xee", b"\xff\xff\xff\xff", b"\0\0\0\0", b"HTTP/"):

            async def serve(reader, writer, reply=reply):
                await reader.read(5)
                writer.write(reply)
                writer.close()

            server = await asyncio.start_server(serve, *ADDRESS.split(":"))
            async with server:
                with self.subTest(reply), self.assertRaises(ChannelError):
                    await self.client.call(ADDRESS, Ack(1), 2.0)

    async def test_an_address_that_cannot_be_connected_to_was_not_sent_to(self):
        """The port does not exist, or the name is none."""
        for address in (
            *("127.0.0.1:99999", "127.0.0.1:²", "127.0.0.1:-1", "127.0.0.1", ""),
            *("a" * 70 + ":80", "\0:80", "\ud800:80", "127.0.0.1:" + "9" * 5_000),
        ):
            with self.subTest(address[:20]), self.assertRaises(NotSentError):
                await self.client.call(address, Ack(1), 2.0)

    async def test_a_reply_that_cannot_be_encoded_is_an_error_at_the_caller_only(self):
        """The connection answers the next request."""
        async with serving_rpc(ADDRESS, None, self.answer):
            with self.assertRaisesRegex(ChannelError, "cannot encode"):
                await self.client.call(ADDRESS, Ack(1), 2.0)
            self.assertEqual(await self.client.call(ADDRESS, Ack(2), 2.0), Ack(2))


class FrameTests(unittest.TestCase):
    @settings(max_examples=30)
    @given(frames=st.lists(st.binary(max_size=80), min_size=1, max_size=20))
    def test_a_server_answers_after_any_frames(self, frames):
        """Each frame is answered, or closes its own connection."""

        async def answer(request, call):
            call.send(request)

        async def exchange():
            host, port = ADDRESS.split(":")
            async with serving_rpc(ADDRESS, None, answer):
                for frame in frames:
                    _, writer = await asyncio.open_connection(host, port)
                    with contextlib.suppress(OSError):
                        writer.write(len(frame).to_bytes(4, "big") + frame)
                        await writer.drain()
                    writer.close()
                client = RpcClient(None)
                request = SendGrantsRequest("h", "l", [SendGrantAsk("i")], [], "p", 1)
                reply = await client.call(ADDRESS, request, 2.0)
                client.close_idle()
                return reply == request

        self.assertTrue(asyncio.run(exchange()))


class TaskTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_background_task_that_fails_is_started_again(self):
        """The failure is logged with the name of the task, whatever its length."""
        runs = []
        lines = []

        class Log:
            def line(self, kind, **fields):
                lines.append((kind, fields))

        async def follow():
            runs.append(1)
            if len(runs) < 3:
                raise OverflowError("x" * 10_000)

        with mock.patch.object(tasks, "RESTART_S", 0.0):
            await run_restarting(follow, Log())
        self.assertEqual(len(runs), 3)
        self.assertEqual([kind for kind, _ in lines], ["task_failed"] * 2)
        self.assertIn("follow", lines[0][1]["task"])
        self.assertLess(len(str(lines[0])), 1_000)


if __name__ == "__main__":
    unittest.main()
