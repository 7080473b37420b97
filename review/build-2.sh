#!/bin/sh
# Prepares what the scripts review/7 and review/8 start, after the build of the deploy file. The
# stand-ins (review/rig_2.py) are Python and need no build, so this checks them and the program.
set -e
cd "$(dirname "$0")/.."
test -x target/damaskshored/damaskshored
PYTHONDONTWRITEBYTECODE=1 python3 - review/rig_2.py review/[0-9]*/case.py <<'PY'
import sys

for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
PY
