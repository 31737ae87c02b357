"""The store as a front uses it: a thread groups and syncs writes, so that the loop never waits for a disk."""

import asyncio
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any

import structlog

from heathford.store.decisions import PAUSE, Clock, Health, State, Trouble, compacts
from heathford.store.files import RealFiles
from heathford.store.format import MOST, Change
from heathford.store.journal import Journal, JournalError, recover
from heathford.store.views import Entry, View, is_over

EXPIRE_EVERY = 1.0  # s between two looks for what has expired
EXPIRE_MOST = 2000  # entries taken out at once: a few ms of the loop
GROUP_MOST = 4 << 20  # bytes of one group: what waits behind it waits for its writing

log = structlog.get_logger()


class StoreError(Exception):
    """A write that was not made, or is not held to be: see `state`."""

    def __init__(self, what: str, state: State) -> None:
        super().__init__(what)
        self.state = state


class ConflictError(Exception):
    """A key does not have the value that a write expected; nothing of it was made."""


class Batch:
    def __init__(self, changes: tuple[Change, ...], at: float, epoch: int, size: int) -> None:
        self.changes, self.at, self.epoch, self.size = changes, at, epoch, size
        self.number = 0  # among all of this store
        self.done: asyncio.Future[int] = asyncio.get_running_loop().create_future()


