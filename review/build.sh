#!/bin/sh
# The stand-ins are Python files of the standard library only; this checks that they
# compile. The project itself is built by the command of the deploy file.
cd "$(dirname "$0")/.." && python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
