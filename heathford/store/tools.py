"""Operator commands for a store that no front node has open: check, dump, compact, stat."""

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from heathford.store.files import Files, RealFiles
from heathford.store.journal import RecoveryResult, Journal, recover, parse_segment_name, parse_snapshot_name


def open_store_files(folder: Path) -> RealFiles:
    """Lock and return the files of a store; raises LockedError, or OSError if there is no such directory."""
    if not folder.is_dir():
        raise FileNotFoundError(f"{folder} is not a directory")
    files = RealFiles(folder)
    files.acquire_lock()
    return files


def check(files: Files, repair: bool, show: Callable[[str], None]) -> int:
    """Show what is wrong with the files and return an exit status.

    0: no fault; 1: a torn end, which `repair` cuts off; 2: data is lost, which only a backup can restore.

    A torn end is no loss, and the store opens in spite of it; cutting it off only stops the reports of it.
    """
    recovered = recover(files)
    for finding in recovered.damage:
        show(f"DAMAGE: {finding}")
    for finding in recovered.covered:
        show(f"broken, but kept elsewhere: {finding}")
    for finding in recovered.torn:
        show(f"torn end: {finding}")
    builder = recovered.view_builder
    show(
        f"{sum(map(len, builder.spaces.values()))} entries up to record {builder.sequence}; "
        f"{len(recovered.segments)} segments, {len(recovered.snapshots)} whole snapshots"
    )
    if recovered.damage:
        return 2
    if not recovered.torn:
        return 0
    if repair:
        truncate_torn(files, recovered, show)
        return 0
    return 1


def truncate_torn(files: Files, recovered: RecoveryResult, show: Callable[[str], None]) -> None:
    """Cut off torn ends, and remove segments with a torn header."""
    for finding in recovered.torn:
        name, _, where = finding.partition(": from byte ")
        if where:
            at = int(where.split()[0])
            files.truncate(name, at)
            files.sync(name)
            show(f"cut {name} at byte {at}")
        else:
            name = finding.partition(":")[0]
            files.remove(name)
            show(f"removed {name}, whose header was never whole")
    files.sync_directory()


def stat(files: Files) -> dict[str, Any]:
    """Return counts and sizes of the store's content and files, as the command prints them."""
    recovered = recover(files)
    names = files.names()
    spaces = {
        name: {
            "entries": len(space),
            "bytes": sum(len(k) + len(v) for k, (v, _) in space.items()),
            "lasting": sum(expires_at is None for _, expires_at in space.values()),
        }
        for name, space in sorted(recovered.view_builder.spaces.items())
    }
    data = sum(s["bytes"] for s in spaces.values())
    used = sum(files.size(n) for n in names)
    return {
        "record": recovered.view_builder.sequence,
        "spaces": spaces,
        "bytes of entries": data,
        "bytes on disk": used,
        "space amplification": round(used / data, 2) if data else None,
        "segments": sorted(n for n in names if parse_segment_name(n)),
        "snapshots": sorted(n for n in names if parse_snapshot_name(n) is not None),
        "formats": recovered.versions,
        "damage": recovered.damage,
        "torn": recovered.torn,
        "broken": recovered.covered,
    }


def dump(files: Files, space: str) -> Iterator[dict[str, Any]]:
    """Yield the entries of a namespace (all if it is empty) in order; UTF-8 as text, other bytes as hex."""
    for name, key, (value, expires_at) in sorted(recover(files).view_builder.build().entries()):
        if space in ("", name):
            yield {"space": name, "key": readable(key), "value": readable(value), "until": expires_at}


def readable(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError:
        return "hex:" + data.hex()


def compact(files: Files) -> tuple[int, int]:
    """Write two snapshots, so that all log before them is removed; return bytes on disk before and after.

    Raises DamageError or JournalError.
    """
    journal = Journal(files, recover(files))
    journal.persist_recovered()
    before = sum(files.size(n) for n in files.names())
    journal.write([((), journal.time)])
    for _ in range(2):
        view = journal.view.with_changes((), journal.durable_sequence, journal.time)
        for _ in journal.snapshot(view):
            pass
        journal.write([((), journal.time)])
    return before, sum(files.size(n) for n in files.names())
