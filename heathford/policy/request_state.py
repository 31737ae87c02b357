"""One request: its attempts, what may still be done for it, and what its outcomes say of engines."""

from collections import deque
from collections.abc import Mapping
from math import inf
from typing import Protocol

from heathford.interface import (
    ANSWERED_BY_ENGINE,
    NEVER_RAN,
    PART_ARRIVED,
    STALL_ALLOWANCE,
    Clock,
    Effect,
    GiveUpReason,
    Group,
    Outcome,
    RequestActions,
    Role,
    Workload,
)
from heathford.policy.engine_state import (
    FAILURE_WEIGHTS,
    MIN_COOLDOWN,
    RATE_LIMIT_COOLDOWN,
    STREAM_DECAY,
    Attempt,
    Engine,
)
from heathford.policy.estimators import LatencyFit, combined_features, prefill_features
from heathford.policy.held_state import PendingReleases
from heathford.policy.transfer import TransferRates

IMMEDIATE_SHARE = 0.05  # share of the latency target; a later FULL counts as a rate limit of the origin
MIN_PREFILL_TIMES = 2.0  # predicted prefill times that must be left before the target: for prefill and decode


class RouterState(Protocol):
    """What a request needs of the Router that accepted it."""

    clock: Clock
    prefill_fit: LatencyFit
    combined_fit: LatencyFit
    recent_prefill_answers: float
    recent_in_time: float
    recent_requests: float
    decode_wait_limit: float
    retry_after: float
    may_cancel: bool
    keyed_repeats: bool
    transfers: TransferRates
    answers: deque[tuple[float, Engine]]
    waiting: "list[RequestState]"
    pending_releases: PendingReleases

    def may_start_over(self, request: "RequestState") -> bool: ...


