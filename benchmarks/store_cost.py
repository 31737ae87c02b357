"""What the store costs and gives, in one run on this machine's disk.

    python -m benchmarks.store_cost [WRITES [RECOVERED …]]

Writes a second by group commit against a sync for each, against bare appends with one sync a group; the
loop's delay with the store busy and compacting against idle; recovery; bytes on disk against entries'.
"""

import asyncio
import os
import random
import sys
import tempfile
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from heathford.store.files import RealFiles
from heathford.store.format import Change
from heathford.store.journal import Journal, recover
from heathford.store.store import Store

VALUE = os.urandom(300)  # bytes: a short final answer
AT_ONCE = 64  # writers that wait each for its own write
KEYS = 20_000  # that are written again and again


def one_sync_each(folder: Path, count: int) -> float:
    files = RealFiles(folder)
    journal = Journal(files, recover(files))
    view, begin = journal.view, time.perf_counter()
    for n in range(count):
        changes = (Change("s", b"%d" % n, VALUE),)
        journal.write([(changes, 0.0)])
        view = view.with_changes(changes, n + 1, 0.0)
    took = time.perf_counter() - begin
    files.close()
    return count / took


def bare(folder: Path, count: int) -> float:
    """Appends of as many bytes, a sync for each AT_ONCE: no checksum, no index, no threads."""
    descriptor = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    data, begin = VALUE + bytes(48), time.perf_counter()
    for _ in range(count // AT_ONCE):
        os.write(descriptor, data * AT_ONCE)
        os.fdatasync(descriptor)
    took = time.perf_counter() - begin
    os.close(descriptor)
    return (count // AT_ONCE) * AT_ONCE / took


async def grouped(folder: Path, count: int) -> tuple[float, float]:
    """Writes a second, and how many to a group."""
    store = await Store.open(folder)
    left = iter(range(count))

    async def writer() -> None:
        for n in left:
            await store.put("s", b"%d" % (n % KEYS), VALUE)

    begin = time.perf_counter()
    await asyncio.gather(*(writer() for _ in range(AT_ONCE)))
    took = time.perf_counter() - begin
    groups = store.groups
    await store.close()
    return count / took, count / groups


async def delays(seconds: float) -> HdrHistogram:
    times = HdrHistogram(1, 60_000_000, 3)
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        due = loop.time() + 0.002
        await asyncio.sleep(0.002)
        times.record_value(max(1, int((loop.time() - due) * 1e6)))
    return times


async def busy(folder: Path, seconds: float, rate: float) -> tuple[HdrHistogram, HdrHistogram, int, float]:
    """The loop's delay idle, and beside `rate` writes a second with snapshots going on; snapshots written;
    bytes on disk over bytes of entries."""
    idle = await delays(seconds)
    store = await Store.open(folder)
    chance, loop = random.Random(1), asyncio.get_running_loop()
    for n in range(KEYS):
        store.put("s", b"%d" % n, VALUE)
    while store.pending:
        await asyncio.sleep(0.01)

    async def write() -> None:
        begin, n = loop.time(), 0
        while True:
            while n < (loop.time() - begin) * rate:
                store.put("s", b"%d" % chance.randrange(KEYS), VALUE)
                n += 1
            await asyncio.sleep(0.002)

    async def compact() -> None:
        while True:
            store.compact()
            await asyncio.sleep(0.05)

    tasks = [loop.create_task(write()), loop.create_task(compact())]
    found = await delays(seconds)
    for task in tasks:
        task.cancel()
    while store.pending or (store.compacting and store.compacting.is_alive()):
        await asyncio.sleep(0.01)
    snapshots = store.snapshots
    await store.close()
    used = sum(p.stat().st_size for p in folder.iterdir())
    return idle, found, snapshots, used / (KEYS * (len(VALUE) + 5))


def recovery(folder: Path, count: int) -> float:
    """s to open a store whose log has so many records."""
    files = RealFiles(folder)
    journal = Journal(files, recover(files))
    for begin in range(0, count, 5000):
        numbers = range(begin, min(count, begin + 5000))
        journal.write([((Change("s", b"%d" % n, VALUE),), 0.0) for n in numbers])
    files.close()
    begun = time.perf_counter()
    journal = Journal(RealFiles(folder), recover(RealFiles(folder)))
    took = time.perf_counter() - begun
    assert len(journal.view) == count
    return took


def main() -> None:
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 20_000
    recovered = [int(x) for x in sys.argv[2:]] or [10_000, 100_000, 1_000_000]
    with tempfile.TemporaryDirectory(dir=Path.cwd()) as place:
        root = Path(place)
        for name in ("each", "bare", "grouped", "busy"):
            (root / name).mkdir()
        each, plain = one_sync_each(root / "each", count // 10), bare(root / "bare", count)
        group, size = asyncio.run(grouped(root / "grouped", count))
        print(
            f"writes a second: group commit {group:,.0f} ({size:.0f} a group), a sync each {each:,.0f} "
            f"({group / each:.1f} times), bare appends {plain:,.0f} ({group / plain:.2f} of them)",
            flush=True,
        )
        idle, found, snapshots, space = asyncio.run(busy(root / "busy", 6.0, 500.0))
        p99 = [h.get_value_at_percentile(99) / 1000 for h in (idle, found)]
        print(
            f"loop's delay p99: idle {p99[0]:.2f} ms, beside 500 writes a second and {snapshots} snapshots "
            f"of {KEYS:,} entries {p99[1]:.2f} ms; bytes on disk {space:.2f} of entries'",
            flush=True,
        )
        for records in recovered:
            folder = root / f"recover-{records}"
            took = recovery(folder, records)
            print(f"recovery of {records:,} records: {took:.2f} s", flush=True)


if __name__ == "__main__":
    main()
