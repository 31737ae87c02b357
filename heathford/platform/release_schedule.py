"""When and whom to ask to release a state that no engine has confirmed as released; no I/O."""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

from heathford.core.doors import Endpoint

ASKED_MOST = 16  # engines, besides those that refuse: two silent roles of a zone, and some beyond them
REFUSED_MOST = 8  # refusals that count as none asked: every second one lies in another zone, some cut off
SPACING = 0.05  # s at most until others are asked too: many round trips, and three fit in the margin
SPACINGS = 6  # within the limit


class ReleaseSchedule:
    """Asks one engine, then another, then two, four and so on, while the earlier ones may still answer.

    Silent ones cost little time, and where most are silent the few others are found. Could harm by calls to
    engines that are down, ASKED_MOST at most for each state.

    now: s on the loop's clock; limit: s for which engines are asked and listened to.
    """

    def __init__(self, now: float, limit: float) -> None:
        self.spacing = min(SPACING, limit / SPACINGS)
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
        """An engine is being asked."""
        self.asked += 1
        self.next_at = now + self.spacing

    def was_refused(self, now: float) -> None:
        """An engine could not be asked, as where nobody listens any more: another may be asked now. Guards
        against the engines of a lost zone, met in a row."""
        if self.refused < REFUSED_MOST:
            self.refused += 1
            self.asked -= 1
            self.next_at = now


def next_to_ask(
    name: str, asked: Sequence[Endpoint], kept: Iterable[tuple[str, int]], near: Sequence[Endpoint],
    far: Sequence[Endpoint],
) -> Endpoint:
    """For a platform where any engine lets go of what another holds: one not asked yet, else the holder.
    kept: addresses that we have a connection to, the one that was heard last first, as it most likely runs;
    near, far: engines listed, by zone.

    Guards against a holder that is cut off or silent at a front that has no other connection: asked again
    and again, it kept the state. Near ones and far ones in turn, as either zone may be the one that is lost,
    and each front and completion begins elsewhere, as then all let go at once. Could harm by a new connection
    at an engine that has nothing to do with it."""
    known = {(e.address, e.port) for e in asked}
    for address, port in kept:
        if (address, port) not in known:
            return Endpoint(0, "", asked[0].role, address, port)
    start = int.from_bytes(blake2b(name.encode(), digest_size=4).digest())
    for zone in (near, far) if len(asked) % 2 else (far, near):
        rest = [e for e in zone if (e.address, e.port) not in known]
        if rest:
            return rest[start % len(rest)]
    return asked[0]
