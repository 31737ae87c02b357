"""The gate: all pairs of state and event, and its answers with their reasons."""

from itertools import product

import pytest
from conftest import CoreHarness

from heathford.core.gate import (
    TRANSITIONS,
    GateAttempt,
    Event,
    Gate,
    FixedTarget,
    Reason,
    RequestLifecycle,
    Rule,
    Stage,
    Target,
)
from heathford.interface import STALL_ALLOWANCE, NEVER_RAN, Effect, Group, Health, Outcome, Workload

HERE = FixedTarget(Health.ON, zone=0, cell=0)
SAME_ZONE = FixedTarget(Health.ON, zone=0, cell=1)
ELSEWHERE = FixedTarget(Health.ON, zone=1, cell=2)
NO_CELLS = FixedTarget(Health.ON, zone=1, cell=0)  # in another zone; the endpoint list has no cells
WINDOW = 2.0  # s
FINAL_STAGES = (Stage.ANSWERED, Stage.LEFT)


def lifecycle_of(effect: Effect = Effect.IDEMPOTENT, group: Group = Group.ALL) -> RequestLifecycle:
    return RequestLifecycle("c0", Workload(1.0, 0.0, 0.05, effect, group, WINDOW, 1.0), Stage.WAITING)


class WatchedGate:
    """A gate and the violations that it has reported."""

    def __init__(self, keyed_repeats: bool = True) -> None:
        self.reported: list[Rule] = []
        self.gate = Gate(lambda rule, name, what: self.reported.append(rule), keyed_repeats)


@pytest.mark.parametrize("stage, event", list(product(Stage, Event)))
def test_each_transition_is_applied_or_counted_as_a_violation(
    stage: Stage, event: Event, no_violations: list[str]
) -> None:
    watched, lifecycle = WatchedGate(), lifecycle_of()
    lifecycle.stage = stage
    allowed = watched.gate.transition(lifecycle, event)
    assert allowed == ((stage, event) in TRANSITIONS)
    assert lifecycle.stage is (TRANSITIONS[stage, event] if allowed else stage)
    assert len(watched.reported) == (not allowed) == watched.gate.violations.total()
    no_violations.clear()


def test_nothing_follows_a_final_answer_but_the_end_of_an_attempt_in_flight() -> None:
    assert {event for stage, event in TRANSITIONS if stage in FINAL_STAGES} == {Event.ENDED}


@pytest.mark.parametrize("stage", list(Stage))
def test_an_attempt_is_sent_only_while_it_waits_to_be_sent(stage: Stage) -> None:
    watched, lifecycle = WatchedGate(), lifecycle_of()
    lifecycle.stage = stage
    attempt = GateAttempt(HERE, False, 0.0)
    lifecycle.attempts.append(attempt)
    reason = watched.gate.may_send_first_byte(lifecycle, attempt, HERE, True, 0.0)
    assert reason is (Reason.ALLOWED if stage is Stage.WAITING else Reason.OVER)


@pytest.mark.parametrize(
    "health, connected, reason",
    [
        (Health.ON, True, Reason.ALLOWED),
        (Health.ON, False, Reason.CLIENT_GONE),
        (Health.DRAINING, True, Reason.ENGINE_LEAVES),
        (Health.REMOVED, True, Reason.ENGINE_LEAVES),
    ],
)
def test_the_engine_and_the_client_are_checked_right_before_sending(
    health: Health, connected: bool, reason: Reason
) -> None:
    watched, lifecycle = WatchedGate(), lifecycle_of()
    attempt = GateAttempt(HERE, True, 0.0)
    lifecycle.attempts.append(attempt)
    assert (
        watched.gate.may_send_first_byte(lifecycle, attempt, FixedTarget(health, 0, 0), connected, 0.0)
        is reason
    )
    assert watched.reported == []


@pytest.mark.parametrize("outcome", list(Outcome))
@pytest.mark.parametrize("effect", list(Effect))
def test_a_retry_is_allowed_by_effect_and_by_the_outcome_of_the_earlier_attempt(
    effect: Effect, outcome: Outcome, no_violations: list[str]
) -> None:
    watched, lifecycle = WatchedGate(), lifecycle_of(effect)
    lifecycle.attempts = [GateAttempt(HERE, False, 0.0, outcome), GateAttempt(HERE, False, 0.1)]
    never_ran = outcome in (
        Outcome.FULL,
        Outcome.UNREACHABLE,
        Outcome.UNSENT,
        Outcome.PREFILLED,
        Outcome.NO_FREE_CONNECTION,
    )
    allowed = never_ran or effect is not Effect.NON_IDEMPOTENT
    reason = watched.gate.may_send_first_byte(lifecycle, lifecycle.attempts[1], HERE, True, 0.2)
    assert reason is (Reason.ALLOWED if allowed else Reason.MAY_HAVE_RUN)
    refusal_allowed = allowed
    lifecycle.attempts[1].outcome = Outcome.UNSENT
    assert (watched.gate.may_answer_rate_limited(lifecycle) is Reason.ALLOWED) == refusal_allowed
    assert watched.reported == [] if allowed else [Rule.NO_EFFECT_TWICE] * 2
    no_violations.clear()


def test_a_second_attempt_beside_one_in_flight_is_a_violation(no_violations: list[str]) -> None:
    watched, lifecycle = WatchedGate(), lifecycle_of()
    lifecycle.attempts = [GateAttempt(HERE, True, 0.0), GateAttempt(HERE, True, 0.1)]
    assert (
        watched.gate.may_send_first_byte(lifecycle, lifecycle.attempts[1], HERE, True, 0.1)
        is Reason.ANOTHER_OUT
    )
    assert watched.reported == [Rule.NO_EFFECT_TWICE]
    no_violations.clear()


