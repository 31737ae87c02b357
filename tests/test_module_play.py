"""A router alone under drawn settings, with engines that fail, hang and drain; five rules are asserted.

Settings are drawn far wider than any deployment states them. Each run draws the same ones.
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

DURATION = 12.0  # s in which requests arrive
FAILURE_OUTCOMES = (Outcome.ERROR, Outcome.BROKEN, Outcome.UNREACHABLE, Outcome.FULL, Outcome.UNSENT)


class SimulatedAttempt:
    def __init__(self, engine: int, role: Role, zone_and_cell: tuple[int, int], sent: float) -> None:
        self.engine, self.role, self.zone_and_cell, self.sent_at = engine, role, zone_and_cell, sent
        self.outcome: Outcome | None = None
        self.streaming = False


class SimulatedRequest:
    """One request, its client and its actions, each of which is checked as it is called."""

    def __init__(self, world: "World", workload: Workload, deadline: float) -> None:
        self.world, self.workload, self.deadline = world, workload, deadline
        self.attempts: list[SimulatedAttempt] = []
        self.final_answer = ""
        # Since when a state waits at a prefill engine, with no attempt in flight.
        self.held_since: float | None = None
        self.state: RequestState | None = None

    @property
    def possibly_run(self) -> list[SimulatedAttempt]:
        return [
            attempt
            for attempt in self.attempts
            if attempt.role is not Role.PREFILL and attempt.outcome not in NEVER_RAN
        ]

    def answer(self, kind: str) -> None:
        assert not self.final_answer, f"{kind} after {self.final_answer}"
        assert self.world.now <= self.deadline + 1e-6, f"{kind} {self.world.now - self.deadline} s late"
        self.final_answer = kind

    # heathford.interface.RequestActions

    def send(self, engine: int, timeout: float) -> None:
        world, now = self.world, self.world.now
        role, health, zone_and_cell = world.engines[engine]
        assert not self.final_answer and timeout > 0.0 and now + timeout <= self.deadline + 1e-6
        assert all(attempt.outcome for attempt in self.attempts), "two attempts in flight at once"
        assert health is Health.ON, "sent to an engine that drains or is removed"
        assert len(self.attempts) < world.try_limit
        effect, group, earlier = self.workload.effect, self.workload.group, self.possibly_run
        assert not earlier or effect is not Effect.NON_IDEMPOTENT, "an effect may come twice"
        if earlier and effect is Effect.IDEMPOTENCY_KEYED and role is not Role.PREFILL:
            same = [
                group is Group.ALL
                or attempt.zone_and_cell == zone_and_cell
                or (group is Group.ZONE and attempt.zone_and_cell[0] == zone_and_cell[0])
                for attempt in earlier
            ]
            assert all(same) and now - earlier[0].sent_at < self.workload.key_ttl
        world.attempts_sent.append((now, engine))
        self.held_since = None
        self.attempts.append(SimulatedAttempt(engine, role, zone_and_cell, now))
        world.simulate_attempt(self, len(self.attempts) - 1, timeout)

    def cancel(self, seq: int) -> None:
        self.world.call_after(0.0, lambda: self.end(seq, Outcome.CANCELLED))

    def rate_limit(self, retry_after: float) -> None:
        effect = self.workload.effect
        known = effect is Effect.IDEMPOTENT or (
            effect is Effect.IDEMPOTENCY_KEYED and self.workload.group is Group.ALL
        )
        assert known or not self.possibly_run, "a repeat may do harm"
        assert 0.0 <= retry_after <= self.world.longest_retry
        assert all(attempt.outcome for attempt in self.attempts)
        self.answer("rate-limited")

    def abort(self) -> None:
        assert self.possibly_run, "aborted though no attempt may have run"
        self.answer("aborted")

    def release(self) -> None:
        self.held_since = None

    # Events of the simulated engines and clients.

    def first_token(self, seq: int) -> None:
        attempt = self.attempts[seq]
        if attempt.outcome or self.final_answer:
            return
        attempt.streaming = True
        assert self.state
        self.state.first_token(seq, self.world.now - attempt.sent_at)
        self.deadline = 1e9  # its client has a stream now, so that its deadline no longer counts
        self.world.decide()

    def end(self, seq: int, outcome: Outcome, detail: int = 0) -> None:
        attempt, world = self.attempts[seq], self.world
        if attempt.outcome:
            return
        attempt.outcome = outcome
        if outcome is Outcome.PREFILLED:
            self.held_since = world.now
        if not self.final_answer and outcome is Outcome.FINISHED:
            self.answer("finished")
        elif not self.final_answer and attempt.streaming:
            self.answer("aborted")
        assert self.state
        self.state.ended(seq, outcome, world.now - attempt.sent_at, bool(self.final_answer), detail, {})
        world.decide()

    def client_leaves(self) -> None:
        if not self.final_answer:
            self.answer("left")
            assert self.state
            self.state.client_left()
            self.world.decide()


class World:
    """Simulated engines and clients around one Router, on a clock of its own; implements RouterActions."""

    def __init__(
        self,
        seed: int,
        kinds: list[EngineKind],
        workloads: list[Workload],
        zones: int,
        engines: int,
        requests_per_second: float,
        failure_rate: float,
        **more: Any,
    ) -> None:
        self.random, self.now, self.failure_rate = Random(seed), (0.0, 100.0, 1e6)[seed % 3], failure_rate
        self.kinds, self.workloads, self.zones, self.requests_per_second = (
            kinds,
            workloads,
            zones,
            requests_per_second,
        )
        self.event_count, self.events = count(), list[tuple[float, int, Any]]()
        self.engines: dict[int, tuple[Role, Health, tuple[int, int]]] = {}
        self.started_at: dict[int, float] = {}
        self.attempts_sent: list[tuple[float, int]] = []
        self.answer_times: list[float] = []
        self.requests: list[SimulatedRequest] = []
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
        self.next_number = count(1)
        self.apply_endpoint_changes(
            [
                (next(self.next_number), self.random.randrange(len(kinds)), Health.ON, 0.0)
                for _ in range(engines)
            ]
        )

    # heathford.interface.RouterActions

    def wake(self, after: float) -> None:
        self.call_after(after, self.decide)

    def subscribe(self) -> None:
        pass

    def trace(self, text: str) -> None:
        pass

    # Time passes.

    def call_after(self, seconds: float, call: Any) -> None:
        heappush(self.events, (self.now + seconds, next(self.event_count), call))

    def decide(self) -> None:
        self.router.decide()
        for request in self.requests:
            if request.held_since is not None and not request.final_answer:
                assert self.now - request.held_since <= self.pin_limit + 1e-6, "a state stays pinned"

    def run(self) -> None:
        for _ in range(int(DURATION * self.requests_per_second)):
            self.call_after(self.random.uniform(0.0, DURATION), self.send_request)
        for _ in range(int(self.failure_rate * DURATION)):
            self.call_after(self.random.uniform(0.0, DURATION), self.replace_engine)
        while self.events:
            self.now, _, call = heappop(self.events)
            call()
        for request in self.requests:
            assert (
                request.final_answer
                and all(attempt.outcome for attempt in request.attempts)
                and request.held_since is None
            )
        assert not self.router.waiting and not any(e.in_flight for e in self.router.engines.values())
        self.check_cold_budgets()

    def check_cold_budgets(self) -> None:
        """Check the rule for cold engines, which get a share of the attempts that a warm one can serve: here
        taken to be all answers of a window."""
        max_answers = max(
            (sum(at - self.cold_window <= a <= at for a in self.answer_times) for at in self.answer_times),
            default=0,
        )
        allowed = self.cold_from * self.cold_multiple * max_answers
        for number, began in self.started_at.items():
            sent = [
                at for at, engine in self.attempts_sent if engine == number and at < began + self.warm_after
            ]
            for at in sent:
                held = sum(at <= other < at + self.cold_window for other in sent)
                assert held <= allowed + 3 * sqrt(allowed) + 3

    # Requests and changes of the endpoint list.

    def apply_endpoint_changes(self, entries: list[tuple[int, int, Health, float]]) -> None:
        self.router.begin_list_update(False)
        for number, kind, health, started in entries:
            zone_and_cell = number % self.zones, number % (2 * self.zones)
            self.engines[number] = self.kinds[kind].role, health, zone_and_cell
            if started:
                self.started_at[number] = started
            self.router.update_engine(number, zone_and_cell[0], kind, zone_and_cell[1], health, 1.0, started)
        self.router.end_list_update()

    def replace_engine(self) -> None:
        """Drain or remove an engine and add another, which is cold."""
        on = [n for n, (_, health, _) in self.engines.items() if health is Health.ON]
        entries = [
            (next(self.next_number), self.random.randrange(len(self.kinds)), Health.ON, self.now + 1e-6)
        ]
        if on:
            old = self.random.choice(on)
            kind = next(k for k, known in enumerate(self.kinds) if known.role is self.engines[old][0])
            health = self.random.choice((Health.DRAINING, Health.REMOVED))
            entries.append((old, kind, health, self.started_at.get(old, 0.0)))
        self.apply_endpoint_changes(entries)
        self.decide()

    def send_request(self) -> None:
        index = self.random.randrange(len(self.workloads))
        workload = self.workloads[index]
        timeout = max(workload.latency_target * self.random.choice((0.3, 2.0, 8.0)), 0.01)
        request = SimulatedRequest(self, workload, self.now + timeout)
        self.requests.append(request)
        prompt = self.random.choice((0, 1, 700, 6000, 60_000))
        shared = self.random.choice(("", "a", "b"))
        request.state = self.router.accept(
            request,
            index,
            0,
            str(self.random.randrange(9)),
            shared,
            prompt,
            prompt // 2 if shared else 0,
            self.random.choice((0, 1, 370)),
            self.random.choice((0.0, 1.5)),
            request.deadline,
        )
        if self.random.random() < 0.1:
            self.call_after(self.random.uniform(0.0, timeout), request.client_leaves)
        self.decide()

    def simulate_attempt(self, request: SimulatedRequest, seq: int, timeout: float) -> None:
        """Draw how an attempt ends: well, badly, or only by its time-out."""
        attempt, draw = request.attempts[seq], self.random.random()
        latency = self.random.choice((0.001, 0.1, 0.5, 1.2)) * timeout
        if draw < 0.2 * self.failure_rate or latency >= timeout:
            ends = timeout, Outcome.TIMED_OUT
        elif draw < 0.5 * self.failure_rate:
            ends = latency, self.random.choice(FAILURE_OUTCOMES)
        elif attempt.role is Role.PREFILL:
            self.answer_times.append(self.now + latency)
            ends = latency, Outcome.PREFILLED
        else:
            self.answer_times.append(self.now + latency)
            self.call_after(latency, lambda: request.first_token(seq))
            whole = self.random.random() >= 0.1 * self.failure_rate
            ends = latency + self.random.uniform(0.0, 2.0), Outcome.FINISHED if whole else Outcome.BROKEN
        detail = int(ends[1] is Outcome.FULL and self.random.random() < 0.3)
        self.call_after(ends[0], lambda: request.end(seq, ends[1], detail))


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
    requests_per_second=st.sampled_from([0.5, 3.0, 12.0]),
    failure_rate=st.sampled_from([0.0, 0.5, 1.5]),
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


def test_a_broken_rule_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The checks above are able to fail: with a guard of the policy taken out, some run does."""
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
