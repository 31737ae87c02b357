"""The module alone in a small world: any settings, engines that fail, hang and drain; five rules asserted.

Nothing here is scored: settings are drawn far wider than any deployment states them, and each play is the
same at each run.
"""

from heapq import heappop, heappush
from itertools import count
from math import sqrt
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heathford.interface import NEVER_RAN, Effect, Group, Health, EngineKind, Role, Outcome, Workload
from heathford.policy import RequestState, Router

DAY = 12.0  # s in which completions arrive
FAILURES = (Outcome.ERROR, Outcome.BROKEN, Outcome.UNREACHABLE, Outcome.FULL, Outcome.UNSENT)


class Dispatched:
    def __init__(self, engine: int, role: Role, place: tuple[int, int], sent: float) -> None:
        self.engine, self.role, self.place, self.sent = engine, role, place, sent
        self.verdict: Outcome | None = None
        self.streaming = False


class Asked:
    """A completion's client and carrier: what the module may do for it is checked as it is done."""

    def __init__(self, world: "World", workload: Workload, due: float) -> None:
        self.world, self.workload, self.due = world, workload, due
        self.dispatches: list[Dispatched] = []
        self.final = ""
        self.held_since: float | None = None  # a state waits at a reader, and nothing is out for it
        self.handle: RequestState | None = None

    @property
    def risky(self) -> list[Dispatched]:
        return [d for d in self.dispatches if d.role is not Role.PREFILL and d.verdict not in NEVER_RAN]

    def close(self, how: str) -> None:
        assert not self.final, f"{how} after {self.final}"
        assert self.world.now <= self.due + 1e-6, f"{how} {self.world.now - self.due} s late"
        self.final = how

    # heathford.interface.RequestActions

    def send(self, engine: int, timeout: float) -> None:
        world, now = self.world, self.world.now
        role, health, place = world.engines[engine]
        assert not self.final and timeout > 0.0 and now + timeout <= self.due + 1e-6
        assert all(d.verdict for d in self.dispatches), "two out at once"
        assert health is Health.ON, "sent to one that drains or is gone"
        assert len(self.dispatches) < world.try_limit
        effect, group, risky = self.workload.effect, self.workload.group, self.risky
        assert not risky or effect is not Effect.NON_IDEMPOTENT, "an effect may come twice"
        if risky and effect is Effect.IDEMPOTENCY_KEYED and role is not Role.PREFILL:
            same = [
                group is Group.ALL or d.place == place or (group is Group.ZONE and d.place[0] == place[0])
                for d in risky
            ]
            assert all(same) and now - risky[0].sent < self.workload.key_ttl
        world.sends.append((now, engine))
        self.held_since = None
        self.dispatches.append(Dispatched(engine, role, place, now))
        world.play_out(self, len(self.dispatches) - 1, timeout)

    def cancel(self, seq: int) -> None:
        self.world.after(0.0, lambda: self.end(seq, Outcome.CANCELLED))

    def rate_limit(self, retry_after: float) -> None:
        effect = self.workload.effect
        known = effect is Effect.IDEMPOTENT or (
            effect is Effect.IDEMPOTENCY_KEYED and self.workload.group is Group.ALL
        )
        assert known or not self.risky, "a repeat may do harm"
        assert 0.0 <= retry_after <= self.world.longest_retry
        assert all(d.verdict for d in self.dispatches)
        self.close("rate-limited")

    def abort(self) -> None:
        assert self.risky, "aborted though nothing ran"
        self.close("aborted")

    def release(self) -> None:
        self.held_since = None

    # What the world does.

    def first_token(self, seq: int) -> None:
        dispatch = self.dispatches[seq]
        if dispatch.verdict or self.final:
            return
        dispatch.streaming = True
        assert self.handle
        self.handle.first_token(seq, self.world.now - dispatch.sent)
        self.due = 1e9  # its client has a stream now: the client timeout stops
        self.world.decide()

    def end(self, seq: int, verdict: Outcome, detail: int = 0) -> None:
        dispatch, world = self.dispatches[seq], self.world
        if dispatch.verdict:
            return
        dispatch.verdict = verdict
        if verdict is Outcome.PREFILLED:
            self.held_since = world.now
        if not self.final and verdict is Outcome.FINISHED:
            self.close("finished")
        elif not self.final and dispatch.streaming:
            self.close("aborted")
        assert self.handle
        self.handle.ended(seq, verdict, world.now - dispatch.sent, bool(self.final), detail, {})
        world.decide()

    def leave(self) -> None:
        if not self.final:
            self.close("left")
            assert self.handle
            self.handle.client_left()
            self.world.decide()


