"""The Router: the endpoint list, the requests that wait, and the next step of each request."""

import random
from collections.abc import Sequence
from functools import partial
from math import exp2, inf
from statistics import median

from heathford.interface import (
    Clock,
    EngineKind,
    GiveUpReason,
    Health,
    RequestActions,
    Role,
    RouterActions,
    Workload,
)
from heathford.policy.engine_state import MAX_COOLDOWN, REPORT_MAX_AGE, Attempt, Engine, remember
from heathford.policy.estimators import HALF_LIFE, LatencyFit, prefill_engine_is_better
from heathford.policy.held_state import PendingReleases, release_time
from heathford.policy.placement import EngineFilter, Ring
from heathford.policy.request_state import RequestState
from heathford.policy.slow_start import COLD_BUDGET_SHARE, SlowStart
from heathford.policy.transfer import TransferRates

MAX_PREFILLS_PER_ENGINE = 2  # our prefill attempts in flight at one prefill engine
MAX_MEDIAN_RATIO = 2.0  # times the median load that a session's last combined engine may have to be kept
MAX_MEMORY_SHARE = 0.92  # share of an engine's memory that is filled; the rest is for answers that grow
MAX_SLOT_SHARE = 0.97  # reported share of slots in use from which a new answer would queue
PREFILLS_PER_DECODE_ENGINE = 2  # our prefills per decode engine with capacity: one going there, one running
GIVE_UP_MARGIN = 0.15  # s before its deadline at which a waiting request is given up: a short prefill's time
SCAN_INTERVAL = 0.05  # s between two scans of deferred requests: small beside any latency target
DECODE_WAIT_SHARE = 0.4  # share of the pin limit for which a state waits for a decode engine with capacity
ATTEMPT_TIME_SHARE = 0.5  # share of the time left for an attempt that may be repeated: leaves one more
ATTEMPT_TARGETS = 2.0  # latency targets for such an attempt: a full queue is worked off in that time
RETRY_AFTER = 0.5  # s until a rate-limited client repeats, or we request the endpoint list again
ADMISSION_RATIO = 1.5  # requests admitted per one answered in time: up to a third may miss their target
ADMISSION_ALLOWANCE = 4.0  # requests that may miss their target before any is shed: a few prove nothing


