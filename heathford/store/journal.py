"""Write-ahead log, snapshots and recovery on a file system; no threads, no clock.

Invariant at any crash: each acknowledged record is in a valid segment or covered by a valid snapshot.

A segment supersedes all records of earlier segments from its own first sequence on. Its name, its header and
the records that it supersedes and repeats are on disk before any new record of it is acknowledged. So data
that a failed sync left behind is never read again. Recovery writes nothing but a new segment, so it may
itself crash any number of times.
"""

import errno
import threading
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from heathford.store.decisions import SNAPSHOT_PART_BYTES, DiskFailure, find_obsolete, is_segment_full
from heathford.store.files import Files
from heathford.store.format import (
    HEADER,
    LOG_MAGIC,
    LOG_NAME_FORMAT,
    NEW_SNAPSHOT_NAME_FORMAT,
    SNAPSHOT_MAGIC,
    SNAPSHOT_NAME_FORMAT,
    Change,
    FormatError,
    Record,
    encode_changes,
    encode_record,
    encode_frame,
    encode_header,
    find_durability_proof,
    read_header,
    read_record,
)
from heathford.store.views import ViewBuilder, View


class JournalError(Exception):
    """A write failed; nothing of it counts as durable."""

    def __init__(self, failure: DiskFailure, reason: str) -> None:
        super().__init__(f"{failure.value}: {reason}")
        self.failure, self.reason = failure, reason


class DamageError(Exception):
    """Records that were durable can no longer be read."""


@dataclass(frozen=True)
class Segment:
    """A log file."""

    first_sequence: int
    generation: int  # rises by one with each segment that is started

    @property
    def name(self) -> str:
        return LOG_NAME_FORMAT.format(self.first_sequence, self.generation)


@dataclass
class RecoveryResult:
    """Content and state of the files, as recovery read them."""

    view_builder: ViewBuilder = field(default_factory=ViewBuilder)
    proven_sequence: int = 0  # the last sequence that is known to be on disk
    tail: list[Record] = field(default_factory=list)  # valid records after it, perhaps only in the page cache
    segments: list[Segment] = field(default_factory=list)
    snapshots: list[int] = field(default_factory=list)  # valid ones, by the last sequence that each covers
    torn: list[str] = field(default_factory=list)  # unreadable ends of the log that were never acknowledged
    damage: list[str] = field(default_factory=list)  # acknowledged data that is lost
    covered: list[str] = field(
        default_factory=list
    )  # unreadable, but a snapshot or another file has the data
    generation: int = 0  # highest that was used
    versions: dict[str, int] = field(default_factory=dict)  # format versions, by file name

    def add_record(self, record: Record) -> None:
        self.view_builder.apply(record.changes, record.sequence, record.time)
        self.tail.append(record)
        self.mark_proven(record.durable_sequence)

    def mark_proven(self, sequence: int) -> None:
        if sequence > self.proven_sequence:
            self.proven_sequence = sequence
            self.tail = [r for r in self.tail if r.sequence > sequence]


def parse_segment_name(name: str) -> Segment | None:
    parts = name.removesuffix(".seg").split("-")
    if not name.endswith(".seg") or len(parts) != 3 or parts[0] != "log":
        return None
    try:
        return Segment(int(parts[1], 16), int(parts[2], 16))
    except ValueError:
        return None


def parse_snapshot_name(name: str) -> int | None:
    if not (name.startswith("snap-") and name.endswith(".snap")):
        return None
    try:
        return int(name[5:-5], 16)
    except ValueError:
        return None


def read_snapshot(data: bytes) -> ViewBuilder:
    """Decode a snapshot; raises FormatError if any part of it is missing or invalid."""
    _, sequence, _ = read_header(data, SNAPSHOT_MAGIC)
    builder, at, count = ViewBuilder(), HEADER.size, 0
    while True:
        found = read_record(data, at)
        if found is None:
            raise FormatError(f"invalid record at byte {at}")
        record, at = found
        count += 1
        if record.sequence != count or record.durable_sequence != sequence:
            raise FormatError("parts are out of order")
        builder.apply(record.changes, sequence, record.time)
        if not record.changes:  # an empty part ends the snapshot
            break
    if at != len(data):
        raise FormatError("data after the last part")
    return builder


