"""What this front node was asked for lately, and what engines answered to it."""

from collections import deque
from collections.abc import Collection, Iterator
from itertools import takewhile
from typing import TypeVar

from heathford.interface import Clock, Role
from heathford.policy.engine_state import MAX_REMEMBERED, Engine

ENOUGH_DRAWS = 20  # draws that tell a rate well enough; a shorter time is then looked at
ASSUMED_DRAWS = 3.0  # draws that count beside those seen: the last ones can have no answer yet

Kind = TypeVar("Kind")


def since_then(events: deque[tuple[float, Kind]], since: float) -> Iterator[tuple[float, Kind]]:
    """Return the events from that time on, the newest first."""
    return takewhile(lambda event: event[0] >= since, reversed(events))


def count_since(times: deque[float], since: float) -> int:
    """Return how many of the times are not before that one."""
    return sum(1 for _ in takewhile(lambda at: at >= since, reversed(times)))


class RecentTraffic:
    """Draws, attempts and answers of one front node within a recent time.

    A draw is a request that looks for an engine; one that waits draws once a window. shortest, longest: s
    that are looked at: as many as the last ENOUGH_DRAWS draws took, within these bounds.
    """

    def __init__(self, clock: Clock, shortest: float, longest: float) -> None:
        self.clock, self.shortest, self.longest = clock, shortest, max(shortest, longest)
        # Each with the time at which it happened.
        self.answers: deque[tuple[float, Engine]] = deque(maxlen=MAX_REMEMBERED)
        self.prompt_draws: deque[float] = deque(maxlen=MAX_REMEMBERED)
        self.state_draws: dict[int, deque[float]] = {}  # by the zone of the prefill engine
        self.prompt_attempts: deque[tuple[float, Role]] = deque(maxlen=MAX_REMEMBERED)
        # Of the present decision: the zone of a state, or None for a prompt.
        self.new_draws: list[int | None] = []

    def record_draw(self, state_zone: int | None) -> None:
        """Record a request that looks for an engine; state_zone: where its prefill state is, or None."""
        self.new_draws.append(state_zone)

    def end_decision(self) -> None:
        """Count the draws of a decision."""
        for zone in self.new_draws:
            if zone is None:
                self.prompt_draws.append(self.clock.now)
            else:
                self.state_draws.setdefault(zone, deque(maxlen=MAX_REMEMBERED)).append(self.clock.now)
        self.new_draws.clear()

    def record_prompt_attempt(self, role: Role) -> None:
        """Record an attempt that takes a prompt to a prefill or a combined engine."""
        self.prompt_attempts.append((self.clock.now, role))

    def answered_per_prompt_draw(self, role: Role, engines: Collection[Engine], expected: float) -> float:
        """Return how many answers these engines gave for each draw that leads to their role.

        expected: the result where nothing is known.
        """
        since = self.begin(self.prompt_draws)
        attempts = [attempted for _, attempted in since_then(self.prompt_attempts, since)]
        role_share = (attempts.count(role) + 1) / (len(attempts) + 1)
        return self.answered_per_draw(self.prompt_draws, role_share, engines, expected)

    def answered_per_state_draw(self, zone: int, engines: Collection[Engine], expected: float) -> float:
        """Return how many answers these engines gave for each draw of a state in that zone.

        expected: the result where nothing is known.
        """
        return self.answered_per_draw(self.state_draws.get(zone, deque()), 1.0, engines, expected)

    def answered_per_draw(
        self, draws: deque[float], counted_share: float, engines: Collection[Engine], expected: float
    ) -> float:
        """Return the answers of these engines for each of the draws, of which a share is counted.

        The lower of two figures, of the recent time and of its last part: load that has just risen is seen by
        the second, before there are answers to it. `expected` counts as ASSUMED_DRAWS draws in each.
        """
        figures = []
        for since in dict.fromkeys((self.begin(draws), self.clock.now - self.shortest)):
            drawn = counted_share * count_since(draws, since)
            answered = self.answers_since(since, engines)
            figures.append((ASSUMED_DRAWS * expected + answered) / (ASSUMED_DRAWS + drawn))
        return min(figures)

    def answers_since(self, since: float, engines: Collection[Engine]) -> int:
        """Return how many answers these engines gave from that time on."""
        return sum(engine in engines for _, engine in since_then(self.answers, since))

    def begin(self, draws: deque[float]) -> float:
        """Return from when on these draws and their answers are counted."""
        now = self.clock.now
        since = draws[-ENOUGH_DRAWS] if len(draws) >= ENOUGH_DRAWS else now - self.longest
        return min(now - self.shortest, max(now - self.longest, since))
