"""The session layer's decisions, each by itself: tables and properties on a clock that is told."""

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

PATIENCE = LivenessTimeouts(ping=20.0, pong=10.0, idle=100.0, slow=5.0)
NOTHING, PING, SILENT, IDLE, SLOW = (
    LivenessAction.NOTHING,
    LivenessAction.PING,
    LivenessAction.SILENT,
    LivenessAction.IDLE,
    LivenessAction.SLOW,
)


@pytest.mark.parametrize(
    "looks, steps",
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
def test_life_of_a_session(looks: list[tuple[float, Any, int]], steps: list[LivenessAction | None]) -> None:
    liveness = SessionLiveness(PATIENCE, 0.0)
    for (now, what, slow), step in zip(looks, steps, strict=True):
        if what == "hears":
            liveness.record_received(now)
        else:
            found, again = liveness.next_action(now, what, bool(slow))
            assert found is step and again >= now


@given(st.lists(st.tuples(st.integers(0, 5), st.floats(0, 100)), max_size=50))
def test_lookout_gives_each_key_once_at_its_latest_time(sets: list[tuple[int, float]]) -> None:
    lookout: CheckSchedule[int] = CheckSchedule()
    wanted: dict[int, float] = {}
    for key, at in sets:
        lookout.set(key, at)
        wanted[key] = at
    assert sorted(lookout.ready(50.0)) == sorted(k for k, at in wanted.items() if at <= 50.0)
    assert sorted(lookout.ready(100.0)) == sorted(k for k, at in wanted.items() if at > 50.0)


def shared_front(
    rates: dict[tuple[int, str], float], capacity: float, seconds: float = 60.0, sick: float = 0.0
) -> dict[Any, float]:
    """The share of each flow's completions answered within 1 s in the second half, behind decisions that
    answer `capacity` a second in the order in which they were let in; sick: chance that one comes to
    nothing."""
    chance, fair_queue = random.Random(3), FairQueue[tuple[tuple[int, str], int]]()
    asked: dict[Any, list[float]] = {flow: [] for flow in rates}
    good = dict.fromkeys(rates, 0)
    let_in: deque[tuple[Any, float]] = deque()
    step, room = 0.01, 0.0
    for tick in range(int(seconds / step)):
        now = tick * step
        for flow, rate in rates.items():
            for _ in range(chance.random() < rate * step):
                asked[flow].append(now)
                fair_queue.add(flow[0], flow[1], (flow, len(asked[flow]) - 1), now, now + MAX_WAIT_SHARE)
        fair_queue.pop_expired(now)
        while (item := fair_queue.pop_next(now)) is not None:
            let_in.append((item, now))
        room = min(1.0, room + capacity * step)
        while room >= 1.0 and let_in and now - let_in[0][1] >= 0.05:
            room -= 1.0
            (flow, place), since = let_in.popleft()
            lost = chance.random() < sick
            fair_queue.record_first_token(flow[0], since, inf if lost else now - since, now)
            good[flow] += not lost and now - asked[flow][place] <= 1.0 and now >= seconds / 2
    assert len(fair_queue.tenants) <= len({member for member, _ in rates})
    return {flow: good[flow] / sum(at >= seconds / 2 for at in asked[flow]) for flow in rates}


@pytest.mark.parametrize("flood", [4.0, 20.0, 60.0, 95.0])
def test_a_member_that_floods_costs_the_others_under_a_twentieth(flood: float) -> None:
    got = shared_front({(0, "a"): 2.0, (1, "b"): 4.0, (2, "c"): flood}, 20.0)
    assert got[0, "a"] > 0.95 and got[1, "b"] > 0.95 and got[2, "c"] > min(0.95, 0.6 * 14.0 / flood)


def test_a_session_that_floods_costs_its_own_member_little() -> None:
    got = shared_front({(0, "a"): 2.0, (1, "b"): 2.0, (1, "flood"): 60.0}, 20.0)
    assert got[0, "a"] > 0.95 and got[1, "b"] > 0.85 and got[1, "flood"] > 0.1


def test_nobody_waits_while_there_is_room_even_if_some_fail() -> None:
    got = shared_front({(0, "a"): 5.0, (1, "b"): 5.0}, 40.0, sick=0.05)
    assert all(part > 0.85 for part in got.values())
    got = shared_front({(0, "a"): 5.0, (1, "b"): 5.0}, 40.0)
    assert all(part == 1.0 for part in got.values())


STEPS = st.tuples(st.sampled_from(["ask", "late", "answer", "leave"]), st.integers(0, 3))


@given(st.lists(STEPS, max_size=200))
def test_shares_hold_each_once_and_forget_members_that_left(steps: list[tuple[str, int]]) -> None:
    fair_queue = FairQueue[int]()
    waiting: dict[int, int] = {}
    out: list[int] = []
    for at, (step, member) in enumerate(steps):
        now = float(at)
        if step == "ask":
            fair_queue.add(member, member % 2, at, now, now + 3.0)
            waiting[at] = member
        elif step == "late":
            for item in fair_queue.pop_expired(now):
                assert item + 3.0 <= now
                del waiting[item]
        elif step == "answer" and out:
            fair_queue.record_first_token(out.pop(0), now - 1.0, inf if member else 0.1, now)
        elif step == "leave" and waiting:
            item = next(iter(waiting))
            del waiting[item]
            assert fair_queue.discard(item, now) and not fair_queue.discard(item, now)
        while (found := fair_queue.pop_next(now)) is not None:
            out.append(waiting.pop(found))
        assert fair_queue.in_window == len(out) and list(fair_queue.waiting) == list(waiting)
        assert fair_queue.tenants.keys() >= {*out, *waiting.values()}
        assert not waiting or len(out) >= int(fair_queue.window.size)
    for member in out:
        fair_queue.release(member, 1000.0)
    fair_queue.pop_expired(1000.0)
    assert not fair_queue.tenants and not fair_queue.waiting


@given(st.lists(st.tuples(st.floats(0, 100), st.booleans()), max_size=40), st.integers(0, 10))
def test_waiting_goes_by_due_time_within_its_bound(steps: list[tuple[float, bool]], most: int) -> None:
    waiting: WaitingRequests[float] = WaitingRequests(most)
    model: list[float] = []
    for due, add in steps:
        if add:
            assert waiting.add(due, due) == (len(model) < most)
            model = sorted([*model, due])[:most] if len(model) < most else model
        else:
            assert waiting.pop_next() == (model.pop(0) if model else None)
    late = [d for d in model if d - MIN_TIME_LEFT <= 50.0]
    assert waiting.pop_expired(50.0) == late


@given(st.integers(1, 500), st.floats(0.1, 60))
def test_farewell_spreads_sessions_evenly(count: int, window: float) -> None:
    found = closing_delays(range(count), window, 1)
    gaps = sorted(found.values())
    assert len(found) == count and gaps[0] == 0 and gaps[-1] < window
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
def test_identities_are_known_while_out_and_for_a_while(steps: list[tuple[str, bytes, float, Any]]) -> None:
    table = IdempotencyTable(4, 10.0)
    for what, body, now, wanted in steps:
        if what == "end":
            table.known[0, "k"][2].aborted("over")
            table.mark_ended(0, "k", now)
        elif what == "drop":
            table.remove(0, "k")
        else:
            found, _ = table.look_up(0, "k", body, now)
            assert found is wanted
            if found is LookupResult.NEW:
                table.add(0, "k", body, Effect.NON_IDEMPOTENT, SharedRequest())


def test_what_must_not_run_twice_is_forgotten_last_and_what_is_out_never() -> None:
    table = IdempotencyTable(4, 10.0)

    def begin(key: str, effect: Effect, ended: bool) -> LookupResult:
        found, _ = table.look_up(0, key, b"", 1.0)
        if found is LookupResult.NEW:
            table.add(0, key, b"", effect, SharedRequest())
            if ended:
                table.mark_ended(0, key, 1.0)
        return found

    begin("once", Effect.NON_IDEMPOTENT, True)
    begin("marked", Effect.IDEMPOTENCY_KEYED, True)
    begin("free", Effect.IDEMPOTENT, True)
    begin("out", Effect.IDEMPOTENT, False)
    begin("a", Effect.IDEMPOTENT, False)
    assert (0, "free") not in table.known and (0, "once") in table.known
    begin("b", Effect.IDEMPOTENT, False)
    assert (0, "marked") not in table.known and (0, "once") in table.known
    begin("c", Effect.IDEMPOTENT, False)
    assert (0, "once") not in table.known
    assert begin("d", Effect.IDEMPOTENT, False) is LookupResult.TABLE_FULL and len(table.known) == 4


settings.register_profile("same", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("same")
