"""Signals that come before the program can act on them: kept until it can, instead of ending it."""

import signal
from types import FrameType

HELD = (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1)


class PendingSignals:
    """What has come since `hold`; nothing else is done about it."""

    def __init__(self) -> None:
        self.received: list[signal.Signals] = []

    def install(self) -> None:
        """Guards against a SIGHUP while modules are loaded, whose default ends a process. An event loop's own
        handlers take the place of these."""
        for number in HELD:
            signal.signal(number, self.keep)

    def keep(self, number: int, frame: FrameType | None) -> None:
        self.received.append(signal.Signals(number))


EARLY_SIGNALS = PendingSignals()
