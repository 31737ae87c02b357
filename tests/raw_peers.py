"""A front node in the test's own event loop, whose clients and engines are plain sockets.

The test plays each peer. What it does between two awaits happens while the loop is stalled, so that the test
decides the order of events: all of them wait in the kernel when the loop polls again.
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
from heathford.standin.platform import EVENTS, DECODE_RESPONSE, PREFILL_RESPONSE, DiscoveryAgent, settings

ALL = b"".join(EVENTS)
TIMEOUT = 5.0  # s for an awaited condition: far longer than it takes
RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: close with a reset
LONGEST = 1 << 20


async def until(condition: Callable[[], bool], expected: str = "") -> None:
    """Let the loop run until the condition holds; fail with `expected` if it does not in TIMEOUT."""
    try:
        async with asyncio.timeout(TIMEOUT):
            while not condition():
                await asyncio.sleep(0.002)
    except TimeoutError:
        raise AssertionError(f"never came: {expected}") from None


async def run_loop_turns(count: int = 60) -> None:
    """Run that many turns of the loop, without sleeping."""
    for _ in range(count):
        await asyncio.sleep(0)


def disable_nagle(sock: socket.socket) -> None:
    """Send small writes at once: otherwise they wait until the one before is acknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def readable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def request(
    name: str, budget: int = 4000, request_class: str = "chat", keep: bool = True, size: int = 36
) -> bytes:
    """Return a completion request as clients send it. budget: ms; size: bytes of its prompt."""
    body = orjson.dumps({"stream": True, "messages": [{"role": "user", "content": "x" * size}]})
    connection_header = "" if keep else "Connection: close\r\n"
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: o\r\nX-Call-Id: {name}\r\n{connection_header}"
        f"X-Call-Class: {request_class}\r\nX-Route-Hash: s1\r\nX-Budget-Ms: {budget}\r\n"
        "X-Call-Info: prompt_len=9,prefix_len=0,max_out=20\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class RawConnection:
    """A connection that an engine accepted; `received`: all bytes that came on it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.received = b""

    def read_available(self) -> bytes:
        """Read without waiting; return everything received so far."""
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
        """Return a header of the last POST request."""
        last = self.read_available().rpartition(b"POST ")[2].partition(b"\r\n\r\n")[0].decode()
        fields = dict(line.split(": ", 1) for line in last.split("\r\n")[1:])
        return fields[name]


class RawEngine:
    """A listening socket; connections are accepted whenever requests are counted."""

    def __init__(self, uid: str, model: str) -> None:
        self.uid, self.model, self.state, self.boot_ms = uid, model, "SERVING", 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.connections: list[RawConnection] = []
        self.latest: dict[bytes, RawConnection] = {}  # by method: the one with the latest request

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
        """Return how many requests of that method have arrived, complete or not."""
        while readable(self.listener):
            self.connections.append(RawConnection(self.listener.accept()[0]))
            disable_nagle(self.connections[-1].sock)
        for connection in self.connections:
            known = len(connection.received)
            if len(connection.read_available()) > known:
                self.latest[b"POST" if b"POST /" in connection.received[known:] else b"DELETE"] = connection
        return sum(connection.received.count(method + b" /") for connection in self.connections)

    @property
    def posts(self) -> int:
        return self.count(b"POST")

    @property
    def deletes(self) -> int:
        return self.count(b"DELETE")

    async def wait_for_request(self, count: int = 1, method: bytes = b"POST") -> RawConnection:
        """Wait until so many requests have arrived; return the connection with the latest."""
        await until(lambda: self.count(method) >= count, f"{method!r} {count} at {self.uid}")
        return self.latest[method]

    def reset_counts(self) -> None:
        """Count requests anew from here; connections stay open."""
        for connection in self.connections:
            connection.received = b""

    def close(self) -> None:
        for sock in (self.listener, *(connection.sock for connection in self.connections)):
            sock.close()


async def answer_releases(
    *engines: RawEngine, on_release: Callable[[RawEngine], None] = lambda engine: None
) -> None:
    """Answer each DELETE with 204, as running engines do; for a task that is cancelled at the end.

    on_release: called for each, before its answer.
    """
    answered = dict.fromkeys(engines, 0)
    while True:
        for engine in engines:
            if engine.deletes > answered[engine]:
                answered[engine] += 1
                on_release(engine)
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
        """Leave in one way of "closed", "reset" and "half closed"; the protocol treats all alike."""
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
        """Statuses of the answers that have started."""
        return [int(part.split(b" ", 1)[0]) for part in self.read_available().split(b"HTTP/1.1 ")[1:]]

    @property
    def whole_streams(self) -> int:
        """How many streams have arrived up to their last chunk."""
        return self.read_available().count(b"0\r\n\r\n")

    async def wait_for_answers(self, answers: int) -> list[int]:
        await until(lambda: len(self.answers) >= answers, f"{answers} answers, {self.answers} came")
        return self.answers

    async def wait_until_closed(self) -> bytes:
        await until(lambda: bool(self.read_available() or True) and self.ended, "an end")
        return self.received


class FrontSetup:
    """A front node with its engines, its discovery and its clients."""

    def __init__(self, node: Node, agent: DiscoveryAgent, engines: tuple[RawEngine, ...]) -> None:
        self.node, self.agent, self.engines = node, agent, engines
        self.clients: list[RawClient] = []

    def client(self) -> RawClient:
        self.clients.append(RawClient(self.node))
        return self.clients[-1]

    def publish_entries(self, *engines: RawEngine) -> None:
        """Have discovery send these engines' entries as a change of the list."""
        self.agent.send_change(*(engine.row for engine in engines))

    async def answer(self, client: RawClient, name: str) -> None:
        """Serve one request with the first two engines; afterwards all connections are idle."""
        prefill_engine, decode_engine = self.engines[0], self.engines[1]
        prefill_count, decode_count, stream_count = (
            prefill_engine.posts,
            decode_engine.posts,
            client.whole_streams,
        )
        client.send(request(name))
        (await prefill_engine.wait_for_request(prefill_count + 1)).sock.sendall(PREFILL_RESPONSE)
        (await decode_engine.wait_for_request(decode_count + 1)).sock.sendall(DECODE_RESPONSE)
        await until(lambda: client.whole_streams == stream_count + 1, "the stream's end")

    async def answer_anywhere(self, client: RawClient, name: str) -> None:
        """Serve one request: prefill at the first engine, decode at whichever other is chosen."""
        prefill_engine, *decode_engines = self.engines
        prefill_count, stream_count = prefill_engine.posts, client.whole_streams
        counts_before = [decode_engine.posts for decode_engine in decode_engines]
        client.send(request(name))
        (await prefill_engine.wait_for_request(prefill_count + 1)).sock.sendall(PREFILL_RESPONSE)
        await until(
            lambda: [decode_engine.posts for decode_engine in decode_engines] != counts_before,
            "a decode attempt",
        )
        asked = next(w for w, posts in zip(decode_engines, counts_before, strict=True) if w.posts > posts)
        asked.latest[b"POST"].sock.sendall(DECODE_RESPONSE)
        await until(lambda: client.whole_streams == stream_count + 1, "the stream's end")
        await self.wait_until_reusable()

    async def submit_until_decode(self, client: RawClient) -> RawConnection:
        """Send the first request and prefill it; return the connection of its decode attempt."""
        client.send(request("c0"))
        (await self.engines[0].wait_for_request()).sock.sendall(PREFILL_RESPONSE)
        return await self.engines[1].wait_for_request()

    async def wait_until_reusable(self) -> None:
        """Wait until connections to engines may be reused after their last answer."""
        await asyncio.sleep(REUSE_DELAY + 0.01)


