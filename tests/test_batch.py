"""Batches: validation of lines, limit and scheduling, and exactly one result for each line under faults."""

import asyncio
import errno
import json
import random
from collections.abc import Awaitable, Callable
from math import inf
from pathlib import Path
from typing import Any

import httpx
import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathford.batch.api import MEMBER_HEADER, routes
from heathford.batch.state import (
    MAX_ABORTED_ATTEMPTS,
    MAX_RATE_LIMITED_ATTEMPTS,
    RetryDecision,
    Batch,
    Status,
    StatusError,
    LineRetries,
)
from heathford.batch.lines import InputFileCheck, LineSplitter
from heathford.batch.multipart import MultipartParser, MultipartError, EventKind, parse_boundary
from heathford.batch.runner import Runner
from heathford.batch.scheduling import (
    RECOVERY_SECONDS,
    INITIAL_LIMIT,
    FairScheduler,
    ConcurrencyLimit,
    LineQueue,
)
from heathford.batch.file_storage import ResultFiles, FileStorage
from heathford.client import BadRequest, Batches, BlockingBatches, NoFront
from heathford.front.memory import Memory
from heathford.fuzz.sessions import InProcessFront
from heathford.interface import Effect
from heathford.sessions.workload_catalog import WorkloadLimits, WorkloadCatalog

CATALOG = WorkloadCatalog([WorkloadLimits(0, "w", 4.0, 0.0, 5000, 4.0, 50_000, 1.0, 0.0)], ["m", "n"])


def line(custom_id: Any, **body: Any) -> bytes:
    return json.dumps(
        {
            "custom_id": custom_id,
            "method": "POST",
            "url": "/v1/completions",
            "body": {"model": "w", "prompt": "x" * 40, "max_tokens": 3, **body},
        }
    ).encode()


def check_file(data: bytes, chunk_size: int = 1000) -> InputFileCheck:
    file_check, splitter = InputFileCheck(CATALOG), LineSplitter()
    for offset in range(0, len(data), chunk_size):
        for split_line in splitter.feed(data[offset : offset + chunk_size]):
            file_check.add_line(*split_line)
    for split_line in splitter.end():
        file_check.add_line(*split_line)
    file_check.finish()
    return file_check


@pytest.mark.parametrize(
    "data, valid_count, expected_mistakes",
    [
        (line("a") + b"\n" + line("b"), 2, []),
        (line("a") + b"\n\n" + line("b") + b"\n", 2, []),
        (line("a") + b"\n" + line("b")[:30], 1, [("invalid_json_line", 2)]),
        (line("a") + b"\n" + line("a") + b"\n", 1, [("duplicate_custom_id", 2)]),
        (line(""), 0, [("invalid_custom_id", 1)]),
        (line(3), 0, [("invalid_custom_id", 1)]),
        (line("a", model="v"), 0, [("invalid_body", 1)]),
        (line("a", stream=True), 0, [("invalid_body", 1)]),
        (line("a", prompt="x" * (5 << 20)) + b"\n" + line("b"), 1, [("line_too_long", 1)]),
        (b'{"custom_id": "\xff"}\n' + line("b"), 1, [("invalid_json_line", 1)]),
        (b"[]", 0, [("invalid_json_line", 1)]),
        (b"", 0, [("empty_file", None)]),
        (b"\n \n", 0, [("empty_file", None)]),
        (line("a").replace(b"POST", b"GET"), 0, [("invalid_url", 1)]),
    ],
)
def test_invalid_lines_are_reported_with_their_line_numbers(
    data: bytes, valid_count: int, expected_mistakes: list[Any]
) -> None:
    file_check = check_file(data, 100_000)
    assert (
        len(file_check.locations) == valid_count
        and [(m.code, m.line) for m in file_check.mistakes] == expected_mistakes
    )
    for number, offset, size in file_check.locations:
        assert json.loads(data[offset : offset + size]) and number == data[:offset].count(b"\n") + 1


