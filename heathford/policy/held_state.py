"""When a state that prefill left is released, although the attempt that it waits for is still out; no I/O.

That a far machine has taken an attempt's bytes says nothing of its engine, which may be stopped or cut off. A
release takes nothing from an attempt that its engine has begun, and one that comes later is told that the
state is gone. So the state is released at its limit wherever its engine has not answered yet.
"""

from collections.abc import Callable
from math import inf
from typing import Protocol

from heathford.interface import HELD_ALLOWANCE, STALL_ALLOWANCE

RELEASE_DURATION = (
    0.1  # s: a release that two silent engines do not answer is confirmed by a third in that time
)
SILENT_AFTER = 0.1  # s without any answer after which an engine counts as silent: many round trips
TIMER_TOLERANCE = 0.001  # s by which a timer may be early


def release_time(since: float, pin_limit: float) -> float:
    """When to release a state whose limit counts from `since`: as late as is safe, as until then the attempt
    may still take it. Leaves room for a hold-up and for engines that do not answer the release."""
    return since + max(0.0, pin_limit + HELD_ALLOWANCE - STALL_ALLOWANCE - RELEASE_DURATION)


class Holder(Protocol):
    """A completion whose state waits while an attempt is out. release_at: when it is due."""

    release_at: float

    def release_state(self) -> None: ...


class PendingReleases:
    """All completions of an instance whose state waits behind an attempt that is out.

    wake: asks for a decision after so many s. One timer is out at a time, for the one that is due first.
    """

    def __init__(self, wake: Callable[[float], None]) -> None:
        self.wake = wake
        self.holders: dict[Holder, None] = {}
        self.next_due = inf

    def add(self, holder: Holder, now: float) -> None:
        """Follow one; its `release_at` says when its state is due."""
        self.holders[holder] = None
        self.expect(holder.release_at, now)

    def remove(self, holder: Holder) -> None:
        """Its attempt has begun to answer, or has ended."""
        self.holders.pop(holder, None)

    def expect(self, due: float, now: float) -> None:
        if due < self.next_due:
            self.next_due = due
            self.wake(max(0.0, due - now))

    def release_expired(self, now: float) -> None:
        """Release what is due; the attempts stay out."""
        if now < self.next_due - TIMER_TOLERANCE:
            return
        self.next_due = inf
        for holder in list(self.holders):
            if now >= holder.release_at - TIMER_TOLERANCE:
                self.remove(holder)
                holder.release_state()
        if self.holders:
            self.expect(min(holder.release_at for holder in self.holders), now)
