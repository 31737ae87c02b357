"""`python -m heathford`: the commands."""

from heathford.cli.main import cli

if __name__ == "__main__":
    cli(prog_name="heathford")
