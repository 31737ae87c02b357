"""The command line of an earlier version, from a folder: benchmarks.earlier_front FOLDER front …"""

import sys

if __name__ == "__main__":
    sys.path.insert(0, sys.argv.pop(1))
    from heathford.cli.main import cli

    cli()
