"""Clients that leave, flood the front node or race a close, against a front node's process on loopback."""

import asyncio
import signal
from pathlib import Path

import pytest
from test_platform import ALL, NodeClient, NodeProcess, request_bytes, run_scenario, prefill, decode

from heathford.child_signals import send_signal
from heathford.interface import STALL_ALLOWANCE
from heathford.platform.client_server import FIRST_BYTE_TIMEOUT, SWEEP_INTERVAL, REQUEST_READ_TIMEOUT

AFTER_LEAVING = 0.1  # s after a client left, from when on no attempt may start


def count_posts(*engines: object) -> int:
    return sum(method == "POST" for engine in engines for method, _ in engine.received_requests)  # type: ignore[attr-defined]


def close(client: NodeClient, way: str) -> None:
    if way == "reset":
        client.writer.transport.abort()
    else:
        client.writer.close()


@pytest.mark.parametrize("way", ["closed", "reset"])
def test_queued_request_of_a_departed_client_is_not_sent(tmp_path: Path, way: str) -> None:
    prefill_engine, decode_engine = prefill(), decode()

    async def scenario(node: NodeProcess) -> None:
        node.agent.send_change(
            {**prefill_engine.row, "state": "DRAINING"}, {**decode_engine.row, "state": "DRAINING"}
        )
        other_engine = decode(uid="w2")
        await asyncio.sleep(0.1)
        client = await node.client()
        client.send(request_bytes("c0"))
        await asyncio.sleep(0.1)
        close(client, way)
        await asyncio.sleep(AFTER_LEAVING)
        await other_engine.open()
        node.agent.send_change(prefill_engine.row, decode_engine.row, other_engine.row)
        assert await node.request("c1") == (200, ALL, True)
        other_engine.close()
        assert count_posts(prefill_engine) == 1 and count_posts(decode_engine, other_engine) == 1

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


@pytest.mark.parametrize("way", ["closed", "reset"])
@pytest.mark.parametrize(
    "sent_ahead",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(b"x", id="a byte"),
        pytest.param(request_bytes("d1"), id="a request"),
        pytest.param(40 * request_bytes("d2"), id="40 requests"),
        pytest.param(2_000_000 * b"x", id="2 MB of noise"),
        pytest.param(5_000 * request_bytes("d3"), id="1.5 MB of requests"),
    ],
)
def test_no_decode_attempt_starts_after_the_client_left(tmp_path: Path, way: str, sent_ahead: bytes) -> None:
    """The client leaves during its prefill attempt; whatever it sent ahead, its close has to be noticed.

    With more than 64 KiB behind an open request the connection was no longer read, so that its end went
    unnoticed and the decode attempt was sent.
    """
    prefill_engine, decode_engine = prefill("hold"), decode()

    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(request_bytes("c0"))
        await prefill_engine.wait_for_requests(1)
        client.send(sent_ahead)
        if sent_ahead:
            await client.writer.drain()
        close(client, way)
        await asyncio.sleep(AFTER_LEAVING)
        prefill_engine.resume.set()
        await asyncio.sleep(0.3)
        assert count_posts(decode_engine) == 0 and count_posts(prefill_engine) == 1
        assert await node.request("c1") == (200, ALL, True)

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


@pytest.mark.parametrize("outcome", ["reset", "error", "full", "hold"])
def test_no_retry_starts_after_the_client_left(tmp_path: Path, outcome: str) -> None:
    """The first decode attempt ends, with each outcome, after the client left."""
    prefill_engine, decode_engine, other_engine = prefill(), decode("hold"), decode(uid="w2")
    other_engine.state = "DRAINING"

    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(request_bytes("c0"))
        await decode_engine.wait_for_requests(1)
        client.writer.close()
        await asyncio.sleep(AFTER_LEAVING)
        decode_engine.script = [outcome]
        decode_engine.resume.set()
        node.agent.send_change({**other_engine.row, "state": "SERVING"})
        await asyncio.sleep(0.3)
        assert (
            count_posts(prefill_engine) == 1
            and count_posts(decode_engine) == 1
            and count_posts(other_engine) == 0
        )

    run_scenario(tmp_path, [prefill_engine, decode_engine, other_engine], scenario)


def test_pipelined_requests_are_answered_in_order(tmp_path: Path) -> None:
    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(b"".join(request_bytes(f"c{n}") for n in range(6)))
        for _ in range(6):
            assert await client.read_answer() == (200, ALL, True)

    run_scenario(tmp_path, [prefill(), decode()], scenario)


