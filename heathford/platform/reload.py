"""Read the configuration again on SIGHUP, with retries until it is usable."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from heathford.platform.start import StartError, reread_configuration

MAX_READS = 30  # attempts for one SIGHUP
# s; with MAX_READS 3 s in all, within the 4 s after which a new discovery's list is binding.
READ_RETRY_INTERVAL = 0.1

log = structlog.get_logger()


class ConfigurationReload:
    """Reads a configuration, and retries for MAX_READS * READ_RETRY_INTERVAL while it can't be used.

    Without retries a reload would be lost when descriptors are short for a moment or the file is half
    written, and the discovery that is followed so far may end 1.5 s later. A retry may also read what a
    later writer has left in the file.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, path: Path, apply: Callable[[dict[str, Any]], None]
    ) -> None:
        self.loop, self.path, self.apply = loop, path, apply
        self.next_read: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Read now; a reload that is still being retried is given up."""
        if self.next_read:
            self.next_read.cancel()
        self.read(MAX_READS)

    def read(self, reads_left: int) -> None:
        """Apply the configuration, or schedule the next attempt."""
        self.next_read = None
        try:
            configuration = reread_configuration(self.path)
        except StartError as exc:
            self.failed(exc, reads_left - 1)
        else:
            self.apply(configuration)

    def failed(self, exc: StartError, reads_left: int) -> None:
        """Log the first and the last error, and schedule the next attempt if one is left."""
        if reads_left in (MAX_READS - 1, 0):
            log.error("configuration not taken", why=str(exc), reads_left=reads_left)
        if reads_left:
            self.next_read = self.loop.call_later(READ_RETRY_INTERVAL, self.read, reads_left)
