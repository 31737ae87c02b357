"""No idempotency-keyed request runs twice because engines stop reading for a while."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from time import monotonic

from raw_peers import (
    FrontSetup,
    RawConnection,
    RawEngine,
    answer_releases,
    decode,
    prefill,
    readable,
    request,
    run_scenario,
    until,
)
from test_repeat_read_late import WINDOW, add_keyed_class

from heathford.standin.platform import PREFILL_RESPONSE

TRY_LIMIT = 12  # attempts per request: enough for several at each engine
AFTER_WINDOW = 0.3  # s past the window after which an engine resumes
ANSWER_WITHIN = 0.2  # s from the end of the attempt to the final answer


def has_unread(engine: RawEngine) -> bool:
    """Return whether the engine has received something that it has not read."""
    return readable(engine.listener) or any(readable(connection.sock) for connection in engine.connections)


class RunningEngines:
    """Runs engines: releases and prefill attempts are answered at once, decode attempts are left open."""

    def __init__(self, *engines: RawEngine) -> None:
        self.engines = engines

    async def __aenter__(self) -> "RunningEngines":
        self.tasks = [asyncio.create_task(answer_releases(*self.engines))]
        self.tasks += [asyncio.create_task(self.answer_prefills(e)) for e in self.engines if e.model == "m0"]
        return self

    async def __aexit__(self, *problem: object) -> None:
        for task in self.tasks:
            task.cancel()

    async def answer_prefills(self, engine: RawEngine) -> None:
        prefills = engine.posts
        while True:
            if engine.posts > prefills:
                prefills += 1
                (await engine.wait_for_request(prefills)).sock.sendall(PREFILL_RESPONSE)
            await asyncio.sleep(0.002)


async def attempt_at(setup: FrontSetup, name: str) -> tuple[RawEngine, RawEngine, RawConnection]:
    """Wait for a decode attempt; return its engine, the other decode engine, and the connection."""
    decode_engines = setup.engines[1:]

    def connection_of(engine: RawEngine) -> RawConnection | None:
        engine.count(b"POST")
        mark = f"X-Call-Id: {name}\r\n".encode()
        return next((connection for connection in engine.connections if mark in connection.received), None)

    await until(
        lambda: any(connection_of(decode_engine) for decode_engine in decode_engines),
        f"the attempt of {name}",
    )
    first = next(decode_engine for decode_engine in decode_engines if connection_of(decode_engine))
    connection = connection_of(first)
    assert connection
    return (
        first,
        next(decode_engine for decode_engine in decode_engines if decode_engine is not first),
        connection,
    )


def run_keyed_scenario(
    tmp_path: Path, scenario: Callable[[FrontSetup], Awaitable[None]], **limits: int
) -> None:
    """Run a scenario with two decode engines and a class with idempotency keys; limits: of the policy."""
    run_scenario(
        tmp_path,
        scenario,
        prefill(),
        decode("w"),
        decode("w2"),
        change_settings=add_keyed_class,
        **limits,
    )


def test_no_retry_lies_unread_at_a_stopped_engine_while_the_first_engine_runs(tmp_path: Path) -> None:
    """The first engine has run it and its answer is lost; the engine of a retry is stopped."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine = setup.engines[0]
        client = setup.client()
        await setup.answer_anywhere(client, "c0")
        async with RunningEngines(prefill_engine):
            client.send(request("c1", request_class="order"))
            first, stopped, connection = await attempt_at(setup, "c1")
            ran_at = monotonic()
            connection.sock.close()
            before, seen = stopped.posts, first.posts
            async with RunningEngines(first):
                while monotonic() < ran_at + WINDOW + AFTER_WINDOW:
                    if first.posts > seen:  # retried there: the answer is lost again
                        seen = first.posts
                        first.latest[b"POST"].sock.close()
                    await asyncio.sleep(0.005)
            assert stopped.posts == before

    run_keyed_scenario(tmp_path, scenario, tryLimit=TRY_LIMIT)


