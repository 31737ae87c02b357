"""Relays between front nodes and engines or the registry, which record what passes and break connections."""

import asyncio
import socket
import struct
from typing import Any, Protocol

from heathford.days.recording import Recording
from heathford.days.sniff import HttpObserver, ListObserver
from heathford.ports import reserved_port


class Observer(Protocol):
    """Is given what passes on one connection."""

    def data_to_front(self, data: bytes) -> None: ...


class ConnectionEnd(asyncio.Protocol):
    """One end of a relayed connection."""

    def __init__(self, connection: "RelayedConnection") -> None:
        self.connection = connection
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.connection.end_connected(self)

    def data_received(self, data: bytes) -> None:
        self.connection.forward(self, data)

    def connection_lost(self, error: Exception | None) -> None:
        self.connection.end_closed(self, error)


class RelayedConnection:
    """A front node's connection to the relay, and the relay's connection to the target made for it."""

    def __init__(self, relay: "Relay", observer: Observer) -> None:
        self.relay, self.observer = relay, observer
        self.front_end, self.back_end = ConnectionEnd(self), ConnectionEnd(self)
        self.unsent: list[bytes] = []
        self.closed = False
        self.bytes_until_cut = -1  # bytes of the answer that pass before the connection is reset; -1: all

    def end_connected(self, side: ConnectionEnd) -> None:
        if side is self.front_end:
            self.relay.connections[self] = None
            self.relay.connect(self)
        elif side.transport:
            for data in self.unsent:
                side.transport.write(data)
            self.unsent.clear()

    def forward(self, side: ConnectionEnd, data: bytes) -> None:
        if self.closed:
            return
        if side is self.front_end and isinstance(self.observer, HttpObserver):
            self.observer.data_from_front(data)
        if self.relay.partitioned:
            return
        if side is self.front_end:
            if self.back_end.transport:
                self.back_end.transport.write(data)
            else:
                self.unsent.append(data)
            return
        if self.bytes_until_cut >= 0:
            data, cut = data[: self.bytes_until_cut], len(data) >= self.bytes_until_cut
            self.bytes_until_cut -= len(data)
            if cut and self.front_end.transport:
                self.front_end.transport.write(data)
                self.reset()
                return
        self.observer.data_to_front(data)
        if self.front_end.transport:
            self.front_end.transport.write(data)

    def end_closed(self, side: ConnectionEnd, error: Exception | None) -> None:
        if self.closed:
            return
        if self.relay.partitioned and side is self.back_end:
            return  # the front node doesn't notice
        self.closed = True
        self.relay.connections.pop(self, None)
        if isinstance(self.observer, HttpObserver):
            self.observer.end_attempt("closed" if side is self.front_end else "broken")
        other = self.back_end if side is self.front_end else self.front_end
        if other.transport:
            other.transport.abort() if error else other.transport.close()

    def reset(self) -> None:
        """Reset the connection, as if the target did."""
        if self.closed:
            return
        self.closed = True
        self.relay.connections.pop(self, None)
        if isinstance(self.observer, HttpObserver):
            self.observer.end_attempt("broken")
        if self.front_end.transport:
            sock = self.front_end.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.front_end.transport.abort()
        if self.back_end.transport:
            self.back_end.transport.abort()


class Relay:
    """Relays connections from one front node to one engine, or to the registry if engine is empty.

    target: host and port, set before it listens. source: the local address of connections to the target.
    """

    def __init__(self, recording: Recording, front: str, engine: str, source: str = "") -> None:
        self.recording, self.front, self.engine_name, self.source = recording, front, engine, source
        self.target = "", 0
        self.connections: dict[RelayedConnection, None] = {}
        self.partitioned = False
        self.server: asyncio.Server | None = None
        self.port = 0
        self.cut_next_after = 0  # bytes after which the next connection's answer is cut off; 0: not at all
        self.tasks: set[asyncio.Task[None]] = set()
        self.reserved_socket: socket.socket | None = None  # keeps the port while the relay doesn't listen

    def note(self, what: str, **fields: Any) -> None:
        self.recording.note(
            "engine" if self.engine_name else "list",
            what,
            front=self.front,
            **({"engine": self.engine_name} if self.engine_name else {}),
            **fields,
        )

    def accept(self) -> ConnectionEnd:
        connection = RelayedConnection(
            self, HttpObserver(self.note) if self.engine_name else ListObserver(self.note)
        )
        if self.cut_next_after:
            connection.bytes_until_cut, self.cut_next_after = self.cut_next_after, 0
        return connection.front_end

    async def listen(self) -> None:
        if self.reserved_socket is None:
            self.reserved_socket = reserved_port()
            self.port = self.reserved_socket.getsockname()[1]
        self.server = await asyncio.get_running_loop().create_server(
            self.accept, "127.0.0.1", self.port, backlog=512
        )

    def connect(self, connection: RelayedConnection) -> None:
        async def connect_target() -> None:
            loop = asyncio.get_running_loop()
            try:
                await loop.create_connection(
                    lambda: connection.back_end,
                    *self.target,
                    local_addr=(self.source, 0) if self.source else None,
                )
            except OSError:
                connection.reset()

        task = asyncio.get_running_loop().create_task(connect_target())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def set_partitioned(self, cut: bool) -> None:
        """Start or end a network partition.

        During it nothing passes and connections are refused. At its end, open connections are reset.
        """
        self.partitioned = cut
        if cut and self.server:
            self.server.close()
        elif not cut:
            for connection in list(self.connections):
                connection.reset()
            await self.listen()

    async def set_down(self, down: bool) -> None:
        """Act as if the target's process had ended: reset connections and refuse new ones."""
        if down:
            if self.server:
                self.server.close()
            for connection in list(self.connections):
                connection.reset()
        elif not self.partitioned:
            await self.listen()

    def close(self) -> None:
        if self.server:
            self.server.close()
        if self.reserved_socket:
            self.reserved_socket.close()
        for connection in list(self.connections):
            connection.reset()
