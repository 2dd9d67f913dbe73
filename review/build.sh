#!/usr/bin/env bash
# The stand-ins need the standard library only: this checks that all of them compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
from pathlib import Path

for path in sorted(Path().rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
