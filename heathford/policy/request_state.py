"""One completion: its dispatches, what may still be done for it, and what it teaches of engines."""

from collections import deque
from collections.abc import Mapping
from math import inf
from typing import Protocol

from heathford.interface import (
    ANSWERED_BY_ENGINE,
    STALL_ALLOWANCE,
    NEVER_RAN,
    PART_ARRIVED,
    Clock,
    RequestActions,
    Effect,
    GiveUpReason,
    Group,
    Role,
    Outcome,
    Workload,
)
from heathford.policy.engine_state import FAILURES, LIMITED, PACE_FADE, REST, Attempt, Engine
from heathford.policy.estimators import Fit, mixed_features, read_features
from heathford.policy.held_state import PendingReleases
from heathford.policy.transfer import TransferRates

AT_ONCE = 0.05  # share of the latency target in which a full queue says so; a limit on some work takes longer
READS = 2.0  # times its predicted reading that a completion needs before its target: to read and to write


class Policy(Protocol):
    """What a completion needs of the Router that took it."""

    clock: Clock
    prefill_fit: Fit
    combined_fit: Fit
    heard: float
    good: float
    asked: float
    decode_wait_limit: float
    retry_after: float
    may_cancel: bool
    keyed_repeats: bool
    transfers: TransferRates
    answers: deque[tuple[float, Engine]]
    waiting: "list[RequestState]"
    handed_over: PendingReleases

    def may_start_over(self, request: "RequestState") -> bool: ...


