"""What was seen of each request and of its attempts, put together from the records of a run."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from heathford.soak.records import Record, Seen

NEVER_RAN = ("full", "gone")  # what an engine says of an attempt that it has not begun


@dataclass
class Attempt:
    """One attempt as the sockets saw it. told: s that its engine was told; outcome: what that said."""

    engine: str
    first: float
    last: float = inf
    told: float = 0.0
    delivered: float = inf
    prefill: bool = False
    outcome: str = ""
    said: float = inf
    closed: float = inf
    heard: float = inf  # when its answer had passed its link whole

    @property
    def ran(self) -> bool:
        return self.delivered < inf and not self.prefill and self.outcome not in NEVER_RAN

    @property
    def end(self) -> float:
        return min(self.said, self.closed)

    def tell(self, record: Record) -> None:
        if record.kind is Seen.LAST_BYTE:
            self.last, self.told = record.time, record.value / 1000
        elif record.kind is Seen.DELIVERED:
            self.delivered, self.prefill = record.time, record.text == "prefill"
        elif record.kind is Seen.ENGINE_SAID:
            self.outcome, self.said = record.text, record.time
        elif record.kind is Seen.PASSED_ON:
            self.heard = record.time
        elif record.kind is Seen.GIVEN_UP:
            self.closed = min(self.closed, record.time)


@dataclass
class Story:
    """All that was seen of one request."""

    asked: float = inf
    budget: float = 0.0
    request_class: str = ""
    front: str = ""
    left: float = inf
    answers: list[Record] = field(default_factory=list)
    lost: list[Record] = field(default_factory=list)
    cut: list[Record] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    releases: list[float] = field(default_factory=list)

    def attempt(self, record: Record) -> Attempt | None:
        """The latest at that engine of which this may be told: one that was given up may be read later."""
        at_engine = [attempt for attempt in reversed(self.attempts) if attempt.engine == record.engine]
        if record.kind is Seen.DELIVERED:
            open_ones = [attempt for attempt in at_engine if attempt.delivered == inf]
        elif record.kind is Seen.ENGINE_SAID:
            open_ones = [attempt for attempt in at_engine if attempt.delivered < inf and not attempt.outcome]
        elif record.kind is Seen.GIVEN_UP:  # one attempt after another: the earlier one is closed first
            open_ones = [a for a in reversed(at_engine) if a.closed == inf and not a.outcome]
        else:
            open_ones = at_engine
        return next(iter(open_ones or at_engine), None)

    def tell(self, record: Record) -> None:
        kind = record.kind
        if kind is Seen.ASKED:
            self.asked, self.budget = record.time, record.value / 1000
            self.request_class, self.front = record.text, record.front
        elif kind is Seen.LEFT:
            self.left = record.time
        elif kind is Seen.ANSWERED:
            self.answers.append(record)
        elif kind is Seen.LOST:
            self.lost.append(record)
        elif kind is Seen.CUT:
            self.cut.append(record)
        elif kind is Seen.FIRST_BYTE:
            self.attempts.append(Attempt(record.engine, record.time))
        elif kind is Seen.RELEASED:
            self.releases.append(record.time)
        elif attempt := self.attempt(record):
            attempt.tell(record)


class Holding(Enum):
    """What becomes of a state that prefill left."""

    FREE = "used or released"
    HELD = "held, no attempt that has arrived is out"
    OUT = "an attempt is out that takes it up"
    BACK = "that attempt has ended without"


@dataclass(frozen=True)
class Step:
    """since: s from which the limit counts, if it is held from then on; released: by a release."""

    time: float
    holding: Holding
    since: float
    released: bool = False


def stories_of(records: Iterable[Record]) -> dict[str, Story]:
    """By request; the records in the order of time."""
    stories: dict[str, Story] = defaultdict(Story)
    for record in records:
        if record.request:
            stories[record.request].tell(record)
    return stories