def recover(files: Files) -> RecoveryResult:
    """Read the newest valid snapshot and the log after it; changes no file. Raises OSError."""
    recovered, names = RecoveryResult(), files.names()
    covered_sequences = sorted((n for n in map(parse_snapshot_name, names) if n is not None), reverse=True)
    for last in covered_sequences:
        name = SNAPSHOT_NAME_FORMAT.format(last)
        try:
            data = files.read(name)
            builder = read_snapshot(data)
            recovered.versions[name] = read_header(data, SNAPSHOT_MAGIC)[0]
        except FormatError as problem:
            recovered.covered.append(f"{name}: {problem}")
            continue
        if not recovered.snapshots:
            recovered.view_builder, recovered.proven_sequence = builder, last
        recovered.snapshots.append(last)
    segments = sorted((s for s in map(parse_segment_name, names) if s), key=lambda s: s.generation)
    # Partly written segments count too: reusing a name would put its old bytes before the new ones.
    partly_written = [
        parse_segment_name(n.removesuffix(".new") + ".seg") for n in names if n.endswith(".new")
    ]
    recovered.generation = max((s.generation for s in [*segments, *partly_written] if s), default=0)
    for index, segment in enumerate(segments):
        limit = min((s.first_sequence for s in segments[index + 1 :]), default=None)
        replay(files.read(segment.name), segment, None if limit is None else limit - 1, recovered)
        if limit is not None and not recovered.damage:
            # A segment is on disk before the next one is started.
            recovered.mark_proven(min(limit - 1, recovered.view_builder.sequence))
    return recovered


def replay(data: bytes, segment: Segment, limit: int | None, recovered: RecoveryResult) -> None:
    """Apply the records of a segment that are newer than the view.

    `limit` is the last sequence of the segment that no later segment supersedes; None for the newest segment.
    """
    name = segment.name
    if limit is not None and limit < segment.first_sequence:
        recovered.segments.append(segment)
        return  # all of its records are superseded
    if segment.first_sequence > recovered.view_builder.sequence + 1:
        recovered.damage.append(f"{name}: what comes before record {segment.first_sequence} is missing")
        return
    try:
        version, first, _ = read_header(data, LOG_MAGIC)
        if first != segment.first_sequence:
            raise FormatError("header is of another segment")
    except FormatError as problem:
        if limit is None and find_durability_proof(data, 0, segment.first_sequence) is None:
            recovered.torn.append(f"{name}: {problem}")
        elif limit is not None and limit <= recovered.view_builder.sequence:
            recovered.covered.append(f"{name}: {problem}")
        else:
            recovered.damage.append(f"{name}: {problem}")
        return
    recovered.versions[name] = version
    recovered.segments.append(segment)
    at, last = HEADER.size, segment.first_sequence - 1
    while limit is None or last < limit:
        found = read_record(data, at)
        if found is None:
            if limit is None and at == len(data):
                return  # end of the log
            next_found = find_next_record(data, at + 1, last) if at < len(data) else None
            if next_found is not None and next_found[0].sequence - 1 <= recovered.view_builder.sequence:
                recovered.covered.append(f"{name}: broken at byte {at}")
                found = next_found  # the snapshot has what is unreadable
            elif limit is not None and limit <= recovered.view_builder.sequence:
                recovered.covered.append(f"{name}: broken at byte {at}")
                return
            elif limit is None and find_durability_proof(data, at, last + 1) is None:
                recovered.torn.append(f"{name}: from byte {at} of {len(data)}")
                return
            else:
                recovered.damage.append(f"{name}: record {last + 1} at byte {at} is lost")
                return
        record, at = found
        if record.sequence > last + 1 and record.sequence - 1 > recovered.view_builder.sequence:
            recovered.damage.append(f"{name}: record {last + 1} is missing before {record.sequence}")
            return
        last = record.sequence
        if limit is not None and last > limit:
            return
        if last == recovered.view_builder.sequence + 1:
            recovered.add_record(record)
        elif last > recovered.view_builder.sequence:
            recovered.damage.append(
                f"{name}: record {recovered.view_builder.sequence + 1} is missing before {last}"
            )
            return


