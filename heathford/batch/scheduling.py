"""Concurrency limit of batch lines and fair scheduling among tenants and batches; no I/O.

The limit bounds the lines in flight of a front node. It adapts to the latency of the node's own sessions:
while their first tokens come well within their latency targets, it grows as the latency of lines allows.
Once sessions are slow it is reduced at once, down to zero if they stay slow. There are no probes: a front
node without sessions adapts to its lines alone.
"""

from collections import deque
from collections.abc import Hashable
from math import exp2
from typing import Generic, TypeVar

INITIAL_LIMIT = 4.0  # lines: about the work of one prefill engine, enough to measure latencies
MAX_LIMIT = 4096.0  # lines: beyond it the front node's single process is the bottleneck
GROWTH = 1.15  # factor of the limit after a round of fast lines, if the limit was reached
SLOW_LINE_SHARE = 0.3  # of its latency target, beyond which a line is slow while there are sessions
SLOW_LINE_SHARE_ALONE = 0.6  # the same without sessions, when no user waits
SLOW_SESSION_SHARE = 0.3  # of its latency target, beyond which a session is slow, well before it is late
SLOW_STREAM_SHARE = 0.6  # of the target time for its tokens, beyond which a stream is slow
LINE_BACKOFF, SESSION_BACKOFF = (
    0.85,
    0.5,
)  # factors of the limit after a round of slow lines, or slow sessions
RECOVERY_SECONDS = (
    2.0  # without slow sessions before the limit grows; an editor sends its next prompt by then
)
HALF_LIFE_SECONDS = 3.0  # of the counts of session results
MIN_SESSION_SAMPLES = 3.0  # recent session results below which the share of slow ones is ignored
SLOW_TOLERANCE = 0.15  # share of slow results that counts as chance
URGENT_TIME_SHARE = 0.5  # of the window left, below which a batch that is behind gets a greater weight
MAX_WEIGHT = 3.0  # of a batch that is far behind

Item = TypeVar("Item", bound=Hashable)


class DecayingCounter:
    """A count that decays exponentially with HALF_LIFE_SECONDS."""

    def __init__(self) -> None:
        self.value, self.updated_at = 0.0, 0.0

    def add(self, amount: float, now: float) -> None:
        self.value, self.updated_at = self.value_at(now) + amount, now

    def value_at(self, now: float) -> float:
        return self.value * exp2((self.updated_at - now) / HALF_LIFE_SECONDS)


class ConcurrencyLimit:
    """Adaptive limit of the lines in flight."""

    def __init__(self) -> None:
        self.max_in_flight = INITIAL_LIMIT
        self.sessions, self.slow = DecayingCounter(), DecayingCounter()
        self.reduced_at = self.slow_at = float("-inf")
        self.answers = self.slow_lines = 0
        self.round_started_at = float("-inf")

    def session_first_token(self, target_share: float, now: float) -> None:
        """Record a session's time to first token, as a share of its latency target.

        It is infinite for a request that was rate-limited or aborted.
        """
        self.record_session(target_share > SLOW_SESSION_SHARE, now)

    def session_streamed(self, target_share: float, now: float) -> None:
        """Record the duration of a session's stream, as a share of the target time for its tokens."""
        self.record_session(target_share > SLOW_STREAM_SHARE, now)

    def record_session(self, slow: bool, now: float) -> None:
        self.sessions.add(1.0, now)
        if not slow:
            return
        self.slow.add(1.0, now)
        session_count = self.sessions.value_at(now)
        if session_count >= MIN_SESSION_SAMPLES and self.slow.value_at(now) > SLOW_TOLERANCE * session_count:
            self.slow_at = now
            # Several reductions are allowed per half-life: a single one would relieve the sessions too late.
            if now >= self.reduced_at + HALF_LIFE_SECONDS / 6:
                self.max_in_flight = self.max_in_flight * SESSION_BACKOFF if self.max_in_flight > 1.0 else 0.0
                self.reduced_at = now

    def line_first_token(self, sent_at: float, target_share: float, limit_reached: bool, now: float) -> None:
        """Record a line's time to first token as a share of its latency target, and adapt the limit.

        The limit changes once a round. A round ends with the first token of a line that was sent in it.
        `limit_reached` says whether the limit, not a lack of lines, bounds the lines in flight.
        """
        self.answers += 1
        self.slow_lines += target_share > (
            SLOW_LINE_SHARE_ALONE if self.sessions.value_at(now) < MIN_SESSION_SAMPLES else SLOW_LINE_SHARE
        )
        if sent_at < self.round_started_at:
            return
        if self.slow_lines > SLOW_TOLERANCE * self.answers:
            self.max_in_flight = max(1.0, self.max_in_flight * LINE_BACKOFF)
        elif limit_reached and now >= self.slow_at + RECOVERY_SECONDS:
            self.max_in_flight = min(MAX_LIMIT, max(self.max_in_flight * GROWTH, self.max_in_flight + 1.0))
        self.answers = self.slow_lines = 0
        self.round_started_at = now

    def line_streamed(self, target_share: float, now: float) -> None:
        """Record the duration of a line's stream, as a share of the target time for its tokens."""
        self.answers += 1
        self.slow_lines += target_share > (
            1.0 if self.sessions.value_at(now) < MIN_SESSION_SAMPLES else SLOW_STREAM_SHARE
        )

    def available(self, in_flight: int, now: float) -> int:
        """Return how many more lines may be sent; after RECOVERY_SECONDS, a limit of zero becomes one."""
        if self.max_in_flight < 1.0 and now >= self.slow_at + RECOVERY_SECONDS:
            self.max_in_flight = 1.0
        return max(0, int(self.max_in_flight) - in_flight)


