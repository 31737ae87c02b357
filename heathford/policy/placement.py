"""Where prompts are hashed to, so that one engine keeps a text at all instances alike."""

from bisect import bisect
from collections.abc import Callable, Sequence
from functools import lru_cache
from hashlib import blake2b

from heathford.policy.engine_state import Engine

POINTS = 32  # of an engine on the ring that prompts are hashed to: shares of readers differ by a sixth or so
WALK = 32  # points walked to a usable engine: a rack or two away, and it is found

Test = Callable[[Engine], bool]


def hashed(key: str) -> int:  # of 65,536
    return int.from_bytes(blake2b(key.encode(), digest_size=2).digest())


@lru_cache(maxsize=4096)
def points_of(number: int) -> list[int]:  # of an engine on the ring, the same at all instances
    drawn = blake2b(str(number).encode(), digest_size=2 * POINTS).digest()
    return [int.from_bytes(drawn[i : i + 2]) for i in range(0, 2 * POINTS, 2)]


class Ring:
    """Engines by hash; laid out when the list changes, so that a draw costs one hash at any size."""

    def __init__(self, engines: Sequence[Engine]) -> None:
        places = sorted((point, e.number, e) for e in engines for point in points_of(e.number))
        self.points, self.engines = [p for p, _, _ in places], 2 * [e for _, _, e in places]

    def draw(self, key: str, usable: Test) -> Engine | None:
        """The first usable engine from the key's place on."""
        start = bisect(self.points, hashed(key))
        return next((e for e in dict.fromkeys(self.engines[start : start + WALK]) if usable(e)), None)
