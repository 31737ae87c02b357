"""Slow start where a zone was lost: what all front nodes together send to the engines that return cold."""

import pytest
from policy_fleet import COLD_FROM, COLD_MULTIPLE
from zoned_fleet import BACK_AT, END_AT, LAYOUTS, OUTAGES, ZonedFleet

LARGE_FLEET = 217  # front nodes
MIN_BUDGET_USED = 0.15  # of the budget of the coldest engine, on a day without overload


@pytest.mark.parametrize(
    "outage, layout, fronts, capacity, burst",
    [
        ("half a zone back", "separate", LARGE_FLEET, 60.0, 2.0),
        ("zone back", "separate", LARGE_FLEET, 60.0, 2.0),
        ("a third of each zone", "separate", LARGE_FLEET, 60.0, 2.0),
        ("half a zone back", "separate", LARGE_FLEET, 3.0, 1.5),
        ("one prefill engine of a zone back", "separate", LARGE_FLEET, 30.0, 3.0),
        ("one decode engine of a zone back", "separate", LARGE_FLEET, 30.0, 3.0),
        ("half a zone back", "few decode engines", LARGE_FLEET, 30.0, 2.0),
        ("half a zone back", "combined", LARGE_FLEET, 8.0, 3.0),
        ("three replaced", "three roles", LARGE_FLEET, 30.0, 3.0),
        ("half a zone back", "separate", 30, 10.0, 3.0),
        ("zone back", "combined", 5, 10.0, 3.0),
        ("all replaced at once", "combined", LARGE_FLEET, 8.0, 3.0),
        ("half a zone back", "separate", 1, 30.0, 3.0),
    ],
)
def test_engines_of_a_lost_zone_that_return_cold_stay_within_their_budgets(
    outage: str, layout: str, fronts: int, capacity: float, burst: float
) -> None:
    """Guards against requests of other zones, whose own engines are busy, that all take a cold engine."""
    fleet = ZonedFleet(fronts, LAYOUTS[layout], OUTAGES[outage], 1, capacity, burst, retry_share=0.7)
    fleet.run()
    assert max(map(fleet.worst_excess, fleet.outage.back)) <= 1.0


@pytest.mark.parametrize("outage", ["zone back", "three replaced"])
@pytest.mark.parametrize("layout", ["combined", "separate"])
def test_engines_that_return_cold_get_work_where_there_is_no_overload(outage: str, layout: str) -> None:
    """Guards against cold engines that are kept within their budgets by getting next to nothing."""
    capacity = 30.0
    fleet = ZonedFleet(LARGE_FLEET, LAYOUTS[layout], OUTAGES[outage], 1, capacity, 1.0, load=0.6)
    fleet.run()
    budget = COLD_MULTIPLE * COLD_FROM * capacity * (END_AT - BACK_AT)
    used = [len(fleet.attempts_since_return(engine)) / budget for engine in fleet.outage.back]
    assert sum(used) / len(used) >= MIN_BUDGET_USED
