"""What each protocol costs, TLS on and off, and against the front of the version before, in one run.

    python -m benchmarks.service_cost [SECONDS [RATE]]

Five fronts, each behind engines of its own kind of link, are asked in turn by chance at one rate; each row
gives first-token latency from the intended time, its ratio to the earlier front's, and CPU a completion.
"""

import asyncio
import random
import ssl
import sys
import tarfile
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.front_cost import PROMPT, ROOT, TOKENS, cpu
from heathford.client import HttpClient, WebSocketClient
from heathford.client.answers import CompletionError
from heathford.client.base import Client
from heathford.local.deployment import Deployment
from heathford.script.script import read_script
from heathford.standin.authority import Authority, write_key_files

SESSIONS = 8  # clients of each front: connections that ask at once


class Way:
    """One front and those who ask it."""

    def __init__(self, name: str, pid: int, make: Callable[[], Client]) -> None:
        self.name, self.pid = name, pid
        self.clients = [make() for _ in range(SESSIONS)]
        self.times = HdrHistogram(1, 60_000_000, 3)
        self.count = self.failed = 0
        self.used = 0.0

    def begin(self) -> None:
        self.times.reset()
        self.count = self.failed = 0
        self.used = cpu(self.pid)

    async def ask(self, client: Client, intended: float) -> None:
        loop = asyncio.get_running_loop()
        first = True
        try:
            async for _ in client.stream("w", PROMPT, max_tokens=TOKENS, timeout=10.0):
                if first:
                    self.times.record_value(max(1, int((loop.time() - intended) * 1e6)))
                    first = False
            self.count += 1
        except CompletionError:
            self.failed += 1


async def load(ways: list[Way], seconds: float, rate: float) -> None:
    loop, chance = asyncio.get_running_loop(), random.Random(1)
    begin, at, asking = loop.time(), 0.0, []
    while at < seconds:
        at += chance.expovariate(len(ways) * rate)
        await asyncio.sleep(max(0.0, begin + at - loop.time()))
        way = chance.choice(ways)
        asking.append(loop.create_task(way.ask(chance.choice(way.clients), begin + at)))
    await asyncio.gather(*asking)


async def measure(seconds: float, rate: float, folder: Path) -> None:
    authority = Authority()
    for name, names in (("front", ("localhost",)), ("engine", tuple(f"mixed-{n}" for n in range(3)))):
        write_key_files(folder, authority.issue(names), name)
    (folder / "ca.pem").write_bytes(authority.pem)
    with tarfile.open(ROOT / "tests" / "fixtures" / "version-1.tar.gz") as archive:
        archive.extractall(folder / "before", filter="data")
    source = (ROOT / "benchmarks" / "one_front.star").read_text()
    two = '\nfront("g", zone = "z", address = "127.0.1.10")\nfront("h", zone = "z", address = "127.0.1.11")\n'
    plain, secure = folder / "plain.star", folder / "secure.star"
    plain.write_text(source + two)
    secure.write_text(
        source.replace("127.0.2.9", "127.0.2.10").replace("127.0.1.9", "127.0.1.12")
        + """
front("g", zone = "z", address = "127.0.1.13")
service_tls(certificate = "front.pem", key = "front.key")
stand_in_tls(certificate = "engine.pem", key = "engine.key")
engine_tls(authority = "ca.pem")
"""
    )
    tls = ssl.create_default_context(cafile=str(folder / "ca.pem"))
    tls.check_hostname = False  # fronts are asked by address here
    deployments = [Deployment(read_script(plain)), Deployment(read_script(secure))]
    try:
        ways = []
        for deployment, count in zip(deployments, (3, 2), strict=True):
            await deployment.start_stand_ins()
            await deployment.list_engines(deployment.address)
            for number in range(count):
                early = ("benchmarks.earlier_front", str(folder / "before")) if number == 2 else ()
                front = await deployment.start_front(number, program=early)
                ways.append(way(front, number, tls if count == 2 else None))
        ways.insert(0, ways.pop(2))
        await load(ways, 5.0, rate)  # fronts learn, connections open; not counted
        for one in ways:
            one.begin()
        await load(ways, seconds, rate)
        base = ways[0]
        for one in ways:
            p50, p99 = (one.times.get_value_at_percentile(p) / 1000 for p in (50, 99))
            base50, base99 = (base.times.get_value_at_percentile(p) / 1000 for p in (50, 99))
            each = 1000 * (cpu(one.pid) - one.used) / max(1, one.count)
            print(
                f"{one.name}: {one.count} finished, {one.failed} not; first token p50 {p50:.1f} ms "
                f"({p50 / base50:.2f}), p99 {p99:.1f} ms ({p99 / base99:.2f}); {each:.2f} ms CPU each",
                flush=True,
            )
        for one in ways:
            for client in one.clients:
                await client.close()
    finally:
        for deployment in deployments:
            await deployment.end()


def way(front: Any, number: int, tls: ssl.SSLContext | None) -> Way:
    url, pid = front.ready["url"], front.process.pid
    base = url.replace("ws", "http", 1).removesuffix("/v1/sessions")
    name = "HTTP" if number == 1 else "WebSocket"
    name += (", TLS" if tls else "") + (", before" if number == 2 else "")
    if number == 1:
        return Way(name, pid, lambda: HttpClient([base], tls=tls))
    return Way(name, pid, lambda: WebSocketClient([url], tls=tls))


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as place:
        asyncio.run(
            measure(
                float(sys.argv[1]) if len(sys.argv) > 1 else 20.0,
                float(sys.argv[2]) if len(sys.argv) > 2 else 40.0,
                Path(place),
            )
        )
