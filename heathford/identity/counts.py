"""Count requests in periods, with totals that are consistent across restarts; no I/O.

The number of accepted requests (`taken`) is always the sum of the outcomes and of the requests in progress.
Requests that were in progress when a front node crashed or was killed are found at its next start, and
counted there as an outcome of their own (`cut_off`), so that no request is counted twice or lost.
"""

from collections.abc import Mapping

import orjson

SPACE = "counts"  # the namespace in the store
PERIOD = 60.0  # s: fine enough for a chart of a day, which has 1,440 entries
PERIOD_RETENTION = 90 * 86_400.0  # s that a period is kept, for quarterly reports; totals are kept for ever
# These names are keys in the store, and attributes of the object in which the core counts requests.
NAMES = ("taken", "finished", "rate_limited", "aborted", "left")
OUTCOMES = ("finished", "rate_limited", "aborted", "left", "cut_off")
TOTALS = b"totals"


def period_key(now: float) -> bytes:
    """Return the store key of the period of that time. now: s of store time."""
    return b"%012d" % int(now // PERIOD)


def add_counts(value: bytes | None, increase: Mapping[str, int]) -> bytes:
    """Return the stored counts with others added; None stands for no counts."""
    counts: dict[str, int] = orjson.loads(value) if value else {}
    for name, count in increase.items():
        counts[name] = counts.get(name, 0) + count
    return orjson.dumps(counts)


def count_unfinished(totals: bytes | None) -> int:
    """Return the number of accepted requests without an outcome, by the stored totals."""
    counts: dict[str, int] = orjson.loads(totals) if totals else {}
    return counts.get("taken", 0) - sum(counts.get(name, 0) for name in OUTCOMES)


class UnwrittenCounts:
    """Tracks which counts have not been written to the store."""

    def __init__(self) -> None:
        self.written: dict[str, int] = dict.fromkeys(NAMES, 0)

    def unwritten(self, counts: Mapping[str, int]) -> dict[str, int]:
        """Return the increase of each count since the last `mark_written`, without zeros."""
        increase = {name: counts[name] - self.written[name] for name in NAMES}
        return {name: count for name, count in increase.items() if count}

    def mark_written(self, increase: Mapping[str, int]) -> None:
        """Record that these increases have been written, or are being written."""
        for name, count in increase.items():
            self.written[name] += count

    def undo(self, increase: Mapping[str, int]) -> None:
        """Record that the write of these increases failed; the next write includes them."""
        for name, count in increase.items():
            self.written[name] -= count
