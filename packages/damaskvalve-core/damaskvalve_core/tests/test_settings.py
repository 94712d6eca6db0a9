"""Settings files: all findings are reported at once, and no file causes a crash."""

import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_core import SettingsError
from damaskvalve_core.settings import (
    Field,
    address,
    boolean,
    integer,
    list_of,
    number,
    one_of,
    parse_document,
    text,
)

FIELDS = {
    "listen": Field(address, required=True, help="where"),
    "rate": Field(number(0, 10), default=1.0, help="rate"),
    "count": Field(integer(1, 5), default=1, help="count"),
    "kind": Field(one_of("a", "b"), default="a", help="kind"),
    "names": Field(list_of(text), default=(), help="names"),
    "on": Field(boolean, default=False, help="on"),
}


def check(source):
    document = parse_document("host.yaml", source)
    values = document.check_table(FIELDS, document.value)
    document.finish()
    return values


def findings_of(source):
    try:
        check(source)
    except SettingsError as error:
        return [str(finding) for finding in error.findings]
    return []


class SettingsTests(unittest.TestCase):
    def test_all_findings_are_reported_with_their_places(self):
        """One check reports all errors in the file."""
        source = "listen: here\nrate: 11\n\ncount: true\nkidn: b\n"
        self.assertEqual(
            findings_of(source),
            [
                "host.yaml:5:1: unknown setting 'kidn'; did you mean 'kind'?",
                "host.yaml:1:1: listen: must be a numeric address such as "
                "10.0.0.1:7000",
                "host.yaml:2:1: rate: must lie between 0 and 10",
                "host.yaml:4:1: count: must be a whole number",
            ],
        )

    def test_invalid_files_are_rejected_with_findings(self):
        """Each kind of error has its own message."""
        cases = {
            "listen: 10.0.0.1:1\nlisten: 10.0.0.1:2\n": "is set twice",
            "listen: [\n": "expected the node content",
            "- a\n": "must be a table of settings",
            "": "must be a table of settings",
            "rate: 1\n": "setting 'listen' is missing: where",
            "listen: 10.0.0.1:99999\n": "must be a numeric address",
            "listen: 10.0.0.1:1\nnames: [a, 3]\n": "must be a non-empty string",
        }
        for source, problem in cases.items():
            with self.subTest(source=source):
                found = findings_of(source)
                self.assertTrue(any(problem in item for item in found), found)

    @settings(max_examples=1000)
    @given(
        source=st.one_of(
            st.text(max_size=80), st.text("{}[]:-&*!|>\n ab1", max_size=40)
        )
    )
    def test_malformed_files_raise_only_settings_errors(self, source):
        """Any text is either accepted or rejected with findings."""
        try:
            check(source)
        except SettingsError as error:
            self.assertTrue(error.findings)


if __name__ == "__main__":
    unittest.main()
