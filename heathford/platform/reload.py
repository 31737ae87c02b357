"""Reading the configuration again, as SIGHUP asks for, until it can be used."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from heathford.platform.start import StartError, reread_configuration

READS = 30  # for one SIGHUP, at most
READ_AGAIN = 0.1  # s between two of them: 3 s in all, within the 4 s until a new discovery's list counts

log = structlog.get_logger()


class ConfigurationReload:
    """Reads a configuration at once, and again for READS * READ_AGAIN s while it can't be used.

    Guards against a SIGHUP that is lost where a descriptor is missing for a moment or the file is half
    written: the discovery that is followed may end 1.5 s later. Could harm by taking what a later writer has
    left there.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, path: Path, take: Callable[[dict[str, Any]], None]
    ) -> None:
        self.loop, self.path, self.take = loop, path, take
        self.next_read: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """A further SIGHUP begins anew."""
        if self.next_read:
            self.next_read.cancel()
        self.read(READS)

    def read(self, reads_left: int) -> None:
        self.next_read = None
        try:
            found = reread_configuration(self.path)
        except StartError as problem:
            self.failed(problem, reads_left - 1)
        else:
            self.take(found)

    def failed(self, problem: StartError, reads_left: int) -> None:
        """The first problem and the last are told."""
        if reads_left in (READS - 1, 0):
            log.error("configuration not taken", why=str(problem), reads_left=reads_left)
        if reads_left:
            self.next_read = self.loop.call_later(READ_AGAIN, self.read, reads_left)
