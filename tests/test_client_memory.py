"""What clients send, and do not read, takes a bounded amount of a front node's memory."""

import asyncio
import tracemalloc
from pathlib import Path

import pytest
from raw_peers import FrontSetup, request, run_scenario, until

from heathford.platform.client_connection import GUARANTEED_UNSENT_BYTES
from heathford.platform.memory import (
    BYTES_PER_MB,
    DEFAULT_REQUEST_BYTES,
    MIN_REQUEST_BYTES,
    request_bytes,
    resident_bytes,
)

AT_ONCE = 250  # requests that a client sends at once


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
            await until(lambda: len(setup.node.clients.open_requests) == len(clients), "all first requests")
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert peak < 2 * sum(map(len, sent))

    run_scenario(tmp_path, scenario)


def test_memory_of_a_request_is_free_again_after_its_answer(tmp_path: Path) -> None:
    """A charge that stays would have the front node refuse requests after some hours."""

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
