"""System calls that fail for a moment cost a moment, and are not laid at an engine's door."""

import asyncio
import errno
import select
import socket
import time
from pathlib import Path
from typing import Any

import pytest
from raw_peers import FrontSetup, request, run_scenario, until

from heathford.standin.platform import GOOD, READ

FAILURES = 8
LOCAL = [errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


@pytest.mark.parametrize("number", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_moment_without_room_does_not_stop_accepting(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async def day(play: FrontSetup) -> None:
        left, accept = FAILURES, socket.socket.accept

        def failing(self: socket.socket) -> Any:
            nonlocal left
            if left:
                left -= 1
                raise OSError(number, "for a moment")
            return accept(self)

        monkeypatch.setattr(socket.socket, "accept", failing)
        began = time.monotonic()
        client = play.client()
        client.send(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n")
        assert await client.wait_for_answers(1) == [200]
        assert time.monotonic() - began < 0.5

    run_scenario(tmp_path, day)


@pytest.mark.parametrize("number", LOCAL)
def test_trouble_of_our_own_in_a_connect_is_not_laid_at_the_engine(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async def day(play: FrontSetup) -> None:
        a, b = play.engines
        left, connect = 2, play.node.loop.create_connection

        async def failing(made: Any, host: str, port: int, **more: Any) -> Any:
            nonlocal left
            if left and port == a.listener.getsockname()[1]:
                left -= 1
                raise OSError(number, "for a moment")
            return await connect(made, host, port, **more)

        monkeypatch.setattr(play.node.loop, "create_connection", failing)
        client = play.client()
        client.send(request("c0"))
        (await a.wait_for_request()).sock.sendall(READ)
        (await b.wait_for_request()).sock.sendall(GOOD)
        await until(lambda: client.whole_streams == 1, "the stream's end")
        assert all(not e.failures and not e.cooldowns for e in play.node.core.router.engines.values())
        pools = play.node.link.pools
        assert not pools.open - sum(len(pool.idle) for pool in pools.pools.values())

    run_scenario(tmp_path, day)


def test_asyncio_still_knows_the_delay_that_is_set() -> None:
    """It is no promise of asyncio's: one that no longer reads it has to be found here."""
    source = Path(asyncio.selector_events.__file__).read_text()
    assert "constants.ACCEPT_RETRY_DELAY" in source


class FailingPoll:
    """A poll(2) that has no memory."""

    def register(self, descriptor: int, flags: int) -> None:
        """Nothing fails yet."""

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        raise OSError(errno.ENOMEM, "for a moment")


def test_a_request_is_served_while_looks_at_sockets_fail(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that waits for its last resort, as nothing could be learnt of its client."""

    async def day(play: FrontSetup) -> None:
        a, b = play.engines
        client = play.client()
        client.send(request("c0"))
        await until(lambda: bool(play.node.clients.open_requests), "the request")
        with monkeypatch.context() as patch:
            patch.setattr(select, "poll", FailingPoll)
            for _ in range(20):
                await asyncio.sleep(0.01)
        (await a.wait_for_request()).sock.sendall(READ)
        with monkeypatch.context() as patch:
            patch.setattr(select, "poll", FailingPoll)
            await asyncio.sleep(0.1)
        (await b.wait_for_request()).sock.sendall(GOOD)
        await until(lambda: client.whole_streams == 1, "the stream's end")

    run_scenario(tmp_path, day)


def test_a_process_ends_in_order_while_looks_at_sockets_fail(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an end that is broken off: what was taken would be lost."""

    async def day(play: FrontSetup) -> None:
        client = play.client()
        await play.answer(client, "c0")
        play.node.terminate()
        with monkeypatch.context() as patch:
            patch.setattr(select, "poll", FailingPoll)
            ending = asyncio.create_task(play.node.end())
            await asyncio.sleep(1.0)
            assert not ending.done()  # nothing is known of what may lie unread: it goes on
        await asyncio.wait_for(ending, 2.0)

    run_scenario(tmp_path, day)


def test_a_process_ends_in_order_where_a_client_resets_in_the_moment_of_a_shutdown(tmp_path: Path) -> None:
    """Guards against an end that one connection breaks off: ENOTCONN after a look that found it whole."""

    async def day(play: FrontSetup) -> None:
        client, other = play.client(), play.client()
        await play.answer(client, "c0")
        await play.answer(other, "c1")
        transport: Any = next(iter(play.node.clients.connections)).transport

        def refused() -> None:
            raise OSError(errno.ENOTCONN, "it was reset")

        transport.write_eof = refused
        play.node.terminate()
        await asyncio.wait_for(play.node.end(), 3.0)
        assert not play.node.clients.connections

    run_scenario(tmp_path, day)
