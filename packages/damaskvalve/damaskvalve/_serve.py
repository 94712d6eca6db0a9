"""Starts a host from its settings file, without the command line's libraries."""

import sys
from pathlib import Path

from damaskvalve._host import run_host
from damaskvalve._settings import read_settings
from damaskvalve_core import OperatorError, SettingsError, logging_to

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 3


def serve_host(path: Path) -> int:
    """Run a host; exit code 3 if the settings have to be mended, 1 if it failed."""
    try:
        settings = read_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    with logging_to(settings.log_level, settings.log_style, settings.log_destination):
        try:
            run_host(settings)
        except OperatorError as error:
            print(f"error: {error}", file=sys.stderr)
            return EXIT_FAILED
    return EXIT_OK