class RequestState:
    """The state of one accepted request; implements heathford.interface.RoutedRequest.

    shared_prefix: names the beginning that its prompt shares with others; prompt_tokens, shared_tokens: their
    lengths; answer_tokens: the expected length of its answer; origin: its workload and tenant; size: bytes
    that are sent to an engine, 0 where unknown.
    """

    def __init__(
        self,
        router: RouterState,
        actions: RequestActions,
        workload: Workload,
        session: str,
        shared_prefix: str,
        prompt_tokens: int,
        shared_tokens: int,
        answer_tokens: float,
        deadline: float,
        origin: object,
        now: float,
        size: int = 0,
    ) -> None:
        self.router, self.actions, self.workload = router, actions, workload
        self.session, self.shared_prefix, self.prompt_tokens, self.shared_tokens = (
            session,
            shared_prefix,
            prompt_tokens,
            shared_tokens,
        )
        self.answer_tokens, self.deadline, self.placement_key, self.size = (
            answer_tokens,
            deadline,
            shared_prefix or session,
            size,
        )
        self.first_token_target, self.origin = (
            workload.latency_target + workload.target_per_1000 * prompt_tokens / 1000,
            origin,
        )
        self.target_at = now + self.first_token_target
        # When the first attempt has to begin; one that begins later is not expected to meet the target.
        self.latest_start = self.target_at - MIN_PREFILL_TIMES * router.prefill_fit.predict_aged(
            prefill_features(prompt_tokens), now
        )
        # A client that gives up before the target says nothing of the engines.
        self.is_representative = deadline >= self.target_at
        self.attempts: list[Attempt] = []
        self.current_attempt: Attempt | None = None  # in flight
        self.state_engine: Engine | None = None  # the prefill engine that holds its state
        # over: its stream has begun, its final answer is given, or its client has left.
        # deferred: it could not be placed and is tried again with the next scan.
        self.held_since, self.over, self.deferred = 0.0, False, False
        # When it last drew for cold engines, and at which number of attempts and window since its acceptance.
        self.accepted_at, self.drawn_at, self.last_draw = now, now, (-1, -1)
        self.give_up_reason: GiveUpReason | None = None
        self.release_at = inf  # when its state is released although an attempt is in flight
        self.was_released = False  # a state was, which an attempt in flight may have kept and leave held

    @property
    def is_done(self) -> bool:
        return self.over and self.current_attempt is None

    def first_token(self, seq: int, latency: float) -> None:
        if seq >= len(self.attempts) or self.attempts[seq].outcome:
            return
        now, attempt = self.router.clock.now, self.attempts[seq]
        attempt.streaming_since = now
        self.router.recent_prefill_answers += attempt.is_combined
        if attempt.is_combined:  # the end of the stream would give the cached tokens, but comes seconds later
            self.router.combined_fit.add(
                combined_features(attempt.uncached_tokens, attempt.context_tokens), latency, now
            )
        self.over, self.state_engine, self.was_released = True, None, False
        self.router.pending_releases.remove(self)
        self.router.recent_in_time += self.is_representative and now <= self.target_at
        attempt.engine.record_success(latency, self.first_token_target, now, self.router.answers)

    def ended(
        self, seq: int, outcome: Outcome, latency: float, closed: bool, detail: int, load: Mapping[str, float]
    ) -> None:
        if seq >= len(self.attempts) or self.attempts[seq].outcome:
            return  # never sent, or reported before
        now, attempt, engine = self.router.clock.now, self.attempts[seq], self.attempts[seq].engine
        if outcome is Outcome.FINISHED and not attempt.streaming_since:
            self.first_token(seq, latency)  # a whole answer; it would else count as a stream begun at time 0
        attempt.outcome = outcome
        engine.in_flight = [other for other in engine.in_flight if other is not attempt]
        if load:
            engine.load, engine.load_reported_at = load, now
        attempt.slow_transfer = detail == PART_ARRIVED and outcome in (Outcome.UNSENT, Outcome.UNREACHABLE)
        self.over = self.over or closed
        if self.current_attempt is attempt:
            self.current_attempt = None
        self.router.pending_releases.remove(self)
        if (
            self.was_released
            and not self.state_engine
            and not attempt.is_prefill
            and not attempt.streaming_since
        ):
            # Guards against a state that stays held: this attempt, in flight during the release, may have
            # claimed the state before the release came and then not fetched it. Costs one more release.
            self.actions.release()
        # Decided at the next Router.decide, not at the next scan: a final answer may be due.
        self.deferred = False
        if outcome in ANSWERED_BY_ENGINE or not self.state_engine:
            self.held_since = now
        elif now - self.held_since >= self.router.decode_wait_limit:
            # Guards against a state that stays pinned while one decode engine after another is unreachable or
            # silent: as far as is known nothing has reached an engine since the prefill. Costs a second
            # prefill where the next engine would have answered.
            self.release_state()
        prefill_done = outcome is Outcome.PREFILLED or (outcome is Outcome.FINISHED and attempt.is_combined)
        if prefill_done and not detail and attempt.uncached_tokens < self.prompt_tokens:
            engine.cached.clear()  # it found nothing cached: engines usually lose their whole cache at once
        if outcome is Outcome.PREFILLED:
            engine.record_success(latency, self.first_token_target, now, self.router.answers)
            self.router.recent_prefill_answers += 1
            self.router.prefill_fit.add(prefill_features(self.prompt_tokens - detail), latency, now)
            engine.record_cached(self)
            self.state_engine = engine
        elif outcome is Outcome.FINISHED:
            engine.stream_time, engine.streams_updated_at = (
                engine.stream_time * STREAM_DECAY + now - attempt.streaming_since,
                now,
            )
            engine.expected_stream_time = (
                engine.expected_stream_time * STREAM_DECAY + self.answer_tokens * self.workload.token_target
            )
        elif outcome is Outcome.FULL and detail:
            # The state is gone, or the decode engine can't reach it and it is still pinned: prefill again.
            self.release_state()
        elif outcome in (Outcome.FULL, Outcome.NO_FREE_CONNECTION):
            # An engine without capacity says so at once and to all; a rate limit concerns one origin.
            rate_limited = latency > IMMEDIATE_SHARE * self.first_token_target
            engine.cool_down(
                self.origin if rate_limited else None,
                attempt.sent_at,
                now,
                RATE_LIMIT_COOLDOWN if rate_limited else MIN_COOLDOWN,
            )
        elif (
            outcome in FAILURE_WEIGHTS
            and not attempt.streaming_since
            and (
                outcome is not Outcome.TIMED_OUT
                or (self.is_representative and engine.last_answer_at < attempt.sent_at)
            )
        ):
            # A time-out is no failure where the request had less time than its target, or where the engine
            # has answered others since.
            engine.record_failure(FAILURE_WEIGHTS[outcome], attempt.sent_at, now)
            if outcome is Outcome.TIMED_OUT:  # its queue needs at least as long to drain
                engine.cool_down(None, attempt.sent_at, now, latency)
        if self.over:
            self.release_state()
        else:
            self.router.waiting.append(self)

    def engine_silent(self, seq: int) -> None:
        """Give up an attempt at a silent engine whose state has been released, where that is safe.

        Guards against waiting for an engine that is stopped or cut off: should the attempt arrive later, it
        finds the state gone. Where a repeat does no harm another engine does the prefill again; costs a
        second prefill where the engine is only slow to answer. An idempotency-keyed request that is not
        retried ends as well where its client may be refused, which lets the client repeat it sooner.
        """
        if seq >= len(self.attempts):
            return
        attempt = self.attempts[seq]
        if attempt.outcome or attempt.streaming_since:
            return
        attempt.engine.record_failure(
            FAILURE_WEIGHTS[Outcome.UNARRIVED], attempt.sent_at, self.router.clock.now
        )
        if not self.router.may_cancel or self.over:
            return
        if self.workload.effect is Effect.IDEMPOTENT:
            should_cancel = self.router.may_start_over(self)
        else:
            should_cancel = self.may_be_rate_limited and not self.may_be_retried
        if should_cancel:
            self.actions.cancel(seq)

    def client_left(self) -> None:
        self.over = True
        if self.current_attempt is None:
            self.release_state()
        elif self.router.may_cancel and not self.current_attempt.streaming_since:
            self.actions.cancel(self.current_attempt.seq)

    def release_state(self) -> None:
        """Release its prefill state, if any is held: no answer and no client's leaving frees it."""
        if self.state_engine:
            self.actions.release()
            self.state_engine, self.was_released = None, True

    @property
    def may_be_retried(self) -> bool:
        """Whether a further attempt is allowed after one that may have run.

        Guards against an engine running a retry after it has forgotten the idempotency key: where engines may
        read attempts late, idempotency-keyed requests are not retried. Could harm a request that is lost with
        its engine and that a retry in time would have served.
        """
        effect = self.workload.effect
        return effect is Effect.IDEMPOTENT or (
            effect is Effect.IDEMPOTENCY_KEYED and self.router.keyed_repeats
        )

    @property
    def may_be_rate_limited(self) -> bool:
        """Whether it may be answered rate-limited, and so repeated, although an attempt may have run."""
        known = self.workload.effect is Effect.IDEMPOTENCY_KEYED and self.workload.group is Group.ALL
        return known or self.workload.effect is Effect.IDEMPOTENT

    def slow_engine_count(self, role: Role) -> int:
        """Return how many engines of a role its bytes did not reach in the time allowed for a send."""
        return len({a.engine.number for a in self.attempts if a.slow_transfer and a.engine.kind.role is role})

    def possibly_run_attempts(self) -> list[Attempt]:
        """Return the attempts that may have had an effect."""
        return [a for a in self.attempts if not a.is_prefill and a.outcome not in NEVER_RAN]

    def may_go_to(self, engine: Engine, now: float) -> bool:
        """Return whether an attempt at an engine can't have an effect for a second time."""
        earlier = self.possibly_run_attempts()
        if not earlier or engine.kind.role is Role.PREFILL or self.workload.effect is Effect.IDEMPOTENT:
            return True
        if not self.may_be_retried:
            return False
        group = self.workload.group
        return now + STALL_ALLOWANCE - earlier[0].sent_at < self.workload.key_ttl and all(
            group is Group.ALL
            or (a.engine.zone == engine.zone and (group is Group.ZONE or a.engine.cell == engine.cell))
            for a in earlier
        )

    def give_up(self, reason: GiveUpReason) -> None:
        """Give the final answer without a further attempt: rate-limited if a repeat is safe, else aborted."""
        # One given up on our prediction alone says nothing of what engines can do, so it no longer counts as
        # a request; one refused at random (see Router.accept) does.
        if not self.attempts and self.latest_start > -inf:
            self.router.recent_requests = max(0.0, self.router.recent_requests - self.is_representative)
        self.release_state()
        self.over, self.give_up_reason = True, reason
        if self.may_be_rate_limited or not self.possibly_run_attempts():
            soon = reason is not GiveUpReason.TRANSFER_TOO_SLOW  # a repeat would be sent as slowly
            self.actions.rate_limit(self.router.retry_after if soon else 0.0)
        else:
            self.actions.abort()
