"""Choose idle client connections to close when descriptors run out; no I/O.

Only connections without an open request are candidates; each says itself whether it is one.
"""

from collections.abc import Iterator
from enum import Enum
from typing import Generic, Protocol, TypeVar

SILENT_GRACE = 0.5  # s in which a new client normally starts; slower ones are evicted before kept-alive ones


class Idleness(Enum):
    """Why a connection has no open request, in the order of eviction."""

    HALF_CLOSED = "our side is shut, the client has not closed yet"
    SILENT = "connected, and has said nothing"
    ANSWERED = "answered, and kept for the next request"
    PARTIAL_REQUEST = "part of a request has come"


class Evictable(Protocol):
    """A connection as the queues see it.

    idle_since: when it got its present idleness, in seconds on the event loop's clock.
    """

    idle_since: float

    @property
    def idleness(self) -> Idleness | None:
        """None while a request is open on the connection."""


C = TypeVar("C", bound=Evictable)


class EvictionQueues(Generic[C]):
    """Idle connections by idleness, each queue in order of idle time, longest first.

    The queues avoid a scan of all connections for each new one: with hundreds of idle clients and thousands
    of new ones the scans took most of the processor time, and the event loop fell behind.
    """

    def __init__(self) -> None:
        self.queues: dict[Idleness, dict[C, None]] = {idleness: {} for idleness in Idleness}
        self.entries: dict[C, tuple[Idleness, float]] = {}

    def __len__(self) -> int:
        return len(self.entries)

    def update(self, connection: C) -> None:
        """Move the connection to the queue that fits its state, or out of all queues if it is busy."""
        idleness, previous = connection.idleness, self.entries.get(connection)
        if previous and previous == (idleness, connection.idle_since):
            return
        self.remove(connection)
        if idleness:
            self.entries[connection] = idleness, connection.idle_since
            self.queues[idleness][connection] = None

    def remove(self, connection: C) -> None:
        """Take out a connection that was closed or is no longer idle; unknown ones are ignored."""
        previous = self.entries.pop(connection, None)
        if previous:
            self.queues[previous[0]].pop(connection, None)

    def eviction_order(self, now: float) -> Iterator[C]:
        """Yield connections in the order in which they are to be evicted.

        First those that are half closed; then silent ones past SILENT_GRACE, kept-alive ones after an
        answer, those with part of a request, and last the silent ones that have only just connected.
        """
        queues = self.queues
        yield from queues[Idleness.HALF_CLOSED]
        for connection in queues[Idleness.SILENT]:
            if now - connection.idle_since < SILENT_GRACE:
                break
            yield connection
        yield from queues[Idleness.ANSWERED]
        yield from queues[Idleness.PARTIAL_REQUEST]
        yield from (c for c in queues[Idleness.SILENT] if now - c.idle_since < SILENT_GRACE)