def test_flood_behind_an_open_request_does_not_affect_other_clients(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill("hold"), decode()

    async def scenario(node: NodeProcess) -> None:
        flooding_client = await node.client()
        flooding_client.send(request_bytes("c0") + 2_000 * request_bytes("d"))
        await prefill_engine.wait_for_requests(1)
        assert await node.request("c1") == (200, ALL, True)
        prefill_engine.resume.set()
        assert await flooding_client.read_answer() == (200, ALL, True)

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_request_that_races_the_half_close_is_discarded_without_a_reset(tmp_path: Path) -> None:
    """After SIGTERM idle connections are half closed, and a request that comes then is discarded.

    Its client reads the end of the stream, not a reset, and sends the request elsewhere.
    """
    prefill_engine, decode_engine = prefill(), decode("hold")

    async def scenario(node: NodeProcess) -> None:
        idle_client, busy_client = await node.client(), await node.client()
        idle_client.send(request_bytes("c0"))
        decode_engine.script = ["good", "hold"]
        assert await idle_client.read_answer() == (200, ALL, True)
        busy_client.send(request_bytes("c1"))
        await decode_engine.wait_for_requests(2)
        assert node.process
        send_signal(node.process, signal.SIGTERM)
        assert await idle_client.reader.read() == b""
        idle_client.send(request_bytes("c2"))
        await asyncio.sleep(0.2)
        decode_engine.resume.set()
        assert await busy_client.read_answer() == (200, ALL, True)
        assert (
            "POST",
            "c2",
        ) not in prefill_engine.received_requests and idle_client.reader.exception() is None
        idle_client.writer.close()
        assert await node.process.wait() == 0

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_error_response_reaches_a_client_that_keeps_sending(tmp_path: Path) -> None:
    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: o\r\nContent-Length: 60000000\r\n\r\n"
        client.send(head + 1_000_000 * b"x")
        status, _, is_complete = await client.read_answer()
        assert (status, is_complete) == (413, True)
        client.send(1_000 * b"x")
        assert await client.reader.read() == b""

    run_scenario(tmp_path, [prefill(), decode()], scenario)


@pytest.mark.parametrize(
    "signals",
    [
        pytest.param((signal.SIGHUP, signal.SIGTERM), id="HUP, TERM"),
        pytest.param((signal.SIGTERM, signal.SIGHUP), id="TERM, HUP"),
        pytest.param((signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP), id="several"),
    ],
)
@pytest.mark.parametrize("variant", ["moved", "half written"])
def test_reload_during_shutdown_loses_no_request(
    tmp_path: Path, signals: tuple[signal.Signals, ...], variant: str
) -> None:
    """Accepted requests are answered and the process ends, whatever the configuration file contains."""
    prefill_engine, decode_engine = prefill(), decode("hold")

    async def scenario(node: NodeProcess) -> None:
        waiting = asyncio.create_task(node.request("c0"))
        await decode_engine.wait_for_requests(1)
        text = node.path.read_bytes()
        moved_text = text.replace(node.agent.address.encode(), b"127.0.0.1:1")
        node.path.write_bytes(moved_text if variant == "moved" else text[: len(text) // 2])
        assert node.process
        for number in signals:
            send_signal(node.process, number)
            await asyncio.sleep(0.05)
        decode_engine.resume.set()
        assert await waiting == (200, ALL, True)
        assert await node.process.wait() == 0

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


@pytest.mark.parametrize("budget", [300, 1_000, 3_500])
def test_shutdown_ends_before_the_kill_although_engines_hang(tmp_path: Path, budget: int) -> None:
    """A request that no engine answers gets its final answer, and the process ends, before SIGKILL.

    SIGKILL comes no earlier than the longest deadline and 0.7 s after SIGTERM. The client keeps its
    connection open; the process used to wait another second for it to close.
    """
    prefill_engine, decode_engine = prefill(), decode("silent", "silent", "silent", "silent")

    async def scenario(node: NodeProcess) -> None:
        waiting = asyncio.create_task(node.request("c0", workload="booking", budget=str(budget)))
        await decode_engine.wait_for_requests(1)
        assert node.process
        send_signal(node.process, signal.SIGTERM)
        async with asyncio.timeout(max(budget / 1000, 0.7) + 0.7):
            status, _, is_complete = await waiting
            assert (status, is_complete) == (502, True)
            assert await node.process.wait() == 0

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_connection_timeouts_stay_under_three_seconds_despite_a_stall() -> None:
    assert max(REQUEST_READ_TIMEOUT, FIRST_BYTE_TIMEOUT) + SWEEP_INTERVAL + STALL_ALLOWANCE < 3.0
