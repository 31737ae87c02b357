"""The event loop of a front node, which retries system calls that fail for want of memory.

asyncio closes a connection after any error of send(2) or recv(2), never reads one whose epoll_ctl(2) has
failed, and takes a connect(2) that failed with EAGAIN for one in progress. After ENOBUFS, ENOMEM, ENOSPC or
EAGAIN, however, the connection is unchanged.
"""

import asyncio
import errno
import select
import selectors
import socket
import time
from contextlib import suppress
from typing import Any

MEMORY_ERRORS = (errno.ENOBUFS, errno.ENOMEM)  # of send(2) and recv(2)
WATCH_ERRORS = (errno.ENOMEM, errno.ENOSPC)  # of epoll_ctl(2)
WATCH_RETRY_INTERVAL = 0.01  # s between attempts to have a descriptor watched
# s of sleep per turn of the loop while sends or reads are refused: small beside the time an event may take.
REFUSED_CALL_PAUSE = 0.005
LOOP_ATTEMPTS = 25  # to create an event loop
LOOP_RETRY_INTERVAL = 0.02  # s


class RetryingSocket(socket.socket):
    """A connected, non-blocking socket that reports a lack of memory as EAGAIN, so that the loop retries.

    Otherwise answers and attempts would be lost with their connection. While the system has no memory, each
    turn of the loop sleeps for REFUSED_CALL_PAUSE.

    refused_calls: number of refused calls on all sockets.
    """

    refused_calls = 0

    @classmethod
    def take_over(cls, connected: socket.socket) -> "RetryingSocket":
        """Wrap a connected socket's descriptor; the socket given is detached."""
        family, kind, protocol = connected.family, connected.type, connected.proto
        retrying = cls(family, kind, protocol, fileno=connected.detach())
        retrying.setblocking(False)
        return retrying

    def send(self, data: Any, flags: int = 0, /) -> int:
        try:
            return super().send(data, flags)
        except OSError as exc:
            raise as_would_block(exc) from None

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        try:
            return super().recv(size, flags)
        except OSError as exc:
            raise as_would_block(exc) from None

    def close(self) -> None:
        """Close the socket, ignoring errors: the descriptor is released in any case."""
        with suppress(OSError):
            super().close()


def as_would_block(exc: OSError) -> OSError:
    """Count a lack of memory and return it as BlockingIOError; return other errors unchanged."""
    if exc.errno in MEMORY_ERRORS:
        RetryingSocket.refused_calls += 1
        return BlockingIOError(errno.EAGAIN, exc.strerror)
    return exc


class RetryingEpoll:
    """epoll(7) for selectors.EpollSelector that retries refused changes at each poll.

    watched: descriptors registered with the system. pending_changes: refused changes by descriptor, each
    the events to watch for, or None to stop watching.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.fileno, self.close = self.epoll.fileno, self.epoll.close
        self.watched: dict[int, None] = {}
        self.pending_changes: dict[int, int | None] = {}
        self.refusals_seen = 0  # RetryingSocket.refused_calls at the last poll

    def register(self, descriptor: int, events: int) -> None:
        self.request_change(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        self.request_change(descriptor, events)

    def unregister(self, descriptor: int) -> None:
        self.request_change(descriptor, None)

    def request_change(self, descriptor: int, events: int | None) -> None:
        """Apply a change now, or retry it at each poll. Raises OSError if a retry can't help."""
        self.pending_changes.pop(descriptor, None)
        try:
            self.apply_change(descriptor, events)
        except OSError as exc:
            if exc.errno not in WATCH_ERRORS:
                raise
            self.pending_changes[descriptor] = events

    def apply_change(self, descriptor: int, events: int | None) -> None:
        """Register, modify or unregister a descriptor. Raises OSError."""
        if events is None:
            if descriptor in self.watched:
                with suppress(FileNotFoundError):  # unregistered as the descriptor was closed
                    self.epoll.unregister(descriptor)
                del self.watched[descriptor]
        elif descriptor in self.watched:
            try:
                self.epoll.modify(descriptor, events)
            except FileNotFoundError:  # closed meanwhile, and the number reused for another file
                self.epoll.register(descriptor, events)
        else:
            self.epoll.register(descriptor, events)
            self.watched[descriptor] = None

    def poll(self, timeout: float = -1, max_events: int = -1) -> list[tuple[int, int]]:
        """Poll as select.epoll does, but return earlier while changes are pending.

        timeout: s, no limit if negative. Sleeps first if calls on sockets were refused since the last poll:
        such a socket polls as writable, and the loop would spin.
        """
        if RetryingSocket.refused_calls != self.refusals_seen:
            self.refusals_seen = RetryingSocket.refused_calls
            time.sleep(REFUSED_CALL_PAUSE)
        for descriptor, events in list(self.pending_changes.items()):
            with suppress(OSError):  # closed meanwhile
                self.request_change(descriptor, events)
        if self.pending_changes:
            timeout = WATCH_RETRY_INTERVAL if timeout < 0 else min(timeout, WATCH_RETRY_INTERVAL)
        return self.epoll.poll(timeout, max_events)


class RetryingSelector(selectors.EpollSelector):
    """A selector for asyncio's event loop that uses RetryingEpoll."""

    _selector_cls = RetryingEpoll


class FrontEventLoop(asyncio.SelectorEventLoop):
    """asyncio's selector event loop with retrying sockets."""

    def _make_socket_transport(self, sock: socket.socket, *args: Any, **kwargs: Any) -> Any:
        return super()._make_socket_transport(  # type: ignore[misc]
            RetryingSocket.take_over(sock), *args, **kwargs
        )

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        """Connect. Raises OSError, with EAGAIN if the system has not started to connect."""
        await super().sock_connect(sock, address)
        try:
            sock.getpeername()
        except OSError:
            raise BlockingIOError(errno.EAGAIN, "not connected") from None


def new_event_loop() -> FrontEventLoop:
    """Create an event loop, retrying while the system has no free descriptor.

    Blocks for up to LOOP_ATTEMPTS * LOOP_RETRY_INTERVAL. Raises OSError.
    """
    for _ in range(LOOP_ATTEMPTS - 1):
        try:
            return FrontEventLoop(RetryingSelector())
        except OSError:
            time.sleep(LOOP_RETRY_INTERVAL)
    return FrontEventLoop(RetryingSelector())
