"""The platform's list: whole lists, changes, what is old, what can't be read."""

from typing import Any

import orjson
import pytest

from heathford.engines.pools import ConnectionPools
from heathford.fleet.list_watch import Lines, ListError
from heathford.fleet.endpoint_list import LONGEST, EndpointList
from heathford.interface import Health, Role

KINDS = {"m0": (0, Role.PREFILL), "m1": (1, Role.DECODE)}


def entry(uid: str, **more: Any) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": "127.0.0.1:9000",
        "az": "b",
        "model": "m1",
        "pod_group": 3,
        "state": "SERVING",
        "capacity_hint": 1.5,
        "boot_ms": 0,
        **more,
    }


def said(version: Any, complete: Any, *entries: Any) -> bytes:
    return orjson.dumps({"rev": version, "all": complete, "targets": list(entries)})


def brief(found: Any) -> Any:
    return found and (found[0], [(r[0].name, r[4]) for r in found[1]])


def test_a_row_says_all_that_is_told() -> None:
    instances = EndpointList(KINDS, ["a", "b"])
    found = instances.told(said(4, True, entry("s", boot_ms=990_000)), now=50.0, wall=1000.0)
    assert found and found[0]
    endpoint, *rest = found[1][0]
    assert (endpoint.name, endpoint.address, endpoint.port, endpoint.role) == (
        "s",
        "127.0.0.1",
        9000,
        Role.DECODE,
    )
    assert rest == [1, 1, 3, Health.ON, 1.5, 40.0]


@pytest.mark.parametrize(
    "lines, told",
    [
        (
            [said(1, True, entry("a"), entry("b")), said(2, False, entry("a", state="DRAINING"))],
            [(True, [("a", Health.ON), ("b", Health.ON)]), (False, [("a", Health.DRAINING)])],
        ),
        (
            [said(2, False, entry("a", state="DELETED")), said(1, True, entry("a"))],
            [(False, [("a", Health.REMOVED)]), None],
        ),
        (
            [said(2, True, entry("a")), said(2, True, entry("a"))],
            [(True, [("a", Health.ON)]), (True, [("a", Health.ON)])],
        ),
        # One that can't be read is passed over, and what was known of it is not taken for gone.
        ([said(1, True, entry("a"), entry("b", model="m9"))], [(True, [("a", Health.ON)])]),
        (
            [said(1, True, entry("a")), said(2, True, entry("a", az="new"))],
            [(True, [("a", Health.ON)]), (True, [("a", Health.ON)])],
        ),
        # Its drain is kept all the same, and so is the end of another beside it.
        (
            [said(1, True, entry("a"), entry("b")), said(2, True, entry("a", model=7, state="DRAINING"))],
            [(True, [("a", Health.ON), ("b", Health.ON)]), (True, [("a", Health.DRAINING)])],
        ),
        ([said(1, True, entry("a", endpoint=None), entry("b", state="ODD"), 7)], [(False, [])]),
        (
            [said(1, True, entry("a"), entry("b")), said(2, True, {**entry("a"), "uid": 3})],
            [(True, [("a", Health.ON), ("b", Health.ON)]), (False, [])],
        ),
    ],
)
def test_lines_in_turn(lines: list[bytes], told: list[Any]) -> None:
    instances = EndpointList(KINDS, ["a", "b"])
    assert [brief(instances.told(line, 50.0, 1000.0)) for line in lines] == told


@pytest.mark.parametrize(
    "wrong",
    [
        {"uid": 7},
        {"uid": None},
        {"uid": ["s"]},
        {"endpoint": "127.0.0.1"},
        {"endpoint": "127.0.0.1:0"},
        {"endpoint": ":9000"},
        {"endpoint": "127.0.0.1:70000"},
        {"endpoint": 9},
        {"az": "c"},
        {"az": ["a"]},
        {"model": None},
        {"model": {}},
        {"state": "ODD"},
        {"state": 1},
        {"boot_ms": "soon"},
        {"boot_ms": [9]},
        {"capacity_hint": "much"},
        {"capacity_hint": "nan"},
        {"pod_group": "x"},
    ],
)
def test_an_entry_that_can_not_be_read_is_told_and_the_others_count(wrong: dict[str, Any]) -> None:
    """Seen: a uid that is no text raised out of the watch, which then followed discovery no more."""
    instances = EndpointList(KINDS, ["a", "b"])
    found = instances.told(said(1, False, {**entry("s"), **wrong}, entry("t")), 50.0, 1000.0)
    assert brief(found) == (False, [("t", Health.ON)]) and len(instances.passed) == 1


@pytest.mark.parametrize(
    "without", [{"az": ""}, {"az": None}, {"pod_group": None}, {"capacity_hint": None}, {"boot_ms": None}]
)
def test_a_layout_without_zones_cells_weights_or_starts_is_read(without: dict[str, Any]) -> None:
    found = EndpointList(KINDS, [] if "az" in without else ["a", "b"]).told(
        said(1, True, entry("s", **without)), 50.0, 1000.0
    )
    assert found and found[0] and found[1][0][1] == (0 if "az" in without else 1)


def test_a_list_and_a_line_of_1024_instances_are_told_whole() -> None:
    instances = EndpointList(KINDS, ["a", "b"])
    entries = [entry(f"s{n}", endpoint=f"127.0.{n // 256}.{n % 256}:9000") for n in range(1024)]
    found = instances.told(said(1, True, *entries), 50.0, 1000.0)
    assert found and found[0] and len({row[0].number for row in found[1]}) == 1024
    line = said(2, False, *({**e, "state": "DRAINING"} for e in entries))
    [whole] = Lines(LONGEST).feed(line + b"\n")
    drained = instances.told(whole, 50.0, 1000.0)
    assert drained and [row[4] for row in drained[1]] == 1024 * [Health.DRAINING]


