"""Framed messages over TCP between the processes of the system.

Connections use mutual TLS. A process without an identity uses plain TCP, for
deployments whose network is trusted and whose settings cannot hold secrets.

A frame is a four-byte length and one encoded message. A connection carries one call
at a time: the client sends a request and reads replies until the last one of the
call. Closing the connection cancels the call.
"""

import contextlib
import select
import socket
import ssl
import struct
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import logbook

from damaskvalve_core._boot_clock import boot_clock_s
from damaskvalve_core._buffer_budget import (
    BufferBudget,
    BufferBudgetExceededError,
    BufferReservation,
)
from damaskvalve_core._codec import decode_message, encode_message
from damaskvalve_core._exceptions import (
    ChannelError,
    EncodingError,
    NotSentError,
    ProtocolError,
    ReceiveTimeoutError,
)
from damaskvalve_core._listen import open_listener
from damaskvalve_core._messages import Problem

MAX_FRAME_BYTES = 64 * 1024 * 1024
# Maximum size of all unfinished frames of a listener or of a dialer together: one of
# the largest size, and others beside it.
MAX_UNFINISHED_BYTES = MAX_FRAME_BYTES + 16 * 1024 * 1024
# Maximum time from the first byte of a frame to its last one.
FRAME_TIMEOUT_S = 30.0
# TCP retransmits a lost SYN only after one second. The timeout is shorter, because a
# new attempt is faster than the retransmission. It is longer than a round trip between
# regions.
CONNECT_TIMEOUT_S = 0.3
HANDSHAKE_TIMEOUT_S = 3.0
# Pause after a connection could not be accepted.
ACCEPT_RETRY_S = 0.2
# Maximum number of idle connections that are kept per address.
MAX_IDLE_CONNECTIONS = 64
# A connection fails once sent data has not been acknowledged for this long. It is the
# shortest timeout that allows for a lost packet and a second transmission of it.
PEER_TIMEOUT_MS = 2_500
_HEADER = struct.Struct(">I")
_READ_BYTES = 64 * 1024

_log = logbook.Logger("channel")

#: Yields the replies to one request. The connection is passed in so that the handler
#: can detect that the client has disconnected.
Handler = Callable[[Any, "Connection"], Iterable[Any]]


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of ``IP:port``."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def enable_keepalive(sock: socket.socket, *, limits_pauses: bool = True) -> None:
    """Make the connection fail if its peer disappears without closing it.

    Unless ``limits_pauses`` is false, it also fails if the peer reads nothing for
    ``PEER_TIMEOUT_MS``. Also disable Nagle's algorithm.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    # Seconds before the first probe, seconds between probes, number of probes.
    options = {"TCP_KEEPIDLE": 1, "TCP_KEEPINTVL": 1, "TCP_KEEPCNT": 2}
    if limits_pauses:
        options["TCP_USER_TIMEOUT"] = PEER_TIMEOUT_MS
    for name, value in options.items():
        option = getattr(socket, name, None)
        if option is not None:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)


class Identity:
    """The files of a process's certificate, private key and certificate authority."""

    __slots__ = ("certificate_file", "key_file", "authority_file")

    def __init__(
        self, certificate_file: Path, key_file: Path, authority_file: Path
    ) -> None:
        self.certificate_file = certificate_file
        self.key_file = key_file
        self.authority_file = authority_file

    def ssl_context(self, *, server: bool) -> ssl.SSLContext:
        """Return a TLS context that accepts only peers of the same authority."""
        purpose = ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT
        context = ssl.SSLContext(purpose)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Any peer with a certificate of the authority is accepted, whatever its name.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(self.certificate_file, self.key_file)
        context.load_verify_locations(self.authority_file)
        return context


