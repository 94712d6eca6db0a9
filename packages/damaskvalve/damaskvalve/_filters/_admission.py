"""Filters for quarantined requests and for the limits of workspaces."""

import hashlib
import threading
from collections.abc import Iterable, Iterator

from damaskvalve._credit_client import CreditClient
from damaskvalve._exchange import Exchange, Filter, Handler, Reply
from damaskvalve._view import ConfigurationView
from damaskvalve_core import NOT_RUN, RefusedError


def request_fingerprint(exchange: Exchange) -> str:
    """Return a digest that is equal for requests of the same content."""
    digest = hashlib.sha256()
    for part in (
        exchange.workspace_name(),
        exchange.adapter_key(),
        exchange.method,
        exchange.path,
    ):
        digest.update(part.encode("utf-8", "replace"))
        digest.update(b"\0")
    digest.update(exchange.body)
    return digest.hexdigest()[:32]


def make_quarantine_filter(view: ConfigurationView) -> Filter:
    """Return the filter that refuses quarantined requests and isolates suspects."""

    def quarantine(exchange: Exchange, next_handler: Handler) -> Reply:
        exchange.fingerprint = request_fingerprint(exchange)
        suspect = view.suspect(exchange.fingerprint)
        if suspect is not None and suspect.quarantined:
            raise RefusedError(
                422, "quarantined", "this request has crashed several backend servers"
            )
        exchange.isolated = suspect is not None
        return next_handler(exchange)

    return quarantine


class _ConcurrencyLimiter:
    """Limits each workspace's concurrent requests at this entry host."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._running: dict[str, int] = {}

    def enter(self, workspace: str, max_running: int) -> bool:
        with self._lock:
            running = self._running.get(workspace, 0)
            if running >= max_running:
                return False
            self._running[workspace] = running + 1
            return True

    def leave(self, workspace: str) -> None:
        with self._lock:
            self._running[workspace] -= 1


def make_limit_filter(credit_client: CreditClient) -> Filter:
    """Return the filter that limits the requests of workspaces and charges tokens.

    Tokens that a request was charged but did not use are refunded.
    """
    limiter = _ConcurrencyLimiter()

    def settle(exchange: Exchange) -> None:
        workspace = exchange.workspace_name()
        limiter.leave(workspace)
        if exchange.used_tokens is not None and exchange.charged_at_s:
            unused = exchange.cost_tokens - exchange.used_tokens
            credit_client.refund(workspace, unused, exchange.charged_at_s)

    def settle_after_stream(
        exchange: Exchange, chunks: Iterable[bytes]
    ) -> Iterator[bytes]:
        try:
            yield from chunks
        finally:
            settle(exchange)

    def limit(exchange: Exchange, next_handler: Handler) -> Reply:
        workspace = exchange.workspace
        if workspace is None:
            return next_handler(exchange)
        if exchange.cost_tokens > workspace.burst_tokens:
            raise RefusedError(
                400, "over_burst", "the request costs more than the workspace's burst"
            )
        if not limiter.enter(workspace.name, workspace.max_concurrent):
            raise RefusedError(
                429,
                "too_many_requests",
                "the workspace has too many requests running at this host",
                retry_after_s=0.5,
            )
        is_streaming = False
        try:
            if exchange.cost_tokens > 0:
                exchange.charged_at_s = credit_client.charge(
                    workspace.name, exchange.cost_tokens, workspace.burst_tokens
                )
            reply = next_handler(exchange)
            if reply.chunks is not None:
                reply.chunks = settle_after_stream(exchange, reply.chunks)
                is_streaming = True
            return reply
        except RefusedError as error:
            if error.ran == NOT_RUN:
                exchange.used_tokens = 0.0
            raise
        finally:
            if not is_streaming:
                settle(exchange)

    return limit
