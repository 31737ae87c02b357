"""The store against a model, on a simulated disk that fails, and loses, tears and reorders unsynced data."""

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
from heathford.store.decisions import (
    RETRY_DELAY_SECONDS,
    SLOW_SYNC_SECONDS,
    Clock,
    Health,
    State,
    DiskFailure,
    should_compact,
    find_obsolete,
)
from heathford.store.files import LockedError, RealFiles
from heathford.store.format import (
    PREVIOUS_VERSION,
    HEADER,
    LOG_MAGIC,
    SNAPSHOT_MAGIC,
    Change,
    FormatError,
    Record,
    decode_changes,
    encode_changes,
    encode_record,
    encode_header,
    read_header,
)
from heathford.store.journal import DamageError, Journal, JournalError, Segment, recover
from heathford.store.store import ConflictError, Store, StoreError
from heathford.store.tools import check, compact, stat
from heathford.store.views import View

Model = dict[tuple[str, bytes], bytes]


def content(view: View) -> Model:
    return {(space, key): value for space, key, (value, _) in view.entries()}


def open_journal(disk: Disk) -> Journal:
    journal = Journal(disk, recover(disk))
    journal.persist_recovered()
    return journal


class ModelRun:
    """A journal, driven at random, and a model of its content.

    `acknowledged_content` must survive a crash; `possible_contents` are those that the unacknowledged writes
    since then may have left instead.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.disk = Disk(self.rng)
        self.acknowledged_content: Model = {}
        self.possible_contents: list[Model] = []
        self.journal = open_journal(self.disk)
        self.view = self.journal.view
        self.snapshot: Any = None
        self.crashes = self.acknowledged = self.failures = 0

    def random_changes(self) -> tuple[Change, ...]:
        rng = self.rng
        return tuple(
            Change(
                rng.choice("ab"),
                b"k%d" % rng.randrange(6),
                None if rng.random() < 0.2 else bytes([rng.randrange(256)]) * rng.randrange(40),
            )
            for _ in range(rng.randrange(1, 4))
        )

    def write(self) -> None:
        """Write a group of batches; if it fails, any number of the first ones may be on disk."""
        group = [self.random_changes() for _ in range(self.rng.randrange(1, 4))]
        content_after = dict(self.acknowledged_content)
        for changes in group:
            for change in changes:
                if change.value is None:
                    content_after.pop((change.space, change.key), None)
                else:
                    content_after[change.space, change.key] = change.value
            self.possible_contents.append(dict(content_after))
        try:
            self.journal.write([(changes, float(self.acknowledged)) for changes in group])
        except JournalError:
            self.failures += 1
            return
        self.acknowledged_content, self.possible_contents = content_after, []
        self.acknowledged += 1
        for changes in group:
            self.view = self.view.with_changes(changes, self.view.sequence + 1, float(self.acknowledged))

    def snapshot_step(self) -> None:
        """Start a snapshot, or run its next step."""
        if self.snapshot is None:
            self.view.sequence = (
                self.journal.durable_sequence if not self.journal.tail else self.view.sequence
            )
            self.snapshot = self.journal.snapshot(self.view)
        try:
            if next(self.snapshot, None) is None:
                self.snapshot = None
        except JournalError:
            self.snapshot = None
            self.failures += 1

    def crash_and_recover(self, power_loss: bool) -> None:
        """Recover from a crash of the process, or of the machine if `power_loss`; compare the content."""
        self.crashes += 1
        self.disk.fail = lambda call, name: 0
        if power_loss:
            self.disk = self.disk.after_crash()
        for _ in range(self.rng.randrange(3)):  # recovery itself crashes several times
            crash_call = self.rng.randrange(1, 12)
            disk, count = self.disk, 0

            def crash_at(call: str, name: str, crash_call: int = crash_call) -> int:
                nonlocal count
                count += 1
                return -1 if count == crash_call else 0

            disk.fail = crash_at
            with contextlib.suppress(CrashError):
                open_journal(disk).write([((), 0.0)])
            disk.fail = lambda call, name: 0
            self.disk = disk.after_crash() if power_loss else disk
        self.journal = open_journal(self.disk)
        self.view, self.snapshot = self.journal.view, None
        recovered = content(self.view)
        assert recovered in [self.acknowledged_content, *self.possible_contents], (
            "acknowledged content is lost or altered"
        )
        self.acknowledged_content, self.possible_contents = recovered, []

    def run(self, steps: int) -> None:
        for _ in range(steps):
            step_draw = self.rng.random()
            fault_draw = self.rng.random()
            if fault_draw < 0.25:
                calls_left, code = self.rng.randrange(1, 8), -1
                if fault_draw < 0.1:
                    code = self.rng.choice([errno.ENOSPC, errno.EIO])

                def fails(call: str, name: str, code: int = code) -> int:
                    nonlocal calls_left
                    calls_left -= 1
                    return code if calls_left == 0 and call not in ("read", "names") else 0

                self.disk.fail = fails
            try:
                self.write() if step_draw < 0.6 else self.snapshot_step()
            except CrashError:
                self.crash_and_recover(power_loss=self.rng.random() < 0.7)
            self.disk.fail = lambda call, name: 0
            if step_draw > 0.97:
                self.crash_and_recover(power_loss=self.rng.random() < 0.7)


def explore_seeds(seeds: range, steps: int = 60) -> tuple[int, int]:
    crashes = acknowledged = 0
    for seed in seeds:
        model_run = ModelRun(seed)
        model_run.run(steps)
        model_run.crash_and_recover(power_loss=True)
        crashes, acknowledged = crashes + model_run.crashes, acknowledged + model_run.acknowledged
    return crashes, acknowledged


def use_small_files(monkeypatch: pytest.MonkeyPatch) -> None:
    """Limit segments and snapshot parts to a few records, so that rare sequences happen often."""
    monkeypatch.setattr(journal_module, "is_segment_full", lambda size: size > 300)
    monkeypatch.setattr(journal_module, "SNAPSHOT_PART_BYTES", 60)


def test_no_acknowledged_write_is_lost_at_random_crashes_and_failures(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    use_small_files(monkeypatch)
    crashes, acknowledged = explore_seeds(range(250))
    assert crashes > 1000 and acknowledged > 4000


def acknowledge_before_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a bug: a group is acknowledged before its sync."""
    original = Disk.sync
    monkeypatch.setattr(
        Disk,
        "sync",
        lambda self, name: (
            None
            if name.startswith("log") and len(self.files[name].current) > HEADER.size
            else original(self, name)
        ),
    )


