"""The platform's link against a socket that a test answers by hand, byte by byte."""

import asyncio
import select
import socket
import struct
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import pytest
from conftest import RecordingReleaseEvents

from heathford.core.protocols import Endpoint
from heathford.interface import Role, Outcome
from heathford.platform.engine_call import EngineCall
from heathford.platform.link import PlatformLink
from heathford.platform.release_schedule import next_to_ask

BUSY = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
LARGE = b"x" * 33_554_432  # bytes: more than the buffers of both sockets hold


class Heard:
    """What a link tells of a dispatch, and what the engine sees of it at that moment."""

    def __init__(self, look: Callable[[], Any]) -> None:
        self.look = look
        self.ends: list[tuple[Outcome, Any]] = []

    def may_send(self) -> bool:
        return True

    def answer_begun(self) -> None: ...

    def first_token(self) -> None: ...

    def tokens(self, part: Any) -> None: ...

    def ended(
        self, verdict: Outcome, detail: int, load: Mapping[str, float], answer: Mapping[str, Any]
    ) -> None:
        self.ends.append((verdict, self.look()))


class Engine:
    """A listening socket; the test is the engine."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.held: list[socket.socket] = []

    async def accepted(self) -> socket.socket:
        held, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        held.setblocking(False)
        self.held.append(held)
        return held

    def endpoint(self) -> Endpoint:
        return Endpoint(1, "e", Role.DECODE, *self.listener.getsockname())

    def close(self) -> None:
        for held in (self.listener, *self.held):
            held.close()


@pytest.fixture
def engine() -> Iterator[Engine]:
    engine = Engine()
    yield engine
    engine.close()


def at_end(held: socket.socket) -> bool:
    """Whether the other side has ended: seen without waiting, as on loopback it is known at once."""
    return bool(select.select([held], [], [], 0.0)[0]) and held.recv(65_536) == b""


async def until(true: Callable[[], bool]) -> None:
    async with asyncio.timeout(5.0):
        while not true():
            await asyncio.sleep(0.005)


def link_of(*near: Endpoint) -> PlatformLink:
    return PlatformLink(
        connect_timeout=1.0,
        pin_limit=0.3,
        engine_idle_timeout=15.0,
        max_connections=8,
        listed_engines=lambda: (near, ()),
    )


def send(
    link: PlatformLink, engine: Engine, heard: Heard, body: bytes = b"{}", timeout: float = 5.0
) -> EngineCall:
    return link.send(engine.endpoint(), "a1", ("/v1/chat/completions", body), None, "", timeout, heard)


@pytest.mark.parametrize("how", ["cancelled", "timed out"])
def test_given_up_means_ended_at_the_engine(engine: Engine, how: str) -> None:
    """Guards against a rate-limit reply that leaves before the dispatch's connection has closed: for its
    client and the engine the dispatch is still out then. Seen with a turn due in the same round of a loop."""

    async def day() -> None:
        link = link_of()
        heard = Heard(lambda: at_end(engine.held[0]))
        call = send(link, engine, heard, timeout=5.0 if how == "cancelled" else 0.2)
        held = await engine.accepted()
        await until(lambda: bool(select.select([held], [], [], 0.0)[0]))
        assert held.recv(65_536).endswith(b"{}")
        if how == "cancelled":
            call.cancel()
        await until(lambda: bool(heard.ends))
        assert heard.ends == [(Outcome(how), True)]

    asyncio.run(day())


def test_answered_before_the_request_has_left(engine: Engine) -> None:
    """Guards against the rest of a request that leaves behind the verdict that it was turned away. Could harm
    by one new connection after a refusal of a long prompt."""

    async def day() -> None:
        link = link_of()
        heard = Heard(lambda: None)
        send(link, engine, heard, body=LARGE)
        held = await engine.accepted()
        await asyncio.sleep(0.05)
        held.send(BUSY)
        await until(lambda: bool(heard.ends))
        got, ended = 0, False
        async with asyncio.timeout(5.0):
            while not ended:
                try:
                    part = await asyncio.get_running_loop().sock_recv(held, 1 << 20)
                except ConnectionError:
                    part = b""
                got, ended = got + len(part), not part
        assert heard.ends == [(Outcome.FULL, None)] and got < len(LARGE) and link.pools.open == 0

    asyncio.run(day())


def test_a_silent_holder_is_not_the_only_one_asked_to_let_go(engine: Engine) -> None:
    """Seen on the whole fleet with a zone lost: a front with no other connection asked the holder five times
    over ("tried": the same address five times) and gave up. Any engine lets go of what another holds."""

    async def day() -> None:
        other = Engine()
        try:
            link = link_of(engine.endpoint(), other.endpoint())
            began = link.loop.time()
            link.release(engine.endpoint(), "a1", RecordingReleaseEvents())
            held = await other.accepted()
            await until(lambda: bool(select.select([held], [], [], 0.0)[0]))
            assert held.recv(65_536).startswith(b"DELETE /bootstrap/rooms/a1 ")
            assert link.loop.time() - began < 0.3
            held.send(b"HTTP/1.1 204 No Content\r\n\r\n")
            await until(lambda: not link.releases)
            assert not link.failed_releases
        finally:
            other.close()

    asyncio.run(day())


def test_what_is_sent_after_a_release_starts_once_it_is_through(engine: Engine) -> None:
    """Guards against a release that takes the state of the dispatch after it."""

    async def day() -> None:
        link = link_of()
        link.release(engine.endpoint(), "a1", RecordingReleaseEvents())
        held = await engine.accepted()
        send(link, engine, Heard(lambda: None))
        await until(lambda: bool(select.select([held], [], [], 0.0)[0]))
        assert held.recv(65_536).startswith(b"DELETE")
        await asyncio.sleep(0.03)
        assert link.releases and not select.select([held, engine.listener], [], [], 0.0)[0]
        held.send(b"HTTP/1.1 204 No Content\r\n\r\n")
        other = await engine.accepted()  # the first is used again a little later
        await until(lambda: bool(select.select([other], [], [], 0.0)[0]))
        assert other.recv(65_536).startswith(b"POST")

    asyncio.run(day())


def test_what_waits_for_a_release_when_it_is_withdrawn_is_never_sent(engine: Engine) -> None:
    async def day() -> None:
        link = link_of()
        link.release(engine.endpoint(), "a1", RecordingReleaseEvents())
        heard = Heard(lambda: None)
        call = send(link, engine, heard)
        held = await engine.accepted()
        await until(lambda: bool(select.select([held], [], [], 0.0)[0]))
        assert held.recv(65_536).startswith(b"DELETE ")
        call.withdraw()
        assert heard.ends == [(Outcome.UNSENT, None)]
        held.send(b"HTTP/1.1 204 No Content\r\n\r\n")
        await asyncio.sleep(0.1)
        assert not select.select([held, engine.listener], [], [], 0.0)[0] and len(heard.ends) == 1

    asyncio.run(day())


@pytest.mark.parametrize("reset", [False, True])
def test_an_answer_may_end_with_its_connection_unless_it_broke(engine: Engine, reset: bool) -> None:
    async def day() -> None:
        link = link_of()
        heard = Heard(lambda: None)
        send(link, engine, heard)
        held = await engine.accepted()
        await until(lambda: bool(select.select([held], [], [], 0.0)[0]))
        held.recv(65_536)
        held.send(b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nConnection: close\r\n\r\nbusy")
        await asyncio.sleep(0.05)
        if reset:
            held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        held.close()
        await until(lambda: bool(heard.ends))
        assert heard.ends == [(Outcome.BROKEN if reset else Outcome.FULL, None)] and link.pools.open == 0

    asyncio.run(day())


def test_what_has_begun_is_not_withdrawn(engine: Engine) -> None:
    async def day() -> None:
        link = link_of()
        heard = Heard(lambda: None)
        call = send(link, engine, heard)
        held = await engine.accepted()
        await until(lambda: bool(select.select([held], [], [], 0.0)[0]))
        call.withdraw()
        assert not heard.ends and not at_end(held)

    asyncio.run(day())


def test_dead_engines_are_passed_over_at_once(engine: Engine) -> None:
    """A lost zone: each refuses at once, and a wait after each had used the limit up."""

    async def day() -> None:
        dead = []
        for _ in range(6):
            gone = Engine()
            dead.append(gone.endpoint())
            gone.close()
        link = link_of(*dead, engine.endpoint())
        began = link.loop.time()
        link.release(dead[0], "a1", RecordingReleaseEvents())
        held = await engine.accepted()
        assert link.loop.time() - began < 0.2
        await until(lambda: bool(select.select([held], [], [], 0.0)[0]))
        held.send(b"HTTP/1.1 204 No Content\r\n\r\n")
        await until(lambda: not link.releases)
        assert not link.failed_releases

    asyncio.run(day())


E = [Endpoint(n, f"e{n}", Role.PREFILL, "127.0.0.1", n) for n in range(6)]


@pytest.mark.parametrize(
    "asked, kept, near, far, then",
    [
        ([0], [3, 2], [1, 2], [4], {3}),
        ([0, 3], [3, 2], [1, 2], [4], {2}),
        ([0], [0], [0, 1], [4], {1}),
        ([0, 1], [], [0, 1], [4], {4}),
        ([0], [], [1, 2, 3], [], {1, 2, 3}),
        ([0, 1], [], [0, 1, 2], [4, 5], {4, 5}),
        ([0, 1, 4], [], [0, 1, 2], [4, 5], {2}),
        ([0, 1], [1], [0], [1], {0}),
        ([0], [], [], [], {0}),
    ],
)
def test_whom_to_ask_next_to_let_go(
    asked: list[int], kept: list[int], near: list[int], far: list[int], then: set[int]
) -> None:
    """The kept connection used last, then near engines and far ones in turn; else the holder again."""
    found = {
        next_to_ask(
            f"c{n}",
            [E[i] for i in asked],
            [("127.0.0.1", i) for i in kept],
            [E[i] for i in near],
            [E[i] for i in far],
        )
        for n in range(40)
    }
    # All of them: fronts that let go at once do not meet at one.
    assert {endpoint.port if endpoint else None for endpoint in found} == then


@pytest.mark.parametrize(
    "asked, kept, near, far, silent, then",
    [
        ([0], [3, 2], [1, 2], [4], {3}, 2),
        ([0], [3], [1, 2], [4], {3, 1}, 2),
        ([0], [3], [1], [4], {3, 1}, 4),
        ([0], [3], [1], [4], {3, 1, 4}, 0),
        ([], [3], [1], [4], {3, 1, 4}, None),
        ([], [3, 2], [1], [], {3}, 2),
    ],
)
def test_silent_engines_are_passed_over(
    asked: list[int], kept: list[int], near: list[int], far: list[int], silent: set[int], then: int | None
) -> None:
    found = next_to_ask(
        "c",
        [E[i] for i in asked],
        [("127.0.0.1", i) for i in kept],
        [E[i] for i in near],
        [E[i] for i in far],
        lambda address: address[1] in silent,
    )
    assert (found.port if found else None) == then


def test_a_dead_holder_that_is_alone_is_not_asked_in_a_row(engine: Engine) -> None:
    """Its refusals come at once: without a wait between them they use up all tries in milliseconds."""

    async def day() -> None:
        gone = Engine()
        dead = gone.endpoint()
        gone.close()
        link = link_of(dead)
        heard = RecordingReleaseEvents()
        link.release(dead, "a1", heard)
        await asyncio.sleep(0.04)
        assert heard.events.count("asked e") <= 2
        await until(lambda: "failed" in heard.events)
        link.stop()

    asyncio.run(day())
