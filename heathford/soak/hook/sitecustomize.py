"""Loaded by Python at the start of a front node under the soak: system calls that fail, a clock that steps.

The shims are told by SOAK_SHIMS, a JSON list of rows: what, from, until (s on the machine's monotonic clock),
figure. The program itself knows nothing of it.
"""

import errno
import fcntl
import json
import os
import random
import select
import selectors
import socket
import time
from typing import Any

SHIMS = json.loads(os.environ.get("SOAK_SHIMS", "[]"))
CHANCE = 0.3  # of the calls in its time that a shim fails
INTERRUPTED = 0.3  # of the short calls
REFUSED = 0.2  # of the short calls
NO_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
NOT_WATCHED = (errno.ENOMEM, errno.ENOSPC)
BREAKS = 0.02  # of the calls on a connection while links break
LOGS = 2  # the descriptor of standard error
draw = random.Random(os.getpid())


def active(what: str) -> float | None:
    """The figure of a shim that holds now."""
    now = time.monotonic()
    return next(
        (figure for kind, since, until, figure in SHIMS if kind == what and since <= now < until), None
    )


def fails(what: str) -> bool:
    return active(what) is not None and draw.random() < CHANCE


def step_clock() -> None:
    wall = time.time

    def stepped() -> float:
        return wall() + (active("CLOCK") or 0.0)

    time.time = stepped


def fail_accept() -> None:
    accept = socket.socket.accept

    def accepted(self: socket.socket) -> Any:
        if fails("ACCEPT_FAILS"):
            raise OSError(
                draw.choice(
                    (
                        errno.ENFILE,
                        errno.EMFILE,
                        errno.ENOBUFS,
                        errno.ENOMEM,
                        errno.ECONNABORTED,
                        errno.EINTR,
                    )
                ),
                "shim",
            )
        return accept(self)

    socket.socket.accept = accepted  # type: ignore[method-assign]


def fail_connect() -> None:
    connect = socket.socket.connect

    def connected(self: socket.socket, address: Any) -> None:
        if fails("CONNECT_FAILS"):
            raise OSError(
                draw.choice(
                    (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EMFILE, errno.ETIMEDOUT)
                ),
                "shim",
            )
        connect(self, address)

    socket.socket.connect = connected  # type: ignore[method-assign, assignment]


def interrupt() -> None:
    """Some of the calls that are cut short are interrupted or refused instead."""
    part = draw.random()
    if part < INTERRUPTED:
        raise InterruptedError(errno.EINTR, "shim")
    if part < INTERRUPTED + REFUSED:
        raise OSError(draw.choice(NO_MEMORY), "shim")


def break_link() -> None:
    """A connection breaks now and then, as one whose peer has vanished."""
    if active("LINK_BREAKS") is not None and draw.random() < BREAKS:
        raise OSError(draw.choice((errno.ETIMEDOUT, errno.EHOSTUNREACH)), "shim")


def fail_send() -> None:
    send = socket.socket.send

    def sent(self: socket.socket, data: Any, *flags: int) -> int:
        if fails("SEND_SHORT"):
            interrupt()
            data = bytes(data)[: max(1, len(data) // 2)]
        break_link()
        return send(self, data, *flags)

    socket.socket.send = sent  # type: ignore[method-assign, assignment]


def fail_recv() -> None:
    recv = socket.socket.recv

    def received(self: socket.socket, size: int, *flags: int) -> bytes:
        if fails("RECV_SHORT"):
            interrupt()
            size = min(size, draw.randint(1, 40))
        break_link()
        return recv(self, size, *flags)

    socket.socket.recv = received  # type: ignore[method-assign, assignment]


def fail_logs() -> None:
    write = os.write

    def written(descriptor: int, data: Any) -> int:
        if descriptor == LOGS and fails("LOG_FAILS"):
            raise OSError(draw.choice((errno.ENOSPC, errno.EIO)), "shim")
        return write(descriptor, data)

    os.write = written


class Poll:
    """As select.poll, whose objects can't be changed."""

    def __init__(self) -> None:
        self.real = POLL()
        self.register, self.modify = self.real.register, self.real.modify

    def poll(self, timeout: float | None = None) -> list[tuple[int, int]]:
        if fails("LOOKS_FAIL"):
            raise OSError(errno.ENOMEM, "shim")
        return self.real.poll(timeout)


class Epoll:
    """As select.epoll, whose objects can't be changed."""

    def __init__(self) -> None:
        self.real = EPOLL()
        self.poll, self.fileno, self.close = self.real.poll, self.real.fileno, self.real.close

    def register(self, descriptor: int, events: int) -> None:
        refuse_to_watch()
        self.real.register(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        refuse_to_watch()
        self.real.modify(descriptor, events)

    def unregister(self, descriptor: int) -> None:
        refuse_to_watch()
        self.real.unregister(descriptor)


def refuse_to_watch() -> None:
    if fails("LOOKS_FAIL"):
        raise OSError(draw.choice(NOT_WATCHED), "shim")


POLL = select.poll
EPOLL = select.epoll


def fail_looks() -> None:
    shutdown, ioctl = socket.socket.shutdown, fcntl.ioctl

    def shut(self: socket.socket, how: int) -> None:
        if fails("LOOKS_FAIL"):
            raise OSError(errno.ENOTCONN, "shim")
        shutdown(self, how)

    def asked(descriptor: Any, *rest: Any) -> Any:
        if fails("LOOKS_FAIL"):
            raise OSError(errno.EINVAL, "shim")
        return ioctl(descriptor, *rest)

    select.poll = Poll  # type: ignore[misc, assignment]
    select.epoll = Epoll  # type: ignore[misc, assignment]
    selectors.EpollSelector._selector_cls = Epoll  # type: ignore[attr-defined]
    socket.socket.shutdown = shut  # type: ignore[method-assign, assignment]
    fcntl.ioctl = asked


if SHIMS:
    step_clock()
    fail_accept()
    fail_connect()
    fail_send()
    fail_recv()
    fail_logs()
    fail_looks()
