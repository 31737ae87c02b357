"""How long a request's bytes take to reach an engine, and when a send in progress is given up; no I/O.

The head of a request, which is sent first, tells its engine the time left to the deadline; the engine starts
once it has the last byte. So that time is reduced by what a long send is expected to take.
"""

from dataclasses import dataclass
from enum import Enum
from math import inf

ASSUMED_RATE = 1e6  # bytes per s of a connection to an engine of which nothing is known
LONG_SEND = 65_536  # bytes from which a send measures its connection; buffers take smaller ones at once
SHORT_SEND_TIME = 0.05  # s up to which a send reserves no time: the deadline told may be off by 0.15 s
TIME_MARGIN = 1.25  # times its expected time that a send may take
MAX_RESERVED_SHARE = 0.5  # share of the time left that is reserved for a send at most
BEHIND_AFTER = 0.1  # s past its reserved time: what the kernel still holds then follows within 0.15 s
STALLED_AFTER = 0.1  # s without progress after which a send is given up
PROGRESS_CHECK_INTERVAL = 0.02  # s between two checks of a send
RATE_MAX_AGE = 10.0  # s for which a measured rate is used
RISE_SHARE = 0.5  # weight of a faster send; a slower one is believed at once
CLEANUP_SIZE = 512  # remembered engines from which outdated rates are dropped
MAX_SLOW_ENGINES = 2  # slow engines that a request has met, from which unknown engines are no longer tried


class SendState(Enum):
    """How a send in progress goes."""

    PROGRESSING = "its bytes move"
    STALLED = "nothing has moved for a while"
    BEHIND = "it takes longer than the deadline told allows for"


@dataclass
class Send:
    """One send in progress. Times are in s on the loop's clock; moved: bytes that have left this machine.

    reserved_time: s by which the time told to the engine is reduced. spent, stalled_for: s since it began and
    since its last progress, both without stalls of this process.
    """

    engine: int
    size: int
    started_at: float
    reserved_time: float
    moved: int = 0
    checked_at: float = 0.0
    spent: float = 0.0
    stalled_for: float = 0.0

    def __post_init__(self) -> None:
        self.checked_at = self.started_at

    def check_progress(self, now: float, moved: int) -> SendState:
        """Record the bytes that have left by now and return how the send goes."""
        passed, self.checked_at = min(now - self.checked_at, 2 * PROGRESS_CHECK_INTERVAL), now
        self.spent += passed
        self.stalled_for = 0.0 if moved > self.moved else self.stalled_for + passed
        self.moved = moved
        if self.stalled:
            return SendState.STALLED
        return (
            SendState.BEHIND
            if now - self.started_at >= self.reserved_time + BEHIND_AFTER
            else SendState.PROGRESSING
        )

    @property
    def stalled(self) -> bool:
        return self.stalled_for >= STALLED_AFTER


class TransferRates:
    """The measured rates of connections to engines, by engine number, from long sends of this process."""

    def __init__(self) -> None:
        self.rates: dict[int, tuple[float, float]] = {}  # bytes per s, and when it was measured
        self.slow_until = -inf  # s on the loop's clock until which some engine is slower than assumed

    def observe(self, send: Send, now: float) -> None:
        """Update the rate from a send that has arrived, or that was given up as too slow."""
        if send.size < LONG_SEND and send.moved >= send.size:
            return
        rate = max(1, send.moved) / max(send.spent, PROGRESS_CHECK_INTERVAL)
        before, at = self.rates.get(send.engine, (0.0, -inf))
        if before < rate and now - at < RATE_MAX_AGE:
            rate = before + RISE_SHARE * (rate - before)
        self.rates[send.engine] = rate, now
        if rate < ASSUMED_RATE:
            self.slow_until = now + RATE_MAX_AGE
        if len(self.rates) >= CLEANUP_SIZE:
            self.rates = {e: known for e, known in self.rates.items() if now - known[1] < RATE_MAX_AGE}

    def may_matter(self, size: int, now: float) -> bool:
        """Return whether a request of that size may be too large for some engine's connection."""
        return size >= LONG_SEND or now < self.slow_until

    def expected_time(self, engine: int, size: int, now: float) -> float | None:
        """Return the s that a send of that size takes to an engine; None where its rate is unknown."""
        rate, at = self.rates.get(engine, (0.0, -inf))
        if now - at >= RATE_MAX_AGE:
            self.rates.pop(engine, None)
            return None
        return size / rate

    def start(self, engine: int, size: int, left: float, now: float) -> Send:
        """Return a send that starts now; left: s that remain to the request's deadline."""
        expected = self.expected_time(engine, size, now)
        seconds = size / ASSUMED_RATE if expected is None else expected
        reserved = (
            0.0 if seconds <= SHORT_SEND_TIME else min(TIME_MARGIN * seconds, MAX_RESERVED_SHARE * left)
        )
        return Send(engine, size, now, reserved)

    def can_arrive_by(self, engine: int, size: int, now: float, by: float, slow_engine_count: int) -> bool:
        """Return whether a request of that size can reach an engine by then.

        Guards against sends that are known not to arrive in time, each of which costs an attempt.
        slow_engine_count: slow engines that this request has met; after some of them the network is taken to
        be slow, not the engine. Could harm where the other engines are fast.
        """
        expected = self.expected_time(engine, size, now)
        if expected is None:
            return slow_engine_count < MAX_SLOW_ENGINES
        return now + expected <= by
