"""The platform's list of instances: whole lists and watch lines into rows for the core; no I/O."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Any

from heathford.core.protocols import Endpoint
from heathford.fleet.engine_ages import EngineAges, ToldStart
from heathford.fleet.list_watch import ListError, EndpointEntry, number_of
from heathford.interface import Health, Role
from heathford.wire.http1 import json_object

STATES = {"SERVING": Health.ON, "DRAINING": Health.DRAINING, "DELETED": Health.REMOVED}
LONGEST = 4_194_304  # bytes of a list: thousands of engines
MOST_GONE = 4_096  # instances remembered as gone in case discovery goes back: more than lists have
HEALTH_ORDER = (Health.ON, Health.DRAINING, Health.REMOVED)  # the later, the less may be sent there


@dataclass(frozen=True)
class Started:
    """boot: as told. at: s on the front's clock, 0 if long ago."""

    boot: int
    at: float


LONG_AGO = Started(0, 0.0)


class EndpointList:
    """The list as last told. kinds: name to place and role; zones: names to places; warm_after: s.

    An entry that can't be read is passed over, told by `passed`. A change of an older version than the one
    held is replayed, and dropped. A whole list of an older version, given in answer to a call, says that
    discovery has gone back, as after a restart or behind another address: it counts, but until discovery is
    again as far as it was, no process that was drained or gone is taken to serve.
    """

    def __init__(
        self, kinds: Mapping[str, tuple[int, Role]], zones: Sequence[str], warm_after: float = 0.0
    ) -> None:
        self.kinds, self.zones = kinds, {zone: place for place, zone in enumerate(zones)}
        self.version = -1
        self.newest = -1  # the latest version seen; more than `version` while discovery has gone back
        self.gone: dict[str, Started] = {}  # starts of instances that have gone, by uid
        self.entries: dict[str, EndpointEntry] = {}  # as last read, by uid
        self.started: dict[str, Started] = {}  # by uid
        self.passed: dict[str, str] = {}
        self.ages = EngineAges(warm_after)

    def told(
        self, body: bytes, now: float, wall: float, listed: bool = False
    ) -> tuple[bool, list[EndpointEntry]] | None:
        """One object: whether it is complete, and its rows; None if it is old. listed: it answers a call for
        the whole list. Raises ListError."""
        return self.apply_object(json_object(body), now, wall, listed)

    def apply_object(
        self, told: Mapping[str, Any], now: float, wall: float, listed: bool = False
    ) -> tuple[bool, list[EndpointEntry]] | None:
        version, complete, entries = told.get("rev"), told.get("all"), told.get("targets")
        if not isinstance(version, int) or not isinstance(complete, bool) or not isinstance(entries, list):
            raise ListError("an object without rev, all and targets")
        if listed and not complete:
            raise ListError("changes in place of the whole list")
        if version < self.version and not listed:
            # Guards against news replayed: an engine long drained must not look open again.
            return None
        rows: list[EndpointEntry] = []
        present: dict[str, None] = {}
        nameless = False
        self.passed = {}
        self.ages.told(filter(None, map(self.told_start, entries)), now, wall)
        for entry in entries:
            held = self.held(entry)
            try:
                uid, row = self.row(entry, now)
            except ListError as problem:
                self.passed[str(entry)[:80]] = str(problem)
                nameless = nameless or not (isinstance(entry, dict) and isinstance(entry.get("uid"), str))
                kept = self.kept(entry)
                if kept is None:
                    continue
                uid, row = kept
            if version < self.newest:
                row = self.no_healthier(uid, row, held)
            present[uid] = None
            rows.append(row)
            self.entries[uid] = row
            if row[4] is Health.REMOVED:
                self.forget(uid)
        # Of a list with an entry that does not say whose it is, nobody can say who is missing.
        complete = complete and not nameless
        if complete:
            for uid in [uid for uid in self.entries if uid not in present]:
                self.forget(uid)
            self.ages.first_list_taken = self.ages.first_list_taken or listed
        self.version, self.newest = version, max(version, self.newest)
        return complete, rows

    def held(self, entry: Any) -> tuple[EndpointEntry, int] | None:
        """The row of that instance as it was, and the start that was told with it."""
        uid = entry.get("uid") if isinstance(entry, dict) else None
        if not isinstance(uid, str) or uid not in self.entries:
            return None
        return self.entries[uid], self.started[uid].boot

    def no_healthier(
        self, uid: str, row: EndpointEntry, held: tuple[EndpointEntry, int] | None
    ) -> EndpointEntry:
        """Guards against an older list that names an engine as serving after its drain or end was told:
        nothing new may go there. Could harm where a drain was taken back while discovery was restored."""
        boot, health = self.started[uid].boot, row[4]
        if held and boot < held[1]:
            self.started[uid] = Started(held[1], held[0][6])
            return held[0]
        if held and boot == held[1]:
            health = max(health, held[0][4], key=HEALTH_ORDER.index)
        elif not held and uid in self.gone and boot <= self.gone[uid].boot:
            health = Health.REMOVED
        return (*row[:4], health, *row[5:])

    def kept(self, entry: Any) -> tuple[str, EndpointEntry] | None:
        """Guards against an entry that can't be read any more: the instance stays as it was, but for a state
        that can be read, as its drain has to be kept. Could harm where what can't be read is its address."""
        uid = entry.get("uid") if isinstance(entry, dict) else None
        if not isinstance(uid, str) or uid not in self.entries:
            return None
        row, state = self.entries[uid], entry.get("state")
        health = STATES.get(state, row[4]) if isinstance(state, str) else row[4]
        return uid, (*row[:4], health, *row[5:])

    def serving_endpoints(self, zone: int) -> tuple[list[Endpoint], list[Endpoint]]:
        """Those that are on, of that zone and of the others."""
        on = [row for row in self.entries.values() if row[4] is Health.ON]
        return [row[0] for row in on if row[1] == zone], [row[0] for row in on if row[1] != zone]

    def told_start(self, entry: Any) -> ToldStart | None:
        """None of an entry that does not say so much."""
        if not isinstance(entry, dict):
            return None
        boot, model = entry.get("boot_ms"), entry.get("model")
        if not isinstance(boot, int) or not isinstance(model, str) or model not in self.kinds:
            return None
        return ToldStart(self.kinds[model][1], boot / 1000)

    def forget(self, uid: str) -> None:
        self.entries.pop(uid, None)
        self.gone.pop(uid, None)
        self.gone[uid] = self.started.pop(uid, LONG_AGO)
        if len(self.gone) > MOST_GONE:
            del self.gone[next(iter(self.gone))]

    def row(self, entry: Any, now: float) -> tuple[str, EndpointEntry]:
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
        endpoint = self.entries[uid][0] if uid in self.entries else None
        if endpoint is None or (endpoint.address, endpoint.port, endpoint.role) != (host, number, role):
            endpoint = Endpoint(known, uid, role, host, number)
        start = self.start_of(uid, boot, role, now)
        return uid, (endpoint, zone, place, group, health, size, start.at)

    def start_of(self, uid: str, boot: int, role: Role, now: float) -> Started:
        """Kept by what was told, also of one that had gone from the list: neither a clock that is set nor a
        list on which it is again makes a running process look new."""
        known = self.started.get(uid) or self.gone.get(uid)
        if known is None or known.boot != boot:
            known = Started(boot, self.ages.on_front_clock(ToldStart(role, boot / 1000), now))
        self.started[uid] = known
        return known
