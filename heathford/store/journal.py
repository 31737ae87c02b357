"""Log, snapshots and recovery on a file system, step by step; no threads, no clock.

What holds at any crash: each acknowledged record is in a whole segment or covered by a whole snapshot. A
segment gets its name, header and all that it supersedes on disk before any record of it is acknowledged; it
supersedes all that earlier ones have from its first sequence on. So what a failed sync left behind is never
read again, and recovery changes nothing but by beginning another segment: it may crash as often as it likes.
"""

import errno
import threading
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from heathford.store.decisions import PART, Trouble, droppable, seals
from heathford.store.files import Files
from heathford.store.format import (
    HEADER,
    LOG,
    LOG_FORM,
    NEW_FORM,
    SNAPSHOT,
    SNAPSHOT_FORM,
    Change,
    FormatError,
    Record,
    encode_changes,
    encode_record,
    frame,
    header,
    proof_after,
    read_header,
    record_at,
)
from heathford.store.views import ViewBuilder, View


class JournalError(Exception):
    """A write that is not on disk; nothing of it is held to be."""

    def __init__(self, trouble: Trouble, why: str) -> None:
        super().__init__(f"{trouble.value}: {why}")
        self.trouble, self.why = trouble, why


class DamageError(Exception):
    """Something that was on disk can't be read any more."""


@dataclass(frozen=True)
class Segment:
    first: int
    generation: int  # in the order in which they were begun

    @property
    def name(self) -> str:
        return LOG_FORM.format(self.first, self.generation)


@dataclass
class RecoveryResult:
    """What recovery saw."""

    view_builder: ViewBuilder = field(default_factory=ViewBuilder)
    proven: int = 0  # the last sequence that was on disk for certain
    tail: list[Record] = field(default_factory=list)  # what follows: whole, but perhaps only in memory
    segments: list[Segment] = field(default_factory=list)
    snapshots: list[int] = field(default_factory=list)  # whole ones, by the last sequence that they cover
    torn: list[str] = field(default_factory=list)  # never acknowledged, and not read
    damage: list[str] = field(default_factory=list)  # what is lost
    covered: list[str] = field(default_factory=list)  # broken, but a snapshot or another file has it
    generation: int = 0
    versions: dict[str, int] = field(default_factory=dict)  # formats, by file

    def take(self, record: Record) -> None:
        self.view_builder.take(record.changes, record.sequence, record.time)
        self.tail.append(record)
        self.prove(record.durable)

    def prove(self, sequence: int) -> None:
        if sequence > self.proven:
            self.proven = sequence
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
    """Raises FormatError unless it is whole."""
    _, sequence, _ = read_header(data, SNAPSHOT)
    grown, at, count = ViewBuilder(), HEADER.size, 0
    while True:
        found = record_at(data, at)
        if found is None:
            raise FormatError(f"broken at byte {at}")
        record, at = found
        count += 1
        if record.sequence != count or record.durable != sequence:
            raise FormatError("parts out of order")
        grown.take(record.changes, sequence, record.time)
        if not record.changes:  # the last: an empty part after at least none
            break
    if at != len(data):
        raise FormatError("bytes after its end")
    return grown


def recover(files: Files) -> RecoveryResult:
    """Reads all that is there; raises OSError where that fails. Changes nothing."""
    found, names = RecoveryResult(), files.names()
    covers = sorted((n for n in map(parse_snapshot_name, names) if n is not None), reverse=True)
    for last in covers:
        name = SNAPSHOT_FORM.format(last)
        try:
            data = files.read(name)
            grown = read_snapshot(data)
            found.versions[name] = read_header(data, SNAPSHOT)[0]
        except FormatError as problem:
            found.covered.append(f"{name}: {problem}")
            continue
        if not found.snapshots:
            found.view_builder, found.proven = grown, last
        found.snapshots.append(last)
    segments = sorted((s for s in map(parse_segment_name, names) if s), key=lambda s: s.generation)
    # Half written ones count too: a name is never used twice, or its old bytes would come before the new.
    begun = [parse_segment_name(n.removesuffix(".new") + ".seg") for n in names if n.endswith(".new")]
    found.generation = max((s.generation for s in [*segments, *begun] if s), default=0)
    for place, segment in enumerate(segments):
        limit = min((s.first for s in segments[place + 1 :]), default=None)
        replay(files.read(segment.name), segment, None if limit is None else limit - 1, found)
        if limit is not None and not found.damage:
            found.prove(
                min(limit - 1, found.view_builder.sequence)
            )  # it was on disk before the next was begun
    return found


