"""When engines have started, on a front's own clock, from starts that discovery tells as wall clock times."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from heathford.interface import Role

CLOCK_BEHIND = 7_200.0  # s that the wall clock may be behind a start that is told: more is taken for nonsense
CLOCK_AHEAD = 7_200.0  # s that it may be ahead; an engine which looks older than that is warm
LONG_AGO = 0.0  # as a start: of an engine that is warm


@dataclass(frozen=True)
class ToldStart:
    """started: s since 1970, by the clock of the engine's machine; 0 is long ago."""

    role: Role
    started: float


class EngineAges:
    """Wall clocks step: this machine's may be ahead as the process starts, and nothing tells by how much.

    What is certain is that true time is past each start that has been told, and runs on since. Ages count by
    that least time, but those of engines that were there before: of discovery's first list, or of what was
    known from before, only the newest count by it, which have started within warm_after of the last; and not
    where they are half of their role or more, or the last looks older than a clock may be wrong.

    Guards against cold engines that look warm to a front whose clock is ahead: they would be pushed over.
    Could harm by too few requests to a few warm engines, for warm_after from a front's start.
    """

    def __init__(self, warm_after: float) -> None:
        self.warm_after = warm_after  # s
        # True time, in s since 1970, at zero on the front's clock: by the wall clock, and at least.
        self.wall_ahead: float | None = None
        self.least_ahead = -inf
        self.doubted: dict[Role, None] = {}  # roles whose newest engines may be cold
        self.first_list_taken = False

    def told(self, starts: Iterable[ToldStart], now: float, wall: float) -> None:
        """Before ages are asked for: what a list or a change tells.

        now, wall: s on the front's clock, and since 1970 as this machine has it.

        The wall clock is looked at once, and time runs on by the front's own, which nobody sets: set forward
        in service, an engine that has just started looked warm; set back, all looked new.
        """
        if self.wall_ahead is None:
            self.wall_ahead = wall - now
        known = [start for start in starts if start.started <= wall + CLOCK_BEHIND]
        newest = max((start.started for start in known if start.started), default=-inf)
        self.least_ahead = max(self.least_ahead, newest - now)
        self.wall_ahead = max(self.wall_ahead, self.least_ahead)
        if not self.first_list_taken:
            self.doubted = self.roles_in_doubt(known, now)

    def roles_in_doubt(self, starts: list[ToldStart], now: float) -> dict[Role, None]:
        if (self.wall_ahead or 0.0) - self.least_ahead > CLOCK_AHEAD:
            return {}
        found: dict[Role, None] = {}
        for role in Role:
            of_role = [start for start in starts if start.role is role]
            young = sum(self.least_age(start, now) < self.warm_after for start in of_role)
            if 2 * young < len(of_role):
                found[role] = None
        return found

    def least_age(self, start: ToldStart, now: float) -> float:
        """s, also where the wall clock is wrong."""
        return now + self.least_ahead - start.started

    def on_front_clock(self, start: ToldStart, now: float) -> float:
        """When that engine has started, s; never LONG_AGO but for one that is told as such."""
        if not start.started:
            return LONG_AGO
        age = now + (self.wall_ahead or 0.0) - start.started
        least = self.least_age(start, now)
        if self.first_list_taken or (start.role in self.doubted and least < self.warm_after):
            age = min(age, least)
        # The front's clock may have begun later than the engine: then it started before zero.
        return now - max(age, 0.0) or 1e-6
