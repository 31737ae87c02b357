"""Every decision of heathford: where a completion is read and written, and what is done when that fails.

A carrier makes one Router an instance, tells it the list of engines (list_begins, list_row, list_ends), gives
it completions (take returns the handle that all later events are calls on) and calls decide after each batch
of these. The types, and what it calls in turn, stand in heathford/interface.py; reasons in docs/design.md.

The design: two fitted read times and their balanced cut choose a reader or a mixed server; gates; hashed
readers; near writers chosen after the read. Beside it stand six mechanisms:
1. trickle: an engine set aside, or just started, gets one dispatch, then twice as many while it goes well
2. parts: of what leads to a cold engine, all fronts let in the same part
3. rests: an engine that is slow, silent or turns work away rests, longer each time in a row
4. room: reported memory, slots and queue tell who can take one more; the rest waits
5. further dispatches: what may be sent again, rate-limited or only aborted, and letting go of what is held
6. admission: little more is let in than is answered in time; what can hardly be any more makes way
"""

import random
from bisect import bisect
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from hashlib import blake2b
from math import exp2, inf
from statistics import median
from typing import Any

from heathford.interface import (
    NEVER_RAN, Clock, CompletionDoor, Effect, Group, Health, InstanceDoor, Kind, Role, Verdict, Workload,
)

CANDIDATES = 512  # cuts tried
HALF = 0.5  # of the prompt: a balanced cut from here on sends the read to a reader
START_TOKENS = 2000  # new tokens: beyond this a reader reads until both fits are known
START_ANSWERS = 20  # answers on each side before the fits are used
GATE = 2  # our reads out at one reader
MEDIANS = 2.0  # times our median tokens that a session's last mixed server may hold

FADE = 0.98  # weight kept per answer: about fifty answers count, seconds of traffic
STALE = 5.0  # s that halve what a fit without news says, and what was asked: ten completions or more
OUTLIER = 4.0  # times the predicted time that an answer may count for; one stall must not bend a fit
SWEEPS = 20  # per answer: each starts from the last solution, which moves little

MEMORY_USED = 0.92  # share of memory up to which a writer has free blocks; the rest is for answers that grow
SLOTS_USED = 0.97  # reported share of slots in use from which a new answer would queue
REPORT_LIFE = 1.5  # s that a load report counts: several report periods
BACKLOG = 0.4  # share of the latency target that an answer may take before an engine counts as backed up
PACE = 0.8  # of the time wanted for their tokens: streams slower than this leave no room for one more
PACE_DOUBT = 5.0  # s of streams on pace presumed, so that a first few with bad hints don't count
PACE_FADE = 0.9  # weight kept per stream: ten streams count, as hints are off by their own size
REST = 0.25  # s of rest after an engine turned work away or was slow: a few answers end in that time
REST_MOST = 8.0  # s: with a hundred fronts this is what leaves an engine with its own capacity
AT_ONCE = 0.05  # share of the latency target in which a full queue says so; a limit on some work takes longer
PER_ROOM = 2  # our reads, not yet taken, for each writer with room: one going there, one being read

ASIDE = 0.5  # s set aside after the first failure: shorter than the shortest latency target seen as usual
LIMITED = 4.0  # s of rest for an origin that an engine limits: a limit does not drain as a queue does
ERRORS = 2.0  # failures in a row before an engine is set aside: one alone is chance
FAILURES = {Verdict.ERROR: 1.0, Verdict.TIMED_OUT: 1.0, Verdict.BROKEN: 1.0, Verdict.UNREACHABLE: ERRORS}
TRICKLE_DONE = 16  # dispatches at once from which a trickle is over
COLD_PART = 0.8  # of the rule's own budget at the coldest, against warm engines' mean: the rest is chance
RECENT = 64  # of our completions: by their texts a front tells how much of all leads to one engine

