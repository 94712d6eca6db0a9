"""HTTP server for callers: strict parsing; responses are complete or visibly aborted.

h11 parses and frames the messages. It is used instead of cheroot, the usual server of
the project, because a stream has to be aborted without its last chunk and the
disconnect of a caller has to be detected at once.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import h11
import logbook

from damaskvalve_core import (
    UNKNOWN,
    RefusedError,
    boot_clock_s,
    enable_keepalive,
    split_address,
)
from damaskvalve_core._buffer_budget import (
    FIELD_BYTES,
    BufferBudget,
    BufferBudgetExceededError,
    BufferReservation,
)
from damaskvalve_core._listen import open_server
from damaskvalve_core._turn_limit import TurnLimit
from damaskvalve_core.http._bounded_reader import BoundedReader
from damaskvalve_core.http._request import Headers, IncomingRequest, ServerLimits
from damaskvalve_core.http._request_validation import (
    check_framing,
    check_header_lines,
    has_bare_line_feed,
)
from damaskvalve_core.http._responder import Responder

# Size of the write buffer at which a stream waits for a slow caller.
WRITE_AHEAD_BYTES = 64 * 1024
BACKLOG = 512
# How long a caller that is refused while it sends the body may continue to send.
LINGER_S = 0.5
# Retry-After of requests that are refused because bodies use up the budget. By then,
# some of the bodies are complete or discarded.
BODIES_RETRY_AFTER_S = 1.0
# Maximum number of characters of a request's target in a log line.
MAX_LOGGED_CHARACTERS = 200
# The value of SO_LINGER, on and 0 s, with which closing a connection resets it.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_log = logbook.Logger("http")


#: Handles one request and sends its response.
RequestHandler = Callable[[IncomingRequest, Responder], Awaitable[None]]


def _reserve(reservation: BufferReservation, size_bytes: int) -> None:
    """Reserve bytes of a request; refuse it if they exceed the shared limit."""
    try:
        reservation.add(size_bytes)
    except BufferBudgetExceededError as error:
        raise RefusedError(
            503, "bodies_too_large", str(error), retry_after_s=BODIES_RETRY_AFTER_S
        ) from error


class _ServerConnection(BoundedReader):
    """One connection, whose task reads and handles requests one after the other."""

    def __init__(self, server: "HttpServer") -> None:
        super().__init__()
        self._server = server
        self._writable = asyncio.Event()
        self._writable.set()
        self._caller_gone = False
        self._task: asyncio.Task[None] | None = None
        self._turn = TurnLimit()
        # Sends the response to the newest request; None before the first.
        self._responder: Responder | None = None
        self._handling = False
        self._discarding = False
        # Refuses the request that is being read; None if it is not refused.
        self._refusal: RefusedError | None = None
        # Whether the next response says that the connection closes.
        self.closing = server.closing
        self.idle = True
        self.idle_since_s = boot_clock_s()
        self.peer = ""

    # ---- asyncio.Protocol callbacks ----

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
        if not self._discarding:
            super().data_received(data)

    def eof_received(self) -> bool:
        self._handle_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._handle_disconnect()

    def _handle_disconnect(self) -> None:
        """Cancel the request in progress after the caller has disconnected."""
        self._caller_gone = True
        self._received.set()
        self._writable.set()
        if self._handling and self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def is_idle(self) -> bool:
        """Return whether no byte of a request has arrived."""
        return self.idle and not self._unread

    def refuse_unread(self, refusal: RefusedError) -> None:
        """Refuse the request that is being read, if there is one."""
        if not self.is_idle() and not self._handling and not self._discarding:
            self._refusal = refusal
            self._received.set()

    def refuse_handled(self, refusal: RefusedError) -> None:
        """Cancel and refuse the request that is being handled, if there is one."""
        is_unanswered = self._responder is not None and not self._responder.finished
        if self._handling and is_unanswered and self._task is not None:
            self._refusal = refusal
            self._task.cancel()

    # ---- writing ----

    def write(self, data: bytes) -> None:
        """Queue bytes to send to the caller."""
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._writable.wait()
        if self._transport.is_closing():
            # A write that failed cancels the request, but only in the next turn.
            await asyncio.sleep(0)

    # ---- reading ----

    async def _run(self) -> None:
        try:
            # If a response has not said that the connection closes, the caller may
            # have sent the next request already.
            while await self._serve_request():
                await self._turn.step()
        except asyncio.CancelledError:
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection; reset it if its end would complete a response."""
        if self._responder is not None and self._responder.ends_with_connection():
            with contextlib.suppress(OSError):
                self._transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
        self._transport.close()

    async def _serve_request(self) -> bool:
        """Read and handle one request; return False if the connection has to close."""
        limits = self._server.limits()
        framing = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes + 1024
        )
        responder = self._responder = Responder(self, framing)
        # Head and body stay reserved until the response is sent.
        with self._server.body_budget.reserve() as reservation:
            return await self._read_and_handle(framing, limits, responder, reservation)

    async def _read_and_handle(
        self,
        framing: h11.Connection,
        limits: ServerLimits,
        responder: Responder,
        reservation: BufferReservation,
    ) -> bool:
        try:
            incoming = await self._read_request(framing, limits, reservation)
        except RefusedError as error:
            self.closing = True
            headers, body = self._server.format_refusal(error)
            # After a read error, h11 may be unable to send a response.
            with contextlib.suppress(h11.LocalProtocolError):
                await responder.send(error.status, headers, body)
                await self._linger()
            return False
        if incoming is None:
            return False
        responder.omits_body = incoming.method == "HEAD"
        await self._handle_request(incoming, responder)
        if not responder.finished or framing.our_state is not h11.DONE:
            return False
        return framing.their_state is h11.DONE

    async def _linger(self) -> None:
        """Let the caller read a refusal before the connection is closed.

        Closing a connection with unread data would reset it, and the refusal could be
        lost in transit.
        """
        self._discarding = True
        self._unread.clear()
        if self._caller_gone or self._transport.is_closing():
            return
        self._transport.write_eof()
        self._resume_reading()
        self._received.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._received.wait(), LINGER_S)

    async def _handle_request(
        self, incoming: IncomingRequest, responder: Responder
    ) -> None:
        self._handling = True
        self._server.active += 1
        try:
            if self._caller_gone or self._transport.is_closing():
                # Do not start a request whose response cannot be sent.
                return
            await self._call_handler(incoming, responder)
        finally:
            self._server.active -= 1
            self._handling = False

    async def _call_handler(
        self, incoming: IncomingRequest, responder: Responder
    ) -> None:
        """Call the handler; refuse the request if it is cancelled or fails."""
        try:
            await self._server.handler(incoming, responder)
            return
        except asyncio.CancelledError:
            if self._refusal is None or self._caller_gone or self._task is None:
                raise
            self._task.uncancel()
            refusal = self._refusal
        except Exception as error:
            _log.exception(
                "a request for {} failed", incoming.target[:MAX_LOGGED_CHARACTERS]
            )
            refusal = RefusedError(500, "internal", repr(error), ran=UNKNOWN)
        if responder.started:
            responder.abort()
            return
        self.closing = True
        headers, body = self._server.format_refusal(refusal)
        await responder.send(refusal.status, headers, body)

    async def _wait_for_data(self, timeout_s: float | None) -> bool:
        """Wait for more data; return False on a disconnect or a timeout."""
        if self._caller_gone:
            return False
        # A head may be larger than what is read ahead.
        self._resume_reading()
        self._check_refusal()
        self._received.clear()
        try:
            await asyncio.wait_for(self._received.wait(), timeout_s)
        except TimeoutError:
            # Data may have arrived as the timeout passed.
            if not self._received.is_set():
                return False
        self._turn.begin_turn()
        self._check_refusal()
        return not self._caller_gone

    def _check_refusal(self) -> None:
        """Raise the refusal of the request that is being read, if it is refused."""
        if self._refusal is not None:
            raise self._refusal

    async def _read_request(
        self,
        framing: h11.Connection,
        limits: ServerLimits,
        reservation: BufferReservation,
    ) -> IncomingRequest | None:
        """Return the next request, or None if the caller disconnects or stays idle."""
        self.idle, self.idle_since_s = True, boot_clock_s()
        while not self._unread:
            if not await self._wait_for_data(limits.idle_timeout_s):
                return None
        self.idle = False
        head = await self._read_head(limits, reservation)
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
        body = await self._read_body(framing, limits, reservation)
        return IncomingRequest(
            request.method.decode("ascii"),
            request.target.decode("latin-1"),
            list(request.headers),
            body,
            self.peer,
        )

    async def _read_head(
        self, limits: ServerLimits, reservation: BufferReservation
    ) -> bytes | None:
        """Return the head of a request, or None if the caller disconnects."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + limits.header_timeout_s
        while True:
            if has_bare_line_feed(self._unread):
                raise RefusedError(
                    400,
                    "bad_line_end",
                    "a line of the request head does not end with CR LF",
                )
            end = self._unread.find(b"\r\n\r\n")
            if end > limits.header_bytes or (
                end < 0 and len(self._unread) > limits.header_bytes
            ):
                message = f"the headers exceed {limits.header_bytes} bytes"
                raise RefusedError(431, "headers_too_large", message)
            if end >= 0:
                fields = self._unread.count(b"\r\n", 0, end)
                _reserve(reservation, end + fields * FIELD_BYTES)
                # Reading goes on, so that the end of the connection is noticed.
                head = self._take_unread(end + 4)
                check_header_lines(head)
                return head
            if not await self._wait_for_data(deadline_s - loop.time()):
                if self._caller_gone:
                    return None
                raise RefusedError(
                    408, "headers_too_slow", "the headers did not arrive in time"
                )

    async def _read_body(
        self,
        framing: h11.Connection,
        limits: ServerLimits,
        reservation: BufferReservation,
    ) -> bytes:
        body = bytearray()
        while True:
            await self._turn.step()
            try:
                event = framing.next_event()
            except h11.RemoteProtocolError as error:
                raise RefusedError(400, "bad_body", str(error)) from error
            if isinstance(event, h11.Data):
                body += event.data
                _reserve(reservation, len(event.data))
                if len(body) > limits.body_bytes:
                    message = f"the body exceeds {limits.body_bytes} bytes"
                    raise RefusedError(413, "body_too_large", message)
            elif isinstance(event, h11.EndOfMessage):
                # Data after the body belongs to the next request.
                self._unread[:0] = framing.trailing_data[0]
                return bytes(body)
            else:
                await self._feed_body(framing, limits)

    async def _feed_body(self, framing: h11.Connection, limits: ServerLimits) -> None:
        if framing.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self.write(framing.send(continue_response) or b"")
        if not self._unread and not await self._wait_for_data(limits.idle_timeout_s):
            raise RefusedError(408, "body_too_slow", "the body did not arrive in time")
        try:
            framing.receive_data(self._take_unread())
        except h11.RemoteProtocolError as error:
            raise RefusedError(400, "bad_body", str(error)) from error


#: Returns the headers and the body of the response to a refused request.
RefusalFormatter = Callable[[RefusedError], tuple[Headers, bytes]]


class HttpServer:
    """Accepts connections on an address until it is stopped."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: Callable[[], ServerLimits],
        format_refusal: RefusalFormatter,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.format_refusal = format_refusal
        self.connections: set[_ServerConnection] = set()
        # Whether the next response of each connection says that it closes.
        self.closing = False
        # Number of requests that are being handled.
        self.active = 0
        # The shared memory limit of the heads and bodies of all unanswered requests.
        self.body_budget = BufferBudget()
        self._listener: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start accepting connections.

        Raises :class:`damaskvalve_core.OperatorError` if the address cannot be bound.
        """
        ip, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._listener = await open_server(
            lambda: loop.create_server(
                lambda: _ServerConnection(self), ip, port, backlog=BACKLOG
            ),
            address,
        )

    def close_after_response(self) -> None:
        """Close each connection after the next response, which says so.

        A response that has begun cannot say so; the connection is then kept for another
        one.

        This includes connections that were accepted before the listening socket was
        closed and are noticed afterwards.
        """
        self.closing = True
        for connection in self.connections:
            connection.closing = True

    def close_idle(self, now_s: float, min_idle_s: float = 0.0) -> None:
        """Close the connections on which no request has begun for some time."""
        for connection in list(self.connections):
            if connection.is_idle() and now_s >= connection.idle_since_s + min_idle_s:
                connection.close()

    def close_all(self) -> None:
        """Close all connections, which aborts the requests in progress."""
        for connection in list(self.connections):
            connection.close()

    def refuse_unread(self, refusal: RefusedError) -> None:
        """Refuse the requests of which some, but not all bytes have been read."""
        for connection in list(self.connections):
            connection.refuse_unread(refusal)

    def refuse_all(self, refusal: RefusedError) -> None:
        """Refuse the requests that are being read or handled."""
        for connection in list(self.connections):
            connection.refuse_unread(refusal)
            connection.refuse_handled(refusal)

    def is_open(self) -> bool:
        """Return whether a connection is open, or closes but has unsent bytes."""
        return bool(self.connections)

    def stop_accepting(self) -> None:
        """Close the listening socket."""
        if self._listener is not None:
            self._listener.close()


@contextlib.asynccontextmanager
async def serving_http(
    address: str,
    handler: RequestHandler,
    limits: Callable[[], ServerLimits],
    format_refusal: RefusalFormatter,
) -> AsyncIterator[HttpServer]:
    """Yield a server that listens on an address; close it and its connections."""
    server = HttpServer(handler, limits, format_refusal)
    await server.listen(address)
    try:
        yield server
    finally:
        server.stop_accepting()
        server.close_all()
