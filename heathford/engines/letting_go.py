"""How often, how patiently and by whom a state is let go that an engine does not confirm; no I/O."""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

from heathford.core.doors import Endpoint

TRIES = 4  # within the limit: one lost connection, one slow answer, and one more
REFUSED = 8  # refusals that take no try: every second one asked lies in another zone, some of them cut off
GONE = frozenset({200, 202, 204, 404, 410})  # statuses after which nothing is held: 404 is a state long gone


class LettingGo:
    """Tries spread over the limit within which a state may be pinned, so that one lost message or one reset
    does not keep it there. Could harm by calls to an engine that is down, four at most for each state."""

    def __init__(self, now: float, limit: float) -> None:
        self.begun, self.limit, self.tries, self.refusals = now, limit, 0, 0

    def next_try(self, now: float) -> float | None:
        """s until the next try; None when there is none left."""
        if self.tries >= TRIES or now >= self.begun + self.limit:
            return None
        at = self.begun + self.tries * self.limit / TRIES
        self.tries += 1
        return max(0.0, at - now)

    def patience(self, now: float) -> float:
        """s that this try may take: until the next is due."""
        return max(self.begun + self.tries * self.limit / TRIES - now, self.limit / TRIES / 2)

    def refused(self) -> None:
        """The last try ended before its time, as where nobody listens any more. It has cost nothing: it does
        not count, and another may be asked now. Guards against the engines of a lost zone, met in a row."""
        if self.refusals < REFUSED:
            self.refusals += 1
            self.tries -= 1

    def is_over(self, status: int) -> bool:
        return status in GONE


def next_to_ask(
    name: str, asked: Sequence[Endpoint], kept: Iterable[tuple[str, int]], near: Sequence[Endpoint],
    far: Sequence[Endpoint],
) -> Endpoint:
    """For a platform where any engine lets go of what another holds: one not asked yet. kept: addresses that
    we have an idle connection to, the one that answered last first; near, far: engines listed, by zone.

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
