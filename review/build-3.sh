#!/usr/bin/env bash
# Checks that all that the scripts of the third review start can run: the stand-ins are
# modules review/rig3_*.py and need no compiler, only what the deploy file has built.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1
python3 -c 'import rig3_server, rig3_site, rig3_store'
