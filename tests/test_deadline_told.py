"""The deadline stated to an engine is never later than the client's.

The client's time counts from the first byte of its request that was read; each attempt states what is left.
"""

import asyncio
from pathlib import Path

import pytest
from raw_peers import FrontSetup, decode, prefill, request, run_scenario, until

from heathford.policy import Router
from heathford.standin.platform import PREFILL_RESPONSE, RESPONSES

BUDGET = 3_000  # ms
SLACK = 150  # ms by which it may be later, by the requirements
WAIT = 0.3  # s: less than the time after which an engine counts as slow


def max_budget(started_at: float) -> float:
    """Return the ms that may be stated now for a request whose first byte was read at `started_at` (s)."""
    return BUDGET - 1000 * (asyncio.get_running_loop().time() - started_at) + SLACK


@pytest.mark.parametrize("split_at", [1, 60, -1], ids=["first byte", "in the head", "last byte"])
def test_budget_of_a_request_that_arrives_in_pieces(tmp_path: Path, split_at: int) -> None:
    """Guards against a budget that counts from the last byte: too much was stated for a slow client."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        # non-idempotent: all the time left is stated to its decode engine
        client, started_at = setup.client(), setup.node.loop.time()
        data = request("c0", BUDGET, request_class="booking")
        client.send(data[:split_at])
        await asyncio.sleep(WAIT)
        client.send(data[split_at:])
        (await prefill_engine.wait_for_request()).sock.sendall(PREFILL_RESPONSE)
        stated = int((await decode_engine.wait_for_request()).header("X-Budget-Ms"))
        assert 0 < stated <= BUDGET - 1000 * WAIT
        assert stated <= max_budget(started_at)

    run_scenario(tmp_path, scenario)


def test_budget_of_a_pipelined_request(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client, started_at = setup.client(), setup.node.loop.time()
        client.send(b"".join(request(name, BUDGET, request_class="booking") for name in ("c0", "c1")))
        connection = await prefill_engine.wait_for_request()
        await asyncio.sleep(WAIT)
        connection.sock.sendall(PREFILL_RESPONSE)
        (await decode_engine.wait_for_request()).sock.sendall(RESPONSES["error"])
        (await prefill_engine.wait_for_request(2)).sock.sendall(PREFILL_RESPONSE)
        stated = int((await decode_engine.wait_for_request(2)).header("X-Budget-Ms"))
        assert 0 < stated <= min(BUDGET - 1000 * WAIT, max_budget(started_at))

    run_scenario(tmp_path, scenario)


def test_budget_of_a_request_that_waits_in_the_queue(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    pick, closed = Router.pick_prefill_engine, [True]
    monkeypatch.setattr(Router, "pick_prefill_engine", lambda *rest: None if closed[0] else pick(*rest))

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client, started_at = setup.client(), setup.node.loop.time()
        client.send(request("c0", BUDGET))
        await asyncio.sleep(WAIT)
        closed[0] = False
        stated = int((await prefill_engine.wait_for_request()).header("X-Budget-Ms"))
        assert 0 < stated <= min(BUDGET - 1000 * WAIT, max_budget(started_at))

    run_scenario(tmp_path, scenario)


def test_budget_of_a_retry_that_waits_for_a_release(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine, other = setup.engines
        client, started_at = setup.client(), setup.node.loop.time()
        client.send(request("c0", BUDGET))
        await until(lambda: prefill_engine.posts + other.posts == 1, "the first attempt")
        first = prefill_engine if prefill_engine.posts else other
        await asyncio.sleep(WAIT)
        (await first.wait_for_request()).sock.sendall(RESPONSES["error"])
        release = await first.wait_for_request(1, b"DELETE")
        await asyncio.sleep(0.05)
        release.sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        await until(lambda: prefill_engine.posts + other.posts == 2, "a further attempt")
        engine = next(e for e in (prefill_engine, other) if e.posts == (2 if e is first else 1))
        stated = int((await engine.wait_for_request(engine.posts)).header("X-Budget-Ms"))
        assert 0 < stated <= min(BUDGET - 1000 * (WAIT + 0.05), max_budget(started_at))

    run_scenario(tmp_path, scenario, prefill(), decode(), prefill("r2"))


def test_a_request_that_arrives_after_its_deadline_is_refused(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client, data = setup.client(), request("c0", budget=200)
        client.send(data[:-1])
        await asyncio.sleep(0.25)
        client.send(data[-1:])
        assert await client.wait_for_answers(1) == [503] and not prefill_engine.posts

    run_scenario(tmp_path, scenario)
