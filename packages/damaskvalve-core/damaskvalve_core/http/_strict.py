"""Checks of a request's head that the parser leaves out.

What two readers could take in different ways may hide one request inside another.
"""

import re

import h11

from damaskvalve_core import RefusedError

_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
# A field name is followed by its colon at once, and no line goes on in the next one.
_FIELD = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:")

_ONCE = (b"host:", b"content-length:", b"transfer-encoding:")


def has_bare_line_feed(data: bytes | bytearray) -> bool:
    """Return whether a line of the head ends without a carriage return."""
    return bool(_BARE_LINE_FEED.search(data.partition(b"\r\n\r\n")[0]))


def check_fields(head: bytes) -> None:
    """Refuse header lines that other readers take in another way."""
    names = []
    for line in head[:-4].split(b"\r\n")[1:]:
        match = _FIELD.match(line)
        if match is None:
            raise RefusedError(400, "bad_header", "a header line has no name and colon")
        names.append(match.group().lower())
    for name in _ONCE:
        if names.count(name) > 1:
            raise RefusedError(400, "repeated_header", "a header came twice")


def check_framing(request: h11.Request) -> None:
    """Refuse what two readers could frame in different ways."""
    names = [name for name, _ in request.headers]
    codings = [value for name, value in request.headers if name == b"transfer-encoding"]
    if codings and b"content-length" in names:
        raise RefusedError(400, "ambiguous_length", "the body has two lengths")
    if codings and codings[0].lower() != b"chunked":
        raise RefusedError(400, "unknown_coding", "the only coding is chunked")
    for name, value in request.headers:
        if name == b"content-length" and not value.isdigit():
            raise RefusedError(400, "bad_length", "the length is not a number")
