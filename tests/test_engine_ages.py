"""How old engines are taken to be where the wall clock was wrong as the process started."""

from typing import Any

import pytest

from heathford.fleet.instances import Instances
from heathford.interface import Role

TRUE = 1_700_000_000.0  # s since 1970 at zero on the front's clock
KINDS = {"m0": (0, Role.READER), "m1": (1, Role.WRITER)}
AHEAD = [0.0, 5.0, 3_600.0]


def entry(uid: str, started: float, model: str = "m0", state: str = "SERVING") -> dict[str, Any]:
    """started: s on the front's clock."""
    return {"uid": uid, "endpoint": "127.0.0.1:9", "az": "a", "model": model, "pod_group": 0,
            "state": state, "capacity_hint": 1.0, "boot_ms": int(1000 * (TRUE + started))}


def tell(
    instances: Instances, version: int, now: float, ahead: float, *entries: dict[str, Any], listed: bool
) -> None:
    told = {"rev": version, "all": listed, "targets": list(entries)}
    instances.told_object(told, now, TRUE + now + ahead, listed=listed)


@pytest.mark.parametrize("ahead", AHEAD)
def test_an_engine_that_is_told_after_the_first_list_is_new_whatever_the_clock_says(ahead: float) -> None:
    instances = Instances(KINDS, ["a"])
    tell(instances, 1, 100.0, ahead, entry("old", -50.0), entry("again", -50.0), listed=True)
    tell(instances, 2, 110.0, ahead, entry("new", 109.0), entry("again", 109.0), listed=False)
    assert instances.rows["new"][6] == pytest.approx(110.0, abs=1.1)
    assert instances.rows["again"][6] == pytest.approx(110.0, abs=1.1)
    assert instances.rows["old"][6] <= -50.0
