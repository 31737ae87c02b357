"""What one front node knows of an engine: attempts in flight, cached prompts, load reports and cooldowns."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from math import exp2, inf
from typing import Any, Protocol

from heathford.interface import EngineKind, Health, Outcome
from heathford.policy.estimators import HALF_LIFE

REPORT_MAX_AGE = 1.5  # s for which a load report is used: several report periods
BACKLOG_SHARE = 0.4  # share of the latency target: an engine that takes longer to answer is backlogged
MIN_STREAM_PACE = 0.8  # share of the wanted token rate: an engine with slower streams has no capacity left
ASSUMED_STREAM_TIME = 5.0  # s of streams at full pace assumed at first: a few wrong hints then weigh little
STREAM_DECAY = 0.9  # weight kept per stream: about ten streams count, as each hint may be off by its own size
MIN_COOLDOWN = 0.25  # s after an engine was full or slow: a few of its answers end in that time
MAX_COOLDOWN = 8.0  # s: with a hundred front nodes this leaves an engine the load that it can serve
FAILURE_COOLDOWN = 0.5  # s after the first failure: shorter than the shortest usual latency target
RATE_LIMIT_COOLDOWN = 4.0  # s for an origin that an engine rate-limits: a limit doesn't drain as a queue does
FAILURE_THRESHOLD = 2.0  # weighted failures in a row before a cooldown: a single failure may be chance
FAILURE_WEIGHTS = {
    Outcome.ERROR: 1.0,
    Outcome.TIMED_OUT: 1.0,
    Outcome.BROKEN: 1.0,
    Outcome.UNREACHABLE: FAILURE_THRESHOLD,
    Outcome.UNARRIVED: FAILURE_THRESHOLD,
}
RAMP_UP_DONE = 16  # concurrent attempts from which an engine's ramp-up is over
MAX_REMEMBERED = 4096  # cached prompts per engine and sessions per front node: bounds memory
NEGLIGIBLE_COOLDOWN = 0.05  # s: an engine whose cooldown, halved by each good answer, is shorter is healthy


class CacheablePrompt(Protocol):
    """The parts of a request's prompt that an engine may have in its prefix cache; lengths in tokens."""

    session: str
    shared_prefix: str
    prompt_tokens: int
    shared_tokens: int


def remember(table: dict[str, Any], key: str, value: object) -> None:
    """Store a value unless its key is empty; a table that is full is cleared first."""
    if len(table) >= MAX_REMEMBERED:
        table.clear()
    if key:
        table[key] = value


@dataclass(frozen=True)
class ColdAdmission:
    """Why an attempt was let in to a cold engine; written to logs.

    age: s since the engine's start, as this front node knows it; share: of the requests that lead there now;
    recent_attempts: ours at the engine within the last window, with this one.
    """

    age: float
    share: float
    recent_attempts: int


class Attempt:
    """One attempt of a request at one engine.

    uncached_tokens: prompt tokens that the engine is believed not to have in its cache. is_combined: prefill
    and decode are both done at this engine. cold_admission: None where the engine was warm.
    """

    def __init__(
        self,
        engine: "Engine",
        seq: int,
        is_prefill: bool,
        is_combined: bool,
        prompt_tokens: int,
        uncached_tokens: int,
        now: float,
    ) -> None:
        self.engine, self.seq, self.sent_at = engine, seq, now
        self.is_prefill, self.is_combined, self.uncached_tokens = is_prefill, is_combined, uncached_tokens
        self.load_tokens: float = uncached_tokens if is_prefill else prompt_tokens
        self.context_tokens = engine.context_tokens(now)  # at the engine when the attempt was sent
        self.streaming_since: float = 0.0  # s on the router's clock; 0 before the first token
        self.outcome: Outcome | None = None
        self.cold_admission: ColdAdmission | None = None
        self.slow_transfer = False  # part of its bytes arrived, the rest did not in the time allowed


