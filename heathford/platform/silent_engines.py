"""Which engines have left a release unanswered lately, for all releases of a process; no I/O."""

from collections.abc import Callable

from heathford.engines.pools import Address
from heathford.platform.release_schedule import SPACING

SILENT_AFTER = SPACING  # s without an answer after which others are asked in its place
REMEMBERED = 1.0  # s from a release until its engine is asked anew, as one that may answer
TIDIED_AT = 512  # engines remembered from which those are forgotten whose time is over


class SilentEngines:
    """Guards against releases that each find out alone which engines are silent: where many states are held,
    they would ask all engines for each of them, and keep slow ones from catching up.

    heard_at: when anything came from an address last, in s on the loop's clock, else -inf.
    """

    def __init__(self, heard_at: Callable[[Address], float]) -> None:
        self.heard_at = heard_at
        self.asked_at: dict[Address, float] = {}  # the first release that is unanswered yet

    def __len__(self) -> int:
        return len(self.asked_at)

    def was_asked(self, address: Address, now: float) -> None:
        """A release is on its way."""
        if len(self.asked_at) >= TIDIED_AT:
            self.asked_at = {a: at for a, at in self.asked_at.items() if now - at < REMEMBERED}
        if now - self.asked_at.get(address, now) >= REMEMBERED:
            del self.asked_at[address]
        self.asked_at.setdefault(address, now)

    def has_answered(self, address: Address) -> None:
        """It was, whatever it said; or nothing was sent after all."""
        self.asked_at.pop(address, None)

    def is_silent(self, address: Address, now: float) -> bool:
        """Whether another engine is the better one to ask."""
        asked_at = self.asked_at.get(address)
        if asked_at is None or self.heard_at(address) >= asked_at:
            return False
        return SILENT_AFTER <= now - asked_at < REMEMBERED
