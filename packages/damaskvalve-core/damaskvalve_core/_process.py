"""Runs a process from its settings file."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Protocol, TypeVar

from damaskvalve_core._exceptions import OperatorError, SettingsError
from damaskvalve_core._logs import logging_to

if TYPE_CHECKING:
    # Reading YAML is not needed where settings have another form.
    from damaskvalve_core._common_settings import LogSettings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 3


class ProcessSettings(Protocol):
    """What the settings of every process have in common."""

    log: "LogSettings"


S = TypeVar("S", bound=ProcessSettings)


def run_from_settings(
    path: Path, read: Callable[[Path], S], run: Callable[[S], None]
) -> int:
    """Run until the process ends and return its exit code.

    The code is 3 if the settings have to be mended and 1 if an operator has to
    act; what is to be done is printed.
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
        except OperatorError as error:
            print(f"error: {error}", file=sys.stderr)
            return EXIT_FAILED
    return EXIT_OK
