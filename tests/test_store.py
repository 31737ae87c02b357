"""The store against a model, on a disk that loses, tears and reorders what is not synced, and fails."""

import asyncio
import contextlib
import errno
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathford.fuzz.store import corrupt_every_byte
from heathford.standin.disk import CrashError, Disk
from heathford.store import journal as journal_module
from heathford.store.decisions import RETRY, SLOW, Clock, Health, State, Trouble, compacts, droppable
from heathford.store.files import LockedError, RealFiles
from heathford.store.format import (
    BEFORE,
    HEADER,
    LOG,
    SNAPSHOT,
    Change,
    FormatError,
    Record,
    decode_changes,
    encode_changes,
    encode_record,
    header,
    read_header,
)
from heathford.store.journal import DamageError, Journal, JournalError, Segment, recover
from heathford.store.store import ConflictError, Store, StoreError
from heathford.store.tools import check, compact, stat
from heathford.store.views import View

Model = dict[tuple[str, bytes], bytes]


def content(view: View) -> Model:
    return {(space, key): value for space, key, (value, _) in view.entries()}


def opened(disk: Disk) -> Journal:
    journal = Journal(disk, recover(disk))
    journal.persist_recovered()
    return journal


class Modelled:
    """A journal and what its content may be: `sure` is what was acknowledged; `maybe` what each write since
    may have left."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.disk = Disk(self.chance)
        self.sure: Model = {}
        self.maybe: list[Model] = []
        self.journal = opened(self.disk)
        self.view = self.journal.view
        self.snapshot: Any = None
        self.crashes = self.acknowledged = self.failures = 0

    def batch(self) -> tuple[Change, ...]:
        chance = self.chance
        return tuple(
            Change(
                chance.choice("ab"),
                b"k%d" % chance.randrange(6),
                None if chance.random() < 0.2 else bytes([chance.randrange(256)]) * chance.randrange(40),
            )
            for _ in range(chance.randrange(1, 4))
        )

    def write(self) -> None:
        """A group of writes; some on disk whole once it is acknowledged, else perhaps the first of them."""
        group = [self.batch() for _ in range(self.chance.randrange(1, 4))]
        after = dict(self.sure)
        for changes in group:
            for change in changes:
                if change.value is None:
                    after.pop((change.space, change.key), None)
                else:
                    after[change.space, change.key] = change.value
            self.maybe.append(dict(after))
        try:
            self.journal.write([(changes, float(self.acknowledged)) for changes in group])
        except JournalError:
            self.failures += 1
            return
        self.sure, self.maybe = after, []
        self.acknowledged += 1
        for changes in group:
            self.view = self.view.with_changes(changes, self.view.sequence + 1, float(self.acknowledged))

    def step(self) -> None:
        """One step of a snapshot."""
        if self.snapshot is None:
            self.view.sequence = self.journal.durable if not self.journal.tail else self.view.sequence
            self.snapshot = self.journal.snapshot(self.view)
        try:
            if next(self.snapshot, None) is None:
                self.snapshot = None
        except JournalError:
            self.snapshot = None
            self.failures += 1

    def reopen(self, power: bool) -> None:
        """After the process died; power: with its machine."""
        self.crashes += 1
        self.disk.fail = lambda call, name: 0
        if power:
            self.disk = self.disk.crashed()
        for _ in range(self.chance.randrange(3)):  # and recovery itself dies, again and again
            at = self.chance.randrange(1, 12)
            disk, count = self.disk, 0

            def dies(call: str, name: str, at: int = at) -> int:
                nonlocal count
                count += 1
                return -1 if count == at else 0

            disk.fail = dies
            with contextlib.suppress(CrashError):
                opened(disk).write([((), 0.0)])
            disk.fail = lambda call, name: 0
            self.disk = disk.crashed() if power else disk
        self.journal = opened(self.disk)
        self.view, self.snapshot = self.journal.view, None
        found = content(self.view)
        assert found in [self.sure, *self.maybe], "what was acknowledged is not there as it was"
        self.sure, self.maybe = found, []

    def play(self, steps: int) -> None:
        for _ in range(steps):
            what = self.chance.random()
            fate = self.chance.random()
            if fate < 0.25:
                left, code = self.chance.randrange(1, 8), -1
                if fate < 0.1:
                    code = self.chance.choice([errno.ENOSPC, errno.EIO])

                def fails(call: str, name: str, code: int = code) -> int:
                    nonlocal left
                    left -= 1
                    return code if left == 0 and call not in ("read", "names") else 0

                self.disk.fail = fails
            try:
                self.write() if what < 0.6 else self.step()
            except CrashError:
                self.reopen(power=self.chance.random() < 0.7)
            self.disk.fail = lambda call, name: 0
            if what > 0.97:
                self.reopen(power=self.chance.random() < 0.7)


def explore(seeds: range, steps: int = 60) -> tuple[int, int]:
    crashes = acknowledged = 0
    for seed in seeds:
        modelled = Modelled(seed)
        modelled.play(steps)
        modelled.reopen(power=True)
        crashes, acknowledged = crashes + modelled.crashes, acknowledged + modelled.acknowledged
    return crashes, acknowledged


def small(monkeypatch: pytest.MonkeyPatch) -> None:
    """Segments and parts of a few records, so that all that is rare happens often."""
    monkeypatch.setattr(journal_module, "seals", lambda size: size > 300)
    monkeypatch.setattr(journal_module, "PART", 60)


def test_the_model_finds_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    small(monkeypatch)
    crashes, acknowledged = explore(range(250))
    assert crashes > 1000 and acknowledged > 4000


def without_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    """A group is acknowledged before its sync."""
    true = Disk.sync
    monkeypatch.setattr(
        Disk,
        "sync",
        lambda self, name: (
            None if name.startswith("log") and len(self.files[name].now) > HEADER.size else true(self, name)
        ),
    )


def renamed_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """A snapshot gets its name before its content is on disk."""
    true = Disk.sync
    monkeypatch.setattr(
        Disk, "sync", lambda self, name: (None if name.endswith(".new") else true(self, name))
    )


def names_unsynced(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Disk, "sync_directory", lambda self: None)


def swapped_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """A snapshot covers what is not on disk: the index was swapped before the group's sync."""
    true = Modelled.write

    def write(self: Modelled) -> None:
        view = self.view
        try:
            true(self)
        finally:
            if self.view is view and self.maybe:
                spaces: dict[str, Any] = {}
                for (space, key), value in self.maybe[-1].items():
                    spaces.setdefault(space, []).append(Change(space, key, value))
                self.view = View().with_changes(
                    [c for part in spaces.values() for c in part], view.sequence, 0.0
                )
                self.maybe = []

    monkeypatch.setattr(Modelled, "write", write)


