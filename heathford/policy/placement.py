"""Consistent hashing of prompts to engines, so that all front nodes lead one text to the same engine."""

from bisect import bisect
from collections.abc import Callable, Sequence
from functools import lru_cache
from hashlib import blake2b

from heathford.policy.engine_state import Engine

POINTS_PER_ENGINE = 32  # on the ring: the shares of engines then differ by about a sixth
MAX_WALK = 32  # points walked to a usable engine: enough to pass a rack or two that are down

EngineFilter = Callable[[Engine], bool]


def hash_16(key: str) -> int:
    """Return a stable hash of a key, below 65,536."""
    return int.from_bytes(blake2b(key.encode(), digest_size=2).digest())


@lru_cache(maxsize=4096)
def ring_points(number: int) -> list[int]:
    """Return an engine's points on the ring, the same at all front nodes."""
    packed = blake2b(str(number).encode(), digest_size=2 * POINTS_PER_ENGINE).digest()
    return [int.from_bytes(packed[i : i + 2]) for i in range(0, 2 * POINTS_PER_ENGINE, 2)]


class Ring:
    """A hash ring of engines, built when the endpoint list changes: a pick costs one hash at any size."""

    def __init__(self, engines: Sequence[Engine]) -> None:
        places = sorted((point, e.number, e) for e in engines for point in ring_points(e.number))
        self.points, self.engines = [p for p, _, _ in places], 2 * [e for _, _, e in places]

    def pick(self, key: str, usable: EngineFilter) -> Engine | None:
        """Return the first usable engine from the key's point on."""
        start = bisect(self.points, hash_16(key))
        return next((e for e in dict.fromkeys(self.engines[start : start + MAX_WALK]) if usable(e)), None)