def test_no_retry_while_the_first_attempt_lies_unread(tmp_path: Path) -> None:
    """The first engine is stopped before it reads the attempt; the other one runs."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, *decode_engines = setup.engines
        client = setup.client()
        await setup.answer_anywhere(client, "c0")
        async with RunningEngines(prefill_engine):
            client.send(request("c1", request_class="order"))
            await until(
                lambda: any(has_unread(decode_engine) for decode_engine in decode_engines), "the attempt"
            )
            sent_at = monotonic()
            stopped = next(decode_engine for decode_engine in decode_engines if has_unread(decode_engine))
            other = next(decode_engine for decode_engine in decode_engines if decode_engine is not stopped)
            before = other.posts
            async with RunningEngines(other):
                while monotonic() < sent_at + WINDOW + AFTER_WINDOW:
                    await asyncio.sleep(0.005)
            assert (
                b"X-Call-Id: c1\r\n"
                in b"".join(connection.read_available() for connection in stopped.connections)
                or stopped.posts
            )
            assert other.posts == before
            await client.wait_for_answers(2)

    run_keyed_scenario(tmp_path, scenario)


def test_no_retry_though_all_engines_resume_in_time(tmp_path: Path) -> None:
    """They answer again within the window; the client gets 503 at once, as its own repeat does no harm."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, *decode_engines = setup.engines
        client = setup.client()
        await setup.answer_anywhere(client, "c0")
        async with RunningEngines(prefill_engine):
            client.send(request("c1", request_class="order"))
            _, _, connection = await attempt_at(setup, "c1")
            before = [decode_engine.posts for decode_engine in decode_engines]
            connection.sock.close()
            closed_at = monotonic()
            await client.wait_for_answers(2)
            assert monotonic() < closed_at + ANSWER_WITHIN and client.answers[1] == 503
            async with RunningEngines(*decode_engines):
                await asyncio.sleep(WINDOW / 3)
                assert [decode_engine.posts for decode_engine in decode_engines] == before

    run_keyed_scenario(tmp_path, scenario)


def test_no_retry_where_the_first_engine_is_gone(tmp_path: Path) -> None:
    """Its process has ended and reads nothing later, but a retry elsewhere could be read late."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine = setup.engines[0]
        client = setup.client()
        await setup.answer_anywhere(client, "c0")
        async with RunningEngines(prefill_engine):
            client.send(request("c1", request_class="order"))
            first, other, _ = await attempt_at(setup, "c1")
            before = other.posts
            first.close()
            closed_at = monotonic()
            await client.wait_for_answers(2)
            assert monotonic() < closed_at + ANSWER_WITHIN and client.answers[1] == 503
            async with RunningEngines(other):
                await asyncio.sleep(WINDOW / 3)
                assert other.posts == before

    run_keyed_scenario(tmp_path, scenario)


def test_no_retry_is_read_late_by_an_engine_that_stops_right_after_its_answer(tmp_path: Path) -> None:
    """The other engine answers a release and is stopped before a retry reaches it."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine = setup.engines[0]
        client = setup.client()
        await setup.answer_anywhere(client, "c0")
        async with RunningEngines(prefill_engine):
            client.send(request("c1", request_class="order"))
            first, other, connection = await attempt_at(setup, "c1")
            ran_at = monotonic()
            connection.sock.close()
            before, seen, stopped = other.posts, first.posts, False
            async with RunningEngines(first):
                while monotonic() < ran_at + WINDOW + AFTER_WINDOW:
                    if not stopped and other.deletes:
                        other.latest[b"DELETE"].sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
                        stopped = True  # it reads nothing from here on
                    if first.posts > seen:
                        seen = first.posts
                        first.latest[b"POST"].sock.close()
                    await asyncio.sleep(0.005)
            assert other.posts == before

    run_keyed_scenario(tmp_path, scenario, tryLimit=TRY_LIMIT)
