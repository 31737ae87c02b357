"""The file system as the store uses it: few calls, each of which can fail."""

import fcntl
import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """One folder. Names have no path. What is written is safe only after sync; a new or renamed name only
    after sync_names."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def size(self, name: str) -> int: ...

    def append(self, name: str, data: bytes) -> None:
        """Raises OSError; part of the data may then be there."""

    def truncate(self, name: str, size: int) -> None: ...

    def sync(self, name: str) -> None: ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_directory(self) -> None: ...


class LockedError(Exception):
    """Another process has the store; the text says which."""


class RealFiles:
    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.open: dict[str, int] = {}  # descriptors of files that are appended to
        self.lock: int | None = None

    def take(self) -> None:
        """Locks the folder for this process; raises LockedError."""
        lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = os.read(lock, 200).decode(errors="replace").strip() or "a process that has not said"
            os.close(lock)
            raise LockedError(f"{self.folder} is in use by {holder}") from None
        os.ftruncate(lock, 0)
        os.write(lock, f"process {os.getpid()} on {os.uname().nodename}\n".encode())
        self.lock = lock

    def names(self) -> list[str]:
        return sorted(entry.name for entry in os.scandir(self.folder) if entry.name != "lock")

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def size(self, name: str) -> int:
        return (self.folder / name).stat().st_size

    def descriptor(self, name: str) -> int:
        if name not in self.open:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            self.open[name] = os.open(self.folder / name, flags, 0o644)
        return self.open[name]

    def append(self, name: str, data: bytes) -> None:
        descriptor, left = self.descriptor(name), memoryview(data)
        while left:  # a short write is no error yet: the next says why
            left = left[os.write(descriptor, left) :]

    def truncate(self, name: str, size: int) -> None:
        os.ftruncate(self.descriptor(name), size)

    def sync(self, name: str) -> None:
        os.fdatasync(self.descriptor(name))

    def forget(self, name: str) -> None:
        descriptor = self.open.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        self.forget(old)
        os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        self.forget(name)
        os.unlink(self.folder / name)

    def sync_directory(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        for name in list(self.open):
            self.forget(name)
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None
