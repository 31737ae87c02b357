"""Logs that nobody reads are dropped and counted; nothing waits for their reader."""

import asyncio
import os
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest
from test_platform import ALL, NodeProcess, run_scenario, prefill, decode

from heathford.child_signals import send_signal
from heathford.log_stream import LONGEST_LINE, LossyStream

LOG_LINE = 100 * "x" + "\n"


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """The read end and the write end of a pipe."""
    ends = os.pipe()
    yield ends
    for end in ends:
        try:
            os.close(end)
        except OSError:
            continue


def test_lines_are_written_unchanged(pipe: tuple[int, int]) -> None:
    stream = LossyStream(pipe[1])
    stream.write("one\n")
    stream.write("zwei ü\n")
    assert os.read(pipe[0], 100).decode() == "one\nzwei ü\n" and not stream.dropped


def test_lines_are_dropped_while_the_pipe_is_full(pipe: tuple[int, int]) -> None:
    stream = LossyStream(pipe[1])
    for _ in range(10_000):
        stream.write(LOG_LINE)
    assert stream.dropped > 1_000
    dropped, received = stream.dropped, b""
    while len(received) < (10_000 - dropped) * len(LOG_LINE):
        received += os.read(pipe[0], 65_536)
    assert received.decode() == (10_000 - dropped) * LOG_LINE
    stream.write("again\n")
    assert os.read(pipe[0], 100) == b"again\n" and stream.dropped == dropped


def test_long_line_is_truncated(pipe: tuple[int, int]) -> None:
    LossyStream(pipe[1]).write(1_000_000 * "x" + "\n")
    received = os.read(pipe[0], 1_000_000)
    assert len(received) == LONGEST_LINE and received.endswith(b"x\n")


def test_closed_reader_only_drops_lines(pipe: tuple[int, int]) -> None:
    os.close(pipe[0])
    stream = LossyStream(pipe[1])
    stream.write(LOG_LINE)
    assert stream.dropped == 1


def test_front_node_serves_while_nobody_reads_its_logs(tmp_path: Path) -> None:
    """Malformed list entries are logged: far more lines than the pipe and its reader's buffer hold."""
    prefill_engine, decode_engine = prefill(), decode()

    async def scenario(node: NodeProcess) -> None:
        assert node.process and node.process.stderr
        try:
            for n in range(200):
                node.agent.send_change(
                    *({**decode_engine.row, "uid": f"bad{n}-{k}", "model": "none"} for k in range(50))
                )
            async with asyncio.timeout(10.0):
                for n in range(5):
                    assert await node.request(f"c{n}") == (200, ALL, True)
        finally:
            # Reads to the end: the end of a process whose pipe is full and not read would go unnoticed.
            send_signal(node.process, signal.SIGTERM)
            logged = (await node.process.stderr.read()).count(b"passed over")
        assert 0 < logged < 200 * 11  # each change logs ten, and how many more

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)
