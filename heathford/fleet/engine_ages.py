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
    """Wall clocks step: this machine's may be wrong as the process starts, and by then nothing can tell.

    So a start that is told after discovery's first list counts from when it is told. Of that list and what
    was known before, those engines count as new that have started within warm_after of the newest of them,
    unless they are half of their role or more, or the newest looks older than a clock may be wrong.

    Guards against cold engines that look warm to a front whose clock is ahead: they would be pushed over.
    Could harm by too few requests to a few warm engines, for warm_after from a front's start.
    """

    def __init__(self, warm_after: float) -> None:
        self.warm_after = warm_after  # s
        self.wall_ahead: float | None = None  # s of true time since 1970 at zero on the front's clock
        self.newest = -inf  # start told, s since 1970
        self.doubted: dict[Role, None] = {}  # roles whose newest engines may be cold
        self.first_list_taken = False

    def told(self, starts: Iterable[ToldStart], now: float, wall: float) -> None:
        """Before ages are asked for: what a list or a change tells.

        now, wall: s on the front's clock, and since 1970 as this machine has it.
        True time is taken from the wall clock once, and runs on by the front's own, which nobody sets: set
        forward in service, an engine that has just started looked warm; set back, all looked new. It is never
        before a start that has been told.
        """
        if self.wall_ahead is None:
            self.wall_ahead = wall - now
        known = [start for start in starts if start.started <= wall + CLOCK_BEHIND]
        self.newest = max([self.newest, *(start.started for start in known if start.started)])
        self.wall_ahead = max(self.wall_ahead, self.newest - now)
        if not self.first_list_taken:
            self.doubted = self.roles_in_doubt(known, now)

    def roles_in_doubt(self, starts: list[ToldStart], now: float) -> dict[Role, None]:
        if now + (self.wall_ahead or 0.0) - self.newest > CLOCK_AHEAD:
            return {}
        found: dict[Role, None] = {}
        for role in Role:
            of_role = [start.started for start in starts if start.role is role]
            if 2 * sum(map(self.may_be_cold, of_role)) < len(of_role):
                found[role] = None
        return found

    def may_be_cold(self, started: float) -> bool:
        """If the newest engine had started just now."""
        return started > self.newest - self.warm_after

    def on_front_clock(self, start: ToldStart, now: float) -> float:
        """When that engine has started, s; never LONG_AGO but for one that is told as such."""
        if not start.started:
            return LONG_AGO
        if self.first_list_taken:
            return now
        age = now + (self.wall_ahead or 0.0) - start.started
        if start.role in self.doubted and self.may_be_cold(start.started):
            age = min(age, self.newest - start.started)
        # The front's clock may have begun later than the engine: then it started before zero.
        return now - max(age, 0.0) or 1e-6
