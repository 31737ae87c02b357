"""Single decisions of a router with a few engines: prefill 10.., decode 12.., combined 14.., in cell 1."""

from collections.abc import Callable
from typing import Any

from math import inf

import pytest
from conftest import KINDS, RouterHarness

from heathford.interface import NEVER_RAN, Effect, Group, Health, EngineKind, Role, Outcome, Workload
from heathford.policy import Router
from heathford.policy.engine_state import MAX_COOLDOWN, Engine
from heathford.policy.estimators import LatencyFit, combined_features, prefill_features

New = Callable[..., RouterHarness]
FLEET = ((10, 0), (11, 0), (12, 1), (13, 1), (14, 2))
IDEMPOTENT, IDEMPOTENCY_KEYED, NON_IDEMPOTENT = (
    Effect.IDEMPOTENT,
    Effect.IDEMPOTENCY_KEYED,
    Effect.NON_IDEMPOTENT,
)


@pytest.mark.parametrize("slopes", [(0.02, 0.05), (0.0, 0.1), (0.3, 0.0)])
def test_fit_finds_the_slopes_and_none_is_negative(slopes: tuple[float, float]) -> None:
    fit = LatencyFit(2)
    for i in range(200):
        tokens = 100 + 97 * (i % 40)
        fit.add(prefill_features(tokens), slopes[0] + slopes[1] * tokens / 1000, 0.0)
    assert fit.slopes == pytest.approx(slopes, abs=0.02)


def test_one_stall_does_not_bend_a_fit() -> None:
    fit = LatencyFit(3)
    for i in range(100):
        fit.add(combined_features(200 + 50 * (i % 30), 10_000), 0.1, 0.0)
    fit.add(combined_features(1000, 10_000), 60.0, 0.0)
    assert fit.predict(combined_features(1000, 10_000)) < 0.2


@pytest.mark.parametrize("prompt, role", [(1500, "combined"), (2500, "prefill")])
def test_short_prompts_go_to_a_combined_engine_before_the_fits_are_known(
    router_harness: New, prompt: int, role: str
) -> None:
    harness = router_harness()
    harness.engines(*FLEET)
    harness.submit(prompt)
    [(_, engine)] = harness.new_actions()
    assert (engine == 14) == (role == "combined")


@pytest.mark.parametrize(
    "prefill_slope, combined_slope, idle, prefill_engine",
    # The last case: a role without recent answers is tried again.
    [(0.05, 0.05, 0.0, False), (0.05, 0.40, 0.0, True), (0.40, 0.05, 0.0, False), (0.05, 0.40, 30.0, False)],
)
def test_the_balanced_split_chooses_the_role(
    router_harness: New, prefill_slope: float, combined_slope: float, idle: float, prefill_engine: bool
) -> None:
    harness = router_harness()
    harness.engines(*FLEET)
    for i in range(60):
        tokens = 100 + 100 * (i % 30)
        harness.router.prefill_fit.add(
            prefill_features(tokens), 0.1 + prefill_slope * tokens / 1000, harness.now
        )
        harness.router.combined_fit.add(
            combined_features(tokens, 0), 0.05 + combined_slope * tokens / 1000, harness.now - idle
        )
    harness.submit(3000)
    [(_, engine)] = harness.new_actions()
    assert (engine in (10, 11)) == prefill_engine


def test_a_session_stays_on_its_combined_engine_and_cached_tokens_count(router_harness: New) -> None:
    harness = router_harness()
    harness.engines(*FLEET, (15, 2), (16, 2))
    first = harness.submit(1900)
    [(_, engine)] = harness.new_actions()
    harness.receive_first_token(first)
    harness.end_attempt(first, Outcome.FINISHED, closed=True)
    harness.submit(3500)  # 1,600 of them not cached
    assert harness.new_actions() == [("send", engine)]


def test_without_memory_short_prompts_go_to_prefill_engines_and_wait_at_their_limit(
    router_harness: New,
) -> None:
    harness = router_harness()
    harness.engines(*FLEET)
    first = harness.submit(1500)
    harness.end_attempt(first, Outcome.FULL, memory=0.99)
    assert next(e for _, e in harness.new_actions()) == 14
    for _ in range(3):
        harness.submit(1500)
    assert [e for _, e in harness.new_actions() if e > 11] == []
    harness.submit(1500)
    assert len(harness.router.waiting) == 1 and harness.new_actions() == []


@pytest.mark.parametrize(
    "outcome, detail, effect, group, then",
    [
        (Outcome.FULL, 0, NON_IDEMPOTENT, Group.ALL, "send"),
        (Outcome.FULL, 1, NON_IDEMPOTENT, Group.ALL, "send"),
        (Outcome.UNREACHABLE, 0, NON_IDEMPOTENT, Group.ALL, "send"),
        (Outcome.TIMED_OUT, 0, NON_IDEMPOTENT, Group.ALL, "abort"),
        (Outcome.ERROR, 0, NON_IDEMPOTENT, Group.ALL, "abort"),
        (Outcome.BROKEN, 0, NON_IDEMPOTENT, Group.ALL, "abort"),
        (Outcome.BROKEN, 0, IDEMPOTENT, Group.ALL, "send"),
        (Outcome.ERROR, 0, IDEMPOTENCY_KEYED, Group.CELL, "send"),
    ],
)
def test_next_step_after_a_failed_decode_attempt(
    router_harness: New, outcome: Outcome, detail: int, effect: Effect, group: Group, then: str
) -> None:
    harness = router_harness(effect=effect, group=group)
    harness.engines(*FLEET)
    request = harness.submit()
    harness.end_attempt(request, Outcome.PREFILLED)
    harness.new_actions()
    harness.end_attempt(request, outcome, detail=detail)
    asked = harness.new_actions()
    assert asked[-1][0] == then
    assert (("release",) in asked) >= (detail == 1)  # a state that the engine could not fetch is still pinned
    assert (then == "send") or ("release",) in asked


