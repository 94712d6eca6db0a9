"""Runs all tests with nose2 and ends with the line ``N passed, N failed``.

Tests listed in KNOWN-RED.txt are run, may fail and are printed. An intermittent test
may pass or fail. A run of all tests fails if a listed test that is not intermittent
did not fail, or if an intermittent test was not run.

Each package runs in a process of its own, a few at a time. The tests of a package run
one after the other; no two packages use the same loopback addresses.
"""

import argparse
import concurrent.futures
import json
import subprocess
import sys
import tempfile
from collections.abc import Collection, Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

import hypothesis
from nose2.main import PluggableTestProgram

from damaskvalve_standins import tally

ROOT = Path(__file__).resolve().parents[3]
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
INTERMITTENT = "intermittent"
# Those that take longest come first.
PACKAGES = (
    "platform",
    "testing/damaskvalve-standins",
    "packages/damaskvalve-state",
    "packages/damaskvalve-gateway",
    "packages/damaskvalve-agent",
    "packages/damaskvalve-core",
    "packages/damaskvalve",
)
MAX_PARALLEL_PACKAGES = 3


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


def _run(package: str, names: Sequence[str]) -> None:
    arguments = ["nose2", "-s", package, "-t", package, *names]
    plugins = [tally.__name__]
    PluggableTestProgram(module=None, argv=arguments, exit=False, plugins=plugins)


def _run_package(package: str, names: Sequence[str], outcome_file: Path) -> None:
    """Run the tests of one package; write which ran and which failed."""
    use_fixed_profile()
    _run(str(ROOT / package), names)
    outcome = {"ran": sorted(tally.RAN), "failed": sorted(tally.FAILED)}
    outcome_file.write_text(json.dumps(outcome), encoding="utf-8")


def _run_in_process(
    package: str, names: Sequence[str], folder: Path
) -> tuple[str, Path]:
    """Run a package in a process of its own; return its output and outcome file."""
    outcome_file = folder / f"{package.replace('/', '-')}.json"
    command = [sys.executable, "-m", "damaskvalve_standins.run_tests"]
    options = ["--package", package, "--outcome-file", str(outcome_file)]
    done = subprocess.run(
        [*command, *options, *names],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
    )
    return done.stdout, outcome_file


def _read_outcome(file: Path) -> dict[str, list[str]] | None:
    if not file.exists():
        return None
    outcome: dict[str, list[str]] = json.loads(file.read_text(encoding="utf-8"))
    return outcome


def run_packages(
    packages: Sequence[str], names: Sequence[str]
) -> tuple[set[str], set[str]]:
    """Run packages, a few at a time; return the tests that ran and those that failed.

    A package without tests, or whose process ended before them, counts as one failed
    test, unless only some tests are named.
    """
    ran: set[str] = set()
    failed: set[str] = set()
    with (
        tempfile.TemporaryDirectory() as folder,
        concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_PACKAGES) as executor,
    ):
        runs = {
            executor.submit(_run_in_process, package, names, Path(folder)): package
            for package in packages
        }
        for run in concurrent.futures.as_completed(runs):
            output, outcome_file = run.result()
            print(f"{runs[run]}:\n{output}", flush=True)
            outcome = _read_outcome(outcome_file)
            if outcome is None or not (outcome["ran"] or names):
                outcome = {"ran": [runs[run]], "failed": [runs[run]]}
            ran.update(outcome["ran"])
            failed.update(outcome["failed"])
    return ran, failed


def main(arguments: Sequence[str]) -> int:
    """Run all or the named tests; return 1 if an unlisted test failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="ids of tests; all if none are given")
    parser.add_argument("--package", help="run the tests of this package only")
    parser.add_argument("--outcome-file", type=Path, help=argparse.SUPPRESS)
    options = parser.parse_args(arguments)
    if options.outcome_file is not None:
        _run_package(options.package, options.names, options.outcome_file)
        return 0
    allowed = parse_known_red(KNOWN_RED_FILE.read_text(encoding="utf-8"))
    packages = [options.package] if options.package else PACKAGES
    ran, failed = run_packages(packages, options.names)
    is_full_run = not options.names and not options.package
    return report_outcome(allowed, ran, failed, is_full_run=is_full_run)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
