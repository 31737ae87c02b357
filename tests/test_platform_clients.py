"""Clients that go, flood, or meet a close, against a front node's process on loopback."""

import asyncio
import signal
from pathlib import Path

import pytest
from test_platform import ALL, NodeClient, NodeProcess, request_bytes, run_scenario, prefill, decode

from heathford.child_signals import send_signal
from heathford.interface import STALL_ALLOWANCE
from heathford.platform.client_server import FIRST_BYTE_TIMEOUT, SWEEP_INTERVAL, REQUEST_READ_TIMEOUT

GONE = 0.1  # s after a client has gone from which no attempt may begin


def posts(*engines: object) -> int:
    return sum(method == "POST" for engine in engines for method, _ in engine.asked)  # type: ignore[attr-defined]


def close(client: NodeClient, how: str) -> None:
    if how == "reset":
        client.writer.transport.abort()
    else:
        client.writer.close()


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_a_queued_request_whose_client_has_gone_is_never_sent(tmp_path: Path, how: str) -> None:
    prefill_engine, decode_engine = prefill(), decode()

    async def scenario(node: NodeProcess) -> None:
        node.agent.say(
            {**prefill_engine.row, "state": "DRAINING"}, {**decode_engine.row, "state": "DRAINING"}
        )
        other = decode(uid="w2")
        await asyncio.sleep(0.1)
        client = await node.client()
        client.send(request_bytes("c0"))
        await asyncio.sleep(0.1)
        close(client, how)
        await asyncio.sleep(GONE)
        await other.open()
        node.agent.say(prefill_engine.row, decode_engine.row, other.row)
        assert await node.request("c1") == (200, ALL, True)
        other.close()
        assert posts(prefill_engine) == 1 and posts(decode_engine, other) == 1

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


@pytest.mark.parametrize("how", ["closed", "reset"])
@pytest.mark.parametrize(
    "behind",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(b"x", id="a byte"),
        pytest.param(request_bytes("d1"), id="a request"),
        pytest.param(40 * request_bytes("d2"), id="40 requests"),
        pytest.param(2_000_000 * b"x", id="2 MB of noise"),
        pytest.param(5_000 * request_bytes("d3"), id="1.5 MB of requests"),
    ],
)
def test_no_write_begins_after_the_client_has_gone(tmp_path: Path, how: str, behind: bytes) -> None:
    """The client goes while its prompt is read; whatever it sent behind its request, its close is seen.

    Seen before: with more than 64 KiB behind an open request the connection was not read any more, so its end
    was not seen, and the write went out."""
    prefill_engine, decode_engine = prefill("hold"), decode()

    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(request_bytes("c0"))
        await prefill_engine.until(1)
        client.send(behind)
        if behind:
            await client.writer.drain()
        close(client, how)
        await asyncio.sleep(GONE)
        prefill_engine.held.set()
        await asyncio.sleep(0.3)
        assert posts(decode_engine) == 0 and posts(prefill_engine) == 1
        assert await node.request("c1") == (200, ALL, True)

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


@pytest.mark.parametrize("step", ["reset", "error", "full", "hold"])
def test_no_further_attempt_begins_after_the_client_has_gone(tmp_path: Path, step: str) -> None:
    """Its first attempt ends, one way or another, after the client has gone."""
    prefill_engine, decode_engine, other = prefill(), decode("hold"), decode(uid="w2")
    other.state = "DRAINING"

    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(request_bytes("c0"))
        await decode_engine.until(1)
        client.writer.close()
        await asyncio.sleep(GONE)
        decode_engine.script = [step]
        decode_engine.held.set()
        node.agent.say({**other.row, "state": "SERVING"})
        await asyncio.sleep(0.3)
        assert posts(prefill_engine) == 1 and posts(decode_engine) == 1 and posts(other) == 0

    run_scenario(tmp_path, [prefill_engine, decode_engine, other], scenario)


def test_what_a_client_sent_ahead_is_answered_in_order(tmp_path: Path) -> None:
    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(b"".join(request_bytes(f"c{n}") for n in range(6)))
        for _ in range(6):
            assert await client.read_answer() == (200, ALL, True)

    run_scenario(tmp_path, [prefill(), decode()], scenario)


