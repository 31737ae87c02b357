"""The platform's list of instances: whole lists and watch lines into rows for the core; no I/O."""

from collections.abc import Mapping, Sequence
from math import isfinite
from typing import Any

from heathford.core.doors import Endpoint
from heathford.fleet.follow import ListError, Row, number_of
from heathford.interface import Health, Role
from heathford.wire.http1 import json_object

STATES = {"SERVING": Health.ON, "DRAINING": Health.DRAINING, "DELETED": Health.GONE}
AGAIN = 0.05  # s before a failed call is made again: the agent is on this machine and answers at no cost
AGAIN_MOST = 0.2  # s, doubled up to here: what the agent has counts as told at once, and the shortest drain
# grace that deployments state is 0.5; this and ANSWER together leave room within it
ANSWER = 0.15  # s without a byte after which a list call is made anew: the agent replies at once, or never if
# it was asked while discovery was down
SILENCE = 5.0  # s without a byte after which a watch is dead: an empty line comes each 2
LONGEST = 4_194_304  # bytes of a list: thousands of engines


class Instances:
    """The list as last told. kinds: name to place and role; zones: names to places. An entry that can't be
    read is passed over, told by `passed`; a version older than the one held is news replayed."""

    def __init__(self, kinds: Mapping[str, tuple[int, Role]], zones: Sequence[str]) -> None:
        self.kinds, self.zones = kinds, {zone: place for place, zone in enumerate(zones)}
        self.version = -1
        self.rows: dict[str, Row] = {}  # as last read, by uid
        self.started: dict[str, tuple[int, float]] = {}  # as told, and s on the front's clock
        self.passed: dict[str, str] = {}
        self.failures = 0

    def told(self, body: bytes, now: float, wall: float) -> tuple[bool, list[Row]] | None:
        """One object: whether it is complete, and its rows; None if it is old. Raises ListError."""
        return self.told_object(json_object(body), now, wall)

    def told_object(
        self, told: Mapping[str, Any], now: float, wall: float
    ) -> tuple[bool, list[Row]] | None:
        version, complete, entries = told.get("rev"), told.get("all"), told.get("targets")
        if not isinstance(version, int) or not isinstance(complete, bool) or not isinstance(entries, list):
            raise ListError("an object without rev, all and targets")
        if version < self.version:
            # Guards against news replayed: an engine long drained must not look open again. Could harm where
            # discovery starts over from nothing; it says so by an older list each time, and is told.
            return None
        self.failures = 0
        rows: list[Row] = []
        listed: dict[str, None] = {}
        nameless = False
        self.passed = {}
        for entry in entries:
            try:
                uid, row = self.row(entry, now, wall)
            except ListError as problem:
                self.passed[str(entry)[:80]] = str(problem)
                nameless = nameless or not (isinstance(entry, dict) and isinstance(entry.get("uid"), str))
                kept = self.kept(entry)
                if kept is None:
                    continue
                uid, row = kept
            listed[uid] = None
            rows.append(row)
            self.rows[uid] = row
            if row[4] is Health.GONE:
                self.forget(uid)
        # Of a list with an entry that does not say whose it is, nobody can say who is missing.
        complete = complete and not nameless
        if complete:
            for uid in [uid for uid in self.rows if uid not in listed]:
                self.forget(uid)
        self.version = version
        return complete, rows

    def kept(self, entry: Any) -> tuple[str, Row] | None:
        """Guards against an entry that can't be read any more: the instance stays as it was, but for a state
        that can be read, as its drain has to be kept. Could harm where what can't be read is its address."""
        uid = entry.get("uid") if isinstance(entry, dict) else None
        if not isinstance(uid, str) or uid not in self.rows:
            return None
        row, state = self.rows[uid], entry.get("state")
        health = STATES.get(state, row[4]) if isinstance(state, str) else row[4]
        return uid, (*row[:4], health, *row[5:])

    def listed(self, zone: int) -> tuple[list[Endpoint], list[Endpoint]]:
        """Those that are on, of that zone and of the others."""
        on = [row for row in self.rows.values() if row[4] is Health.ON]
        return [row[0] for row in on if row[1] == zone], [row[0] for row in on if row[1] != zone]

    def forget(self, uid: str) -> None:
        self.rows.pop(uid, None)
        self.started.pop(uid, None)

    def row(self, entry: Any, now: float, wall: float) -> tuple[str, Row]:
        try:
            uid, boot = entry["uid"], int(entry.get("boot_ms") or 0)
            host, _, port = entry["endpoint"].rpartition(":")
            place, role = self.kinds[entry["model"]]
            # A layout without zones or cells names none: all lie in one.
            zone = self.zones[entry["az"]] if entry.get("az") else 0
            health, group = STATES[entry["state"]], int(entry.get("pod_group") or 0)
            size = float(1.0 if entry.get("capacity_hint") is None else entry["capacity_hint"])
            number, known = int(port), number_of(uid)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as problem:
            raise ListError(f"an instance that can't be read: {problem!r}") from None
        if not (host and 0 < number < 65536 and isfinite(size)):
            raise ListError("an instance that can't be read: its endpoint or capacity_hint is out of range")
        endpoint = self.rows[uid][0] if uid in self.rows else None
        if endpoint is None or (endpoint.address, endpoint.port, endpoint.role) != (host, number, role):
            endpoint = Endpoint(known, uid, role, host, number)
        told, started = self.started.get(uid, (-1, 0.0))
        if told != boot:
            # Kept by what was told, so that a clock that is set does not make a running process look new.
            # On the front's clock, which may have begun later than the process: then it lies before zero.
            started = (now - max(wall - boot / 1000, 0.0) or 1e-6) if boot else 0.0
            self.started[uid] = boot, started
        return uid, (endpoint, zone, place, group, health, size, started)

    def failed(self) -> float:
        """s until discovery is asked again: doubled for each failure in a row."""
        self.failures += 1
        return float(min(AGAIN * 2 ** min(self.failures - 1, 8), AGAIN_MOST))
