"""The ages of engines where the wall clock was wrong when the process started."""

from typing import Any

import pytest

from heathford.fleet.endpoint_list import EndpointList
from heathford.interface import Role

TRUE_TIME = 1_700_000_000.0  # s since 1970 at zero on the front node's clock
KINDS = {"m0": (0, Role.PREFILL), "m1": (1, Role.DECODE)}
CLOCK_AHEAD = [0.0, 5.0, 3_600.0]  # s that the wall clock is ahead


def target(uid: str, started: float, model: str = "m0", state: str = "SERVING") -> dict[str, Any]:
    """started: s on the front node's clock."""
    return {
        "uid": uid,
        "endpoint": "127.0.0.1:9",
        "az": "a",
        "model": model,
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": int(1000 * (TRUE_TIME + started)),
    }


def apply(
    endpoints: EndpointList,
    version: int,
    now: float,
    ahead: float,
    *targets: dict[str, Any],
    is_response: bool,
) -> None:
    message = {"rev": version, "all": is_response, "targets": list(targets)}
    endpoints.apply_object(message, now, TRUE_TIME + now + ahead, is_response=is_response)


@pytest.mark.parametrize("ahead", CLOCK_AHEAD)
def test_an_engine_that_appears_after_the_first_list_is_new_whatever_the_clock_reads(ahead: float) -> None:
    endpoints = EndpointList(KINDS, ["a"])
    apply(endpoints, 1, 100.0, ahead, target("old", -50.0), target("again", -50.0), is_response=True)
    apply(endpoints, 2, 110.0, ahead, target("new", 109.0), target("again", 109.0), is_response=False)
    assert endpoints.entries["new"][6] == pytest.approx(110.0, abs=1.1)
    assert endpoints.entries["again"][6] == pytest.approx(110.0, abs=1.1)
    assert endpoints.entries["old"][6] <= -50.0


@pytest.mark.parametrize("ahead", CLOCK_AHEAD)
def test_the_newest_engines_of_the_first_list_are_new_whatever_the_clock_reads(ahead: float) -> None:
    """Half of a role or more get their age by the wall clock: too few would be left for its requests."""
    endpoints = EndpointList(KINDS, ["a"], warm_after=5.0)
    apply(
        endpoints,
        1,
        100.0,
        ahead,
        target("r1", 99.0),
        target("r2", 96.0),
        target("r3", 90.0),
        target("r4", 50.0),
        target("r5", 20.0),
        target("w1", 98.0, "m1"),
        target("w2", 10.0, "m1"),
        is_response=True,
    )
    started = {uid: entry[6] for uid, entry in endpoints.entries.items()}
    assert started["r1"] == pytest.approx(100.0, abs=1.1)
    assert started["r2"] == pytest.approx(97.0, abs=1.1)
    assert started["r3"] <= 95.0 and started["r4"] <= 50.0  # warm
    assert started["w1"] == pytest.approx(98.0 - ahead, abs=0.1)


def test_an_engine_older_than_the_largest_clock_error_is_warm() -> None:
    endpoints = EndpointList(KINDS, ["a"], warm_after=5.0)
    apply(
        endpoints,
        1,
        9_000.0,
        0.0,
        target("r1", 1_000.0),
        target("r2", 500.0),
        target("r3", 0.5),
        is_response=True,
    )
    assert endpoints.entries["r1"][6] == pytest.approx(1_000.0, abs=0.1)


def test_an_engine_that_is_listed_again_keeps_its_age() -> None:
    """As where discovery at another address has only part of the list at first."""
    endpoints = EndpointList(KINDS, ["a"])
    apply(endpoints, 1, 100.0, 0.0, target("old", 50.0), target("other", 50.0), is_response=True)
    apply(endpoints, 2, 110.0, 0.0, target("other", 50.0), is_response=True)
    apply(endpoints, 3, 120.0, 0.0, target("old", 50.0), is_response=False)
    assert endpoints.entries["old"][6] == pytest.approx(50.0, abs=0.1)


@pytest.mark.parametrize("ahead", CLOCK_AHEAD)
def test_a_late_report_is_dated_by_the_starts_reported_before(ahead: float) -> None:
    endpoints = EndpointList(KINDS, ["a"])
    apply(endpoints, 1, 100.0, ahead, target("old", -50.0), is_response=True)
    apply(endpoints, 2, 110.0, ahead, target("soon", 109.9), is_response=False)
    apply(endpoints, 3, 120.0, ahead, target("late", 116.0), is_response=False)
    assert endpoints.entries["late"][6] == pytest.approx(116.1, abs=0.01)
