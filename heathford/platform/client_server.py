"""The client connections of one front node: their limit, time-outs and eviction."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from itertools import islice
from math import inf

import structlog

from heathford.core.core import Core
from heathford.platform.client_connection import ClientConnection
from heathford.platform.eviction import EvictionQueues
from heathford.platform.parse_turns import ParseTurns
from heathford.platform.request_names import RequestNames
from heathford.wire.memory_budget import MemoryBudget

FIRST_BYTE_TIMEOUT = 2.0  # s from connecting: a silent connection has to be closed within 3 s
IDLE_TIMEOUT = 30.0  # s of keep-alive between requests: clients come back within seconds or not at all
# s for a whole request, from connecting or, on a kept connection, from its first byte. With a sweep interval
# and a stall of the loop it stays under 3 s.
REQUEST_READ_TIMEOUT = 2.45
# Connections tried for each eviction. One with unread data is not idle; it is read in this turn of the loop.
MAX_EVICTION_CHECKS = 16
SWEEP_INTERVAL = 0.25  # s between checks for idle connections: small beside FIRST_BYTE_TIMEOUT
# s for which a half-closed connection is still read: closed with unread bytes it would be reset, and the
# client would lose what it has not read yet.
LINGER = 1.0
LINGER_AT_SHUTDOWN = 0.3  # s, shorter: the process may be killed 0.7 s after the longest deadline
SHUTDOWN_ACCEPT_PERIOD = 0.6  # s after SIGTERM for which new requests are still accepted

log = structlog.get_logger()


class ClientServer:
    """Accepts client connections and closes idle ones; at most max_connections are open.

    memory: for requests and answers of all connections.
    """

    def __init__(
        self, core: Core, workloads: Mapping[str, int], max_connections: int, memory: MemoryBudget
    ) -> None:
        self.core, self.workloads, self.max_connections = core, workloads, max_connections
        self.loop = asyncio.get_running_loop()
        self.connections: dict[ClientConnection, None] = {}
        self.eviction_queues = EvictionQueues[ClientConnection]()
        self.request_names = RequestNames(memory)
        self.stopping = False
        self.refuse_from = inf  # on the event loop's clock: new requests are refused from then on
        self.refused: Counter[int] = Counter()  # requests that the core never saw, by response status
        self.evicted = 0  # connections closed to free descriptors
        self.memory = memory
        self.parse_turns = ParseTurns(self.loop)

    def accept(self) -> ClientConnection:
        """Create the protocol object of a new connection."""
        return ClientConnection(self)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Register the connection; at the limit evict an idle one, or else drop the new one."""
        if len(self.connections) >= self.max_connections and not self.evict_one():
            self.evicted += 1
            connection.drop()  # without an answer, which would hold the descriptor until the client reads it
        else:
            self.connections[connection] = None
            self.eviction_queues.update(connection)

    def connection_changed(self, connection: ClientConnection) -> None:
        """Note that a request on the connection was opened or ended."""
        if connection in self.connections:
            self.eviction_queues.update(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Unregister the connection."""
        self.connections.pop(connection, None)
        self.eviction_queues.remove(connection)

    def evict_one(self) -> bool:
        """Close one connection on which no answer is owed; return whether there was one.

        Clients may open hundreds of connections and send nothing. A client whose connection is closed just
        as it sends a request has to send it again on a new one.
        """
        for connection in islice(self.eviction_queues.eviction_order(self.loop.time()), MAX_EVICTION_CHECKS):
            if connection.evict():
                self.evicted += 1
                return True
        return False

    def stop(self) -> None:
        """Begin to shut down: connections close once answered, and late requests are refused.

        Requests are still accepted for SHUTDOWN_ACCEPT_PERIOD.
        """
        self.stopping = True
        self.refuse_from = self.loop.time() + SHUTDOWN_ACCEPT_PERIOD

    def sweep(self, now: float) -> None:
        """Apply the time-outs to all connections. now: s on the event loop's clock."""
        self.for_each_connection(lambda connection: self.sweep_connection(connection, now))

    def for_each_connection(self, call: Callable[[ClientConnection], object]) -> None:
        """Call this for each connection; one for which it raises is dropped, the others are unaffected."""
        for connection in list(self.connections):
            try:
                call(connection)
            except Exception as exc:
                log.error("client connection check failed", exc_info=exc)
                connection.drop()

    def sweep_connection(self, connection: ClientConnection, now: float) -> None:
        """Close the connection, or answer it with status 408, if its time-out has passed."""
        idle_time = now - connection.idle_since
        if connection.closing:
            linger = LINGER_AT_SHUTDOWN if self.stopping else LINGER
            if idle_time >= (linger if connection.flushed else IDLE_TIMEOUT):
                connection.drop()
        elif connection.busy:
            return
        elif connection.reader.has_partial_request:
            if idle_time >= REQUEST_READ_TIMEOUT:
                connection.check_overdue()
        elif not connection.answered_count:
            if idle_time >= FIRST_BYTE_TIMEOUT and not connection.has_unread:
                connection.time_out()
        elif idle_time >= IDLE_TIMEOUT:
            connection.half_close_if_idle()

    def close_idle(self) -> None:
        """Half-close all connections on which no answer is owed."""
        self.for_each_connection(ClientConnection.half_close_if_idle)
