"""Keep the state of a front node that outlives its process.

This state is the requests with an idempotency key and their final answers, the request counts, and the number
of times that the front node has started.
"""

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

NAMESPACE = "front"  # in the store, of the number of starts
STORE_WRITE_TIMEOUT = 0.25  # s; then the rule for an unavailable store applies to the waiting request
COUNT_INTERVAL = 1.0  # s between two writes of counts; the totals show what a crash left uncounted

log = structlog.get_logger()


class Memory:
    """Record requests and counts in the store of a front node, and restore them at its start.

    serves_without_store: the rule for an unavailable or slow store. True: requests that must not run twice
    are served without a record; False: they are refused. retention: s for which a final answer is kept.
    """

    def __init__(self, store: Store | None, retention: float, serves_without_store: bool) -> None:
        self.store, self.retention, self.serves_without_store = store, retention, serves_without_store
        self.unwritten_counts = counts.UnwrittenCounts()
        self.start_number = 0
        self.unstored_requests = 0  # requests served or refused by the rule for an unavailable store
        self.count_task: asyncio.Task[None] | None = None

    @classmethod
    async def open(cls, folder: Path, retention: float, serves_without_store: bool) -> "Memory":
        """Open the store in that folder; log an error and go on without one if it can't be opened."""
        try:
            store = await Store.open(folder)
        except (LockedError, DamageError, JournalError, OSError) as exc:
            rule = "serving without memory" if serves_without_store else "refusing what must not run twice"
            log.error("no store: " + rule, why=str(exc), folder=str(folder))
            return cls(None, retention, serves_without_store)
        return cls(store, retention, serves_without_store)

    # Restart.

    def restore(self, idempotency_table: IdempotencyTable, now: float) -> int:
        """Add the unexpired requests of the store to the table; return their number. now: s of loop time."""
        if self.store is None:
            return 0
        records = []
        for namespace, key, (value, expires_at) in self.store.head.entries():
            remaining = (expires_at or 0.0) - self.store.now
            if namespace != stored_answers.SPACE or (expires_at is not None and remaining <= 0.0):
                continue
            try:
                body_digest, effect, shared = stored_answers.decode_record(value)
            except ValueError as exc:
                log.error("a kept completion can't be read", key=repr(key), why=str(exc))
                continue
            records.append(
                (remaining if expires_at is not None else self.retention, key, body_digest, effect, shared)
            )
        for remaining, key, body_digest, effect, shared in sorted(records, key=lambda entry: entry[0]):
            tenant, idempotency_key = stored_answers.parse_store_key(key)
            idempotency_table.restore(tenant, idempotency_key, body_digest, effect, shared, now + remaining)
        return len(records)

    async def record_start(self, tally: Tally) -> None:
        """Count this start and the requests that the last one left unfinished; start writing counts."""
        if self.store is None:
            return
        store = self.store
        self.start_number = int(store.get(NAMESPACE, b"start") or b"0") + 1
        unfinished = counts.count_unfinished(store.get(counts.SPACE, counts.TOTALS))
        changes = [Change(NAMESPACE, b"start", b"%d" % self.start_number)]
        if unfinished:
            changes += self.count_changes({"cut_off": unfinished})
        await store.write(changes)
        self.count_task = asyncio.get_running_loop().create_task(self.write_counts_periodically(tally))

    # Requests.

    def begins(
        self,
        tenant: int,
        idempotency_key: str,
        body_digest: bytes,
        effect: Effect,
        then: Callable[[bool], None],
    ) -> None:
        """Record a request before its first attempt, and call `then` with whether it may run.

        It may run if its record is on disk or needn't be, or if the rule for an unavailable store says so.
        `then` is called exactly once, either before this method returns or within STORE_WRITE_TIMEOUT.
        """
        if not stored_answers.must_be_stored_first(effect):
            then(True)
            return
        if self.store is None:
            self.apply_unavailable_rule(then)
            return
        try:
            written = self.store.put(
                stored_answers.SPACE,
                stored_answers.store_key(tenant, idempotency_key),
                stored_answers.encode_in_progress(body_digest, effect),
                self.retention,
            )
        except StoreError:
            self.apply_unavailable_rule(then)
            return
        loop = asyncio.get_running_loop()
        decided = False

        def decide(stored: bool) -> None:
            nonlocal decided
            if decided:
                return
            decided = True
            timer.cancel()
            if stored:
                then(True)
            else:
                self.apply_unavailable_rule(then)

        timer = loop.call_later(STORE_WRITE_TIMEOUT, decide, False)
        written.add_done_callback(
            lambda future: decide(not future.cancelled() and future.exception() is None)
        )

    def apply_unavailable_rule(self, then: Callable[[bool], None]) -> None:
        """Call `then` with the rule for an unavailable store; log the first and each 1000th time."""
        self.unstored_requests += 1
        if self.unstored_requests == 1 or self.unstored_requests % 1000 == 0:
            rule = "serve" if self.serves_without_store else "refuse"
            log.error("store gone or slow", rule=rule, completions=self.unstored_requests)
        then(self.serves_without_store)

    def ended(
        self, tenant: int, idempotency_key: str, body_digest: bytes, effect: Effect, shared: SharedRequest
    ) -> None:
        """Record the final answer of a request."""
        self.write(
            [
                Change(
                    stored_answers.SPACE,
                    stored_answers.store_key(tenant, idempotency_key),
                    stored_answers.encode_final(body_digest, effect, shared),
                    None if self.store is None else self.store.now + self.retention,
                )
            ]
        )

    def forgets(self, tenant: int, idempotency_key: str, effect: Effect) -> None:
        """Remove a request of which no attempt is in flight or has run, so that a repeat may run."""
        if stored_answers.must_be_stored_first(effect):
            self.write(
                [Change(stored_answers.SPACE, stored_answers.store_key(tenant, idempotency_key), None)]
            )

    def write(self, changes: list[Change]) -> None:
        """Write without waiting for the disk; log a failure.

        If the process dies before the write, a repeat is aborted, as that of a request that was in progress.
        """
        if self.store is None:
            return
        try:
            self.store.write(changes)
        except StoreError as exc:
            log.warning("not kept", why=str(exc))

    # Counts.

    def count_changes(self, increase: dict[str, int]) -> list[Change]:
        """Return the writes that add to the counts of the current period and to the totals."""
        assert self.store
        store, key = self.store, counts.period_key(self.store.now)
        return [
            Change(
                counts.SPACE,
                key,
                counts.add_counts(store.get(counts.SPACE, key), increase),
                store.now + counts.PERIOD_RETENTION,
            ),
            Change(
                counts.SPACE,
                counts.TOTALS,
                counts.add_counts(store.get(counts.SPACE, counts.TOTALS), increase),
            ),
        ]

    def write_counts(self, tally: Tally) -> "asyncio.Future[int] | None":
        """Write the counts that aren't in the store yet.

        Return the pending write, or None if there is nothing to write or the store is unavailable.
        """
        increase = self.unwritten_counts.unwritten({name: getattr(tally, name) for name in counts.NAMES})
        if self.store is None or not increase:
            return None
        try:
            written = self.store.write(self.count_changes(increase))
        except StoreError:
            return None
        self.unwritten_counts.mark_written(increase)

        def undo_if_failed(future: "asyncio.Future[int]") -> None:
            if future.cancelled() or future.exception():
                self.unwritten_counts.undo(increase)

        written.add_done_callback(undo_if_failed)
        return written

    async def write_counts_periodically(self, tally: Tally) -> None:
        """Write new counts at each COUNT_INTERVAL, until cancelled."""
        while True:
            await asyncio.sleep(COUNT_INTERVAL)
            self.write_counts(tally)

    async def close(self, tally: Tally) -> None:
        """Write the last counts, waiting for at most 2 s, and close the store."""
        if self.count_task:
            self.count_task.cancel()
        written = self.write_counts(tally)
        if written:
            await asyncio.wait([written], timeout=2.0)
        if self.store:
            await self.store.close()
