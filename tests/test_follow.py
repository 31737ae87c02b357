"""The list of engines as this project's own registry tells it: entries that can't be read."""

from typing import Any

import orjson
import pytest

from heathford.fleet.follow import Follower
from heathford.interface import Role

GOOD: dict[str, Any] = {
    "name": "e1", "uid": "u1", "version": "4", "address": "127.0.0.1:9000", "kind": "k", "zone": "z",
    "rack": "r", "size": 1.0, "phase": "Running", "start": "2026-12-01T00:00:00+00:00"}


def item(**more: Any) -> dict[str, Any]:
    told = GOOD | more
    return {"metadata": {"name": told["name"], "uid": told["uid"], "resourceVersion": told["version"]},
            "spec": {key: told[key] for key in ("address", "kind", "zone", "rack", "size")},
            "status": {"phase": told["phase"], "startTime": told["start"]}}


def followed(*items: Any) -> tuple[list[str], list[str]]:
    """Names told, and why others were passed over."""
    follower = Follower({"k": (0, Role.READER)}, ["z"], ["r"], 1)
    body = orjson.dumps({"metadata": {"resourceVersion": "9"}, "items": list(items)})
    rows = follower.listed(body, 50.0, 1.8e9)
    return [row[0].name for row in rows], list(follower.passed.values())


@pytest.mark.parametrize("wrong", [
    {"uid": 7}, {"uid": ["u"]}, {"name": None, "uid": None}, {"address": "127.0.0.1"}, {"address": ":1"},
    {"address": "127.0.0.1:0"}, {"address": "127.0.0.1:70000"}, {"address": 9}, {"kind": "other"},
    {"kind": []}, {"zone": "y"}, {"rack": None}, {"size": "nan"}, {"size": {}}, {"phase": "Odd"},
    {"phase": {}}, {"start": "soon"}, {"start": 5}, {"start": None}, {"start": []}, {"version": "x"}])
def test_an_entry_that_can_not_be_read_is_told_and_the_others_count(wrong: dict[str, Any]) -> None:
    """A uid or a start that is no text raised out of the list's task, which then followed it no more."""
    names, why = followed(item(**wrong), item(name="e2", uid="u2"))
    assert names == ["e2"] and len(why) == 1


def test_a_start_before_this_clock_began_is_no_new_one() -> None:
    follower = Follower({"k": (0, Role.READER)}, ["z"], ["r"], 1)
    body = orjson.dumps({"metadata": {"resourceVersion": "9"}, "items": [item()]})
    [row] = follower.listed(body, 50.0, 1.8e9)
    assert row[6] < -1e6
