#!/usr/bin/env bash
# Checks that all that the scripts of the third review start can run: the stand-ins are
# modules of review/rig3 and need no compiler, only what the deploy file has built.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1
python3 -c 'import rig3.server, rig3.site, rig3.store'
