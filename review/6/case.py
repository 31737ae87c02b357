"""Bad clients send large requests again and again: a front node goes over its memory and is killed."""

import asyncio
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from kit_2 import (
    TROUBLE,
    Case,
    Client,
    Discovery,
    Engine,
    Front,
    World,
    play,
    settings,
)

MEMORY_MB = 192  # the most that the standing pages name
DESCRIPTORS = 1_024  # the same
PROCESSES = 4
CONNECTIONS = 50  # of bad clients in each process, one request at a time on each
TIME = 15.0  # s
USUAL_RATE = 5.0  # requests a second of the usual clients


def resident_mb(front: Front) -> float:
    assert front.process
    for line in Path(f"/proc/{front.process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def body(case: Case) -> None:
    world = World(case.record)
    readers = [Engine(world, f"r{i}", "prefill", "read") for i in range(4)]
    writers = [Engine(world, f"w{i}", "decode-a", "write") for i in range(6)]
    both = [Engine(world, f"c{i}", "combined", "both") for i in range(3)]
    engines = readers + writers + both
    for engine in engines:
        engine.quiet = True
    await case.open(*engines)
    discovery = Discovery(case.record, engines)
    await case.open(discovery)
    front = Front(case, "n0", discovery, settings())
    front.limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    front.start()
    await front.wait_ready()
    case.record.add(f"memory of the front node at rest: {resident_mb(front):.1f} MB of {MEMORY_MB}")
    killed = False
    lost = 0

    async def platform() -> None:
        """Kill the front node over its limit, as the platform does."""
        nonlocal killed
        most = 0.0
        while not killed:
            held = resident_mb(front)
            if held > most + 10.0:
                most = held
                case.record.add(f"memory {held:.1f} MB")
            if held > MEMORY_MB:
                killed = True
                assert front.process
                front.process.kill()
                case.broken(f"the front node held {held:.1f} MB of {MEMORY_MB} and was killed")
            await asyncio.sleep(0.02)

    async def usual_client(number: int) -> None:
        nonlocal lost
        client, name = Client(case, front), f"{number:016x}"
        with suppress(OSError, TimeoutError):  # the front node is gone
            answer = await asyncio.wait_for(client.ask(name, 600, 3_000, quiet=True), 20.0)
            case.record.add("usual client got", name, answer.status, "whole" if answer.whole else "not whole")
            lost += not answer.whole
        client.close()

    watching = asyncio.ensure_future(platform())
    bad: list[subprocess.Popen[bytes]] = []
    output = case.folder / "bad.txt"
    with output.open("wb") as file:
        for process in range(PROCESSES if TROUBLE else 0):
            script = Path(__file__).resolve().parent / "bad_clients.py"
            words = [script, front.port, CONNECTIONS, TIME, process]
            bad.append(subprocess.Popen([sys.executable, *map(str, words)], stdout=file))
            case.processes.append(bad[-1])
    end, number = case.record.now + TIME, 0
    usual: list[asyncio.Task[None]] = []
    while case.record.now < end and not killed:
        number += 1
        usual.append(asyncio.ensure_future(usual_client(number)))
        await asyncio.sleep(1.0 / USUAL_RATE)
    await asyncio.wait(usual)
    watching.cancel()
    for process_of_clients in bad:
        await asyncio.to_thread(process_of_clients.wait, 20.0)
    case.record.add("bad clients got, by process:", output.read_text().replace("\n", " "))
    case.record.add("requests of usual clients cut off:", lost)


play(Path(__file__).with_name("record.txt"), body)
