"""Callers' HTTP connections: strict reading, answers whole or visibly cut.

h11 parses and frames; it stands in for the house's cheroot because a stream has to
be cut without its end mark, and a caller that leaves has to be noticed at once.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import h11

from damaskvalve_core import (
    OperatorError,
    RefusedError,
    enable_keepalive,
    split_address,
)
from damaskvalve_core.http._buffer_budget import (
    BufferBudget,
    BufferBudgetExceededError,
    BufferReservation,
)
from damaskvalve_core.http._incoming import Headers, IncomingRequest, ServerLimits
from damaskvalve_core.http._responder import Responder
from damaskvalve_core.http._strict import (
    check_fields,
    check_framing,
    has_bare_line_feed,
)

# Bytes of a next request that are read ahead while one is being answered.
READ_AHEAD_BYTES = 64 * 1024
# A caller that takes in nothing fills this much before its stream is held back.
WRITE_AHEAD_BYTES = 64 * 1024
BACKLOG = 512
# How long a caller that is refused in the middle of its body may go on sending it.
LINGER_S = 0.5
# By then some of the bodies that fill the memory are read or given up.
MEMORY_RETRY_S = 1.0


#: Answers one request.
RequestHandler = Callable[[IncomingRequest, Responder], Awaitable[None]]


class _ServerConnection(asyncio.Protocol):
    """One connection: a task reads requests and has them answered in turn."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._buffer = bytearray()
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._paused = False
        self._ended = False
        self._task: asyncio.Task[None] | None = None
        self._answering = False
        self._discarding = False
        self.closing = False
        self.idle = True
        self.peer = ""

    # ---- what the transport calls ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_AHEAD_BYTES)
        with contextlib.suppress(OSError):
            enable_keepalive(transport.get_extra_info("socket"))
        peer = transport.get_extra_info("peername") or ("?",)
        self.peer = str(peer[0])
        self._server.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data: bytes) -> None:
        if self._discarding:
            return
        self._buffer += data
        self._arrived.set()
        if self._answering and len(self._buffer) > READ_AHEAD_BYTES:
            self._paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        self._end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._end()

    def _end(self) -> None:
        """The caller is gone: cancel what is being done for it."""
        self._ended = True
        self._arrived.set()
        self._writable.set()
        if self._answering and self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def is_idle(self) -> bool:
        """Return whether no byte of a request has come."""
        return self.idle and not self._buffer

    # ---- writing ----

    def write(self, data: bytes) -> None:
        """Queue bytes for the caller."""
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the caller has taken in enough."""
        await self._writable.wait()

    # ---- reading ----

    async def _run(self) -> None:
        try:
            while not self.closing and await self._one_request():
                pass
        except asyncio.CancelledError:
            pass
        finally:
            self._transport.close()

    async def _one_request(self) -> bool:
        """Read and answer one request; False when the connection has to end."""
        limits = self._server.limits()
        framing = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes + 1024
        )
        responder = Responder(self, framing)
        # A body counts until its request is answered.
        with self._server.body_budget.reserve() as reservation:
            return await self._read_and_answer(framing, limits, responder, reservation)

    async def _read_and_answer(
        self,
        framing: h11.Connection,
        limits: ServerLimits,
        responder: Responder,
        reservation: BufferReservation,
    ) -> bool:
        try:
            incoming = await self._read(framing, limits, reservation)
        except RefusedError as error:
            self.closing = True
            headers, body = self._server.refusal(error)
            # After a read error the framing may be unable to send an answer.
            with contextlib.suppress(h11.LocalProtocolError):
                await responder.send(error.status, headers, body)
                await self._linger()
            return False
        if incoming is None:
            return False
        await self._answer(incoming, responder)
        if not responder.finished or framing.our_state is not h11.DONE:
            return False
        return framing.their_state is h11.DONE

    async def _linger(self) -> None:
        """Let the caller read a refusal before the connection ends.

        Closing while bytes of a body are unread would reset the connection, and the
        refusal would be lost on its way.
        """
        self._discarding = True
        self._buffer.clear()
        if self._ended or self._transport.is_closing():
            return
        self._transport.write_eof()
        self._arrived.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._arrived.wait(), LINGER_S)

    async def _answer(self, incoming: IncomingRequest, responder: Responder) -> None:
        self._answering = True
        self._server.active += 1
        try:
            if self._ended or self._transport.is_closing():
                # Nothing is begun that could not be answered any more.
                return
            await self._server.handler(incoming, responder)
        finally:
            self._server.active -= 1
            self._answering = False
            if self._paused:
                self._paused = False
                self._transport.resume_reading()

    async def _more(self, timeout_s: float | None) -> bool:
        """Wait for more bytes; False at the end or when none come in time."""
        if self._ended:
            return False
        self._arrived.clear()
        try:
            await asyncio.wait_for(self._arrived.wait(), timeout_s)
        except TimeoutError:
            return False
        return not self._ended

    async def _read(
        self,
        framing: h11.Connection,
        limits: ServerLimits,
        reservation: BufferReservation,
    ) -> IncomingRequest | None:
        self.idle = True
        while not self._buffer:
            if not await self._more(limits.idle_timeout_s):
                return None
        self.idle = False
        head = await self._read_head(limits)
        if head is None:
            return None
        try:
            framing.receive_data(head)
            request = framing.next_event()
        except h11.RemoteProtocolError as error:
            raise RefusedError(400, "bad_request", str(error)) from error
        if not isinstance(request, h11.Request):
            raise RefusedError(400, "bad_request", "the request head is incomplete")
        check_framing(request)
        try:
            body = await self._read_body(framing, limits, reservation)
        except BufferBudgetExceededError as error:
            raise RefusedError(
                503, "bodies_too_large", str(error), retry_after_s=MEMORY_RETRY_S
            ) from error
        return IncomingRequest(
            request.method.decode("ascii"),
            request.target.decode("latin-1"),
            list(request.headers),
            body,
            self.peer,
        )

    async def _read_head(self, limits: ServerLimits) -> bytes | None:
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + limits.header_timeout_s
        while True:
            if has_bare_line_feed(self._buffer):
                raise RefusedError(400, "bad_line_end", "a line ends without CR LF")
            end = self._buffer.find(b"\r\n\r\n")
            if end > limits.header_bytes or (
                end < 0 and len(self._buffer) > limits.header_bytes
            ):
                message = f"the headers exceed {limits.header_bytes} bytes"
                raise RefusedError(431, "headers_too_large", message)
            if end >= 0:
                head = bytes(self._buffer[: end + 4])
                del self._buffer[: end + 4]
                check_fields(head)
                return head
            if not await self._more(give_up_s - loop.time()):
                if self._ended:
                    return None
                raise RefusedError(408, "headers_too_slow", "the headers did not come")

    async def _read_body(
        self,
        framing: h11.Connection,
        limits: ServerLimits,
        reservation: BufferReservation,
    ) -> bytes:
        parts: list[bytes] = []
        while True:
            try:
                event = framing.next_event()
            except h11.RemoteProtocolError as error:
                raise RefusedError(400, "bad_body", str(error)) from error
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                reservation.add(len(event.data))
                if reservation.size_bytes > limits.body_bytes:
                    message = f"the body exceeds {limits.body_bytes} bytes"
                    raise RefusedError(413, "body_too_large", message)
            elif isinstance(event, h11.EndOfMessage):
                # Bytes behind the body belong to the next request.
                self._buffer[:0] = framing.trailing_data[0]
                return b"".join(parts)
            else:
                await self._feed(framing, limits)

    async def _feed(self, framing: h11.Connection, limits: ServerLimits) -> None:
        if framing.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self.write(framing.send(go_on) or b"")
        if not self._buffer and not await self._more(limits.idle_timeout_s):
            raise RefusedError(408, "body_too_slow", "the body did not come")
        data = bytes(self._buffer)
        self._buffer.clear()
        try:
            framing.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise RefusedError(400, "bad_body", str(error)) from error


#: Returns the headers and the body that go with a refusal.
RefusalWriter = Callable[[RefusedError], tuple[Headers, bytes]]


class HttpServer:
    """Accepts connections on an address until it is told to stop."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: Callable[[], ServerLimits],
        refusal: RefusalWriter,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.refusal = refusal
        self.connections: set[_ServerConnection] = set()
        # Requests that are being answered.
        self.active = 0
        # What bodies that are not complete yet may hold, all of them together.
        self.body_budget = BufferBudget()
        self._listener: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start accepting; raises :class:`OperatorError` if the address is taken."""
        ip, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            self._listener = await loop.create_server(
                lambda: _ServerConnection(self), ip, port, backlog=BACKLOG
            )
        except OSError as error:
            raise OperatorError(f"cannot listen on {address}: {error}") from error

    def close_after_response(self) -> None:
        """Let every answer from now on be the last of its connection."""
        for connection in self.connections:
            connection.closing = True

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection._transport.close()

    def is_busy(self) -> bool:
        """Return whether a request is being read or answered."""
        return any(not connection.is_idle() for connection in self.connections)

    def stop_accepting(self) -> None:
        """Close the listening socket."""
        if self._listener is not None:
            self._listener.close()


@contextlib.asynccontextmanager
async def serving_http(
    address: str,
    handler: RequestHandler,
    limits: Callable[[], ServerLimits],
    refusal: RefusalWriter,
) -> AsyncIterator[HttpServer]:
    """Yield a server on an address; everything is closed at the end."""
    server = HttpServer(handler, limits, refusal)
    await server.listen(address)
    try:
        yield server
    finally:
        server.stop_accepting()
        for connection in list(server.connections):
            connection._transport.close()
