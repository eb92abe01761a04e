#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1
exec python3 review/11/case.py
