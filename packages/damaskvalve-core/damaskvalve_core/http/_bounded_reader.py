"""Receives bytes from a socket; stops reading while too many of them are unread.

A parser has no bound of its own on what it is given. It therefore gets bytes only once
it has used up the earlier ones, and a few at a time. Whatever waits between the socket
and the handling of a message is then bounded by the sizes below.
"""

import asyncio
import threading

# Maximum number of bytes of one read from the socket.
READ_BYTES = 64 * 1024
# Number of unread bytes at which reading from the socket stops.
READ_AHEAD_BYTES = 16 * 1024
# Maximum number of bytes that a parser gets at a time.
PARSE_BYTES = 64 * 1024

_shared = threading.local()


def _read_buffer() -> memoryview:
    """Return the buffer that all connections of this thread's event loop read into.

    The event loop delivers the bytes of one read before it begins the next one.
    """
    if not hasattr(_shared, "read_buffer"):
        _shared.read_buffer = memoryview(bytearray(READ_BYTES))
    buffer: memoryview = _shared.read_buffer
    return buffer


class BoundedReader(asyncio.BufferedProtocol):
    """The receiving side of one connection."""

    _max_ahead_bytes = READ_AHEAD_BYTES

    def __init__(self) -> None:
        self._unread = bytearray()
        self._received = asyncio.Event()
        self._reading_paused = False
        self._transport: asyncio.Transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return _read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_read_buffer()[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Keep the bytes of one read from the socket."""
        self._unread += data
        self._received.set()
        if len(self._unread) > self._max_ahead_bytes and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def _take_unread(self, max_bytes: int = PARSE_BYTES) -> bytes:
        """Return the next bytes for the parser; empty if all have been taken."""
        data = bytes(self._unread[:max_bytes])
        del self._unread[:max_bytes]
        if len(self._unread) <= self._max_ahead_bytes:
            self._resume_reading()
        return data

    def _resume_reading(self) -> None:
        """Read from the socket again, if reading is paused."""
        if self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()
