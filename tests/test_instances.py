"""The platform's endpoint list: whole lists, changes, replays and malformed entries; idle connections."""

from typing import Any

import orjson
import pytest

from heathford.engines.pools import ConnectionPools
from heathford.fleet.list_watch import LineSplitter, ListError
from heathford.fleet.endpoint_list import MAX_LIST_BYTES, EndpointList
from heathford.interface import Health, Role

KINDS = {"m0": (0, Role.PREFILL), "m1": (1, Role.DECODE)}


def target(uid: str, **fields: Any) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": "127.0.0.1:9000",
        "az": "b",
        "model": "m1",
        "pod_group": 3,
        "state": "SERVING",
        "capacity_hint": 1.5,
        "boot_ms": 0,
        **fields,
    }


def message_bytes(version: Any, complete: Any, *targets: Any) -> bytes:
    return orjson.dumps({"rev": version, "all": complete, "targets": list(targets)})


def summary(change: Any) -> Any:
    """Return whether it is a whole list, and the name and health of each entry; None for a replay."""
    return change and (change[0], [(entry[0].name, entry[4]) for entry in change[1]])


def test_an_entry_has_all_reported_fields() -> None:
    endpoints = EndpointList(KINDS, ["a", "b"])
    change = endpoints.apply(message_bytes(4, True, target("s", boot_ms=990_000)), now=50.0, wall=1000.0)
    assert change and change[0]
    endpoint, *rest = change[1][0]
    assert (endpoint.name, endpoint.address, endpoint.port, endpoint.role) == (
        "s",
        "127.0.0.1",
        9000,
        Role.DECODE,
    )
    assert rest == [1, 1, 3, Health.ON, 1.5, 40.0]


@pytest.mark.parametrize(
    "messages, expected",
    [
        (
            [
                message_bytes(1, True, target("a"), target("b")),
                message_bytes(2, False, target("a", state="DRAINING")),
            ],
            [(True, [("a", Health.ON), ("b", Health.ON)]), (False, [("a", Health.DRAINING)])],
        ),
        (
            [message_bytes(2, False, target("a", state="DELETED")), message_bytes(1, True, target("a"))],
            [(False, [("a", Health.REMOVED)]), None],
        ),
        (
            [message_bytes(2, True, target("a")), message_bytes(2, True, target("a"))],
            [(True, [("a", Health.ON)]), (True, [("a", Health.ON)])],
        ),
        # A malformed entry is skipped, and a known engine is not removed because of it.
        ([message_bytes(1, True, target("a"), target("b", model="m9"))], [(True, [("a", Health.ON)])]),
        (
            [message_bytes(1, True, target("a")), message_bytes(2, True, target("a", az="new"))],
            [(True, [("a", Health.ON)]), (True, [("a", Health.ON)])],
        ),
        # Its drain still takes effect, and so does the removal of another engine.
        (
            [
                message_bytes(1, True, target("a"), target("b")),
                message_bytes(2, True, target("a", model=7, state="DRAINING")),
            ],
            [(True, [("a", Health.ON), ("b", Health.ON)]), (True, [("a", Health.DRAINING)])],
        ),
        ([message_bytes(1, True, target("a", endpoint=None), target("b", state="ODD"), 7)], [(False, [])]),
        (
            [
                message_bytes(1, True, target("a"), target("b")),
                message_bytes(2, True, {**target("a"), "uid": 3}),
            ],
            [(True, [("a", Health.ON), ("b", Health.ON)]), (False, [])],
        ),
    ],
)
def test_messages_in_order(messages: list[bytes], expected: list[Any]) -> None:
    endpoints = EndpointList(KINDS, ["a", "b"])
    assert [summary(endpoints.apply(message, 50.0, 1000.0)) for message in messages] == expected


