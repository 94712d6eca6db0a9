"""Replies of an engine to its agent that stop at any byte."""

import asyncio
import contextlib
import socket
import struct
import unittest

from damaskvalve_agent._permits._engine import EngineCall, EngineClient
from damaskvalve_core import ChannelError
from damaskvalve_core.http import BackendPool

HEAD = b"HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\n"
LENGTH = HEAD + b"Content-Length: 12\r\n\r\ntwelve bytes"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n00c\r\ntwelve bytes\r\n0\r\n\r\n"
UNFRAMED_HEAD = HEAD + b"Connection: close\r\n\r\n"
CALL = EngineCall("GET", "/report", [(b"host", b"engine")], b"")


class CutEngineCallTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.reply, self.resets = b"", False
        server = await asyncio.start_server(self.serve, "127.0.62.5", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.62.5:{port}"

    async def call(self):
        """Call on a new connection."""
        pool = BackendPool()
        try:
            return await EngineClient(self.address, pool).call(CALL, 2.0)
        finally:
            pool.close_all_idle()

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.reply)
            if self.resets:
                linger = struct.pack("ii", 1, 0)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()

    async def test_a_cut_reply_fails_the_call(self):
        """An order gets no outcome from it, and a report is not replaced."""
        for whole in (LENGTH, CHUNKED, UNFRAMED_HEAD):
            for length in range(len(whole)):
                for self.resets in (False, True):
                    self.reply = whole[:length]
                    with self.assertRaises(ChannelError):
                        await self.call()
        self.resets = False
        for self.reply in (LENGTH, CHUNKED):
            result = await self.call()
            self.assertEqual(result, (202, b"twelve bytes"))


if __name__ == "__main__":
    unittest.main()
