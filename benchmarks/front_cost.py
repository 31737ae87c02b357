"""What one front costs: direct to a stand-in against through the front, turn by turn in one run.

    python -m benchmarks.front_cost [SECONDS [RATE …]]

Prints, for each rate: first-token latency of both ways, the difference, the front's CPU a completion; last,
the share of that CPU in each part, from a profiled run of its own.
"""

import asyncio
import json
import os
import pstats
import random
import sys
import tempfile
from pathlib import Path
from typing import Any

import orjson
from hdrh.histogram import HdrHistogram
from tornado.websocket import websocket_connect

from heathford.core.protocols import Endpoint
from heathford.engines.link import EngineLink
from heathford.interface import Role, Outcome
from heathford.local.deployment import Deployment
from heathford.script.script import read_script

ROOT = Path(__file__).parent.parent
TOKENS = 8
PROMPT = "x" * 1600
PARTS = {
    "heathford/policy": "module",
    "heathford/core": "core",
    "heathford/engines": "engine link",
    "heathford/wire": "engine link",
    "heathford/sessions": "session",
    "tornado/websocket": "session",
    "tornado/iostream": "streams and loop",
    "asyncio": "streams and loop",
    "tornado": "streams and loop",
    "selectors": "streams and loop",
}


class Direct:
    """Times one dispatch made straight to an engine."""

    def __init__(self, times: HdrHistogram, intended: float) -> None:
        self.times, self.intended = times, intended
        self.over = asyncio.get_running_loop().create_future()

    def may_send(self) -> bool:
        return True

    def answer_begun(self) -> None: ...

    def first_token(self) -> None:
        took = asyncio.get_running_loop().time() - self.intended
        self.times.record_value(max(1, int(took * 1e6)))

    def tokens(self, text: str) -> None:
        pass

    def ended(self, verdict: Outcome, detail: int, load: Any, answer: Any) -> None:
        self.over.set_result(verdict is Outcome.FINISHED)


class Through:
    """One session with many completions out."""

    def __init__(self, socket: Any, times: HdrHistogram) -> None:
        self.socket, self.times = socket, times
        self.begun: dict[int, float] = {}
        self.over: dict[int, asyncio.Future[bool]] = {}
        self.count = 0

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        while (said := await self.socket.read_message()) is not None:
            answer = orjson.loads(said)
            if answer.get("method") == "completions.chunk":
                begun = self.begun.pop(answer["params"]["id"], None)
                if begun is not None:
                    self.times.record_value(max(1, int((loop.time() - begun) * 1e6)))
            else:
                self.over.pop(answer["id"]).set_result("result" in answer)

    def ask(self, intended: float) -> "asyncio.Future[bool]":
        self.count += 1
        self.begun[self.count] = intended
        self.over[self.count] = done = asyncio.get_running_loop().create_future()
        self.socket.write_message(
            orjson.dumps(
                {
                    "jsonrpc": "2.0",
                    "id": self.count,
                    "method": "completions.create",
                    "params": {"model": "w", "prompt": PROMPT, "max_tokens": TOKENS},
                }
            ).decode()
        )
        return done


def cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure(seconds: float, rates: list[float], profile: Path | None) -> list[dict[str, float]]:
    script = read_script(ROOT / "benchmarks" / "one_front.star")
    deployment = Deployment(script)
    rows = []
    try:
        await deployment.start_stand_ins()
        await deployment.list_engines(deployment.address)
        program = ("benchmarks.profiled_front", str(profile)) if profile else ()
        front = await deployment.start_front(0, program=program)
        link = EngineLink(1.0, 512, 15.0, 5.0, 65536, 0.3)
        mixed = [
            Endpoint(n, name, Role.COMBINED, "127.0.0.1", p.ready["port"])
            for n, (name, p) in enumerate(deployment.engines.items())
            if name.startswith("mixed")
        ]
        loop = asyncio.get_running_loop()
        for rate in [20.0, *rates]:  # the first lets the front learn; it is not shown
            direct, through = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
            sessions = [Through(await websocket_connect(front.ready["url"]), through) for _ in range(8)]
            listening = [loop.create_task(s.listen()) for s in sessions]
            chance = random.Random(1)
            waits: list[Any] = []
            begin, at, used = loop.time(), 0.0, cpu(front.process.pid)
            count = 0
            while at < seconds:
                at += chance.expovariate(2 * rate)
                wait = begin + at - loop.time()
                if wait > 0:
                    await asyncio.sleep(wait)
                if chance.random() < 0.5:
                    one = Direct(direct, begin + at)
                    link.send(
                        chance.choice(mixed),
                        f"d.{len(waits)}",
                        {"model": "w", "prompt": PROMPT, "max_tokens": TOKENS},
                        None,
                        "",
                        10.0,
                        one,
                    )
                    waits.append(one.over)
                else:
                    waits.append(chance.choice(sessions).ask(begin + at))
                    count += 1
            good = sum(await asyncio.gather(*waits))
            spent = cpu(front.process.pid) - used
            for task, session in zip(listening, sessions, strict=True):
                task.cancel()
                session.socket.close()
            row = {
                "rate": rate,
                "completions": count,
                "not finished": len(waits) - good,
                "cpu ms a completion": 1000 * spent / count,
                "cpu share": spent / (loop.time() - begin),
            }
            for p in (50, 99):
                row[f"direct p{p} ms"] = direct.get_value_at_percentile(p) / 1000
                row[f"through p{p} ms"] = through.get_value_at_percentile(p) / 1000
                row[f"added p{p} ms"] = row[f"through p{p} ms"] - row[f"direct p{p} ms"]
            if rate in rates:
                rows.append(row)
                print(json.dumps({k: round(v, 3) for k, v in row.items()}), flush=True)
        link.stop()
    finally:
        await deployment.end()
    return rows


def split(profile: Path) -> dict[str, float]:
    """Share of each part in the profiled time spent working, by the file that spent it; built-in calls count
    to those who made them."""
    parts: dict[str, float] = {}
    stats: dict[Any, Any] = pstats.Stats(str(profile)).stats  # type: ignore[attr-defined]
    for (file, _, name), (_, _, own, _, callers) in stats.items():
        if "epoll" in name or "poll" in name:
            continue
        if file == "~":
            for (caller, _, _), (_, _, share, _) in callers.items():
                parts[part_of(caller)] = parts.get(part_of(caller), 0.0) + share
        else:
            parts[part_of(file)] = parts.get(part_of(file), 0.0) + own
    total = sum(parts.values())
    return {part: spent / total for part, spent in sorted(parts.items(), key=lambda x: -x[1])}


def part_of(file: str) -> str:
    return next((part for path, part in PARTS.items() if path in file), "other")


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    rates = [float(r) for r in sys.argv[2:]] or [100.0, 300.0, 500.0]
    asyncio.run(measure(seconds, rates, None))
    with tempfile.TemporaryDirectory() as folder:
        profile = Path(folder) / "front.prof"
        asyncio.run(measure(seconds / 2, [100.0], profile))
        print("CPU by part: " + ", ".join(f"{part} {share:.1%}" for part, share in split(profile).items()))


if __name__ == "__main__":
    main()
