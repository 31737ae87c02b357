"""A relay on the link to an engine or to a front node's discovery: brings the troubles of a network."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from heathford.ports import reserved_port
from heathford.soak.plan import Kind

PIECE = 65_536
SMALL_BUFFER = 4_096  # bytes: of a connection that is accepted and never read
DRIP_EVERY = 0.002  # s from byte to byte
DRIP_BYTES = 200  # that come byte by byte before the rest
STEP_EVERY = 0.1  # s between two steps of a link that is read in steps: front nodes look after 0.12 s
STEP_READS = 0.004  # s of a step: some tens of kilobytes
LATE = 0.2  # s by which a late link is late
SILENT = (Kind.LINK_SILENT, Kind.DISCOVERY_SILENT, Kind.ENGINE_STOPPED)  # read, and not passed on
FILLERS = 2  # connections that fill an accept queue of length 0
CUT_AFTER = 90  # bytes of a piece that still pass


class Watcher:
    """Told of what passes on one connection, before any trouble."""

    def sent(self, data: bytes) -> None:
        """By the front node."""

    def received(self, data: bytes) -> None:
        """By the front node, from the other side, after any trouble."""

    def closed(self) -> None:
        """The connection has ended, as far as the front node knows; may be told twice."""


class Relay:
    """Listens on a port of its own and passes on to `to`, under the troubles that hold now."""

    def __init__(self, to: Callable[[], tuple[str, int]], watcher: Callable[[], Watcher]) -> None:
        self.to, self.watcher = to, watcher
        self.server: asyncio.Server | None = None
        self.port = 0
        self.troubles: list[Kind] = []
        self.changed = asyncio.Event()
        self.open: dict[asyncio.StreamWriter, Watcher] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.over = False
        self.reserved: socket.socket | None = None  # keeps the port while nobody listens
        self.full_queue: list[socket.socket] = []  # a listening socket that nobody accepts on, and fillers

    async def listen(self) -> None:
        if self.reserved is None:
            self.reserved = reserved_port()
            self.port = self.reserved.getsockname()[1]
        self.server = await asyncio.start_server(self.relay, "127.0.0.1", self.port)

    async def begin(self, kind: Kind) -> None:
        self.troubles.append(kind)
        await self.adjust_listening()
        if kind in (Kind.LINK_RESET, Kind.DISCOVERY_RESET, Kind.LINK_REFUSED):
            self.reset_all()

    async def end(self, kind: Kind) -> None:
        self.troubles.remove(kind)
        await self.adjust_listening()
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def adjust_listening(self) -> None:
        """Listen as the machine behind this link does now."""
        refuses = Kind.LINK_REFUSED in self.troubles
        stopped = Kind.ENGINE_STOPPED in self.troubles and not refuses
        if refuses or stopped:
            self.stop_listening()
        if stopped and not self.full_queue:
            self.fill_queue()
        if not stopped:
            self.empty_queue()
        if not refuses and not stopped and self.server is None and not self.over:
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
        self.full_queue = [listener]
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.full_queue.append(filler)

    def empty_queue(self) -> None:
        for sock in self.full_queue:
            sock.close()
        self.full_queue = []

    def reset_all(self) -> None:
        for writer, watcher in list(self.open.items()):
            watcher.closed()  # from now on, not from when the other task reads the end
            writer.transport.abort()

    async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self.tasks.add(task)
        self.open[writer] = watcher = self.watcher()
        far_writer: asyncio.StreamWriter | None = None
        try:
            if Kind.LINK_STEPS in self.troubles:
                self.read_in_steps(writer)
            if Kind.LINK_UNREAD in self.troubles:
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
                writer.transport.pause_reading()  # type: ignore[attr-defined]
            while Kind.LINK_UNREAD in self.troubles:
                await self.changed.wait()
            far_reader, far_writer = await asyncio.open_connection(*self.to())
            self.open[far_writer] = watcher
            with suppress(RuntimeError):
                writer.transport.resume_reading()  # type: ignore[attr-defined]
            await asyncio.gather(
                self.pump(reader, far_writer, watcher.sent, watcher.closed),
                self.pump(far_reader, writer, lambda data: None, lambda: None, watcher.received),
            )
        except OSError:
            pass
        finally:
            watcher.closed()
            self.tasks.discard(task)
            for end in (writer, far_writer):
                if end:
                    self.open.pop(end, None)
                    end.close()

    def read_in_steps(self, writer: asyncio.StreamWriter) -> None:
        """While that trouble lasts, this connection is read for a moment now and then."""

        async def steps() -> None:
            transport = writer.transport
            while Kind.LINK_STEPS in self.troubles and not transport.is_closing():
                transport.pause_reading()  # type: ignore[attr-defined]
                await asyncio.sleep(STEP_EVERY)
                transport.resume_reading()  # type: ignore[attr-defined]
                await asyncio.sleep(STEP_READS)

        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
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
        reading = asyncio.create_task(take_in(reader, read, came, ended))
        try:
            await self.pass_on(read, writer, left)
        finally:
            reading.cancel()

    async def pass_on(
        self, read: "asyncio.Queue[bytes]", writer: asyncio.StreamWriter, left: Callable[[bytes], None]
    ) -> None:
        """What was read, under the troubles that hold then; up to an end."""
        while True:
            data = await read.get()
            while any(kind in self.troubles for kind in SILENT):
                await self.changed.wait()
            if Kind.LINK_DELAY in self.troubles or Kind.DISCOVERY_SLOW in self.troubles:
                await asyncio.sleep(LATE)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            if Kind.LINK_CUT in self.troubles and len(data) > CUT_AFTER:
                writer.write(data[:CUT_AFTER])
                await writer.drain()
                self.reset_all()
                return
            whole = data
            if Kind.LINK_DRIP in self.troubles:
                for place in range(min(DRIP_BYTES, len(data))):
                    writer.write(data[place : place + 1])
                    await asyncio.sleep(DRIP_EVERY)
                data = data[DRIP_BYTES:]
            left(whole)
            writer.write(data)
            await writer.drain()

    def close(self) -> None:
        """End all connections, and listen no longer."""
        self.over = True
        self.stop_listening()
        self.empty_queue()
        if self.reserved:
            self.reserved.close()
        self.reset_all()
        for task in list(self.tasks):
            task.cancel()


async def take_in(
    reader: asyncio.StreamReader,
    read: "asyncio.Queue[bytes]",
    came: Callable[[bytes], None],
    ended: Callable[[], None],
) -> None:
    """Read and note what comes, and the end, at once: whatever trouble holds back what came before."""
    data = b"-"
    while data:
        try:
            data = await reader.read(PIECE)
        except OSError:
            data = b""
        if data:
            came(data)
        else:
            ended()
        read.put_nowait(data)
