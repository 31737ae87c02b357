"""Shares a front node that is short of capacity fairly among tenants and their sessions. Does no I/O.

A window bounds the number of admitted requests that have no first token yet. Further requests wait here for a
share of their latency target and are then rate-limited. A free place goes to the tenant with the fewest
requests in the window, and within the tenant to its sessions in turn (round-robin). So a tenant that floods
the front node delays only itself, and the router never gets more than can be answered in time. A tenant whose
request rate is well under its even share of the admissions does not wait at all, as it is not the cause of
the overload.

The size of the window follows the latency of answers as in DCTCP (RFC 8257): once per round it shrinks by the
share of answers that were slow for their target, averaged over rounds; otherwise it grows if it held requests
back.
"""

import heapq
from collections import deque
from collections.abc import Hashable
from math import ceil, exp2
from typing import Generic, TypeVar

# Requests in the window at the start: as many may miss their target before the router sheds any.
INITIAL_WINDOW = 4.0
MIN_WINDOW = 2.0  # requests; fewer give too few answers to learn from
SLOW_SHARE_GAIN = 0.25  # weight of one round in the average share of slow answers
MIN_ROUND_ANSWERS = 8  # in a smaller round, one slow answer of two or three can be chance
TOLERATED_SLOW_SHARE = 0.1  # share of slow answers in a round that can be chance
MIN_GROWTH = 0.05  # share by which the window grows in a good round beyond the size at which it last shrank
RECOVERY_SHARE = 0.25  # share of the distance to that size by which it grows in a good round
# Share of its latency target beyond which a first token is slow; low, as other targets may be tighter.
SLOW_LATENCY_SHARE = 0.25
SLOW_PACE = 0.5  # share of the target time per token beyond which a stream is slow
# Multiple of the usual latency share at low load beyond which a first token is slow, if that is more than
# SLOW_LATENCY_SHARE: a target may be so tight that answers take more than that share even without load.
SLOW_USUAL_MULTIPLE = 1.5
USUAL_LATENCY_GAIN = 0.05  # weight of one answer in the usual latency share: about the last twenty count
MIN_USED_SHARE = 0.5  # share of the window in use above which answers say something about its size
# Share of an even part of the admissions up to which a tenant does not wait; below 1, so that tenants with
# equal rates are never all exempt.
LIGHT_TENANT_SHARE = 0.5
HALF_LIFE = 5.0  # s, of the counts of requests and of admissions, as in the router
MAX_WAIT_SHARE = 0.4  # share of its latency target that a request may wait, so that prefill still fits in


class Window:
    """The number of admitted requests without a first token, and what is known of the current round."""

    def __init__(self) -> None:
        self.size = INITIAL_WINDOW
        self.size_at_last_shrink = float("inf")
        self.average_slow_share = 1.0
        self.usual_latency_share = SLOW_LATENCY_SHARE / SLOW_USUAL_MULTIPLE
        self.begin_round(float("-inf"))

    def begin_round(self, now: float) -> None:
        """Start a round of answers; only one admitted since then ends it."""
        self.round_start, self.answers, self.slow = now, 0, 0
        self.max_in_window, self.held_back = 0, False

    def count_answer(self, slow: bool) -> None:
        """Count an answer in the current round."""
        self.answers += 1
        self.slow += slow

    def record_first_token(
        self, admitted_at: float, latency_share: float, in_window: int, now: float
    ) -> None:
        """Record the first token of a request; end the round and adapt the size if it is complete.

        latency_share: latency as a share of its target; infinite if the request had no first token in time.
        """
        if in_window <= MIN_USED_SHARE * self.size:
            self.usual_latency_share += USUAL_LATENCY_GAIN * (
                min(latency_share, 1.0) - self.usual_latency_share
            )
        self.count_answer(
            latency_share > min(1.0, max(SLOW_LATENCY_SHARE, SLOW_USUAL_MULTIPLE * self.usual_latency_share))
        )
        self.max_in_window = max(self.max_in_window, in_window)
        if admitted_at < self.round_start or self.answers < MIN_ROUND_ANSWERS:
            return
        round_slow_share = self.slow / self.answers
        self.average_slow_share += SLOW_SHARE_GAIN * (round_slow_share - self.average_slow_share)
        if round_slow_share > TOLERATED_SLOW_SHARE and self.max_in_window > MIN_USED_SHARE * self.size:
            self.size_at_last_shrink = self.size
            self.size = max(MIN_WINDOW, self.size * (1.0 - self.average_slow_share / 2))
        elif round_slow_share <= TOLERATED_SLOW_SHARE and self.held_back:
            distance = (
                self.size_at_last_shrink - self.size
            )  # infinite before the first shrink: it grows by half
            self.size += max(MIN_GROWTH * self.size, min(RECOVERY_SHARE * distance, self.size / 2))
        self.begin_round(now)


class DecayingCount:
    """A count of recent events that decays with a half-life of HALF_LIFE."""

    __slots__ = ("count", "updated")

    def __init__(self) -> None:
        self.count, self.updated = 0.0, 0.0

    def increment(self, now: float) -> None:
        """Count an event."""
        self.count, self.updated = self.current(now) + 1.0, now

    def current(self, now: float) -> float:
        """Return the decayed count."""
        return self.count * exp2((self.updated - now) / HALF_LIFE)


