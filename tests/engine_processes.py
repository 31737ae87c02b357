"""Stand-in engines as processes that can be stopped, while the kernel still accepts bytes for them."""

import asyncio
import os
import signal
import sys
import textwrap
from typing import Any

from heathford.child_signals import send_signal
from heathford.standin.platform import PREFILL_RESPONSE

LISTENS = """
    import os, signal, socket, time
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    print(listener.getsockname()[1], flush=True)
"""
NEVER_ACCEPTS = (
    LISTENS
    + """
    signal.pause()
"""
)
FULL_QUEUE = NEVER_ACCEPTS.replace("backlog=128", "backlog=0")  # the accept queue holds one connection
READS_WITHOUT_ANSWER = (
    LISTENS
    + """
    held = []
    while True:
        held.append(listener.accept()[0])
        held[-1].recv(1 << 20)
"""
)
ANSWERS_AND_STOPS = (
    LISTENS
    + f"""
    connection = listener.accept()[0]
    connection.recv(1 << 20)
    connection.sendall({PREFILL_RESPONSE!r})
    print(time.monotonic(), flush=True)
    os.kill(os.getpid(), signal.SIGSTOP)
    signal.pause()
"""
)


class EngineProcess:
    """An engine that runs one of the scripts above."""

    def __init__(self, uid: str, model: str, script: str) -> None:
        self.uid, self.model, self.script = uid, model, textwrap.dedent(script)
        self.port = 0
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", self.script, stdout=asyncio.subprocess.PIPE, env=dict(os.environ)
        )
        assert self.process.stdout
        self.port = int(await self.process.stdout.readline())

    async def read_figure(self) -> float:
        """Return the number that its script prints next."""
        assert self.process and self.process.stdout
        return float(await self.process.stdout.readline())

    def stop(self) -> None:
        """Send SIGSTOP: the kernel still accepts connections and bytes, and nothing reads them."""
        assert self.process
        send_signal(self.process, signal.SIGSTOP)

    @property
    def row(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": "a",
            "model": self.model,
            "pod_group": 0,
            "state": "SERVING",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def close(self) -> None:
        if self.process:
            send_signal(self.process, signal.SIGKILL)
            await self.process.wait()
