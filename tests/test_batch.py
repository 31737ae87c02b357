"""Batches: what their lines may ask, how much of the fleet they use, and each line answered once whatever
breaks."""

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

from heathford.batch.api import MEMBER, routes
from heathford.batch.state import POISON, TRIES, Again, Batch, Status, StatusError, Tries
from heathford.batch.lines import Checked, Cutter
from heathford.batch.multipart import Multipart, MultipartError, What, boundary_of
from heathford.batch.runner import Runner
from heathford.batch.scheduling import BACK, START, Fair, Limit, Queue
from heathford.batch.file_storage import Answers, FileStorage
from heathford.client import BadRequest, Batches, BlockingBatches, NoFront
from heathford.front.memory import Memory
from heathford.fuzz.sessions import InProcessFront
from heathford.interface import Effect
from heathford.sessions.workload_catalog import WorkloadLimits, WorkloadCatalog

OFFERS = WorkloadCatalog([WorkloadLimits(0, "w", 4.0, 0.0, 5000, 4.0, 50_000, 1.0, 0.0)], ["m", "n"])


def line(custom_id: Any, **body: Any) -> bytes:
    return json.dumps(
        {
            "custom_id": custom_id,
            "method": "POST",
            "url": "/v1/completions",
            "body": {"model": "w", "prompt": "x" * 40, "max_tokens": 3, **body},
        }
    ).encode()


def checked(data: bytes, piece: int = 1000) -> Checked:
    found, cutter = Checked(OFFERS), Cutter()
    for at in range(0, len(data), piece):
        for one in cutter.feed(data[at : at + piece]):
            found.take(*one)
    for one in cutter.end():
        found.take(*one)
    found.ends()
    return found


