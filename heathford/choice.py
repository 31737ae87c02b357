"""Every decision of heathford: where a completion is read and written, and what is done when that fails.

A carrier makes one Router an instance, tells it the list of engines (list_begins, list_row, list_ends), gives
it completions (take returns the handle that all later events are calls on) and calls decide after each batch
of these. The types, and what it calls in turn, stand in heathford/interface.py; reasons in docs/design.md.

The design: two fitted read times and their balanced cut choose a reader or a mixed server; gates; hashed
readers; near writers chosen after the read. Beside it stand six mechanisms:
1. trickle: an engine set aside, or just started, gets one dispatch, then twice as many while it goes well
2. turns: fronts take turns at a cold engine by their own number, each within a budget of sends
3. overdue: an engine with an old dispatch and no answer since is passed over until it answers
4. room: memory, refusals, slow answers and slow streams tell who can take one more; the rest waits
5. further dispatches: what may be sent again, rate-limited or only aborted, and letting go of what is held
6. shares: a member beyond its share waits behind the others
"""

import random
from collections import deque
from collections.abc import Mapping, Sequence
from hashlib import blake2b
from math import exp2
from statistics import median
from typing import Any

from heathford.interface import (
    NEVER_RAN, Clock, CompletionDoor, Effect, Group, Health, InstanceDoor, Kind, Member, Role, Verdict,
    Workload,
)

CANDIDATES = 512  # cuts tried
HALF = 0.5  # of the prompt: a balanced cut from here on sends the read to a reader
START_TOKENS = 2000  # new tokens: beyond this a reader reads until both fits are known
START_ANSWERS = 20  # answers on each side before the fits are used
GATE = 2  # our reads out at one reader
MEDIANS = 2.0  # times our median tokens that a session's last mixed server may hold

FADE = 0.98  # weight kept per answer: about fifty answers count, seconds of traffic
STALE = 5.0  # s without news that halve what a fit or a stream said: some tens of completions
OUTLIER = 4.0  # times the predicted time that an answer may count for; one stall must not bend a fit
SWEEPS = 20  # per answer: each starts from the last solution, which moves little

MEMORY_USED = 0.92  # share of memory up to which a writer has free blocks; the rest is for answers that grow
SLOTS_USED = 0.97  # reported share of slots in use from which a new answer would queue
REPORT_LIFE = 1.5  # s that a load report counts: several report periods
NEWS = 0.2  # weight of the newest latency: five answers or so tell a change
BACKLOG = 0.4  # share of the latency target that an answer may take before an engine counts as backed up
PACE = 0.8  # of the time wanted for their tokens: streams slower than this leave no room for one more
PACE_DOUBT = 5.0  # s of streams on pace presumed, so that a first few with bad hints don't count
PACE_FADE = 0.9  # weight kept per stream: ten streams count, as hints are off by their own size
FULL_REST = 0.25  # s without room after an engine turned work away: a few answers end in that time
PER_ROOM = 2  # our reads, not yet taken, for each writer with room: one going there, one being read

ASIDE = 0.5  # s set aside after the first failure: shorter than the shortest latency target seen as usual
ASIDE_MOST = 4.0  # s: a dead engine costs one dispatch in this time
ERRORS = 2.0  # failures in a row before an engine is set aside: one alone is chance
FAILURES = {Verdict.ERROR: 1.0, Verdict.TIMED_OUT: 1.0, Verdict.BROKEN: 1.0, Verdict.UNREACHABLE: ERRORS}
FEW = 0.5  # share of all engines that may fail at once before it is held for no engine's own fault
FAILURES_MOST = 9.0  # failures remembered: beyond these the longest time aside is reached anyway
TRICKLE_DONE = 16  # dispatches at once from which a trickle is over
COLD_PART = 0.8  # of the rule's own budget at the coldest, against warm engines' mean: the rest is chance
PATIENCE = 1.0  # s without an answer, on top of the usual time, before a dispatch is overdue
USUAL = 3.0  # times the usual latency that an answer may take before it is overdue

LOOKS = 8  # beginnings that may find no place in one look before the rest wait for the next: bounds CPU
TICK = 0.02  # s between two looks at what waits: small beside any latency target
HOLD = 0.4  # share of the pin limit for which a state waits for a writer with room
TRY_SHARE = 0.5  # share of the time left that a dispatch which may be repeated may take: leaves one more
WAIT_SHARE = 0.5  # share of the latency target that may be spent waiting; the rest is for reading and writing
LAST_CALL = 0.15  # s before the client timeout at which what waits is given up: a short read's time
RETRY_AFTER = 0.5  # s that a rate-limited client, or we after a failed call for the list, should stay away
KEPT_MOST = 4096  # texts remembered per engine and sessions per instance: bounds memory
QUOTA_BURST = 2.0  # s of its share that a member may send at once


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