class World:
    def __init__(
        self,
        seed: int,
        kinds: list[EngineKind],
        workloads: list[Workload],
        zones: int,
        engines: int,
        each_second: float,
        trouble: float,
        **more: Any,
    ) -> None:
        self.random, self.now, self.trouble = Random(seed), (0.0, 100.0, 1e6)[seed % 3], trouble
        self.kinds, self.workloads, self.zones, self.each_second = kinds, workloads, zones, each_second
        self.order, self.events = count(), list[tuple[float, int, Any]]()
        self.engines: dict[int, tuple[Role, Health, tuple[int, int]]] = {}
        self.began: dict[int, float] = {}
        self.sends: list[tuple[float, int]] = []
        self.answered: list[float] = []
        self.all: list[Asked] = []
        self.try_limit, self.pin_limit, self.longest_retry = more["try_limit"], more["pin_limit"], 2.0
        self.warm_after, self.cold_window = more["warm_after"], more["cold_window"]
        self.cold_from, self.cold_multiple = more["cold_from"], more["cold_multiple"]
        self.router = Router(
            self,
            self,
            seed,
            kinds,
            workloads,
            may_delay_retries=True,
            longest_retry=self.longest_retry,
            zone=0,
            **more,
        )
        self.count = count(1)
        self.change(
            [(next(self.count), self.random.randrange(len(kinds)), Health.ON, 0.0) for _ in range(engines)]
        )

    # heathford.interface.RouterActions

    def wake(self, after: float) -> None:
        self.after(after, self.decide)

    def subscribe(self) -> None:
        pass

    def trace(self, text: str) -> None:
        pass

    # Time.

    def after(self, seconds: float, call: Any) -> None:
        heappush(self.events, (self.now + seconds, next(self.order), call))

    def decide(self) -> None:
        self.router.decide()
        for asked in self.all:
            if asked.held_since is not None and not asked.final:
                assert self.now - asked.held_since <= self.pin_limit + 1e-6, "a state is pinned"

    def run(self) -> None:
        for _ in range(int(DAY * self.each_second)):
            self.after(self.random.uniform(0.0, DAY), self.ask)
        for _ in range(int(self.trouble * DAY)):
            self.after(self.random.uniform(0.0, DAY), self.replace)
        while self.events:
            self.now, _, call = heappop(self.events)
            call()
        for asked in self.all:
            assert asked.final and all(d.verdict for d in asked.dispatches) and asked.held_since is None
        assert not self.router.waiting and not any(e.in_flight for e in self.router.engines.values())
        self.check_cold()

    def check_cold(self) -> None:
        """The rule allows a cold engine its part of what a warm one bears; here none is known to bear more
        than all answers of a window."""
        most = max(
            (sum(at - self.cold_window <= a <= at for a in self.answered) for at in self.answered), default=0
        )
        allowed = self.cold_from * self.cold_multiple * most
        for number, began in self.began.items():
            sent = [at for at, engine in self.sends if engine == number and at < began + self.warm_after]
            for at in sent:
                held = sum(at <= other < at + self.cold_window for other in sent)
                assert held <= allowed + 3 * sqrt(allowed) + 3

    # What happens.

    def change(self, rows: list[tuple[int, int, Health, float]]) -> None:
        self.router.begin_list_update(False)
        for number, kind, health, started in rows:
            place = number % self.zones, number % (2 * self.zones)
            self.engines[number] = self.kinds[kind].role, health, place
            if started:
                self.began[number] = started
            self.router.update_engine(number, place[0], kind, place[1], health, 1.0, started)
        self.router.end_list_update()

    def replace(self) -> None:
        """One drains or goes; another comes, cold."""
        on = [n for n, (_, health, _) in self.engines.items() if health is Health.ON]
        rows = [(next(self.count), self.random.randrange(len(self.kinds)), Health.ON, self.now + 1e-6)]
        if on:
            old = self.random.choice(on)
            kind = next(k for k, known in enumerate(self.kinds) if known.role is self.engines[old][0])
            health = self.random.choice((Health.DRAINING, Health.REMOVED))
            rows.append((old, kind, health, self.began.get(old, 0.0)))
        self.change(rows)
        self.decide()

    def ask(self) -> None:
        place = self.random.randrange(len(self.workloads))
        workload = self.workloads[place]
        timeout = max(workload.latency_target * self.random.choice((0.3, 2.0, 8.0)), 0.01)
        asked = Asked(self, workload, self.now + timeout)
        self.all.append(asked)
        prompt = self.random.choice((0, 1, 700, 6000, 60_000))
        shared = self.random.choice(("", "a", "b"))
        asked.handle = self.router.accept(
            asked,
            place,
            0,
            str(self.random.randrange(9)),
            shared,
            prompt,
            prompt // 2 if shared else 0,
            self.random.choice((0, 1, 370)),
            self.random.choice((0.0, 1.5)),
            asked.due,
        )
        if self.random.random() < 0.1:
            self.after(self.random.uniform(0.0, timeout), asked.leave)
        self.decide()

    def play_out(self, asked: Asked, seq: int, timeout: float) -> None:
        """How a dispatch goes, drawn: well, badly, or not at all."""
        dispatch, draw = asked.dispatches[seq], self.random.random()
        takes = self.random.choice((0.001, 0.1, 0.5, 1.2)) * timeout
        if draw < 0.2 * self.trouble or takes >= timeout:
            ends = timeout, Outcome.TIMED_OUT
        elif draw < 0.5 * self.trouble:
            ends = takes, self.random.choice(FAILURES)
        elif dispatch.role is Role.PREFILL:
            self.answered.append(self.now + takes)
            ends = takes, Outcome.PREFILLED
        else:
            self.answered.append(self.now + takes)
            self.after(takes, lambda: asked.first_token(seq))
            whole = self.random.random() >= 0.1 * self.trouble
            ends = takes + self.random.uniform(0.0, 2.0), Outcome.FINISHED if whole else Outcome.BROKEN
        detail = int(ends[1] is Outcome.FULL and self.random.random() < 0.3)
        self.after(ends[0], lambda: asked.end(seq, ends[1], detail))


