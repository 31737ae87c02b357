"""The judge finds what it must; short days are played whole; the command line says what is wrong."""

import subprocess
import sys
from pathlib import Path

import pytest

from heathford.days import judge_scenarios

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("tell", judge_scenarios.CLEAN)
def test_clean_recordings_pass(tell: "judge_scenarios.Scenario") -> None:
    assert judge_scenarios.failed_checks(tell) == set()


@pytest.mark.parametrize("tell, check", judge_scenarios.VIOLATIONS)
def test_each_breach_is_found_alone(tell: "judge_scenarios.Scenario", check: str) -> None:
    assert judge_scenarios.failed_checks(tell) == {check}


def heathford(*arguments: str, timeout: float = 100.0) -> "subprocess.CompletedProcess[str]":
    return subprocess.run(
        [sys.executable, "-m", "heathford.cli.main", *arguments],
        cwd=ROOT,
        timeout=timeout,
        capture_output=True,
        text=True,
    )


@pytest.mark.parametrize("day, seconds", [("rack-restart", 10), ("drain-waves", 10)])
def test_a_short_day_keeps_the_rules(day: str, seconds: int) -> None:
    run = heathford("day", "deploy/local.star", f"days/{day}.star", "--seconds", str(seconds))
    assert run.returncode == 0, run.stdout + run.stderr
    assert run.stdout.splitlines()[-1].endswith("passed, 0 failed")


def test_a_short_soak_keeps_the_rules() -> None:
    run = heathford("soak", "sessions", "--minutes", "0.33")
    assert run.returncode == 0, run.stdout + run.stderr
    assert "11 passed, 0 failed" in run.stdout


def test_up_streams_one_completion_and_ends() -> None:
    run = heathford("up", "deploy/local.star", "--ask", "a headline")
    assert run.returncode == 0, run.stderr
    assert "finished: 3 prompt tokens" in run.stdout


@pytest.mark.parametrize(
    "arguments, code, what",
    [
        (["check", "deploy/local.star"], 0, "good"),
        (["check", "days/quiet.star"], 2, "Variable `day` not found"),
        (["front", "deploy/local.star", "--number", "9", "--registry", "x:1"], 2, "allowed are 0 to 1"),
        (
            ["complete", "--url", "ws://127.0.0.1:1/v1/sessions", "--timeout", "0.3", "x"],
            1,
            "nothing was sent",
        ),
        (
            ["complete", "--url", "ws://127.0.0.1:1/v1/sessions", "--url", "http://127.0.0.1:1", "x"],
            2,
            "allowed",
        ),
        (["judge", "pyproject.toml"], 1, "pyproject.toml:1"),
        (["judge"], 2, "RECORDING"),
    ],
)
def test_commands_say_what_is_wrong(arguments: list[str], code: int, what: str) -> None:
    run = heathford(*arguments)
    assert run.returncode == code and what in run.stdout + run.stderr