@pytest.mark.parametrize(
    "malformed",
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
def test_a_malformed_entry_is_reported_and_the_others_are_applied(malformed: dict[str, Any]) -> None:
    """A uid that was not a string raised an exception, which ended the watch permanently."""
    endpoints = EndpointList(KINDS, ["a", "b"])
    change = endpoints.apply(message_bytes(1, False, {**target("s"), **malformed}, target("t")), 50.0, 1000.0)
    assert summary(change) == (False, [("t", Health.ON)]) and len(endpoints.skipped) == 1


@pytest.mark.parametrize(
    "without", [{"az": ""}, {"az": None}, {"pod_group": None}, {"capacity_hint": None}, {"boot_ms": None}]
)
def test_zones_pod_groups_capacity_hints_and_starts_are_optional(without: dict[str, Any]) -> None:
    change = EndpointList(KINDS, [] if "az" in without else ["a", "b"]).apply(
        message_bytes(1, True, target("s", **without)), 50.0, 1000.0
    )
    assert change and change[0] and change[1][0][1] == (0 if "az" in without else 1)


def test_a_list_and_a_change_of_1024_engines_are_parsed_whole() -> None:
    endpoints = EndpointList(KINDS, ["a", "b"])
    targets = [target(f"s{n}", endpoint=f"127.0.{n // 256}.{n % 256}:9000") for n in range(1024)]
    change = endpoints.apply(message_bytes(1, True, *targets), 50.0, 1000.0)
    assert change and change[0] and len({entry[0].number for entry in change[1]}) == 1024
    message = message_bytes(2, False, *({**each, "state": "DRAINING"} for each in targets))
    [line] = LineSplitter(MAX_LIST_BYTES).feed(message + b"\n")
    drained = endpoints.apply(line, 50.0, 1000.0)
    assert drained and [entry[4] for entry in drained[1]] == 1024 * [Health.DRAINING]


@pytest.mark.parametrize(
    "message",
    [b"", b"[]", b"{", message_bytes("1", True), message_bytes(1, 1), message_bytes(1, True)[:-9] + b"3}"],
)
def test_a_malformed_object_raises_an_error(message: bytes) -> None:
    with pytest.raises(Exception) as error:
        EndpointList(KINDS, ["a"]).apply(message, 50.0, 1000.0)
    assert isinstance(error.value, ListError) or "JSON" in str(error.value)


def test_a_new_start_and_a_new_address_are_applied() -> None:
    endpoints = EndpointList(KINDS, ["a", "b"])

    def start_and_port(wall: float, **fields: Any) -> tuple[float, int]:
        change = endpoints.apply(message_bytes(1, False, target("s", **fields)), 50.0, wall)
        assert change
        return change[1][0][6], change[1][0][0].port

    assert start_and_port(1000.0, boot_ms=990_000) == (40.0, 9000)
    assert start_and_port(2000.0, boot_ms=990_000) == (40.0, 9000)  # the wall clock was set
    assert start_and_port(1000.0, boot_ms=995_000, endpoint="127.0.0.1:9001") == (45.0, 9001)
    assert start_and_port(1000.0, boot_ms=0) == (0.0, 9000)
    assert start_and_port(1000.0, boot_ms=930_000) == (-20.0, 9000)  # before zero on this clock: not new


def test_thousands_of_removed_engines_leave_no_entries() -> None:
    endpoints = EndpointList(KINDS, ["a", "b"])
    for n in range(3000):
        endpoints.apply(
            message_bytes(n + 1, False, target(f"s{n}"), target(f"s{n - 5}", state="DELETED")), 1.0, 1.0
        )
    endpoints.apply(message_bytes(4000, True, target("last")), 1.0, 1.0)
    assert list(endpoints.entries) == ["last"] and list(endpoints.starts) == ["last"]


class FakeConnection:
    def __init__(self, pools: "ConnectionPools[FakeConnection]", port: int) -> None:
        self.pools, self.pool, self.is_closed = pools, pools.pool("h", port), False
        assert pools.reserve(self.pool)

    def closed(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.pools.remove(self.pool, self)


def test_idle_connections_are_reused_limited_and_closed() -> None:
    pools: ConnectionPools[FakeConnection] = ConnectionPools(
        max_idle_time=10.0, max_connections=3, reuse_delay=0.5
    )
    one, two = FakeConnection(pools, 1), FakeConnection(pools, 1)
    pools.add_idle(one.pool, one, 1.0)
    pools.add_idle(two.pool, two, 2.0)
    assert pools.take_idle(pools.pool("h", 1), 2.1) is one  # the newer one is within its reuse_delay
    assert pools.take_idle(pools.pool("h", 1), 3.0) is two
    assert pools.take_idle(pools.pool("h", 1), 3.0) is None
    pools.add_idle(one.pool, one, 3.0)
    # At the limit of three, an idle connection is closed.
    three, four = FakeConnection(pools, 2), FakeConnection(pools, 3)
    assert one.is_closed and not two.is_closed and pools.open == 3
    assert not pools.reserve(pools.pool("h", 4))
    for connection in (two, three, four):
        pools.add_idle(connection.pool, connection, 5.0)
    pools.close_expired(14.9)
    assert pools.open == 3
    pools.close_expired(15.0)
    assert pools.open == 0 and not pools.pools


CLOCK_STEPS = [5.0, 3_600.0, -5.0, -3_600.0]


@pytest.mark.parametrize("step", CLOCK_STEPS)
def test_a_step_of_the_wall_clock_changes_no_age(step: float) -> None:
    """An engine started 0.2 s ago is cold, one started long ago is warm, whatever the wall clock reads."""
    endpoints = EndpointList({"m0": (0, Role.PREFILL)}, ["a"])
    wall = 1_700_000_000.0

    def target(uid: str, age: float, now: float) -> dict[str, Any]:
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

    endpoints.apply_object({"rev": 1, "all": True, "targets": [target("old", 500.0, 100.0)]}, 100.0, wall)
    change = {"rev": 2, "all": False, "targets": [target("new", 0.2, 110.0), target("late", 60.0, 110.0)]}
    endpoints.apply_object(change, 110.0, wall + 10.0 + step)
    started = {uid: entry[6] for uid, entry in endpoints.entries.items()}
    assert started["new"] == pytest.approx(109.8, abs=0.01)
    assert started["late"] == pytest.approx(50.0, abs=0.01)
    assert started["old"] == pytest.approx(-400.0, abs=0.01)


def test_the_true_time_is_never_before_a_reported_start() -> None:
    """The wall clock was an hour behind when the process started."""
    endpoints = EndpointList({"m0": (0, Role.PREFILL)}, ["a"])
    true_time = 1_700_000_000.0
    targets = [
        {
            "uid": uid,
            "endpoint": "127.0.0.1:9",
            "az": "a",
            "model": "m0",
            "pod_group": 0,
            "state": "SERVING",
            "capacity_hint": 1.0,
            "boot_ms": int(1000 * (true_time - age)),
        }
        for uid, age in (("warm", 60.0), ("new", 0.0), ("odd", -1e9))
    ]
    endpoints.apply_object({"rev": 1, "all": True, "targets": targets}, 100.0, true_time - 3_600.0)
    assert endpoints.entries["warm"][6] == pytest.approx(40.0, abs=0.01)
