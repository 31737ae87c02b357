"""Front nodes as processes of their own, whose logs the test reads."""

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import orjson

from heathford.child_signals import send_signal
from heathford.standin.platform import DiscoveryAgent, settings

PLATFORM_COMMAND = ("-m", "heathford", "--log", "json", "platform")  # arguments of the Python interpreter


def write_configuration(
    path: Path,
    discovery: str,
    seed: int = 1,
    node_settings: dict[str, Any] | None = None,
    sockets: int = 256,
    memory_mb: int | None = None,
) -> bytes:
    configuration = orjson.dumps(
        {
            "discovery": discovery,
            "limits": {"sockets": sockets} | ({"memory_mb": memory_mb} if memory_mb else {}),
            "seed": seed,
            "settings": node_settings or settings(),
        }
    )
    path.write_bytes(configuration)
    return configuration


@asynccontextmanager
async def started_node(
    name: str, configuration: Path, discovery: str, *arguments: str, listen: str = "127.0.0.1:0"
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start a front node with that configuration; kill it at the end if it runs."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        cwd=Path(__file__).parent.parent,
        stderr=asyncio.subprocess.PIPE,
        env={
            **os.environ,
            "NODE_NAME": name,
            "NODE_LISTEN": listen,
            "NODE_DISCOVERY": discovery,
            "NODE_CONFIG": str(configuration),
        },
    )
    try:
        yield process
    finally:
        send_signal(process, signal.SIGKILL)
        await process.wait()


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
    try:
        async with started_node("n0", path, address, *arguments, listen=listen) as process:
            yield process
    finally:
        agent.close()


async def wait_for_log(process: asyncio.subprocess.Process, text: bytes) -> bytes:
    """Read the process's log up to a line that contains the text, and return that line."""
    assert process.stderr
    while text not in (line := await process.stderr.readline()):
        assert line, "the process has ended"
    return line
