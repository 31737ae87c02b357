"""What the store does when the disk is full, slow or failing, and when it tidies up; no I/O."""

from collections.abc import Sequence
from enum import Enum

SEGMENT = 8 << 20  # bytes at which a segment is sealed: read in a fraction of a second at recovery
LEAST_LOG = 4 << 20  # bytes of log beyond the last snapshot below which no new one is worth its writing
RATIO = 1.0  # of the log beyond the last snapshot to that snapshot: space is some three times the data
MOST_PENDING = 16 << 20  # bytes that wait for the disk, beyond which writes are refused: memory is bounded
SLOW = 1.0  # s that a sync may take before the disk counts as slow
RETRY = 1.0  # s after a full disk or a failed sync until it is tried again, doubled each time
RETRY_MOST = 30.0  # s
PART = 16 << 10  # bytes of a snapshot made at once: a millisecond in which the loop may have to wait
PAUSE = 0.002  # s between two such parts: some 30 MB/s at the most, so that syncs of the log stay short
JUMP = 5.0  # s that the wall clock may be behind the store's before it counts as set back


class State(Enum):
    OPEN = "open"
    SLOW = "slow"  # the disk takes long; writes wait, and are refused beyond a bound
    FULL = "full"  # no room on the disk: writes are refused, reads go on
    FAILED = "failed"  # a write or sync failed: what was not acknowledged is given up, writes are refused
    CLOSED = "closed"


class Trouble(Enum):
    NO_SPACE = "no space left"
    WRITE = "a write failed"
    SYNC = "a sync failed"


class Health:
    """The state of the store, by what the disk answered. Guards against a disk that fails and then takes
    what it lost for written (a second sync may succeed though the pages are gone): nothing is written to a
    file again whose sync failed. Could harm where a failure was a passing one: writes are refused until the
    next try, a second or more."""

    def __init__(self) -> None:
        self.state = State.OPEN
        self.retry_at, self.wait = 0.0, RETRY
        self.why = ""
        self.pending = 0  # bytes

    def admits(self, size: int, now: float) -> bool:
        """Whether a write is taken. One at the time of a retry is the try."""
        if self.state in (State.FULL, State.FAILED):
            return now >= self.retry_at
        return self.state is not State.CLOSED and self.pending + size <= MOST_PENDING

    def wrote(self, took: float) -> None:
        """A group of writes is on disk after so many s."""
        self.state = State.SLOW if took > SLOW else State.OPEN
        self.wait, self.why = RETRY, ""

    def failed(self, trouble: Trouble, why: str, now: float) -> None:
        self.state = State.FULL if trouble is Trouble.NO_SPACE else State.FAILED
        self.why = f"{trouble.value}: {why}"
        self.retry_at = now + self.wait
        self.wait = min(2 * self.wait, RETRY_MOST)

    def closed(self) -> None:
        self.state = State.CLOSED


def seals(size: int) -> bool:
    return size >= SEGMENT


def compacts(log: int, snapshot: int, state: State) -> bool:
    """Whether a new snapshot is due; log: bytes since the last; on a full disk none is begun, as it needs
    room before it gives any."""
    return state in (State.OPEN, State.SLOW) and log >= max(LEAST_LOG, RATIO * snapshot)


def droppable(snapshots: Sequence[int], firsts: Sequence[int]) -> tuple[list[int], list[int]]:
    """Which snapshots may go, and which segments, by their places. snapshots: the last sequence that each
    covers; firsts: the first of each segment, in the order in which they were begun.

    The newest two snapshots stay, and all log since the older of them: a bit that flips in the newest must
    lose nothing. A segment goes where a later one begins within what the older snapshot covers.
    """
    kept = sorted(snapshots)[-2:]
    if len(kept) < 2:
        return [], []
    old = [place for place in range(len(firsts) - 1) if min(firsts[place + 1 :]) <= kept[0] + 1]
    return [s for s in sorted(snapshots) if s < kept[0]], old


class Clock:
    """Store time: never behind what was recorded; in service it runs on by a clock that nobody sets.

    Guards against a wall clock that is set: back, by which what has expired would come back, or forward in
    service, by which all that is kept would expire at once and what it answers for would run again. Between
    two starts only the wall clock can tell how long it was: set forward there by mistake, it still expires
    too much; set back, too little. What is put lasts as long as was asked, whatever the wall clock says.
    """

    def __init__(self, latest: float, wall: float, steady: float) -> None:
        self.base, self.steady = max(latest, wall), steady
        self.behind = wall < latest - JUMP

    def now(self, steady: float) -> float:
        """steady: s on the monotonic clock."""
        return self.base + max(0.0, steady - self.steady)
