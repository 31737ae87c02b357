"""All clients' connections of one front node: how many there may be, and which make way."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from itertools import islice
from math import inf

import structlog

from heathford.core.core import Core
from heathford.core.accepted_request import AcceptedRequest
from heathford.platform.client_connection import ClientConnection
from heathford.platform.eviction import EvictionQueues
from heathford.platform.responses import whole
from heathford.wire.request_reader import ReadAheadBudget

FIRST = 2.0  # s for a connection's first byte: silent ones are owed a close within 3
IDLE = 30.0  # s that a connection is kept between requests: clients come back within seconds or not at all
WRITES = 2.45  # s from connecting for a first request that has begun; with a sweep and a hold-up under 3
EVICTION_LOOKS = 16  # connections looked at to make room: one with something unread is not idle, and is read
# in this turn of the loop
SWEEP = 0.25  # s between two looks at what idles: small beside FIRST
LINGER = 1.0  # s for which a connection that we have shut is still read: closed over unread bytes it would be
# reset, and what the client has not read yet would be lost
LINGER_AT_END = 0.3  # s of the same while the process ends: it may be killed 0.7 s after the longest deadline
STILL_ASKED = 0.6  # s after SIGTERM for which clients may still come

log = structlog.get_logger()


class ClientServer:
    """All clients' connections of one front. max_connections: in all."""

    def __init__(self, core: Core, workloads: Mapping[str, int], max_connections: int) -> None:
        self.core, self.workloads, self.max_connections = core, workloads, max_connections
        self.loop = asyncio.get_running_loop()
        self.connections: dict[ClientConnection, None] = {}
        self.idle = EvictionQueues[ClientConnection]()
        self.open: dict[str, AcceptedRequest] = {}  # completions that clients wait for, by the clients' names
        self.stopping = False
        self.refuses_from = inf  # s on the loop's clock from which new requests are refused
        self.refused: Counter[int] = Counter()  # by status: what was never taken
        self.evicted = 0  # connections closed to make room
        self.read_ahead = ReadAheadBudget()

    def accept(self) -> ClientConnection:
        return ClientConnection(self)

    def opened(self, connection: ClientConnection) -> None:
        if len(self.connections) >= self.max_connections and not self.make_room():
            self.evicted += 1
            connection.drop()  # unread: an answer would need the descriptor until its client has read it
        else:
            self.connections[connection] = None
            self.idle.place(connection)

    def changed(self, connection: ClientConnection) -> None:
        """What is open on a connection has changed."""
        if connection in self.connections:
            self.idle.place(connection)

    def closed(self, connection: ClientConnection) -> None:
        """A connection is gone."""
        self.connections.pop(connection, None)
        self.idle.remove(connection)

    def make_room(self) -> bool:
        """Evict one connection on which nothing is owed.

        Guards against clients that connect by the hundreds and say nothing. Could harm a client whose
        connection is closed as it asks; it asks again on a new one.
        """
        for connection in islice(self.idle.in_order(self.loop.time()), EVICTION_LOOKS):
            if connection.evict():
                self.evicted += 1
                return True
        return False

    def stop(self) -> None:
        """The process ends: connections close once they are answered, and what comes later than clients may
        still ask is refused."""
        self.stopping = True
        self.refuses_from = self.loop.time() + STILL_ASKED

    def sweep(self, now: float) -> None:
        """Close what idles."""
        self.with_each(lambda connection: self.sweep_one(connection, now))

    def with_each(self, call: Callable[[ClientConnection], object]) -> None:
        """Guards against a fault at one connection that costs the others: it costs that one."""
        for connection in list(self.connections):
            try:
                call(connection)
            except Exception as problem:
                log.error("connection not looked after", exc_info=problem)
                connection.drop()

    def sweep_one(self, connection: ClientConnection, now: float) -> None:
        idle = now - connection.since
        if connection.closing:
            linger = LINGER_AT_END if self.stopping else LINGER
            if idle >= (linger if connection.flushed else IDLE):
                connection.drop()
        elif connection.busy:
            return
        elif connection.reader.has_partial_request or not connection.served:
            if idle >= (WRITES if connection.reader.has_partial_request else FIRST) and not connection.unread:
                self.refused[408] += 1
                connection.answer(whole(408, "no whole request in time", True), False)
        elif idle >= IDLE:
            connection.finish_if_idle()

    def close_idle(self) -> None:
        """Shut all on which nothing is owed."""
        self.with_each(ClientConnection.finish_if_idle)