POINTS = 32  # of an engine on the ring that prompts are hashed to: shares of readers differ by a sixth or so
WALK = 32  # points walked to a usable engine: a rack or two away, and it is found
TICK = 0.05  # s between two looks at what waits: small beside any latency target
HOLD = 0.4  # share of the pin limit for which a state waits for a writer with room
TRY_SHARE = 0.5  # share of the time left that a dispatch which may be repeated may take: leaves one more
WAITS = 2.0  # latency targets for which what may be repeated is waited for: at the edge of a target most of a
# full queue is still being read; twice as long, and a busy engine is told from a silent one
READS = 2.0  # times its predicted reading that a completion needs before its target: to read and to write
LAST_CALL = 0.15  # s before the client timeout at which what waits is given up: a short read's time
RETRY_AFTER = 0.5  # s that a rate-limited client, or we after a failed call for the list, should stay away
KEPT_MOST = 4096  # texts remembered per engine and sessions per instance: bounds memory
ADMIT = 1.5  # times what was answered in time that is let in: a third may miss before any is turned away
DOUBT = 4.0  # completions that may miss before any is turned away: a few prove nothing


class Fit:  # least squares, older answers fading; no slope is negative, so more work never looks faster
    def __init__(self, width: int) -> None:
        self.answers = 0
        self.square = [[0.0] * width for _ in range(width)]
        self.moment = [0.0] * width
        self.slopes = [0.0] * width
        self.last = 0.0

    def add(self, features: Sequence[float], seconds: float, now: float) -> None:
        self.last = now
        if self.answers >= START_ANSWERS:
            seconds = min(seconds, OUTLIER * max(self.time(features), TICK))
        self.answers += 1
        for i, x in enumerate(features):
            self.moment[i] = self.moment[i] * FADE + x * seconds
            for j, y in enumerate(features):
                self.square[i][j] = self.square[i][j] * FADE + x * y
        for _ in range(SWEEPS):  # coordinate descent from the last solution
            for i, row in enumerate(self.square):
                rest = self.moment[i] - self.time(row) + row[i] * self.slopes[i]
                self.slopes[i] = max(0.0, rest / max(row[i], 1e-9))

    def time(self, features: Sequence[float]) -> float:
        return sum(slope * x for slope, x in zip(self.slopes, features, strict=True))

    def aged(self, features: Sequence[float], now: float) -> float:
        """Guards against a side left out for good by what it once was, as when its cache was empty: without
        answers its figures lose weight until it is tried again. Could harm by a slow read now and then."""
        return exp2((self.last - now) / STALE) * self.time(features)


def read_features(tokens: float) -> tuple[float, float]:
    return 1.0, tokens / 1000


def mixed_features(tokens: float, contexts: float) -> tuple[float, float, float]:
    return 1.0, tokens / 1000, tokens / 1000 * (tokens / 2 + contexts) / 1000


def hashed(key: str) -> int:  # of 65,536
    return int.from_bytes(blake2b(key.encode(), digest_size=2).digest())


def remember(table: dict[str, Any], key: str, value: object) -> None:
    if len(table) >= KEPT_MOST:
        table.clear()
    if key:
        table[key] = value


