"""Connections that are made as what waits for them is cancelled."""

import asyncio
import unittest
from unittest import mock

from damaskvalve_core.http import BackendPool
from damaskvalve_core.rpc import RpcClient

# How long a request goes on after its connection has been made.
GO_ON_S = 0.2


class CancelledConnectTests(unittest.IsolatedAsyncioTestCase):
    async def cancel_as_connected(self, connect, target, result):
        """Cancel in the turn in which the connection has been made."""
        loop = asyncio.get_running_loop()

        async def open_connection(*_, **__):
            await asyncio.sleep(0)
            loop.call_soon(task.cancel)
            return result

        async def connect_and_go_on():
            await connect()
            await asyncio.sleep(GO_ON_S)

        with mock.patch.object(*target, open_connection):
            task = asyncio.ensure_future(connect_and_go_on())
            await asyncio.wait((task,))
        self.assertTrue(task.cancelled())

    async def test_a_deadline_was_swallowed_by_a_connection_to_a_backend_server(self):
        """The request went on without any deadline."""
        pool = BackendPool()
        await self.cancel_as_connected(
            lambda: pool.connect("127.0.0.1:1"),
            (asyncio.get_running_loop(), "create_connection"),
            (mock.Mock(), mock.Mock()),
        )

    async def test_a_deadline_was_swallowed_by_a_connection_to_an_agent(self):
        """The request went on without any deadline."""
        client = RpcClient(None)
        await self.cancel_as_connected(
            lambda: client._connect("127.0.0.1:1"),
            (asyncio, "open_connection"),
            (mock.Mock(), mock.Mock()),
        )
