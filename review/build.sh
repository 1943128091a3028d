#!/bin/bash
# Builds what the cases start beside the node. Their stand-ins are Python scripts of the standard
# library alone (review/rig.py and each case.py), so all there is to do is to see that they compile
# with the interpreter of the deploy file's build. No script starts a stand-in of the project's own.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "the build of deploy/balancer.toml comes first" >&2; exit 2; }
for file in review/rig.py review/[0-9]/case.py; do
	.venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
