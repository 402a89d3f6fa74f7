#!/usr/bin/env bash
# The stand-ins of the cases are Python modules of the standard library only; this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
for file in sorted(pathlib.Path(".").rglob("*.py")):
    compile(file.read_text(encoding="utf-8"), str(file), "exec")
PYTHON
echo "the stand-ins are ready"
