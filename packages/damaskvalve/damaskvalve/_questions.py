"""The questions that a new team is asked, in plain words."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from damaskvalve._configuration import (
    ROUTE_KINDS,
    SERVICE_UNITS,
    TOKENS,
    check_name,
)
from damaskvalve_core import SettingsError
from damaskvalve_core.settings import (
    Check,
    Field,
    integer,
    list_of,
    number,
    one_of,
    parse_document,
    text,
)


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
        integer(1, 1_000_000),
        default=800,
        unit="tokens",
    ),
    Question(
        "largest_request_tokens",
        "How long is the longest request that must be served?",
        integer(1, 10_000_000),
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
        integer(1, 10_000),
        default=64,
        unit="requests",
    ),
    Question(
        "waiting_jobs",
        "How many deferred jobs may wait at the same time?",
        integer(0, 1_000_000),
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