def find_next_record(data: bytes, at: int, last: int) -> tuple[Record, int] | None:
    """Return the next valid record of a sequence after `last`, and its end, trying every offset."""
    for offset in range(at, len(data) - HEADER.size // 2):
        found = read_record(data, offset)
        if found and found[0].sequence > last:
            return found
    return None


class Journal:
    """Writes the store's files for one process; `view` is their content as recover() read it.

    After a failed sync in a process that was then killed, recovery may read records from the page cache that
    never reached the disk. Records that nothing proves to be on disk are therefore written again, to a
    segment of their own, before any new record.
    """

    def __init__(self, files: Files, recovered: RecoveryResult) -> None:
        if recovered.damage:
            raise DamageError("; ".join(recovered.damage))
        self.files = files
        self.view = recovered.view_builder.build()
        self.snapshots, self.segments = sorted(recovered.snapshots), list(recovered.segments)
        self.generation = recovered.generation
        self.durable_sequence, self.tail = recovered.proven_sequence, list(recovered.tail)
        self.time = self.view.time
        self.segment: Segment | None = None  # the one that is written to
        self.segment_bytes = 0  # written to it
        self.log_bytes = 0  # written since the last snapshot was started
        self.snapshot_bytes = 0  # size of the last snapshot
        # Guards `snapshots` and `segments`: a snapshot is written in another thread than the log.
        self.lock = threading.Lock()
        for segment in self.segments:
            if not self.snapshots or segment.first_sequence > self.snapshots[-1]:
                self.log_bytes += files.size(segment.name)
        if self.snapshots:
            self.snapshot_bytes = files.size(SNAPSHOT_NAME_FORMAT.format(self.snapshots[-1]))

    def persist_recovered(self) -> None:
        """Make the recovered content durable; raises JournalError.

        Otherwise records that readers have seen could vanish in the next crash. Also, the file name of a
        segment that superseded a failed write could be lost, and the failed write would come back.
        """
        try:
            self.files.sync_directory()
        except OSError as problem:
            raise to_journal_error(problem, DiskFailure.SYNC) from None
        if self.tail:
            self.start_segment()

    def start_segment(self) -> None:
        """Start a new segment, with the tail that it supersedes; raises JournalError.

        The segment gets its final name once its content is on disk. Otherwise a crash in between could leave
        a segment that supersedes acknowledged records without holding them.
        """
        self.generation += 1
        segment = Segment(self.durable_sequence + 1, self.generation)
        entries = [(record.changes, record.time) for record in self.tail]
        data = encode_header(LOG_MAGIC, segment.first_sequence) + self.encode_batches(entries)
        new = segment.name.removesuffix(".seg") + ".new"
        try:
            self.files.append(new, data)
            self.files.sync(new)
            self.files.rename(new, segment.name)
            self.files.sync_directory()
        except OSError as problem:
            raise to_journal_error(problem, DiskFailure.SYNC) from None
        with self.lock:
            self.segments.append(segment)
        self.segment, self.segment_bytes = segment, len(data)
        self.durable_sequence += len(self.tail)
        self.tail = []

    def encode_batches(self, batches: Sequence[tuple[tuple[Change, ...], float]]) -> bytes:
        """Encode batches as the records that follow the last durable one."""
        parts = []
        for index, (changes, time) in enumerate(batches):
            self.time = max(self.time, time)
            parts.append(
                encode_record(
                    Record(self.durable_sequence + 1 + index, self.durable_sequence, self.time, changes)
                )
            )
        return b"".join(parts)

    def write(self, batches: Sequence[tuple[tuple[Change, ...], float]]) -> None:
        """Write each batch, with its store time, as a record; all are on disk when this returns.

        After a JournalError none of them counts as durable, and the next write starts a new segment.
        """
        if self.segment is not None and is_segment_full(self.segment_bytes):
            self.segment = None
        if self.segment is None:
            self.start_segment()
        assert self.segment
        data = self.encode_batches(batches)
        failure = DiskFailure.WRITE
        try:
            self.files.append(self.segment.name, data)
            failure = DiskFailure.SYNC
            self.files.sync(self.segment.name)
        except OSError as problem:
            self.segment = None  # the state of its pages is unknown: it is never written to again
            raise to_journal_error(problem, failure) from None
        self.segment_bytes += len(data)
        self.log_bytes += len(data)
        self.durable_sequence += len(batches)

    def snapshot(self, view: View) -> Iterator[int]:
        """Write a snapshot of a durable view, then remove the files that it makes obsolete.

        Yields the number of bytes written so far between the steps. After a JournalError a partial file is
        left, which the next snapshot overwrites.
        """
        new, name = NEW_SNAPSHOT_NAME_FORMAT.format(view.sequence), SNAPSHOT_NAME_FORMAT.format(view.sequence)
        covered_log_bytes, self.log_bytes = self.log_bytes, 0
        try:
            if new in self.files.names():
                self.files.remove(new)
            self.files.append(new, encode_header(SNAPSHOT_MAGIC, view.sequence))
            written = 0
            for part in encode_snapshot_parts(view):
                self.files.append(new, part)
                written += len(part)
                yield written
            self.files.sync(new)
            yield written
            # Reads the snapshot back before the log that it covers is removed, in case a page is bad.
            reread = read_snapshot(self.files.read(new))
            if reread.sequence != view.sequence or sum(map(len, reread.spaces.values())) != len(view):
                raise JournalError(DiskFailure.WRITE, f"{new} differs from what was written when read back")
            self.files.rename(new, name)
            self.files.sync_directory()
            yield written
            with self.lock:
                if view.sequence not in self.snapshots:
                    self.snapshots.append(view.sequence)
            self.snapshot_bytes = written
            yield from self.remove_obsolete()
        except FormatError as problem:
            self.log_bytes += covered_log_bytes
            raise JournalError(DiskFailure.WRITE, f"{new}: {problem}") from None
        except OSError as problem:
            self.log_bytes += covered_log_bytes
            raise to_journal_error(problem, DiskFailure.WRITE) from None

    def remove_obsolete(self) -> Iterator[int]:
        """Remove obsolete segments, then obsolete snapshots, so that a crash leaves rather too many files."""
        with self.lock:
            obsolete_snapshots, indexes = find_obsolete(
                self.snapshots, [s.first_sequence for s in self.segments]
            )
            obsolete_segments = [self.segments[index] for index in indexes]
        for segment in obsolete_segments:
            self.files.remove(segment.name)
            with self.lock:
                self.segments.remove(segment)
            yield 0
        for last in obsolete_snapshots:
            self.files.remove(SNAPSHOT_NAME_FORMAT.format(last))
            with self.lock:
                self.snapshots.remove(last)
            yield 0
        # Partly written segments that a crash partial; recovery does not read them.
        for name in self.files.names():
            if name.startswith("log-") and name.endswith(".new"):
                partial = parse_segment_name(name.removesuffix(".new") + ".seg")
                if partial and partial.generation < self.generation:
                    self.files.remove(name)
        if obsolete_segments or obsolete_snapshots:
            self.files.sync_directory()


def encode_snapshot_parts(view: View) -> Iterator[bytes]:
    """Yield the records of a snapshot: puts of all entries, then an empty record that marks its end."""
    count, changes, size = 0, list[Change](), 0
    for space, key, (value, expires_at) in view.entries():
        changes.append(Change(space, key, value, expires_at))
        size += len(key) + len(value)
        if size >= SNAPSHOT_PART_BYTES:
            count += 1
            yield encode_frame(encode_changes(changes), count, view.sequence, view.time)
            changes, size = [], 0
    if changes:
        count += 1
        yield encode_frame(encode_changes(changes), count, view.sequence, view.time)
    yield encode_frame(b"", count + 1, view.sequence, view.time)


def to_journal_error(problem: OSError, failure: DiskFailure) -> JournalError:
    """Return the error for a failed operation, as NO_SPACE if the disk or the quota is full."""
    full = problem.errno in (errno.ENOSPC, errno.EDQUOT)
    return JournalError(DiskFailure.NO_SPACE if full else failure, problem.strerror or repr(problem))
