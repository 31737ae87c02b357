"""How often and how patiently a prefill engine is asked to release a state; no I/O."""

TRIES = 4  # within the limit: one lost connection, one slow answer, and one more
NO_ANSWER = 0  # in place of a status
RELEASED_STATUSES = frozenset(
    {200, 202, 204, 404, 410}
)  # after which nothing is held: 404 is a state long gone


class ReleaseRetries:
    """Tries spread over the limit within which a state may be held, so that one lost message or one reset
    does not keep it there. Could harm by calls to an engine that is down, four at most for each state.

    now: s on the loop's clock; limit: s."""

    def __init__(self, now: float, limit: float) -> None:
        self.begun, self.limit, self.tries = now, limit, 0

    def next_try(self, now: float) -> float | None:
        """s until the next try; None when there is none left."""
        if self.tries >= TRIES or now >= self.begun + self.limit:
            return None
        at = self.begun + self.tries * self.limit / TRIES
        self.tries += 1
        return max(0.0, at - now)

    def patience(self, now: float) -> float:
        """s that this try may take: until the next is due."""
        return max(self.begun + self.tries * self.limit / TRIES - now, self.limit / TRIES / 2)

    def is_over(self, status: int) -> bool:
        """Whether that answer confirms the release."""
        return status in RELEASED_STATUSES
