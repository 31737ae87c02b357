"""Cuts a small store at every byte, and flips every byte of it: each must be covered, torn, or told."""

import random
from collections.abc import Callable

from heathford.standin.disk import Disk
from heathford.store.format import Change
from heathford.store.journal import DamageError, Journal, recover, segment_of

Content = dict[tuple[str, bytes], bytes]


def content(journal: Journal) -> Content:
    return {(space, key): value for space, key, (value, _) in journal.view.entries()}


def small_store(records: int = 9) -> Disk:
    """Some records in a few segments, two snapshots between, all on disk."""
    disk = Disk(random.Random(1))
    store = Journal(disk, recover(disk))
    view = store.view
    for n in range(records):
        changes = change(n)
        store.write([(changes, float(n))])
        view = view.after(changes, n + 1, float(n))
        if n in (3, 5):
            for _ in store.snapshot(view):
                pass
        if n in (2, 6):
            store.segment = None
    return disk


def change(n: int) -> tuple[Change, ...]:
    """Each key counts how often it was written: a record applied twice or left out would show."""
    return (Change("s", b"%d" % (n % 4), b"value %d" % n), Change("count", b"all", b"%d" % (n + 1)))


def after(records: int) -> Content:
    found: Content = {}
    for n in range(records):
        found |= {(c.space, c.key): c.value or b"" for c in change(n)}
    return found


def corrupt_every_byte(records: int, show: Callable[[str], None]) -> tuple[int, int, int]:
    """How many were tried, how many were told as damage, how many were wrong."""
    whole = small_store(records)
    names = whole.names()
    newest = max((s for s in map(segment_of, names) if s), key=lambda s: s.generation).name
    states = [after(n) for n in range(records + 1)]
    tried = told = wrong = 0
    for name in names:
        data = bytes(whole.files[name].now)
        for at in range(len(data)):
            for how, broken in (
                ("cut", data[:at]),
                ("flipped", data[:at] + bytes([data[at] ^ 1 << at % 8]) + data[at + 1 :]),
            ):
                disk = small_store(records)
                disk.files[name].now = bytearray(broken)
                tried += 1
                try:
                    journal = Journal(disk, recover(disk))
                except DamageError:
                    told += 1
                    continue
                seen = content(journal)
                # Only the end of the newest segment may be lost, and only what nothing proves.
                good = seen == states[-1] or (name == newest and seen in states)
                journal.settle()
                journal.write([(change(0), 0.0)])
                good = good and content(Journal(disk, recover(disk))) == seen | after(1)
                if not good:
                    wrong += 1
                    show(f"WRONG: {name} {how} at byte {at}")
    show(
        f"{tried} cuts and flips: {told} told as damage, {tried - told - wrong} lost nothing that was "
        f"acknowledged and proven, {wrong} wrong"
    )
    return tried, told, wrong
