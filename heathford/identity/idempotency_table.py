"""Recognize repeated requests by tenant and idempotency key; no I/O.

A repeat of a request in progress joins it. A repeat of a request that has ended gets the same final answer,
for a limited time. The same key with another body is an error of the client. The number of requests is
limited too: where the table is full, ended requests are removed, those that may run again first.
"""

from enum import Enum

from heathford.identity.shared_request import SharedRequest
from heathford.interface import Effect

# The order in which ended requests are removed: the later, the more harm a second run could do.
REMOVAL_ORDER = (Effect.IDEMPOTENT, Effect.IDEMPOTENCY_KEYED, Effect.NON_IDEMPOTENT)


class LookupResult(Enum):
    """The state of the request with a given tenant and key."""

    NEW = "new"
    IN_PROGRESS = "out"
    ENDED = "ended"
    CONFLICT = "conflict"  # the key was used with another body
    TABLE_FULL = "no room"  # all requests in the table are in progress


class IdempotencyTable:
    """The requests in progress, and those that ended lately, by tenant and idempotency key.

    max_requests: the largest number of requests. retention: s for which a final answer is repeated.
    """

    def __init__(self, max_requests: int, retention: float) -> None:
        self.max_requests, self.retention = max_requests, retention
        self.known: dict[tuple[int, str], tuple[bytes, Effect, SharedRequest]] = {}
        self.ended: dict[Effect, dict[tuple[int, str], float]] = {effect: {} for effect in REMOVAL_ORDER}
        self.repeats = 0  # requests that joined another one or got its final answer

    def look_up(
        self, tenant: int, key: str, body: bytes, now: float
    ) -> tuple[LookupResult, SharedRequest | None]:
        """Find the request with that key. body: a digest of the request body."""
        self.remove_expired(now)
        record = self.known.get((tenant, key))
        if record is None:
            return (LookupResult.NEW if self.ensure_capacity() else LookupResult.TABLE_FULL), None
        digest, _, shared = record
        if digest != body:
            return LookupResult.CONFLICT, None
        self.repeats += 1
        return (LookupResult.ENDED if shared.over else LookupResult.IN_PROGRESS), shared

    def add(self, tenant: int, key: str, body: bytes, effect: Effect, shared: SharedRequest) -> None:
        """Add a new request in progress. body: a digest of the request body."""
        self.known[tenant, key] = body, effect, shared

    def mark_ended(self, tenant: int, key: str, now: float) -> None:
        """Record that the request has its final answer."""
        record = self.known.get((tenant, key))
        if record:
            self.ended[record[1]][tenant, key] = now + self.retention

    def restore(
        self, tenant: int, key: str, body: bytes, effect: Effect, shared: SharedRequest, expires_at: float
    ) -> None:
        """Add an ended request from the store; call it in the order of `expires_at`."""
        if self.ensure_capacity():
            self.known[tenant, key] = body, effect, shared
            self.ended[effect][tenant, key] = expires_at

    def remove(self, tenant: int, key: str) -> None:
        """Remove a request that has no attempt in flight and may run again: a repeat counts as new."""
        record = self.known.pop((tenant, key), None)
        if record:
            self.ended[record[1]].pop((tenant, key), None)

    def remove_expired(self, now: float) -> None:
        """Remove the ended requests whose time is over."""
        for expiries in self.ended.values():
            while expiries:
                tenant_and_key, expires_at = next(iter(expiries.items()))
                if expires_at > now:
                    break
                del expiries[tenant_and_key]
                self.known.pop(tenant_and_key, None)

    def ensure_capacity(self) -> bool:
        """Remove an ended request if the table is full; return whether another one fits in."""
        if len(self.known) < self.max_requests:
            return True
        for effect in REMOVAL_ORDER:
            if self.ended[effect]:
                tenant_and_key = next(iter(self.ended[effect]))
                del self.ended[effect][tenant_and_key]
                self.known.pop(tenant_and_key, None)
                return True
        return False
