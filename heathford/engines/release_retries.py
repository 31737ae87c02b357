"""Retry schedule for the release of a prefill state; no I/O."""

MAX_TRIES = 4  # enough for one lost connection, one slow answer, and one more
NO_ANSWER = 0  # in place of an HTTP status
# After these nothing is held; 404: the state is long gone.
RELEASED_STATUSES = frozenset({200, 202, 204, 404, 410})


class ReleaseRetries:
    """Spreads the tries over the time for which a state may be held.

    One lost message or connection reset then doesn't keep the state held. An engine that is down gets at most
    `MAX_TRIES` useless calls per state. now: s on the loop's clock; limit: s for which the state may be held.
    """

    def __init__(self, now: float, limit: float) -> None:
        self.started_at, self.limit, self.tries = now, limit, 0

    def next_try_delay(self, now: float) -> float | None:
        """Return the s until the next try, or None if none is left."""
        if self.tries >= MAX_TRIES or now >= self.started_at + self.limit:
            return None
        at = self.started_at + self.tries * self.limit / MAX_TRIES
        self.tries += 1
        return max(0.0, at - now)

    def try_timeout(self, now: float) -> float:
        """Return the s that this try may take: until the next one."""
        return max(self.started_at + self.tries * self.limit / MAX_TRIES - now, self.limit / MAX_TRIES / 2)

    def confirms_release(self, status: int) -> bool:
        """Return whether an answer with that status confirms the release."""
        return status in RELEASED_STATUSES
