"""Queue signals that arrive while the program is loaded, instead of being ended by them."""

import signal
from types import FrameType

QUEUED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1)


class PendingSignals:
    """Records the signals received since `install`, in order."""

    def __init__(self) -> None:
        self.received: list[signal.Signals] = []

    def install(self) -> None:
        """Replace the default actions, which end the process, until an event loop installs its handlers."""
        for number in QUEUED_SIGNALS:
            signal.signal(number, self.queue)

    def queue(self, number: int, frame: FrameType | None) -> None:
        """Record the signal; the handler that `install` sets."""
        self.received.append(signal.Signals(number))


EARLY_SIGNALS = PendingSignals()
