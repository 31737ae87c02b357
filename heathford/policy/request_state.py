"""One completion: its dispatches, what may still be done for it, and what it teaches of engines."""

from collections import deque
from collections.abc import Mapping
from math import inf
from typing import Protocol

from heathford.interface import (
    ANSWERED,
    HELD_UP,
    NEVER_RAN,
    PART_ARRIVED,
    Clock,
    CompletionDoor,
    Effect,
    GivenUp,
    Group,
    Role,
    Verdict,
    Workload,
)
from heathford.policy.engine_state import FAILURES, LIMITED, PACE_FADE, REST, Dispatch, Engine
from heathford.policy.estimators import Fit, mixed_features, read_features
from heathford.policy.held_state import HandedOver
from heathford.policy.transfer import TransferRates

AT_ONCE = 0.05  # share of the latency target in which a full queue says so; a limit on some work takes longer
READS = 2.0  # times its predicted reading that a completion needs before its target: to read and to write


class Policy(Protocol):
    """What a completion needs of the Router that took it."""

    clock: Clock
    read_fit: Fit
    mixed_fit: Fit
    heard: float
    good: float
    asked: float
    hold: float
    retry_after: float
    may_cancel: bool
    keyed_repeats: bool
    transfers: TransferRates
    answers: deque[tuple[float, Engine]]
    waiting: "list[Completion]"
    handed_over: HandedOver

    def may_start_over(self, completion: "Completion") -> bool: ...


