"""The questionnaire of a new team on the command line."""

import sys
from pathlib import Path
from typing import Annotated

import cappa
import yaml

from damaskvalve._cli._common import EXIT_FAILED, EXIT_OK, Wait, run_reporting_errors
from damaskvalve._operator import OperatorClient, operator_client
from damaskvalve._questionnaire import (
    Answers,
    build_rows,
    check_answers,
    find_changed_rows,
    render_rows,
)
from damaskvalve._questions import ask_questions
from damaskvalve._settings import read_operator_settings
from damaskvalve_core.messages import ReadReply
from damaskvalve_core.settings import read_document

AnswersPath = Annotated[Path, cappa.Arg(help="the team's answers, a YAML file")]


def ask(
    answers: Annotated[Path, cappa.Arg(help="the file to write the answers to")],
) -> int:
    """Ask the questions at the terminal and write an answers file."""

    def work() -> int:
        if answers.exists():
            print(f"error: {answers} already exists", file=sys.stderr)
            return EXIT_FAILED
        collected = ask_questions(input, print)
        answers.write_text(yaml.safe_dump(dict(collected), sort_keys=False))
        check_answers(read_document(answers))
        print(f"written to {answers}")
        return EXIT_OK

    return run_reporting_errors(work)


def generate(answers: AnswersPath) -> int:
    """Print the configuration that the answers give."""

    def work() -> int:
        checked = check_answers(read_document(answers))
        print(render_rows(checked), end="")
        return EXIT_OK

    return run_reporting_errors(work)


def apply(
    answers: AnswersPath,
    operator: Annotated[
        Path, cappa.Arg(long="--operator", help="the operator's YAML settings file")
    ],
    yes: Annotated[bool, cappa.Arg(long="--yes", help="do not ask before")] = False,
    wait: Wait = False,
) -> int:
    """Show what would change, ask, and put it in force as one change."""

    def work() -> int:
        checked = check_answers(read_document(answers))
        with operator_client(read_operator_settings(operator)) as client:
            return _apply_answers(client, checked, yes, wait)

    return run_reporting_errors(work)


def _values_by_row(reply: ReadReply) -> dict[tuple[str, str], str]:
    return {(row.table, row.key): row.value for row in reply.rows}


def _apply_answers(
    client: OperatorClient, answers: Answers, yes: bool, wait: bool
) -> int:
    reply = client.read("rows")
    values = _values_by_row(reply)
    rows = build_rows(answers)
    changes = find_changed_rows(rows, lambda table, key: values.get((table, key)))
    if not changes:
        print("nothing changes")
        return EXIT_OK
    for change in changes:
        print("\n".join(change.lines()))
    if not yes and input("Put this in force? [y/N] ").strip().lower() != "y":
        print("left as it was")
        return EXIT_FAILED
    changed_keys = {(change.table, change.key) for change in changes}
    changed_rows = [row for row in rows if (row[0], row[1]) in changed_keys]
    revision = client.change(changed_rows, expected_revision=reply.revision)
    print(f"revision {revision}")
    if wait:
        outdated = client.wait_in_force(revision)
        print("not in force yet" if outdated else "in force everywhere")
        return EXIT_FAILED if outdated else EXIT_OK
    return EXIT_OK
