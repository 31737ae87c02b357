"""Logs that nobody reads: dropped and counted, never waited for."""

import asyncio
import os
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest
from test_platform import ALL, NodeProcess, run_scenario, prefill_engine, decode_engine

from heathford.child_signals import send_signal
from heathford.log_stream import LONGEST_LINE, LossyStream

LINE = 100 * "x" + "\n"


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """A pipe's ends: to read from, and to write to."""
    ends = os.pipe()
    yield ends
    for end in ends:
        try:
            os.close(end)
        except OSError:
            continue


def test_lines_are_written_as_they_are(pipe: tuple[int, int]) -> None:
    stream = LossyStream(pipe[1])
    stream.write("one\n")
    stream.write("zwei ü\n")
    assert os.read(pipe[0], 100).decode() == "one\nzwei ü\n" and not stream.dropped


def test_a_full_pipe_costs_lines_and_no_time(pipe: tuple[int, int]) -> None:
    stream = LossyStream(pipe[1])
    for _ in range(10_000):
        stream.write(LINE)
    assert stream.dropped > 1_000
    dropped, got = stream.dropped, b""
    while len(got) < (10_000 - dropped) * len(LINE):
        got += os.read(pipe[0], 65_536)
    assert got.decode() == (10_000 - dropped) * LINE
    stream.write("again\n")
    assert os.read(pipe[0], 100) == b"again\n" and stream.dropped == dropped


def test_a_long_line_is_cut(pipe: tuple[int, int]) -> None:
    LossyStream(pipe[1]).write(1_000_000 * "x" + "\n")
    got = os.read(pipe[0], 1_000_000)
    assert len(got) == LONGEST_LINE and got.endswith(b"x\n")


def test_a_reader_that_has_gone_costs_nothing(pipe: tuple[int, int]) -> None:
    os.close(pipe[0])
    stream = LossyStream(pipe[1])
    stream.write(LINE)
    assert stream.dropped == 1


def test_a_front_node_serves_on_though_nobody_reads_its_logs(tmp_path: Path) -> None:
    """Entries that can't be read are told: far more lines than the pipe and its reader's buffer hold."""
    a, b = prefill_engine(), decode_engine()

    async def day(node: NodeProcess) -> None:
        assert node.process and node.process.stderr
        try:
            for n in range(200):
                node.agent.say(*({**b.row, "uid": f"bad{n}-{k}", "model": "none"} for k in range(50)))
            async with asyncio.timeout(10.0):
                for n in range(5):
                    assert await node.ask(f"c{n}") == (200, ALL, True)
        finally:
            # Read on: a process whose pipe is full and not read is never seen to end.
            send_signal(node.process, signal.SIGTERM)
            told = (await node.process.stderr.read()).count(b"passed over")
        assert 0 < told < 200 * 11  # each change tells of ten, and of how many more

    run_scenario(tmp_path, [a, b], day)
