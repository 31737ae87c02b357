"""When and where a client tries again; no I/O, shared by both protocols.

Only what is harmless is tried again: what was turned away, what was never sent, what may run twice, and what
the same front knows by its key. A budget bounds what all this may add to the load.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

BACKOFF = 0.1  # s before all fronts are tried again that could not be reached; doubled each time
BACKOFF_MOST = 2.0  # s
JITTER = 0.5  # share of a wait added by chance, so that clients told the same don't come together
SET_ASIDE = 1.0  # s for which a front that could not be reached is tried last
MAX_CREDIT = 5.0  # tries again that a client may make before any first try has earned one, and keep at most
MIN_TIME_LEFT = 0.05  # s left below which no try is begun: it can't be answered in that


class FailureKind(Enum):
    REFUSED = "rate-limited"
    UNREACHED = "never sent"
    LOST = "sent, and no answer came"
    ABORTED = "aborted by the front"


@dataclass(frozen=True)
class NextAttempt:
    wait: float  # s
    front: int


class RetryBudget:
    """share: tries again for each first try, on average over any longer time."""

    def __init__(self, share: float) -> None:
        self.share, self.credit = share, MAX_CREDIT

    def first(self) -> None:
        self.credit = min(MAX_CREDIT, self.credit + self.share)

    def spend(self) -> bool:
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


class FrontOrder:
    """Which front is tried next: the last that was good, then the others in turn."""

    def __init__(self, count: int, seed: int | None = None) -> None:
        self.random = random.Random(seed)
        self.order: Sequence[int] = self.random.sample(range(count), count)
        self.bad_until = [0.0] * count
        self.current = self.order[0]

    def good(self, front: int) -> None:
        self.bad_until[front] = 0.0
        self.current = front

    def bad(self, front: int, now: float) -> int:
        """The next after one that could not be reached or that turned away."""
        self.bad_until[front] = now + SET_ASIDE
        place = self.order.index(front)
        others = [self.order[(place + n) % len(self.order)] for n in range(1, len(self.order) + 1)]
        self.current = min(others, key=lambda f: self.bad_until[f] > now)
        return self.current

    def all_bad(self, now: float) -> bool:
        return all(until > now for until in self.bad_until)


SAID = ("", "anywhere", "here", "never")  # what a front says of trying again; nothing before version 2


class RetryState:
    """One completion's tries. until: when the caller gives up; repeatable: running it twice does no harm;
    keyed: the front knows it by its key."""

    def __init__(
        self, fronts: FrontOrder, budget: RetryBudget, until: float, repeatable: bool, keyed: bool
    ) -> None:
        self.fronts, self.budget, self.until = fronts, budget, until
        self.repeatable, self.keyed = repeatable, keyed
        self.front = fronts.current
        self.unknown_at: int | None = None  # the front at which an earlier try may have run
        self.unreached = 0
        budget.first()

    def after(
        self, trouble: FailureKind, now: float, retry_after: float = 0.0, said: str = ""
    ) -> NextAttempt | None:
        """What to do after a try that came to nothing; None: tell the caller. said: the front's guidance,
        which is followed where it is stricter than what the caller allows."""
        wait = 0.0
        if said == "never" and trouble is FailureKind.ABORTED:
            return None
        if said == "here" and trouble is FailureKind.ABORTED:
            self.unknown_at = self.front
        elif trouble is FailureKind.LOST and not self.repeatable:
            if not self.keyed:
                return None
            self.unknown_at = self.front  # only there is it known that it may be out
        elif trouble is FailureKind.ABORTED and not self.repeatable:
            return None
        if trouble is FailureKind.UNREACHED and self.unknown_at is not None:
            # Guards against a front that was killed and comes back without knowing what it had out: asked
            # again by the key it would run it a second time. Could harm by an abort where only the network
            # was away.
            return None
        if trouble is FailureKind.UNREACHED:
            self.unreached += 1
            self.front = self.fronts.bad(self.front, now)
            if self.fronts.all_bad(now):
                wait = min(BACKOFF * 2 ** min(self.unreached, 10), BACKOFF_MOST)
        elif trouble is FailureKind.REFUSED:
            wait = retry_after
            if self.unknown_at is None:
                self.front = self.fronts.bad(self.front, now)
        elif trouble is FailureKind.LOST and self.unknown_at is None and not self.keyed:
            self.front = self.fronts.bad(self.front, now)
        wait *= 1.0 + JITTER * self.fronts.random.random()
        if now + wait + MIN_TIME_LEFT >= self.until:
            return None
        # A try that was never sent adds no load; all others are paid for.
        if trouble is not FailureKind.UNREACHED and not self.budget.spend():
            return None
        return NextAttempt(wait, self.front)
