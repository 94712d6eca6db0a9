"""Shared arguments and exit codes of the commands."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import cappa

from damaskvalve_core import DamaskvalveError, SettingsError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_SETTINGS = 3
EXIT_CONFLICT = 4

SettingsPath = Annotated[
    Path, cappa.Arg(long="--settings", help="the YAML settings file")
]
OperatorPath = Annotated[
    Path, cappa.Arg(long="--operator", help="the operator's YAML settings file")
]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="print JSON for scripts")]
Wait = Annotated[bool, cappa.Arg(long="--wait", help="wait until in force everywhere")]


def run_reporting_errors(work: Callable[[], int]) -> int:
    """Run a command; if it fails, print the error and return its exit code."""
    from damaskvalve._operator import ConflictError

    try:
        return work()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    except ConflictError as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_CONFLICT
    except DamaskvalveError as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_FAILED