@pytest.mark.parametrize(
    "group, other_engine, later, stays_in_group",
    [
        (Group.CELL, 22, 0.1, True),
        (Group.ZONE, 22, 0.1, False),
        (Group.ZONE, 122, 0.1, True),
        (Group.ALL, 122, 0.1, False),
        (Group.ALL, 122, 2.5, True),
    ],
)
def test_retries_of_keyed_requests_stay_in_their_group_and_window(
    router_harness: New, group: Group, other_engine: int, later: float, stays_in_group: bool
) -> None:
    harness = router_harness(effect=IDEMPOTENCY_KEYED, group=group)
    harness.engines((10, 0), (12, 1))
    request = harness.submit()
    harness.end_attempt(request, Outcome.PREFILLED)
    harness.engines((12, 1), health=Health.DRAINING)
    harness.engines((other_engine, 1))
    harness.new_actions()
    harness.end_attempt(request, Outcome.ERROR, after=later)
    assert (("send", other_engine) not in harness.new_actions()) == stays_in_group


@pytest.mark.parametrize(
    "how, limit, limited",
    [
        ("not admitted", 0.3, False),
        ("not admitted", 0.06, False),
        ("no decode engine", 0.3, True),
        ("client leaves", 0.3, False),
        ("out of time", 0.3, True),
    ],
)
def test_no_state_stays_pinned(router_harness: New, how: str, limit: float, limited: bool) -> None:
    harness = router_harness(pin_limit=limit, cold_from=0.0)
    harness.engines((10, 0), (12, 1))
    request = harness.submit(deadline=harness.now + (0.2 if how == "out of time" else 5.0))
    if how == "no decode engine":
        harness.engines((12, 1), health=Health.DRAINING)
    else:
        harness.engines((12, 1), started=harness.now)  # cold, with a budget of nothing
    harness.end_attempt(request, Outcome.PREFILLED)
    if how == "client leaves":
        request.client_left()
    harness.wait(limit - 0.02)
    asked = harness.new_actions()
    assert ("release",) in asked and (("rate_limit",) in asked) == limited


@pytest.mark.parametrize(
    "effect, left, prefill_timeout, decode_timeout",
    [(IDEMPOTENT, 20.0, 4.0, 2.0), (NON_IDEMPOTENT, 20.0, 4.0, 19.9), (IDEMPOTENT, 1.5, 0.75, 0.7)],
)
def test_an_attempt_that_may_be_repeated_times_out_well_before_the_deadline(
    router_harness: New, effect: Effect, left: float, prefill_timeout: float, decode_timeout: float
) -> None:
    """Guards against silent engines that each take half of a deadline of five latency targets."""
    harness = router_harness(effect=effect)
    harness.engines(*FLEET)
    request = harness.submit(deadline=harness.now + left)
    assert harness.attempt_timeout == pytest.approx(prefill_timeout)
    harness.end_attempt(request, Outcome.PREFILLED)
    assert harness.attempt_timeout == pytest.approx(decode_timeout)


def test_the_fewer_prefills_are_answered_the_longer_their_time_out(router_harness: New) -> None:
    """Guards against an overloaded prefill engine that finishes nothing: with 30 prefills a second, each
    given up after 0.9 s, it finished none for 6 s; no prompt was cached, and all were repeated elsewhere."""
    harness = router_harness()
    harness.engines(*[(n, 0) for n in range(20, 60)], *[(n, 1) for n in range(10, 20)])

    def answered(count: int) -> None:
        for n in range(count):
            request = harness.submit(session=f"{n}", deadline=harness.now + 20.0)
            harness.end_attempt(request, Outcome.PREFILLED, after=0.01)
            harness.receive_first_token(request, after=0.01)
            harness.end_attempt(request, Outcome.FINISHED, after=0.01, closed=True)

    answered(10)
    waits = []
    for n in range(5):
        request = harness.submit(session=f"x{n}", deadline=harness.now + 20.0)
        for _ in range(3):
            harness.end_attempt(request, Outcome.TIMED_OUT, after=0.01)
            waits.append(harness.attempt_timeout)
        request.client_left()
        harness.end_attempt(request, Outcome.CANCELLED, after=0.01, closed=True)
    assert waits == sorted(waits) and waits[0] == pytest.approx(2.4, abs=0.2) and waits[-1] > 4.0
    answered(80)
    harness.submit(session="y", deadline=harness.now + 20.0)
    assert harness.attempt_timeout == pytest.approx(2.4, abs=0.2)


@pytest.mark.parametrize("outcome, cools_down", [(Outcome.TIMED_OUT, True), (Outcome.ERROR, False)])
def test_a_prefill_engine_cools_down_after_a_time_out_as_after_a_slow_answer(
    router_harness: New, outcome: Outcome, cools_down: bool
) -> None:
    """Guards against an engine that cools down after a slow answer and not after none at all: a single
    time-out is below the failure threshold."""
    harness = router_harness()
    harness.engines((10, 0), (11, 0), (12, 1))
    request = harness.submit(session="s", shared="a")
    [(_, slow)] = harness.new_actions()
    harness.end_attempt(request, outcome, after=1.0)
    until, _ = harness.router.engines[slow].cooldowns.get(None, (harness.now, 0.0))
    assert until - harness.now == pytest.approx(1.0 if cools_down else 0.0)
    harness.end_attempt(request, Outcome.PREFILLED, after=0.1)
    harness.new_actions()
    harness.submit(session="t", shared="a")
    assert cools_down <= (harness.new_actions() != [("send", slow)])


