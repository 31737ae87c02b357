"""Run the command line under cProfile: python -m benchmarks.profiled_front FILE front …."""

import cProfile
import sys

from heathford.cli.main import cli

if __name__ == "__main__":
    path = sys.argv.pop(1)
    profiler = cProfile.Profile()
    try:
        profiler.runcall(cli)
    finally:
        profiler.dump_stats(path)
