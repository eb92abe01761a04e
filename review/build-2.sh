#!/bin/sh
# Builds the stand-ins of the second review: site2.py and each case, with the standard
# library only. The gateways are built by the deploy file.
set -e
cd "$(dirname "$0")"
python3 -m py_compile site2.py
for case in 6 7 8 9 10; do
    if [ -f "$case/case.py" ]; then python3 -m py_compile "$case/case.py"; fi
done
