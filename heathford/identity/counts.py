"""Counts of completions in periods that add up across restarts; no I/O.

Taken is always the sum of the ends and what is open. What was open when a front was cut off is found at its
next start, and counted there as an end of its own, so that nothing is counted twice and nothing is lost.
"""

from collections.abc import Mapping

import orjson

SPACE = "counts"
PERIOD = 60.0  # s: fine enough for a chart of a day, 1,440 entries of it
PERIOD_RETENTION = 90 * 86_400.0  # s that a period is kept: a quarter's report; totals stay for good
NAMES = ("taken", "finished", "rate_limited", "aborted", "left")
ENDS = ("finished", "rate_limited", "aborted", "left", "cut_off")
TOTALS = b"totals"


def period_key(now: float) -> bytes:
    return b"%012d" % int(now // PERIOD)


def add_counts(value: bytes | None, more: Mapping[str, int]) -> bytes:
    counts: dict[str, int] = orjson.loads(value) if value else {}
    for name, count in more.items():
        counts[name] = counts.get(name, 0) + count
    return orjson.dumps(counts)


def count_unfinished(totals: bytes | None) -> int:
    """Taken and without an end, by the totals."""
    counts: dict[str, int] = orjson.loads(totals) if totals else {}
    return counts.get("taken", 0) - sum(counts.get(name, 0) for name in ENDS)


class UnwrittenCounts:
    """What has been counted since it was last written."""

    def __init__(self) -> None:
        self.written: dict[str, int] = dict.fromkeys(NAMES, 0)

    def unwritten(self, counts: Mapping[str, int]) -> dict[str, int]:
        """Of each name what is new; written() says that it is on disk, or on its way there."""
        more = {name: counts[name] - self.written[name] for name in NAMES}
        return {name: count for name, count in more.items() if count}

    def mark_written(self, more: Mapping[str, int]) -> None:
        for name, count in more.items():
            self.written[name] += count

    def undo(self, more: Mapping[str, int]) -> None:
        """The write failed: it is counted again with the next."""
        for name, count in more.items():
            self.written[name] -= count
