"""Twelve clients each send 250 completions at once; the front node must stay within its memory.

The stand-in for the platform kills a front node that holds more memory than its configuration allows.
"""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

from standins import (
    ENDED,
    LOOPBACK,
    MB,
    Deployment,
    FrontNode,
    Record,
    completion,
    read_answer,
    run_case,
)

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}  # the largest of a scored day
BAD_CLIENTS = 12
AT_ONCE = 250  # completions that each of them sends at once
PROMPT = 1000  # tokens
BUDGET = 6.0  # s that each client waits
USUAL_INTERVAL = 0.25  # s between two completions of usual clients
QUIET = 3.0  # s before the bad clients come
AFTERWARDS = 12.0  # s


async def watch_memory(front: FrontNode, record: Record) -> None:
    """Kill the front node once it is over its memory, as the platform does; note its peak each second."""
    assert front.process
    peak, note_at = 0, time.monotonic()
    while not front.ended:
        used = front.memory()
        peak = max(peak, used)
        if used > LIMITS["memory_mb"] * MB:
            record.add(f"platform: {front.name} holds {used / MB:.1f} MB, over its limit: killed")
            front.process.send_signal(signal.SIGKILL)
            front.process.wait()
            return
        if time.monotonic() >= note_at:
            record.add(f"platform: {front.name} holds {used / MB:.1f} MB, {peak / MB:.1f} at most")
            note_at += 1.0
        await asyncio.sleep(0.01)


async def usual_client(front: FrontNode, name: str, record: Record) -> None:
    """Send one completion on a connection of its own."""
    writer = None
    record.add(f"usual client sends {name}")
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, front.port)
        writer.write(completion(name, "status", BUDGET))
        status, whole = await asyncio.wait_for(read_answer(reader), BUDGET + 5.0)
        record.add(f"{name} answered: {status}{'' if whole else ', cut off'}")
    except (*ENDED, TimeoutError) as error:
        record.add(f"{name} not answered: {error!r}")
    finally:
        if writer:
            writer.close()


async def bad_client(front: FrontNode, number: int, record: Record) -> None:
    """Send hundreds of completions at once on one connection, and read all that is answered."""
    requests = [completion(f"bad{number}-{n}", "status", BUDGET, PROMPT) for n in range(AT_ONCE)]
    record.add(f"bad client {number} sends {AT_ONCE} completions at once")
    answered = 0
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, front.port)
        writer.write(b"".join(requests))
        while True:
            await read_answer(reader)
            answered += 1
    except ENDED:
        record.add(f"bad client {number}: {answered} answers")


async def play(folder: Path, record: Record, trouble: bool) -> bool:
    deployment = Deployment(folder, record, LIMITS)
    record.add(f"limits {json.dumps(LIMITS)}")
    tasks = []
    try:
        await deployment.start()
        front = deployment.fronts[0]
        watch = asyncio.create_task(watch_memory(front, record))
        start = time.monotonic()
        bad_sent = False
        number = 0
        while time.monotonic() < start + QUIET + AFTERWARDS and not front.ended:
            tasks.append(asyncio.create_task(usual_client(front, f"usual{number}", record)))
            number += 1
            if trouble and not bad_sent and time.monotonic() >= start + QUIET:
                bad_sent = True
                tasks += [asyncio.create_task(bad_client(front, n, record)) for n in range(BAD_CLIENTS)]
            await asyncio.sleep(USUAL_INTERVAL)
        await asyncio.sleep(1.0)
        crashed = front.ended
        watch.cancel()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if crashed and front.process:
            record.add(f"front node {front.name} has crashed, status {front.process.returncode}")
        return not crashed
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), play))