@given(st.lists(st.binary(max_size=20).filter(lambda b: b"\n" not in b), max_size=10), st.integers(1, 50))
def test_lines_are_split_independently_of_chunk_boundaries(lines: list[bytes], chunk_size: int) -> None:
    data, splitter, split_lines = b"\n".join(lines), LineSplitter(), []
    for offset in range(0, len(data), chunk_size):
        split_lines += list(splitter.feed(data[offset : offset + chunk_size]))
    split_lines += list(splitter.end())
    assert [(number, content) for number, _, _, content in split_lines] == [
        (n + 1, content) for n, content in enumerate(lines) if content.strip()
    ]


def test_lines_with_the_same_prefix_are_submitted_together() -> None:
    data = b"\n".join(line(str(n), prompt_cache_key="ab"[n % 2]) for n in range(6))
    assert check_file(data).submission_order == [0, 2, 4, 1, 3, 5]


@given(st.binary(max_size=300).filter(lambda b: b"\r\n--x" not in b), st.integers(1, 40))
def test_a_form_is_parsed_independently_of_chunk_boundaries(content: bytes, chunk_size: int) -> None:
    data = (
        b'--x\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n--x\r\n'
        b'Content-Disposition: form-data; name="file"; filename="a.jsonl"\r\nContent-Type: a/b\r\n\r\n'
        + content
        + b"\r\n--x--\r\n"
    )
    parser, bodies, names, name = MultipartParser(b"x"), dict[str, bytes](), [], ""
    for offset in range(0, len(data), chunk_size):
        for event, part_name, filename, body in parser.feed(data[offset : offset + chunk_size]):
            if event is EventKind.PART:
                name = part_name
                names.append((part_name, filename))
                bodies[name] = b""
            elif event is EventKind.DATA:
                bodies[name] += body
    assert parser.finished and names == [("purpose", ""), ("file", "a.jsonl")]
    assert bodies == {"purpose": b"batch", "file": content}


@pytest.mark.parametrize(
    "content_type", ["", "text/plain", "multipart/form-data", 'multipart/form-data; boundary=""']
)
def test_a_content_type_without_a_form_boundary_is_rejected(content_type: str) -> None:
    with pytest.raises(MultipartError):
        parse_boundary(content_type)


@pytest.mark.parametrize(
    "steps, allowed",
    [
        ("in_progress finalizing completed", True),
        ("failed", True),
        ("in_progress expired", True),
        ("in_progress cancelling cancelled", True),
        ("cancelling cancelled", True),
        ("completed", False),
        ("in_progress cancelling completed", False),
        ("failed cancelling", False),
        ("in_progress finalizing cancelling", False),
        ("in_progress expired cancelling", False),
    ],
)
def test_status_transitions_of_a_batch(steps: str, allowed: bool) -> None:
    batch = Batch("b", 0, "f", 100.0, 3600.0)
    try:
        for step in steps.split():
            batch.transition_to(Status(step), 101.0)
    except StatusError:
        assert not allowed
    else:
        assert allowed and batch.body({})["status"] == steps.split()[-1]
        assert Batch.from_record(json.loads(json.dumps(batch.to_record()))) == batch


def test_each_line_counts_once_and_retries_are_limited() -> None:
    batch = Batch("b", 0, "f", 100.0, 3600.0)
    batch.mark_validated(10, 101.0)
    assert (
        batch.mark_answered(3, True) and not batch.mark_answered(3, False) and batch.mark_answered(9, False)
    )
    assert (batch.completed, batch.failed, batch.remaining) == (1, 1, 8)
    retries = LineRetries()
    assert [retries.after_abort(True)[0] for _ in range(MAX_ABORTED_ATTEMPTS)] == [RetryDecision.LATER] * (
        MAX_ABORTED_ATTEMPTS - 1
    ) + [RetryDecision.NEVER]
    assert LineRetries().after_abort(False)[0] is RetryDecision.NEVER
    waits = [retries.after_rate_limit() for _ in range(MAX_RATE_LIMITED_ATTEMPTS)]
    assert waits[0][1] < waits[3][1] <= waits[20][1] and waits[-1][0] is RetryDecision.NEVER


