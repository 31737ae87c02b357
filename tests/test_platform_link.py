"""The platform's link against a socket that a test answers by hand, byte by byte."""

import asyncio
import select
import socket
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import pytest

from heathford.core.doors import Endpoint
from heathford.interface import Role, Verdict
from heathford.platform.link import EngineCall, PlatformLink

BUSY = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
LARGE = b"x" * 33_554_432  # bytes: more than the buffers of both sockets hold


class Heard:
    """What a link tells of a dispatch, and what the engine sees of it at that moment."""

    def __init__(self, look: Callable[[], Any]) -> None:
        self.look = look
        self.ends: list[tuple[Verdict, Any]] = []

    def first_token(self) -> None: ...

    def tokens(self, part: Any) -> None: ...

    def ended(
        self, verdict: Verdict, detail: int, load: Mapping[str, float], answer: Mapping[str, Any]
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
        return Endpoint(1, "e", Role.WRITER, *self.listener.getsockname())

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


def link_of() -> PlatformLink:
    return PlatformLink(connect_timeout=1.0, pin_limit=0.3, idle=15.0, connections=8)


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
        assert heard.ends == [(Verdict(how), True)]

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
        assert heard.ends == [(Verdict.FULL, None)] and got < len(LARGE) and link.pools.open == 0

    asyncio.run(day())
