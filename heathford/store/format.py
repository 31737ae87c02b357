"""Encoding and decoding of the store's records, snapshots and file headers; no I/O.

docs/design/store.md specifies the format. All numbers are little endian. A record is one atomic batch of
changes. Each record also has the last sequence that was durable when it was written. So an unreadable record
is known to be lost if a later one proves that it had been acknowledged, and otherwise counts as torn.
"""

import struct
from collections.abc import Sequence
from dataclasses import dataclass

from google_crc32c import value as crc32c

VERSION, PREVIOUS_VERSION = 2, 1  # of the format: version 1 has no expiry times
LOG_MAGIC, SNAPSHOT_MAGIC = b"HFSTORE\0", b"HFSNAP\0\0"
# Magic, version, flags, first sequence (of a segment) or last (of a snapshot), number of records, CRC-32C.
HEADER = struct.Struct("<8sHHQQI")
# Length of the payload, CRC-32C of that length and of all that follows, sequence, durable sequence, time.
FRAME = struct.Struct("<IIQQd")
CHANGE = struct.Struct("<BBHI")  # kind, then the lengths of namespace, key and value
EXPIRY = struct.Struct("<d")  # seconds of store time; follows CHANGE in a PUT_UNTIL
PUT, DELETE, PUT_UNTIL = 1, 2, 3  # kinds of changes
# A greater length is taken for corruption, so that no memory is allocated for it.
MAX_RECORD_BYTES = 64 << 20

LOG_NAME_FORMAT, SNAPSHOT_NAME_FORMAT, NEW_SNAPSHOT_NAME_FORMAT = (
    "log-{:016x}-{:08x}.seg",
    "snap-{:016x}.snap",
    "snap-{:016x}.new",
)


class FormatError(Exception):
    """Data that is no valid record, snapshot or header, or that can't be encoded as one."""


@dataclass(frozen=True)
class Change:
    """A put, or a delete if `value` is None.

    `space` is the namespace of the key; `expires_at` is in seconds of store time, None for an entry that does
    not expire.
    """

    space: str
    key: bytes
    value: bytes | None
    expires_at: float | None = None


@dataclass(frozen=True)
class Record:
    """One atomic batch of changes, as the log has it."""

    sequence: int
    durable_sequence: int  # the last sequence known to be on disk when this record was written
    time: float  # store time, s
    changes: tuple[Change, ...]


def encode_changes(changes: Sequence[Change], version: int = VERSION) -> bytes:
    """Return the payload of a record; raises FormatError for a change that the format can't hold."""
    parts = []
    for change in changes:
        space, value = change.space.encode(), change.value or b""
        kind = DELETE if change.value is None else PUT if change.expires_at is None else PUT_UNTIL
        if kind == PUT_UNTIL and version == PREVIOUS_VERSION:
            raise FormatError("format version 1 has no expiry times")
        if len(space) > 255 or len(change.key) > 65_535 or len(value) > MAX_RECORD_BYTES:
            raise FormatError("namespace, key or value is too long")
        parts.append(CHANGE.pack(kind, len(space), len(change.key), len(value)))
        if change.expires_at is not None and kind == PUT_UNTIL:
            parts.append(EXPIRY.pack(change.expires_at))
        parts += [space, change.key, value]
    return b"".join(parts)


def decode_changes(data: bytes) -> tuple[Change, ...]:
    """Return the changes of a record's payload; raises FormatError."""
    changes, at = [], 0
    try:
        while at < len(data):
            kind, space_size, key_size, value_size = CHANGE.unpack_from(data, at)
            at += CHANGE.size
            expires_at = None
            if kind == PUT_UNTIL:
                expires_at = EXPIRY.unpack_from(data, at)[0]
                at += EXPIRY.size
            elif kind not in (PUT, DELETE):
                raise FormatError(f"unknown kind of change: {kind}")
            end = at + space_size + key_size + value_size
            if end > len(data):
                raise FormatError("change is truncated")
            space = data[at : at + space_size].decode()
            key = data[at + space_size : at + space_size + key_size]
            value = None if kind == DELETE else data[end - value_size : end]
            changes.append(Change(space, key, value, expires_at))
            at = end
    except (struct.error, UnicodeDecodeError) as problem:
        raise FormatError(f"invalid changes: {problem}") from None
    return tuple(changes)


def encode_record(record: Record, version: int = VERSION) -> bytes:
    payload = encode_changes(record.changes, version)
    if len(payload) > MAX_RECORD_BYTES:
        raise FormatError(f"batch has {len(payload)} bytes; the maximum is {MAX_RECORD_BYTES}")
    return encode_frame(payload, record.sequence, record.durable_sequence, record.time)


def encode_frame(payload: bytes, sequence: int, durable_sequence: int, time: float) -> bytes:
    """Return a record with the payload, its lengths, sequences and checksum."""
    head = FRAME.pack(len(payload), 0, sequence, durable_sequence, time)
    # The checksum covers the length too, so that a bit flip in it can't make another record pass as valid.
    checksum = int(crc32c(head[:4] + head[8:] + payload))
    return head[:4] + checksum.to_bytes(4, "little") + head[8:] + payload


def encode_header(magic: bytes, sequence: int, records: int = 0, version: int = VERSION) -> bytes:
    """Return the header of a segment or a snapshot.

    `sequence` is the first of a segment, or the last that a snapshot covers.
    """
    head = HEADER.pack(magic, version, 0, sequence, records, 0)
    return head[:-4] + int(crc32c(head[:-4])).to_bytes(4, "little")


def read_header(data: bytes, magic: bytes) -> tuple[int, int, int]:
    """Return version, sequence and number of records of a header; raises FormatError."""
    if len(data) < HEADER.size:
        raise FormatError("header is truncated")
    found_magic, version, _, sequence, records, checksum = HEADER.unpack_from(data)
    if found_magic != magic:
        raise FormatError("file is of another kind")
    if crc32c(data[: HEADER.size - 4]) != checksum:
        raise FormatError("header does not match its checksum")
    if version not in (VERSION, PREVIOUS_VERSION):
        raise FormatError(
            f"format version {version} is not supported; supported are {VERSION} and {PREVIOUS_VERSION}"
        )
    return version, sequence, records


def read_record(data: bytes, at: int) -> tuple[Record, int] | None:
    """Return the record at an offset and the offset of the next; None if no valid record starts there."""
    if at + FRAME.size > len(data):
        return None
    size, checksum, sequence, durable_sequence, time = FRAME.unpack_from(data, at)
    end = at + FRAME.size + size
    if size > MAX_RECORD_BYTES or end > len(data):
        return None
    if crc32c(data[at : at + 4] + data[at + 8 : end]) != checksum:
        return None
    try:
        return Record(sequence, durable_sequence, time, decode_changes(data[at + FRAME.size : end])), end
    except FormatError:
        return None


def find_durability_proof(data: bytes, at: int, lost: int) -> Record | None:
    """Return a valid record at or after offset `at` which proves that record `lost` was on disk, or None.

    Tries every offset, because the data in between is corrupt and does not tell where a record starts.
    """
    for offset in range(at, len(data) - FRAME.size + 1):
        size, _, sequence, durable_sequence, _ = FRAME.unpack_from(data, offset)
        if size <= len(data) - offset - FRAME.size and sequence > lost <= durable_sequence < sequence:
            found = read_record(data, offset)
            if found:
                return found[0]
    return None