@pytest.mark.parametrize("each, sends", [(0.01, 3), (0.25, 1)])
def test_a_state_is_released_once_unreachable_decode_engines_have_taken_much_of_the_pin_limit(
    router_harness: New, each: float, sends: int
) -> None:
    """Guards against a state that is still held after 0.5 s of connecting to two decode engines in vain."""
    harness = router_harness()
    harness.engines((10, 0), *((n, 1) for n in range(12, 18)))
    request = harness.submit()
    harness.end_attempt(request, Outcome.PREFILLED)
    for _ in range(2):
        if request.state_engine:
            harness.end_attempt(request, Outcome.UNREACHABLE, after=each)
    asked = harness.new_actions()
    assert sum(a[0] == "send" and a[1] != 10 for a in asked) == sends
    assert (("release",) in asked) == (sends == 1)


@pytest.mark.parametrize("effect", [IDEMPOTENT, IDEMPOTENCY_KEYED, NON_IDEMPOTENT])
def test_one_final_answer_in_time_when_no_engine_is_usable(router_harness: New, effect: Effect) -> None:
    harness = router_harness(effect=effect)
    harness.submit(deadline=harness.now + 1.0)
    harness.wait(0.98)
    assert harness.new_actions() == [("rate_limit",)]
    harness.wait(1.0)
    assert harness.new_actions() == []


def test_no_send_to_draining_or_removed_engines(router_harness: New) -> None:
    harness = router_harness()
    harness.engines((10, 0), (11, 0))
    harness.engines((10, 0), health=Health.DRAINING)
    harness.router.begin_list_update(complete=True)
    harness.router.end_list_update()
    harness.submit()
    assert harness.new_actions() == [("rate_limit",)]


def test_a_prefill_engine_that_fails_fast_cools_down_and_ramps_up_again(router_harness: New) -> None:
    harness = router_harness()
    harness.engines((10, 0), (12, 1), (13, 1), (14, 1))
    harness.router.recent_in_time, harness.router.counters_updated_at = 100.0, harness.now  # no overload
    failed = harness.submit()
    harness.end_attempt(failed, Outcome.UNREACHABLE, after=0.01)
    assert harness.new_actions() == [("send", 10)]
    harness.wait(0.6)
    requests = [failed] + [harness.submit(session=str(i)) for i in range(6)]
    assert harness.new_actions() == [("send", 10)]
    ramp_limits = []
    for _ in range(3):
        for request in [
            request for request in requests if request.current_attempt and request.current_attempt.is_prefill
        ]:
            harness.end_attempt(request, Outcome.PREFILLED, after=0.01)
        ramp_limits.append(harness.router.engines[10].ramp_limit)
        harness.wait(0.06)
    assert ramp_limits == [2, 4, 6]  # two at once, the limit per prefill engine


def test_the_cooldown_of_an_engine_that_always_fails_is_bounded(router_harness: New) -> None:
    harness = router_harness()
    harness.engines((10, 0))
    for _ in range(2000):
        harness.now += 1.0
        harness.router.engines[10].record_failure(1.0, harness.now, harness.now)
    assert harness.now < harness.router.engines[10].cooldowns[None][0] < harness.now + 10.0


def test_cooldowns_double_with_slow_answers_and_halve_with_good_ones(router_harness: New) -> None:
    harness = router_harness()
    harness.engines((10, 0), (12, 1))
    engine, cooldowns_seen = harness.router.engines[10], []
    for latency in (0.9, 0.9, 0.9, 0.1, 0.1):
        harness.now = max(harness.now, engine.cooldowns.get(None, (0.0, 0.0))[0]) + 0.01
        request = harness.submit()
        harness.end_attempt(request, Outcome.PREFILLED, after=latency)
        harness.receive_first_token(request)
        cooldowns_seen.append(engine.cooldowns[None][1])
    assert cooldowns_seen == pytest.approx([0.9, 1.8, 3.6, 1.8, 0.9])


def test_slow_answers_to_attempts_sent_before_a_cooldown_do_not_lengthen_it(router_harness: New) -> None:
    harness = router_harness()
    harness.engines((10, 0))
    engine = harness.router.engines[10]
    for sent in (harness.now, harness.now + 0.1, harness.now + 0.2):
        engine.cool_down(None, sent, harness.now + 1.0)
    assert engine.cooldowns[None] == (harness.now + 1.25, 0.25)


@pytest.mark.parametrize("recent, in_time, admitted", [(0.0, 0.0, 40), (20.0, 12.0, 40), (40.0, 4.0, 12)])
def test_under_overload_little_more_is_admitted_than_is_answered_in_time(
    router_harness: New, recent: float, in_time: float, admitted: int
) -> None:
    harness = router_harness()
    harness.engines(*((n, 0) for n in range(10, 60)), *((n, 1) for n in range(60, 90)))
    harness.router.counters_updated_at = harness.now
    for i in range(40):
        harness.router.recent_requests, harness.router.recent_in_time = recent, in_time
        harness.submit(session=str(i), shared=str(i))
    sent = sum(a[0] == "send" for a in harness.new_actions())
    assert sent == admitted if admitted == 40 else 2 <= sent <= 16


@pytest.mark.parametrize("latency, others", [(0.2, "send"), (0.001, None)])
def test_a_late_refusal_blocks_an_engine_for_its_origin_only(
    router_harness: New, latency: float, others: str | None
) -> None:
    harness = router_harness()
    harness.engines((10, 0), (12, 1))
    harness.end_attempt(harness.submit(tenant=0), Outcome.FULL, after=latency)
    harness.new_actions()
    harness.submit(tenant=1)
    assert [a[0] for a in harness.new_actions()] == ([others] if others else [])


