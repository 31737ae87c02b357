"""A front node in the test's own event loop, and peers that are plain sockets.

The test is each peer. What it does between two awaits happens while the loop is held up, so the test decides
in which order events reach the front node: all of it lies in the kernel when the loop looks again.
"""

import asyncio
import select
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import Any

import orjson

from heathford.event_loop import new_event_loop
from heathford.platform.link import REUSE_DELAY
from heathford.platform.process import Node
from heathford.platform.start import read_configuration
from heathford.standin.platform import EVENTS, GOOD, READ, Agent, settings

ALL = b"".join(EVENTS)
PATIENCE = 5.0  # s for what has to happen: far beyond what it takes
RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: close with a reset
LONGEST = 1 << 20


async def until(true: Callable[[], bool], why: str = "") -> None:
    """Let the loop turn until that holds."""
    try:
        async with asyncio.timeout(PATIENCE):
            while not true():
                await asyncio.sleep(0.002)
    except TimeoutError:
        raise AssertionError(f"never came: {why}") from None


async def run_loop_turns(count: int = 60) -> None:
    """Let the loop turn that often, and no time pass but what that takes."""
    for _ in range(count):
        await asyncio.sleep(0)


def disable_nagle(sock: socket.socket) -> None:
    """Bytes arrive as they are written: else a small write waits for the one before it to be confirmed."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def readable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def request(
    name: str, budget: int = 4000, request_class: str = "chat", keep: bool = True, size: int = 36
) -> bytes:
    """A completion as clients ask for it; size: bytes of its prompt."""
    body = orjson.dumps({"stream": True, "messages": [{"role": "user", "content": "x" * size}]})
    close = "" if keep else "Connection: close\r\n"
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: o\r\nX-Call-Id: {name}\r\n{close}"
        f"X-Call-Class: {request_class}\r\nX-Route-Hash: s1\r\nX-Budget-Ms: {budget}\r\n"
        "X-Call-Info: prompt_len=9,prefix_len=0,max_out=20\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class RawConnection:
    """One connection at an engine; `got` is what came on it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.received = b""

    def read_available(self) -> bytes:
        """Take in what has come; b"" at the end."""
        while self.sock.fileno() >= 0 and readable(self.sock):
            try:
                part = self.sock.recv(65_536)
            except OSError:
                part = b""
            if not part:
                break
            self.received += part
        return self.received

    def header(self, name: str) -> str:
        """Of the last request that came."""
        last = self.read_available().rpartition(b"POST ")[2].partition(b"\r\n\r\n")[0].decode()
        fields = dict(line.split(": ", 1) for line in last.split("\r\n")[1:])
        return fields[name]


