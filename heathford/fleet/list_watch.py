"""Parse the registry's endpoint list and time its retries; no I/O.

The protocol is the list-and-watch protocol of the Kubernetes API: a list with a resource version, then a
watch from that version, whose lines are events of the types ADDED, MODIFIED, DELETED, BOOKMARK and ERROR. An
ERROR with code 410 means that the whole list has to be fetched again.
"""

import random
from collections.abc import Iterator, Mapping, Sequence
from datetime import datetime
from hashlib import blake2b
from math import isfinite
from typing import Any

from heathford.core.protocols import Endpoint
from heathford.fleet.engine_ages import EngineAges, ReportedStart
from heathford.interface import Health, Role
from heathford.wire.http1 import MalformedMessageError, json_object

RETRY_BASE = 0.1  # s: a registry that restarts is back after about that time
RETRY_MAX = 5.0  # s: the delay doubles up to this, so that front nodes don't overload a registry that is down
WATCH_TIMEOUT = 10.0  # s without a line after which a watch is broken: bookmarks come about once a second
HEALTH_OF_PHASE = {"Running": Health.ON, "Draining": Health.DRAINING, "Gone": Health.REMOVED}

# Endpoint, zone, kind, rack or pod group, health, relative size, and start (s on the front node's clock; 0:
# long ago).
EndpointEntry = tuple[Endpoint, int, int, int, Health, float, float]


class ListError(MalformedMessageError):
    """A list, an entry or an event can't be used; the endpoint list held so far stays valid."""


class RegistryFollower:
    """The endpoint list as the registry last reported it; each change is returned as entries for the core.

    kinds: index and role by name; zones, racks: names in the order of their indices. Engines with an unknown
    kind, zone or rack are skipped and recorded in `skipped`. An event with a version older than the one held
    is a replay and is ignored.
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
        self.versions: dict[str, int] = {}  # of each engine, by uid
        # Starts of engines, s on the front node's clock, by uid and reported start.
        self.started: dict[tuple[str, str], float] = {}
        self.skipped: dict[str, str] = {}  # reason by the text of each skipped item
        self.failures = 0  # in a row
        self.ages = EngineAges(warm_after)

    def apply_list(self, body: bytes, now: float, wall: float) -> list[EndpointEntry]:
        """Apply a whole list and return its entries.

        now: s on the front node's clock; wall: s since 1970. Raises ListError.
        """
        document = json_object(body)
        version = parse_version(document.get("metadata"))
        items = document.get("items")
        if not isinstance(items, list):
            raise ListError("the list has no items")
        if version < self.version:
            raise ListError(f"the list has version {version}, which is older than {self.version}")
        entries, versions, skipped = [], {}, {}
        self.ages.add_starts(filter(None, map(self.read_start, items)), now, wall)
        for item in items:
            try:
                uid, entry = self.read_entry(item, now)
                versions[uid] = parse_version(item.get("metadata"))
                entries.append(entry)
            except ListError as error:
                skipped[str(item)[:80]] = str(error)
        self.ages.first_list_applied = True
        self.version, self.versions, self.skipped = version, versions, skipped
        self.failures = 0
        return entries

    def apply_event(self, line: bytes, now: float, wall: float) -> list[EndpointEntry] | None:
        """Apply one line of a watch and return its entries.

        Returns None where the whole list has to be fetched again. Raises ListError.
        """
        event = json_object(line)
        event_type, item = event.get("type"), event.get("object")
        if event_type == "ERROR" or not isinstance(item, dict):
            code = item.get("code") if isinstance(item, dict) else None
            if event_type == "ERROR" and code == 410:
                self.version = 0
                return None
            raise ListError(f"the watch failed: {str(item)[:200]}")
        version = parse_version(item.get("metadata"))
        self.failures = 0
        if event_type == "BOOKMARK":
            self.version = max(self.version, version)
            return []
        if event_type not in ("ADDED", "MODIFIED", "DELETED"):
            raise ListError(f"the watch event has the unknown type {event_type!r}")
        self.ages.add_starts(filter(None, [self.read_start(item)]), now, wall)
        try:
            uid, entry = self.read_entry(item, now)
        except ListError as error:
            self.skipped[str(item)[:80]] = str(error)
            return []
        if version <= self.versions.get(uid, 0):
            # A watch that replays old events must not make a drained engine available again.
            return []
        self.versions[uid] = version
        self.version = max(self.version, version)
        if event_type == "DELETED":
            entry = (*entry[:4], Health.REMOVED, *entry[5:])
        return [entry]

    def read_start(self, item: Any) -> ReportedStart | None:
        """Return the start of that engine, or None if it is missing or malformed."""
        try:
            _, role = self.kinds[item["spec"]["kind"]]
            return ReportedStart(role, datetime.fromisoformat(item["status"]["startTime"]).timestamp())
        except (KeyError, TypeError, ValueError, OverflowError):
            return None

    def read_entry(self, item: Any, now: float) -> tuple[str, EndpointEntry]:
        """Return the uid and the entry of that engine. Raises ListError."""
        try:
            name = item["metadata"]["name"]
            uid = item["metadata"].get("uid") or name
            spec, status = item["spec"], item["status"]
            host, _, port = spec["address"].rpartition(":")
            kind_index, role = self.kinds[spec["kind"]]
            zone, rack = self.zones.index(spec["zone"]), self.racks.index(spec["rack"])
            size, health, start = (
                float(spec.get("size", 1.0)),
                HEALTH_OF_PHASE[status["phase"]],
                status["startTime"],
            )
            port_number, number = int(port), endpoint_number(uid)
            if (uid, start) not in self.started:
                # Cached by the reported start: a clock that is set must not make a running engine look new.
                reported = ReportedStart(role, datetime.fromisoformat(start).timestamp())
                self.started[uid, start] = self.ages.on_front_clock(reported, now)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise ListError(f"the engine can't be parsed: {error!r}") from None
        if not (host and 0 < port_number < 65536 and isfinite(size)):
            raise ListError("the engine's address or size is out of range")
        endpoint = self.endpoints.get(uid)
        if endpoint is None or (endpoint.address, endpoint.port, endpoint.role) != (host, port_number, role):
            endpoint = self.endpoints[uid] = Endpoint(number, name, role, host, port_number)
        return uid, (endpoint, zone, kind_index, rack, health, size, self.started[uid, start])

    def next_retry_delay(self) -> float:
        """Record a failed call and return the delay before the next one, s.

        The delay doubles with each failure in a row. It is randomized, so that front nodes don't all retry
        at the same time.
        """
        self.failures += 1
        max_delay: float = min(RETRY_BASE * 2 ** min(self.failures, 16), RETRY_MAX)
        return max_delay * (0.5 + self.random.random() / 2)


def endpoint_number(uid: str) -> int:
    """Return the number of an engine, a hash of its uid: the same at all front nodes."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=6).digest())


def parse_version(metadata: Any) -> int:
    """Return the resource version as a number. Raises ListError."""
    try:
        return int(metadata["resourceVersion"])
    except (KeyError, TypeError, ValueError):
        raise ListError("resourceVersion is missing or is not a number") from None


class LineSplitter:
    """Splits a stream of bytes into lines, without empty ones."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.rest = max_bytes, b""  # bytes; the start of a line that has not ended

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the lines that end in that data.

        Raises ListError if `max_bytes` have come without an end of line.
        """
        *lines, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > self.max_bytes:
            raise ListError("a line is longer than the limit")
        yield from (line for line in lines if line.strip())
