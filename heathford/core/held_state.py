"""What a prefill attempt has left at its engine, followed until it is known to be taken or released; no I/O.

Nothing here sends: a link tells of each step of a release, the core of all else.
"""

from collections import Counter
from collections.abc import Callable
from enum import Enum

from heathford.core.protocols import Cancellable


class HeldStage(Enum):
    """Where a held state stands, as far as it is known."""

    WAITING = "waiting"  # for a decode attempt, or for one that is out to begin
    RELEASING = "releasing"  # engines are asked to release it
    TAKEN = "taken"  # by a decode attempt that has begun to stream
    RELEASED = "released"  # an engine has confirmed it
    NEVER_HELD = "never held"  # its prefill attempt was turned away
    UNCONFIRMED = "unconfirmed"  # no engine has confirmed the release in its time


OPEN_STAGES = (HeldStage.WAITING, HeldStage.RELEASING)


class ReleaseReason(Enum):
    """Why a state is released."""

    POLICY = "the policy lets it go"
    PREFILL_UNCLEAR = "its prefill attempt ended unseen"
    PREFILL_LATE = "an earlier prefill attempt may have ended well since"
    REQUEST_OVER = "the request was over when its prefill attempt ended"
    DECISION_FAILED = "the request's decision failed"


class SignOfLife(Enum):
    """What is known of the engine of an attempt whose state is being released."""

    HEARD_SINCE = "its engine was heard since"
    ANSWERS = "its engine answers"
    SILENT = "its engine is silent"


class HeldStatistics:
    """Counts over all requests of a process. longest: s for which a state was held since last told."""

    def __init__(self) -> None:
        self.open = 0
        self.longest = 0.0
        self.ends: Counter[HeldStage] = Counter()

    def told(self, longest_open: float) -> dict[str, float]:
        """For the state line; `longest` begins anew. longest_open: s, of those that are still held."""
        longest, self.longest = max(self.longest, longest_open), 0.0
        ends = {stage.value: float(count) for stage, count in self.ends.items()}
        return {"open": self.open, "longest": round(longest, 3), **ends}


class HeldState:
    """The state of one prefill attempt. since: s on the loop's clock from which the limit counts.

    record: writes an event, its reason and an engine to the request's history. It is told of a release by
    its link (`heathford.core.protocols.ReleaseEvents`).
    """

    def __init__(
        self,
        since: float,
        clock: Callable[[], float],
        record: Callable[[str, str, str], None],
        statistics: HeldStatistics,
    ) -> None:
        self.since, self.clock, self.record, self.statistics = since, clock, record, statistics
        self.begun_at = since
        self.check: Cancellable | None = None  # due when the limit is over; cancelled as it ends
        self.stage = HeldStage.WAITING
        statistics.open += 1

    @property
    def open(self) -> bool:
        """Whether it may still be held."""
        return self.stage in OPEN_STAGES

    def release_begins(self) -> None:
        """Engines are asked from now on."""
        if self.open:
            self.stage = HeldStage.RELEASING

    def end(self, stage: HeldStage) -> None:
        """It is held no longer, or can't be followed further. The first call counts."""
        if not self.open:
            return
        self.stage = stage
        if self.check:
            self.check.cancel()
            self.check = None
        self.statistics.open -= 1
        self.statistics.ends[stage] += 1
        self.statistics.longest = max(self.statistics.longest, self.clock() - self.begun_at)

    def requested(self, engine: str) -> None:
        """A release is on its way to an engine."""
        self.record("release asked", "", engine)

    def not_confirmed(self, engine: str, status: int) -> None:
        """An engine did not confirm the release; status: of its answer, 0 without one."""
        self.record("release unanswered", f"status {status}" if status else "no answer", engine)

    def confirmed(self, engine: str) -> None:
        """An engine has confirmed the release."""
        self.record("release confirmed", "", engine)
        self.end(HeldStage.RELEASED)

    def failed(self) -> None:
        """No engine has confirmed the release in its time."""
        self.record("release failed", "", "")
        self.end(HeldStage.UNCONFIRMED)
