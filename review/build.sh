#!/bin/sh
# Builds the stand-ins of review/: Python of the standard library alone, so compiling is all there is.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib, sys
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("compiles:", path)
PY
