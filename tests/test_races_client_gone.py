"""A client that has gone gets no attempt, though its close still lies unread in the kernel.

The close stands behind what the client sent ahead, so many turns of the loop come before it is read, and the
next attempt becomes due. Before each attempt the socket itself is asked (ClientConnection.client_connected).
"""

import asyncio
import socket
import time
from contextlib import suppress
from pathlib import Path

import pytest
from raw_peers import (
    FrontSetup,
    RawConnection,
    RawClient,
    decode,
    front_node,
    prefill,
    readable,
    request,
    run_scenario,
    small_reads,
    run_loop_turns,
    until,
)

from heathford.platform.exchange import EngineConnection
from heathford.standin.platform import READ, WORDS

NOISE = 20_000 * b"x"  # 40 turns of the loop
HOLD_UP = 0.05  # s for which the loop is held up
GONE = ["closed", "reset", "half closed"]


def go(client: RawClient, how: str) -> None:
    """Send ahead and leave, while the loop is held up."""
    client.send(NOISE)
    client.disconnect(how)
    time.sleep(HOLD_UP)


@pytest.mark.parametrize("how", GONE)
@pytest.mark.parametrize("kept", [True, False], ids=["kept connection", "new connection"])
def test_first_attempt(tmp_path: Path, how: str, kept: bool) -> None:
    async def day(play: FrontSetup) -> None:
        a, b = play.engines
        if kept:
            await play.answer(play.client(), "c0")
            await play.wait_until_reusable()
        client, before = play.client(), a.posts
        with small_reads():
            client.send(request("c1"))
            go(client, how)
            await until(lambda: not play.node.core.live and play.node.core.tally.left == 1, "left")
            await run_loop_turns()
            assert a.posts == before

    run_scenario(tmp_path, day)


@pytest.mark.parametrize("how", GONE)
@pytest.mark.parametrize("kept", [True, False], ids=["kept connection", "new connection"])
def test_hand_over_from_prefill_to_decode(tmp_path: Path, how: str, kept: bool) -> None:
    async def day(play: FrontSetup) -> None:
        a, b = play.engines
        if kept:
            await play.answer(play.client(), "c0")
            await play.wait_until_reusable()
        client, before = play.client(), b.posts
        client.send(request("c1"))
        held = await a.wait_for_request(a.posts + 1)
        with small_reads():
            go(client, how)
            held.sock.sendall(READ)
            await until(lambda: not play.node.core.live, "left")
            await run_loop_turns()
            assert b.posts == before
            await until(lambda: a.deletes == 1, "the release of what was read")

    run_scenario(tmp_path, day)


@pytest.mark.parametrize("how", GONE)
@pytest.mark.parametrize("end", ["error", "full", "reset"])
def test_retry(tmp_path: Path, how: str, end: str) -> None:
    async def day() -> None:
        a, b, other = prefill(), decode(), decode("w2")
        other.state = "DRAINING"
        async with front_node(tmp_path, a, b, other) as play:
            client = play.client()
            client.send(request("c1"))
            (await a.wait_for_request()).sock.sendall(READ)
            held = await b.wait_for_request()
            other.state = "SERVING"
            play.publish_entries(other)
            await until(lambda: play.node.instances.version == 2, "the change")
            with small_reads():
                go(client, how)
                if end == "reset":
                    held.sock.close()
                else:
                    held.sock.sendall(WORDS[end])
                await until(lambda: not play.node.core.live, "left")
                await run_loop_turns()
                assert (a.posts, b.posts, other.posts) == (1, 1, 0)

    asyncio.run(day())


@pytest.mark.parametrize("how", GONE)
def test_attempt_that_waits_for_a_release(tmp_path: Path, how: str) -> None:
    """A prefill that may have run is released before the next attempt, which waits for that."""

    async def day(play: FrontSetup) -> None:
        a, b = play.engines
        client = play.client()
        client.send(request("c1"))
        (await a.wait_for_request()).sock.sendall(WORDS["error"])
        release = await a.wait_for_request(1, b"DELETE")
        assert a.posts == 1 and play.node.link.releases
        with small_reads():
            go(client, how)
            release.sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            await until(lambda: not play.node.core.live, "left")
            await run_loop_turns()
            assert (a.posts, b.posts) == (1, 0)

    run_scenario(tmp_path, day)


@pytest.mark.parametrize("how", GONE)
def test_attempt_of_which_part_has_left(tmp_path: Path, how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """An engine that takes no bytes: a long request has left in part when its client goes. The rest must not
    follow, or the engine would begin on it. Seen: it waited on, and was whole once the engine read again."""
    made = EngineConnection.connection_made
    connections: list[EngineConnection] = []

    def small_buffer(self: EngineConnection, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2_048)
        made(self, transport)
        connections.append(self)

    monkeypatch.setattr(EngineConnection, "connection_made", small_buffer)

    async def day() -> None:
        a, b = prefill(), decode()
        a.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        async with front_node(tmp_path, a, b, cancel=False) as play:
            client = play.client()
            body = b'{"stream":true,"messages":["' + 250_000 * b"x" + b'"]}'
            head = request("c1").partition(b"\r\n\r\n")[0].rpartition(b"Content-Length")[0]
            client.send(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
            await until(lambda: any(c.has_unwritten for c in connections), "a request that left in part")
            client.disconnect(how)
            await asyncio.sleep(0.1)
            held = await a.wait_for_request()  # and from now on the engine reads
            with suppress(OSError):
                await until(lambda: closed(held) or len(held.received) > len(body), "the rest, or an end")
            assert len(held.received) < len(body) and not play.node.core.live

    asyncio.run(day())


def closed(held: RawConnection) -> bool:
    """Take in what there is; whether the end has come."""
    held.read_available()
    return readable(held.sock) and not held.sock.recv(1, socket.MSG_PEEK)
