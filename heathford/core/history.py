"""A ring buffer of request events, written to the log when something is wrong.

Each request makes several records. They are stored as tuples, which are cheap and which the garbage collector
doesn't scan, and returned as `Record`.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

MAX_RECORDS = 4_096  # some hundred requests of a busy front node, so what led to a violation is among them
MAX_WRITTEN_RECORDS = 400  # at once: each is a log line


@dataclass(frozen=True)
class Record:
    """One event. time: s on the loop's clock; attempt: its number within the request, -1 for none."""

    time: float
    request: str
    event: str
    attempt: int
    engine: str
    reason: str


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """Records the events of one attempt.

    Refers to neither the attempt nor its request, so that whoever keeps it keeps neither in memory.
    """

    history: "History"
    request: str
    attempt: int
    engine: str

    def record(self, event: str, reason: str = "", engine: str = "") -> None:
        """Record an event. engine: where it is another one than that of the attempt."""
        self.history.add(self.request, event, reason, self.attempt, engine or self.engine)


class History:
    """A ring buffer of records, and counts of all reasons since the process started."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.records: deque[tuple[float, str, str, int, str, str]] = deque(maxlen=MAX_RECORDS)
        self.reasons: Counter[tuple[str, str]] = Counter()  # by event and reason

    def add(self, request: str, event: str, reason: str = "", attempt: int = -1, engine: str = "") -> None:
        self.records.append((self.clock(), request, event, attempt, engine, reason))
        if reason:
            self.reasons[event, reason] += 1

    def event_lines(self, request: str) -> list[str]:
        """Return the events of one request in order, each as a line with its reason."""
        return [": ".join(filter(None, (record.event, record.reason))) for record in self.of(request)]

    def of(self, request: str) -> list[Record]:
        """Return the records of one request that are still in the buffer."""
        return [Record(*record) for record in self.records if record[1] == request]

    def newest(self) -> Iterator[Record]:
        """Return the last `MAX_WRITTEN_RECORDS` records, oldest first."""
        skipped = max(0, len(self.records) - MAX_WRITTEN_RECORDS)
        return (Record(*record) for place, record in enumerate(self.records) if place >= skipped)
