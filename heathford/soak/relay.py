"""A relay on the link to an engine or to a front node's discovery that injects network faults."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from heathford.ports import reserved_port
from heathford.soak.plan import FaultKind

READ_SIZE = 65_536  # bytes
SMALL_RECEIVE_BUFFER = 4_096  # bytes; for connections that are never read or read at intervals
DRIP_INTERVAL = 0.002  # s between two bytes
DRIP_BYTES = 200  # sent byte by byte before the rest of the data
STEP_INTERVAL = 0.1  # s without reading; below STALLED_AFTER + PROGRESS_CHECK_INTERVAL of policy.transfer
STEP_READ_TIME = 0.004  # s; enough to read some tens of kilobytes
DELAY = 0.2  # s
# s after the end of a front node's connection until its engine sees it, by which a release on another
# connection may overtake it.
CLOSE_DELAY = 0.01
SILENCE_FAULTS = (
    FaultKind.LINK_SILENT,
    FaultKind.DISCOVERY_SILENT,
    FaultKind.ENGINE_STOPPED,
)  # data is read, but not passed on
QUEUE_FILLERS = 2  # connections that fill an accept queue of length 0
CUT_AFTER_BYTES = 90  # the first bytes of one read, passed on before all connections are reset


class ConnectionObserver:
    """Notified of what passes on one connection through a relay; does nothing itself."""

    def sent(self, data: bytes) -> None:
        """Handle data that the front node sent, before a fault delays or drops it."""

    def received(self, data: bytes) -> None:
        """Handle data that is about to be passed on to the front node, after any fault."""

    def closed(self) -> None:
        """Handle the end of the connection as the front node sees it; may be called twice."""


class Relay:
    """Listens on a port and passes data on to `target_address`, subject to the active faults of the soak.

    close_delay: s by which the end of a client's connection is passed on later than data.
    heathford.days.tap.Relay is a different class, with other faults.
    """

    def __init__(
        self,
        target_address: Callable[[], tuple[str, int]],
        make_observer: Callable[[], ConnectionObserver],
        close_delay: float = 0.0,
    ) -> None:
        self.target_address, self.make_observer = target_address, make_observer
        self.close_delay = close_delay
        self.server: asyncio.Server | None = None
        self.port = 0
        self.active_faults: list[FaultKind] = []
        self.faults_changed = asyncio.Event()
        self.connections: dict[asyncio.StreamWriter, ConnectionObserver] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_closed = False
        self.reserved_socket: socket.socket | None = None  # keeps the port between two listening sockets
        self.queue_sockets: list[socket.socket] = []  # a listening socket without accepts, and its fillers

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
        """Start or stop listening according to the active faults."""
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
        """Fill an accept queue, so that new connections are not established, as at a stopped process."""
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
            observer.closed()  # now, not only once the other task has read the end of the stream
            writer.transport.abort()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self.tasks.add(task)
        self.connections[writer] = observer = self.make_observer()
        target_writer: asyncio.StreamWriter | None = None
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
            target_reader, target_writer = await asyncio.open_connection(*self.target_address())
            self.connections[target_writer] = observer
            with suppress(RuntimeError):
                writer.transport.resume_reading()  # type: ignore[attr-defined]
            await asyncio.gather(
                self.pump(reader, target_writer, observer.sent, observer.closed, self.close_delay),
                self.pump(target_reader, writer, lambda data: None, lambda: None, 0.0, observer.received),
            )
        except OSError:
            pass
        finally:
            observer.closed()
            self.tasks.discard(task)
            for end in (writer, target_writer):
                if end:
                    self.connections.pop(end, None)
                    end.close()

    def read_in_steps(self, writer: asyncio.StreamWriter) -> None:
        """Read from the front node only for a moment at intervals while LINK_STEPS is active."""

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
        on_data: Callable[[bytes], None],
        on_eof: Callable[[], None],
        close_delay: float,
        on_forward: Callable[[bytes], None] = lambda data: None,
    ) -> None:
        received: asyncio.Queue[bytes] = asyncio.Queue()
        read_task = asyncio.create_task(read_all(reader, received, on_data, on_eof))
        try:
            await self.forward(received, writer, close_delay, on_forward)
        finally:
            read_task.cancel()

    async def forward(
        self,
        received: "asyncio.Queue[bytes]",
        writer: asyncio.StreamWriter,
        close_delay: float,
        on_forward: Callable[[bytes], None],
    ) -> None:
        """Write what was received, subject to the faults active at that time, up to the end of the stream."""
        while True:
            data = await received.get()
            while any(kind in self.active_faults for kind in SILENCE_FAULTS):
                await self.faults_changed.wait()
            if FaultKind.LINK_DELAY in self.active_faults or FaultKind.DISCOVERY_SLOW in self.active_faults:
                await asyncio.sleep(DELAY)
            if not data:
                await asyncio.sleep(close_delay)
                if writer.can_write_eof():
                    writer.write_eof()
                return
            if FaultKind.LINK_CUT in self.active_faults and len(data) > CUT_AFTER_BYTES:
                writer.write(data[:CUT_AFTER_BYTES])
                await writer.drain()
                self.reset_all()
                return
            complete_data = data
            if FaultKind.LINK_DRIP in self.active_faults:
                for index in range(min(DRIP_BYTES, len(data))):
                    writer.write(data[index : index + 1])
                    await asyncio.sleep(DRIP_INTERVAL)
                data = data[DRIP_BYTES:]
            on_forward(complete_data)
            writer.write(data)
            await writer.drain()

    def close(self) -> None:
        """Stop listening and abort all connections."""
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
    received: "asyncio.Queue[bytes]",
    on_data: Callable[[bytes], None],
    on_eof: Callable[[], None],
) -> None:
    """Queue and report data as soon as it arrives, even while a fault delays forwarding.

    An empty item in the queue marks the end of the stream.
    """
    data = b"-"
    while data:
        try:
            data = await reader.read(READ_SIZE)
        except OSError:
            data = b""
        if data:
            on_data(data)
        else:
            on_eof()
        received.put_nowait(data)
