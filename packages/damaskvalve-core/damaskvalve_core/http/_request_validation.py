"""Checks of a request head beyond those of the parser, against request smuggling.

A head that two parsers read differently may hide one request inside another.
"""

import re

import h11

from damaskvalve_core import RefusedError

_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
# A field name and its colon. A folded line or a space before the colon does not match.
_FIELD_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:")

_UNIQUE_FIELDS = (b"host:", b"content-length:", b"transfer-encoding:")


def has_bare_line_feed(data: bytes | bytearray) -> bool:
    """Return whether a line of the head ends without a carriage return."""
    return bool(_BARE_LINE_FEED.search(data.partition(b"\r\n\r\n")[0]))


def check_header_lines(head: bytes) -> None:
    """Refuse header lines that other parsers may read differently."""
    names = []
    # The last four bytes end the head; the first line is the request line.
    for line in head[:-4].split(b"\r\n")[1:]:
        match = _FIELD_NAME.match(line)
        if match is None:
            raise RefusedError(
                400,
                "bad_header",
                "a header line does not start with a name and a colon",
            )
        names.append(match.group().lower())
    for name in _UNIQUE_FIELDS:
        if names.count(name) > 1:
            raise RefusedError(
                400,
                "repeated_header",
                "Host, Content-Length or Transfer-Encoding is repeated",
            )


def check_framing(request: h11.Request) -> None:
    """Refuse framing headers that other parsers may read differently."""
    names = [name for name, _ in request.headers]
    codings = [value for name, value in request.headers if name == b"transfer-encoding"]
    if codings and b"content-length" in names:
        raise RefusedError(
            400, "ambiguous_length", "both Transfer-Encoding and Content-Length are set"
        )
    if codings and codings[0].lower() != b"chunked":
        raise RefusedError(
            400, "unknown_coding", "the only supported transfer coding is chunked"
        )
    for name, value in request.headers:
        if name == b"content-length" and not value.isdigit():
            raise RefusedError(400, "bad_length", "the Content-Length is not a number")
