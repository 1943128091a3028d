#!/bin/bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the
# disruption out. 120 s at most; writes record.txt beside this file.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "run the deploy file's build first" >&2; exit 2; }
exec ../../.venv/bin/python -B case.py
