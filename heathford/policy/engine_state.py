"""What this instance knows of an engine: what is out there, what it keeps, how it has answered, its rests."""

from collections import deque
from collections.abc import Mapping
from math import exp2
from typing import Any, Protocol

from heathford.interface import Health, EngineKind, Outcome
from heathford.policy.estimators import STALE

REPORT_LIFE = 1.5  # s that a load report counts: several report periods
BACKLOG = 0.4  # share of the latency target that an answer may take before an engine counts as backed up
PACE = 0.8  # of the time wanted for their tokens: streams slower than this leave no room for one more
PACE_DOUBT = 5.0  # s of streams on pace presumed, so that a first few with bad hints don't count
PACE_FADE = 0.9  # weight kept per stream: ten streams count, as hints are off by their own size
REST = 0.25  # s of rest after an engine turned work away or was slow: a few answers end in that time
REST_MOST = 8.0  # s: with a hundred fronts this is what leaves an engine with its own capacity
ASIDE = 0.5  # s set aside after the first failure: shorter than the shortest latency target seen as usual
LIMITED = 4.0  # s of rest for an origin that an engine limits: a limit does not drain as a queue does
ERRORS = 2.0  # failures in a row before an engine is set aside: one alone is chance
FAILURES = {
    Outcome.ERROR: 1.0,
    Outcome.TIMED_OUT: 1.0,
    Outcome.BROKEN: 1.0,
    Outcome.UNREACHABLE: ERRORS,
    Outcome.UNARRIVED: ERRORS,
}
TRICKLE_DONE = 16  # dispatches at once from which a trickle is over
KEPT_MOST = 4096  # texts remembered per engine and sessions per instance: bounds memory
RESTED = 0.05  # s of a rest, as halved by good answers, up to which an engine counts as well again


class Prompt(Protocol):
    """What engines keep of a completion; prompt, shared_tokens: lengths in tokens."""

    session: str
    shared: str
    prompt: int
    shared_tokens: int


def remember(table: dict[str, Any], key: str, value: object) -> None:
    if len(table) >= KEPT_MOST:
        table.clear()
    if key:
        table[key] = value


class Attempt:
    """One dispatch. new: tokens that the engine does not keep, as we believe; local: all is done there."""

    def __init__(
        self, engine: "Engine", seq: int, reading: bool, local: bool, prompt: int, new: int, now: float
    ) -> None:
        self.engine, self.seq, self.sent = engine, seq, now
        self.is_prefill, self.local, self.new = reading, local, new
        self.tokens: float = new if reading else prompt
        self.contexts = engine.contexts(now)
        self.streaming: float = 0.0  # since when
        self.verdict: Outcome | None = None
        self.was_slow = False  # part of it had arrived, and the rest did not in its time


class Engine:
    """One engine as this instance knows it."""

    def __init__(
        self, number: int, zone: int, cell: int, kind: EngineKind, size: float, started: float
    ) -> None:
        self.number, self.zone, self.cell, self.kind, self.size = number, zone, cell, kind, size
        self.health = Health.ON
        self.begin(started)

    def begin(self, started: float) -> None:  # a new process has nothing of the old one's
        self.started = started
        self.in_flight: list[Attempt] = []
        self.cached: dict[str, int] = {}
        self.load: Mapping[str, float] = {}
        self.load_at = self.answered = -1e9
        self.cooldowns: dict[
            object, tuple[float, float]
        ] = {}  # by origin or None for all: until when, how long
        self.failures = 0.0  # in a row
        self.streamed = self.hinted = self.streamed_at = 0.0  # s that streams took lately, and should have
        self.trickle = 0  # dispatches at once, while it comes back
        self.cold_sends: list[float] = []  # when, while it was cold

    @property
    def unanswered(self) -> list[Attempt]:
        return [d for d in self.in_flight if not d.streaming]

    @property
    def tokens(self) -> float:
        return sum(d.tokens for d in self.in_flight)

    def kept(self, request: Prompt) -> int:
        shared = request.shared_tokens if request.shared in self.cached else 0
        return min(max(shared, self.cached.get(request.session, 0)), request.prompt)

    def keep(self, request: Prompt) -> None:
        remember(self.cached, request.shared, request.shared_tokens)
        remember(self.cached, request.session, request.prompt)

    def contexts(self, now: float) -> float:
        if "memory" in self.load and now - self.load_at < REPORT_LIFE:
            return self.load["memory"] * self.kind.memory
        return sum(d.tokens for d in self.in_flight if d.streaming > 0)

    def rest(self, origin: object, sent: float, now: float, least: float = REST) -> None:
        """Guards against queues that nobody reports and engines that turn work away: a rest twice as long for
        each answer in a row to what was sent after the last began, half as long after a good one, so that
        fronts that see little of an engine leave it, together, what it can do. Long prompts mislead it."""
        until, length = self.cooldowns.get(origin, (0.0, 0.0))
        if sent >= until - length:
            length = min(max(2 * length, least), REST_MOST)
            self.cooldowns[origin] = now + length, length

    def closed(self, origin: object, now: float, tightest: float) -> bool:
        """Besides its rests: none beside one of ours that waits long, or at all where it rested of late."""
        rests = any(now < self.cooldowns[o][0] for o in (None, origin) if o in self.cooldowns)
        rested = self.cooldowns.get(None, (0.0, 0.0))[1] > RESTED and not self.trickle
        patience = 0.0 if rested else BACKLOG * tightest
        return rests or any(now - d.sent >= patience for d in self.unanswered[:1])

    def crawls(self, now: float) -> bool:
        """Guards against slow streams, as beside too many reads. Rough hints could mislead it."""
        weight = exp2((self.streamed_at - now) / STALE)
        return weight * self.streamed > PACE * (weight * self.hinted + PACE_DOUBT)

    def went_well(
        self, latency: float, target: float, now: float, answers: "deque[tuple[float, Engine]]"
    ) -> None:
        self.answered, self.failures = now, 0.0
        answers.append((now, self))
        if latency > BACKLOG * target:
            self.rest(None, now - latency, now, latency)  # as long as the queue, at least
        else:
            self.cooldowns = {
                origin: (until, length / 2) for origin, (until, length) in self.cooldowns.items()
            }
        if self.trickle:  # one more for each good answer: twice as many in each round
            self.trickle = self.trickle + 1 if self.trickle < TRICKLE_DONE else 0

    def went_badly(self, weight: float, sent: float, now: float) -> None:
        """Guards against engines that fail, above all fast ones whose empty queue would draw more work. Could
        harm where all fail through no fault of theirs, as behind a broken network, for the time of a rest."""
        self.failures += weight
        if self.failures >= ERRORS or self.trickle:
            self.rest(None, sent, now, ASIDE)
            self.trickle = 1
