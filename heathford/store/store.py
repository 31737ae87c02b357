"""Durable store of a front node; a thread groups and syncs writes, so the event loop never waits for disk."""

import asyncio
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any

import structlog

from heathford.store.decisions import (
    SNAPSHOT_PART_PAUSE_SECONDS,
    Clock,
    Health,
    State,
    DiskFailure,
    should_compact,
)
from heathford.store.files import RealFiles
from heathford.store.format import MAX_RECORD_BYTES, Change
from heathford.store.journal import Journal, JournalError, recover
from heathford.store.views import Entry, View, is_expired

EXPIRY_INTERVAL_SECONDS = 1.0  # between two deletions of expired entries
MAX_EXPIRED_AT_ONCE = 2000  # entries deleted at once: takes a few ms of the event loop
MAX_GROUP_BYTES = 4 << 20  # of one group commit: later writes wait until it is on disk

log = structlog.get_logger()


class StoreError(Exception):
    """A write was refused or failed; `state` is the state of the store then."""

    def __init__(self, message: str, state: State) -> None:
        super().__init__(message)
        self.state = state


class ConflictError(Exception):
    """A key does not have the value that a write expected; nothing of it was made."""


class PendingWrite:
    """An atomic write that is not on disk yet."""

    def __init__(self, changes: tuple[Change, ...], store_time: float, epoch: int, size: int) -> None:
        self.changes, self.store_time, self.epoch, self.size = changes, store_time, epoch, size
        self.number = 0  # counts all writes of the store
        self.future: asyncio.Future[int] = asyncio.get_running_loop().create_future()


