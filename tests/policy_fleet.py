"""A simulated fleet: many routers that exchange no messages, on a clock of its own.

Engines serve requests one after the other, more slowly while they are cold. The popularity of shared prefixes
follows Zipf's law. Some engines restart cold as a burst begins, and some front nodes restart at that moment.
"""

from collections import defaultdict
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import sqrt
from random import Random

from heathford.interface import Effect, Group, Health, EngineKind, Role, Outcome, Workload
from heathford.policy import RequestState, Router

WINDOW = 1.0  # s over which the rule for cold engines counts attempts
WARM_AFTER = 9.0  # s
COLD_FROM = 0.3  # share of its capacity that a cold engine has at first
COLD_MULTIPLE = 2.5  # times its present capacity: what the rule allows a cold engine
CAPACITY = 8.0  # requests a second of a warm engine
ENGINES = 16
LOAD = 0.9  # share of all engines' capacity
BURST_RATIO = 1.5  # times that load, from the restart of the cold engines on
BURST_SECONDS = 3.0
START_TIME = 100.0  # s on the clock
COLD_AT = START_TIME + 5.0
DURATION = 12.0  # s
RESTARTED_SHARE = 0.2  # share of the front nodes that restart with the cold engines
SHARED_PREFIXES = 100
SHARED_SHARE = 0.9  # share of the requests that begin with a shared prefix

LAYOUTS = {
    "combined": [EngineKind(Role.COMBINED, 0)],
    "separate": [EngineKind(Role.PREFILL, 0), EngineKind(Role.DECODE, 0)],
}


class SimulatedRequest:
    """One request; implements heathford.interface.RequestActions."""

    def __init__(self, fleet: "SimulatedFleet", front: "SimulatedFrontNode") -> None:
        self.fleet, self.front, self.attempts = fleet, front, 0
        self.state: RequestState | None = None
        self.prompt = "", "", 0  # session, shared prefix, length in tokens

    def send(self, engine: int, timeout: float) -> None:
        self.fleet.simulate_attempt(self, self.attempts, engine, timeout)
        self.attempts += 1

    def cancel(self, seq: int) -> None: ...

    def rate_limit(self, retry_after: float) -> None: ...

    def abort(self) -> None: ...

    def release(self) -> None: ...


class SimulatedFrontNode:
    """One router, which may restart."""

    def __init__(self, fleet: "SimulatedFleet", number: int) -> None:
        self.fleet, self.number = fleet, number
        self.start()

    def start(self) -> None:
        fleet = self.fleet
        self.router = Router(
            fleet,
            self,
            self.number,
            fleet.kinds,
            fleet.workloads,
            self.number,
            fleet.fronts,
            fleet.zone_of_front(self.number),
            4,
            0.5,
            True,
            True,
            2.0,
            WARM_AFTER,
            COLD_FROM,
            COLD_MULTIPLE,
            WINDOW,
            False,
            False,
        )
        self.apply_endpoint_list(True, list(fleet.started))

    def apply_endpoint_list(self, complete: bool, engines: list[int]) -> None:
        self.router.begin_list_update(complete)
        for engine in engines:
            kind = engine % len(self.fleet.kinds)
            zone, cell = self.fleet.place_of(engine)
            self.router.update_engine(
                engine, zone, kind, cell, self.fleet.health[engine], 1.0, self.fleet.started[engine]
            )
        self.router.end_list_update()

    def wake(self, after: float) -> None:
        self.fleet.at(self.fleet.now + after, self.router.decide)

    def subscribe(self) -> None: ...

    def trace(self, text: str) -> None: ...


