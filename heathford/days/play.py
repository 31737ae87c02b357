"""Plays a day on a local deployment of its own, and sums up what came of it."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from heathford.days.clients import Client
from heathford.days.faults import Faults
from heathford.days.library import Libraries, LibraryEditor
from heathford.days.plan import plan
from heathford.days.recording import Recording, events
from heathford.days.tap import Relay
from heathford.local.deployment import Deployment
from heathford.script.script import Script

SETTLE = 1.0  # s after the last client in which late messages and releases still show
BEAT = 0.01  # s between two looks at the player's own lateness
MICROSECONDS = 1_000_000
LONGEST = 600 * MICROSECONDS  # us: the longest latency told apart


def capacities(script: Script, day: Script) -> dict[str, float]:
    """Completions a second of each engine when warm, for the mean of a day's work."""
    loads = day.all("editors")
    weight = sum(x.rate * x.turns for x in loads)
    prompt = sum(x.rate * x.turns * (x.prompt * (x.turns + 1) / 2 + x.shared) for x in loads) / weight
    answer = sum(x.rate * x.turns * x.answer / 2 for x in loads) / weight
    found = {}
    for engine in script.all("engine"):
        kind = script.named("kind", engine.kind)
        model = kind.stand_in
        slots = max(1, min(model["slots"], int(kind.memory / (prompt + answer))))
        step = (
            model["step"]
            + slots * model["step_per_stream"]
            + slots * (prompt + answer / 2) * model["step_per_1000_context"] / 1000
        )
        reading, writing = prompt / model["read_rate"], answer * step / slots
        found[engine.name] = 1 / {"read": reading, "write": writing, "both": reading + writing}[kind.role]
    return found


async def play_day(
    script: Script,
    day: Script,
    seconds: float,
    seed: int,
    recording_path: Path,
    front_program: tuple[str, ...] = (),
    logs: Path | None = None,
    background_task: Callable[[list[str]], Awaitable[None]] | None = None,
) -> None:
    """Plays it and leaves the recording; front_program: another module to run fronts by, with arguments;
    beside: what goes on beside the day, given the fronts' URLs, and is cancelled at its end."""
    deployment, recording = Deployment(script), Recording(recording_path)
    relays: dict[tuple[str, str], Relay] = {}
    names = [f.name for f in script.all("front")]
    log_file = logs.open("wb") if logs else None
    try:
        await deployment.start_stand_ins()
        assert deployment.registry
        sources = {f.name: f.address for f in script.all("front")}
        for front in names:
            for engine in ["", *deployment.engines]:
                source = "" if engine else sources[front]
                relay = relays[front, engine] = Relay(recording, front, engine, source)
                port = (deployment.engines[engine] if engine else deployment.registry).ready["port"]
                relay.target = "127.0.0.1" if engine else deployment.host, port
                await relay.listen()
        await deployment.tell_registry(
            {
                "do": "views",
                "views": {
                    sources[front]: {e: f"127.0.0.1:{relays[front, e].port}" for e in deployment.engines}
                    for front in names
                },
            }
        )
        sends = capacities(script, day)
        await asyncio.gather(
            *(deployment.tell_engine(n, {"do": "capacity", "sends": sends[n]}) for n in deployment.engines)
        )
        await deployment.list_engines(deployment.address)

        async def start_front(name: str) -> None:
            front = await deployment.start_front(
                names.index(name), ("127.0.0.1", relays[name, ""].port), log_file, program=front_program
            )
            urls[names.index(name)] = front.ready["url"]
            libraries.moved(names.index(name), front.ready["url"])
            recording.note("day", "front up", front=name)

        urls = [""] * len(names)
        libraries = Libraries(recording, urls, names, seed)
        await asyncio.gather(*(start_front(n) for n in names))
        recording.note("day", "begin", **header(script, day, sends, seconds, seed))
        more = asyncio.ensure_future(background_task(urls)) if background_task else None
        faults = Faults(deployment, recording, relays, start_front)
        await run(script, day, seconds, seed, recording, urls, names, faults, libraries)
        await libraries.close()
        if more:
            more.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await more
    finally:
        await deployment.end()
        for relay in relays.values():
            relay.close()
        recording.note("day", "end")
        recording.close()
        if log_file:
            log_file.close()


def header(script: Script, day: Script, sends: dict[str, float], seconds: float, seed: int) -> dict[str, Any]:
    safety = script.only("safety")
    racks = {r.name: r.zone for r in script.all("rack")}
    return {
        "day": day.only("day").name,
        "seconds": seconds,
        "seed": seed,
        "kept": bool(script.all("store")),
        "rules": {
            name: getattr(safety, name)
            for name in (
                "drain_grace",
                "pin_limit",
                "cold_from",
                "cold_multiple",
                "cold_window",
                "warm_after",
                "stream_limit",
            )
        },
        "workloads": {
            w.name: {
                name: getattr(w, name)
                for name in (
                    "latency_target",
                    "target_per_1000",
                    "token_target",
                    "effect",
                    "group",
                    "memory_time",
                    "value",
                )
            }
            for w in script.all("workload")
        },
        "engines": {
            e.name: {
                "zone": racks[e.rack],
                "cell": e.rack,
                "sends": sends[e.name],
                "role": script.named("kind", e.kind).role,
            }
            for e in script.all("engine")
        },
    }


