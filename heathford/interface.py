"""What passes between the decisions (heathford.policy) and whatever carries them out.

A carrier, the drill adapter now and a real front later, makes one Router an instance, hands it a clock and
an InstanceDoor, and calls it; each completion that it takes brings a CompletionDoor of its own and gets a
handle back. Times are float seconds. Nothing here decides anything.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


# Terms that the users state.
STALL_ALLOWANCE = 0.15  # s that may pass between reading the clock and writing
HELD_ALLOWANCE = 0.3  # s beyond the pin limit for which a state may be held


class Role(Enum):
    PREFILL = "read"
    DECODE = "write"
    COMBINED = "both"


class Effect(Enum):
    """What running a completion twice does: nothing, nothing inside a group, or harm."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENCY_KEYED = "tokened"
    NON_IDEMPOTENT = "non-idempotent"


class Group(Enum):
    """Which engines know a tokened repeat."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Health(Enum):
    ON = "on"
    DRAINING = "draining"
    REMOVED = "gone"


class Outcome(Enum):
    """How a dispatch ended."""

    FINISHED = "finished"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    UNSENT = "unsent"
    PREFILLED = "read"
    NO_FREE_CONNECTION = "crowded"  # all our own connections are in use: nothing was sent
    UNARRIVED = "unarrived"  # sent, but its last byte is not known to have reached the engine; it still may


class GiveUpReason(Enum):
    """Why the Router gives a completion up."""

    DEADLINE_NEAR = "its time is nearly over"
    NO_ENGINE = "no listed engine may take it"
    SHED = "it can hardly be in time"
    TRANSFER_TOO_SLOW = "its prompt can't reach an engine in its time"


# Outcomes which prove that the dispatch had no effect.
NEVER_RAN = frozenset(
    {Outcome.FULL, Outcome.UNREACHABLE, Outcome.UNSENT, Outcome.PREFILLED, Outcome.NO_FREE_CONNECTION}
)

# The detail of an outcome among these: part of the dispatch had arrived, and the rest did not in its time.
PART_ARRIVED = 1

# Outcomes that an engine has told itself: the dispatch has reached it. After any other nothing is known: what
# the far machine's kernel has confirmed may never come to the engine, and a connection that breaks or falls
# silent tells neither that it came nor that it did not.
ANSWERED_BY_ENGINE = frozenset({Outcome.FULL, Outcome.PREFILLED, Outcome.ERROR, Outcome.FINISHED})


@dataclass(frozen=True)
class Workload:
    latency_target: float  # s
    target_per_1000: float  # s more for each 1,000 prompt tokens
    token_target: float  # s from one token to the next
    effect: Effect
    group: Group
    key_ttl: float  # s for which a tokened repeat is known, from the send
    value: float


@dataclass(frozen=True)
class EngineKind:
    role: Role
    memory: int  # tokens


class Clock(Protocol):
    @property
    def now(self) -> float: ...


class RequestActions(Protocol):
    """What can be done for one completion."""

    def send(self, engine: int, timeout: float) -> None: ...

    def cancel(self, seq: int) -> None: ...

    def rate_limit(self, retry_after: float) -> None: ...

    def abort(self) -> None: ...

    def release(self) -> None: ...


class RouterActions(Protocol):
    """What can be done by the instance itself."""

    def wake(self, after: float) -> None: ...

    def subscribe(self) -> None: ...

    def trace(self, text: str) -> None: ...


class RoutedRequest(Protocol):
    """A completion that was taken; all that happens to it is a call on this."""

    @property
    def is_done(self) -> bool:
        """Nothing more can happen to it."""

    @property
    def give_up_reason(self) -> GiveUpReason | None:
        """Why the Router has given it up, if it has."""

    def first_token(self, seq: int, latency: float) -> None: ...

    def ended(
        self, seq: int, verdict: Outcome, latency: float, closed: bool, detail: int, load: Mapping[str, float]
    ) -> None:
        """A dispatch ended. Load: slots, queue, held, memory, as far as the engine reports them."""

    def engine_silent(self, seq: int) -> None:
        """The engine of a dispatch that is out has said nothing since, nor to a release after that."""

    def client_left(self) -> None: ...
