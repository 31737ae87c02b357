"""One run of a plan: front nodes as processes; engines, relays, discovery and clients in this process."""

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
from heathford.soak.engine import EngineConnectionObserver, SoakEngine
from heathford.soak.front import SHIM_FAULTS, CLOCK_STEPS, FrontProcess
from heathford.soak.oracle import Limits
from heathford.soak.plan import STREAM_FAULTS, FaultKind, Plan, Fault
from heathford.soak.records import Record, RecordKind
from heathford.soak.relay import CLOSE_DELAY, ConnectionObserver, Relay
from heathford.standin.platform import SECOND, DiscoveryAgent, settings

ENGINE_COUNT = 10  # in two zones
FIRST_DECODE_SLOT = ENGINE_COUNT // 2  # the engines before it are prefill engines
CLIENTS_PER_FRONT = 4
DRAIN_GRACE = 0.5  # s after which a draining engine may get no new attempts
DRAIN_PERIOD = 1.5  # s from the announced drain to the start of the replacement, and from there to the stop
STREAM_POLL_INTERVAL = 0.1  # s between two checks whether a drained engine still writes streams
ENGINE_CAPACITY = 8.0  # requests per second of a warm engine
MEASURE_INTERVAL = 2.0  # s
LAG_CHECK_INTERVAL = 0.05  # s
LAG_THRESHOLD = 0.02  # s
READY_TIMEOUT = 30.0  # s
ENGINE_FAULTS = (
    FaultKind.ENGINE_ERRORS,
    FaultKind.ENGINE_FULL,
    FaultKind.ENGINE_HANGS,
    FaultKind.ENGINE_SPOILS,
    FaultKind.ENGINE_WRITES_SLOWLY,
)
FRONT_FAULTS = frozenset(
    {
        FaultKind.TERMINATE,
        FaultKind.KILL,
        FaultKind.RELOAD,
        FaultKind.STOP_SHORT,
        FaultKind.STOP_LONG,
        FaultKind.SIGNAL_SERIES,
        FaultKind.STOP_AMID_END,
    }
)
DISCOVERY_FAULTS = (FaultKind.DISCOVERY_SILENT, FaultKind.DISCOVERY_SLOW, FaultKind.DISCOVERY_RESET)
CLIENT_FAULTS = (FaultKind.CLIENTS_LEAVE, FaultKind.CLIENTS_BAD)
ROLL_INTERVAL = 0.3  # s between the SIGTERMs of two front nodes
CROWD_SIZE = 300  # connections; more than a front node has descriptors for clients
SETTLE_TIME = 1.0  # s that a run goes on after the planned time
EFFECTS = {"chat": "free", "booking": "single_shot", "order": "guarded"}  # idempotency by request class


def soak_settings(fronts: int, longest_deadline: float, key_ttl: float) -> dict[str, Any]:
    """Return the settings of the front nodes; longest_deadline, key_ttl: s."""
    front_settings = settings()
    front_settings["nInstances"] = fronts
    for category in front_settings["categories"]:
        category["deadlineNs"] = int(longest_deadline * SECOND)
        category["objectiveNs"] = int(min(1.0, longest_deadline / 2) * SECOND)
    order = {
        **front_settings["categories"][0],
        "name": "order",
        "idempotency": "guarded",
        "group": "zone",
        "keyTtlNs": int(key_ttl * SECOND),
    }
    front_settings["categories"].append(order)
    front_settings["familyInfo"]["tokenAimNs"] = 3 * [front_settings["familyInfo"]["tokenAimNs"][0]]
    return front_settings


@dataclass
class RelayedEngine:
    """A stand-in engine behind its relay; replaced by another one when it has drained."""

    server: SoakEngine
    relay: Relay


