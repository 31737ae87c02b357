"""Slow start: which of its requests this front node sends to a cold engine.

Front nodes follow the same rule without exchanging messages. What all of them send to a cold engine together
follows what warm engines like it answer, not what clients ask for: clients that repeat, engines that are gone
and a popular prompt raise the demand, and a cold engine can bear no more for it.
"""

from collections import deque
from collections.abc import Sequence
from math import inf

from heathford.interface import Clock, Role
from heathford.policy.engine_state import ColdAdmission, Engine
from heathford.policy.estimators import MIN_ANSWERS
from heathford.policy.placement import POINTS_PER_ENGINE, Ring, hash_16
from heathford.policy.recent_traffic import RecentTraffic

COLD_BUDGET_SHARE = 0.8  # of the rule's budget for the coldest engine; the rest allows for chance
SECOND_CHOICE_SHARE = 0.25  # of second choices: together with first ones they stay within an engine's budget
MIN_RECENT_KEYS = 10  # recent keys from which the share of them that leads to an engine tells something
EXTRA_KEYS = 0.7  # counted for each engine, beside those that lead there
MAX_RECENT_KEYS = 64  # recent requests whose keys are kept, to see how many of all lead to one engine


class SlowStart:
    """The rule for cold engines, which get a budget of requests per window.

    warm_after: s in which an engine warms up; window: s over which requests are counted; cold_share: what a
    cold engine may get, as a share of what a warm one answers; zone: this front node's.
    """

    def __init__(self, clock: Clock, warm_after: float, window: float, cold_share: float, zone: int) -> None:
        self.clock, self.warm_after, self.window = clock, warm_after, window
        self.cold_share, self.zone = cold_share, zone
        self.attempts_sent = 0  # at cold engines, since this process started
        self.traffic = RecentTraffic(clock, window, warm_after)
        self.recent_keys: deque[str] = deque(maxlen=MAX_RECENT_KEYS)  # placement keys of recent requests
        self.new_keys: list[str] = []  # of requests accepted since the last decision
        self.zones: dict[int, None] = {zone: None}  # in which engines have ever been listed
        self.set_engines({}, {})

    def set_engines(self, pools: dict[Role, list[Engine]], rings: dict[Role, tuple[Ring, Ring]]) -> None:
        """Set the engines in service and the rings, of the own zone and of all zones, by role."""
        self.pools = pools
        self.zones.update((engine.zone, None) for pool in pools.values() for engine in pool)
        self.rings = rings
        self.budgets: dict[Role, tuple[float, float, float]] = {}  # when computed; as in `budgets_for`
        self.shares_computed_at, self.shares = -inf, dict[tuple[Role, int], float]()  # by role and zone
        # How many of the recent keys lead to each engine.
        self.picks_counted_at, self.pick_counts = -inf, dict[Engine, float]()

    def end_decision(self) -> None:
        """Count the keys and draws of a decision: only now, as a request's own say nothing of the others."""
        self.recent_keys.extend(self.new_keys)
        self.new_keys.clear()
        self.traffic.end_decision()

    def is_cold(self, engine: Engine) -> bool:
        """Return whether it has started so recently that it may not be warm yet."""
        return engine.started != 0.0 and self.clock.now - engine.started < self.warm_after

    def warm_engines(self, role: Role) -> list[Engine]:
        """Return the engines of a role that are in service and warm."""
        return [engine for engine in self.pools[role] if not self.is_cold(engine)]

    def admits(self, engine: Engine, session: str, drawn_at: float) -> bool:
        """Return whether a request of a session may go to a cold engine now; drawn_at: when it last drew.

        Guards against all front nodes finding an empty, slow engine at once. Of the requests that lead to a
        cold engine a front node admits a share, by a hash that changes with each of its draws. A front node
        that sends much is also limited to its part of what warm engines answer to it. Could harm by too few
        requests where a front node has seen few prompts and answers.
        """
        if drawn_at < engine.listed_at:
            return False
        window = int(drawn_at / self.window)
        if hash_16(f"{engine.number}:{window}:{session}") >= 65536 * self.admitted_share(engine):
            return False
        per_engine, in_total = self.budgets_for(engine.kind.role)
        cold = [e for e in self.pools[engine.kind.role] if e.cold_attempts and self.is_cold(e)]
        return (
            self.recent_cold_attempts(engine) < 1.0 + per_engine
            and sum(map(self.recent_cold_attempts, cold)) < 1.0 + in_total
        )

    def admitted_share(self, engine: Engine) -> float:
        """Return the share of the requests that lead to a cold engine which may go there."""
        share = self.share_of_all(engine.kind.role, engine.zone)
        if engine.kind.role is Role.DECODE:
            return share
        # Guards against a prompt that becomes popular: none of the keys tells it yet.
        return min(1.0, self.cold_share, share / self.led_share(engine))

    def share_of_all(self, role: Role, zone: int) -> float:
        """Return the share of this front node's requests that may go to one cold engine of a role and zone.

        Over all front nodes it adds up to `cold_share` of what one warm engine there answers, however many
        requests there are. Where the zone has no warm engine, the answers of the other zones count; its own
        requests are taken for an even part of all then.
        """
        if self.shares_computed_at != self.clock.now:
            self.shares_computed_at, self.shares = self.clock.now, {}
        if (role, zone) not in self.shares:
            self.shares[role, zone] = self.cold_share * self.answered_by_warm_engine(role, zone)
        return self.shares[role, zone]

    def answered_by_warm_engine(self, role: Role, zone: int) -> float:
        """Return how many answers one warm engine of a role and zone gives for each draw for its role.

        Where no engine of the role is warm anywhere, an even part of the requests is assumed.
        """
        pool, warm = self.pools[role], self.warm_engines(role)
        if not warm:
            return 1.0 / max(1, len(pool))
        reference, zones = [engine for engine in warm if engine.zone == zone], 1
        if not reference:
            if role is Role.DECODE or zone == self.zone:
                zones = len(self.zones)
            elif self.rings[role][0].points:
                return 0.0  # left to the front nodes of that zone
            reference = warm
        counted, expected = dict.fromkeys(reference), len(reference) / len(pool)
        if role is Role.DECODE:
            answered = self.traffic.answered_per_state_draw(zone, counted, expected)
        else:
            answered = self.traffic.answered_per_prompt_draw(role, counted, expected)
        return zones * answered / len(reference)

    def record_attempt(self, engine: Engine) -> ColdAdmission:
        """Record an attempt that is sent to a cold engine now, and return why it was let in."""
        engine.cold_attempts.append(self.clock.now)
        self.attempts_sent += 1
        return ColdAdmission(
            self.clock.now - engine.started, self.admitted_share(engine), self.recent_cold_attempts(engine)
        )

    def admits_second_choice(self, engine: Engine, session: str) -> bool:
        """Return whether a cold engine may be used as the second choice of a request.

        Guards against second choices, which prefer an empty cold engine for its low load and are not counted
        in `led_share`: only a part of them is admitted, by a hash. While few keys are known, the extra part
        of one that `led_share` counts stands for them. Costs a longer queue at the first choice.
        """
        if not self.is_cold(engine) or len(self.recent_keys) < MIN_RECENT_KEYS:
            return True
        return hash_16(f"second:{engine.number}:{session}") < SECOND_CHOICE_SHARE * 65536

    def recent_cold_attempts(self, engine: Engine) -> int:
        """Return the number of our attempts at a cold engine within the last window."""
        return sum(sent_at >= self.clock.now - self.window for sent_at in engine.cold_attempts)

    def led_share(self, engine: Engine) -> float:
        """Return the share of this front node's recent keys that lead to an engine.

        Only first choices count. Computed once a window for all engines.
        """
        if self.clock.now - self.picks_counted_at >= self.window:
            self.picks_counted_at, self.pick_counts = self.clock.now, {}
            for role, (near, far) in self.rings.items():
                if role is Role.DECODE:
                    continue  # `admitted_share` needs no count for it
                # Engines of the own zone are reached by its ring, the others where that zone is busy.
                if len(far.points) > len(near.points):
                    self.pick_counts |= self.count_picks(far)
                self.pick_counts |= self.count_picks(near)
        return self.smoothed_share(self.pick_counts.get(engine, 0.0))

    def smoothed_share(self, count: float) -> float:
        """Return which share of all requests leads to an engine that so many recent keys lead to.

        A part of a key more is counted than was seen. Guards against front nodes that have seen few keys and
        take a popular engine for one that nothing leads to. Averaged over all of them a cold engine gets what
        it should, and less where few keys are known.
        """
        return (count + EXTRA_KEYS) / (len(self.recent_keys) + EXTRA_KEYS)

    def count_picks(self, ring: Ring) -> dict[Engine, float]:
        """Return how many recent keys reach each engine of a ring.

        Guards against several cold engines in a row on the ring: requests that the first one does not admit
        lead to the next, which may be cold too. What each admits depends on how many reach it: a first count
        takes these to be spread evenly.
        """
        even = len(self.recent_keys) * POINTS_PER_ENGINE / max(1, len(ring.points))
        return self.count_picks_by(ring, self.count_picks_by(ring, {}, even), even)

    def count_picks_by(self, ring: Ring, estimate: dict[Engine, float], even: float) -> dict[Engine, float]:
        """Return that count; estimate: an earlier one; even: for engines that it lacks."""
        counts: dict[Engine, float] = {}
        remaining = 1.0

        def ends_at(engine: Engine) -> bool:
            nonlocal remaining
            counts[engine] = counts.get(engine, 0.0) + remaining
            if not self.is_cold(engine):
                return True
            led = self.smoothed_share(estimate.get(engine, even))
            remaining *= 1.0 - min(1.0, self.share_of_all(engine.kind.role, engine.zone) / led)
            return False

        for key in self.recent_keys:
            remaining = 1.0
            ring.pick(f"1:{key}", ends_at)
        return counts

    def budgets_for(self, role: Role) -> tuple[float, float]:
        """Return this front node's attempts in a window at one cold engine of the role, and at all of them.

        The total is limited as well, because each engine is always allowed one attempt and those of many
        front nodes add up.
        """
        computed_at, per_engine, in_total = self.budgets.get(role, (-1.0, 0.0, 0.0))
        if computed_at != self.clock.now:
            pool, warm = self.pools[role], self.warm_engines(role)
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
        now, traffic, counted = self.clock.now, self.traffic, dict.fromkeys(engines)
        recent = traffic.answers_since(now - self.window, counted)
        if recent >= MIN_ANSWERS:
            return recent / self.window
        return max(1, traffic.answers_since(now - traffic.longest, counted)) / self.warm_after
