"""Generates the configuration of a new team from its questionnaire answers.

The same answers always give the same bytes. All inconsistent answers are reported
at once, each with its position in the file.
"""

import hashlib
import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from damaskvalve._configuration import (
    ADAPTER,
    OPEN,
    ROUTE,
    WORKSPACE,
    check_rows,
    encode_value,
)
from damaskvalve._operator import RowChange
from damaskvalve._questions import (
    ADAPTER_QUESTIONS,
    ROUTE_QUESTIONS,
    TEAM_QUESTIONS,
    Question,
)
from damaskvalve_core.settings import (
    Document,
    Field,
    list_of,
    settings_table,
)

GENERATOR = "damaskvalve questionnaire 1"


class Answers:
    """Checked answers of one team."""

    __slots__ = ("team", "adapters", "routes", "digest")

    def __init__(
        self,
        team: Mapping[str, Any],
        adapters: Sequence[Mapping[str, Any]],
        routes: Sequence[Mapping[str, Any]],
    ) -> None:
        self.team = dict(team)
        self.adapters = tuple(adapters)
        self.routes = tuple(routes)
        canonical = json.dumps(
            [self.team, list(self.adapters), list(self.routes)],
            sort_keys=True,
            default=list,
        )
        # Identifies the answers from which a configuration was generated.
        self.digest = hashlib.sha256(canonical.encode()).hexdigest()[:16]

    def rate_tokens_per_s(self) -> float:
        """Return the average rate of a busy minute."""
        per_minute = self.team["requests_per_minute"] * self.team["tokens_per_request"]
        return round(per_minute / 60, 3)

    def burst_tokens(self) -> float:
        """Return the busy rate times ``burst_s``, but at least the largest request."""
        burst = self.rate_tokens_per_s() * self.team["burst_s"]
        return max(round(burst, 3), float(self.team["largest_request_tokens"]))


def _fields(questions: Sequence[Question]) -> Mapping[str, Field]:
    return {question.name: question.field() for question in questions}


def check_answers(document: Document) -> Answers:
    """Return checked answers, or raise one error with all findings."""
    fields = {
        **_fields(TEAM_QUESTIONS),
        "adapters": Field(
            list_of(settings_table), default=(), help="the team's adapters"
        ),
        "routes": Field(list_of(settings_table), default=(), help="the team's routes"),
    }
    top = document.check_table(fields, document.value)
    adapters = _check_list(document, "adapters", ADAPTER_QUESTIONS, top["adapters"])
    routes = _check_list(document, "routes", ROUTE_QUESTIONS, top["routes"])
    _check_adapters(document, adapters)
    _check_routes(document, routes, top)
    _check_request_sizes(document, top)
    document.finish()
    team = {question.name: top[question.name] for question in TEAM_QUESTIONS}
    return Answers(team, adapters, routes)


def _check_list(
    document: Document, name: str, questions: Sequence[Question], items: Any
) -> Sequence[dict[str, Any]]:
    fields = _fields(questions)
    return [
        document.check_table(fields, item, name, position)
        for position, item in enumerate(items or ())
    ]


def _check_adapters(document: Document, adapters: Sequence[Mapping[str, Any]]) -> None:
    seen: set[str] = set()
    for position, adapter in enumerate(adapters):
        location = ("adapters", position)
        if adapter["name"] in seen:
            message = f"adapter {adapter['name']!r} is listed twice"
            document.report(message, *location, "name")
        seen.add(adapter["name"])
        if adapter["versions"] and adapter["current"] not in adapter["versions"]:
            document.report(
                "current: must be one of the versions", *location, "current"
            )


def _check_routes(
    document: Document, routes: Sequence[Mapping[str, Any]], top: Mapping[str, Any]
) -> None:
    seen: set[str] = set()
    for position, route in enumerate(routes):
        location = ("routes", position)
        if route["path"] in seen:
            document.report(
                f"path {route['path']!r} is listed twice", *location, "path"
            )
        seen.add(route["path"])
        if route["kind"] == OPEN and route["served_by"] == "engine":
            document.report(
                "kind: an open route has no workspace and so no adapters",
                *location,
                "kind",
            )
        largest = top["largest_request_tokens"] or 0
        if route["served_by"] == "service" and (route["cost_tokens"] or 0) > largest:
            document.report(
                "cost_tokens: must not exceed largest_request_tokens",
                *location,
                "cost_tokens",
            )


def _check_request_sizes(document: Document, top: Mapping[str, Any]) -> None:
    typical = top["tokens_per_request"]
    largest = top["largest_request_tokens"]
    if typical and largest and typical > largest:
        document.report(
            "tokens_per_request: must not exceed largest_request_tokens",
            "tokens_per_request",
        )


def build_rows(answers: Answers) -> Sequence[RowChange]:
    """Return the configuration rows for the answers, in a fixed order."""
    team = answers.team
    workspace = team["team"]
    rows: list[RowChange] = [
        (
            WORKSPACE,
            workspace,
            {
                "share": float(team["share"]),
                "rate_tokens_per_s": answers.rate_tokens_per_s(),
                "burst_tokens": answers.burst_tokens(),
                "service_unit": team["fairness"],
                "max_concurrent": team["at_a_time"],
                "max_jobs": team["waiting_jobs"],
                "made_from": f"answers {answers.digest}",
            },
        )
    ]
    for adapter in sorted(answers.adapters, key=lambda item: str(item["name"])):
        value = {
            "model": adapter["model"],
            "versions": list(adapter["versions"]),
            "current": adapter["current"],
        }
        rows.append((ADAPTER, f"{workspace}/{adapter['name']}", value))
    for route in sorted(answers.routes, key=lambda item: str(item["path"])):
        rows.append((ROUTE, route["path"], _route_value(route)))
    check_rows(
        [(table, key, encode_value(value or {})) for table, key, value in rows],
        "questionnaire",
    )
    return rows


def _route_value(route: Mapping[str, Any]) -> dict[str, Any]:
    return {
        "kind": route["kind"],
        "backend_kind": route["served_by"],
        "serves": route["backend"],
        "cost_tokens": float(route["cost_tokens"]),
        "weight": float(route["weight"]),
        "deadline_s": float(route["deadline_s"]),
    }


def render_rows(answers: Answers) -> str:
    """Return the generated configuration; equal answers give equal bytes."""
    lines = [
        f"# Made by {GENERATOR} from answers {answers.digest}",
        f"# of team {answers.team['team']}. Change the answers, not this file.",
    ]
    for table, key, value in build_rows(answers):
        lines.append(f"{table} {key} {encode_value(value or {})}")
    return "\n".join(lines) + "\n"


class RowDifference:
    """A row whose value in force differs from the generated value."""

    __slots__ = ("table", "key", "before", "after")

    def __init__(self, table: str, key: str, before: str | None, after: str) -> None:
        self.table = table
        self.key = key
        self.before = before
        self.after = after

    def lines(self) -> Sequence[str]:
        """Return the removed and added lines, prefixed with - and +."""
        row_name = f"{self.table} {self.key}"
        removed = [] if self.before is None else [f"- {row_name} {self.before}"]
        return [*removed, f"+ {row_name} {self.after}"]


def find_changed_rows(
    rows: Sequence[RowChange], current_value: Callable[[str, str], str | None]
) -> Sequence[RowDifference]:
    """Return the rows that differ from the configuration in force."""
    differences = []
    for table, key, value in rows:
        after = encode_value(value or {})
        before = current_value(table, key)
        if before != after:
            differences.append(RowDifference(table, key, before, after))
    return differences
