"""The rules of the session layer without I/O: tables and properties on a simulated clock."""

import random
from collections import deque
from itertools import pairwise
from math import inf
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heathford.identity.idempotency_table import LookupResult, IdempotencyTable
from heathford.identity.shared_request import SharedRequest
from heathford.interface import Effect
from heathford.sessions.liveness import SessionLiveness, CheckSchedule, LivenessTimeouts, LivenessAction
from heathford.sessions.limits import MIN_TIME_LEFT, WaitingRequests, closing_delays
from heathford.sessions.fair_queue import MAX_WAIT_SHARE, FairQueue

TIMEOUTS = LivenessTimeouts(ping=20.0, pong=10.0, idle=100.0, slow=5.0)
NOTHING, PING, SILENT, IDLE, SLOW = (
    LivenessAction.NOTHING,
    LivenessAction.PING,
    LivenessAction.SILENT,
    LivenessAction.IDLE,
    LivenessAction.SLOW,
)


@pytest.mark.parametrize(
    "checks, steps",
    [
        ([(5, 0, 0), (20, 0, 0), (29, 0, 0), (30, 0, 0)], [NOTHING, PING, NOTHING, SILENT]),
        ([(20, 0, 0), (25, "hears", 0), (31, 0, 0), (45, 0, 0)], [PING, None, NOTHING, PING]),
        (
            [
                (19, "hears", 0),
                (38, "hears", 0),
                (57, "hears", 0),
                (76, "hears", 0),
                (95, "hears", 0),
                (100, 0, 0),
            ],
            [None] * 5 + [IDLE],
        ),
        ([(95, "hears", 0), (99, 1, 0), (110, "hears", 0), (115, 0, 0)], [None, NOTHING, None, NOTHING]),
        ([(1, 1, 1), (5, 1, 1), (6, 1, 1)], [NOTHING, NOTHING, SLOW]),
        (
            [(1, 1, 1), (5, 1, 0), (6, 1, 1), (10, 1, 1), (11, 1, 1)],
            [NOTHING, NOTHING, NOTHING, NOTHING, SLOW],
        ),
    ],
)
def test_liveness_actions_of_a_session(
    checks: list[tuple[float, Any, int]], steps: list[LivenessAction | None]
) -> None:
    liveness = SessionLiveness(TIMEOUTS, 0.0)
    for (now, what, slow), step in zip(checks, steps, strict=True):
        if what == "hears":
            liveness.record_received(now)
        else:
            result, again = liveness.next_action(now, what, bool(slow))
            assert result is step and again >= now


@given(st.lists(st.tuples(st.integers(0, 5), st.floats(0, 100)), max_size=50))
def test_the_check_schedule_returns_each_key_once_at_its_latest_time(sets: list[tuple[int, float]]) -> None:
    schedule: CheckSchedule[int] = CheckSchedule()
    expected: dict[int, float] = {}
    for key, at in sets:
        schedule.set(key, at)
        expected[key] = at
    assert sorted(schedule.ready(50.0)) == sorted(k for k, at in expected.items() if at <= 50.0)
    assert sorted(schedule.ready(100.0)) == sorted(k for k, at in expected.items() if at > 50.0)


