"""Clients that write large requests slowly, by the hundred: memory of a front node that is a process."""

import asyncio
import random
from pathlib import Path

import orjson
import pytest
from node_processes import PLATFORM_COMMAND, started_node, wait_for_log, write_configuration
from raw_peers import request

from heathford.standin.platform import DiscoveryAgent, ScriptedEngine
from heathford.wire.body_buffer import BLOCK_BYTES, BodyBuffer

CLIENTS = 400
BODY_BYTES = 248_000
PART_BYTES = 6_000
PART_INTERVAL = 0.15  # s
PLAY_SECONDS = 8.0  # some three rounds: a request has 2.45 s
MEMORY_MB = 64
USUAL_INTERVAL = 0.2  # s


def resident_mb(process_id: int) -> float:
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS:"))


async def write_slowly(port: int, number: int, end: float) -> None:
    """Write requests in small parts, each on a new connection, until it is answered or closed."""
    loop, round_number = asyncio.get_running_loop(), 0
    while loop.time() < end:
        round_number += 1
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        data = request(f"slow{number}-{round_number}", size=BODY_BYTES)
        for start in range(0, len(data), PART_BYTES):
            if loop.time() >= end or writer.is_closing():
                break
            writer.write(data[start : start + PART_BYTES])
            await asyncio.sleep(PART_INTERVAL)
        writer.close()


async def ask_now_and_then(port: int, end: float) -> None:
    """Send usual requests: what stays in memory of them lies between the buffers of the others."""
    loop, number = asyncio.get_running_loop(), 0
    while loop.time() < end:
        number += 1
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request(f"usual{number}", size=2_400, keep=False))
        assert (await reader.read()).startswith(b"HTTP/1.1 200 ")
        writer.close()
        await asyncio.sleep(USUAL_INTERVAL)


def test_hundreds_of_slow_writers_leave_a_front_node_within_its_memory_limit(tmp_path: Path) -> None:
    """Growing buffers of partial requests left gaps as large as themselves: 64 MB were exceeded."""

    async def scenario() -> None:
        engines = [ScriptedEngine(f"e{number}", f"m{number % 2}", number % 2 == 0) for number in range(6)]
        for engine in engines:
            await engine.open()
        agent = DiscoveryAgent(*engines)
        discovery = await agent.open()
        path = tmp_path / "config.json"
        write_configuration(path, discovery, sockets=1024, memory_mb=MEMORY_MB)
        async with started_node("n0", path, discovery, *PLATFORM_COMMAND) as process:
            ready = orjson.loads(await wait_for_log(process, b'"ready"'))
            port = int(ready["listen"].rpartition(":")[2])
            end = asyncio.get_running_loop().time() + PLAY_SECONDS
            clients = asyncio.gather(
                ask_now_and_then(port, end), *(write_slowly(port, number, end) for number in range(CLIENTS))
            )
            peak = 0.0
            while not clients.done():
                peak = max(peak, resident_mb(process.pid))
                await asyncio.sleep(0.02)
            await clients
        agent.close()
        for engine in engines:
            engine.close()
        assert peak < MEMORY_MB

    asyncio.run(scenario())


@pytest.mark.parametrize("part_bytes", [1, 700, BLOCK_BYTES // 2, 6_000, 300_000])
def test_a_body_buffer_returns_what_was_added_in_blocks_of_bounded_size(part_bytes: int) -> None:
    """Parts of any size: one-byte parts must not take an object each."""
    body = random.Random(part_bytes).randbytes(100_000)
    buffer = BodyBuffer()
    for start in range(0, len(body), part_bytes):
        buffer.append(body[start : start + part_bytes])
    assert bytes(buffer) == body and len(buffer) == len(body)
    assert len(buffer.blocks) <= 2 * len(body) / BLOCK_BYTES + 1
    assert max(map(len, buffer.blocks)) <= max(BLOCK_BYTES, part_bytes)
