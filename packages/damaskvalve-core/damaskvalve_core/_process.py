"""Start of a process from its settings file."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Protocol, TypeVar

import logbook

from damaskvalve_core._exceptions import (
    OperatorError,
    SettingsError,
    StartEndedError,
)
from damaskvalve_core._logs import logging_to

if TYPE_CHECKING:
    # Processes whose settings are not YAML do not import the YAML parser.
    from damaskvalve_core._common_settings import LogSettings

_log = logbook.Logger("process")

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 3


class ProcessSettings(Protocol):
    """The settings that every process has."""

    log: "LogSettings"


S = TypeVar("S", bound=ProcessSettings)


def run_from_settings(
    path: Path, read: Callable[[Path], S], run: Callable[[S], None]
) -> int:
    """Read the settings, run the process and return its exit code.

    The exit code is 3 if the settings are invalid and 1 if an operator has to
    intervene. Both errors are printed to standard error.
    """
    try:
        settings = read(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    log = settings.log
    with logging_to(log.level, log.style, log.destination):
        try:
            run(settings)
        except StartEndedError as error:
            _log.info("the start is given up: {}", error)
        except OperatorError as error:
            print(f"error: {error}", file=sys.stderr)
            return EXIT_FAILED
    return EXIT_OK