@pytest.mark.parametrize("fronts", [3, 200])
def test_sessions_with_one_shared_prefix_go_to_one_prefill_engine_at_all_fronts(
    router_harness: New, fronts: int
) -> None:
    seen = []
    for number in range(3):
        harness = router_harness(number=number, fronts=fronts)
        harness.engines(*((n, 0) for n in range(10, 30)), (30, 1))
        for i in range(30):
            request = harness.submit(session=f"s{i}", shared="text")
            harness.end_attempt(request, Outcome.PREFILLED, after=0.01)
            harness.receive_first_token(request, after=0.01)
            harness.end_attempt(request, Outcome.FINISHED, closed=True)
        seen.append([a[1] for a in harness.new_actions() if a[0] == "send" and a[1] < 30])
    assert seen[0] == seen[1] == seen[2] and len(set(seen[0])) == 1


def test_an_engine_with_an_overdue_attempt_gets_no_more(router_harness: New) -> None:
    harness = router_harness()
    harness.engines((10, 0), (11, 0), (12, 1))
    harness.submit(session="x")
    [(_, silent)] = harness.new_actions()
    harness.wait(0.45)
    for _ in range(2):
        harness.submit(session="x")
    assert {e for _, e in harness.new_actions()} == {21 - silent}


def keys_for_each_engine(router: Router, role: Role) -> list[str]:
    """Return as many recent keys for each engine of the role: a cold one is as popular as the others."""
    ring = router.rings[role][0]
    found: dict[Engine, str] = {}
    for key in map(str, range(1000)):
        if engine := ring.pick(f"1:{key}", lambda e: True):
            found.setdefault(engine, key)
    return 20 * list(found.values())


@pytest.mark.parametrize(
    "fronts, per_second, budget", [(3, 30.0, 54.0), (200, 0.4, 48.0), (230, 0.1, 13.8), (1024, 0.25, 153.6)]
)
def test_fronts_share_the_budget_of_a_cold_engine(
    router_harness: New, fronts: int, per_second: float, budget: float
) -> None:
    """Each front node gets so many answers per s of a warm prefill engine, and as many requests lead to the
    cold one. Guards against cold engines that hardly any front node uses, as where each waited for a turn of
    its own, and against attempts beyond the rule's budget: 0.6 of what a warm prefill engine answers. Could
    harm where engines are not alike."""
    sends: list[float] = []
    for number in range(fronts):
        harness = router_harness(number=number, fronts=fronts)
        harness.engines((11, 0), (12, 0), (13, 1))
        start = harness.now
        harness.engines((20, 0), started=start)
        engine = harness.router.engines[20]
        request = harness.submit()
        harness.router.slow_start.recent_keys.extend(keys_for_each_engine(harness.router, Role.PREFILL))
        engine.ramp_limit = 0
        harness.router.recent_prefills = harness.router.recent_prefill_answers = 0.0
        for i in range(int(-10 * per_second), int(8 * per_second) + 1):
            at = start + (i + number / fronts) / per_second
            if at >= start:
                harness.now, request.session, request.drawn_at = at, f"{number}-{i}", at
                if harness.router.usable(engine, request):
                    engine.cold_attempts.append(at)
            harness.router.slow_start.traffic.prompt_draws.extend([at] * 3)  # one leads to each engine
            harness.router.answers.extend((at, harness.router.engines[e]) for e in (11, 12))
        sends += engine.cold_attempts
    for second in range(1, 6):
        held = sum(start + second <= at < start + second + 2 for at in sends) / 2
        assert 0.6 * budget <= held <= 1.3 * budget


@pytest.mark.parametrize("answered, least, most", [(1.0, 0.5, 0.7), (0.25, 0.1, 0.25)])
def test_where_prefills_stay_unanswered_cold_engines_get_less(
    router_harness: New, answered: float, least: float, most: float
) -> None:
    """Guards against a cold engine that gets its share of all the repeats of an overload, not of what other
    engines of its role can answer. Could harm where prefills are lost for another reason."""
    harness = router_harness(fronts=200)
    harness.engines((11, 0), (13, 1), (20, 0))
    request = harness.submit()
    traffic, half = harness.router.slow_start.traffic, 100
    traffic.prompt_draws.extend([harness.now] * 2 * half)  # half of them lead to each prefill engine
    warm = harness.router.engines[11]
    traffic.answers.extend([(harness.now, warm)] * int(half * answered))
    harness.engines((20, 0), started=harness.now)
    harness.router.slow_start.recent_keys.extend(keys_for_each_engine(harness.router, Role.PREFILL))
    engine = harness.router.engines[20]
    admitted = 0
    for i in range(1000):
        request.session = str(i)
        admitted += harness.router.usable(engine, request)
    assert least * 1000 <= admitted <= most * 1000


def test_a_cold_combined_engine_takes_no_states_while_another_decode_engine_is_warm(
    router_harness: New,
) -> None:
    """Guards against states of a whole zone that take one cold combined engine: it got 26 in a window."""
    harness = router_harness()
    harness.engines((11, 0), (12, 1))
    harness.engines((13, 2), started=harness.now)
    decode_engines = set()
    for i in range(40):
        request = harness.submit(session=str(i))
        if request.current_attempt and request.current_attempt.is_prefill:
            harness.end_attempt(request, Outcome.PREFILLED)
            if len(request.attempts) > 1:  # else it waits for an engine with capacity
                decode_engines.add(request.attempts[1].engine.number)
                harness.receive_first_token(request)
    assert decode_engines == {12}


def test_a_session_that_is_not_admitted_at_once_may_be_later(router_harness: New) -> None:
    """Guards against sessions that a cold engine would never admit where there is no other engine."""
    harness = router_harness(workloads=[Workload(20.0, 0.0, 0.05, IDEMPOTENT, Group.ALL, 2.0, 1.0)])
    harness.engines((13, 1))
    for i in range(8):
        harness.engines((20, 0), started=harness.now)
        request = harness.submit(session=f"s{i}", deadline=harness.now + 30.0)
        harness.wait(9.5)
        assert request.attempts and request.attempts[0].engine.number == 20
        harness.end_attempt(request, Outcome.PREFILLED)
        harness.receive_first_token(request)
        harness.end_attempt(request, Outcome.FINISHED, closed=True)