def rename_before_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a bug: a snapshot gets its final name before its content is on disk."""
    original = Disk.sync
    monkeypatch.setattr(
        Disk, "sync", lambda self, name: (None if name.endswith(".new") else original(self, name))
    )


def skip_directory_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a bug: created and renamed names are never synced."""
    monkeypatch.setattr(Disk, "sync_directory", lambda self: None)


def snapshot_before_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a bug: a snapshot has unsynced data, because the view is updated before the group's sync."""
    original = ModelRun.write

    def write(self: ModelRun) -> None:
        view = self.view
        try:
            original(self)
        finally:
            if self.view is view and self.possible_contents:
                spaces: dict[str, Any] = {}
                for (space, key), value in self.possible_contents[-1].items():
                    spaces.setdefault(space, []).append(Change(space, key, value))
                self.view = View().with_changes(
                    [c for part in spaces.values() for c in part], view.sequence, 0.0
                )
                self.possible_contents = []

    monkeypatch.setattr(ModelRun, "write", write)


def reuse_segment_after_failed_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a bug: after a failed sync the same segment is written to again."""
    original = Journal.write

    def write(self: Journal, batches: Any) -> None:
        segment = self.segment
        try:
            original(self, batches)
        except JournalError:
            self.segment = segment or self.segment
            raise

    monkeypatch.setattr(Journal, "write", write)


def remove_uncovered_log(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a bug: log is removed that no snapshot covers."""
    monkeypatch.setattr(
        journal_module,
        "find_obsolete",
        lambda snapshots, first_sequences: ([], list(range(len(first_sequences) - 1)) if snapshots else []),
    )


@pytest.mark.parametrize(
    "bug",
    [
        acknowledge_before_sync,
        rename_before_sync,
        skip_directory_sync,
        snapshot_before_sync,
        reuse_segment_after_failed_sync,
        remove_uncovered_log,
    ],
)
def test_the_model_finds_each_injected_bug(
    monkeypatch: pytest.MonkeyPatch, bug: Callable[[pytest.MonkeyPatch], None]
) -> None:
    use_small_files(monkeypatch)
    bug(monkeypatch)
    with pytest.raises((AssertionError, DamageError)):
        explore_seeds(range(400))


def test_every_cut_and_every_flipped_byte_is_detected_or_harmless() -> None:
    """Only the end of the newest segment may be lost; all else is reported, or another file has it."""
    messages: list[str] = []
    tried, reported, wrong = corrupt_every_byte(9, messages.append)
    assert not wrong, messages
    assert tried > 1000 and reported > 50


