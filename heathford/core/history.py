"""What happened to the last few thousand requests, kept in memory and written out when something is wrong.

Several records are made for each request: they are kept as tuples, which cost least and which the garbage
collector does not look at, and told as `Record`.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

RECORDS = 4_096  # some hundred requests of a busy front node: what led to a violation is among them
WRITTEN_AT_MOST = 400  # records written out at once: a log line each


@dataclass(frozen=True)
class Record:
    """time: s on the loop's clock; attempt: its number, -1 where none is meant."""

    time: float
    request: str
    event: str
    attempt: int
    engine: str
    reason: str


class History:
    """A ring of records, and counts of all reasons since the start."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.records: deque[tuple[float, str, str, int, str, str]] = deque(maxlen=RECORDS)
        self.reasons: Counter[tuple[str, str]] = Counter()  # by event and reason

    def add(self, request: str, event: str, reason: str = "", attempt: int = -1, engine: str = "") -> None:
        self.records.append((self.clock(), request, event, attempt, engine, reason))
        if reason:
            self.reasons[event, reason] += 1

    def told(self, request: str) -> list[str]:
        """Events of one request with their reasons, in order, as lines."""
        return [": ".join(filter(None, (record.event, record.reason))) for record in self.of(request)]

    def of(self, request: str) -> list[Record]:
        """All that is still known of one request."""
        return [Record(*record) for record in self.records if record[1] == request]

    def newest(self) -> Iterator[Record]:
        """The last records, oldest first."""
        skipped = max(0, len(self.records) - WRITTEN_AT_MOST)
        return (Record(*record) for place, record in enumerate(self.records) if place >= skipped)
