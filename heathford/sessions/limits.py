"""What sessions may hold, what waits in one, and in what order; no I/O."""

import heapq
import random
from collections.abc import Hashable, Sequence
from typing import Any, Generic, TypeVar

RETRY_AFTER = 0.5  # s that a client stays away whom the session layer has no room for: a few answers' time
LAST_CALL = 0.2  # s before its client timeout at which what waits in a session is given up: it can't be met


class SessionCapacity:
    """What the front's sessions hold together: bytes of what was taken and is not answered, and sessions.

    Past `most_held` the front answers rate-limited. One session that holds `read_ahead` is not read from
    until it holds less: TCP then keeps its client from sending more.
    """

    def __init__(self, most_held: int, most_sessions: int, read_ahead: int) -> None:
        self.most_held, self.most_sessions, self.read_ahead = most_held, most_sessions, read_ahead
        self.held_bytes = self.sessions = 0

    def fits(self, size: int) -> bool:
        return self.held_bytes + size <= self.most_held

    def reads(self, held: int) -> bool:
        """Whether a session that holds so many bytes is read from."""
        return held < self.read_ahead

    @property
    def full(self) -> bool:
        return self.sessions >= self.most_sessions


Item = TypeVar("Item")


class Waiting(Generic[Item]):
    """What waits in one session for another of its completions to end: who must be answered first goes
    first."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.heap: list[tuple[float, int, Item]] = []
        self.count = 0

    def add(self, due: float, item: Item) -> bool:
        """False where there is no room."""
        if len(self.heap) >= self.most:
            return False
        self.count += 1
        heapq.heappush(self.heap, (due, self.count, item))
        return True

    def next(self) -> Item | None:
        return heapq.heappop(self.heap)[2] if self.heap else None

    def late(self, now: float) -> list[Item]:
        """Takes out those that can't be met any more."""
        found = []
        while self.heap and self.heap[0][0] - LAST_CALL <= now:
            found.append(heapq.heappop(self.heap)[2])
        return found

    def take_out(self, item: Item) -> bool:
        rest = [entry for entry in self.heap if entry[2] is not item]
        found = len(rest) < len(self.heap)
        self.heap = rest
        heapq.heapify(self.heap)
        return found

    @property
    def due(self) -> float | None:
        return self.heap[0][0] - LAST_CALL if self.heap else None


Key = TypeVar("Key", bound=Hashable)


def farewell(sessions: Sequence[Key], window: float, seed: int) -> dict[Key, float]:
    """s after which each session of a stopping front is closed, in an order by chance, evenly over the
    window: so their clients don't all arrive elsewhere together."""
    order = list(sessions)
    random.Random(seed).shuffle(order)
    return {session: window * place / len(order) for place, session in enumerate(order)}


def known(value: Any) -> bool:
    """Whether a JSON-RPC id can be told from others: a text or a number."""
    return isinstance(value, str | int | float) and not isinstance(value, bool)
