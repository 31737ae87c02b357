"""Decides when and at which front node a client retries. Shared by both protocols; does no I/O.

A request is retried only if that is safe: it was rate-limited or never sent, it may run twice, or the same
front node recognizes it by its idempotency key. A budget bounds the load that retries add.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

BACKOFF = 0.1  # s before a retry when no front node can be reached; doubled each time
MAX_BACKOFF = 2.0  # s
JITTER = 0.5  # largest random share added to a wait, so that clients given the same wait spread out
COOLDOWN = 1.0  # s for which a front node is tried last after a failure
MAX_CREDIT = 5.0  # retries that a client starts with, and the most that it can save up
MIN_TIME_LEFT = 0.05  # s; with less than this no attempt is started, as it could not be answered in time


class FailureKind(Enum):
    """How an attempt failed."""

    REFUSED = "rate-limited"
    UNREACHED = "never sent"
    LOST = "sent, and no answer came"
    ABORTED = "aborted by the front"


@dataclass(frozen=True)
class NextAttempt:
    """The front node to send the next attempt to, and how long to wait before."""

    wait: float  # s
    front: int


class RetryBudget:
    """Bounds retries; share: retries allowed for each new request, on average over a longer time."""

    def __init__(self, share: float) -> None:
        self.share, self.credit = share, MAX_CREDIT

    def earn(self) -> None:
        """Add the credit of a new request."""
        self.credit = min(MAX_CREDIT, self.credit + self.share)

    def spend(self) -> bool:
        """Take the credit for one retry; return False if there is not enough."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


class FrontOrder:
    """The order in which front nodes are tried: the last that succeeded, then the others in turn."""

    def __init__(self, count: int, seed: int | None = None) -> None:
        self.random = random.Random(seed)
        self.order: Sequence[int] = self.random.sample(range(count), count)
        self.failing_until = [0.0] * count
        self.current = self.order[0]

    def record_success(self, front: int) -> None:
        self.failing_until[front] = 0.0
        self.current = front

    def record_failure(self, front: int, now: float) -> int:
        """Start the cooldown of a front node; return the one to try next."""
        self.failing_until[front] = now + COOLDOWN
        position = self.order.index(front)
        others = [self.order[(position + n) % len(self.order)] for n in range(1, len(self.order) + 1)]
        self.current = min(others, key=lambda f: self.failing_until[f] > now)
        return self.current

    def all_failing(self, now: float) -> bool:
        return all(until > now for until in self.failing_until)


# Where a front node allows a repeat; empty in protocol versions before 2.
RETRY_GUIDANCE = ("", "anywhere", "here", "never")


class RetryState:
    """The attempts of one request.

    until: when the caller gives up; repeatable: whether running the request twice is safe; keyed: whether the
    request has an idempotency key by which the front node recognizes it.
    """

    def __init__(
        self, fronts: FrontOrder, budget: RetryBudget, until: float, repeatable: bool, keyed: bool
    ) -> None:
        self.fronts, self.budget, self.deadline = fronts, budget, until
        self.repeatable, self.keyed = repeatable, keyed
        self.front = fronts.current
        self.unconfirmed_at: int | None = None  # the front node at which an earlier attempt may have run
        self.unreachable_count = 0
        budget.earn()

    def next_attempt(
        self, failure: FailureKind, now: float, retry_after: float = 0.0, guidance: str = ""
    ) -> NextAttempt | None:
        """Return the next attempt after a failed one, or None if the failure is to be reported.

        guidance: what the front node allows; followed where it is stricter than what the caller allows.
        """
        wait = 0.0
        if guidance == "never" and failure is FailureKind.ABORTED:
            return None
        if guidance == "here" and failure is FailureKind.ABORTED:
            self.unconfirmed_at = self.front
        elif failure is FailureKind.LOST and not self.repeatable:
            if not self.keyed:
                return None
            self.unconfirmed_at = self.front  # only this front node knows that it may be in progress
        elif failure is FailureKind.ABORTED and not self.repeatable:
            return None
        if failure is FailureKind.UNREACHED and self.unconfirmed_at is not None:
            # A front node that was killed and has restarted doesn't know its requests in progress: a repeat
            # by the key would run a second time. The cost is an abort where only the network had failed.
            return None
        if failure is FailureKind.UNREACHED:
            self.unreachable_count += 1
            self.front = self.fronts.record_failure(self.front, now)
            if self.fronts.all_failing(now):
                wait = min(BACKOFF * 2 ** min(self.unreachable_count, 10), MAX_BACKOFF)
        elif failure is FailureKind.REFUSED:
            wait = retry_after
            if self.unconfirmed_at is None:
                self.front = self.fronts.record_failure(self.front, now)
        elif failure is FailureKind.LOST and self.unconfirmed_at is None and not self.keyed:
            self.front = self.fronts.record_failure(self.front, now)
        wait *= 1.0 + JITTER * self.fronts.random.random()
        if now + wait + MIN_TIME_LEFT >= self.deadline:
            return None
        # An attempt that was never sent adds no load; every other retry takes credit.
        if failure is not FailureKind.UNREACHED and not self.budget.spend():
            return None
        return NextAttempt(wait, self.front)
