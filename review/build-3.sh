#!/bin/sh
# Prepares what the scripts of the third review start besides the program of the deploy file. The
# stand-ins are in Python, in rig_3.py and tests/platform/soak/standins.py; nothing is compiled.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast
for path in ("review/rig_3.py", "tests/platform/soak/standins.py"):
    ast.parse(open(path).read(), path)
'
test -x target/damaskshored/damaskshored
