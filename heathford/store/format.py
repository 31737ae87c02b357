"""The store's bytes, both ways; no I/O. docs/design/store.md has them one by one.

All numbers are little endian. A record is one atomic batch of changes. Each record says up to which one all
were on disk when it was written: so a bad record is known to be lost (a later one proves that it was
acknowledged) or torn (nothing does).
"""

import struct
from collections.abc import Sequence
from dataclasses import dataclass

from google_crc32c import value as crc32c

VERSION, BEFORE = 2, 1  # of the format: version 1 knows no expiry
LOG, SNAPSHOT = b"HFSTORE\0", b"HFSNAP\0\0"
HEADER = struct.Struct("<8sHHQQI")  # magic, version, flags, first (or last) sequence, records, crc of these
FRAME = struct.Struct("<IIQQd")  # length of the payload, crc of all that follows, sequence, durable, time
CHANGE = struct.Struct("<BBHI")  # kind, length of namespace, of key, of value
EXPIRY = struct.Struct("<d")  # s of store time, after the change's head, where the kind has one
PUT, DELETE, PUT_UNTIL = 1, 2, 3
MOST = 64 << 20  # bytes of one record: beyond it a length is nonsense, and memory would be taken for it

LOG_FORM, SNAPSHOT_FORM, NEW_FORM = "log-{:016x}-{:08x}.seg", "snap-{:016x}.snap", "snap-{:016x}.new"


class FormatError(Exception):
    """Bytes that are no record, snapshot or header."""


@dataclass(frozen=True)
class Change:
    """value: None deletes; until: s of store time at which it is gone, or None."""

    space: str
    key: bytes
    value: bytes | None
    until: float | None = None


@dataclass(frozen=True)
class Record:
    sequence: int
    durable: int  # the last sequence known to be on disk when this was written
    time: float  # of the store, s
    changes: tuple[Change, ...]


def encode_changes(changes: Sequence[Change], version: int = VERSION) -> bytes:
    parts = []
    for change in changes:
        space, value = change.space.encode(), change.value or b""
        kind = DELETE if change.value is None else PUT if change.until is None else PUT_UNTIL
        if kind == PUT_UNTIL and version == BEFORE:
            raise FormatError("version 1 knows no expiry")
        if len(space) > 255 or len(change.key) > 65_535 or len(value) > MOST:
            raise FormatError("a name, key or value too long")
        parts.append(CHANGE.pack(kind, len(space), len(change.key), len(value)))
        if change.until is not None and kind == PUT_UNTIL:
            parts.append(EXPIRY.pack(change.until))
        parts += [space, change.key, value]
    return b"".join(parts)


def decode_changes(data: bytes) -> tuple[Change, ...]:
    found, at = [], 0
    try:
        while at < len(data):
            kind, space_size, key_size, value_size = CHANGE.unpack_from(data, at)
            at += CHANGE.size
            until = None
            if kind == PUT_UNTIL:
                until = EXPIRY.unpack_from(data, at)[0]
                at += EXPIRY.size
            elif kind not in (PUT, DELETE):
                raise FormatError(f"a change of kind {kind}")
            end = at + space_size + key_size + value_size
            if end > len(data):
                raise FormatError("a change cut off")
            space = data[at : at + space_size].decode()
            key = data[at + space_size : at + space_size + key_size]
            value = None if kind == DELETE else data[end - value_size : end]
            found.append(Change(space, key, value, until))
            at = end
    except (struct.error, UnicodeDecodeError) as problem:
        raise FormatError(f"no changes: {problem}") from None
    return tuple(found)


def encode_record(record: Record, version: int = VERSION) -> bytes:
    payload = encode_changes(record.changes, version)
    if len(payload) > MOST:
        raise FormatError(f"a batch of {len(payload)} bytes; allowed are {MOST}")
    return frame(payload, record.sequence, record.durable, record.time)


def frame(payload: bytes, sequence: int, durable: int, time: float) -> bytes:
    head = FRAME.pack(len(payload), 0, sequence, durable, time)
    # The length is under the checksum too: one bit of it flipped must not pass for another record.
    check = int(crc32c(head[:4] + head[8:] + payload))
    return head[:4] + check.to_bytes(4, "little") + head[8:] + payload


def header(magic: bytes, sequence: int, records: int = 0, version: int = VERSION) -> bytes:
    """Of a segment: its first sequence; of a snapshot: the last that it covers, and how many records."""
    head = HEADER.pack(magic, version, 0, sequence, records, 0)
    return head[:-4] + int(crc32c(head[:-4])).to_bytes(4, "little")


def read_header(data: bytes, magic: bytes) -> tuple[int, int, int]:
    """Version, sequence, records; raises FormatError."""
    if len(data) < HEADER.size:
        raise FormatError("a header cut off")
    found, version, _, sequence, records, check = HEADER.unpack_from(data)
    if found != magic:
        raise FormatError("another kind of file")
    if crc32c(data[: HEADER.size - 4]) != check:
        raise FormatError("a header that does not match its checksum")
    if version not in (VERSION, BEFORE):
        raise FormatError(f"format version {version}; read are {VERSION} and {BEFORE}")
    return version, sequence, records


def record_at(data: bytes, at: int) -> tuple[Record, int] | None:
    """The whole record there, and where the next begins; None where there is none."""
    if at + FRAME.size > len(data):
        return None
    size, check, sequence, durable, time = FRAME.unpack_from(data, at)
    end = at + FRAME.size + size
    if size > MOST or end > len(data):
        return None
    if crc32c(data[at : at + 4] + data[at + 8 : end]) != check:
        return None
    try:
        return Record(sequence, durable, time, decode_changes(data[at + FRAME.size : end])), end
    except FormatError:
        return None


def proof_after(data: bytes, at: int, lost: int) -> Record | None:
    """A whole record somewhere beyond `at` which proves that the one of sequence `lost` was on disk.

    Looks at every byte: what stands between is broken, so nothing says where a record begins.
    """
    for place in range(at, len(data) - FRAME.size + 1):
        size, _, sequence, durable, _ = FRAME.unpack_from(data, place)
        if size <= len(data) - place - FRAME.size and sequence > lost <= durable < sequence:
            found = record_at(data, place)
            if found:
                return found[0]
    return None
