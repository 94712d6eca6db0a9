"""The questionnaire of a new team, and the configuration made from its answers.

The same answers always give the same bytes. Inconsistent answers are reported
all together, each with its place.
"""

import hashlib
import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from damaskvalve._configuration import (
    ADAPTER,
    OPEN,
    ROUTE,
    ROUTE_KINDS,
    SERVICE_UNITS,
    TOKENS,
    WORKSPACE,
    check_name,
    check_rows,
    encode_value,
)
from damaskvalve._operator import RowChange
from damaskvalve_core import SettingsError
from damaskvalve_core.settings import (
    Check,
    Document,
    Field,
    list_of,
    number,
    one_of,
    parse_document,
    text,
    whole,
)

GENERATOR = "damaskvalve questionnaire 1"


def name(value: Any) -> str:
    """Accept a valid name."""
    return check_name(text(value))


def path(value: Any) -> str:
    """Accept a path that callers use."""
    found = text(value)
    if not found.startswith("/") or " " in found:
        raise ValueError("must be a path such as /services/certificates")
    return found


class Question:
    """One question in plain words, with the answer's check and default."""

    __slots__ = ("name", "words", "check", "default", "unit")

    def __init__(
        self,
        name: str,
        words: str,
        check: Check,
        *,
        default: Any = None,
        unit: str = "",
    ) -> None:
        self.name = name
        self.words = words
        self.check = check
        # None means that an answer is required.
        self.default = default
        self.unit = unit

    def field(self) -> Field:
        """Return the check of this answer in a file."""
        required = self.default is None
        return Field(
            self.check, default=self.default, required=required, help=self.words
        )


TEAM_QUESTIONS = (
    Question("team", "What is the team called? It becomes the workspace's name.", name),
    Question("contact", "Who answers questions about this team?", text),
    Question(
        "share",
        "How large is this team's part of the pool, against a usual team's 1?",
        number(0.01, 1000),
        default=1.0,
        unit="times a usual team",
    ),
    Question(
        "requests_per_minute",
        "How many requests does the team send in a busy minute?",
        number(0.1, 10_000_000),
        unit="requests a minute",
    ),
    Question(
        "tokens_per_request",
        "How long is a usual request, prompt and answer together?",
        whole(1, 1_000_000),
        default=800,
        unit="tokens",
    ),
    Question(
        "largest_request_tokens",
        "How long is the longest request that must be served?",
        whole(1, 10_000_000),
        default=4000,
        unit="tokens",
    ),
    Question(
        "burst_s",
        "For how long may the team send at its busy pace without a pause?",
        number(1, 3600),
        default=10.0,
        unit="seconds",
    ),
    Question(
        "fairness",
        "Is service counted in tokens, or in delivered requests by their weight?",
        one_of(*SERVICE_UNITS),
        default=TOKENS,
    ),
    Question(
        "at_a_time",
        "How many requests may run at the same time at one entry host?",
        whole(1, 10_000),
        default=64,
        unit="requests",
    ),
    Question(
        "waiting_jobs",
        "How many deferred jobs may wait at the same time?",
        whole(0, 1_000_000),
        default=1000,
        unit="jobs",
    ),
)
ADAPTER_QUESTIONS = (
    Question("name", "What is the adapter called?", name),
    Question("model", "Which base model does it belong to?", text),
    Question(
        "versions", "Which versions may be used?", list_of(name, least=1, most=100)
    ),
    Question("current", "Which version is used when none is named?", name),
)
ROUTE_QUESTIONS = (
    Question("path", "Under which path do callers reach it?", path),
    Question(
        "kind",
        "May a request be repeated, must it run once, may it be deferred, "
        "or is it open to all?",
        one_of(*ROUTE_KINDS),
    ),
    Question(
        "served_by",
        "Is it served by an engine or a service?",
        one_of("engine", "service"),
    ),
    Question("backend", "Which base model or service serves it?", text),
    Question(
        "cost_tokens",
        "How many tokens does one call count, if no engine counts them?",
        number(0, 1e9),
        default=1.0,
        unit="tokens",
    ),
    Question(
        "weight",
        "How much does one delivered request weigh against a usual one?",
        number(0.001, 1e6),
        default=1.0,
    ),
    Question(
        "deadline_s",
        "After how long is an answer of no use?",
        number(0.05, 86_400),
        default=30.0,
        unit="seconds",
    ),
)


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
        # Names the answers from which a configuration was made.
        self.digest = hashlib.sha256(canonical.encode()).hexdigest()[:16]

    def rate_tokens_per_s(self) -> float:
        """Return the rate that the answers ask for."""
        per_minute = self.team["requests_per_minute"] * self.team["tokens_per_request"]
        return round(per_minute / 60, 3)

    def burst_tokens(self) -> float:
        """Return the burst: the busy pace for a while, or the longest request."""
        burst = self.rate_tokens_per_s() * self.team["burst_s"]
        return max(round(burst, 3), float(self.team["largest_request_tokens"]))


def _fields(questions: Sequence[Question]) -> Mapping[str, Field]:
    return {question.name: question.field() for question in questions}