async def run(
    script: Script,
    day: Script,
    seconds: float,
    seed: int,
    recording: Recording,
    urls: list[str],
    names: list[str],
    faults: Faults,
    libraries: Libraries,
) -> None:
    loop = asyncio.get_running_loop()
    begin = loop.time()
    timeouts = {w.name: (w.client_timeout, 2 * w.target_per_1000) for w in script.all("workload")}
    effects = {w.name: w.effect for w in script.all("workload")}
    bytes_per_token = script.all("workload")[0].bytes_per_token
    lateness = loop.create_task(note_lateness(recording))
    trouble = [loop.create_task(faults.run(f, seconds)) for f in day.all("fault")]
    editing = []
    for number, editor in enumerate(plan(day.all("editors"), seconds, seed, len(names))):
        await asyncio.sleep(max(0.0, begin + editor.at - loop.time()))
        until = time.monotonic() + begin + seconds - loop.time()
        if editor.by == "socket":
            client: Client | LibraryEditor = Client(
                recording, editor, f"s{number}", urls, names, timeouts, bytes_per_token, until
            )
        else:
            client = LibraryEditor(
                recording,
                libraries.of(editor),
                editor,
                f"s{number}",
                timeouts,
                effects,
                bytes_per_token,
                until,
            )
        editing.append(loop.create_task(client.live()))
    await asyncio.sleep(max(0.0, begin + seconds - loop.time()))
    done, _ = await asyncio.wait(editing) if editing else (set(), set())
    for task in done:
        if task.exception():
            raise RuntimeError("a client of the day failed") from task.exception()
    for task in trouble:
        if task.done() and task.exception():
            raise RuntimeError("a fault of the day failed") from task.exception()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    await asyncio.sleep(SETTLE)
    lateness.cancel()


async def note_lateness(recording: Recording) -> None:
    """Notes each time for which this process, and so the relays and clients in it, noted nothing: what the
    recording says to have happened after such a time may have happened at its beginning."""
    flushed = 0.0
    while True:
        before = time.monotonic()
        await asyncio.sleep(BEAT)
        late = time.monotonic() - before - BEAT
        if before - flushed > 1.0:
            recording.flush()
            flushed = before
        if late > BEAT:
            recording.note("day", "late", by=late)


@dataclass
class WorkloadSummary:
    """What came of one workload's completions; a client's tries count as one, from the first."""

    count: int = 0
    met_targets: float = 0.0
    outcomes: dict[str, int] = field(default_factory=dict)
    retries: int = 0
    first_token: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, LONGEST, 3))


def summarize(recording: Path) -> dict[str, WorkloadSummary]:
    found: dict[str, WorkloadSummary] = {}
    workloads: dict[str, Any] = {}
    wants: dict[str, tuple[float, str, float]] = {}
    tries: dict[tuple[str, Any], str] = {}
    first: dict[str, float] = {}
    ended: dict[str, tuple[float, str, int]] = {}
    left: dict[str, None] = {}
    tried: dict[str, int] = {}
    for event in events(recording):
        if event["what"] == "begin":
            workloads = event["workloads"]
        if event["at"] != "client":
            continue
        what = event["what"]
        key = event.get("session", ""), event.get("id")
        if what == "wants":
            wants[event["first"]] = event["t"], event["workload"], event["tokens"]
        elif what == "asked":
            if event["first"] in first or event["first"] in ended:
                found.setdefault(event["workload"], WorkloadSummary()).retries += 1
            tries[key] = event["first"]
            tried[event["first"]] = tried.get(event["first"], 0) + 1
            ended.pop(event["first"], None)
        elif what == "chunk" and key in tries:
            first.setdefault(tries[key], event["t"])
        elif what == "final" and key in tries:
            ended[tries[key]] = event["t"], event["final"], event.get("tokens") or 1
        elif what in ("goes", "cancels") and key in tries:
            left[tries[key]] = None
    for name, (at, workload, tokens) in wants.items():
        total, terms = found.setdefault(workload, WorkloadSummary()), workloads[workload]
        end, how, count = ended.get(name, (0.0, "lost", 1))
        if name in left and how not in ("finished", "rate-limited") and tried.get(name, 1) < 2:
            how = "left"
        total.outcomes[how] = total.outcomes.get(how, 0) + 1
        if how == "left":
            continue
        total.count += 1
        if name in first:
            took = first[name] - at
            total.first_token.record_value(max(1, int(took * MICROSECONDS)))
            target = terms["latency_target"] + terms["target_per_1000"] * tokens / 1000
            pace = (end - first[name]) / max(1, count - 1)
            total.met_targets += how == "finished" and took <= target and pace <= terms["token_target"]
    return found


def show_summary(
    found: dict[str, WorkloadSummary], workloads: dict[str, Any], show: Callable[[str], None]
) -> float:
    """Shows the sums; returns value in time over value asked for."""
    asked = gained = 0.0
    for workload, total in sorted(found.items()):
        value = workloads[workload]["value"]
        asked, gained = asked + value * total.count, gained + value * total.met_targets
        times = total.first_token
        percentiles = "  ".join(
            f"p{p:g} {times.get_value_at_percentile(p) / 1000:.0f} ms" for p in (50, 95, 99, 99.9)
        )
        outcomes = ", ".join(f"{n} {how}" for how, n in sorted(total.outcomes.items()))
        show(
            f"{workload}: value in time {total.met_targets / max(1, total.count):.3f}  ({outcomes}; "
            f"{total.retries} retries)  first token {percentiles}"
        )
    show(f"value in time, all: {gained / max(asked, 1e-9):.3f}")
    return gained / max(asked, 1e-9)
