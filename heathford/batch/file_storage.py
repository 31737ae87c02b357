"""Files of the files API on disk: uploads, and the result files of batches."""

import contextlib
import os
import secrets
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import orjson

from heathford.store.format import Change
from heathford.store.store import Store

SPACE = "files"  # namespace in the store
CHUNK_BYTES = 256 << 10  # read and sent at once


class StorageLimitError(Exception):
    """A file exceeds a size limit; the message names the limit."""


def new_id(kind: str) -> str:
    """Return a random id that can't be guessed; access is checked by tenant all the same."""
    return f"{kind}-{secrets.token_hex(12)}"


class FileStorage:
    """Stores the files of all tenants in one directory, and their entries in the store.

    A file is listed once its entry is on disk. Files without an entry are removed at the start.
    """

    def __init__(self, folder: Path, store: Store, max_file_bytes: int, max_total_bytes: int) -> None:
        self.folder, self.store, self.max_file_bytes, self.max_total_bytes = (
            folder,
            store,
            max_file_bytes,
            max_total_bytes,
        )
        folder.mkdir(parents=True, exist_ok=True)
        self.entries = {key.decode(): orjson.loads(value) for key, value in store.scan(SPACE)}
        self.used_bytes = sum(entry["bytes"] for entry in self.entries.values())
        self.use_counts: dict[str, int] = {}  # batches and downloads that use a file, by its name
        for path in folder.iterdir():
            if path.suffix != ".part" and path.name not in self.entries:
                path.unlink()

    def path(self, name: str) -> Path:
        return self.folder / name

    def get(self, name: str, tenant: int) -> dict[str, Any] | None:
        """Return the entry of a file; None if there is none or if it belongs to another tenant."""
        entry = self.entries.get(name)
        return entry if entry and entry["member"] == tenant else None

    def start_upload(self) -> "Upload":
        return Upload(self, new_id("file"))

    def make_entry(self, name: str, tenant: int, filename: str, purpose: str, size: int) -> dict[str, Any]:
        return {
            "id": name,
            "object": "file",
            "bytes": size,
            "created_at": int(self.store.now),
            "filename": filename,
            "purpose": purpose,
            "member": tenant,
        }

    async def record(self, entry: Mapping[str, Any]) -> None:
        """Write the entry to the store, then list the file; raises StoreError if the entry is not stored."""
        name = entry["id"]
        await self.store.write([self.change(entry)])
        self.add_entry(name, dict(entry))

    def change(self, entry: Mapping[str, Any]) -> Change:
        """Return the change that writes an entry to the store."""
        return Change(SPACE, entry["id"].encode(), orjson.dumps(dict(entry)))

    def add_entry(self, name: str, entry: dict[str, Any]) -> None:
        """List a file."""
        self.entries[name] = entry
        self.used_bytes += entry["bytes"]

    async def remove(self, name: str) -> None:
        """Remove the entry, then the file, which after a crash in between is removed at the next start."""
        await self.store.delete(SPACE, name.encode())
        entry = self.entries.pop(name)
        self.used_bytes -= entry["bytes"]
        self.path(name).unlink(missing_ok=True)

    def hold(self, name: str) -> None:
        """Protect a file from deletion, until as many calls of `release`."""
        self.use_counts[name] = self.use_counts.get(name, 0) + 1

    def release(self, name: str) -> None:
        self.use_counts[name] -= 1
        if not self.use_counts[name]:
            del self.use_counts[name]

    def chunks(self, name: str) -> Iterator[bytes]:
        with self.path(name).open("rb") as file:
            while data := file.read(CHUNK_BYTES):
                yield data


class Upload:
    """A file that is being received; it is not listed until its entry is recorded."""

    def __init__(self, file_storage: FileStorage, name: str) -> None:
        self.file_storage, self.name, self.size = file_storage, name, 0
        self.file = file_storage.path(name + ".part").open("wb")

    def write(self, data: bytes) -> None:
        """Append data; raises StorageLimitError or OSError."""
        self.size += len(data)
        if self.size > self.file_storage.max_file_bytes:
            raise StorageLimitError(f"a file of more than {self.file_storage.max_file_bytes} bytes")
        if self.file_storage.used_bytes + self.size > self.file_storage.max_total_bytes:
            raise StorageLimitError(
                f"all files together would pass {self.file_storage.max_total_bytes} bytes"
            )
        self.file.write(data)

    def finish(self) -> None:
        """Sync the file and give it its final name; blocks, so it must not run in the event loop."""
        self.file.flush()
        os.fdatasync(self.file.fileno())
        self.file.close()
        self.file_storage.path(self.name + ".part").rename(self.file_storage.path(self.name))

    def discard(self) -> None:
        self.file.close()
        self.file_storage.path(self.name + ".part").unlink(missing_ok=True)
        self.file_storage.path(self.name).unlink(missing_ok=True)


class ResultFiles:
    """The growing output and error files of a batch.

    The batch record says how many bytes of each are valid. Bytes beyond these were written but not recorded,
    and are cut off when the batch resumes after a restart.
    """

    def __init__(self, folder: Path, batch_id: str, valid_sizes: tuple[int, int]) -> None:
        self.paths = [folder / f"{batch_id}-{kind}.part" for kind in ("output", "error")]
        self.files = [open(path, "ab") for path in self.paths]  # noqa: SIM115 - open as long as the batch
        self.sizes = list(valid_sizes)
        for file, size in zip(self.files, valid_sizes, strict=True):
            file.truncate(size)

    def write(self, lines: tuple[list[bytes], list[bytes]]) -> tuple[int, int]:
        """Append lines to the output and the error file and sync; return the valid bytes of each.

        After an OSError the files are cut back, and nothing that was to be written counts.
        """
        for index, (file, new_lines) in enumerate(zip(self.files, lines, strict=True)):
            if new_lines:
                data = b"".join(new_lines)
                try:
                    file.write(data)
                    file.flush()
                    os.fdatasync(file.fileno())
                except OSError:
                    self.reopen(index)
                    raise
                self.sizes[index] += len(data)
        return self.sizes[0], self.sizes[1]

    def reopen(self, index: int) -> None:
        """Reopen a file after a failed write, cut to its valid bytes, so that no partial line remains."""
        path = self.paths[index]
        with contextlib.suppress(OSError):  # closing flushes the buffered data, which may fail again
            self.files[index].close()
        os.truncate(path, self.sizes[index])
        self.files[index] = open(path, "ab")  # noqa: SIM115

    def close(self) -> None:
        for file in self.files:
            file.close()
