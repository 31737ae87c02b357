#!/bin/sh
# The stand-ins need no build beyond that of the deploy file: they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