class Router:
    """The policy of one front node.

    heathford.interface defines the events that it is given and the actions that it calls.

    seed: of its random choices; number: this front node's index, from 0; fronts: how many there are;
    pin_limit: s for which a prefill state may be held; may_delay_retries, longest_retry: whether a
    rate-limited client may be told when to repeat, and s at most; warm_after: s in which an engine warms up;
    cold_from * cold_multiple: requests of a cold engine as a share of a warm one's; cold_window: s over which
    they are counted; read_in_place: whether decode engines do their own prefill where no combined engine is
    listed; subscribe: whether the endpoint list has to be requested; keyed_repeats: whether idempotency-keyed
    requests may be retried after an attempt that may have run.
    """

    def __init__(
        self,
        clock: Clock,
        actions: RouterActions,
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
        self.clock, self.actions, self.random = clock, actions, random.Random(seed)
        self.kinds, self.workloads = kinds, workloads
        self.min_latency_target = min((w.latency_target for w in workloads), default=inf)
        self.number, self.fronts, self.zone = number, max(1, fronts), zone
        self.try_limit, self.pin_limit, self.may_cancel = try_limit, pin_limit, may_cancel
        self.retry_after = min(RETRY_AFTER, longest_retry) if may_delay_retries else 0.0
        # Deferred requests are tried once a scan, so a short limit leaves two scans of time.
        self.decode_wait_limit = min(DECODE_WAIT_SHARE * pin_limit, pin_limit - 2 * SCAN_INTERVAL)
        self.read_in_place, self.keyed_repeats = read_in_place, keyed_repeats
        self.transfers = transfers or TransferRates()
        cold_share = COLD_BUDGET_SHARE * cold_from * cold_multiple
        self.slow_start = SlowStart(clock, warm_after, max(cold_window, SCAN_INTERVAL), cold_share, zone)
        self.answers = self.slow_start.traffic.answers
        self.engines: dict[int, Engine] = {}
        self.listed: dict[int, None] = {}
        self.list_received = False  # with any engine, ever
        self.end_list_update()
        self.prefill_fit, self.combined_fit = LatencyFit(2), LatencyFit(3)
        self.last_combined: dict[str, Engine] = {}  # by session
        self.waiting: list[RequestState] = []  # requests without an attempt in flight
        self.pending_releases = PendingReleases(actions.wake)
        self.wake_at, self.last_scan_at, self.subscribe_at = -inf, -inf, clock.now if subscribe else inf
        # Recent requests, and those answered in time; as the counts below they lose half each HALF_LIFE.
        self.recent_requests = self.recent_in_time = self.counters_updated_at = 0.0
        self.recent_prefills = self.recent_prefill_answers = 0.0  # sent, and answered

    def begin_list_update(self, complete: bool) -> None:
        """Begin an update of the endpoint list: a snapshot if `complete`, else a change."""
        self.listed = {} if complete else dict.fromkeys(self.engines)

    def update_engine(
        self, number: int, zone: int, kind: int, cell: int, health: Health, size: float, started: float
    ) -> None:
        """Apply one entry of the endpoint list.

        Raises IndexError where no kind has that index.
        """
        self.listed[number] = None
        engine = self.engines.get(number)
        if not engine or (engine.zone, engine.cell, engine.kind) != (zone, cell, self.kinds[kind]):
            if engine:  # another machine under a known number: attempts in flight at the old one end there
                engine.health = Health.REMOVED
            engine = self.engines[number] = Engine(number, zone, cell, self.kinds[kind], size, started)
            engine.listed_at = self.clock.now
        if engine.started != started:
            engine.reset(started)
            engine.listed_at = self.clock.now
        engine.health = health
        if self.slow_start.is_cold(engine) and not engine.ramp_limit:
            engine.ramp_limit = 1

    def end_list_update(self) -> None:
        """End an update of the endpoint list: a snapshot removes all engines that it has not named."""
        for number, engine in list(self.engines.items()):
            if number not in self.listed:
                engine.health = Health.REMOVED
            if engine.health is Health.REMOVED and not engine.in_flight:
                del self.engines[number]
                engine.cached.clear()  # the object itself lives on in last_combined
        listed = [e for e in self.engines.values() if e.health is Health.ON]
        self.pools = {role: [e for e in listed if e.kind.role is role] for role in Role}
        self.decode_engines = self.pools[Role.DECODE] + self.pools[Role.COMBINED]
        if self.read_in_place and not self.pools[Role.COMBINED]:
            self.pools[Role.COMBINED] = self.pools[Role.DECODE]
        self.list_received = self.list_received or bool(self.engines)
        self.rings = {
            role: (Ring([e for e in pool if e.zone == self.zone]), Ring(pool))
            for role, pool in self.pools.items()
        }
        self.slow_start.set_engines(self.pools, self.rings)

    def list_request_failed(self) -> None:
        """Request the endpoint list again after a while; the present one stays valid."""
        self.subscribe_at = self.clock.now + RETRY_AFTER * (1.0 + self.random.random())
        self.actions.wake(self.subscribe_at - self.clock.now + SCAN_INTERVAL)

    def accept(
        self,
        actions: RequestActions,
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
        """Accept a request; the next `decide` takes its first step.

        shared, session: placement keys, the beginning that its prompt shares with others and its session;
        prompt, shared_tokens: lengths in tokens; answer_hint: s that the answer is expected to stream, 0
        where unknown; size: bytes that are sent to an engine, 0 where unknown.
        """
        now, limits = self.clock.now, self.workloads[workload]
        hinted = answer_hint and limits.token_target
        answer_tokens = min(
            max_answer_tokens, answer_hint / limits.token_target if hinted else max_answer_tokens / 2
        )
        request = RequestState(
            self,
            actions,
            limits,
            session,
            shared,
            prompt,
            shared_tokens,
            answer_tokens,
            deadline,
            (workload, tenant),
            now,
            size,
        )
        decay, self.counters_updated_at = exp2((self.counters_updated_at - now) / HALF_LIFE), now
        self.recent_requests, self.recent_in_time = (
            self.recent_requests * decay + request.is_representative,
            self.recent_in_time * decay,
        )
        self.recent_prefills, self.recent_prefill_answers = (
            self.recent_prefills * decay,
            self.recent_prefill_answers * decay,
        )
        if (
            self.random.random() * self.recent_requests
            > ADMISSION_RATIO * self.recent_in_time + ADMISSION_ALLOWANCE
        ):
            request.latest_start = -inf  # shed at random, in proportion to the overload
        self.slow_start.new_keys.append(request.placement_key)
        self.waiting.append(request)
        return request

    @property
    def is_overloaded(self) -> bool:
        """Whether many more requests come in than are answered in time.

        Guards against queues in which every answer is late, kept up by clients that repeat their requests.
        Could harm where more than a third misses its target though there is capacity.
        """
        return self.recent_requests > ADMISSION_RATIO * self.recent_in_time + ADMISSION_ALLOWANCE

    @property
    def cold_engine_count(self) -> int:
        """The number of listed engines that are in slow start."""
        return sum(map(self.slow_start.is_cold, self.engines.values()))

    @property
    def prefills_per_answer(self) -> float:
        """Recent prefills sent for each one that was answered."""
        return (self.recent_prefills + 1) / (self.recent_prefill_answers + 1)

    def decide(self) -> None:
        """Take the next step of all requests that have no attempt in flight.

        Those that can't be placed are deferred and tried again once a SCAN_INTERVAL. While others are
        deferred, or under overload, requests that can hardly meet their target are shed for the others.
        """
        now, overloaded = self.clock.now, self.is_overloaded
        self.pending_releases.release_expired(now)
        if self.subscribe_at <= now:
            self.subscribe_at = inf
            self.actions.subscribe()
        scan = now - self.last_scan_at >= SCAN_INTERVAL
        shedding = overloaded or any(r.deferred for r in self.waiting)
        to_decide = [r for r in self.waiting if not r.over and (scan or not r.deferred)]
        self.last_scan_at = now if scan else self.last_scan_at
        self.waiting = [r for r in self.waiting if r.deferred and not scan and not r.over]
        for request in sorted(to_decide, key=lambda r: (r.state_engine is None, r.latest_start)):
            fresh = not request.state_engine and not request.possibly_run_attempts()
            if now >= request.deadline - GIVE_UP_MARGIN:
                request.give_up(GiveUpReason.DEADLINE_NEAR)
            elif not self.has_eligible_engine(request, now):
                slow = any(a.slow_transfer for a in request.attempts)
                slow = slow or self.has_eligible_engine(request, now, timely=False)
                request.give_up(GiveUpReason.TRANSFER_TOO_SLOW if slow else GiveUpReason.NO_ENGINE)
            elif fresh and shedding and now >= request.latest_start:
                request.give_up(GiveUpReason.SHED)
            elif not self.try_place(request):
                self.waiting.append(request)
                request.deferred = fresh
        self.slow_start.end_decision()
        if self.waiting and now >= self.wake_at:
            self.wake_at = now + SCAN_INTERVAL / 2
            self.actions.wake(SCAN_INTERVAL)

    def may_start_over(self, request: RequestState) -> bool:
        """Return whether there are time and engines left for another prefill and answer."""
        now = self.clock.now
        return now < request.deadline - GIVE_UP_MARGIN and self.has_eligible_engine(request, now)

    def has_eligible_engine(self, request: RequestState, now: float, timely: bool = True) -> bool:
        """Return whether any listed engine may take the request, now or later.

        Guards against waiting in vain until the deadline, as with an idempotency-keyed request whose key has
        expired or whose group has been removed. Could harm where an engine comes back a moment later; the
        client is told when to repeat. timely: only engines that the request's bytes can reach in time.
        """
        attempts_left = self.try_limit - len(request.attempts)
        if not self.list_received:
            return attempts_left > 0  # a front node that has just started waits for its endpoint list
        if attempts_left <= 0:
            return False

        def is_eligible(engine: Engine, by: float) -> bool:
            return request.may_go_to(engine, now) and (
                not timely or self.can_reach_in_time(request, engine, by)
            )

        prefill_possible = attempts_left > 1 and any(
            not timely or self.can_reach_in_time(request, e, request.deadline)
            for e in self.pools[Role.PREFILL]
        )
        if (request.state_engine or prefill_possible) and any(
            is_eligible(e, self.state_release_time(request)) for e in self.decode_engines
        ):
            return True
        return any(is_eligible(e, request.deadline) for e in self.pools[Role.COMBINED])

    def state_release_time(self, request: RequestState) -> float:
        """Return when the state that a request holds, or of a prefill that ends now, has to be released.

        A decode attempt that is to fetch the state has to arrive by then.
        """
        return release_time(request.held_since if request.state_engine else self.clock.now, self.pin_limit)

    def can_reach_in_time(self, request: RequestState, engine: Engine, by: float) -> bool:
        """Return whether a request's bytes can reach an engine by then, as far as is known."""
        now, size = self.clock.now, request.size
        return not self.transfers.may_matter(size, now) or self.transfers.can_arrive_by(
            engine.number, size, now, by, request.slow_engine_count(engine.kind.role)
        )

    def try_place(self, request: RequestState) -> bool:
        """Send the next attempt of a request if some engine can take it now; return whether one was sent."""
        now, attempts_left = self.clock.now, self.try_limit - len(request.attempts)
        self.record_draw(request, now)
        if request.state_engine:
            return self.place_decode(request, request.state_engine, now)
        combined = self.pick_combined_engine(request)
        prefill = (
            self.pick_prefill_engine(request)
            if attempts_left > 1 and self.decode_engine_reachable(request)
            else None
        )
        combined_ready = combined is not None and self.has_capacity(combined, request)
        if (
            combined
            and combined_ready
            and not (prefill and self.prefers_prefill_engine(request, prefill, combined))
        ):
            self.send(request, combined, False)
            return True
        if prefill:
            self.send(request, prefill, True)
        return bool(prefill)

    def record_draw(self, request: RequestState, now: float) -> None:
        """Record that a request looks for an engine, if its last draw is over.

        It draws at its first look for each attempt, then once a window from its acceptance on. Guards against
        waiting requests that all draw at one moment: where windows begin for all, or as an engine is listed.
        """
        drawn = len(request.attempts), int((now - request.accepted_at) / self.slow_start.window)
        if request.last_draw == drawn:
            return
        request.last_draw, request.drawn_at = drawn, now
        self.slow_start.traffic.record_draw(request.state_engine.zone if request.state_engine else None)

    def decode_engine_reachable(self, request: RequestState) -> bool:
        """Return whether some decode engine can have the prompt before a new state must be released."""
        release_at = self.state_release_time(request)
        return any(self.can_reach_in_time(request, e, release_at) for e in self.decode_engines)

    def prefers_prefill_engine(self, request: RequestState, prefill: Engine, combined: Engine) -> bool:
        tokens_at_prefill, tokens_at_combined = (
            request.prompt_tokens - e.cached_tokens(request) for e in (prefill, combined)
        )
        now = self.clock.now
        return prefill_engine_is_better(
            self.prefill_fit,
            self.combined_fit,
            tokens_at_prefill,
            tokens_at_combined,
            combined.context_tokens(now),
            now,
        )

    def pick_prefill_engine(self, request: RequestState) -> Engine | None:
        """Return the engine for a prefill attempt, if any is free.

        Guards against states that pile up while the decode engines are full, the risk of falling back on
        prefill engines where memory is short: no prefill starts while no decode engine has capacity for it.
        """
        with_capacity = sum(
            self.usable(e, request) and self.has_capacity(e, request) for e in self.decode_engines
        )
        if (
            sum(len(e.in_flight) for e in self.pools[Role.PREFILL])
            >= PREFILLS_PER_DECODE_ENGINE * with_capacity
        ):
            return None
        now = self.clock.now
        return self.pick_by_hash(
            request,
            Role.PREFILL,
            lambda e: len(e.in_flight) < MAX_PREFILLS_PER_ENGINE
            and not e.is_blocked(request.origin, now, self.min_latency_target)
            and self.can_reach_in_time(request, e, request.deadline),
        )

    def pick_combined_engine(self, request: RequestState) -> Engine | None:
        """Return the session's last combined engine unless that is too busy, else one by hash."""
        now, last = self.clock.now, self.last_combined.get(request.session)
        pool = self.pools[Role.COMBINED]

        def is_available(engine: Engine) -> bool:
            return request.may_go_to(engine, now) and self.can_reach_in_time(
                request, engine, request.deadline
            )

        if (
            last
            and last in pool
            and self.usable(last, request)
            and is_available(last)
            and (last.load_tokens <= MAX_MEDIAN_RATIO * median(e.load_tokens for e in pool))
        ):
            return last
        return self.pick_by_hash(request, Role.COMBINED, is_available)

    def pick_by_hash(self, request: RequestState, role: Role, is_available: EngineFilter) -> Engine | None:
        """Return the better of two engines that the shared prefix, else the session, hashes to.

        Both are of the own zone, or of all zones if neither of these is available (busy or blocked, say). The
        hash covers such engines as well, though not unusable ones: a session hashed to available ones only
        would move under load and need a new prefill each time. With equal load it is the first one at all
        front nodes, so that one engine keeps the prompt cached.
        """
        usable = partial(self.usable, request=request)
        for ring in self.rings[role]:
            picked = [ring.pick(f"{seed}:{request.placement_key}", usable) for seed in (1, 2)]
            if picked[1] and not self.slow_start.admits_second_choice(picked[1], request.session):
                picked = picked[:1]
            available = [e for e in picked if e and is_available(e)]
            if available:
                return min(available, key=lambda e: e.load_tokens)
        return None

    def has_capacity(self, engine: Engine, request: RequestState) -> bool:
        """Return whether an engine has free slots and memory for a request's answer, as far as is known.

        What all front nodes have sent since the engine's last load report is taken to be as much as ours.
        """
        now, load = (
            self.clock.now,
            engine.load if self.clock.now - engine.load_reported_at < REPORT_MAX_AGE else {},
        )
        if (
            engine.is_blocked(request.origin, now, self.min_latency_target)
            or engine.streams_too_slowly(now)
            or (load.get("queue", 0.0) >= 1.0 or load.get("slots", 0.0) >= MAX_SLOT_SHARE)
        ):
            return False
        # A kind whose memory is not declared has no limit.
        unreported = sum(
            a.load_tokens
            for a in engine.in_flight
            if a.sent_at > engine.load_reported_at or "memory" not in load
        )
        return (
            not engine.kind.memory
            or unreported * self.fronts + request.prompt_tokens + request.answer_tokens
            < (MAX_MEMORY_SHARE - load.get("memory", 0.0)) * engine.kind.memory
        )

    def place_decode(self, request: RequestState, state_engine: Engine, now: float) -> bool:
        """Send a decode attempt, near the engine that holds the state; return whether one was sent."""
        in_zone, elsewhere = self.engines_for_state(request, state_engine, now)
        eligible = in_zone + elsewhere
        cold = [
            e
            for e in in_zone
            if e.kind.role is Role.DECODE and self.slow_start.is_cold(e) and self.has_capacity(e, request)
        ]
        if cold:  # one that has admitted the request: few are, so that others do not compete for it
            self.send(request, min(cold, key=lambda e: e.load_tokens), False)
            return True
        # Guards against full engines in the cell, which each of many front nodes rarely finds slow itself.
        healthy = [e for e in in_zone if now >= e.cooldowns.get(None, (-inf, 0.0))[0] + MAX_COOLDOWN]
        healthy_in_cell, in_cell = (
            [e for e in engines if e.cell == state_engine.cell] for engines in (healthy, in_zone)
        )
        pools = healthy_in_cell, healthy, in_cell, in_zone, eligible
        waited = now - request.held_since >= self.decode_wait_limit
        candidates = next(
            filter(None, ([e for e in pool if self.has_capacity(e, request)] for pool in pools)), []
        )
        if waited and not candidates:  # it no longer waits for an engine with capacity
            candidates = [
                e for e in eligible if not e.is_blocked(request.origin, now, self.min_latency_target)
            ] or eligible
        if candidates:
            pair = self.random.sample(candidates, 2) if len(candidates) > 2 else candidates
            self.send(request, min(pair, key=lambda e: e.load_tokens / max(e.size, 1e-3)), False)
        elif waited:  # the prefill is done again once a decode engine is available
            request.release_state()
        return bool(candidates)

    def engines_for_state(
        self, request: RequestState, state_engine: Engine, now: float
    ) -> tuple[list[Engine], list[Engine]]:
        """Return the engines that may take a request's state: those in the state's zone, and the others.

        A cold decode engine takes states of its own zone, of which its part is counted; those of other zones
        only where they have no decode engine. A cold combined engine, whose part is counted of the prompts
        that lead to it, takes states only while no engine for them is warm.
        """
        zone, release_at, is_cold = (
            state_engine.zone,
            self.state_release_time(request),
            self.slow_start.is_cold,
        )
        any_warm = not all(map(is_cold, self.decode_engines))
        any_in_zone = any(e.zone == zone for e in self.decode_engines)

        def takes_state(engine: Engine) -> bool:
            if not is_cold(engine):
                return True
            if any_warm and engine.kind.role is not Role.DECODE:
                return False
            return engine.zone == zone or not any_in_zone

        eligible = [
            e
            for e in self.decode_engines
            if self.usable(e, request)
            and takes_state(e)
            and request.may_go_to(e, now)
            and self.can_reach_in_time(request, e, release_at)
        ]
        return [e for e in eligible if e.zone == zone], [e for e in eligible if e.zone != zone]

    def usable(self, engine: Engine, request: RequestState) -> bool:
        """Return whether an engine is in service, and within its ramp-up limit and its cold budget."""
        slow_start, within_ramp_limit = (
            self.slow_start,
            not engine.ramp_limit or len(engine.unanswered) < engine.ramp_limit,
        )
        return (
            within_ramp_limit
            and engine.health is Health.ON
            and (
                not slow_start.is_cold(engine) or slow_start.admits(engine, request.session, request.drawn_at)
            )
        )

    def send(self, request: RequestState, engine: Engine, is_prefill: bool) -> None:
        """Send an attempt and choose its time-out."""
        now = self.clock.now
        uncached_tokens = request.prompt_tokens - engine.cached_tokens(request)
        is_combined = not is_prefill and request.state_engine is None
        attempt = Attempt(
            engine,
            len(request.attempts),
            is_prefill,
            is_combined,
            request.prompt_tokens,
            uncached_tokens,
            now,
        )
        if attempt.is_combined:
            engine.record_cached(request)
            remember(self.last_combined, request.session, engine)
        self.recent_prefills += is_prefill or attempt.is_combined
        if is_prefill or attempt.is_combined:
            self.slow_start.traffic.record_prompt_attempt(engine.kind.role)
        request.attempts.append(attempt)
        request.current_attempt = attempt
        engine.in_flight.append(attempt)
        if self.slow_start.is_cold(engine):
            attempt.cold_admission = self.slow_start.record_attempt(engine)
        if request.state_engine and not is_prefill:
            request.release_at = release_time(request.held_since, self.pin_limit)
            self.pending_releases.add(request, now)
        only_chance = attempt.is_combined or not (
            is_prefill or request.may_be_retried or request.may_be_rate_limited
        )
        # Under overload a second attempt is more work, and its answer later.
        share = 1.0 if only_chance or self.is_overloaded else ATTEMPT_TIME_SHARE
        timeout = share * (request.deadline - now)
        if share < 1.0:
            # Guards against engines and connections that fall silent: an answer past its target is worth
            # little, and a deadline is several targets away. Where few prefills are answered their queues are
            # the cause: a prefill given up in a queue leaves nothing cached and is done again elsewhere, so
            # the time-out grows by the same ratio. Could harm where many engines fall silent at once.
            send_time = self.transfers.expected_time(engine.number, request.size, now) or 0.0
            timeout = min(
                timeout, send_time + ATTEMPT_TARGETS * request.first_token_target * self.prefills_per_answer
            )
        request.actions.send(engine.number, timeout)
