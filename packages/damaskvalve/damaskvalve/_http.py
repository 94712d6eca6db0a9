"""The HTTP API for callers: a WSGI application that runs on cheroot."""

import json
import uuid
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import logbook

from damaskvalve._admin import ADMIN_PATH, AdminApi
from damaskvalve._api_key import extract_key
from damaskvalve._exchange import (
    IDEMPOTENCY_HEADER,
    JSON,
    Exchange,
    Handler,
    Reply,
    error_reply,
)
from damaskvalve._filters._authorise import require_lease
from damaskvalve._jobs import JOBS_PATH, JobApi
from damaskvalve._metrics import Metrics
from damaskvalve._settings import EntrySettings
from damaskvalve._subscription import Subscription
from damaskvalve._view import ConfigurationView
from damaskvalve_core import NOT_RUN, UNKNOWN, PlannedStop, RefusedError, boot_clock_s
from damaskvalve_core.messages import ReadRequest

REQUEST_ID_HEADER = "X-Request-Id"
# The key of the request id in the environment, if the server has set it.
REQUEST_ID_KEY = "damaskvalve.request_id"
_READ_BYTES = 64 * 1024

_REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

_log = logbook.Logger("http")


def new_request_id() -> str:
    """Return a unique request id."""
    return uuid.uuid4().hex


