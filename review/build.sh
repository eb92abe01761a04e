#!/bin/bash
# Prepares the stand-ins that the scripts of review/ start. All of them are Python:
# the project's store stand-in (src/siskinspool/standins) and the programs in this folder.
# Run it at any place, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=src:target/deps PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import ast
import pathlib

import siskinspool.platform.daemon  # noqa: F401
import siskinspool.standins.platform_store  # noqa: F401

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print("stand-ins are ready")
PY
