#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
N=$(basename "$PWD")
cd ../.. || exit 2
[ -d target/deps/cassiahold ] || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/tests \
    exec python3 "review/$N/tests/case.py"