def some_workload(name: int, target: float, effect: Effect, group: Group) -> Workload:
    return Workload(target, 0.035 * (name % 2), (0.0, 0.05)[name % 2], effect, group, target, float(name))


workloads = st.builds(
    some_workload,
    st.integers(0, 3),
    st.sampled_from([0.1, 0.7, 5.0, 60.0]),
    st.sampled_from(Effect),
    st.sampled_from(Group),
)
kinds = st.lists(
    st.builds(EngineKind, st.sampled_from(Role), st.sampled_from([0, 9_000, 150_000, 1_200_000])),
    min_size=1,
    max_size=4,
)


@settings(max_examples=120, deadline=None, derandomize=True, database=None)
@given(
    seed=st.integers(0, 1000),
    kinds=kinds,
    workloads=st.one_of(
        st.lists(workloads, min_size=1, max_size=1), st.lists(workloads, min_size=2, max_size=20)
    ),
    zones=st.integers(1, 4),
    engines=st.integers(0, 24),
    each_second=st.sampled_from([0.5, 3.0, 12.0]),
    trouble=st.sampled_from([0.0, 0.5, 1.5]),
    fronts=st.sampled_from([1, 3, 230, 1024]),
    try_limit=st.integers(1, 6),
    pin_limit=st.sampled_from([0.02, 0.3, 2.0]),
    may_cancel=st.booleans(),
    warm_after=st.sampled_from([0.5, 9.0]),
    cold_window=st.sampled_from([0.0, 1.0]),
    cold_from=st.sampled_from([0.0, 0.3, 1.0]),
    cold_multiple=st.sampled_from([0.0, 2.5]),
    read_in_place=st.booleans(),
    subscribe=st.booleans(),
)
def test_the_rules_hold_under_any_settings(fronts: int, **world: Any) -> None:
    World(number=fronts // 2, fronts=fronts, **world).run()


def test_the_world_sees_a_broken_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    """The checks above are able to fail: with a guard of the module taken out, some play breaks."""
    monkeypatch.setattr(RequestState, "may_go_to", lambda self, engine, now: True)
    once = Workload(5.0, 0.0, 0.05, Effect.NON_IDEMPOTENT, Group.ALL, 2.0, 1.0)
    with pytest.raises(AssertionError, match="an effect may come twice"):
        for seed in range(20):
            World(
                seed,
                [EngineKind(Role.COMBINED, 0)],
                [once],
                1,
                5,
                3.0,
                1.5,
                number=0,
                fronts=1,
                try_limit=4,
                pin_limit=0.3,
                may_cancel=True,
                warm_after=1.0,
                cold_window=1.0,
                cold_from=0.3,
                cold_multiple=2.5,
                read_in_place=False,
                subscribe=False,
            ).run()
