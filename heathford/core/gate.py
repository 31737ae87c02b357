"""Decides whether something may be sent, repeated, refused, closed or started now; no I/O.

Core, link and client connections ask right before bytes leave: what was decided earlier may be out of date,
as an attempt waits for its connection or for a release. Each answer carries its reason. A step that the table
of transitions does not allow is a violation: it is counted by rule and told, and tests fail on it.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from heathford.interface import (
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
    """The users' rules, as the pages number them."""

    ONE_ANSWER = "one final answer, in time"
    NO_EFFECT_TWICE = "no effect twice, no two attempts out"
    DRAIN = "nothing new to an engine that leaves"
    HELD = "what is held is used or released in time"
    CLIENT_GONE = "nothing sent for a client that has gone"


class Stage(Enum):
    """Where a request stands."""

    OPEN = "taken, no attempt out"
    WAITING = "an attempt waits for its connection or a release"
    SENT = "an attempt is out"
    STREAMING = "the first event has been passed on"
    BROKEN = "the stream has ended, the final answer is due"
    ANSWERED = "the final answer has been given"
    LEFT = "the client has gone"


class Event(Enum):
    """What happens to a request."""

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
BROKEN_RULE = {
    Event.HANDED_OVER: Rule.NO_EFFECT_TWICE,
    Event.SENT: Rule.NO_EFFECT_TWICE,
    Event.FIRST_EVENT: Rule.NO_EFFECT_TWICE,
    Event.ENDED: Rule.NO_EFFECT_TWICE,
    Event.ANSWERED: Rule.ONE_ANSWER,
    Event.LEFT: Rule.ONE_ANSWER,
}


class Reason(Enum):
    """Why something may be done or not."""

    ALLOWED = "allowed"
    OVER = "the request is over"
    CLIENT_GONE = "the client has gone"
    ANOTHER_OUT = "another attempt is out"
    MAY_HAVE_RUN = "an earlier attempt may have run"
    WINDOW_OVER = "the window for repeats is over"
    OUTSIDE_GROUP = "the engine does not know the repeat"
    ENGINE_LEAVES = "the engine drains or is gone"
    ANSWER_OWED = "an answer is owed on the connection"
    UNREAD = "something unread lies on the connection"
    ENDING = "the process ends"
    TOO_MUCH = "more than is kept for one client"


class Target(Protocol):
    """The engine that an attempt is meant for, as the list says now."""

    health: Health
    zone: int
    cell: int


@dataclass
class Place:
    """A target of its own, as of an engine that the list no longer names."""

    health: Health
    zone: int
    cell: int


NOT_LISTED = Place(Health.REMOVED, -1, -1)


@dataclass(slots=True)
class GateAttempt:
    """One attempt of a request. sent_at: s on the loop's clock."""

    target: Target
    is_prefill: bool
    sent_at: float
    verdict: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return not self.is_prefill and self.verdict not in NEVER_RAN


@dataclass(slots=True)
class RequestLife:
    """The state of one request and its attempts so far."""

    name: str
    workload: Workload
    stage: Stage = Stage.OPEN
    attempts: list[GateAttempt] = field(default_factory=list)

    def earlier_risks(self, attempt: GateAttempt | None = None) -> list[GateAttempt]:
        """Other attempts that may have had an effect."""
        return [other for other in self.attempts if other is not attempt and other.may_have_run]