class Store:
    """durable: what is on disk; head: with what was written and is not there yet. Both are views that stay as
    they are; the persistent maps are made anew for a group, not for a write, which costs twenty times as
    much. Made by `open`; used from one loop."""

    def __init__(
        self,
        journal: Journal,
        close: Callable[[], None],
        wall: Callable[[], float],
        steady: Callable[[], float],
    ) -> None:
        self.journal, self.close_files, self.steady = journal, close, steady
        self.loop = asyncio.get_running_loop()
        self.health = Health()
        self.durable_view = journal.view
        self.whole: View | None = self.durable_view  # the head, if it has been asked for since the last write
        self.clock = Clock(self.durable_view.time, wall(), steady())
        self.pending: deque[Batch] = deque()  # not yet on disk
        self.overlay: dict[tuple[str, bytes], tuple[Entry | None, int]] = {}  # theirs, and whose it is
        self.count = 0
        self.epoch = 0  # how often writes were given up
        self.waiting: list[Batch] = []
        self.wake = threading.Condition()
        self.ending = False
        self.snapshots = self.compactions_failed = self.groups = self.written = 0
        self.compacting: threading.Thread | None = None
        self.writer = threading.Thread(target=self.write_groups, name="store-writer", daemon=True)
        self.writer.start()
        self.expiring = self.loop.create_task(self.expire())
        if self.clock.behind:
            log.warning("the wall clock is behind the store's; store time goes on from its own")

    @classmethod
    async def open(
        cls,
        folder: Path,
        wall: Callable[[], float] = time.time,
        steady: Callable[[], float] = time.monotonic,
    ) -> "Store":
        """wall, steady: clocks in s, read at the start and in service.

        Raises LockedError, DamageError, JournalError or OSError."""
        files = RealFiles(folder)
        files.take()

        def read() -> Journal:
            found = recover(files)
            for what in found.torn:
                log.info("a torn end was passed over; nothing in it was acknowledged", what=what)
            for what in found.covered:
                log.warning("a broken part that is kept elsewhere", what=what)
            journal = Journal(files, found)
            journal.persist_recovered()
            return journal

        try:
            journal = await asyncio.get_running_loop().run_in_executor(None, read)
        except BaseException:
            files.close()
            raise
        return cls(journal, files.close, wall, steady)

    @property
    def now(self) -> float:
        """s of store time: never behind what was recorded."""
        return self.clock.now(self.steady())

    # Reading.

    def get(self, space: str, key: bytes) -> bytes | None:
        found = self.overlay.get((space, key))
        if found is None:
            return self.durable_view.get(space, key, self.now)
        entry = found[0]
        return None if entry is None or is_over(entry, self.now) else entry[0]

    @property
    def head(self) -> View:
        if self.whole is None:
            changes = [change for batch in self.pending for change in batch.changes]
            self.whole = self.durable_view.with_changes(
                changes, self.durable_view.sequence + len(self.pending), self.now
            )
        return self.whole

    def scan(self, space: str, begin: bytes = b"", prefix: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """Of the content as it is now, whatever is written meanwhile."""
        return self.head.scan(space, self.now, begin, prefix)

    # Writing.

    def put(self, space: str, key: bytes, value: bytes, lasts: float | None = None) -> "asyncio.Future[int]":
        until = None if lasts is None else self.now + lasts
        return self.write([Change(space, key, value, until)])

    def delete(self, space: str, key: bytes) -> "asyncio.Future[int]":
        return self.write([Change(space, key, None)])

    def swap(self, space: str, key: bytes, old: bytes | None, new: bytes | None) -> "asyncio.Future[int]":
        """Puts the new value if the key has the old one (None: is not there); raises ConflictError."""
        if self.get(space, key) != old:
            raise ConflictError(f"{space}/{key!r} has another value")
        return self.write([Change(space, key, new)])

    def write(self, changes: Sequence[Change]) -> "asyncio.Future[int]":
        """All changes or none. Seen by readers at once; the future ends with the record's sequence when it is
        on disk, or with StoreError, and then it is seen no more. Raises StoreError where it isn't taken."""
        size = sum(len(c.key) + len(c.value or b"") + 64 for c in changes)
        if size > MOST:
            raise StoreError(f"a batch of {size} bytes; allowed are {MOST}", self.health.state)
        if not self.health.admits(size, self.loop.time()):
            raise StoreError(f"the store is {self.health.state.value}: {self.health.why}", self.health.state)
        now = self.now
        batch = Batch(tuple(changes), now, self.epoch, size)
        self.count += 1
        batch.number, self.whole = self.count, None
        for change in batch.changes:
            entry = None if change.value is None else (change.value, change.until)
            self.overlay[change.space, change.key] = entry, batch.number
        self.pending.append(batch)
        self.health.pending += size
        with self.wake:
            self.waiting.append(batch)
            self.wake.notify()
        return batch.done

    def write_groups(self) -> None:
        """The thread that writes: all that waits becomes one group, one write and one sync."""
        epoch = 0
        while True:
            with self.wake:
                while not self.waiting and not self.ending:
                    self.wake.wait()
                if not self.waiting:
                    return
                group, size = [], 0
                while self.waiting and size < GROUP_MOST:
                    group.append(self.waiting.pop(0))
                    size += group[-1].size
            old = [b for b in group if b.epoch != epoch]
            group = [b for b in group if b.epoch == epoch]
            if old:
                # Guards against a write that was made on top of one that failed: it is given up with it.
                self.tell(self.given_up, old, JournalError(Trouble.WRITE, "what it was made upon failed"))
            if not group:
                continue
            begun = time.monotonic()
            try:
                self.journal.write([(b.changes, b.at) for b in group])
            except Exception as problem:
                epoch += 1
                wrong = (
                    problem
                    if isinstance(problem, JournalError)
                    else JournalError(Trouble.WRITE, repr(problem))
                )
                self.tell(self.failed, group, wrong, epoch)
            else:
                self.tell(self.on_disk, group, time.monotonic() - begun)

    def tell(self, call: Callable[..., None], *args: Any) -> None:
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(call, *args)

    def on_disk(self, group: list[Batch], took: float) -> None:
        before = self.health.state
        self.health.wrote(took)
        if self.health.state is not before:
            log.warning("store is " + self.health.state.value, was=before.value, took=took)
        self.groups += 1
        self.written += len(group)
        sequence = self.durable_view.sequence
        changes = [change for batch in group for change in batch.changes]
        self.durable_view = self.durable_view.with_changes(changes, sequence + len(group), group[-1].at)
        for place, batch in enumerate(group):
            self.health.pending -= batch.size
            self.pending.popleft()
            for change in batch.changes:
                name = change.space, change.key
                if self.overlay.get(name, (None, 0))[1] == batch.number:
                    del self.overlay[name]
            if not batch.done.done():
                batch.done.set_result(sequence + 1 + place)
        self.whole = None if self.pending else self.durable_view
        self.compact_if_due()

    def failed(self, group: list[Batch], problem: JournalError, epoch: int) -> None:
        """Nothing that is not on disk is held to be: readers see what is, and all writes since are told."""
        self.health.failed(problem.trouble, problem.why, self.loop.time())
        log.error("store is " + self.health.state.value, why=str(problem))
        self.epoch = epoch
        self.whole = self.durable_view
        self.pending.clear()
        self.overlay.clear()
        self.given_up(group, problem)

    def given_up(self, group: list[Batch], problem: JournalError) -> None:
        for batch in group:
            self.health.pending -= batch.size
            if not batch.done.done():
                batch.done.set_exception(StoreError(str(problem), self.health.state))
                batch.done.exception()  # who did not wait for it need not be told of it

    async def expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_EVERY)
            over = self.head.over(self.now, EXPIRE_MOST)
            if over and self.health.state in (State.OPEN, State.SLOW):
                try:
                    self.write(over)
                except StoreError:
                    continue  # they are over without it; the next look takes them out

    # Snapshots.

    def compact_if_due(self) -> None:
        if compacts(self.journal.log, self.journal.snapshot_size, self.health.state):
            self.compact()

    def compact(self) -> bool:
        """Begins a snapshot in a thread of its own, unless one is being written."""
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
                time.sleep(PAUSE)
                if self.ending:
                    return
        except Exception as problem:
            self.compactions_failed += 1
            log.error("snapshot failed; the log stays", why=str(problem))
        else:
            self.snapshots += 1

    async def close(self) -> None:
        """Writes what waits, then lets go of the files."""
        self.expiring.cancel()
        with self.wake:
            self.ending = True
            self.wake.notify()
        for thread in (self.writer, self.compacting):
            if thread:
                await self.loop.run_in_executor(None, thread.join)
        await asyncio.sleep(0)  # what the writer told last
        self.health.closed()
        self.close_files()
