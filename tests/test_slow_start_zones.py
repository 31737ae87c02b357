"""Slow start where a zone was lost: what all front nodes together send to the engines that return cold."""

import pytest
from zoned_fleet import LAYOUTS, OUTAGES, ZonedFleet


LARGE_FLEET = 217  # front nodes


@pytest.mark.parametrize("outage, layout", [("half a zone back", "separate")])
def test_engines_of_a_lost_zone_that_return_cold_stay_within_their_budgets(outage: str, layout: str) -> None:
    """Guards against requests of other zones, whose own engines are busy, that all take a cold engine."""
    fleet = ZonedFleet(LARGE_FLEET, LAYOUTS[layout], OUTAGES[outage], 1, 60.0, 2.0, retry_share=0.7)
    fleet.run()
    assert max(map(fleet.worst_excess, fleet.outage.back)) <= 1.0
