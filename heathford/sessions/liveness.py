"""When a session is pinged, and when it is given up: idle, half open, or not taking what is said; no I/O."""

import heapq
from collections.abc import Hashable
from enum import Enum
from typing import Generic, TypeVar

NORMAL, SLOW = 1000, 1008  # close codes: nothing more to do here; what we say is not taken


class LivenessAction(Enum):
    NOTHING = "nothing"
    PING = "ping"
    SILENT = "silent"  # half open: nobody there to be told
    IDLE = "idle"
    SLOW = "slow"


class SessionLiveness:
    """ping: s of silence before a ping; pong: s for anything to come then; idle: s that a session may stay
    with nothing out; slow: s that it may leave more untaken than its bound."""

    __slots__ = ("asked", "heard", "pinged", "rules", "slow_since")

    def __init__(self, rules: "LivenessTimeouts", now: float) -> None:
        self.rules = rules
        self.heard = self.asked = now
        self.pinged = 0.0  # when, or 0
        self.slow_since = 0.0

    def hears(self, now: float) -> None:
        self.heard, self.pinged = now, 0.0

    def look(self, now: float, out: int, slow: bool) -> tuple[LivenessAction, float]:
        """What to do now, and when to look again."""
        rules = self.rules
        if out:
            self.asked = now
        if not slow:
            self.slow_since = 0.0
        elif not self.slow_since:
            self.slow_since = now
        if self.slow_since and now >= self.slow_since + rules.slow:
            return LivenessAction.SLOW, now
        if self.pinged and now >= self.pinged + rules.pong:
            return LivenessAction.SILENT, now
        if now >= self.asked + rules.idle:
            return LivenessAction.IDLE, now
        step = LivenessAction.NOTHING
        if not self.pinged and now >= self.heard + rules.ping:
            step, self.pinged = LivenessAction.PING, now
        dues = [self.pinged + rules.pong if self.pinged else self.heard + rules.ping, self.asked + rules.idle]
        if self.slow_since:
            dues.append(self.slow_since + rules.slow)
        return step, min(dues)


class LivenessTimeouts:
    """The figures of Life, one for all sessions of a front."""

    __slots__ = ("idle", "ping", "pong", "slow")

    def __init__(self, ping: float, pong: float, idle: float, slow: float) -> None:
        self.ping, self.pong, self.idle, self.slow = ping, pong, idle, slow


Key = TypeVar("Key", bound=Hashable)


class CheckSchedule(Generic[Key]):
    """Who is to be looked at, and when: one heap for all, so that ten thousand idle sessions cost no
    timer."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Key]] = []
        self.due: dict[Key, float] = {}
        self.count = 0

    def set(self, key: Key, at: float) -> None:
        self.due[key] = at
        self.count += 1
        heapq.heappush(self.heap, (at, self.count, key))

    def forget(self, key: Key) -> None:
        self.due.pop(key, None)

    def ready(self, now: float) -> list[Key]:
        """Those due, each once; they must be set again to be looked at again."""
        found = []
        while self.heap and self.heap[0][0] <= now:
            at, _, key = heapq.heappop(self.heap)
            if self.due.get(key) == at:
                del self.due[key]
                found.append(key)
        return found
