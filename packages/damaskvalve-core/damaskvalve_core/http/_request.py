"""A request that was read completely, and the limits for reading it."""

from collections.abc import Sequence

Headers = Sequence[tuple[bytes, bytes]]


class ServerLimits:
    """Limits on what a caller may send; evaluated for each request."""

    __slots__ = ("header_bytes", "body_bytes", "header_timeout_s", "idle_timeout_s")

    def __init__(
        self,
        header_bytes: int,
        body_bytes: int,
        header_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


class IncomingRequest:
    """One request that was read completely."""

    __slots__ = ("method", "target", "headers", "body", "peer")

    def __init__(
        self, method: str, target: str, headers: Headers, body: bytes, peer: str
    ) -> None:
        self.method = method
        self.target = target
        # Names are in lower case.
        self.headers = headers
        self.body = body
        self.peer = peer
