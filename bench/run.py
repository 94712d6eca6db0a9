"""Runs the benchmarks of ``PARTS`` in sequence and writes ``build/bench.json``."""

import json
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
PARTS = ("policy", "limits", "claims", "path")


def main() -> int:
    """Run each benchmark and merge the rows of all of them into one file."""
    rows = []
    for part in PARTS:
        subprocess.run([sys.executable, str(HERE / f"{part}.py")], check=True, cwd=HERE)
        rows.extend(json.loads((HERE.parent / "build" / f"{part}.json").read_text()))
    (HERE.parent / "build" / "bench.json").write_text(json.dumps(rows, indent=1) + "\n")
    print(f"{len(rows)} rows in build/bench.json")
    return 0


if __name__ == "__main__":
    sys.exit(main())
