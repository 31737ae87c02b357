"""Front nodes as processes of their own, whose logs the test reads."""

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import orjson

from heathford.child_signals import send_signal
from heathford.standin.platform import DiscoveryAgent, settings

PLATFORM_COMMAND = ("-m", "heathford", "--log", "json", "platform")  # arguments of the Python interpreter


def write_configuration(path: Path, discovery: str) -> bytes:
    configuration = orjson.dumps(
        {"discovery": discovery, "limits": {"sockets": 256}, "seed": 1, "settings": settings()}
    )
    path.write_bytes(configuration)
    return configuration


@asynccontextmanager
async def node_process(
    folder: Path, *arguments: str, listen: str = "127.0.0.1:0", agent: DiscoveryAgent | None = None
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start a front node with an agent and a configuration of its own; kill it at the end if it runs.

    agent: one that is not open yet; a new one without engines if None.
    """
    agent = agent or DiscoveryAgent()
    address = await agent.open()
    path = folder / "config.json"
    write_configuration(path, address)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        cwd=Path(__file__).parent.parent,
        stderr=asyncio.subprocess.PIPE,
        env={
            **os.environ,
            "NODE_NAME": "n0",
            "NODE_LISTEN": listen,
            "NODE_DISCOVERY": address,
            "NODE_CONFIG": str(path),
        },
    )
    try:
        yield process
    finally:
        send_signal(process, signal.SIGKILL)
        await process.wait()
        agent.close()


async def wait_for_log(process: asyncio.subprocess.Process, text: bytes) -> None:
    """Read the process's log up to a line that contains the text."""
    assert process.stderr
    while text not in (line := await process.stderr.readline()):
        assert line, "the process has ended"
