"""Relays between fronts and what they talk to: notes all that passes, and breaks lines by command."""

import asyncio
import socket
import struct
from typing import Any, Protocol

from heathford.days.recording import Recording
from heathford.days.sniff import Exchanges, Lists
from heathford.ports import reserved_port


class Sniffer(Protocol):
    def answered(self, data: bytes) -> None: ...


class Side(asyncio.Protocol):
    """One end of a relayed connection."""

    def __init__(self, line: "Line") -> None:
        self.line = line
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.line.opened(self)

    def data_received(self, data: bytes) -> None:
        self.line.passes(self, data)

    def connection_lost(self, problem: Exception | None) -> None:
        self.line.lost(self, problem)


class Line:
    """One connection of a front, and the one made for it to the other side."""

    def __init__(self, relay: "Relay", sniffer: Sniffer) -> None:
        self.relay, self.sniffer = relay, sniffer
        self.near, self.far = Side(self), Side(self)
        self.waiting: list[bytes] = []
        self.over = False
        self.half = -1  # bytes that still pass towards the front, if its answer is to be cut off

    def opened(self, side: Side) -> None:
        if side is self.near:
            self.relay.lines[self] = None
            self.relay.connect(self)
        elif side.transport:
            for data in self.waiting:
                side.transport.write(data)
            self.waiting.clear()

    def passes(self, side: Side, data: bytes) -> None:
        if self.over:
            return
        if side is self.near and isinstance(self.sniffer, Exchanges):
            self.sniffer.sent(data)
        if self.relay.cut:
            return  # lost on the way
        if side is self.near:
            if self.far.transport:
                self.far.transport.write(data)
            else:
                self.waiting.append(data)
            return
        if self.half >= 0:
            data, cut = data[: self.half], len(data) >= self.half
            self.half -= len(data)
            if cut and self.near.transport:
                self.near.transport.write(data)
                self.reset()
                return
        self.sniffer.answered(data)
        if self.near.transport:
            self.near.transport.write(data)

    def lost(self, side: Side, problem: Exception | None) -> None:
        if self.over:
            return
        if self.relay.cut and side is self.far:
            return  # nobody hears of it
        self.over = True
        self.relay.lines.pop(self, None)
        if isinstance(self.sniffer, Exchanges):
            self.sniffer.end("closed" if side is self.near else "broken")
        other = self.far if side is self.near else self.near
        if other.transport:
            other.transport.abort() if problem else other.transport.close()

    def reset(self) -> None:
        """The engine's side breaks off hard."""
        if self.over:
            return
        self.over = True
        self.relay.lines.pop(self, None)
        if isinstance(self.sniffer, Exchanges):
            self.sniffer.end("broken")
        if self.near.transport:
            sock = self.near.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.near.transport.abort()
        if self.far.transport:
            self.far.transport.abort()


class Relay:
    """From one front to one engine, or to the list."""

    def __init__(self, recording: Recording, front: str, to: str, source: str = "") -> None:
        self.recording, self.front, self.to, self.source = recording, front, to, source
        self.target = "", 0
        self.lines: dict[Line, None] = {}
        self.cut = False
        self.server: asyncio.Server | None = None
        self.port = 0
        self.half_next = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.reserved: socket.socket | None = None  # keeps the port while nobody listens

    def note(self, what: str, **fields: Any) -> None:
        self.recording.note(
            "engine" if self.to else "list",
            what,
            front=self.front,
            **({"engine": self.to} if self.to else {}),
            **fields,
        )

    def accept(self) -> Side:
        line = Line(self, Exchanges(self.note) if self.to else Lists(self.note))
        if self.half_next:
            line.half, self.half_next = self.half_next, 0
        return line.near

    async def listen(self) -> None:
        if self.reserved is None:
            self.reserved = reserved_port()
            self.port = self.reserved.getsockname()[1]
        self.server = await asyncio.get_running_loop().create_server(
            self.accept, "127.0.0.1", self.port, backlog=512
        )

    def connect(self, line: Line) -> None:
        async def work() -> None:
            loop = asyncio.get_running_loop()
            try:
                await loop.create_connection(
                    lambda: line.far, *self.target, local_addr=(self.source, 0) if self.source else None
                )
            except OSError:
                line.reset()

        task = asyncio.get_running_loop().create_task(work())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def set_cut(self, cut: bool) -> None:
        """While cut, nothing passes and connections are refused; what was open then is lost."""
        self.cut = cut
        if cut and self.server:
            self.server.close()
        elif not cut:
            for line in list(self.lines):
                line.reset()
            await self.listen()

    async def set_dead(self, dead: bool) -> None:
        """As the process behind it: connections break and none is taken."""
        if dead:
            if self.server:
                self.server.close()
            for line in list(self.lines):
                line.reset()
        elif not self.cut:
            await self.listen()

    def close(self) -> None:
        if self.server:
            self.server.close()
        if self.reserved:
            self.reserved.close()
        for line in list(self.lines):
            line.reset()