class Application:
    """Routes requests by path to the filter chain or to the other endpoints."""

    def __init__(
        self,
        settings: EntrySettings,
        view: ConfigurationView,
        subscription: Subscription,
        chain: Handler,
        jobs: JobApi,
        admin: AdminApi,
        metrics: Metrics,
        stop: PlannedStop,
    ) -> None:
        self._settings = settings
        self._view = view
        self._subscription = subscription
        self._chain = chain
        self._jobs = jobs
        self._admin = admin
        self._metrics = metrics
        self._stop = stop

    def __call__(
        self, environ: Mapping[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one WSGI request."""
        request_id = environ.get(REQUEST_ID_KEY) or new_request_id()
        try:
            exchange = self._make_exchange(environ, request_id)
            extract_key(exchange)
            reply = self._answer(exchange)
        except RefusedError as error:
            reply = error_reply(error, request_id)
        except Exception:
            _log.exception(
                "request {} failed; answering 503, outcome unknown", request_id
            )
            refused = RefusedError(503, "internal", "an internal error", ran=UNKNOWN)
            reply = error_reply(refused, request_id)
        return self._send(reply, request_id, start_response)

    def _send(
        self, reply: Reply, request_id: str, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        reason = _REASON_PHRASES.get(reply.status, "Status")
        headers = [*reply.headers, (REQUEST_ID_HEADER, request_id)]
        if self._stop.requested.is_set():
            headers.append(("Connection", "close"))
        if reply.chunks is None:
            headers.append(("Content-Length", str(len(reply.body))))
            start_response(f"{reply.status} {reason}", headers)
            return [reply.body]
        start_response(f"{reply.status} {reason}", headers)
        return reply.chunks

    # ---- reading the request ----

    def _make_exchange(self, environ: Mapping[str, Any], request_id: str) -> Exchange:
        received_at_s = boot_clock_s()
        body = self._read_body(environ, received_at_s)
        headers = {
            name[5:].replace("_", "-").lower(): str(value)
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        if environ.get("CONTENT_TYPE"):
            headers["content-type"] = str(environ["CONTENT_TYPE"])
        return Exchange(
            request_id,
            str(environ["REQUEST_METHOD"]),
            str(environ["PATH_INFO"]),
            str(environ.get("QUERY_STRING") or ""),
            headers,
            body,
            received_at_s,
        )

    def _read_body(self, environ: Mapping[str, Any], started_at_s: float) -> bytes:
        max_bytes = self._settings.max_body_bytes
        length = environ.get("CONTENT_LENGTH")
        if not length:
            if environ.get("HTTP_TRANSFER_ENCODING"):
                raise RefusedError(
                    411, "length_required", "a Content-Length is required"
                )
            return b""
        if not str(length).isdigit():
            raise RefusedError(
                400, "bad_length", "the Content-Length must consist of digits"
            )
        remaining_bytes = int(length)
        if remaining_bytes > max_bytes:
            raise RefusedError(
                413, "body_too_large", f"the body exceeds {max_bytes} bytes"
            )
        parts = []
        deadline_s = started_at_s + self._settings.caller_timeout_s
        while remaining_bytes > 0:
            try:
                part = self._read_part(environ, min(remaining_bytes, _READ_BYTES))
            except RefusedError:
                self._refuse_if_ending("HTTP_IDEMPOTENCY_KEY" in environ)
                raise
            if boot_clock_s() > deadline_s:
                raise RefusedError(
                    408, "caller_too_slow", "the body was not read in time"
                )
            parts.append(part)
            remaining_bytes -= len(part)
        return b"".join(parts)

    @staticmethod
    def _read_part(environ: Mapping[str, Any], size: int) -> bytes:
        try:
            part: bytes = environ["wsgi.input"].read(size)
        except OSError as error:
            raise RefusedError(
                408, "caller_too_slow", "reading the body failed"
            ) from error
        if not part:
            raise RefusedError(
                400, "body_cut_short", "the body is shorter than Content-Length"
            )
        return part

    # ---- answering ----

    def _answer(self, exchange: Exchange) -> Reply:
        path = exchange.path
        if path == "/health":
            return Reply(200, JSON, b'{"status": "alive"}')
        if path == "/ready":
            return self._check_readiness()
        if path == "/metrics":
            return Reply(200, "text/plain; version=0.0.4", self._metrics.render())
        self._refuse_if_ending(IDEMPOTENCY_HEADER in exchange.headers)
        if path == "/v1/models":
            return self._list_models(exchange)
        if path.startswith(JOBS_PATH):
            return self._handle_job(exchange)
        if path.startswith(ADMIN_PATH):
            return self._admin.answer(exchange)
        return self._chain(exchange)

    def _refuse_if_ending(self, may_be_resend: bool) -> None:
        """Refuse a request that is not started yet as the process ends the others.

        An earlier send of the same request may have run.
        """
        if boot_clock_s() < self._stop.end_s():
            return
        self._metrics.record_refusal("stopping")
        raise RefusedError(
            503,
            "stopping",
            "this host stops and starts no more requests",
            ran=UNKNOWN if may_be_resend else NOT_RUN,
            retry_after_s=1.0,
        )

    def _check_readiness(self) -> Reply:
        is_stopping = self._stop.requested.is_set()
        if is_stopping or not self._view.is_leased(boot_clock_s()):
            raise RefusedError(
                503, "not_ready", "this host is not ready to serve", retry_after_s=1.0
            )
        return Reply(200, JSON, b'{"status": "ready"}')

    def _authenticate(self, exchange: Exchange) -> str:
        if not exchange.presented_digest:
            raise RefusedError(401, "no_key", "a key is needed")
        require_lease(self._view)
        grant = self._view.key(exchange.presented_digest)
        if grant is None:
            raise RefusedError(401, "unknown_key", "the key is not valid")
        return grant.workspace

    def _list_models(self, exchange: Exchange) -> Reply:
        workspace = self._authenticate(exchange)
        reply = self._subscription.read(ReadRequest("adapters", workspace))
        models = []
        for row in reply.rows:
            adapter = row.key.partition("/")[2]
            for version in json.loads(row.value)["versions"]:
                name = f"{adapter}:{version}"
                models.append({"id": name, "object": "model", "owned_by": workspace})
        document = {"object": "list", "data": models}
        return Reply(200, JSON, json.dumps(document).encode())

    def _handle_job(self, exchange: Exchange) -> Reply:
        workspace = self._authenticate(exchange)
        job_id = exchange.path[len(JOBS_PATH) :]
        if exchange.method == "GET":
            return self._jobs.fetch(workspace, job_id)
        if exchange.method == "DELETE":
            return self._jobs.drop(workspace, job_id)
        raise RefusedError(405, "method", "jobs support only GET and DELETE")
