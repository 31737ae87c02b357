"""Calls on sockets, and on what watches them, that the system refuses for a moment for want of memory.

Nothing has happened then, to no connection: each is made again, and no request and no engine pays for it.
"""

import asyncio
import errno
import itertools
import os
import select
import selectors
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from raw_peers import FrontSetup, request, run_scenario, until

from heathford.event_loop import RetryingEpoll, RetryingSocket, new_event_loop
from heathford.standin.platform import GOOD, READ

NO_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
REQUESTS = 6
EPOLL = select.epoll


def every_second(numbers: tuple[int, ...]) -> Iterator[int]:
    """For each call in turn: the error that it meets, or 0."""
    for number in itertools.cycle(numbers):
        yield number
        yield 0


def refuse(monkeypatch: pytest.MonkeyPatch, name: str, ports: set[int], listening: int) -> None:
    """Every second call of that name fails, on a front node's own connections."""
    call, errors = getattr(socket.socket, name), every_second(NO_MEMORY)

    def refused(self: socket.socket, *given: Any) -> Any:
        try:
            own = self.getsockname()[1] == listening or self.getpeername()[1] in ports
        except OSError:
            own = False
        if own and (number := next(errors)):
            raise OSError(number, "for a moment")
        return call(self, *given)

    monkeypatch.setattr(socket.socket, name, refused)


async def serve_some(play: FrontSetup) -> None:
    """Requests one after another on a connection, each streamed whole, and no engine blamed."""
    a, b = play.engines
    client = play.client()
    for number in range(REQUESTS):
        client.send(request(f"c{number}"))
        (await a.wait_for_request(number + 1)).sock.sendall(READ)
        (await b.wait_for_request(number + 1)).sock.sendall(GOOD)
        await until(lambda number=number: client.whole_streams == number + 1, f"stream {number}")  # type: ignore[misc]
    assert client.answers == REQUESTS * [200]
    assert all(not e.failures and not e.cooldowns for e in play.node.core.router.engines.values())
    assert (a.posts, b.posts) == (REQUESTS, REQUESTS)


