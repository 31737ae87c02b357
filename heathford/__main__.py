"""Run the command line: `python -m heathford`."""

import sys

from heathford.early_signals import EARLY_SIGNALS

if __name__ == "__main__":
    if "platform" in sys.argv[1:]:
        EARLY_SIGNALS.install()  # before the other modules are loaded, which takes most of a start
    from heathford.cli.main import cli

    cli(prog_name="heathford")
