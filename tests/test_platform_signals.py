"""Signals that come before a front node can act on them, in a process of its own.

The process sends itself the signal right after its first lines, so that it comes at that point every time.
"""

import asyncio
import signal
from collections.abc import Sequence
from pathlib import Path

import orjson
import pytest
from node_processes import PLATFORM_COMMAND, node_process, wait_for_log

from heathford.child_signals import send_signal

STARTS = """
import os, runpy, signal, sys
from heathford.early_signals import EARLY_SIGNALS
hold = EARLY_SIGNALS.install
def signalled():
    hold()
    for number in {numbers}:
        os.kill(os.getpid(), number)
EARLY_SIGNALS.install = signalled
sys.argv = ["heathford", "--log", "json", "platform"]
runpy.run_module("heathford", run_name="__main__")
"""


async def started(folder: Path, numbers: Sequence[int]) -> tuple[int | None, list[dict[str, object]]]:
    """The exit status, or None while it runs, and what it has logged until it was ready or ended."""
    script = STARTS.format(numbers=[int(number) for number in numbers])
    said = []
    async with node_process(folder, "-c", script) as process, asyncio.timeout(10.0):
        assert process.stderr
        while line := await process.stderr.readline():
            said.append(orjson.loads(line))
            if said[-1]["event"] == "ready":
                return None, said
        return await process.wait(), said


@pytest.mark.parametrize("count", [1, 3])
def test_a_reload_while_the_program_is_loaded_is_done_once_it_can_be(tmp_path: Path, count: int) -> None:
    """Seen before: the process ended by the signal, without a word."""
    status, said = asyncio.run(started(tmp_path, count * [signal.SIGHUP]))
    assert status is None
    assert [line["event"] for line in said].count("configuration read") == count


@pytest.mark.parametrize("numbers", [[signal.SIGTERM], [signal.SIGHUP, signal.SIGTERM]])
def test_an_end_while_the_program_is_loaded_is_an_orderly_one(
    tmp_path: Path, numbers: list[signal.Signals]
) -> None:
    status, said = asyncio.run(started(tmp_path, numbers))
    assert status == 0 and "ready" not in [line["event"] for line in said]


def test_asking_for_the_history_before_it_can_be_told_ends_nothing(tmp_path: Path) -> None:
    """The default of the signal would end the process."""
    status, said = asyncio.run(started(tmp_path, [signal.SIGUSR1]))
    assert status is None and said[-1]["event"] == "ready"


def test_a_reload_as_the_process_ends_does_not_change_how_it_ends(tmp_path: Path) -> None:
    """Seen before: once its event loop was closed SIGHUP ended it, with status -1."""

    async def day() -> None:
        async with node_process(tmp_path, *PLATFORM_COMMAND) as process:
            await wait_for_log(process, b'"ready"')
            send_signal(process, signal.SIGTERM)
            assert process.stderr
            reading = asyncio.create_task(process.stderr.read())
            while process.returncode is None:
                send_signal(process, signal.SIGHUP)
                await asyncio.sleep(0.001)
            assert process.returncode == 0
            assert b"Traceback" not in await reading

    asyncio.run(day())
