"""Slow start over real front nodes: an engine of a lost zone comes back cold while load goes up.

The stand-in engines serve one request after the other and record when each arrived. A cold one stays at the
share of its capacity that the settings tell until it is warm, as the settings allow.
"""

import asyncio
import random
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import orjson
from node_processes import PLATFORM_COMMAND, started_node, wait_for_log, write_configuration
from policy_fleet import allowed, max_in_window

from heathford.standin.platform import (
    DECODE_RESPONSE,
    PREFILL_RESPONSE,
    SECOND,
    DiscoveryAgent,
    ScriptedEngine,
    settings,
)
from heathford.wire.requests import Request

FRONTS = 60
ENGINES_BACK = 1  # of the lost ones of one zone
ZONES = "abc"
ENGINES_OF_A_ROLE = 3  # in each zone
CAPACITY = 8.0  # requests per s of a warm engine
COLD_FROM = 0.3
COLD_MULTIPLE = 2.5
WINDOW = 1.0  # s
WARM_AFTER = 8.0  # s
LOAD = 0.9  # share of the capacity of all prefill engines
BURST_RATIO = 3.0  # times that load, from the return of the cold engines on
QUIET_TIME = 3.0  # s before the loss, and until the return: front nodes learn what warm engines answer
OUTAGE_TIME = 1.5  # s
OBSERVED_TIME = 4.0  # s after the return
STARTS_AT_ONCE = 4  # front nodes: a start takes a core, which tests beside this one need too
START_TIMEOUT = 60.0  # s for all front nodes to be ready
BUDGET = COLD_MULTIPLE * COLD_FROM * CAPACITY * WINDOW


class PacedEngine(ScriptedEngine):
    """An engine that serves one request after the other, and more slowly while it is cold."""

    def __init__(self, number: int, zone: str, is_prefill: bool) -> None:
        super().__init__(f"s-{number:08x}", "m0" if is_prefill else "m1", is_prefill)
        self.zone, self.started, self.busy_until = zone, 0.0, 0.0  # s on the loop's clock
        self.arrivals: list[float] = []

    @property
    def row(self) -> dict[str, Any]:
        return {**super().row, "az": self.zone}

    def restart(self) -> None:
        """Begin a new process, which is cold."""
        self.state, self.boot_ms = "SERVING", int(1000 * time.time())
        self.started = self.busy_until = asyncio.get_running_loop().time()
        self.arrivals.clear()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.method == "DELETE":
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        is_cold = self.started and now < self.started + WARM_AFTER
        capacity = CAPACITY * (COLD_FROM if is_cold else 1.0) if self.is_prefill else 100.0 * CAPACITY
        self.busy_until = max(now, self.busy_until) + 1.0 / capacity
        await asyncio.sleep(self.busy_until - now)
        writer.write(PREFILL_RESPONSE if self.is_prefill else DECODE_RESPONSE)


@asynccontextmanager
async def front_process(folder: Path, number: int, discovery: str) -> AsyncIterator[int]:
    """Start one front node of many and return the port at which clients reach it; kill it at the end."""
    own_settings = settings()
    own_settings |= {
        "azs": list(ZONES),
        "myNumber": number,
        "nInstances": FRONTS,
        "zone": number % len(ZONES),
    }
    own_settings["safety"] |= {
        "warmAfterNs": int(WARM_AFTER * SECOND),
        "coldFrom": COLD_FROM,
        "tipMultiple": COLD_MULTIPLE,
        "fallNs": int(WINDOW * SECOND),
    }
    path = folder / f"{number}.json"
    write_configuration(path, discovery, 100 + number, own_settings)
    async with started_node(f"n{number}", path, discovery, *PLATFORM_COMMAND) as process:
        line = await wait_for_log(process, b'"event": "ready"')
        assert process.stderr
        drained = asyncio.ensure_future(process.stderr.read())  # a full pipe would only cost log lines
        yield int(orjson.loads(line)["listen"].rpartition(":")[2])
        drained.cancel()