@pytest.mark.parametrize(
    "now, reason",
    [
        (WINDOW - STALL_ALLOWANCE - 0.01, Reason.ALLOWED),
        (WINDOW - STALL_ALLOWANCE, Reason.WINDOW_OVER),
        (WINDOW, Reason.WINDOW_OVER),
    ],
)
def test_the_window_for_retries_allows_for_a_stall(now: float, reason: Reason) -> None:
    watched, lifecycle = WatchedGate(), lifecycle_of(Effect.IDEMPOTENCY_KEYED)
    lifecycle.attempts = [GateAttempt(HERE, False, 0.0, Outcome.BROKEN), GateAttempt(HERE, False, 0.1)]
    assert watched.gate.may_send_first_byte(lifecycle, lifecycle.attempts[1], HERE, True, now) is reason


@pytest.mark.parametrize("outcome", list(Outcome))
@pytest.mark.parametrize("effect", list(Effect))
def test_no_keyed_retry_after_an_attempt_that_may_have_run_where_engines_may_read_late(
    effect: Effect, outcome: Outcome, no_violations: list[str]
) -> None:
    """Guards against a retry that its engine reads after it has forgotten the idempotency key."""
    watched, lifecycle = WatchedGate(keyed_repeats=False), lifecycle_of(effect)
    lifecycle.attempts = [GateAttempt(HERE, False, 0.0, outcome), GateAttempt(HERE, False, 0.1)]
    allowed = outcome in NEVER_RAN or effect is Effect.IDEMPOTENT
    reason = watched.gate.may_send_first_byte(lifecycle, lifecycle.attempts[1], HERE, True, 0.2)
    assert reason is (Reason.ALLOWED if allowed else Reason.MAY_HAVE_RUN)
    assert watched.reported == [] if allowed else [Rule.NO_EFFECT_TWICE]
    no_violations.clear()


@pytest.mark.parametrize(
    "group, target, reason",
    [
        (Group.ALL, ELSEWHERE, Reason.ALLOWED),
        (Group.ZONE, SAME_ZONE, Reason.ALLOWED),
        (Group.ZONE, ELSEWHERE, Reason.OUTSIDE_GROUP),
        (Group.CELL, HERE, Reason.ALLOWED),
        (Group.CELL, SAME_ZONE, Reason.OUTSIDE_GROUP),
        (Group.ZONE, NO_CELLS, Reason.OUTSIDE_GROUP),
        (Group.CELL, NO_CELLS, Reason.OUTSIDE_GROUP),
    ],
)
def test_a_retry_stays_in_its_group(
    group: Group, target: Target, reason: Reason, no_violations: list[str]
) -> None:
    watched, lifecycle = WatchedGate(), lifecycle_of(Effect.IDEMPOTENCY_KEYED, group)
    lifecycle.attempts = [GateAttempt(HERE, False, 0.0, Outcome.BROKEN), GateAttempt(target, False, 0.1)]
    assert watched.gate.may_send_first_byte(lifecycle, lifecycle.attempts[1], target, True, 0.2) is reason
    no_violations.clear()


@pytest.mark.parametrize(
    "answer_owed, half_read, unread, reason",
    [
        (True, False, False, Reason.ANSWER_OWED),
        (False, True, False, Reason.ANSWER_OWED),
        (False, False, True, Reason.UNREAD),
        (False, False, False, Reason.ALLOWED),
    ],
)
def test_a_connection_is_closed_only_where_no_answer_is_owed(
    answer_owed: bool, half_read: bool, unread: bool, reason: Reason
) -> None:
    assert WatchedGate().gate.may_close(answer_owed, half_read, unread) is reason


@pytest.mark.parametrize(
    "buffered, read_at, reason",
    [(True, 0.9, Reason.ALLOWED), (True, 1.0, Reason.ENDING), (False, 0.9, Reason.TOO_MUCH)],
)
def test_a_request_starts_only_before_the_process_ends(
    buffered: bool, read_at: float, reason: Reason
) -> None:
    assert WatchedGate().gate.may_start(buffered, read_at, 1.0) is reason


@pytest.mark.parametrize("seconds, broken", [(0.59, False), (0.61, True)])
def test_a_state_held_too_long_is_counted_when_its_limit_passes(
    seconds: float, broken: bool, no_violations: list[str]
) -> None:
    """Counted by a timer, without any other event: no engine confirms the release."""
    harness = CoreHarness()
    harness.link.confirms = False
    harness.engines((10, 0), (12, 1))
    harness.submit()
    harness.complete_prefill()
    harness.loop.pass_time(seconds)
    assert harness.core.gate.violations[Rule.HELD] == broken
    assert no_violations == ["HELD: cmpl-f-1: held for 0.600 s, releasing"] * broken
    no_violations.clear()


def test_the_history_records_the_events_of_a_request() -> None:
    harness = CoreHarness()
    harness.engines((10, 0), (12, 1))
    harness.submit()
    harness.complete_prefill()
    harness.link.attempts[-1].events.first_token()
    harness.link.attempts[-1].events.ended(Outcome.FINISHED, 0, {}, {})
    harness.loop.turn()
    assert [(r.event, r.attempt, r.engine) for r in harness.core.history.of("cmpl-f-1")] == [
        ("taken", -1, ""),
        ("handed over", 0, "e10"),
        ("ended", 0, "e10"),
        ("handed over", 1, "e12"),
        ("first event", 1, "e12"),
        ("ended", 1, "e12"),
        ("finished", -1, ""),
    ]
    assert harness.core.history.reasons["ended", "read"] == 1
