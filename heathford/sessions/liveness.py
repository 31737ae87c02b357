"""Decides when a session is pinged and when it is closed: idle, half open or too slow. Does no I/O."""

import heapq
from collections.abc import Hashable
from enum import Enum
from typing import Generic, TypeVar

CLOSE_NORMAL, CLOSE_SLOW = 1000, 1008  # WebSocket close codes of an idle and of a slow session


class LivenessAction(Enum):
    """What to do with a session; the last three close it, and their values are logged as the reason."""

    NOTHING = "nothing"
    PING = "ping"
    SILENT = "silent"  # half open: the client is gone, so no close frame is sent
    IDLE = "idle"
    SLOW = "slow"


class SessionLiveness:
    """When one session last received data, had a request in progress, and became slow."""

    __slots__ = ("last_active", "last_received", "ping_sent", "slow_since", "timeouts")

    def __init__(self, timeouts: "LivenessTimeouts", now: float) -> None:
        self.timeouts = timeouts
        self.last_received = self.last_active = now
        self.ping_sent = 0.0  # time of an unanswered ping, or 0
        self.slow_since = 0.0  # or 0

    def record_received(self, now: float) -> None:
        self.last_received, self.ping_sent = now, 0.0

    def next_action(self, now: float, in_progress: int, slow: bool) -> tuple[LivenessAction, float]:
        """Return what to do now, and when to check again.

        in_progress: requests of the session without a final answer; slow: whether more than its bound is
        unsent.
        """
        timeouts = self.timeouts
        if in_progress:
            self.last_active = now
        if not slow:
            self.slow_since = 0.0
        elif not self.slow_since:
            self.slow_since = now
        if self.slow_since and now >= self.slow_since + timeouts.slow:
            return LivenessAction.SLOW, now
        if self.ping_sent and now >= self.ping_sent + timeouts.pong:
            return LivenessAction.SILENT, now
        if now >= self.last_active + timeouts.idle:
            return LivenessAction.IDLE, now
        action = LivenessAction.NOTHING
        if not self.ping_sent and now >= self.last_received + timeouts.ping:
            action, self.ping_sent = LivenessAction.PING, now
        check_times = [
            self.ping_sent + timeouts.pong if self.ping_sent else self.last_received + timeouts.ping,
            self.last_active + timeouts.idle,
        ]
        if self.slow_since:
            check_times.append(self.slow_since + timeouts.slow)
        return action, min(check_times)


class LivenessTimeouts:
    """Time-outs of the sessions of a front node, in s.

    ping: silence before a ping; pong: silence after it; idle: time without a request in progress; slow: time
    with more unsent than the bound.
    """

    __slots__ = ("idle", "ping", "pong", "slow")

    def __init__(self, ping: float, pong: float, idle: float, slow: float) -> None:
        self.ping, self.pong, self.idle, self.slow = ping, pong, idle, slow


Key = TypeVar("Key", bound=Hashable)


class CheckSchedule(Generic[Key]):
    """The time of the next check of each key: one heap, so that ten thousand idle sessions need one timer."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Key]] = []
        self.due_times: dict[Key, float] = {}
        self.count = 0

    def set(self, key: Key, at: float) -> None:
        """Schedule the check of a key, in place of an earlier one."""
        self.due_times[key] = at
        self.count += 1
        heapq.heappush(self.heap, (at, self.count, key))

    def forget(self, key: Key) -> None:
        self.due_times.pop(key, None)

    def ready(self, now: float) -> list[Key]:
        """Remove and return the keys whose check is due."""
        due = []
        while self.heap and self.heap[0][0] <= now:
            at, _, key = heapq.heappop(self.heap)
            if self.due_times.get(key) == at:
                del self.due_times[key]
                due.append(key)
        return due
