"""An engine that answers a call a second time, where the next answer is expected."""

import asyncio
import contextlib
import unittest

from damaskvalve_agent._permits._engine import EngineCall, EngineClient
from damaskvalve_core.http import BackendPool

HOST = [(b"host", b"engine")]
REPORT = EngineCall("GET", "/report", HOST, b"")
ORDER = EngineCall("POST", "/order", [*HOST, (b"content-length", b"0")], b"")
CALL_TIMEOUT_S = 2.0


def make_answer(status, body):
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


class RepeatedAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.answers = {"GET": make_answer(200, "report")}
        self.connection_count = 0
        self.connections = []
        server = await asyncio.start_server(self.serve, "127.0.62.6", 0)
        self.addCleanup(server.close)
        self.pool = BackendPool()
        port = server.sockets[0].getsockname()[1]
        self.client = EngineClient(f"127.0.62.6:{port}", self.pool)

    async def asyncTearDown(self):
        self.pool.close_all_idle()
        await asyncio.gather(*self.connections)

    async def serve(self, reader, writer):
        """Send the last answer of a connection again, before the next one."""
        self.connection_count += 1
        self.connections.append(asyncio.current_task())
        last = b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line = await reader.readuntil(b"\r\n\r\n")
                writer.write(last)
                last = self.answers[line.split()[0].decode()]
                writer.write(last)
        writer.close()

    async def order(self, status):
        self.answers["POST"] = make_answer(status, "{}")
        return await self.client.order(ORDER, CALL_TIMEOUT_S)

    async def test_a_second_copy_of_an_answer_is_not_taken_for_that_of_an_order(self):
        """The order would count as accepted or completed, though it was rejected."""
        self.assertEqual(await self.order(202), (202, b"{}"))
        self.assertEqual(await self.order(409), (409, b"{}"))
        await self.client.call(REPORT, CALL_TIMEOUT_S)
        self.assertEqual(await self.order(412), (412, b"{}"))

    async def test_the_answer_to_an_order_is_not_taken_for_a_report(self):
        """It would say that the engine holds nothing."""
        await self.client.call(REPORT, CALL_TIMEOUT_S)
        for _ in range(3):
            await self.order(200)
            report = await self.client.call(REPORT, CALL_TIMEOUT_S)
            self.assertEqual(report, (200, b"report"))

    async def test_reports_share_a_connection(self):
        """They are frequent, and a copy of an earlier report frees no place."""
        self.answers["GET"] = make_answer(200, "1")
        first = await self.client.call(REPORT, CALL_TIMEOUT_S)
        self.answers["GET"] = make_answer(200, "2")
        second = await self.client.call(REPORT, CALL_TIMEOUT_S)
        self.assertEqual(first, second)
        self.assertEqual(self.connection_count, 1)


if __name__ == "__main__":
    unittest.main()