class Gate:
    """Answers for all requests of one process.

    violated: told of each violation, with the request's name. keyed_repeats: whether a keyed request may be
    repeated after an attempt that may have run.
    """

    def __init__(self, violated: Callable[[Rule, str, str], None], keyed_repeats: bool = True) -> None:
        self.violated, self.keyed_repeats = violated, keyed_repeats
        self.violations: Counter[Rule] = Counter()
        self.refused: Counter[Reason] = Counter()

    def record_violation(self, rule: Rule, name: str, what: str) -> None:
        self.violations[rule] += 1
        self.violated(rule, name, what)

    def refuse(self, reason: Reason) -> Reason:
        self.refused[reason] += 1
        return reason

    def step(self, life: RequestLife, event: Event) -> bool:
        """Take a step if the table allows it; else count a violation and stay."""
        stage = TRANSITIONS.get((life.stage, event))
        if stage is None:
            self.record_violation(BROKEN_RULE[event], life.name, f"{event.name} while {life.stage.name}")
            return False
        life.stage = stage
        return True

    def may_send(
        self, life: RequestLife, attempt: GateAttempt, target: Target, client_waits: bool, now: float
    ) -> Reason:
        """Whether the first byte of an attempt may leave now; target: its engine as the list says now."""
        if not client_waits:
            return self.refuse(Reason.CLIENT_GONE)
        if life.stage is not Stage.WAITING:
            return self.refuse(Reason.OVER)
        if len(life.attempts) > 1 and any(
            other.verdict is None for other in life.attempts if other is not attempt
        ):
            self.record_violation(Rule.NO_EFFECT_TWICE, life.name, "a second attempt while one is out")
            return self.refuse(Reason.ANOTHER_OUT)
        if target.health is not Health.ON:
            return self.refuse(Reason.ENGINE_LEAVES)
        if not attempt.is_prefill:
            return self.may_repeat(life, attempt, target, now)
        return Reason.ALLOWED

    def may_repeat(self, life: RequestLife, attempt: GateAttempt, target: Target, now: float) -> Reason:
        """Whether an attempt may run beside what earlier ones may have done."""
        if len(life.attempts) == 1:
            return Reason.ALLOWED
        risks, workload = life.earlier_risks(attempt), life.workload
        if not risks or workload.effect is Effect.IDEMPOTENT:
            return Reason.ALLOWED
        if workload.effect is Effect.NON_IDEMPOTENT or not self.keyed_repeats:
            self.record_violation(
                Rule.NO_EFFECT_TWICE, life.name, "a further attempt after one that may have run"
            )
            return self.refuse(Reason.MAY_HAVE_RUN)
        if now + STALL_ALLOWANCE - risks[0].sent_at >= workload.key_ttl:
            return self.refuse(Reason.WINDOW_OVER)
        for other in risks:
            # Cells lie in zones; where the list names no cells all engines look like one.
            same_zone = other.target.zone == target.zone
            same_cell = same_zone and other.target.cell == target.cell
            known = same_zone if workload.group is Group.ZONE else same_cell
            if workload.group is not Group.ALL and not known:
                self.record_violation(Rule.NO_EFFECT_TWICE, life.name, "a repeat outside its group")
                return self.refuse(Reason.OUTSIDE_GROUP)
        return Reason.ALLOWED

    def may_answer_refused(self, life: RequestLife) -> Reason:
        """Whether the client may be told that a new try does no harm."""
        workload = life.workload
        known_everywhere = workload.effect is Effect.IDEMPOTENCY_KEYED and workload.group is Group.ALL
        if workload.effect is Effect.IDEMPOTENT or known_everywhere or not life.earlier_risks():
            return Reason.ALLOWED
        self.record_violation(Rule.NO_EFFECT_TWICE, life.name, "refused although an attempt may have run")
        return self.refuse(Reason.MAY_HAVE_RUN)

    def held_until(self, since: float, limit: float) -> float:
        """When a state breaks the rule that is held since then; s on the loop's clock."""
        return since + limit + HELD_ALLOWANCE

    def held_too_long(self, name: str, seconds: float, stage: str) -> None:
        """What prefill left is still held, as far as engines have told."""
        self.record_violation(Rule.HELD, name, f"held for {seconds:.3f} s, {stage}")

    def may_close(self, answer_owed: bool, half_read: bool, unread: bool) -> Reason:
        """Whether a client's connection may be shut now."""
        if answer_owed or half_read:
            return Reason.ANSWER_OWED  # asked at every sweep: not counted
        return self.refuse(Reason.UNREAD) if unread else Reason.ALLOWED

    def may_start(self, kept: bool, read_at: float, ends_at: float) -> Reason:
        """Whether a request that has been read may begin; ends_at: s on the loop's clock from which a process
        that ends takes nothing."""
        if not kept:
            return self.refuse(Reason.TOO_MUCH)
        return self.refuse(Reason.ENDING) if read_at >= ends_at else Reason.ALLOWED
