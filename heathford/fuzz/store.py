"""Truncate a small store at every byte, and flip a bit of every byte.

Each corruption must either lose nothing, or only the torn end of the newest segment, or be reported.
"""

import random
from collections.abc import Callable

from heathford.standin.disk import Disk
from heathford.store.format import Change
from heathford.store.journal import DamageError, Journal, recover, parse_segment_name

Content = dict[tuple[str, bytes], bytes]


def content_of(journal: Journal) -> Content:
    return {(space, key): value for space, key, (value, _) in journal.view.entries()}


def make_store(records: int = 9) -> Disk:
    """Return a disk with a store of some records in a few segments, with two snapshots in between."""
    disk = Disk(random.Random(1))
    store = Journal(disk, recover(disk))
    view = store.view
    for n in range(records):
        changes = changes_of(n)
        store.write([(changes, float(n))])
        view = view.with_changes(changes, n + 1, float(n))
        if n in (3, 5):
            for _ in store.snapshot(view):
                pass
        if n in (2, 6):
            store.segment = None
    return disk


def changes_of(n: int) -> tuple[Change, ...]:
    """Return the changes of record n. "all" counts the records: one applied twice or left out would show."""
    return (Change("s", b"%d" % (n % 4), b"value %d" % n), Change("count", b"all", b"%d" % (n + 1)))


def content_after(records: int) -> Content:
    """Return what the store must hold after the first records."""
    content: Content = {}
    for n in range(records):
        content |= {(c.space, c.key): c.value or b"" for c in changes_of(n)}
    return content


def corrupt_every_byte(records: int, show: Callable[[str], None]) -> tuple[int, int, int]:
    """Return how many corruptions were tested, how many were reported as damage, how many went wrong."""
    intact = make_store(records)
    names = intact.names()
    newest = max((s for s in map(parse_segment_name, names) if s), key=lambda s: s.generation).name
    states = [content_after(n) for n in range(records + 1)]
    tested = reported = wrong = 0
    for name in names:
        data = bytes(intact.files[name].current)
        for at in range(len(data)):
            for method, corrupted in (
                ("cut", data[:at]),
                ("flipped", data[:at] + bytes([data[at] ^ 1 << at % 8]) + data[at + 1 :]),
            ):
                disk = make_store(records)
                disk.files[name].current = bytearray(corrupted)
                tested += 1
                try:
                    journal = Journal(disk, recover(disk))
                except DamageError:
                    reported += 1
                    continue
                recovered = content_of(journal)
                # Only records at the end of the newest segment may be lost, if nothing proves them.
                correct = recovered == states[-1] or (name == newest and recovered in states)
                journal.persist_recovered()
                journal.write([(changes_of(0), 0.0)])
                correct = correct and content_of(Journal(disk, recover(disk))) == recovered | content_after(1)
                if not correct:
                    wrong += 1
                    show(f"WRONG: {name} {method} at byte {at}")
    show(
        f"{tested} cuts and flips: {reported} reported as damage, {tested - reported - wrong} lost nothing "
        f"that was acknowledged and proven, {wrong} wrong"
    )
    return tested, reported, wrong
