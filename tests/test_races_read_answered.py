"""Requests that were read are answered, and requests still unread as a connection is closed are served first.

Each test forces the unfavourable order of events: a peer acts between the last check and the step after it.
"""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from raw_peers import FrontSetup, RawClient, answer_releases, request, run_loop_turns, run_scenario, until

from heathford.platform.client_connection import ClientConnection
from heathford.platform.client_server import (
    MAX_EVICTION_CHECKS,
    FIRST_BYTE_TIMEOUT,
    IDLE_TIMEOUT,
    SHUTDOWN_ACCEPT_PERIOD,
)
from heathford.platform.process import Node
from heathford.standin.platform import EVENTS, DECODE_RESPONSE, PREFILL_RESPONSE

PARTIAL_REQUEST = request("half")[:200]


def run_before(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str, action: Callable[[Any], None]
) -> None:
    """Patch a method to run the action right before each call."""
    method = getattr(owner, name)

    def patched(self: Any, *args: Any) -> Any:
        action(self)
        return method(self, *args)

    monkeypatch.setattr(owner, name, patched)


def run_after(monkeypatch: pytest.MonkeyPatch, owner: type, name: str, action: Callable[[Any], None]) -> None:
    """Patch a method to run the action right after each call."""
    method = getattr(owner, name)

    def patched(self: Any, *args: Any) -> Any:
        result = method(self, *args)
        action(self)
        return result

    monkeypatch.setattr(owner, name, patched)


async def serve(scenario: FrontSetup, count: int = 1) -> None:
    """Have both engines answer so many requests, one after the other."""
    prefill_engine, decode_engine = scenario.engines
    for n in range(1, count + 1):
        (await prefill_engine.wait_for_request(n)).sock.sendall(PREFILL_RESPONSE)
        (await decode_engine.wait_for_request(n)).sock.sendall(DECODE_RESPONSE)


# Evictions.