class Engine:
    """One engine as this front node knows it."""

    def __init__(
        self, number: int, zone: int, cell: int, kind: EngineKind, size: float, started: float
    ) -> None:
        self.number, self.zone, self.cell, self.kind, self.size = number, zone, cell, kind, size
        self.health = Health.ON
        self.reset(started)

    def reset(self, started: float) -> None:
        """Forget all that belonged to an earlier process of this engine."""
        self.started = started
        self.listed_at = -inf  # when this process of it was first listed to us
        self.in_flight: list[Attempt] = []
        self.cached: dict[str, int] = {}  # tokens in the engine's prefix cache, by session or shared prefix
        self.load: Mapping[str, float] = {}  # the last load report
        self.load_reported_at = self.last_answer_at = -1e9
        # By origin, or None for all of them: until when, and how long it is.
        self.cooldowns: dict[object, tuple[float, float]] = {}
        self.failures = 0.0  # weighted, in a row
        # s that recent streams took, and s that they were expected to take.
        self.stream_time = self.expected_stream_time = self.streams_updated_at = 0.0
        self.ramp_limit = 0  # concurrent attempts while it comes back or is cold; 0: no limit
        self.cold_attempts: list[float] = []  # when each attempt was sent while it was cold

    @property
    def unanswered(self) -> list[Attempt]:
        return [attempt for attempt in self.in_flight if not attempt.streaming_since]

    @property
    def load_tokens(self) -> float:
        return sum(attempt.load_tokens for attempt in self.in_flight)

    def cached_tokens(self, request: CacheablePrompt) -> int:
        """Return how many of a request's prompt tokens this engine is believed to have cached."""
        shared = request.shared_tokens if request.shared_prefix in self.cached else 0
        return min(max(shared, self.cached.get(request.session, 0)), request.prompt_tokens)

    def record_cached(self, request: CacheablePrompt) -> None:
        remember(self.cached, request.shared_prefix, request.shared_tokens)
        remember(self.cached, request.session, request.prompt_tokens)

    def context_tokens(self, now: float) -> float:
        """Return the tokens in the contexts of its streams: as reported, else those of our own attempts."""
        if "memory" in self.load and now - self.load_reported_at < REPORT_MAX_AGE:
            return self.load["memory"] * self.kind.memory
        return sum(attempt.load_tokens for attempt in self.in_flight if attempt.streaming_since > 0)

    def cool_down(self, origin: object, sent_at: float, now: float, least: float = MIN_COOLDOWN) -> None:
        """Start a cooldown after an attempt that found the engine full, slow or failing.

        Guards against queues that nobody reports and against engines that refuse work. Each such answer to
        an attempt that was sent after the last cooldown began doubles it, and a good answer halves it; so
        front nodes that each see little of an engine together leave it the load that it can serve. Long
        prompts, whose answers take longer, may be taken for a slow engine.
        """
        until, length = self.cooldowns.get(origin, (0.0, 0.0))
        if sent_at >= until - length:
            length = min(max(2 * length, least), MAX_COOLDOWN)
            self.cooldowns[origin] = now + length, length

    def is_blocked(self, origin: object, now: float, min_latency_target: float) -> bool:
        """Return whether the engine must get nothing new of an origin now.

        That is the case in a cooldown, or while an attempt of ours has been unanswered for long. Until good
        answers have reduced its cooldown to a negligible length any unanswered attempt is enough.
        """
        cooling = any(now < self.cooldowns[o][0] for o in (None, origin) if o in self.cooldowns)
        cooled_recently = (
            self.cooldowns.get(None, (0.0, 0.0))[1] > NEGLIGIBLE_COOLDOWN and not self.ramp_limit
        )
        max_wait = 0.0 if cooled_recently else BACKLOG_SHARE * min_latency_target
        return cooling or any(now - attempt.sent_at >= max_wait for attempt in self.unanswered[:1])

    def streams_too_slowly(self, now: float) -> bool:
        """Return whether recent streams ran slower than their token targets allow.

        Guards against streams slowed down by too many prefills beside them. Inaccurate hints of the answer's
        length may mislead it.
        """
        weight = exp2((self.streams_updated_at - now) / HALF_LIFE)
        return weight * self.stream_time > MIN_STREAM_PACE * (
            weight * self.expected_stream_time + ASSUMED_STREAM_TIME
        )

    def record_success(
        self, latency: float, target: float, now: float, answers: "deque[tuple[float, Engine]]"
    ) -> None:
        """Record a first answer after `latency` s; one that is slow for its `target` starts a cooldown."""
        self.last_answer_at, self.failures = now, 0.0
        answers.append((now, self))
        if latency > BACKLOG_SHARE * target:
            self.cool_down(None, now - latency, now, latency)  # the queue needs at least that long to drain
        else:
            self.cooldowns = {
                origin: (until, length / 2) for origin, (until, length) in self.cooldowns.items()
            }
        if self.ramp_limit:  # one more for each good answer, so the limit doubles with each round
            self.ramp_limit = self.ramp_limit + 1 if self.ramp_limit < RAMP_UP_DONE else 0

    def record_failure(self, weight: float, sent_at: float, now: float) -> None:
        """Record a failed attempt; several in a row, or one during the ramp-up, start a cooldown.

        Guards against engines that fail, above all those that fail fast: their empty queue would draw more
        work. Could harm for the length of a cooldown where all engines fail through no fault of their own, as
        behind a broken network.
        """
        self.failures += weight
        if self.failures >= FAILURE_THRESHOLD or self.ramp_limit:
            self.cool_down(None, sent_at, now, FAILURE_COOLDOWN)
            self.ramp_limit = 1
