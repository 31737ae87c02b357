"""A client leaves while its prompt is being read; the read goes on and its state stays held."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from kit_2 import TROUBLE, Case, Client, Discovery, Engine, Front, World, play, settings

PROMPT = 36_000  # tokens, 144,000 characters
READ_RATE = 12_000.0  # tokens a second, the lower end of the brief's range: this read takes 3 s
BUDGET_MS = 8_000
LEAVES_AFTER = 1.0  # s
HELD_LIMIT = 0.3 + 0.3  # s: the setting, and the slack of the standing test
WATCHED = 8.0  # s after the client has left


async def body(case: Case) -> None:
    world = World(case.record)
    readers = [Engine(world, f"r{i}", "prefill", "read", READ_RATE) for i in range(3)]
    writers = [Engine(world, f"w{i}", "decode-a", "write") for i in range(3)]
    engines = readers + writers
    for engine in engines:
        engine.goes_on = True
    await case.open(*engines)
    discovery = Discovery(case.record, engines)
    await case.open(discovery)
    front = Front(case, "n0", discovery, settings())
    front.start()
    await front.wait_ready()
    client = Client(case, front)
    name = "9b1f03aa5c7e2d41"
    await client.send(name, PROMPT, BUDGET_MS)
    if TROUBLE:
        await asyncio.sleep(LEAVES_AFTER)
        client.close()
        case.record.add("client closes its connection", name)
    else:
        answer = await client.receive(name)
        if answer.status != 200 or not answer.whole:
            case.record.add("the request was not served")
    await asyncio.sleep(WATCHED)
    for request, since, until in world.released:
        if until - since > HELD_LIMIT:
            case.broken(f"the state of {request} was held for {until - since:.3f} s, no attempt out")
    for request, since in world.held.items():
        case.broken(f"the state of {request} is held for {case.record.now - since:.3f} s, never released")


play(__file__, body)