def test_the_cost_of_a_decision_grows_only_linearly_with_the_list(
    router_harness: New, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against computing the budget anew for each of a thousand cold engines, in every pick."""
    harness = router_harness(number=1, fronts=1024)
    harness.engines((5000, 1))
    harness.engines(*[(i, 0) for i in range(1024)], started=harness.now)
    harness.now += 0.1
    checks = 0
    cold = harness.router.slow_start.is_cold

    def counted(engine: Engine) -> bool:
        nonlocal checks
        checks += 1
        return cold(engine)

    monkeypatch.setattr(harness.router.slow_start, "is_cold", counted)
    harness.submit(5000)
    assert 1024 <= checks <= 16 * 1024


def test_a_cold_engine_gets_the_prefixes_that_stay_with_it(router_harness: New) -> None:
    """Guards against prefixes that a cold engine prefills and that lead elsewhere once it is warm: it gets
    only requests that hash to it. Costs a slower prefill."""
    harness = router_harness(cold_from=1.0, cold_multiple=2.0)
    harness.engines(*((10 + i, 0) for i in range(6)), (90, 1))
    harness.engines((16, 0), started=harness.now)
    cold = {}
    for i in range(60):
        request = harness.submit(session=str(i), shared=f"text {i}", shared_tokens=4000)
        harness.end_attempt(request, Outcome.PREFILLED)
        cold[i] = request.attempts[0].engine.number
        harness.receive_first_token(request)
        harness.end_attempt(request, Outcome.FINISHED, closed=True)
        harness.router.engines[16].cold_attempts.clear()
    harness.now += 20.0
    for i in range(60):
        request = harness.submit(session=str(i), shared=f"text {i}", shared_tokens=4000)
        assert request.attempts[0].engine.number == cold[i]
        harness.end_attempt(request, Outcome.PREFILLED)
        harness.receive_first_token(request)
        harness.end_attempt(request, Outcome.FINISHED, closed=True)
    assert 3 <= sum(number == 16 for number in cold.values()) <= 20


def test_one_prefill_engine_keeps_a_prefix_unless_it_has_more_load(router_harness: New) -> None:
    """Guards against two prefill engines that both prefill one prefix: most are used a few times only."""
    harness = router_harness()
    harness.engines(*((10 + i, 0) for i in range(6)), (90, 1))
    prefill_engines = []
    for i in range(5):
        request = harness.submit(session=f"s{i}", shared="text", shared_tokens=4000)
        prefill_engines.append(request.attempts[0].engine.number)
        if i != 3:
            harness.end_attempt(request, Outcome.PREFILLED)
    first, *_, others = prefill_engines
    assert prefill_engines[:4] == [first] * 4 and others != first


def test_a_restart_under_the_same_number_clears_the_cache(router_harness: New) -> None:
    harness = router_harness()
    harness.engines(*FLEET)
    request = harness.submit(1900)
    harness.receive_first_token(request)
    harness.end_attempt(request, Outcome.FINISHED, closed=True)
    assert harness.router.engines[14].cached_tokens(request) == 1900
    harness.engines((14, 2), started=harness.now)
    assert harness.router.engines[14].cached_tokens(request) == 0


def test_same_events_same_actions(router_harness: New) -> None:
    def actions() -> list[tuple[Any, ...]]:
        harness = router_harness()
        harness.engines(*FLEET, (15, 1), (16, 1), (17, 1))
        for i in range(20):
            request = harness.submit(1000 + 300 * i, session=f"s{i % 4}")
            if request.current_attempt and request.current_attempt.is_prefill:
                harness.end_attempt(request, Outcome.PREFILLED)
        return harness.new_actions()

    assert actions() == actions()


def test_an_engine_that_refuses_work_cools_down_longer_each_time(router_harness: New) -> None:
    harness = router_harness()
    harness.engines((14, 2))
    waits = []
    for i in range(4):
        request = harness.submit(500, session=str(i))
        harness.end_attempt(request, Outcome.FULL, after=0.01)
        waits.append(round(harness.router.engines[14].cooldowns[None][0] - harness.now, 2))
        harness.now = harness.router.engines[14].cooldowns[None][0]
        request.client_left()
    assert waits == [0.25, 0.5, 1.0, 2.0]


def test_a_full_pair_delays_its_own_requests_only(router_harness: New) -> None:
    harness = router_harness()
    harness.engines((10, 0), (11, 0), (15, 0), (12, 1), (13, 1), (16, 1), (17, 1))
    harness.router.recent_in_time, harness.router.counters_updated_at = 100.0, harness.now  # no overload
    for i in range(6):
        harness.submit(session=str(i), shared="text")
    prefill_engines = [e for _, e in harness.new_actions()]
    # One prefill engine stays free: the prefix isn't cached there.
    assert len(prefill_engines) == 2 * len(set(prefill_engines)) < 6
    for i in range(20):
        harness.submit(session=f"other{i}")
    assert {a[1] for a in harness.new_actions() if a[0] == "send"} == {10, 11, 15} - set(prefill_engines)


def test_an_unanswered_attempt_blocks_its_engine(router_harness: New) -> None:
    harness = router_harness()
    harness.engines((10, 0), (12, 1))
    harness.end_attempt(harness.submit(), Outcome.PREFILLED, after=0.01)
    harness.new_actions()
    harness.submit(session="x")
    harness.wait(0.45)  # not timed out yet, but longer than a good answer takes
    harness.submit(session="y")
    assert harness.new_actions() == [("send", 10), ("release",)]  # the release is of the first, at its limit


def test_a_deferred_request_is_answered_at_once_when_its_attempt_times_out(router_harness: New) -> None:
    harness = router_harness()
    harness.engines((14, 2))
    harness.router.engines[14].cooldowns[None] = harness.now + 0.1, 0.1
    request = harness.submit(500, deadline=harness.now + 1.0)
    harness.wait(0.2)
    harness.now += 0.78
    harness.router.decide()
    harness.end_attempt(request, Outcome.TIMED_OUT, after=0.005)  # right after a scan, near the deadline
    assert harness.new_actions() == [("send", 14), ("rate_limit",)]


def test_a_failed_subscription_is_repeated_after_a_while(router_harness: New) -> None:
    harness = router_harness(subscribe=True)
    harness.router.decide()
    harness.router.list_request_failed()
    harness.router.decide()
    assert harness.new_actions() == [("subscribe",)]  # the first one, at the start
    harness.wait(1.6)
    assert harness.new_actions() == [("subscribe",)]


def test_a_front_that_admitted_nothing_after_an_overload_tries_again(router_harness: New) -> None:
    harness = router_harness()
    harness.engines((10, 0), (12, 1))
    for _ in range(60):
        harness.router.prefill_fit.add(prefill_features(5000), 2.0, harness.now)
    asked = []
    for _ in range(2):
        harness.router.recent_requests, harness.router.counters_updated_at = 3.5, harness.now
        request = harness.submit()
        asked += harness.new_actions()
        request.client_left()
        harness.now += 20.0
    assert asked == [("rate_limit",), ("send", 10)]


def test_requests_shed_as_late_do_not_prolong_an_overload(router_harness: New) -> None:
    """Guards against an overload that a fit from before a replacement of engines prolongs: ten seconds later
    prefills took 0.15 s, and a third was still shed, as requests that the fit predicted to be late counted
    as requests not answered in time."""
    harness = router_harness()
    harness.engines((10, 0), (11, 0), (12, 1), (13, 1))
    for _ in range(60):
        harness.router.prefill_fit.add(prefill_features(5000), 2.0, harness.now)
    harness.router.recent_requests, harness.router.counters_updated_at = 10.0, harness.now
    requests = [harness.submit(session=str(n)) for n in range(40)]
    assert not any(request.attempts for request in requests) and all(request.over for request in requests)
    by_chance = sum(request.latest_start == -inf for request in requests)
    assert 0 < by_chance < 40 and harness.router.recent_requests == pytest.approx(10.0 + by_chance)


@pytest.mark.parametrize("left, is_failure", [(0.6, False), (3.0, True)])
def test_the_time_out_of_a_request_with_little_time_is_no_failure(
    router_harness: New, left: float, is_failure: bool
) -> None:
    harness = router_harness()
    harness.engines((12, 1), (14, 2))
    for _ in range(2):
        harness.now += 4.0  # past its cooldown
        request = harness.submit(1000, deadline=harness.now + left)
        harness.end_attempt(request, Outcome.TIMED_OUT, after=left)
        harness.new_actions()
    assert (harness.router.engines[14].failures > 0) == is_failure


@pytest.mark.parametrize(
    "effect, group, draining, after, answer",
    [
        (IDEMPOTENCY_KEYED, Group.CELL, False, 2.5, "abort"),
        (IDEMPOTENCY_KEYED, Group.ZONE, False, 2.5, "abort"),
        (IDEMPOTENCY_KEYED, Group.ALL, False, 2.5, "rate_limit"),
        (IDEMPOTENCY_KEYED, Group.CELL, True, 0.1, "abort"),
        (IDEMPOTENCY_KEYED, Group.ZONE, True, 0.1, "abort"),
        (IDEMPOTENCY_KEYED, Group.ALL, True, 0.1, "send"),
        (IDEMPOTENT, Group.ALL, True, 0.1, "send"),
        (NON_IDEMPOTENT, Group.ALL, False, 0.1, "abort"),
    ],
)
def test_a_request_that_no_engine_may_take_any_more_is_answered_at_once(
    router_harness: New, effect: Effect, group: Group, draining: bool, after: float, answer: str
) -> None:
    """Guards against a keyed request that waits for most of its deadline though its key has expired or its
    group has been removed."""
    harness = router_harness(effect=effect, group=group, try_limit=9)
    harness.engines((10, 0), (112, 1), (212, 1))
    request = harness.submit(deadline=harness.now + 60.0)
    harness.end_attempt(request, Outcome.PREFILLED)
    if draining:
        harness.engines((request.attempts[-1].engine.number, 1), health=Health.DRAINING)
    harness.new_actions()
    harness.end_attempt(request, Outcome.ERROR, after=after)
    assert harness.new_actions()[-1][0] == answer
    harness.wait(1.0)
    assert request.is_done == (answer != "send")


@pytest.mark.parametrize(
    "cooldown, draining, waited, answer",
    [
        (0.3, False, 0.5, "send"),
        (8.0, False, 1.55, ""),
        (8.0, False, 1.85, "abort"),
        (8.0, True, 0.1, "abort"),
    ],
)
def test_a_keyed_request_waits_no_longer_than_its_group_may_take_it(
    router_harness: New, cooldown: float, draining: bool, waited: float, answer: str
) -> None:
    harness = router_harness(effect=IDEMPOTENCY_KEYED, group=Group.CELL)
    harness.engines((10, 0), (12, 1), (22, 1))
    request = harness.submit(deadline=harness.now + 60.0)
    harness.end_attempt(request, Outcome.PREFILLED)
    harness.end_attempt(request, Outcome.ERROR)
    harness.router.engines[10].cool_down(None, harness.now, harness.now, cooldown)
    harness.end_attempt(request, Outcome.FULL, detail=1)  # the state is gone: it waits for the prefill engine
    harness.new_actions()
    if draining:
        harness.engines((12, 1), health=Health.DRAINING)
    harness.wait(waited)
    assert [asked[0] for asked in harness.new_actions()] == [answer] * bool(answer)


@pytest.mark.parametrize("outcome", [o for o in Outcome if o not in (Outcome.PREFILLED, Outcome.FINISHED)])
@pytest.mark.parametrize("group, refused", [(Group.ALL, "rate_limit"), (Group.ZONE, "abort")])
def test_a_keyed_request_is_not_retried_where_engines_may_read_late(
    router_harness: New, group: Group, refused: str, outcome: Outcome
) -> None:
    """After an attempt that may have run it is answered at once, after one that never ran it is retried."""
    harness = router_harness(effect=IDEMPOTENCY_KEYED, group=group, keyed_repeats=False)
    harness.engines((10, 0), (12, 1), (22, 1))
    request = harness.submit(deadline=harness.now + 60.0)
    harness.end_attempt(request, Outcome.PREFILLED)
    harness.new_actions()
    harness.end_attempt(request, outcome, after=0.01)
    harness.wait(0.1)
    sent = [asked for asked in harness.new_actions() if asked[0] != "release"]
    assert [asked[0] for asked in sent] == ["send" if outcome in NEVER_RAN else refused]
    assert request.is_done == (outcome not in NEVER_RAN)


@pytest.mark.parametrize(
    "keyed_repeats, group, timeout",
    [(True, Group.ZONE, 2.0), (False, Group.ALL, 2.0), (False, Group.ZONE, 19.9), (False, Group.CELL, 19.9)],
)
def test_a_keyed_attempt_that_nothing_may_follow_gets_all_the_time_left(
    router_harness: New, keyed_repeats: bool, group: Group, timeout: float
) -> None:
    """Guards against half of the time left for a retry that is not made; a refused one may be repeated."""
    harness = router_harness(effect=IDEMPOTENCY_KEYED, group=group, keyed_repeats=keyed_repeats)
    harness.engines(*FLEET)
    request = harness.submit(deadline=harness.now + 20.0)
    harness.end_attempt(request, Outcome.PREFILLED)
    assert harness.attempt_timeout == pytest.approx(timeout)


@pytest.mark.parametrize(
    "keyed_repeats, group, ends",
    [(False, Group.ALL, True), (False, Group.ZONE, False), (True, Group.ALL, False)],
)
def test_a_keyed_attempt_at_a_silent_engine_ends_only_where_its_client_may_repeat(
    router_harness: New, keyed_repeats: bool, group: Group, ends: bool
) -> None:
    harness = router_harness(effect=IDEMPOTENCY_KEYED, group=group, keyed_repeats=keyed_repeats)
    harness.engines((10, 0), (12, 1), (22, 1))
    request = harness.submit(deadline=harness.now + 20.0)
    harness.end_attempt(request, Outcome.PREFILLED)
    harness.wait(0.4)
    harness.new_actions()
    request.engine_silent(1)
    assert harness.new_actions() == [("cancel", 1)] * ends
    harness.end_attempt(request, Outcome.CANCELLED)
    if not keyed_repeats:
        answers = [asked[0] for asked in harness.new_actions() if asked[0] != "release"]
        assert answers == ["rate_limit" if group is Group.ALL else "abort"]


@pytest.mark.parametrize("others, then", [([], "rate_limit"), ([(14, 2)], "send")])
def test_one_attempt_left_without_a_combined_engine_is_answered_at_once(
    router_harness: New, others: list[tuple[int, int]], then: str
) -> None:
    harness = router_harness(try_limit=2)
    harness.engines((10, 0), (12, 1), *others)
    request = harness.submit()
    assert request.attempts[0].is_prefill
    harness.new_actions()
    harness.end_attempt(request, Outcome.UNREACHABLE)
    assert harness.new_actions()[-1][0] == then


@pytest.mark.parametrize(
    "kinds, in_place, answer",
    [
        ([0, 1], False, "send 0"),
        ([0, 2], False, "send 0"),
        ([2], False, "send 2"),
        ([0], False, "limited"),
        ([1], False, "limited"),
        ([1], True, "send 1"),
        ([0, 1], True, "send 0"),
        ([1, 2], True, "send 2"),
        ([0], True, "limited"),
    ],
)
def test_each_layout_of_roles_serves_or_answers_at_once(
    router_harness: New, kinds: list[int], in_place: bool, answer: str
) -> None:
    """One zone or three, cells of one engine, roles that no engine has."""
    for zones in (1, 3):
        harness = router_harness(read_in_place=in_place, zone=zones - 1)
        harness.engines(*((100 * zone + 10 * kind, kind) for zone in range(zones) for kind in kinds))
        for n in range(6):
            request = harness.submit(session=f"s{n % 2}")
            if answer == "limited":
                assert request.is_done and harness.new_actions() == [("rate_limit",)]
                continue
            assert (
                request.current_attempt
                and request.current_attempt.engine.kind.role is KINDS[int(answer[-1])].role
            )
            if request.current_attempt.is_prefill:
                harness.end_attempt(request, Outcome.PREFILLED)
            harness.receive_first_token(request)
            harness.end_attempt(request, Outcome.FINISHED, closed=True)
            assert request.is_done
        harness.router.begin_list_update(complete=True)
        harness.router.end_list_update()
        assert harness.submit().is_done  # all engines are removed


def test_a_front_that_has_just_started_waits_for_its_list(router_harness: New) -> None:
    harness = router_harness()
    harness.submit()
    harness.wait(0.2)
    assert harness.new_actions() == []
    harness.engines(*FLEET)
    harness.wait(0.1)
    assert harness.new_actions()[-1][0] == "send"


@pytest.mark.parametrize(
    "allowed, longest, expected", [(True, 2.0, 0.5), (True, 0.2, 0.2), (False, 2.0, 0.0)]
)
def test_a_rate_limit_says_when_to_repeat_where_settings_allow(
    router_harness: New, allowed: bool, longest: float, expected: float
) -> None:
    harness = router_harness(may_delay_retries=allowed, longest_retry=longest)
    harness.engines((10, 0))
    harness.submit()
    assert harness.retry_after == expected


def test_a_whole_answer_is_no_stream_since_time_zero(router_harness: New) -> None:
    harness = router_harness()
    harness.engines((12, 2))
    for _ in range(3):
        request = harness.submit()
        harness.end_attempt(request, Outcome.FINISHED, closed=True)
        assert request.is_done and harness.new_actions() == [("send", 12)]
    assert harness.router.recent_in_time > 2.0


def test_another_machine_under_a_known_number_is_a_new_engine(router_harness: New) -> None:
    harness = router_harness()
    harness.engines((10, 0), (12, 1))
    request = harness.submit()
    harness.engines((10, 1), (12, 0))
    harness.end_attempt(request, Outcome.UNREACHABLE)
    assert [d.engine.kind.role for d in request.attempts] == [Role.PREFILL, Role.PREFILL]
    assert harness.new_actions() == [("send", 10), ("send", 12)] and not harness.router.engines[10].in_flight


@pytest.mark.parametrize("subscribe", [True, False])
def test_a_clock_that_starts_at_zero_works_like_any_other(router_harness: New, subscribe: bool) -> None:
    """Guards against a time of zero that is taken for no time: the endpoint list was never requested."""
    harness = router_harness(now=0.0, subscribe=subscribe)
    harness.engines((10, 0), (12, 1))
    harness.engines((13, 1), started=-2.0)  # before the clock started: still cold
    harness.router.decide()
    assert (("subscribe",) in harness.new_actions()) == subscribe
    cold = harness.router.slow_start.is_cold
    assert cold(harness.router.engines[13]) and not cold(harness.router.engines[12])
    harness.submit()
    assert harness.new_actions() == [("send", 10)]


@pytest.mark.parametrize(
    "settings, hint",
    [
        ({"workloads": [Workload(1.0, 0.0, 0.0, IDEMPOTENT, Group.ALL, 0.0, 1.0)]}, 2.0),
        ({"kinds": [EngineKind(role, 0) for role in Role]}, 0.0),
        ({"cold_window": 0.0}, 0.0),
        ({"warm_after": 0.0}, 0.0),
        ({"pin_limit": 0.0}, 0.0),
        ({"cold_from": 0.0, "cold_multiple": 0.0}, 0.0),
        ({"fronts": 0}, 0.0),
    ],
)
def test_no_setting_of_zero_leads_to_a_division_by_zero(
    router_harness: New, settings: dict[str, Any], hint: float
) -> None:
    harness = router_harness(**settings)
    harness.engines((10, 0), (12, 1), (14, 2))
    harness.engines((11, 0), (13, 1), started=harness.now - 1.0)
    for n in range(4):
        request = harness.submit(session=str(n), answer_hint=hint)
        while request.current_attempt and request.current_attempt.is_prefill:
            harness.end_attempt(request, Outcome.PREFILLED)
        assert request.current_attempt
        harness.receive_first_token(request)
        harness.end_attempt(request, Outcome.FINISHED, closed=True)
        assert request.is_done


@pytest.mark.parametrize("after, decode_engine", [(3.0, 22), (MAX_COOLDOWN + 2.0, 12)])
def test_a_recently_slow_decode_engine_is_avoided_while_another_of_the_zone_was_not_slow(
    router_harness: New, after: float, decode_engine: int
) -> None:
    """Guards against a decode engine that is used again as soon as its cooldown is over: one front node of
    many sends too seldom to find it slow again itself. At low load 82 of 389 decode attempts at one of 48
    decode engines timed out."""
    harness = router_harness()
    harness.engines((10, 0), (12, 1), (22, 1))
    first = harness.submit()
    harness.end_attempt(first, Outcome.PREFILLED)
    assert harness.new_actions()[-1] == ("send", 12)  # in the prefill engine's cell
    harness.receive_first_token(first, 0.9)
    harness.end_attempt(first, Outcome.FINISHED, closed=True)
    harness.wait(after)
    harness.new_actions()
    harness.end_attempt(harness.submit(session="t"), Outcome.PREFILLED)
    assert [done for done in harness.new_actions() if done[0] == "send"][-1] == ("send", decode_engine)


@pytest.mark.parametrize("group", [Group.ZONE, Group.CELL])
def test_a_retry_stays_in_its_zone_where_no_cells_are_declared(router_harness: New, group: Group) -> None:
    """Guards against a layout without cells, in which engines of all zones appear to be in one cell."""
    harness = router_harness(effect=IDEMPOTENCY_KEYED, group=group)
    harness.router.begin_list_update(True)
    for number, zone, kind in ((1, 0, 0), (2, 0, 1), (3, 1, 1)):
        harness.router.update_engine(number, zone, kind, 0, Health.ON, 1.0, 0.0)
    harness.router.end_list_update()
    request = harness.submit()
    harness.end_attempt(request, Outcome.PREFILLED)
    first = request.attempts[-1].engine
    first.health = Health.DRAINING
    harness.new_actions()
    harness.end_attempt(request, Outcome.BROKEN)
    assert "send" not in [asked[0] for asked in harness.new_actions()]


def test_a_state_that_an_attempt_may_have_found_before_a_release_is_released_when_it_ends(
    router_harness: New,
) -> None:
    """Guards against a state that stays held because a combined engine found it and its attempt timed out."""
    harness = router_harness()
    harness.engines((10, 0), (12, 1))
    request = harness.submit(500)
    harness.end_attempt(request, Outcome.PREFILLED)
    harness.engines((12, 1), health=Health.REMOVED)
    harness.engines((14, 2))
    harness.new_actions()
    harness.end_attempt(request, Outcome.TIMED_OUT, after=1.0)
    assert harness.new_actions() == [("release",), ("send", 14)]
    harness.end_attempt(request, Outcome.TIMED_OUT, after=1.0)
    assert harness.new_actions()[0] == ("release",)