def check_answers(document: Document) -> Answers:
    """Return checked answers, or raise with every finding."""
    fields = {
        **_fields(TEAM_QUESTIONS),
        "adapters": Field(list_of(_table), default=(), help="the team's adapters"),
        "routes": Field(list_of(_table), default=(), help="the team's routes"),
    }
    top = document.check_table(fields, document.value)
    adapters = _check_list(document, "adapters", ADAPTER_QUESTIONS, top["adapters"])
    routes = _check_list(document, "routes", ROUTE_QUESTIONS, top["routes"])
    _check_adapters(document, adapters)
    _check_routes(document, routes, top)
    _check_sizes(document, top)
    document.finish()
    team = {question.name: top[question.name] for question in TEAM_QUESTIONS}
    return Answers(team, adapters, routes)


def _table(value: Any) -> Any:
    if not isinstance(value, dict):
        raise ValueError("each item must be a table of answers")
    return value


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
        place = ("adapters", position)
        if adapter["name"] in seen:
            problem = f"adapter {adapter['name']!r} stands twice"
            document.report(problem, *place, "name")
        seen.add(adapter["name"])
        if adapter["versions"] and adapter["current"] not in adapter["versions"]:
            document.report("current: must be one of the versions", *place, "current")


def _check_routes(
    document: Document, routes: Sequence[Mapping[str, Any]], top: Mapping[str, Any]
) -> None:
    seen: set[str] = set()
    for position, route in enumerate(routes):
        place = ("routes", position)
        if route["path"] in seen:
            document.report(f"path {route['path']!r} stands twice", *place, "path")
        seen.add(route["path"])
        if route["kind"] == OPEN and route["served_by"] == "engine":
            document.report(
                "kind: an open route has no workspace and so no adapters",
                *place,
                "kind",
            )
        largest = top["largest_request_tokens"] or 0
        if route["served_by"] == "service" and (route["cost_tokens"] or 0) > largest:
            document.report(
                "cost_tokens: must not exceed largest_request_tokens",
                *place,
                "cost_tokens",
            )


def _check_sizes(document: Document, top: Mapping[str, Any]) -> None:
    usual = top["tokens_per_request"]
    largest = top["largest_request_tokens"]
    if usual and largest and usual > largest:
        document.report(
            "tokens_per_request: must not exceed largest_request_tokens",
            "tokens_per_request",
        )


def build_rows(answers: Answers) -> Sequence[RowChange]:
    """Return the configuration rows that the answers ask for, in a fixed order."""
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
    """Return the generated configuration as text; equal answers, equal bytes."""
    lines = [
        f"# Made by {GENERATOR} from answers {answers.digest}",
        f"# of team {answers.team['team']}. Change the answers, not this file.",
    ]
    for table, key, value in build_rows(answers):
        lines.append(f"{table} {key} {encode_value(value or {})}")
    return "\n".join(lines) + "\n"


class RowDifference:
    """One row as it is and as the answers want it."""

    __slots__ = ("table", "key", "before", "after")

    def __init__(self, table: str, key: str, before: str | None, after: str) -> None:
        self.table = table
        self.key = key
        self.before = before
        self.after = after

    def lines(self) -> Sequence[str]:
        """Return the difference as lines that begin with - and +."""
        place = f"{self.table} {self.key}"
        removed = [] if self.before is None else [f"- {place} {self.before}"]
        return [*removed, f"+ {place} {self.after}"]


def difference(
    rows: Sequence[RowChange], present: Callable[[str, str], str | None]
) -> Sequence[RowDifference]:
    """Return the rows that differ from the present configuration."""
    found = []
    for table, key, value in rows:
        after = encode_value(value or {})
        before = present(table, key)
        if before != after:
            found.append(RowDifference(table, key, before, after))
    return found


def ask_all(ask: Callable[[str], str], say: Callable[[str], None]) -> Mapping[str, Any]:
    """Ask every question and return the answers in the form of a file."""
    answers = _ask_group(TEAM_QUESTIONS, ask, say)
    answers["adapters"] = _ask_many("adapter", ADAPTER_QUESTIONS, ask, say)
    answers["routes"] = _ask_many("route", ROUTE_QUESTIONS, ask, say)
    return answers


def _ask_many(
    what: str,
    questions: Sequence[Question],
    ask: Callable[[str], str],
    say: Callable[[str], None],
) -> list[dict[str, Any]]:
    items = []
    while ask(f"Add another {what}? [y/N] ").strip().lower() in ("y", "yes"):
        items.append(_ask_group(questions, ask, say))
    return items


def _ask_group(
    questions: Sequence[Question],
    ask: Callable[[str], str],
    say: Callable[[str], None],
) -> dict[str, Any]:
    return {question.name: _ask_one(question, ask, say) for question in questions}


def _ask_one(
    question: Question, ask: Callable[[str], str], say: Callable[[str], None]
) -> Any:
    """Ask until the answer passes its check; an empty one takes the default."""
    hint = f" ({question.unit})" if question.unit else ""
    if question.default is not None:
        hint += f" [{question.default}]"
    while True:
        answer = ask(f"{question.words}{hint} ").strip()
        if not answer and question.default is not None:
            return question.default
        try:
            value = parse_document("answer", answer).value
            question.check(value)
            return value
        except (ValueError, SettingsError) as error:
            say(f"  {error}")
