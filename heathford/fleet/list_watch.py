"""What the list of engines says and when it is asked for again; no I/O.

The form is the published list-and-watch one: a list with a resource version, then a watch from that version
whose lines are ADDED, MODIFIED, DELETED, BOOKMARK or ERROR; an ERROR with code 410 means list again.
"""

import random
from collections.abc import Iterator, Mapping, Sequence
from datetime import datetime
from hashlib import blake2b
from math import isfinite
from typing import Any

from heathford.core.protocols import Endpoint
from heathford.fleet.engine_ages import EngineAges, ToldStart
from heathford.interface import Health, Role
from heathford.wire.http1 import MalformedMessageError, json_object

AGAIN = 0.1  # s before a failed call is made again: a registry that restarts is back in about that
AGAIN_MOST = 5.0  # s: doubled up to here, so that a registry that is down isn't pressed by every front
SILENCE = 10.0  # s without a line after which a watch is held for dead: bookmarks come each second or so
PHASES = {"Running": Health.ON, "Draining": Health.DRAINING, "Gone": Health.REMOVED}

EndpointEntry = tuple[Endpoint, int, int, int, Health, float, float]


class ListError(MalformedMessageError):
    """What the registry said can't be used; the list held stays valid."""


class RegistryFollower:
    """The list as last told, by engine. Every change comes out as rows for the core.

    kinds: name to place and role; zones, racks: names to places. What names another is passed over, told by
    `passed`. A version that lies before the one held is news replayed, and is dropped.
    """

    def __init__(
        self,
        kinds: Mapping[str, tuple[int, Role]],
        zones: Sequence[str],
        racks: Sequence[str],
        seed: int,
        warm_after: float = 0.0,
    ) -> None:
        """warm_after: s after its start from which an engine is warm."""
        self.kinds, self.zones, self.racks = kinds, zones, racks
        self.random = random.Random(seed)
        self.version = 0  # of the list held; 0 before the first
        self.endpoints: dict[str, Endpoint] = {}
        self.versions: dict[str, int] = {}
        self.started: dict[tuple[str, str], float] = {}
        self.passed: dict[str, str] = {}  # engines passed over, and why
        self.failures = 0
        self.ages = EngineAges(warm_after)

    def listed(self, body: bytes, now: float, wall: float) -> list[EndpointEntry]:
        """A complete list. now: s on the front's clock; wall: s since 1970. Raises ListError."""
        answer = json_object(body)
        version = version_of(answer.get("metadata"))
        items = answer.get("items")
        if not isinstance(items, list):
            raise ListError("a list without items")
        if version < self.version:
            raise ListError(f"a list of version {version}, older than the {self.version} held")
        rows, versions, passed = [], {}, {}
        self.ages.told(filter(None, map(self.told_start, items)), now, wall)
        for item in items:
            try:
                name, row = self.row(item, now)
                versions[name] = version_of(item.get("metadata"))
                rows.append(row)
            except ListError as problem:
                passed[str(item)[:80]] = str(problem)
        self.ages.first_list_taken = True
        self.version, self.versions, self.passed = version, versions, passed
        self.failures = 0
        return rows

    def watched(self, line: bytes, now: float, wall: float) -> list[EndpointEntry] | None:
        """One line of a watch: its rows; None where the list must be asked for again. Raises ListError."""
        event = json_object(line)
        kind, item = event.get("type"), event.get("object")
        if kind == "ERROR" or not isinstance(item, dict):
            code = item.get("code") if isinstance(item, dict) else None
            if kind == "ERROR" and code == 410:
                self.version = 0
                return None
            raise ListError(f"the watch failed: {str(item)[:200]}")
        version = version_of(item.get("metadata"))
        self.failures = 0
        if kind == "BOOKMARK":
            self.version = max(self.version, version)
            return []
        if kind not in ("ADDED", "MODIFIED", "DELETED"):
            raise ListError(f"a watch event of type {kind!r}")
        self.ages.told(filter(None, [self.told_start(item)]), now, wall)
        try:
            name, row = self.row(item, now)
        except ListError as problem:
            self.passed[str(item)[:80]] = str(problem)
            return []
        if version <= self.versions.get(name, 0):
            # Guards against a watch that replays: an engine long drained must not look open again.
            return []
        self.versions[name] = version
        self.version = max(self.version, version)
        if kind == "DELETED":
            row = (*row[:4], Health.REMOVED, *row[5:])
        return [row]

    def told_start(self, item: Any) -> ToldStart | None:
        """None of an engine that does not say so much."""
        try:
            _, role = self.kinds[item["spec"]["kind"]]
            return ToldStart(role, datetime.fromisoformat(item["status"]["startTime"]).timestamp())
        except (KeyError, TypeError, ValueError, OverflowError):
            return None

    def row(self, item: Any, now: float) -> tuple[str, EndpointEntry]:
        try:
            name = item["metadata"]["name"]
            uid = item["metadata"].get("uid") or name
            spec, status = item["spec"], item["status"]
            host, _, port = spec["address"].rpartition(":")
            place, role = self.kinds[spec["kind"]]
            zone, rack = self.zones.index(spec["zone"]), self.racks.index(spec["rack"])
            size, health, start = float(spec.get("size", 1.0)), PHASES[status["phase"]], status["startTime"]
            number, known = int(port), number_of(uid)
            if (uid, start) not in self.started:
                # Kept by what was told, so that a clock that is set does not make a running process look new.
                told = ToldStart(role, datetime.fromisoformat(start).timestamp())
                self.started[uid, start] = self.ages.on_front_clock(told, now)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as problem:
            raise ListError(f"an engine that can't be read: {problem!r}") from None
        if not (host and 0 < number < 65536 and isfinite(size)):
            raise ListError("an engine that can't be read: its address or size is out of range")
        endpoint = self.endpoints.get(uid)
        if endpoint is None or (endpoint.address, endpoint.port, endpoint.role) != (host, number, role):
            endpoint = self.endpoints[uid] = Endpoint(known, name, role, host, number)
        return uid, (endpoint, zone, place, rack, health, size, self.started[uid, start])

    def failed(self) -> float:
        """s until the registry is asked again: doubled for each failure in a row, with chance, so that all
        fronts don't return together."""
        self.failures += 1
        most: float = min(AGAIN * 2 ** min(self.failures, 16), AGAIN_MOST)
        return most * (0.5 + self.random.random() / 2)


def number_of(uid: str) -> int:
    """The same at all fronts; it tells nothing."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=6).digest())


def version_of(metadata: Any) -> int:
    try:
        return int(metadata["resourceVersion"])
    except (KeyError, TypeError, ValueError):
        raise ListError("no resourceVersion") from None


class Lines:
    """Whole lines out of parts of bytes; raises ListError past `longest` bytes without an end."""

    def __init__(self, longest: int) -> None:
        self.longest, self.rest = longest, b""

    def feed(self, part: bytes) -> Iterator[bytes]:
        *lines, self.rest = (self.rest + part).split(b"\n")
        if len(self.rest) > self.longest:
            raise ListError("a line too long")
        yield from (line for line in lines if line.strip())