def test_requests_are_served_where_sends_and_reads_are_refused_for_a_moment(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seen before: the event loop's transports take every such error for the end of the connection."""

    async def day(play: FrontSetup) -> None:
        ports = {engine.listener.getsockname()[1] for engine in play.engines}
        for name in ("send", "recv"):
            refuse(monkeypatch, name, ports, play.node.listen[1])
        await serve_some(play)

    run_scenario(tmp_path, day)


class FailingEpoll:
    """As select.epoll, but that every second change of what is watched fails."""

    def __init__(self) -> None:
        self.real = EPOLL()
        self.poll, self.close, self.fileno = self.real.poll, self.real.close, self.real.fileno
        self.errors = every_second((errno.ENOMEM, errno.ENOSPC))

    def refuse(self) -> None:
        if number := next(self.errors):
            raise OSError(number, "for a moment")

    def register(self, descriptor: int, events: int) -> None:
        self.refuse()
        self.real.register(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        self.refuse()
        self.real.modify(descriptor, events)

    def unregister(self, descriptor: int) -> None:
        self.refuse()
        self.real.unregister(descriptor)


def test_requests_are_served_where_connections_can_not_be_watched_for_a_moment(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(select, "epoll", FailingEpoll)
    monkeypatch.setattr(selectors.EpollSelector, "_selector_cls", FailingEpoll)  # of asyncio's own loop
    run_scenario(tmp_path, serve_some)


def test_a_connect_that_the_system_puts_off_is_made_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """EAGAIN of connect(2): nothing is on its way, where the event loop waits for it, and finds it there."""

    async def day(play: FrontSetup) -> None:
        ports = {engine.listener.getsockname()[1] for engine in play.engines}
        connect, left = socket.socket.connect, 3

        def put_off(self: socket.socket, address: Any) -> None:
            nonlocal left
            if address[1] in ports and left:
                left -= 1
                raise BlockingIOError(errno.EAGAIN, "for a moment")
            connect(self, address)

        monkeypatch.setattr(socket.socket, "connect", put_off)
        client = play.client()
        client.send(request("c0", request_class="booking"))
        (await play.engines[0].wait_for_request()).sock.sendall(READ)
        (await play.engines[1].wait_for_request()).sock.sendall(GOOD)
        await until(lambda: client.whole_streams == 1, "the stream's end")
        assert not left
        assert all(not e.failures and not e.cooldowns for e in play.node.core.router.engines.values())

    run_scenario(tmp_path, day)


def test_a_descriptor_is_watched_and_forgotten_once_the_system_lets_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(select, "epoll", FailingEpoll)
    epoll = RetryingEpoll()
    near, far = socket.socketpair()
    far.send(b"x")
    epoll.register(near.fileno(), select.EPOLLIN)
    assert epoll.poll(1.0) == [(near.fileno(), select.EPOLLIN)]
    epoll.unregister(near.fileno())
    assert epoll.poll(0.0) == [] and not epoll.pending_changes
    epoll.register(near.fileno(), select.EPOLLOUT)
    epoll.modify(near.fileno(), select.EPOLLIN)
    assert epoll.poll(1.0) == [(near.fileno(), select.EPOLLIN)]
    for sock in (near, far, epoll):
        sock.close()


def test_a_descriptor_that_was_closed_unseen_is_watched_anew() -> None:
    epoll = RetryingEpoll()
    near, far = socket.socketpair()
    epoll.register(near.fileno(), select.EPOLLIN)
    descriptor = near.detach()
    os.close(descriptor)
    epoll.unregister(descriptor + 1)  # never known
    again = os.dup2(far.fileno(), descriptor)
    epoll.register(again, select.EPOLLOUT)
    assert epoll.poll(1.0)[0][0] == again
    os.close(again)
    far.close()
    epoll.close()


def test_an_event_loop_is_had_once_there_is_a_descriptor(monkeypatch: pytest.MonkeyPatch) -> None:
    left = 3

    def refused() -> Any:
        nonlocal left
        left -= 1
        if left > 0:
            raise OSError(errno.EMFILE, "for a moment")
        return EPOLL()

    monkeypatch.setattr(select, "epoll", refused)
    new_event_loop().close()
    assert not left


def test_the_error_of_a_close_is_kept_from_the_event_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    near, far = socket.socketpair()
    taken = RetryingSocket.take_over(near)
    with monkeypatch.context() as patch:
        patch.setattr(socket.socket, "close", lambda self: fail(errno.EIO))
        taken.close()
    taken.close()
    far.close()


def fail(number: int) -> None:
    raise OSError(number, "for a moment")


REFUSED_FOR = 0.3  # s
TURNS = 150  # of the event loop in that time: a few milliseconds of rest in each


def test_the_loop_rests_while_sends_are_refused_for_long(monkeypatch: pytest.MonkeyPatch) -> None:
    """What happened: while the system had no memory for sends, the event loop turned without rest and used a
    whole core. Why: the socket polls as writable, so its send is tried in each turn. What showed it: 12,000
    turns in 0.3 s."""
    polls = 0
    poll = RetryingEpoll.poll

    def counted(self: RetryingEpoll, timeout: float = -1, most: int = -1) -> list[tuple[int, int]]:
        nonlocal polls
        polls += 1
        return poll(self, timeout, most)

    def refused(self: socket.socket, *given: Any) -> int:
        raise OSError(errno.ENOBUFS, "for long")

    async def count() -> tuple[int, bytes]:
        here, there = socket.socketpair()
        transport, _ = await asyncio.get_running_loop().create_connection(asyncio.Protocol, sock=here)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(socket.socket, "send", refused)
            transport.write(b"x" * 100)
            before = polls
            await asyncio.sleep(REFUSED_FOR)
            turns = polls - before
        await asyncio.sleep(0.1)
        sent = there.recv(1_000, socket.MSG_DONTWAIT)
        transport.abort()
        there.close()
        return turns, sent

    monkeypatch.setattr(RetryingEpoll, "poll", counted)
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        turns, sent = runner.run(count())
    assert sent == b"x" * 100
    assert turns <= TURNS
