"""When further engines are asked to release a state, and when a state with an attempt in flight is due."""

from math import inf

import pytest

from heathford.interface import HELD_ALLOWANCE, STALL_ALLOWANCE
from heathford.platform.link import reserved_connections
from heathford.platform.release_schedule import (
    MAX_ENGINES_ASKED,
    MAX_REFUSALS,
    MAX_ROUND_INTERVAL,
    ROUND_INTERVALS_PER_LIMIT,
    ReleaseSchedule,
)
from heathford.policy.held_state import RELEASE_DURATION, PendingReleases, release_time

LIMIT = 0.3  # s for which a state may be held


def times_asked(limit: float) -> list[float]:
    """Return when engines are asked if none of them answers."""
    now, times = 10.0, list[float]()
    schedule = ReleaseSchedule(now, limit)
    while (wait := schedule.next_round_in(now)) is not None:
        now += wait
        for _ in range(schedule.batch_size):
            schedule.record_request(now)
            times.append(round(now - 10.0, 6))
    return times


@pytest.mark.parametrize("limit", [0.06, 0.3, 1.0])
def test_more_and_more_engines_are_asked_at_once_if_none_answers(limit: float) -> None:
    times = times_asked(limit)
    spacing = min(MAX_ROUND_INTERVAL, limit / ROUND_INTERVALS_PER_LIMIT)
    rounds = [0, 1, 2, 2, 3, 3, 3, 3, *8 * [4]]
    assert times == pytest.approx([number * spacing for number in rounds]) and len(times) == MAX_ENGINES_ASKED
    assert times[3] <= RELEASE_DURATION


def test_no_engine_is_asked_after_the_limit() -> None:
    schedule = ReleaseSchedule(10.0, LIMIT)
    schedule.record_request(10.0)
    assert schedule.next_round_in(10.0 + LIMIT) is None


def test_an_engine_that_refuses_is_not_counted_and_the_next_is_asked_at_once() -> None:
    schedule = ReleaseSchedule(10.0, LIMIT)
    for _ in range(MAX_REFUSALS):
        schedule.record_request(10.0)
        schedule.record_refusal(10.0)
        assert schedule.next_round_in(10.0) == 0.0
    schedule.record_request(10.0)
    schedule.record_refusal(10.0)
    assert schedule.next_round_in(10.0) == pytest.approx(MAX_ROUND_INTERVAL)


@pytest.mark.parametrize("limit", [0.05, 0.3, 0.5, 2.0])
def test_a_state_is_released_in_time_for_a_hold_up_and_its_release(limit: float) -> None:
    due = release_time(10.0, limit)
    assert due >= 10.0
    assert due + RELEASE_DURATION + STALL_ALLOWANCE <= 10.0 + limit + HELD_ALLOWANCE + 1e-9


class HeldState:
    """A request whose state is held while its attempt is in flight."""

    def __init__(self, release_at: float) -> None:
        self.release_at, self.released = release_at, False

    def release_state(self) -> None:
        self.released = True


def test_one_timer_is_set_for_the_state_that_is_due_first() -> None:
    wakes = list[float]()
    states = PendingReleases(wakes.append)
    first, second, removed = HeldState(10.3), HeldState(10.4), HeldState(10.2)
    for state in (second, first, removed):
        states.add(state, 10.0)
    assert wakes == pytest.approx([0.4, 0.3, 0.2])
    states.remove(removed)
    states.release_expired(10.1)
    assert len(wakes) == 3
    states.release_expired(10.2)
    assert not removed.released and wakes[3:] == pytest.approx([0.1])
    states.release_expired(10.2995)  # timers may be a little early
    assert first.released and not second.released and wakes[4:] == pytest.approx([0.1005])
    states.release_expired(11.0)
    assert second.released and states.next_due == inf and len(wakes) == 5


@pytest.mark.parametrize("connections, reserved", [(1, 0), (8, 0), (9, 1), (19, 1), (100, 5)])
def test_connections_are_reserved_for_releases(connections: int, reserved: int) -> None:
    assert reserved_connections(connections) == reserved


def test_late_event_loop_iterations_do_not_add_up() -> None:
    """Guards against rounds that count from a late previous one: each turn that was 0.01 s late on a busy
    machine delayed all that follow. With eight of nine engines silent, two of some twenty runs confirmed
    the release after 0.252 and 0.273 s, where 0.25 s are allowed."""
    late, now, times = 0.01, 0.0, []
    schedule = ReleaseSchedule(now, 0.3)
    while (wait := schedule.next_round_in(now)) is not None and schedule.asked < 9:
        now += wait + (late if wait else 0.0)
        for _ in range(schedule.batch_size):
            schedule.record_request(now)
            times.append(round(now, 3))
    assert times[8] <= 4 * MAX_ROUND_INTERVAL + late + 1e-9


def test_after_a_stop_of_the_machine_answers_are_awaited_between_two_rounds() -> None:
    schedule = ReleaseSchedule(0.0, 1.0)
    schedule.record_request(0.0)
    schedule.record_request(0.4)
    assert schedule.next_round_in(0.4) == pytest.approx(MAX_ROUND_INTERVAL / 2)
