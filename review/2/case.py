"""Ten clients send requests that never end; each usual client must still get its final answer in time."""

import asyncio
import json
import sys
import time
from contextlib import suppress
from pathlib import Path

from standins import (
    ENDED,
    LOOPBACK,
    Deployment,
    FrontNode,
    Record,
    completion,
    read_head,
    run_case,
    start_helper,
)

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
BAD_CLIENTS = 10
BAD_SECONDS = 12.0  # s for which they send
BUDGET = 3.0  # s that a usual client waits: half the class's deadline, as sites allow
LATE = 0.5  # s after its time up to which an answer only earns nothing
SLACK = 0.05  # s by which every limit is longer on sockets
GIVE_UP = 12.0  # s after which the stand-in for a client stops to look for a late answer
USUAL_INTERVAL = 0.5  # s
QUIET = 3.0  # s before the bad clients come


class Lost:
    """Counts usual completions and those lost."""

    def __init__(self) -> None:
        self.sent = self.lost = 0


async def usual_client(front: FrontNode, name: str, record: Record, lost: Lost) -> None:
    """Send one completion, and wait for its answer or the first event of its stream, also past its time."""
    lost.sent += 1
    reader, writer = await asyncio.open_connection(LOOPBACK, front.port)
    writer.write(completion(name, "status", BUDGET))
    began = time.monotonic()
    record.add(f"usual client sends {name}, waits {BUDGET} s")
    try:
        status, _ = await asyncio.wait_for(read_head(reader), GIVE_UP)
        took = time.monotonic() - began
    except (*ENDED, TimeoutError) as error:
        status, took = repr(error), time.monotonic() - began
    in_time = status.startswith("HTTP/1.1 ") and took <= BUDGET + LATE + SLACK
    lost.lost += not in_time
    record.add(f"{name}: {status} after {took:.2f} s{'' if in_time else ': lost'}")
    with suppress(*ENDED, TimeoutError):
        await asyncio.wait_for(reader.read(), 2.0)
    writer.close()


async def play(folder: Path, record: Record, trouble: bool) -> bool:
    deployment = Deployment(folder, record, LIMITS)
    record.add(f"limits {json.dumps(LIMITS)}")
    lost, tasks, helper = Lost(), [], None
    output = folder / "endless"
    try:
        await deployment.start()
        front = deployment.fronts[0]
        start = time.monotonic()
        number = 0
        while time.monotonic() < start + QUIET + BAD_SECONDS:
            if trouble and helper is None and time.monotonic() >= start + QUIET:
                record.add(f"{BAD_CLIENTS} bad clients send header fields without end for {BAD_SECONDS} s")
                helper = start_helper(
                    output,
                    str(Path(__file__).with_name("endless.py")),
                    str(front.port),
                    str(BAD_CLIENTS),
                    str(BAD_SECONDS),
                )
            tasks.append(asyncio.create_task(usual_client(front, f"usual{number}", record, lost)))
            number += 1
            await asyncio.sleep(USUAL_INTERVAL)
        await asyncio.gather(*tasks)
        if helper:
            helper.wait(10.0)
            for line in output.read_text().splitlines():
                record.add(line)
        record.add(f"{lost.lost} of {lost.sent} completions of usual clients lost")
        return lost.lost == 0
    finally:
        if helper and helper.poll() is None:
            helper.kill()
            helper.wait()
        deployment.stop()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), play))
