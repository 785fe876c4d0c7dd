#!/bin/bash
# The stand-ins and the cases need only Python's standard library: there is
# nothing to build, and this checks that they compile.
cd "$(dirname "$0")" || exit 1
python3 -B - <<'END'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
  compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
