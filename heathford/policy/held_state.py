"""When prefill state is released although the attempt that waits for it is still in flight; no I/O.

That a remote machine has received an attempt's bytes says nothing of its engine, which may be stopped or
cut off. A release takes nothing from an attempt that its engine has begun, and an attempt that is read later
finds that the state is gone. So the state is released at its limit wherever its engine has not answered yet.
"""

from collections.abc import Callable
from math import inf
from typing import Protocol

from heathford.interface import HELD_ALLOWANCE, STALL_ALLOWANCE

RELEASE_DURATION = 0.1  # s in which a third engine confirms a release that two silent ones do not answer
SILENT_AFTER = 0.1  # s without any answer after which an engine counts as silent: many round trips
TIMER_TOLERANCE = 0.001  # s by which a timer may fire early


def release_time(since: float, pin_limit: float) -> float:
    """Return when to release a state whose limit counts from `since`.

    As late as is safe, because the attempt may still fetch the state until then. Leaves time for a stall of
    this process and for engines that do not answer the release.
    """
    return since + max(0.0, pin_limit + HELD_ALLOWANCE - STALL_ALLOWANCE - RELEASE_DURATION)


class StateHolder(Protocol):
    """A request whose prefill state waits while an attempt is in flight.

    release_at: when the state is to be released.
    """

    release_at: float

    def release_state(self) -> None: ...


class PendingReleases:
    """All requests of a router whose prefill state waits for an attempt in flight.

    wake: asks for a decision after so many s. Only one timer is set at a time, for the earliest release.
    """

    def __init__(self, wake: Callable[[float], None]) -> None:
        self.wake = wake
        self.holders: dict[StateHolder, None] = {}
        self.next_due = inf

    def add(self, holder: StateHolder, now: float) -> None:
        """Watch a request until its `release_at`."""
        self.holders[holder] = None
        self.schedule(holder.release_at, now)

    def remove(self, holder: StateHolder) -> None:
        """Stop watching a request whose attempt has begun to answer or has ended."""
        self.holders.pop(holder, None)

    def schedule(self, due: float, now: float) -> None:
        """Set the timer, unless it fires before `due` anyway."""
        if due < self.next_due:
            self.next_due = due
            self.wake(max(0.0, due - now))

    def release_expired(self, now: float) -> None:
        """Release each state whose time has come; the attempts stay in flight."""
        if now < self.next_due - TIMER_TOLERANCE:
            return
        self.next_due = inf
        for holder in list(self.holders):
            if now >= holder.release_at - TIMER_TOLERANCE:
                self.remove(holder)
                holder.release_state()
        if self.holders:
            self.schedule(min(holder.release_at for holder in self.holders), now)
