"""How long a request's bytes take to an engine, and when a send that is under way is given up; no I/O.

The head of a request tells its engine a deadline and leaves first; the engine starts on the request when the
last byte has come. So the deadline leaves out the time that a long send is expected to take.
"""

from dataclasses import dataclass
from enum import Enum
from math import inf

PRESUMED_RATE = 1e6  # bytes a second of a connection to an engine of which nothing is known
LONG = 65_536  # bytes from which a send tells of its connection; buffers take less than that at once
SHORT = 0.05  # s up to which a send needs no time of its own: the deadline may be wrong by 0.15 s
MARGIN = 1.25  # times its expected time that a send may take
MOST_OF_LEFT = 0.5  # share of the time left that is kept for a send at most
LATE_BY = 0.1  # s after its time until a send is given up: what the kernel has then follows in 0.15 s
STALLED_AFTER = 0.1  # s in which nothing moves until a send is given up
PROGRESS_CHECK_INTERVAL = 0.02  # s between two looks at a send
KNOWN_FOR = 10.0  # s for which a connection counts as it was last seen
RISE = 0.5  # share of a faster send that is believed; a slower one is believed at once
TIDIED_AT = 512  # engines remembered from which those are forgotten whose time is over
SLOW_ENGINES = 2  # that a request met, from which unknown engines are not tried any more


class SendState(Enum):
    """How a send goes that is under way."""

    PROGRESSING = "its bytes move"
    STALLED = "nothing has moved for a while"
    BEHIND = "it takes longer than the deadline told allows for"


@dataclass
class Send:
    """One send under way. Times in s on the loop's clock; moved: bytes that have left this machine.

    promised: s that its deadline leaves out. spent, still_for: s since it began, and since something moved
    last, both without hold-ups of this process.
    """

    engine: int
    size: int
    begun: float
    reserved_time: float
    moved: int = 0
    looked_at: float = 0.0
    spent: float = 0.0
    still_for: float = 0.0

    def __post_init__(self) -> None:
        self.looked_at = self.begun

    def check_progress(self, now: float, moved: int) -> SendState:
        """How it goes by now."""
        passed, self.looked_at = min(now - self.looked_at, 2 * PROGRESS_CHECK_INTERVAL), now
        self.spent += passed
        self.still_for = 0.0 if moved > self.moved else self.still_for + passed
        self.moved = moved
        if self.stalled:
            return SendState.STALLED
        return SendState.BEHIND if now - self.begun >= self.reserved_time + LATE_BY else SendState.PROGRESSING

    @property
    def stalled(self) -> bool:
        """Nothing has moved for a while."""
        return self.still_for >= STALLED_AFTER


class TransferRates:
    """What is known of the connections to each engine, by its number, from long sends of this process."""

    def __init__(self) -> None:
        self.rates: dict[int, tuple[float, float]] = {}  # bytes a second, and when that was seen
        self.slow_until = -inf  # s on the loop's clock; some engine counts as slower than presumed till then

    def observe(self, send: Send, now: float) -> None:
        """Learn from one that has arrived, or is given up as too slow."""
        if send.size < LONG and send.moved >= send.size:
            return
        rate = max(1, send.moved) / max(send.spent, PROGRESS_CHECK_INTERVAL)
        before, at = self.rates.get(send.engine, (0.0, -inf))
        if before < rate and now - at < KNOWN_FOR:
            rate = before + RISE * (rate - before)
        self.rates[send.engine] = rate, now
        if rate < PRESUMED_RATE:
            self.slow_until = now + KNOWN_FOR
        if len(self.rates) >= TIDIED_AT:
            self.rates = {e: seen for e, seen in self.rates.items() if now - seen[1] < KNOWN_FOR}

    def matters(self, size: int, now: float) -> bool:
        """Whether a request of that size may be too long for some engine."""
        return size >= LONG or now < self.slow_until

    def expected(self, engine: int, size: int, now: float) -> float | None:
        """s that a send of that size takes there; None where nothing is known."""
        rate, at = self.rates.get(engine, (0.0, -inf))
        if now - at >= KNOWN_FOR:
            self.rates.pop(engine, None)
            return None
        return size / rate

    def start(self, engine: int, size: int, left: float, now: float) -> Send:
        """A send that begins now; left: s that remain to its deadline."""
        expected = self.expected(engine, size, now)
        seconds = size / PRESUMED_RATE if expected is None else expected
        promised = 0.0 if seconds <= SHORT else min(MARGIN * seconds, MOST_OF_LEFT * left)
        return Send(engine, size, now, promised)

    def in_time(self, engine: int, size: int, now: float, by: float, slow_engines: int) -> bool:
        """Whether a request of that size can be there by then. Guards against sends that are known not to
        arrive in time: each costs a try. slow_engines: that this request has met; after some of them the way
        is slow, not the engine. Could harm where the others are fast."""
        expected = self.expected(engine, size, now)
        if expected is None:
            return slow_engines < SLOW_ENGINES
        return now + expected <= by
