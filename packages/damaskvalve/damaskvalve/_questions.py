"""The questions of the questionnaire for a new team."""

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


def valid_name(value: Any) -> str:
    """Accept a valid name."""
    return check_name(text(value))


def valid_path(value: Any) -> str:
    """Accept a URL path."""
    found = text(value)
    if not found.startswith("/") or " " in found:
        raise ValueError("must be a path such as /services/certificates")
    return found


class Question:
    """A question with the check and the default of its answer."""

    __slots__ = ("name", "prompt", "check", "default", "unit")

    def __init__(
        self,
        name: str,
        prompt: str,
        check: Check,
        *,
        default: Any = None,
        unit: str = "",
    ) -> None:
        self.name = name
        self.prompt = prompt
        self.check = check
        # None: an answer is required.
        self.default = default
        self.unit = unit

    def field(self) -> Field:
        """Return the settings field that checks the answer in a file."""
        required = self.default is None
        return Field(
            self.check, default=self.default, required=required, help=self.prompt
        )


TEAM_QUESTIONS = (
    Question(
        "team", "What is the team called? It becomes the workspace's name.", valid_name
    ),
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
    Question("name", "What is the adapter called?", valid_name),
    Question("model", "Which base model does it belong to?", text),
    Question(
        "versions",
        "Which versions may be used?",
        list_of(valid_name, min_items=1, max_items=100),
    ),
    Question("current", "Which version is used when none is named?", valid_name),
)
ROUTE_QUESTIONS = (
    Question("path", "Under which path do callers reach it?", valid_path),
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


def ask_questions(
    read_answer: Callable[[str], str], write: Callable[[str], None]
) -> Mapping[str, Any]:
    """Ask every question; return the answers in the structure of an answers file."""
    answers = _ask_group(TEAM_QUESTIONS, read_answer, write)
    answers["adapters"] = _ask_list("adapter", ADAPTER_QUESTIONS, read_answer, write)
    answers["routes"] = _ask_list("route", ROUTE_QUESTIONS, read_answer, write)
    return answers


def _ask_list(
    item_name: str,
    questions: Sequence[Question],
    read_answer: Callable[[str], str],
    write: Callable[[str], None],
) -> list[dict[str, Any]]:
    items = []
    while read_answer(f"Add another {item_name}? [y/N] ").strip().lower() in (
        "y",
        "yes",
    ):
        items.append(_ask_group(questions, read_answer, write))
    return items


def _ask_group(
    questions: Sequence[Question],
    read_answer: Callable[[str], str],
    write: Callable[[str], None],
) -> dict[str, Any]:
    return {
        question.name: _ask_one(question, read_answer, write) for question in questions
    }


def _ask_one(
    question: Question, read_answer: Callable[[str], str], write: Callable[[str], None]
) -> Any:
    """Ask until the answer passes its check; an empty answer selects the default."""
    hint = f" ({question.unit})" if question.unit else ""
    if question.default is not None:
        hint += f" [{question.default}]"
    while True:
        answer = read_answer(f"{question.prompt}{hint} ").strip()
        if not answer and question.default is not None:
            return question.default
        try:
            value = parse_document("answer", answer).value
            question.check(value)
            return value
        except (ValueError, SettingsError) as error:
            write(f"  {error}")
