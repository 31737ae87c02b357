"""Pytest plugin for KNOWN-RED.txt: tests that fail because of a known fault that is not fixed yet.

Each line names one test, the cause and the issue, separated by ``|``. These tests are expected to fail,
strictly: one that passes fails the run until its line is removed. Empty lines and lines that begin with ``#``
are skipped.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

FILE_NAME = "KNOWN-RED.txt"
MOST_ENTRIES = 3  # agreed with the users: a longer list hides faults instead of naming them


class KnownRedError(Exception):
    """The file is malformed, too long, or names a test that does not exist."""


@dataclass(frozen=True)
class KnownFailure:
    """One test that is known to fail."""

    node_id: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownFailure]:
    """Read the entries of the file. Raises KnownRedError, naming the line."""
    entries: list[KnownFailure] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise KnownRedError(f"{FILE_NAME}:{number}: expected 'test | cause | issue'")
        entries.append(KnownFailure(*fields))
    if len(entries) > MOST_ENTRIES:
        raise KnownRedError(f"{FILE_NAME}: {len(entries)} entries, at most {MOST_ENTRIES} are allowed")
    if len({entry.node_id for entry in entries}) < len(entries):
        raise KnownRedError(f"{FILE_NAME}: a test is listed twice")
    return entries


def missing(entries: Sequence[KnownFailure], collected: Sequence[str]) -> list[str]:
    """Return the listed tests that were not collected."""
    known = set(collected)
    return [entry.node_id for entry in entries if entry.node_id not in known]


def unknown_to(root: Path, entries: Sequence[KnownFailure]) -> list[str]:
    """Return the listed tests whose file does not define them; needs no collected tests."""
    unknown = []
    for entry in entries:
        file, _, name = entry.node_id.partition("::")
        function = name.rpartition("::")[2].partition("[")[0]
        path = root / file
        if not function or not path.is_file() or f"def {function}(" not in path.read_text():
            unknown.append(entry.node_id)
    return unknown


def read(root: Path) -> list[KnownFailure]:
    """Return the entries of the file at the root; none if there is no file."""
    path = root / FILE_NAME
    return parse(path.read_text()) if path.exists() else []


def pytest_configure(config: pytest.Config) -> None:
    """Refuse a malformed file before workers start, as they could not report it."""
    try:
        if unknown := unknown_to(config.rootpath, read(config.rootpath)):
            raise KnownRedError(f"{FILE_NAME}: no such test: {', '.join(unknown)}")
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected to fail, and refuse a file that lists unknown tests."""
    try:
        entries = read(config.rootpath)
        chosen_tests = any("::" in argument for argument in config.args)
        files = {item.nodeid.partition("::")[0] for item in items}
        # A run of a few files can't tell whether a test of another file exists.
        whole = not chosen_tests and config.args == config.getini("testpaths")
        checked = [
            entry
            for entry in entries
            if whole or (not chosen_tests and entry.node_id.partition("::")[0] in files)
        ]
        unknown = missing(checked, [item.nodeid for item in items])
        if unknown:
            raise KnownRedError(f"{FILE_NAME}: no such test: {', '.join(unknown)}")
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    by_id = {entry.node_id: entry for entry in entries}
    for item in items:
        if entry := by_id.get(item.nodeid):
            reason = f"{entry.cause} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    """Print the listed tests, so that the run is not taken for one without failures."""
    try:
        entries = read(config.rootpath)
    except KnownRedError:
        return  # refused when the tests were collected
    for entry in entries:
        terminalreporter.write_line(f"known to fail: {entry.node_id}: {entry.cause} ({entry.issue})")
