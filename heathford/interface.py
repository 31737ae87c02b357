"""The interface between the routing decisions (heathford.policy) and the code that carries them out.

The adapter for the simulator (heathford.drill) or a front node's core makes one Router, gives it a clock and
a RouterActions, and calls it. Each request that it accepts comes with a RequestActions of its own, and its
later events are calls on the RoutedRequest that is returned. Times are float seconds. Nothing here decides
anything.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


# Allowances in the requirements on a front node.
STALL_ALLOWANCE = 0.15  # s for which this process may stall between reading the clock and writing
HELD_ALLOWANCE = 0.3  # s beyond the pin limit for which a prefill state may be held


class Role(Enum):
    """What an engine does: prefill ("read"), decode ("write"), or both, as a combined engine."""

    PREFILL = "read"
    DECODE = "write"
    COMBINED = "both"


class Effect(Enum):
    """What it means to run a request twice.

    No harm; no harm within a group of engines that know its idempotency key ("tokened" in settings); or harm.
    """

    IDEMPOTENT = "idempotent"
    IDEMPOTENCY_KEYED = "tokened"
    NON_IDEMPOTENT = "non-idempotent"


class Group(Enum):
    """Which engines recognize the repeat of an idempotency-keyed request.

    A cell is a group of engines within a zone.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Health(Enum):
    """What the endpoint list says of an engine."""

    ON = "on"
    DRAINING = "draining"
    REMOVED = "gone"


class Outcome(Enum):
    """How an attempt ended."""

    FINISHED = "finished"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    UNSENT = "unsent"  # its last byte has not left this process: no engine has started it
    PREFILLED = "read"
    NO_FREE_CONNECTION = "crowded"  # all our own connections are in use: nothing was sent
    UNARRIVED = "unarrived"  # sent, but its last byte is not known to have reached the engine; it still may


class GiveUpReason(Enum):
    """Why the Router gives a request up."""

    DEADLINE_NEAR = "its time is nearly over"
    NO_ENGINE = "no listed engine may take it"
    SHED = "it can hardly be in time"
    TRANSFER_TOO_SLOW = "its prompt can't reach an engine in its time"


# Outcomes which prove that the attempt had no effect.
NEVER_RAN = frozenset(
    {Outcome.FULL, Outcome.UNREACHABLE, Outcome.UNSENT, Outcome.PREFILLED, Outcome.NO_FREE_CONNECTION}
)

# The detail of an outcome among these: part of the attempt's bytes arrived, the rest did not in time.
PART_ARRIVED = 1

# Outcomes reported by the engine itself, which the attempt has therefore reached. After any other nothing is
# known: bytes that the remote kernel has confirmed may never come to the engine, and a connection that breaks
# or falls silent shows neither that they came nor that they did not.
ANSWERED_BY_ENGINE = frozenset({Outcome.FULL, Outcome.PREFILLED, Outcome.ERROR, Outcome.FINISHED})


@dataclass(frozen=True)
class Workload:
    """The limits of one class of requests."""

    latency_target: float  # s
    target_per_1000: float  # s more for each 1,000 prompt tokens
    token_target: float  # s from one token to the next
    effect: Effect
    group: Group
    key_ttl: float  # s from the first attempt for which engines recognize a repeat by its idempotency key
    value: float  # relative worth of a request, from the settings; the policy does not use it


@dataclass(frozen=True)
class EngineKind:
    """A kind of engine; memory: for the contexts of its streams, 0 where none is declared."""

    role: Role
    memory: int  # tokens


class Clock(Protocol):
    """The time of the events that are being decided."""

    @property
    def now(self) -> float: ...


class RequestActions(Protocol):
    """What the Router can do for one request."""

    def send(self, engine: int, timeout: float) -> None:
        """Send an attempt, whose number counts up from 0, with its time-out in s."""
        ...

    def cancel(self, seq: int) -> None: ...

    def rate_limit(self, retry_after: float) -> None:
        """Give the final answer that the client may repeat the request, after `retry_after` s if not 0."""
        ...

    def abort(self) -> None:
        """Give the final answer that the request failed and may have run."""
        ...

    def release(self) -> None:
        """Release the prefill state that is held for the request."""
        ...


class RouterActions(Protocol):
    """What the Router can do for itself."""

    def wake(self, after: float) -> None:
        """Call Router.decide after so many s."""
        ...

    def subscribe(self) -> None:
        """Request the endpoint list and its changes."""
        ...

    def trace(self, text: str) -> None: ...


class RoutedRequest(Protocol):
    """An accepted request; each event that concerns it is a call on this object."""

    @property
    def is_done(self) -> bool:
        """Whether nothing more can happen to it."""

    @property
    def give_up_reason(self) -> GiveUpReason | None:
        """Why the Router has given it up, if it has."""

    def first_token(self, seq: int, latency: float) -> None:
        """Report that the stream of an attempt begins, `latency` s after the attempt was sent."""
        ...

    def ended(
        self, seq: int, outcome: Outcome, latency: float, closed: bool, detail: int, load: Mapping[str, float]
    ) -> None:
        """Report that an attempt ended.

        closed: the request has its final answer. detail: cached prompt tokens after a prefill, PART_ARRIVED,
        or for FULL 1 where the prefill state could not be fetched. load: slots, queue, held, memory, as far
        as the engine reports them.
        """

    def engine_silent(self, seq: int) -> None:
        """Report that an engine has sent nothing since its attempt and not answered a liveness check."""

    def client_left(self) -> None: ...
