"""HTTP calls to the engine, and the dialect that encodes and decodes them.

An engine may send a second copy of an answer where the next one is expected. Reports
share connections, because they are frequent and say themselves whether they are
outdated. The answer to an order does not say which order it answers, so each order has
a connection of its own.
"""

import asyncio
from collections.abc import Callable

from damaskvalve_agent._permits._types import EngineReport, Order
from damaskvalve_core import ChannelError, boot_clock_s
from damaskvalve_core.http import BackendConnection, BackendPool, Headers

# A connection that has been idle for longer is not reused.
MAX_IDLE_S = 2.0
# Reports have some kilobytes.
MAX_REPLY_BYTES = 2 * 1024 * 1024


class EngineCall:
    """One HTTP call to the engine."""

    __slots__ = ("method", "target", "headers", "body")

    def __init__(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class OrderContext:
    """The agent that sends an order, and the engine state that the order expects."""

    __slots__ = ("holder", "fence_number", "order_count", "instance_id")

    def __init__(
        self, holder: str, fence_number: int, order_count: int, instance_id: str
    ) -> None:
        # The agent process that holds the fence.
        self.holder = holder
        self.fence_number = fence_number
        # The engine accepts the order only if it has accepted this many before.
        self.order_count = order_count
        self.instance_id = instance_id


class EngineDialect:
    """The functions that encode and decode the engine's wire format."""

    __slots__ = ("report_call", "read_report", "order_call", "read_outcome")

    def __init__(
        self,
        report_call: Callable[[], EngineCall],
        read_report: Callable[[bytes], EngineReport],
        order_call: Callable[[Order, OrderContext], EngineCall],
        read_outcome: Callable[[int], str],
    ) -> None:
        # Builds the call that fetches a report.
        self.report_call = report_call
        # Parses the body of a report. Raises ValueError for an invalid report.
        self.read_report = read_report
        # Builds the call that sends an order.
        self.order_call = order_call
        # Maps an HTTP status to one of the outcomes of an order.
        self.read_outcome = read_outcome


class EngineClient:
    """Calls one engine: reports over pooled connections, orders over new ones."""

    def __init__(self, address: str, pool: BackendPool) -> None:
        self._address = address
        self._pool = pool

    async def call(self, call: EngineCall, timeout_s: float) -> tuple[int, bytes]:
        """Return the status and body of a reply.

        Raise :class:`ChannelError` if the call fails and :class:`TimeoutError` if it
        takes longer than ``timeout_s``.
        """
        address = self._address
        async with asyncio.timeout(timeout_s):
            now_s = boot_clock_s()
            # The pool is keyed by instance id; here the address serves as the key.
            connection = await self._pool.acquire(address, address, now_s, MAX_IDLE_S)
            reply = await self._exchange(connection, call)
            self._pool.release(address, connection, boot_clock_s())
            return reply

    async def order(self, call: EngineCall, timeout_s: float) -> tuple[int, bytes]:
        """Return the status and body of the reply to an order; raise as :meth:`call`.

        The connection carries no other call, so the reply is to this order.
        """
        async with asyncio.timeout(timeout_s):
            connection = await self._pool.connect(self._address)
            reply = await self._exchange(connection, call)
            connection.close()
            return reply

    async def _exchange(
        self, connection: BackendConnection, call: EngineCall
    ) -> tuple[int, bytes]:
        try:
            connection.send(call.method, call.target, call.headers, call.body)
            head = await connection.read_head()
            body = bytearray()
            while (piece := await connection.read_chunk()) is not None:
                body += piece
                if len(body) > MAX_REPLY_BYTES:
                    raise ChannelError(
                        f"the reply of {self._address} exceeds {MAX_REPLY_BYTES} bytes"
                    )
        except BaseException:
            connection.close()
            raise
        connection.finish_reply(head, boot_clock_s())
        return head.status, bytes(body)