def replay(data: bytes, segment: Segment, limit: int | None, found: RecoveryResult) -> None:
    """Applies what a segment holds beyond the view; limit: its last sequence that counts, None for the
    newest segment."""
    name = segment.name
    if limit is not None and limit < segment.first:
        found.segments.append(segment)
        return  # superseded as a whole
    if segment.first > found.view_builder.sequence + 1:
        found.damage.append(f"{name}: what comes before record {segment.first} is missing")
        return
    try:
        version, first, _ = read_header(data, LOG)
        if first != segment.first:
            raise FormatError("another segment's header")
    except FormatError as problem:
        if limit is None and proof_after(data, 0, segment.first) is None:
            found.torn.append(f"{name}: {problem}")
        elif limit is not None and limit <= found.view_builder.sequence:
            found.covered.append(f"{name}: {problem}")
        else:
            found.damage.append(f"{name}: {problem}")
        return
    found.versions[name] = version
    found.segments.append(segment)
    at, last = HEADER.size, segment.first - 1
    while limit is None or last < limit:
        whole = record_at(data, at)
        if whole is None:
            if limit is None and at == len(data):
                return  # its end
            again = next_whole(data, at + 1, last) if at < len(data) else None
            if again is not None and again[0].sequence - 1 <= found.view_builder.sequence:
                found.covered.append(f"{name}: broken at byte {at}")
                whole = again  # what is broken, the snapshot has
            elif limit is not None and limit <= found.view_builder.sequence:
                found.covered.append(f"{name}: broken at byte {at}")
                return
            elif limit is None and proof_after(data, at, last + 1) is None:
                found.torn.append(f"{name}: from byte {at} of {len(data)}")
                return
            else:
                found.damage.append(f"{name}: record {last + 1} at byte {at} is lost")
                return
        record, at = whole
        if record.sequence > last + 1 and record.sequence - 1 > found.view_builder.sequence:
            found.damage.append(f"{name}: record {last + 1} is missing before {record.sequence}")
            return
        last = record.sequence
        if limit is not None and last > limit:
            return
        if last == found.view_builder.sequence + 1:
            found.take(record)
        elif last > found.view_builder.sequence:
            found.damage.append(f"{name}: record {found.view_builder.sequence + 1} is missing before {last}")
            return


