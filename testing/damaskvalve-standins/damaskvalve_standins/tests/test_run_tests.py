"""Tests that a run passes over only the failures that KNOWN-RED.txt lists."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from damaskvalve_standins import run_tests

LISTED = "package.tests.Case.test_listed"
OTHER = "package.tests.Case.test_other"
KNOWN = f"{LISTED} | make test | one call too many | issue 1"


class KnownRedTests(unittest.TestCase):
    def run_with_list(self, text, *, ran=(LISTED, OTHER), failed=(), names=()):
        """Run the test runner on a list; return its exit code and its output lines."""
        output = io.StringIO()
        with contextlib.ExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            path = folder / "KNOWN-RED.txt"
            path.write_text(f"# A comment\n\n{text}\n", encoding="utf-8")
            for target, name, value in (
                (run_tests, "KNOWN_RED_FILE", path),
                (run_tests, "run_packages", lambda *_: (set(ran), set(failed))),
            ):
                stack.enter_context(mock.patch.object(target, name, value))
            stack.enter_context(contextlib.redirect_stdout(output))
            code = run_tests.main(list(names))
        return code, output.getvalue().splitlines()

    def test_intermittent_test_may_fail_and_is_printed(self):
        code, lines = self.run_with_list(f"intermittent {KNOWN}", failed=[LISTED])
        self.assertEqual(code, 0, lines)
        self.assertEqual(
            lines,
            [
                f"intermittent, failed this time: {LISTED}: "
                "make test | one call too many | issue 1",
                "1 passed, 0 failed",
            ],
        )

    def test_intermittent_test_may_pass_and_is_printed(self):
        code, lines = self.run_with_list(f"intermittent {KNOWN}")
        self.assertEqual(code, 0, lines)
        self.assertEqual(
            lines,
            [
                f"intermittent, passed this time: {LISTED}: "
                "make test | one call too many | issue 1",
                "2 passed, 0 failed",
            ],
        )

    def test_intermittent_test_that_is_not_run_fails_a_full_run(self):
        code, lines = self.run_with_list(f"intermittent {KNOWN}", ran=[OTHER])
        self.assertEqual(code, 1)
        self.assertEqual(
            lines,
            [
                f"listed in KNOWN-RED.txt but was not run: {LISTED}",
                "1 passed, 0 failed",
            ],
        )

    def test_intermittent_test_may_be_missing_from_a_partial_run(self):
        code, lines = self.run_with_list(
            f"intermittent {KNOWN}", ran=[OTHER], names=[OTHER]
        )
        self.assertEqual((code, lines), (0, ["1 passed, 0 failed"]))

    def test_intermittent_entry_excuses_no_other_test(self):
        code, lines = self.run_with_list(
            f"intermittent {KNOWN}", failed=[LISTED, OTHER]
        )
        self.assertEqual((code, lines[-1]), (1, "0 passed, 1 failed"))

    def test_listed_test_may_fail(self):
        code, lines = self.run_with_list(KNOWN, failed=[LISTED])
        self.assertEqual(code, 0, lines)
        self.assertEqual(
            lines,
            [
                f"known red: {LISTED}: make test | one call too many | issue 1",
                "1 passed, 0 failed",
            ],
        )

    def test_listed_test_that_passes_or_is_not_run_fails_a_full_run(self):
        for ran in ([LISTED, OTHER], [OTHER]):
            with self.subTest(ran=ran):
                code, lines = self.run_with_list(KNOWN, ran=ran)
                self.assertEqual(code, 1)
                self.assertEqual(
                    lines,
                    [
                        f"listed in KNOWN-RED.txt but did not fail: {LISTED}",
                        f"{len(ran)} passed, 0 failed",
                    ],
                )

    def test_intermittent_counts_only_as_a_word_before_the_test_id(self):
        for text in (f"intermittently {KNOWN}", f"{KNOWN} | intermittent"):
            with self.subTest(text=text):
                code, _ = self.run_with_list(text)
                self.assertEqual(code, 1)

    def test_run_without_tests_fails(self):
        code, lines = self.run_with_list("", ran=())
        self.assertEqual((code, lines), (1, ["0 passed, 0 failed"]))


class PackageTests(unittest.TestCase):
    def run_packages(self, outcomes):
        """Run packages that write these outcomes; None stands for none written."""

        def run(package, names, folder):
            file = folder / package
            if outcomes[package] is not None:
                file.write_text(json.dumps(outcomes[package]), encoding="utf-8")
            return "output", file

        with (
            mock.patch.object(run_tests, "_run_in_process", run),
            contextlib.redirect_stdout(io.StringIO()),
        ):
            return run_tests.run_packages(list(outcomes), [])

    def test_outcomes_of_all_packages_are_added_up(self):
        ran, failed = self.run_packages(
            {
                "one": {"ran": [LISTED], "failed": [LISTED]},
                "two": {"ran": [OTHER], "failed": []},
            }
        )
        self.assertEqual((ran, failed), ({LISTED, OTHER}, {LISTED}))

    def test_package_that_ends_early_or_has_no_tests_counts_as_failed(self):
        for outcome in (None, {"ran": [], "failed": []}):
            with self.subTest(outcome=outcome):
                ran, failed = self.run_packages({"one": outcome})
                self.assertEqual((ran, failed), ({"one"}, {"one"}))


if __name__ == "__main__":
    unittest.main()
