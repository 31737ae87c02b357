"""A start and a reload during which system calls fail for a moment: they come a moment later."""

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
from heathford.standin.platform import Agent

FAILURES = 3
OF_A_MOMENT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EIO)


class Failing:
    """A call that fails so often, then is the real one."""

    def __init__(self, call: Any, number: int) -> None:
        self.call, self.number, self.left = call, number, FAILURES

    def __call__(self, *given: Any, **named: Any) -> Any:
        if self.left:
            self.left -= 1
            raise OSError(self.number, "for a moment")
        return self.call(*given, **named)


def test_a_front_node_starts_once_its_address_is_free(tmp_path: Path) -> None:
    """As where the connection of another program has its port, or the system has no descriptor left."""

    async def day() -> None:
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

    asyncio.run(day())


def test_a_configuration_is_read_once_the_system_lets_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    write_configuration(path, "127.0.0.1:1")
    for number in OF_A_MOMENT:
        with monkeypatch.context() as patch:
            patch.setattr(Path, "read_bytes", Failing(path.read_bytes, number))
            assert read_configuration(path)["discovery"] == "127.0.0.1:1"


def test_a_reload_whose_configuration_can_not_be_read_yet_comes_a_moment_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seen before: the front node went on following a discovery that had ended, until the next SIGHUP."""

    async def day(play: FrontSetup) -> None:
        for half_written in (False, True):
            other = Agent()
            address = await other.open()
            whole = write_configuration(play.node.path, address)
            if half_written:
                play.node.path.write_bytes(whole[: len(whole) // 2])
            else:
                monkeypatch.setattr(Path, "read_bytes", Failing(play.node.path.read_bytes, errno.EMFILE))
            play.node.reload()
            await asyncio.sleep(0.2)
            play.node.path.write_bytes(whole)
            began = monotonic()
            port = int(address.rpartition(":")[2])
            await until(lambda port=port: play.node.watch.port == port, "the new discovery")  # type: ignore[misc]
            assert monotonic() - began < 2.0
            await other.until_watched()
            other.close()

    run_scenario(tmp_path, day)
