"""The Router: the list of engines, what waits, and the next step of each completion."""

import random
from collections.abc import Sequence
from functools import partial
from math import exp2, inf
from statistics import median

from heathford.interface import (
    Clock,
    RequestActions,
    GiveUpReason,
    Health,
    RouterActions,
    EngineKind,
    Role,
    Workload,
)
from heathford.policy.engine_state import REPORT_LIFE, REST_MOST, Attempt, Engine, remember
from heathford.policy.estimators import STALE, Fit, reader_is_better
from heathford.policy.held_state import PendingReleases, release_time
from heathford.policy.placement import Ring, Test
from heathford.policy.request_state import RequestState
from heathford.policy.slow_start import COLD_PART, SlowStart
from heathford.policy.transfer import TransferRates

GATE = 2  # our reads out at one reader
MEDIANS = 2.0  # times our median tokens that a session's last mixed server may hold
MEMORY_USED = 0.92  # share of memory up to which a writer has free blocks; the rest is for answers that grow
SLOTS_USED = 0.97  # reported share of slots in use from which a new answer would queue
PER_ROOM = 2  # our reads, not yet taken, for each writer with room: one going there, one being read
GIVE_UP_MARGIN = 0.15  # s before the client timeout at which what waits is given up: a short read's time
TICK = 0.05  # s between two looks at what waits: small beside any latency target
HOLD = 0.4  # share of the pin limit for which a state waits for a writer with room
TRY_SHARE = 0.5  # share of the time left that a dispatch which may be repeated may take: leaves one more
WAITS = 2.0  # latency targets for which what may be repeated is waited for: a full queue is read in that time
RETRY_AFTER = 0.5  # s that a rate-limited client, or we after a failed call for the list, should stay away
ADMIT = 1.5  # times what was answered in time that is let in: a third may miss before any is turned away
DOUBT = 4.0  # completions that may miss before any is turned away: a few prove nothing


