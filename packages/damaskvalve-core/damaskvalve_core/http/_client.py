"""HTTP client for backend servers: one request at a time on each connection."""

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator

import h11

from damaskvalve_core import ChannelError, NotSentError, enable_keepalive, split_address
from damaskvalve_core._buffer_budget import FIELD_BYTES, BufferBudget
from damaskvalve_core._channel import CONNECT_TIMEOUT_S
from damaskvalve_core._reply_status import is_final_status
from damaskvalve_core._turn_limit import TurnLimit
from damaskvalve_core.http._bounded_reader import BoundedReader
from damaskvalve_core.http._request import Headers

# Maximum number of idle connections from one host to one backend server. A backend
# server accepts some hundreds of connections, and about ten hosts share them.
MAX_IDLE_CONNECTIONS = 16
# An idle connection to a backend server that announces no timeout is not reused after
# this time. Some backend servers drop idle connections early.
IDLE_TIMEOUT_S = 4.0
# The same limit for one that announces a longer timeout.
MAX_IDLE_TIMEOUT_S = 30.0
# Maximum number of informational replies before the final one; one or two are usual.
MAX_INFORMATIONAL = 8
MAX_HEAD_BYTES = 64 * 1024
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d{1,9})")


class BackendFailedError(ChannelError):
    """The connection closed or failed after the request was sent."""


class BackendTimeoutError(BackendFailedError):
    """No data arrived within the timeout on a connection that is still open."""


class ReplyHead:
    """The status and the headers of a reply."""

    __slots__ = ("status", "headers")

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        # Names are in lower case.
        self.headers = headers

    def header_value(self, name: bytes) -> bytes:
        """Return the first value of a header, or an empty one if it is absent."""
        return next((value for key, value in self.headers if key == name), b"")

    def memory_bytes(self) -> int:
        """Return about how much memory the head takes."""
        return sum(FIELD_BYTES + len(name) + len(value) for name, value in self.headers)

    def has_framing(self) -> bool:
        """Return whether the body has an end of its own before the connection's."""
        return bool(
            self.header_value(b"content-length")
            or self.header_value(b"transfer-encoding")
        )


