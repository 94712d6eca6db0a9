"""Typed rows of the configuration, checked when they are made."""

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
TABLES = (WORKSPACE, KEY, ADAPTER, ROUTE, DRAIN, OPERATOR)

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
    """Return the only form in which a caller's key is kept."""
    return hashlib.sha256(key.encode("utf-8")).hexdigest()


def _number(value: Mapping[str, Any], field: str, least: float, most: float) -> float:
    found = value.get(field)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise ValueError(f"{field} must be a number")
    if not least <= found <= most:
        raise ValueError(f"{field} must lie between {least} and {most}")
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
    """Return a valid name, or raise ValueError."""
    if not _NAME.fullmatch(name):
        raise ValueError(f"{name!r} is not a name of letters, digits, '.', '_', '-'")
    return name


class Workspace:
    """One workspace's share, rate and burst."""

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
    """Which workspace a key, known by its digest, speaks for."""

    __slots__ = ("digest", "workspace", "label")

    def __init__(self, digest: str, value: Mapping[str, Any]) -> None:
        if not re.fullmatch(r"[0-9a-f]{64}", digest):
            raise ValueError("a key row is named by its SHA-256 digest")
        self.digest = digest
        self.workspace = check_name(_text(value, "workspace"))
        self.label = _text(value, "label")


class AdapterGrant:
    """The versions of an adapter that a workspace may use."""

    __slots__ = ("workspace", "adapter", "model", "versions", "current")

    def __init__(self, name: str, value: Mapping[str, Any]) -> None:
        workspace, separator, adapter = name.partition("/")
        if not separator:
            raise ValueError("an adapter row is named workspace/adapter")
        self.workspace = check_name(workspace)
        self.adapter = check_name(adapter)
        self.model = _text(value, "model")
        versions = value.get("versions")
        if not isinstance(versions, list) or not versions:
            raise ValueError("versions must be a non-empty list")
        self.versions = tuple(check_name(str(version)) for version in versions)
        self.current = _choice(value, "current", self.versions)


class Route:
    """How requests under a path are treated and which backend serves them."""

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
            raise ValueError("a route row is named by its path, such as /services/desk")
        self.path = path
        self.kind = _choice(value, "kind", ROUTE_KINDS)
        self.backend_kind = _choice(value, "backend_kind", ("engine", "service"))
        self.serves = str(value.get("serves", ""))
        if self.backend_kind == "service" and not self.serves:
            raise ValueError("a service route must say which service it serves")
        self.cost_tokens = _number(value, "cost_tokens", 0, 1e9)
        self.weight = _number(value, "weight", 0.001, 1e6)
        self.deadline_s = _number(value, "deadline_s", 0.05, 86_400)


class Drain:
    """A backend server that gets no new work."""

    __slots__ = ("backend_server", "reason")

    def __init__(self, backend_server: str, value: Mapping[str, Any]) -> None:
        self.backend_server = check_name(backend_server)
        self.reason = _text(value, "reason")


class Operator:
    """An operator's key, known by its digest, and what it may do."""

    __slots__ = ("digest", "name", "role")

    def __init__(self, digest: str, value: Mapping[str, Any]) -> None:
        if not re.fullmatch(r"[0-9a-f]{64}", digest):
            raise ValueError("an operator row is named by its SHA-256 digest")
        self.digest = digest
        self.name = _text(value, "name")
        self.role = _choice(value, "role", ("read", "change"))


_TYPES: Mapping[str, Any] = {
    WORKSPACE: Workspace,
    KEY: KeyGrant,
    ADAPTER: AdapterGrant,
    ROUTE: Route,
    DRAIN: Drain,
    OPERATOR: Operator,
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
    """Return the typed row, or raise ValueError that says what is wrong."""
    kind = _TYPES.get(table)
    if kind is None:
        listed = ", ".join(TABLES)
        raise ValueError(f"unknown table {table!r}; tables are {listed}")
    decoded = json.loads(value)
    if not isinstance(decoded, dict):
        raise ValueError("the value must be a table")
    return kind(key, decoded)


def encode_value(value: Mapping[str, Any]) -> str:
    """Return the canonical text of a row's value."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)


def check_rows(rows: Sequence[tuple[str, str, str | None]], place: str) -> None:
    """Check every row of a change and raise one error with all findings."""
    findings = []
    for table, key, value in rows:
        try:
            if table not in _TYPES:
                parse_row(table, key, "{}")
            if value is not None:
                parse_row(table, key, value)
        except ValueError as error:
            findings.append(Finding(f"{place}:{table}/{key}", str(error)))
    if findings:
        raise SettingsError(findings)
