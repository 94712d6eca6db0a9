"""Runs every test with nose2 and closes with ``N passed, N failed``.

Tests named in KNOWN-RED.txt may fail; they are run and printed, and one that
passes has to be taken off the list. One that is marked as intermittent may pass
too, but it has to be run.
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
    """What is known of a listed test."""

    notes: str
    #: Whether the test fails only in some runs.
    is_intermittent: bool


def known_red(text: str) -> dict[str, KnownRed]:
    """Return the tests that a list names, with what is known of them."""
    entries = {}
    for line in text.splitlines():
        if line.strip() and not line.startswith("#"):
            name, _, rest = line.partition("|")
            mark, _, marked = name.strip().partition(" ")
            is_intermittent = mark == INTERMITTENT and bool(marked)
            test = marked.strip() if is_intermittent else name.strip()
            entries[test] = KnownRed(rest.strip(), is_intermittent)
    return entries


def report(
    allowed: Mapping[str, KnownRed],
    ran: Collection[str],
    failed: Collection[str],
    *,
    whole: bool,
) -> int:
    """Print how the run ended; return 1 if it has to count as failed.

    Only a whole run, one of all tests, tells what the list names wrongly.
    """
    red = [name for name in sorted(failed) if name in allowed]
    for name in red:
        if not allowed[name].is_intermittent:
            print(f"known red: {name}: {allowed[name].notes}")
    wrong = []
    for name, entry in allowed.items():
        if entry.is_intermittent:
            if name in ran or name in failed:
                outcome = "failed" if name in failed else "passed"
                print(f"intermittent, {outcome} this time: {name}: {entry.notes}")
            elif whole:
                wrong.append(f"listed in KNOWN-RED.txt but was not run: {name}")
        elif whole and name not in failed:
            wrong.append(f"listed in KNOWN-RED.txt but passes: {name}")
    for line in wrong:
        print(line)
    bad = len(failed) - len(red)
    print(f"{len(ran) - len(failed)} passed, {bad} failed")
    return 1 if bad or wrong or not ran else 0


def use_fixed_profile() -> None:
    """Use the same examples in every run."""
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
    """Run all tests, or the named ones; return 1 if one failed that may not."""
    use_fixed_profile()
    allowed = known_red(KNOWN_RED_FILE.read_text(encoding="utf-8"))
    for package in PACKAGES:
        _run(str(ROOT / package), names)
    return report(allowed, tally.RAN, tally.FAILED, whole=not names)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
