#!/bin/sh
# Checks that the stand-ins and scenarios of the second review compile.  They
# need only the interpreter's own library; nothing is left behind.
set -eu
cd "$(dirname "$0")"
for path in shared-2/tests/*.py 6/tests/*.py 7/tests/*.py 8/tests/*.py \
    9/tests/*.py 10/tests/*.py; do
    [ -e "$path" ] || continue
    python3 -B -c 'import ast, pathlib, sys
ast.parse(pathlib.Path(sys.argv[1]).read_text(encoding="utf-8"))' "$path"
done