class Engine:
    def __init__(self, number: int, zone: int, cell: int, kind: Kind, size: float, started: float) -> None:
        self.number, self.zone, self.cell, self.kind, self.size = number, zone, cell, kind, size
        self.health = Health.ON
        drawn = blake2b(str(number).encode(), digest_size=2 * POINTS).digest()
        self.points = [int.from_bytes(drawn[i:i + 2]) for i in range(0, 2 * POINTS, 2)]
        self.begin(started)

    def begin(self, started: float) -> None:  # a new process has nothing of the old one's
        self.started = started
        self.out: list[Dispatch] = []
        self.keeps: dict[str, int] = {}
        self.load: Mapping[str, float] = {}
        self.load_at = self.answered = -1e9
        self.rests: dict[object, tuple[float, float]] = {}  # by origin or None for all: until when, how long
        self.failures = 0.0  # in a row
        self.streamed = self.hinted = self.streamed_at = 0.0  # s that streams took lately, and should have
        self.trickle = 0  # dispatches at once, while it comes back
        self.cold_sends: list[float] = []  # when, while it was cold

    @property
    def unanswered(self) -> "list[Dispatch]":
        return [d for d in self.out if not d.streaming]

    @property
    def tokens(self) -> float:
        return sum(d.tokens for d in self.out)

    def kept(self, completion: "Completion") -> int:
        shared = completion.shared_tokens if completion.shared in self.keeps else 0
        return min(max(shared, self.keeps.get(completion.session, 0)), completion.prompt)

    def keep(self, completion: "Completion") -> None:
        remember(self.keeps, completion.shared, completion.shared_tokens)
        remember(self.keeps, completion.session, completion.prompt)

    def contexts(self, now: float) -> float:
        if "memory" in self.load and now - self.load_at < REPORT_LIFE:
            return self.load["memory"] * self.kind.memory
        return sum(d.tokens for d in self.out if d.streaming > 0)

    def rest(self, origin: object, sent: float, now: float, least: float = REST) -> None:
        """Guards against queues that nobody reports and engines that turn work away: a rest twice as long for
        each answer in a row to what was sent after the last began, half as long after a good one, so that
        fronts that see little of an engine leave it, together, what it can do. Long prompts mislead it."""
        until, length = self.rests.get(origin, (0.0, 0.0))
        if sent >= until - length:
            length = min(max(2 * length, least), REST_MOST)
            self.rests[origin] = now + length, length

    def closed(self, origin: object, now: float, tightest: float) -> bool:
        """Besides its rests: none beside one of ours that waits long, or at all where it rested of late."""
        rests = any(now < self.rests[o][0] for o in (None, origin) if o in self.rests)
        rested = self.rests.get(None, (0.0, 0.0))[1] > TICK and not self.trickle
        patience = 0.0 if rested else BACKLOG * tightest
        return rests or any(now - d.sent >= patience for d in self.unanswered[:1])

    def crawls(self, now: float) -> bool:
        """Guards against slow streams, as beside too many reads. Rough hints could mislead it."""
        weight = exp2((self.streamed_at - now) / STALE)
        return weight * self.streamed > PACE * (weight * self.hinted + PACE_DOUBT)

    def went_well(
        self, latency: float, target: float, now: float, answers: "deque[tuple[float, Engine]]"
    ) -> None:
        self.answered, self.failures = now, 0.0
        answers.append((now, self))
        if latency > BACKLOG * target:
            self.rest(None, now - latency, now, latency)  # as long as the queue, at least
        else:
            self.rests = {origin: (until, length / 2) for origin, (until, length) in self.rests.items()}
        if self.trickle:  # one more for each good answer: twice as many in each round
            self.trickle = self.trickle + 1 if self.trickle < TRICKLE_DONE else 0

    def went_badly(self, weight: float, sent: float, now: float) -> None:
        """Guards against engines that fail, above all fast ones whose empty queue would draw more work. Could
        harm where all fail through no fault of theirs, as behind a broken network, for the time of a rest."""
        self.failures += weight
        if self.failures >= ERRORS or self.trickle:
            self.rest(None, sent, now, ASIDE)
            self.trickle = 1


Test = Callable[[Engine], bool]


class Ring:  # engines by hash; laid out when the list changes, so that a draw costs one hash at any size
    def __init__(self, engines: Sequence[Engine]) -> None:
        places = sorted((point, e.number, e) for e in engines for point in e.points)
        self.points, self.engines = [p for p, _, _ in places], 2 * [e for _, _, e in places]

    def draw(self, key: str, usable: Test) -> Engine | None:
        start = bisect(self.points, hashed(key))
        return next((e for e in dict.fromkeys(self.engines[start:start + WALK]) if usable(e)), None)


class Dispatch:
    def __init__(self, completion: "Completion", engine: Engine, reading: bool, now: float) -> None:
        self.engine, self.seq, self.sent = engine, len(completion.dispatches), now
        self.reading, self.local = reading, not reading and completion.state is None
        self.new = completion.prompt - engine.kept(completion)  # tokens, as we believe
        self.tokens: float = self.new if reading else completion.prompt
        self.contexts = engine.contexts(now)
        self.streaming: float = 0.0  # since when
        self.verdict: Verdict | None = None


