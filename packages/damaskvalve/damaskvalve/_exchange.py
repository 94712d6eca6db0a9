"""One request on its way through the filters, and the reply on its way back."""

import json
from collections.abc import Callable, Iterable, Mapping, Sequence

from damaskvalve._configuration import AdapterGrant, Route, Workspace
from damaskvalve_core import RefusedError

JSON = "application/json"
EVENT_STREAM = "text/event-stream"
IDEMPOTENCY_HEADER = "idempotency-key"


class Exchange:
    """What is known of one request; filters fill it in from top to bottom."""

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
        # Digest of the key that came with the request; the key itself is gone.
        self.presented_digest = ""
        # Digest of the key once it was found valid.
        self.key_digest = ""
        self.route: Route | None = None
        self.workspace: Workspace | None = None
        self.grant: AdapterGrant | None = None
        self.version = ""
        self.fingerprint = ""
        self.isolated = False
        self.cost_tokens = 0.0
        self.charged_at_s = 0.0
        # What the request turned out to use; None until it is known.
        self.used_tokens: float | None = None
        self.streamed = False
        self.backend_server = ""
        self.first_token_s: float | None = None

    def the_route(self) -> Route:
        """Return the route that the classify filter has set."""
        assert self.route is not None
        return self.route

    def workspace_name(self) -> str:
        """Return the workspace's name; empty on open routes."""
        return self.workspace.name if self.workspace else ""

    def path_kind(self) -> str:
        """Return the kind of the route; "none" before it is known."""
        return self.route.kind if self.route else "none"

    def adapter_key(self) -> str:
        """Return the name under which placement knows adapter and version."""
        return f"{self.grant.adapter}@{self.version}" if self.grant else ""


class Reply:
    """A status, headers, and a whole or streamed body."""

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


#: Handles the rest of the way.
Handler = Callable[[Exchange], Reply]
#: One filter: does its part and calls the next one.
Filter = Callable[[Exchange, Handler], Reply]


def compose(filters: Sequence[Filter], last: Handler) -> Handler:
    """Return the chain that passes an exchange through all filters in order."""
    chain = last
    for item in reversed(filters):
        chain = _bind(item, chain)
    return chain


def _bind(item: Filter, following: Handler) -> Handler:
    def step(exchange: Exchange) -> Reply:
        return item(exchange, following)

    return step


def error_body(error: RefusedError, request_id: str) -> bytes:
    """Return the JSON form of a refusal."""
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
    """Return the reply for a refusal, with Retry-After where it helps."""
    headers = [("X-Ran", error.ran)]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s + 0.499)))))
        headers.append(("Retry-After-Ms", str(int(error.retry_after_s * 1000) + 1)))
    return Reply(error.status, JSON, error_body(error, request_id), headers=headers)
