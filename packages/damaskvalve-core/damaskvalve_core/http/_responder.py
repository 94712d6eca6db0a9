"""Writes the answer to one request: whole, in pieces, or visibly cut."""

from typing import Protocol

import h11

from damaskvalve_core.http._incoming import Headers


class AnswerConnection(Protocol):
    """What a responder needs of its caller's connection."""

    # Whether the connection ends after this answer.
    closing: bool

    def write(self, data: bytes) -> None:
        """Queue bytes for the caller."""

    async def drain(self) -> None:
        """Wait until the caller has taken in enough."""


class Responder:
    """Sends the answer to one request."""

    def __init__(self, connection: AnswerConnection, framing: h11.Connection) -> None:
        self._connection = connection
        self._framing = framing
        self.started = False
        self.finished = False

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        kept = [(name, value) for name, value in headers if name != b"content-length"]
        kept.append((b"content-length", str(len(body)).encode()))
        self._head(status, kept)
        self._write(self._framing.send(h11.Data(data=body)))
        await self.finish()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in pieces."""
        self._head(status, headers)
        await self._connection.drain()

    def _head(self, status: int, headers: Headers) -> None:
        self.started = True
        extra = [(b"connection", b"close")] if self._connection.closing else []
        head = h11.Response(status_code=status, headers=[*headers, *extra])
        self._write(self._framing.send(head))

    async def write(self, data: bytes) -> None:
        """Send a piece of the body; wait while the caller does not read."""
        self._write(self._framing.send(h11.Data(data=data)))
        await self._connection.drain()

    async def finish(self) -> None:
        """End the answer as complete."""
        self._write(self._framing.send(h11.EndOfMessage()))
        self.finished = True
        await self._connection.drain()

    def abort(self) -> None:
        """End the connection without the end of the answer."""
        self._connection.closing = True

    def _write(self, data: bytes | None) -> None:
        if data:
            self._connection.write(data)
