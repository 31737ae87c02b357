"""A client leaves while its request waits at a writer in another zone; its state stays held."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from kit_2 import (
    TROUBLE,
    Attempt,
    Case,
    Client,
    Discovery,
    Engine,
    Front,
    Relay,
    World,
    play,
    settings,
)

REQUESTS = 4
CROSS_ZONE = 0.0013  # s one way between two zones: the upper end of the brief's 0.7 to 1.3 ms
WAIT_FOR_SLOT = 0.25  # s that a request waits at a writer until it has a slot and fetches its state
ARRIVES_WITHIN = 2.0  # s from a request to its attempt at the writer
LEAVES_AFTER = 0.12  # s after the attempt has arrived at the writer
HELD_LIMIT = 0.3 + 0.3  # s: the setting, and the slack of the standing test
WATCHED = 3.0  # s


class QueueWorld(World):
    """A release frees what no attempt is waiting on, as the wire page says of it."""

    def __init__(self, case: Case) -> None:
        super().__init__(case.record)
        self.waiting: set[str] = set()

    def release(self, name: str) -> None:
        if name in self.waiting:
            self.record.add("an attempt is waiting on the state of", name)
        else:
            super().release(name)


class Writer(Engine):
    """A writer whose slots are taken: a request waits there, and is dropped at once when it is cancelled."""

    world: QueueWorld

    async def run(self, attempt: Attempt, writer: asyncio.StreamWriter) -> None:
        if attempt.name in self.world.held:
            self.world.waiting.add(attempt.name)
            try:
                await asyncio.sleep(WAIT_FOR_SLOT)
            finally:
                self.world.waiting.discard(attempt.name)
        await super().run(attempt, writer)


async def body(case: Case) -> None:
    world = QueueWorld(case)
    readers = [Engine(world, f"r{i}", "prefill", "read") for i in range(3)]
    writers = [Writer(world, f"w{i}", "decode-a", "write") for i in range(3)]
    await case.open(*readers, *writers)
    for engine in writers:
        engine.zone = "odense"  # the front node and the readers are in kbh
        relay = Relay(engine, CROSS_ZONE)
        await case.open(relay)
        engine.listed_address = relay.address
    discovery = Discovery(case.record, [*readers, *writers])
    await case.open(discovery)
    front = Front(case, "n0", discovery, settings())
    front.start()
    await front.wait_ready()
    for number in range(REQUESTS):
        name, client = f"9b1f03aa5c7e{number:04x}", Client(case, front)
        await client.send(name, 2_600, 3_000)
        if not TROUBLE:
            answer = await client.receive(name)
            if answer.status != 200 or not answer.whole:
                case.record.add("the request was not served")
        else:
            end = case.record.now + ARRIVES_WITHIN
            while name not in world.waiting and case.record.now < end:
                await asyncio.sleep(0.005)
            await asyncio.sleep(LEAVES_AFTER)
            client.close()
            case.record.add("client closes its connection", name)
            await asyncio.sleep(0.1)
        client.close()
    await asyncio.sleep(WATCHED)
    for request, since, until in world.released:
        ends = [attempt.ended_at or until for attempt in world.attempts_of(request)]
        if until - max([since, *(end for end in ends if end <= until)]) > HELD_LIMIT:
            case.broken(f"the state of {request} was held for {until - since:.3f} s")
    for request in world.held:
        ended = max(attempt.ended_at or 0.0 for attempt in world.attempts_of(request))
        held = case.record.now - ended
        case.broken(f"the state of {request} is held {held:.3f} s after its last attempt, never released")


play(Path(__file__).with_name("record.txt"), body)
