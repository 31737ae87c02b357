"""Connections to engines in the platform's protocol, and one request on its way over one of them.

On asyncio's transports, the layer beneath Tornado's streams: a stream tells neither of bytes that nobody
asked for on an idle connection nor whether a request's last byte was written. Costs: docs/design/platform.md.
"""

import asyncio
import errno
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from heathford.core.protocols import Endpoint
from heathford.core.tasks import Tasks
from heathford.engines.pools import ConnectionPool, ConnectionPools
from heathford.wire.socket_state import read_socket_state, unacknowledged_bytes

UNSENT_IN_KERNEL = 16_384  # bytes that the kernel may hold unsent: some segments, so that it need not wait
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # for SO_LINGER: what the kernel still holds is dropped

OWN_TROUBLE = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EAGAIN,
        errno.EINTR,
        errno.ENETDOWN,
    }
)  # failures of this machine: they say nothing of the engine
CONNECT_AGAIN = 0.02  # s until a connect that failed by trouble of our own is tried again


class ExchangeLink(Protocol):
    """What exchanges share: a loop, kept connections, and tasks."""

    loop: asyncio.AbstractEventLoop
    connect_timeout: float
    tasks: Tasks

    @property
    def pools(self) -> "ConnectionPools[EngineConnection]": ...

    def give_back(self, connection: "EngineConnection") -> None: ...


class EngineConnection(asyncio.Protocol):
    """One connection to an engine, used by one exchange at a time or idle."""

    def __init__(self, link: ExchangeLink, pool: ConnectionPool["EngineConnection"]) -> None:
        self.link, self.pool = link, pool
        self.transport: asyncio.Transport | None = None
        self.user: Exchange | None = None
        self.has_unwritten = False  # part of what was sent has not left yet
        self.counted = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # Guards against long requests that lie in the kernel, where they may leave at any time: what is still
        # in user space when a connection is given up is known never to have left. Costs turns of the loop.
        with suppress(OSError):
            transport.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_IN_KERNEL
            )
        transport.set_write_buffer_limits(high=0)  # so that pause and resume tell of unwritten bytes

    def pause_writing(self) -> None:
        self.has_unwritten = True

    def resume_writing(self) -> None:
        self.has_unwritten = False

    def write(self, data: bytes) -> None:
        assert self.transport
        self.transport.write(data)
        if self.transport.is_closing():  # it broke while it was written
            self.has_unwritten = True

    def data_received(self, data: bytes) -> None:
        self.pool.last_received_at = self.link.loop.time()
        if self.user:
            self.user.heard(data)
        else:
            # Guards against an answer to nothing: the next dispatch would take it for its own.
            self.close()

    def eof_received(self) -> None:
        if self.user:
            self.user.closed_by_engine()

    def connection_lost(self, problem: Exception | None) -> None:
        self.uncount()
        if self.user:
            user, self.user = self.user, None
            user.lost(self.has_unwritten)

    def uncount(self) -> None:
        if self.counted:
            self.counted = False
            self.link.pools.remove(self.pool, self)

    def not_confirmed(self) -> int:
        """Bytes written that the far machine has not confirmed: those in user space, and the kernel's."""
        held = self.transport.get_write_buffer_size() if self.transport else 0
        return held + unacknowledged_bytes(self.transport)

    def closed(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def quiet(self) -> bool:
        """Nothing has come on it, an end included. Guards against what the loop has not come to yet: a
        request written behind an end may have run for all we know."""
        return not read_socket_state(self.transport).unread

    def close(self) -> None:
        """At once, with what is unwritten. Shut down first: a transport closes its socket in the loop's next
        turn, and an answer to the client that left before that would cross a dispatch that is still out."""
        self.user = None
        self.uncount()
        if self.transport:
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):  # it has broken, or is closed
                if unacknowledged_bytes(self.transport):
                    # Guards against a request that the kernel delivers after we have given it up, as the peer
                    # reads on or a cut heals. Harms nothing: no answer to it is wanted any more. Proves
                    # nothing: the kernel sends on until the loop's next turn closes the socket.
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                else:
                    sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()


class Exchange:
    """One request on its way: connect, send, answer; `over` once nothing more is wanted of it."""

    def __init__(self, link: ExchangeLink, endpoint: Endpoint, within: float) -> None:
        self.link, self.endpoint = link, endpoint
        self.loop = link.loop
        self.until = self.loop.time() + within
        self.connection: EngineConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.over = False
        self.refused = False  # nobody listens there

    def connect(self, data: Callable[[], bytes], within: float, urgent: bool = False) -> None:
        """An idle connection, or a new one within that many s. urgent: one of those kept back for that."""
        pools = self.link.pools
        pool = pools.pool(self.endpoint.address, self.endpoint.port)
        kept = pools.take_idle(pool, self.loop.time())
        while kept and not kept.quiet():
            kept.close()
            kept = pools.take_idle(pool, self.loop.time())
        if kept:
            self.begin(kept, data)
        elif pools.reserve(pool, urgent):
            self.expect(within, self.unreached)
            self.link.tasks.spawn(self.open(pool, data))
        else:
            self.crowded()

    async def open(self, pool: ConnectionPool[EngineConnection], data: Callable[[], bytes]) -> None:
        connection = EngineConnection(self.link, pool)
        try:
            await asyncio.wait_for(self.connected(connection), self.link.connect_timeout)
        except (OSError, TimeoutError) as problem:
            connection.close()
            self.refused = isinstance(problem, ConnectionRefusedError)
            if not self.over:
                self.unreached()
            return
        except BaseException:
            connection.close()
            raise
        if self.over:
            self.link.give_back(connection)
        elif connection.closed():
            connection.uncount()
            self.unreached()
        else:
            self.begin(connection, data)

    async def connected(self, connection: EngineConnection) -> None:
        """Connect, again where this machine had no room for a moment. Raises OSError.

        Guards against a moment's trouble of our own for which all engines would be set aside, at all front
        nodes of this machine. Could harm by a wait for the connect time-out where the trouble lasts."""
        while True:
            try:
                await self.loop.create_connection(
                    lambda: connection, self.endpoint.address, self.endpoint.port
                )
                return
            except OSError as problem:
                if problem.errno not in OWN_TROUBLE or self.over:
                    raise
            await asyncio.sleep(CONNECT_AGAIN)

    def begin(self, connection: EngineConnection, data: Callable[[], bytes]) -> None:
        self.connection, connection.user = connection, self
        self.expect(max(0.0, self.until - self.loop.time()), self.timed_out)
        connection.write(data())

    def expect(self, seconds: float, then: Callable[[], None]) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(seconds, then)

    def stop(self, keep: bool) -> None:
        """Nothing more is wanted. A connection with anything still to come or go is closed, not used again:
        the rest of a request that was answered early would leave behind its verdict, and might run."""
        self.over = True
        if self.timer:
            self.timer.cancel()
            self.timer = None
        connection, self.connection = self.connection, None
        if connection:
            connection.user = None
            if keep and not connection.has_unwritten:
                self.link.give_back(connection)
            else:
                connection.close()

    def timed_out(self) -> None:
        """Sent, and not answered by `until`."""
        raise NotImplementedError

    def heard(self, data: bytes) -> None:
        raise NotImplementedError

    def lost(self, unwritten: bool) -> None:
        raise NotImplementedError

    def closed_by_engine(self) -> None:
        """The engine has ended its side in order, which may be how it ends its answer."""
        raise NotImplementedError

    def unreached(self) -> None:
        raise NotImplementedError

    def crowded(self) -> None:
        raise NotImplementedError
