"""Clients that send without end are answered or closed in time, and cost others little."""

import asyncio
import time
from pathlib import Path

import pytest
from raw_peers import FrontSetup, RawClient, request, run_scenario, small_reads, until

from heathford.platform import client_connection
from heathford.platform.client_server import REQUEST_READ_TIMEOUT

HEAD = b"POST / HTTP/1.1\r\nHost: o\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OWED_WITHIN = 3.0  # s from connecting until an error or a close


def send_without_end(client: RawClient, start: bytes, part: bytes) -> None:
    """Send until the connection is closed, or for as long as the front node owes an answer."""
    stop_at = time.monotonic() + OWED_WITHIN
    client.sock.settimeout(OWED_WITHIN)
    try:
        client.send(start)
        while time.monotonic() < stop_at:
            client.send(part)
    except OSError:
        return


@pytest.mark.parametrize(
    "start, part, statuses",
    [
        (CHUNKED + b"0\r\n", b"a:\r\n" * 16_384, [431]),
        (CHUNKED + b"0\r\n", (b"a: " + b"x" * 8_000 + b"\r\n") * 8, [431]),
        (b"\r\n", b"\r\n" * 32_768, [400]),
        (CHUNKED, b"1;a=b\r\nx\r\n" * 6_000, [400, 503]),
    ],
    ids=["trailers", "long trailers", "empty lines", "tiny chunks"],
)
def test_requests_without_end_are_refused_and_usual_ones_served(
    tmp_path: Path, start: bytes, part: bytes, statuses: list[int]
) -> None:
    """They were never answered nor closed, and usual clients' answers came seconds late."""

    async def scenario(setup: FrontSetup) -> None:
        usual, hostile = setup.client(), [setup.client() for _ in range(4)]
        began = time.monotonic()
        tasks = [
            asyncio.create_task(asyncio.to_thread(send_without_end, client, start, part))
            for client in hostile
        ]
        await setup.answer(usual, "c0")
        await until(lambda: all(len(client.answers) == 1 for client in hostile), "errors")
        assert time.monotonic() - began < OWED_WITHIN
        for client in hostile:
            assert client.answers[0] in statuses
            client.sock.shutdown(2)
        await asyncio.gather(*tasks)

    run_scenario(tmp_path, scenario)


def test_the_time_limit_holds_for_a_client_that_always_has_something_unread(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whoever sent at full speed escaped it, as bytes lay unread whenever it was checked."""
    monkeypatch.setattr(client_connection, "MAX_BODY_BYTES", 1 << 40)

    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        began = time.monotonic()
        start = HEAD + b"Content-Length: 99999999999\r\n\r\n"
        task = asyncio.create_task(asyncio.to_thread(send_without_end, client, start, b"x" * 65_536))
        assert await client.wait_for_answers(1) == [408]
        assert REQUEST_READ_TIMEOUT <= time.monotonic() - began < OWED_WITHIN
        client.sock.shutdown(2)
        await task

    run_scenario(tmp_path, scenario)


def test_a_request_that_arrived_whole_is_answered_after_a_long_stall(tmp_path: Path) -> None:
    """The time limit counts what had arrived: a busy process must not answer 408 for its own delay."""

    async def scenario(setup: FrontSetup) -> None:
        client, data = setup.client(), request("c0", size=40_000)
        client.send(data[:10])
        await until(
            lambda: any(c.reader.has_partial_request for c in setup.node.clients.connections), "a part"
        )
        client.send(data[10:])
        time.sleep(REQUEST_READ_TIMEOUT + 0.1)
        await setup.engines[0].wait_for_request()
        assert not client.answers

    with small_reads():
        run_scenario(tmp_path, scenario)
