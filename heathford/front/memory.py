"""What a front keeps in its store: identities with their final answers, counts, its start number."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import structlog

from heathford.core.core import Tally
from heathford.identity import counts, stored_answers
from heathford.identity.idempotency_table import IdempotencyTable
from heathford.identity.shared_request import SharedRequest
from heathford.interface import Effect
from heathford.store.files import LockedError
from heathford.store.format import Change
from heathford.store.journal import DamageError, JournalError
from heathford.store.store import Store, StoreError

FRONT = "front"  # the name space of its start number
PATIENCE = 0.25  # s that a completion waits for the disk before the rule for a store that is gone applies
COUNT_EVERY = 1.0  # s between two writes of counts: what a kill can leave uncounted is found by the totals

log = structlog.get_logger()


class Memory:
    """serves: the rule for a store that is gone or slow: True: what must not run twice is served without
    memory; False: it is refused. keep: s for which a final answer is kept."""

    def __init__(self, store: Store | None, keep: float, serves: bool) -> None:
        self.store, self.keep, self.serves = store, keep, serves
        self.deltas = counts.UnwrittenCounts()
        self.start = 0
        self.without = 0  # completions that were served or refused without it
        self.counting: asyncio.Task[None] | None = None

    @classmethod
    async def open(cls, folder: Path, keep: float, serves: bool) -> "Memory":
        """Goes on without a store where it can't be opened, and says so."""
        try:
            store = await Store.open(folder)
        except (LockedError, DamageError, JournalError, OSError) as problem:
            rule = "serving without memory" if serves else "refusing what must not run twice"
            log.error("no store: " + rule, why=str(problem), folder=str(folder))
            return cls(None, keep, serves)
        return cls(store, keep, serves)

    # What was kept.

    def restore(self, identities: IdempotencyTable, now: float) -> int:
        """Puts back what earlier starts have kept; how many."""
        if self.store is None:
            return 0
        found = []
        for space, key, (value, until) in self.store.head.entries():
            left = (until or 0.0) - self.store.now
            if space != stored_answers.SPACE or (until is not None and left <= 0.0):
                continue
            try:
                digest, effect, shared = stored_answers.decode_record(value)
            except ValueError as problem:
                log.error("a kept completion can't be read", key=repr(key), why=str(problem))
                continue
            found.append((left if until is not None else self.keep, key, digest, effect, shared))
        for left, key, digest, effect, shared in sorted(found, key=lambda entry: entry[0]):
            member, mark = stored_answers.parse_store_key(key)
            identities.restore(member, mark, digest, effect, shared, now + left)
        return len(found)

    async def begin(self, tally: Tally) -> None:
        """Counts this start, and what the last one left open."""
        if self.store is None:
            return
        store = self.store
        self.start = int(store.get(FRONT, b"start") or b"0") + 1
        cut_off = counts.count_unfinished(store.get(counts.SPACE, counts.TOTALS))
        changes = [Change(FRONT, b"start", b"%d" % self.start)]
        if cut_off:
            changes += self.count_changes({"cut_off": cut_off})
        await store.write(changes)
        self.counting = asyncio.get_running_loop().create_task(self.count(tally))

    # Completions.

    def begins(
        self, member: int, mark: str, digest: bytes, effect: Effect, then: Callable[[bool], None]
    ) -> None:
        """then(True): it may run, and that is on disk where it has to be, or the rule says to go on without;
        then(False): it must not. Called once, at once or within PATIENCE."""
        if not stored_answers.must_be_stored_first(effect):
            then(True)
            return
        if self.store is None:
            self.go_without(then)
            return
        try:
            written = self.store.put(
                stored_answers.SPACE,
                stored_answers.store_key(member, mark),
                stored_answers.encode_in_progress(digest, effect),
                self.keep,
            )
        except StoreError:
            self.go_without(then)
            return
        loop = asyncio.get_running_loop()
        told = False

        def once(good: bool) -> None:
            nonlocal told
            if told:
                return
            told = True
            timer.cancel()
            if good:
                then(True)
            else:
                self.go_without(then)

        timer = loop.call_later(PATIENCE, once, False)
        written.add_done_callback(lambda done: once(not done.cancelled() and done.exception() is None))

    def go_without(self, then: Callable[[bool], None]) -> None:
        self.without += 1
        if self.without == 1 or self.without % 1000 == 0:
            rule = "serve" if self.serves else "refuse"
            log.error("store gone or slow", rule=rule, completions=self.without)
        then(self.serves)

    def ended(self, member: int, mark: str, digest: bytes, effect: Effect, shared: SharedRequest) -> None:
        self.write(
            [
                Change(
                    stored_answers.SPACE,
                    stored_answers.store_key(member, mark),
                    stored_answers.encode_final(digest, effect, shared),
                    None if self.store is None else self.store.now + self.keep,
                )
            ]
        )

    def forgets(self, member: int, mark: str, effect: Effect) -> None:
        """A repeat may run: nothing of it is out, and nothing has run."""
        if stored_answers.must_be_stored_first(effect):
            self.write([Change(stored_answers.SPACE, stored_answers.store_key(member, mark), None)])

    def write(self, changes: list[Change]) -> None:
        """Nobody waits for it. If it is lost with the front, a repeat is aborted as one that was out."""
        if self.store is None:
            return
        try:
            self.store.write(changes)
        except StoreError as problem:
            log.warning("not kept", why=str(problem))

    # Counts.

    def count_changes(self, more: dict[str, int]) -> list[Change]:
        assert self.store
        store, key = self.store, counts.period_key(self.store.now)
        return [
            Change(
                counts.SPACE,
                key,
                counts.add_counts(store.get(counts.SPACE, key), more),
                store.now + counts.PERIOD_RETENTION,
            ),
            Change(
                counts.SPACE, counts.TOTALS, counts.add_counts(store.get(counts.SPACE, counts.TOTALS), more)
            ),
        ]

    def count_now(self, tally: Tally) -> "asyncio.Future[int] | None":
        more = self.deltas.unwritten({name: getattr(tally, name) for name in counts.NAMES})
        if self.store is None or not more:
            return None
        try:
            written = self.store.write(self.count_changes(more))
        except StoreError:
            return None
        self.deltas.mark_written(more)

        def done(future: "asyncio.Future[int]") -> None:
            if future.cancelled() or future.exception():
                self.deltas.undo(more)

        written.add_done_callback(done)
        return written

    async def count(self, tally: Tally) -> None:
        while True:
            await asyncio.sleep(COUNT_EVERY)
            self.count_now(tally)

    async def close(self, tally: Tally) -> None:
        if self.counting:
            self.counting.cancel()
        written = self.count_now(tally)
        if written:
            await asyncio.wait([written], timeout=2.0)
        if self.store:
            await self.store.close()