def feed_line_results(
    limit: ConcurrencyLimit, rounds: int, target_share: float, started_at: float = 0.0
) -> float:
    now = started_at
    for _ in range(rounds):
        for _ in range(5):
            now += 0.02
            limit.line_first_token(now - 0.1, target_share, True, now)
    return now


def test_limit_grows_on_an_idle_fleet_and_falls_when_sessions_are_slow() -> None:
    limit = ConcurrencyLimit()
    now = feed_line_results(limit, 100, 0.1)
    high = limit.max_in_flight
    assert high > 50 * INITIAL_LIMIT
    for _ in range(10):  # sessions are fast: the limit stays
        now += 0.1
        limit.session_first_token(0.2, now)
    assert limit.max_in_flight == high
    for _ in range(30):  # load rises, and sessions are slow
        now += 0.1
        limit.session_first_token(0.8, now)
    assert limit.max_in_flight < high / 16
    for _ in range(40):
        now += 0.1
        limit.session_first_token(inf, now)
    assert limit.available(0, now) == 0
    assert limit.available(0, now + RECOVERY_SECONDS + 0.1) == 1  # recovers without any results
    now = feed_line_results(limit, 100, 0.1, now + RECOVERY_SECONDS + 0.1)
    assert limit.max_in_flight > 20
    feed_line_results(limit, 60, 0.9, now)
    assert limit.max_in_flight == 1.0  # the lines themselves are slow


def test_tenants_share_evenly_whatever_the_number_of_their_batches() -> None:
    scheduler = FairScheduler[int]()
    for n in range(10):
        scheduler.add(f"huge-{n}", LineQueue(0, list(range(1000)), 0.0, 1000.0))
    line_counts: dict[str, int] = {}
    for _ in range(200):
        scheduler.next(1.0)
    scheduler.add("small", LineQueue(1, list(range(50)), 0.0, 1000.0))
    for _ in range(100):
        name, _ = scheduler.next(1.0) or ("", 0)
        line_counts[name] = line_counts.get(name, 0) + 1
    assert line_counts["small"] == 50 and all(line_counts[f"huge-{n}"] == 5 for n in range(10))
    queue = LineQueue(0, list(range(1000)), 0.0, 1000.0)
    assert queue.weight(100.0) == 1.0 < queue.weight(700.0) <= 3.0


# A front node with its sessions, store and batches, in this process.


class FrontRun:
    """One run of a front node with batches, between its start and its stop."""

    def __init__(self, served: InProcessFront, memory: Memory, runner: Runner) -> None:
        self.served, self.memory, self.runner = served, memory, runner
        self.http = httpx.AsyncClient(base_url=f"http://127.0.0.1:{served.port}", timeout=15.0)

    async def upload(self, data: bytes, member: str = "") -> str:
        response = await self.http.post(
            "/v1/files",
            data={"purpose": "batch"},
            headers={MEMBER_HEADER: member},
            files={"file": ("a.jsonl", data)},
        )
        assert response.status_code == 200, response.text
        return str(response.json()["id"])

    async def create(self, file: str, member: str = "") -> str:
        response = await self.http.post(
            "/v1/batches",
            headers={MEMBER_HEADER: member},
            json={"input_file_id": file, "endpoint": "/v1/completions", "completion_window": "24h"},
        )
        assert response.status_code == 200, response.text
        return str(response.json()["id"])

    async def get(self, path: str) -> Any:
        return (await self.http.get(path)).json()

    async def wait_for_status(self, batch: str, *statuses: str) -> Any:
        while (batch_object := await self.get(f"/v1/batches/{batch}"))["status"] not in statuses:
            await asyncio.sleep(0.01)
        return batch_object

    async def lines(self, file: str | None) -> list[dict[str, Any]]:
        if not file:
            return []
        return [json.loads(x) for x in (await self.http.get(f"/v1/files/{file}/content")).text.splitlines()]


