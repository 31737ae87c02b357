"""A simulated file system that loses, tears and reorders unsynced data, and injects errors and crashes.

After a crash only the weakest guarantees of POSIX hold. Synced data of a file survives. Each unsynced write
survives whole, in part, or not at all, in any order (a write lost between others reads as zeros). Any subset
of the file names created, renamed or removed since the last sync of the folder has taken effect.
"""

import errno
import random
from typing import Any


class FileContent:
    """The content of one file: the bytes on disk and the writes that are only in memory."""

    def __init__(self) -> None:
        self.durable = bytearray()
        self.unsynced: list[tuple[int, bytes]] = []  # offset and data of each write
        self.current = bytearray()  # as the running process reads it
        self.sync_failed = False  # a failed sync dropped unsynced writes that never reached the disk


class Disk:
    """A simulated folder with the interface of `heathford.store.files.Files`.

    fail: called before each operation with the names of the operation and of the file. It returns the errno
    to fail with, 0 to continue, or -1 to crash there by a CrashError.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.files: dict[str, FileContent] = {}  # as the running process sees the folder
        self.durable_names: dict[str, FileContent] = {}  # as of the last sync of the folder
        # "+": created, "-": removed or replaced, "=": renamed, with the old and new name joined by a NUL
        self.unsynced_name_changes: list[tuple[str, str, FileContent]] = []
        self.call_count = 0
        self.fail: Any = lambda call, name: 0
        self.free_bytes: int | None = None  # None: unlimited

    def before_call(self, call: str, name: str) -> None:
        self.call_count += 1
        code = self.fail(call, name)
        if code == -1:
            raise CrashError(f"at call {self.call_count}, {call} {name}")
        if code:
            raise OSError(code, errno.errorcode.get(code, "error"))

    # The interface of heathford.store.files.Files.

    def names(self) -> list[str]:
        self.before_call("names", "")
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        self.before_call("read", name)
        return bytes(self.files[name].current)

    def size(self, name: str) -> int:
        return len(self.files[name].current)

    def append(self, name: str, data: bytes) -> None:
        if name not in self.files:
            self.files[name] = content = FileContent()
            self.unsynced_name_changes.append(("+", name, content))
        content = self.files[name]
        fitting = len(data) if self.free_bytes is None else min(len(data), self.free_bytes)
        try:
            self.before_call("append", name)
        except (OSError, CrashError):
            self.write(content, data[: self.rng.randrange(len(data) + 1)])  # a short write before the failure
            raise
        self.write(content, data[:fitting])
        if fitting < len(data):
            raise OSError(errno.ENOSPC, "no space left on device")

    def write(self, content: FileContent, data: bytes) -> None:
        if self.free_bytes is not None:
            self.free_bytes -= len(data)
        content.unsynced.append((len(content.current), data))
        content.current += data

    def truncate(self, name: str, size: int) -> None:
        self.before_call("truncate", name)
        content = self.files[name]
        del content.current[size:]
        content.unsynced = [
            (offset, data[: max(0, size - offset)]) for offset, data in content.unsynced if offset < size
        ]
        del content.durable[size:]

    def sync(self, name: str) -> None:
        content = self.files[name]
        try:
            self.before_call("sync", name)
        except OSError:
            # As on Linux, a failed fsync marks the dirty pages clean, and the next fsync succeeds.
            content.durable = self.choose_surviving_bytes(content)
            content.unsynced, content.sync_failed = [], True
            raise
        if not content.sync_failed:
            content.durable = bytearray(content.current)
        content.unsynced = []

    def rename(self, old: str, new: str) -> None:
        self.before_call("rename", old)
        content = self.files.pop(old)
        replaced = self.files.get(new)
        self.files[new] = content
        if replaced is not None:
            self.unsynced_name_changes.append(("-", new, replaced))
        self.unsynced_name_changes += [("=", f"{old}\0{new}", content)]

    def remove(self, name: str) -> None:
        self.before_call("remove", name)
        content = self.files.pop(name)
        if self.free_bytes is not None:
            self.free_bytes += len(content.current)
        self.unsynced_name_changes.append(("-", name, content))

    def sync_directory(self) -> None:
        self.before_call("sync_names", "")
        self.durable_names = dict(self.files)
        self.unsynced_name_changes = []

    # Crashes.

    def choose_surviving_bytes(self, content: FileContent) -> bytearray:
        """Return a random state of a file after a crash: the synced data and some of the unsynced writes."""
        surviving = bytearray(content.durable)
        for offset, data in content.unsynced:
            outcome = self.rng.randrange(4)
            part = data if outcome < 2 else data[: self.rng.randrange(len(data) + 1)] if outcome == 2 else b""
            if part:
                surviving += bytes(max(0, offset - len(surviving)))
                surviving[offset : offset + len(part)] = part
        return surviving

    def after_crash(self) -> "Disk":
        """Return a disk in a random state that the next process may find after a crash."""
        names = dict(self.durable_names)
        for change, name, content in self.unsynced_name_changes:
            if self.rng.random() < 0.5:
                continue
            if change == "+":
                names[name] = content
            elif change == "-":
                if names.get(name) is content:
                    del names[name]
            else:
                old, _, new = name.partition("\0")
                if names.get(old) is content:
                    del names[old]
                names[new] = content
        next_disk = Disk(self.rng)
        for name, content in names.items():
            surviving = FileContent()
            surviving.durable = self.choose_surviving_bytes(content)
            surviving.current = bytearray(surviving.durable)
            next_disk.files[name] = surviving
        next_disk.durable_names = dict(next_disk.files)
        next_disk.free_bytes = self.free_bytes
        return next_disk


class CrashError(Exception):
    """The simulated crash of the process."""