def remember(table: dict[str, Any], key: str, value: object) -> None:
    if len(table) >= KEPT_MOST:
        table.clear()
    table[key] = value


class Engine:
    def __init__(self, number: int, zone: int, cell: int, kind: Kind, size: float, started: float) -> None:
        self.number, self.zone, self.cell, self.kind, self.size = number, zone, cell, kind, size
        self.health = Health.ON
        self.begin(started)

    def begin(self, started: float) -> None:  # a new process has nothing of the old one's
        self.started, self.aside_until = started, 0.0
        self.out: list[Dispatch] = []
        self.keeps: dict[str, int] = {}
        self.sent_at: deque[float] = deque()
        self.load: Mapping[str, float] = {}
        self.load_at = self.answered = -1e9
        self.full_until = self.rest = 0.0  # no room after it turned work away, longer each time in a row
        self.usual = 0.0  # s to an answer, lately
        self.streamed = self.hinted = self.streamed_at = 0.0  # s that streams took lately, and should have
        self.failures = 0.0  # in a row
        self.trickle = self.wins = 0

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
        c = completion
        for key, tokens in ((c.shared, c.shared_tokens), (c.session, c.prompt)):
            if key:
                remember(self.keeps, key, tokens)

    def contexts(self, now: float) -> float:
        if "memory" in self.load and now - self.load_at < REPORT_LIFE:
            return self.load["memory"] * self.kind.memory
        return sum(d.tokens for d in self.out if d.streaming > 0)

    def oldest(self, now: float) -> float:
        return min((d.sent for d in self.unanswered), default=now)

    def backed_up(self, now: float, tightest: float) -> bool:
        """Guards against queues that nobody reports: while an engine's answers, or the one longest awaited,
        take a good part of the tightest latency target it gets one at a time. Long prompts mislead it."""
        return bool(self.unanswered) and max(self.usual, now - self.oldest(now)) > BACKLOG * tightest

    def crawls(self, now: float) -> bool:
        """Guards against streams slower than wanted, as where a mixed server reads too much, which first
        tokens don't show; what was seen fades, so that it is tried again. Rough hints could mislead it."""
        weight = exp2((self.streamed_at - now) / STALE)
        return weight * self.streamed > PACE * (weight * self.hinted + PACE_DOUBT)

    def has_room(self, completion: "Completion", now: float, fronts: int, tightest: float) -> bool:
        tokens = completion.prompt + completion.answer
        load = self.load if now - self.load_at < REPORT_LIFE else {}
        if now < self.full_until or self.backed_up(now, tightest) or self.crawls(now) or (
                load.get("queue", 0.0) >= 1.0 or load.get("slots", 0.0) >= SLOTS_USED):
            return False
        since = sum(d.tokens for d in self.out if d.sent > self.load_at or "memory" not in load)
        return since * fronts + tokens < (MEMORY_USED - load.get("memory", 0.0)) * self.kind.memory

    def overdue(self, now: float) -> bool:
        """Guards against engines that take work and say nothing, long before a time-out. Could harm where one
        answer takes far longer than usual and nothing else is out."""
        return self.oldest(now) > self.answered and now - self.oldest(now) > PATIENCE + USUAL * self.usual

    def went_well(self, latency: float, now: float) -> None:
        self.answered, self.failures, self.rest = now, 0.0, 0.0
        self.usual += NEWS * (latency - self.usual)
        if self.trickle:
            self.wins += 1
            if self.wins >= self.trickle:
                self.trickle, self.wins = self.trickle * 2, 0
            if self.trickle >= TRICKLE_DONE:
                self.trickle = 0

    def went_badly(self, weight: float, now: float, alone: bool) -> None:
        """Guards against engines that fail, above all fast ones whose empty queue would draw more work. Where
        most fail together the cause is not theirs; but one out of reach is always left."""
        self.failures = min(self.failures + weight, FAILURES_MOST)
        if weight >= ERRORS or (alone and (self.failures >= ERRORS or self.trickle)):
            self.aside_until = now + min(ASIDE * 2 ** max(0.0, self.failures - ERRORS), ASIDE_MOST)
            self.trickle, self.wins = 1, 0


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
        prompt: int, shared_tokens: int, answer: float, due: float, spare: bool, now: float,
    ) -> None:
        self.router, self.door, self.workload = router, door, workload
        self.session, self.shared, self.prompt, self.shared_tokens = session, shared, prompt, shared_tokens
        self.answer, self.due, self.spare, self.key = answer, due, spare, shared or session
        target = workload.latency_target + workload.target_per_1000 * prompt / 1000
        self.late_at = now + WAIT_SHARE * target  # from then on it can hardly meet its latency target
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
        if dispatch.local:  # the stream's end would tell the cached tokens, but comes seconds late
            self.router.mixed_fit.add(mixed_features(dispatch.new, dispatch.contexts), latency, now)
        self.over, self.state = True, None
        dispatch.engine.went_well(latency, now)

    def ended(
        self, seq: int, verdict: Verdict, latency: float, closed: bool, detail: int, load: Mapping[str, float]
    ) -> None:
        if seq >= len(self.dispatches) or self.dispatches[seq].verdict:
            return  # never sent, or told before
        now, dispatch, engine = self.router.clock.now, self.dispatches[seq], self.dispatches[seq].engine
        dispatch.verdict = verdict
        engine.out = [d for d in engine.out if d is not dispatch]
        if load:
            engine.load, engine.load_at = load, now
        self.over = self.over or closed
        if self.out is dispatch:
            self.out = None
        self.held_since, self.stuck = now, False  # looked at at once: a final answer may be due
        learnt = verdict is Verdict.READ or (verdict is Verdict.FINISHED and dispatch.local)
        if learnt and not detail and dispatch.new < self.prompt:
            engine.keeps.clear()  # it lost what it kept, all at once as a rule
        if verdict is Verdict.READ:
            engine.went_well(latency, now)
            self.router.read_fit.add(read_features(self.prompt - detail), latency, now)
            engine.keep(self)
            self.state = engine
        elif verdict is Verdict.FINISHED:
            engine.streamed, engine.streamed_at = engine.streamed * PACE_FADE + now - dispatch.streaming, now
            engine.hinted = engine.hinted * PACE_FADE + self.answer * self.workload.token_target
        elif verdict is Verdict.FULL and detail:
            self.let_go()  # gone, or out of the writer's reach and still pinned: read again
        elif verdict is Verdict.FULL:
            engine.rest = min(max(2 * engine.rest, FULL_REST), ASIDE_MOST)
            engine.full_until = now + engine.rest
        elif verdict in FAILURES and not dispatch.streaming and (
                verdict is not Verdict.TIMED_OUT or engine.answered < dispatch.sent):  # else only slow
            engine.went_badly(FAILURES[verdict], now, self.router.fails_alone())
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
        spoilt = self.risky() and self.workload.effect is Effect.NON_IDEMPOTENT
        return bool(spoilt) or len(self.dispatches) >= self.router.try_limit or now >= self.due - LAST_CALL

    def give_up(self) -> None:
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
        workloads: Sequence[Workload], members: Sequence[Member], number: int, fronts: int, zone: int,
        try_limit: int, pin_limit: float, may_cancel: bool, may_delay_retries: bool, longest_retry: float,
        warm_after: float, cold_from: float, cold_multiple: float, cold_window: float, subscribe: bool,
    ) -> None:
        self.clock, self.door, self.random = clock, door, random.Random(seed)
        self.kinds, self.workloads, self.members = kinds, workloads, members
        self.tightest = min(w.latency_target for w in workloads)
        self.number, self.fronts, self.zone = number, max(1, fronts), zone
        self.try_limit, self.pin_limit, self.may_cancel = try_limit, pin_limit, may_cancel
        self.retry_after = min(RETRY_AFTER, longest_retry) if may_delay_retries else 0.0
        self.warm_after, self.cold_window = warm_after, cold_window
        self.cold_share = COLD_PART * cold_from * cold_multiple  # of what a warm engine gets
        self.engines: dict[int, Engine] = {}
        self.listed: dict[int, None] = {}
        self.read_fit, self.mixed_fit = Fit(2), Fit(3)
        self.last_mixed: dict[str, Engine] = {}
        self.waiting: list[Completion] = []
        self.crowded, self.wake_at, self.looked, self.ask_at = False, 0.0, 0.0, clock.now * subscribe
        self.cache: dict[tuple[Role, ...], list[Engine]] = {}  # usable engines, for one look
        self.paid_until = [0.0] * len(members)  # when the share used so far is earned

    def list_begins(self, complete: bool) -> None:
        self.listed = {} if complete else dict.fromkeys(self.engines)

    def list_row(
        self, number: int, zone: int, kind: int, cell: int, health: Health, size: float, started: float
    ) -> None:
        self.listed[number] = None
        if number not in self.engines:
            self.engines[number] = Engine(number, zone, cell, self.kinds[kind], size, started)
        engine = self.engines[number]
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

    def list_failed(self) -> None:
        self.ask_at = self.clock.now + RETRY_AFTER * (1.0 + self.random.random())  # the list held stays valid
        self.door.wake(self.ask_at - self.clock.now + TICK)

    def take(
        self, door: CompletionDoor, workload: int, member: int, session: str, shared: str, prompt: int,
        shared_tokens: int, longest: int, answer_hint: float, due: float,
    ) -> Completion:
        kind = self.workloads[workload]
        answer = min(longest, answer_hint / kind.token_target if answer_hint else longest / 2)
        spare = self.beyond_share(member)
        completion = Completion(
            self, door, kind, session, shared, prompt, shared_tokens, answer, due, spare, self.clock.now)
        self.waiting.append(completion)
        return completion

    def beyond_share(self, member: int) -> bool:
        if member >= len(self.members):
            return False
        now, step = self.clock.now, self.fronts / max(self.members[member].per_second, 1e-9)
        spare = self.paid_until[member] >= now + QUOTA_BURST
        self.paid_until[member] = max(self.paid_until[member], now) + step * (not spare)
        return spare

    def decide(self) -> None:
        """The next step of all with no dispatch out; what can't be placed waits. While engines work but had
        no room at the last look, what has waited too long for its latency target makes way for those that
        can still meet theirs. Where none works, waiting costs nobody anything."""
        now, stuck = self.clock.now, set[str]()  # beginnings that nothing takes now
        self.cache.clear()
        if 0 < self.ask_at <= now:
            self.ask_at = 0.0
            self.door.subscribe()
        crowded = self.crowded and bool(self.usable(Role.READER, Role.MIXED))
        here = [c for c in self.waiting if not c.over]
        again = now - self.looked >= TICK  # what found no place is looked at once a tick: saves CPU
        self.looked, self.waiting = now if again else self.looked, [c for c in here if c.stuck and not again]
        here = [c for c in here if again or not c.stuck]
        queue = sorted(here, key=lambda c: (c.state is None, c.spare, c.late_at))
        for completion in queue:
            fresh = not completion.state and not completion.risky()
            if completion.hopeless(now) or (crowded and fresh and now >= completion.late_at):
                completion.give_up()
            elif (fresh and (completion.key in stuck or len(stuck) >= LOOKS)) or not self.placed(completion):
                self.waiting.append(completion)
                completion.stuck = fresh
                stuck.update([completion.key] * fresh)
        self.crowded = any(c.stuck for c in self.waiting)
        if self.waiting and now >= self.wake_at:
            self.wake_at = now + TICK / 2
            self.door.wake(TICK)

    def placed(self, completion: Completion) -> bool:
        now, tries = self.clock.now, self.try_limit - len(completion.dispatches)
        if completion.state:
            return self.write(completion, now)
        mixed, reader = self.pick_mixed(completion), self.pick_reader(completion) if tries > 1 else None
        local = mixed is not None and mixed.has_room(completion, now, self.fronts, self.tightest)
        if mixed and local and not (reader and self.reader_reads(completion, reader, mixed)):
            self.send(completion, mixed, False, completion.due - now)
            return True
        if reader:
            self.send(completion, reader, True, TRY_SHARE * (completion.due - now))
        return bool(reader)

    def reader_reads(self, completion: Completion, reader: Engine, mixed: Engine) -> bool:
        """The design: the balanced cut over the candidates; from half on, a reader reads it all."""
        at_mixed = completion.prompt - mixed.kept(completion)
        at_reader = completion.prompt - reader.kept(completion)
        if min(self.read_fit.answers, self.mixed_fit.answers) < START_ANSWERS:
            return at_mixed > START_TOKENS
        now = self.clock.now
        contexts = mixed.contexts(now)

        def lead(cut: int) -> float:
            part = cut / CANDIDATES
            return self.read_fit.aged(read_features(part * at_reader), now) - self.mixed_fit.aged(
                mixed_features((1 - part) * at_mixed, contexts), now)

        low, high = 0, CANDIDATES  # one time grows with the cut, the other falls: halve
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (middle, high) if lead(middle) < 0 else (low, middle)
        cut = low if abs(lead(low)) <= abs(lead(high)) else high
        return cut >= HALF * CANDIDATES

    def pick_reader(self, completion: Completion) -> Engine | None:
        """Guards against states piling up before full writers, the strain of the memory fallback: reads that
        no writer has taken yet stay within what the writers with room can take."""
        now, readers = self.clock.now, self.usable(Role.READER)
        writers = self.usable(Role.WRITER, Role.MIXED)
        roomy = sum(1 for e in writers if e.has_room(completion, now, self.fronts, self.tightest))
        held = sum(1 for c in self.waiting if c.state)
        if sum(len(e.out) for e in readers) + held >= PER_ROOM * roomy:
            return None
        open_ones = [e for e in readers if len(e.out) < GATE and not e.backed_up(now, self.tightest)]
        return self.hashed_pair(completion, readers, open_ones)

    def pick_mixed(self, completion: Completion) -> Engine | None:
        now, last = self.clock.now, self.last_mixed.get(completion.session)
        able = [e for e in self.usable(Role.MIXED) if completion.may_go_to(e, now)]
        if last in able and last.tokens <= MEDIANS * median(e.tokens for e in able):
            return last
        return self.hashed_pair(completion, able, able)

    def hashed_pair(self, completion: Completion, engines: list[Engine], free: list[Engine]) -> Engine | None:
        """Two drawn by hashing the shared beginning, else the session, in the own zone; with both closed, two
        of all. Drawn from open ones only, a session would move under load and be read anew each time."""
        for pool in ([e for e in engines if e.zone == self.zone], engines):
            pair = [max(pool, key=lambda e: blake2b(f"{seed}:{completion.key}:{e.number}".encode()).digest())
                    for seed in (1, 2) if pool]
            able = [e for e in pair if e in free]
            if able:
                return min(able, key=lambda e: e.tokens)
        return None

    def write(self, completion: Completion, now: float) -> bool:  # two near the reader where it has room
        reader = completion.state
        assert reader
        able = [e for e in self.usable(Role.WRITER, Role.MIXED) if completion.may_go_to(e, now)]
        roomy = [e for e in able if e.has_room(completion, now, self.fronts, self.tightest)]
        waited = now - completion.held_since >= HOLD * self.pin_limit
        pool = roomy or ([e for e in able if now >= e.full_until] or able if waited else [])
        near = [e for e in pool if e.zone == reader.zone]
        close = [e for e in near if e.cell == reader.cell] or near or pool
        if close:
            pair = self.random.sample(close, 2) if len(close) > 2 else close
            left = completion.due - now
            if completion.workload.effect is not Effect.NON_IDEMPOTENT:
                left *= TRY_SHARE
            self.send(completion, min(pair, key=lambda e: e.tokens / max(e.size, 1e-3)), False, left)
        elif waited:  # a state may not be held on: it is read anew once a writer can be had
            completion.let_go()
        return bool(close)

    def fails_alone(self) -> bool:
        failing = sum(1 for e in self.engines.values() if e.failures or e.trickle)
        return failing <= max(1.0, FEW * len(self.engines))

    def cold(self, engine: Engine) -> bool:
        return engine.started > 0 and self.clock.now - engine.started < self.warm_after

    def usable(self, *roles: Role) -> list[Engine]:
        now = self.clock.now
        if roles not in self.cache:
            self.cache[roles] = [
                e for e in self.engines.values() if e.kind.role in roles and e.health is Health.ON
                and now >= e.aside_until and not (e.trickle and len(e.unanswered) >= e.trickle)
                and not e.overdue(now) and (not self.cold(e) or self.has_turn(e))]
        return self.cache[roles]

    def has_turn(self, engine: Engine) -> bool:
        """Guards against all fronts finding an empty, slow engine at once: in turns of the rule's own window,
        in which one front may send a part of what warm engines of its role get from all fronts."""
        now = self.clock.now
        if int((now - engine.started) / self.cold_window) % self.fronts != self.number % self.fronts:
            return False
        peers = [e for e in self.engines.values() if e.kind.role is engine.kind.role and not self.cold(e)]
        usual = sum(self.recent(e) for e in peers) / max(1, len(peers))
        return self.recent(engine) < max(1.0, self.cold_share * self.fronts * usual)

    def recent(self, engine: Engine) -> int:
        while engine.sent_at and engine.sent_at[0] < self.clock.now - self.cold_window:
            engine.sent_at.popleft()
        return len(engine.sent_at)

    def send(self, completion: Completion, engine: Engine, reading: bool, timeout: float) -> None:
        now = self.clock.now
        self.cache.clear()
        dispatch = Dispatch(completion, engine, reading, now)
        if dispatch.local:
            engine.keep(completion)
            remember(self.last_mixed, completion.session, engine)
        completion.dispatches.append(dispatch)
        completion.out = dispatch
        engine.out.append(dispatch)
        engine.sent_at.append(now)
        completion.door.send(engine.number, timeout)
