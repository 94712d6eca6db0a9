"""Entry point of the ``damaskvalve`` program."""

import sys
from pathlib import Path


def main() -> int:
    """Run one command and return its exit code.

    ``serve --settings PATH`` does not import the libraries of the command line,
    which saves memory on hosts.
    """
    arguments = sys.argv[1:]
    if len(arguments) == 3 and arguments[:2] == ["serve", "--settings"]:
        from damaskvalve._host import serve_host

        return serve_host(Path(arguments[2]))
    from damaskvalve._cli._main import run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
