"""Runs batches: checks their input files, submits their lines as ordinary requests, writes the results."""

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

from heathford.batch.state import FINAL_STATUSES, RetryDecision, Batch, Status, LineRetries
from heathford.batch.lines import InputFileCheck, LineSplitter, Line, LineError, parse_line
from heathford.batch.scheduling import FairScheduler, ConcurrencyLimit, LineQueue
from heathford.batch.file_storage import ResultFiles, FileStorage, new_id
from heathford.core.tasks import Tasks
from heathford.sessions.guidance import Retry
from heathford.sessions.session import SessionManager, Session
from heathford.store.format import Change
from heathford.store.store import Store, StoreError

SPACE = "batches"  # namespace in the store
RESULT_WRITE_DELAY_SECONDS = 0.05  # results are gathered for one write: a sync for each would be too slow
SCHEDULE_INTERVAL_SECONDS = 0.05  # between two checks of the concurrency limit and the completion windows
DISK_RETRY_SECONDS = 2.0  # until a failed write is repeated

log = structlog.get_logger()


@dataclass
class ActiveBatch:
    """A batch that has not ended, with the state that only this process has of it."""

    batch: Batch
    locations: list[tuple[int, int, int]] = field(default_factory=list)  # number, offset, size of each line
    retries: dict[int, LineRetries] = field(default_factory=dict)  # by line index
    in_flight: dict[int, "LineRequest"] = field(default_factory=dict)  # by line index
    result_files: ResultFiles | None = None
    # Lines for the output file and for the error file that are not written yet.
    unwritten_lines: tuple[list[bytes], list[bytes]] = field(default_factory=lambda: ([], []))
    # Their line indexes, and whether each succeeded.
    unwritten_marks: list[tuple[int, bool]] = field(default_factory=list)
    answered: dict[int, None] = field(default_factory=dict)  # indexes of lines with a result, written or not
    final_status: Status | None = None  # set when the batch starts to end


class LineRequest:
    """One line in flight, submitted through a session of its own, whose results it receives."""

    slow = False  # of SessionWriter: results are taken at once

    def __init__(self, runner: "Runner", active: ActiveBatch, index: int, line: Line) -> None:
        self.runner, self.active, self.index, self.line = runner, active, index, line
        self.sent_at = runner.now()
        self.first_token_time: float | None = None
        self.ended = False
        self.session = Session(runner.manager, self, runner.manager.next_session_name())
        self.session.interactive = False  # its latency must not count as that of a client who waits

    def resume_reading(self) -> None:
        """Do nothing: the session has only this one request."""

    def chunk(self, key: Any, request_id: str, text: str) -> None:
        if self.first_token_time is None:
            self.first_token_time = self.runner.now() - self.sent_at
            self.runner.record_first_token(self)

    def finished(self, key: Any, request_id: str, reason: str, usage: Mapping[str, Any], text: str) -> None:
        tokens = usage.get("completion_tokens")
        if self.first_token_time is not None and isinstance(tokens, int) and tokens > 1:
            target = self.runner.manager.core.workloads[self.line.request["workload"]].token_target
            duration = self.runner.now() - self.sent_at - self.first_token_time
            self.runner.limit.line_streamed(duration / (tokens - 1) / target, self.runner.now())
        self.runner.finish_line(
            self,
            True,
            {
                "id": request_id,
                "custom_id": self.line.custom_id,
                "response": {
                    "status_code": 200,
                    "request_id": request_id,
                    "body": {
                        "id": request_id,
                        "object": "text_completion",
                        "model": self.line.request["body"]["model"],
                        "choices": [{"index": 0, "text": text, "finish_reason": reason}],
                        "usage": dict(usage),
                    },
                },
                "error": None,
            },
        )

    def rate_limited(self, key: Any, request_id: str, retry_after: float) -> None:
        decision, delay = self.retries.after_rate_limit()
        if decision is RetryDecision.LATER:
            self.runner.retry_later(self, max(delay, retry_after), slow=True)
        else:
            self.fail(request_id, "rate_limited", "rate-limited too often")

    def aborted(self, key: Any, request_id: str, why: str, retry: Retry) -> None:
        decision, delay = self.retries.after_abort(retry is not Retry.NEVER)
        if decision is RetryDecision.LATER:
            self.runner.retry_later(self, delay, slow=False)
        else:
            self.fail(request_id, "aborted", why)

    def conflict(self, key: Any) -> None:
        """Fail the line: its idempotency key was already used for another request."""
        self.fail("", "conflict", "the line's key stands for another completion")

    @property
    def retries(self) -> LineRetries:
        return self.active.retries.setdefault(self.index, LineRetries())

    def fail(self, request_id: str, code: str, message: str) -> None:
        self.runner.finish_line(self, False, failed_line(self.line.custom_id, request_id, code, message))


