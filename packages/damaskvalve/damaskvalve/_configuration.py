"""Typed rows of the configuration, validated on construction."""

import hashlib
import json
import re
from collections.abc import Mapping, Sequence
from typing import Any

from damaskvalve_core import Finding, SettingsError

WORKSPACE = "workspace"
KEY = "key"
ADAPTER = "adapter"
ROUTE = "route"
DRAIN = "drain"
OPERATOR = "operator"
EVACUATION = "evacuation"
TABLES = (WORKSPACE, KEY, ADAPTER, ROUTE, DRAIN, OPERATOR, EVACUATION)

REPEATABLE = "repeatable"
ONCE = "once"
DEFERRED = "deferred"
OPEN = "open"
ROUTE_KINDS = (REPEATABLE, ONCE, DEFERRED, OPEN)

TOKENS = "tokens"
DELIVERED_REQUESTS = "delivered_requests"
SERVICE_UNITS = (TOKENS, DELIVERED_REQUESTS)

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


def key_digest(key: str) -> str:
    """Return the digest of an API key; only the digest is stored."""
    return hashlib.sha256(key.encode("utf-8")).hexdigest()


def _number(
    value: Mapping[str, Any], field: str, minimum: float, maximum: float
) -> float:
    found = value.get(field)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise ValueError(f"{field} must be a number")
    if not minimum <= found <= maximum:
        raise ValueError(f"{field} must lie between {minimum} and {maximum}")
    return float(found)


def _text(value: Mapping[str, Any], field: str) -> str:
    found = value.get(field)
    if not isinstance(found, str) or not found:
        raise ValueError(f"{field} must be a non-empty text")
    return found


def _choice(value: Mapping[str, Any], field: str, choices: Sequence[str]) -> str:
    found = _text(value, field)
    if found not in choices:
        listed = ", ".join(choices)
        raise ValueError(f"{field} must be one of {listed}")
    return found


def check_name(name: str) -> str:
    """Return the name if it is valid, or raise ValueError."""
    if not _NAME.fullmatch(name):
        raise ValueError(f"{name!r} is not a name of letters, digits, '.', '_', '-'")
    return name


class Workspace:
    """A workspace's share, rate, burst and limits."""

    __slots__ = (
        "name",
        "share",
        "rate_tokens_per_s",
        "burst_tokens",
        "service_unit",
        "max_concurrent",
        "max_jobs",
    )

    def __init__(self, name: str, value: Mapping[str, Any]) -> None:
        self.name = check_name(name)
        self.share = _number(value, "share", 1e-6, 1e6)
        self.rate_tokens_per_s = _number(value, "rate_tokens_per_s", 0.001, 1e9)
        self.burst_tokens = _number(value, "burst_tokens", 1, 1e12)
        self.service_unit = _choice(value, "service_unit", SERVICE_UNITS)
        self.max_concurrent = int(_number(value, "max_concurrent", 1, 100_000))
        self.max_jobs = int(_number(value, "max_jobs", 0, 1_000_000))


class KeyGrant:
    """The workspace that an API key, identified by its digest, belongs to."""

    __slots__ = ("digest", "workspace", "label")

    def __init__(self, digest: str, value: Mapping[str, Any]) -> None:
        if not re.fullmatch(r"[0-9a-f]{64}", digest):
            raise ValueError("the name of a key row must be a SHA-256 digest")
        self.digest = digest
        self.workspace = check_name(_text(value, "workspace"))
        self.label = _text(value, "label")


class AdapterGrant:
    """The adapter versions that a workspace may use."""

    __slots__ = ("workspace", "adapter", "model", "versions", "current")

    def __init__(self, name: str, value: Mapping[str, Any]) -> None:
        workspace, separator, adapter = name.partition("/")
        if not separator:
            raise ValueError("an adapter row must be named workspace/adapter")
        self.workspace = check_name(workspace)
        self.adapter = check_name(adapter)
        self.model = _text(value, "model")
        versions = value.get("versions")
        if not isinstance(versions, list) or not versions:
            raise ValueError("versions must be a non-empty list")
        self.versions = tuple(check_name(str(version)) for version in versions)
        self.current = _choice(value, "current", self.versions)


