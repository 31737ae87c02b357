"""The platform's link against engines that are plain sockets, which the tests answer byte by byte."""

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


class RecordingCallEvents:
    """Records the outcomes of an attempt, each with what `look` returns at that moment."""

    def __init__(self, look: Callable[[], Any]) -> None:
        self.look = look
        self.outcomes: list[tuple[Outcome, Any]] = []

    def may_send(self) -> bool:
        return True

    def answer_begun(self) -> None: ...

    def first_token(self) -> None: ...

    def tokens(self, part: Any) -> None: ...

    def ended(
        self, outcome: Outcome, detail: int, load: Mapping[str, float], answer: Mapping[str, Any]
    ) -> None:
        self.outcomes.append((outcome, self.look()))


class Engine:
    """A listening socket, for which the test acts as the engine."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.connections: list[socket.socket] = []

    async def accepted(self) -> socket.socket:
        connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        connection.setblocking(False)
        self.connections.append(connection)
        return connection

    def endpoint(self) -> Endpoint:
        return Endpoint(1, "e", Role.DECODE, *self.listener.getsockname())

    def close(self) -> None:
        for connection in (self.listener, *self.connections):
            connection.close()


@pytest.fixture
def engine() -> Iterator[Engine]:
    engine = Engine()
    yield engine
    engine.close()


def at_end(connection: socket.socket) -> bool:
    """Return whether the peer has closed, without waiting: on loopback this is known at once."""
    return bool(select.select([connection], [], [], 0.0)[0]) and connection.recv(65_536) == b""


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.005)


async def until_readable(connection: socket.socket) -> None:
    """Wait until the peer has sent something or closed."""
    await until(lambda: bool(select.select([connection], [], [], 0.0)[0]))


def link_to(*endpoints: Endpoint) -> PlatformLink:
    return PlatformLink(
        connect_timeout=1.0,
        pin_limit=0.3,
        engine_idle_timeout=15.0,
        max_connections=8,
        listed_engines=lambda: (endpoints, ()),
    )


def send(
    link: PlatformLink, engine: Engine, events: RecordingCallEvents, body: bytes = b"{}", timeout: float = 5.0
) -> EngineCall:
    return link.send(engine.endpoint(), "a1", ("/v1/chat/completions", body), None, "", timeout, events)


@pytest.mark.parametrize("how", ["cancelled", "timed out"])
def test_an_attempt_ends_after_its_connection_is_closed(engine: Engine, how: str) -> None:
    """Guards against an answer to the client that leaves before the attempt's connection is closed: for the
    client and the engine the attempt is still in flight then. Seen with a callback due in the same iteration
    of the event loop."""

    async def scenario() -> None:
        link = link_to()
        events = RecordingCallEvents(lambda: at_end(engine.connections[0]))
        call = send(link, engine, events, timeout=5.0 if how == "cancelled" else 0.2)
        connection = await engine.accepted()
        await until_readable(connection)
        assert connection.recv(65_536).endswith(b"{}")
        if how == "cancelled":
            call.cancel()
        await until(lambda: bool(events.outcomes))
        assert events.outcomes == [(Outcome(how), True)]

    asyncio.run(scenario())


def test_an_answer_before_the_request_has_left_closes_the_connection(engine: Engine) -> None:
    """Guards against the rest of a request that leaves after the engine has refused it. The cost is a new
    connection after a refusal of a long prompt."""

    async def scenario() -> None:
        link = link_to()
        events = RecordingCallEvents(lambda: None)
        send(link, engine, events, body=LARGE)
        connection = await engine.accepted()
        await asyncio.sleep(0.05)
        connection.send(BUSY)
        await until(lambda: bool(events.outcomes))
        received, ended = 0, False
        async with asyncio.timeout(5.0):
            while not ended:
                try:
                    part = await asyncio.get_running_loop().sock_recv(connection, 1 << 20)
                except ConnectionError:
                    part = b""
                received, ended = received + len(part), not part
        assert events.outcomes == [(Outcome.FULL, None)] and received < len(LARGE) and link.pools.open == 0

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "head, outcome",
    [
        (b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 5\r\n\r\n", Outcome.FULL),
        (b"HTTP/1.1 504 X\r\nX-Rejected: 1\r\nTransfer-Encoding: chunked\r\n\r\n", Outcome.FULL),
        (b"HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\n", Outcome.ERROR),
    ],
)
def test_a_failure_that_the_head_tells_does_not_wait_for_its_body(
    engine: Engine, head: bytes, outcome: Outcome
) -> None:
    """A body that never came took the whole deadline, and a rejected request counted as one that ran."""

    async def scenario() -> None:
        link = link_to()
        events = RecordingCallEvents(lambda: None)
        send(link, engine, events)
        connection = await engine.accepted()
        await until_readable(connection)
        started_at = link.loop.time()
        connection.recv(65_536)
        connection.send(head)
        await until(lambda: bool(events.outcomes))
        assert events.outcomes == [(outcome, None)] and link.loop.time() - started_at < 0.5

    asyncio.run(scenario())


def test_a_silent_holder_is_not_the_only_engine_asked_to_release(engine: Engine) -> None:
    """Seen in a fleet that lost a zone: a front node with no other connection asked the holder five times, as
    the log field "tried" showed, and gave up. Any engine releases what another one holds."""

    async def scenario() -> None:
        other = Engine()
        try:
            link = link_to(engine.endpoint(), other.endpoint())
            started_at = link.loop.time()
            link.release(engine.endpoint(), "a1", RecordingReleaseEvents())
            connection = await other.accepted()
            await until_readable(connection)
            assert connection.recv(65_536).startswith(b"DELETE /bootstrap/rooms/a1 ")
            assert link.loop.time() - started_at < 0.3
            connection.send(b"HTTP/1.1 204 No Content\r\n\r\n")
            await until(lambda: not link.releases)
            assert not link.failed_releases
        finally:
            other.close()

    asyncio.run(scenario())


def test_an_attempt_starts_once_the_release_before_it_has_ended(engine: Engine) -> None:
    """Guards against a release that takes the state of the attempt that follows it."""

    async def scenario() -> None:
        link = link_to()
        link.release(engine.endpoint(), "a1", RecordingReleaseEvents())
        connection = await engine.accepted()
        send(link, engine, RecordingCallEvents(lambda: None))
        await until_readable(connection)
        assert connection.recv(65_536).startswith(b"DELETE")
        await asyncio.sleep(0.03)
        assert link.releases and not select.select([connection, engine.listener], [], [], 0.0)[0]
        connection.send(b"HTTP/1.1 204 No Content\r\n\r\n")
        other = await engine.accepted()  # the first connection is used again only after a delay
        await until_readable(other)
        assert other.recv(65_536).startswith(b"POST")

    asyncio.run(scenario())


def test_an_attempt_withdrawn_while_it_waits_for_a_release_is_never_sent(engine: Engine) -> None:
    async def scenario() -> None:
        link = link_to()
        link.release(engine.endpoint(), "a1", RecordingReleaseEvents())
        events = RecordingCallEvents(lambda: None)
        call = send(link, engine, events)
        connection = await engine.accepted()
        await until_readable(connection)
        assert connection.recv(65_536).startswith(b"DELETE ")
        call.withdraw()
        assert events.outcomes == [(Outcome.UNSENT, None)]
        connection.send(b"HTTP/1.1 204 No Content\r\n\r\n")
        await asyncio.sleep(0.1)
        assert not select.select([connection, engine.listener], [], [], 0.0)[0] and len(events.outcomes) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("reset", [False, True])
def test_an_answer_may_end_with_its_connection_unless_the_connection_broke(
    engine: Engine, reset: bool
) -> None:
    async def scenario() -> None:
        link = link_to()
        events = RecordingCallEvents(lambda: None)
        send(link, engine, events)
        connection = await engine.accepted()
        await until_readable(connection)
        connection.recv(65_536)
        connection.send(b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nConnection: close\r\n\r\nbusy")
        await asyncio.sleep(0.05)
        if reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        await until(lambda: bool(events.outcomes))
        assert events.outcomes == [(Outcome.BROKEN if reset else Outcome.FULL, None)] and link.pools.open == 0

    asyncio.run(scenario())


def test_an_attempt_that_has_left_is_not_withdrawn(engine: Engine) -> None:
    async def scenario() -> None:
        link = link_to()
        events = RecordingCallEvents(lambda: None)
        call = send(link, engine, events)
        connection = await engine.accepted()
        await until_readable(connection)
        call.withdraw()
        assert not events.outcomes and not at_end(connection)

    asyncio.run(scenario())


def test_engines_that_refuse_connections_are_skipped_at_once(engine: Engine) -> None:
    """In a lost zone each engine refuses at once, and a wait after each of them would use up the limit."""

    async def scenario() -> None:
        dead = []
        for _ in range(6):
            closed_engine = Engine()
            dead.append(closed_engine.endpoint())
            closed_engine.close()
        link = link_to(*dead, engine.endpoint())
        started_at = link.loop.time()
        link.release(dead[0], "a1", RecordingReleaseEvents())
        connection = await engine.accepted()
        assert link.loop.time() - started_at < 0.2
        await until_readable(connection)
        connection.send(b"HTTP/1.1 204 No Content\r\n\r\n")
        await until(lambda: not link.releases)
        assert not link.failed_releases

    asyncio.run(scenario())


ENGINES = [Endpoint(n, f"e{n}", Role.PREFILL, "127.0.0.1", n) for n in range(6)]


@pytest.mark.parametrize(
    "asked, connected, same_zone, other_zones, expected",
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
def test_which_engine_is_asked_next_to_release(
    asked: list[int], connected: list[int], same_zone: list[int], other_zones: list[int], expected: set[int]
) -> None:
    """The connected engine that last sent something, then engines of the own zone and of others in turn, else
    the holder again."""
    found = {
        next_to_ask(
            f"c{n}",
            [ENGINES[i] for i in asked],
            [("127.0.0.1", i) for i in connected],
            [ENGINES[i] for i in same_zone],
            [ENGINES[i] for i in other_zones],
        )
        for n in range(40)
    }
    # each of them: front nodes that release at the same time do not all ask the same engine
    assert {endpoint.port if endpoint else None for endpoint in found} == expected


@pytest.mark.parametrize(
    "asked, connected, same_zone, other_zones, silent, expected",
    [
        ([0], [3, 2], [1, 2], [4], {3}, 2),
        ([0], [3], [1, 2], [4], {3, 1}, 2),
        ([0], [3], [1], [4], {3, 1}, 4),
        ([0], [3], [1], [4], {3, 1, 4}, 0),
        ([], [3], [1], [4], {3, 1, 4}, None),
        ([], [3, 2], [1], [], {3}, 2),
    ],
)
def test_silent_engines_are_skipped(
    asked: list[int],
    connected: list[int],
    same_zone: list[int],
    other_zones: list[int],
    silent: set[int],
    expected: int | None,
) -> None:
    found = next_to_ask(
        "c",
        [ENGINES[i] for i in asked],
        [("127.0.0.1", i) for i in connected],
        [ENGINES[i] for i in same_zone],
        [ENGINES[i] for i in other_zones],
        lambda address: address[1] in silent,
    )
    assert (found.port if found else None) == expected


def test_an_unreachable_holder_without_other_engines_is_not_asked_in_a_row(engine: Engine) -> None:
    """Its refusals arrive at once: without a wait between them they use up all tries in milliseconds."""

    async def scenario() -> None:
        closed_engine = Engine()
        dead = closed_engine.endpoint()
        closed_engine.close()
        link = link_to(dead)
        release_events = RecordingReleaseEvents()
        link.release(dead, "a1", release_events)
        await asyncio.sleep(0.04)
        assert release_events.events.count("asked e") <= 2
        await until(lambda: "failed" in release_events.events)
        link.stop()

    asyncio.run(scenario())
