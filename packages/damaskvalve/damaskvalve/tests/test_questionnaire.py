"""The questionnaire: same answers, same bytes; findings all together."""

import unittest
from pathlib import Path

import yaml

from damaskvalve._questionnaire import (
    build_rows,
    check_answers,
    difference,
    render_rows,
)
from damaskvalve._questions import ask_all
from damaskvalve_core import SettingsError
from damaskvalve_core.settings import parse_document, read_document

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"
SMALL = "team: ink\ncontact: desk\nrequests_per_minute: 60\n"


def answers_of(source):
    return check_answers(parse_document("answers.yaml", source))


class QuestionnaireTests(unittest.TestCase):
    def test_both_users_examples_give_a_configuration(self):
        """The shipped answers have no findings."""
        for name in ("formosa-trust", "cantares-unidos"):
            with self.subTest(name=name):
                answers = check_answers(read_document(EXAMPLES / f"{name}.yaml"))
                tables = {row[0] for row in build_rows(answers)}
                self.assertEqual(tables, {"workspace", "adapter", "route"})

    def test_the_same_answers_give_the_same_bytes_in_any_order(self):
        """The order of the file does not matter, the answers do."""
        reordered = "requests_per_minute: 60\ncontact: desk\nteam: ink\n"
        self.assertEqual(
            render_rows(answers_of(SMALL)), render_rows(answers_of(reordered))
        )
        other = render_rows(answers_of(SMALL + "share: 2\n"))
        self.assertNotEqual(render_rows(answers_of(SMALL)), other)

    def test_rate_and_burst_come_from_the_answers(self):
        """A busy minute of 60 requests of 800 tokens, for ten seconds."""
        answers = answers_of(SMALL)
        self.assertEqual(answers.rate_tokens_per_s(), 800.0)
        self.assertEqual(answers.burst_tokens(), 8000.0)

    def test_inconsistent_answers_are_reported_together_with_their_place(self):
        """Every finding of the file comes at once."""
        source = (
            "team: ink!\nrequests_per_minute: 60\ntokens_per_request: 9000\n"
            "adapters:\n- {name: a, model: m, versions: ['1'], current: '2'}\n"
            "- {name: a, model: m, versions: ['1'], current: '1'}\n"
            "routes:\n- {path: /x, kind: open, served_by: engine, backend: m}\n"
        )
        with self.assertRaises(SettingsError) as caught:
            answers_of(source)
        found = [str(finding) for finding in caught.exception.findings]
        expected = [
            "answers.yaml:1:1: setting 'contact' is missing",
            "answers.yaml:1:1: team: 'ink!' is not a name",
            "answers.yaml:3:1: tokens_per_request: must not exceed",
            "answers.yaml:5:40: current: must be one of the versions",
            "answers.yaml:6:4: adapter 'a' stands twice",
            "answers.yaml:8:14: kind: an open route has no workspace",
        ]
        for start in expected:
            self.assertTrue(any(item.startswith(start) for item in found), found)
        self.assertEqual(len(found), len(expected))

    def test_a_difference_shows_only_what_changes(self):
        """Rows in force already are left out."""
        rows = build_rows(answers_of(SMALL))
        in_force = {
            (d.table, d.key): d.after for d in difference(rows, lambda t, k: None)
        }
        self.assertEqual(difference(rows, lambda t, k: in_force.get((t, k))), [])
        changed = build_rows(answers_of(SMALL + "share: 3\n"))
        found = difference(changed, lambda t, k: in_force.get((t, k)))
        self.assertEqual([item.key for item in found], ["ink"])
        self.assertEqual([line[0] for line in found[0].lines()], ["-", "+"])

    def test_answers_given_at_the_terminal_make_a_file_without_findings(self):
        """A bad answer is asked again; an empty one takes the default."""
        said = []
        given = iter(
            ["in valid", "ink", "desk", "", "many", "60", "", "", "", "", "", ""]
            + ["y", "brush", "m", "['1', '2']", "'2'", "n"]
            + ["y", "/services/x", "once", "service", "desk", "", "", "", "n"]
        )
        answers = ask_all(lambda words: next(given), said.append)
        checked = answers_of(yaml.safe_dump(dict(answers)))
        self.assertEqual(checked.team["team"], "ink")
        self.assertEqual(len(said), 2)
        self.assertEqual(checked.routes[0]["kind"], "once")


if __name__ == "__main__":
    unittest.main()
