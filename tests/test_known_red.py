"""The KNOWN-RED.txt plugin: which tests it marks, and which files it refuses."""

import shutil
from pathlib import Path

import pytest

from known_red import KnownFailure, KnownRedError, parse

PLUGIN = Path(__file__).with_name("known_red.py")
FAILS = "test_it.py::test_fails"
PASSES = "test_it.py::test_passes"


@pytest.fixture
def project(pytester: pytest.Pytester) -> pytest.Pytester:
    """A project of two tests, one of which fails."""
    shutil.copy(PLUGIN, pytester.path / "known_red.py")
    pytester.makeconftest('pytest_plugins = ["known_red"]')
    pytester.makeini("[pytest]\ntestpaths = test_it.py\n")
    pytester.makepyfile(test_it="def test_fails():\n    assert False\n\ndef test_passes():\n    pass\n")
    return pytester


def run(project: pytest.Pytester, known: str | None, *options: str) -> pytest.RunResult:
    if known is not None:
        (project.path / "KNOWN-RED.txt").write_text(known)
    return project.runpytest_inprocess("-p", "no:cacheprovider", *options)


@pytest.mark.parametrize(
    "text, entries",
    [
        ("", []),
        ("\n# a remark\n", []),
        ("a.py::t | it loops | issue 3\n", [KnownFailure("a.py::t", "it loops", "issue 3")]),
    ],
)
def test_entries_are_parsed(text: str, entries: list[KnownFailure]) -> None:
    assert parse(text) == entries


@pytest.mark.parametrize(
    "text, why",
    [
        ("a.py::t | cause", "KNOWN-RED.txt:1"),
        ("a.py::t | | issue 3", "KNOWN-RED.txt:1"),
        (" | cause | issue 3", "KNOWN-RED.txt:1"),
        ("# x\na.py::t | cause | ", "KNOWN-RED.txt:2"),
        ("a.py::t | c | i | more", "KNOWN-RED.txt:1"),
        ("".join(f"a.py::t{n} | c | i\n" for n in range(4)), "4 entries"),
        ("a.py::t | c | i\na.py::t | d | j\n", "twice"),
    ],
)
def test_malformed_file_is_refused(text: str, why: str) -> None:
    with pytest.raises(KnownRedError, match=why):
        parse(text)


@pytest.mark.parametrize("known", [None, "", "# nothing\n"])
def test_without_entries_a_failure_fails_the_run(project: pytest.Pytester, known: str | None) -> None:
    run(project, known).assert_outcomes(failed=1, passed=1)


def test_listed_test_is_expected_to_fail_and_printed(project: pytest.Pytester) -> None:
    result = run(project, f"{FAILS} | it is broken | issue 3\n")
    result.assert_outcomes(xfailed=1, passed=1)
    assert result.ret == 0
    result.stdout.fnmatch_lines([f"known to fail: {FAILS}: it is broken (issue 3)"])


def test_listed_test_that_passes_fails_the_run(project: pytest.Pytester) -> None:
    result = run(project, f"{FAILS} | it is broken | issue 3\n{PASSES} | once broken | issue 4\n")
    result.assert_outcomes(xfailed=1, failed=1)
    assert result.ret == 1


@pytest.mark.parametrize(
    "known",
    [
        "test_it.py::test_gone | c | issue 3\n",
        "gone.py::test_fails | c | issue 3\n",
        f"{FAILS} | c\n",
        f"{FAILS}[2] | c | issue 3\n",
        "test_it.py | c | issue 3\n",
        "".join(f"{FAILS}{n} | c | i\n" for n in range(4)),
    ],
)
def test_refused_file_is_a_usage_error(project: pytest.Pytester, known: str) -> None:
    result = run(project, known)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["ERROR: KNOWN-RED.txt*"])


def test_several_workers_mark_tests_alike(project: pytest.Pytester) -> None:
    result = run(project, f"{FAILS} | it is broken | issue 3\n", "-n", "2")
    result.assert_outcomes(xfailed=1, passed=1)
    result.stdout.fnmatch_lines([f"known to fail: {FAILS}: it is broken (issue 3)"])


def test_several_workers_refuse_an_unknown_test(project: pytest.Pytester) -> None:
    result = run(project, "test_it.py::test_gone | c | issue 3\n", "-n", "2")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["ERROR: KNOWN-RED.txt: no such test: test_it.py::test_gone"])
