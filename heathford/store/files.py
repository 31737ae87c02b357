"""File system interface of the store: the few operations that it uses, each of which may raise OSError."""

import fcntl
import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """Files of one directory, by names without a path.

    Data is durable only after `sync`; a created, renamed or removed name only after `sync_directory`.
    """

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def size(self, name: str) -> int: ...

    def append(self, name: str, data: bytes) -> None:
        """Append data; if this raises OSError, part of it may have been written."""

    def truncate(self, name: str, size: int) -> None: ...

    def sync(self, name: str) -> None: ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_directory(self) -> None: ...


class LockedError(Exception):
    """Another process has locked the store; the message names it."""


class RealFiles:
    """Files of a directory on the local file system, created if it does not exist."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.descriptors: dict[str, int] = {}  # of the files opened for appending, by name
        self.lock: int | None = None  # descriptor of the locked file

    def acquire_lock(self) -> None:
        """Lock the directory for this process; raises LockedError."""
        lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = os.read(lock, 200).decode(errors="replace").strip() or "an unknown process"
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
        """Return the descriptor of a file, which is opened for appending on first use."""
        if name not in self.descriptors:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            self.descriptors[name] = os.open(self.folder / name, flags, 0o644)
        return self.descriptors[name]

    def append(self, name: str, data: bytes) -> None:
        descriptor, left = self.descriptor(name), memoryview(data)
        while left:  # after a short write, the next write raises the error
            left = left[os.write(descriptor, left) :]

    def truncate(self, name: str, size: int) -> None:
        os.ftruncate(self.descriptor(name), size)

    def sync(self, name: str) -> None:
        os.fdatasync(self.descriptor(name))

    def close_descriptor(self, name: str) -> None:
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        self.close_descriptor(old)
        os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        self.close_descriptor(name)
        os.unlink(self.folder / name)

    def sync_directory(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        for name in list(self.descriptors):
            self.close_descriptor(name)
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None
