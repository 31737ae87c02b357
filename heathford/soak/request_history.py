"""The history of each request and of its attempts, assembled from the records of a run."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from heathford.soak.records import Record, RecordKind

NOT_RUN_OUTCOMES = ("full", "gone")  # of attempts that their engine rejected without starting them


@dataclass
class Attempt:
    """One attempt as observed on the sockets; times in s.

    sent_budget: s, the time budget that the front node sent to the engine. outcome: what the engine
    answered.
    """

    engine: str
    first_byte_at: float
    last_byte_at: float = inf
    sent_budget: float = 0.0
    delivered_at: float = inf
    is_prefill: bool = False
    outcome: str = ""
    answered_at: float = inf
    closed_at: float = inf
    passed_on_at: float = inf  # when the link had passed on the complete answer
    spoilt_at: float = inf  # when its engine had written the last sound event of a stream that it spoils
    spoilt_how: str = ""
    written_slowly: bool = False  # a sound stream, by its engine

    @property
    def has_run(self) -> bool:
        """Whether it is a decode attempt that its engine may have executed."""
        return self.delivered_at < inf and not self.is_prefill and self.outcome not in NOT_RUN_OUTCOMES

    @property
    def ended_at(self) -> float:
        """When the engine answered it or the front node closed its connection, whichever came first."""
        return min(self.answered_at, self.closed_at)

    def add(self, record: Record) -> None:
        if record.kind is RecordKind.LAST_BYTE:
            self.last_byte_at, self.sent_budget = record.time, record.value / 1000
        elif record.kind is RecordKind.DELIVERED:
            self.delivered_at, self.is_prefill = record.time, record.text == "prefill"
        elif record.kind is RecordKind.ENGINE_SAID:
            self.outcome, self.answered_at = record.text, record.time
        elif record.kind is RecordKind.SPOILT:
            self.spoilt_at, self.spoilt_how = record.time, record.text
        elif record.kind is RecordKind.WRITES_SLOWLY:
            self.written_slowly = True
        elif record.kind is RecordKind.PASSED_ON:
            self.passed_on_at = record.time
        elif record.kind is RecordKind.GIVEN_UP:
            self.closed_at = min(self.closed_at, record.time)


@dataclass
class RequestHistory:
    """All that was recorded of one request; times and budget in s."""

    asked_at: float = inf
    budget: float = 0.0
    request_class: str = ""
    front: str = ""
    left_at: float = inf
    answers: list[Record] = field(default_factory=list)
    lost: list[Record] = field(default_factory=list)
    cuts: list[Record] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    releases: list[float] = field(default_factory=list)
    fetches: list[float] = field(default_factory=list)  # of the prefill state, by an engine

    @property
    def last_attempt_spoilt(self) -> bool:
        """Whether the engine of the last attempt has spoilt its stream."""
        return bool(self.attempts) and self.attempts[-1].spoilt_at < inf

    @property
    def last_attempt_slow(self) -> bool:
        """Whether the engine of the last attempt writes its sound stream slowly."""
        return bool(self.attempts) and self.attempts[-1].written_slowly

    def find_attempt(self, record: Record) -> Attempt | None:
        """Return the latest attempt at the record's engine that the record can belong to.

        An engine may read an attempt after the front node gave it up.
        """
        at_engine = [attempt for attempt in reversed(self.attempts) if attempt.engine == record.engine]
        if record.kind is RecordKind.DELIVERED:
            candidates = [attempt for attempt in at_engine if attempt.delivered_at == inf]
        elif record.kind is RecordKind.ENGINE_SAID:
            candidates = [
                attempt for attempt in at_engine if attempt.delivered_at < inf and not attempt.outcome
            ]
        elif (
            record.kind is RecordKind.GIVEN_UP
        ):  # attempts at one engine are closed in the order in which they were sent
            candidates = [a for a in reversed(at_engine) if a.closed_at == inf and not a.outcome]
        else:
            candidates = at_engine
        return next(iter(candidates or at_engine), None)

    def end_seen_at(self, attempt: Attempt, close_delay: float) -> float:
        """Return until when the engine of an attempt takes it for running, or a further one has arrived.

        close_delay: s after which an engine sees the end of a connection. A release that it reads before
        frees nothing.
        """
        if attempt.answered_at <= attempt.closed_at:
            return attempt.ended_at
        later = (other.delivered_at for other in self.attempts if other.delivered_at > attempt.ended_at)
        return min([attempt.ended_at + close_delay, *later])

    def add(self, record: Record) -> None:
        kind = record.kind
        if kind is RecordKind.ASKED:
            self.asked_at, self.budget = record.time, record.value / 1000
            self.request_class, self.front = record.text, record.front
        elif kind is RecordKind.LEFT:
            self.left_at = record.time
        elif kind is RecordKind.ANSWERED:
            self.answers.append(record)
        elif kind is RecordKind.LOST:
            self.lost.append(record)
        elif kind is RecordKind.CUT:
            self.cuts.append(record)
        elif kind is RecordKind.FIRST_BYTE:
            self.attempts.append(Attempt(record.engine, record.time))
        elif kind is RecordKind.RELEASED:
            self.releases.append(record.time)
        elif kind is RecordKind.FETCHED:
            self.fetches.append(record.time)
        elif attempt := self.find_attempt(record):
            attempt.add(record)


class StateStatus(Enum):
    """What becomes of the prefill state of a request."""

    FREE = "fetched or released"
    HELD = "held, and no decode attempt has arrived at its engine"
    IN_FLIGHT = "a decode attempt that will fetch it has arrived at its engine"
    ATTEMPT_ENDED = "that attempt has ended without fetching it"


@dataclass(frozen=True)
class StateChange:
    """A change of the status of a prefill state.

    counted_from: s, when the limit for held states starts to count if the state is held from then on.
    released: whether a release caused the change.
    """

    time: float
    status: StateStatus
    counted_from: float
    released: bool = False


def build_histories(records: Iterable[Record]) -> dict[str, RequestHistory]:
    """Return the histories by request name; `records` must be in the order of time."""
    histories: dict[str, RequestHistory] = defaultdict(RequestHistory)
    for record in records:
        if record.request:
            histories[record.request].add(record)
    return histories
