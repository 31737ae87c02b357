"""Count first requests and their repeats; no I/O."""


class RepeatCounter:
    """Counts the requests of clients, and which of them are repeats.

    It remembers recent requests by tenant and idempotency key, also those that were refused, which the
    IdempotencyTable doesn't keep. A repeat that comes too late, or after too many other requests, is counted
    as a first request. This affects the counts only.

    max_requests: the largest number of requests. retention: s for which a request is remembered.
    """

    def __init__(self, max_requests: int, retention: float) -> None:
        self.max_requests, self.retention = max_requests, retention
        self.last_seen: dict[tuple[int, str], float] = {}  # s on the clock of `count`, the oldest first
        self.first_requests = self.repeats = 0

    def count(self, tenant: int, key: str, now: float, declared: int = 1) -> bool:
        """Count one request; return whether it is a first one.

        declared: its number as its client states it, from 1. A repeat of a request that was sent to another
        front node is recognized by this number only.
        """
        is_repeat = declared > 1
        if key:
            tenant_and_key = tenant, key
            counted_at = self.last_seen.pop(tenant_and_key, None)
            is_repeat = is_repeat or (counted_at is not None and now - counted_at < self.retention)
            while self.last_seen and (
                len(self.last_seen) >= self.max_requests
                or (now - next(iter(self.last_seen.values())) >= self.retention)
            ):
                del self.last_seen[next(iter(self.last_seen))]
            if self.max_requests:
                self.last_seen[tenant_and_key] = now
        if is_repeat:
            self.repeats += 1
        else:
            self.first_requests += 1
        return not is_repeat
