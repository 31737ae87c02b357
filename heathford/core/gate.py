"""Decides whether something may be sent, retried, refused, closed or started now; no I/O.

Core, link and client connections ask right before bytes are written, because an earlier decision may be
outdated by then: an attempt waits for its connection or for a release. Each answer has a reason. A state
transition that the table doesn't allow is a violation: it is counted by rule and reported, and tests fail on
it.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from heathford.interface import (
    ANSWERED_BY_ENGINE,
    HELD_ALLOWANCE,
    STALL_ALLOWANCE,
    NEVER_RAN,
    Effect,
    Group,
    Health,
    Outcome,
    Workload,
)


class Rule(Enum):
    """The rules of service. Their names and values are written to logs and metrics."""

    ONE_ANSWER = "one final answer, in time"
    NO_EFFECT_TWICE = "no effect twice, no two attempts out"
    DRAIN = "nothing new to an engine that leaves"
    HELD = "what is held is used or released in time"
    CLIENT_GONE = "nothing sent for a client that has gone"


class Stage(Enum):
    """State of a request. Names are written to logs."""

    OPEN = "taken, no attempt out"
    WAITING = "an attempt waits for its connection or a release"
    SENT = "an attempt is out"
    STREAMING = "the first event has been passed on"
    BROKEN = "the stream has ended, the final answer is due"
    ANSWERED = "the final answer has been given"
    LEFT = "the client has gone"


class Event(Enum):
    """Event in the life of a request. Names are written to logs."""

    HANDED_OVER = "an attempt is given to the link"
    SENT = "its first byte leaves"
    FIRST_EVENT = "its first event has come"
    ENDED = "the attempt has ended"
    ANSWERED = "the final answer is given"
    LEFT = "the client has gone"


TRANSITIONS: dict[tuple[Stage, Event], Stage] = {
    (Stage.OPEN, Event.HANDED_OVER): Stage.WAITING,
    (Stage.OPEN, Event.ANSWERED): Stage.ANSWERED,
    (Stage.OPEN, Event.LEFT): Stage.LEFT,
    (Stage.WAITING, Event.SENT): Stage.SENT,
    (Stage.WAITING, Event.ENDED): Stage.OPEN,
    (Stage.WAITING, Event.ANSWERED): Stage.ANSWERED,
    (Stage.WAITING, Event.LEFT): Stage.LEFT,
    (Stage.SENT, Event.FIRST_EVENT): Stage.STREAMING,
    (Stage.SENT, Event.ENDED): Stage.OPEN,
    (Stage.SENT, Event.ANSWERED): Stage.ANSWERED,
    (Stage.SENT, Event.LEFT): Stage.LEFT,
    (Stage.STREAMING, Event.ENDED): Stage.BROKEN,
    (Stage.STREAMING, Event.ANSWERED): Stage.ANSWERED,
    (Stage.STREAMING, Event.LEFT): Stage.LEFT,
    (Stage.BROKEN, Event.ANSWERED): Stage.ANSWERED,
    (Stage.BROKEN, Event.LEFT): Stage.LEFT,
    (Stage.ANSWERED, Event.ENDED): Stage.ANSWERED,
    (Stage.LEFT, Event.ENDED): Stage.LEFT,
}
# The rule that an event breaks where the table above doesn't allow it.
RULE_OF_EVENT = {
    Event.HANDED_OVER: Rule.NO_EFFECT_TWICE,
    Event.SENT: Rule.NO_EFFECT_TWICE,
    Event.FIRST_EVENT: Rule.NO_EFFECT_TWICE,
    Event.ENDED: Rule.NO_EFFECT_TWICE,
    Event.ANSWERED: Rule.ONE_ANSWER,
    Event.LEFT: Rule.ONE_ANSWER,
}


class Reason(Enum):
    """Why something may be done or not. Names and values are written to logs and metrics."""

    ALLOWED = "allowed"
    OVER = "the request is over"
    CLIENT_GONE = "the client has gone"
    ANOTHER_OUT = "another attempt is out"
    MAY_HAVE_RUN = "an earlier attempt may have run"
    WINDOW_OVER = "the window for repeats is over"
    OUTSIDE_GROUP = "the engine does not know the repeat"
    ENGINE_LEAVES = "the engine drains or is gone"
    ENGINE_RESTARTED = "the engine has restarted since the attempt was decided"
    ANSWER_OWED = "an answer is owed on the connection"
    UNREAD = "something unread lies on the connection"
    ENDING = "the process ends"
    TOO_MUCH = "more than is kept for one client"


class Target(Protocol):
    """The engine of an attempt, as the endpoint list has it now."""

    health: Health
    zone: int
    cell: int
    started: float  # s on the loop's clock; 0: long ago


@dataclass
class FixedTarget:
    """A target that is not in the endpoint list."""

    health: Health
    zone: int
    cell: int
    started: float = 0.0


NOT_LISTED = FixedTarget(Health.REMOVED, -1, -1)


@dataclass(slots=True)
class GateAttempt:
    """What the gate knows of one attempt.

    sent_at: s on the loop's clock; outcome: None while in flight; engine_started: the start of the engine's
    process for which the attempt was decided, s on the loop's clock.
    """

    target: Target
    is_prefill: bool
    sent_at: float
    outcome: Outcome | None = None
    engine_started: float = field(init=False)

    def __post_init__(self) -> None:
        self.engine_started = self.target.started

    @property
    def may_have_run(self) -> bool:
        return not self.is_prefill and self.outcome not in NEVER_RAN


@dataclass(slots=True)
class RequestLifecycle:
    """The state of one request, and its attempts so far."""

    name: str
    workload: Workload
    stage: Stage = Stage.OPEN
    attempts: list[GateAttempt] = field(default_factory=list)

    def possibly_run_attempts(self, attempt: GateAttempt | None = None) -> list[GateAttempt]:
        """Return the other attempts that may have had an effect."""
        return [other for other in self.attempts if other is not attempt and other.may_have_run]

    @property
    def forbids_repeat(self) -> bool:
        """Whether the same request must not be accepted again, once this one is over.

        An engine may still be at an attempt that was given up, or the effect may happen a second time.
        """
        outcomes = {attempt.outcome for attempt in self.attempts} - NEVER_RAN
        if self.workload.effect is Effect.IDEMPOTENT:
            return not outcomes <= ANSWERED_BY_ENGINE
        return bool(outcomes)


class Gate:
    """Gives or refuses permission, for all requests of one process.

    on_violation: called for each violation with its rule, the request's name and what happened.
    keyed_repeats: whether an idempotency-keyed request may be retried after an attempt that may have run.
    """

    def __init__(self, on_violation: Callable[[Rule, str, str], None], keyed_repeats: bool = True) -> None:
        self.on_violation, self.keyed_repeats = on_violation, keyed_repeats
        self.violations: Counter[Rule] = Counter()
        self.refused: Counter[Reason] = Counter()

    def record_violation(self, rule: Rule, name: str, what: str) -> None:
        self.violations[rule] += 1
        self.on_violation(rule, name, what)

    def refuse(self, reason: Reason) -> Reason:
        self.refused[reason] += 1
        return reason

    def transition(self, lifecycle: RequestLifecycle, event: Event) -> bool:
        """Apply an event if the table allows it; otherwise count a violation and keep the state."""
        stage = TRANSITIONS.get((lifecycle.stage, event))
        if stage is None:
            self.record_violation(
                RULE_OF_EVENT[event], lifecycle.name, f"{event.name} while {lifecycle.stage.name}"
            )
            return False
        lifecycle.stage = stage
        return True

    def may_send_first_byte(
        self,
        lifecycle: RequestLifecycle,
        attempt: GateAttempt,
        target: Target,
        client_connected: bool,
        now: float,
    ) -> Reason:
        """Return whether the first byte of an attempt may be written now.

        target: its engine, as the endpoint list has it now. now: s on the loop's clock.
        """
        if not client_connected:
            return self.refuse(Reason.CLIENT_GONE)
        if lifecycle.stage is not Stage.WAITING:
            return self.refuse(Reason.OVER)
        if len(lifecycle.attempts) > 1 and any(
            other.outcome is None for other in lifecycle.attempts if other is not attempt
        ):
            self.record_violation(Rule.NO_EFFECT_TWICE, lifecycle.name, "a second attempt while one is out")
            return self.refuse(Reason.ANOTHER_OUT)
        if target.health is not Health.ON:
            return self.refuse(Reason.ENGINE_LEAVES)
        if target.started != attempt.engine_started:
            return self.refuse(Reason.ENGINE_RESTARTED)
        if not attempt.is_prefill:
            return self.may_repeat(lifecycle, attempt, target, now)
        return Reason.ALLOWED

    def may_repeat(
        self, lifecycle: RequestLifecycle, attempt: GateAttempt, target: Target, now: float
    ) -> Reason:
        """Return whether an attempt may run, given what earlier attempts may have done."""
        if len(lifecycle.attempts) == 1:
            return Reason.ALLOWED
        possibly_run, workload = lifecycle.possibly_run_attempts(attempt), lifecycle.workload
        if not possibly_run or workload.effect is Effect.IDEMPOTENT:
            return Reason.ALLOWED
        if workload.effect is Effect.NON_IDEMPOTENT or not self.keyed_repeats:
            self.record_violation(
                Rule.NO_EFFECT_TWICE, lifecycle.name, "a further attempt after one that may have run"
            )
            return self.refuse(Reason.MAY_HAVE_RUN)
        if now + STALL_ALLOWANCE - possibly_run[0].sent_at >= workload.key_ttl:
            return self.refuse(Reason.WINDOW_OVER)
        for other in possibly_run:
            # Cells lie within zones; where the endpoint list has no cells, all engines seem to be in one.
            same_zone = other.target.zone == target.zone
            same_cell = same_zone and other.target.cell == target.cell
            known = same_zone if workload.group is Group.ZONE else same_cell
            if workload.group is not Group.ALL and not known:
                self.record_violation(Rule.NO_EFFECT_TWICE, lifecycle.name, "a repeat outside its group")
                return self.refuse(Reason.OUTSIDE_GROUP)
        return Reason.ALLOWED

    def may_answer_rate_limited(self, lifecycle: RequestLifecycle) -> Reason:
        """Return whether the client may be told that repeating the request does no harm."""
        workload = lifecycle.workload
        known_everywhere = workload.effect is Effect.IDEMPOTENCY_KEYED and workload.group is Group.ALL
        if workload.effect is Effect.IDEMPOTENT or known_everywhere or not lifecycle.possibly_run_attempts():
            return Reason.ALLOWED
        self.record_violation(
            Rule.NO_EFFECT_TWICE, lifecycle.name, "refused although an attempt may have run"
        )
        return self.refuse(Reason.MAY_HAVE_RUN)

    def held_until(self, since: float, limit: float) -> float:
        """Return when a state that is held since then breaks the rule; s on the loop's clock."""
        return since + limit + HELD_ALLOWANCE

    def held_too_long(self, name: str, seconds: float, stage: str) -> None:
        """Count a violation: a state is still held, as no engine has confirmed its release."""
        self.record_violation(Rule.HELD, name, f"held for {seconds:.3f} s, {stage}")

    def may_close(self, answer_owed: bool, half_read: bool, unread: bool) -> Reason:
        """Return whether a client's connection may be closed now."""
        if answer_owed or half_read:
            return Reason.ANSWER_OWED  # not counted: every periodic check of the connection asks
        return self.refuse(Reason.UNREAD) if unread else Reason.ALLOWED

    def may_start(self, buffered: bool, read_at: float, ends_at: float) -> Reason:
        """Return whether a request that has been read may start.

        buffered: whether it is within what is buffered for one client. read_at, ends_at: s on the loop's
        clock; from ends_at on, a process that shuts down accepts no request.
        """
        if not buffered:
            return self.refuse(Reason.TOO_MUCH)
        return self.refuse(Reason.ENDING) if read_at >= ends_at else Reason.ALLOWED