class Connection:
    """One connection that sends and receives whole messages."""

    def __init__(self, sock: socket.socket, peer: str, budget: BufferBudget) -> None:
        self._sock = sock
        self._timeout_s = sock.gettimeout()
        self._buffer = bytearray()
        self._reservation = BufferReservation(budget)
        # When the frame whose beginning has arrived must be complete.
        self._frame_deadline_s: float | None = None
        self.peer = peer

    def set_timeout(self, timeout_s: float | None) -> None:
        """Set the timeout of all later sends and receives."""
        self._timeout_s = timeout_s
        self._sock.settimeout(timeout_s)

    def send(self, message: Any) -> None:
        """Send one message.

        Raise :class:`ChannelError` if the connection fails, and
        :class:`ProtocolError` if the message is too large or a value does not fit.
        """
        payload = encode_message(message)
        if len(payload) > MAX_FRAME_BYTES:
            raise ProtocolError(
                f"message of {len(payload)} bytes exceeds the frame size limit"
            )
        try:
            self._sock.sendall(_HEADER.pack(len(payload)) + payload)
        except (OSError, ValueError) as error:
            raise ChannelError(f"sending to {self.peer} failed: {error}") from error

    def receive(self) -> Any:
        """Return the next message.

        Raise :class:`ChannelError` if the connection fails or is closed, or if a frame
        is not complete in time or too large beside others, and :class:`ProtocolError`
        for an invalid message.

        After a :class:`ReceiveTimeoutError`, ``receive`` can be called again: data that
        has already arrived is kept.
        """
        self._fill_buffer(_HEADER.size)
        (length,) = _HEADER.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise ProtocolError(f"frame of {length} bytes exceeds the frame size limit")
        end = _HEADER.size + length
        self._fill_buffer(end)
        with memoryview(self._buffer) as view:
            frame = bytes(view[_HEADER.size : end])
        del self._buffer[:end]
        self._end_frame()
        return decode_message(frame)

    def _fill_buffer(self, size_bytes: int) -> None:
        while len(self._buffer) < size_bytes:
            if self._buffer and self._frame_deadline_s is None:
                self._frame_deadline_s = boot_clock_s() + FRAME_TIMEOUT_S
            self._buffer += self._receive_bytes()
            try:
                self._reservation.resize(len(self._buffer))
            except BufferBudgetExceededError as error:
                _log.warning("closing the connection of {}: {}", self.peer, error)
                raise ChannelError(
                    f"receiving from {self.peer} failed: {error}"
                ) from error

    def _receive_bytes(self) -> bytes:
        try:
            self._limit_read_time()
            data = self._sock.recv(_READ_BYTES)
        except TimeoutError as error:
            self._check_frame_time()
            raise ReceiveTimeoutError(
                f"no data from {self.peer} within the timeout"
            ) from error
        except (OSError, ValueError) as error:
            raise ChannelError(f"receiving from {self.peer} failed: {error}") from error
        if not data:
            raise ChannelError(f"{self.peer} closed the connection")
        return data

    def _limit_read_time(self) -> None:
        """Let the next read end when the frame that has begun must be complete."""
        left_s = self._check_frame_time()
        if left_s is not None:
            if self._timeout_s is not None:
                left_s = min(left_s, self._timeout_s)
            self._sock.settimeout(left_s)

    def _check_frame_time(self) -> float | None:
        """Return the time left for the frame that has begun; raise if it is over."""
        if self._frame_deadline_s is None:
            return None
        left_s = self._frame_deadline_s - boot_clock_s()
        if left_s <= 0:
            _log.warning("frame timeout; closing the connection of {}", self.peer)
            raise ChannelError(
                f"a frame of {self.peer} was not complete within {FRAME_TIMEOUT_S} s"
            )
        return left_s

    def _end_frame(self) -> None:
        if self._frame_deadline_s is not None:
            self._frame_deadline_s = None
            self.set_timeout(self._timeout_s)
        self._reservation.resize(len(self._buffer))

    def peer_gone(self) -> bool:
        """Return whether the peer has closed the connection or sent unexpected data."""
        try:
            if isinstance(self._sock, ssl.SSLSocket) and self._sock.pending():
                return True
            readable, _, _ = select.select([self._sock], [], [], 0)
        except (OSError, ValueError):
            return True
        return bool(readable)

    def close(self) -> None:
        """Close the connection; closing it again has no effect."""
        with contextlib.suppress(OSError):
            self._sock.close()
        self._reservation.resize(0)


class Dialer:
    """Calls peers over pooled connections."""

    def __init__(self, identity: Identity | None, source_ip: str = "") -> None:
        self._context = identity.ssl_context(server=False) if identity else None
        self._source_address = (source_ip, 0) if source_ip else None
        self._lock = threading.Lock()
        self._idle: dict[str, list[Connection]] = {}
        self._frame_budget = BufferBudget(MAX_UNFINISHED_BYTES)
        self._closed = False

    def _connect(self, address: str, timeout_s: float) -> Connection:
        try:
            raw = socket.create_connection(
                split_address(address),
                min(timeout_s, CONNECT_TIMEOUT_S),
                self._source_address,
            )
            enable_keepalive(raw)
            raw.settimeout(min(timeout_s, HANDSHAKE_TIMEOUT_S))
            if self._context is not None:
                raw = self._context.wrap_socket(raw)
            return Connection(raw, address, self._frame_budget)
        except (OSError, ValueError, OverflowError) as error:
            raise NotSentError(f"cannot connect to {address}: {error}") from error

    def _take_idle(self, address: str) -> Connection | None:
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                connection = idle.pop()
            if not connection.peer_gone():
                return connection
            connection.close()

    def _return_idle(self, address: str, connection: Connection) -> None:
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if not self._closed and len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(connection)
                return
        connection.close()

    def call(self, address: str, request: Any, timeout_s: float) -> Any:
        """Send a request and return its single reply.

        ``timeout_s`` limits each step (connecting, sending, each read), not the whole
        call.
        """
        with self.open_call(address, request, timeout_s) as connection:
            reply = connection.receive()
        if isinstance(reply, Problem):
            raise ChannelError(f"{address} replied with an error: {reply.message}")
        return reply

    @contextlib.contextmanager
    def open_call(
        self, address: str, request: Any, timeout_s: float
    ) -> Iterator[Connection]:
        """Send a request and yield its connection, to read several replies.

        If the context ends without an exception, the connection is kept for the next
        call; the last reply must have been read by then. ``timeout_s`` limits each
        step, as in :meth:`call`.
        """
        connection = self._take_idle(address) or self._connect(address, timeout_s)
        try:
            connection.set_timeout(timeout_s)
            connection.send(request)
            yield connection
        except BaseException:
            connection.close()
            raise
        self._return_idle(address, connection)

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            self._closed = True
            connections = [item for idle in self._idle.values() for item in idle]
            self._idle.clear()
        for connection in connections:
            connection.close()