class RequestState:
    """The handle of one completion: heathford.interface.RoutedRequest."""

    def __init__(
        self,
        router: Policy,
        door: RequestActions,
        workload: Workload,
        session: str,
        shared: str,
        prompt: int,
        shared_tokens: int,
        answer: float,
        deadline: float,
        origin: object,
        now: float,
        size: int = 0,
    ) -> None:
        self.router, self.door, self.workload = router, door, workload
        self.session, self.shared, self.prompt, self.shared_tokens = session, shared, prompt, shared_tokens
        self.answer, self.deadline, self.key, self.size = answer, deadline, shared or session, size
        self.target, self.origin = workload.latency_target + workload.target_per_1000 * prompt / 1000, origin
        self.target_at = now + self.target
        self.late_at = self.target_at - READS * router.prefill_fit.aged(read_features(prompt), now)
        self.counts = (
            deadline >= self.target_at
        )  # a client with less time than the target says nothing of engines
        self.attempts: list[Attempt] = []
        self.current_attempt: Attempt | None = None
        self.state: Engine | None = None  # the reader where its state waits
        self.held_since, self.over, self.stuck = 0.0, False, False
        self.give_up_reason: GiveUpReason | None = None
        self.release_at = inf  # when its state is released although an attempt is out
        self.released = False  # one was: an attempt may have kept it, and leave it held as it ends

    @property
    def is_done(self) -> bool:
        return self.over and self.current_attempt is None

    def first_token(self, seq: int, latency: float) -> None:
        if seq >= len(self.attempts) or self.attempts[seq].verdict:
            return
        now, attempt = self.router.clock.now, self.attempts[seq]
        attempt.streaming = now
        self.router.heard += attempt.local
        if attempt.local:  # the stream's end would tell the cached tokens, but comes seconds late
            self.router.combined_fit.add(mixed_features(attempt.new, attempt.contexts), latency, now)
        self.over, self.state, self.released = True, None, False
        self.router.handed_over.remove(self)
        self.router.good += self.counts and now <= self.target_at
        attempt.engine.went_well(latency, self.target, now, self.router.answers)

    def ended(
        self, seq: int, verdict: Outcome, latency: float, closed: bool, detail: int, load: Mapping[str, float]
    ) -> None:
        if seq >= len(self.attempts) or self.attempts[seq].verdict:
            return  # never sent, or told before
        now, attempt, engine = self.router.clock.now, self.attempts[seq], self.attempts[seq].engine
        if verdict is Outcome.FINISHED and not attempt.streaming:
            self.first_token(seq, latency)  # told whole: else it would count as a stream begun at zero
        attempt.verdict = verdict
        engine.in_flight = [d for d in engine.in_flight if d is not attempt]
        if load:
            engine.load, engine.load_at = load, now
        attempt.was_slow = detail == PART_ARRIVED and verdict in (Outcome.UNSENT, Outcome.UNREACHABLE)
        self.over = self.over or closed
        if self.current_attempt is attempt:
            self.current_attempt = None
        self.router.handed_over.remove(self)
        if self.released and not self.state and not attempt.is_prefill and not attempt.streaming:
            # Guards against a state that a release left to this attempt, as it waited for it, or was sent to
            # an engine that found it before the release came: it ended without taking it. Costs a release.
            self.door.release()
        self.stuck = False  # looked at at once: a final answer may be due
        if verdict in ANSWERED_BY_ENGINE or not self.state:
            self.held_since = now
        elif now - self.held_since >= self.router.decode_wait_limit:
            # Guards against a state pinned while one writer after the other can't be reached or says nothing:
            # as far as is known nothing came to an engine since the read. Costs a second read where the next
            # would have answered.
            self.release_state()
        read = verdict is Outcome.PREFILLED or (verdict is Outcome.FINISHED and attempt.local)
        if read and not detail and attempt.new < self.prompt:
            engine.cached.clear()  # it lost what it kept, all at once as a rule
        if verdict is Outcome.PREFILLED:
            engine.went_well(latency, self.target, now, self.router.answers)
            self.router.heard += 1
            self.router.prefill_fit.add(read_features(self.prompt - detail), latency, now)
            engine.keep(self)
            self.state = engine
        elif verdict is Outcome.FINISHED:
            engine.streamed, engine.streamed_at = engine.streamed * PACE_FADE + now - attempt.streaming, now
            engine.hinted = engine.hinted * PACE_FADE + self.answer * self.workload.token_target
        elif verdict is Outcome.FULL and detail:
            self.release_state()  # gone, or out of the writer's reach and still pinned: read again
        elif verdict in (Outcome.FULL, Outcome.NO_FREE_CONNECTION):
            limited = latency > AT_ONCE * self.target  # what is short of room says so at once, and to all
            engine.rest(self.origin if limited else None, attempt.sent, now, LIMITED if limited else REST)
        elif (
            verdict in FAILURES
            and not attempt.streaming
            and (verdict is not Outcome.TIMED_OUT or (self.counts and engine.answered < attempt.sent))
        ):
            # A time-out of one with less time than its target, or where others were answered, is no failure.
            engine.went_badly(FAILURES[verdict], attempt.sent, now)
            if verdict is Outcome.TIMED_OUT:  # as slow as that at least: its queue needs as long
                engine.rest(None, attempt.sent, now, latency)
        if self.over:
            self.release_state()
        else:
            self.router.waiting.append(self)

    def engine_silent(self, seq: int) -> None:
        """Guards against waiting for an engine that is stopped or cut off: the state has been released, so an
        attempt that comes there later finds it gone. Another engine reads anew, where a repeat does no harm.
        Could harm by a second read where the engine is only slow to answer. A keyed one that is not repeated
        ends there too where its client may be refused: it comes again sooner."""
        if seq >= len(self.attempts):
            return
        attempt = self.attempts[seq]
        if attempt.verdict or attempt.streaming:
            return
        attempt.engine.went_badly(FAILURES[Outcome.UNARRIVED], attempt.sent, self.router.clock.now)
        if not self.router.may_cancel or self.over:
            return
        if self.workload.effect is Effect.IDEMPOTENT:
            given_up = self.router.may_start_over(self)
        else:
            given_up = self.refusable and not self.repeatable
        if given_up:
            self.door.cancel(seq)

    def client_left(self) -> None:
        self.over = True
        if self.current_attempt is None:
            self.release_state()
        elif self.router.may_cancel and not self.current_attempt.streaming:
            self.door.cancel(self.current_attempt.seq)

    def release_state(self) -> None:
        """Nothing stays held: neither an answer nor a client's leaving frees a state."""
        if self.state:
            self.door.release()
            self.state, self.released = None, True

    @property
    def repeatable(self) -> bool:
        """Whether it may be sent again after an attempt that may have run. Guards against a keyed repeat that
        an engine reads when its key is known no more: none is made where an engine may read late. Could harm
        by a request lost with its engine that a repeat in time would have served."""
        effect = self.workload.effect
        return effect is Effect.IDEMPOTENT or (
            effect is Effect.IDEMPOTENCY_KEYED and self.router.keyed_repeats
        )

    @property
    def refusable(self) -> bool:
        """Whether its client may be told to try again though an attempt may have run."""
        known = self.workload.effect is Effect.IDEMPOTENCY_KEYED and self.workload.group is Group.ALL
        return known or self.workload.effect is Effect.IDEMPOTENT

    def slow_engines(self, role: Role) -> int:
        """Engines of a role that its bytes did not reach in the time that a send may take."""
        return len({d.engine.number for d in self.attempts if d.was_slow and d.engine.kind.role is role})

    def possibly_run_attempts(self) -> list[Attempt]:  # those that may have had an effect
        return [d for d in self.attempts if not d.is_prefill and d.verdict not in NEVER_RAN]

    def may_go_to(self, engine: Engine, now: float) -> bool:  # no effect twice
        risky = self.possibly_run_attempts()
        if not risky or engine.kind.role is Role.PREFILL or self.workload.effect is Effect.IDEMPOTENT:
            return True
        if not self.repeatable:
            return False
        group = self.workload.group
        return now + STALL_ALLOWANCE - risky[0].sent < self.workload.key_ttl and all(
            group is Group.ALL
            or (d.engine.zone == engine.zone and (group is Group.ZONE or d.engine.cell == engine.cell))
            for d in risky
        )

    def give_up(self, why: GiveUpReason) -> None:
        if not self.attempts and self.late_at > -inf:  # a guess of ours says nothing of what engines can do
            self.router.asked = max(0.0, self.router.asked - self.counts)
        self.release_state()
        self.over, self.give_up_reason = True, why
        if self.refusable or not self.possibly_run_attempts():
            again = why is not GiveUpReason.TRANSFER_TOO_SLOW  # a new try would be as slow
            self.door.rate_limit(self.router.retry_after if again else 0.0)
        else:
            self.door.abort()
