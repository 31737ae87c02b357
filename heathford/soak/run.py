"""One run of a plan: engines, relays, discovery and clients here, front nodes as processes beside."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from time import monotonic
from typing import Any

from heathford.soak.client import SoakClient
from heathford.soak.engine import EngineLink, SoakEngine
from heathford.soak.front import SHIMMED, STEPS, FrontProcess
from heathford.soak.oracle import Limits
from heathford.soak.plan import Kind, Plan, Trouble
from heathford.soak.records import Record, Seen
from heathford.soak.relay import Relay, Watcher
from heathford.standin.platform import SECOND, Agent, settings

ENGINES = 10  # half of them prefill, in two zones
CLIENTS_EACH = 4  # for each front node
GRACE = 0.5  # s after which nothing new may go to an engine that drains
DRAINED_FOR = 1.5  # s from a drain to the engine's end and the next one's start
CAPACITY = 8.0  # requests a second of a warm engine
MEASURE_EVERY = 2.0  # s
LAG_EVERY = 0.05  # s
LAG_TOLD = 0.02  # s
READY_WITHIN = 30.0  # s
ENGINE_TROUBLES = (Kind.ENGINE_ERRORS, Kind.ENGINE_FULL, Kind.ENGINE_HANGS)
FRONT_TROUBLES = frozenset(
    {
        Kind.TERMINATE,
        Kind.KILL,
        Kind.RELOAD,
        Kind.STOP_SHORT,
        Kind.STOP_LONG,
        Kind.SIGNAL_SERIES,
        Kind.STOP_AMID_END,
    }
)
DISCOVERY_TROUBLES = (Kind.DISCOVERY_SILENT, Kind.DISCOVERY_SLOW, Kind.DISCOVERY_RESET)
CLIENT_TROUBLES = (Kind.CLIENTS_LEAVE, Kind.CLIENTS_BAD)
ROLL_EVERY = 0.3  # s between two front nodes that are told to end
CROWD_SIZE = 300  # connections: more than a front node has descriptors for clients
SEEN_LAST = 1.0  # s after the last trouble until the run is over
EFFECTS = {"chat": "free", "booking": "single_shot", "order": "guarded"}


def soak_settings(fronts: int, longest_deadline: float, window: float) -> dict[str, Any]:
    """What front nodes are told. longest_deadline, window: s."""
    told = settings()
    told["nInstances"] = fronts
    for category in told["categories"]:
        category["deadlineNs"] = int(longest_deadline * SECOND)
        category["objectiveNs"] = int(min(1.0, longest_deadline / 2) * SECOND)
    order = {
        **told["categories"][0],
        "name": "order",
        "idempotency": "guarded",
        "group": "zone",
        "keyTtlNs": int(window * SECOND),
    }
    told["categories"].append(order)
    told["familyInfo"]["tokenAimNs"] = 3 * [told["familyInfo"]["tokenAimNs"][0]]
    return told


@dataclass
class Engine:
    """A stand-in engine behind its relay; another takes its place when it has drained."""

    stand: SoakEngine
    relay: Relay


class World:
    """All that one run needs. records: what was seen."""

    def __init__(self, plan: Plan, fronts: int, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.records: list[Record] = []
        self.rooms: dict[str, float] = {}
        self.wanted: Counter[str] = Counter()
        self.count = fronts
        self.engines: list[Engine] = []
        self.agents: list[list[Agent]] = []
        self.discovery: list[Relay] = []
        self.fronts: list[FrontProcess] = []
        self.zones: dict[str, str] = {}
        self.client_troubles: list[Kind] = []
        self.made = 0
        self.draining: set[int] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.over = False

    def note(self, record: Record) -> None:
        if not self.over:
            self.records.append(record)

    @property
    def limits(self) -> Limits:
        told = soak_settings(self.count, self.plan.longest_deadline, self.plan.window)
        safety = told["safety"]
        window = safety["fallNs"] / SECOND
        return Limits(
            pin=told["familyInfo"]["pinLimitNs"] / SECOND,
            grace=GRACE,
            window=self.plan.window,
            effects=EFFECTS,
            cold_budget=safety["tipMultiple"] * safety["coldFrom"] * CAPACITY * window,
            cold_window=window,
            warm_after=safety["warmAfterNs"] / SECOND,
            zones=self.zones,
        )

    # Setting up.

    async def new_engine(self, place: int, boot_ms: int) -> Engine:
        self.made += 1
        uid, zone = f"e{place}-{self.made}", "ab"[place % 2]
        self.zones[uid] = zone
        stand = SoakEngine(
            uid,
            place < ENGINES // 2,
            zone,
            self.rooms,
            self.wanted,
            self.note,
            self.plan.seed * 100 + self.made,
        )
        stand.boot_ms = boot_ms
        await stand.open()
        port = int(stand.address.rpartition(":")[2])
        relay = Relay(lambda: ("127.0.0.1", port), lambda: EngineLink(uid, self.note))
        await relay.listen()
        return Engine(stand, relay)

    def rows(self) -> list[dict[str, Any]]:
        return [engine.stand.row(engine.relay.port) for engine in self.engines]

    async def new_front(self, number: int) -> None:
        agents: list[Agent] = []
        addresses = []
        for _ in range(2):
            agent = SoakAgent(self.rows)
            host, _, port = (await agent.open()).rpartition(":")
            relay = Relay(lambda host=host, port=port: (host, int(port)), Watcher)  # type: ignore[misc]
            await relay.listen()
            agents.append(agent)
            addresses.append(f"127.0.0.1:{relay.port}")
            self.discovery.append(relay)
        self.agents.append(agents)
        self.fronts.append(
            FrontProcess(
                f"n{number}",
                self.folder,
                soak_settings(self.count, self.plan.longest_deadline, self.plan.window),
                addresses,
                self.shims(number),
                self.note,
            )
        )

    def shims(self, number: int) -> list[tuple[str, float, float, float]]:
        """Known before the run begins: its clock starts once all front nodes are ready."""
        return [
            (t.kind.name, t.at, t.at + t.seconds, STEPS[t.target % len(STEPS)])
            for t in self.plan.troubles
            if t.kind in SHIMMED and t.target % self.count == number
        ]

    # The run.

    async def run(self) -> list[Record]:
        self.folder.mkdir(parents=True, exist_ok=True)
        for place in range(ENGINES):
            self.engines.append(await self.new_engine(place, 0))
        for number in range(self.count):
            await self.new_front(number)
        begin = monotonic() + 2.0 + 0.4 * self.count
        try:
            for front in self.fronts:
                front.shims = [
                    (what, begin + since, begin + until, figure) for what, since, until, figure in front.shims
                ]
            await asyncio.gather(*(front.start() for front in self.fronts))
            if await self.all_ready():
                await self.play(max(begin, monotonic()))
        finally:
            await self.close()
        return self.records

    async def all_ready(self) -> bool:
        try:
            async with asyncio.timeout(READY_WITHIN):
                while not all(front.address.ready for front in self.fronts):
                    await asyncio.sleep(0.05)
        except TimeoutError:
            late = [front.name for front in self.fronts if not front.address.ready]
            self.note(Record(monotonic(), Seen.LOG, late[0], text=f"not ready: {', '.join(late)}"))
            return False
        return True

    async def play(self, begin: float) -> None:
        self.spawn(self.watch_lag())
        self.spawn(self.measure())
        addresses = [front.address for front in self.fronts]
        for number in range(CLIENTS_EACH * self.count):
            client = SoakClient(
                number, addresses, self.note, self.client_troubles, self.plan.seed, self.plan.longest_deadline
            )
            self.spawn(client.run())
        for trouble in self.plan.troubles:
            self.spawn(self.bring(trouble, begin + trouble.at))
        await asyncio.sleep(max(0.0, begin + self.plan.seconds + SEEN_LAST - monotonic()))

    def spawn(self, work: Any) -> None:
        self.tasks.append(asyncio.create_task(work))

    async def bring(self, trouble: Trouble, at: float) -> None:
        await asyncio.sleep(max(0.0, at - monotonic()))
        kind, seconds = trouble.kind, trouble.seconds
        front = self.fronts[trouble.target % self.count]
        place = trouble.target % ENGINES
        engine = self.engines[place]
        if kind is Kind.ROLE_SILENT:
            await self.silence_role(trouble)
            return
        if kind is Kind.ROLL:
            await self.roll()
            return
        about_engine = kind.name.startswith(("ENGINE", "LINK")) and kind is not Kind.LINK_BREAKS
        names = {"engine": engine.stand.uid} if about_engine else {"front": front.name}
        if kind in CLIENT_TROUBLES:
            names = {}
        self.note(Record(monotonic(), Seen.TROUBLE, value=seconds, text=kind.name, **names))
        if kind is Kind.CROWD:
            await crowd(front.address.port, seconds)
        elif kind in FRONT_TROUBLES:
            await front.suffer(kind, seconds)
        elif kind is Kind.ENGINE_DRAINS:
            await self.replace(place)
        elif kind in ENGINE_TROUBLES:
            await self.hold(engine.stand.troubles.append, engine.stand.troubles.remove, kind, seconds)
        elif about_engine:
            await engine.relay.begin(kind)
            await asyncio.sleep(seconds)
            await engine.relay.end(kind)
        elif kind in DISCOVERY_TROUBLES:
            relays = self.discovery[2 * (trouble.target % self.count) :][:2]
            for relay in relays:
                await relay.begin(kind)
            await asyncio.sleep(seconds)
            for relay in relays:
                await relay.end(kind)
        elif kind in CLIENT_TROUBLES:
            await self.hold(self.client_troubles.append, self.client_troubles.remove, kind, seconds)

    async def silence_role(self, trouble: Trouble) -> None:
        """All but one of the engines of a role, at the same moment."""
        half = ENGINES // 2
        first = half * (trouble.target % 2)
        spared = first + trouble.target // 2 % half
        engines = [self.engines[place] for place in range(first, first + half) if place != spared]
        for engine in engines:
            self.note(
                Record(
                    monotonic(),
                    Seen.TROUBLE,
                    engine=engine.stand.uid,
                    value=trouble.seconds,
                    text=Kind.LINK_SILENT.name,
                )
            )
            await engine.relay.begin(Kind.LINK_SILENT)
        await asyncio.sleep(trouble.seconds)
        for engine in engines:
            await engine.relay.end(Kind.LINK_SILENT)

    async def roll(self) -> None:
        """Each front node is told to end, one after another."""
        for front in self.fronts:
            self.note(
                Record(
                    monotonic(), Seen.TROUBLE, front.name, value=front.to_the_kill, text=Kind.TERMINATE.name
                )
            )
            self.spawn(front.suffer(Kind.TERMINATE, 0.0))
            await asyncio.sleep(ROLL_EVERY)

    async def hold(
        self, begin: Callable[[Kind], None], end: Callable[[Kind], None], kind: Kind, seconds: float
    ) -> None:
        begin(kind)
        await asyncio.sleep(seconds)
        end(kind)

    async def replace(self, place: int) -> None:
        """The engine drains, ends, and a cold one is listed in its place."""
        if place in self.draining:
            return
        self.draining.add(place)
        old = self.engines[place]
        old.stand.state = "DRAINING"
        self.tell(old)
        for front in self.fronts:
            self.note(Record(monotonic(), Seen.DRAINED, front.name, "", old.stand.uid))
        await asyncio.sleep(DRAINED_FOR)
        new = await self.new_engine(place, int(1000 * time.time()))
        self.note(Record(monotonic(), Seen.COLD, engine=new.stand.uid))
        old.stand.state = "DELETED"
        self.engines[place] = new
        self.tell(old, new)
        await asyncio.sleep(DRAINED_FOR)
        old.relay.close()
        old.stand.close()
        self.draining.discard(place)

    def tell(self, *engines: Engine) -> None:
        rows = [engine.stand.row(engine.relay.port) for engine in engines]
        for agents in self.agents:
            for agent in agents:
                agent.say(*rows)

    async def watch_lag(self) -> None:
        while True:
            due = monotonic() + LAG_EVERY
            await asyncio.sleep(LAG_EVERY)
            late = monotonic() - due
            if late > LAG_TOLD:
                self.note(Record(monotonic(), Seen.LAG, value=late))

    async def measure(self) -> None:
        while True:
            await asyncio.sleep(MEASURE_EVERY)
            for front in self.fronts:
                front.measure()

    async def close(self) -> None:
        """End all. What is seen from now on is the end's doing, and not noted."""
        self.over = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.gather(*(front.stop() for front in self.fronts))
        for relay in [*self.discovery, *(engine.relay for engine in self.engines)]:
            relay.close()
        for engine in self.engines:
            engine.stand.close()
        for agents in self.agents:
            for agent in agents:
                agent.close()
        await asyncio.sleep(0)


async def crowd(port: int, seconds: float) -> None:
    """Connections that say nothing, more than a front node keeps; gone after so many s, all opened or not."""
    ends = monotonic() + seconds
    writers: list[asyncio.StreamWriter] = []
    while len(writers) < CROWD_SIZE and monotonic() < ends:
        with suppress(OSError):
            writers.append((await asyncio.open_connection("127.0.0.1", port))[1])
        await asyncio.sleep(0)
    await asyncio.sleep(max(0.0, ends - monotonic()))
    for writer in writers:
        writer.transport.abort()


class SoakAgent(Agent):
    """Discovery whose whole list is what there is now."""

    def __init__(self, rows: Callable[[], list[dict[str, Any]]]) -> None:
        super().__init__()
        self.listed = rows

    @property
    def engines(self) -> list[Any]:
        return [ListedRow(row) for row in self.listed()]

    @engines.setter
    def engines(self, engines: list[Any]) -> None:
        """The base class sets an empty list."""


@dataclass
class ListedRow:
    row: dict[str, Any]
