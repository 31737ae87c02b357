"""Play a day on a local deployment of its own, and summarize its recording."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from heathford.days.clients import SocketEditor
from heathford.days.faults import FaultInjector
from heathford.days.library import LibraryClients, LibraryEditor
from heathford.days.plan import plan
from heathford.days.recording import Recording, events
from heathford.days.tap import Relay
from heathford.local.deployment import Deployment
from heathford.script.script import Script

SETTLE_TIME = 1.0  # s after the last client during which late messages and releases are still recorded
PAUSE_CHECK_INTERVAL = 0.01  # s between two checks for a pause of this process
MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_US = 600 * MICROSECONDS_PER_SECOND  # the highest value of the latency histograms


def engine_capacities(script: Script, day: Script) -> dict[str, float]:
    """Return the requests per second that each engine completes when warm, for the day's mean request."""
    loads = day.all("editors")
    request_rate = sum(x.rate * x.turns for x in loads)
    prompt = sum(x.rate * x.turns * (x.prompt * (x.turns + 1) / 2 + x.shared) for x in loads) / request_rate
    answer = sum(x.rate * x.turns * x.answer / 2 for x in loads) / request_rate
    capacities = {}
    for engine in script.all("engine"):
        kind = script.named("kind", engine.kind)
        model = kind.stand_in
        slots = max(1, min(model["slots"], int(kind.memory / (prompt + answer))))
        step_time = (
            model["step"]
            + slots * model["step_per_stream"]
            + slots * (prompt + answer / 2) * model["step_per_1000_context"] / 1000
        )
        prefill_time, decode_time = prompt / model["read_rate"], answer * step_time / slots
        capacities[engine.name] = (
            1 / {"read": prefill_time, "write": decode_time, "both": prefill_time + decode_time}[kind.role]
        )
    return capacities


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
    """Play a day and write its recording.

    front_program: another module that runs the front nodes, with its arguments. logs: a file for their log.
    background_task: run beside the day with the front nodes' URLs, and cancelled at its end.
    """
    deployment, recording = Deployment(script), Recording(recording_path)
    relays: dict[tuple[str, str], Relay] = {}
    front_names = [f.name for f in script.all("front")]
    log_file = logs.open("wb") if logs else None
    try:
        await deployment.start_stand_ins()
        assert deployment.registry
        sources = {f.name: f.address for f in script.all("front")}
        for front in front_names:
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
                    for front in front_names
                },
            }
        )
        capacities = engine_capacities(script, day)
        await asyncio.gather(
            *(
                deployment.tell_engine(n, {"do": "capacity", "sends": capacities[n]})
                for n in deployment.engines
            )
        )
        await deployment.list_engines(deployment.address)

        async def start_front(name: str) -> None:
            front = await deployment.start_front(
                front_names.index(name), ("127.0.0.1", relays[name, ""].port), log_file, program=front_program
            )
            urls[front_names.index(name)] = front.ready["url"]
            library_clients.set_front_url(front_names.index(name), front.ready["url"])
            recording.note("day", "front up", front=name)

        urls = [""] * len(front_names)
        library_clients = LibraryClients(recording, urls, front_names, seed)
        await asyncio.gather(*(start_front(n) for n in front_names))
        recording.note("day", "begin", **recording_header(script, day, capacities, seconds, seed))
        background = asyncio.ensure_future(background_task(urls)) if background_task else None
        fault_injector = FaultInjector(deployment, recording, relays, start_front)
        await run_clients(
            script, day, seconds, seed, recording, urls, front_names, fault_injector, library_clients
        )
        await library_clients.close()
        if background:
            background.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await background
    finally:
        await deployment.end()
        for relay in relays.values():
            relay.close()
        recording.note("day", "end")
        recording.close()
        if log_file:
            log_file.close()


def recording_header(
    script: Script, day: Script, capacities: dict[str, float], seconds: float, seed: int
) -> dict[str, Any]:
    """Return the fields of the recording's first event: what the judge needs to know of the deployment."""
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
                "sends": capacities[e.name],
                "role": script.named("kind", e.kind).role,
            }
            for e in script.all("engine")
        },
    }


async def run_clients(
    script: Script,
    day: Script,
    seconds: float,
    seed: int,
    recording: Recording,
    urls: list[str],
    front_names: list[str],
    fault_injector: FaultInjector,
    library_clients: LibraryClients,
) -> None:
    """Start the editors and the faults at their times, and wait until all editors have ended.

    Raises RuntimeError if a client or a fault failed.
    """
    loop = asyncio.get_running_loop()
    begin = loop.time()
    timeouts = {w.name: (w.client_timeout, 2 * w.target_per_1000) for w in script.all("workload")}
    effects = {w.name: w.effect for w in script.all("workload")}
    bytes_per_token = script.all("workload")[0].bytes_per_token
    pause_recorder = loop.create_task(record_pauses(recording))
    fault_tasks = [loop.create_task(fault_injector.run(f, seconds)) for f in day.all("fault")]
    editor_tasks = []
    for number, editor in enumerate(plan(day.all("editors"), seconds, seed, len(front_names))):
        await asyncio.sleep(max(0.0, begin + editor.start - loop.time()))
        stop_at = time.monotonic() + begin + seconds - loop.time()
        if editor.client_kind == "socket":
            client: SocketEditor | LibraryEditor = SocketEditor(
                recording, editor, f"s{number}", urls, front_names, timeouts, bytes_per_token, stop_at
            )
        else:
            client = LibraryEditor(
                recording,
                library_clients.client_for(editor),
                editor,
                f"s{number}",
                timeouts,
                effects,
                bytes_per_token,
                stop_at,
            )
        editor_tasks.append(loop.create_task(client.run_session()))
    await asyncio.sleep(max(0.0, begin + seconds - loop.time()))
    done, _ = await asyncio.wait(editor_tasks) if editor_tasks else (set(), set())
    for task in done:
        if task.exception():
            raise RuntimeError("a client of the day failed") from task.exception()
    for task in fault_tasks:
        if task.done() and task.exception():
            raise RuntimeError("a fault of the day failed") from task.exception()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    await asyncio.sleep(SETTLE_TIME)
    pause_recorder.cancel()


