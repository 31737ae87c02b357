"""Does to a deployment what a day's script says, at its time, and undoes it."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from heathford.child_signals import send_signal
from heathford.days.recording import Recording
from heathford.days.tap import Relay
from heathford.local.deployment import LONG_AGO, Deployment, entry
from heathford.script.script import Declaration

DOWN = 0.3  # s that an engine takes to come up again where a fault states nothing else
HALF = 400  # bytes of an answer that still pass when it is cut off: past the head, inside an event


class Faults:
    """relays: by front and engine; the list's under the engine ''."""

    def __init__(
        self,
        deployment: Deployment,
        recording: Recording,
        relays: dict[tuple[str, str], Relay],
        restart_front: Callable[[str], Awaitable[None]],
    ) -> None:
        self.deployment, self.recording, self.relays = deployment, recording, relays
        self.restart_front = restart_front
        self.script = deployment.script
        self.starts = {e.name: LONG_AGO for e in self.script.all("engine")}

    def engines(self, fault: Declaration) -> list[str]:
        """The engines that a fault means, in the order of the script."""
        zones = {r.name: r.zone for r in self.script.all("rack")}
        return [
            e.name
            for e in self.script.all("engine")
            if fault.engine == e.name
            or fault.rack == e.rack
            or (fault.zone and fault.zone == zones[e.rack] and not fault.rack)
        ]

    async def run(self, fault: Declaration, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time() + fault.at * seconds + fault.after
        await asyncio.sleep(at - loop.time())
        await self.once(fault)
        while fault.every:
            at += fault.every
            await asyncio.sleep(at - loop.time())
            await self.once(fault)

    async def once(self, fault: Declaration) -> None:
        self.recording.note(
            "day",
            "fault",
            do=fault.do,
            lasts=fault.lasts,
            engine=fault.engine,
            rack=fault.rack,
            zone=fault.zone,
            front=fault.front,
        )
        if fault.do == "cut_zone":
            await self.cut_zone(fault.zone, fault.lasts)
        elif fault.do in ("kill_front", "stop_front"):
            await self.end_front(fault.front, fault.lasts, fault.do == "kill_front")
        elif fault.do.endswith("_list"):
            await self.list_trouble(fault.do, fault.lasts)
        else:

            async def one(place: int, name: str) -> None:
                await asyncio.sleep(place * fault.apart)
                await self.engine_trouble(fault, name)

            await asyncio.gather(*(one(n, name) for n, name in enumerate(self.engines(fault))))

    async def engine_trouble(self, fault: Declaration, name: str) -> None:
        tell = self.deployment.tell_engine
        simple: dict[str, tuple[dict[str, Any], dict[str, Any] | None]] = {
            "silent": ({"do": "silent", "on": True}, {"do": "silent", "on": False}),
            "stall": ({"do": "stall", "for": fault.lasts}, None),
            "slow": ({"do": "slow", "times": fault.times}, {"do": "slow", "times": 1.0}),
            "forget": ({"do": "forget"}, None),
            "full_to": ({"do": "full_to", "workload": fault.workload}, {"do": "full_to", "workload": ""}),
        }
        if fault.do in simple:
            begin, undo = simple[fault.do]
            await tell(name, begin)
            if undo and fault.lasts:
                await asyncio.sleep(fault.lasts)
                await tell(name, undo)
        elif fault.do == "reset":
            for relay in self.of(name):
                for line in list(relay.lines):
                    line.reset()
        elif fault.do == "half":
            for relay in self.of(name):
                relay.half_next = HALF
        elif fault.do == "drain":
            await self.put(name, "Draining")
            await asyncio.sleep(fault.lasts or 3600.0)
            await self.restart(name, DOWN)
        elif fault.do == "die":
            await self.die(name)
            await asyncio.sleep(0.5)
            await self.put(name, "Gone")
            if fault.lasts:
                await asyncio.sleep(fault.lasts)
                await self.come_back(name)
        else:
            await self.restart(name, fault.lasts or DOWN)

    async def restart(self, name: str, down: float) -> None:
        await self.die(name)
        await asyncio.sleep(down)
        await self.come_back(name)

    async def die(self, name: str) -> None:
        for relay in self.of(name):
            await relay.set_dead(True)
        await self.deployment.tell_engine(name, {"do": "die"})
        self.recording.note("day", "died", engine=name)

    async def come_back(self, name: str) -> None:
        self.starts[name] = (await self.deployment.tell_engine(name, {"do": "restart"}))["started"]
        self.recording.note("day", "started", engine=name, start=self.starts[name])
        for relay in self.of(name):
            await relay.set_dead(False)
        await self.put(name, "Running")

    def of(self, engine: str) -> list[Relay]:
        return [relay for (_, to), relay in self.relays.items() if to == engine]

    async def put(self, name: str, phase: str) -> None:
        declared = self.script.named("engine", name)
        item = entry(self.script, declared, self.deployment.address(name), phase, self.starts[name])
        await self.deployment.tell_registry({"do": "put", "item": item})

    async def cut_zone(self, zone: str, lasts: float) -> None:
        """Between that zone and the others nothing passes, neither dispatches nor states."""
        zones = {r.name: r.zone for r in self.script.all("rack")}
        places = {e.name: zones[e.rack] for e in self.script.all("engine")}
        fronts = {f.name: f.zone for f in self.script.all("front")}
        across = [
            r
            for (front, engine), r in self.relays.items()
            if engine and (fronts[front] == zone) != (places[engine] == zone)
        ]
        others = [z.name for z in self.script.all("zone") if z.name != zone]
        for cut in (True, False):
            for relay in across:
                await relay.set_cut(cut)
                if cut:
                    self.recording.note("day", "cut", front=relay.front, engine=relay.to)
            await asyncio.gather(
                *(
                    self.deployment.tell_engine(
                        name, {"do": "cut", "zones": (others if place == zone else [zone]) if cut else []}
                    )
                    for name, place in places.items()
                )
            )
            if cut:
                await asyncio.sleep(lasts)

    async def list_trouble(self, do: str, lasts: float) -> None:
        tell = self.deployment.tell_registry
        if do in ("freeze_list", "replay_list"):
            what = do.removesuffix("_list")
            await tell({"do": what, "on": True})
            await asyncio.sleep(lasts)
            await tell({"do": what, "on": False})
        elif do == "compact_list":
            await tell({"do": "compact"})
        elif lasts:
            for cut in (True, False):
                for (_, to), relay in self.relays.items():
                    if not to:
                        await relay.set_dead(cut)
                await asyncio.sleep(lasts * cut)
        else:
            await tell({"do": "cut"})

    async def end_front(self, name: str, lasts: float, kill: bool) -> None:
        front = self.deployment.fronts[name]
        self.recording.note("day", "killed" if kill else "stopping", front=name)
        send_signal(front.process, signal.SIGKILL if kill else signal.SIGTERM)
        await front.process.wait()
        self.recording.note("day", "front ended", front=name, code=front.process.returncode)
        if lasts:
            await asyncio.sleep(lasts)
            await self.restart_front(name)
