"""The judge's self-test, short days and a short soak on a local deployment, and command line errors."""

import subprocess
import sys
from pathlib import Path

import pytest

from heathford.days import judge_scenarios

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("scenario", judge_scenarios.CLEAN)
def test_clean_recordings_pass(scenario: "judge_scenarios.Scenario") -> None:
    assert judge_scenarios.failed_checks(scenario) == set()


@pytest.mark.parametrize("scenario, check", judge_scenarios.VIOLATIONS)
def test_each_violation_is_found_alone(scenario: "judge_scenarios.Scenario", check: str) -> None:
    assert judge_scenarios.failed_checks(scenario) == {check}


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
    result = heathford("day", "deploy/local.star", f"days/{day}.star", "--seconds", str(seconds))
    assert result.returncode == 0, result.stdout + result.stderr
    assert result.stdout.splitlines()[-1].endswith("passed, 0 failed")


def test_a_short_soak_keeps_the_rules() -> None:
    result = heathford("soak", "sessions", "--minutes", "0.33")
    assert result.returncode == 0, result.stdout + result.stderr
    assert "11 passed, 0 failed" in result.stdout


def test_up_streams_one_answer_and_ends() -> None:
    result = heathford("up", "deploy/local.star", "--ask", "a headline")
    assert result.returncode == 0, result.stderr
    assert "finished: 3 prompt tokens" in result.stdout


@pytest.mark.parametrize(
    "arguments, code, message",
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
def test_commands_report_errors(arguments: list[str], code: int, message: str) -> None:
    result = heathford(*arguments)
    assert result.returncode == code and message in result.stdout + result.stderr