@pytest.mark.parametrize(
    "corrupt_range, damage, torn",
    [
        (lambda size: (size - 3, size), False, True),
        (lambda size: (HEADER.size + 5, HEADER.size + 6), True, False),
    ],
)
def test_a_corrupt_end_is_torn_and_a_corrupt_middle_is_damage(
    corrupt_range: Callable[[int], tuple[int, int]], damage: bool, torn: bool
) -> None:
    disk = Disk(random.Random(1))
    journal = open_journal(disk)
    for n in range(4):
        journal.write([((Change("s", b"%d" % n, b"x" * 20),), 0.0)])
    assert journal.segment
    file = disk.files[journal.segment.name]
    start, end = corrupt_range(len(file.current))
    file.current[start:end] = bytes(b ^ 0xFF for b in file.current[start:end])
    recovered = recover(disk)
    assert (bool(recovered.damage), bool(recovered.torn)) == (damage, torn)
    messages: list[str] = []
    assert check(disk, True, messages.append) == (2 if damage else 0)
    assert check(disk, False, messages.append) == (2 if damage else 0)


def test_a_store_of_the_previous_version_opens() -> None:
    disk = Disk(random.Random(1))
    disk.append(
        Segment(1, 1).name,
        encode_header(LOG_MAGIC, 1, version=PREVIOUS_VERSION)
        + b"".join(
            encode_record(Record(n, n - 1, 0.0, (Change("s", b"%d" % n, b"old"),)), PREVIOUS_VERSION)
            for n in (1, 2, 3)
        ),
    )
    assert len(recover(disk).view_builder.build()) == 3
    with pytest.raises(FormatError):
        encode_changes([Change("s", b"k", b"v", 1.0)], PREVIOUS_VERSION)
    compact(disk)
    assert set(stat(disk)["formats"].values()) == {2} and len(recover(disk).view_builder.build()) == 3
    with pytest.raises(FormatError, match="supported are 2 and 1"):
        read_header(encode_header(SNAPSHOT_MAGIC, 1, version=9), SNAPSHOT_MAGIC)


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
def test_changes_round_trip(
    parts: list[tuple[str, bytes, bytes | None, float | None]],
) -> None:
    changes = tuple(Change(s, k, v, None if v is None else u) for s, k, v, u in parts)
    assert decode_changes(encode_changes(changes)) == changes


@given(st.binary(max_size=200))
def test_invalid_changes_raise_format_error(data: bytes) -> None:
    with contextlib.suppress(FormatError):
        assert encode_changes(decode_changes(data))[:1] == data[:1]


