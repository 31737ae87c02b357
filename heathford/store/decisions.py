"""Policies of the store for a full, slow or failing disk, for compaction and for its clock; no I/O."""

from collections.abc import Sequence
from enum import Enum

# A segment of this size is sealed; recovery reads one in a fraction of a second.
SEGMENT_BYTES = 8 << 20
# A new snapshot is not worth writing while the log since the last one is shorter.
MIN_COMPACTION_LOG_BYTES = 4 << 20
# A new snapshot is due when the log since the last one reaches this multiple of that snapshot's size. The
# store then takes about three times the space of its data.
COMPACTION_RATIO = 1.0
# Writes are refused beyond this many unsynced bytes, to bound memory.
MAX_PENDING_BYTES = 16 << 20
SLOW_SYNC_SECONDS = 1.0  # a sync that takes longer makes the disk count as slow
RETRY_DELAY_SECONDS = 1.0  # after a full disk or a failed sync; doubled after each further failure
MAX_RETRY_DELAY_SECONDS = 30.0
# A snapshot is encoded in parts of this size; each may hold up the event loop for a millisecond.
SNAPSHOT_PART_BYTES = 16 << 10
# Limits a snapshot to about 30 MB/s, so that syncs of the log stay short.
SNAPSHOT_PART_PAUSE_SECONDS = 0.002
# A wall clock further behind the store's clock counts as set back.
CLOCK_LAG_TOLERANCE_SECONDS = 5.0


class State(Enum):
    """State of the store, as the disk's last answers imply it."""

    OPEN = "open"
    SLOW = "slow"  # syncs are slow: writes queue up, and are refused beyond MAX_PENDING_BYTES
    FULL = "full"  # no space left on the disk: writes are refused, reads continue
    FAILED = "failed"  # a write or sync failed: unacknowledged writes were dropped, new ones are refused
    CLOSED = "closed"


class DiskFailure(Enum):
    """Kind of a failed disk operation."""

    NO_SPACE = "no space left"
    WRITE = "a write failed"
    SYNC = "a sync failed"


class Health:
    """Tracks the state of the store from the results of its disk operations.

    After a failed sync, a second sync of the same file may succeed although the kernel has dropped the dirty
    pages. A file whose sync failed is therefore never written to again. The cost of a transient failure is
    that writes are refused until the next retry, a second or more later.
    """

    def __init__(self) -> None:
        self.state = State.OPEN
        self.retry_at, self.retry_delay = 0.0, RETRY_DELAY_SECONDS
        self.reason = ""  # of the last failure
        self.pending_bytes = 0

    def accepts(self, size: int, now: float) -> bool:
        """Return whether a write of `size` bytes is accepted; after a failure, the next retry is a write."""
        if self.state in (State.FULL, State.FAILED):
            return now >= self.retry_at
        return self.state is not State.CLOSED and self.pending_bytes + size <= MAX_PENDING_BYTES

    def record_success(self, duration: float) -> None:
        """Record that a group of writes was synced in `duration` seconds."""
        self.state = State.SLOW if duration > SLOW_SYNC_SECONDS else State.OPEN
        self.retry_delay, self.reason = RETRY_DELAY_SECONDS, ""

    def record_failure(self, failure: DiskFailure, reason: str, now: float) -> None:
        self.state = State.FULL if failure is DiskFailure.NO_SPACE else State.FAILED
        self.reason = f"{failure.value}: {reason}"
        self.retry_at = now + self.retry_delay
        self.retry_delay = min(2 * self.retry_delay, MAX_RETRY_DELAY_SECONDS)

    def mark_closed(self) -> None:
        self.state = State.CLOSED


def is_segment_full(size: int) -> bool:
    return size >= SEGMENT_BYTES


def should_compact(log_bytes: int, snapshot_bytes: int, state: State) -> bool:
    """Return whether a new snapshot is due, given the log written since the last one and that one's size.

    None is started on a full disk, because it needs space before it frees any.
    """
    return state in (State.OPEN, State.SLOW) and log_bytes >= max(
        MIN_COMPACTION_LOG_BYTES, COMPACTION_RATIO * snapshot_bytes
    )


def find_obsolete(snapshots: Sequence[int], first_sequences: Sequence[int]) -> tuple[list[int], list[int]]:
    """Return the snapshots that may be removed, and the indexes of the segments that may be removed.

    `snapshots` has the last sequence that each snapshot covers; `first_sequences` the first sequence of each
    segment, in the order in which the segments were started.

    The newest two snapshots are kept with all log since the older one, so that a bit flip in the newest loses
    nothing. A segment is obsolete once a later one starts within what the older snapshot covers.
    """
    kept = sorted(snapshots)[-2:]
    if len(kept) < 2:
        return [], []
    obsolete = [
        index for index in range(len(first_sequences) - 1) if min(first_sequences[index + 1 :]) <= kept[0] + 1
    ]
    return [s for s in sorted(snapshots) if s < kept[0]], obsolete


class Clock:
    """Store time: starts at the wall clock or the last recorded time, then follows the monotonic clock.

    It is not affected by changes of the wall clock while the store is open. Set back, the wall clock would
    bring expired entries back; set forward, it would expire everything at once, and non-idempotent requests
    whose answers are stored would run again. Between two starts only the wall clock tells how much time has
    passed: if it was wrongly set forward, too much expires; if back, too little. An entry written in this
    run always lasts for its full time to live.
    """

    def __init__(self, latest: float, wall_time: float, monotonic_time: float) -> None:
        """`latest` is the last store time that was recorded."""
        self.base, self.monotonic_time = max(latest, wall_time), monotonic_time
        self.wall_clock_is_behind = wall_time < latest - CLOCK_LAG_TOLERANCE_SECONDS

    def now(self, monotonic_time: float) -> float:
        """Return store time in seconds for a reading of the monotonic clock."""
        return self.base + max(0.0, monotonic_time - self.monotonic_time)