def test_a_flood_behind_an_open_request_costs_other_clients_nothing(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill("hold"), decode()

    async def scenario(node: NodeProcess) -> None:
        flood = await node.client()
        flood.send(request_bytes("c0") + 2_000 * request_bytes("d"))
        await prefill_engine.until(1)
        assert await node.request("c1") == (200, ALL, True)
        prefill_engine.held.set()
        assert await flood.read_answer() == (200, ALL, True)

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_a_request_that_crosses_our_close_is_not_sent_on_and_resets_nothing(tmp_path: Path) -> None:
    """After SIGTERM idle connections are shut. A request that comes then is read and dropped: its client
    reads an end, not a reset, and sends it anew elsewhere."""
    prefill_engine, decode_engine = prefill(), decode("hold")

    async def scenario(node: NodeProcess) -> None:
        idle, busy = await node.client(), await node.client()
        idle.send(request_bytes("c0"))
        decode_engine.script = ["good", "hold"]
        assert await idle.read_answer() == (200, ALL, True)
        busy.send(request_bytes("c1"))
        await decode_engine.until(2)
        assert node.process
        send_signal(node.process, signal.SIGTERM)
        assert await idle.reader.read() == b""
        idle.send(request_bytes("c2"))
        await asyncio.sleep(0.2)
        decode_engine.held.set()
        assert await busy.read_answer() == (200, ALL, True)
        assert ("POST", "c2") not in prefill_engine.asked and idle.reader.exception() is None
        idle.writer.close()
        assert await node.process.wait() == 0

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_an_error_is_read_although_its_client_goes_on_sending(tmp_path: Path) -> None:
    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: o\r\nContent-Length: 60000000\r\n\r\n"
        client.send(head + 1_000_000 * b"x")
        status, _, whole = await client.read_answer()
        assert (status, whole) == (413, True)
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
@pytest.mark.parametrize("config", ["moved", "half written"])
def test_a_reload_beside_an_end_loses_nothing(
    tmp_path: Path, signals: tuple[signal.Signals, ...], config: str
) -> None:
    """What was taken is answered, and the process ends, whatever the file says by then."""
    prefill_engine, decode_engine = prefill(), decode("hold")

    async def scenario(node: NodeProcess) -> None:
        waiting = asyncio.create_task(node.request("c0"))
        await decode_engine.until(1)
        text = node.path.read_bytes()
        moved = text.replace(node.agent.address.encode(), b"127.0.0.1:1")
        node.path.write_bytes(moved if config == "moved" else text[: len(text) // 2])
        assert node.process
        for each in signals:
            send_signal(node.process, each)
            await asyncio.sleep(0.05)
        decode_engine.held.set()
        assert await waiting == (200, ALL, True)
        assert await node.process.wait() == 0

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


@pytest.mark.parametrize("budget", [300, 1_000, 3_500])
def test_the_end_comes_before_the_kill_though_engines_hang(tmp_path: Path, budget: int) -> None:
    """SIGKILL comes no earlier than the longest deadline and 0.7 s after SIGTERM. Until then a request that
    no engine answers has its final answer, and the process has ended, though its client keeps the connection.

    Seen: it waited a second more for that client to close."""
    prefill_engine, decode_engine = prefill(), decode("silent", "silent", "silent", "silent")

    async def scenario(node: NodeProcess) -> None:
        waiting = asyncio.create_task(node.request("c0", workload="booking", budget=str(budget)))
        await decode_engine.until(1)
        assert node.process
        send_signal(node.process, signal.SIGTERM)
        async with asyncio.timeout(max(budget / 1000, 0.7) + 0.7):
            status, _, whole = await waiting
            assert (status, whole) == (502, True)
            assert await node.process.wait() == 0

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_half_a_request_is_told_within_three_seconds_also_where_the_loop_is_held_up() -> None:
    assert max(REQUEST_READ_TIMEOUT, FIRST_BYTE_TIMEOUT) + SWEEP_INTERVAL + STALL_ALLOWANCE < 3.0
