"""What clients send, and do not read, takes a bounded amount of a front node's memory."""

import asyncio
import gc
import tracemalloc
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest
from raw_peers import FrontSetup, decode, prefill, request, run_scenario, until

from heathford.core.accepted_request import AcceptedRequest
from heathford.core.engine_attempt import EngineAttempt
from heathford.platform import request_names
from heathford.platform.answers import Answer
from heathford.platform.client_connection import GUARANTEED_UNSENT_BYTES
from heathford.platform.memory import (
    BYTES_PER_MB,
    DEFAULT_REQUEST_BYTES,
    MIN_REQUEST_BYTES,
    request_bytes,
    resident_bytes,
)
from heathford.standin.platform import DECODE_RESPONSE, PREFILL_RESPONSE
from heathford.wire.requests import Request

AT_ONCE = 250  # requests that a client sends at once
OF_A_REQUEST = (AcceptedRequest, EngineAttempt, Answer)


@pytest.fixture
def no_collector(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """What is in memory during the test is referred to, or is part of a reference cycle."""
    gc.collect()
    gc.disable()
    monkeypatch.setattr(gc, "collect", lambda: 0)  # the node collects every two seconds
    yield
    gc.enable()


def in_memory() -> Counter[str]:
    """Count the objects of requests that are in memory, garbage included."""
    return Counter(type(found).__name__ for found in gc.get_objects() if isinstance(found, OF_A_REQUEST))


def parsers_in_memory() -> int:
    return sum(isinstance(found, Request) for found in gc.get_objects())


def test_hundreds_of_requests_at_once_take_little_more_than_their_size(tmp_path: Path) -> None:
    """Each queued request kept a copy of all bytes read behind it, which took the node over its limit."""

    async def scenario(setup: FrontSetup) -> None:
        sent = [
            b"".join(request(f"c{number}-{n}", size=4_000) for n in range(AT_ONCE)) for number in range(4)
        ]
        clients = [setup.client() for _ in sent]
        tracemalloc.start()
        try:
            senders = [
                asyncio.to_thread(client.send, data) for client, data in zip(clients, sent, strict=True)
            ]
            await asyncio.gather(*senders)
            await until(
                lambda: len(setup.node.clients.request_names.open) == len(clients), "all first requests"
            )
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert peak < 2 * sum(map(len, sent))

    run_scenario(tmp_path, scenario)


def test_memory_of_a_request_is_free_again_after_its_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A charge that stays would have the front node refuse requests after some hours."""
    monkeypatch.setattr(request_names, "USED_NAME_TIME", 0.0)  # a name is charged for as long as it is known

    async def scenario(setup: FrontSetup) -> None:
        memory = setup.node.clients.memory
        client, leaving = setup.client(), setup.client()
        leaving.send(request("c0", size=9_000) + request("c1") + b"POST / HT")
        await until(lambda: memory.used_bytes > 9_000, "a charge")
        leaving.disconnect("closed")
        await until(lambda: memory.used_bytes == 0, "no charge for a client that left")
        setup.engines[0].reset_counts()
        await setup.answer(client, "c2")
        assert memory.used_bytes == 0

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("end", ["answered", "refused", "left before its prefill", "left in its stream"])
def test_a_request_that_is_over_is_freed_without_the_garbage_collector(
    tmp_path: Path, end: str, no_collector: None
) -> None:
    """Refused requests kept their bodies until the next collection: clients that sent large ones again at
    once took the node over its memory limit within 2 s."""

    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        if end == "refused":
            prefill_engine, decode_engine = setup.engines
            prefill_engine.state = decode_engine.state = "DRAINING"
            setup.publish_entries(prefill_engine, decode_engine)
            await until(lambda: setup.node.endpoint_list.version == 2, "the drain")
        client.send(request("c0", size=9_000))
        if end == "refused":
            assert await client.wait_for_answers(1) == [503]
        elif end == "left before its prefill":
            await setup.engines[0].wait_for_request()
            client.disconnect("closed")
        else:
            (await setup.engines[0].wait_for_request()).sock.sendall(PREFILL_RESPONSE)
            stream = await setup.engines[1].wait_for_request()
            whole = DECODE_RESPONSE if end == "answered" else DECODE_RESPONSE[: len(DECODE_RESPONSE) // 2]
            stream.sock.sendall(whole)
            await client.wait_for_answers(1)
            if end == "left in its stream":
                client.disconnect("closed")
        await until(lambda: not setup.node.core.live, "an end")
        setup.node.clients.sweep(setup.node.loop.time())
        await until(lambda: not in_memory(), f"nothing of it in memory: {in_memory()}")

    run_scenario(tmp_path, scenario)


def test_the_parser_of_a_request_is_freed_without_the_garbage_collector(
    tmp_path: Path, no_collector: None
) -> None:
    """A parser referred to itself, and stayed with the head of its request until the next collection."""

    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        client.send(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n" * 20)
        await client.wait_for_answers(20)
        before = parsers_in_memory()
        client.send(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n" * 20)
        await client.wait_for_answers(40)
        assert parsers_in_memory() == before

    run_scenario(tmp_path, scenario)


def test_a_request_is_charged_until_its_last_attempt_has_ended(tmp_path: Path) -> None:
    """Its body was given back to the budget as its client left, while an attempt still held it."""
    size = 200_000

    async def scenario(setup: FrontSetup) -> None:
        memory, client = setup.node.clients.memory, setup.client()
        client.send(request("c0", size=size))
        attempt = await setup.engines[0].wait_for_request()
        await until(lambda: size < memory.used_bytes < 2 * size, "a charge of the whole request")
        client.disconnect("closed")
        await until(lambda: not setup.node.core.open_count, "a client that left")
        assert setup.node.core.live and memory.used_bytes > size
        attempt.sock.sendall(PREFILL_RESPONSE)
        await until(lambda: memory.used_bytes == 0, "no charge")

    run_scenario(tmp_path, scenario, prefill(), decode(), cancel=False)


@pytest.mark.parametrize("max_bytes, dropped", [(0, True), (1 << 20, False)])
def test_a_client_that_does_not_read_is_dropped_when_memory_is_used_up(
    tmp_path: Path, max_bytes: int, dropped: bool
) -> None:
    """Each connection might leave a megabyte unsent, whatever the limit and the number of connections."""

    async def scenario(setup: FrontSetup) -> None:
        clients, client = setup.node.clients, setup.client()
        clients.memory.max_bytes = max_bytes
        await until(lambda: bool(clients.connections), "a connection")
        connection = next(iter(clients.connections))
        connection.write(b"x" * GUARANTEED_UNSENT_BYTES)
        assert connection in clients.connections
        while connection.transport and not connection.writing_paused:
            connection.write(b"x" * GUARANTEED_UNSENT_BYTES)
            if connection not in clients.connections:
                break
        assert (connection not in clients.connections) == dropped
        if not dropped:
            assert clients.memory.used_bytes > GUARANTEED_UNSENT_BYTES
            await until(lambda: bool(client.read_available()) and not connection.writing_paused, "a reader")
        await until(lambda: clients.memory.used_bytes == 0, "no charge")

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "memory_mb, held_mb, expected",
    [
        (192, 32, 80 * BYTES_PER_MB),
        (32, 31, MIN_REQUEST_BYTES),
        (32, 64, MIN_REQUEST_BYTES),
        (None, 32, DEFAULT_REQUEST_BYTES),
    ],
)
def test_the_budget_follows_the_memory_limit(memory_mb: float | None, held_mb: int, expected: int) -> None:
    assert request_bytes(memory_mb, held_mb * BYTES_PER_MB) == expected


def test_resident_memory_is_read_from_the_system(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    """Where /proc is missing, the peak serves instead."""
    assert 8 * BYTES_PER_MB < resident_bytes() < 4096 * BYTES_PER_MB
    monkeypatch.setattr("heathford.platform.memory.PROCESS_MEMORY_FILE", tmp_path / "none")
    assert 8 * BYTES_PER_MB < resident_bytes() < 4096 * BYTES_PER_MB
