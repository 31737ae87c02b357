"""When to say a release again for a prefill that was given up and may still end well; no I/O."""

from dataclasses import dataclass

from heathford.policy.held_state import release_time

LATE_READ = (0.1, 0.5, 1.0)  # s after each release: its engine may end it well after one that it has answered
MAX_FOLLOW_UP = 10.0  # s for which its engine may be cut off: twice the silences that deployments have met


@dataclass
class AbandonedPrefill:
    """since: s on the loop's clock when it was given up, or when the last attempt after it was sent.

    said: releases confirmed since its engine first answered one, or since `since`. Any engine confirms a
    release; only an answer of its own engine shows that this one has seen the close.
    """

    since: float
    said: int = 0
    engine_answered: bool = False

    def release_confirmed(self, by_its_engine: bool) -> None:
        """A release was confirmed; by_its_engine: that runs, or its process is gone."""
        self.said += 1
        if by_its_engine and not self.engine_answered:
            self.engine_answered, self.said = True, 1

    def next_release_in(self, now: float, pin_limit: float) -> float | None:
        """s until the next one, None when there is none. While its engine is silent a state may be left at
        any time, so releases follow each other within the limit, less what one may take."""
        if self.engine_answered:
            return LATE_READ[self.said - 1] if self.said <= len(LATE_READ) else None
        if now - self.since >= MAX_FOLLOW_UP:
            return None
        return min(LATE_READ[min(self.said, len(LATE_READ)) - 1], release_time(0.0, pin_limit))
