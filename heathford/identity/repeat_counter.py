"""Count first requests and their repeats; no I/O."""


class RepeatCounter:
    """Counts the requests of clients, and which of them are repeats.

    It remembers recent requests by tenant and idempotency key, also those that were refused, which the
    IdempotencyTable doesn't keep. A repeat that comes too late, or after too many other requests, is counted
    as a first request. This affects the counts only.

    most: the largest number of requests. keep: s for which a request is remembered.
    """

    def __init__(self, most: int, keep: float) -> None:
        self.most, self.keep = most, keep
        self.lately: dict[tuple[int, str], float] = {}  # s on the clock of `count`, the oldest first
        self.first_requests = self.repeats = 0

    def count(self, tenant: int, key: str, now: float, declared: int = 1) -> bool:
        """Count one request; return whether it is a first one.

        declared: its number as its client states it, from 1. A repeat of a request that was sent to another
        front node is recognized by this number only.
        """
        is_repeat = declared > 1
        if key:
            tenant_and_key = tenant, key
            counted_at = self.lately.pop(tenant_and_key, None)
            is_repeat = is_repeat or (counted_at is not None and now - counted_at < self.keep)
            while self.lately and (
                len(self.lately) >= self.most or (now - next(iter(self.lately.values())) >= self.keep)
            ):
                del self.lately[next(iter(self.lately))]
            if self.most:
                self.lately[tenant_and_key] = now
        if is_repeat:
            self.repeats += 1
        else:
            self.first_requests += 1
        return not is_repeat
