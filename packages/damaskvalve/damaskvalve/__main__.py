"""Runs the command line with ``python -m damaskvalve``."""

import sys

from damaskvalve._cli._main import main

if __name__ == "__main__":
    sys.exit(main())
