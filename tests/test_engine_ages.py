"""How old engines are taken to be where the wall clock was wrong as the process started."""

from typing import Any

import pytest

from heathford.fleet.endpoint_list import EndpointList
from heathford.interface import Role

TRUE = 1_700_000_000.0  # s since 1970 at zero on the front's clock
KINDS = {"m0": (0, Role.PREFILL), "m1": (1, Role.DECODE)}
AHEAD = [0.0, 5.0, 3_600.0]


def entry(uid: str, started: float, model: str = "m0", state: str = "SERVING") -> dict[str, Any]:
    """started: s on the front's clock."""
    return {
        "uid": uid,
        "endpoint": "127.0.0.1:9",
        "az": "a",
        "model": model,
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": int(1000 * (TRUE + started)),
    }


def tell(
    instances: EndpointList, version: int, now: float, ahead: float, *entries: dict[str, Any], listed: bool
) -> None:
    told = {"rev": version, "all": listed, "targets": list(entries)}
    instances.apply_object(told, now, TRUE + now + ahead, listed=listed)


@pytest.mark.parametrize("ahead", AHEAD)
def test_an_engine_that_is_told_after_the_first_list_is_new_whatever_the_clock_says(ahead: float) -> None:
    instances = EndpointList(KINDS, ["a"])
    tell(instances, 1, 100.0, ahead, entry("old", -50.0), entry("again", -50.0), listed=True)
    tell(instances, 2, 110.0, ahead, entry("new", 109.0), entry("again", 109.0), listed=False)
    assert instances.entries["new"][6] == pytest.approx(110.0, abs=1.1)
    assert instances.entries["again"][6] == pytest.approx(110.0, abs=1.1)
    assert instances.entries["old"][6] <= -50.0


@pytest.mark.parametrize("ahead", AHEAD)
def test_the_newest_engines_of_the_first_list_are_new_whatever_the_clock_says(ahead: float) -> None:
    """Half of a role and more are not doubted: nobody would be left to take its requests."""
    instances = EndpointList(KINDS, ["a"], warm_after=5.0)
    tell(
        instances,
        1,
        100.0,
        ahead,
        entry("r1", 99.0),
        entry("r2", 96.0),
        entry("r3", 90.0),
        entry("r4", 50.0),
        entry("r5", 20.0),
        entry("w1", 98.0, "m1"),
        entry("w2", 10.0, "m1"),
        listed=True,
    )
    started = {uid: row[6] for uid, row in instances.entries.items()}
    assert started["r1"] == pytest.approx(100.0, abs=1.1)
    assert started["r2"] == pytest.approx(97.0, abs=1.1)
    assert started["r3"] <= 95.0 and started["r4"] <= 50.0  # warm
    assert started["w1"] == pytest.approx(98.0 - ahead, abs=0.1)


def test_what_has_started_longer_ago_than_a_clock_is_wrong_is_warm() -> None:
    instances = EndpointList(KINDS, ["a"], warm_after=5.0)
    tell(instances, 1, 9_000.0, 0.0, entry("r1", 1_000.0), entry("r2", 500.0), entry("r3", 0.5), listed=True)
    assert instances.entries["r1"][6] == pytest.approx(1_000.0, abs=0.1)


def test_an_engine_that_is_listed_again_keeps_its_age() -> None:
    """As where discovery behind another address knows a part of the list at first."""
    instances = EndpointList(KINDS, ["a"])
    tell(instances, 1, 100.0, 0.0, entry("old", 50.0), entry("other", 50.0), listed=True)
    tell(instances, 2, 110.0, 0.0, entry("other", 50.0), listed=True)
    tell(instances, 3, 120.0, 0.0, entry("old", 50.0), listed=False)
    assert instances.entries["old"][6] == pytest.approx(50.0, abs=0.1)


@pytest.mark.parametrize("ahead", AHEAD)
def test_an_engine_that_is_told_late_is_as_old_as_one_told_sooner_shows(ahead: float) -> None:
    instances = EndpointList(KINDS, ["a"])
    tell(instances, 1, 100.0, ahead, entry("old", -50.0), listed=True)
    tell(instances, 2, 110.0, ahead, entry("soon", 109.9), listed=False)
    tell(instances, 3, 120.0, ahead, entry("late", 116.0), listed=False)
    assert instances.entries["late"][6] == pytest.approx(116.1, abs=0.01)
