"""Signals that arrive before a front node can handle them, or while it ends.

The process under test sends itself the signals right after its first lines, so that the moment is always the
same.
"""

import asyncio
import signal
from collections.abc import Sequence
from pathlib import Path

import orjson
import pytest
from node_processes import PLATFORM_COMMAND, node_process, wait_for_log

from heathford.child_signals import send_signal

START_SCRIPT = """
import os, runpy, signal, sys
from heathford.early_signals import EARLY_SIGNALS
hold = EARLY_SIGNALS.install
def install_and_signal():
    hold()
    for number in {numbers}:
        os.kill(os.getpid(), number)
EARLY_SIGNALS.install = install_and_signal
sys.argv = ["heathford", "--log", "json", "platform"]
runpy.run_module("heathford", run_name="__main__")
"""


async def run_until_ready(folder: Path, numbers: Sequence[int]) -> tuple[int | None, list[dict[str, object]]]:
    """Return the exit status, None if the process became ready, and the log lines up to that point."""
    script = START_SCRIPT.format(numbers=[int(number) for number in numbers])
    log_lines = []
    async with node_process(folder, "-c", script) as process, asyncio.timeout(10.0):
        assert process.stderr
        while line := await process.stderr.readline():
            log_lines.append(orjson.loads(line))
            if log_lines[-1]["event"] == "ready":
                return None, log_lines
        return await process.wait(), log_lines


@pytest.mark.parametrize("count", [1, 3])
def test_reload_while_the_program_loads_is_done_once_it_runs(tmp_path: Path, count: int) -> None:
    """Without a handler that early, SIGHUP ended the process without a log line."""
    status, log_lines = asyncio.run(run_until_ready(tmp_path, count * [signal.SIGHUP]))
    assert status is None
    assert [line["event"] for line in log_lines].count("configuration read") == count


@pytest.mark.parametrize("numbers", [[signal.SIGTERM], [signal.SIGHUP, signal.SIGTERM]])
def test_termination_while_the_program_loads_is_graceful(
    tmp_path: Path, numbers: list[signal.Signals]
) -> None:
    status, log_lines = asyncio.run(run_until_ready(tmp_path, numbers))
    assert status == 0 and "ready" not in [line["event"] for line in log_lines]


def test_history_signal_while_the_program_loads_does_not_end_the_process(tmp_path: Path) -> None:
    """The default action of SIGUSR1 would end the process."""
    status, log_lines = asyncio.run(run_until_ready(tmp_path, [signal.SIGUSR1]))
    assert status is None and log_lines[-1]["event"] == "ready"


def test_reload_during_shutdown_does_not_change_the_exit_status(tmp_path: Path) -> None:
    """Once the event loop was closed, SIGHUP ended the process with status -1."""

    async def scenario() -> None:
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

    asyncio.run(scenario())
