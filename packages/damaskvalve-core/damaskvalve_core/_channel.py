"""Framed messages over TCP between the system's processes.

Mutual TLS is the rule; a process without an identity speaks plain TCP, for
deployments whose network is trusted and whose settings can hold no secret.

A frame is a four byte length and one encoded message. A connection carries one
call at a time: the caller sends a request and reads replies until the one that
ends the call. Closing the connection cancels the call.
"""

import contextlib
import select
import socket
import ssl
import struct
import threading
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import logbook

from damaskvalve_core._codec import decode_message, encode_message
from damaskvalve_core._exceptions import (
    ChannelError,
    NotSentError,
    OperatorError,
    ProtocolError,
    ReceiveTimeoutError,
)
from damaskvalve_core._messages import Problem

MAX_FRAME_BYTES = 64 * 1024 * 1024
# A lost opening packet is sent again after a second; trying anew is quicker, and this
# is more than a round trip between regions.
CONNECT_TIMEOUT_S = 0.3
HANDSHAKE_TIMEOUT_S = 3.0
MAX_IDLE_CONNECTIONS = 64
# A peer that acknowledges nothing for this long is treated as gone; it is the
# shortest time-out that outlives a lost packet and its second transmission.
SILENT_PEER_MS = 2_500
_HEADER = struct.Struct(">I")
_READ_BYTES = 64 * 1024

_log = logbook.Logger("channel")

