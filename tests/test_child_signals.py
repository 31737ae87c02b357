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

STATUS = 7


def has_ended(pid: int) -> bool:
    """It has, and nobody has taken its status yet."""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "Z"


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGKILL])
def test_a_signal_leaves_a_child_s_exit_status_to_its_watcher(
    monkeypatch: pytest.MonkeyPatch, number: signal.Signals
) -> None:
    """Guards against an exit status of 255 that no process had, told of one that ended in order."""
    wait, may_wait = os.waitpid, threading.Event()

    def waits(*arguments: Any) -> tuple[int, int]:
        may_wait.wait(5.0)
        return wait(*arguments)

    monkeypatch.setattr(os, "waitpid", waits)

    async def day() -> None:
        child = await asyncio.create_subprocess_exec(sys.executable, "-c", f"raise SystemExit({STATUS})")
        async with asyncio.timeout(10.0):
            while not has_ended(child.pid):
                await asyncio.sleep(0.005)
            send_signal(child, number)
            may_wait.set()
            assert await child.wait() == STATUS

    asyncio.run(day())
