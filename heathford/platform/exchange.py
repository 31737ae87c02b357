"""Connections to engines in the platform's protocol, and HTTP exchanges over them.

Built on asyncio's transports, the layer beneath Tornado's streams: a stream reports neither unexpected bytes
on an idle connection nor whether the last byte of a request was written. The costs of this are stated in
docs/design/platform.md.
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

MAX_KERNEL_UNSENT = 16_384  # bytes: some segments, so that the kernel never waits for more to send
LINGER_RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: close drops what the kernel still holds

LOCAL_ERRNOS = frozenset(
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
)  # failures of this machine, which say nothing about the engine
CONNECT_RETRY_DELAY = 0.02  # s until the next try after one of LOCAL_ERRNOS


class ExchangeLink(Protocol):
    """What the exchanges of one link share: event loop, connection pools and tasks."""

    loop: asyncio.AbstractEventLoop
    connect_timeout: float
    tasks: Tasks

    @property
    def pools(self) -> "ConnectionPools[EngineConnection]": ...

    def return_connection(self, connection: "EngineConnection") -> None: ...


class EngineConnection(asyncio.Protocol):
    """One connection to an engine, idle or used by one exchange at a time."""

    def __init__(self, link: ExchangeLink, pool: ConnectionPool["EngineConnection"]) -> None:
        self.link, self.pool = link, pool
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.has_unwritten = False  # some bytes of the request are still in user space
        self.in_pool = True  # the pool counts it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # Keeps long requests out of the kernel's send queue, from which they may leave at any time: bytes
        # still in user space when a connection is given up are known never to have left. The cost is further
        # iterations of the event loop.
        with suppress(OSError):
            transport.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_KERNEL_UNSENT
            )
        transport.set_write_buffer_limits(
            high=0
        )  # pause_writing and resume_writing report any unwritten byte

    def pause_writing(self) -> None:
        self.has_unwritten = True

    def resume_writing(self) -> None:
        self.has_unwritten = False

    def write(self, data: bytes) -> None:
        assert self.transport
        self.transport.write(data)
        if self.transport.is_closing():  # the connection broke during the write
            self.has_unwritten = True

    def data_received(self, data: bytes) -> None:
        self.pool.last_received_at = self.link.loop.time()
        if self.exchange:
            self.exchange.on_data(data)
        else:
            # The next exchange would take these unrequested bytes for its own response.
            self.close()

    def eof_received(self) -> None:
        if self.exchange:
            self.exchange.on_eof()

    def connection_lost(self, error: Exception | None) -> None:
        self.leave_pool()
        if self.exchange:
            exchange, self.exchange = self.exchange, None
            exchange.on_connection_lost(self.has_unwritten)

    def leave_pool(self) -> None:
        """Stop counting this connection in its pool; further calls have no effect."""
        if self.in_pool:
            self.in_pool = False
            self.link.pools.remove(self.pool, self)

    def undelivered_bytes(self) -> int:
        """Return the bytes that the peer has not acknowledged, in user space and in the kernel."""
        in_user_space = self.transport.get_write_buffer_size() if self.transport else 0
        return in_user_space + unacknowledged_bytes(self.transport)

    def closed(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def nothing_unread(self) -> bool:
        """Return whether the kernel holds nothing to be read, neither bytes nor an end of stream.

        The event loop may not have read these yet, and whether a request written after the engine's end of
        stream has run is not known.
        """
        return not read_socket_state(self.transport).unread

    def close(self) -> None:
        """Close the connection at once and drop unwritten bytes.

        The socket is shut down first: a transport closes it only in the event loop's next iteration, and a
        response to the client that is sent before that would overlap an attempt that is still in flight.
        """
        self.exchange = None
        self.leave_pool()
        if self.transport:
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):  # the connection is broken or closed
                if unacknowledged_bytes(self.transport):
                    # Keeps the kernel from delivering a request after it was given up, when the peer reads on
                    # or a broken link recovers. Does no harm, as its response is not wanted any more. Proves
                    # nothing: the kernel sends on until the loop's next iteration closes the socket.
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                else:
                    sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()


class Exchange:
    """One HTTP request and its response: connect, send, receive.

    timeout: s from now. `over` is set once neither a response nor a failure is of interest any more.
    """

    def __init__(self, link: ExchangeLink, endpoint: Endpoint, timeout: float) -> None:
        self.link, self.endpoint = link, endpoint
        self.loop = link.loop
        self.expires_at = self.loop.time() + timeout
        self.connection: EngineConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.over = False
        self.connection_refused = False  # nothing listens at the address

    def connect(self, encode: Callable[[], bytes], timeout: float, use_reserved: bool = False) -> None:
        """Send the encoded request over an idle connection, or over a new one that opens within `timeout` s.

        use_reserved: the new connection may be one of those reserved for releases.
        """
        pools = self.link.pools
        pool = pools.pool(self.endpoint.address, self.endpoint.port)
        idle = pools.take_idle(pool, self.loop.time())
        while idle and not idle.nothing_unread():
            idle.close()
            idle = pools.take_idle(pool, self.loop.time())
        if idle:
            self.send_request(idle, encode)
        elif pools.reserve(pool, use_reserved):
            self.set_timer(timeout, self.on_connect_failure)
            self.link.tasks.spawn(self.open_connection(pool, encode))
        else:
            self.on_no_free_connection()

    async def open_connection(
        self, pool: ConnectionPool[EngineConnection], encode: Callable[[], bytes]
    ) -> None:
        """Open a new connection and send the request over it."""
        connection = EngineConnection(self.link, pool)
        try:
            await asyncio.wait_for(self.establish(connection), self.link.connect_timeout)
        except (OSError, TimeoutError) as error:
            connection.close()
            self.connection_refused = isinstance(error, ConnectionRefusedError)
            if not self.over:
                self.on_connect_failure()
            return
        except BaseException:
            connection.close()
            raise
        if self.over:
            self.link.return_connection(connection)
        elif connection.closed():
            connection.leave_pool()
            self.on_connect_failure()
        else:
            self.send_request(connection, encode)

    async def establish(self, connection: EngineConnection) -> None:
        """Connect, and retry on failures that are this machine's own. Raises OSError.

        Without the retry, a short local shortage would put all engines into cooldown, at all front nodes of
        this machine. Where the shortage lasts, the cost is a wait for the connect time-out.
        """
        while True:
            try:
                await self.loop.create_connection(
                    lambda: connection, self.endpoint.address, self.endpoint.port
                )
                return
            except OSError as error:
                if error.errno not in LOCAL_ERRNOS or self.over:
                    raise
            await asyncio.sleep(CONNECT_RETRY_DELAY)

    def send_request(self, connection: EngineConnection, encode: Callable[[], bytes]) -> None:
        """Write the encoded request to the connection, and wait for its response until it expires."""
        self.connection, connection.exchange = connection, self
        self.set_timer(max(0.0, self.expires_at - self.loop.time()), self.on_timeout)
        connection.write(encode())

    def set_timer(self, delay: float, callback: Callable[[], None]) -> None:
        """Call back in `delay` s; replaces the timer that was set before."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay, callback)

    def finish(self, keep_alive: bool) -> None:
        """End the exchange, and return its connection to the pool or close it.

        A connection with bytes left to read or write is closed: the rest of a request that was answered early
        would leave after its outcome is known, and the request might run.
        """
        self.over = True
        if self.timer:
            self.timer.cancel()
            self.timer = None
        connection, self.connection = self.connection, None
        if connection:
            connection.exchange = None
            if keep_alive and not connection.has_unwritten:
                self.link.return_connection(connection)
            else:
                connection.close()

    def on_timeout(self) -> None:
        """Handle that the request was sent, and not answered before the exchange expired."""
        raise NotImplementedError

    def on_data(self, data: bytes) -> None:
        """Handle bytes of the response."""
        raise NotImplementedError

    def on_connection_lost(self, has_unwritten: bool) -> None:
        """Handle that the connection broke; has_unwritten: part of the request had not left this process."""
        raise NotImplementedError

    def on_eof(self) -> None:
        """Handle that the engine has closed its side in order, which may end its response."""
        raise NotImplementedError

    def on_connect_failure(self) -> None:
        """Handle that no connection came up in time; nothing was sent."""
        raise NotImplementedError

    def on_no_free_connection(self) -> None:
        """Handle that all connections of this process are in use; nothing was sent."""
        raise NotImplementedError