def answered_in_time(
    rates: dict[tuple[int, str], float], per_second: float, seconds: float = 60.0, failure_share: float = 0.0
) -> dict[Any, float]:
    """Return the share of each flow's requests that are answered within 1 s in the second half of the time.

    Admitted requests are answered in order, `per_second` of them in a second. rates: requests per second of
    each tenant and session; failure_share: share of requests that end without an answer.
    """
    rng, fair_queue = random.Random(3), FairQueue[tuple[tuple[int, str], int]]()
    added_at: dict[Any, list[float]] = {flow: [] for flow in rates}
    answered = dict.fromkeys(rates, 0)
    admitted: deque[tuple[Any, float]] = deque()
    step, tokens = 0.01, 0.0
    for tick in range(int(seconds / step)):
        now = tick * step
        for flow, rate in rates.items():
            for _ in range(rng.random() < rate * step):
                added_at[flow].append(now)
                fair_queue.add(flow[0], flow[1], (flow, len(added_at[flow]) - 1), now, now + MAX_WAIT_SHARE)
        fair_queue.pop_expired(now)
        while (item := fair_queue.pop_next(now)) is not None:
            admitted.append((item, now))
        tokens = min(1.0, tokens + per_second * step)
        while tokens >= 1.0 and admitted and now - admitted[0][1] >= 0.05:
            tokens -= 1.0
            (flow, index), since = admitted.popleft()
            failed = rng.random() < failure_share
            fair_queue.record_first_token(flow[0], since, inf if failed else now - since, now)
            answered[flow] += not failed and now - added_at[flow][index] <= 1.0 and now >= seconds / 2
    assert len(fair_queue.tenants) <= len({tenant for tenant, _ in rates})
    return {flow: answered[flow] / sum(at >= seconds / 2 for at in added_at[flow]) for flow in rates}


@pytest.mark.parametrize("flood", [4.0, 20.0, 60.0, 95.0])
def test_a_tenant_that_floods_costs_the_others_less_than_a_twentieth(flood: float) -> None:
    shares = answered_in_time({(0, "a"): 2.0, (1, "b"): 4.0, (2, "c"): flood}, 20.0)
    assert shares[0, "a"] > 0.95 and shares[1, "b"] > 0.95 and shares[2, "c"] > min(0.95, 0.6 * 14.0 / flood)


def test_a_session_that_floods_costs_its_own_tenant_little() -> None:
    shares = answered_in_time({(0, "a"): 2.0, (1, "b"): 2.0, (1, "flood"): 60.0}, 20.0)
    assert shares[0, "a"] > 0.95 and shares[1, "b"] > 0.85 and shares[1, "flood"] > 0.1


def test_no_request_waits_while_there_is_capacity_even_if_some_fail() -> None:
    shares = answered_in_time({(0, "a"): 5.0, (1, "b"): 5.0}, 40.0, failure_share=0.05)
    assert all(share > 0.85 for share in shares.values())
    shares = answered_in_time({(0, "a"): 5.0, (1, "b"): 5.0}, 40.0)
    assert all(share == 1.0 for share in shares.values())


OPERATIONS = st.tuples(st.sampled_from(["ask", "late", "answer", "leave"]), st.integers(0, 3))


@given(st.lists(OPERATIONS, max_size=200))
def test_the_fair_queue_holds_each_request_once_and_forgets_idle_tenants(
    steps: list[tuple[str, int]],
) -> None:
    fair_queue = FairQueue[int]()
    waiting: dict[int, int] = {}
    in_window: list[int] = []
    for at, (step, tenant) in enumerate(steps):
        now = float(at)
        if step == "ask":
            fair_queue.add(tenant, tenant % 2, at, now, now + 3.0)
            waiting[at] = tenant
        elif step == "late":
            for item in fair_queue.pop_expired(now):
                assert item + 3.0 <= now
                del waiting[item]
        elif step == "answer" and in_window:
            fair_queue.record_first_token(in_window.pop(0), now - 1.0, inf if tenant else 0.1, now)
        elif step == "leave" and waiting:
            item = next(iter(waiting))
            del waiting[item]
            assert fair_queue.discard(item, now) and not fair_queue.discard(item, now)
        while (result := fair_queue.pop_next(now)) is not None:
            in_window.append(waiting.pop(result))
        assert fair_queue.in_window == len(in_window) and list(fair_queue.waiting) == list(waiting)
        assert fair_queue.tenants.keys() >= {*in_window, *waiting.values()}
        assert not waiting or len(in_window) >= int(fair_queue.window.size)
    for tenant in in_window:
        fair_queue.release(tenant, 1000.0)
    fair_queue.pop_expired(1000.0)
    assert not fair_queue.tenants and not fair_queue.waiting


