"""A relay on the link to an engine or to a front node's discovery: brings the troubles of a network."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from heathford.ports import reserved_port
from heathford.soak.plan import FaultKind

READ_SIZE = 65_536
SMALL_RECEIVE_BUFFER = 4_096  # bytes: of a connection that is accepted and never read
DRIP_INTERVAL = 0.002  # s from byte to byte
DRIP_BYTES = 200  # that come byte by byte before the rest
STEP_INTERVAL = 0.1  # s between two steps of a link that is read in steps: front nodes look after 0.12 s
STEP_READ_TIME = 0.004  # s of a step: some tens of kilobytes
DELAY = 0.2  # s by which a late link is late
SILENCE_FAULTS = (
    FaultKind.LINK_SILENT,
    FaultKind.DISCOVERY_SILENT,
    FaultKind.ENGINE_STOPPED,
)  # read, and not passed on
QUEUE_FILLERS = 2  # connections that fill an accept queue of length 0
CUT_AFTER_BYTES = 90  # bytes of a piece that still pass


class ConnectionObserver:
    """Told of what passes on one connection, before any trouble."""

    def sent(self, data: bytes) -> None:
        """By the front node."""

    def received(self, data: bytes) -> None:
        """By the front node, from the other side, after any trouble."""

    def closed(self) -> None:
        """The connection has ended, as far as the front node knows; may be told twice."""


class Relay:
    """Listens on a port of its own and passes on to `to`, under the troubles that hold now."""

    def __init__(
        self, target_address: Callable[[], tuple[str, int]], observer: Callable[[], ConnectionObserver]
    ) -> None:
        self.target_address, self.make_observer = target_address, observer
        self.server: asyncio.Server | None = None
        self.port = 0
        self.active_faults: list[FaultKind] = []
        self.faults_changed = asyncio.Event()
        self.connections: dict[asyncio.StreamWriter, ConnectionObserver] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_closed = False
        self.reserved_socket: socket.socket | None = None  # keeps the port while nobody listens
        self.queue_sockets: list[socket.socket] = []  # a listening socket that nobody accepts on, and fillers

    async def listen(self) -> None:
        if self.reserved_socket is None:
            self.reserved_socket = reserved_port()
            self.port = self.reserved_socket.getsockname()[1]
        self.server = await asyncio.start_server(self.handle_connection, "127.0.0.1", self.port)

    async def start_fault(self, kind: FaultKind) -> None:
        self.active_faults.append(kind)
        await self.adjust_listening()
        if kind in (FaultKind.LINK_RESET, FaultKind.DISCOVERY_RESET, FaultKind.LINK_REFUSED):
            self.reset_all()

    async def end_fault(self, kind: FaultKind) -> None:
        self.active_faults.remove(kind)
        await self.adjust_listening()
        changed, self.faults_changed = self.faults_changed, asyncio.Event()
        changed.set()

    async def adjust_listening(self) -> None:
        """Listen as the machine behind this link does now."""
        refuses = FaultKind.LINK_REFUSED in self.active_faults
        stopped = FaultKind.ENGINE_STOPPED in self.active_faults and not refuses
        if refuses or stopped:
            self.stop_listening()
        if stopped and not self.queue_sockets:
            self.fill_queue()
        if not stopped:
            self.empty_queue()
        if not refuses and not stopped and self.server is None and not self.is_closed:
            await self.listen()

    def stop_listening(self) -> None:
        if self.server:
            self.server.close()
            self.server = None

    def fill_queue(self) -> None:
        """New connections do not come up, as at a process that is stopped and accepts none."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(0)
        self.queue_sockets = [listener]
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.queue_sockets.append(filler)

    def empty_queue(self) -> None:
        for sock in self.queue_sockets:
            sock.close()
        self.queue_sockets = []

    def reset_all(self) -> None:
        for writer, observer in list(self.connections.items()):
            observer.closed()  # from now on, not from when the other task reads the end
            writer.transport.abort()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self.tasks.add(task)
        self.connections[writer] = observer = self.make_observer()
        far_writer: asyncio.StreamWriter | None = None
        try:
            if FaultKind.LINK_STEPS in self.active_faults:
                self.read_in_steps(writer)
            if FaultKind.LINK_UNREAD in self.active_faults:
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER
                )
                writer.transport.pause_reading()  # type: ignore[attr-defined]
            while FaultKind.LINK_UNREAD in self.active_faults:
                await self.faults_changed.wait()
            far_reader, far_writer = await asyncio.open_connection(*self.target_address())
            self.connections[far_writer] = observer
            with suppress(RuntimeError):
                writer.transport.resume_reading()  # type: ignore[attr-defined]
            await asyncio.gather(
                self.pump(reader, far_writer, observer.sent, observer.closed),
                self.pump(far_reader, writer, lambda data: None, lambda: None, observer.received),
            )
        except OSError:
            pass
        finally:
            observer.closed()
            self.tasks.discard(task)
            for end in (writer, far_writer):
                if end:
                    self.connections.pop(end, None)
                    end.close()

    def read_in_steps(self, writer: asyncio.StreamWriter) -> None:
        """While that trouble lasts, this connection is read for a moment now and then."""

        async def steps() -> None:
            transport = writer.transport
            while FaultKind.LINK_STEPS in self.active_faults and not transport.is_closing():
                transport.pause_reading()  # type: ignore[attr-defined]
                await asyncio.sleep(STEP_INTERVAL)
                transport.resume_reading()  # type: ignore[attr-defined]
                await asyncio.sleep(STEP_READ_TIME)

        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        task = asyncio.create_task(steps())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        came: Callable[[bytes], None],
        ended: Callable[[], None],
        left: Callable[[bytes], None] = lambda data: None,
    ) -> None:
        read: asyncio.Queue[bytes] = asyncio.Queue()
        reading = asyncio.create_task(read_all(reader, read, came, ended))
        try:
            await self.forward(read, writer, left)
        finally:
            reading.cancel()

    async def forward(
        self, read: "asyncio.Queue[bytes]", writer: asyncio.StreamWriter, left: Callable[[bytes], None]
    ) -> None:
        """What was read, under the troubles that hold then; up to an end."""
        while True:
            data = await read.get()
            while any(kind in self.active_faults for kind in SILENCE_FAULTS):
                await self.faults_changed.wait()
            if FaultKind.LINK_DELAY in self.active_faults or FaultKind.DISCOVERY_SLOW in self.active_faults:
                await asyncio.sleep(DELAY)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            if FaultKind.LINK_CUT in self.active_faults and len(data) > CUT_AFTER_BYTES:
                writer.write(data[:CUT_AFTER_BYTES])
                await writer.drain()
                self.reset_all()
                return
            whole = data
            if FaultKind.LINK_DRIP in self.active_faults:
                for place in range(min(DRIP_BYTES, len(data))):
                    writer.write(data[place : place + 1])
                    await asyncio.sleep(DRIP_INTERVAL)
                data = data[DRIP_BYTES:]
            left(whole)
            writer.write(data)
            await writer.drain()

    def close(self) -> None:
        """End all connections, and listen no longer."""
        self.is_closed = True
        self.stop_listening()
        self.empty_queue()
        if self.reserved_socket:
            self.reserved_socket.close()
        self.reset_all()
        for task in list(self.tasks):
            task.cancel()


async def read_all(
    reader: asyncio.StreamReader,
    read: "asyncio.Queue[bytes]",
    came: Callable[[bytes], None],
    ended: Callable[[], None],
) -> None:
    """Read and note what comes, and the end, at once: whatever trouble holds back what came before."""
    data = b"-"
    while data:
        try:
            data = await reader.read(READ_SIZE)
        except OSError:
            data = b""
        if data:
            came(data)
        else:
            ended()
        read.put_nowait(data)
