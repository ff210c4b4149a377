#!/bin/sh
# Prepares what the scripts of review/4 to review/8 start beside the deploy file's build. Their
# stand-ins are Python programs (review/rig): they need no build, only to be sound.
set -e
cd "$(dirname "$0")"
python3 - rig/rig.py rig/worker.py [4-8]/case.py <<'PY'
import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
PY
test -x ../target/rillknot-node || {
    echo "target/rillknot-node: build it first, as deploy/system.toml says" >&2
    exit 1
}
