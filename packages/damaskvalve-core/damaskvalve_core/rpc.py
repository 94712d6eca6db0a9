"""RPC over asyncio with the frames of the channel, for long-running calls.

A connection carries one call at a time. Closing it cancels the call, so that the
server releases the resources of a call also if its client dies.
"""

import asyncio
import contextlib
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import logbook

from damaskvalve_core._buffer_budget import BufferBudget, BufferBudgetExceededError
from damaskvalve_core._channel import (
    CONNECT_TIMEOUT_S,
    FRAME_TIMEOUT_S,
    HANDSHAKE_TIMEOUT_S,
    MAX_FRAME_BYTES,
    MAX_UNFINISHED_BYTES,
    Identity,
    enable_keepalive,
    split_address,
)
from damaskvalve_core._codec import decode_message, encode_message
from damaskvalve_core._exceptions import (
    ChannelError,
    EncodingError,
    NotSentError,
    ProtocolError,
)
from damaskvalve_core._listen import open_server
from damaskvalve_core._messages import Problem
from damaskvalve_core._turn_limit import TurnLimit

# Maximum number of idle connections that are kept per address.
MAX_IDLE_CONNECTIONS = 64
BACKLOG = 256
_HEADER = struct.Struct(">I")
_READ_BYTES = 64 * 1024

_log = logbook.Logger("calls")