def written_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a failed sync the same file is written to again."""
    true = Journal.write

    def write(self: Journal, batches: Any) -> None:
        segment = self.segment
        try:
            true(self, batches)
        except JournalError:
            self.segment = segment or self.segment
            raise

    monkeypatch.setattr(Journal, "write", write)


def dropped_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Log is removed that no snapshot covers."""
    monkeypatch.setattr(
        journal_module,
        "droppable",
        lambda snapshots, firsts: ([], list(range(len(firsts) - 1)) if snapshots else []),
    )


@pytest.mark.parametrize(
    "bug", [without_sync, renamed_first, names_unsynced, swapped_early, written_again, dropped_early]
)
def test_the_model_finds_each_seeded_bug(
    monkeypatch: pytest.MonkeyPatch, bug: Callable[[pytest.MonkeyPatch], None]
) -> None:
    small(monkeypatch)
    bug(monkeypatch)
    with pytest.raises((AssertionError, DamageError)):
        explore(range(400))


def test_every_cut_and_every_flipped_byte_is_seen_or_harmless() -> None:
    """A cut of the newest segment may lose only its end; anything else is told as damage or is covered."""
    said: list[str] = []
    tried, told, wrong = corrupt_every_byte(9, said.append)
    assert not wrong, said
    assert tried > 1000 and told > 50


@pytest.mark.parametrize(
    "where, damage, torn",
    [
        (lambda size: (size - 3, size), False, True),
        (lambda size: (HEADER.size + 5, HEADER.size + 6), True, False),
    ],
)
def test_a_broken_end_is_torn_and_a_broken_middle_is_damage(
    where: Callable[[int], tuple[int, int]], damage: bool, torn: bool
) -> None:
    disk = Disk(random.Random(1))
    store = opened(disk)
    for n in range(4):
        store.write([((Change("s", b"%d" % n, b"x" * 20),), 0.0)])
    assert store.segment
    file = disk.files[store.segment.name]
    begin, end = where(len(file.now))
    file.now[begin:end] = bytes(b ^ 0xFF for b in file.now[begin:end])
    found = recover(disk)
    assert (bool(found.damage), bool(found.torn)) == (damage, torn)
    said: list[str] = []
    assert check(disk, True, said.append) == (2 if damage else 0)
    assert check(disk, False, said.append) == (2 if damage else 0)