class Router:
    """One instance's policy: heathford.interface says what it is told and what it asks for."""

    def __init__(
        self,
        clock: Clock,
        door: RouterActions,
        seed: int,
        kinds: Sequence[EngineKind],
        workloads: Sequence[Workload],
        number: int,
        fronts: int,
        zone: int,
        try_limit: int,
        pin_limit: float,
        may_cancel: bool,
        may_delay_retries: bool,
        longest_retry: float,
        warm_after: float,
        cold_from: float,
        cold_multiple: float,
        cold_window: float,
        read_in_place: bool,
        subscribe: bool,
        keyed_repeats: bool = True,
        transfers: TransferRates | None = None,
    ) -> None:
        self.clock, self.door, self.random = clock, door, random.Random(seed)
        self.kinds, self.workloads = kinds, workloads
        self.tightest = min((w.latency_target for w in workloads), default=inf)
        self.number, self.fronts, self.zone = number, max(1, fronts), zone
        self.try_limit, self.pin_limit, self.may_cancel = try_limit, pin_limit, may_cancel
        self.retry_after = min(RETRY_AFTER, longest_retry) if may_delay_retries else 0.0
        self.decode_wait_limit = min(
            HOLD * pin_limit, pin_limit - 2 * TICK
        )  # what waits is looked at once a tick
        self.read_in_place, self.keyed_repeats = read_in_place, keyed_repeats
        self.transfers = transfers or TransferRates()
        cold_share = COLD_PART * cold_from * cold_multiple
        self.slow_start = SlowStart(clock, warm_after, max(cold_window, TICK), cold_share)
        self.answers = self.slow_start.answers
        self.engines: dict[int, Engine] = {}
        self.listed: dict[int, None] = {}
        self.told = False  # of any engine, ever
        self.end_list_update()
        self.prefill_fit, self.combined_fit = Fit(2), Fit(3)
        self.last_combined: dict[str, Engine] = {}
        self.waiting: list[RequestState] = []
        self.handed_over = PendingReleases(door.wake)
        self.wake_at, self.looked, self.ask_at = -inf, -inf, clock.now if subscribe else inf
        self.asked = self.good = self.counted_at = 0.0  # completions lately, and those answered in time
        self.read = self.heard = 0.0  # reads lately, and those answered

    def begin_list_update(self, complete: bool) -> None:
        self.listed = {} if complete else dict.fromkeys(self.engines)

    def update_engine(
        self, number: int, zone: int, kind: int, cell: int, health: Health, size: float, started: float
    ) -> None:
        self.listed[number] = None
        engine = self.engines.get(number)
        if not engine or (engine.zone, engine.cell, engine.kind) != (zone, cell, self.kinds[kind]):
            if engine:  # another machine under a known number: what is out at the old one ends there
                engine.health = Health.REMOVED
            engine = self.engines[number] = Engine(number, zone, cell, self.kinds[kind], size, started)
        if engine.started != started:
            engine.begin(started)
        engine.health = health
        if self.slow_start.is_cold(engine) and not engine.trickle:
            engine.trickle = 1

    def end_list_update(self) -> None:
        for number, engine in list(self.engines.items()):
            if number not in self.listed:
                engine.health = Health.REMOVED
            if engine.health is Health.REMOVED and not engine.in_flight:
                del self.engines[number]
                engine.cached.clear()  # sessions that were there last remember the engine itself for longer
        listed = [e for e in self.engines.values() if e.health is Health.ON]
        self.pools = {role: [e for e in listed if e.kind.role is role] for role in Role}
        self.writers = self.pools[Role.DECODE] + self.pools[Role.COMBINED]
        if self.read_in_place and not self.pools[Role.COMBINED]:
            self.pools[Role.COMBINED] = self.pools[
                Role.DECODE
            ]  # they read as mixed servers do, where none is
        self.told = self.told or bool(self.engines)
        self.rings = {
            role: (Ring([e for e in pool if e.zone == self.zone]), Ring(pool))
            for role, pool in self.pools.items()
        }
        self.slow_start.list_changed(self.pools, self.rings)

    def list_request_failed(self) -> None:
        self.ask_at = self.clock.now + RETRY_AFTER * (1.0 + self.random.random())  # the list held stays valid
        self.door.wake(self.ask_at - self.clock.now + TICK)

    def accept(
        self,
        door: RequestActions,
        workload: int,
        tenant: int,
        session: str,
        shared: str,
        prompt: int,
        shared_tokens: int,
        max_answer_tokens: int,
        answer_hint: float,
        deadline: float,
        size: int = 0,
    ) -> RequestState:
        now, kind = self.clock.now, self.workloads[workload]
        hinted = answer_hint and kind.token_target
        answer = min(max_answer_tokens, answer_hint / kind.token_target if hinted else max_answer_tokens / 2)
        request = RequestState(
            self,
            door,
            kind,
            session,
            shared,
            prompt,
            shared_tokens,
            answer,
            deadline,
            (workload, tenant),
            now,
            size,
        )
        kept, self.counted_at = exp2((self.counted_at - now) / STALE), now
        self.asked, self.good = self.asked * kept + request.counts, self.good * kept
        self.read, self.heard = self.read * kept, self.heard * kept
        if self.random.random() * self.asked > ADMIT * self.good + DOUBT:
            request.late_at = -inf
        self.slow_start.recent.append(request.key)
        self.waiting.append(request)
        return request

    @property
    def jammed(self) -> bool:
        """Guards against queues in which all becomes late, kept up by clients that come again. Could harm
        where more than a third misses its target through no lack of room."""
        return self.asked > ADMIT * self.good + DOUBT

    @property
    def unheard(self) -> float:
        return (self.read + 1) / (self.heard + 1)  # reads sent lately for each that was answered

    def decide(self) -> None:
        """The next step of all with no dispatch out; what can't be placed waits and is looked at once a tick.
        While others wait, or in a jam, what can hardly meet its target makes way for what can."""
        now, jammed = self.clock.now, self.jammed
        self.handed_over.release_expired(now)
        if self.ask_at <= now:
            self.ask_at = inf
            self.door.subscribe()
        again = now - self.looked >= TICK
        crowded = jammed or any(c.stuck for c in self.waiting)
        here = [c for c in self.waiting if not c.over and (again or not c.stuck)]
        self.looked = now if again else self.looked
        self.waiting = [c for c in self.waiting if c.stuck and not again and not c.over]
        for request in sorted(here, key=lambda c: (c.state is None, c.late_at)):
            fresh = not request.state and not request.possibly_run_attempts()
            if now >= request.deadline - GIVE_UP_MARGIN:
                request.give_up(GiveUpReason.DEADLINE_NEAR)
            elif not self.has_eligible_engine(request, now):
                slow = any(d.was_slow for d in request.attempts)
                slow = slow or self.has_eligible_engine(request, now, timely=False)
                request.give_up(GiveUpReason.TRANSFER_TOO_SLOW if slow else GiveUpReason.NO_ENGINE)
            elif fresh and crowded and now >= request.late_at:
                request.give_up(GiveUpReason.SHED)
            elif not self.try_place(request):
                self.waiting.append(request)
                request.stuck = fresh
        if self.waiting and now >= self.wake_at:
            self.wake_at = now + TICK / 2
            self.door.wake(TICK)

    def may_start_over(self, request: RequestState) -> bool:
        """Whether there is time and somebody for another read and answer."""
        now = self.clock.now
        return now < request.deadline - GIVE_UP_MARGIN and self.has_eligible_engine(request, now)

    def has_eligible_engine(self, request: RequestState, now: float, timely: bool = True) -> bool:
        """Guards against waits that only the clock ends, as of a tokened one past its time or with its group
        gone. Could harm where one comes back a moment later; the client is told when to. timely: only engines
        that its bytes can reach in time."""
        tries = self.try_limit - len(request.attempts)
        if not self.told:
            return tries > 0  # a front that has just started waits for its list
        if tries <= 0:
            return False

        def takes(engine: Engine, by: float) -> bool:
            return request.may_go_to(engine, now) and (not timely or self.reachable(request, engine, by))

        readers = tries > 1 and any(
            not timely or self.reachable(request, e, request.deadline) for e in self.pools[Role.PREFILL]
        )
        if (request.state or readers) and any(takes(e, self.state_due(request)) for e in self.writers):
            return True
        return any(takes(e, request.deadline) for e in self.pools[Role.COMBINED])

    def state_due(self, request: RequestState) -> float:
        """When an attempt that takes a state has to be at its writer: a state that waits, or one read now."""
        return release_time(request.held_since if request.state else self.clock.now, self.pin_limit)

    def reachable(self, request: RequestState, engine: Engine, by: float) -> bool:
        """Whether its bytes can be at an engine by then, as far as is known."""
        now, size = self.clock.now, request.size
        return not self.transfers.matters(size, now) or self.transfers.in_time(
            engine.number, size, now, by, request.slow_engines(engine.kind.role)
        )

    def try_place(self, request: RequestState) -> bool:
        now, tries = self.clock.now, self.try_limit - len(request.attempts)
        if request.state:
            return self.write(request, request.state, now)
        mixed = self.pick_combined_engine(request)
        reader = self.pick_prefill_engine(request) if tries > 1 and self.state_can_be_taken(request) else None
        local = mixed is not None and self.has_room(mixed, request)
        if mixed and local and not (reader and self.reader_reads(request, reader, mixed)):
            self.send(request, mixed, False)
            return True
        if reader:
            self.send(request, reader, True)
        return bool(reader)

    def state_can_be_taken(self, request: RequestState) -> bool:
        """Whether some writer can have the prompt before a state that is read now has to be released."""
        taken_by = self.state_due(request)
        return any(self.reachable(request, e, taken_by) for e in self.writers)

    def reader_reads(self, request: RequestState, reader: Engine, mixed: Engine) -> bool:
        at_reader, at_mixed = (request.prompt - e.kept(request) for e in (reader, mixed))
        now = self.clock.now
        return reader_is_better(
            self.prefill_fit, self.combined_fit, at_reader, at_mixed, mixed.contexts(now), now
        )

    def pick_prefill_engine(self, request: RequestState) -> Engine | None:
        """Guards against states piling up before full writers, the strain of the memory fallback: no read
        starts while no writer has room for it."""
        roomy = sum(self.usable(e, request) and self.has_room(e, request) for e in self.writers)
        if sum(len(e.in_flight) for e in self.pools[Role.PREFILL]) >= PER_ROOM * roomy:
            return None
        now = self.clock.now
        return self.pick_by_hash(
            request,
            Role.PREFILL,
            lambda e: len(e.in_flight) < GATE
            and not e.closed(request.origin, now, self.tightest)
            and self.reachable(request, e, request.deadline),
        )

    def pick_combined_engine(self, request: RequestState) -> Engine | None:
        now, last = self.clock.now, self.last_combined.get(request.session)
        pool = self.pools[Role.COMBINED]

        def is_open(engine: Engine) -> bool:
            return request.may_go_to(engine, now) and self.reachable(request, engine, request.deadline)

        if (
            last
            and last in pool
            and self.usable(last, request)
            and is_open(last)
            and (last.tokens <= MEDIANS * median(e.tokens for e in pool))
        ):
            return last
        return self.pick_by_hash(request, Role.COMBINED, is_open)

    def pick_by_hash(self, request: RequestState, role: Role, is_open: Test) -> Engine | None:
        """Two drawn by hashing the shared beginning, else the session, in the own zone; with both closed, two
        of all. Drawn from open ones only, a session would move under load and be read anew each time. If
        neither holds more of our tokens it is the first, at all fronts alike: one engine keeps the text."""
        usable = partial(self.usable, request=request)
        for ring in self.rings[role]:
            drawn = [ring.draw(f"{seed}:{request.key}", usable) for seed in (1, 2)]
            able = [e for e in drawn if e and is_open(e)]
            if len(able) > 1 and not self.slow_start.takes_second_draw(able[1], request.session):
                return able[0]
            if able:
                return min(able, key=lambda e: e.tokens)
        return None

    def has_room(self, engine: Engine, request: RequestState) -> bool:
        now, load = self.clock.now, engine.load if self.clock.now - engine.load_at < REPORT_LIFE else {}
        if (
            engine.closed(request.origin, now, self.tightest)
            or engine.crawls(now)
            or (load.get("queue", 0.0) >= 1.0 or load.get("slots", 0.0) >= SLOTS_USED)
        ):
            return False
        since = sum(d.tokens for d in engine.in_flight if d.sent > engine.load_at or "memory" not in load)
        return (
            not engine.kind.memory
            or since * self.fronts + request.prompt + request.answer
            < (MEMORY_USED - load.get("memory", 0.0)) * engine.kind.memory
        )  # none told: as much as is wanted

    def write(self, request: RequestState, reader: Engine, now: float) -> bool:  # two near the reader
        taken_by = self.state_due(request)
        able = [
            e
            for e in self.writers
            if self.usable(e, request) and request.may_go_to(e, now) and self.reachable(request, e, taken_by)
        ]
        near = [e for e in able if e.zone == reader.zone]
        # Guards against a cell's full writers, which each of many fronts finds slow only now and then.
        well = [e for e in near if now >= e.cooldowns.get(None, (-inf, 0.0))[0] + REST_MOST]
        well_here, here = ([e for e in some if e.cell == reader.cell] for some in (well, near))
        pools = well_here, well, here, near, able
        waited = now - request.held_since >= self.decode_wait_limit
        fit = next(filter(None, ([e for e in pool if self.has_room(e, request)] for pool in pools)), [])
        if waited and not fit:  # a state may not be held on
            fit = [e for e in able if not e.closed(request.origin, now, self.tightest)] or able
        if fit:
            pair = self.random.sample(fit, 2) if len(fit) > 2 else fit
            self.send(request, min(pair, key=lambda e: e.tokens / max(e.size, 1e-3)), False)
        elif waited:  # it is read anew once a writer can be had
            request.release_state()
        return bool(fit)

    def usable(self, engine: Engine, request: RequestState) -> bool:
        slow_start, free = self.slow_start, not engine.trickle or len(engine.unanswered) < engine.trickle
        return (
            free
            and engine.health is Health.ON
            and (not slow_start.is_cold(engine) or slow_start.takes(engine, request.session, self.unheard))
        )

    def send(self, request: RequestState, engine: Engine, reading: bool) -> None:
        now = self.clock.now
        new = request.prompt - engine.kept(request)
        local = not reading and request.state is None
        attempt = Attempt(engine, len(request.attempts), reading, local, request.prompt, new, now)
        if attempt.local:
            engine.keep(request)
            remember(self.last_combined, request.session, engine)
        self.read += reading or attempt.local
        request.attempts.append(attempt)
        request.current_attempt = attempt
        engine.in_flight.append(attempt)
        if self.slow_start.is_cold(engine):
            engine.cold_sends.append(now)
        if request.state and not reading:
            request.release_at = release_time(request.held_since, self.pin_limit)
            self.handed_over.add(request, now)
        once = attempt.local or not (reading or request.repeatable or request.refusable)
        share = 1.0 if once or self.jammed else TRY_SHARE  # in a jam a second try is more work, and later
        patience = share * (request.deadline - now)
        if share < 1.0:
            # Guards against engines and lines that fall silent: what comes after the target is worth little,
            # and a client timeout is several. Where few reads are answered it is their queues: reads given up
            # in them leave nothing kept and are read anew elsewhere, so they are waited for as much longer.
            # Could harm where many engines fall silent at once.
            sending = self.transfers.expected(engine.number, request.size, now) or 0.0
            patience = min(patience, sending + WAITS * request.target * self.unheard)
        request.door.send(engine.number, patience)