async def record_pauses(recording: Recording) -> None:
    """Record each pause of this process, in which its relays and clients recorded nothing.

    What is recorded right after a pause may have happened at any time in it.
    """
    flushed = 0.0
    while True:
        before = time.monotonic()
        await asyncio.sleep(PAUSE_CHECK_INTERVAL)
        pause = time.monotonic() - before - PAUSE_CHECK_INTERVAL
        if before - flushed > 1.0:
            recording.flush()
            flushed = before
        if pause > PAUSE_CHECK_INTERVAL:
            recording.note("day", "late", by=pause)


@dataclass
class WorkloadSummary:
    """Results of one workload's requests. A request and its repeats count as one, timed from the first."""

    count: int = 0  # requests whose client didn't leave
    met_targets: float = 0.0  # requests finished within the latency target and the time per token
    outcomes: dict[str, int] = field(default_factory=dict)
    retries: int = 0  # repeats by the client
    first_token: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))  # us


def summarize(recording: Path) -> dict[str, WorkloadSummary]:
    """Return the summary of each workload in a recording. Raises ValueError for a line that isn't JSON."""
    summaries: dict[str, WorkloadSummary] = {}
    workloads: dict[str, Any] = {}
    requested: dict[str, tuple[float, str, float]] = {}
    request_keys: dict[tuple[str, Any], str] = {}
    first_chunks: dict[str, float] = {}
    finals: dict[str, tuple[float, str, int]] = {}
    left_early: dict[str, None] = {}
    try_counts: dict[str, int] = {}
    for event in events(recording):
        if event["what"] == "begin":
            workloads = event["workloads"]
        if event["at"] != "client":
            continue
        what = event["what"]
        key = event.get("session", ""), event.get("id")
        if what == "wants":
            requested[event["first"]] = event["t"], event["workload"], event["tokens"]
        elif what == "asked":
            if event["first"] in first_chunks or event["first"] in finals:
                summaries.setdefault(event["workload"], WorkloadSummary()).retries += 1
            request_keys[key] = event["first"]
            try_counts[event["first"]] = try_counts.get(event["first"], 0) + 1
            finals.pop(event["first"], None)
        elif what == "chunk" and key in request_keys:
            first_chunks.setdefault(request_keys[key], event["t"])
        elif what == "final" and key in request_keys:
            finals[request_keys[key]] = event["t"], event["final"], event.get("tokens") or 1
        elif what in ("goes", "cancels") and key in request_keys:
            left_early[request_keys[key]] = None
    for name, (requested_at, workload, tokens) in requested.items():
        summary, workload_settings = summaries.setdefault(workload, WorkloadSummary()), workloads[workload]
        end, outcome, token_count = finals.get(name, (0.0, "lost", 1))
        if name in left_early and outcome not in ("finished", "rate-limited") and try_counts.get(name, 1) < 2:
            outcome = "left"
        summary.outcomes[outcome] = summary.outcomes.get(outcome, 0) + 1
        if outcome == "left":
            continue
        summary.count += 1
        if name in first_chunks:
            first_token_time = first_chunks[name] - requested_at
            summary.first_token.record_value(max(1, int(first_token_time * MICROSECONDS_PER_SECOND)))
            target = (
                workload_settings["latency_target"] + workload_settings["target_per_1000"] * tokens / 1000
            )
            time_per_token = (end - first_chunks[name]) / max(1, token_count - 1)
            summary.met_targets += (
                outcome == "finished"
                and first_token_time <= target
                and time_per_token <= workload_settings["token_target"]
            )
    return summaries


def show_summary(
    summaries: dict[str, WorkloadSummary], workloads: dict[str, Any], show: Callable[[str], None]
) -> float:
    """Show the summaries; return the share of the requested value that met its targets."""
    value_asked = value_gained = 0.0
    for workload, summary in sorted(summaries.items()):
        value = workloads[workload]["value"]
        value_asked, value_gained = (
            value_asked + value * summary.count,
            value_gained + value * summary.met_targets,
        )
        latencies = summary.first_token
        percentiles = "  ".join(
            f"p{p:g} {latencies.get_value_at_percentile(p) / 1000:.0f} ms" for p in (50, 95, 99, 99.9)
        )
        outcomes = ", ".join(f"{n} {outcome}" for outcome, n in sorted(summary.outcomes.items()))
        show(
            f"{workload}: value in time {summary.met_targets / max(1, summary.count):.3f}  ({outcomes}; "
            f"{summary.retries} retries)  first token {percentiles}"
        )
    show(f"value in time, all: {value_gained / max(value_asked, 1e-9):.3f}")
    return value_gained / max(value_asked, 1e-9)
