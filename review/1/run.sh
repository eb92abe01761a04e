#!/bin/bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it cannot run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" && exec env PYTHONDONTWRITEBYTECODE=1 python3 case.py