#: Answers one request; gets the connection to notice a caller that went away.
Handler = Callable[[Any, "Connection"], Iterable[Any]]


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of ``IP:port``."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def enable_keepalive(sock: socket.socket) -> None:
    """Make a connection fail by itself when its peer is silently gone."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (
        ("TCP_KEEPIDLE", 1),
        ("TCP_KEEPINTVL", 1),
        ("TCP_KEEPCNT", 2),
        ("TCP_USER_TIMEOUT", SILENT_PEER_MS),
    ):
        option = getattr(socket, name, None)
        if option is not None:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)


class Identity:
    """The files by which a process proves that it belongs to the system."""

    __slots__ = ("certificate_file", "key_file", "authority_file")

    def __init__(
        self, certificate_file: Path, key_file: Path, authority_file: Path
    ) -> None:
        self.certificate_file = certificate_file
        self.key_file = key_file
        self.authority_file = authority_file

    def context(self, *, server: bool) -> ssl.SSLContext:
        """Return a context that demands a certificate of the same authority."""
        purpose = ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT
        context = ssl.SSLContext(purpose)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(self.certificate_file, self.key_file)
        context.load_verify_locations(self.authority_file)
        return context


class Connection:
    """One authenticated connection that sends and receives whole messages."""

    def __init__(self, sock: socket.socket, peer: str) -> None:
        self._sock = sock
        self._buffer = bytearray()
        self.peer = peer

    def set_timeout(self, timeout_s: float | None) -> None:
        """Bound every following send and receive."""
        self._sock.settimeout(timeout_s)

    def send(self, message: Any) -> None:
        """Send one message; raise :class:`ChannelError` when that fails."""
        payload = encode_message(message)
        if len(payload) > MAX_FRAME_BYTES:
            raise ProtocolError(f"message of {len(payload)} bytes is too large")
        try:
            self._sock.sendall(_HEADER.pack(len(payload)) + payload)
        except (OSError, ValueError) as error:
            raise ChannelError(f"sending to {self.peer} failed: {error}") from error

    def receive(self) -> Any:
        """Return the next message; raise :class:`ChannelError` at the end.

        After a :class:`ReceiveTimeoutError` the call can be made again; nothing that
        has arrived is lost.
        """
        self._fill(_HEADER.size)
        (length,) = _HEADER.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise ProtocolError(f"frame of {length} bytes is too large")
        end = _HEADER.size + length
        self._fill(end)
        frame = bytes(self._buffer[_HEADER.size : end])
        del self._buffer[:end]
        return decode_message(frame)

    def _fill(self, count: int) -> None:
        while len(self._buffer) < count:
            try:
                data = self._sock.recv(_READ_BYTES)
            except TimeoutError as error:
                raise ReceiveTimeoutError(f"{self.peer} is silent") from error
            except (OSError, ValueError) as error:
                raise ChannelError(f"{self.peer}: {error}") from error
            if not data:
                raise ChannelError(f"{self.peer} closed the connection")
            self._buffer += data

    def peer_gone(self) -> bool:
        """Return whether the peer has closed or sent out of turn."""
        try:
            if isinstance(self._sock, ssl.SSLSocket) and self._sock.pending():
                return True
            readable, _, _ = select.select([self._sock], [], [], 0)
        except (OSError, ValueError):
            return True
        return bool(readable)

    def close(self) -> None:
        """Close the connection; closing twice is harmless."""
        with contextlib.suppress(OSError):
            self._sock.close()


class Dialer:
    """Keeps idle connections to peers and makes calls over them."""

    def __init__(self, identity: Identity | None, source_ip: str = "") -> None:
        self._context = identity.context(server=False) if identity else None
        self._source = (source_ip, 0) if source_ip else None
        self._lock = threading.Lock()
        self._idle: dict[str, list[Connection]] = {}
        self._closed = False

    def _connect(self, address: str, timeout_s: float) -> Connection:
        try:
            raw = socket.create_connection(
                split_address(address),
                min(timeout_s, CONNECT_TIMEOUT_S),
                self._source,
            )
            enable_keepalive(raw)
            raw.settimeout(min(timeout_s, HANDSHAKE_TIMEOUT_S))
            if self._context is not None:
                raw = self._context.wrap_socket(raw)
            return Connection(raw, address)
        except (OSError, ValueError) as error:
            raise NotSentError(f"cannot connect to {address}: {error}") from error

    def _take(self, address: str) -> Connection | None:
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                connection = idle.pop()
            if not connection.peer_gone():
                return connection
            connection.close()

    def _give_back(self, address: str, connection: Connection) -> None:
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if not self._closed and len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(connection)
                return
        connection.close()

    def call(self, address: str, request: Any, timeout_s: float) -> Any:
        """Send a request and return its single reply."""
        with self.open_call(address, request, timeout_s) as connection:
            reply = connection.receive()
        if isinstance(reply, Problem):
            raise ChannelError(f"{address}: {reply.message}")
        return reply

    @contextlib.contextmanager
    def open_call(
        self, address: str, request: Any, timeout_s: float
    ) -> Iterator[Connection]:
        """Send a request and yield its connection to read many replies.

        The connection is kept for the next call only if the body ends without
        an exception; the body must then have read the last reply.
        """
        connection = self._take(address) or self._connect(address, timeout_s)
        try:
            connection.set_timeout(timeout_s)
            connection.send(request)
            yield connection
        except BaseException:
            connection.close()
            raise
        self._give_back(address, connection)

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            self._closed = True
            connections = [item for idle in self._idle.values() for item in idle]
            self._idle.clear()
        for connection in connections:
            connection.close()


class _Listener:
    """Accepts connections and answers each in a thread of its own."""

    def __init__(
        self,
        address: str,
        identity: Identity | None,
        handler: Handler,
        max_connections: int,
    ) -> None:
        self._context = identity.context(server=True) if identity else None
        self._handler = handler
        self._slots = threading.BoundedSemaphore(max_connections)
        self._lock = threading.Lock()
        self._open: set[Connection] = set()
        self._stopping = False
        try:
            self._sock = socket.create_server(split_address(address), backlog=256)
        except OSError as error:
            raise OperatorError(f"cannot listen on {address}: {error}") from error
        self.address = "{}:{}".format(*self._sock.getsockname()[:2])

    def accept_forever(self) -> None:
        """Accept until the listener is closed."""
        while not self._stopping:
            try:
                raw, peer = self._sock.accept()
            except OSError:
                return
            if not self._slots.acquire(blocking=False):
                _log.warning("connection limit reached; refusing {}", peer[0])
                raw.close()
                continue
            threading.Thread(target=self._serve, args=(raw, peer), daemon=True).start()

    def _serve(self, raw: socket.socket, peer: tuple[str, int]) -> None:
        name = f"{peer[0]}:{peer[1]}"
        try:
            connection = self._handshake(raw, name)
            if connection is not None:
                self._answer_calls(connection)
        finally:
            self._slots.release()

    def _handshake(self, raw: socket.socket, name: str) -> Connection | None:
        try:
            raw.settimeout(HANDSHAKE_TIMEOUT_S)
            enable_keepalive(raw)
            wrapped = raw
            if self._context is not None:
                wrapped = self._context.wrap_socket(raw, server_side=True)
        except (OSError, ValueError) as error:
            _log.warning("{} failed to authenticate: {}", name, error)
            raw.close()
            return None
        wrapped.settimeout(None)
        return Connection(wrapped, name)

    def _answer_calls(self, connection: Connection) -> None:
        with self._lock:
            self._open.add(connection)
        try:
            while not self._stopping:
                request = connection.receive()
                self._answer(request, connection)
        except ProtocolError as error:
            _log.warning("{} sent garbage: {}", connection.peer, error)
        except ChannelError:
            _log.debug("{} went away", connection.peer)
        finally:
            with self._lock:
                self._open.discard(connection)
            connection.close()

    def _answer(self, request: Any, connection: Connection) -> None:
        try:
            for reply in self._handler(request, connection):
                connection.send(reply)
        except (ChannelError, ProtocolError):
            raise
        except Exception as error:
            _log.exception("handling {} failed", type(request).__name__)
            connection.send(Problem("internal", str(error)))

    def close(self) -> None:
        """Stop accepting and close every connection."""
        self._stopping = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            connection.close()


@contextlib.contextmanager
def listening(
    address: str,
    identity: Identity | None,
    handler: Handler,
    *,
    max_connections: int = 1024,
) -> Iterator[str]:
    """Serve calls in threads; yield the bound address; close at the end."""
    listener = _Listener(address, identity, handler, max_connections)
    thread = threading.Thread(target=listener.accept_forever, daemon=True)
    thread.start()
    try:
        yield listener.address
    finally:
        listener.close()


@contextlib.contextmanager
def dialing(identity: Identity | None, source_ip: str = "") -> Iterator[Dialer]:
    """Yield a dialer; its idle connections are closed at the end.

    It connects from ``source_ip``, or from whatever the system chooses.
    """
    dialer = Dialer(identity, source_ip)
    try:
        yield dialer
    finally:
        dialer.close()