class Completion:
    """The handle of one completion: heathford.interface.Handle."""

    def __init__(
        self,
        router: Policy,
        door: CompletionDoor,
        workload: Workload,
        session: str,
        shared: str,
        prompt: int,
        shared_tokens: int,
        answer: float,
        due: float,
        origin: object,
        now: float,
        size: int = 0,
    ) -> None:
        self.router, self.door, self.workload = router, door, workload
        self.session, self.shared, self.prompt, self.shared_tokens = session, shared, prompt, shared_tokens
        self.answer, self.due, self.key, self.size = answer, due, shared or session, size
        self.target, self.origin = workload.latency_target + workload.target_per_1000 * prompt / 1000, origin
        self.target_at = now + self.target
        self.late_at = self.target_at - READS * router.read_fit.aged(read_features(prompt), now)
        self.counts = due >= self.target_at  # a client with less time than the target says nothing of engines
        self.dispatches: list[Dispatch] = []
        self.out: Dispatch | None = None
        self.state: Engine | None = None  # the reader where its state waits
        self.held_since, self.over, self.stuck = 0.0, False, False
        self.given_up: GivenUp | None = None
        self.release_at = inf  # when its state is released although an attempt is out
        self.released = False  # one was: an attempt may have kept it, and leave it held as it ends

    @property
    def settled(self) -> bool:
        return self.over and self.out is None

    def first_token(self, seq: int, latency: float) -> None:
        if seq >= len(self.dispatches) or self.dispatches[seq].verdict:
            return
        now, dispatch = self.router.clock.now, self.dispatches[seq]
        dispatch.streaming = now
        self.router.heard += dispatch.local
        if dispatch.local:  # the stream's end would tell the cached tokens, but comes seconds late
            self.router.mixed_fit.add(mixed_features(dispatch.new, dispatch.contexts), latency, now)
        self.over, self.state, self.released = True, None, False
        self.router.handed_over.remove(self)
        self.router.good += self.counts and now <= self.target_at
        dispatch.engine.went_well(latency, self.target, now, self.router.answers)

    def ended(
        self, seq: int, verdict: Verdict, latency: float, closed: bool, detail: int, load: Mapping[str, float]
    ) -> None:
        if seq >= len(self.dispatches) or self.dispatches[seq].verdict:
            return  # never sent, or told before
        now, dispatch, engine = self.router.clock.now, self.dispatches[seq], self.dispatches[seq].engine
        if verdict is Verdict.FINISHED and not dispatch.streaming:
            self.first_token(seq, latency)  # told whole: else it would count as a stream begun at zero
        dispatch.verdict = verdict
        engine.out = [d for d in engine.out if d is not dispatch]
        if load:
            engine.load, engine.load_at = load, now
        dispatch.was_slow = detail == PART_ARRIVED and verdict in (Verdict.UNSENT, Verdict.UNREACHABLE)
        self.over = self.over or closed
        if self.out is dispatch:
            self.out = None
        self.router.handed_over.remove(self)
        if self.released and not self.state and not dispatch.reading and not dispatch.streaming:
            # Guards against a state that a release left to this attempt, as it waited for it, or was sent to
            # an engine that found it before the release came: it ended without taking it. Costs a release.
            self.door.release()
        self.stuck = False  # looked at at once: a final answer may be due
        if verdict in ANSWERED or not self.state:
            self.held_since = now
        elif now - self.held_since >= self.router.hold:
            # Guards against a state pinned while one writer after the other can't be reached or says nothing:
            # as far as is known nothing came to an engine since the read. Costs a second read where the next
            # would have answered.
            self.release_state()
        read = verdict is Verdict.READ or (verdict is Verdict.FINISHED and dispatch.local)
        if read and not detail and dispatch.new < self.prompt:
            engine.keeps.clear()  # it lost what it kept, all at once as a rule
        if verdict is Verdict.READ:
            engine.went_well(latency, self.target, now, self.router.answers)
            self.router.heard += 1
            self.router.read_fit.add(read_features(self.prompt - detail), latency, now)
            engine.keep(self)
            self.state = engine
        elif verdict is Verdict.FINISHED:
            engine.streamed, engine.streamed_at = engine.streamed * PACE_FADE + now - dispatch.streaming, now
            engine.hinted = engine.hinted * PACE_FADE + self.answer * self.workload.token_target
        elif verdict is Verdict.FULL and detail:
            self.release_state()  # gone, or out of the writer's reach and still pinned: read again
        elif verdict in (Verdict.FULL, Verdict.CROWDED):
            limited = latency > AT_ONCE * self.target  # what is short of room says so at once, and to all
            engine.rest(self.origin if limited else None, dispatch.sent, now, LIMITED if limited else REST)
        elif (
            verdict in FAILURES
            and not dispatch.streaming
            and (verdict is not Verdict.TIMED_OUT or (self.counts and engine.answered < dispatch.sent))
        ):
            # A time-out of one with less time than its target, or where others were answered, is no failure.
            engine.went_badly(FAILURES[verdict], dispatch.sent, now)
            if verdict is Verdict.TIMED_OUT:  # as slow as that at least: its queue needs as long
                engine.rest(None, dispatch.sent, now, latency)
        if self.over:
            self.release_state()
        else:
            self.router.waiting.append(self)

    def engine_silent(self, seq: int) -> None:
        """Guards against waiting for an engine that is stopped or cut off: the state has been released, so an
        attempt that comes there later finds it gone. Another engine reads anew, where a repeat does no harm.
        Could harm by a second read where the engine is only slow to answer. A keyed one that is not repeated
        ends there too where its client may be refused: it comes again sooner."""
        if seq >= len(self.dispatches):
            return
        dispatch = self.dispatches[seq]
        if dispatch.verdict or dispatch.streaming:
            return
        dispatch.engine.went_badly(FAILURES[Verdict.UNARRIVED], dispatch.sent, self.router.clock.now)
        if not self.router.may_cancel or self.over:
            return
        if self.workload.effect is Effect.IDEMPOTENT:
            given_up = self.router.may_start_over(self)
        else:
            given_up = self.refusable and not self.repeatable
        if given_up:
            self.door.cancel(seq)

    def left(self) -> None:
        self.over = True
        if self.out is None:
            self.release_state()
        elif self.router.may_cancel and not self.out.streaming:
            self.door.cancel(self.out.seq)

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
        return effect is Effect.IDEMPOTENT or (effect is Effect.TOKENED and self.router.keyed_repeats)

    @property
    def refusable(self) -> bool:
        """Whether its client may be told to try again though an attempt may have run."""
        known = self.workload.effect is Effect.TOKENED and self.workload.group is Group.ALL
        return known or self.workload.effect is Effect.IDEMPOTENT

    def slow_engines(self, role: Role) -> int:
        """Engines of a role that its bytes did not reach in the time that a send may take."""
        return len({d.engine.number for d in self.dispatches if d.was_slow and d.engine.kind.role is role})

    def risky(self) -> list[Dispatch]:  # those that may have had an effect
        return [d for d in self.dispatches if not d.reading and d.verdict not in NEVER_RAN]

    def may_go_to(self, engine: Engine, now: float) -> bool:  # no effect twice
        risky = self.risky()
        if not risky or engine.kind.role is Role.READER or self.workload.effect is Effect.IDEMPOTENT:
            return True
        if not self.repeatable:
            return False
        group = self.workload.group
        return now + HELD_UP - risky[0].sent < self.workload.memory_time and all(
            group is Group.ALL
            or (d.engine.zone == engine.zone and (group is Group.ZONE or d.engine.cell == engine.cell))
            for d in risky
        )

    def give_up(self, why: GivenUp) -> None:
        if not self.dispatches and self.late_at > -inf:  # a guess of ours says nothing of what engines can do
            self.router.asked = max(0.0, self.router.asked - self.counts)
        self.release_state()
        self.over, self.given_up = True, why
        if self.refusable or not self.risky():
            again = why is not GivenUp.TOO_LONG_TO_SEND  # a new try would be as slow
            self.door.rate_limit(self.router.retry_after if again else 0.0)
        else:
            self.door.abort()
