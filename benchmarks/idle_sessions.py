"""What idle sessions cost a front: memory of each, and first-token latency of busy ones beside them.

    python -m benchmarks.idle_sessions [COUNT [SECONDS]]

Also asks on a tenth of the idle sessions within one second, at the end.
"""

import asyncio
import json
import random
import sys
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram
from tornado.websocket import websocket_connect

from benchmarks.front_cost import ROOT, Through, cpu
from heathford.fuzz.frames import frame, handshake
from heathford.local.deployment import Deployment
from heathford.script.script import read_script

AT_ONCE = 200  # handshakes out together
RATE = 50.0  # busy completions a second
ASK = json.dumps(
    {
        "jsonrpc": "2.0",
        "id": 1,
        "method": "completions.create",
        "params": {"model": "w", "prompt": "x" * 400, "max_tokens": 4, "timeout": 8.0},
    }
).encode()


def resident(pid: int) -> float:
    """kB"""
    line = next(x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if x.startswith("VmRSS"))
    return float(line.split()[1])


async def open_idle(host: str, port: int, count: int, deflate: bool) -> list[Any]:
    limit = asyncio.Semaphore(AT_ONCE)

    async def one() -> Any:
        async with limit:
            reader, writer = await asyncio.open_connection(host, port, limit=2048)
            writer.write(handshake("x", deflate))
            head = await reader.readuntil(b"\r\n\r\n")
            assert b" 101 " in head and deflate == (b"permessage-deflate" in head), head
            return reader, writer

    return list(await asyncio.gather(*(one() for _ in range(count))))


async def busy(url: str, seconds: float) -> HdrHistogram:
    times = HdrHistogram(1, 60_000_000, 3)
    loop = asyncio.get_running_loop()
    sessions = [Through(await websocket_connect(url), times) for _ in range(8)]
    listening = [loop.create_task(s.listen()) for s in sessions]
    chance, begin, at, waits = random.Random(2), loop.time(), 0.0, []
    while at < seconds:
        at += chance.expovariate(RATE)
        await asyncio.sleep(max(0.0, begin + at - loop.time()))
        waits.append(chance.choice(sessions).ask(begin + at))
    await asyncio.gather(*waits)
    for task, session in zip(listening, sessions, strict=True):
        task.cancel()
        session.socket.close()
    return times


def shown(times: HdrHistogram) -> str:
    return " ".join(f"p{p} {times.get_value_at_percentile(p) / 1000:.1f} ms" for p in (50, 99))


async def storm(idle: list[Any]) -> str:
    """A tenth of them ask within one second; what came of it."""
    chosen = idle[::10]
    finals: dict[str, int] = {}
    times = HdrHistogram(1, 60_000_000, 3)
    loop = asyncio.get_running_loop()

    async def one(place: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(place / len(chosen))
        begin = loop.time()
        writer.write(frame(1, ASK))
        first = True
        while True:
            head = await reader.readexactly(2)
            size = head[1] & 0x7F
            if size == 126:
                size = int.from_bytes(await reader.readexactly(2))
            data = await reader.readexactly(size)
            if head[0] & 0x0F != 1:
                continue
            said = json.loads(data)
            if first and said.get("method") == "completions.chunk":
                times.record_value(max(1, int((loop.time() - begin) * 1e6)))
                first = False
            if "method" not in said:
                final = "finished" if "result" in said else said["error"]["data"]["final"]
                finals[final] = finals.get(final, 0) + 1
                return

    async with asyncio.timeout(30.0):
        await asyncio.gather(*(one(n, *pair) for n, pair in enumerate(chosen)))
    return f"{finals}, first token {shown(times)}"


async def measure(count: int, seconds: float) -> None:
    script = read_script(ROOT / "benchmarks" / "one_front.star")
    for deflate in (False, True):
        source = (ROOT / "benchmarks" / "one_front.star").read_text()
        path = ROOT / "benchmarks" / ".idle.star"
        path.write_text(source.replace("compress = False", f"compress = {deflate}"))
        script = read_script(path)
        deployment = Deployment(script)
        try:
            await deployment.start_stand_ins()
            await deployment.list_engines(deployment.address)
            front = await deployment.start_front(0)
            url, pid = front.ready["url"], front.process.pid
            host, _, port = url.removeprefix("ws://").partition("/")[0].rpartition(":")
            await busy(url, seconds)
            without = await busy(url, seconds)
            before, used = resident(pid), cpu(pid)
            idle = await open_idle(host, int(port), count, deflate)
            after = resident(pid)
            opened = cpu(pid) - used
            beside = await busy(url, seconds)
            print(
                f"deflate {deflate}: {count} idle sessions, {(after - before) / count:.1f} kB each "
                f"(front {before / 1024:.0f} to {after / 1024:.0f} MB), {1000 * opened / count:.2f} ms CPU "
                f"to open; busy first token {shown(without)}, beside them {shown(beside)}",
                flush=True,
            )
            print(f"deflate {deflate}: a tenth ask within one second: {await storm(idle)}", flush=True)
            for _, writer in idle:
                writer.transport.abort()
        finally:
            await deployment.end()
            path.unlink(missing_ok=True)


if __name__ == "__main__":
    asyncio.run(
        measure(
            int(sys.argv[1]) if len(sys.argv) > 1 else 10_000,
            float(sys.argv[2]) if len(sys.argv) > 2 else 8.0,
        )
    )
