"""The ``damaskvalve-agent`` binary."""

import argparse
import sys
from pathlib import Path

from damaskvalve_agent._agent import run_agent
from damaskvalve_agent._settings import read_settings
from damaskvalve_core import OperatorError, SettingsError, logging_to

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 3


def main() -> int:
    """Run one agent; exit code 3 if the settings have to be mended, 1 if it failed."""
    parser = argparse.ArgumentParser(
        prog="damaskvalve-agent",
        description="Runs beside one backend server and gives it work and orders.",
    )
    parser.add_argument(
        "--settings", type=Path, required=True, help="the YAML settings file"
    )
    arguments = parser.parse_args()
    try:
        settings = read_settings(arguments.settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    with logging_to(settings.log_level, settings.log_style, settings.log_destination):
        try:
            run_agent(settings)
        except OperatorError as error:
            print(f"error: {error}", file=sys.stderr)
            return EXIT_FAILED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
