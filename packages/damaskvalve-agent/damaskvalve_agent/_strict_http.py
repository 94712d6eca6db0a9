"""A connection pool whose answers are complete in every line of their framing.

The standard library takes the end of a connection for the end of a head, of a chunk's
size and of the trailers, and a line that is no header for the end of the head.
"""

import http.client
import io
import socket

import urllib3
import urllib3.connection
from urllib3.util.response import assert_header_parsing


class _WholeLineReader(io.BufferedReader):
    """Raises :class:`http.client.RemoteDisconnected` for a line without its end.

    Reads no number of bytes that is not stated: a chunk of negative size has no end.
    """

    def read(self, size: int | None = -1, /) -> bytes:
        if size is None or size < 0:
            raise http.client.HTTPException("a size in the framing is negative")
        return super().read(size)

    def readline(self, size: int | None = -1, /) -> bytes:
        line = super().readline(size)
        is_limited = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not is_limited:
            raise http.client.RemoteDisconnected(
                f"the connection ended within a line of the framing: {line[:80]!r}"
            )
        return line


class _StrictResponse(http.client.HTTPResponse):
    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        # Nothing has been read from the reader that is replaced.
        self.fp = _WholeLineReader(self.fp.detach())

    def begin(self) -> None:
        super().begin()
        try:
            assert_header_parsing(self.msg)
        except urllib3.exceptions.HeaderParsingError as error:
            # The headers after the unreadable line would be lost.
            raise http.client.HTTPException(str(error)) from error


class _StrictConnection(urllib3.connection.HTTPConnection):
    response_class = _StrictResponse


class StrictConnectionPool(urllib3.HTTPConnectionPool):
    """Connections to one server; an answer that stops anywhere raises an error."""

    ConnectionCls = _StrictConnection