def next_whole(data: bytes, at: int, last: int) -> tuple[Record, int] | None:
    """The next whole record of a later sequence, wherever it begins."""
    for place in range(at, len(data) - HEADER.size // 2):
        found = record_at(data, place)
        if found and found[0].sequence > last:
            return found
    return None


class Journal:
    """The store's files, as one process writes them, and `view`, their content as recover() found it.

    Guards against records that were read from memory's copy of a file and never reached the disk, as after
    a sync that failed under a process that was then killed: what nothing proves to be on disk is written
    once more, to a segment of its own, before anything that follows it.
    """

    def __init__(self, files: Files, found: RecoveryResult) -> None:
        if found.damage:
            raise DamageError("; ".join(found.damage))
        self.files = files
        self.view = found.view_builder.build()
        self.snapshots, self.segments = sorted(found.snapshots), list(found.segments)
        self.generation = found.generation
        self.durable, self.tail = found.proven, list(found.tail)
        self.time = self.view.time
        self.segment: Segment | None = None  # that is written to
        self.size = 0  # of it, bytes
        self.log = 0  # bytes since the last snapshot was begun
        self.snapshot_size = 0
        self.guard = threading.Lock()  # of the two lists: a snapshot is written beside the log
        for segment in self.segments:
            if not self.snapshots or segment.first > self.snapshots[-1]:
                self.log += files.size(segment.name)
        if self.snapshots:
            self.snapshot_size = files.size(SNAPSHOT_FORM.format(self.snapshots[-1]))

    def persist_recovered(self) -> None:
        """Puts what was found on disk for certain. Guards against what readers have seen vanishing again, and
        against a name lost by which a write that failed was superseded: it would come back. Raises
        JournalError."""
        try:
            self.files.sync_directory()
        except OSError as problem:
            raise failure(problem, Trouble.SYNC) from None
        if self.tail:
            self.begin_segment()

    def begin_segment(self) -> None:
        """It gets its name with all that it supersedes in it and on disk. Guards against a crash between, by
        which what was acknowledged would be superseded by nothing."""
        self.generation += 1
        segment = Segment(self.durable + 1, self.generation)
        entries = [(record.changes, record.time) for record in self.tail]
        data = header(LOG, segment.first) + self.encoded(entries)
        new = segment.name.removesuffix(".seg") + ".new"
        try:
            self.files.append(new, data)
            self.files.sync(new)
            self.files.rename(new, segment.name)
            self.files.sync_directory()
        except OSError as problem:
            raise failure(problem, Trouble.SYNC) from None
        with self.guard:
            self.segments.append(segment)
        self.segment, self.size = segment, len(data)
        self.durable += len(self.tail)
        self.tail = []

    def encoded(self, batches: Sequence[tuple[tuple[Change, ...], float]]) -> bytes:
        """Records that follow the last on disk."""
        parts = []
        for place, (changes, time) in enumerate(batches):
            self.time = max(self.time, time)
            parts.append(encode_record(Record(self.durable + 1 + place, self.durable, self.time, changes)))
        return b"".join(parts)

    def write(self, batches: Sequence[tuple[tuple[Change, ...], float]]) -> None:
        """Each batch with its time becomes a record; all are on disk once this returns. Raises JournalError:
        none is held to be, and what comes next is written to another segment."""
        if self.segment is not None and seals(self.size):
            self.segment = None
        if self.segment is None:
            self.begin_segment()
        assert self.segment
        data = self.encoded(batches)
        trouble = Trouble.WRITE
        try:
            self.files.append(self.segment.name, data)
            trouble = Trouble.SYNC
            self.files.sync(self.segment.name)
        except OSError as problem:
            self.segment = None  # what became of its pages nobody knows: it is never written to again
            raise failure(problem, trouble) from None
        self.size += len(data)
        self.log += len(data)
        self.durable += len(batches)

    def snapshot(self, view: View) -> Iterator[int]:
        """Writes one of a durable view, then drops what it makes needless; yields the bytes written so far
        between steps. Raises JournalError: what it had written is left, and overwritten by the next."""
        new, name = NEW_FORM.format(view.sequence), SNAPSHOT_FORM.format(view.sequence)
        covered, self.log = self.log, 0
        try:
            if new in self.files.names():
                self.files.remove(new)
            self.files.append(new, header(SNAPSHOT, view.sequence))
            written = 0
            for part in parts_of(view):
                self.files.append(new, part)
                written += len(part)
                yield written
            self.files.sync(new)
            yield written
            # Guards against a bad page: it must be read back whole before the log that it covers goes.
            again = read_snapshot(self.files.read(new))
            if again.sequence != view.sequence or sum(map(len, again.spaces.values())) != len(view):
                raise JournalError(Trouble.WRITE, f"{new} was read back otherwise than written")
            self.files.rename(new, name)
            self.files.sync_directory()
            yield written
            with self.guard:
                if view.sequence not in self.snapshots:
                    self.snapshots.append(view.sequence)
            self.snapshot_size = written
            yield from self.drop()
        except FormatError as problem:
            self.log += covered
            raise JournalError(Trouble.WRITE, f"{new}: {problem}") from None
        except OSError as problem:
            self.log += covered
            raise failure(problem, Trouble.WRITE) from None

    def drop(self) -> Iterator[int]:
        """Removes what two snapshots make needless; log first, so that a crash leaves too much."""
        with self.guard:
            old, places = droppable(self.snapshots, [s.first for s in self.segments])
            gone = [self.segments[place] for place in places]
        for segment in gone:
            self.files.remove(segment.name)
            with self.guard:
                self.segments.remove(segment)
            yield 0
        for last in old:
            self.files.remove(SNAPSHOT_FORM.format(last))
            with self.guard:
                self.snapshots.remove(last)
            yield 0
        # What a crash left half written, under no name that counts.
        for name in self.files.names():
            if name.startswith("log-") and name.endswith(".new"):
                left = parse_segment_name(name.removesuffix(".new") + ".seg")
                if left and left.generation < self.generation:
                    self.files.remove(name)
        if gone or old:
            self.files.sync_directory()


def parts_of(view: View) -> Iterator[bytes]:
    """A snapshot's parts: puts in order, then an empty one."""
    count, held, size = 0, list[Change](), 0
    for space, key, (value, until) in view.entries():
        held.append(Change(space, key, value, until))
        size += len(key) + len(value)
        if size >= PART:
            count += 1
            yield frame(encode_changes(held), count, view.sequence, view.time)
            held, size = [], 0
    if held:
        count += 1
        yield frame(encode_changes(held), count, view.sequence, view.time)
    yield frame(b"", count + 1, view.sequence, view.time)


def failure(problem: OSError, trouble: Trouble) -> JournalError:
    full = problem.errno in (errno.ENOSPC, errno.EDQUOT)
    return JournalError(Trouble.NO_SPACE if full else trouble, problem.strerror or repr(problem))
