"""The list of engines as this project's own registry tells it: entries that can't be read."""

from datetime import UTC, datetime
from typing import Any

import orjson
import pytest

from heathford.fleet.list_watch import RegistryFollower
from heathford.interface import Role

GOOD: dict[str, Any] = {
    "name": "e1",
    "uid": "u1",
    "version": "4",
    "address": "127.0.0.1:9000",
    "kind": "k",
    "zone": "z",
    "rack": "r",
    "size": 1.0,
    "phase": "Running",
    "start": "2026-12-01T00:00:00+00:00",
}


def item(**more: Any) -> dict[str, Any]:
    told = GOOD | more
    return {
        "metadata": {"name": told["name"], "uid": told["uid"], "resourceVersion": told["version"]},
        "spec": {key: told[key] for key in ("address", "kind", "zone", "rack", "size")},
        "status": {"phase": told["phase"], "startTime": told["start"]},
    }


def followed(*items: Any) -> tuple[list[str], list[str]]:
    """Names told, and why others were passed over."""
    follower = RegistryFollower({"k": (0, Role.PREFILL)}, ["z"], ["r"], 1)
    body = orjson.dumps({"metadata": {"resourceVersion": "9"}, "items": list(items)})
    entries = follower.listed(body, 50.0, 1.8e9)
    return [row[0].name for row in entries], list(follower.passed.values())


@pytest.mark.parametrize(
    "wrong",
    [
        {"uid": 7},
        {"uid": ["u"]},
        {"name": None, "uid": None},
        {"address": "127.0.0.1"},
        {"address": ":1"},
        {"address": "127.0.0.1:0"},
        {"address": "127.0.0.1:70000"},
        {"address": 9},
        {"kind": "other"},
        {"kind": []},
        {"zone": "y"},
        {"rack": None},
        {"size": "nan"},
        {"size": {}},
        {"phase": "Odd"},
        {"phase": {}},
        {"start": "soon"},
        {"start": 5},
        {"start": None},
        {"start": []},
        {"version": "x"},
    ],
)
def test_an_entry_that_can_not_be_read_is_told_and_the_others_count(wrong: dict[str, Any]) -> None:
    """A uid or a start that is no text raised out of the list's task, which then followed it no more."""
    names, why = followed(item(**wrong), item(name="e2", uid="u2"))
    assert names == ["e2"] and len(why) == 1


def test_a_start_before_this_clock_began_is_no_new_one() -> None:
    follower = RegistryFollower({"k": (0, Role.PREFILL)}, ["z"], ["r"], 1)
    body = orjson.dumps({"metadata": {"resourceVersion": "9"}, "items": [item()]})
    [row] = follower.listed(body, 50.0, 1.8e9)
    assert row[6] < -1e6


def test_an_engine_that_has_just_started_is_young_whatever_the_wall_clock_was_set_to() -> None:
    """What happened: the wall clock of a front is set forward by an hour in service, and an engine that
    starts then looks an hour old, so that it is pushed over. Why: each age was taken from the wall clock as
    it stood. What showed it: an age of 3,601 s, where the engine had started 1 s before."""
    follower = RegistryFollower({"k": (0, Role.PREFILL)}, ["z"], ["r"], 1)
    wall = datetime.fromisoformat(GOOD["start"]).timestamp() + 600.0
    follower.listed(orjson.dumps({"metadata": {"resourceVersion": "9"}, "items": [item()]}), 50.0, wall)
    started = datetime.fromtimestamp(wall + 9.0, UTC).isoformat()
    added = {"type": "ADDED", "object": item(uid="u2", name="e2", version="10", start=started)}
    entries = follower.watched(orjson.dumps(added), 60.0, wall + 10.0 + 3_600.0)
    assert entries and 0.0 <= 60.0 - entries[0][6] <= 1.1