class Store:
    """Durable key-value store with namespaces; created by `open`, used from one event loop.

    `durable_view` has what is on disk, `head` also the writes that are not on disk yet. Both are immutable.
    The persistent maps are updated once for each group of writes: once for each write would cost twenty times
    as much. Until then an overlay has the entries of pending writes.
    """

    def __init__(
        self,
        journal: Journal,
        close: Callable[[], None],
        wall_clock: Callable[[], float],
        monotonic_clock: Callable[[], float],
    ) -> None:
        self.journal, self.close_files, self.monotonic_clock = journal, close, monotonic_clock
        self.loop = asyncio.get_running_loop()
        self.health = Health()
        self.durable_view = journal.view
        self.cached_head: View | None = self.durable_view  # None: to be built again after a write
        self.clock = Clock(self.durable_view.time, wall_clock(), monotonic_clock())
        self.pending: deque[PendingWrite] = deque()  # not yet on disk
        # By namespace and key: the entry of the last pending write (None: deleted) and that write's number.
        self.overlay: dict[tuple[str, bytes], tuple[Entry | None, int]] = {}
        self.write_count = 0
        self.epoch = 0  # counts the failures after which pending writes were dropped
        self.queue: list[PendingWrite] = []  # for the writer thread
        self.queue_condition = threading.Condition()  # guards `queue` and `closing`
        self.closing = False
        self.snapshots = self.compactions_failed = self.groups = self.written = 0
        self.compacting: threading.Thread | None = None
        self.writer = threading.Thread(target=self.write_groups, name="store-writer", daemon=True)
        self.writer.start()
        self.expiry_task = self.loop.create_task(self.run_expiry())
        if self.clock.wall_clock_is_behind:
            log.warning("wall clock is behind the store's; store time continues from the last recorded time")

    @classmethod
    async def open(
        cls,
        folder: Path,
        wall_clock: Callable[[], float] = time.time,
        monotonic_clock: Callable[[], float] = time.monotonic,
    ) -> "Store":
        """Open the store of a directory; the clocks return seconds.

        The wall clock is read once, here. Raises LockedError, DamageError, JournalError or OSError.
        """
        files = RealFiles(folder)
        files.acquire_lock()

        def read() -> Journal:
            recovered = recover(files)
            for finding in recovered.torn:
                log.info("torn end of the log ignored; nothing in it was acknowledged", what=finding)
            for finding in recovered.covered:
                log.warning("unreadable part of a file; another file has its data", what=finding)
            journal = Journal(files, recovered)
            journal.persist_recovered()
            return journal

        try:
            journal = await asyncio.get_running_loop().run_in_executor(None, read)
        except BaseException:
            files.close()
            raise
        return cls(journal, files.close, wall_clock, monotonic_clock)

    @property
    def now(self) -> float:
        """Store time in seconds; never behind a recorded time."""
        return self.clock.now(self.monotonic_clock())

    # Reading.

    def get(self, space: str, key: bytes) -> bytes | None:
        """Return an unexpired value, also of a write that is not on disk yet."""
        pending_entry = self.overlay.get((space, key))
        if pending_entry is None:
            return self.durable_view.get(space, key, self.now)
        entry = pending_entry[0]
        return None if entry is None or is_expired(entry, self.now) else entry[0]

    @property
    def head(self) -> View:
        """Content with all pending writes."""
        if self.cached_head is None:
            changes = [change for pending_write in self.pending for change in pending_write.changes]
            self.cached_head = self.durable_view.with_changes(
                changes, self.durable_view.sequence + len(self.pending), self.now
            )
        return self.cached_head

    def scan(self, space: str, start_key: bytes = b"", prefix: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """Yield keys and values in order as they are now; later writes do not affect the scan."""
        return self.head.scan(space, self.now, start_key, prefix)

    # Writing.

    def put(self, space: str, key: bytes, value: bytes, ttl: float | None = None) -> "asyncio.Future[int]":
        """Write one entry; see `write`. `ttl` is its time to live in seconds, None for no expiry."""
        expires_at = None if ttl is None else self.now + ttl
        return self.write([Change(space, key, value, expires_at)])

    def delete(self, space: str, key: bytes) -> "asyncio.Future[int]":
        return self.write([Change(space, key, None)])

    def compare_and_swap(
        self, space: str, key: bytes, old: bytes | None, new: bytes | None
    ) -> "asyncio.Future[int]":
        """Put the new value if the key has the old one; None stands for no entry. Raises ConflictError."""
        if self.get(space, key) != old:
            raise ConflictError(f"{space}/{key!r} has another value")
        return self.write([Change(space, key, new)])

    def write(self, changes: Sequence[Change]) -> "asyncio.Future[int]":
        """Write all changes or none; raises StoreError if the write is refused.

        Readers see the changes at once. The future completes with the record's sequence once it is on disk,
        or fails with StoreError, and readers then no longer see the changes.
        """
        size = sum(len(c.key) + len(c.value or b"") + 64 for c in changes)
        if size > MAX_RECORD_BYTES:
            raise StoreError(f"write has {size} bytes; the maximum is {MAX_RECORD_BYTES}", self.health.state)
        if not self.health.accepts(size, self.loop.time()):
            raise StoreError(
                f"the store is {self.health.state.value}: {self.health.reason}", self.health.state
            )
        now = self.now
        pending_write = PendingWrite(tuple(changes), now, self.epoch, size)
        self.write_count += 1
        pending_write.number, self.cached_head = self.write_count, None
        for change in pending_write.changes:
            entry = None if change.value is None else (change.value, change.expires_at)
            self.overlay[change.space, change.key] = entry, pending_write.number
        self.pending.append(pending_write)
        self.health.pending_bytes += size
        with self.queue_condition:
            self.queue.append(pending_write)
            self.queue_condition.notify()
        return pending_write.future

    def write_groups(self) -> None:
        """Run the writer thread: write and sync all queued writes, up to MAX_GROUP_BYTES, as one group."""
        epoch = 0
        while True:
            with self.queue_condition:
                while not self.queue and not self.closing:
                    self.queue_condition.wait()
                if not self.queue:
                    return
                group, size = [], 0
                while self.queue and size < MAX_GROUP_BYTES:
                    group.append(self.queue.pop(0))
                    size += group[-1].size
            stale = [w for w in group if w.epoch != epoch]
            group = [w for w in group if w.epoch == epoch]
            if stale:
                # A write that was made on top of a failed one fails with it.
                self.call_in_loop(
                    self.fail_writes,
                    stale,
                    JournalError(DiskFailure.WRITE, "an earlier write that it builds on failed"),
                )
            if not group:
                continue
            started_at = time.monotonic()
            try:
                self.journal.write([(w.changes, w.store_time) for w in group])
            except Exception as problem:
                epoch += 1
                journal_error = (
                    problem
                    if isinstance(problem, JournalError)
                    else JournalError(DiskFailure.WRITE, repr(problem))
                )
                self.call_in_loop(self.fail_group, group, journal_error, epoch)
            else:
                self.call_in_loop(self.complete_group, group, time.monotonic() - started_at)

    def call_in_loop(self, call: Callable[..., None], *args: Any) -> None:
        """Call a function in the event loop, from the writer thread."""
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(call, *args)

    def complete_group(self, group: list[PendingWrite], duration: float) -> None:
        """Add a group that the writer has synced, in `duration` seconds, to the durable view."""
        before = self.health.state
        self.health.record_success(duration)
        if self.health.state is not before:
            log.warning("store is " + self.health.state.value, was=before.value, took=duration)
        self.groups += 1
        self.written += len(group)
        sequence = self.durable_view.sequence
        changes = [change for pending_write in group for change in pending_write.changes]
        self.durable_view = self.durable_view.with_changes(
            changes, sequence + len(group), group[-1].store_time
        )
        for index, pending_write in enumerate(group):
            self.health.pending_bytes -= pending_write.size
            self.pending.popleft()
            for change in pending_write.changes:
                name = change.space, change.key
                if self.overlay.get(name, (None, 0))[1] == pending_write.number:
                    del self.overlay[name]
            if not pending_write.future.done():
                pending_write.future.set_result(sequence + 1 + index)
        self.cached_head = None if self.pending else self.durable_view
        self.compact_if_due()

    def fail_group(self, group: list[PendingWrite], problem: JournalError, epoch: int) -> None:
        """Fail a group and forget all other pending writes, so that readers see only what is on disk.

        The other pending writes are failed by the writer thread, because their epoch is stale.
        """
        self.health.record_failure(problem.failure, problem.reason, self.loop.time())
        log.error("store is " + self.health.state.value, why=str(problem))
        self.epoch = epoch
        self.cached_head = self.durable_view
        self.pending.clear()
        self.overlay.clear()
        self.fail_writes(group, problem)

    def fail_writes(self, group: list[PendingWrite], problem: JournalError) -> None:
        for pending_write in group:
            self.health.pending_bytes -= pending_write.size
            if not pending_write.future.done():
                pending_write.future.set_exception(StoreError(str(problem), self.health.state))
                pending_write.future.exception()  # no warning if the caller does not await it

    async def run_expiry(self) -> None:
        """Delete expired entries at intervals."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            deletions = self.head.expired_deletions(self.now, MAX_EXPIRED_AT_ONCE)
            if deletions and self.health.state in (State.OPEN, State.SLOW):
                try:
                    self.write(deletions)
                except StoreError:
                    continue  # readers do not see expired entries; the next round deletes them

    # Snapshots.

    def compact_if_due(self) -> None:
        if should_compact(self.journal.log_bytes, self.journal.snapshot_bytes, self.health.state):
            self.compact()

    def compact(self) -> bool:
        """Start writing a snapshot in its own thread; return False if one is being written."""
        if self.compacting and self.compacting.is_alive():
            return False
        self.compacting = threading.Thread(
            target=self.write_snapshot, args=(self.durable_view,), name="store-snapshot", daemon=True
        )
        self.compacting.start()
        return True

    def write_snapshot(self, view: View) -> None:
        try:
            for _ in self.journal.snapshot(view):
                time.sleep(SNAPSHOT_PART_PAUSE_SECONDS)
                if self.closing:
                    return
        except Exception as problem:
            self.compactions_failed += 1
            log.error("snapshot failed; the log is kept", why=str(problem))
        else:
            self.snapshots += 1

    async def close(self) -> None:
        """Write the queued writes, then close and unlock the files."""
        self.expiry_task.cancel()
        with self.queue_condition:
            self.closing = True
            self.queue_condition.notify()
        for thread in (self.writer, self.compacting):
            if thread:
                await self.loop.run_in_executor(None, thread.join)
        await asyncio.sleep(0)  # lets the writer's last callbacks run
        self.health.mark_closed()
        self.close_files()
