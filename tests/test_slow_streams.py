"""Streams that an engine writes slowly, and streams that have failed."""

import asyncio
from contextlib import suppress
from pathlib import Path

import pytest
from raw_peers import FrontSetup, run_loop_turns, run_scenario, until
from structlog.testing import capture_logs

from heathford.engines.stream_progress import MAX_EVENT_TIME, StreamProgress
from heathford.platform import engine_call
from heathford.platform.answers import LONGEST_BODY
from heathford.standin.platform import EVENTS, STREAM, chunk
from heathford.wire.event_stream import EventStream

MAX_SILENCE = 0.25  # s, instead of STREAM_SILENCE_LIMIT
PART_INTERVAL = 0.1  # s
WRITING_TIME = 3 * MAX_SILENCE  # s
END_LIMIT = 1.0  # s after which the end of a stream is late, by the protocol page


@pytest.mark.parametrize("event_bytes", [300, 30_000])
def test_an_event_that_is_written_slowly_is_no_silence(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, event_bytes: int
) -> None:
    """Silence counted from the last complete event: a stream was cut off while its engine still wrote."""
    monkeypatch.setattr(engine_call, "STREAM_SILENCE_LIMIT", MAX_SILENCE)
    long_event = EVENTS[0].replace(b"ab", b"x" * event_bytes)
    part_bytes = 1 + int(len(long_event) * PART_INTERVAL / WRITING_TIME)

    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        connection = await setup.submit_until_decode(client)
        connection.sock.sendall(STREAM + chunk(EVENTS[0]))
        for start in range(0, len(long_event), part_bytes):
            connection.sock.sendall(chunk(long_event[start : start + part_bytes]))
            await asyncio.sleep(PART_INTERVAL)
        connection.sock.sendall(b"".join(map(chunk, EVENTS[1:])) + b"0\r\n\r\n")
        await until(lambda: client.whole_streams == 1, "the whole stream")
        assert long_event in client.read_available()

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("last_bytes", [b"", b"data: {"])
def test_a_stream_whose_engine_is_silent_is_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, last_bytes: bytes
) -> None:
    """A client must not wait for an engine that hangs, also not in the middle of an event."""
    monkeypatch.setattr(engine_call, "STREAM_SILENCE_LIMIT", MAX_SILENCE)

    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        connection = await setup.submit_until_decode(client)
        connection.sock.sendall(STREAM + chunk(EVENTS[0] + last_bytes))
        started = asyncio.get_running_loop().time()
        await client.wait_until_closed()
        assert asyncio.get_running_loop().time() - started < MAX_SILENCE + 0.2
        assert client.whole_streams == 0

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("part", [b"x: y\r\n", b"x"])
def test_trailers_without_end_do_not_delay_the_end_of_a_stream(tmp_path: Path, part: bytes) -> None:
    """All events had come, and the client waited for the end until the engine closed."""

    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        connection = await setup.submit_until_decode(client)
        connection.sock.sendall(STREAM + chunk(b"".join(EVENTS)) + b"0\r\n")
        await until(lambda: EVENTS[-1] in client.read_available(), "the last event")
        started = asyncio.get_running_loop().time()
        while not client.ended and asyncio.get_running_loop().time() < started + 3.0:
            with suppress(OSError):
                connection.sock.sendall(part)
            await asyncio.sleep(PART_INTERVAL)
            client.read_available()
        assert asyncio.get_running_loop().time() - started < END_LIMIT
        assert client.whole_streams == 0

    run_scenario(tmp_path, scenario)


def test_a_stream_that_never_ends_its_event_fails_at_last() -> None:
    """An engine that writes a byte now and then would hold its client for good."""
    events = EventStream(LONGEST_BODY)
    events.feed(b'data: {"x":"')
    progress, now = StreamProgress(4.0, events, 0.0), 0.0
    while progress.time_left(now) > 0.0:
        now += min(1.0, progress.time_left(now))
        events.feed(b"x")
        progress.received(now, 1)
    assert now == MAX_EVENT_TIME
    events.feed(b'"}\n\n')
    progress.received(now, 1)
    assert progress.time_left(now) == 4.0


def test_a_stream_that_its_client_leaves_is_logged_with_what_came_since_its_last_event(
    tmp_path: Path,
) -> None:
    """Guards against streams left open of which the log says nothing."""

    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        connection = await setup.submit_until_decode(client)
        connection.sock.sendall(STREAM + chunk(EVENTS[0]))
        await until(lambda: EVENTS[0] in client.read_available(), "the first event")
        connection.sock.sendall(b"ff")
        await run_loop_turns()
        with capture_logs() as lines:
            client.disconnect("closed")
            await until(lambda: bool(lines), "a log line")
        line = next(line for line in lines if line["event"] == "stream ended before its last chunk")
        assert line["request"] == "c0" and line["engine"] == "w" and line["outcome"] == "cancelled"
        assert line["bytes_since_event"] == 2 and line["reading"] == "chunk_size"
        assert 0.0 <= line["since_last_byte"] <= line["since_last_event"] < 5.0 and not line["done_event"]

    run_scenario(tmp_path, scenario)
