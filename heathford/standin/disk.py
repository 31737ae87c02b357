"""A simulated file system that loses, tears and reorders what is not synced, and fails where told.

What a crash leaves, by the weakest promises of POSIX: of each file what was synced, and of the rest each
written piece whole, in part, or not at all, in any order (a piece lost between others reads as zeros); of
names that came or went since the last sync of the folder any may have happened.
"""

import errno
import random
from typing import Any


class Content:
    """One file: what is on disk, and pieces that are only in memory."""

    def __init__(self) -> None:
        self.safe = bytearray()
        self.pieces: list[tuple[int, bytes]] = []  # where, what
        self.current = bytearray()  # as the running process sees it
        self.spoiled = False  # a sync failed: its pieces are gone from memory without being on disk


class Disk:
    """fail: called before each call with its name and the file's; what it returns is an errno to fail with,
    0 to go on, or -1 to crash there (CrashError)."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.files: dict[str, Content] = {}  # as the process sees the folder
        self.safe_names: dict[str, Content] = {}  # as the disk has it
        self.changes: list[tuple[str, str, Content]] = []  # names that came ("+") or went ("-")
        self.calls = 0
        self.fail: Any = lambda call, name: 0
        self.room: int | None = None  # bytes left, where bounded

    def called(self, call: str, name: str) -> None:
        self.calls += 1
        code = self.fail(call, name)
        if code == -1:
            raise CrashError(f"at call {self.calls}, {call} {name}")
        if code:
            raise OSError(code, errno.errorcode.get(code, "error"))

    # heathford.store.files.Files

    def names(self) -> list[str]:
        self.called("names", "")
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        self.called("read", name)
        return bytes(self.files[name].current)

    def size(self, name: str) -> int:
        return len(self.files[name].current)

    def append(self, name: str, data: bytes) -> None:
        if name not in self.files:
            self.files[name] = content = Content()
            self.changes.append(("+", name, content))
        content = self.files[name]
        fits = len(data) if self.room is None else min(len(data), self.room)
        try:
            self.called("append", name)
        except (OSError, CrashError):
            self.put(content, data[: self.chance.randrange(len(data) + 1)])  # a short write
            raise
        self.put(content, data[:fits])
        if fits < len(data):
            raise OSError(errno.ENOSPC, "no space left on device")

    def put(self, content: Content, data: bytes) -> None:
        if self.room is not None:
            self.room -= len(data)
        content.pieces.append((len(content.current), data))
        content.current += data

    def truncate(self, name: str, size: int) -> None:
        self.called("truncate", name)
        content = self.files[name]
        del content.current[size:]
        content.pieces = [(at, data[: max(0, size - at)]) for at, data in content.pieces if at < size]
        del content.safe[size:]

    def sync(self, name: str) -> None:
        content = self.files[name]
        try:
            self.called("sync", name)
        except OSError:
            # What Linux does: the dirty pages are marked clean, and the next sync has nothing to say.
            content.safe = self.left_of(content)
            content.pieces, content.spoiled = [], True
            raise
        if not content.spoiled:
            content.safe = bytearray(content.current)
        content.pieces = []

    def rename(self, old: str, new: str) -> None:
        self.called("rename", old)
        content = self.files.pop(old)
        gone = self.files.get(new)
        self.files[new] = content
        if gone is not None:
            self.changes.append(("-", new, gone))
        self.changes += [("=", f"{old}\0{new}", content)]

    def remove(self, name: str) -> None:
        self.called("remove", name)
        content = self.files.pop(name)
        if self.room is not None:
            self.room += len(content.current)
        self.changes.append(("-", name, content))

    def sync_directory(self) -> None:
        self.called("sync_names", "")
        self.safe_names = dict(self.files)
        self.changes = []

    # Crashes.

    def left_of(self, content: Content) -> bytearray:
        """What the disk has of a file: all that was synced, and anything of the rest."""
        left = bytearray(content.safe)
        for at, data in content.pieces:
            fate = self.chance.randrange(4)
            part = data if fate < 2 else data[: self.chance.randrange(len(data) + 1)] if fate == 2 else b""
            if part:
                left += bytes(max(0, at - len(left)))
                left[at : at + len(part)] = part
        return left

    def after_crash(self) -> "Disk":
        """The disk as the next process finds it."""
        names = dict(self.safe_names)
        for what, name, content in self.changes:
            if self.chance.random() < 0.5:
                continue
            if what == "+":
                names[name] = content
            elif what == "-":
                if names.get(name) is content:
                    del names[name]
            else:
                old, _, new = name.partition("\0")
                if names.get(old) is content:
                    del names[old]
                names[new] = content
        after = Disk(self.chance)
        for name, content in names.items():
            left = Content()
            left.safe = self.left_of(content)
            left.current = bytearray(left.safe)
            after.files[name] = left
        after.safe_names = dict(after.files)
        after.room = self.room
        return after


class CrashError(Exception):
    """The process ends here."""