async def start_front(folder: Path, effect: Effect) -> FrontRun:
    served = InProcessFront(effect)
    memory = await Memory.open(folder / "store", 600.0, False)
    memory.restore(served.manager.idempotency_table, asyncio.get_running_loop().time())
    await memory.record_start(served.core.tally)
    served.manager.memory = memory
    served.manager.idempotency_table.max_requests = 100_000
    assert memory.store
    file_storage = FileStorage(folder / "files", memory.store, 1 << 20, 4 << 20)
    runner = Runner(served.manager, memory.store, file_storage, asyncio.get_running_loop().time)
    served.server.request_callback.add_handlers(".*", routes(runner, served.manager.catalog.tenants))  # type: ignore
    runner.start()
    return FrontRun(served, memory, runner)


async def stop_front(front: FrontRun, kill: bool) -> None:
    await front.http.aclose()
    front.served.server.stop()
    if kill:  # nothing more is written, and no results arrive
        for task in list(front.runner.tasks.running):
            task.cancel()
        await asyncio.gather(*front.runner.tasks.running, return_exceptions=True)
        front.served.link.paused = True
        for call in list(front.served.link.calls):
            call.cancelled = True
    else:
        await front.runner.stop()
    await front.memory.close(front.served.core.tally)


def run_scenario(
    folder: Path, scenario: Callable[[FrontRun], Awaitable[None]], effect: Effect = Effect.IDEMPOTENT
) -> None:
    async def run() -> None:
        front = await start_front(folder, effect)
        async with asyncio.timeout(25.0):
            await scenario(front)
        await stop_front(front, kill=False)

    asyncio.run(run())


def test_a_batch_from_upload_to_results(tmp_path: Path) -> None:
    async def scenario(front: FrontRun) -> None:
        data = b"\n".join(line(f"c{n}", max_tokens=1 + n % 5) for n in range(120))
        file = await front.upload(data, "m")
        batch = await front.create(file, "m")
        deletion = await front.http.delete(f"/v1/files/{file}", headers={MEMBER_HEADER: "m"})
        batch_object = await front.wait_for_status(batch, "completed", "failed")
        assert deletion.status_code == 409 or batch_object["status"] == "completed"
        assert batch_object["request_counts"] == {"total": 120, "completed": 120, "failed": 0}
        results = await front.lines(batch_object["output_file_id"])
        assert sorted(a["custom_id"] for a in results) == sorted(f"c{n}" for n in range(120))
        assert all(
            a["response"]["body"]["choices"][0]["text"] == "t" * (1 + int(a["custom_id"][1:]) % 5)
            for a in results
        )
        assert (
            batch_object["error_file_id"] is None
            and batch_object["completed_at"] >= batch_object["in_progress_at"]
        )
        other = {MEMBER_HEADER: "n"}
        content = f"/v1/files/{batch_object['output_file_id']}/content"
        for path in (f"/v1/files/{file}", f"/v1/batches/{batch}", content):
            assert (await front.http.get(path, headers=other)).status_code == 404
        assert (await front.http.get("/v1/batches", headers=other)).json()["data"] == []
        for _ in range(3):
            await front.upload(b"x", "m")
        page = await front.get("/v1/files?limit=2")
        rest = await front.get(f"/v1/files?limit=100&after={page['last_id']}")
        assert len(page["data"]) == 2 and page["has_more"] and len(rest["data"]) == 3 and not rest["has_more"]
        assert (await front.http.delete(f"/v1/files/{file}")).json()["deleted"]

    run_scenario(tmp_path, scenario)


