"""Fault injection into front nodes of the soak: failing system calls and a stepping wall clock.

The interpreter loads this module at its start, as its folder is on PYTHONPATH; the program itself does not
know of it. Its patches stay installed; SOAK_SHIMS says when which fault is active. It is a JSON list of
[kind, from, until, clock step] with times in s on the machine's monotonic clock; kind is the name of a
FaultKind member. Only CLOCK uses the clock step, in s.

LOOKS_FAIL: calls that wait for, inspect or control sockets (poll, epoll_ctl, shutdown, ioctl) fail. It has
nothing to do with looking up names.
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
FAILURE_PROBABILITY = 0.3  # of a call while the fault of its kind is active
EINTR_PROBABILITY = 0.3  # of a send or receive that the fault affects
NO_MEMORY_PROBABILITY = 0.2  # of a send or receive that the fault affects
NO_MEMORY_ERRORS = (errno.ENOBUFS, errno.ENOMEM)
EPOLL_ERRORS = (errno.ENOMEM, errno.ENOSPC)
BREAK_PROBABILITY = 0.02  # that a send or receive fails as on a broken connection, during LINK_BREAKS
LOG_DESCRIPTOR = 2  # standard error
random_source = random.Random(os.getpid())


def active_shim_value(kind: str) -> float | None:
    """Return the clock step given with the active fault of that kind, or None if none is active."""
    now = time.monotonic()
    return next(
        (
            clock_step
            for shim_kind, since, until, clock_step in SHIMS
            if shim_kind == kind and since <= now < until
        ),
        None,
    )


def should_fail(kind: str) -> bool:
    """Return whether to fail the present call: at random while a fault of that kind is active."""
    return active_shim_value(kind) is not None and random_source.random() < FAILURE_PROBABILITY


def step_clock() -> None:
    real_time = time.time

    def stepped_time() -> float:
        return real_time() + (active_shim_value("CLOCK") or 0.0)

    time.time = stepped_time


def fail_accept() -> None:
    real_accept = socket.socket.accept

    def accept_or_fail(self: socket.socket) -> Any:
        if should_fail("ACCEPT_FAILS"):
            raise OSError(
                random_source.choice(
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
        return real_accept(self)

    socket.socket.accept = accept_or_fail  # type: ignore[method-assign]


def fail_connect() -> None:
    real_connect = socket.socket.connect

    def connect_or_fail(self: socket.socket, address: Any) -> None:
        if should_fail("CONNECT_FAILS"):
            raise OSError(
                random_source.choice(
                    (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EMFILE, errno.ETIMEDOUT)
                ),
                "shim",
            )
        real_connect(self, address)

    socket.socket.connect = connect_or_fail  # type: ignore[method-assign, assignment]


def raise_at_random() -> None:
    """Raise EINTR, ENOBUFS or ENOMEM at random; if it returns, the caller shortens its send or receive."""
    number = random_source.random()
    if number < EINTR_PROBABILITY:
        raise InterruptedError(errno.EINTR, "shim")
    if number < EINTR_PROBABILITY + NO_MEMORY_PROBABILITY:
        raise OSError(random_source.choice(NO_MEMORY_ERRORS), "shim")


def break_link() -> None:
    """Raise ETIMEDOUT or EHOSTUNREACH at random while LINK_BREAKS is active, as if the peer had vanished.

    The connection itself stays open: later calls may succeed.
    """
    if active_shim_value("LINK_BREAKS") is not None and random_source.random() < BREAK_PROBABILITY:
        raise OSError(random_source.choice((errno.ETIMEDOUT, errno.EHOSTUNREACH)), "shim")


def fail_send() -> None:
    real_send = socket.socket.send

    def send_or_fail(self: socket.socket, data: Any, *flags: int) -> int:
        if should_fail("SEND_SHORT"):
            raise_at_random()
            data = bytes(data)[: max(1, len(data) // 2)]
        break_link()
        return real_send(self, data, *flags)

    socket.socket.send = send_or_fail  # type: ignore[method-assign, assignment]


def fail_recv() -> None:
    real_recv = socket.socket.recv

    def recv_or_fail(self: socket.socket, size: int, *flags: int) -> bytes:
        if should_fail("RECV_SHORT"):
            raise_at_random()
            size = min(size, random_source.randint(1, 40))
        break_link()
        return real_recv(self, size, *flags)

    socket.socket.recv = recv_or_fail  # type: ignore[method-assign, assignment]


def fail_logs() -> None:
    real_write = os.write

    def write_or_fail(descriptor: int, data: Any) -> int:
        if descriptor == LOG_DESCRIPTOR and should_fail("LOG_FAILS"):
            raise OSError(random_source.choice((errno.ENOSPC, errno.EIO)), "shim")
        return real_write(descriptor, data)

    os.write = write_or_fail


class Poll:
    """A failing select.poll(); wraps the real object, whose attributes can't be replaced."""

    def __init__(self) -> None:
        self.real = REAL_POLL()
        self.register, self.modify = self.real.register, self.real.modify

    def poll(self, timeout: float | None = None) -> list[tuple[int, int]]:
        if should_fail("LOOKS_FAIL"):
            raise OSError(errno.ENOMEM, "shim")
        return self.real.poll(timeout)


class Epoll:
    """A failing select.epoll(); wraps the real object, whose attributes can't be replaced."""

    def __init__(self) -> None:
        self.real = REAL_EPOLL()
        self.poll, self.fileno, self.close = self.real.poll, self.real.fileno, self.real.close

    def register(self, descriptor: int, events: int) -> None:
        fail_epoll_ctl()
        self.real.register(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        fail_epoll_ctl()
        self.real.modify(descriptor, events)

    def unregister(self, descriptor: int) -> None:
        fail_epoll_ctl()
        self.real.unregister(descriptor)


def fail_epoll_ctl() -> None:
    if should_fail("LOOKS_FAIL"):
        raise OSError(random_source.choice(EPOLL_ERRORS), "shim")


REAL_POLL = select.poll
REAL_EPOLL = select.epoll


def fail_polls() -> None:
    """Make poll, epoll_ctl, shutdown and ioctl fail at random while LOOKS_FAIL is active."""
    real_shutdown, real_ioctl = socket.socket.shutdown, fcntl.ioctl

    def shutdown_or_fail(self: socket.socket, how: int) -> None:
        if should_fail("LOOKS_FAIL"):
            raise OSError(errno.ENOTCONN, "shim")
        real_shutdown(self, how)

    def ioctl_or_fail(descriptor: Any, *rest: Any) -> Any:
        if should_fail("LOOKS_FAIL"):
            raise OSError(errno.EINVAL, "shim")
        return real_ioctl(descriptor, *rest)

    select.poll = Poll  # type: ignore[misc, assignment]
    select.epoll = Epoll  # type: ignore[misc, assignment]
    selectors.EpollSelector._selector_cls = Epoll  # type: ignore[attr-defined]
    socket.socket.shutdown = shutdown_or_fail  # type: ignore[method-assign, assignment]
    fcntl.ioctl = ioctl_or_fail


if SHIMS:
    step_clock()
    fail_accept()
    fail_connect()
    fail_send()
    fail_recv()
    fail_logs()
    fail_polls()