class BackendConnection(BoundedReader):
    """One connection to one backend server."""

    def __init__(self, address: str) -> None:
        super().__init__()
        self.address = address
        self._framing = h11.Connection(h11.CLIENT)
        self._turn = TurnLimit()
        self._connection_error: Exception | None = None
        self._eof_received = False
        self._busy = False
        self._reusable = False
        self.usable_until_s = 0.0
        self.idle_since_s = 0.0
        # Number of requests that were sent on this connection.
        self.request_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        with contextlib.suppress(OSError):
            enable_keepalive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        if not self._busy:
            # Data without a request in progress: a duplicate or a late reply.
            self.close()
            return
        super().data_received(data)

    def eof_received(self) -> bool:
        self._eof_received = True
        self._received.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection_error = exc or ConnectionResetError(
            "the connection was closed"
        )
        if exc is None:
            self._eof_received = True
        self._received.set()

    def is_usable(self, now_s: float) -> bool:
        """Return whether the connection can be used for another request."""
        is_open = not self._eof_received and self._connection_error is None
        return is_open and self._reusable and now_s < self.usable_until_s

    def close(self) -> None:
        """Abort the connection, which cancels a request in progress."""
        self._reusable = False
        self._transport.abort()

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send one complete request."""
        self._framing = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._busy = True
        self._reusable = False
        self.request_count += 1
        request = h11.Request(method=method, target=target, headers=list(headers))
        data = self._framing.send(request) or b""
        if body:
            data += self._framing.send(h11.Data(data=body)) or b""
        data += self._framing.send(h11.EndOfMessage()) or b""
        self._transport.write(data)

    async def _next_event(self) -> h11.Event:
        # Before the event is taken: a task that is cancelled here loses none.
        await self._turn.step()
        while True:
            try:
                event = self._framing.next_event()
            except h11.RemoteProtocolError as error:
                raise BackendFailedError(f"{self.address}: {error}") from error
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.ConnectionClosed):
                    raise BackendFailedError(f"{self.address} closed the connection")
                return event  # type: ignore[return-value]
            if data := self._take_unread():
                self._framing.receive_data(data)
                continue
            if self._eof_received:
                self._framing.receive_data(b"")
                self._eof_received = False
                self._connection_error = self._connection_error or ConnectionResetError(
                    "the backend server closed the connection"
                )
                continue
            if self._connection_error is not None:
                raise BackendFailedError(f"{self.address}: {self._connection_error}")
            self._received.clear()
            await self._received.wait()
            self._turn.begin_turn()

    async def read_head(self) -> ReplyHead:
        """Return the head of the final reply; skip informational replies.

        Raise :class:`BackendFailedError` for a status that no final reply has.
        """
        for _ in range(MAX_INFORMATIONAL + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if not is_final_status(event.status_code):
                    raise BackendFailedError(
                        f"{self.address} sent the invalid status {event.status_code}"
                    )
                return ReplyHead(event.status_code, list(event.headers))
        raise BackendFailedError(
            f"{self.address} sent more than {MAX_INFORMATIONAL} informational replies"
        )

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes of the body, or None once the body is complete."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BackendFailedError(f"{self.address} sent an unexpected part of a message")

    def finish_reply(self, head: ReplyHead, now_s: float) -> None:
        """Mark the reply as completely read; close the connection unless reusable."""
        self._busy = False
        trailing, closed = self._framing.trailing_data
        sent_all = self._transport.get_write_buffer_size() == 0
        is_reusable = (
            not trailing
            and not closed
            and not self._unread
            and sent_all
            and self._framing.their_state is h11.DONE
            and not self._eof_received
        )
        match = _KEEP_ALIVE_TIMEOUT.search(head.header_value(b"keep-alive"))
        # Stop one second before the announced timeout, so that no request is sent while
        # the backend server closes the connection.
        idle_s = (
            min(MAX_IDLE_TIMEOUT_S, int(match.group(1)) - 1.0)
            if match
            else IDLE_TIMEOUT_S
        )
        self.idle_since_s = now_s
        self.usable_until_s = now_s + idle_s
        self._reusable = is_reusable and idle_s > 0
        if not self._reusable:
            self.close()


class BackendPool:
    """Pool of idle connections to backend servers, by instance."""

    def __init__(self, source_ip: str = "") -> None:
        self._source_address = (source_ip, 0) if source_ip else None
        self._idle: dict[str, list[BackendConnection]] = {}
        self._dropped_s = 0.0
        self.opened_count = 0
        # The shared memory limit of all replies that are not complete yet.
        self.reply_budget = BufferBudget()

    async def acquire(
        self, instance_id: str, address: str, now_s: float, max_idle_s: float
    ) -> BackendConnection:
        """Return a connection that was idle for at most ``max_idle_s``, or a new one.

        Raises :class:`NotSentError` if no connection can be made.
        """
        idle = self._idle.setdefault(instance_id, [])
        while idle:
            connection = idle.pop()
            if now_s - connection.idle_since_s > max_idle_s:
                # The pool is last in, first out: the others have been idle for longer.
                idle.append(connection)
                break
            if connection.is_usable(now_s):
                return connection
            connection.close()
        return await self.connect(address)

    async def connect(self, address: str) -> BackendConnection:
        """Return a new connection; raise :class:`NotSentError` if none can be made."""
        loop = asyncio.get_running_loop()
        try:
            ip, port = split_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, new_connection = await loop.create_connection(
                    lambda: BackendConnection(address),
                    ip,
                    port,
                    local_addr=self._source_address,
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise NotSentError(f"cannot connect to {address}: {error}") from error
        self.opened_count += 1
        return new_connection

    def release(
        self, instance_id: str, connection: BackendConnection, now_s: float
    ) -> None:
        """Return a connection to the pool, or close it if it is not usable."""
        if now_s - self._dropped_s >= IDLE_TIMEOUT_S:
            self._drop_unusable(now_s)
        idle = self._idle.setdefault(instance_id, [])
        if connection.is_usable(now_s) and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            connection.close()

    def _drop_unusable(self, now_s: float) -> None:
        """Close the idle connections that will not be used again.

        Those to an instance that has ended are never asked for.
        """
        self._dropped_s = now_s
        for instance_id, idle in list(self._idle.items()):
            kept = [item for item in idle if item.is_usable(now_s)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            idle[:] = kept
            if not kept:
                del self._idle[instance_id]

    def close_idle(self, instance_id: str) -> None:
        """Close the idle connections to an instance."""
        for connection in self._idle.pop(instance_id, ()):
            connection.close()

    def close_all_idle(self) -> None:
        """Close all idle connections, for instance after the host was suspended."""
        for instance_id in list(self._idle):
            self.close_idle(instance_id)


@contextlib.asynccontextmanager
async def open_backend_pool(source_ip: str = "") -> AsyncIterator[BackendPool]:
    """Yield a pool; close its idle connections at the end."""
    pool = BackendPool(source_ip)
    try:
        yield pool
    finally:
        pool.close_all_idle()
