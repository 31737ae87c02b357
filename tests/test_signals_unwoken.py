"""Signals when the byte that wakes the event loop can't be written."""

import asyncio
import signal
from pathlib import Path
from time import monotonic

from node_processes import node_process, wait_for_log

from heathford.child_signals import send_signal

NO_WAKEUP_SCRIPT = """
import asyncio, os, signal
from heathford.cli import logs
from heathford.event_loop import new_event_loop
from heathford.platform.process import run_node

async def run():
    asyncio.get_running_loop().call_later(0.2, signal.set_wakeup_fd, -1)
    await run_node(os.environ)

logs.set_up(True, "info")
with asyncio.Runner(loop_factory=new_event_loop) as runner:
    runner.run(run())
"""


def test_signals_are_handled_without_the_wake_up_byte(tmp_path: Path) -> None:
    """Without the byte, a process missed SIGTERM and was killed with all requests it had accepted."""

    async def scenario() -> None:
        async with node_process(tmp_path, "-c", NO_WAKEUP_SCRIPT) as process, asyncio.timeout(10.0):
            await wait_for_log(process, b'"ready"')
            await asyncio.sleep(0.5)
            send_signal(process, signal.SIGHUP)
            await wait_for_log(process, b'"configuration read"')
            began = monotonic()
            send_signal(process, signal.SIGTERM)
            assert await process.wait() == 0
            assert 0.6 <= monotonic() - began < 1.5

    asyncio.run(scenario())