class Completion:
    def __init__(
        self, router: "Router", door: CompletionDoor, workload: Workload, session: str, shared: str,
        prompt: int, shared_tokens: int, answer: float, due: float, origin: object, now: float,
    ) -> None:
        self.router, self.door, self.workload = router, door, workload
        self.session, self.shared, self.prompt, self.shared_tokens = session, shared, prompt, shared_tokens
        self.answer, self.due, self.key = answer, due, shared or session
        self.target, self.origin = workload.latency_target + workload.target_per_1000 * prompt / 1000, origin
        self.target_at = now + self.target
        self.late_at = self.target_at - READS * router.read_fit.aged(read_features(prompt), now)
        self.counts = due >= self.target_at  # a client with less time than the target says nothing of engines
        self.dispatches: list[Dispatch] = []
        self.out: Dispatch | None = None
        self.state: Engine | None = None  # the reader where its state waits
        self.held_since, self.over, self.stuck = 0.0, False, False

    @property
    def settled(self) -> bool:
        return self.over and self.out is None

    def first_token(self, seq: int, latency: float) -> None:
        if seq >= len(self.dispatches) or self.dispatches[seq].verdict:
            return
        now, dispatch = self.router.clock.now, self.dispatches[seq]
        dispatch.streaming = now
        self.router.heard += dispatch.local
        if dispatch.local:  # the stream's end would tell the cached tokens, but comes seconds late
            self.router.mixed_fit.add(mixed_features(dispatch.new, dispatch.contexts), latency, now)
        self.over, self.state = True, None
        self.router.good += self.counts and now <= self.target_at
        dispatch.engine.went_well(latency, self.target, now, self.router.answers)

    def ended(
        self, seq: int, verdict: Verdict, latency: float, closed: bool, detail: int, load: Mapping[str, float]
    ) -> None:
        if seq >= len(self.dispatches) or self.dispatches[seq].verdict:
            return  # never sent, or told before
        now, dispatch, engine = self.router.clock.now, self.dispatches[seq], self.dispatches[seq].engine
        if verdict is Verdict.FINISHED and not dispatch.streaming:
            self.first_token(seq, latency)  # told whole: else it would count as a stream begun at zero
        dispatch.verdict = verdict
        engine.out = [d for d in engine.out if d is not dispatch]
        if load:
            engine.load, engine.load_at = load, now
        self.over = self.over or closed
        if self.out is dispatch:
            self.out = None
        self.stuck = False  # looked at at once: a final answer may be due
        if verdict is not Verdict.UNREACHABLE or not self.state:
            self.held_since = now
        elif now - self.held_since >= self.router.hold:
            # Guards against a state pinned while one writer after the other can't be reached: nothing came to
            # an engine since the read. Costs a second read where the next would have been reached.
            self.let_go()
        read = verdict is Verdict.READ or (verdict is Verdict.FINISHED and dispatch.local)
        if read and not detail and dispatch.new < self.prompt:
            engine.keeps.clear()  # it lost what it kept, all at once as a rule
        if verdict is Verdict.READ:
            engine.went_well(latency, self.target, now, self.router.answers)
            self.router.heard += 1
            self.router.read_fit.add(read_features(self.prompt - detail), latency, now)
            engine.keep(self)
            self.state = engine
        elif verdict is Verdict.FINISHED:
            engine.streamed, engine.streamed_at = engine.streamed * PACE_FADE + now - dispatch.streaming, now
            engine.hinted = engine.hinted * PACE_FADE + self.answer * self.workload.token_target
        elif verdict is Verdict.FULL and detail:
            self.let_go()  # gone, or out of the writer's reach and still pinned: read again
        elif verdict is Verdict.FULL:
            limited = latency > AT_ONCE * self.target  # what is short of room says so at once, and to all
            engine.rest(self.origin if limited else None, dispatch.sent, now, LIMITED if limited else REST)
        elif verdict in FAILURES and not dispatch.streaming and (
                verdict is not Verdict.TIMED_OUT or (self.counts and engine.answered < dispatch.sent)):
            # A time-out of one with less time than its target, or where others were answered, is no failure.
            engine.went_badly(FAILURES[verdict], dispatch.sent, now)
            if verdict is Verdict.TIMED_OUT:  # as slow as that at least: its queue needs as long
                engine.rest(None, dispatch.sent, now, latency)
        if self.over:
            self.let_go()
        else:
            self.router.waiting.append(self)

    def left(self) -> None:
        self.over = True
        if self.out is None:
            self.let_go()
        elif self.router.may_cancel and not self.out.streaming:
            self.door.cancel(self.out.seq)

    def let_go(self) -> None:  # nothing stays pinned: neither an answer nor a client's leaving frees a state
        if self.state:
            self.door.release()
            self.state = None

    def risky(self) -> list[Dispatch]:  # those that may have had an effect
        return [d for d in self.dispatches if not d.reading and d.verdict not in NEVER_RAN]

    def may_go_to(self, engine: Engine, now: float) -> bool:  # no effect twice
        risky = self.risky()
        if not risky or engine.kind.role is Role.READER or self.workload.effect is Effect.IDEMPOTENT:
            return True
        if self.workload.effect is Effect.NON_IDEMPOTENT:
            return False
        group = self.workload.group
        return now - risky[0].sent < self.workload.memory_time and all(
            group is Group.ALL or d.engine.cell == engine.cell
            or (group is Group.ZONE and d.engine.zone == engine.zone) for d in risky)

    def hopeless(self, now: float) -> bool:
        return now >= self.due - LAST_CALL or not self.has_taker(now)

    def has_taker(self, now: float) -> bool:
        """Guards against waits that only the clock ends, as of a tokened one past its time or with its group
        gone: for room one waits, for what no listed engine may do nobody does. Could harm where one comes
        back a moment later; the client is told when to."""
        router, tries = self.router, self.router.try_limit - len(self.dispatches)
        if not router.told:
            return tries > 0  # a front that has just started waits for its list
        read = self.state or (tries > 1 and router.pools[Role.READER])
        return tries > 0 and any(
            self.may_go_to(e, now) for e in (router.writers if read else router.pools[Role.MIXED]))

    def give_up(self) -> None:
        if not self.dispatches and self.late_at > -inf:  # a guess of ours says nothing of what engines can do
            self.router.asked = max(0.0, self.router.asked - self.counts)
        self.let_go()
        self.over = True
        known = self.workload.effect is Effect.TOKENED and self.workload.group is Group.ALL
        if known or self.workload.effect is Effect.IDEMPOTENT or not self.risky():
            self.door.rate_limit(self.router.retry_after)
        else:
            self.door.abort()


