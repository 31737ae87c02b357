"""Follows the state that a prefill attempt left at its engine until it is fetched or released; no I/O.

A link reports each step of a release, the core everything else.
"""

from collections import Counter
from collections.abc import Callable
from enum import Enum

from heathford.core.protocols import Cancellable


class HeldStage(Enum):
    """Stage of a held state, as far as this process knows."""

    WAITING = "waiting"  # for a decode attempt, or for one in flight to begin to stream
    RELEASING = "releasing"  # engines are asked to release it
    FETCHED = "taken"  # fetched: a decode attempt has begun to stream
    RELEASED = "released"  # an engine has confirmed it
    NEVER_HELD = "never held"  # the prefill attempt was refused
    UNCONFIRMED = "unconfirmed"  # no engine has confirmed the release in time


OPEN_STAGES = (HeldStage.WAITING, HeldStage.RELEASING)


class ReleaseReason(Enum):
    """Why a state is released."""

    POLICY = "the policy lets it go"
    PREFILL_UNCLEAR = "its prefill attempt ended unseen"  # the result of the attempt is unknown
    # It may have succeeded after the first release.
    PREFILL_LATE = "an earlier prefill attempt may have ended well since"
    REQUEST_OVER = "the request was over when its prefill attempt ended"
    DECISION_FAILED = "the request's decision failed"


class SignOfLife(Enum):
    """Whether the engine of an attempt runs, while the state that the attempt waits for is being released."""

    HEARD_SINCE = "its engine was heard since"
    ANSWERS = "its engine answers"
    SILENT = "its engine is silent"


class HeldStatistics:
    """Counts over all requests of a process.

    longest: s for which a state was held at most since the last summary.
    """

    def __init__(self) -> None:
        self.open = 0
        self.longest = 0.0
        self.ends: Counter[HeldStage] = Counter()

    def summary(self, longest_open: float) -> dict[str, float]:
        """Return the figures for the periodic state log line, and reset `longest`.

        longest_open: longest time in s for which a state that is still held has been held.
        """
        longest, self.longest = max(self.longest, longest_open), 0.0
        ends = {stage.value: float(count) for stage, count in self.ends.items()}
        return {"open": self.open, "longest": round(longest, 3), **ends}


class HeldState:
    """The state that one prefill attempt left; a link reports its release (`protocols.ReleaseEvents`).

    since: s on the loop's clock from which the limit counts; an answer of the engine restarts it, held_from
    stays. record: writes an event, its reason and an engine to the request's history.
    """

    def __init__(
        self,
        since: float,
        clock: Callable[[], float],
        record: Callable[[str, str, str], None],
        statistics: HeldStatistics,
    ) -> None:
        self.since, self.clock, self.record, self.statistics = since, clock, record, statistics
        self.held_from = since
        self.check_timer: Cancellable | None = None  # fires when the limit has passed
        self.stage = HeldStage.WAITING
        statistics.open += 1

    @property
    def open(self) -> bool:
        """Whether the state may still be held."""
        return self.stage in OPEN_STAGES

    def release_started(self) -> None:
        """Note that engines are being asked to release the state."""
        if self.open:
            self.stage = HeldStage.RELEASING

    def end(self, stage: HeldStage) -> None:
        """Stop following: the state is no longer held, or no more can be learned. The first call counts."""
        if not self.open:
            return
        self.stage = stage
        if self.check_timer:
            self.check_timer.cancel()
            self.check_timer = None
        self.statistics.open -= 1
        self.statistics.ends[stage] += 1
        self.statistics.longest = max(self.statistics.longest, self.clock() - self.held_from)

    def requested(self, engine: str) -> None:
        """Record that an engine is being asked for the release."""
        self.record("release asked", "", engine)

    def not_confirmed(self, engine: str, status: int) -> None:
        """Record that an engine did not confirm the release; status: of its answer, 0 without one."""
        self.record("release unanswered", f"status {status}" if status else "no answer", engine)

    def confirmed(self, engine: str) -> None:
        """Record that an engine has confirmed the release."""
        self.record("release confirmed", "", engine)
        self.end(HeldStage.RELEASED)

    def failed(self) -> None:
        """Record that no engine has confirmed the release in time."""
        self.record("release failed", "", "")
        self.end(HeldStage.UNCONFIRMED)
