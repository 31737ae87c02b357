"""How much of the fleet batches use, and whose lines go next; no I/O.

A limit bounds how many lines are out. What the front's own sessions meet sets it: while their first tokens
come well within their targets it grows, by what lines themselves meet; once sessions are slow it is cut at
once, to nothing if they go on being slow. Nothing is probed: a front without sessions learns from its lines.
"""

from collections import deque
from collections.abc import Hashable
from math import exp2
from typing import Generic, TypeVar

START = 4.0  # lines out at first: a reader's work, so that something is learned
MOST = 4096.0  # lines out: beyond it a front of one process is the bound
GROWTH = 1.15  # times per round of good answers, while the limit is what holds lines back
SLOW_LINE = 0.3  # share of its latency target after which a line is slow while there are sessions
ALONE = 0.6  # the same without sessions: nobody is kept waiting
SLOW_SESSION = 0.3  # share of theirs after which sessions are: before any of them is late
PACE = 0.6  # share of the time wanted for tokens beyond which a stream is slow
CUT_LINE, CUT_SESSION = 0.85, 0.5  # what is left of the limit after a round of slow lines, of slow sessions
BACK = 2.0  # s without slow sessions before the limit grows again: an editor's next prompt comes by then
HALF_LIFE = 3.0  # s, of what sessions meet
EVIDENCE = 3.0  # sessions' answers lately before a share of slow ones is believed
SOME = 0.15  # share of slow answers that may be chance
URGENT = 0.5  # share of the window left from which a batch that is behind is pushed
PUSH = 3.0  # times the weight of one that is far behind, at the most

Item = TypeVar("Item", bound=Hashable)


class Fading:
    def __init__(self) -> None:
        self.value, self.at = 0.0, 0.0

    def add(self, amount: float, now: float) -> None:
        self.value, self.at = self.lately(now) + amount, now

    def lately(self, now: float) -> float:
        return self.value * exp2((self.at - now) / HALF_LIFE)


class Limit:
    """How many lines may be out."""

    def __init__(self) -> None:
        self.size = START
        self.sessions, self.slow = Fading(), Fading()
        self.cut_at = self.slow_at = float("-inf")
        self.answers = self.slow_lines = 0
        self.round_from = float("-inf")

    def session_answered(self, part: float, now: float) -> None:
        """A session's first token came after `part` of its target; infinite: it was refused or aborted."""
        self.session_met(part > SLOW_SESSION, now)

    def session_streamed(self, part: float, now: float) -> None:
        """A session's whole answer took `part` of the time wanted for its tokens."""
        self.session_met(part > PACE, now)

    def session_met(self, slow: bool, now: float) -> None:
        self.sessions.add(1.0, now)
        if not slow:
            return
        self.slow.add(1.0, now)
        count = self.sessions.lately(now)
        if count >= EVIDENCE and self.slow.lately(now) > SOME * count:
            self.slow_at = now
            # Guards the sessions: one cut for each half-life's worth of what they meet would be too late.
            if now >= self.cut_at + HALF_LIFE / 6:
                self.size = self.size * CUT_SESSION if self.size > 1.0 else 0.0
                self.cut_at = now

    def line_answered(self, sent: float, part: float, held_back: bool, now: float) -> None:
        """A line's first token came after `part` of its target."""
        self.answers += 1
        self.slow_lines += part > (ALONE if self.sessions.lately(now) < EVIDENCE else SLOW_LINE)
        if sent < self.round_from:
            return
        if self.slow_lines > SOME * self.answers:
            self.size = max(1.0, self.size * CUT_LINE)
        elif held_back and now >= self.slow_at + BACK:
            self.size = min(MOST, max(self.size * GROWTH, self.size + 1.0))
        self.answers = self.slow_lines = 0
        self.round_from = now

    def line_streamed(self, part: float, now: float) -> None:
        """The same of a line's tokens."""
        self.answers += 1
        self.slow_lines += part > (1.0 if self.sessions.lately(now) < EVIDENCE else PACE)

    def room(self, out: int, now: float) -> int:
        """How many more lines may go out. A limit of nothing comes back by itself, with one line."""
        if self.size < 1.0 and now >= self.slow_at + BACK:
            self.size = 1.0
        return max(0, int(self.size) - out)


class Queue(Generic[Item]):
    """One batch's lines that are not out: in order, and those that come again at their time."""

    def __init__(self, member: int, items: list[Item], created: float, expires: float) -> None:
        self.member, self.waiting = member, deque(items)
        self.created, self.expires, self.total = created, expires, max(1, len(items))
        self.later: list[tuple[float, int, Item]] = []
        self.count = 0

    def again(self, item: Item, at: float) -> None:
        self.count += 1
        self.later.append((at, self.count, item))
        self.later.sort()

    def next(self, now: float) -> Item | None:
        if self.later and self.later[0][0] <= now:
            return self.later.pop(0)[2]
        return self.waiting.popleft() if self.waiting else None

    def ready(self, now: float) -> bool:
        return bool(self.waiting) or bool(self.later and self.later[0][0] <= now)

    def weight(self, now: float) -> float:
        """1, more where it is behind its window: as far as the work left is more than the time left."""
        time_left = max(0.0, self.expires - now) / max(1e-9, self.expires - self.created)
        work_left = (len(self.waiting) + len(self.later)) / self.total
        if time_left > URGENT or work_left <= time_left:
            return 1.0
        return min(PUSH, work_left / max(time_left, 0.05))


class Fair(Generic[Item]):
    """Whose line goes next: members by turns, in a member its batches, each by weight (stride scheduling,
    Waldspurger and Weihl, 1995). One member's ten batches get no more than another's one."""

    def __init__(self) -> None:
        self.queues: dict[str, Queue[Item]] = {}
        self.member_pass: dict[int, float] = {}
        self.batch_pass: dict[str, float] = {}

    def add(self, name: str, queue: Queue[Item]) -> None:
        """A new one begins where the least advanced stands: it makes up for nothing."""
        self.queues[name] = queue
        if queue.member not in self.member_pass:
            self.member_pass[queue.member] = min(self.member_pass.values(), default=0.0)
        mates = [
            self.batch_pass[n]
            for n, q in self.queues.items()
            if q.member == queue.member and n in self.batch_pass
        ]
        self.batch_pass[name] = min(mates, default=0.0)

    def remove(self, name: str) -> None:
        queue = self.queues.pop(name, None)
        self.batch_pass.pop(name, None)
        if queue and all(q.member != queue.member for q in self.queues.values()):
            self.member_pass.pop(queue.member, None)

    def next(self, now: float) -> tuple[str, Item] | None:
        ready = [(name, queue) for name, queue in self.queues.items() if queue.ready(now)]
        if not ready:
            return None
        member = min((q.member for _, q in ready), key=lambda m: self.member_pass[m])
        name, queue = min(
            ((n, q) for n, q in ready if q.member == member), key=lambda pair: self.batch_pass[pair[0]]
        )
        weight = queue.weight(now)
        self.batch_pass[name] += 1.0 / weight
        self.member_pass[member] += 1.0 / max(q.weight(now) for _, q in ready if q.member == member)
        item = queue.next(now)
        assert item is not None
        return name, item
