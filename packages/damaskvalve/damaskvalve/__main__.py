"""The ``damaskvalve`` binary."""

import sys
from pathlib import Path


def main() -> int:
    """Run one command and return its exit code.

    A host that serves spares the memory of the command line's libraries.
    """
    words = sys.argv[1:]
    if len(words) == 3 and words[:2] == ["serve", "--settings"]:
        from damaskvalve._host import serve_host

        return serve_host(Path(words[2]))
    from damaskvalve._cli._main import run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