class SoakRun:
    """All parts of one run; `records` holds what was observed.

    run_ended: whether the run is over; nothing more is recorded then.
    """

    def __init__(self, plan: Plan, fronts: int, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.records: list[Record] = []
        self.held_states: dict[str, float] = {}
        self.waiting_decodes: Counter[str] = Counter()
        self.front_count = fronts
        self.engines: list[RelayedEngine] = []
        self.agents: list[list[DiscoveryAgent]] = []
        self.discovery: list[Relay] = []
        self.fronts: list[FrontProcess] = []
        self.zones: dict[str, str] = {}
        self.active_client_faults: list[FaultKind] = []
        self.engines_created = 0
        self.draining: set[int] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.run_ended = False

    def add_record(self, record: Record) -> None:
        if not self.run_ended:
            self.records.append(record)

    @property
    def limits(self) -> Limits:
        front_settings = soak_settings(self.front_count, self.plan.longest_deadline, self.plan.key_ttl)
        safety = front_settings["safety"]
        window = safety["fallNs"] / SECOND
        return Limits(
            held_limit=front_settings["familyInfo"]["pinLimitNs"] / SECOND,
            drain_grace=DRAIN_GRACE,
            key_ttl=self.plan.key_ttl,
            effects=EFFECTS,
            cold_budget=safety["tipMultiple"] * safety["coldFrom"] * ENGINE_CAPACITY * window,
            cold_window=window,
            warm_after=safety["warmAfterNs"] / SECOND,
            zones=self.zones,
        )

    # Setup.

    async def new_engine(self, slot: int, boot_ms: int) -> RelayedEngine:
        self.engines_created += 1
        uid, zone = f"e{slot}-{self.engines_created}", "ab"[slot % 2]
        self.zones[uid] = zone
        server = SoakEngine(
            uid,
            slot < FIRST_DECODE_SLOT,
            zone,
            self.held_states,
            self.waiting_decodes,
            self.add_record,
            self.plan.seed * 100 + self.engines_created,
        )
        server.boot_ms = boot_ms
        await server.open()
        port = int(server.address.rpartition(":")[2])
        relay = Relay(
            lambda: ("127.0.0.1", port),
            lambda: EngineConnectionObserver(uid, self.add_record),
            CLOSE_DELAY,
        )
        await relay.listen()
        return RelayedEngine(server, relay)

    def endpoint_entries(self) -> list[dict[str, Any]]:
        return [engine.server.endpoint_entry(engine.relay.port) for engine in self.engines]

    async def new_front(self, number: int) -> None:
        agents: list[DiscoveryAgent] = []
        addresses = []
        for _ in range(2):
            agent = SoakAgent(self.endpoint_entries)
            host, _, port = (await agent.open()).rpartition(":")
            relay = Relay(lambda host=host, port=port: (host, int(port)), ConnectionObserver)  # type: ignore[misc]
            await relay.listen()
            agents.append(agent)
            addresses.append(f"127.0.0.1:{relay.port}")
            self.discovery.append(relay)
        self.agents.append(agents)
        self.fronts.append(
            FrontProcess(
                f"n{number}",
                self.folder,
                soak_settings(self.front_count, self.plan.longest_deadline, self.plan.key_ttl),
                addresses,
                self.shims(number),
                self.add_record,
            )
        )

    def shims(self, number: int) -> list[tuple[str, float, float, float]]:
        """Return the shims of a front node as FrontProcess takes them; times in s from the start of the run.

        They are fixed before the run starts, as the front nodes read them at their start.
        """
        return [
            (t.kind.name, t.at, t.at + t.seconds, CLOCK_STEPS[t.target % len(CLOCK_STEPS)])
            for t in self.plan.faults
            if t.kind in SHIM_FAULTS and t.target % self.front_count == number
        ]

    # The run.

    async def run(self) -> list[Record]:
        self.folder.mkdir(parents=True, exist_ok=True)
        for slot in range(ENGINE_COUNT):
            self.engines.append(await self.new_engine(slot, 0))
        for number in range(self.front_count):
            await self.new_front(number)
        started_at = monotonic() + 2.0 + 0.4 * self.front_count
        try:
            for front in self.fronts:
                front.shims = [
                    (kind, started_at + since, started_at + until, clock_step)
                    for kind, since, until, clock_step in front.shims
                ]
            await asyncio.gather(*(front.start() for front in self.fronts))
            if await self.all_ready():
                await self.inject_faults(max(started_at, monotonic()))
        finally:
            await self.close()
        return self.records

    async def all_ready(self) -> bool:
        try:
            async with asyncio.timeout(READY_TIMEOUT):
                while not all(front.address.ready for front in self.fronts):
                    await asyncio.sleep(0.05)
        except TimeoutError:
            not_ready = [front.name for front in self.fronts if not front.address.ready]
            self.add_record(
                Record(monotonic(), RecordKind.LOG, not_ready[0], text=f"not ready: {', '.join(not_ready)}")
            )
            return False
        return True

    async def inject_faults(self, started_at: float) -> None:
        """Run the clients and inject the plan's faults; return when the run is over."""
        self.spawn(self.watch_lag())
        self.spawn(self.measure())
        addresses = [front.address for front in self.fronts]
        for number in range(CLIENTS_PER_FRONT * self.front_count):
            client = SoakClient(
                number,
                addresses,
                self.add_record,
                self.active_client_faults,
                self.plan.seed,
                self.plan.longest_deadline,
            )
            self.spawn(client.run())
        for fault in self.plan.faults:
            self.spawn(self.inject_fault(fault, started_at + fault.at))
        await asyncio.sleep(max(0.0, started_at + self.plan.seconds + SETTLE_TIME - monotonic()))

    def spawn(self, coroutine: Any) -> None:
        self.tasks.append(asyncio.create_task(coroutine))

    async def inject_fault(self, fault: Fault, at: float) -> None:
        await asyncio.sleep(max(0.0, at - monotonic()))
        kind, seconds = fault.kind, fault.seconds
        front = self.fronts[fault.target % self.front_count]
        slot = engine_slot(fault)
        engine = self.engines[slot]
        if kind is FaultKind.ROLE_SILENT:
            await self.silence_role(fault)
            return
        if kind is FaultKind.ROLL:
            await self.roll()
            return
        affects_engine = kind.name.startswith(("ENGINE", "LINK")) and kind is not FaultKind.LINK_BREAKS
        targets = {"engine": engine.server.uid} if affects_engine else {"front": front.name}
        if kind in CLIENT_FAULTS:
            targets = {}
        self.add_record(Record(monotonic(), RecordKind.TROUBLE, value=seconds, text=kind.name, **targets))
        if kind is FaultKind.CROWD:
            await open_idle_connections(front.address.port, seconds)
        elif kind in FRONT_FAULTS:
            await front.inject(kind, seconds)
        elif kind is FaultKind.ENGINE_DRAINS:
            await self.replace_engine(slot)
        elif kind in ENGINE_FAULTS:
            await self.apply_for(
                engine.server.active_faults.append, engine.server.active_faults.remove, kind, seconds
            )
        elif affects_engine:
            await engine.relay.start_fault(kind)
            await asyncio.sleep(seconds)
            await engine.relay.end_fault(kind)
        elif kind in DISCOVERY_FAULTS:
            relays = self.discovery[2 * (fault.target % self.front_count) :][:2]
            for relay in relays:
                await relay.start_fault(kind)
            await asyncio.sleep(seconds)
            for relay in relays:
                await relay.end_fault(kind)
        elif kind in CLIENT_FAULTS:
            await self.apply_for(
                self.active_client_faults.append, self.active_client_faults.remove, kind, seconds
            )

    async def silence_role(self, fault: Fault) -> None:
        """Silence the links of all but one of the engines of a role at the same time."""
        first = FIRST_DECODE_SLOT * (fault.target % 2)
        slots = range(first, first + FIRST_DECODE_SLOT)
        spared = slots[fault.target // 2 % len(slots)]
        engines = [self.engines[slot] for slot in slots if slot != spared]
        for engine in engines:
            self.add_record(
                Record(
                    monotonic(),
                    RecordKind.TROUBLE,
                    engine=engine.server.uid,
                    value=fault.seconds,
                    text=FaultKind.LINK_SILENT.name,
                )
            )
            await engine.relay.start_fault(FaultKind.LINK_SILENT)
        await asyncio.sleep(fault.seconds)
        for engine in engines:
            await engine.relay.end_fault(FaultKind.LINK_SILENT)

    async def roll(self) -> None:
        """Restart all front nodes with SIGTERM, one after another."""
        for front in self.fronts:
            self.add_record(
                Record(
                    monotonic(),
                    RecordKind.TROUBLE,
                    front.name,
                    value=front.kill_delay,
                    text=FaultKind.TERMINATE.name,
                )
            )
            self.spawn(front.inject(FaultKind.TERMINATE, 0.0))
            await asyncio.sleep(ROLL_INTERVAL)

    async def apply_for(
        self,
        start_fault: Callable[[FaultKind], None],
        end_fault: Callable[[FaultKind], None],
        kind: FaultKind,
        seconds: float,
    ) -> None:
        start_fault(kind)
        await asyncio.sleep(seconds)
        end_fault(kind)

    async def replace_engine(self, slot: int) -> None:
        """Drain an engine, list a cold one instead and stop the drained one."""
        if slot in self.draining:
            return
        self.draining.add(slot)
        old = self.engines[slot]
        old.server.state = "DRAINING"
        self.announce(old)
        for front in self.fronts:
            self.add_record(Record(monotonic(), RecordKind.DRAINED, front.name, "", old.server.uid))
        await asyncio.sleep(DRAIN_PERIOD)
        new = await self.new_engine(slot, int(1000 * time.time()))
        self.add_record(Record(monotonic(), RecordKind.COLD, engine=new.server.uid))
        old.server.state = "DELETED"
        self.engines[slot] = new
        self.announce(old, new)
        await asyncio.sleep(DRAIN_PERIOD)
        while old.server.open_streams:  # an engine that drains finishes what it has
            await asyncio.sleep(STREAM_POLL_INTERVAL)
        old.relay.close()
        old.server.close()
        self.draining.discard(slot)

    def announce(self, *engines: RelayedEngine) -> None:
        entries = [engine.server.endpoint_entry(engine.relay.port) for engine in engines]
        for agents in self.agents:
            for agent in agents:
                agent.send_change(*entries)

    async def watch_lag(self) -> None:
        while True:
            expected_at = monotonic() + LAG_CHECK_INTERVAL
            await asyncio.sleep(LAG_CHECK_INTERVAL)
            lag = monotonic() - expected_at
            if lag > LAG_THRESHOLD:
                self.add_record(Record(monotonic(), RecordKind.LAG, value=lag))

    async def measure(self) -> None:
        while True:
            await asyncio.sleep(MEASURE_INTERVAL)
            for front in self.fronts:
                front.measure()

    async def close(self) -> None:
        """Stop all parts of the run. What this causes is not recorded."""
        self.run_ended = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.gather(*(front.stop() for front in self.fronts))
        for relay in [*self.discovery, *(engine.relay for engine in self.engines)]:
            relay.close()
        for engine in self.engines:
            engine.server.close()
        for agents in self.agents:
            for agent in agents:
                agent.close()
        await asyncio.sleep(0)


def engine_slot(fault: Fault) -> int:
    """Return the slot of the engine that a fault targets: any one, or one that writes streams."""
    if fault.kind in STREAM_FAULTS:
        return FIRST_DECODE_SLOT + fault.target % (ENGINE_COUNT - FIRST_DECODE_SLOT)
    return fault.target % ENGINE_COUNT


async def open_idle_connections(port: int, seconds: float) -> None:
    """Open idle connections, more than a front node can keep, and abort them after `seconds`.

    They are aborted then even if fewer than CROWD_SIZE could be opened.
    """
    end_at = monotonic() + seconds
    writers: list[asyncio.StreamWriter] = []
    while len(writers) < CROWD_SIZE and monotonic() < end_at:
        with suppress(OSError):
            writers.append((await asyncio.open_connection("127.0.0.1", port))[1])
        await asyncio.sleep(0)
    await asyncio.sleep(max(0.0, end_at - monotonic()))
    for writer in writers:
        writer.transport.abort()


class SoakAgent(DiscoveryAgent):
    """A discovery agent whose complete list is computed for each request."""

    def __init__(self, get_entries: Callable[[], list[dict[str, Any]]]) -> None:
        super().__init__()
        self.list_entries = get_entries

    @property
    def engines(self) -> list[Any]:
        return [ListedEngine(entry) for entry in self.list_entries()]

    @engines.setter
    def engines(self, engines: list[Any]) -> None:
        """Ignore the list that the base class sets at its start."""


@dataclass
class ListedEngine:
    """An engine as `DiscoveryAgent` reads it: only the attribute `row`, its entry of the endpoint list."""

    row: dict[str, Any]
