"""What a front node's memory does while engines, clients and connections come and go, by what holds it.

    python -m benchmarks.platform_memory [--seconds 60] [--rate 15] [--trace]

Stand-ins in this process, the node in one of its own; with --trace the node runs here, under tracemalloc.
"""

import argparse
import asyncio
import gc
import os
import random
import resource
import sys
import tempfile
import tracemalloc
from pathlib import Path
from typing import Any

import orjson

from heathford.platform.process import run_node
from heathford.standin.platform import EVENTS, STREAM, Agent, ScriptedEngine, chunk, settings
from heathford.wire.requests import Request

CLIENT = 90.0  # s that a client keeps its connection after it was answered: until the node closes it
ANSWER = 6.0  # s that an answer streams
PACE = 0.3  # s between its events


class SlowEngine(ScriptedEngine):
    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        self.asked.clear()
        if request.method == "DELETE" or self.reads:
            await super().answer(request, writer)
            self.bodies.clear()
            self.heads.clear()
            return
        writer.write(STREAM)
        for _ in range(int(ANSWER / PACE)):
            writer.write(chunk(EVENTS[0]))
            await asyncio.sleep(PACE)
        writer.write(b"".join(map(chunk, EVENTS[1:])) + b"0\r\n\r\n")


def rss(pid: int) -> float:
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def client(address: tuple[str, int], chance: random.Random) -> None:
    reader, writer = await asyncio.open_connection(*address)
    prompt = chance.randrange(200, 6000)
    body = orjson.dumps(
        {
            "model": "chat",
            "stream": True,
            "max_tokens": 100,
            "messages": [{"role": "user", "content": "x" * 4 * prompt}],
        }
    )
    writer.write(
        (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: o\r\nX-Call-Id: {chance.getrandbits(64):016x}\r\n"
            f"X-Call-Class: chat\r\nX-Route-Hash: {chance.getrandbits(64):016x}\r\nX-Budget-Ms: 4000\r\n"
            f"X-Call-Info: prefix=p{chance.randrange(20)},prompt_len={prompt},prefix_len=100,max_out=100\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        + body
    )
    try:
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(CLIENT)
    except (asyncio.IncompleteReadError, OSError):
        pass
    writer.close()


async def main() -> None:
    options = argparse.ArgumentParser()
    options.add_argument("--seconds", type=float, default=60.0)
    options.add_argument("--rate", type=float, default=15.0)
    options.add_argument("--trace", action="store_true")
    asked = options.parse_args()
    chance = random.Random(1)
    engines: list[ScriptedEngine] = [
        SlowEngine(f"s-{n}", "m0" if n % 2 else "m1", bool(n % 2)) for n in range(12)
    ]
    agent = Agent(*engines)
    for engine in engines:
        await engine.open()
    discovery = await agent.open()
    probe = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    port = probe.sockets[0].getsockname()[1]
    probe.close()
    listen = f"127.0.0.1:{port}"
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_bytes(
            orjson.dumps(
                {
                    "discovery": discovery,
                    "limits": {"sockets": 512},
                    "settings": settings(),
                    "seed": "1",
                    "known": orjson.loads(agent.told(True, [e.row for e in engines])),
                }
            )
        )
        variables = {
            "NODE_NAME": "n0",
            "NODE_LISTEN": listen,
            "NODE_DISCOVERY": discovery,
            "NODE_CONFIG": str(path),
        }
        process: Any = None
        if asked.trace:
            node = asyncio.get_running_loop().create_task(run_node(variables))
            pid = os.getpid()
        else:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "heathford",
                "--log-level",
                "error",
                "platform",
                env={**os.environ, **variables},
                stderr=asyncio.subprocess.DEVNULL,
            )
            pid = process.pid
        await agent.until_watched()
        tasks: dict[asyncio.Task[None], None] = {}
        first = None
        number = len(engines)
        for second in range(int(asked.seconds)):
            for _ in range(int(asked.rate)):
                task = asyncio.create_task(client(("127.0.0.1", port), chance))
                tasks[task] = None
                task.add_done_callback(lambda t: tasks.pop(t))
                await asyncio.sleep(1 / asked.rate)
            if second % 2 == 0:  # one engine goes, another comes
                old, new = (
                    engines.pop(0),
                    SlowEngine(f"s-{number}", "m0" if number % 2 else "m1", bool(number % 2)),
                )
                number += 1
                await new.open()
                engines.append(new)
                agent.engines = engines
                old.state = "DELETED"
                agent.say(new.row, old.row)
                asyncio.get_running_loop().call_later(5.0, old.close)
            if second % 5 == 4:
                print(f"{second + 1:4d} s  {rss(pid):6.1f} MB", flush=True)
            if asked.trace and second in (asked.seconds // 3, asked.seconds - 1):
                gc.collect()
                snapshot = tracemalloc.take_snapshot()
                if first:
                    for line in snapshot.compare_to(first, "lineno")[:60]:
                        print(line)
                first = snapshot
        if process:
            process.kill()
            await process.wait()
            used = resource.getrusage(resource.RUSAGE_CHILDREN)
            count = int(asked.seconds) * int(asked.rate)
            milliseconds = 1000 * (used.ru_utime + used.ru_stime)
            print(f"CPU a request, the start included: {milliseconds / count:.3f} ms")
        else:
            node.cancel()


if __name__ == "__main__":
    if "--trace" in sys.argv:
        tracemalloc.start()
    asyncio.run(main())