def test_client_library_submits_watches_and_fetches(tmp_path: Path) -> None:
    async def scenario(front: FrontRun) -> None:
        source, to = tmp_path / "lines.jsonl", tmp_path / "answers.jsonl"
        source.write_bytes(b"\n".join(line(f"c{n}") for n in range(40)))
        address = f"http://127.0.0.1:{front.served.port}"
        async with Batches(address, "m") as batches:
            file = await batches.upload(source)
            submitted = await batches.submit(file["id"])
            seen = [batch_object async for batch_object in batches.watch(submitted["id"])]
            assert seen[-1]["status"] == "completed" and seen[-1]["request_counts"]["completed"] == 40
            assert await batches.fetch(seen[-1]["output_file_id"], to) == to.stat().st_size
            assert len(to.read_text().splitlines()) == 40 and not list(tmp_path.glob("*.part"))
            assert [e["id"] async for e in batches.entries("batches")] == [submitted["id"]]
            with pytest.raises(BadRequest, match="no batch"):
                await Batches(address, "n").get(submitted["id"])
            with pytest.raises(BadRequest, match="completed"):
                await batches.cancel(submitted["id"])
        blocking = BlockingBatches(address, "m")
        loop = asyncio.get_running_loop()
        resubmitted = await loop.run_in_executor(None, blocking.submit, file["id"])
        last = await loop.run_in_executor(None, lambda: list(blocking.watch(resubmitted["id"]))[-1])
        assert last["status"] == "completed"
        with pytest.raises(NoFront):
            await Batches("http://127.0.0.1:1").submit("x")

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "fields, status, detail",
    [
        ({"endpoint": "/v1/chat"}, 400, "endpoint"),
        ({"completion_window": "1d"}, 400, "completion_window"),
        ({"input_file_id": "file-0"}, 404, "no file"),
        ({"metadata": {"a": 1}}, 400, "metadata"),
    ],
)
def test_invalid_uploads_and_batches_are_rejected(
    tmp_path: Path, fields: dict[str, Any], status: int, detail: str
) -> None:
    async def scenario(front: FrontRun) -> None:
        file = await front.upload(line("a"))
        response = await front.http.post(
            "/v1/batches",
            json={"input_file_id": file, "endpoint": "/v1/completions", "completion_window": "24h"} | fields,
        )
        assert response.status_code == status and detail in response.json()["detail"]
        too_much = await front.http.post(
            "/v1/files", data={"purpose": "batch"}, files={"file": ("a", b"x" * (3 << 19))}
        )
        assert too_much.status_code == 413 and not list((tmp_path / "files").glob("*.part"))
        assert (
            await front.http.post("/v1/files", data={"purpose": "x"}, files={"file": ("a", b"x")})
        ).status_code == 400
        assert (
            await front.http.post(
                "/v1/files", content=b"--x\r\n", headers={"Content-Type": "multipart/form-data; boundary=x"}
            )
        ).status_code == 400
        batch = await front.create(await front.upload(line("a") + b"\n{\n"))
        failed = await front.wait_for_status(batch, "failed")
        assert failed["errors"]["data"][0]["line"] == 2
        assert (await front.http.post(f"/v1/batches/{batch}/cancel")).status_code == 409

    run_scenario(tmp_path, scenario)


def test_cancel_while_results_arrive(tmp_path: Path) -> None:
    async def scenario(front: FrontRun) -> None:
        front.served.link.pace = 0.02
        batch = await front.create(await front.upload(b"\n".join(line(f"c{n}") for n in range(300))))
        while front.runner.lines_written < 20:
            await asyncio.sleep(0.005)
        assert (await front.http.post(f"/v1/batches/{batch}/cancel")).json()["status"] == "cancelling"
        batch_object = await front.wait_for_status(batch, "cancelled")
        outputs = [a["custom_id"] for a in await front.lines(batch_object["output_file_id"])]
        errors = [a["custom_id"] for a in await front.lines(batch_object["error_file_id"])]
        counts = batch_object["request_counts"]
        assert len(outputs) == counts["completed"] >= 20 and len(errors) == counts["failed"]
        assert len({*outputs, *errors}) == len(outputs) + len(errors) < 300
        assert not front.served.core.live and not front.runner.in_flight

    run_scenario(tmp_path, scenario)


def test_a_batch_expires_with_lines_in_flight(tmp_path: Path) -> None:
    async def scenario(front: FrontRun) -> None:
        front.served.link.pace = 0.02
        batch = await front.create(await front.upload(b"\n".join(line(f"c{n}") for n in range(300))))
        while front.runner.lines_written < 10:
            await asyncio.sleep(0.005)
        front.runner.batches[batch].window = 0.0
        batch_object = await front.wait_for_status(batch, "expired")
        assert (
            len(await front.lines(batch_object["output_file_id"]))
            == batch_object["request_counts"]["completed"]
            >= 10
        )

    run_scenario(tmp_path, scenario)