class LineQueue(Generic[Item]):
    """A batch's lines that are not in flight: those never sent, in order, and those waiting for a retry."""

    def __init__(self, tenant: int, items: list[Item], created: float, expires: float) -> None:
        self.tenant, self.waiting = tenant, deque(items)
        self.created, self.expires, self.total = created, expires, max(1, len(items))
        self.delayed: list[tuple[float, int, Item]] = []  # time, tie-breaker, line; sorted
        self.delayed_count = 0

    def requeue(self, item: Item, at: float) -> None:
        self.delayed_count += 1
        self.delayed.append((at, self.delayed_count, item))
        self.delayed.sort()

    def next(self, now: float) -> Item | None:
        if self.delayed and self.delayed[0][0] <= now:
            return self.delayed.pop(0)[2]
        return self.waiting.popleft() if self.waiting else None

    def ready(self, now: float) -> bool:
        return bool(self.waiting) or bool(self.delayed and self.delayed[0][0] <= now)

    def weight(self, now: float) -> float:
        """Return the scheduling weight: 1, more if the share of work left exceeds the share of time left."""
        time_left = max(0.0, self.expires - now) / max(1e-9, self.expires - self.created)
        work_left = (len(self.waiting) + len(self.delayed)) / self.total
        if time_left > URGENT_TIME_SHARE or work_left <= time_left:
            return 1.0
        return min(MAX_WEIGHT, work_left / max(time_left, 0.05))


class FairScheduler(Generic[Item]):
    """Chooses the next line, by stride scheduling among tenants and among the batches of a tenant.

    Each batch has a weight. Ten batches of one tenant get no more than a single one of another.
    See C. A. Waldspurger and W. E. Weihl, "Stride Scheduling" (1995).
    """

    def __init__(self) -> None:
        self.queues: dict[str, LineQueue[Item]] = {}
        self.tenant_pass: dict[int, float] = {}
        self.batch_pass: dict[str, float] = {}

    def add(self, batch_id: str, queue: LineQueue[Item]) -> None:
        """Add a batch; it starts at the lowest pass of the others, so that it gets no credit for the past."""
        self.queues[batch_id] = queue
        if queue.tenant not in self.tenant_pass:
            self.tenant_pass[queue.tenant] = min(self.tenant_pass.values(), default=0.0)
        tenant_batch_passes = [
            self.batch_pass[b]
            for b, q in self.queues.items()
            if q.tenant == queue.tenant and b in self.batch_pass
        ]
        self.batch_pass[batch_id] = min(tenant_batch_passes, default=0.0)

    def remove(self, batch_id: str) -> None:
        queue = self.queues.pop(batch_id, None)
        self.batch_pass.pop(batch_id, None)
        if queue and all(q.tenant != queue.tenant for q in self.queues.values()):
            self.tenant_pass.pop(queue.tenant, None)

    def next(self, now: float) -> tuple[str, Item] | None:
        ready = [(batch_id, queue) for batch_id, queue in self.queues.items() if queue.ready(now)]
        if not ready:
            return None
        tenant = min((q.tenant for _, q in ready), key=lambda t: self.tenant_pass[t])
        batch_id, queue = min(
            ((b, q) for b, q in ready if q.tenant == tenant), key=lambda pair: self.batch_pass[pair[0]]
        )
        weight = queue.weight(now)
        self.batch_pass[batch_id] += 1.0 / weight
        self.tenant_pass[tenant] += 1.0 / max(q.weight(now) for _, q in ready if q.tenant == tenant)
        item = queue.next(now)
        assert item is not None
        return batch_id, item
