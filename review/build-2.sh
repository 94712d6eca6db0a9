#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library of Python
# only, so this checks that they can be compiled. Run it after the build of the deploy
# file, which puts the programs under test into target/deps.
set -e
cd "$(dirname "$(readlink -f "$0")")"
test -d ../target/deps/damaskvalve_platform || {
    echo "run the build of deploy/system.toml first" >&2
    exit 2
}
python3 -B - <<'PY'
import pathlib

for path in [*pathlib.Path("support-2").glob("*.py"), *pathlib.Path().glob("*/case.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
