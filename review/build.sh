#!/bin/sh
# The stand-ins are Python scripts: building them checks that they compile.
set -e
cd "$(dirname "$0")/.."
for file in review/tests/*.py review/*/tests/*.py; do
    python3 - "$file" <<'CHECK'
import ast
import pathlib
import sys

ast.parse(pathlib.Path(sys.argv[1]).read_text(encoding='utf-8'))
CHECK
done
