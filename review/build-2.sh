#!/bin/sh
# Build the stand-ins of cases 6 to 8, after the build of the deploy file. They are plain Python.
cd "$(dirname "$0")/.." && test -e .venv/complete && exec .venv/bin/python -m compileall -q \
    review/kit_2.py review/6 review/7 review/8
