"""System calls on sockets and epoll that fail for a moment for want of memory.

Such a failure leaves the connection unchanged: the call is retried, no request is lost, and nothing counts
against an engine.
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
from heathford.standin.platform import DECODE_RESPONSE, PREFILL_RESPONSE

NO_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
REQUESTS = 6
EPOLL = select.epoll


def errors_every_other_call(errnos: tuple[int, ...]) -> Iterator[int]:
    """Yield for each call in turn the error that it meets, or 0 for none."""
    for number in itertools.cycle(errnos):
        yield number
        yield 0


def refuse_every_other_call(
    monkeypatch: pytest.MonkeyPatch, name: str, ports: set[int], listening: int
) -> None:
    """Have every other call of that name fail, on the front node's own connections."""
    call, errors = getattr(socket.socket, name), errors_every_other_call(NO_MEMORY)

    def refused_call(self: socket.socket, *args: Any) -> Any:
        try:
            own = self.getsockname()[1] == listening or self.getpeername()[1] in ports
        except OSError:
            own = False
        if own and (number := next(errors)):
            raise OSError(number, "transient failure")
        return call(self, *args)

    monkeypatch.setattr(socket.socket, name, refused_call)


async def serve_requests(setup: FrontSetup) -> None:
    """Serve requests in turn on one connection; all streams are complete, and no engine is blamed."""
    prefill_engine, decode_engine = setup.engines
    client = setup.client()
    for number in range(REQUESTS):
        client.send(request(f"c{number}"))
        (await prefill_engine.wait_for_request(number + 1)).sock.sendall(PREFILL_RESPONSE)
        (await decode_engine.wait_for_request(number + 1)).sock.sendall(DECODE_RESPONSE)
        await until(lambda number=number: client.whole_streams == number + 1, f"stream {number}")  # type: ignore[misc]
    assert client.answers == REQUESTS * [200]
    assert all(not e.failures and not e.cooldowns for e in setup.node.core.router.engines.values())
    assert (prefill_engine.posts, decode_engine.posts) == (REQUESTS, REQUESTS)


def test_requests_are_served_while_sends_and_reads_fail(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """asyncio's transports close the connection after any such error."""

    async def scenario(setup: FrontSetup) -> None:
        ports = {engine.listener.getsockname()[1] for engine in setup.engines}
        for name in ("send", "recv"):
            refuse_every_other_call(monkeypatch, name, ports, setup.node.listen[1])
        await serve_requests(setup)

    run_scenario(tmp_path, scenario)


class FailingEpoll:
    """Works as select.epoll, but every other change of the watched descriptors fails."""

    def __init__(self) -> None:
        self.real = EPOLL()
        self.poll, self.close, self.fileno = self.real.poll, self.real.close, self.real.fileno
        self.errors = errors_every_other_call((errno.ENOMEM, errno.ENOSPC))

    def fail_every_other_call(self) -> None:
        if number := next(self.errors):
            raise OSError(number, "transient failure")

    def register(self, descriptor: int, events: int) -> None:
        self.fail_every_other_call()
        self.real.register(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        self.fail_every_other_call()
        self.real.modify(descriptor, events)

    def unregister(self, descriptor: int) -> None:
        self.fail_every_other_call()
        self.real.unregister(descriptor)


def test_requests_are_served_while_epoll_changes_fail(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(select, "epoll", FailingEpoll)
    monkeypatch.setattr(selectors.EpollSelector, "_selector_cls", FailingEpoll)  # of asyncio's own loop
    run_scenario(tmp_path, serve_requests)


def test_connect_that_fails_with_eagain_is_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """After EAGAIN of connect(2) nothing is in progress, but asyncio would take the socket for connected."""

    async def scenario(setup: FrontSetup) -> None:
        ports = {engine.listener.getsockname()[1] for engine in setup.engines}
        connect, left = socket.socket.connect, 3

        def put_off(self: socket.socket, address: Any) -> None:
            nonlocal left
            if address[1] in ports and left:
                left -= 1
                raise BlockingIOError(errno.EAGAIN, "transient failure")
            connect(self, address)

        monkeypatch.setattr(socket.socket, "connect", put_off)
        client = setup.client()
        client.send(request("c0", request_class="booking"))
        (await setup.engines[0].wait_for_request()).sock.sendall(PREFILL_RESPONSE)
        (await setup.engines[1].wait_for_request()).sock.sendall(DECODE_RESPONSE)
        await until(lambda: client.whole_streams == 1, "the stream's end")
        assert not left
        assert all(not e.failures and not e.cooldowns for e in setup.node.core.router.engines.values())

    run_scenario(tmp_path, scenario)


def test_refused_epoll_changes_are_retried(
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


def test_reused_descriptor_is_registered_again() -> None:
    epoll = RetryingEpoll()
    near, far = socket.socketpair()
    epoll.register(near.fileno(), select.EPOLLIN)
    descriptor = near.detach()
    os.close(descriptor)
    epoll.unregister(descriptor + 1)  # never registered
    reused = os.dup2(far.fileno(), descriptor)
    epoll.register(reused, select.EPOLLOUT)
    assert epoll.poll(1.0)[0][0] == reused
    os.close(reused)
    far.close()
    epoll.close()


def test_event_loop_creation_is_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    left = 3

    def refused_call() -> Any:
        nonlocal left
        left -= 1
        if left > 0:
            raise OSError(errno.EMFILE, "transient failure")
        return EPOLL()

    monkeypatch.setattr(select, "epoll", refused_call)
    new_event_loop().close()
    assert not left


def test_errors_of_close_are_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    near, far = socket.socketpair()
    wrapped = RetryingSocket.take_over(near)
    with monkeypatch.context() as patch:
        patch.setattr(socket.socket, "close", lambda self: fail(errno.EIO))
        wrapped.close()
    wrapped.close()
    far.close()


def fail(number: int) -> None:
    raise OSError(number, "transient failure")


REFUSAL_SECONDS = 0.3  # s
MAX_TURNS = 150  # of the event loop in that time: each pauses for a few milliseconds


def test_loop_pauses_while_sends_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """The event loop must not spin while the system has no memory for sends.

    The socket polls as writable, so its send is tried in each turn; without a pause the loop made 12,000
    turns in 0.3 s and used a whole core.
    """
    polls = 0
    poll = RetryingEpoll.poll

    def counted(self: RetryingEpoll, timeout: float = -1, most: int = -1) -> list[tuple[int, int]]:
        nonlocal polls
        polls += 1
        return poll(self, timeout, most)

    def refused_call(self: socket.socket, *args: Any) -> int:
        raise OSError(errno.ENOBUFS, "persistent failure")

    async def count() -> tuple[int, bytes]:
        here, there = socket.socketpair()
        transport, _ = await asyncio.get_running_loop().create_connection(asyncio.Protocol, sock=here)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(socket.socket, "send", refused_call)
            transport.write(b"x" * 100)
            before = polls
            await asyncio.sleep(REFUSAL_SECONDS)
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
    assert turns <= MAX_TURNS
