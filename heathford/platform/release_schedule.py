"""When and whom to ask to release a state that no engine has confirmed as released; no I/O."""

from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b

from heathford.core.protocols import Endpoint
from heathford.engines.pools import Address
from heathford.interface import Role

ASKED_MOST = 16  # engines, besides those that refuse: two silent roles of a zone, and some beyond them
REFUSED_MOST = 8  # refusals that count as none asked: every second one lies in another zone, some cut off
MAX_ROUND_INTERVAL = (
    0.05  # s at most until others are asked too: many round trips, and three fit in the margin
)
SPACINGS = 6  # within the limit
LEAST_ASKED = 2  # engines, also where all are taken for silent
HOLDER_AT_ONCE = 2  # calls to the holder that may be out: its kept connection may be silent, a new one not


class ReleaseSchedule:
    """Asks one engine, then another, then two, four and so on, while the earlier ones may still answer.

    Silent ones cost little time, and where most are silent the few others are found. Could harm by calls to
    engines that are down, ASKED_MOST at most for each state.

    now: s on the loop's clock; limit: s for which engines are asked and listened to.
    """

    def __init__(self, now: float, limit: float) -> None:
        self.spacing = min(MAX_ROUND_INTERVAL, limit / SPACINGS)
        self.over_at = now + limit
        self.next_at = now
        self.asked = self.refused = 0

    def next_in(self, now: float) -> float | None:
        """s until another engine is asked; None when no other one is."""
        if self.asked >= ASKED_MOST or now >= self.over_at:
            return None
        return max(0.0, self.next_at - now)

    @property
    def batch(self) -> int:
        """How many engines to ask now."""
        return max(1, min(self.asked, ASKED_MOST - self.asked))

    def was_asked(self, now: float) -> None:
        """An engine is being asked. Times are kept from the first on: each late turn of a busy machine would
        put off all that follow, and the last engines be asked past the limit."""
        self.asked += 1
        if now >= self.next_at:
            self.next_at = max(self.next_at + self.spacing, now + self.spacing / 2)

    def nobody_is_left(self, now: float) -> None:
        """All others are silent: an answer may still come, or one of them be heard again."""
        self.next_at = now + self.spacing

    def was_refused(self, now: float) -> None:
        """An engine could not be asked, as where nobody listens any more: another may be asked now. Guards
        against the engines of a lost zone, met in a row."""
        if self.refused < REFUSED_MOST:
            self.refused += 1
            self.asked -= 1
            self.next_at = now


def next_to_ask(
    name: str,
    asked: Sequence[Endpoint],
    kept: Iterable[Address],
    near: Sequence[Endpoint],
    far: Sequence[Endpoint],
    is_silent: Callable[[Address], bool] = lambda address: False,
) -> Endpoint | None:
    """For a platform where any engine releases what another holds: one not asked yet and not silent, else
    the first that was asked, if any was. kept: addresses that we have a connection to, the one that was heard
    last first, as it most likely runs; near, far: engines listed, by zone.

    Guards against a holder that is cut off or silent at a front that has no other connection: asked again
    and again, it kept the state. Near ones and far ones in turn, as either zone may be the one that is lost,
    and each front and completion begins elsewhere, as then all release at once. Could harm by a new
    connection at an engine that has nothing to do with it."""
    known = {(e.address, e.port) for e in asked}

    def may_be_asked(address: Address) -> bool:
        return address not in known and not is_silent(address)

    for address, port in kept:
        if may_be_asked((address, port)):
            return Endpoint(0, "", Role.COMBINED, address, port)
    start = int.from_bytes(blake2b(name.encode(), digest_size=4).digest())
    for zone in (near, far) if len(asked) % 2 else (far, near):
        rest = [e for e in zone if may_be_asked((e.address, e.port))]
        if rest:
            return rest[start % len(rest)]
    return asked[0] if asked else None