Item = TypeVar("Item", bound=Hashable)


class TenantQueue(Generic[Item]):
    """The waiting requests of one tenant by session, and its use of the window."""

    __slots__ = ("in_window", "last_turn", "recent_requests", "sessions")

    def __init__(self) -> None:
        self.recent_requests = DecayingCount()
        self.in_window = 0  # admitted requests without a first token
        self.last_turn = 0  # number of its last admission
        self.sessions: dict[object, deque[Item]] = {}  # waiting requests; the first session is next


class FairQueue(Generic[Item]):
    """The queue of requests of all tenants in front of the router.

    in_window: admitted requests without a first token; shed_count: requests that expired here.
    """

    def __init__(self) -> None:
        self.window = Window()
        self.tenants: dict[int, TenantQueue[Item]] = {}  # with recent requests, or any here
        self.waiting: dict[Item, tuple[int, object]] = {}
        self.expiries: list[tuple[float, int, Item]] = []
        self.recent_admissions = DecayingCount()
        self.last_pruned = 0.0
        self.in_window = self.count = self.shed_count = 0

    def add(self, tenant: int, session: object, item: Item, now: float, expiry: float) -> None:
        """Add a request: pop_next() returns it when it is admitted, or pop_expired() after its expiry."""
        tenant_queue = self.tenants.setdefault(tenant, TenantQueue())
        tenant_queue.recent_requests.increment(now)
        tenant_queue.sessions.setdefault(session, deque()).append(item)
        self.waiting[item] = tenant, session
        self.count += 1
        heapq.heappush(self.expiries, (expiry, self.count, item))

    def pop_next(self, now: float) -> Item | None:
        """Admit the next request, if there is room; return it."""
        waiting = [m for m in self.tenants.values() if m.sessions]
        if not waiting:
            return None
        tenant_queue = min(waiting, key=lambda m: (m.in_window, m.last_turn))
        # Each tenant may use its even share of the window without waiting, whoever uses the rest.
        even_share = self.window.size / len(self.tenants)
        if self.in_window >= int(self.window.size) and tenant_queue.in_window >= (
            ceil(even_share) if even_share >= 1.0 else 0
        ):
            self.window.held_back = True
            light_limit = LIGHT_TENANT_SHARE * self.recent_admissions.current(now) / len(self.tenants)
            light_tenants = [m for m in waiting if m.recent_requests.current(now) <= light_limit]
            if not light_tenants:
                return None
            tenant_queue = min(light_tenants, key=lambda m: (m.in_window, m.last_turn))
        session = next(iter(tenant_queue.sessions))
        queue = tenant_queue.sessions.pop(session)
        item = queue.popleft()
        if queue:
            tenant_queue.sessions[session] = queue
        del self.waiting[item]
        self.count += 1
        tenant_queue.last_turn = self.count
        tenant_queue.in_window += 1
        self.in_window += 1
        self.recent_admissions.increment(now)
        return item

    def pop_expired(self, now: float) -> list[Item]:
        """Remove and return the requests that have waited until their expiry; drop idle tenants."""
        expired = []
        if now >= self.last_pruned + HALF_LIFE:
            self.last_pruned = now
            for tenant in list(self.tenants):
                self.drop_if_idle(tenant, now)
        while self.expiries and (self.expiries[0][0] <= now or self.expiries[0][2] not in self.waiting):
            item = heapq.heappop(self.expiries)[2]
            if self.discard(item, now):
                expired.append(item)
        self.shed_count += len(expired)
        return expired

    @property
    def next_expiry(self) -> float | None:
        """The latest time for the next call of pop_expired(), if any request waits."""
        return self.expiries[0][0] if self.expiries else None

    def discard(self, item: Item, now: float) -> bool:
        """Remove a request; return whether it was waiting."""
        entry = self.waiting.pop(item, None)
        if entry is None:
            return False
        tenant, session = entry
        tenant_queue = self.tenants[tenant]
        tenant_queue.sessions[session].remove(item)
        if not tenant_queue.sessions[session]:
            del tenant_queue.sessions[session]
        self.drop_if_idle(tenant, now)
        return True

    def record_first_token(self, tenant: int, admitted_at: float, latency_share: float, now: float) -> None:
        """Record the first token of an admitted request, and free its place in the window.

        latency_share: latency as a share of its target; infinite if it ended without a first token.
        """
        self.window.record_first_token(admitted_at, latency_share, self.in_window, now)
        self.release(tenant, now)

    def record_stream_pace(self, pace: float) -> None:
        """Record the time per token of a finished stream as a share of its target.

        Streams are slow if too many run at once, so a slow one counts as a slow answer.
        """
        self.window.count_answer(pace > SLOW_PACE)

    def release(self, tenant: int, now: float) -> None:
        """Free the place of an admitted request that ended in a way that says nothing about the load."""
        self.in_window -= 1
        self.tenants[tenant].in_window -= 1
        self.drop_if_idle(tenant, now)

    def drop_if_idle(self, tenant: int, now: float) -> None:
        """Forget a tenant without requests here and without recent ones."""
        tenant_queue = self.tenants[tenant]
        if (
            not tenant_queue.in_window
            and not tenant_queue.sessions
            and tenant_queue.recent_requests.current(now) < 1.0
        ):
            del self.tenants[tenant]
