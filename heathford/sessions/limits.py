"""Limits of sessions, the queue of requests within one session, and the closing schedule. Does no I/O."""

import heapq
import random
from collections.abc import Hashable, Sequence
from typing import Any, Generic, TypeVar

RETRY_AFTER = 0.5  # s until a rate-limited client may repeat: the time of a few answers
MIN_TIME_LEFT = 0.2  # s before its deadline at which a waiting request is shed: it can't be answered in time


class SessionCapacity:
    """The number of sessions of a front node, and the bytes of requests that they hold unanswered.

    max_held_bytes: beyond this, requests are rate-limited. max_read_ahead: a session that holds this many
    bytes is not read from until it holds less; TCP flow control then keeps its client from sending more.
    """

    def __init__(self, max_held_bytes: int, max_sessions: int, max_read_ahead: int) -> None:
        self.max_held_bytes, self.max_sessions, self.max_read_ahead = (
            max_held_bytes,
            max_sessions,
            max_read_ahead,
        )
        self.held_bytes = self.sessions = 0

    def has_room_for(self, size: int) -> bool:
        """Return whether a request of so many bytes can be held."""
        return self.held_bytes + size <= self.max_held_bytes

    def may_read(self, held: int) -> bool:
        """Return whether a session that holds so many bytes is read from."""
        return held < self.max_read_ahead

    @property
    def full(self) -> bool:
        """Whether no further session may be opened."""
        return self.sessions >= self.max_sessions


Item = TypeVar("Item")


class WaitingRequests(Generic[Item]):
    """Requests of one session that wait for an active one to end, earliest deadline first."""

    def __init__(self, max_waiting: int) -> None:
        self.max_waiting = max_waiting
        self.heap: list[tuple[float, int, Item]] = []
        self.count = 0

    def add(self, deadline: float, item: Item) -> bool:
        """Add a request; return False if the queue is full."""
        if len(self.heap) >= self.max_waiting:
            return False
        self.count += 1
        heapq.heappush(self.heap, (deadline, self.count, item))
        return True

    def pop_next(self) -> Item | None:
        """Remove and return the request with the earliest deadline, if any."""
        return heapq.heappop(self.heap)[2] if self.heap else None

    def pop_expired(self, now: float) -> list[Item]:
        """Remove and return the requests that can't be answered in time any more."""
        expired = []
        while self.heap and self.heap[0][0] - MIN_TIME_LEFT <= now:
            expired.append(heapq.heappop(self.heap)[2])
        return expired

    def remove(self, item: Item) -> bool:
        """Remove a request; return whether it was in the queue."""
        rest = [entry for entry in self.heap if entry[2] is not item]
        removed = len(rest) < len(self.heap)
        self.heap = rest
        heapq.heapify(self.heap)
        return removed

    @property
    def next_expiry(self) -> float | None:
        """The time at which the next request expires, if any waits."""
        return self.heap[0][0] - MIN_TIME_LEFT if self.heap else None


Key = TypeVar("Key", bound=Hashable)


def closing_delays(sessions: Sequence[Key], window: float, seed: int) -> dict[Key, float]:
    """Return the delay in s after which each session of a stopping front node is closed.

    The delays are spread evenly over the window in random order, so that the clients don't all connect to
    other front nodes at once.
    """
    order = list(sessions)
    random.Random(seed).shuffle(order)
    return {session: window * index / len(order) for index, session in enumerate(order)}


def is_request_id(value: Any) -> bool:
    """Return whether a JSON-RPC id can identify a request: a string or a number."""
    return isinstance(value, str | int | float) and not isinstance(value, bool)