async def send_request(port: int, name: str, session: int) -> None:
    """Send one client's request and read the answer to its end."""
    body = b'{"model":"chat","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"x"}]}'
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Call-Id: {name}\r\nX-Call-Class: chat\r\n"
        f"X-Route-Hash: {session:016x}\r\nX-Budget-Ms: 4000\r\nConnection: close\r\n"
        f"X-Call-Info: prompt_len=3000,max_out=8\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head.encode() + body)
        await reader.read(-1)
        writer.close()
    except OSError:
        return  # this test counts what engines get, not what clients do


class Traffic:
    """Clients that send at random times to all front nodes, each with a session of its own."""

    def __init__(self, ports: list[int], seed: int) -> None:
        self.ports, self.random, self.tasks = ports, random.Random(seed), set[asyncio.Task[None]]()

    async def run(self, rate: float, seconds: float) -> None:
        """Send so many requests per s for that time."""
        loop = asyncio.get_running_loop()
        due, end = loop.time(), loop.time() + seconds
        while (due := due + self.random.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, due - loop.time()))
            name, session = f"{self.random.getrandbits(64):016x}", self.random.getrandbits(64)
            task = asyncio.ensure_future(send_request(self.random.choice(self.ports), name, session))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)


async def play_return_of_one_engine(folder: Path) -> list[PacedEngine]:
    """Lose the prefill engines of one zone; return those that come back, cold, as load goes up."""
    prefill = [PacedEngine(i, zone, True) for i, zone in enumerate(ZONES * ENGINES_OF_A_ROLE, 1)]
    decode = [PacedEngine(100 + i, zone, False) for i, zone in enumerate(ZONES * ENGINES_OF_A_ROLE, 1)]
    agent = DiscoveryAgent(*prefill, *decode)
    discovery = await agent.open()
    await asyncio.gather(*(engine.open() for engine in prefill + decode))
    async with AsyncExitStack() as stack:
        starting = asyncio.Semaphore(STARTS_AT_ONCE)

        async def start(number: int) -> int:
            async with starting:
                return await stack.enter_async_context(front_process(folder, number, discovery))

        starts = (start(number) for number in range(FRONTS))
        ports = await asyncio.wait_for(asyncio.gather(*starts), START_TIMEOUT)
        await asyncio.wait_for(agent.wait_for_watchers(FRONTS), START_TIMEOUT)
        traffic, rate = Traffic(ports, 1), LOAD * CAPACITY * len(prefill)
        await traffic.run(rate, QUIET_TIME)
        lost = [engine for engine in prefill if engine.zone == ZONES[0]]
        back = lost[:ENGINES_BACK]
        agent.send_change(*({**engine.row, "state": "DELETED"} for engine in lost))
        agent.engines = [engine for engine in agent.engines if engine not in lost]
        await traffic.run(rate, OUTAGE_TIME)
        for engine in back:
            engine.restart()
        agent.engines += back
        agent.send_change(*(engine.row for engine in back))
        await traffic.run(BURST_RATIO * rate, OBSERVED_TIME)
        for task in list(traffic.tasks):
            task.cancel()
    agent.close()
    for engine in prefill + decode:
        engine.close()
    return back


def test_the_only_engine_of_a_zone_that_comes_back_cold_under_a_burst_is_not_overloaded(
    tmp_path: Path,
) -> None:
    """Guards against front nodes whose attempts at a cold engine follow the load that clients offer."""
    back = asyncio.run(asyncio.wait_for(play_return_of_one_engine(tmp_path), 120.0))
    most = [max_in_window(engine.arrivals, WINDOW) for engine in back]
    assert all(count <= allowed(BUDGET) for count in most), f"{most}, {allowed(BUDGET):.1f} are allowed"
    assert all(engine.arrivals for engine in back), "an engine that gets nothing never warms up"
