"""Sends the response to one request: at once, streamed, or aborted visibly."""

from typing import Protocol

import h11

from damaskvalve_core.http._request import Headers

# A body is passed to the connection in pieces of this size, so that a slow caller does
# not keep a second copy of it in memory.
WRITE_BYTES = 64 * 1024


class ResponseConnection(Protocol):
    """The part of a caller's connection that a responder uses."""

    # Whether the connection is to be closed after this response or its abort.
    closing: bool
    # Bytes of a response that are held, but not written yet.
    pending_bytes: int

    def write(self, data: bytes) -> None:
        """Queue bytes to send to the caller."""

    async def drain(self) -> None:
        """Wait until the write buffer has room."""


class Responder:
    """Sends the response to one request."""

    def __init__(self, connection: ResponseConnection, framing: h11.Connection) -> None:
        self._connection = connection
        self._framing = framing
        # Whether the request is one whose response has no body, whatever its head says.
        self.omits_body = False
        self.started = False
        self.finished = False

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        response_headers = [
            (name, value) for name, value in headers if name != b"content-length"
        ]
        response_headers.append((b"content-length", str(len(body)).encode()))
        self._send_head(status, response_headers)
        if not self.omits_body:
            for start in range(0, len(body), WRITE_BYTES):
                end = min(start + WRITE_BYTES, len(body))
                self._connection.pending_bytes = len(body) - end
                await self.write(body[start:end])
        await self.finish()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed response."""
        self._send_head(status, headers)
        await self._connection.drain()

    def _send_head(self, status: int, headers: Headers) -> None:
        self.started = True
        extra = [(b"connection", b"close")] if self._connection.closing else []
        head = h11.Response(status_code=status, headers=[*headers, *extra])
        self._write(self._framing.send(head))

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body; wait while the write buffer is full."""
        self._write(self._framing.send(h11.Data(data=data)))
        await self._connection.drain()

    async def finish(self) -> None:
        """Mark the response as complete."""
        self._write(self._framing.send(h11.EndOfMessage()))
        self.finished = True
        await self._connection.drain()

    def close_connection(self) -> None:
        """Have the connection closed after the response, which says so."""
        self._connection.closing = True

    def abort(self) -> None:
        """Have the connection closed without the end of the response.

        The caller can thus tell that the response is incomplete.
        """
        self._connection.closing = True

    def ends_with_connection(self) -> bool:
        """Return whether an orderly close would complete the unfinished response."""
        is_open = self.started and not self.finished
        return is_open and self._framing.their_http_version == b"1.0"

    def _write(self, data: bytes | None) -> None:
        if data:
            self._connection.write(data)
