"""The event loop of a front node: calls that the system refuses for a moment are made again.

asyncio ends a connection for any error of send(2) or recv(2), leaves one unread whose epoll_ctl(2) has
failed, and takes a connect(2) that was put off for one on its way. With ENOBUFS, ENOMEM, ENOSPC and EAGAIN
nothing has happened to the connection.
"""

import asyncio
import errno
import select
import selectors
import socket
import time
from contextlib import suppress
from typing import Any

NO_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
NOT_WATCHED = (errno.ENOMEM, errno.ENOSPC)
AGAIN = 0.01  # s between two tries to have a descriptor watched
REST = 0.005  # s between two turns while sends or reads are refused: small beside what an event may take
LOOP_TRIES = 25  # to have an event loop
LOOP_AGAIN = 0.02  # s between two of them


class RetryingSocket(socket.socket):
    """A connected, non-blocking socket; want of memory counts as want of room, which the loop waits out.

    Guards against answers and attempts that are lost with their connection. Costs REST a turn of the loop for
    as long as the system has no memory.

    refused: how many calls were, of all sockets.
    """

    refused = 0

    @classmethod
    def taking(cls, connected: socket.socket) -> "RetryingSocket":
        """Take a socket's descriptor over."""
        family, kind, protocol = connected.family, connected.type, connected.proto
        taken = cls(family, kind, protocol, fileno=connected.detach())
        taken.setblocking(False)
        return taken

    def send(self, data: Any, flags: int = 0, /) -> int:
        try:
            return super().send(data, flags)
        except OSError as problem:
            raise as_want_of_room(problem) from None

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        try:
            return super().recv(size, flags)
        except OSError as problem:
            raise as_want_of_room(problem) from None

    def close(self) -> None:
        """An error of close(2) tells nothing that could be acted on: the descriptor is free."""
        with suppress(OSError):
            super().close()


def as_want_of_room(problem: OSError) -> OSError:
    if problem.errno in NO_MEMORY:
        RetryingSocket.refused += 1
        return BlockingIOError(errno.EAGAIN, problem.strerror)
    return problem


class RetryingEpoll:
    """epoll(7) for selectors.EpollSelector; what the system refuses is asked for again at each poll.

    known: descriptors that the system watches. refused: the events that are wanted of a descriptor, and not
    had yet; none of one that is to be watched no more.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.fileno, self.close = self.epoll.fileno, self.epoll.close
        self.known: dict[int, None] = {}
        self.refused: dict[int, int | None] = {}
        self.refusals_seen = 0  # of calls on sockets

    def register(self, descriptor: int, events: int) -> None:
        self.ask(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        self.ask(descriptor, events)

    def unregister(self, descriptor: int) -> None:
        self.ask(descriptor, None)

    def ask(self, descriptor: int, events: int | None) -> None:
        """Now, or as soon as the system lets it. Raises OSError for what it will never let."""
        self.refused.pop(descriptor, None)
        try:
            self.change(descriptor, events)
        except OSError as problem:
            if problem.errno not in NOT_WATCHED:
                raise
            self.refused[descriptor] = events

    def change(self, descriptor: int, events: int | None) -> None:
        if events is None:
            if descriptor in self.known:
                with suppress(FileNotFoundError):  # it went as the descriptor was closed
                    self.epoll.unregister(descriptor)
                del self.known[descriptor]
        elif descriptor in self.known:
            try:
                self.epoll.modify(descriptor, events)
            except FileNotFoundError:  # another file has the descriptor since
                self.epoll.register(descriptor, events)
        else:
            self.epoll.register(descriptor, events)
            self.known[descriptor] = None

    def poll(self, timeout: float = -1, most: int = -1) -> list[tuple[int, int]]:
        """As select.epoll.poll; returns earlier while something is refused. timeout: s, none if negative.

        Guards against a loop that turns without rest, as a socket whose sends are refused polls as writable.
        """
        if RetryingSocket.refused != self.refusals_seen:
            self.refusals_seen = RetryingSocket.refused
            time.sleep(REST)
        for descriptor, events in list(self.refused.items()):
            with suppress(OSError):  # closed since
                self.ask(descriptor, events)
        if self.refused:
            timeout = AGAIN if timeout < 0 else min(timeout, AGAIN)
        return self.epoll.poll(timeout, most)


class RetryingSelector(selectors.EpollSelector):
    """What asyncio's event loop waits with."""

    _selector_cls = RetryingEpoll


class FrontEventLoop(asyncio.SelectorEventLoop):
    """asyncio's own, with the above in its connections."""

    def _make_socket_transport(self, sock: socket.socket, *given: Any, **named: Any) -> Any:
        return super()._make_socket_transport(  # type: ignore[misc]
            RetryingSocket.taking(sock), *given, **named
        )

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        """Raises OSError, with EAGAIN where the system has put the connection off."""
        await super().sock_connect(sock, address)
        try:
            sock.getpeername()
        except OSError:
            raise BlockingIOError(errno.EAGAIN, "not connected") from None


def new_event_loop() -> FrontEventLoop:
    """Blocks for up to LOOP_TRIES * LOOP_AGAIN s where the system has no descriptor. Raises OSError."""
    for _ in range(LOOP_TRIES - 1):
        try:
            return FrontEventLoop(RetryingSelector())
        except OSError:
            time.sleep(LOOP_AGAIN)
    return FrontEventLoop(RetryingSelector())
