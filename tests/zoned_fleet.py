"""A simulated fleet in three zones: a zone is lost and comes back cold, engines are replaced, load goes up.

Traffic of the front nodes is uneven, as a front balancer of connections makes it. Clients that are refused
may come again.
"""

from dataclasses import dataclass
from itertools import accumulate

from policy_fleet import (
    COLD_FROM,
    COLD_MULTIPLE,
    START_TIME,
    WARM_AFTER,
    WINDOW,
    SimulatedFleet,
    SimulatedFrontNode,
    SimulatedRequest,
    allowed,
)

from heathford.interface import EngineKind, Health, Role

ZONES = 3
ENGINES_PER_ZONE = 8
CELLS_PER_ZONE = 2
ENGINES = ZONES * ENGINES_PER_ZONE
LOST_AT = START_TIME + 4.0
BACK_AT = START_TIME + 7.0
END_AT = START_TIME + 12.0
TRAFFIC_SHAPE = 1.5  # of the Pareto distribution of the front nodes' traffic
MIN_RETRY_DELAY = 0.1  # s
MAX_CLIENT_TRIES = 4

LAYOUTS = {
    "combined": [EngineKind(Role.COMBINED, 0)],
    "separate": [EngineKind(Role.PREFILL, 0), EngineKind(Role.DECODE, 0)],
    "three roles": [EngineKind(role, 0) for role in Role],
    "few decode engines": [
        EngineKind(Role.PREFILL, 0),
        EngineKind(Role.DECODE, 0),
        EngineKind(Role.PREFILL, 0),
    ],
}


@dataclass(frozen=True)
class Outage:
    """Which engines are lost at LOST_AT, and which of these are back, cold, at BACK_AT."""

    lost: tuple[int, ...]
    back: tuple[int, ...]


ZONE = tuple(range(1, ENGINES_PER_ZONE + 1))
OUTAGES = {
    "zone back": Outage(ZONE, ZONE),
    "half a zone back": Outage(ZONE, ZONE[1::4] + ZONE[2::4]),
    "all replaced at once": Outage(tuple(range(1, ENGINES + 1)), tuple(range(1, ENGINES + 1))),
    "three replaced": Outage(ZONE[:3], ZONE[:3]),
    "one prefill engine of a zone back": Outage(ZONE, ZONE[1:2]),
    "one decode engine of a zone back": Outage(ZONE, ZONE[:1]),
    "a third of each zone": Outage(tuple(range(1, ENGINES, 3)), tuple(range(1, ENGINES, 3))),
}


class RetryingClient(SimulatedRequest):
    """A request whose client may come again when it is refused."""

    fleet: "ZonedFleet"
    tries = 1

    def rate_limit(self, retry_after: float) -> None:
        if self.tries < MAX_CLIENT_TRIES and self.fleet.random.random() < self.fleet.retry_share:
            self.fleet.at(self.fleet.now + max(retry_after, MIN_RETRY_DELAY), self.submit_again)

    def submit_again(self) -> None:
        again = RetryingClient(self.fleet, self.fleet.choose_node())
        again.tries, again.prompt = self.tries + 1, self.prompt
        self.fleet.accept(again)


class ZonedFleet(SimulatedFleet):
    """Front nodes and engines in three zones.

    burst: times the load, from the return of the lost engines on; retry_share: of the refused requests, how
    many come again; restarted: share of the front nodes that restart as the engines return.
    """

    def __init__(
        self,
        fronts: int,
        kinds: list[EngineKind],
        outage: Outage,
        seed: int,
        capacity: float,
        burst: float,
        load: float = 0.9,
        retry_share: float = 0.0,
        restarted: float = 0.0,
    ) -> None:
        self.outage, self.burst, self.load, self.retry_share = outage, burst, load, retry_share
        self.weights = list[float]()
        super().__init__(fronts, kinds, 0, seed, capacity, restarted=restarted, engines=ENGINES)

    def zone_of_front(self, number: int) -> int:
        return number % ZONES

    def place_of(self, engine: int) -> tuple[int, int]:
        zone, place = divmod(engine - 1, ENGINES_PER_ZONE)
        return zone, zone * CELLS_PER_ZONE + place * CELLS_PER_ZONE // ENGINES_PER_ZONE

    def choose_node(self) -> SimulatedFrontNode:
        return self.random.choices(self.nodes, cum_weights=self.weights)[0]

    def new_request(self, node: SimulatedFrontNode) -> RetryingClient:
        return RetryingClient(self, node)

    def schedule_day(self, duration: float) -> None:
        self.weights = list(accumulate(self.random.paretovariate(TRAFFIC_SHAPE) for _ in self.nodes))
        self.at(LOST_AT, self.lose_engines)
        self.at(BACK_AT, self.return_engines)
        at, rate = START_TIME, ENGINES * self.capacity / len(self.kinds) * self.load
        while at < END_AT:
            at += self.random.expovariate(rate * (self.burst if at >= BACK_AT else 1.0))
            self.at(at, self.send_request)

    def lose_engines(self) -> None:
        self.health.update(dict.fromkeys(self.outage.lost, Health.REMOVED))
        for node in self.nodes:
            node.apply_endpoint_list(False, list(self.outage.lost))

    def return_engines(self) -> None:
        self.health.update(dict.fromkeys(self.outage.back, Health.ON))
        self.started.update(dict.fromkeys(self.outage.back, self.now))
        self.busy_until.update(dict.fromkeys(self.outage.back, self.now))
        for node in self.nodes:
            if self.random.random() < self.restarted:
                node.start()
            else:
                node.apply_endpoint_list(False, list(self.outage.back))

    def attempts_since_return(self, engine: int) -> list[float]:
        return [at for at in self.attempts_by_engine[engine] if BACK_AT <= at < END_AT]

    def budget_at(self, at: float) -> float:
        """Return what the rule lets a returned engine get in the window that begins then."""
        warm = min(1.0, (at - BACK_AT) / WARM_AFTER)
        return COLD_MULTIPLE * (COLD_FROM + (1.0 - COLD_FROM) * warm) * self.capacity * WINDOW

    def worst_excess(self, engine: int) -> float:
        """Return the most attempts in a window, at any offset, as a ratio to what is allowed there."""
        times, worst, end = self.attempts_since_return(engine), 0.0, 0
        for first, at in enumerate(times):
            while end < len(times) and times[end] < at + WINDOW:
                end += 1
            worst = max(worst, (end - first) / allowed(self.budget_at(at)))
        return worst