@pytest.mark.parametrize(
    "snapshots, first_sequences, obsolete",
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
def test_obsolete_snapshots_and_segments(
    snapshots: list[int], first_sequences: list[int], obsolete: Any
) -> None:
    assert find_obsolete(snapshots, first_sequences) == obsolete


def test_health_follows_the_results_of_disk_operations() -> None:
    health = Health()
    assert health.accepts(1, 0.0)
    health.record_success(2 * SLOW_SYNC_SECONDS)
    assert health.state is State.SLOW and health.accepts(1, 0.0)
    health.record_failure(DiskFailure.NO_SPACE, "x", 10.0)
    assert health.state.value == "full"
    assert not health.accepts(1, 10.0) and health.accepts(1, 10.0 + RETRY_DELAY_SECONDS)
    health.record_failure(DiskFailure.SYNC, "x", 11.0)
    assert health.state.value == "failed"
    assert not health.accepts(1, 11.0 + RETRY_DELAY_SECONDS) and health.accepts(
        1, 11.0 + 2 * RETRY_DELAY_SECONDS
    )
    health.record_success(0.01)
    assert health.state.value == "open" and health.retry_delay == RETRY_DELAY_SECONDS
    health.pending_bytes = 16 << 20
    assert not health.accepts(1, 0.0)
    assert not should_compact(1 << 30, 0, State.FULL) and should_compact(1 << 30, 0, State.OPEN)


@pytest.mark.parametrize(
    "latest, readings, times",
    [
        (0.0, [(100.0, 1.0), (101.0, 2.0)], [100.0, 101.0]),
        (
            500.0,
            [(100.0, 1.0), (101.0, 2.0), (600.0, 3.0)],
            [500.0, 501.0, 502.0],
        ),  # set back between two starts
        (0.0, [(100.0, 1.0), (50.0, 2.0), (51.0, 3.0)], [100.0, 101.0, 102.0]),  # set back while open
    ],
)
def test_store_time_never_goes_back(
    latest: float, readings: list[tuple[float, float]], times: list[float]
) -> None:
    clock = Clock(latest, *readings[0])
    assert [clock.now(monotonic_time) for _, monotonic_time in readings] == times


# With the writer thread, on the real file system.


def run_with_store(folder: Path, scenario: Callable[[Store], Any], **options: Any) -> None:
    async def open_and_run() -> None:
        async with asyncio.timeout(20.0):
            store = await Store.open(folder, **options)
            try:
                await scenario(store)
            finally:
                await store.close()

    asyncio.run(open_and_run())


def test_acknowledged_writes_survive_a_restart(tmp_path: Path) -> None:
    async def first(store: Store) -> None:
        futures = [store.put("s", b"%04d" % n, b"v%d" % n) for n in range(500)]
        assert store.get("s", b"0007") == b"v7"
        view = store.head
        store.delete("s", b"0007")
        assert view.get("s", b"0007", store.now) == b"v7" and store.get("s", b"0007") is None
        await asyncio.gather(*futures)
        assert store.groups < 100
        await store.compare_and_swap("s", b"0008", b"v8", b"new")
        with pytest.raises(ConflictError):
            store.compare_and_swap("s", b"0008", b"v8", b"newer")
        scanned = [k for k, _ in store.scan("s", start_key=b"0005", prefix=b"000")]
        assert scanned == [b"0005", b"0006", b"0008", b"0009"]
        with pytest.raises(LockedError, match="process"):
            await Store.open(tmp_path)
        assert store.compact()
        while not store.snapshots:
            await asyncio.sleep(0.001)

    async def second(store: Store) -> None:
        assert len(store.head) == 499 and store.get("s", b"0008") == b"new"
        assert store.get("s", b"0007") is None

    run_with_store(tmp_path, first)
    run_with_store(tmp_path, second)


def test_entries_stay_expired_after_the_wall_clock_is_set_back(tmp_path: Path) -> None:
    wall_time = 1000.0

    async def first(store: Store) -> None:
        await store.put("s", b"short", b"x", ttl=10.0)
        await store.put("s", b"long", b"x", ttl=1000.0)
        nonlocal wall_time
        wall_time = 1020.0
        assert store.get("s", b"short") is None and store.get("s", b"long") == b"x"
        await store.put("s", b"mark", b"x")

    async def second(store: Store) -> None:
        assert store.clock.wall_clock_is_behind and store.get("s", b"short") is None
        assert store.get("s", b"long") == b"x"
        await store.put("s", b"new", b"x", ttl=5.0)
        assert store.get("s", b"new") == b"x"

    run_with_store(tmp_path, first, wall_clock=lambda: wall_time, monotonic_clock=lambda: wall_time)
    wall_time = 500.0
    run_with_store(tmp_path, second, wall_clock=lambda: wall_time, monotonic_clock=lambda: wall_time)


@pytest.mark.parametrize(
    "call, code, state",
    [
        ("append", errno.ENOSPC, State.FULL),
        ("append", errno.EIO, State.FAILED),
        ("sync", errno.EIO, State.FAILED),
    ],
)
def test_a_failing_disk_drops_unsynced_writes_and_the_store_recovers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, code: int, state: State
) -> None:
    async def scenario(store: Store) -> None:
        await store.put("s", b"kept", b"x")
        original = getattr(RealFiles, call)
        disk_fails = True

        def fails(self: RealFiles, name: str, *data: bytes) -> None:
            if disk_fails:
                raise OSError(code, "injected failure")
            original(self, name, *data)

        monkeypatch.setattr(RealFiles, call, fails)
        futures = [store.put("s", b"%d" % n, b"x") for n in range(5)]
        for future in futures:
            with pytest.raises(StoreError):
                await future
        assert store.health.state is state and content(store.head) == {("s", b"kept"): b"x"}
        with pytest.raises(StoreError, match=state.value):
            store.put("s", b"refused", b"x")
        disk_fails = False
        store.health.retry_at = 0.0
        await store.put("s", b"well", b"x")
        assert store.health.state is State.OPEN and store.get("s", b"kept") == b"x"

    async def after(store: Store) -> None:
        assert {k for _, k in content(store.head)} == {b"kept", b"well"}

    run_with_store(tmp_path, scenario)
    run_with_store(tmp_path, after)


@pytest.mark.parametrize("step", [5.0, 3_600.0])
def test_a_wall_clock_set_forward_while_open_expires_nothing(tmp_path: Path, step: float) -> None:
    """Stored answers would expire at once, and repeated non-idempotent requests would run again."""
    wall_time, monotonic_time = 1000.0, 1.0

    async def scenario(store: Store) -> None:
        nonlocal wall_time, monotonic_time
        await store.put("s", b"kept", b"x", ttl=4.0)
        wall_time, monotonic_time = wall_time + step, monotonic_time + 3.0
        assert store.get("s", b"kept") == b"x"
        monotonic_time += 2.0
        assert store.get("s", b"kept") is None

    run_with_store(tmp_path, scenario, wall_clock=lambda: wall_time, monotonic_clock=lambda: monotonic_time)
