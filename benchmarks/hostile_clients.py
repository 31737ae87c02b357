"""Measure what hostile clients cost a front node: its memory, and what usual clients beside them wait.

    python -m benchmarks.hostile_clients [--memory-mb 192] [--seconds 9] [KIND:CLIENTS …]

Stand-ins for engines, discovery and usual clients run in this process, the front node and the hostile clients
in one each. Prints a row for each kind.
"""

import argparse
import asyncio
import os
import select
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from benchmarks.platform_memory import resident_megabytes
from heathford.standin.platform import DiscoveryAgent, ScriptedEngine, settings

POST = b"POST /v1/chat/completions HTTP/1.1\r\nHost: o\r\nX-Call-Class: chat\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
NO_ID = POST + b"Content-Length: 2\r\n\r\n{}"
READINESS_CHECK = b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n"
FORTY_FIELDS = b"".join(b"name-%d: value\r\n" % number for number in range(40))
AT_ONCE = 250  # requests
USUAL_INTERVAL = 0.3  # s between two usual clients
USUAL_BUDGET = 3.0  # s that a usual client waits
LATE = 0.55  # s after its time up to which a usual client counts as answered
GIVE_UP = 8.0  # s after which a usual client looks for no answer any more
OWED_WITHIN = 3.0  # s from connecting within which a hostile client is owed an error or a close
READ_SIZE = 262_144


def completion(name: str, prompt: int, extra_fields: bytes = b"", chunks: int = 0) -> bytes:
    """Return a request. prompt: its length in bytes; chunks: of one byte, if any, to pad its body with."""
    body = orjson.dumps({"stream": True, "messages": [{"role": "user", "content": "x" * prompt}]})
    if chunks:
        framed = b"".join(b"1\r\n%c\r\n" % byte for byte in body.ljust(chunks)) + b"0\r\n\r\n"
        length = b"Transfer-Encoding: chunked\r\n"
    else:
        framed, length = body, b"Content-Length: %d\r\n" % len(body)
    fields = f"X-Call-Id: {name}\r\nX-Route-Hash: {name}\r\nX-Budget-Ms: {int(1000 * USUAL_BUDGET)}\r\n"
    info = f"X-Call-Info: prompt_len={prompt // 4},prefix_len=0,max_out=50\r\n"
    return POST + (fields + info).encode() + extra_fields + length + b"\r\n" + framed


def completions(client: int, prompt: int, extra_fields: bytes = b"", chunks: int = 0) -> bytes:
    """Return the requests that a client sends at once."""
    names = (f"h{client}-{number}" for number in range(AT_ONCE))
    return b"".join(completion(name, prompt, extra_fields, chunks) for name in names)


@dataclass(frozen=True)
class HostileKind:
    """What a hostile client sends. start: first, by its number; repeated: without end, if not empty."""

    start: Callable[[int], bytes]
    repeated: bytes = b""


KINDS = {
    "at-once": HostileKind(lambda client: completions(client, 4_000)),
    "no-id": HostileKind(lambda client: NO_ID * AT_ONCE),
    "fields": HostileKind(
        lambda client: completions(client, 40, b"".join(b"f%d:\r\n" % number for number in range(1_800)))
    ),
    "chunked": HostileKind(lambda client: completions(client, 40, chunks=600)),
    "trailers": HostileKind(lambda client: CHUNKED + b"0\r\n", b"a:\r\n" * 65_536),
    "forty-trailers": HostileKind(lambda client: CHUNKED + b"0\r\n", FORTY_FIELDS * 400),
    "long-trailers": HostileKind(lambda client: CHUNKED + b"0\r\n", (b"a: " + b"x" * 8_000 + b"\r\n") * 32),
    "empty-lines": HostileKind(lambda client: b"\r\n", b"\r\n" * 65_536),
    "extensions": HostileKind(lambda client: CHUNKED, (b"1;e=" + b"x" * 12_000 + b"\r\na\r\n") * 20),
    "tiny-extensions": HostileKind(lambda client: CHUNKED, b"1;a=b\r\nx\r\n" * 20_000),
    "tiny-chunks": HostileKind(lambda client: CHUNKED, b"1\r\nx\r\n" * 20_000),
    "no-id-endless": HostileKind(lambda client: NO_ID, NO_ID * 2_000),
    "readiness-endless": HostileKind(lambda client: READINESS_CHECK, READINESS_CHECK * 2_000),
    "half-sent": HostileKind(lambda client: POST + b"Content-Length: 262144\r\n\r\n" + b"x" * 262_143),
}
DEFAULT_ROWS = [
    "at-once:12",
    "at-once:40",
    "no-id:200",
    "fields:4",
    "chunked:8",
    "trailers:10",
    "forty-trailers:10",
    "long-trailers:10",
    "empty-lines:20",
    "extensions:10",
    "tiny-extensions:10",
    "tiny-chunks:10",
    "no-id-endless:10",
    "readiness-endless:10",
    "half-sent:500",
]