class SimulatedFleet:
    """All front nodes and engines, and the schedule of events."""

    def __init__(
        self,
        fronts: int,
        kinds: list[EngineKind],
        cold: int,
        seed: int,
        capacity: float = CAPACITY,
        duration: float = DURATION,
        restarted: float = RESTARTED_SHARE,
        engines: int = ENGINES,
    ) -> None:
        self.random, self.now, self.fronts, self.kinds = Random(seed), START_TIME, fronts, kinds
        self.capacity, self.restarted = capacity, restarted
        self.workloads = [Workload(1.0, 0.0, 0.05, Effect.IDEMPOTENT, Group.ALL, 2.0, 1.0)]
        self.set_workloads()
        self.event_count, self.schedule = count(), list[tuple[float, int, Callable[[], None]]]()
        self.started = dict.fromkeys(range(1, engines + 1), 0.0)
        self.health = dict.fromkeys(self.started, Health.ON)
        self.cold = list(self.started)[:cold]
        self.busy_until: dict[int, float] = defaultdict(float)
        self.attempts_by_engine: dict[int, list[float]] = defaultdict(list)
        self.nodes = [SimulatedFrontNode(self, number) for number in range(fronts)]
        self.schedule_day(duration)

    def schedule_day(self, duration: float) -> None:
        """Schedule the restart of the cold engines and all requests; a subclass may play another day."""
        self.at(COLD_AT, self.restart_engines_cold)
        at = START_TIME
        while at < START_TIME + duration:
            bursting = COLD_AT < at < COLD_AT + BURST_SECONDS
            rate = ENGINES * self.capacity / len(self.kinds) * LOAD * (BURST_RATIO if bursting else 1.0)
            at += self.random.expovariate(rate)
            self.at(at, self.send_request)

    def zone_of_front(self, number: int) -> int:
        return 0

    def place_of(self, engine: int) -> tuple[int, int]:
        """Return an engine's zone and cell."""
        return 0, engine % 4

    def choose_node(self) -> SimulatedFrontNode:
        """Return the front node that gets the next request."""
        return self.random.choice(self.nodes)

    def set_workloads(self) -> None:
        """Set other workloads in a subclass; called before any front node starts."""

    def at(self, when: float, action: Callable[[], None]) -> None:
        heappush(self.schedule, (when, next(self.event_count), action))

    def run(self) -> None:
        while self.schedule:
            self.now, _, action = heappop(self.schedule)
            action()

    def restart_engines_cold(self) -> None:
        for engine in self.cold:
            self.started[engine] = self.now
        for node in self.nodes:
            if self.random.random() < self.restarted:
                node.start()
            else:
                node.apply_endpoint_list(False, self.cold)

    def new_request(self, node: SimulatedFrontNode) -> SimulatedRequest:
        return SimulatedRequest(self, node)

    def send_request(self) -> None:
        node = self.choose_node()
        request = self.new_request(node)
        popularity = [1 / (prefix + 1) for prefix in range(SHARED_PREFIXES)]
        prefix = self.random.choices(range(SHARED_PREFIXES), popularity)[0]
        shared = str(prefix) if self.random.random() < SHARED_SHARE else ""
        prompt = self.random.choice((300, 1500, 3000, 6000))
        request.prompt = str(self.random.random()), shared, prompt
        self.accept(request)

    def accept(self, request: SimulatedRequest) -> None:
        """Give a request to its front node."""
        (session, shared, prompt), router = request.prompt, request.front.router
        request.state = router.accept(
            request, 0, 0, session, shared, prompt, prompt // 2 if shared else 0, 100, 0.0, self.now + 4.0
        )
        router.decide()

    def simulate_attempt(self, request: SimulatedRequest, attempt: int, engine: int, timeout: float) -> None:
        """Schedule how an attempt ends: its engine serves one at a time, more slowly while it is cold."""
        self.attempts_by_engine[engine].append(self.now)
        warm = min(1.0, (self.now - self.started[engine]) / WARM_AFTER) if self.started[engine] else 1.0
        capacity = self.capacity * (COLD_FROM + (1 - COLD_FROM) * warm)
        self.busy_until[engine] = max(self.now, self.busy_until[engine]) + 1 / capacity
        latency = self.busy_until[engine] - self.now + 0.05
        if self.health[engine] is Health.REMOVED:
            self.end_later(0.001, request, attempt, Outcome.UNREACHABLE)
            return
        role = self.kinds[engine % len(self.kinds)].role
        if latency >= timeout:
            self.end_later(timeout, request, attempt, Outcome.TIMED_OUT)
        elif role is Role.PREFILL:
            self.end_later(latency, request, attempt, Outcome.PREFILLED)
        else:
            self.at(self.now + latency, lambda: self.first_token(request, attempt, latency))
            self.end_later(latency + 1.0, request, attempt, Outcome.FINISHED)

    def first_token(self, request: SimulatedRequest, attempt: int, latency: float) -> None:
        assert request.state
        request.state.first_token(attempt, latency)
        request.front.router.decide()

    def end_later(self, after: float, request: SimulatedRequest, attempt: int, outcome: Outcome) -> None:
        def end() -> None:
            assert request.state
            request.state.ended(attempt, outcome, after, outcome is Outcome.FINISHED, 0, {})
            request.front.router.decide()

        self.at(self.now + after, end)

    def cold_attempts(self, engine: int) -> list[float]:
        return [at for at in self.attempts_by_engine[engine] if COLD_AT <= at < COLD_AT + WARM_AFTER]


def allowed(budget: float) -> float:
    """Return what the users allow for a budget of so many attempts: the excess allows for chance."""
    return budget + (3 * sqrt(budget) + 3 if budget < 30 else 2 * sqrt(budget) + 2)


def max_in_window(times: list[float], window: float) -> int:
    """Return the largest number of these times in any window of that length."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        most = max(most, last - first + 1)
    return most
