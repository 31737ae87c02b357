"""Slow start over the fleet: many policies, no messages between them, several engines cold at once."""

from math import sqrt

import pytest
from policy_fleet import (
    BEGIN,
    BURST_SECONDS,
    CAPACITY,
    COLD_AT,
    COLD_FROM,
    ENGINES,
    LAYOUTS,
    MULTIPLE,
    WARM_AFTER,
    WINDOW,
    Fleet,
)

LARGE = 60.0  # requests a second of a warm engine, where a budget of over 30 is wanted
BUDGET = MULTIPLE * COLD_FROM * CAPACITY * WINDOW  # N at the coldest
MOST = BUDGET + 2 * sqrt(BUDGET) + 2  # the rest is put down to chance


def stated(budget: float) -> float:
    """What the users allow of a budget of N calls: the rest is put down to chance."""
    return budget + (3 * sqrt(budget) + 3 if budget < 30 else 2 * sqrt(budget) + 2)


def most_in_a_span(times: list[float], span: float) -> int:
    """The most of these in any span of that length."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - span:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize(
    "times, most", [([], 0), ([1.0], 1), ([0.0, 0.9, 1.8], 2), ([0.0, 0.5, 0.99, 1.1], 3)]
)
def test_any_span_counts(times: list[float], most: int) -> None:
    assert most_in_a_span(times, 1.0) == most


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("cold", [2, 5])
@pytest.mark.parametrize("layout", LAYOUTS)
@pytest.mark.parametrize("fronts", [1, 5, 30, 230])
def test_all_sends_to_a_cold_engine_stay_within_its_budget(
    fronts: int, layout: str, cold: int, seed: int
) -> None:
    """Guards against texts that very many ask for, or what one cold engine does not take, leading to
    another: before that was counted, some engines of 30 or 230 front nodes got twice their budget."""
    fleet = Fleet(fronts, LAYOUTS[layout], cold, seed)
    fleet.run()
    for engine in fleet.cold:
        assert most_in_a_span(fleet.cold_sends(engine), WINDOW) <= MOST
    if fronts > 1:
        used = sum(len(fleet.cold_sends(engine)) for engine in fleet.cold) / len(fleet.cold)
        assert used >= 0.15 * BUDGET * WARM_AFTER


@pytest.mark.parametrize("restarted", [0.2, 1.0], ids=["some restarted", "all restarted"])
@pytest.mark.parametrize("cold", [1, 4, ENGINES // 2], ids=["one", "some", "half"])
@pytest.mark.parametrize("layout", LAYOUTS)
@pytest.mark.parametrize("fronts", [1, 2, 5, 30, 230])
@pytest.mark.parametrize("capacity", [CAPACITY, LARGE], ids=["under 30", "over 30"])
def test_the_sum_over_all_front_nodes_stays_in_what_the_users_state(
    capacity: float, fronts: int, layout: str, cold: int, restarted: float
) -> None:
    """One, some or half of all engines cold, a budget under 30 calls and one over it, front nodes just
    restarted. Where the test above asks for less, it binds as well."""
    short = COLD_AT - BEGIN + BURST_SECONDS + 1.0  # the coldest seconds
    fleet = Fleet(fronts, LAYOUTS[layout], cold, 3, capacity, short, restarted)
    fleet.run()
    most = max(most_in_a_span(fleet.cold_sends(engine), WINDOW) for engine in fleet.cold)
    assert most <= stated(MULTIPLE * COLD_FROM * capacity * WINDOW)