def failed_line(custom_id: str | None, request_id: str, code: str, message: str) -> dict[str, Any]:
    """Return a line of the error file, as the published API defines it."""
    return {
        "id": request_id,
        "custom_id": custom_id,
        "response": None,
        "error": {"code": code, "message": message},
    }


class Runner:
    """Runs the batches of a front node.

    `wall` is the clock of the published times, in seconds since the epoch; `now` is the event loop's clock.
    """

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
        self.limit, self.scheduler = ConcurrencyLimit(), FairScheduler[int]()
        self.batches = {
            key.decode(): Batch.from_record(orjson.loads(value)) for key, value in store.scan(SPACE)
        }
        self.active_batches: dict[str, ActiveBatch] = {}
        manager.on_first_token, manager.on_stream_finished = (
            self.limit.session_first_token,
            self.limit.session_streamed,
        )
        self.in_flight = 0  # lines of all batches
        self.stopping = False
        self.tasks = Tasks("batches")
        self.changed = asyncio.Event()  # wakes the scheduling loop
        self.lines_written = 0

    # Client operations.

    async def create(self, tenant: int, file: str, window: float, metadata: Mapping[str, str]) -> Batch:
        """Record a batch with a window of `window` s and start checking its file; raises StoreError."""
        batch = Batch(new_id("batch"), tenant, file, self.wall(), window, dict(metadata))
        await self.save(batch)
        self.batches[batch.id] = batch
        self.file_storage.hold(file)
        self.tasks.spawn(self.check_and_start(batch))
        return batch

    async def cancel(self, batch: Batch) -> None:
        """Cancel the lines in flight and keep the results so far; raises StatusError."""
        batch.transition_to(Status.CANCELLING, self.wall())
        await self.save(batch)
        active = self.active_batches.get(batch.id)
        if active:
            self.start_ending(active, Status.CANCELLED)

    def batches_of(self, tenant: int) -> list[Batch]:
        """Return a tenant's batches, the newest first."""
        tenant_batches = [b for b in self.batches.values() if b.member == tenant]
        return sorted(tenant_batches, key=lambda b: (-b.created, b.id))

    # Start and stop.

    def start(self) -> None:
        """Start scheduling and resume the batches that had not ended when the last process stopped."""
        for batch in list(self.batches.values()):
            if batch.status not in FINAL_STATUSES:
                self.file_storage.hold(batch.input_file)
                self.tasks.spawn(self.check_and_start(batch))
        self.tasks.spawn(self.run())

    async def stop(self) -> None:
        """Write the finished results and stop.

        The next start submits the lines in flight again, under the same idempotency keys.
        """
        self.stopping = True
        for active in list(self.active_batches.values()):
            await self.write_results(active)
        tasks = list(self.tasks.running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for active in self.active_batches.values():
            if active.result_files:
                active.result_files.close()

    async def save(self, batch: Batch, *more: Change) -> None:
        await self.store.write([Change(SPACE, batch.id.encode(), orjson.dumps(batch.to_record())), *more])

    async def save_with_retry(self, batch: Batch, *more: Change) -> None:
        """Save a batch, retrying until it is on disk; the batch loses nothing meanwhile."""
        while True:
            try:
                await self.save(batch, *more)
                return
            except StoreError as problem:
                log.error("batch record not written; retrying", batch=batch.id, why=str(problem))
                await asyncio.sleep(DISK_RETRY_SECONDS)

    # Validation.

    async def check_and_start(self, batch: Batch) -> None:
        """Check the whole input file, off the event loop, then queue the lines or fail the batch."""
        loop = asyncio.get_running_loop()
        file_check = await loop.run_in_executor(None, self.check_file, batch)
        active = ActiveBatch(batch, file_check.locations)
        if batch.status is Status.VALIDATING:
            if file_check.mistake_count:
                batch.mistakes = [m.body() for m in file_check.mistakes]
                batch.transition_to(Status.FAILED, self.wall())
                await self.save(batch)
                self.file_storage.release(batch.input_file)
                return
            batch.mark_validated(len(file_check.locations), self.wall())
            await self.save(batch)
        self.active_batches[batch.id] = active
        active.result_files = ResultFiles(self.file_storage.folder, batch.id, batch.outputs)
        if batch.status in (Status.CANCELLING, Status.FINALIZING):
            cancelled = batch.status is Status.CANCELLING
            self.start_ending(active, Status.CANCELLED if cancelled else Status.COMPLETED)
            return
        items = [index for index in file_check.submission_order if not batch.is_answered(index)]
        queue = LineQueue(batch.member, items, batch.created, batch.expires_at)
        queue.total = max(1, batch.total)
        self.scheduler.add(batch.id, queue)
        self.changed.set()
        if not items:
            self.start_ending(active, Status.COMPLETED)

    def check_file(self, batch: Batch) -> InputFileCheck:
        file_check, splitter = InputFileCheck(self.manager.catalog), LineSplitter()
        try:
            for data in self.file_storage.chunks(batch.input_file):
                for line in splitter.feed(data):
                    file_check.add_line(*line)
            for line in splitter.end():
                file_check.add_line(*line)
        except OSError as problem:
            file_check.add_mistake("file_unreadable", f"the file can't be read: {problem.strerror}", None)
        file_check.finish()
        return file_check

    def read_line(self, active: ActiveBatch, index: int) -> Line:
        """Read a line that was valid when the file was checked; raises LineError or OSError."""
        number, offset, size = active.locations[index]
        with self.file_storage.path(active.batch.input_file).open("rb") as file:
            file.seek(offset)
            return parse_line(file.read(size).rstrip(b"\n"), number, self.manager.catalog)

    # Execution.

    async def run(self) -> None:
        """Submit lines as the concurrency limit allows, and end expired batches."""
        while True:
            self.changed.clear()
            now = self.now()
            available = self.limit.available(self.in_flight, now)
            while (
                available > 0
                and not self.stopping
                and not self.manager.stopping
                and (found := self.scheduler.next(self.wall())) is not None
            ):
                self.submit_line(*found)
                available -= 1
            for active in list(self.active_batches.values()):
                if self.wall() >= active.batch.expires_at and active.final_status is None:
                    self.start_ending(active, Status.EXPIRED)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SCHEDULE_INTERVAL_SECONDS):
                    await self.changed.wait()

    def submit_line(self, batch_id: str, index: int) -> None:
        active = self.active_batches[batch_id]
        try:
            line = self.read_line(active, index)
        except (LineError, OSError) as problem:
            self.add_result(active, index, False, failed_line(None, "", "file_unreadable", str(problem)))
            return
        request = dict(line.request)
        # The idempotency key of a line is the same after a restart of the front node. A request that may have
        # run is not run again where that is unsafe, and one that had finished returns its stored answer.
        # The argument is called "mark"; it has nothing to do with Batch.marks.
        request["mark"] = f"{batch_id}-{line.number}"
        request["member"] = active.batch.member
        line_request = active.in_flight[index] = LineRequest(self, active, index, line)
        self.in_flight += 1
        line_request.session.submit(0, request, self.now(), active.locations[index][2])

    def record_first_token(self, line_request: LineRequest) -> None:
        target = self.manager.catalog.first_token_target(
            line_request.line.request["workload"], line_request.line.request["prompt"]
        )
        target_share = (
            inf if line_request.first_token_time is None else line_request.first_token_time / target
        )
        limit_reached = self.limit.available(self.in_flight, self.now()) == 0
        self.limit.line_first_token(line_request.sent_at, target_share, limit_reached, self.now())

    def line_ended(self, line_request: LineRequest) -> None:
        if not line_request.ended:
            line_request.ended = True
            self.in_flight -= 1
            line_request.active.in_flight.pop(line_request.index, None)
            self.changed.set()

    def retry_later(self, line_request: LineRequest, delay: float, slow: bool) -> None:
        """Queue a line for another attempt after `delay` s.

        `slow`: it was rate-limited, which counts as an infinite time to the first token if none came.
        """
        if slow:
            self.record_first_token(line_request)
        self.line_ended(line_request)
        queue = self.scheduler.queues.get(line_request.active.batch.id)
        if queue is not None and line_request.active.final_status is None:
            queue.requeue(line_request.index, self.wall() + delay)
        elif line_request.active.final_status is not None:
            self.add_result(
                line_request.active,
                line_request.index,
                False,
                failed_line(
                    line_request.line.custom_id,
                    "",
                    "batch_" + line_request.active.final_status.value,
                    "the batch ended before",  # that is, before the line had a result
                ),
            )

    def finish_line(self, line_request: LineRequest, succeeded: bool, result: dict[str, Any]) -> None:
        self.line_ended(line_request)
        self.add_result(line_request.active, line_request.index, succeeded, result)

    def add_result(self, active: ActiveBatch, index: int, succeeded: bool, result: dict[str, Any]) -> None:
        """Keep a line's result for the next write; a second result of the same line is dropped."""
        if active.batch.is_answered(index) or index in active.answered:
            return
        active.answered[index] = None
        active.unwritten_lines[not succeeded].append(orjson.dumps(result) + b"\n")
        active.unwritten_marks.append((index, succeeded))
        if len(active.unwritten_marks) == 1:
            self.tasks.spawn(self.write_results_soon(active))

    async def write_results_soon(self, active: ActiveBatch) -> None:
        await asyncio.sleep(RESULT_WRITE_DELAY_SECONDS)
        await self.write_results(active)

    async def write_results(self, active: ActiveBatch) -> None:
        """Write results, then the record of which lines have one and how many bytes of the files are valid.

        After a crash in between, the next start cuts off the unrecorded bytes and submits the lines again
        under the same idempotency keys.
        """
        if not active.unwritten_marks or active.result_files is None:
            return
        lines, marks = active.unwritten_lines, active.unwritten_marks
        active.unwritten_lines, active.unwritten_marks = ([], []), []
        batch, loop = active.batch, asyncio.get_running_loop()
        try:
            counts = await loop.run_in_executor(None, active.result_files.write, lines)
        except OSError as problem:
            log.error("batch results not written; retrying", batch=batch.id, why=str(problem))
            active.unwritten_lines = (
                lines[0] + active.unwritten_lines[0],
                lines[1] + active.unwritten_lines[1],
            )
            active.unwritten_marks = marks + active.unwritten_marks
            await asyncio.sleep(DISK_RETRY_SECONDS)
            self.tasks.spawn(self.write_results_soon(active))
            return
        batch.outputs = counts
        for index, succeeded in marks:
            batch.mark_answered(index, succeeded)
        self.lines_written += len(marks)
        await self.save_with_retry(batch)
        if not batch.remaining and active.final_status is None:
            self.start_ending(active, Status.COMPLETED)

    # End of a batch.

    def start_ending(self, active: ActiveBatch, status: Status) -> None:
        if active.final_status is None:
            active.final_status = status
            self.tasks.spawn(self.end_batch(active, status))

    async def end_batch(self, active: ActiveBatch, final_status: Status) -> None:
        """Stop submitting, cancel the lines in flight, then publish the complete result files."""
        batch = active.batch
        self.scheduler.remove(batch.id)
        for line_request in list(active.in_flight.values()):
            line_request.session.cancel(0)
        while active.in_flight or active.unwritten_marks:
            await self.write_results(active)
            await asyncio.sleep(RESULT_WRITE_DELAY_SECONDS)
        if final_status is Status.COMPLETED and batch.status is Status.IN_PROGRESS:
            batch.transition_to(Status.FINALIZING, self.wall())
            await self.save_with_retry(batch)
        assert active.result_files
        active.result_files.close()
        entries, changes = {}, []
        loop = asyncio.get_running_loop()
        for kind, size, path in zip(
            ("output", "error"), batch.outputs, active.result_files.paths, strict=True
        ):
            if size:
                name = f"file-{batch.id.removeprefix('batch-')}-{kind}"
                # The name is the same after a restart, so that a file left by a crash is replaced.
                await loop.run_in_executor(None, publish_file, path, self.file_storage.path(name))
                filename = f"{batch.id}_{kind}.jsonl"
                entry = self.file_storage.make_entry(name, batch.member, filename, "batch_output", size)
                entries[kind] = entry
                changes.append(self.file_storage.change(entry))
        batch.output_file = entries["output"]["id"] if "output" in entries else ""
        batch.error_file = entries["error"]["id"] if "error" in entries else ""
        # A client that sees the final status fetches the files at once, so they are listed before it is set.
        for entry in entries.values():
            self.file_storage.add_entry(entry["id"], entry)
        batch.transition_to(final_status, self.wall())
        await self.save_with_retry(batch, *changes)
        for path in active.result_files.paths:
            path.unlink(missing_ok=True)
        self.active_batches.pop(batch.id, None)
        self.file_storage.release(batch.input_file)
        log.info(
            "batch ended",
            batch=batch.id,
            status=final_status.value,
            completed=batch.completed,
            failed=batch.failed,
        )


def publish_file(part: Path, path: Path) -> None:
    """Hard-link a complete file to its final name; the old name stays until the batch record is written."""
    path.unlink(missing_ok=True)
    path.hardlink_to(part)