class Router:
    def __init__(
        self, clock: Clock, door: InstanceDoor, seed: int, kinds: Sequence[Kind],
        workloads: Sequence[Workload], number: int, fronts: int, zone: int,
        try_limit: int, pin_limit: float, may_cancel: bool, may_delay_retries: bool, longest_retry: float,
        warm_after: float, cold_from: float, cold_multiple: float, cold_window: float, read_in_place: bool,
        subscribe: bool,
    ) -> None:
        self.clock, self.door, self.random = clock, door, random.Random(seed)
        self.kinds, self.workloads = kinds, workloads
        self.tightest = min((w.latency_target for w in workloads), default=inf)
        self.number, self.fronts, self.zone = number, max(1, fronts), zone
        self.try_limit, self.pin_limit, self.may_cancel = try_limit, pin_limit, may_cancel
        self.retry_after = min(RETRY_AFTER, longest_retry) if may_delay_retries else 0.0
        self.hold = min(HOLD * pin_limit, pin_limit - 2 * TICK)  # what waits is looked at once a tick
        self.warm_after, self.cold_window = warm_after, max(cold_window, TICK)
        self.read_in_place = read_in_place
        self.cold_share = COLD_PART * cold_from * cold_multiple  # of what a warm engine gets
        self.engines: dict[int, Engine] = {}
        self.listed: dict[int, None] = {}
        self.told = False  # of any engine, ever
        self.drawn_at, self.drawn = -inf, dict[Engine, int]()  # our recent texts, by the engine drawn first
        self.list_ends()
        self.read_fit, self.mixed_fit = Fit(2), Fit(3)
        self.last_mixed: dict[str, Engine] = {}
        self.waiting: list[Completion] = []
        self.answers: deque[tuple[float, Engine]] = deque(maxlen=KEPT_MOST)  # reads and first tokens lately
        self.wake_at, self.looked, self.ask_at = -inf, -inf, clock.now if subscribe else inf
        self.asked = self.good = self.counted_at = 0.0  # completions lately, and those answered in time
        self.read = self.heard = 0.0  # reads lately, and those answered
        self.recent: deque[str] = deque(maxlen=RECENT)  # by what our completions are drawn

    def list_begins(self, complete: bool) -> None:
        self.listed = {} if complete else dict.fromkeys(self.engines)

    def list_row(
        self, number: int, zone: int, kind: int, cell: int, health: Health, size: float, started: float
    ) -> None:
        self.listed[number] = None
        engine = self.engines.get(number)
        if not engine or (engine.zone, engine.cell, engine.kind) != (zone, cell, self.kinds[kind]):
            if engine:  # another machine under a known number: what is out at the old one ends there
                engine.health = Health.GONE
            engine = self.engines[number] = Engine(number, zone, cell, self.kinds[kind], size, started)
        if engine.started != started:
            engine.begin(started)
        engine.health = health
        if self.cold(engine) and not engine.trickle:
            engine.trickle = 1

    def list_ends(self) -> None:
        for number, engine in list(self.engines.items()):
            if number not in self.listed:
                engine.health = Health.GONE
            if engine.health is Health.GONE and not engine.out:
                del self.engines[number]
                engine.keeps.clear()  # sessions that were there last remember the engine itself for longer
        listed = [e for e in self.engines.values() if e.health is Health.ON]
        self.cold_parts: dict[Role, tuple[float, float, float]] = {}  # when worked out, and sends
        self.pools = {role: [e for e in listed if e.kind.role is role] for role in Role}
        self.writers = self.pools[Role.WRITER] + self.pools[Role.MIXED]
        if self.read_in_place and not self.pools[Role.MIXED]:
            self.pools[Role.MIXED] = self.pools[Role.WRITER]  # they read as mixed servers do, where none is
        self.told, self.drawn_at = self.told or bool(self.engines), -inf
        self.rings = {role: (Ring([e for e in pool if e.zone == self.zone]), Ring(pool))
                      for role, pool in self.pools.items()}

    def list_failed(self) -> None:
        self.ask_at = self.clock.now + RETRY_AFTER * (1.0 + self.random.random())  # the list held stays valid
        self.door.wake(self.ask_at - self.clock.now + TICK)

    def take(
        self, door: CompletionDoor, workload: int, member: int, session: str, shared: str, prompt: int,
        shared_tokens: int, longest: int, answer_hint: float, due: float,
    ) -> Completion:
        now, kind = self.clock.now, self.workloads[workload]
        hinted = answer_hint and kind.token_target
        answer = min(longest, answer_hint / kind.token_target if hinted else longest / 2)
        completion = Completion(self, door, kind, session, shared, prompt, shared_tokens, answer, due,
                                (workload, member), now)
        kept, self.counted_at = exp2((self.counted_at - now) / STALE), now
        self.asked, self.good = self.asked * kept + completion.counts, self.good * kept
        self.read, self.heard = self.read * kept, self.heard * kept
        if self.random.random() * self.asked > ADMIT * self.good + DOUBT:
            completion.late_at = -inf
        self.recent.append(completion.key)
        self.waiting.append(completion)
        return completion

    @property
    def jammed(self) -> bool:
        """Guards against queues in which all becomes late, kept up by clients that come again: all fronts
        together let in little more than is answered in time, however little each sees. Could harm where more
        than a third misses its target through no lack of room."""
        return self.asked > ADMIT * self.good + DOUBT

    @property
    def unheard(self) -> float:  # reads sent lately for each that was answered
        return (self.read + 1) / (self.heard + 1)

    def decide(self) -> None:
        """The next step of all with no dispatch out; what can't be placed waits and is looked at once a tick.
        While others wait, or in a jam, what can hardly meet its target makes way for what can."""
        now, jammed = self.clock.now, self.jammed
        if self.ask_at <= now:
            self.ask_at = inf
            self.door.subscribe()
        again = now - self.looked >= TICK
        crowded = jammed or any(c.stuck for c in self.waiting)
        here = [c for c in self.waiting if not c.over and (again or not c.stuck)]
        self.looked = now if again else self.looked
        self.waiting = [c for c in self.waiting if c.stuck and not again and not c.over]
        for completion in sorted(here, key=lambda c: (c.state is None, c.late_at)):
            fresh = not completion.state and not completion.risky()
            if completion.hopeless(now) or (fresh and crowded and now >= completion.late_at):
                completion.give_up()
            elif not self.placed(completion):
                self.waiting.append(completion)
                completion.stuck = fresh
        if self.waiting and now >= self.wake_at:
            self.wake_at = now + TICK / 2
            self.door.wake(TICK)

    def placed(self, completion: Completion) -> bool:
        now, tries = self.clock.now, self.try_limit - len(completion.dispatches)
        if completion.state:
            return self.write(completion, completion.state, now)
        mixed, reader = self.pick_mixed(completion), self.pick_reader(completion) if tries > 1 else None
        local = mixed is not None and self.has_room(mixed, completion)
        if mixed and local and not (reader and self.reader_reads(completion, reader, mixed)):
            self.send(completion, mixed, False)
            return True
        if reader:
            self.send(completion, reader, True)
        return bool(reader)

    def reader_reads(self, completion: Completion, reader: Engine, mixed: Engine) -> bool:
        """The design: the balanced cut over the candidates; from half on, a reader reads it all."""
        at_mixed, at_reader = (completion.prompt - e.kept(completion) for e in (mixed, reader))
        if min(self.read_fit.answers, self.mixed_fit.answers) < START_ANSWERS:
            return at_mixed > START_TOKENS
        now = self.clock.now
        contexts = mixed.contexts(now)

        def lead(cut: int) -> float:
            part = cut / CANDIDATES
            return self.read_fit.aged(read_features(part * at_reader), now) - self.mixed_fit.aged(
                mixed_features((1 - part) * at_mixed, contexts), now)

        cut = bisect(range(1, CANDIDATES), 0.0, key=lead) + 1  # one time grows with the cut, the other falls
        return cut - (abs(lead(cut - 1)) <= abs(lead(cut))) >= HALF * CANDIDATES  # the nearer of the two

    def pick_reader(self, completion: Completion) -> Engine | None:
        """Guards against states piling up before full writers, the strain of the memory fallback: no read
        starts while no writer has room for it."""
        roomy = sum(self.usable(e, completion) and self.has_room(e, completion) for e in self.writers)
        if sum(len(e.out) for e in self.pools[Role.READER]) >= PER_ROOM * roomy:
            return None
        now = self.clock.now
        return self.hashed_pair(
            completion, Role.READER,
            lambda e: len(e.out) < GATE and not e.closed(completion.origin, now, self.tightest))

    def pick_mixed(self, completion: Completion) -> Engine | None:
        now, last = self.clock.now, self.last_mixed.get(completion.session)
        pool = self.pools[Role.MIXED]
        if last and last in pool and self.usable(last, completion) and completion.may_go_to(last, now) and (
                last.tokens <= MEDIANS * median(e.tokens for e in pool)):
            return last
        return self.hashed_pair(completion, Role.MIXED, lambda e: completion.may_go_to(e, now))

    def hashed_pair(self, completion: Completion, role: Role, is_open: Test) -> Engine | None:
        """Two drawn by hashing the shared beginning, else the session, in the own zone; with both closed, two
        of all. Drawn from open ones only, a session would move under load and be read anew each time. If
        neither holds more of our tokens it is the first, at all fronts alike: one engine keeps the text."""
        usable = partial(self.usable, completion=completion)
        for ring in self.rings[role]:
            drawn = [ring.draw(f"{seed}:{completion.key}", usable) for seed in (1, 2)]
            able = [e for e in drawn if e and is_open(e)]
            if able:
                return min(able, key=lambda e: e.tokens)
        return None

    def has_room(self, engine: Engine, completion: Completion) -> bool:
        now, load = self.clock.now, engine.load if self.clock.now - engine.load_at < REPORT_LIFE else {}
        if engine.closed(completion.origin, now, self.tightest) or engine.crawls(now) or (
                load.get("queue", 0.0) >= 1.0 or load.get("slots", 0.0) >= SLOTS_USED):
            return False
        if not engine.kind.memory:
            return True  # not told how much
        since = sum(d.tokens for d in engine.out if d.sent > engine.load_at or "memory" not in load)
        return since * self.fronts + completion.prompt + completion.answer < (
            MEMORY_USED - load.get("memory", 0.0)) * engine.kind.memory

    def write(self, completion: Completion, reader: Engine, now: float) -> bool:  # two near the reader
        able = [e for e in self.writers if self.usable(e, completion) and completion.may_go_to(e, now)]
        near = [e for e in able if e.zone == reader.zone]
        pools = [e for e in near if e.cell == reader.cell], near, able
        waited = now - completion.held_since >= self.hold
        fit = next(filter(None, ([e for e in pool if self.has_room(e, completion)] for pool in pools)), [])
        if waited and not fit:  # a state may not be held on
            fit = [e for e in able if not e.closed(completion.origin, now, self.tightest)] or able
        if fit:
            pair = self.random.sample(fit, 2) if len(fit) > 2 else fit
            self.send(completion, min(pair, key=lambda e: e.tokens / max(e.size, 1e-3)), False)
        elif waited:  # it is read anew once a writer can be had
            completion.let_go()
        return bool(fit)

    def cold(self, engine: Engine) -> bool:
        return engine.started != 0.0 and self.clock.now - engine.started < self.warm_after

    def usable(self, engine: Engine, completion: Completion) -> bool:
        free = not engine.trickle or len(engine.unanswered) < engine.trickle
        return free and (not self.cold(engine) or self.takes(engine, completion))

    def takes(self, engine: Engine, completion: Completion) -> bool:
        """Guards against all fronts finding an empty, slow engine at once: of what leads to a cold one each
        front lets in the same part, by a hash that changes with the rule's window, so that all parts add up
        to its budget, and the engine reads the texts that stay with it. Where a text that very many ask for
        leads there, the part is as much smaller. A front alone that sends much keeps to its part of what warm
        ones answer to it. Could harm by too few sends where a front has seen few texts."""
        window = int(self.clock.now / self.cold_window)
        drawn = hashed(f"{engine.number}:{window}:{completion.session}") / 65536
        if drawn >= self.cold_share * min(1.0, 1.0 / self.unheard, 1.0 / self.lead(engine)):
            return False
        each, together = self.cold_parts_of(engine.kind.role)
        cold = [e for e in self.pools[engine.kind.role] if e.cold_sends and self.cold(e)]
        return self.sent_cold(engine) < max(1.0, each) and sum(map(self.sent_cold, cold)) < max(1.0, together)

    def sent_cold(self, engine: Engine) -> int:
        return sum(sent >= self.clock.now - self.cold_window for sent in engine.cold_sends)

    def lead(self, engine: Engine) -> float:
        """How many times as many of our recent texts are drawn to this engine first as to the mean one of its
        ring; one more than were seen. Worked out once a window for all engines."""
        now = self.clock.now
        if now - self.drawn_at >= self.cold_window:
            self.drawn_at, self.drawn = now, {}
            for near, far in self.rings.values():
                for key in self.recent:
                    if first := (near if near.points else far).draw(f"1:{key}", lambda e: True):
                        self.drawn[first] = self.drawn.get(first, 0) + 1
        near, far = self.rings[engine.kind.role]
        engines = len((near if near.points else far).points) / POINTS
        return (self.drawn.get(engine, 0) + 1) / (len(self.recent) + 1) * max(1.0, engines)

    def cold_parts_of(self, role: Role) -> tuple[float, float]:
        """Sends of this front in a window to one cold engine of the role, and to all of them; worked out once
        for all that ask. All too, as each by itself may always get one: many fronts' ones add up."""
        at, each, together = self.cold_parts.get(role, (-1.0, 0.0, 0.0))
        if at != self.clock.now:
            pool = self.pools[role]
            warm = [e for e in pool if not self.cold(e)]
            rate = self.answer_rate(warm or pool) / max(1, len(warm or pool))
            each = self.cold_share * rate * self.cold_window
            together = each * (len(pool) - len(warm))
            self.cold_parts[role] = self.clock.now, each, together
        return each, together

    def answer_rate(self, engines: Sequence[Engine]) -> float:
        """What these answered to this front, a second: in the rule's window, or over the time in which an
        engine warms where that says too little. At least one, else none would ever be tried."""
        now, some, of = self.clock.now, self.answers, dict.fromkeys(engines)
        while some and some[0][0] < now - self.warm_after:
            some.popleft()
        ages = [now - at for at, e in some if e in of]
        recent = sum(age <= self.cold_window for age in ages)
        return recent / self.cold_window if recent >= START_ANSWERS else max(1, len(ages)) / self.warm_after

    def send(self, completion: Completion, engine: Engine, reading: bool) -> None:
        now = self.clock.now
        dispatch = Dispatch(completion, engine, reading, now)
        if dispatch.local:
            engine.keep(completion)
            remember(self.last_mixed, completion.session, engine)
        self.read += reading or dispatch.local
        completion.dispatches.append(dispatch)
        completion.out = dispatch
        engine.out.append(dispatch)
        if self.cold(engine):
            engine.cold_sends.append(now)
        once = dispatch.local or (not reading and completion.workload.effect is Effect.NON_IDEMPOTENT)
        share = 1.0 if once or self.jammed else TRY_SHARE  # in a jam a second try is more work, and later
        patience = share * (completion.due - now)
        if share < 1.0:
            # Guards against engines and lines that fall silent: what comes after the target is worth little,
            # and a client timeout is several. Where few reads are answered it is their queues: reads given up
            # in them leave nothing kept and are read anew elsewhere, so they are waited for as much longer.
            # Could harm where many engines fall silent at once.
            patience = min(patience, WAITS * completion.target * self.unheard)
        completion.door.send(engine.number, patience)
