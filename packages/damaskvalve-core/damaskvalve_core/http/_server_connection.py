"""One connection of a caller, whose requests are handled one after the other."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Protocol

import h11
import logbook

from damaskvalve_core import UNKNOWN, RefusedError, boot_clock_s, enable_keepalive
from damaskvalve_core._buffer_budget import BufferBudget, BufferReservation
from damaskvalve_core.http._connection_budget import ConnectionBudget, Holding
from damaskvalve_core.http._peer_progress import (
    MAX_PAUSE_S,
    PeerProgress,
    read_peer_state,
    tells_peer_state,
)
from damaskvalve_core.http._request import Headers, IncomingRequest, ServerLimits
from damaskvalve_core.http._request_reader import RequestReader
from damaskvalve_core.http._responder import Responder

# Size of the write buffer at which a stream waits for a slow caller.
WRITE_AHEAD_BYTES = 64 * 1024
# How long a caller that is refused while it sends the body may continue to send.
LINGER_S = 0.5
# Maximum number of characters of a request's target in a log line.
MAX_LOGGED_CHARACTERS = 200
# The value of SO_LINGER, on and 0 s, with which closing a connection resets it.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", None)
_MS_PER_S = 1000

_log = logbook.Logger("http")


#: Handles one request and sends its response.
RequestHandler = Callable[[IncomingRequest, Responder], Awaitable[None]]
#: Returns the headers and the body of the response to a refused request.
RefusalFormatter = Callable[[RefusedError], tuple[Headers, bytes]]


class ConnectionOwner(Protocol):
    """The part of a server that its connections use."""

    handler: RequestHandler
    limits: Callable[[], ServerLimits]
    format_refusal: RefusalFormatter
    connections: "set[ServerConnection]"
    closing: bool
    active: int
    body_budget: BufferBudget
    budget: ConnectionBudget
    # Whether the kernel tells slow callers from silent ones; None if not known yet.
    tells_peer_state: bool | None

    def admit(self, now_s: float) -> bool:
        """Return whether there is room for a new connection."""

    def watch(self) -> None:
        """Check connections with an unfinished response until there is none."""


class ServerConnection(RequestReader):
    """One connection, whose task reads and handles requests one after the other."""

    def __init__(self, server: ConnectionOwner) -> None:
        super().__init__()
        self._server = server
        self._writable = asyncio.Event()
        self._writable.set()
        self._task: asyncio.Task[None] | None = None
        # Sends the response to the newest request; None before the first.
        self._responder: Responder | None = None
        self._handling = False
        self._discarding = False
        self._progress = PeerProgress()
        self.pending_bytes = 0
        # Whether slow callers are told from silent ones.
        self._watches_peer = False
        self.holding = Holding(self.idle_since_s, self.evict, self._note_unsent)
        # Whether the next response says that the connection closes.
        self.closing = server.closing

    # ---- asyncio.Protocol callbacks ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._server.admit(self.holding.progress_s):
            transport.abort()
            return
        transport.set_write_buffer_limits(high=WRITE_AHEAD_BYTES)
        with contextlib.suppress(OSError):
            sock = transport.get_extra_info("socket")
            if self._server.tells_peer_state is None:
                self._server.tells_peer_state = tells_peer_state(sock)
            self._watches_peer = self._server.tells_peer_state
            enable_keepalive(sock, limits_pauses=not self._watches_peer)
        peer = transport.get_extra_info("peername") or ("?",)
        self.peer = str(peer[0])
        self._server.connections.add(self)
        self._server.budget.add(self.holding)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data: bytes) -> None:
        if not self._discarding:
            super().data_received(data)
            self._note_unread()
            self._relieve()

    def eof_received(self) -> bool:
        self._handle_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._forget()
        # It refers to the connection, which could not be freed at once.
        self.holding.discard()
        self._handle_disconnect()

    def _forget(self) -> None:
        self._server.connections.discard(self)
        self._server.budget.remove(self.holding)

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
        self._note_unsent()

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

    # ---- what the connection holds ----

    def _note_unread(self) -> None:
        self._server.budget.set_unread(self.holding, len(self._unread))

    def unsent_bytes(self) -> int:
        """Return how much of its responses is not sent yet."""
        return self._transport.get_write_buffer_size() + self.pending_bytes

    def _note_unsent(self, written_bytes: int = 0) -> None:
        unsent_bytes = self.unsent_bytes()
        if unsent_bytes or self.holding.unsent_bytes:
            self._server.budget.set_unsent(
                self.holding, unsent_bytes, written_bytes, boot_clock_s()
            )

    def _relieve(self) -> None:
        budget = self._server.budget
        if budget.excess_bytes() > 0:
            budget.relieve(boot_clock_s())

    def make_room(self, reservation: BufferReservation) -> bool:
        return self._server.budget.discard_larger(reservation)

    def evict(self, reason: str) -> None:
        """Close the connection at once; reset it if a response is not sent yet."""
        self._forget()
        if self.holding.unsent_bytes or self.is_sending():
            self._reset_on_close()
        self._transport.abort()

    def is_sending(self) -> bool:
        """Return whether the caller has to take the rest of a response."""
        responder = self._responder
        is_open = responder is not None and responder.started and not responder.finished
        return is_open or self._transport.get_write_buffer_size() > 0

    def check_peer(self, now_s: float) -> str | None:
        """Return why the connection has to be closed, or None."""
        self._note_unsent()
        if not self._watches_peer:
            return None
        state = read_peer_state(self._transport.get_extra_info("socket"))
        if state is None:
            return None
        return self._progress.judge(state, self.holding.unsent_bytes, now_s)

    # ---- writing ----

    def write(self, data: bytes) -> None:
        self._transport.write(data)
        self._note_unsent(len(data))
        if self.holding.unsent_bytes:
            self._server.watch()
            self._relieve()

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._writable.wait()
        if self._transport.is_closing():
            # A write that failed cancels the request, but only in the next turn.
            await asyncio.sleep(0)

    async def _send_rest(self) -> None:
        """Wait until all responses are sent.

        A caller that reads nothing gets no further request handled.
        """
        if self._transport.get_write_buffer_size():
            self._transport.set_write_buffer_limits(high=0)
            await self._writable.wait()
            self._transport.set_write_buffer_limits(high=WRITE_AHEAD_BYTES)

    # ---- reading ----

    async def _run(self) -> None:
        try:
            # If a response has not said that the connection closes, the caller may
            # have sent the next request already.
            while await self._serve_request():
                self.idle, self.idle_since_s = True, boot_clock_s()
                self.holding.progress_s = self.idle_since_s
                await self._send_rest()
                await self._turn.step()
        except asyncio.CancelledError:
            pass
        finally:
            self.close()
            # It refers to the connection, which could not be freed at once.
            self._responder = None

    def close(self) -> None:
        """Close the connection; reset it if its end would complete a response."""
        if self._responder is not None and self._responder.ends_with_connection():
            self._reset_on_close()
        elif self._watches_peer and _TCP_USER_TIMEOUT is not None:
            # The kernel sends the rest, and gives up if it is not read.
            with contextlib.suppress(OSError):
                self._transport.get_extra_info("socket").setsockopt(
                    socket.IPPROTO_TCP, _TCP_USER_TIMEOUT, int(MAX_PAUSE_S * _MS_PER_S)
                )
        self._transport.close()

    def _reset_on_close(self) -> None:
        with contextlib.suppress(OSError):
            self._transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )

    async def _serve_request(self) -> bool:
        """Read and handle one request; return False if the connection has to close."""
        limits = self._server.limits()
        framing = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes + 1024
        )
        responder = self._responder = Responder(self, framing)
        # Head and body stay reserved until the response is sent.
        with self._server.body_budget.reserve() as reservation:
            self.holding.reservation = reservation
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
        self._note_unread()
        if self._caller_gone or self._transport.is_closing():
            return
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            return
        self._resume_reading()
        self._received.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._received.wait(), LINGER_S)

    async def _handle_request(
        self, incoming: IncomingRequest, responder: Responder
    ) -> None:
        self._handling = self.holding.is_handling = True
        self._server.active += 1
        self._progress.begin_response()
        self.pending_bytes = 0
        self._note_unread()
        self._server.watch()
        try:
            if self._caller_gone or self._transport.is_closing():
                # Do not start a request whose response cannot be sent.
                return
            await self._call_handler(incoming, responder)
        finally:
            self._server.active -= 1
            self._handling = self.holding.is_handling = False

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
