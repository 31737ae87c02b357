"""Slow start: which share of the requests that lead to a cold engine this front node sends there.

Front nodes follow the same rule without exchanging messages.
"""

from collections import deque
from collections.abc import Sequence
from math import inf

from heathford.interface import Clock, Role
from heathford.policy.engine_state import MAX_REMEMBERED, ColdAdmission, Engine
from heathford.policy.estimators import MIN_ANSWERS
from heathford.policy.placement import POINTS_PER_ENGINE, Ring, hash_16

COLD_BUDGET_SHARE = 0.8  # of the rule's budget for the coldest engine; the rest allows for chance
SECOND_CHOICE_SHARE = 0.4  # of second choices: together with first ones they stay within an engine's budget
MIN_RECENT_KEYS = 10  # recent keys from which the extra one that is counted for each engine hardly matters
MAX_RECENT_KEYS = 64  # recent requests whose keys are kept, to see how many of all lead to one engine


class SlowStart:
    """The rule for cold engines, which get a budget of requests per window.

    warm_after: s in which an engine warms up; window: s over which requests are counted; cold_share: what a
    cold engine may get, as a share of what a warm one gets.
    """

    def __init__(self, clock: Clock, warm_after: float, window: float, cold_share: float) -> None:
        self.clock, self.warm_after, self.window = clock, warm_after, window
        self.cold_share = cold_share
        self.attempts_sent = 0  # at cold engines, since this process started
        self.answers: deque[tuple[float, Engine]] = deque(maxlen=MAX_REMEMBERED)  # when, and of which engine
        self.recent_keys: deque[str] = deque(maxlen=MAX_RECENT_KEYS)  # placement keys of recent requests
        self.set_engines({}, {})

    def set_engines(self, pools: dict[Role, list[Engine]], rings: dict[Role, tuple[Ring, Ring]]) -> None:
        """Set the engines in service and the rings, of the own zone and of all zones, by role."""
        self.pools = pools
        self.rings = {role: near if near.points else far for role, (near, far) in rings.items()}
        self.budgets: dict[Role, tuple[float, float, float]] = {}  # when computed; as in `budgets_for`
        # How many of the recent keys lead to each engine.
        self.picks_counted_at, self.pick_counts = -inf, dict[Engine, float]()

    def is_cold(self, engine: Engine) -> bool:
        """Return whether it has started so recently that it may not be warm yet."""
        return engine.started != 0.0 and self.clock.now - engine.started < self.warm_after

    def admits(self, engine: Engine, session: str, prefills_per_answer: float) -> bool:
        """Return whether a request of a session may go to a cold engine now.

        Guards against all front nodes finding an empty, slow engine at once. Of the requests that lead to a
        cold engine each front node admits the same share, by a hash that changes with the window, so that
        together they stay within its budget; the share is smaller where a popular prompt leads there. A front
        node that sends much is limited to its part of what warm engines answer to it. Could harm by too few
        requests where a front node has seen few prompts.
        """
        window = int(self.clock.now / self.window)
        fraction = hash_16(f"{engine.number}:{window}:{session}") / 65536
        if fraction >= self.admitted_share(engine, prefills_per_answer):
            return False
        per_engine, in_total = self.budgets_for(engine.kind.role)
        cold = [e for e in self.pools[engine.kind.role] if e.cold_attempts and self.is_cold(e)]
        return self.recent_cold_attempts(engine) < max(1.0, per_engine) and sum(
            map(self.recent_cold_attempts, cold)
        ) < max(1.0, in_total)

    def admitted_share(self, engine: Engine, prefills_per_answer: float) -> float:
        """Return the share of the requests that lead to a cold engine which may go there."""
        return self.cold_share * min(1.0, 1.0 / prefills_per_answer, 1.0 / self.popularity(engine))

    def record_attempt(self, engine: Engine, prefills_per_answer: float) -> ColdAdmission:
        """Record an attempt that is sent to a cold engine now, and return why it was let in."""
        engine.cold_attempts.append(self.clock.now)
        self.attempts_sent += 1
        return ColdAdmission(
            self.clock.now - engine.started,
            self.admitted_share(engine, prefills_per_answer),
            self.recent_cold_attempts(engine),
        )

    def admits_second_choice(self, engine: Engine, session: str) -> bool:
        """Return whether a cold engine may be used as the second choice of a request.

        Guards against second choices, which prefer an empty cold engine for its low load and are not counted
        in `popularity`: only a share of them is admitted, by a hash, where the first choice is available.
        While few keys are known, the extra one that `popularity` counts stands for them. Costs a longer queue
        at the first choice.
        """
        if not self.is_cold(engine) or len(self.recent_keys) < MIN_RECENT_KEYS:
            return True
        return hash_16(f"second:{engine.number}:{session}") < SECOND_CHOICE_SHARE * 65536

    def recent_cold_attempts(self, engine: Engine) -> int:
        """Return the number of our attempts at a cold engine within the last window."""
        return sum(sent_at >= self.clock.now - self.window for sent_at in engine.cold_attempts)

    def popularity(self, engine: Engine) -> float:
        """Return how many times as many recent keys lead to this engine as to the mean one of its ring.

        Only first choices count, and one key more than were seen. Computed once a window for all engines.
        """
        now = self.clock.now
        if now - self.picks_counted_at >= self.window:
            self.picks_counted_at, self.pick_counts = now, {}
            for ring in self.rings.values():
                for key in self.recent_keys:
                    self.count_pick(ring, f"1:{key}")
        engines = len(self.rings[engine.kind.role].points) / POINTS_PER_ENGINE
        return (self.pick_counts.get(engine, 0.0) + 1) / (len(self.recent_keys) + 1) * max(1.0, engines)

    def count_pick(self, ring: Ring, key: str) -> None:
        """Count a key at the engines that its requests reach.

        Guards against several cold engines in a row on the ring: requests that the first one does not admit
        lead to the next, which may be cold too.
        """
        remaining = 1.0

        def ends_at(engine: Engine) -> bool:
            nonlocal remaining
            self.pick_counts[engine] = self.pick_counts.get(engine, 0.0) + remaining
            remaining *= 1.0 - self.cold_share
            return not self.is_cold(engine)

        ring.pick(key, ends_at)

    def budgets_for(self, role: Role) -> tuple[float, float]:
        """Return this front node's attempts in a window at one cold engine of the role, and at all of them.

        The total is limited as well, because each engine is always allowed one attempt and those of many
        front nodes add up.
        """
        computed_at, per_engine, in_total = self.budgets.get(role, (-1.0, 0.0, 0.0))
        if computed_at != self.clock.now:
            pool = self.pools[role]
            warm = [e for e in pool if not self.is_cold(e)]
            rate = self.answer_rate(warm or pool) / max(1, len(warm or pool))
            per_engine = self.cold_share * rate * self.window
            in_total = per_engine * (len(pool) - len(warm))
            self.budgets[role] = self.clock.now, per_engine, in_total
        return per_engine, in_total

    def answer_rate(self, engines: Sequence[Engine]) -> float:
        """Return how many answers per s these engines gave this front node.

        Counted over the last window, or over the time in which an engine warms up where the window has too
        few. At least one answer is assumed, as otherwise no cold engine would ever be tried.
        """
        now, history, counted = self.clock.now, self.answers, dict.fromkeys(engines)
        while history and history[0][0] < now - self.warm_after:
            history.popleft()
        ages = [now - at for at, engine in history if engine in counted]
        recent = sum(age <= self.window for age in ages)
        return recent / self.window if recent >= MIN_ANSWERS else max(1, len(ages)) / self.warm_after
