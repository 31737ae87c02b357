"""What operators do with a store that no front has open: check, dump, compact, stat."""

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from heathford.store.files import Files, RealFiles
from heathford.store.journal import RecoveryResult, Journal, recover, parse_segment_name, parse_snapshot_name


def open_store_files(folder: Path) -> RealFiles:
    """Raises LockedError, or OSError where there is no store."""
    if not folder.is_dir():
        raise FileNotFoundError(f"{folder} is no folder")
    files = RealFiles(folder)
    files.take()
    return files


def check(files: Files, repair: bool, show: Callable[[str], None]) -> int:
    """0: whole; 1: a torn end, which `repair` cuts off; 2: damage, which nothing here mends: a copy must.

    A torn end is no loss, and the store opens over it; cutting it off only ends the mention of it.
    """
    found = recover(files)
    for what in found.damage:
        show(f"DAMAGE: {what}")
    for what in found.covered:
        show(f"broken, but kept elsewhere: {what}")
    for what in found.torn:
        show(f"torn end: {what}")
    newest = found.view_builder
    show(
        f"{sum(map(len, newest.spaces.values()))} entries up to record {newest.sequence}; "
        f"{len(found.segments)} segments, {len(found.snapshots)} whole snapshots"
    )
    if found.damage:
        return 2
    if not found.torn:
        return 0
    if repair:
        cut_torn(files, found, show)
        return 0
    return 1


def cut_torn(files: Files, found: RecoveryResult, show: Callable[[str], None]) -> None:
    for what in found.torn:
        name, _, where = what.partition(": from byte ")
        if where:
            at = int(where.split()[0])
            files.truncate(name, at)
            files.sync(name)
            show(f"cut {name} at byte {at}")
        else:
            name = what.partition(":")[0]
            files.remove(name)
            show(f"removed {name}, whose header was never whole")
    files.sync_directory()


def stat(files: Files) -> dict[str, Any]:
    found = recover(files)
    names = files.names()
    spaces = {
        name: {
            "entries": len(space),
            "bytes": sum(len(k) + len(v) for k, (v, _) in space.items()),
            "lasting": sum(until is None for _, until in space.values()),
        }
        for name, space in sorted(found.view_builder.spaces.items())
    }
    data = sum(s["bytes"] for s in spaces.values())
    used = sum(files.size(n) for n in names)
    return {
        "record": found.view_builder.sequence,
        "spaces": spaces,
        "bytes of entries": data,
        "bytes on disk": used,
        "space amplification": round(used / data, 2) if data else None,
        "segments": sorted(n for n in names if parse_segment_name(n)),
        "snapshots": sorted(n for n in names if parse_snapshot_name(n) is not None),
        "formats": found.versions,
        "damage": found.damage,
        "torn": found.torn,
        "broken": found.covered,
    }


def dump(files: Files, space: str) -> Iterator[dict[str, Any]]:
    """Entries in order, texts where they are texts."""
    for name, key, (value, until) in sorted(recover(files).view_builder.build().entries()):
        if space in ("", name):
            yield {"space": name, "key": readable(key), "value": readable(value), "until": until}


def readable(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError:
        return "hex:" + data.hex()


def compact(files: Files) -> tuple[int, int]:
    """Two snapshots, so that all log before them may go; bytes before and after. Raises DamageError."""
    journal = Journal(files, recover(files))
    journal.persist_recovered()
    before = sum(files.size(n) for n in files.names())
    journal.write([((), journal.time)])
    for _ in range(2):
        view = journal.view.with_changes((), journal.durable, journal.time)
        for _ in journal.snapshot(view):
            pass
        journal.write([((), journal.time)])
    return before, sum(files.size(n) for n in files.names())
