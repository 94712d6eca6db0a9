"""The outermost filter: turns refusals into replies and records every request."""

from collections.abc import Iterable, Iterator

import logbook

from damaskvalve._configuration import ONCE
from damaskvalve._exchange import (
    IDEMPOTENCY_HEADER,
    Exchange,
    Filter,
    Handler,
    Reply,
    error_reply,
)
from damaskvalve._metrics import Metrics
from damaskvalve_core import (
    UNKNOWN,
    DamaskvalveError,
    Recorder,
    RefusedError,
    boot_clock_s,
)

_log = logbook.Logger("request")


def may_have_run_earlier(exchange: Exchange) -> bool:
    """Return whether this may be a resend whose claim was not checked.

    The claim filter removes the Idempotency-Key header. A refusal before that filter
    cannot state that the caller's request has not run.
    """
    route = exchange.route
    is_once = route is not None and route.kind == ONCE
    return is_once and IDEMPOTENCY_HEADER in exchange.headers


def make_outer_filter(metrics: Metrics, record: Recorder) -> Filter:
    """Return the filter that turns refusals into replies and updates the metrics."""

    def finish(exchange: Exchange, status: int, code: str, ran: str) -> None:
        took_s = boot_clock_s() - exchange.received_at_s
        metrics.record_request(exchange.route_kind(), status, took_s)
        if code:
            metrics.record_refusal(code)
        if exchange.first_token_s is not None:
            metrics.record_first_token(exchange.first_token_s)
        record(
            "request-end",
            request=exchange.request_id,
            workspace=exchange.workspace_name() or None,
            backend_server=exchange.backend_server or None,
            status=status,
            code=code or None,
            ran=ran or None,
            took_s=round(took_s, 4),
        )

    def watch(exchange: Exchange, chunks: Iterable[bytes]) -> Iterator[bytes]:
        # Reported if the stream ends before its last chunk.
        status = 499
        try:
            yield from chunks
            status = 200
        finally:
            finish(exchange, status, "" if status == 200 else "stream_ended", "")

    def outer(exchange: Exchange, next_handler: Handler) -> Reply:
        record("request-start", request=exchange.request_id, path=exchange.path)
        try:
            reply = next_handler(exchange)
        except RefusedError as error:
            if error.status != 400 and may_have_run_earlier(exchange):
                error.ran = UNKNOWN
            finish(exchange, error.status, error.code, error.ran)
            return error_reply(error, exchange.request_id)
        except DamaskvalveError as error:
            _log.error("request {} failed: {}", exchange.request_id, error)
            refused = RefusedError(
                503, "unavailable", "the request cannot be served now", ran=UNKNOWN
            )
            finish(exchange, refused.status, refused.code, refused.ran)
            return error_reply(refused, exchange.request_id)
        if reply.chunks is not None:
            reply.chunks = watch(exchange, reply.chunks)
        else:
            finish(exchange, reply.status, "", "")
        return reply

    return outer
