"""The questionnaire of a new team on the command line."""

import sys
from pathlib import Path
from typing import Annotated

import cappa
import yaml

from damaskvalve._cli._common import EXIT_FAILED, EXIT_OK, Wait, run_reporting
from damaskvalve._operator import OperatorClient, operator_client
from damaskvalve._questionnaire import (
    Answers,
    build_rows,
    check_answers,
    difference,
    render_rows,
)
from damaskvalve._questions import ask_all
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
            print(f"error: {answers} exists already", file=sys.stderr)
            return EXIT_FAILED
        given = ask_all(input, print)
        answers.write_text(yaml.safe_dump(dict(given), sort_keys=False))
        check_answers(read_document(answers))
        print(f"written to {answers}")
        return EXIT_OK

    return run_reporting(work)


def generate(answers: AnswersPath) -> int:
    """Print the configuration that the answers give."""

    def work() -> int:
        checked = check_answers(read_document(answers))
        print(render_rows(checked), end="")
        return EXIT_OK

    return run_reporting(work)


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
            return _apply(client, checked, yes, wait)

    return run_reporting(work)


def _present(reply: ReadReply) -> dict[tuple[str, str], str]:
    return {(row.table, row.key): row.value for row in reply.rows}


def _apply(client: OperatorClient, answers: Answers, yes: bool, wait: bool) -> int:
    reply = client.read("rows")
    present = _present(reply)
    rows = build_rows(answers)
    changes = difference(rows, lambda table, key: present.get((table, key)))
    if not changes:
        print("nothing changes")
        return EXIT_OK
    for change in changes:
        print("\n".join(change.lines()))
    if not yes and input("Put this in force? [y/N] ").strip().lower() != "y":
        print("left as it was")
        return EXIT_FAILED
    names = {(change.table, change.key) for change in changes}
    wanted = [row for row in rows if (row[0], row[1]) in names]
    revision = client.change(wanted, expected_revision=reply.revision)
    print(f"revision {revision}")
    if wait:
        behind = client.wait_in_force(revision)
        print("not in force yet" if behind else "in force everywhere")
        return EXIT_FAILED if behind else EXIT_OK
    return EXIT_OK
