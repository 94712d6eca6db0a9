"""Tests of the questionnaire and the configuration that it generates."""

import unittest
from pathlib import Path

import yaml

from damaskvalve._questionnaire import (
    build_rows,
    check_answers,
    find_changed_rows,
    render_rows,
)
from damaskvalve._questions import ask_questions
from damaskvalve_core import SettingsError
from damaskvalve_core.settings import parse_document, read_document

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"
MINIMAL_ANSWERS = "team: ink\ncontact: desk\nrequests_per_minute: 60\n"


def parse_answers(source):
    return check_answers(parse_document("answers.yaml", source))


class QuestionnaireTests(unittest.TestCase):
    def test_shipped_example_answers_generate_all_tables(self):
        """The answers in the examples folder pass every check."""
        for name in ("formosa-trust", "cantares-unidos"):
            with self.subTest(name=name):
                answers = check_answers(read_document(EXAMPLES / f"{name}.yaml"))
                tables = {row[0] for row in build_rows(answers)}
                self.assertEqual(tables, {"workspace", "adapter", "route"})

    def test_equal_answers_in_any_order_render_equal_bytes(self):
        """The output depends on the answers, not on their order in the file."""
        reordered = "requests_per_minute: 60\ncontact: desk\nteam: ink\n"
        self.assertEqual(
            render_rows(parse_answers(MINIMAL_ANSWERS)),
            render_rows(parse_answers(reordered)),
        )
        other = render_rows(parse_answers(MINIMAL_ANSWERS + "share: 2\n"))
        self.assertNotEqual(render_rows(parse_answers(MINIMAL_ANSWERS)), other)

    def test_rate_and_burst_are_computed_from_answers(self):
        """60 requests a minute of 800 tokens give 800 tokens/s, for ten seconds."""
        answers = parse_answers(MINIMAL_ANSWERS)
        self.assertEqual(answers.rate_tokens_per_s(), 800.0)
        self.assertEqual(answers.burst_tokens(), 8000.0)

    def test_inconsistent_answers_are_reported_at_once_with_positions(self):
        """One error lists every finding of the file, and no other finding."""
        source = (
            "team: ink!\nrequests_per_minute: 60\ntokens_per_request: 9000\n"
            "adapters:\n- {name: a, model: m, versions: ['1'], current: '2'}\n"
            "- {name: a, model: m, versions: ['1'], current: '1'}\n"
            "routes:\n- {path: /x, kind: open, served_by: engine, backend: m}\n"
        )
        with self.assertRaises(SettingsError) as caught:
            parse_answers(source)
        found = [str(finding) for finding in caught.exception.findings]
        expected = [
            "answers.yaml:1:1: setting 'contact' is missing",
            "answers.yaml:1:1: team: 'ink!' is not a name",
            "answers.yaml:3:1: tokens_per_request: must not exceed",
            "answers.yaml:5:40: current: must be one of the versions",
            "answers.yaml:6:4: adapter 'a' is listed twice",
            "answers.yaml:8:14: kind: an open route has no workspace",
        ]
        for start in expected:
            self.assertTrue(any(item.startswith(start) for item in found), found)
        self.assertEqual(len(found), len(expected))

    def test_changed_rows_leave_out_rows_in_force(self):
        """Only rows whose value differs from the one in force are returned."""
        rows = build_rows(parse_answers(MINIMAL_ANSWERS))
        in_force = {
            (d.table, d.key): d.after
            for d in find_changed_rows(rows, lambda t, k: None)
        }
        self.assertEqual(find_changed_rows(rows, lambda t, k: in_force.get((t, k))), [])
        changed = build_rows(parse_answers(MINIMAL_ANSWERS + "share: 3\n"))
        found = find_changed_rows(changed, lambda t, k: in_force.get((t, k)))
        self.assertEqual([item.key for item in found], ["ink"])
        self.assertEqual([line[0] for line in found[0].lines()], ["-", "+"])

    def test_terminal_answers_make_a_valid_file(self):
        """A rejected answer is asked for again; an empty one selects the default."""
        messages = []
        typed = iter(
            ["in valid", "ink", "desk", "", "many", "60", "", "", "", "", "", ""]
            + ["y", "brush", "m", "['1', '2']", "'2'", "n"]
            + ["y", "/services/x", "once", "service", "desk", "", "", "", "n"]
        )
        answers = ask_questions(lambda prompt: next(typed), messages.append)
        checked = parse_answers(yaml.safe_dump(dict(answers)))
        self.assertEqual(checked.team["team"], "ink")
        self.assertEqual(len(messages), 2)
        self.assertEqual(checked.routes[0]["kind"], "once")


if __name__ == "__main__":
    unittest.main()
