"""Pools of connections by address; no I/O of its own."""

from collections import deque
from math import inf
from typing import Generic, Protocol, TypeVar

Address = tuple[str, int]


class Closable(Protocol):
    """A connection, as far as the pools use it."""

    def closed(self) -> bool: ...

    def close(self) -> None: ...


C = TypeVar("C", bound=Closable)


class ConnectionPool(Generic[C]):
    """The connections to one address.

    idle: idle connections, each with the time when it became idle, the latest last. open: number of all.
    last_received_at: when bytes last came on one of them. Times are s on the loop's clock.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.idle: deque[tuple[C, float]] = deque()
        self.open = 0
        self.last_received_at = -inf


class ConnectionPools(Generic[C]):
    """Connection pools by address, with a limit on all connections together.

    max_idle_time: s after which an idle connection is not used again. reuse_delay: s for which an idle
    connection is not used yet, as the engine may still close it or repeat its response. max_connections: in
    all; a new one beyond them replaces the one idle for longest. reserved: how many of these are kept for
    urgent use.
    """

    def __init__(
        self, max_idle_time: float, max_connections: float, reuse_delay: float = 0.0, reserved: float = 0.0
    ) -> None:
        self.max_idle_time, self.max_connections, self.reuse_delay, self.reserved = (
            max_idle_time,
            max_connections,
            reuse_delay,
            reserved,
        )
        self.pools: dict[Address, ConnectionPool[C]] = {}
        self.open = 0

    def pool(self, address: str, port: int) -> ConnectionPool[C]:
        """Return the pool of an address.

        Call it again before each new connection, as a pool without connections is forgotten.
        """
        return self.pools.get((address, port)) or ConnectionPool((address, port))

    def take_idle(self, pool: ConnectionPool[C], now: float) -> C | None:
        """Return the connection used last, the least likely to be closed by the engine, or None."""
        too_recent = []
        found = None
        while pool.idle and not found:
            connection, since = pool.idle.pop()
            if now - since < self.reuse_delay:
                too_recent.append((connection, since))
            elif not connection.closed() and now - since < self.max_idle_time:
                found = connection
            else:
                connection.close()
        pool.idle.extend(reversed(too_recent))
        return found

    def reserve(self, pool: ConnectionPool[C], urgent: bool = False) -> bool:
        """Count a new connection; return False if there are too many and none of them is idle.

        Only an urgent one may be among the last `reserved` ones.
        Closes the connection that has been idle for longest where the limit is reached.
        """
        if self.open >= (self.max_connections if urgent else self.max_connections - self.reserved):
            oldest = min((p for p in self.pools.values() if p.idle), key=lambda p: p.idle[0][1], default=None)
            if oldest is None:
                return False
            oldest.idle.popleft()[0].close()
        self.pools[pool.address] = pool
        pool.open += 1
        self.open += 1
        return True

    def add_idle(self, pool: ConnectionPool[C], connection: C, now: float) -> None:
        pool.idle.append((connection, now))

    def addresses_by_last_received(self) -> list[Address]:
        """Return the addresses with a connection that has received bytes, the latest first."""
        heard = [pool for pool in self.pools.values() if pool.last_received_at > -inf]
        return [pool.address for pool in sorted(heard, key=lambda pool: -pool.last_received_at)]

    def remove(self, pool: ConnectionPool[C], connection: C | None) -> None:
        """Forget a connection; called once for each that `reserve` counted.

        An address without connections is forgotten, too: engines come and go under new addresses, and a map
        of all of them would grow for as long as the process runs.
        """
        pool.open -= 1
        self.open -= 1
        if connection is not None:
            pool.idle = deque((c, t) for c, t in pool.idle if c is not connection)
        if not pool.open and self.pools.get(pool.address) is pool:
            del self.pools[pool.address]

    def close_idle(self) -> None:
        for pool in list(self.pools.values()):
            for connection, _ in list(pool.idle):
                connection.close()

    def close_expired(self, now: float) -> None:
        """Close connections that have been idle for too long.

        Those to engines that vanished would stay open forever, and each takes a descriptor.
        """
        for pool in list(self.pools.values()):
            while pool.idle and now - pool.idle[0][1] >= self.max_idle_time:
                pool.idle.popleft()[0].close()
