"""A request and its reply on their way through the filter chain."""

import json
from collections.abc import Callable, Iterable, Mapping, Sequence

from damaskvalve._configuration import AdapterGrant, Route, Workspace
from damaskvalve_core import RefusedError

JSON = "application/json"
EVENT_STREAM = "text/event-stream"
IDEMPOTENCY_HEADER = "idempotency-key"


class Exchange:
    """One request; the filters set the attributes that start without a value."""

    __slots__ = (
        "request_id",
        "method",
        "path",
        "query",
        "headers",
        "body",
        "received_at_s",
        "deadline_s",
        "presented_digest",
        "key_digest",
        "route",
        "workspace",
        "grant",
        "version",
        "fingerprint",
        "isolated",
        "cost_tokens",
        "charged_at_s",
        "used_tokens",
        "streamed",
        "backend_server",
        "first_token_s",
    )

    def __init__(
        self,
        request_id: str,
        method: str,
        path: str,
        query: str,
        headers: Mapping[str, str],
        body: bytes,
        received_at_s: float,
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.path = path
        self.query = query
        self.headers = dict(headers)
        self.body = body
        self.received_at_s = received_at_s
        self.deadline_s = float("inf")
        # Digest of the API key in the request; the key itself is not kept.
        self.presented_digest = ""
        # Digest of the API key after its validation.
        self.key_digest = ""
        self.route: Route | None = None
        self.workspace: Workspace | None = None
        # None for requests without an adapter.
        self.grant: AdapterGrant | None = None
        self.version = ""
        self.fingerprint = ""
        self.isolated = False
        self.cost_tokens = 0.0
        self.charged_at_s = 0.0
        # Tokens that the request used; None until this is known.
        self.used_tokens: float | None = None
        self.streamed = False
        self.backend_server = ""
        self.first_token_s: float | None = None

    def require_route(self) -> Route:
        """Return the route, which the classify filter has set."""
        assert self.route is not None
        return self.route

    def workspace_name(self) -> str:
        """Return the workspace's name; empty on open routes."""
        return self.workspace.name if self.workspace else ""

    def route_kind(self) -> str:
        """Return the kind of the route; "none" before classification."""
        return self.route.kind if self.route else "none"

    def adapter_key(self) -> str:
        """Return the key of adapter and version for placement; empty if none is set."""
        return f"{self.grant.adapter}@{self.version}" if self.grant else ""


class Reply:
    """A status, headers, and a body that is complete or streamed."""

    __slots__ = ("status", "headers", "body", "chunks")

    def __init__(
        self,
        status: int,
        content_type: str,
        body: bytes = b"",
        *,
        chunks: Iterable[bytes] | None = None,
        headers: Sequence[tuple[str, str]] = (),
    ) -> None:
        self.status = status
        self.headers = [("Content-Type", content_type), *headers]
        self.body = body
        self.chunks = chunks


#: Handles an exchange: the rest of the filter chain and its endpoint.
Handler = Callable[[Exchange], Reply]
#: Processes an exchange and calls the next handler, or refuses the exchange.
Filter = Callable[[Exchange, Handler], Reply]


def compose(filters: Sequence[Filter], endpoint: Handler) -> Handler:
    """Return a handler that applies all filters in order before the endpoint."""
    chain = endpoint
    for item in reversed(filters):
        chain = _bind_filter(item, chain)
    return chain


def _bind_filter(item: Filter, next_handler: Handler) -> Handler:
    def step(exchange: Exchange) -> Reply:
        return item(exchange, next_handler)

    return step


def error_body(error: RefusedError, request_id: str) -> bytes:
    """Return the JSON body for a refusal."""
    document = {
        "error": {
            "code": error.code,
            "message": str(error),
            "ran": error.ran,
            "request_id": request_id,
        }
    }
    return json.dumps(document).encode()


def error_reply(error: RefusedError, request_id: str) -> Reply:
    """Return the reply for a refusal, with Retry-After if a retry may succeed."""
    headers = [("X-Ran", error.ran)]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s + 0.499)))))
        headers.append(("Retry-After-Ms", str(int(error.retry_after_s * 1000) + 1)))
    return Reply(error.status, JSON, error_body(error, request_id), headers=headers)