@pytest.mark.parametrize("line", [b"", b"[]", b"{", said("1", True), said(1, 1), said(1, True)[:-9] + b"3}"])
def test_what_is_no_object_of_the_list_is_told(line: bytes) -> None:
    with pytest.raises(Exception) as problem:
        EndpointList(KINDS, ["a"]).told(line, 50.0, 1000.0)
    assert isinstance(problem.value, ListError) or "JSON" in str(problem.value)


def test_a_restart_counts_from_what_was_told_and_an_address_may_change() -> None:
    instances = EndpointList(KINDS, ["a", "b"])

    def started(wall: float, **more: Any) -> tuple[float, int]:
        found = instances.told(said(1, False, entry("s", **more)), 50.0, wall)
        assert found
        return found[1][0][6], found[1][0][0].port

    assert started(1000.0, boot_ms=990_000) == (40.0, 9000)
    assert started(2000.0, boot_ms=990_000) == (40.0, 9000)  # a clock that is set makes nothing old
    assert started(1000.0, boot_ms=995_000, endpoint="127.0.0.1:9001") == (45.0, 9001)
    assert started(1000.0, boot_ms=0) == (0.0, 9000)
    assert started(1000.0, boot_ms=930_000) == (-20.0, 9000)  # before this clock began: not new


def test_thousands_of_instances_leave_nothing_behind() -> None:
    instances = EndpointList(KINDS, ["a", "b"])
    for n in range(3000):
        instances.told(said(n + 1, False, entry(f"s{n}"), entry(f"s{n - 5}", state="DELETED")), 1.0, 1.0)
    instances.told(said(4000, True, entry("last")), 1.0, 1.0)
    assert list(instances.entries) == ["last"] and list(instances.started) == ["last"]


class Line:
    def __init__(self, pools: "ConnectionPools[Line]", port: int) -> None:
        self.pools, self.pool, self.shut = pools, pools.pool("h", port), False
        assert pools.reserve(self.pool)

    def closed(self) -> bool:
        return self.shut

    def close(self) -> None:
        if not self.shut:
            self.shut = True
            self.pools.remove(self.pool, self)


def test_connections_are_reused_bounded_and_forgotten() -> None:
    pools: ConnectionPools[Line] = ConnectionPools(max_idle_time=10.0, max_connections=3, reuse_delay=0.5)
    one, two = Line(pools, 1), Line(pools, 1)
    pools.add_idle(one.pool, one, 1.0)
    pools.add_idle(two.pool, two, 2.0)
    assert pools.take_idle(pools.pool("h", 1), 2.1) is one  # the newer one is not settled yet
    assert pools.take_idle(pools.pool("h", 1), 3.0) is two
    assert pools.take_idle(pools.pool("h", 1), 3.0) is None
    pools.add_idle(one.pool, one, 3.0)
    three, four = Line(pools, 2), Line(pools, 3)  # the third of three makes one idle make way
    assert one.shut and not two.shut and pools.open == 3
    assert not pools.reserve(pools.pool("h", 4))
    for line in (two, three, four):
        pools.add_idle(line.pool, line, 5.0)
    pools.close_expired(14.9)
    assert pools.open == 3
    pools.close_expired(15.0)
    assert pools.open == 0 and not pools.pools


STEPS = [5.0, 3_600.0, -5.0, -3_600.0]


@pytest.mark.parametrize("step", STEPS)
def test_a_wall_clock_that_steps_in_service_makes_no_engine_older_or_younger(step: float) -> None:
    """An engine started 0.2 s ago is cold, one started long ago is warm, whatever the wall clock says."""
    instances = EndpointList({"m0": (0, Role.PREFILL)}, ["a"])
    wall = 1_700_000_000.0

    def entry(uid: str, age: float, now: float) -> dict[str, Any]:
        return {
            "uid": uid,
            "endpoint": "127.0.0.1:9",
            "az": "a",
            "model": "m0",
            "pod_group": 0,
            "state": "SERVING",
            "capacity_hint": 1.0,
            "boot_ms": int(1000 * (wall + now - 100.0 - age)),
        }

    instances.apply_object({"rev": 1, "all": True, "targets": [entry("old", 500.0, 100.0)]}, 100.0, wall)
    change = {"rev": 2, "all": False, "targets": [entry("new", 0.2, 110.0), entry("late", 60.0, 110.0)]}
    instances.apply_object(change, 110.0, wall + 10.0 + step)
    started = {uid: row[6] for uid, row in instances.entries.items()}
    assert started["new"] == pytest.approx(109.8, abs=0.01)
    assert started["late"] == pytest.approx(50.0, abs=0.01)
    assert started["old"] == pytest.approx(-400.0, abs=0.01)


def test_true_time_is_never_before_a_start_that_was_told() -> None:
    """The wall clock was an hour behind when the process started."""
    instances = EndpointList({"m0": (0, Role.PREFILL)}, ["a"])
    true = 1_700_000_000.0
    entries = [
        {
            "uid": uid,
            "endpoint": "127.0.0.1:9",
            "az": "a",
            "model": "m0",
            "pod_group": 0,
            "state": "SERVING",
            "capacity_hint": 1.0,
            "boot_ms": int(1000 * (true - age)),
        }
        for uid, age in (("warm", 60.0), ("new", 0.0), ("odd", -1e9))
    ]
    instances.apply_object({"rev": 1, "all": True, "targets": entries}, 100.0, true - 3_600.0)
    assert instances.entries["warm"][6] == pytest.approx(40.0, abs=0.01)
