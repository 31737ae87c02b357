"""Files on disk beside the store: uploaded ones, and answers that are only whole at their end."""

import contextlib
import os
import secrets
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import orjson

from heathford.store.format import Change
from heathford.store.store import Store

SPACE = "files"
CHUNK = 256 << 10  # bytes read or sent at once


class FullError(Exception):
    """There is no room for it; the text says where the bound is."""


def new_id(kind: str) -> str:
    """Not to be guessed: a member that knows another's must still be refused, but need not try."""
    return f"{kind}-{secrets.token_hex(12)}"


class FileStorage:
    """most: bytes of one file; most_all: of all. A file is listed once its record is on disk; what has no
    record is removed at the start."""

    def __init__(self, folder: Path, store: Store, most: int, most_all: int) -> None:
        self.folder, self.store, self.most, self.most_all = folder, store, most, most_all
        folder.mkdir(parents=True, exist_ok=True)
        self.listed = {key.decode(): orjson.loads(value) for key, value in store.scan(SPACE)}
        self.used = sum(entry["bytes"] for entry in self.listed.values())
        self.in_use: dict[str, int] = {}  # by batches, readers
        for path in folder.iterdir():
            if path.suffix != ".part" and path.name not in self.listed:
                path.unlink()

    def path(self, name: str) -> Path:
        return self.folder / name

    def get(self, name: str, member: int) -> dict[str, Any] | None:
        """A member sees only its own."""
        entry = self.listed.get(name)
        return entry if entry and entry["member"] == member else None

    def begin(self) -> "Incoming":
        return Incoming(self, new_id("file"))

    def entry(self, name: str, member: int, filename: str, purpose: str, size: int) -> dict[str, Any]:
        return {
            "id": name,
            "object": "file",
            "bytes": size,
            "created_at": int(self.store.now),
            "filename": filename,
            "purpose": purpose,
            "member": member,
        }

    async def record(self, entry: Mapping[str, Any]) -> None:
        """Raises StoreError: then it isn't there."""
        name = entry["id"]
        await self.store.write([self.change(entry)])
        self.took(name, dict(entry))

    def change(self, entry: Mapping[str, Any]) -> Change:
        return Change(SPACE, entry["id"].encode(), orjson.dumps(dict(entry)))

    def took(self, name: str, entry: dict[str, Any]) -> None:
        self.listed[name] = entry
        self.used += entry["bytes"]

    async def remove(self, name: str) -> None:
        """Its record first: a crash between leaves bytes that the next start removes."""
        await self.store.delete(SPACE, name.encode())
        entry = self.listed.pop(name)
        self.used -= entry["bytes"]
        self.path(name).unlink(missing_ok=True)

    def hold(self, name: str) -> None:
        self.in_use[name] = self.in_use.get(name, 0) + 1

    def let_go(self, name: str) -> None:
        self.in_use[name] -= 1
        if not self.in_use[name]:
            del self.in_use[name]

    def chunks(self, name: str) -> Iterator[bytes]:
        with self.path(name).open("rb") as file:
            while data := file.read(CHUNK):
                yield data


class Incoming:
    """A file on its way in; it is nothing until it is recorded."""

    def __init__(self, file_storage: FileStorage, name: str) -> None:
        self.file_storage, self.name, self.size = file_storage, name, 0
        self.file = file_storage.path(name + ".part").open("wb")

    def write(self, data: bytes) -> None:
        """Raises FullError or OSError."""
        self.size += len(data)
        if self.size > self.file_storage.most:
            raise FullError(f"a file of more than {self.file_storage.most} bytes")
        if self.file_storage.used + self.size > self.file_storage.most_all:
            raise FullError(f"all files together would pass {self.file_storage.most_all} bytes")
        self.file.write(data)

    def ends(self) -> None:
        """On disk, under its name; blocks for a sync: call it off the loop."""
        self.file.flush()
        os.fdatasync(self.file.fileno())
        self.file.close()
        self.file_storage.path(self.name + ".part").rename(self.file_storage.path(self.name))

    def drop(self) -> None:
        self.file.close()
        self.file_storage.path(self.name + ".part").unlink(missing_ok=True)
        self.file_storage.path(self.name).unlink(missing_ok=True)


class Answers:
    """The output and error file of one batch while they grow. What counts is what the batch's record says:
    bytes beyond were written and not recorded, and are cut off when it goes on after a restart."""

    def __init__(self, folder: Path, batch: str, counts: tuple[int, int]) -> None:
        self.paths = [folder / f"{batch}-{kind}.part" for kind in ("output", "error")]
        self.files = [open(path, "ab") for path in self.paths]  # noqa: SIM115 - open as long as the batch
        self.sizes = list(counts)
        for file, size in zip(self.files, counts, strict=True):
            file.truncate(size)

    def write(self, lines: tuple[list[bytes], list[bytes]]) -> tuple[int, int]:
        """Appends and syncs; the bytes that count once recorded. Raises OSError: nothing more counts."""
        for place, (file, new) in enumerate(zip(self.files, lines, strict=True)):
            if new:
                data = b"".join(new)
                try:
                    file.write(data)
                    file.flush()
                    os.fdatasync(file.fileno())
                except OSError:
                    self.again(place)
                    raise
                self.sizes[place] += len(data)
        return self.sizes[0], self.sizes[1]

    def again(self, place: int) -> None:
        """After a failure: the file is opened anew and cut where it counts, so that no half line stays."""
        path = self.paths[place]
        with contextlib.suppress(OSError):  # what it held back is what failed
            self.files[place].close()
        os.truncate(path, self.sizes[place])
        self.files[place] = open(path, "ab")  # noqa: SIM115

    def close(self) -> None:
        for file in self.files:
            file.close()
