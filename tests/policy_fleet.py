"""Many policies beside each other, no messages between them, on a clock of its own.

Engines answer in turn at their capacity, slower while they are cold; texts are asked for by Zipf's law; some
engines come back cold under a burst, and some front nodes have just been restarted then.
"""

from collections import defaultdict
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from heathford.interface import Effect, Group, Health, EngineKind, Role, Outcome, Workload
from heathford.policy import RequestState, Router

WINDOW = 1.0  # s in which the rule counts
WARM_AFTER = 9.0  # s
COLD_FROM = 0.3  # of its capacity that a cold engine has at first
MULTIPLE = 2.5  # times its present capacity that it bears
CAPACITY = 8.0  # requests a second of a warm engine
ENGINES = 16
LOAD = 0.9  # of all engines' capacity
BURST = 1.5  # times that, from the moment the engines are cold
BURST_SECONDS = 3.0
BEGIN = 100.0  # s on the clock
COLD_AT = BEGIN + 5.0
DAY = 12.0  # s
RESTARTED = 0.2  # of the front nodes, in that moment
TEXTS = 100
SHARING = 0.9  # of the requests begin with one of the texts

LAYOUTS = {
    "combined": [EngineKind(Role.COMBINED, 0)],
    "separate": [EngineKind(Role.PREFILL, 0), EngineKind(Role.DECODE, 0)],
}


class RequestDoor:
    """What a policy can do for one request."""

    def __init__(self, fleet: "Fleet", front: "FrontNode") -> None:
        self.fleet, self.front, self.attempts = fleet, front, 0
        self.handle: RequestState | None = None

    def send(self, engine: int, timeout: float) -> None:
        self.fleet.begin(self, self.attempts, engine, timeout)
        self.attempts += 1

    def cancel(self, seq: int) -> None: ...

    def rate_limit(self, retry_after: float) -> None: ...

    def abort(self) -> None: ...

    def release(self) -> None: ...


class FrontNode:
    """One policy, which may start over."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
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
            0,
            4,
            0.5,
            True,
            True,
            2.0,
            WARM_AFTER,
            COLD_FROM,
            MULTIPLE,
            WINDOW,
            False,
            False,
        )
        self.tell(True, list(fleet.started))

    def tell(self, complete: bool, engines: list[int]) -> None:
        self.router.begin_list_update(complete)
        for engine in engines:
            kind = engine % len(self.fleet.kinds)
            self.router.update_engine(engine, 0, kind, engine % 4, Health.ON, 1.0, self.fleet.started[engine])
        self.router.end_list_update()

    def wake(self, after: float) -> None:
        self.fleet.at(self.fleet.now + after, self.router.decide)

    def subscribe(self) -> None: ...

    def trace(self, text: str) -> None: ...


class Fleet:
    """All front nodes and engines."""

    def __init__(
        self,
        fronts: int,
        kinds: list[EngineKind],
        cold: int,
        seed: int,
        capacity: float = CAPACITY,
        day: float = DAY,
        restarted: float = RESTARTED,
    ) -> None:
        self.random, self.now, self.fronts, self.kinds = Random(seed), BEGIN, fronts, kinds
        self.capacity, self.restarted = capacity, restarted
        self.workloads = [Workload(1.0, 0.0, 0.05, Effect.IDEMPOTENT, Group.ALL, 2.0, 1.0)]
        self.set_up()
        self.order, self.agenda = count(), list[tuple[float, int, Callable[[], None]]]()
        self.started = dict.fromkeys(range(1, ENGINES + 1), 0.0)
        self.cold = list(self.started)[:cold]
        self.busy_until: dict[int, float] = defaultdict(float)
        self.sends: dict[int, list[float]] = defaultdict(list)
        self.nodes = [FrontNode(self, number) for number in range(fronts)]
        self.at(COLD_AT, self.come_back_cold)
        at = BEGIN
        while at < BEGIN + day:
            bursting = COLD_AT < at < COLD_AT + BURST_SECONDS
            rate = ENGINES * capacity / len(kinds) * LOAD * (BURST if bursting else 1.0)
            at += self.random.expovariate(rate)
            self.at(at, self.ask)

    def set_up(self) -> None:
        """For worlds that differ: called before any front node starts."""

    def at(self, when: float, do: Callable[[], None]) -> None:
        heappush(self.agenda, (when, next(self.order), do))

    def run(self) -> None:
        while self.agenda:
            self.now, _, do = heappop(self.agenda)
            do()

    def come_back_cold(self) -> None:
        for engine in self.cold:
            self.started[engine] = self.now
        for node in self.nodes:
            if self.random.random() < self.restarted:
                node.start()
            else:
                node.tell(False, self.cold)

    def ask(self) -> None:
        node = self.random.choice(self.nodes)
        door = RequestDoor(self, node)
        popularity = [1 / (text + 1) for text in range(TEXTS)]
        text = self.random.choices(range(TEXTS), popularity)[0]
        shared = str(text) if self.random.random() < SHARING else ""
        prompt = self.random.choice((300, 1500, 3000, 6000))
        session = str(self.random.random())
        door.handle = node.router.accept(
            door, 0, 0, session, shared, prompt, prompt // 2 if shared else 0, 100, 0.0, self.now + 4.0
        )
        node.router.decide()

    def begin(self, door: RequestDoor, attempt: int, engine: int, timeout: float) -> None:
        """An attempt: the engine serves one after the other, slower while it is cold."""
        self.sends[engine].append(self.now)
        warm = min(1.0, (self.now - self.started[engine]) / WARM_AFTER) if self.started[engine] else 1.0
        capacity = self.capacity * (COLD_FROM + (1 - COLD_FROM) * warm)
        self.busy_until[engine] = max(self.now, self.busy_until[engine]) + 1 / capacity
        takes = self.busy_until[engine] - self.now + 0.05
        role = self.kinds[engine % len(self.kinds)].role
        if takes >= timeout:
            self.later(timeout, door, attempt, Outcome.TIMED_OUT)
        elif role is Role.PREFILL:
            self.later(takes, door, attempt, Outcome.PREFILLED)
        else:
            self.at(self.now + takes, lambda: self.first_token(door, attempt, takes))
            self.later(takes + 1.0, door, attempt, Outcome.FINISHED)

    def first_token(self, door: RequestDoor, attempt: int, latency: float) -> None:
        assert door.handle
        door.handle.first_token(attempt, latency)
        door.front.router.decide()

    def later(self, after: float, door: RequestDoor, attempt: int, verdict: Outcome) -> None:
        def end() -> None:
            assert door.handle
            door.handle.ended(attempt, verdict, after, verdict is Outcome.FINISHED, 0, {})
            door.front.router.decide()

        self.at(self.now + after, end)

    def cold_sends(self, engine: int) -> list[float]:
        return [at for at in self.sends[engine] if COLD_AT <= at < COLD_AT + WARM_AFTER]
