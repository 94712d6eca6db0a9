"""A process must not end because its port is held by a connection for a while."""

import asyncio
import contextlib
import socket
import threading
import unittest
from unittest import mock

from damaskvalve_core import OperatorError, _listen, listening
from damaskvalve_core.http import ServerLimits, serving_http
from damaskvalve_core.rpc import serving_rpc

HELD_S = 0.5
# Connections of other programs from 127.0.0.1 may hold the same port.
HELD_IP = "127.0.21.69"


async def open_http(address):
    limits = ServerLimits(1_000, 1_000, 1.0, 1.0)
    serving = serving_http(address, mock.AsyncMock(), lambda: limits, mock.Mock())
    async with serving:
        pass


async def open_rpc(address):
    async with serving_rpc(address, None, mock.AsyncMock()):
        pass


async def open_channel(address):
    def listen():
        with listening(address, None, mock.Mock()):
            pass

    await asyncio.to_thread(listen)


class ListenTests(unittest.IsolatedAsyncioTestCase):
    @contextlib.contextmanager
    def holding_port(self):
        """Hold the local port of an outgoing connection for a while."""
        with socket.create_server(("127.0.0.1", 0)) as peer:
            held = socket.create_connection(
                peer.getsockname(), source_address=(HELD_IP, 0)
            )
            accepted, _ = peer.accept()

            def release():
                # The peer closes first, so that the port is free at once.
                accepted.close()
                held.recv(1)
                held.close()

            timer = threading.Timer(HELD_S, release)
            timer.start()
            yield "{}:{}".format(*held.getsockname())
            timer.join()

    async def test_a_port_that_a_connection_holds_is_waited_for(self):
        """The process ended, and its supervisor started it again, before."""
        for opening in (open_http, open_rpc, open_channel):
            with self.subTest(opening=opening.__name__), self.holding_port() as address:
                async with asyncio.timeout(10 * HELD_S):
                    await opening(address)

    async def test_a_port_that_stays_in_use_is_reported(self):
        """The wait is limited, and the error names the address."""
        with socket.create_server(("127.0.0.1", 0)) as other:
            address = "{}:{}".format(*other.getsockname())
            with mock.patch.object(_listen, "MAX_WAIT_S", 0.3):
                with self.assertRaisesRegex(OperatorError, address):
                    await open_http(address)


if __name__ == "__main__":
    unittest.main()