class RawEngine:
    """A listening socket; connections are accepted by `posts` and `deletes`."""

    def __init__(self, uid: str, model: str) -> None:
        self.uid, self.model, self.state, self.boot_ms = uid, model, "SERVING", 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.connections: list[RawConnection] = []
        self.latest: dict[bytes, RawConnection] = {}  # by method: where something came last

    @property
    def address(self) -> str:
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    @property
    def row(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "a",
            "model": self.model,
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    def count(self, method: bytes) -> int:
        """How many requests of that method have come, whole or not."""
        while readable(self.listener):
            self.connections.append(RawConnection(self.listener.accept()[0]))
            disable_nagle(self.connections[-1].sock)
        for held in self.connections:
            seen = len(held.received)
            if len(held.read_available()) > seen:
                self.latest[b"POST" if b"POST /" in held.received[seen:] else b"DELETE"] = held
        return sum(held.received.count(method + b" /") for held in self.connections)

    @property
    def posts(self) -> int:
        return self.count(b"POST")

    @property
    def deletes(self) -> int:
        return self.count(b"DELETE")

    async def wait_for_request(self, count: int = 1, method: bytes = b"POST") -> RawConnection:
        """The connection on which the latest of so many requests came."""
        await until(lambda: self.count(method) >= count, f"{method!r} {count} at {self.uid}")
        return self.latest[method]

    def reset_counts(self) -> None:
        """Count from here; connections stay."""
        for held in self.connections:
            held.received = b""

    def close(self) -> None:
        for sock in (self.listener, *(held.sock for held in self.connections)):
            sock.close()


async def answer_releases(*engines: RawEngine) -> None:
    """Answer each DELETE, as every engine that runs does; for a task that is cancelled."""
    answered = dict.fromkeys(engines, 0)
    while True:
        for engine in engines:
            if engine.deletes > answered[engine]:
                answered[engine] += 1
                engine.latest[b"DELETE"].sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        await asyncio.sleep(0.002)


def prefill(uid: str = "r") -> RawEngine:
    return RawEngine(uid, "m0")


def decode(uid: str = "w") -> RawEngine:
    return RawEngine(uid, "m1")


class RawClient:
    """A client's connection."""

    def __init__(self, node: Node) -> None:
        self.sock = socket.create_connection(node.listen)
        disable_nagle(self.sock)
        self.received = b""
        self.ended = False

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def disconnect(self, how: str) -> None:
        """closed, reset, or half closed: it has gone, as the protocol page has it."""
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        if how == "half closed":
            self.sock.shutdown(socket.SHUT_WR)
        else:
            self.sock.close()

    def read_available(self) -> bytes:
        while not self.ended and readable(self.sock):
            try:
                part = self.sock.recv(65_536)
            except OSError:
                part = b""
                self.received += b"<reset>"
            self.ended = not part
            self.received += part
        return self.received

    @property
    def answers(self) -> list[int]:
        """Statuses of the answers that have begun."""
        return [int(part.split(b" ", 1)[0]) for part in self.read_available().split(b"HTTP/1.1 ")[1:]]

    @property
    def whole_streams(self) -> int:
        """How many streams have come to their last chunk."""
        return self.read_available().count(b"0\r\n\r\n")

    async def wait_for_answers(self, answers: int) -> list[int]:
        await until(lambda: len(self.answers) >= answers, f"{answers} answers, {self.answers} came")
        return self.answers

    async def wait_until_closed(self) -> bytes:
        await until(lambda: bool(self.read_available() or True) and self.ended, "an end")
        return self.received


class FrontSetup:
    """A front node, its engines and its discovery."""

    def __init__(self, node: Node, agent: Agent, engines: tuple[RawEngine, ...]) -> None:
        self.node, self.agent, self.engines = node, agent, engines
        self.clients: list[RawClient] = []

    def client(self) -> RawClient:
        self.clients.append(RawClient(self.node))
        return self.clients[-1]

    def publish_entries(self, *engines: RawEngine) -> None:
        """The list has changed."""
        self.agent.say(*(engine.row for engine in engines))

    async def answer(self, client: RawClient, name: str) -> None:
        """One request read and written, after which all connections stand idle."""
        reader, writer = self.engines[0], self.engines[1]
        reads, writes, whole = reader.posts, writer.posts, client.whole_streams
        client.send(request(name))
        (await reader.wait_for_request(reads + 1)).sock.sendall(READ)
        (await writer.wait_for_request(writes + 1)).sock.sendall(GOOD)
        await until(lambda: client.whole_streams == whole + 1, "the stream's end")

    async def answer_anywhere(self, client: RawClient, name: str) -> None:
        """One request read by the first engine and written by whichever other one is asked."""
        reader, *writers = self.engines
        reads, whole = reader.posts, client.whole_streams
        before = [writer.posts for writer in writers]
        client.send(request(name))
        (await reader.wait_for_request(reads + 1)).sock.sendall(READ)
        await until(lambda: [writer.posts for writer in writers] != before, "a decode attempt")
        asked = next(w for w, posts in zip(writers, before, strict=True) if w.posts > posts)
        asked.latest[b"POST"].sock.sendall(GOOD)
        await until(lambda: client.whole_streams == whole + 1, "the stream's end")
        await self.wait_until_reusable()

    async def submit_until_decode(self, client: RawClient) -> RawConnection:
        """The first request of the day, read by now: the connection of its decode attempt."""
        client.send(request("c0"))
        (await self.engines[0].wait_for_request()).sock.sendall(READ)
        return await self.engines[1].wait_for_request()

    async def wait_until_reusable(self) -> None:
        """Until connections to engines that were in use may be used again."""
        await asyncio.sleep(REUSE_DELAY + 0.01)


@asynccontextmanager
async def front_node(
    folder: Path,
    *engines: RawEngine,
    name: str = "n0",
    sockets: int = 256,
    setting: Callable[[dict[str, Any]], None] | None = None,
    **limits: Any,
) -> AsyncIterator[FrontSetup]:
    """A started front node. setting: changes the settings that it is told."""
    agent = Agent()
    agent.engines = list(engines)  # type: ignore[arg-type]
    address = await agent.open()
    said = settings(**limits)
    if setting:
        setting(said)
    path = folder / f"{name}.json"
    path.write_bytes(
        orjson.dumps({"discovery": address, "limits": {"sockets": sockets}, "seed": 7, "settings": said})
    )
    host, _, port = address.rpartition(":")
    node = Node(name, ("127.0.0.1", 0), (host, int(port)), read_configuration(path), path)
    day = FrontSetup(node, agent, engines)
    try:
        async with asyncio.timeout(20.0):
            await node.start()
            await agent.until_watched()
            yield day
    finally:
        node.watch.stop()
        if node.server:
            node.server.close()
        for client in day.clients:
            client.sock.close()
        for connection in list(node.clients.connections):
            connection.drop()
        node.link.stop()
        agent.close()
        for engine in engines:
            engine.close()
        await asyncio.sleep(0)


def run_scenario(
    folder: Path, day: Callable[[FrontSetup], Awaitable[None]], *engines: RawEngine, **more: Any
) -> None:
    """Play that against a front node; with one prefill and one decode engine where none are given."""

    async def play() -> None:
        async with front_node(folder, *(engines or (prefill(), decode())), **more) as made:
            await day(made)

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(play())


@contextmanager
def small_reads(size: int = 512) -> Iterator[None]:
    """Transports read that many bytes a turn, as a long backlog is read: many turns lie before its end."""
    transport: Any = asyncio.selector_events._SelectorSocketTransport  # type: ignore[attr-defined]
    before = transport.max_size
    transport.max_size = size
    try:
        yield
    finally:
        transport.max_size = before
