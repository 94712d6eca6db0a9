"""Frames of other processes that are announced and do not end."""

import asyncio
import contextlib
import socket
import threading
import time
import tracemalloc
import unittest
from unittest import mock

from damaskvalve_core import (
    ChannelError,
    _channel,
    dialing,
    encode_message,
    listening,
    rpc,
    split_address,
)
from damaskvalve_core.messages import Ack, Header, WorkRequest
from damaskvalve_core.rpc import serving_rpc

MIB = 1024 * 1024
RPC_ADDRESS = "127.0.62.4:18232"
# What is sent of each frame, of which more is announced.
SENT_BYTES = 24 * MIB
ANNOUNCED = (SENT_BYTES + MIB).to_bytes(4, "big")


@contextlib.contextmanager
def listening_in_threads():
    def handle(request, connection):
        yield Ack(len(request.body) + len(request.headers))

    with listening("127.0.62.4:0", None, handle) as address:
        yield address


@contextlib.contextmanager
def listening_in_tasks():
    async def handle(request, call):
        call.send(Ack(len(request.body) + len(request.headers)))

    async def serve():
        async with serving_rpc(RPC_ADDRESS, None, handle):
            started.set()
            await stop.wait()

    def run():
        with asyncio.Runner() as runner:
            loops.append(runner.get_loop())
            runner.run(serve())

    loops, started, stop = [], threading.Event(), asyncio.Event()
    thread = threading.Thread(target=run)
    thread.start()
    started.wait()
    try:
        yield RPC_ADDRESS
    finally:
        loops[0].call_soon_threadsafe(stop.set)
        thread.join()


LISTENERS = (listening_in_threads, listening_in_tasks)


def open_connection(stack, address):
    connection = socket.create_connection(split_address(address), 5.0)
    return stack.enter_context(connection)


def is_closed(connection):
    """Return whether the peer has closed the connection, waiting for it."""
    connection.settimeout(2.0)
    try:
        return connection.recv(1) == b""
    except TimeoutError:
        return False
    except OSError:
        return True


class EndlessFrameTests(unittest.TestCase):
    def test_unfinished_frames_of_many_peers_share_a_memory_limit(self):
        """Each of them is within the limit of a frame; a small one is still read."""
        for listener in LISTENERS:
            with self.subTest(listener.__name__), contextlib.ExitStack() as stack:
                address = stack.enter_context(listener())
                tracemalloc.start()
                stack.callback(tracemalloc.stop)
                for _ in range(8):
                    connection = open_connection(stack, address)
                    with contextlib.suppress(OSError):
                        connection.sendall(ANNOUNCED)
                        for _ in range(SENT_BYTES // 65_536):
                            connection.sendall(bytes(65_536))
                self.assertEqual(self.call(address, b"small"), Ack(5))
                _, peak_bytes = tracemalloc.get_traced_memory()
                self.assertLess(peak_bytes, 130 * MIB)

    def test_a_frame_that_stalls_does_not_keep_its_connection(self):
        """It would keep its memory, too; a connection without a frame stays open."""
        for listener in LISTENERS:
            with self.subTest(listener.__name__), contextlib.ExitStack() as stack:
                for module in (_channel, rpc):
                    stack.enter_context(
                        mock.patch.object(module, "FRAME_TIMEOUT_S", 0.3, create=True)
                    )
                address = stack.enter_context(listener())
                idle = open_connection(stack, address)
                stalled = open_connection(stack, address)
                stalled.sendall(ANNOUNCED + b"x")
                self.assertTrue(is_closed(stalled))
                payload = encode_message(WorkRequest(headers=[], body=b"body"))
                idle.sendall(len(payload).to_bytes(4, "big") + payload)
                self.assertGreater(len(idle.recv(100)), 4)

    def test_a_frame_that_trickles_does_not_keep_its_connection(self):
        """Each byte arrives within any timeout of a single read."""
        for listener in LISTENERS:
            with self.subTest(listener.__name__), contextlib.ExitStack() as stack:
                for module in (_channel, rpc):
                    stack.enter_context(
                        mock.patch.object(module, "FRAME_TIMEOUT_S", 0.3, create=True)
                    )
                address = stack.enter_context(listener())
                connection = open_connection(stack, address)
                connection.sendall(ANNOUNCED)
                with self.assertRaises(OSError):
                    for _ in range(40):
                        time.sleep(0.05)
                        connection.sendall(b"x")

    def test_a_frame_of_the_largest_size_is_read(self):
        """A snapshot may be as large."""
        for listener in LISTENERS:
            with self.subTest(listener.__name__), listener() as address:
                value = "v" * (_channel.MAX_FRAME_BYTES // 5 - 100)
                headers = [Header("h", value)] * 5
                self.assertEqual(self.call(address, b"x", headers), Ack(6))

    def test_a_reply_that_trickles_fails_its_call(self):
        """A timeout of each step does not end such a call."""

        def trickle(peer):
            connection, _ = peer.accept()
            with connection, contextlib.suppress(OSError):
                connection.recv(65_536)
                connection.sendall(ANNOUNCED)
                for _ in range(40):
                    time.sleep(0.05)
                    connection.sendall(b"x")

        with contextlib.ExitStack() as stack:
            stack.enter_context(
                mock.patch.object(_channel, "FRAME_TIMEOUT_S", 0.3, create=True)
            )
            peer = stack.enter_context(socket.create_server(("127.0.62.5", 0)))
            thread = threading.Thread(target=trickle, args=[peer])
            thread.start()
            stack.callback(thread.join)
            address = "{}:{}".format(*peer.getsockname())
            dialer = stack.enter_context(dialing(None))
            with self.assertRaisesRegex(ChannelError, "not complete within"):
                dialer.call(address, Ack(1), 1.0)

    def call(self, address, body, headers=()):
        request = WorkRequest(request_id="r", body=body, headers=list(headers))
        with dialing(None) as dialer:
            return dialer.call(address, request, 20.0)


if __name__ == "__main__":
    unittest.main()
