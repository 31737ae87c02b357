"""How members and their sessions share a front that is short; no I/O.

A window bounds how many completions the front has let in that have no first token yet. What goes beyond waits
here for a part of its latency target, then is rate-limited. A place that comes free goes to the member with
the fewest in the window, there to its sessions in turn: a member that floods waits behind itself, and the
decisions never see more than can be answered in time. A member that asks well under an even part of what is
let in does not wait at all: it is not what fills the front.

The window's size is learned from answers, in the form of DCTCP (RFC 8257): once a round, it shrinks by the
share of answers that were slow for their target, averaged over rounds; else it grows, if it held any back.
"""

import heapq
from collections import deque
from collections.abc import Hashable
from math import ceil, exp2
from typing import Generic, TypeVar

INITIAL_WINDOW = (
    4.0  # completions in the window at first: as many may miss before the decisions turn any away
)
MIN_WINDOW = 2.0  # at the least: with fewer let in, little is learned
GAIN = 0.25  # weight of one round in the share of slow answers
ROUND = 8  # answers that a round needs at least: one slow of two or three is chance
CHANCE = 0.1  # share of slow answers in a round that may be chance
GROWTH = 0.05  # share by which a window grows in a good round beyond the size at which it last shrank
BACK = 0.25  # share of the way back there that it goes in a good round
SLOW = 0.25  # share of its latency target after which a first token is slow: others' targets may be tighter
PACE = 0.5  # share of the time wanted for its tokens beyond which a stream is slow
QUIET = 1.5  # times the usual part in quiet times that is slow, where that is more: a target may be tight
QUIET_GAIN = 0.05  # weight of one answer in the usual part: twenty count
USED = 0.5  # share of the window in use from which its answers tell anything of it
UNDER = 0.5  # share of an even part up to which a member does not wait; equal members are never all under it
HALF_LIFE = 5.0  # s, of what members ask and what is let in, as the decisions count them
WAIT = 0.4  # share of its latency target that a completion waits here: it must still be read in time


class Window:
    """How many may be out without a first token."""

    def __init__(self) -> None:
        self.size = INITIAL_WINDOW
        self.top = float("inf")  # the size at which it last shrank
        self.slow_share = 1.0
        self.usual = SLOW / QUIET
        self.begin_round(float("-inf"))

    def begin_round(self, now: float) -> None:
        self.since, self.answers, self.slow = now, 0, 0
        self.used, self.held_back = 0, False

    def counts(self, slow: bool) -> None:
        self.answers += 1
        self.slow += slow

    def answered(self, let_in: float, part: float, out: int, now: float) -> None:
        """One let in then got its first token after `part` of its latency target; infinite: none in time."""
        if out <= USED * self.size:
            self.usual += QUIET_GAIN * (min(part, 1.0) - self.usual)
        self.counts(part > min(1.0, max(SLOW, QUIET * self.usual)))
        self.used = max(self.used, out)
        if let_in < self.since or self.answers < ROUND:
            return
        found = self.slow / self.answers
        self.slow_share += GAIN * (found - self.slow_share)
        if found > CHANCE and self.used > USED * self.size:
            self.top = self.size
            self.size = max(MIN_WINDOW, self.size * (1.0 - self.slow_share / 2))
        elif found <= CHANCE and self.held_back:
            way = self.top - self.size  # by half a round until it has shrunk once
            self.size += max(GROWTH * self.size, min(BACK * way, self.size / 2))
        self.begin_round(now)


class Rate:
    """How many lately, older ones fading."""

    __slots__ = ("at", "count")

    def __init__(self) -> None:
        self.count, self.at = 0.0, 0.0

    def add(self, now: float) -> None:
        self.count, self.at = self.lately(now) + 1.0, now

    def lately(self, now: float) -> float:
        return self.count * exp2((self.at - now) / HALF_LIFE)


Item = TypeVar("Item", bound=Hashable)


