"""What this process has read is answered, and what lies unread when a connection is ended is served first.

Each test makes the bad order happen at the seam: a peer acts between the last look and the step after it.
"""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from raw_peers import FrontSetup, RawClient, answer_releases, request, run_scenario, run_loop_turns, until

from heathford.platform.client_connection import ClientConnection
from heathford.platform.client_server import (
    MAX_EVICTION_CHECKS,
    FIRST_BYTE_TIMEOUT,
    IDLE_TIMEOUT,
    SHUTDOWN_ACCEPT_PERIOD,
)
from heathford.platform.process import Node
from heathford.standin.platform import EVENTS, GOOD, READ

HALF = request("half")[:200]


def before(monkeypatch: pytest.MonkeyPatch, owner: type, name: str, act: Callable[[Any], None]) -> None:
    """Have that happen right before each call of the method."""
    method = getattr(owner, name)

    def patched(self: Any, *rest: Any) -> Any:
        act(self)
        return method(self, *rest)

    monkeypatch.setattr(owner, name, patched)


def after(monkeypatch: pytest.MonkeyPatch, owner: type, name: str, act: Callable[[Any], None]) -> None:
    """Have that happen right after each call of the method."""
    method = getattr(owner, name)

    def patched(self: Any, *rest: Any) -> Any:
        result = method(self, *rest)
        act(self)
        return result

    monkeypatch.setattr(owner, name, patched)


async def serve(day: FrontSetup, count: int = 1) -> None:
    """Both engines answer so many requests, one after the other."""
    reader, writer = day.engines
    for n in range(1, count + 1):
        (await reader.wait_for_request(n)).sock.sendall(READ)
        (await writer.wait_for_request(n)).sock.sendall(GOOD)


# Room for new connections.


def test_a_request_that_waits_behind_an_answer_is_not_evicted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A new connection makes room in the moment between an answer and the next request's turn."""
    after(monkeypatch, ClientConnection, "send_response", lambda connection: connection.server.evict_one())

    async def day(play: FrontSetup) -> None:
        client = play.client()
        client.send(request("c0") + request("c1"))
        await serve(play, 2)
        assert await client.wait_for_answers(2) == [200, 200]
        await until(lambda: client.whole_streams == 2, "both streams")

    run_scenario(tmp_path, day)


@pytest.mark.parametrize("first", [b"", request("c1")[:1]], ids=["nothing", "a byte"])
def test_a_connection_on_which_a_request_lies_unread_is_not_evicted(tmp_path: Path, first: bytes) -> None:
    async def day(play: FrontSetup) -> None:
        client = play.client()
        await play.answer(client, "c0")
        client.send(first)
        await run_loop_turns()
        client.send(request("c1")[len(first) :])
        assert not play.node.clients.evict_one()
        await until(lambda: play.engines[0].posts == 2, "the request")

    run_scenario(tmp_path, day)


def test_half_a_request_is_told_why_it_is_evicted_and_goes_last(tmp_path: Path) -> None:
    async def day(play: FrontSetup) -> None:
        idle, half, fresh = play.client(), play.client(), play.client()
        await play.answer(idle, "c0")
        half.send(HALF)
        await run_loop_turns()
        server = play.node.clients
        assert (
            server.evict_one() and await idle.wait_until_closed() == idle.received
        )  # answered and stays: first
        for _ in range(2):
            assert server.evict_one()
        assert not server.evict_one()
        assert await half.wait_for_answers(1) == [503] and (await half.wait_until_closed()).endswith(
            b"slow\n"
        )
        assert await fresh.wait_until_closed() == b""

    run_scenario(tmp_path, day)


def test_an_answer_on_its_way_is_not_evicted(tmp_path: Path) -> None:
    """A client reads slowly: what was written for it still lies here when room is needed."""

    async def day(play: FrontSetup) -> None:
        client = play.client()
        await play.answer(client, "c0")
        connection = next(iter(play.node.clients.connections))
        connection.write(900_000 * b"x")
        while connection.flushed:
            connection.write(100_000 * b"x")
        assert not play.node.clients.evict_one()

    run_scenario(tmp_path, day)


@pytest.mark.parametrize("unread", [0, 1, 40])
def test_making_room_costs_a_few_looks_however_many_are_idle(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, unread: int
) -> None:
    """Seen before: each new connection cost a look at all of some 600, and the loop fell behind by 0.16 s."""
    looks: list[ClientConnection] = []
    before(monkeypatch, ClientConnection, "evict", looks.append)

    async def day(play: FrontSetup) -> None:
        clients = [play.client() for _ in range(80)]
        await until(lambda: len(play.node.clients.connections) == 80, "the connections")
        for client in clients[:unread]:
            client.send(HALF)
        made = play.node.clients.evict_one()
        assert len(looks) == min(unread + 1, MAX_EVICTION_CHECKS) and made == (unread < MAX_EVICTION_CHECKS)

    run_scenario(tmp_path, day)


# Connections that idle.


@pytest.mark.parametrize("since", [IDLE_TIMEOUT, 10 * IDLE_TIMEOUT])
def test_a_request_that_crosses_the_idle_time_out_is_served(tmp_path: Path, since: float) -> None:
    async def day(play: FrontSetup) -> None:
        client = play.client()
        await play.answer(client, "c0")
        client.send(request("c1"))
        play.node.clients.sweep(play.node.loop.time() + since)
        await until(lambda: play.engines[0].posts == 2, "the request")
        (await play.engines[0].wait_for_request(2)).sock.sendall(READ)
        (await play.engines[1].wait_for_request(2)).sock.sendall(GOOD)
        assert await client.wait_for_answers(2) == [200, 200]

    run_scenario(tmp_path, day)


