"""Signals where the byte that wakes an event loop can't be written."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from time import monotonic

import orjson

from heathford.standin.platform import Agent, settings

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
        agent = Agent()
        address = await agent.open()
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps(
            {"discovery": address, "limits": {"sockets": 256}, "seed": 1, "settings": settings()}))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", UNWOKEN, cwd=Path(__file__).parent.parent, stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "NODE_NAME": "n0", "NODE_LISTEN": "127.0.0.1:0", "NODE_DISCOVERY": address,
                 "NODE_CONFIG": str(path)})
        try:
            async with asyncio.timeout(10.0):
                assert process.stderr
                while b'"ready"' not in await process.stderr.readline():
                    pass
                await asyncio.sleep(0.5)
                process.send_signal(signal.SIGHUP)
                while b'"configuration read"' not in await process.stderr.readline():
                    pass
                began = monotonic()
                process.terminate()
                assert await process.wait() == 0
                assert 0.6 <= monotonic() - began < 1.5
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            agent.close()
    asyncio.run(day())
