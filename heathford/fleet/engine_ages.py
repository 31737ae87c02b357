"""Convert engine start times from wall clock time to the monotonic clock of this front node."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from heathford.interface import Role

MAX_CLOCK_BEHIND = 7_200.0  # s that the wall clock may be behind a reported start; later starts are ignored
MAX_CLOCK_AHEAD = 7_200.0  # s that the wall clock may be ahead; engines that look older than that are warm
LONG_AGO = 0.0  # start time that stands for a warm engine


@dataclass(frozen=True)
class ReportedStart:
    """The start of an engine as discovery or the registry reports it."""

    role: Role
    started: float  # s since 1970, by the clock of the engine's machine; 0 stands for long ago


class EngineAges:
    """Estimates how old engines are, although the wall clock of this machine may be wrong.

    The wall clock can be ahead when the process starts, by an unknown amount. Certain is only that the true
    time is later than every reported start, and advances with the monotonic clock; this gives a lower bound
    of the true time, and so of the age of each engine. Engines that appear after the first list get their age
    by this bound. Engines of the first list (or of a list known from before the start) get their age by the
    wall clock, except for the newest: those that started within `warm_after` of the latest reported start.
    That exception doesn't apply where the newest are half of the engines of their role or more, or where the
    latest start looks older than a clock can be wrong.

    Without this a cold engine looks warm to a front node whose clock is ahead, and is overloaded. The cost is
    that a few warm engines may get too few requests for `warm_after` seconds after a front node's start.
    """

    def __init__(self, warm_after: float) -> None:
        self.warm_after = warm_after  # s after its start from which an engine is warm
        # The time in s since 1970 at zero on the monotonic clock: by the wall clock, and its lower bound.
        self.wall_offset: float | None = None
        self.min_wall_offset = -inf
        self.doubtful_roles: dict[Role, None] = {}  # roles whose newest engines of the first list may be cold
        self.first_list_applied = False

    def add_starts(self, starts: Iterable[ReportedStart], now: float, wall: float) -> None:
        """Record the starts reported by a list or a change. Call it before `on_front_clock`.

        now: s on the monotonic clock; wall: s since 1970 by the clock of this machine.

        The wall clock is read only once. When it was set forward in service, an engine that had just started
        looked warm; when it was set back, all engines looked new.
        """
        if self.wall_offset is None:
            self.wall_offset = wall - now
        plausible = [start for start in starts if start.started <= wall + MAX_CLOCK_BEHIND]
        newest = max((start.started for start in plausible if start.started), default=-inf)
        self.min_wall_offset = max(self.min_wall_offset, newest - now)
        self.wall_offset = max(self.wall_offset, self.min_wall_offset)
        if not self.first_list_applied:
            self.doubtful_roles = self.find_doubtful_roles(plausible, now)

    def find_doubtful_roles(self, starts: list[ReportedStart], now: float) -> dict[Role, None]:
        """Return the roles of which fewer than half of the engines may be cold by the lower bound."""
        if (self.wall_offset or 0.0) - self.min_wall_offset > MAX_CLOCK_AHEAD:
            return {}
        doubtful: dict[Role, None] = {}
        for role in Role:
            of_role = [start for start in starts if start.role is role]
            new_count = sum(self.min_age(start, now) < self.warm_after for start in of_role)
            if 2 * new_count < len(of_role):
                doubtful[role] = None
        return doubtful

    def min_age(self, start: ReportedStart, now: float) -> float:
        """Return the lower bound of the age of that engine, s."""
        return now + self.min_wall_offset - start.started

    def on_front_clock(self, start: ReportedStart, now: float) -> float:
        """Return the start of that engine on the monotonic clock, s.

        It is LONG_AGO only where it is reported as that.
        """
        if not start.started:
            return LONG_AGO
        age = now + (self.wall_offset or 0.0) - start.started
        lower_bound = self.min_age(start, now)
        if self.first_list_applied or (start.role in self.doubtful_roles and lower_bound < self.warm_after):
            age = min(age, lower_bound)
        # The engine may have started before zero on the monotonic clock. Zero itself would mean LONG_AGO.
        return now - max(age, 0.0) or 1e-6