class RpcCall:
    """One connection, for the duration of one call."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: str,
        budget: BufferBudget,
    ) -> None:
        self._reader = reader
        self._writer = writer
        # The memory limit of the unfinished frames of all connections beside this one.
        self._budget = budget
        self._turn = TurnLimit()
        self.peer = peer

    def send(self, message: Any) -> None:
        """Queue one message; the next receive reports a broken connection.

        Raise :class:`EncodingError` if a value does not fit into it.
        """
        payload = encode_message(message)
        self._writer.write(_HEADER.pack(len(payload)) + payload)

    async def receive(self) -> Any:
        """Return the next message.

        Raise :class:`ChannelError` if the connection fails or is closed, or if a frame
        is not complete in time or too large beside others, and :class:`ProtocolError`
        for an invalid message.
        """
        await self._turn.step()
        try:
            header = await self._reader.readexactly(_HEADER.size)
            (length,) = _HEADER.unpack(header)
            if length > MAX_FRAME_BYTES:
                raise ProtocolError(
                    f"frame of {length} bytes exceeds the frame size limit"
                )
            async with asyncio.timeout(FRAME_TIMEOUT_S):
                frame = await self._read_payload(length)
        except TimeoutError as error:
            _log.warning("frame timeout; closing the connection of {}", self.peer)
            raise ChannelError(
                f"a frame of {self.peer} was not complete within {FRAME_TIMEOUT_S} s"
            ) from error
        except BufferBudgetExceededError as error:
            _log.warning("closing the connection of {}: {}", self.peer, error)
            raise ChannelError(f"receiving from {self.peer} failed: {error}") from error
        except (OSError, EOFError) as error:
            raise ChannelError(f"receiving from {self.peer} failed: {error}") from error
        return decode_message(frame)

    async def _read_payload(self, size_bytes: int) -> bytes:
        payload = bytearray()
        with self._budget.reserve() as reservation:
            while len(payload) < size_bytes:
                left_bytes = size_bytes - len(payload)
                data = await self._reader.read(min(left_bytes, _READ_BYTES))
                if not data:
                    raise EOFError("the connection ended within a frame")
                payload += data
                reservation.resize(len(payload))
            return bytes(payload)

    def is_open(self) -> bool:
        """Return whether both ends of the connection are open."""
        return not self._reader.at_eof() and not self._writer.is_closing()

    def close(self) -> None:
        """Close the connection, which cancels the call at the peer."""
        self._writer.close()


class _ClientCall(RpcCall):
    """A call to a peer, whose invalid replies count as a failure of the channel."""

    async def receive(self) -> Any:
        """Return the next reply; raise :class:`ChannelError` if there is none."""
        try:
            return await super().receive()
        except ProtocolError as error:
            raise ChannelError(f"{self.peer} sent an invalid reply: {error}") from error


#: Handles one request and sends its replies over the call.
RpcHandler = Callable[[Any, RpcCall], Awaitable[None]]


class RpcClient:
    """Calls peers over pooled connections."""

    def __init__(self, identity: Identity | None, source_ip: str = "") -> None:
        self._context = identity.ssl_context(server=False) if identity else None
        self._source_address = (source_ip, 0) if source_ip else None
        self._idle: dict[str, list[RpcCall]] = {}
        self._frame_budget = BufferBudget(MAX_UNFINISHED_BYTES)

    async def _connect(self, address: str) -> RpcCall:
        timeout_s = CONNECT_TIMEOUT_S
        if self._context is not None:
            timeout_s += HANDSHAKE_TIMEOUT_S
        try:
            ip, port = split_address(address)
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    ip, port, ssl=self._context, local_addr=self._source_address
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise NotSentError(f"cannot connect to {address}: {error}") from error
        enable_keepalive(writer.get_extra_info("socket"))
        return _ClientCall(reader, writer, address, self._frame_budget)

    @contextlib.asynccontextmanager
    async def open(self, address: str, request: Any) -> AsyncIterator[RpcCall]:
        """Send a request and yield its call.

        The connection is reused if the context ends without an exception.
        """
        call = None
        idle = self._idle.setdefault(address, [])
        while idle and call is None:
            candidate = idle.pop()
            if candidate.is_open():
                call = candidate
            else:
                candidate.close()
        if call is None:
            call = await self._connect(address)
        try:
            call.send(request)
            yield call
        except BaseException:
            call.close()
            raise
        if len(idle) < MAX_IDLE_CONNECTIONS and call.is_open():
            idle.append(call)
        else:
            call.close()

    async def call(self, address: str, request: Any, timeout_s: float) -> Any:
        """Send a request and return its single reply.

        Raises :class:`ChannelError` if there is none within ``timeout_s``.
        """
        try:
            async with asyncio.timeout(timeout_s):
                async with self.open(address, request) as call:
                    reply = await call.receive()
        except TimeoutError as error:
            raise ChannelError(f"no reply from {address} within the timeout") from error
        if isinstance(reply, Problem):
            raise ChannelError(f"{address} replied with an error: {reply.message}")
        return reply

    def close_idle(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            while idle:
                idle.pop().close()


@contextlib.asynccontextmanager
async def serving_rpc(
    address: str, identity: Identity | None, handler: RpcHandler
) -> AsyncIterator[None]:
    """Serve calls on an address until the context ends."""
    ip, port = split_address(address)
    open_calls: set[RpcCall] = set()
    budget = BufferBudget(MAX_UNFINISHED_BYTES)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername") or ("?", 0)
        call = RpcCall(reader, writer, f"{peer[0]}:{peer[1]}", budget)
        open_calls.add(call)
        try:
            enable_keepalive(writer.get_extra_info("socket"))
            while True:
                await _handle_request(await call.receive(), call, handler)
        except ProtocolError as error:
            _log.warning(
                "invalid message from {}, closing the connection: {}", call.peer, error
            )
        except (ChannelError, OSError):
            _log.debug("{} disconnected", call.peer)
        except asyncio.CancelledError:
            # Only when the event loop ends; the client sees a closed connection.
            _log.debug("event loop stopped; closing the connection of {}", call.peer)
        finally:
            open_calls.discard(call)
            call.close()

    context = identity.ssl_context(server=True) if identity else None
    server = await open_server(
        lambda: asyncio.start_server(serve, ip, port, ssl=context, backlog=BACKLOG),
        address,
    )
    try:
        yield
    finally:
        server.close()
        for call in list(open_calls):
            call.close()


async def _handle_request(request: Any, call: RpcCall, handler: RpcHandler) -> None:
    try:
        await handler(request, call)
    except Exception as error:
        is_own = isinstance(error, EncodingError)
        if isinstance(error, (ChannelError, ProtocolError)) and not is_own:
            raise
        _log.exception(
            "handling of {} failed; replying with an internal error",
            type(request).__name__,
        )
        call.send(Problem("internal", str(error)))
