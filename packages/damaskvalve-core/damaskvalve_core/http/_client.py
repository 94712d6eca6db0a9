"""Connections to backend servers: one request at a time, nothing trusted for long."""

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator

import h11

from damaskvalve_core import ChannelError, NotSentError, enable_keepalive, split_address
from damaskvalve_core._channel import CONNECT_TIMEOUT_S
from damaskvalve_core.http._buffer_budget import BufferBudget
from damaskvalve_core.http._incoming import Headers

# Idle connections kept for one backend server by one host; the bound on all callers
# together is some hundreds, and about ten hosts share it.
MAX_IDLE = 16
# An idle connection is not used again after this long, unless the backend server
# names a shorter time; replicas are known to drop idle connections early.
IDLE_S = 4.0
READ_AHEAD_BYTES = 256 * 1024
# Informational replies before the final one: one or two are usual.
MAX_INFORMATIONAL = 8
MAX_HEAD_BYTES = 64 * 1024
_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")


class BackendFailedError(ChannelError):
    """The connection ended or went wrong after the request was sent."""


class BackendTimeoutError(BackendFailedError):
    """Nothing came for too long on a connection that is still there."""


class ReplyHead:
    """The status and the headers of a reply."""

    __slots__ = ("status", "headers")

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        # Names in lower case.
        self.headers = headers

    def value(self, name: bytes) -> bytes:
        """Return the first value of a header, empty if it is absent."""
        return next((value for key, value in self.headers if key == name), b"")


class BackendConnection(asyncio.Protocol):
    """One connection to one backend server."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._framing = h11.Connection(h11.CLIENT)
        self._arrived = asyncio.Event()
        self._pending = bytearray()
        self._lost: Exception | None = None
        self._eof = False
        self._busy = False
        self._paused = False
        self._reusable = False
        self.usable_until_s = 0.0
        self.idle_since_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        with contextlib.suppress(OSError):
            enable_keepalive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        if not self._busy:
            # Bytes that belong to no request: an extra or a late answer.
            self.close()
            return
        self._pending += data
        self._arrived.set()
        if len(self._pending) > READ_AHEAD_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        self._eof = True
        self._arrived.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost = exc or ConnectionResetError("the connection was closed")
        if exc is None:
            self._eof = True
        self._arrived.set()

    def is_usable(self, now_s: float) -> bool:
        """Return whether another request may go over this connection."""
        open_still = not self._eof and self._lost is None
        return open_still and self._reusable and now_s < self.usable_until_s

    def close(self) -> None:
        """End the connection, which cancels a request that is being served."""
        self._reusable = False
        self._transport.abort()

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send one whole request."""
        self._framing = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._busy = True
        self._reusable = False
        request = h11.Request(method=method, target=target, headers=list(headers))
        data = self._framing.send(request) or b""
        if body:
            data += self._framing.send(h11.Data(data=body)) or b""
        data += self._framing.send(h11.EndOfMessage()) or b""
        self._transport.write(data)

    async def _event(self) -> h11.Event:
        while True:
            if self._pending:
                self._framing.receive_data(bytes(self._pending))
                self._pending.clear()
                if self._paused:
                    self._paused = False
                    self._transport.resume_reading()
            try:
                event = self._framing.next_event()
            except h11.RemoteProtocolError as error:
                raise BackendFailedError(f"{self.address}: {error}") from error
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.ConnectionClosed):
                    raise BackendFailedError(f"{self.address} closed the connection")
                return event  # type: ignore[return-value]
            if self._eof and not self._pending:
                self._framing.receive_data(b"")
                self._eof = False
                self._lost = self._lost or ConnectionResetError("end of data")
                continue
            if self._lost is not None and not self._pending:
                raise BackendFailedError(f"{self.address}: {self._lost}")
            self._arrived.clear()
            await self._arrived.wait()

    async def read_head(self) -> ReplyHead:
        """Return the head of the reply; informational replies are passed over."""
        for _ in range(MAX_INFORMATIONAL + 1):
            event = await self._event()
            if isinstance(event, h11.Response):
                return ReplyHead(event.status_code, list(event.headers))
        raise BackendFailedError(
            f"{self.address} sent more than {MAX_INFORMATIONAL} informational replies"
        )

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes of the body, None at its complete end."""
        event = await self._event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BackendFailedError(f"{self.address} sent something out of turn")

    def finish_reply(self, head: ReplyHead, now_s: float) -> None:
        """Note that the reply was read whole; decide whether to keep the connection."""
        self._busy = False
        trailing, closed = self._framing.trailing_data
        sent_all = self._transport.get_write_buffer_size() == 0
        keeps = (
            not trailing
            and not closed
            and not self._pending
            and sent_all
            and self._framing.their_state is h11.DONE
            and not self._eof
        )
        match = _TIMEOUT.search(head.value(b"keep-alive"))
        # A second before the named time-out, so that requests and the end do not cross.
        idle_s = min(IDLE_S, int(match.group(1)) - 1.0) if match else IDLE_S
        self.idle_since_s = now_s
        self.usable_until_s = now_s + idle_s
        self._reusable = keeps and idle_s > 0
        if not self._reusable:
            self.close()


class BackendPool:
    """Idle connections to backend servers, by instance."""

    def __init__(self, source_ip: str = "") -> None:
        self._source = (source_ip, 0) if source_ip else None
        self._idle: dict[str, list[BackendConnection]] = {}
        self.opened = 0
        # What replies that are not complete yet may hold, all of them together.
        self.reply_budget = BufferBudget()

    async def acquire(
        self, instance_id: str, address: str, now_s: float, max_idle_s: float
    ) -> BackendConnection:
        """Return a connection that was idle for at most ``max_idle_s``, or a new one.

        Raises :class:`NotSentError` if none can be made.
        """
        idle = self._idle.setdefault(instance_id, [])
        while idle:
            connection = idle.pop()
            if now_s - connection.idle_since_s > max_idle_s:
                # The last one in is the freshest, so none of the others will do.
                idle.append(connection)
                break
            if connection.is_usable(now_s):
                return connection
            connection.close()
        ip, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            _, made = await asyncio.wait_for(
                loop.create_connection(
                    lambda: BackendConnection(address),
                    ip,
                    port,
                    local_addr=self._source,
                ),
                CONNECT_TIMEOUT_S,
            )
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"cannot connect to {address}: {error}") from error
        self.opened += 1
        return made

    def release(
        self, instance_id: str, connection: BackendConnection, now_s: float
    ) -> None:
        """Keep a connection for the next request, or close it."""
        idle = self._idle.setdefault(instance_id, [])
        if connection.is_usable(now_s) and len(idle) < MAX_IDLE:
            idle.append(connection)
        else:
            connection.close()

    def close_idle(self, instance_id: str) -> None:
        """Close what is kept for an instance that is gone."""
        for connection in self._idle.pop(instance_id, ()):
            connection.close()

    def close_all_idle(self) -> None:
        """Close every idle connection, after the host was suspended."""
        for instance_id in list(self._idle):
            self.close_idle(instance_id)


@contextlib.asynccontextmanager
async def open_backend_pool(source_ip: str = "") -> AsyncIterator[BackendPool]:
    """Yield a pool whose connections are closed at the end."""
    pool = BackendPool(source_ip)
    try:
        yield pool
    finally:
        pool.close_all_idle()