@given(st.lists(st.tuples(st.floats(0, 100), st.booleans()), max_size=40), st.integers(0, 10))
def test_waiting_requests_are_ordered_by_deadline_within_their_limit(
    steps: list[tuple[float, bool]], max_waiting: int
) -> None:
    waiting: WaitingRequests[float] = WaitingRequests(max_waiting)
    model: list[float] = []
    for deadline, add in steps:
        if add:
            assert waiting.add(deadline, deadline) == (len(model) < max_waiting)
            model = sorted([*model, deadline])[:max_waiting] if len(model) < max_waiting else model
        else:
            assert waiting.pop_next() == (model.pop(0) if model else None)
    late = [d for d in model if d - MIN_TIME_LEFT <= 50.0]
    assert waiting.pop_expired(50.0) == late


@given(st.integers(1, 500), st.floats(0.1, 60))
def test_closing_delays_are_spread_evenly(count: int, window: float) -> None:
    result = closing_delays(range(count), window, 1)
    gaps = sorted(result.values())
    assert len(result) == count and gaps[0] == 0 and gaps[-1] < window
    assert all(b - a == pytest.approx(window / count) for a, b in pairwise(gaps))


@pytest.mark.parametrize(
    "steps",
    [
        [
            ("look", b"x", 1.0, LookupResult.NEW),
            ("look", b"x", 2.0, LookupResult.IN_PROGRESS),
            ("look", b"y", 2.0, LookupResult.CONFLICT),
            ("end", b"x", 3.0, None),
            ("look", b"x", 12.9, LookupResult.ENDED),
            ("look", b"x", 13.1, LookupResult.NEW),
        ],
        [
            ("look", b"x", 1.0, LookupResult.NEW),
            ("drop", b"x", 2.0, None),
            ("look", b"y", 2.0, LookupResult.NEW),
        ],
    ],
)
def test_idempotency_keys_are_known_while_in_progress_and_for_their_retention(
    steps: list[tuple[str, bytes, float, Any]],
) -> None:
    table = IdempotencyTable(4, 10.0)
    for what, body, now, expected in steps:
        if what == "end":
            table.known[0, "k"][2].aborted("over")
            table.mark_ended(0, "k", now)
        elif what == "drop":
            table.remove(0, "k")
        else:
            result, _ = table.look_up(0, "k", body, now)
            assert result is expected
            if result is LookupResult.NEW:
                table.add(0, "k", body, Effect.NON_IDEMPOTENT, SharedRequest())


def test_non_idempotent_requests_are_forgotten_last_and_those_in_progress_never() -> None:
    table = IdempotencyTable(4, 10.0)

    def add_request(key: str, effect: Effect, ended: bool) -> LookupResult:
        result, _ = table.look_up(0, key, b"", 1.0)
        if result is LookupResult.NEW:
            table.add(0, key, b"", effect, SharedRequest())
            if ended:
                table.mark_ended(0, key, 1.0)
        return result

    add_request("once", Effect.NON_IDEMPOTENT, True)
    add_request("marked", Effect.IDEMPOTENCY_KEYED, True)
    add_request("free", Effect.IDEMPOTENT, True)
    add_request("out", Effect.IDEMPOTENT, False)
    add_request("a", Effect.IDEMPOTENT, False)
    assert (0, "free") not in table.known and (0, "once") in table.known
    add_request("b", Effect.IDEMPOTENT, False)
    assert (0, "marked") not in table.known and (0, "once") in table.known
    add_request("c", Effect.IDEMPOTENT, False)
    assert (0, "once") not in table.known
    assert add_request("d", Effect.IDEMPOTENT, False) is LookupResult.TABLE_FULL and len(table.known) == 4


settings.register_profile("same", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("same")