@pytest.mark.parametrize(
    "data, good, wrong",
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
def test_lines_are_checked_each_with_its_number(data: bytes, good: int, wrong: list[Any]) -> None:
    found = checked(data, 100_000)
    assert len(found.places) == good and [(m.code, m.line) for m in found.mistakes] == wrong
    for number, place, size in found.places:
        assert json.loads(data[place : place + size]) and number == data[:place].count(b"\n") + 1


@given(st.lists(st.binary(max_size=20).filter(lambda b: b"\n" not in b), max_size=10), st.integers(1, 50))
def test_lines_are_cut_wherever_their_bytes_are_parted(lines: list[bytes], piece: int) -> None:
    data, cutter, found = b"\n".join(lines), Cutter(), []
    for at in range(0, len(data), piece):
        found += list(cutter.feed(data[at : at + piece]))
    found += list(cutter.end())
    assert [(number, content) for number, _, _, content in found] == [
        (n + 1, content) for n, content in enumerate(lines) if content.strip()
    ]


def test_lines_with_one_beginning_are_asked_together() -> None:
    data = b"\n".join(line(str(n), prompt_cache_key="ab"[n % 2]) for n in range(6))
    assert checked(data).sequence == [0, 2, 4, 1, 3, 5]


@given(st.binary(max_size=300).filter(lambda b: b"\r\n--x" not in b), st.integers(1, 40))
def test_a_form_is_read_wherever_its_bytes_are_parted(content: bytes, piece: int) -> None:
    data = (
        b'--x\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n--x\r\n'
        b'Content-Disposition: form-data; name="file"; filename="a.jsonl"\r\nContent-Type: a/b\r\n\r\n'
        + content
        + b"\r\n--x--\r\n"
    )
    form, got, names, name = Multipart(b"x"), dict[str, bytes](), [], ""
    for at in range(0, len(data), piece):
        for what, part, filename, more in form.feed(data[at : at + piece]):
            if what is What.PART:
                name = part
                names.append((part, filename))
                got[name] = b""
            elif what is What.DATA:
                got[name] += more
    assert form.over and names == [("purpose", ""), ("file", "a.jsonl")]
    assert got == {"purpose": b"batch", "file": content}


@pytest.mark.parametrize(
    "content_type", ["", "text/plain", "multipart/form-data", 'multipart/form-data; boundary=""']
)
def test_a_body_that_is_no_form_is_told(content_type: str) -> None:
    with pytest.raises(MultipartError):
        boundary_of(content_type)


@pytest.mark.parametrize(
    "steps, good",
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
def test_the_life_of_a_batch(steps: str, good: bool) -> None:
    batch = Batch("b", 0, "f", 100.0, 3600.0)
    try:
        for step in steps.split():
            batch.goes(Status(step), 101.0)
    except StatusError:
        assert not good
    else:
        assert good and batch.body({})["status"] == steps.split()[-1]
        assert Batch.read(json.loads(json.dumps(batch.kept()))) == batch


def test_each_line_counts_once_and_poison_is_set_apart() -> None:
    batch = Batch("b", 0, "f", 100.0, 3600.0)
    batch.validated(10, 101.0)
    assert batch.answered(3, True) and not batch.answered(3, False) and batch.answered(9, False)
    assert (batch.completed, batch.failed, batch.left) == (1, 1, 8)
    tries = Tries()
    assert [tries.after_abort(True)[0] for _ in range(POISON)] == [Again.LATER] * (POISON - 1) + [Again.NEVER]
    assert Tries().after_abort(False)[0] is Again.NEVER
    waits = [tries.after_refusal() for _ in range(TRIES)]
    assert waits[0][1] < waits[3][1] <= waits[20][1] and waits[-1][0] is Again.NEVER


def grown(limit: Limit, rounds: int, part: float, begin: float = 0.0) -> float:
    now = begin
    for _ in range(rounds):
        for _ in range(5):
            now += 0.02
            limit.line_answered(now - 0.1, part, True, now)
    return now


def test_batches_take_what_is_idle_and_hand_it_back_at_once() -> None:
    limit = Limit()
    now = grown(limit, 100, 0.1)
    high = limit.size
    assert high > 50 * START
    for _ in range(10):  # sessions are well: nothing changes
        now += 0.1
        limit.session_answered(0.2, now)
    assert limit.size == high
    for _ in range(30):  # a morning rise: they are slow
        now += 0.1
        limit.session_answered(0.8, now)
    assert limit.size < high / 16
    for _ in range(40):
        now += 0.1
        limit.session_answered(inf, now)
    assert limit.room(0, now) == 0
    assert limit.room(0, now + BACK + 0.1) == 1  # and returns by itself
    now = grown(limit, 100, 0.1, now + BACK + 0.1)
    assert limit.size > 20
    grown(limit, 60, 0.9, now)
    assert limit.size == 1.0  # lines that are slow themselves


def test_one_member_with_ten_huge_batches_beside_one_with_a_small_one() -> None:
    fair = Fair[int]()
    for n in range(10):
        fair.add(f"huge-{n}", Queue(0, list(range(1000)), 0.0, 1000.0))
    got: dict[str, int] = {}
    for _ in range(200):
        fair.next(1.0)
    fair.add("small", Queue(1, list(range(50)), 0.0, 1000.0))
    for _ in range(100):
        name, _ = fair.next(1.0) or ("", 0)
        got[name] = got.get(name, 0) + 1
    assert got["small"] == 50 and all(got[f"huge-{n}"] == 5 for n in range(10))
    late = Queue(0, list(range(1000)), 0.0, 1000.0)
    assert late.weight(100.0) == 1.0 < late.weight(700.0) <= 3.0


# The whole, in this process.


class Start:
    """One start of a front with batches over a folder."""

    def __init__(self, served: InProcessFront, memory: Memory, runner: Runner) -> None:
        self.served, self.memory, self.runner = served, memory, runner
        self.http = httpx.AsyncClient(base_url=f"http://127.0.0.1:{served.port}", timeout=15.0)

    async def upload(self, data: bytes, member: str = "") -> str:
        answer = await self.http.post(
            "/v1/files",
            data={"purpose": "batch"},
            headers={MEMBER: member},
            files={"file": ("a.jsonl", data)},
        )
        assert answer.status_code == 200, answer.text
        return str(answer.json()["id"])

    async def create(self, file: str, member: str = "") -> str:
        answer = await self.http.post(
            "/v1/batches",
            headers={MEMBER: member},
            json={"input_file_id": file, "endpoint": "/v1/completions", "completion_window": "24h"},
        )
        assert answer.status_code == 200, answer.text
        return str(answer.json()["id"])

    async def get(self, path: str) -> Any:
        return (await self.http.get(path)).json()

    async def until(self, batch: str, *statuses: str) -> Any:
        while (found := await self.get(f"/v1/batches/{batch}"))["status"] not in statuses:
            await asyncio.sleep(0.01)
        return found

    async def lines(self, file: str | None) -> list[dict[str, Any]]:
        if not file:
            return []
        return [json.loads(x) for x in (await self.http.get(f"/v1/files/{file}/content")).text.splitlines()]


async def begin(folder: Path, effect: Effect) -> Start:
    served = InProcessFront(effect)
    memory = await Memory.open(folder / "store", 600.0, False)
    memory.restore(served.manager.identities, asyncio.get_running_loop().time())
    await memory.begin(served.core.tally)
    served.manager.memory = memory
    served.manager.identities.max_requests = 100_000
    assert memory.store
    file_storage = FileStorage(folder / "files", memory.store, 1 << 20, 4 << 20)
    runner = Runner(served.manager, memory.store, file_storage, asyncio.get_running_loop().time)
    served.server.request_callback.add_handlers(".*", routes(runner, served.manager.catalog.members))  # type: ignore
    runner.start()
    return Start(served, memory, runner)


async def ends(start: Start, kill: bool) -> None:
    await start.http.aclose()
    start.served.server.stop()
    if kill:  # nothing more is written or told
        for task in list(start.runner.tasks.running):
            task.cancel()
        await asyncio.gather(*start.runner.tasks.running, return_exceptions=True)
        start.served.link.held = True
        for call in list(start.served.link.calls):
            call.cancelled = True
    else:
        await start.runner.stop()
    await start.memory.close(start.served.core.tally)


def play(folder: Path, scene: Callable[[Start], Awaitable[None]], effect: Effect = Effect.IDEMPOTENT) -> None:
    async def run() -> None:
        start = await begin(folder, effect)
        async with asyncio.timeout(25.0):
            await scene(start)
        await ends(start, kill=False)

    asyncio.run(run())


def test_a_batch_from_its_file_to_its_answers(tmp_path: Path) -> None:
    async def scene(start: Start) -> None:
        data = b"\n".join(line(f"c{n}", max_tokens=1 + n % 5) for n in range(120))
        file = await start.upload(data, "m")
        batch = await start.create(file, "m")
        busy = await start.http.delete(f"/v1/files/{file}", headers={MEMBER: "m"})
        found = await start.until(batch, "completed", "failed")
        assert busy.status_code == 409 or found["status"] == "completed"
        assert found["request_counts"] == {"total": 120, "completed": 120, "failed": 0}
        answers = await start.lines(found["output_file_id"])
        assert sorted(a["custom_id"] for a in answers) == sorted(f"c{n}" for n in range(120))
        assert all(
            a["response"]["body"]["choices"][0]["text"] == "t" * (1 + int(a["custom_id"][1:]) % 5)
            for a in answers
        )
        assert found["error_file_id"] is None and found["completed_at"] >= found["in_progress_at"]
        other = {MEMBER: "n"}
        content = f"/v1/files/{found['output_file_id']}/content"
        for path in (f"/v1/files/{file}", f"/v1/batches/{batch}", content):
            assert (await start.http.get(path, headers=other)).status_code == 404
        assert (await start.http.get("/v1/batches", headers=other)).json()["data"] == []
        for _ in range(3):
            await start.upload(b"x", "m")
        page = await start.get("/v1/files?limit=2")
        rest = await start.get(f"/v1/files?limit=100&after={page['last_id']}")
        assert len(page["data"]) == 2 and page["has_more"] and len(rest["data"]) == 3 and not rest["has_more"]
        assert (await start.http.delete(f"/v1/files/{file}")).json()["deleted"]

    play(tmp_path, scene)


def test_a_client_submits_watches_and_fetches(tmp_path: Path) -> None:
    async def scene(start: Start) -> None:
        source, to = tmp_path / "lines.jsonl", tmp_path / "answers.jsonl"
        source.write_bytes(b"\n".join(line(f"c{n}") for n in range(40)))
        address = f"http://127.0.0.1:{start.served.port}"
        async with Batches(address, "m") as batches:
            file = await batches.upload(source)
            begun = await batches.submit(file["id"])
            seen = [found async for found in batches.watch(begun["id"])]
            assert seen[-1]["status"] == "completed" and seen[-1]["request_counts"]["completed"] == 40
            assert await batches.fetch(seen[-1]["output_file_id"], to) == to.stat().st_size
            assert len(to.read_text().splitlines()) == 40 and not list(tmp_path.glob("*.part"))
            assert [e["id"] async for e in batches.entries("batches")] == [begun["id"]]
            with pytest.raises(BadRequest, match="no batch"):
                await Batches(address, "n").get(begun["id"])
            with pytest.raises(BadRequest, match="completed"):
                await batches.cancel(begun["id"])
        blocking = BlockingBatches(address, "m")
        loop = asyncio.get_running_loop()
        again = await loop.run_in_executor(None, blocking.submit, file["id"])
        last = await loop.run_in_executor(None, lambda: list(blocking.watch(again["id"]))[-1])
        assert last["status"] == "completed"
        with pytest.raises(NoFront):
            await Batches("http://127.0.0.1:1").submit("x")

    play(tmp_path, scene)


@pytest.mark.parametrize(
    "said, status, what",
    [
        ({"endpoint": "/v1/chat"}, 400, "endpoint"),
        ({"completion_window": "1d"}, 400, "completion_window"),
        ({"input_file_id": "file-0"}, 404, "no file"),
        ({"metadata": {"a": 1}}, 400, "metadata"),
    ],
)
def test_what_is_no_batch_is_told(tmp_path: Path, said: dict[str, Any], status: int, what: str) -> None:
    async def scene(start: Start) -> None:
        file = await start.upload(line("a"))
        answer = await start.http.post(
            "/v1/batches",
            json={"input_file_id": file, "endpoint": "/v1/completions", "completion_window": "24h"} | said,
        )
        assert answer.status_code == status and what in answer.json()["detail"]
        too_much = await start.http.post(
            "/v1/files", data={"purpose": "batch"}, files={"file": ("a", b"x" * (3 << 19))}
        )
        assert too_much.status_code == 413 and not list((tmp_path / "files").glob("*.part"))
        assert (
            await start.http.post("/v1/files", data={"purpose": "x"}, files={"file": ("a", b"x")})
        ).status_code == 400
        assert (
            await start.http.post(
                "/v1/files", content=b"--x\r\n", headers={"Content-Type": "multipart/form-data; boundary=x"}
            )
        ).status_code == 400
        batch = await start.create(await start.upload(line("a") + b"\n{\n"))
        failed = await start.until(batch, "failed")
        assert failed["errors"]["data"][0]["line"] == 2
        assert (await start.http.post(f"/v1/batches/{batch}/cancel")).status_code == 409

    play(tmp_path, scene)


def test_a_cancel_that_crosses_answers(tmp_path: Path) -> None:
    async def scene(start: Start) -> None:
        start.served.link.pace = 0.02
        batch = await start.create(await start.upload(b"\n".join(line(f"c{n}") for n in range(300))))
        while start.runner.written < 20:
            await asyncio.sleep(0.005)
        assert (await start.http.post(f"/v1/batches/{batch}/cancel")).json()["status"] == "cancelling"
        found = await start.until(batch, "cancelled")
        done = [a["custom_id"] for a in await start.lines(found["output_file_id"])]
        wrong = [a["custom_id"] for a in await start.lines(found["error_file_id"])]
        counts = found["request_counts"]
        assert len(done) == counts["completed"] >= 20 and len(wrong) == counts["failed"]
        assert len({*done, *wrong}) == len(done) + len(wrong) < 300
        assert not start.served.core.live and not start.runner.out

    play(tmp_path, scene)


def test_a_batch_expires_with_lines_out(tmp_path: Path) -> None:
    async def scene(start: Start) -> None:
        start.served.link.pace = 0.02
        batch = await start.create(await start.upload(b"\n".join(line(f"c{n}") for n in range(300))))
        while start.runner.written < 10:
            await asyncio.sleep(0.005)
        start.runner.batches[batch].window = 0.0
        found = await start.until(batch, "expired")
        assert len(await start.lines(found["output_file_id"])) == found["request_counts"]["completed"] >= 10

    play(tmp_path, scene)


def test_a_line_that_breaks_what_answers_it_is_set_apart(tmp_path: Path) -> None:
    async def scene(start: Start) -> None:
        start.served.link.breaks = 13
        batch = await start.create(
            await start.upload(b"\n".join(line(f"c{n}", max_tokens=13 if n == 7 else 2) for n in range(30)))
        )
        found = await start.until(batch, "completed")
        assert found["request_counts"] == {"total": 30, "completed": 29, "failed": 1}
        wrong = await start.lines(found["error_file_id"])
        assert wrong[0]["custom_id"] == "c7" and wrong[0]["error"]["code"] == "aborted"

    play(tmp_path, scene)


def test_a_full_disk_while_answers_are_written_loses_and_repeats_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("heathford.batch.runner.DISK_AGAIN", 0.05)
    true, sick = Answers.write, 3

    def write(self: Answers, lines: Any) -> Any:
        nonlocal sick
        if sick:
            sick -= 1
            self.files[0].write(b"half a li")
            self.again(0)
            raise OSError(errno.ENOSPC, "no space left on device")
        return true(self, lines)

    monkeypatch.setattr(Answers, "write", write)

    async def scene(start: Start) -> None:
        batch = await start.create(await start.upload(b"\n".join(line(f"c{n}") for n in range(60))))
        found = await start.until(batch, "completed")
        answers = await start.lines(found["output_file_id"])
        assert sorted(a["custom_id"] for a in answers) == sorted(f"c{n}" for n in range(60)) and not sick

    play(tmp_path, scene)


def counting(start: Start, written: dict[str, int]) -> None:
    """Counts what is sent to writers, by prompt."""
    true = start.served.link.send

    def send(endpoint: Any, name: str, body: Any, kv: Any, *rest: Any) -> Any:
        if kv is not None:
            written[body["prompt"]] = written.get(body["prompt"], 0) + 1
        return true(endpoint, name, body, kv, *rest)

    start.served.link.send = send  # type: ignore[method-assign, assignment]


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT])
def test_a_front_killed_at_any_moment_of_a_batch(tmp_path: Path, effect: Effect) -> None:
    """No line is lost, none answered twice, the counts are exact; what must not run twice is written once."""
    chance, count = random.Random(5), 150
    written: dict[str, int] = {}

    async def run() -> dict[str, Any]:
        batch, kills = "", 0
        while True:
            start = await begin(tmp_path, effect)
            counting(start, written)
            start.served.link.pace = 0.005
            if not batch:
                data = b"\n".join(line(f"c{n}", prompt=f"p{n} ".ljust(40, "x")) for n in range(count))
                batch = await start.create(await start.upload(data))
            until = asyncio.get_running_loop().time() + chance.random() * 0.25
            if kills < 8:
                while asyncio.get_running_loop().time() < until:
                    await asyncio.sleep(0.005)
                kills += 1
                if start.runner.batches[batch].status is Status.COMPLETED:
                    kills = 8
                await ends(start, kill=True)
                continue
            found: dict[str, Any] = await start.until(batch, "completed")
            answers = await start.lines(found["output_file_id"])
            answers += await start.lines(found["error_file_id"])
            await ends(start, kill=False)
            return {"found": found, "answers": answers}

    async def within() -> dict[str, Any]:
        async with asyncio.timeout(40.0):
            return await run()

    result = asyncio.run(within())
    ids = [a["custom_id"] for a in result["answers"]]
    assert sorted(ids) == sorted(f"c{n}" for n in range(count))
    counts = result["found"]["request_counts"]
    assert counts["completed"] + counts["failed"] == counts["total"] == count
    if effect is Effect.NON_IDEMPOTENT:
        assert max(written.values()) == 1
        assert counts["failed"] < count / 2
    else:
        assert counts["failed"] == 0
