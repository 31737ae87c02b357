"""No attempt starts for a client that has left, even while its close is still unread in the kernel.

The close is queued behind data that the client sent ahead, so that it takes many turns of the loop to reach,
and the next attempt becomes due before that. Each attempt therefore checks the socket's state first
(ClientConnection.client_connected).
"""

import asyncio
import socket
import time
from contextlib import suppress
from pathlib import Path

import pytest
from raw_peers import (
    FrontSetup,
    RawClient,
    RawConnection,
    decode,
    front_node,
    prefill,
    readable,
    request,
    run_loop_turns,
    run_scenario,
    small_reads,
    until,
)

from heathford.platform.exchange import EngineConnection
from heathford.standin.platform import PREFILL_RESPONSE, RESPONSES

NOISE = 20_000 * b"x"  # takes 40 turns of the loop to read
LOOP_STALL = 0.05  # s
WAYS_TO_LEAVE = ["closed", "reset", "half closed"]


def send_ahead_and_leave(client: RawClient, way: str) -> None:
    """Send data ahead and leave, all while the loop is stalled."""
    client.send(NOISE)
    client.disconnect(way)
    time.sleep(LOOP_STALL)


@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
@pytest.mark.parametrize("reused", [True, False], ids=["kept connection", "new connection"])
def test_first_attempt_is_not_sent(tmp_path: Path, way: str, reused: bool) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        if reused:
            await setup.answer(setup.client(), "c0")
            await setup.wait_until_reusable()
        client, requests_before = setup.client(), prefill_engine.posts
        with small_reads():
            client.send(request("c1"))
            send_ahead_and_leave(client, way)
            await until(lambda: not setup.node.core.live and setup.node.core.tally.left == 1, "left")
            await run_loop_turns()
            assert prefill_engine.posts == requests_before

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
@pytest.mark.parametrize("reused", [True, False], ids=["kept connection", "new connection"])
def test_decode_attempt_is_not_sent(tmp_path: Path, way: str, reused: bool) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        if reused:
            await setup.answer(setup.client(), "c0")
            await setup.wait_until_reusable()
        client, requests_before = setup.client(), decode_engine.posts
        client.send(request("c1"))
        connection = await prefill_engine.wait_for_request(prefill_engine.posts + 1)
        with small_reads():
            send_ahead_and_leave(client, way)
            connection.sock.sendall(PREFILL_RESPONSE)
            await until(lambda: not setup.node.core.live, "left")
            await run_loop_turns()
            assert decode_engine.posts == requests_before
            await until(lambda: prefill_engine.deletes == 1, "the release of what was read")

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
@pytest.mark.parametrize("outcome", ["error", "full", "reset"])
def test_retry_is_not_sent(tmp_path: Path, way: str, outcome: str) -> None:
    async def scenario() -> None:
        prefill_engine, decode_engine, other_engine = prefill(), decode(), decode("w2")
        other_engine.state = "DRAINING"
        async with front_node(tmp_path, prefill_engine, decode_engine, other_engine) as setup:
            client = setup.client()
            client.send(request("c1"))
            (await prefill_engine.wait_for_request()).sock.sendall(PREFILL_RESPONSE)
            connection = await decode_engine.wait_for_request()
            other_engine.state = "SERVING"
            setup.publish_entries(other_engine)
            await until(lambda: setup.node.endpoint_list.version == 2, "the change")
            with small_reads():
                send_ahead_and_leave(client, way)
                if outcome == "reset":
                    connection.sock.close()
                else:
                    connection.sock.sendall(RESPONSES[outcome])
                await until(lambda: not setup.node.core.live, "left")
                await run_loop_turns()
                assert (prefill_engine.posts, decode_engine.posts, other_engine.posts) == (1, 1, 0)

    asyncio.run(scenario())


@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
def test_attempt_waiting_for_a_release_is_not_sent(tmp_path: Path, way: str) -> None:
    """A prefill attempt that may have run is released first, and the next attempt waits for that."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        client.send(request("c1"))
        (await prefill_engine.wait_for_request()).sock.sendall(RESPONSES["error"])
        release = await prefill_engine.wait_for_request(1, b"DELETE")
        assert prefill_engine.posts == 1 and setup.node.link.releases
        with small_reads():
            send_ahead_and_leave(client, way)
            release.sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            await until(lambda: not setup.node.core.live, "left")
            await run_loop_turns()
            assert (prefill_engine.posts, decode_engine.posts) == (1, 0)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
def test_partly_sent_attempt_is_not_completed(
    tmp_path: Path, way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A long request to an engine that does not read is sent in part when its client leaves.

    The rest must not follow, or the engine would start on the request. The attempt used to wait, and was
    complete once the engine read again.
    """
    original_connection_made = EngineConnection.connection_made
    connections: list[EngineConnection] = []

    def small_buffer(self: EngineConnection, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2_048)
        original_connection_made(self, transport)
        connections.append(self)

    monkeypatch.setattr(EngineConnection, "connection_made", small_buffer)

    async def scenario() -> None:
        prefill_engine, decode_engine = prefill(), decode()
        prefill_engine.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        async with front_node(tmp_path, prefill_engine, decode_engine, cancel=False) as setup:
            client = setup.client()
            body = b'{"stream":true,"messages":["' + 250_000 * b"x" + b'"]}'
            head = request("c1").partition(b"\r\n\r\n")[0].rpartition(b"Content-Length")[0]
            client.send(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
            await until(lambda: any(c.has_unwritten for c in connections), "a request that left in part")
            client.disconnect(way)
            await asyncio.sleep(0.1)
            connection = await prefill_engine.wait_for_request()  # the engine reads from now on
            with suppress(OSError):
                await until(
                    lambda: has_closed(connection) or len(connection.received) > len(body),
                    "the rest, or an end",
                )
            assert len(connection.received) < len(body) and not setup.node.core.live

    asyncio.run(scenario())


def has_closed(connection: RawConnection) -> bool:
    """Read what is available; return whether the other side has closed."""
    connection.read_available()
    return readable(connection.sock) and not connection.sock.recv(1, socket.MSG_PEEK)
