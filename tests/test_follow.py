"""The endpoint list of the registry: malformed entries, and the ages of engines."""

from datetime import UTC, datetime
from typing import Any

import orjson
import pytest

from heathford.fleet.list_watch import RegistryFollower
from heathford.interface import Role

VALID: dict[str, Any] = {
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


def item(**changes: Any) -> dict[str, Any]:
    fields = VALID | changes
    return {
        "metadata": {"name": fields["name"], "uid": fields["uid"], "resourceVersion": fields["version"]},
        "spec": {key: fields[key] for key in ("address", "kind", "zone", "rack", "size")},
        "status": {"phase": fields["phase"], "startTime": fields["start"]},
    }


def names_and_reasons(*items: Any) -> tuple[list[str], list[str]]:
    """Return the names of the applied entries, and why others were skipped."""
    follower = RegistryFollower({"k": (0, Role.PREFILL)}, ["z"], ["r"], 1)
    body = orjson.dumps({"metadata": {"resourceVersion": "9"}, "items": list(items)})
    entries = follower.apply_list(body, 50.0, 1.8e9)
    return [entry[0].name for entry in entries], list(follower.skipped.values())


@pytest.mark.parametrize(
    "malformed",
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
def test_a_malformed_entry_is_reported_and_the_others_are_applied(malformed: dict[str, Any]) -> None:
    """A uid or a start that was not a string raised an exception, which ended the task following the list."""
    names, reasons = names_and_reasons(item(**malformed), item(name="e2", uid="u2"))
    assert names == ["e2"] and len(reasons) == 1


def test_a_start_before_zero_on_this_clock_is_not_new() -> None:
    follower = RegistryFollower({"k": (0, Role.PREFILL)}, ["z"], ["r"], 1)
    body = orjson.dumps({"metadata": {"resourceVersion": "9"}, "items": [item()]})
    [entry] = follower.apply_list(body, 50.0, 1.8e9)
    assert entry[6] < -1e6


def test_an_engine_that_has_just_started_is_new_whatever_the_wall_clock_was_set_to() -> None:
    """Guards against an age taken from the present wall clock. After it was set forward by an hour, in
    service, an engine that had started 1 s before had an age of 3,601 s, and was overloaded."""
    follower = RegistryFollower({"k": (0, Role.PREFILL)}, ["z"], ["r"], 1)
    wall = datetime.fromisoformat(VALID["start"]).timestamp() + 600.0
    follower.apply_list(orjson.dumps({"metadata": {"resourceVersion": "9"}, "items": [item()]}), 50.0, wall)
    started = datetime.fromtimestamp(wall + 9.0, UTC).isoformat()
    added = {"type": "ADDED", "object": item(uid="u2", name="e2", version="10", start=started)}
    entries = follower.apply_event(orjson.dumps(added), 60.0, wall + 10.0 + 3_600.0)
    assert entries and 0.0 <= 60.0 - entries[0][6] <= 1.1
