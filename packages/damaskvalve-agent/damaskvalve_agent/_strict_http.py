"""A connection pool whose answers are complete in every line of their framing.

The standard library takes the end of a connection for the end of a head, of a chunk's
size and of the trailers, a line that is no header for the end of the head, and any
number from 100 to 999 for the status of an answer.
"""

import http.client
import io
import socket

import urllib3
import urllib3.connection
from urllib3.util.response import assert_header_parsing

from damaskvalve_core import MIN_FINAL_STATUS, is_final_status

# Maximum size of the lines of an answer that are no part of its body, up to the next
# bytes that are: heads, the sizes of chunks, trailers.
MAX_FRAMING_BYTES = 64 * 1024
SWITCHING_PROTOCOLS = 101


class _WholeLineReader(io.BufferedReader):
    """Raises :class:`http.client.RemoteDisconnected` for a line without its end.

    Reads no number of bytes that is not stated: a chunk of negative size has no end.
    Lines without a part of a body between them are limited to ``MAX_FRAMING_BYTES``.
    """

    def __init__(self, raw: io.RawIOBase) -> None:
        super().__init__(raw)
        self._framing_bytes = 0

    def read(self, size: int | None = -1, /) -> bytes:
        if size is None or size < 0:
            raise http.client.HTTPException("a size in the framing is negative")
        self._framing_bytes = 0
        return super().read(size)

    def readline(self, size: int | None = -1, /) -> bytes:
        line = super().readline(size)
        is_limited = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not is_limited:
            raise http.client.RemoteDisconnected(
                f"the connection ended within a line of the framing: {line[:80]!r}"
            )
        self._framing_bytes += len(line)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise http.client.HTTPException(
                f"the framing exceeds {MAX_FRAMING_BYTES} bytes"
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

    def _read_status(self) -> tuple[str, int, str]:
        """Return the status line of the final answer; skip informational answers.

        The standard library skips those of status 100 only, and takes any other for
        the answer.
        """
        while True:
            version, status, reason = super()._read_status()  # type: ignore[misc]
            is_informational = 100 < status < MIN_FINAL_STATUS
            if not is_informational or status == SWITCHING_PROTOCOLS:
                return version, status, reason
            # The size of the framing is limited, and so is the number of answers.
            http.client.parse_headers(self.fp)

    def begin(self) -> None:
        super().begin()
        if not is_final_status(self.status):
            raise http.client.HTTPException(f"the status {self.status} is invalid")
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