class _Listener:
    """Accepts connections and serves each of them in its own thread."""

    def __init__(
        self,
        address: str,
        identity: Identity | None,
        handler: Handler,
        max_connections: int,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._context = identity.ssl_context(server=True) if identity else None
        self._handler = handler
        self._connection_slots = threading.BoundedSemaphore(max_connections)
        self._lock = threading.Lock()
        self._open_connections: set[Connection] = set()
        self._frame_budget = BufferBudget(MAX_UNFINISHED_BYTES)
        self._stopping = False
        self._sock = open_listener(
            lambda: socket.create_server(split_address(address), backlog=256),
            address,
            is_stopping,
        )
        self.address = "{}:{}".format(*self._sock.getsockname()[:2])

    def accept_forever(self) -> None:
        """Accept connections until the listener is closed."""
        while not self._stopping:
            try:
                raw, peer = self._sock.accept()
            except OSError as error:
                if self._stopping:
                    return
                # The process may have no descriptor left, or the peer has given up.
                _log.warning("cannot accept a connection: {}", error)
                time.sleep(ACCEPT_RETRY_S)
                continue
            if not self._connection_slots.acquire(blocking=False):
                _log.warning(
                    "connection limit reached; closing a new connection from {}",
                    peer[0],
                )
                raw.close()
                continue
            self._start_serving(raw, peer)

    def _start_serving(self, raw: socket.socket, peer: tuple[str, int]) -> None:
        thread = threading.Thread(target=self._serve, args=(raw, peer), daemon=True)
        try:
            thread.start()
        except RuntimeError as error:
            _log.warning("closing a new connection from {}: {}", peer[0], error)
            self._connection_slots.release()
            raw.close()

    def _serve(self, raw: socket.socket, peer: tuple[str, int]) -> None:
        peer_name = f"{peer[0]}:{peer[1]}"
        try:
            connection = self._handshake(raw, peer_name)
            if connection is not None:
                self._handle_requests(connection)
        finally:
            self._connection_slots.release()

    def _handshake(self, raw: socket.socket, peer_name: str) -> Connection | None:
        try:
            raw.settimeout(HANDSHAKE_TIMEOUT_S)
            enable_keepalive(raw)
            wrapped = raw
            if self._context is not None:
                wrapped = self._context.wrap_socket(raw, server_side=True)
        except (OSError, ValueError) as error:
            _log.warning(
                "handshake with {} failed, closing the connection: {}", peer_name, error
            )
            raw.close()
            return None
        wrapped.settimeout(None)
        return Connection(wrapped, peer_name, self._frame_budget)

    def _handle_requests(self, connection: Connection) -> None:
        with self._lock:
            self._open_connections.add(connection)
        try:
            while not self._stopping:
                request = connection.receive()
                self._handle_request(request, connection)
        except ProtocolError as error:
            _log.warning(
                "invalid message from {}, closing the connection: {}",
                connection.peer,
                error,
            )
        except ChannelError:
            _log.debug("{} disconnected", connection.peer)
        finally:
            with self._lock:
                self._open_connections.discard(connection)
            connection.close()

    def _handle_request(self, request: Any, connection: Connection) -> None:
        try:
            for reply in self._handler(request, connection):
                connection.send(reply)
        except Exception as error:
            is_own = isinstance(error, EncodingError)
            if isinstance(error, (ChannelError, ProtocolError)) and not is_own:
                raise
            _log.exception(
                "handling of {} failed; replying with an internal error",
                type(request).__name__,
            )
            connection.send(Problem("internal", str(error)))

    def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self._stopping = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        with self._lock:
            connections = list(self._open_connections)
        for connection in connections:
            connection.close()


@contextlib.contextmanager
def listening(
    address: str,
    identity: Identity | None,
    handler: Handler,
    *,
    max_connections: int = 1024,
    is_stopping: Callable[[], bool] = lambda: False,
) -> Iterator[str]:
    """Serve calls in threads and yield the bound address; close at the end.

    Raise :class:`StartEndedError` if the process is told to stop while the address is
    in use.
    """
    listener = _Listener(address, identity, handler, max_connections, is_stopping)
    thread = threading.Thread(target=listener.accept_forever, daemon=True)
    thread.start()
    try:
        yield listener.address
    finally:
        listener.close()


@contextlib.contextmanager
def dialing(identity: Identity | None, source_ip: str = "") -> Iterator[Dialer]:
    """Yield a dialer; close its idle connections at the end.

    The dialer connects from ``source_ip``, or from an address that the operating
    system chooses.
    """
    dialer = Dialer(identity, source_ip)
    try:
        yield dialer
    finally:
        dialer.close()
