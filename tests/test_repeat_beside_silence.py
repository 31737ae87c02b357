"""No keyed request runs again after its window, whenever engines read nothing for a while."""

import asyncio
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
)
from raw_peers import run_scenario, until
from test_repeat_read_late import WINDOW, add_orders

from heathford.standin.platform import READ

TRIES = 12  # attempts that a request may have: enough for several at each engine
LATER = 0.3  # s past the window at which an engine reads on
AT_ONCE = 0.2  # s in which the final answer comes once its attempt has ended


def has_unread(engine: RawEngine) -> bool:
    """Something has come that the engine has not read."""
    return readable(engine.listener) or any(readable(held.sock) for held in engine.connections)


class Running:
    """Engines that run: they answer releases; prefill is done at once, decode attempts are kept."""

    def __init__(self, *engines: RawEngine) -> None:
        self.engines = engines

    async def __aenter__(self) -> "Running":
        self.tasks = [asyncio.create_task(answer_releases(*self.engines))]
        self.tasks += [asyncio.create_task(self.read(e)) for e in self.engines if e.model == "m0"]
        return self

    async def __aexit__(self, *problem: object) -> None:
        for task in self.tasks:
            task.cancel()

    async def read(self, engine: RawEngine) -> None:
        reads = engine.posts
        while True:
            if engine.posts > reads:
                reads += 1
                (await engine.wait_for_request(reads)).sock.sendall(READ)
            await asyncio.sleep(0.002)


async def attempt_at(play: FrontSetup, name: str) -> tuple[RawEngine, RawEngine, RawConnection]:
    """The engine that reads the decode attempt of that request, the other one, and the connection."""
    writers = play.engines[1:]

    def holds(engine: RawEngine) -> RawConnection | None:
        engine.count(b"POST")
        mark = f"X-Call-Id: {name}\r\n".encode()
        return next((held for held in engine.connections if mark in held.received), None)

    await until(lambda: any(holds(writer) for writer in writers), f"the attempt of {name}")
    first = next(writer for writer in writers if holds(writer))
    held = holds(first)
    assert held
    return first, next(writer for writer in writers if writer is not first), held


def test_a_repeat_does_not_lie_unread_at_a_stopped_engine_while_the_first_one_runs(tmp_path: Path) -> None:
    """The first engine has run it and lost its answer; the one of the repeat is stopped."""

    async def day(play: FrontSetup) -> None:
        reader = play.engines[0]
        client = play.client()
        await play.answer_anywhere(client, "c0")
        async with Running(reader):
            client.send(request("c1", request_class="order"))
            first, stopped, held = await attempt_at(play, "c1")
            ran_at = monotonic()
            held.sock.close()
            before, seen = stopped.posts, first.posts
            async with Running(first):
                while monotonic() < ran_at + WINDOW + LATER:
                    if first.posts > seen:  # repeated there: the answer is lost again
                        seen = first.posts
                        first.latest[b"POST"].sock.close()
                    await asyncio.sleep(0.005)
            assert stopped.posts == before

    run_scenario(tmp_path, day, prefill(), decode("w"), decode("w2"), setting=add_orders, tryLimit=TRIES)


def test_no_repeat_while_the_first_attempt_lies_unread(tmp_path: Path) -> None:
    """The first engine is stopped before it reads the attempt; the other one runs."""

    async def day(play: FrontSetup) -> None:
        reader, *writers = play.engines
        client = play.client()
        await play.answer_anywhere(client, "c0")
        async with Running(reader):
            client.send(request("c1", request_class="order"))
            await until(lambda: any(has_unread(writer) for writer in writers), "the attempt")
            sent_at = monotonic()
            stopped = next(writer for writer in writers if has_unread(writer))
            other = next(writer for writer in writers if writer is not stopped)
            before = other.posts
            async with Running(other):
                while monotonic() < sent_at + WINDOW + LATER:
                    await asyncio.sleep(0.005)
            assert (
                b"X-Call-Id: c1\r\n" in b"".join(held.read_available() for held in stopped.connections)
                or stopped.posts
            )
            assert other.posts == before
            await client.wait_for_answers(2)

    run_scenario(tmp_path, day, prefill(), decode("w"), decode("w2"), setting=add_orders)


def test_it_is_not_repeated_though_all_engines_go_on_in_time(tmp_path: Path) -> None:
    """They answer again within the window; the client is told at once that a new try does no harm."""

    async def day(play: FrontSetup) -> None:
        reader, *writers = play.engines
        client = play.client()
        await play.answer_anywhere(client, "c0")
        async with Running(reader):
            client.send(request("c1", request_class="order"))
            _, _, held = await attempt_at(play, "c1")
            before = [writer.posts for writer in writers]
            held.sock.close()
            closed_at = monotonic()
            await client.wait_for_answers(2)
            assert monotonic() < closed_at + AT_ONCE and client.answers[1] == 503
            async with Running(*writers):
                await asyncio.sleep(WINDOW / 3)
                assert [writer.posts for writer in writers] == before

    run_scenario(tmp_path, day, prefill(), decode("w"), decode("w2"), setting=add_orders)


def test_it_is_not_repeated_where_the_first_engine_is_gone(tmp_path: Path) -> None:
    """Its process has ended and reads nothing later, but a repeat elsewhere could be read late."""

    async def day(play: FrontSetup) -> None:
        reader = play.engines[0]
        client = play.client()
        await play.answer_anywhere(client, "c0")
        async with Running(reader):
            client.send(request("c1", request_class="order"))
            first, other, _ = await attempt_at(play, "c1")
            before = other.posts
            first.close()
            closed_at = monotonic()
            await client.wait_for_answers(2)
            assert monotonic() < closed_at + AT_ONCE and client.answers[1] == 503
            async with Running(other):
                await asyncio.sleep(WINDOW / 3)
                assert other.posts == before

    run_scenario(tmp_path, day, prefill(), decode("w"), decode("w2"), setting=add_orders)


def test_a_repeat_is_not_read_late_by_an_engine_that_stops_right_after_its_answer(tmp_path: Path) -> None:
    """What is left: an engine that answers, and is stopped before the repeat which follows comes to it."""

    async def day(play: FrontSetup) -> None:
        reader = play.engines[0]
        client = play.client()
        await play.answer_anywhere(client, "c0")
        async with Running(reader):
            client.send(request("c1", request_class="order"))
            first, other, held = await attempt_at(play, "c1")
            ran_at = monotonic()
            held.sock.close()
            before, seen, stopped = other.posts, first.posts, False
            async with Running(first):
                while monotonic() < ran_at + WINDOW + LATER:
                    if not stopped and other.deletes:
                        other.latest[b"DELETE"].sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
                        stopped = True  # it reads nothing more
                    if first.posts > seen:
                        seen = first.posts
                        first.latest[b"POST"].sock.close()
                    await asyncio.sleep(0.005)
            assert other.posts == before

    run_scenario(tmp_path, day, prefill(), decode("w"), decode("w2"), setting=add_orders, tryLimit=TRIES)
