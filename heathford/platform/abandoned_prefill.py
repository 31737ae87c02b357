"""Decides when to repeat a release for a prefill attempt that was given up but may still finish; no I/O."""

from dataclasses import dataclass

from heathford.policy.held_state import release_time

FURTHER_RELEASE_DELAYS = (0.1, 0.5, 1.0)  # s after each release: the prefill may finish after an answered one
MAX_FOLLOW_UP = 10.0  # s: the engine may be cut off for twice the silences that deployments have seen


@dataclass
class AbandonedPrefill:
    """A prefill attempt that was given up, and the releases that have been confirmed for it.

    since: s on the loop's clock when it was given up, or when the last attempt after it was sent.

    confirmed_releases: counted from the first one that its own engine answered, or else from `since`.
    Any engine confirms a release; only an answer of the attempt's own engine shows that this engine has seen
    the connection close.
    """

    since: float
    confirmed_releases: int = 0
    engine_answered: bool = False

    def release_confirmed(self, by_its_engine: bool) -> None:
        """Record a confirmed release.

        by_its_engine: the attempt's own engine answered, or its process is gone.
        """
        self.confirmed_releases += 1
        if by_its_engine and not self.engine_answered:
            self.engine_answered, self.confirmed_releases = True, 1

    def next_release_in(self, now: float, pin_limit: float) -> float | None:
        """Return the s until the next release, or None when no further one is needed.

        While its engine is silent, the prefill may leave state behind at any time. So releases follow each
        other within `pin_limit` (s for which state may be held), less the time that one release may take.
        """
        if self.engine_answered:
            return (
                FURTHER_RELEASE_DELAYS[self.confirmed_releases - 1]
                if self.confirmed_releases <= len(FURTHER_RELEASE_DELAYS)
                else None
            )
        if now - self.since >= MAX_FOLLOW_UP:
            return None
        return min(
            FURTHER_RELEASE_DELAYS[min(self.confirmed_releases, len(FURTHER_RELEASE_DELAYS)) - 1],
            release_time(0.0, pin_limit),
        )
