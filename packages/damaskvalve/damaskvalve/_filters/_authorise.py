"""Filters that find the route, authenticate the caller and authorise the adapter."""

import json
from collections.abc import Callable
from typing import Any

from damaskvalve._configuration import OPEN, AdapterGrant
from damaskvalve._exchange import Exchange, Filter, Handler, Reply
from damaskvalve._view import ConfigurationView
from damaskvalve_core import RefusedError, boot_clock_s

#: Returns the grant for a workspace and an adapter, or None if there is none.
AdapterLookup = Callable[[str, str], AdapterGrant | None]

LEASE_RETRY_S = 1.0


def require_lease(view: ConfigurationView) -> None:
    """Refuse unless the configuration is leased."""
    if not view.is_leased(boot_clock_s()):
        raise RefusedError(
            503,
            "configuration_not_leased",
            "this host's configuration lease has expired; the key cannot be checked",
            retry_after_s=LEASE_RETRY_S,
        )


def make_classify_filter(view: ConfigurationView) -> Filter:
    """Return the filter that finds the route and sets the deadline."""

    def classify(exchange: Exchange, next_handler: Handler) -> Reply:
        route = view.route(exchange.path)
        if route is None:
            raise RefusedError(404, "no_route", "no route matches this path")
        if route.backend_kind == "engine" and exchange.method != "POST":
            raise RefusedError(405, "method", "this route accepts POST only")
        exchange.route = route
        exchange.deadline_s = exchange.received_at_s + route.deadline_s
        return next_handler(exchange)

    return classify


def make_authenticate_filter(view: ConfigurationView) -> Filter:
    """Return the filter that derives the workspace from the API key alone."""

    def authenticate(exchange: Exchange, next_handler: Handler) -> Reply:
        if exchange.require_route().kind == OPEN:
            return next_handler(exchange)
        digest = exchange.presented_digest
        if not digest:
            raise RefusedError(401, "no_key", "a key is needed")
        require_lease(view)
        grant = view.key(digest)
        workspace = view.workspace(grant.workspace) if grant else None
        if workspace is None:
            raise RefusedError(401, "unknown_key", "the key is not valid")
        exchange.key_digest = digest
        exchange.workspace = workspace
        return next_handler(exchange)

    return authenticate


def _decode_body(exchange: Exchange) -> dict[str, Any]:
    try:
        payload = json.loads(exchange.body)
    except (ValueError, RecursionError) as error:
        raise RefusedError(400, "bad_json", "the body is not valid JSON") from error
    if not isinstance(payload, dict):
        raise RefusedError(400, "bad_request", "the body must be a JSON object")
    return payload


def _check_payload(payload: dict[str, Any]) -> None:
    if payload.get("n") not in (None, 1):
        raise RefusedError(400, "bad_request", "n must be 1")
    if payload.get("stream") not in (None, True, False):
        raise RefusedError(400, "bad_request", "stream must be true or false")
    has_prompt = isinstance(payload.get("prompt"), str)
    messages = payload.get("messages")
    has_messages = isinstance(messages, list) and bool(messages)
    if not (has_prompt or has_messages):
        raise RefusedError(400, "bad_request", "a prompt text or messages are required")
    if has_messages and not all(_is_message(item) for item in messages or ()):
        raise RefusedError(
            400, "bad_request", "every message must have a text as its content"
        )


def _is_message(item: Any) -> bool:
    return isinstance(item, dict) and isinstance(item.get("content"), str)


def _max_tokens(payload: dict[str, Any], default: int) -> int:
    value = payload.get("max_completion_tokens", payload.get("max_tokens", default))
    if value is None:
        value = default
    if isinstance(value, bool) or not isinstance(value, int) or not 1 <= value <= 10**6:
        raise RefusedError(
            400, "bad_request", "max_tokens must be an integer from 1 to 1000000"
        )
    return value


def _prompt_tokens(payload: dict[str, Any]) -> int:
    """Estimate the prompt's tokens at four bytes per token."""
    texts = [payload.get("prompt") or ""]
    texts.extend(item["content"] for item in payload.get("messages") or ())
    return sum(len(text.encode("utf-8", "replace")) for text in texts) // 4 + 1


def make_adapter_filter(lookup: AdapterLookup, default_max_tokens: int) -> Filter:
    """Return the filter that authorises adapter and version and sets the cost."""

    def authorise(exchange: Exchange, next_handler: Handler) -> Reply:
        route = exchange.require_route()
        if route.backend_kind == "service":
            exchange.cost_tokens = route.cost_tokens
            return next_handler(exchange)
        payload = _decode_body(exchange)
        _check_payload(payload)
        max_tokens = _max_tokens(payload, default_max_tokens)
        _find_adapter(exchange, payload)
        payload["max_tokens"] = max_tokens
        exchange.streamed = bool(payload.get("stream"))
        exchange.body = json.dumps(payload).encode()
        exchange.cost_tokens = float(_prompt_tokens(payload) + max_tokens)
        return next_handler(exchange)

    def _find_adapter(exchange: Exchange, payload: dict[str, Any]) -> None:
        name = payload.get("model")
        if not isinstance(name, str) or not name:
            raise RefusedError(400, "bad_request", "model must name an adapter")
        adapter, _, version = name.partition(":")
        if exchange.workspace is None:
            raise RefusedError(403, "no_workspace", "open routes have no adapters")
        grant = lookup(exchange.workspace.name, adapter)
        if grant is None:
            raise RefusedError(
                404, "unknown_adapter", "the workspace has no such adapter"
            )
        if version and version not in grant.versions:
            raise RefusedError(
                404, "unknown_version", "the adapter has no such version"
            )
        exchange.grant = grant
        exchange.version = version or grant.current

    return authorise
