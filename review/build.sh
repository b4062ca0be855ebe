#!/usr/bin/env bash
# Builds every stand-in that the scripts start. All of them are Python programs of review/lib, so that nothing has to be
# compiled; this checks that they are complete. The programs under test come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
for file in sorted(glob.glob("lib/*.py") + glob.glob("*/case.py")):
    with open(file) as source:
        compile(source.read(), file, "exec")
PY
