"""Which client connections make way for new ones: those on which nothing is owed, in order; no I/O."""

from collections.abc import Iterator
from enum import Enum
from typing import Generic, Protocol, TypeVar

SPEAKS_WITHIN = 0.5  # s within which a client that connects begins to ask; one that does not goes early


class Idleness(Enum):
    """Why a connection has nothing open, in the order in which they make way."""

    SHUT = "our side is shut, the client has not closed yet"
    SILENT = "connected, and has said nothing"
    ANSWERED = "answered, and kept for the next request"
    ASKING = "part of a request has come"


class Placed(Protocol):
    """A connection as the queues see it. since: s on the loop's clock at which it became as it is."""

    since: float

    @property
    def idleness(self) -> Idleness | None:
        """None: a request is open on it."""


C = TypeVar("C", bound=Placed)


class EvictionQueues(Generic[C]):
    """Connections by idleness, the one that has been so for longest first.

    Guards against a look at every connection for each new one: with hundreds of idle clients and thousands of
    new ones that took most of the processor, and the loop fell behind.
    """

    def __init__(self) -> None:
        self.queues: dict[Idleness, dict[C, None]] = {idleness: {} for idleness in Idleness}
        self.places: dict[C, tuple[Idleness, float]] = {}

    def __len__(self) -> int:
        return len(self.places)

    def place(self, connection: C) -> None:
        """Something has happened on the connection."""
        idleness, before = connection.idleness, self.places.get(connection)
        if before and before == (idleness, connection.since):
            return
        self.remove(connection)
        if idleness:
            self.places[connection] = idleness, connection.since
            self.queues[idleness][connection] = None

    def remove(self, connection: C) -> None:
        """The connection is closed, or no longer idle."""
        before = self.places.pop(connection, None)
        if before:
            self.queues[before[0]].pop(connection, None)

    def in_order(self, now: float) -> Iterator[C]:
        """Who makes way first: whose connection we have shut; who has said nothing for longer than a client
        that wants something does; who was answered and stays; who is slow to ask; who has just come."""
        queues = self.queues
        yield from queues[Idleness.SHUT]
        for connection in queues[Idleness.SILENT]:
            if now - connection.since < SPEAKS_WITHIN:
                break
            yield connection
        yield from queues[Idleness.ANSWERED]
        yield from queues[Idleness.ASKING]
        yield from (c for c in queues[Idleness.SILENT] if now - c.since < SPEAKS_WITHIN)
