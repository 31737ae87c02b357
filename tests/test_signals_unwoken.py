"""Signals where the byte that wakes an event loop can't be written."""

import asyncio
import signal
from pathlib import Path
from time import monotonic

from node_processes import node_process, wait_for_log

from heathford.child_signals import send_signal

UNWOKEN = """
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


def test_a_process_hears_of_signals_without_the_byte_that_wakes_its_loop(tmp_path: Path) -> None:
    """Seen before: it went on, and was killed with all that it had taken."""

    async def day() -> None:
        async with node_process(tmp_path, "-c", UNWOKEN) as process, asyncio.timeout(10.0):
            await wait_for_log(process, b'"ready"')
            await asyncio.sleep(0.5)
            send_signal(process, signal.SIGHUP)
            await wait_for_log(process, b'"configuration read"')
            began = monotonic()
            send_signal(process, signal.SIGTERM)
            assert await process.wait() == 0
            assert 0.6 <= monotonic() - began < 1.5

    asyncio.run(day())