def test_a_store_of_the_version_before_opens() -> None:
    disk = Disk(random.Random(1))
    disk.append(
        Segment(1, 1).name,
        header(LOG, 1, version=BEFORE)
        + b"".join(
            encode_record(Record(n, n - 1, 0.0, (Change("s", b"%d" % n, b"old"),)), BEFORE) for n in (1, 2, 3)
        ),
    )
    assert len(recover(disk).view_builder.build()) == 3
    with pytest.raises(FormatError):
        encode_changes([Change("s", b"k", b"v", 1.0)], BEFORE)
    compact(disk)
    assert set(stat(disk)["formats"].values()) == {2} and len(recover(disk).view_builder.build()) == 3
    with pytest.raises(FormatError, match="read are 2 and 1"):
        read_header(header(SNAPSHOT, 1, version=9), SNAPSHOT)


@given(
    st.lists(
        st.tuples(
            st.text(max_size=20),
            st.binary(max_size=30),
            st.none() | st.binary(max_size=50),
            st.none() | st.floats(0, 1e9),
        ),
        max_size=10,
    )
)
def test_changes_are_read_as_they_were_written(
    parts: list[tuple[str, bytes, bytes | None, float | None]],
) -> None:
    changes = tuple(Change(s, k, v, None if v is None else u) for s, k, v, u in parts)
    assert decode_changes(encode_changes(changes)) == changes


@given(st.binary(max_size=200))
def test_bytes_that_are_no_changes_are_told(data: bytes) -> None:
    with contextlib.suppress(FormatError):
        assert encode_changes(decode_changes(data))[:1] == data[:1]


@pytest.mark.parametrize(
    "snapshots, firsts, gone",
    [
        ([], [1], ([], [])),
        ([5], [1, 6], ([], [])),
        ([5, 9], [1, 6], ([], [0])),
        ([5, 9], [1, 7], ([], [])),
        ([2, 5, 9], [1, 3, 6, 8], ([2], [0, 1])),
        ([5, 9], [1, 4, 4, 6], ([], [0, 1, 2])),
        ([5, 9], [3], ([], [])),
    ],
)
def test_what_may_go(snapshots: list[int], firsts: list[int], gone: Any) -> None:
    assert droppable(snapshots, firsts) == gone


def test_health_by_what_the_disk_answers() -> None:
    health = Health()
    assert health.admits(1, 0.0)
    health.wrote(2 * SLOW)
    assert health.state is State.SLOW and health.admits(1, 0.0)
    health.failed(Trouble.NO_SPACE, "x", 10.0)
    assert health.state.value == "full"
    assert not health.admits(1, 10.0) and health.admits(1, 10.0 + RETRY)
    health.failed(Trouble.SYNC, "x", 11.0)
    assert health.state.value == "failed"
    assert not health.admits(1, 11.0 + RETRY) and health.admits(1, 11.0 + 2 * RETRY)
    health.wrote(0.01)
    assert health.state.value == "open" and health.wait == RETRY
    health.pending = 16 << 20
    assert not health.admits(1, 0.0)
    assert not compacts(1 << 30, 0, State.FULL) and compacts(1 << 30, 0, State.OPEN)


@pytest.mark.parametrize(
    "latest, looks, times",
    [
        (0.0, [(100.0, 1.0), (101.0, 2.0)], [100.0, 101.0]),
        (500.0, [(100.0, 1.0), (101.0, 2.0), (600.0, 3.0)], [500.0, 501.0, 502.0]),  # set back between starts
        (0.0, [(100.0, 1.0), (50.0, 2.0), (51.0, 3.0)], [100.0, 101.0, 102.0]),
    ],
)  # and in service
def test_store_time_never_goes_back(
    latest: float, looks: list[tuple[float, float]], times: list[float]
) -> None:
    clock = Clock(latest, *looks[0])
    assert [clock.now(steady) for _, steady in looks] == times


# With threads, on this machine's disk.


