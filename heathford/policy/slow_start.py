"""Slow start: how much of what leads to a cold engine this instance lets in, without asking the others."""

from collections import deque
from collections.abc import Sequence
from math import inf

from heathford.interface import Clock, Role
from heathford.policy.engine_state import KEPT_MOST, Engine
from heathford.policy.estimators import START_ANSWERS
from heathford.policy.placement import POINTS, Ring, hashed

COLD_PART = 0.8  # of the rule's own budget at the coldest, against warm engines' mean: the rest is chance
SECOND_PART = 0.4  # of second draws: with first ones what leads to a cold engine stays within its budget
TEXTS_KNOWN = 10  # of our recent ones, from which one more than were seen is little
RECENT = 64  # of our completions: by their texts a front tells how much of all leads to one engine


class SlowStart:
    """warm_after, window: s in which engines warm, in which the rule counts; cold_share: of a warm one."""

    def __init__(self, clock: Clock, warm_after: float, window: float, cold_share: float) -> None:
        self.clock, self.warm_after, self.window = clock, warm_after, window
        self.cold_share = cold_share
        self.answers: deque[tuple[float, Engine]] = deque(maxlen=KEPT_MOST)
        self.recent: deque[str] = deque(maxlen=RECENT)  # by what our completions are drawn
        self.list_changed({}, {})

    def list_changed(self, pools: dict[Role, list[Engine]], rings: dict[Role, tuple[Ring, Ring]]) -> None:
        """Engines that are on, by role, and the rings of the own zone and of all."""
        self.pools = pools
        self.rings = {role: near if near.points else far for role, (near, far) in rings.items()}
        self.parts: dict[Role, tuple[float, float, float]] = {}  # when worked out, and sends
        self.drawn_at, self.drawn = -inf, dict[Engine, float]()  # our recent texts, by where they lead

    def is_cold(self, engine: Engine) -> bool:
        """It has started so lately that it may not be warm."""
        return engine.started != 0.0 and self.clock.now - engine.started < self.warm_after

    def takes(self, engine: Engine, session: str, unheard: float) -> bool:
        """Guards against all fronts finding an empty, slow engine at once: of what leads to a cold one each
        lets in the same part, by a hash that changes with the rule's window, so that all parts add up to its
        budget; as much less as a hot text leads there. A front that sends much keeps to its part of what warm
        ones answer to it. Could harm by too few sends where a front has seen few texts."""
        window = int(self.clock.now / self.window)
        drawn = hashed(f"{engine.number}:{window}:{session}") / 65536
        if drawn >= self.cold_share * min(1.0, 1.0 / unheard, 1.0 / self.lead(engine)):
            return False
        each, together = self.parts_of(engine.kind.role)
        cold = [e for e in self.pools[engine.kind.role] if e.cold_sends and self.is_cold(e)]
        return self.sent_cold(engine) < max(1.0, each) and sum(map(self.sent_cold, cold)) < max(1.0, together)

    def takes_second_draw(self, engine: Engine, session: str) -> bool:
        """Guards against second draws, which prefer an empty cold engine for its few tokens and are not
        counted in what leads there: a part of them is taken, by a hash, where the first may be had. Where few
        texts are known the one more that is counted stands for them. Could harm by a longer queue there."""
        if not self.is_cold(engine) or len(self.recent) < TEXTS_KNOWN:
            return True
        return hashed(f"second:{engine.number}:{session}") < SECOND_PART * 65536

    def sent_cold(self, engine: Engine) -> int:
        return sum(sent >= self.clock.now - self.window for sent in engine.cold_sends)

    def lead(self, engine: Engine) -> float:
        """How many times as many of our recent texts lead to this engine by their first draw as to the mean
        one of its ring; one more than were seen. Worked out once a window for all engines."""
        now = self.clock.now
        if now - self.drawn_at >= self.window:
            self.drawn_at, self.drawn = now, {}
            for ring in self.rings.values():
                for key in self.recent:
                    self.count_draw(ring, f"1:{key}")
        engines = len(self.rings[engine.kind.role].points) / POINTS
        return (self.drawn.get(engine, 0.0) + 1) / (len(self.recent) + 1) * max(1.0, engines)

    def count_draw(self, ring: Ring, key: str) -> None:
        """Count a text at the engine that it is drawn to. Guards against one cold engine after another on the
        ring: what the first does not take leads to the next, which may be cold too."""
        left = 1.0

        def ends_at(engine: Engine) -> bool:
            nonlocal left
            self.drawn[engine] = self.drawn.get(engine, 0.0) + left
            left *= 1.0 - self.cold_share
            return not self.is_cold(engine)

        ring.draw(key, ends_at)

    def parts_of(self, role: Role) -> tuple[float, float]:
        """Sends of this front in a window to one cold engine of the role, and to all of them: each alone may
        always get one, and many fronts' ones add up."""
        at, each, together = self.parts.get(role, (-1.0, 0.0, 0.0))
        if at != self.clock.now:
            pool = self.pools[role]
            warm = [e for e in pool if not self.is_cold(e)]
            rate = self.answer_rate(warm or pool) / max(1, len(warm or pool))
            each = self.cold_share * rate * self.window
            together = each * (len(pool) - len(warm))
            self.parts[role] = self.clock.now, each, together
        return each, together

    def answer_rate(self, engines: Sequence[Engine]) -> float:
        """What these answered to this front, a second: in the rule's window, or over the time in which an
        engine warms where that says too little. At least one, else none would ever be tried."""
        now, some, of = self.clock.now, self.answers, dict.fromkeys(engines)
        while some and some[0][0] < now - self.warm_after:
            some.popleft()
        ages = [now - at for at, e in some if e in of]
        recent = sum(age <= self.window for age in ages)
        return recent / self.window if recent >= START_ANSWERS else max(1, len(ages)) / self.warm_after
