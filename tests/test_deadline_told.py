"""The deadline told to an engine is never more than what the client may have left.

It counts from the first byte of the request that this process read, at each attempt anew.
"""

import asyncio
from pathlib import Path

import pytest
from raw_peers import FrontSetup, decode, prefill, request, run_scenario, until

from heathford.policy import Router
from heathford.standin.platform import READ, WORDS

BUDGET = 3_000  # ms
SLACK = 150  # ms that the users allow
WAIT = 0.3  # s: less than the time after which an engine counts as slow


def most(begun: float) -> float:
    """ms that may be told now of a request that began to come then."""
    return BUDGET - 1000 * (asyncio.get_running_loop().time() - begun) + SLACK


@pytest.mark.parametrize("cut", [1, 60, -1], ids=["first byte", "in the head", "last byte"])
def test_of_a_request_that_comes_in_pieces(tmp_path: Path, cut: int) -> None:
    """Seen before: it counted from the last byte, so a slow writer's engine was told too much."""

    async def day(play: FrontSetup) -> None:
        a, b = play.engines
        # One that may not be repeated: its decode engine is told all the time that is left.
        client, begun = play.client(), play.node.loop.time()
        said = request("c0", BUDGET, request_class="booking")
        client.send(said[:cut])
        await asyncio.sleep(WAIT)
        client.send(said[cut:])
        (await a.wait_for_request()).sock.sendall(READ)
        told = int((await b.wait_for_request()).header("X-Budget-Ms"))
        assert 0 < told <= BUDGET - 1000 * WAIT
        assert told <= most(begun)

    run_scenario(tmp_path, day)


def test_of_a_request_that_stands_behind_another(tmp_path: Path) -> None:
    async def day(play: FrontSetup) -> None:
        a, b = play.engines
        client, begun = play.client(), play.node.loop.time()
        client.send(b"".join(request(name, BUDGET, request_class="booking") for name in ("c0", "c1")))
        held = await a.wait_for_request()
        await asyncio.sleep(WAIT)
        held.sock.sendall(READ)
        (await b.wait_for_request()).sock.sendall(WORDS["error"])
        (await a.wait_for_request(2)).sock.sendall(READ)
        told = int((await b.wait_for_request(2)).header("X-Budget-Ms"))
        assert 0 < told <= min(BUDGET - 1000 * WAIT, most(begun))

    run_scenario(tmp_path, day)


def test_of_a_request_that_waits_in_the_queue(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    pick, closed = Router.pick_prefill_engine, [True]
    monkeypatch.setattr(Router, "pick_prefill_engine", lambda *rest: None if closed[0] else pick(*rest))

    async def day(play: FrontSetup) -> None:
        a, b = play.engines
        client, begun = play.client(), play.node.loop.time()
        client.send(request("c0", BUDGET))
        await asyncio.sleep(WAIT)
        closed[0] = False
        told = int((await a.wait_for_request()).header("X-Budget-Ms"))
        assert 0 < told <= min(BUDGET - 1000 * WAIT, most(begun))

    run_scenario(tmp_path, day)


def test_of_each_further_attempt_and_one_held_behind_a_release(tmp_path: Path) -> None:
    async def day(play: FrontSetup) -> None:
        a, b, other = play.engines
        client, begun = play.client(), play.node.loop.time()
        client.send(request("c0", BUDGET))
        await until(lambda: a.posts + other.posts == 1, "the first attempt")
        first = a if a.posts else other
        await asyncio.sleep(WAIT)
        (await first.wait_for_request()).sock.sendall(WORDS["error"])
        release = await first.wait_for_request(1, b"DELETE")
        await asyncio.sleep(0.05)
        release.sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        await until(lambda: a.posts + other.posts == 2, "a further attempt")
        engine = next(e for e in (a, other) if e.posts == (2 if e is first else 1))
        told = int((await engine.wait_for_request(engine.posts)).header("X-Budget-Ms"))
        assert 0 < told <= min(BUDGET - 1000 * (WAIT + 0.05), most(begun))

    run_scenario(tmp_path, day, prefill(), decode(), prefill("r2"))


def test_a_request_that_took_all_its_time_to_come_is_refused(tmp_path: Path) -> None:
    async def day(play: FrontSetup) -> None:
        a, b = play.engines
        client, said = play.client(), request("c0", budget=200)
        client.send(said[:-1])
        await asyncio.sleep(0.25)
        client.send(said[-1:])
        assert await client.wait_for_answers(1) == [503] and not a.posts

    run_scenario(tmp_path, day)
