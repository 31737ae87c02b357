"""Which engines have left a release unanswered lately, for all releases of a process; no I/O."""

from collections.abc import Callable
from dataclasses import dataclass

from heathford.engines.pools import Address
from heathford.platform.release_schedule import MAX_ROUND_INTERVAL

SILENT_AFTER = MAX_ROUND_INTERVAL  # s without an answer after which others are asked in its place
REMEMBERED = 1.0  # s from the last release until one is sent again to see whether the engine answers
TIDIED_AT = 512  # engines remembered from which those are forgotten whose time is over


@dataclass
class Unanswered:
    """Releases that an engine has left unanswered: when the first and the last of them were sent, in s."""

    first_at: float
    last_at: float


class SilentEngines:
    """Guards against releases that each find out alone which engines are silent: where many states are held,
    they would ask all engines for each of them, and keep slow ones from catching up. A silent engine is asked
    by one release every now and then, whose answer counts for all.

    heard_at: when anything came from an address last, in s on the loop's clock, else -inf.
    """

    def __init__(self, heard_at: Callable[[Address], float]) -> None:
        self.heard_at = heard_at
        self.unanswered: dict[Address, Unanswered] = {}

    def __len__(self) -> int:
        return len(self.unanswered)

    def was_asked(self, address: Address, now: float) -> None:
        """A release is on its way."""
        if len(self.unanswered) >= TIDIED_AT:
            self.unanswered = {a: u for a, u in self.unanswered.items() if now - u.last_at < REMEMBERED}
        known = self.unanswered.get(address)
        if known is None or self.heard_at(address) >= known.first_at:
            self.unanswered[address] = Unanswered(now, now)
        else:
            known.last_at = now

    def has_answered(self, address: Address) -> None:
        """It was, whatever it said; or nothing was sent after all."""
        self.unanswered.pop(address, None)

    def is_silent(self, address: Address, now: float) -> bool:
        """Whether another engine is the better one to ask."""
        known = self.unanswered.get(address)
        if known is None or self.heard_at(address) >= known.first_at:
            return False
        return now - known.first_at >= SILENT_AFTER and now - known.last_at < REMEMBERED