class Member(Generic[Item]):
    __slots__ = ("asked", "out", "sessions", "turn")

    def __init__(self) -> None:
        self.asked = Rate()
        self.out = 0  # in the window
        self.turn = 0  # when it last got a place
        self.sessions: dict[object, deque[Item]] = {}  # waiting; the first is next


class FairQueue(Generic[Item]):
    def __init__(self) -> None:
        self.window = Window()
        self.members: dict[int, Member[Item]] = {}  # that asked lately, or have any here
        self.waiting: dict[Item, tuple[int, object]] = {}
        self.until: list[tuple[float, int, Item]] = []
        self.let_in = Rate()
        self.pruned = 0.0
        self.out = self.count = self.turned_away = 0

    def asks(self, member: int, session: object, item: Item, now: float, until: float) -> None:
        """It waits until then; next() says when it is let in, late() that it never is."""
        flow = self.members.setdefault(member, Member())
        flow.asked.add(now)
        flow.sessions.setdefault(session, deque()).append(item)
        self.waiting[item] = member, session
        self.count += 1
        heapq.heappush(self.until, (until, self.count, item))

    def next(self, now: float) -> Item | None:
        """Lets the next in, where there is room."""
        waiting = [m for m in self.members.values() if m.sessions]
        if not waiting:
            return None
        flow = min(waiting, key=lambda m: (m.out, m.turn))
        # Each member has its even part of the window, whoever fills the rest: it need not wait for a place.
        part = self.window.size / len(self.members)
        if self.out >= int(self.window.size) and flow.out >= (ceil(part) if part >= 1.0 else 0):
            self.window.held_back = True
            even = UNDER * self.let_in.lately(now) / len(self.members)
            under = [m for m in waiting if m.asked.lately(now) <= even]
            if not under:
                return None
            flow = min(under, key=lambda m: (m.out, m.turn))
        session = next(iter(flow.sessions))
        queue = flow.sessions.pop(session)
        item = queue.popleft()
        if queue:
            flow.sessions[session] = queue
        del self.waiting[item]
        self.count += 1
        flow.turn = self.count
        flow.out += 1
        self.out += 1
        self.let_in.add(now)
        return item

    def late(self, now: float) -> list[Item]:
        """Takes out those that have waited as long as they may."""
        found = []
        if now >= self.pruned + HALF_LIFE:
            self.pruned = now
            for member in list(self.members):
                self.prune(member, now)
        while self.until and (self.until[0][0] <= now or self.until[0][2] not in self.waiting):
            item = heapq.heappop(self.until)[2]
            if self.take_out(item, now):
                found.append(item)
        self.turned_away += len(found)
        return found

    @property
    def due(self) -> float | None:
        """When late() has something to say, at the latest."""
        return self.until[0][0] if self.until else None

    def take_out(self, item: Item, now: float) -> bool:
        """One that waits is wanted no more; False where it doesn't wait."""
        place = self.waiting.pop(item, None)
        if place is None:
            return False
        member, session = place
        flow = self.members[member]
        flow.sessions[session].remove(item)
        if not flow.sessions[session]:
            del flow.sessions[session]
        self.prune(member, now)
        return True

    def answered(self, member: int, let_in: float, part: float, now: float) -> None:
        """One that was let in has its first token, after `part` of its target; infinite: it has none."""
        self.window.answered(let_in, part, self.out, now)
        self.gone(member, now)

    def streamed(self, part: float) -> None:
        """A whole answer took so much of the time wanted for its tokens: too many beside it are slow too."""
        self.window.counts(part > PACE)

    def gone(self, member: int, now: float) -> None:
        """One that was let in ended otherwise, which tells nothing of room."""
        self.out -= 1
        self.members[member].out -= 1
        self.prune(member, now)

    def prune(self, member: int, now: float) -> None:
        flow = self.members[member]
        if not flow.out and not flow.sessions and flow.asked.lately(now) < 1.0:
            del self.members[member]