@dataclass
class HostileWaits:
    """s until connections got their first byte or their end; and of those that got neither, how long."""

    answered: list[float] = field(default_factory=list)
    unanswered: list[float] = field(default_factory=list)

    def summary(self) -> str:
        late = sum(wait > OWED_WITHIN for wait in (*self.answered, *self.unanswered))
        longest = max(self.answered, default=0.0)
        return f"{len(self.answered)} connections, longest wait {longest:.2f} s, {late} over {OWED_WITHIN} s"


def hostile_connection(port: int, kind: HostileKind, client: int, stop_at: float) -> float | None:
    """Send and read on one connection until it ends; return the s until its first byte or its end."""
    began = time.monotonic()
    first_byte_after = None
    try:
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.setblocking(False)
            unsent = memoryview(kind.start(client))
            while time.monotonic() < stop_at:
                readable, writable, _ = select.select([sock], [sock] if unsent else [], [], 0.2)
                if readable:
                    data = sock.recv(READ_SIZE)
                    first_byte_after = first_byte_after or time.monotonic() - began
                    if not data:
                        break
                if writable:
                    unsent = unsent[sock.send(unsent) :] or memoryview(kind.repeated)
    except OSError:
        return first_byte_after or time.monotonic() - began
    return first_byte_after


def send_hostile(port: int, clients: int, seconds: float, kind: HostileKind) -> HostileWaits:
    """Run hostile clients; those that send without end come again as soon as they are closed."""
    stop_at = time.monotonic() + seconds
    waits = HostileWaits()

    def run(client: int) -> None:
        while time.monotonic() < stop_at:
            began = time.monotonic()
            wait = hostile_connection(port, kind, client, stop_at)
            if wait is None:
                waits.unanswered.append(time.monotonic() - began)
            else:
                waits.answered.append(wait)
            if not kind.repeated:
                return

    threads = [threading.Thread(target=run, args=(client,)) for client in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return waits


async def usual_client(port: int, name: str, waits: list[float]) -> None:
    """Send one request, and append the s until the head of its answer came; infinite without one."""
    began = time.monotonic()
    wait = float("inf")
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(completion(name, 800))
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), GIVE_UP)
        wait = time.monotonic() - began
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    waits.append(wait)
    writer.close()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


async def start_front(folder: Path, port: int, agent: DiscoveryAgent, memory_mb: int) -> Any:
    """Start a front node as a process, and wait until it follows discovery."""
    discovery = await agent.open()
    path = folder / "config.json"
    limits = {"sockets": 1024, "memory_mb": memory_mb}
    path.write_bytes(
        orjson.dumps({"discovery": discovery, "limits": limits, "settings": settings(), "seed": "1"})
    )
    variables = {
        "NODE_NAME": "n0",
        "NODE_LISTEN": f"127.0.0.1:{port}",
        "NODE_DISCOVERY": discovery,
        "NODE_CONFIG": str(path),
    }
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "heathford", "--log-level", "error", "platform"),
        env={**os.environ, **variables},
        stderr=asyncio.subprocess.DEVNULL,
    )
    await agent.wait_for_watchers()
    await asyncio.sleep(0.5)
    return process


async def run_row(kind: str, clients: int, seconds: float, memory_mb: int) -> None:
    """Run hostile clients of one kind beside usual ones, and print what was seen."""
    engines = [ScriptedEngine(f"s-{number}", f"m{number % 2}", number % 2 == 0) for number in range(6)]
    for engine in engines:
        await engine.open()
    agent, port = DiscoveryAgent(*engines), free_port()
    waits: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        process = await start_front(Path(folder), port, agent, memory_mb)
        idle = peak = resident_megabytes(process.pid)
        hostile = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "benchmarks.hostile_clients", "--port", str(port)),
            *("--seconds", str(seconds), f"{kind}:{clients}"),
            stdout=asyncio.subprocess.PIPE,
        )
        tasks = []
        for number in range(int(seconds / USUAL_INTERVAL)):
            tasks.append(asyncio.create_task(usual_client(port, f"u{number}", waits)))
            next_at = time.monotonic() + USUAL_INTERVAL
            while time.monotonic() < next_at and process.returncode is None:
                peak = max(peak, resident_megabytes(process.pid))
                await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        summary = (await hostile.communicate())[0].decode().strip()
        if process.returncode is None:
            process.kill()
        await process.wait()
    agent.close()
    lost = sum(wait > USUAL_BUDGET + LATE for wait in waits)
    print(
        f"{kind}:{clients}: {idle:.0f} MB idle, {peak:.0f} MB at most; {lost} of {len(waits)} usual clients "
        f"lost, longest wait {max(waits):.2f} s; hostile: {summary}",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("rows", nargs="*", default=DEFAULT_ROWS)
    parser.add_argument("--seconds", type=float, default=9.0)
    parser.add_argument("--memory-mb", type=int, default=192)
    parser.add_argument("--port", type=int, help="only send to the front node at that port")
    arguments = parser.parse_args()
    for row in arguments.rows:
        kind, _, clients = row.partition(":")
        if arguments.port:
            print(send_hostile(arguments.port, int(clients), arguments.seconds, KINDS[kind]).summary())
        else:
            asyncio.run(run_row(kind, int(clients), arguments.seconds, arguments.memory_mb))


if __name__ == "__main__":
    main()
