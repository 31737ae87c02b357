"""Clients that send much at once: a front node goes over its memory limit, and the platform kills it."""

import asyncio
import sys
from collections import Counter
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
CONNECTIONS = 340  # of the bad clients: under a third of the descriptors
AT_ONCE = 8  # requests that each of these connections sends at once
PROMPT = 62_000  # tokens, 248,000 bytes of body: the protocol allows 262,144
BUDGET_MS = 6_000
WAVES_TIME = 20.0  # s
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
    got: Counter[str] = Counter()
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

    async def bad_client(wave: int, number: int) -> None:
        client = Client(case, front)
        names = [f"{0xBAD:04x}{wave:04x}{number:04x}{i:04x}" for i in range(AT_ONCE)]
        try:
            await client.connect()
            assert client.writer
            client.writer.write(b"".join(client.request(name, PROMPT, BUDGET_MS) for name in names))
            for name in names:
                answer = await asyncio.wait_for(client.receive(name, True), 20.0)
                got[str(answer.status)] += 1
        except (OSError, TimeoutError):
            got["no connection"] += 1
        client.close()

    async def usual_client(number: int) -> None:
        nonlocal lost
        client, name = Client(case, front), f"{number:016x}"
        with suppress(OSError, TimeoutError):  # the front node is gone
            answer = await asyncio.wait_for(client.ask(name, 600, 3_000, quiet=True), 20.0)
            case.record.add("usual client got", name, answer.status, "whole" if answer.whole else "not whole")
            lost += not answer.whole
        client.close()

    watching = asyncio.ensure_future(platform())
    end, number, wave = case.record.now + WAVES_TIME, 0, 0
    usual: list[asyncio.Task[None]] = []
    wave_task: asyncio.Future[list[None]] | None = None
    while case.record.now < end and not killed:
        number += 1
        usual.append(asyncio.ensure_future(usual_client(number)))
        if TROUBLE and (wave_task is None or wave_task.done()):
            wave += 1
            case.record.add("wave", wave, "bad clients got so far", dict(got))
            wave_task = asyncio.gather(*(bad_client(wave, i) for i in range(CONNECTIONS)))
        await asyncio.sleep(1.0 / USUAL_RATE)
    await asyncio.wait(usual)
    watching.cancel()
    if wave_task:
        wave_task.cancel()
        with suppress(asyncio.CancelledError):
            await wave_task
    case.record.add("bad clients got", dict(got), "; requests of usual clients cut off:", lost)


play(__file__, body)