@asynccontextmanager
async def front_node(
    folder: Path,
    *engines: RawEngine,
    name: str = "n0",
    sockets: int = 256,
    change_settings: Callable[[dict[str, Any]], None] | None = None,
    **setting_options: Any,
) -> AsyncIterator[FrontSetup]:
    """Start a front node. change_settings: changes its settings; other options go to `settings`."""
    agent = DiscoveryAgent()
    agent.engines = list(engines)  # type: ignore[arg-type]
    address = await agent.open()
    node_settings = settings(**setting_options)
    if change_settings:
        change_settings(node_settings)
    path = folder / f"{name}.json"
    path.write_bytes(
        orjson.dumps(
            {"discovery": address, "limits": {"sockets": sockets}, "seed": 7, "settings": node_settings}
        )
    )
    host, _, port = address.rpartition(":")
    node = Node(name, ("127.0.0.1", 0), (host, int(port)), read_configuration(path), path)
    setup = FrontSetup(node, agent, engines)
    try:
        async with asyncio.timeout(20.0):
            await node.start()
            await agent.wait_for_watchers()
            yield setup
    finally:
        node.watch.stop()
        if node.server:
            node.server.close()
        for client in setup.clients:
            client.sock.close()
        for connection in list(node.clients.connections):
            connection.drop()
        node.link.stop()
        agent.close()
        for engine in engines:
            engine.close()
        await asyncio.sleep(0)


def run_scenario(
    folder: Path, scenario: Callable[[FrontSetup], Awaitable[None]], *engines: RawEngine, **options: Any
) -> None:
    """Run a scenario against a front node, by default with one prefill and one decode engine."""

    async def run_with_setup() -> None:
        async with front_node(folder, *(engines or (prefill(), decode())), **options) as setup:
            await scenario(setup)

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(run_with_setup())


@contextmanager
def small_reads(size: int = 512) -> Iterator[None]:
    """Have transports read only so many bytes per turn, so that a backlog takes many turns to read."""
    transport: Any = asyncio.selector_events._SelectorSocketTransport  # type: ignore[attr-defined]
    max_size_before = transport.max_size
    transport.max_size = size
    try:
        yield
    finally:
        transport.max_size = max_size_before
