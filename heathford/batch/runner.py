"""Carries batches: checks their files, asks their lines as ordinary completions, writes what comes."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from math import inf
from typing import Any

import orjson
import structlog

from heathford.batch.state import OVER, Again, Batch, Status, Tries
from heathford.batch.lines import Checked, Cutter, Line, LineError, read_line
from heathford.batch.scheduling import Fair, Limit, Queue
from heathford.batch.file_storage import Answers, FileStorage, new_id
from heathford.core.tasks import Tasks
from heathford.sessions.guidance import Retry
from heathford.sessions.session import SessionManager, Session
from heathford.store.format import Change
from heathford.store.store import Store, StoreError

SPACE = "batches"
GROUP = 0.05  # s in which answers are gathered for one write: a sync each would slow a batch down
TICK = 0.05  # s between two looks at room and at time
DISK_AGAIN = 2.0  # s until answers are written again after the disk refused them

log = structlog.get_logger()


@dataclass
class Running:
    """A batch that is not over, as this start of the front has it."""

    batch: Batch
    places: list[tuple[int, int, int]] = field(default_factory=list)  # number, place, size of each line
    tries: dict[int, Tries] = field(default_factory=dict)
    out: dict[int, "Asked"] = field(default_factory=dict)
    answers: Answers | None = None
    ready: tuple[list[bytes], list[bytes]] = field(default_factory=lambda: ([], []))
    marked: list[tuple[int, bool]] = field(default_factory=list)  # of what is ready
    settled: dict[int, None] = field(default_factory=dict)  # whose answer is ready or written
    ending: Status | None = None


class Asked:
    """One line that is out; the voice of a session of its own."""

    slow = False

    def __init__(self, runner: "Runner", running: Running, index: int, line: Line) -> None:
        self.runner, self.running, self.index, self.line = runner, running, index, line
        self.sent = runner.now()
        self.first: float | None = None
        self.over = False
        self.session = Session(runner.manager, self, runner.manager.next_session_name())
        self.session.interactive = False

    def resume_reading(self) -> None:
        """One completion a session."""

    def chunk(self, key: Any, completion: str, text: str) -> None:
        if self.first is None:
            self.first = self.runner.now() - self.sent
            self.runner.first_token(self)

    def finished(self, key: Any, completion: str, reason: str, usage: Mapping[str, Any], text: str) -> None:
        tokens = usage.get("completion_tokens")
        if self.first is not None and isinstance(tokens, int) and tokens > 1:
            wanted = self.runner.manager.core.workloads[self.line.asked["workload"]].token_target
            took = self.runner.now() - self.sent - self.first
            self.runner.limit.line_streamed(took / (tokens - 1) / wanted, self.runner.now())
        self.runner.ends(
            self,
            True,
            {
                "id": completion,
                "custom_id": self.line.custom_id,
                "response": {
                    "status_code": 200,
                    "request_id": completion,
                    "body": {
                        "id": completion,
                        "object": "text_completion",
                        "model": self.line.asked["body"]["model"],
                        "choices": [{"index": 0, "text": text, "finish_reason": reason}],
                        "usage": dict(usage),
                    },
                },
                "error": None,
            },
        )

    def rate_limited(self, key: Any, completion: str, retry_after: float) -> None:
        what, wait = self.tries.after_refusal()
        if what is Again.LATER:
            self.runner.later(self, max(wait, retry_after), slow=True)
        else:
            self.fail(completion, "rate_limited", "rate-limited too often")

    def aborted(self, key: Any, completion: str, why: str, retry: Retry) -> None:
        what, wait = self.tries.after_abort(retry is not Retry.NEVER)
        if what is Again.LATER:
            self.runner.later(self, wait, slow=False)
        else:
            self.fail(completion, "aborted", why)

    def conflict(self, key: Any) -> None:
        self.fail("", "conflict", "the line's key stands for another completion")

    @property
    def tries(self) -> Tries:
        return self.running.tries.setdefault(self.index, Tries())

    def fail(self, completion: str, code: str, message: str) -> None:
        self.runner.ends(self, False, failed_line(self.line.custom_id, completion, code, message))


def failed_line(custom_id: str | None, completion: str, code: str, message: str) -> dict[str, Any]:
    return {
        "id": completion,
        "custom_id": custom_id,
        "response": None,
        "error": {"code": code, "message": message},
    }


class Runner:
    """wall: for the published times; now: the loop's clock."""

    def __init__(
        self,
        manager: SessionManager,
        store: Store,
        file_storage: FileStorage,
        now: Callable[[], float],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.manager, self.store, self.file_storage, self.now, self.wall = (
            manager,
            store,
            file_storage,
            now,
            wall,
        )
        self.limit, self.fair = Limit(), Fair[int]()
        self.batches = {key.decode(): Batch.read(orjson.loads(value)) for key, value in store.scan(SPACE)}
        self.running: dict[str, Running] = {}
        manager.on_first_token, manager.on_stream_finished = (
            self.limit.session_answered,
            self.limit.session_streamed,
        )
        self.out = 0
        self.stopping = False
        self.tasks = Tasks("batches")
        self.changed = asyncio.Event()
        self.written = 0

    # What clients ask for.

    async def create(self, member: int, file: str, window: float, metadata: Mapping[str, str]) -> Batch:
        batch = Batch(new_id("batch"), member, file, self.wall(), window, dict(metadata))
        await self.keep(batch)
        self.batches[batch.id] = batch
        self.file_storage.hold(file)
        self.tasks.spawn(self.check(batch))
        return batch

    async def cancel(self, batch: Batch) -> None:
        """What is out ends; what was answered stays. Raises StatusError."""
        batch.goes(Status.CANCELLING, self.wall())
        await self.keep(batch)
        running = self.running.get(batch.id)
        if running:
            self.end_soon(running, Status.CANCELLED)

    def of(self, member: int) -> list[Batch]:
        """Newest first."""
        mine = [b for b in self.batches.values() if b.member == member]
        return sorted(mine, key=lambda b: (-b.created, b.id))

    # From start to stop.

    def start(self) -> None:
        """Goes on with what earlier starts have left."""
        for batch in list(self.batches.values()):
            if batch.status not in OVER:
                self.file_storage.hold(batch.input_file)
                self.tasks.spawn(self.check(batch))
        self.tasks.spawn(self.run())

    async def stop(self) -> None:
        """What is out is left to its identity: the next start asks for it by its key."""
        self.stopping = True
        for running in list(self.running.values()):
            await self.write(running)
        tasks = list(self.tasks.running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for running in self.running.values():
            if running.answers:
                running.answers.close()

    async def keep(self, batch: Batch, *more: Change) -> None:
        await self.store.write([Change(SPACE, batch.id.encode(), orjson.dumps(batch.kept())), *more])

    async def keep_surely(self, batch: Batch, *more: Change) -> None:
        """Until it is on disk: a batch waits for its store, and loses nothing meanwhile."""
        while True:
            try:
                await self.keep(batch, *more)
                return
            except StoreError as problem:
                log.error("batch not recorded; tried again", batch=batch.id, why=str(problem))
                await asyncio.sleep(DISK_AGAIN)

    # Checking.

    async def check(self, batch: Batch) -> None:
        """Reads the whole file, off the loop, and begins with its lines or fails it."""
        loop = asyncio.get_running_loop()
        checked = await loop.run_in_executor(None, self.read_file, batch)
        running = Running(batch, checked.places)
        if batch.status is Status.VALIDATING:
            if checked.wrong:
                batch.mistakes = [m.body() for m in checked.mistakes]
                batch.goes(Status.FAILED, self.wall())
                await self.keep(batch)
                self.file_storage.let_go(batch.input_file)
                return
            batch.validated(len(checked.places), self.wall())
            await self.keep(batch)
        self.running[batch.id] = running
        running.answers = Answers(self.file_storage.folder, batch.id, batch.outputs)
        if batch.status in (Status.CANCELLING, Status.FINALIZING):
            cancelled = batch.status is Status.CANCELLING
            self.end_soon(running, Status.CANCELLED if cancelled else Status.COMPLETED)
            return
        items = [index for index in checked.sequence if not batch.is_done(index)]
        queue = Queue(batch.member, items, batch.created, batch.expires)
        queue.total = max(1, batch.total)
        self.fair.add(batch.id, queue)
        self.changed.set()
        if not items:
            self.end_soon(running, Status.COMPLETED)

    def read_file(self, batch: Batch) -> Checked:
        checked, cutter = Checked(self.manager.catalog), Cutter()
        try:
            for data in self.file_storage.chunks(batch.input_file):
                for line in cutter.feed(data):
                    checked.take(*line)
            for line in cutter.end():
                checked.take(*line)
        except OSError as problem:
            checked.mistake("file_unreadable", f"the file can't be read: {problem.strerror}", None)
        checked.ends()
        return checked

    def line(self, running: Running, index: int) -> Line:
        """Raises LineError or OSError: the file was whole when it was checked."""
        number, place, size = running.places[index]
        with self.file_storage.path(running.batch.input_file).open("rb") as file:
            file.seek(place)
            return read_line(file.read(size).rstrip(b"\n"), number, self.manager.catalog)

    # Running.

    async def run(self) -> None:
        while True:
            self.changed.clear()
            now = self.now()
            room = self.limit.room(self.out, now)
            while (
                room > 0
                and not self.stopping
                and not self.manager.stopping
                and (found := self.fair.next(self.wall())) is not None
            ):
                self.ask(*found)
                room -= 1
            for running in list(self.running.values()):
                if self.wall() >= running.batch.expires and running.ending is None:
                    self.end_soon(running, Status.EXPIRED)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK):
                    await self.changed.wait()

    def ask(self, name: str, index: int) -> None:
        running = self.running[name]
        try:
            line = self.line(running, index)
        except (LineError, OSError) as problem:
            self.settle(running, index, False, failed_line(None, "", "file_unreadable", str(problem)))
            return
        asked = dict(line.asked)
        # The same line is the same completion, at whichever start of the front: what may have run is not run
        # again where that does harm, and what had ended gives its answer.
        asked["mark"] = f"{name}-{line.number}"
        asked["member"] = running.batch.member
        one = running.out[index] = Asked(self, running, index, line)
        self.out += 1
        one.session.submit(0, asked, self.now(), running.places[index][2])

    def first_token(self, asked: Asked) -> None:
        target = self.manager.catalog.latency_target(asked.line.asked["workload"], asked.line.asked["prompt"])
        part = inf if asked.first is None else asked.first / target
        held_back = self.limit.room(self.out, self.now()) == 0
        self.limit.line_answered(asked.sent, part, held_back, self.now())

    def gone(self, asked: Asked) -> None:
        if not asked.over:
            asked.over = True
            self.out -= 1
            asked.running.out.pop(asked.index, None)
            self.changed.set()

    def later(self, asked: Asked, wait: float, slow: bool) -> None:
        """It is asked again; slow: for want of room."""
        if slow:
            self.first_token(asked)
        self.gone(asked)
        queue = self.fair.queues.get(asked.running.batch.id)
        if queue is not None and asked.running.ending is None:
            queue.again(asked.index, self.wall() + wait)
        elif asked.running.ending is not None:
            self.settle(
                asked.running,
                asked.index,
                False,
                failed_line(
                    asked.line.custom_id, "", "batch_" + asked.running.ending.value, "the batch ended before"
                ),
            )

    def ends(self, asked: Asked, good: bool, answer: dict[str, Any]) -> None:
        self.gone(asked)
        self.settle(asked.running, asked.index, good, answer)

    def settle(self, running: Running, index: int, good: bool, answer: dict[str, Any]) -> None:
        """Its answer is to be written, once."""
        if running.batch.is_done(index) or index in running.settled:
            return
        running.settled[index] = None
        running.ready[not good].append(orjson.dumps(answer) + b"\n")
        running.marked.append((index, good))
        if len(running.marked) == 1:
            self.tasks.spawn(self.write_soon(running))

    async def write_soon(self, running: Running) -> None:
        await asyncio.sleep(GROUP)
        await self.write(running)

    async def write(self, running: Running) -> None:
        """Answers first, then the record that says which lines have them and how many bytes count: a crash
        between leaves bytes that are cut off, and lines that are asked for again by their keys."""
        if not running.marked or running.answers is None:
            return
        ready, marked = running.ready, running.marked
        running.ready, running.marked = ([], []), []
        batch, loop = running.batch, asyncio.get_running_loop()
        try:
            counts = await loop.run_in_executor(None, running.answers.write, ready)
        except OSError as problem:
            log.error("answers not written; tried again", batch=batch.id, why=str(problem))
            running.ready = (ready[0] + running.ready[0], ready[1] + running.ready[1])
            running.marked = marked + running.marked
            await asyncio.sleep(DISK_AGAIN)
            self.tasks.spawn(self.write_soon(running))
            return
        batch.outputs = counts
        for index, good in marked:
            batch.answered(index, good)
        self.written += len(marked)
        await self.keep_surely(batch)
        if not batch.left and running.ending is None:
            self.end_soon(running, Status.COMPLETED)

    # The end.

    def end_soon(self, running: Running, how: Status) -> None:
        if running.ending is None:
            running.ending = how
            self.tasks.spawn(self.end(running, how))

    async def end(self, running: Running, how: Status) -> None:
        """Nothing new goes out; what is out ends; then the files get their names, whole."""
        batch = running.batch
        self.fair.remove(batch.id)
        for asked in list(running.out.values()):
            asked.session.cancel(0)
        while running.out or running.marked:
            await self.write(running)
            await asyncio.sleep(GROUP)
        if how is Status.COMPLETED and batch.status is Status.IN_PROGRESS:
            batch.goes(Status.FINALIZING, self.wall())
            await self.keep_surely(batch)
        assert running.answers
        running.answers.close()
        names, changes = {}, []
        loop = asyncio.get_running_loop()
        for kind, size, path in zip(("output", "error"), batch.outputs, running.answers.paths, strict=True):
            if size:
                name = f"file-{batch.id.removeprefix('batch-')}-{kind}"
                # The same name at whichever start: what a crash left under it is written over.
                await loop.run_in_executor(None, whole, path, self.file_storage.path(name))
                filename = f"{batch.id}_{kind}.jsonl"
                entry = self.file_storage.entry(name, batch.member, filename, "batch_output", size)
                names[kind] = entry
                changes.append(self.file_storage.change(entry))
        batch.output_file = names["output"]["id"] if "output" in names else ""
        batch.error_file = names["error"]["id"] if "error" in names else ""
        # Guards against a status seen before its files: who sees it fetches them at once.
        for entry in names.values():
            self.file_storage.took(entry["id"], entry)
        batch.goes(how, self.wall())
        await self.keep_surely(batch, *changes)
        for path in running.answers.paths:
            path.unlink(missing_ok=True)
        self.running.pop(batch.id, None)
        self.file_storage.let_go(batch.input_file)
        log.info(
            "batch over", batch=batch.id, status=how.value, completed=batch.completed, failed=batch.failed
        )


def whole(part: Path, path: Path) -> None:
    """A link, so that the part stays until the record says that the whole one is there."""
    path.unlink(missing_ok=True)
    path.hardlink_to(part)
