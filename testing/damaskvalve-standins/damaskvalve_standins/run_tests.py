"""Runs all tests with nose2 and ends with the line ``N passed, N failed``.

Tests listed in KNOWN-RED.txt are run, may fail and are printed. An intermittent test
may pass or fail. A run of all tests fails if a listed test that is not intermittent
did not fail, or if an intermittent test was not run.
"""

import sys
from collections.abc import Collection, Mapping
from pathlib import Path
from typing import NamedTuple

import hypothesis
from nose2.main import PluggableTestProgram

from damaskvalve_standins import tally

ROOT = Path(__file__).resolve().parents[3]
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
INTERMITTENT = "intermittent"
PACKAGES = (
    "packages/damaskvalve-core",
    "packages/damaskvalve-state",
    "packages/damaskvalve-agent",
    "packages/damaskvalve",
    "packages/damaskvalve-gateway",
    "platform",
    "testing/damaskvalve-standins",
)


class KnownRed(NamedTuple):
    """An entry of KNOWN-RED.txt."""

    notes: str
    #: Whether the test fails only in some runs.
    is_intermittent: bool


def parse_known_red(text: str) -> dict[str, KnownRed]:
    """Parse the text of KNOWN-RED.txt into entries by test id."""
    entries = {}
    for line in text.splitlines():
        if line.strip() and not line.startswith("#"):
            name, _, rest = line.partition("|")
            first_word, _, after_first_word = name.strip().partition(" ")
            is_intermittent = first_word == INTERMITTENT and bool(after_first_word)
            test = after_first_word.strip() if is_intermittent else name.strip()
            entries[test] = KnownRed(rest.strip(), is_intermittent)
    return entries


def report_outcome(
    allowed: Mapping[str, KnownRed],
    ran: Collection[str],
    failed: Collection[str],
    *,
    is_full_run: bool,
) -> int:
    """Print the outcome of a run; return 1 if the run failed.

    A run also fails if it has no tests. Listed tests that pass or were not run are
    errors only in a full run.
    """
    known_failures = [name for name in sorted(failed) if name in allowed]
    for name in known_failures:
        if not allowed[name].is_intermittent:
            print(f"known red: {name}: {allowed[name].notes}")
    stale_entries = []
    for name, entry in allowed.items():
        if entry.is_intermittent:
            if name in ran or name in failed:
                outcome = "failed" if name in failed else "passed"
                print(f"intermittent, {outcome} this time: {name}: {entry.notes}")
            elif is_full_run:
                stale_entries.append(f"listed in KNOWN-RED.txt but was not run: {name}")
        elif is_full_run and name not in failed:
            stale_entries.append(f"listed in KNOWN-RED.txt but did not fail: {name}")
    for line in stale_entries:
        print(line)
    unexpected_count = len(failed) - len(known_failures)
    print(f"{len(ran) - len(failed)} passed, {unexpected_count} failed")
    return 1 if unexpected_count or stale_entries or not ran else 0


def use_fixed_profile() -> None:
    """Make Hypothesis generate the same examples in every run."""
    hypothesis.settings.register_profile(
        "fixed",
        derandomize=True,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    hypothesis.settings.load_profile("fixed")


def _run(package: str, names: list[str]) -> None:
    arguments = ["nose2", "-s", package, "-t", package, *names]
    plugins = [tally.__name__]
    PluggableTestProgram(module=None, argv=arguments, exit=False, plugins=plugins)


def main(names: list[str]) -> int:
    """Run all or the named tests; return 1 if an unlisted test failed."""
    use_fixed_profile()
    allowed = parse_known_red(KNOWN_RED_FILE.read_text(encoding="utf-8"))
    for package in PACKAGES:
        _run(str(ROOT / package), names)
    return report_outcome(allowed, tally.RAN, tally.FAILED, is_full_run=not names)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