def test_a_line_that_breaks_its_engine_fails_alone(tmp_path: Path) -> None:
    async def scenario(front: FrontRun) -> None:
        front.served.link.break_at_max_tokens = 13
        batch = await front.create(
            await front.upload(b"\n".join(line(f"c{n}", max_tokens=13 if n == 7 else 2) for n in range(30)))
        )
        batch_object = await front.wait_for_status(batch, "completed")
        assert batch_object["request_counts"] == {"total": 30, "completed": 29, "failed": 1}
        errors = await front.lines(batch_object["error_file_id"])
        assert errors[0]["custom_id"] == "c7" and errors[0]["error"]["code"] == "aborted"

    run_scenario(tmp_path, scenario)


def test_a_full_disk_while_results_are_written_loses_and_repeats_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("heathford.batch.runner.DISK_RETRY_SECONDS", 0.05)
    original_write, failures_left = ResultFiles.write, 3

    def write(self: ResultFiles, lines: Any) -> Any:
        nonlocal failures_left
        if failures_left:
            failures_left -= 1
            self.files[0].write(b"half a li")
            self.reopen(0)
            raise OSError(errno.ENOSPC, "no space left on device")
        return original_write(self, lines)

    monkeypatch.setattr(ResultFiles, "write", write)

    async def scenario(front: FrontRun) -> None:
        batch = await front.create(await front.upload(b"\n".join(line(f"c{n}") for n in range(60))))
        batch_object = await front.wait_for_status(batch, "completed")
        results = await front.lines(batch_object["output_file_id"])
        assert (
            sorted(a["custom_id"] for a in results) == sorted(f"c{n}" for n in range(60))
            and not failures_left
        )

    run_scenario(tmp_path, scenario)


def count_decode_attempts(front: FrontRun, decode_attempts: dict[str, int]) -> None:
    """Count the decode attempts, by prompt."""
    original_send = front.served.link.send

    def send(endpoint: Any, name: str, body: Any, kv: Any, *rest: Any) -> Any:
        if kv is not None:
            decode_attempts[body["prompt"]] = decode_attempts.get(body["prompt"], 0) + 1
        return original_send(endpoint, name, body, kv, *rest)

    front.served.link.send = send  # type: ignore[method-assign, assignment]


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT])
def test_a_front_node_killed_at_any_moment_of_a_batch(tmp_path: Path, effect: Effect) -> None:
    """Each line has exactly one result, the counts are exact, and a non-idempotent request runs only once."""
    rng, count = random.Random(5), 150
    decode_attempts: dict[str, int] = {}

    async def run() -> dict[str, Any]:
        batch, kills = "", 0
        while True:
            front = await start_front(tmp_path, effect)
            count_decode_attempts(front, decode_attempts)
            front.served.link.pace = 0.005
            if not batch:
                data = b"\n".join(line(f"c{n}", prompt=f"p{n} ".ljust(40, "x")) for n in range(count))
                batch = await front.create(await front.upload(data))
            until = asyncio.get_running_loop().time() + rng.random() * 0.25
            if kills < 8:
                while asyncio.get_running_loop().time() < until:
                    await asyncio.sleep(0.005)
                kills += 1
                if front.runner.batches[batch].status is Status.COMPLETED:
                    kills = 8
                await stop_front(front, kill=True)
                continue
            batch_object: dict[str, Any] = await front.wait_for_status(batch, "completed")
            results = await front.lines(batch_object["output_file_id"])
            results += await front.lines(batch_object["error_file_id"])
            await stop_front(front, kill=False)
            return {"found": batch_object, "answers": results}

    async def within() -> dict[str, Any]:
        async with asyncio.timeout(40.0):
            return await run()

    result = asyncio.run(within())
    ids = [a["custom_id"] for a in result["answers"]]
    assert sorted(ids) == sorted(f"c{n}" for n in range(count))
    counts = result["found"]["request_counts"]
    assert counts["completed"] + counts["failed"] == counts["total"] == count
    if effect is Effect.NON_IDEMPOTENT:
        assert max(decode_attempts.values()) == 1
        assert counts["failed"] < count / 2
    else:
        assert counts["failed"] == 0
