"""The idempotency key is passed on with every attempt, as the client sent it."""

import asyncio
from pathlib import Path
from typing import Any

import pytest
from raw_peers import FrontSetup, answer_releases, decode, prefill, request, run_scenario, until

from heathford.standin.platform import DECODE_RESPONSE, PREFILL_RESPONSE, RESPONSES

KEY = "b02d0542cb65 83a72f10"


def set_guarded(settings: dict[str, Any]) -> None:
    settings["categories"][0].update(idempotency="guarded", group="all", keyTtlNs=2_000_000_000)


def with_header(name: str, line: str) -> bytes:
    head, end, body = request(name).partition(b"\r\n\r\n")
    return head + b"\r\n" + line.encode("latin-1") + end + body


def test_every_attempt_carries_the_key(tmp_path: Path) -> None:
    """Prefill, decode, and a retry of the decode after a refused one.

    Guards against attempts without the key: an engine reported "request 7cf48bc7 is not as its client sent it
    (idempotency key)".
    """

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine, other_decode_engine = setup.engines
        client = setup.client()
        await setup.answer_anywhere(client, "before")
        for engine in setup.engines:
            engine.reset_counts()
        releases = asyncio.create_task(answer_releases(*setup.engines))
        client.send(with_header("c0", f"Idempotency-Key: {KEY}"))
        connection = await prefill_engine.wait_for_request()
        assert connection.header("Idempotency-Key") == KEY
        connection.sock.sendall(PREFILL_RESPONSE)
        await until(lambda: decode_engine.posts + other_decode_engine.posts == 1, "a decode attempt")
        first, second = (
            (decode_engine, other_decode_engine)
            if decode_engine.posts
            else (other_decode_engine, decode_engine)
        )
        connection = await first.wait_for_request()
        assert connection.header("Idempotency-Key") == KEY
        connection.sock.sendall(RESPONSES["full"])
        await until(
            lambda: decode_engine.posts + other_decode_engine.posts + prefill_engine.posts == 3,
            "a further attempt",
        )
        engine = next(e for e, n in ((prefill_engine, 2), (first, 2), (second, 1)) if e.posts == n)
        assert (await engine.wait_for_request(engine.posts)).header("Idempotency-Key") == KEY
        releases.cancel()

    run_scenario(tmp_path, scenario, prefill(), decode(), decode("w2"), change_settings=set_guarded)


def test_without_a_key_none_is_sent(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        connection = await setup.submit_until_decode(client)
        connection.sock.sendall(DECODE_RESPONSE)
        assert b"idempotency" not in connection.read_available().lower()

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "line",
    [
        "Idempotency-Key: one\r\nIdempotency-Key: two",
        "Idempotency-Key: " + 300 * "k",
        "Idempotency-Key: k\xe9",
    ],
    ids=["twice", "too long", "no ASCII"],
)
def test_an_invalid_key_is_refused(tmp_path: Path, line: str) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        client.send(with_header("c0", line))
        assert await client.wait_for_answers(1) == [400] and not prefill_engine.posts

    run_scenario(tmp_path, scenario, change_settings=set_guarded)
