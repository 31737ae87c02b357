"""Inject the faults of a day's script into a deployment at their times, and undo them.

A day is a scripted run, of any length.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from heathford.child_signals import send_signal
from heathford.days.recording import Recording
from heathford.days.tap import Relay
from heathford.local.deployment import LONG_AGO, Deployment, registry_entry
from heathford.script.script import Declaration

DEFAULT_RESTART_TIME = 0.3  # s of downtime where the fault doesn't say how long it lasts
CUT_OFF_AFTER = 400  # bytes of an answer before it is cut off: past its head, within an event


class FaultInjector:
    """Injects faults by commands to the stand-ins, through the relays, and by signals to front nodes.

    relays: by front node and engine; those to the registry under the engine ''.
    """

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
        self.start_times = {e.name: LONG_AGO for e in self.script.all("engine")}

    def affected_engines(self, fault: Declaration) -> list[str]:
        """Return the names of the engines that a fault affects, in the order of the script."""
        zones = {r.name: r.zone for r in self.script.all("rack")}
        return [
            e.name
            for e in self.script.all("engine")
            if fault.engine == e.name
            or fault.rack == e.rack
            or (fault.zone and fault.zone == zones[e.rack] and not fault.rack)
        ]

    async def run(self, fault: Declaration, seconds: float) -> None:
        """Inject a fault at its time, as often as it says.

        seconds: the length of the run, of which fault.at is a share.
        """
        loop = asyncio.get_running_loop()
        at = loop.time() + fault.at * seconds + fault.after
        await asyncio.sleep(at - loop.time())
        await self.inject(fault)
        while fault.every:
            at += fault.every
            await asyncio.sleep(at - loop.time())
            await self.inject(fault)

    async def inject(self, fault: Declaration) -> None:
        """Inject a fault once, and return when it has been undone."""
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
            await self.terminate_front(fault.front, fault.lasts, fault.do == "kill_front")
        elif fault.do.endswith("_list"):
            await self.disturb_list(fault.do, fault.lasts)
        else:

            async def inject_delayed(index: int, name: str) -> None:
                await asyncio.sleep(index * fault.apart)
                await self.inject_engine_fault(fault, name)

            await asyncio.gather(
                *(inject_delayed(n, name) for n, name in enumerate(self.affected_engines(fault)))
            )

    async def inject_engine_fault(self, fault: Declaration, name: str) -> None:
        tell = self.deployment.tell_engine
        commands: dict[str, tuple[dict[str, Any], dict[str, Any] | None]] = {
            "silent": ({"do": "silent", "on": True}, {"do": "silent", "on": False}),
            "stall": ({"do": "stall", "for": fault.lasts}, None),
            "slow": ({"do": "slow", "times": fault.times}, {"do": "slow", "times": 1.0}),
            "forget": ({"do": "forget"}, None),  # empties the prefix cache
            # Its requests of this workload are rejected as at a full engine.
            "full_to": ({"do": "full_to", "workload": fault.workload}, {"do": "full_to", "workload": ""}),
        }
        if fault.do in commands:
            command, undo = commands[fault.do]
            await tell(name, command)
            if undo and fault.lasts:
                await asyncio.sleep(fault.lasts)
                await tell(name, undo)
        elif fault.do == "reset":
            for relay in self.relays_to(name):
                for connection in list(relay.connections):
                    connection.reset()
        elif fault.do == "half":  # the next answer is cut off midway
            for relay in self.relays_to(name):
                relay.cut_next_after = CUT_OFF_AFTER
        elif fault.do == "drain":
            await self.list_engine(name, "Draining")
            await asyncio.sleep(fault.lasts or 3600.0)
            await self.restart_engine(name, DEFAULT_RESTART_TIME)
        elif fault.do == "die":
            await self.stop_engine(name)
            await asyncio.sleep(0.5)
            await self.list_engine(name, "Gone")
            if fault.lasts:
                await asyncio.sleep(fault.lasts)
                await self.start_engine(name)
        else:
            await self.restart_engine(name, fault.lasts or DEFAULT_RESTART_TIME)

    async def restart_engine(self, name: str, downtime: float) -> None:
        await self.stop_engine(name)
        await asyncio.sleep(downtime)
        await self.start_engine(name)

    async def stop_engine(self, name: str) -> None:
        for relay in self.relays_to(name):
            await relay.set_down(True)
        await self.deployment.tell_engine(name, {"do": "die"})
        self.recording.note("day", "died", engine=name)

    async def start_engine(self, name: str) -> None:
        self.start_times[name] = (await self.deployment.tell_engine(name, {"do": "restart"}))["started"]
        self.recording.note("day", "started", engine=name, start=self.start_times[name])
        for relay in self.relays_to(name):
            await relay.set_down(False)
        await self.list_engine(name, "Running")

    def relays_to(self, engine: str) -> list[Relay]:
        return [relay for (_, to), relay in self.relays.items() if to == engine]

    async def list_engine(self, name: str, phase: str) -> None:
        """Put the engine into the registry's list with that phase."""
        declared = self.script.named("engine", name)
        item = registry_entry(
            self.script, declared, self.deployment.address(name), phase, self.start_times[name]
        )
        await self.deployment.tell_registry({"do": "put", "item": item})

    async def cut_zone(self, zone: str, lasts: float) -> None:
        """Partition a zone: neither attempts nor transfers of prefill states cross its border."""
        zones = {r.name: r.zone for r in self.script.all("rack")}
        engine_zones = {e.name: zones[e.rack] for e in self.script.all("engine")}
        front_zones = {f.name: f.zone for f in self.script.all("front")}
        crossing_relays = [
            r
            for (front, engine), r in self.relays.items()
            if engine and (front_zones[front] == zone) != (engine_zones[engine] == zone)
        ]
        other_zones = [z.name for z in self.script.all("zone") if z.name != zone]
        for cut in (True, False):
            for relay in crossing_relays:
                await relay.set_partitioned(cut)
                if cut:
                    self.recording.note("day", "cut", front=relay.front, engine=relay.engine_name)
            await asyncio.gather(
                *(
                    self.deployment.tell_engine(
                        name,
                        {
                            "do": "cut",
                            "zones": (other_zones if engine_zone == zone else [zone]) if cut else [],
                        },
                    )
                    for name, engine_zone in engine_zones.items()
                )
            )
            if cut:
                await asyncio.sleep(lasts)

    async def disturb_list(self, do: str, lasts: float) -> None:
        tell = self.deployment.tell_registry
        if do in ("freeze_list", "replay_list"):
            command = do.removesuffix("_list")
            await tell({"do": command, "on": True})
            await asyncio.sleep(lasts)
            await tell({"do": command, "on": False})
        elif do == "compact_list":
            await tell({"do": "compact"})
        elif lasts:  # cut_list: the registry can't be reached for that time
            for cut in (True, False):
                for (_, to), relay in self.relays.items():
                    if not to:
                        await relay.set_down(cut)
                await asyncio.sleep(lasts * cut)
        else:  # cut_list: the registry resets its connections once
            await tell({"do": "cut"})

    async def terminate_front(self, name: str, lasts: float, kill: bool) -> None:
        """Kill or stop a front node; lasts: seconds until it is started again, 0: never."""
        front = self.deployment.fronts[name]
        self.recording.note("day", "killed" if kill else "stopping", front=name)
        send_signal(front.process, signal.SIGKILL if kill else signal.SIGTERM)
        await front.process.wait()
        self.recording.note("day", "front ended", front=name, code=front.process.returncode)
        if lasts:
            await asyncio.sleep(lasts)
            await self.restart_front(name)
