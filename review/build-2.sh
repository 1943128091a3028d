#!/bin/sh
# What the scripts of review/6 to review/10 start, built once, with the package registry at hand.
# The node and the stand-ins (Python's standard library alone) run in .venv, which the build of the
# deploy file makes; the hosted service of cases 7 and 8 runs in .venv-dev. Built already, this
# changes nothing and needs no network.
set -eu
cd "$(dirname "$0")/.."
make setup
.venv/bin/python -B -c "import asyncio, tomllib"
.venv-dev/bin/python -B -c "import tansywood.service.serve"