def test_connection_with_a_queued_request_is_not_evicted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An eviction falls into the moment between an answer and the handling of the next request."""
    run_after(
        monkeypatch, ClientConnection, "send_response", lambda connection: connection.server.evict_one()
    )

    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        client.send(request("c0") + request("c1"))
        await serve(setup, 2)
        assert await client.wait_for_answers(2) == [200, 200]
        await until(lambda: client.whole_streams == 2, "both streams")

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("first", [b"", request("c1")[:1]], ids=["nothing", "a byte"])
def test_connection_with_an_unread_request_is_not_evicted(tmp_path: Path, first: bytes) -> None:
    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        await setup.answer(client, "c0")
        client.send(first)
        await run_loop_turns()
        client.send(request("c1")[len(first) :])
        assert not setup.node.clients.evict_one()
        await until(lambda: setup.engines[0].posts == 2, "the request")

    run_scenario(tmp_path, scenario)


def test_partial_request_is_evicted_late_and_answered_503(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        idle, partial, new = setup.client(), setup.client(), setup.client()
        await setup.answer(idle, "c0")
        partial.send(PARTIAL_REQUEST)
        await run_loop_turns()
        server = setup.node.clients
        # The connection that was answered and kept alive goes first.
        assert server.evict_one() and await idle.wait_until_closed() == idle.received
        for _ in range(2):
            assert server.evict_one()
        assert not server.evict_one()
        assert await partial.wait_for_answers(1) == [503] and (await partial.wait_until_closed()).endswith(
            b"slow\n"
        )
        assert await new.wait_until_closed() == b""

    run_scenario(tmp_path, scenario)


def test_connection_with_an_unsent_answer_is_not_evicted(tmp_path: Path) -> None:
    """The client reads slowly, and part of its answer is still in the write buffer."""

    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        await setup.answer(client, "c0")
        connection = next(iter(setup.node.clients.connections))
        connection.write(900_000 * b"x")
        while connection.flushed:
            connection.write(100_000 * b"x")
        assert not setup.node.clients.evict_one()

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("unread", [0, 1, 40])
def test_eviction_checks_a_limited_number_of_connections(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, unread: int
) -> None:
    """A check of all 600 or so idle connections for each new one put the loop 0.16 s behind."""
    checked: list[ClientConnection] = []
    run_before(monkeypatch, ClientConnection, "evict", checked.append)

    async def scenario(setup: FrontSetup) -> None:
        clients = [setup.client() for _ in range(80)]
        await until(lambda: len(setup.node.clients.connections) == 80, "the connections")
        for client in clients[:unread]:
            client.send(PARTIAL_REQUEST)
        evicted = setup.node.clients.evict_one()
        assert len(checked) == min(unread + 1, MAX_EVICTION_CHECKS) and evicted == (
            unread < MAX_EVICTION_CHECKS
        )

    run_scenario(tmp_path, scenario)


# Time-outs.


@pytest.mark.parametrize("idle_time", [IDLE_TIMEOUT, 10 * IDLE_TIMEOUT])
def test_request_that_races_the_idle_timeout_is_served(tmp_path: Path, idle_time: float) -> None:
    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        await setup.answer(client, "c0")
        client.send(request("c1"))
        setup.node.clients.sweep(setup.node.loop.time() + idle_time)
        await until(lambda: setup.engines[0].posts == 2, "the request")
        (await setup.engines[0].wait_for_request(2)).sock.sendall(PREFILL_RESPONSE)
        (await setup.engines[1].wait_for_request(2)).sock.sendall(DECODE_RESPONSE)
        assert await client.wait_for_answers(2) == [200, 200]

    run_scenario(tmp_path, scenario)


def test_first_request_that_races_its_timeout_is_served(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        await until(lambda: len(setup.node.clients.connections) == 1, "the connection")
        client.send(request("c0"))
        setup.node.clients.sweep(setup.node.loop.time() + FIRST_BYTE_TIMEOUT)
        await serve(setup)
        assert await client.wait_for_answers(1) == [200]

    run_scenario(tmp_path, scenario)


def test_partial_request_is_answered_408(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        client.send(PARTIAL_REQUEST)
        await run_loop_turns()
        setup.node.clients.sweep(setup.node.loop.time() + 10 * FIRST_BYTE_TIMEOUT)
        assert await client.wait_for_answers(1) == [408] and (await client.wait_until_closed()).endswith(
            b"time\n"
        )

    run_scenario(tmp_path, scenario)


# Shutdown.


async def begin_shutdown(setup: FrontSetup) -> "asyncio.Task[None]":
    setup.node.terminate()
    return asyncio.create_task(setup.node.end())


def test_request_that_races_the_end_of_an_answer_is_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """During shutdown the next request arrives on a connection just as its answer ends."""

    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        client.send(request("c0"))
        engine_connection = await setup.engines[0].wait_for_request()
        sent: list[None] = []

        def send_next(connection: ClientConnection) -> None:
            if not sent:
                sent.append(None)
                client.send(request("c1"))

        run_before(monkeypatch, ClientConnection, "finished", send_next)
        shutdown = await begin_shutdown(setup)
        engine_connection.sock.sendall(PREFILL_RESPONSE)
        (await setup.engines[1].wait_for_request()).sock.sendall(DECODE_RESPONSE)
        (await setup.engines[0].wait_for_request(2)).sock.sendall(PREFILL_RESPONSE)
        (await setup.engines[1].wait_for_request(2)).sock.sendall(DECODE_RESPONSE)
        assert await client.wait_for_answers(2) == [200, 200]
        await until(lambda: client.whole_streams == 2, "both streams")
        client.sock.close()
        await shutdown

    run_scenario(tmp_path, scenario)


def test_request_that_races_the_half_close_of_an_idle_connection_is_served(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        await setup.answer(client, "c0")
        setup.node.clients.stop()
        client.send(request("c1"))
        setup.node.clients.close_idle()
        (await setup.engines[0].wait_for_request(2)).sock.sendall(PREFILL_RESPONSE)
        (await setup.engines[1].wait_for_request(2)).sock.sendall(DECODE_RESPONSE)
        assert await client.wait_for_answers(2) == [200, 200]
        assert client.whole_streams == 2 and (await client.wait_until_closed()).count(b"HTTP/1.1") == 2

    run_scenario(tmp_path, scenario)


def test_data_after_the_half_close_is_discarded_without_a_reset(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        await setup.answer(client, "c0")
        setup.node.clients.stop()
        setup.node.clients.close_idle()
        client.send(request("c1"))
        assert b"<reset>" not in await client.wait_until_closed()
        await run_loop_turns()
        assert setup.engines[0].posts == 1

    run_scenario(tmp_path, scenario)


def test_connections_waiting_to_be_accepted_at_shutdown_are_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client connects between the last check for open requests and the close of the listening socket.

    Its connection used to be reset with its request unread.
    """

    async def scenario(setup: FrontSetup) -> None:
        late_clients: list[RawClient] = []

        def connect_late(node: Node) -> None:
            if not late_clients:
                late_clients.append(setup.client())
                late_clients[0].send(request("c0"))

        run_before(monkeypatch, Node, "idle", connect_late)
        shutdown = await begin_shutdown(setup)
        await until(lambda: bool(late_clients), "the last check")
        assert await late_clients[0].wait_for_answers(1) == [503]
        late_clients[0].sock.close()
        await shutdown
        assert setup.engines[0].posts == 0

    run_scenario(tmp_path, scenario)


def test_late_request_after_sigterm_is_refused(tmp_path: Path) -> None:
    """Requests that arrive later than SHUTDOWN_ACCEPT_PERIOD after SIGTERM are answered with 503.

    The process may be killed 0.7 s after the longest deadline, when an attempt of a request accepted later
    might still be in flight. A stream that is already open continues to its end.
    """

    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        releases = asyncio.create_task(answer_releases(*setup.engines))
        connection = await setup.submit_until_decode(client)
        shutdown = await begin_shutdown(setup)
        await asyncio.sleep(SHUTDOWN_ACCEPT_PERIOD + 0.02)
        releases.cancel()
        client.send(request("c1"))
        await run_loop_turns()
        connection.sock.sendall(DECODE_RESPONSE)
        assert await client.wait_for_answers(2) == [200, 503]
        assert client.whole_streams == 1 and setup.engines[0].posts == 1
        client.sock.close()
        await shutdown

    run_scenario(tmp_path, scenario)


def test_open_stream_continues_to_its_end_after_sigterm(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        connection = await setup.submit_until_decode(client)
        for part in range(0, len(DECODE_RESPONSE), 60):
            connection.sock.sendall(DECODE_RESPONSE[part : part + 60])
            await run_loop_turns(3)
            if not part:
                shutdown = await begin_shutdown(setup)
        await until(lambda: client.whole_streams == 1, "the stream's end")
        assert all(event in client.received for event in EVENTS)
        client.sock.close()
        await shutdown

    run_scenario(tmp_path, scenario)
