"""Frames between processes that stop at any byte, with an orderly close or a reset."""

import asyncio
import contextlib
import socket
import struct
import threading
import unittest

from damaskvalve_core import (
    ChannelError,
    dialing,
    encode_message,
    listening,
    split_address,
)
from damaskvalve_core.messages import Ack, Header, WorkRequest
from damaskvalve_core.rpc import RpcClient, serving_rpc

REPLY = WorkRequest(request_id="r-1", headers=[Header("a", "b")], body=b"body")
RPC_ADDRESS = "127.0.62.2:18232"


def framed(message):
    payload = encode_message(message)
    return len(payload).to_bytes(4, "big") + payload


def cuts(data):
    for length in range(len(data)):
        for resets in (False, True):
            yield data[:length], resets


def close(connection, resets):
    if resets:
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


class CuttingPeer:
    """Answers each request with ``data`` and closes the connection."""

    def __init__(self):
        self.data, self.resets = b"", False
        self._listener = socket.create_server(("127.0.62.3", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.recv(65_536)
            connection.sendall(self.data)
            close(connection, self.resets)

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()


class CutReplyTests(unittest.TestCase):
    def setUp(self):
        self.peer = CuttingPeer()
        self.addCleanup(self.peer.close)

    def test_a_cut_reply_fails_the_call_of_a_thread(self):
        """Only the whole frame is a reply."""
        with dialing(None) as dialer:
            for self.peer.data, self.peer.resets in cuts(framed(REPLY)):
                with self.assertRaises(ChannelError):
                    dialer.call(self.peer.address, Ack(1), 2.0)
        self.peer.data, self.peer.resets = framed(REPLY), False
        with dialing(None) as dialer:
            self.assertEqual(dialer.call(self.peer.address, Ack(1), 2.0), REPLY)

    def test_a_cut_reply_fails_the_call_of_a_task(self):
        """Only the whole frame is a reply."""

        async def call():
            client = RpcClient(None)
            try:
                return await client.call(self.peer.address, Ack(1), 2.0)
            finally:
                client.close_idle()

        for self.peer.data, self.peer.resets in cuts(framed(REPLY)):
            with self.assertRaises(ChannelError):
                asyncio.run(call())
        self.peer.data, self.peer.resets = framed(REPLY), False
        self.assertEqual(asyncio.run(call()), REPLY)


class CutRequestTests(unittest.TestCase):
    def send_cut_requests(self, address):
        """Send a request up to each byte, then a whole one; read its reply."""
        request = framed(REPLY)
        for data, resets in cuts(request):
            connection = socket.create_connection(split_address(address), 2.0)
            connection.sendall(data)
            close(connection, resets)
        with socket.create_connection(split_address(address), 2.0) as connection:
            connection.settimeout(2.0)
            connection.sendall(request)
            self.assertTrue(connection.recv(65_536))

    def test_a_cut_request_is_not_handled_by_a_thread(self):
        """Only the whole one at the end is."""
        handled = []

        def handle(request, connection):
            handled.append(request)
            yield Ack(1)

        with listening("127.0.62.4:0", None, handle) as address:
            self.send_cut_requests(address)
        self.assertEqual(handled, [REPLY])

    def test_a_cut_request_is_not_handled_by_a_task(self):
        """Only the whole one at the end is."""
        handled = []

        async def handle(request, call):
            handled.append(request)
            call.send(Ack(1))

        async def serve():
            async with contextlib.AsyncExitStack() as stack:
                await stack.enter_async_context(serving_rpc(RPC_ADDRESS, None, handle))
                await asyncio.to_thread(self.send_cut_requests, RPC_ADDRESS)

        asyncio.run(serve())
        self.assertEqual(handled, [REPLY])


if __name__ == "__main__":
    unittest.main()
