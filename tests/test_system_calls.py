"""System calls that fail for a moment are retried, and do not count against an engine."""

import asyncio
import errno
import select
import socket
import time
from pathlib import Path
from typing import Any

import pytest
from raw_peers import FrontSetup, request, run_scenario, until

from heathford.standin.platform import DECODE_RESPONSE, PREFILL_RESPONSE

FAILURES = 8
LOCAL_ERRORS = [errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


@pytest.mark.parametrize("errno_value", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_accepting_goes_on_after_transient_errors(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, errno_value: int
) -> None:
    async def scenario(setup: FrontSetup) -> None:
        left, accept = FAILURES, socket.socket.accept

        def failing(self: socket.socket) -> Any:
            nonlocal left
            if left:
                left -= 1
                raise OSError(errno_value, "transient failure")
            return accept(self)

        monkeypatch.setattr(socket.socket, "accept", failing)
        began = time.monotonic()
        client = setup.client()
        client.send(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n")
        assert await client.wait_for_answers(1) == [200]
        assert time.monotonic() - began < 0.5

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("errno_value", LOCAL_ERRORS)
def test_local_connect_error_does_not_count_against_the_engine(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, errno_value: int
) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        left, connect = 2, setup.node.loop.create_connection

        async def failing(protocol_factory: Any, host: str, port: int, **kwargs: Any) -> Any:
            nonlocal left
            if left and port == prefill_engine.listener.getsockname()[1]:
                left -= 1
                raise OSError(errno_value, "transient failure")
            return await connect(protocol_factory, host, port, **kwargs)

        monkeypatch.setattr(setup.node.loop, "create_connection", failing)
        client = setup.client()
        client.send(request("c0"))
        (await prefill_engine.wait_for_request()).sock.sendall(PREFILL_RESPONSE)
        (await decode_engine.wait_for_request()).sock.sendall(DECODE_RESPONSE)
        await until(lambda: client.whole_streams == 1, "the stream's end")
        assert all(not e.failures and not e.cooldowns for e in setup.node.core.router.engines.values())
        pools = setup.node.link.pools
        assert not pools.open - sum(len(pool.idle) for pool in pools.pools.values())

    run_scenario(tmp_path, scenario)


def test_asyncio_still_reads_the_accept_retry_delay() -> None:
    """The constant is not part of asyncio's public API: this test notices when it is no longer used."""
    source = Path(asyncio.selector_events.__file__).read_text()
    assert "constants.ACCEPT_RETRY_DELAY" in source


class FailingPoll:
    """A poll object whose poll(2) fails for want of memory."""

    def register(self, descriptor: int, flags: int) -> None:
        """Do nothing."""

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        raise OSError(errno.ENOMEM, "transient failure")


def test_request_is_served_while_poll_fails(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """While the client's state is unknown, its attempts must go on, not wait until the request expires."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        client.send(request("c0"))
        await until(lambda: bool(setup.node.clients.request_names.open), "the request")
        with monkeypatch.context() as patch:
            patch.setattr(select, "poll", FailingPoll)
            for _ in range(20):
                await asyncio.sleep(0.01)
        (await prefill_engine.wait_for_request()).sock.sendall(PREFILL_RESPONSE)
        with monkeypatch.context() as patch:
            patch.setattr(select, "poll", FailingPoll)
            await asyncio.sleep(0.1)
        (await decode_engine.wait_for_request()).sock.sendall(DECODE_RESPONSE)
        await until(lambda: client.whole_streams == 1, "the stream's end")

    run_scenario(tmp_path, scenario)


def test_shutdown_completes_although_poll_fails_for_a_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A shutdown that raises would lose accepted requests."""

    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        await setup.answer(client, "c0")
        setup.node.terminate()
        with monkeypatch.context() as patch:
            patch.setattr(select, "poll", FailingPoll)
            shutdown = asyncio.create_task(setup.node.end())
            await asyncio.sleep(1.0)
            assert not shutdown.done()  # unread data can't be excluded: it goes on
        await asyncio.wait_for(shutdown, 2.0)

    run_scenario(tmp_path, scenario)


def test_shutdown_completes_when_a_client_resets_during_half_close(tmp_path: Path) -> None:
    """A connection may fail with ENOTCONN right after it was found open; the shutdown must go on."""

    async def scenario(setup: FrontSetup) -> None:
        client, other = setup.client(), setup.client()
        await setup.answer(client, "c0")
        await setup.answer(other, "c1")
        transport: Any = next(iter(setup.node.clients.connections)).transport

        def refused() -> None:
            raise OSError(errno.ENOTCONN, "it was reset")

        transport.write_eof = refused
        setup.node.terminate()
        await asyncio.wait_for(setup.node.end(), 3.0)
        assert not setup.node.clients.connections

    run_scenario(tmp_path, scenario)
