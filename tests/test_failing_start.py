"""Starts and reloads during which system calls fail for a moment: they are retried."""

import asyncio
import errno
import socket
from pathlib import Path
from time import monotonic
from typing import Any

import pytest
from node_processes import PLATFORM_COMMAND, node_process, wait_for_log, write_configuration
from raw_peers import FrontSetup, run_scenario, until

from heathford.platform.start import read_configuration
from heathford.standin.platform import DiscoveryAgent

FAILURES = 3
TRANSIENT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EIO)


class FailingCall:
    """Fails FAILURES times, then makes the real call."""

    def __init__(self, call: Any, number: int) -> None:
        self.call, self.number, self.left = call, number, FAILURES

    def __call__(self, *args: Any, **kwargs: Any) -> Any:
        if self.left:
            self.left -= 1
            raise OSError(self.number, "transient failure")
        return self.call(*args, **kwargs)


def test_start_waits_until_the_address_is_free(tmp_path: Path) -> None:
    """A connection of another program may hold the port, or the system may be out of descriptors."""

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as other:
            listen = f"127.0.0.1:{other.getsockname()[1]}"
            async with (
                node_process(tmp_path, *PLATFORM_COMMAND, listen=listen) as process,
                asyncio.timeout(10.0),
            ):
                assert process.stderr
                await process.stderr.readline()
                other.close()
                await wait_for_log(process, b'"ready"')

    asyncio.run(scenario())


def test_configuration_is_read_after_transient_errors(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    write_configuration(path, "127.0.0.1:1")
    for number in TRANSIENT_ERRORS:
        with monkeypatch.context() as patch:
            patch.setattr(Path, "read_bytes", FailingCall(path.read_bytes, number))
            assert read_configuration(path)["discovery"] == "127.0.0.1:1"


def test_reload_is_retried_until_the_configuration_is_readable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without retries the front node kept following a discovery that had ended until the next SIGHUP."""

    async def scenario(setup: FrontSetup) -> None:
        for half_written in (False, True):
            other = DiscoveryAgent()
            address = await other.open()
            whole = write_configuration(setup.node.path, address)
            if half_written:
                setup.node.path.write_bytes(whole[: len(whole) // 2])
            else:
                monkeypatch.setattr(Path, "read_bytes", FailingCall(setup.node.path.read_bytes, errno.EMFILE))
            setup.node.reload()
            await asyncio.sleep(0.2)
            setup.node.path.write_bytes(whole)
            began = monotonic()
            port = int(address.rpartition(":")[2])
            await until(lambda port=port: setup.node.watch.port == port, "the new discovery")  # type: ignore[misc]
            assert monotonic() - began < 2.0
            await other.wait_for_watchers()
            other.close()

    run_scenario(tmp_path, scenario)
