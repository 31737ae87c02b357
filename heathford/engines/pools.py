"""Kept connections by the address they lead to; no I/O of its own."""

from collections import deque
from math import inf
from typing import Generic, Protocol, TypeVar

Address = tuple[str, int]


class Closable(Protocol):
    def closed(self) -> bool: ...

    def close(self) -> None: ...


C = TypeVar("C", bound=Closable)


class ConnectionPool(Generic[C]):
    """Connections to one address: those idle, newest last, with when they became so; a count of all."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.idle: deque[tuple[C, float]] = deque()
        self.open = 0
        self.last_received_at = -inf  # when anything came on one of them last; s on the loop's clock


class ConnectionPools(Generic[C]):
    """idle_life: s for which an idle connection is used again; settled: s for which it is not, yet; most:
    connections in all, by which room is made for a new one; urgent: how many of these are kept back."""

    def __init__(
        self, max_idle_time: float, max_connections: float, reuse_delay: float = 0.0, urgent: float = 0.0
    ) -> None:
        self.max_idle_time, self.max_connections, self.reuse_delay, self.reserved = (
            max_idle_time,
            max_connections,
            reuse_delay,
            urgent,
        )
        self.pools: dict[Address, ConnectionPool[C]] = {}
        self.open = 0

    def pool(self, address: str, port: int) -> ConnectionPool[C]:
        """To be asked for anew before each opening: one without connections is not kept."""
        return self.pools.get((address, port)) or ConnectionPool((address, port))

    def take_idle(self, pool: ConnectionPool[C], now: float) -> C | None:
        """The one used last, which is the least likely to be closed from the other side."""
        fresh = []
        found = None
        while pool.idle and not found:
            connection, since = pool.idle.pop()
            if now - since < self.reuse_delay:
                fresh.append((connection, since))
            elif not connection.closed() and now - since < self.max_idle_time:
                found = connection
            else:
                connection.close()
        pool.idle.extend(reversed(fresh))
        return found

    def reserve(self, pool: ConnectionPool[C], urgent: bool = False) -> bool:
        """Counts a new connection, if there is room for one or an idle one can make way."""
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
        """Of those with a connection on which anything has come, the one that was heard last first."""
        heard = [pool for pool in self.pools.values() if pool.last_received_at > -inf]
        return [pool.address for pool in sorted(heard, key=lambda pool: -pool.last_received_at)]

    def remove(self, pool: ConnectionPool[C], connection: C | None) -> None:
        """Called once for each that was opened. Nothing is left of an address without connections: engines
        come and go under new ones, and a map of all that ever were would grow for as long as a front runs."""
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
        """Closes what idles too long. Guards against connections to engines that vanished: they stay open
        for good, and each takes a descriptor."""
        for pool in list(self.pools.values()):
            while pool.idle and now - pool.idle[0][1] >= self.max_idle_time:
                pool.idle.popleft()[0].close()
