#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs without dependencies, so this checks
# that the interpreter is there and compiles them in memory.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib, sys
assert sys.version_info >= (3, 10), "Python 3.10 or later is needed"
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