class Route:
    """How requests under a path are handled, and which backend servers serve them."""

    __slots__ = (
        "path",
        "kind",
        "backend_kind",
        "serves",
        "cost_tokens",
        "weight",
        "deadline_s",
    )

    def __init__(self, path: str, value: Mapping[str, Any]) -> None:
        if not path.startswith("/") or len(path) < 2:
            raise ValueError(
                "a route row must be named by a path such as /services/desk"
            )
        self.path = path
        self.kind = _choice(value, "kind", ROUTE_KINDS)
        self.backend_kind = _choice(value, "backend_kind", ("engine", "service"))
        self.serves = str(value.get("serves", ""))
        if self.backend_kind == "service" and not self.serves:
            raise ValueError("serves must name the service of a service route")
        self.cost_tokens = _number(value, "cost_tokens", 0, 1e9)
        self.weight = _number(value, "weight", 0.001, 1e6)
        self.deadline_s = _number(value, "deadline_s", 0.05, 86_400)


class Drain:
    """A backend server that receives no new work."""

    __slots__ = ("backend_server", "reason")

    def __init__(self, backend_server: str, value: Mapping[str, Any]) -> None:
        self.backend_server = check_name(backend_server)
        self.reason = _text(value, "reason")


class Evacuation:
    """A data centre whose backend servers receive no new work."""

    __slots__ = ("data_centre", "ordered_by", "since_s")

    def __init__(self, data_centre: str, value: Mapping[str, Any]) -> None:
        if not data_centre or not data_centre.isprintable():
            raise ValueError(f"{data_centre!r} is not the name of a data centre")
        self.data_centre = data_centre
        self.ordered_by = _text(value, "ordered_by")
        # Wall time of the order.
        self.since_s = _number(value, "since_s", 0, 1e12)


class Operator:
    """An operator's key, identified by its digest, and its role."""

    __slots__ = ("digest", "name", "role")

    def __init__(self, digest: str, value: Mapping[str, Any]) -> None:
        if not re.fullmatch(r"[0-9a-f]{64}", digest):
            raise ValueError("the name of an operator row must be a SHA-256 digest")
        self.digest = digest
        self.name = _text(value, "name")
        self.role = _choice(value, "role", ("read", "change"))


_ROW_TYPES: Mapping[str, Any] = {
    WORKSPACE: Workspace,
    KEY: KeyGrant,
    ADAPTER: AdapterGrant,
    ROUTE: Route,
    DRAIN: Drain,
    OPERATOR: Operator,
    EVACUATION: Evacuation,
}

DEFAULT_ROUTES = tuple(
    Route(
        path,
        {
            "kind": REPEATABLE,
            "backend_kind": "engine",
            "cost_tokens": 0,
            "weight": 1,
            "deadline_s": 30,
        },
    )
    for path in ("/v1/completions", "/v1/chat/completions")
)


def parse_row(table: str, key: str, value: str) -> Any:
    """Return the typed row, or raise a ValueError that names the problem."""
    row_type = _ROW_TYPES.get(table)
    if row_type is None:
        listed = ", ".join(TABLES)
        raise ValueError(f"unknown table {table!r}; tables are {listed}")
    decoded = json.loads(value)
    if not isinstance(decoded, dict):
        raise ValueError("the value must be a table")
    return row_type(key, decoded)


def encode_value(value: Mapping[str, Any]) -> str:
    """Return a row's value as canonical JSON."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)


def check_rows(rows: Sequence[tuple[str, str, str | None]], location: str) -> None:
    """Check every row of a change; raise one error with all findings.

    A value of None deletes the row, so that only its table is checked.
    """
    findings = []
    for table, key, value in rows:
        try:
            if table not in _ROW_TYPES:
                parse_row(table, key, "{}")
            if value is not None:
                parse_row(table, key, value)
        except ValueError as error:
            findings.append(Finding(f"{location}:{table}/{key}", str(error)))
    if findings:
        raise SettingsError(findings)