def run(folder: Path, scene: Callable[[Store], Any], **more: Any) -> None:
    async def within() -> None:
        async with asyncio.timeout(20.0):
            store = await Store.open(folder, **more)
            try:
                await scene(store)
            finally:
                await store.close()

    asyncio.run(within())


def test_what_is_acknowledged_is_there_after_a_restart(tmp_path: Path) -> None:
    async def first(store: Store) -> None:
        futures = [store.put("s", b"%04d" % n, b"v%d" % n) for n in range(500)]
        assert store.get("s", b"0007") == b"v7"
        view = store.head
        store.delete("s", b"0007")
        assert view.get("s", b"0007", store.now) == b"v7" and store.get("s", b"0007") is None
        await asyncio.gather(*futures)
        assert store.groups < 100
        await store.swap("s", b"0008", b"v8", b"new")
        with pytest.raises(ConflictError):
            store.swap("s", b"0008", b"v8", b"newer")
        scanned = [k for k, _ in store.scan("s", begin=b"0005", prefix=b"000")]
        assert scanned == [b"0005", b"0006", b"0008", b"0009"]
        with pytest.raises(LockedError, match="process"):
            await Store.open(tmp_path)
        assert store.compact()
        while not store.snapshots:
            await asyncio.sleep(0.001)

    async def second(store: Store) -> None:
        assert len(store.head) == 499 and store.get("s", b"0008") == b"new"
        assert store.get("s", b"0007") is None

    run(tmp_path, first)
    run(tmp_path, second)


def test_expiry_holds_over_a_clock_set_back(tmp_path: Path) -> None:
    wall = 1000.0

    async def first(store: Store) -> None:
        await store.put("s", b"short", b"x", lasts=10.0)
        await store.put("s", b"long", b"x", lasts=1000.0)
        nonlocal wall
        wall = 1020.0
        assert store.get("s", b"short") is None and store.get("s", b"long") == b"x"
        await store.put("s", b"mark", b"x")

    async def second(store: Store) -> None:
        assert store.clock.behind and store.get("s", b"short") is None
        assert store.get("s", b"long") == b"x"
        await store.put("s", b"new", b"x", lasts=5.0)
        assert store.get("s", b"new") == b"x"

    run(tmp_path, first, wall=lambda: wall, steady=lambda: wall)
    wall = 500.0
    run(tmp_path, second, wall=lambda: wall, steady=lambda: wall)


@pytest.mark.parametrize(
    "call, code, state",
    [
        ("append", errno.ENOSPC, State.FULL),
        ("append", errno.EIO, State.FAILED),
        ("sync", errno.EIO, State.FAILED),
    ],
)
def test_a_disk_that_fails_gives_up_what_is_not_on_it_and_goes_on_once_it_is_well(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, code: int, state: State
) -> None:
    async def scene(store: Store) -> None:
        await store.put("s", b"kept", b"x")
        true = getattr(RealFiles, call)
        sick = True

        def fails(self: RealFiles, name: str, *data: bytes) -> None:
            if sick:
                raise OSError(code, "sick")
            true(self, name, *data)

        monkeypatch.setattr(RealFiles, call, fails)
        futures = [store.put("s", b"%d" % n, b"x") for n in range(5)]
        for future in futures:
            with pytest.raises(StoreError):
                await future
        assert store.health.state is state and content(store.head) == {("s", b"kept"): b"x"}
        with pytest.raises(StoreError, match=state.value):
            store.put("s", b"refused", b"x")
        sick = False
        store.health.retry_at = 0.0
        await store.put("s", b"well", b"x")
        assert store.health.state is State.OPEN and store.get("s", b"kept") == b"x"

    async def after(store: Store) -> None:
        assert {k for _, k in content(store.head)} == {b"kept", b"well"}

    run(tmp_path, scene)
    run(tmp_path, after)


@pytest.mark.parametrize("step", [5.0, 3_600.0])
def test_a_wall_clock_set_forward_in_service_ages_nothing(tmp_path: Path, step: float) -> None:
    """What is kept for a repeat window would expire at once, and run again when it comes again."""
    wall, steady = 1000.0, 1.0

    async def scene(store: Store) -> None:
        nonlocal wall, steady
        await store.put("s", b"kept", b"x", lasts=4.0)
        wall, steady = wall + step, steady + 3.0
        assert store.get("s", b"kept") == b"x"
        steady += 2.0
        assert store.get("s", b"kept") is None

    run(tmp_path, scene, wall=lambda: wall, steady=lambda: steady)
