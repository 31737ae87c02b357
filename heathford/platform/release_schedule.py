"""Decides when and which engines are asked to release a state until one confirms it; no I/O."""

from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b

from heathford.core.protocols import Endpoint
from heathford.engines.pools import Address
from heathford.interface import Role

MAX_ENGINES_ASKED = 16  # without those that refuse: the engines of two silent roles of a zone, and some more
MAX_REFUSALS = 8  # that do not count as asked: every second engine is in another zone, and some are cut off
MAX_ROUND_INTERVAL = 0.05  # s between two rounds: many round-trip times, and three rounds fit in the margin
ROUND_INTERVALS_PER_LIMIT = 6  # at least this many intervals fit within the limit
MIN_ENGINES_ASKED = 2  # even if all engines count as silent
MAX_CALLS_TO_FIRST_ASKED = 2  # in flight: its pooled connection may be silent while a new one is not


class ReleaseSchedule:
    """Asks one engine, then another one, then two, four and so on, while earlier ones may still answer.

    Silent engines cost little time this way, and where most are silent the few others are found. The cost is
    calls to engines that are down: MAX_ENGINES_ASKED at most for each state.

    now: s on the loop's clock; limit: s for which engines are asked and their answers awaited.
    """

    def __init__(self, now: float, limit: float) -> None:
        self.round_interval = min(MAX_ROUND_INTERVAL, limit / ROUND_INTERVALS_PER_LIMIT)
        self.ends_at = now + limit
        self.next_round_at = now
        self.asked = self.refused = 0

    def next_round_in(self, now: float) -> float | None:
        """Return the s until further engines are asked, or None when none will be."""
        if self.asked >= MAX_ENGINES_ASKED or now >= self.ends_at:
            return None
        return max(0.0, self.next_round_at - now)

    @property
    def batch_size(self) -> int:
        """How many engines to ask now."""
        return max(1, min(self.asked, MAX_ENGINES_ASKED - self.asked))

    def record_request(self, now: float) -> None:
        """Record that an engine is being asked.

        Round times count from the first round. If they counted from the actual time of the previous one, each
        late loop iteration on a busy machine would delay all later rounds, and the last engines would be
        asked after the limit.
        """
        self.asked += 1
        if now >= self.next_round_at:
            self.next_round_at = max(self.next_round_at + self.round_interval, now + self.round_interval / 2)

    def no_engine_available(self, now: float) -> None:
        """Wait one interval, as all other engines are silent.

        An answer may still arrive, or one of them may send something meanwhile.
        """
        self.next_round_at = now + self.round_interval

    def record_refusal(self, now: float) -> None:
        """Record that an engine's first call ended unconfirmed before its time-out; see `StateRelease`.

        For instance nothing listens there any more.

        Another engine may be asked at once. Otherwise the engines of a lost zone, tried one after the other,
        would use up the limit.
        """
        if self.refused < MAX_REFUSALS:
            self.refused += 1
            self.asked -= 1
            self.next_round_at = now


def next_to_ask(
    name: str,
    asked: Sequence[Endpoint],
    connected: Iterable[Address],
    same_zone: Sequence[Endpoint],
    other_zones: Sequence[Endpoint],
    is_silent: Callable[[Address], bool] = lambda address: False,
) -> Endpoint | None:
    """Return an engine that is not silent and was not asked yet, else the first that was asked, if any.

    Valid on a platform where any engine releases what another one holds.

    connected: addresses that this process has a connection to, the one that last sent something first, as it
    most likely runs; same_zone, other_zones: the listed engines.

    Without this, a front node with no other connection would ask a cut-off or silent holder again and again,
    and the state would stay held. Engines of the own zone and of others take turns, as either zone may be the
    one that is lost. Each front node and each request starts at another engine, as all of them release at
    once when a zone is lost. The cost may be a new connection to an engine that has nothing to do with the
    request.
    """
    known = {(e.address, e.port) for e in asked}

    def may_be_asked(address: Address) -> bool:
        return address not in known and not is_silent(address)

    for address, port in connected:
        if may_be_asked((address, port)):
            return Endpoint(0, "", Role.COMBINED, address, port)
    start = int.from_bytes(blake2b(name.encode(), digest_size=4).digest())
    for zone in (same_zone, other_zones) if len(asked) % 2 else (other_zones, same_zone):
        candidates = [e for e in zone if may_be_asked((e.address, e.port))]
        if candidates:
            return candidates[start % len(candidates)]
    return asked[0] if asked else None
