"""An attempt that is given up while part of its bytes lies in this machine, and that its engine reads whole.

What happened: a long request that must not run twice was written to a decode engine that reads slowly. At the
look for arrival the kernel still held part of it, so the attempt counted as one that never ran, and another
engine got the request. But the connection was still open: the engine read on while the front node was held
up, the kernel sent the rest, and both engines had the request whole.

Why: only bytes in user space stay here once a connection is given up; those that the kernel has may leave
until the socket is really closed. What showed it: ends read 2, unreachable 1, and both engines had read every
byte, with a hold-up of 0.06 s right after the look as well as right after the close; the gate saw nothing.
"""

import asyncio
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from raw_peers import (
    FrontSetup,
    RawConnection,
    RawEngine,
    answer_releases,
    decode,
    prefill,
    request,
    run_scenario,
)

from heathford.platform.exchange import EngineConnection
from heathford.platform.engine_call import EngineCall
from heathford.standin.platform import READ

LARGE = 200_000  # bytes of a prompt, within the 256 KiB of a body
SMALL = 8_000  # bytes: more than the small buffer takes, less than the kernel may hold unsent
SMALL_BUFFER = 4_096  # bytes
HOLD_UP = 0.06  # s: less than the 0.15 s that the users allow
PATIENCE = 4.0  # s that the client waits


def slow_decode(uid: str) -> RawEngine:
    """Its receive buffer is small, and it reads only when the test does."""
    engine = decode(uid)
    engine.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    return engine


def is_whole(held: RawConnection) -> bool:
    """Whether a request has come to its last byte on that connection."""
    head, separator, body = held.received.partition(b"\r\n\r\n")
    return bool(separator) and len(body) == int(head.rpartition(b"Content-Length: ")[2].split(b"\r\n")[0])


def read_on(engines: tuple[RawEngine, ...]) -> None:
    """The engines read while the front node, which shares this thread, is held up."""
    ends = time.monotonic() + HOLD_UP
    while time.monotonic() < ends:
        for engine in engines:
            engine.count(b"POST")


def held_up(
    call: Callable[..., None], before: bool, engines: tuple[RawEngine, ...], calls: list[Any]
) -> Callable[..., None]:
    """That call of the front node, with a hold-up right before or right after it where engines are asked."""
    ports = [engine.listener.getsockname()[1] for engine in engines]

    def wrapped(given: Any, *more: Any, **named: Any) -> None:
        port = given.endpoint.port if isinstance(given, EngineCall) else given.pool.address[1]
        meant = port in ports and all(engine.listener.fileno() >= 0 for engine in engines)
        if meant and before:
            read_on(engines)
        call(given, *more, **named)
        if meant and not before:
            read_on(engines)
        if meant:
            calls.append(given)

    return wrapped


@pytest.mark.parametrize("moment", ["after the look", "after the close"])
def test_what_may_not_run_twice_does_not_while_the_kernel_sends_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, moment: str
) -> None:
    """One engine at most has the request whole, and no refusal says that none has."""
    play_a_slow_engine(tmp_path, monkeypatch, moment, LARGE)


@pytest.mark.parametrize("moment", ["after the look", "after the close"])
def test_nor_where_the_kernel_has_all_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, moment: str
) -> None:
    """A smaller request lies in the kernel to its last byte, which does leave: nothing more is promised."""
    assert play_a_slow_engine(tmp_path, monkeypatch, moment, SMALL) == [502]


def play_a_slow_engine(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, moment: str, size: int) -> list[int]:
    """Returns the statuses of what the client was answered."""
    engines = (slow_decode("w"), slow_decode("w2"))
    ended: list[Any] = []
    answers: list[int] = []
    if moment == "after the look":
        monkeypatch.setattr(EngineCall, "end", held_up(EngineCall.end, True, engines, ended))
    else:
        monkeypatch.setattr(EngineConnection, "close", held_up(EngineConnection.close, False, engines, ended))

    async def day(play: FrontSetup) -> None:
        reader = play.engines[0]
        releases = asyncio.create_task(answer_releases(reader))
        client = play.client()
        client.send(request("c0", request_class="booking", size=size))
        reads = 0
        began = time.monotonic()
        while not client.answers and time.monotonic() < began + PATIENCE:
            if reader.posts > reads:
                reads += 1
                (await reader.wait_for_request(reads)).sock.sendall(READ)
            await asyncio.sleep(0.005)
        releases.cancel()
        assert ended, "no attempt was given up"
        whole = [engine.uid for engine in engines for held in engine.connections if is_whole(held)]
        assert len(whole) <= 1
        assert not whole or client.answers == [502]
        answers.extend(client.answers)

    run_scenario(tmp_path, day, prefill(), *engines)
    return answers
