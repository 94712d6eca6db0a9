"""The ``damaskvalve-agent`` command."""

import argparse
import sys
from pathlib import Path

from damaskvalve_agent._agent import run_agent
from damaskvalve_agent._settings import read_settings
from damaskvalve_core import run_from_settings


def main() -> int:
    """Run one agent and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="damaskvalve-agent",
        description="Runs beside one backend server and gives it work and orders.",
    )
    parser.add_argument(
        "--settings", type=Path, required=True, help="the YAML settings file"
    )
    arguments = parser.parse_args()
    return run_from_settings(arguments.settings, read_settings, run_agent)


if __name__ == "__main__":
    sys.exit(main())