def test_a_first_request_that_crosses_its_time_out_is_served(tmp_path: Path) -> None:
    async def day(play: FrontSetup) -> None:
        client = play.client()
        await until(lambda: len(play.node.clients.connections) == 1, "the connection")
        client.send(request("c0"))
        play.node.clients.sweep(play.node.loop.time() + FIRST_BYTE_TIMEOUT)
        await serve(play)
        assert await client.wait_for_answers(1) == [200]

    run_scenario(tmp_path, day)


def test_half_a_request_gets_its_status(tmp_path: Path) -> None:
    async def day(play: FrontSetup) -> None:
        client = play.client()
        client.send(HALF)
        await run_loop_turns()
        play.node.clients.sweep(play.node.loop.time() + 10 * FIRST_BYTE_TIMEOUT)
        assert await client.wait_for_answers(1) == [408] and (await client.wait_until_closed()).endswith(
            b"time\n"
        )

    run_scenario(tmp_path, day)


# The end of the process.


async def ending(play: FrontSetup) -> "asyncio.Task[None]":
    play.node.terminate()
    return asyncio.create_task(play.node.end())


def test_a_request_that_crosses_the_end_of_an_answer_is_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process ends. The next request comes on a connection in the moment in which its answer is over."""

    async def day(play: FrontSetup) -> None:
        client = play.client()
        client.send(request("c0"))
        held = await play.engines[0].wait_for_request()
        said: list[None] = []

        def ask_on(connection: ClientConnection) -> None:
            if not said:
                said.append(None)
                client.send(request("c1"))

        before(monkeypatch, ClientConnection, "finished", ask_on)
        end = await ending(play)
        held.sock.sendall(READ)
        (await play.engines[1].wait_for_request()).sock.sendall(GOOD)
        (await play.engines[0].wait_for_request(2)).sock.sendall(READ)
        (await play.engines[1].wait_for_request(2)).sock.sendall(GOOD)
        assert await client.wait_for_answers(2) == [200, 200]
        await until(lambda: client.whole_streams == 2, "both streams")
        client.sock.close()
        await end

    run_scenario(tmp_path, day)


def test_a_request_that_crosses_the_shutdown_of_an_idle_connection_is_served(tmp_path: Path) -> None:
    async def day(play: FrontSetup) -> None:
        client = play.client()
        await play.answer(client, "c0")
        play.node.clients.stop()
        client.send(request("c1"))
        play.node.clients.close_idle()
        (await play.engines[0].wait_for_request(2)).sock.sendall(READ)
        (await play.engines[1].wait_for_request(2)).sock.sendall(GOOD)
        assert await client.wait_for_answers(2) == [200, 200]
        assert client.whole_streams == 2 and (await client.wait_until_closed()).count(b"HTTP/1.1") == 2

    run_scenario(tmp_path, day)


def test_what_is_read_after_the_shutdown_is_not_sent_on_and_resets_nothing(tmp_path: Path) -> None:
    async def day(play: FrontSetup) -> None:
        client = play.client()
        await play.answer(client, "c0")
        play.node.clients.stop()
        play.node.clients.close_idle()
        client.send(request("c1"))
        assert b"<reset>" not in await client.wait_until_closed()
        await run_loop_turns()
        assert play.engines[0].posts == 1

    run_scenario(tmp_path, day)


def test_connections_that_wait_to_be_accepted_at_the_end_are_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client comes between the last look at what is open and the end of listening.

    Seen: its connection was reset with its request unread."""

    async def day(play: FrontSetup) -> None:
        late: list[RawClient] = []

        def come(node: Node) -> None:
            if not late:
                late.append(play.client())
                late[0].send(request("c0"))

        before(monkeypatch, Node, "idle", come)
        end = await ending(play)
        await until(lambda: bool(late), "the last look")
        assert await late[0].wait_for_answers(1) == [503]
        late[0].sock.close()
        await end
        assert play.engines[0].posts == 0

    run_scenario(tmp_path, day)


def test_what_comes_later_than_clients_may_ask_is_refused(tmp_path: Path) -> None:
    """A process may be killed 0.7 s after the longest deadline: a request taken later than that after SIGTERM
    might be out then. A stream that is open when it comes is passed on to its end first."""

    async def day(play: FrontSetup) -> None:
        client = play.client()
        releases = asyncio.create_task(answer_releases(*play.engines))
        held = await play.submit_until_decode(client)
        end = await ending(play)
        await asyncio.sleep(SHUTDOWN_ACCEPT_PERIOD + 0.02)
        releases.cancel()
        client.send(request("c1"))
        await run_loop_turns()
        held.sock.sendall(GOOD)
        assert await client.wait_for_answers(2) == [200, 503]
        assert client.whole_streams == 1 and play.engines[0].posts == 1
        client.sock.close()
        await end

    run_scenario(tmp_path, day)


def test_an_open_stream_goes_on_to_its_end_after_sigterm(tmp_path: Path) -> None:
    async def day(play: FrontSetup) -> None:
        client = play.client()
        held = await play.submit_until_decode(client)
        for part in range(0, len(GOOD), 60):
            held.sock.sendall(GOOD[part : part + 60])
            await run_loop_turns(3)
            if not part:
                end = await ending(play)
        await until(lambda: client.whole_streams == 1, "the stream's end")
        assert all(event in client.received for event in EVENTS)
        client.sock.close()
        await end

    run_scenario(tmp_path, day)
