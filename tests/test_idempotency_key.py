"""The mark by which engines know a repeat is passed on at every attempt, as the client sent it."""

import asyncio
from pathlib import Path
from typing import Any

import pytest
from raw_peers import FrontSetup, answer_releases, decode, prefill, request, run_scenario, until

from heathford.standin.platform import GOOD, READ, WORDS

KEY = "b02d0542cb65 83a72f10"


def keyed(settings: dict[str, Any]) -> None:
    settings["categories"][0].update(idempotency="guarded", group="all", keyTtlNs=2_000_000_000)


def with_header(name: str, line: str) -> bytes:
    head, end, body = request(name).partition(b"\r\n\r\n")
    return head + b"\r\n" + line.encode("latin-1") + end + body


def test_every_attempt_carries_the_key(tmp_path: Path) -> None:
    """Prefill, decode, and the decode again after one that was turned away.

    Seen on a deployment of our own: "request 7cf48bc7 is not as its client sent it (idempotency key)"."""

    async def day(play: FrontSetup) -> None:
        a, b, other = play.engines
        client = play.client()
        await play.answer_anywhere(client, "before")
        for engine in play.engines:
            engine.reset_counts()
        releases = asyncio.create_task(answer_releases(*play.engines))
        client.send(with_header("c0", f"Idempotency-Key: {KEY}"))
        held = await a.wait_for_request()
        assert held.header("Idempotency-Key") == KEY
        held.sock.sendall(READ)
        await until(lambda: b.posts + other.posts == 1, "a decode attempt")
        first, second = (b, other) if b.posts else (other, b)
        held = await first.wait_for_request()
        assert held.header("Idempotency-Key") == KEY
        held.sock.sendall(WORDS["full"])
        await until(lambda: b.posts + other.posts + a.posts == 3, "a further attempt")
        engine = next(e for e, n in ((a, 2), (first, 2), (second, 1)) if e.posts == n)
        assert (await engine.wait_for_request(engine.posts)).header("Idempotency-Key") == KEY
        releases.cancel()

    run_scenario(tmp_path, day, prefill(), decode(), decode("w2"), setting=keyed)


def test_without_a_key_none_is_made_up(tmp_path: Path) -> None:
    async def day(play: FrontSetup) -> None:
        a, b = play.engines
        client = play.client()
        held = await play.submit_until_decode(client)
        held.sock.sendall(GOOD)
        assert b"idempotency" not in held.read_available().lower()

    run_scenario(tmp_path, day)


@pytest.mark.parametrize(
    "line",
    [
        "Idempotency-Key: one\r\nIdempotency-Key: two",
        "Idempotency-Key: " + 300 * "k",
        "Idempotency-Key: k\xe9",
    ],
    ids=["twice", "too long", "no ASCII"],
)
def test_a_key_that_can_not_be_read_is_refused(tmp_path: Path, line: str) -> None:
    async def day(play: FrontSetup) -> None:
        a, b = play.engines
        client = play.client()
        client.send(with_header("c0", line))
        assert await client.wait_for_answers(1) == [400] and not a.posts

    run_scenario(tmp_path, day, setting=keyed)
