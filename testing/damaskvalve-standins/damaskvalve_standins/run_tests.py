"""Runs every test with nose2 and closes with ``N passed, N failed``.

Tests named in KNOWN-RED.txt may fail; they are run and printed, and one that
passes has to be taken off the list.
"""

import sys
from pathlib import Path

import hypothesis
from nose2.main import PluggableTestProgram

from damaskvalve_standins import tally

ROOT = Path(__file__).resolve().parents[3]
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
PACKAGES = (
    "packages/damaskvalve-core",
    "packages/damaskvalve-state",
    "packages/damaskvalve-agent",
    "packages/damaskvalve",
    "packages/damaskvalve-gateway",
    "platform",
    "testing/damaskvalve-standins",
)


def known_red() -> dict[str, str]:
    """Return the listed tests with what is known of them."""
    entries = {}
    for line in KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            name, _, rest = line.partition("|")
            entries[name.strip()] = rest.strip()
    return entries


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
    allowed = known_red()
    for package in PACKAGES:
        _run(str(ROOT / package), names)
    count = len(tally.RAN)
    failed = sorted(tally.FAILED)
    red = [name for name in failed if name in allowed]
    for name in red:
        print(f"known red: {name}: {allowed[name]}")
    healed = [name for name in allowed if name not in failed and not names]
    for name in healed:
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    bad = len(failed) - len(red)
    print(f"{count - len(failed)} passed, {bad} failed")
    return 1 if bad or healed or count == 0 else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
