"""Removes the caller's API key from a request before further processing."""

from damaskvalve._configuration import key_digest
from damaskvalve._exchange import Exchange
from damaskvalve_core import RefusedError


def extract_key(exchange: Exchange) -> None:
    """Replace the key by its digest; refuse the request if it repeats the key.

    This runs before the request is recorded: a key in a path or a body must not
    reach a log, a time line or a backend server.
    """
    value = exchange.headers.pop("authorization", "")
    scheme, _, key = value.partition(" ")
    if not value:
        key = exchange.headers.pop("x-api-key", "")
    elif scheme.lower() != "bearer":
        key = ""
    key = key.strip()
    if not key:
        return
    if _contains_key(exchange, key):
        raise RefusedError(
            400, "key_in_request", "the key may appear only in the Authorization header"
        )
    exchange.presented_digest = key_digest(key)


def _contains_key(exchange: Exchange, key: str) -> bool:
    if key in exchange.path or key in exchange.query:
        return True
    if any(key in value for value in exchange.headers.values()):
        return True
    return key.encode() in exchange.body
