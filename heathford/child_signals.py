"""Signals to child processes that leave their exit status to asyncio."""

import asyncio
import os
import signal
from contextlib import suppress


def send_signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    """Send a signal to a child, if it still runs.

    Process.send_signal looks first whether the child has ended, and so takes the status of one that has from
    asyncio's watcher, which then reports 255.
    """
    if process.returncode is None:
        with suppress(ProcessLookupError):
            os.kill(process.pid, number)
