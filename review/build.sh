#!/bin/sh
# The stand-ins of the scripts are Python and need no build; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "."); import rig'
