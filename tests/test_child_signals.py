"""A signal to a child that has just ended."""

import asyncio
import os
import signal
import sys
import threading
from pathlib import Path
from typing import Any

import pytest

from heathford.child_signals import send_signal

EXIT_STATUS = 7


def is_zombie(pid: int) -> bool:
    """Whether the process has ended and nobody has read its exit status yet."""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "Z"


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGKILL])
def test_send_signal_leaves_the_exit_status_to_the_child_watcher(
    monkeypatch: pytest.MonkeyPatch, number: signal.Signals
) -> None:
    """asyncio reported status 255 for a child that had ended normally, if the signal polled it first."""
    real_waitpid, may_reap = os.waitpid, threading.Event()

    def delayed_waitpid(*arguments: Any) -> tuple[int, int]:
        may_reap.wait(5.0)
        return real_waitpid(*arguments)

    monkeypatch.setattr(os, "waitpid", delayed_waitpid)

    async def scenario() -> None:
        child = await asyncio.create_subprocess_exec(sys.executable, "-c", f"raise SystemExit({EXIT_STATUS})")
        async with asyncio.timeout(10.0):
            while not is_zombie(child.pid):
                await asyncio.sleep(0.005)
            send_signal(child, number)
            may_reap.set()
            assert await child.wait() == EXIT_STATUS

    asyncio.run(scenario())
