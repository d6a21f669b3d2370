#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs without
# dependencies, so that only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import glob
import sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed (tomllib)"
for name in glob.glob("lib/*.py") + glob.glob("[1-5]/*.py"):
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PY
