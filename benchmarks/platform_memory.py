"""Measure a front node's memory while engines, clients and connections come and go.

    python -m benchmarks.platform_memory [--seconds 60] [--rate 15] [--trace]

Stand-ins for engines, clients and discovery run in this process, and the node in one of its own. With --trace
the node runs in this process too, and tracemalloc shows which lines hold the memory.
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
from heathford.standin.platform import EVENTS, STREAM, DiscoveryAgent, ScriptedEngine, chunk, settings
from heathford.wire.requests import Request

CLIENT_SECONDS = 90.0  # that a client keeps its connection after its answer: until the node closes it
ANSWER_SECONDS = 6.0  # that an answer streams
EVENT_INTERVAL = 0.3  # s between the events of an answer


class SlowEngine(ScriptedEngine):
    """An engine that streams each answer over ANSWER_SECONDS, and records nothing."""

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        self.received_requests.clear()
        if request.method == "DELETE" or self.is_prefill:
            await super().answer(request, writer)
            self.bodies.clear()
            self.request_headers.clear()
            return
        writer.write(STREAM)
        for _ in range(int(ANSWER_SECONDS / EVENT_INTERVAL)):
            writer.write(chunk(EVENTS[0]))
            await asyncio.sleep(EVENT_INTERVAL)
        writer.write(b"".join(map(chunk, EVENTS[1:])) + b"0\r\n\r\n")


def resident_megabytes(pid: int) -> float:
    """Return the resident set size of a process in MB."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def run_client(address: tuple[str, int], rng: random.Random) -> None:
    """Send one request of random size, and keep the connection open after its answer."""
    reader, writer = await asyncio.open_connection(*address)
    prompt = rng.randrange(200, 6000)
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
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: o\r\nX-Call-Id: {rng.getrandbits(64):016x}\r\n"
            f"X-Call-Class: chat\r\nX-Route-Hash: {rng.getrandbits(64):016x}\r\nX-Budget-Ms: 4000\r\n"
            f"X-Call-Info: prefix=p{rng.randrange(20)},prompt_len={prompt},prefix_len=100,max_out=100\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        + body
    )
    try:
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(CLIENT_SECONDS)
    except (asyncio.IncompleteReadError, OSError):
        pass
    writer.close()


async def main() -> None:
    """Run the load, printing the node's memory every 5 s and its CPU time per request at the end."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=15.0)
    parser.add_argument("--trace", action="store_true")
    arguments = parser.parse_args()
    rng = random.Random(1)
    engines: list[ScriptedEngine] = [
        SlowEngine(f"s-{n}", "m0" if n % 2 else "m1", bool(n % 2)) for n in range(12)
    ]
    agent = DiscoveryAgent(*engines)
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
                    "known": orjson.loads(agent.list_message(True, [e.row for e in engines])),
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
        if arguments.trace:
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
        await agent.wait_for_watchers()
        tasks: dict[asyncio.Task[None], None] = {}
        first_snapshot = None
        number = len(engines)
        for second in range(int(arguments.seconds)):
            for _ in range(int(arguments.rate)):
                task = asyncio.create_task(run_client(("127.0.0.1", port), rng))
                tasks[task] = None
                task.add_done_callback(lambda t: tasks.pop(t))
                await asyncio.sleep(1 / arguments.rate)
            if second % 2 == 0:  # one engine is removed, another added
                old, new = (
                    engines.pop(0),
                    SlowEngine(f"s-{number}", "m0" if number % 2 else "m1", bool(number % 2)),
                )
                number += 1
                await new.open()
                engines.append(new)
                agent.engines = engines
                old.state = "DELETED"
                agent.send_change(new.row, old.row)
                asyncio.get_running_loop().call_later(5.0, old.close)
            if second % 5 == 4:
                print(f"{second + 1:4d} s  {resident_megabytes(pid):6.1f} MB", flush=True)
            if arguments.trace and second in (arguments.seconds // 3, arguments.seconds - 1):
                gc.collect()
                snapshot = tracemalloc.take_snapshot()
                if first_snapshot:
                    for line in snapshot.compare_to(first_snapshot, "lineno")[:60]:
                        print(line)
                first_snapshot = snapshot
        if process:
            process.kill()
            await process.wait()
            used = resource.getrusage(resource.RUSAGE_CHILDREN)
            count = int(arguments.seconds) * int(arguments.rate)
            milliseconds = 1000 * (used.ru_utime + used.ru_stime)
            print(f"CPU a request, the start included: {milliseconds / count:.3f} ms")
        else:
            node.cancel()


if __name__ == "__main__":
    if "--trace" in sys.argv:
        tracemalloc.start()
    asyncio.run(main())
