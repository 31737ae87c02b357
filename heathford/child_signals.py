"""Send signals to child processes without taking their exit status from asyncio."""

import asyncio
import os
import signal
from contextlib import suppress


def send_signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    """Send a signal to a child process, if it is still running.

    Process.send_signal first polls whether the child has ended, and so may take its exit status away from
    asyncio's child watcher, which then reports 255.
    """
    if process.returncode is None:
        with suppress(ProcessLookupError):
            os.kill(process.pid, number)
