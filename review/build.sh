#!/bin/sh
# Builds every stand-in that the cases start. They are Python programs of the
# standard library (review/deployment.py and tools/hosted.py), so there is nothing to
# compile: this only checks that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path[:0] = ["review", "tools"]
import deployment
'
