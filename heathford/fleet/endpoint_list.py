"""Parse the platform's endpoint list, whole lists and changes, into entries for the core; no I/O."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Any

from heathford.core.protocols import Endpoint
from heathford.fleet.engine_ages import EngineAges, ReportedStart
from heathford.fleet.list_watch import ListError, EndpointEntry, endpoint_number
from heathford.interface import Health, Role
from heathford.wire.http1 import json_object

HEALTH_OF_STATE = {"SERVING": Health.ON, "DRAINING": Health.DRAINING, "DELETED": Health.REMOVED}
MAX_LIST_BYTES = 4_194_304  # a list of thousands of engines
MAX_REMOVED = 4_096  # removed engines remembered in case discovery goes back in time: more than a list has
HEALTH_ORDER = (Health.ON, Health.DRAINING, Health.REMOVED)  # from the healthiest


@dataclass(frozen=True)
class Start:
    """The start of an engine, as reported and converted."""

    boot_ms: int  # ms since 1970, as reported; 0: long ago
    at: float  # s on the front node's clock; 0: long ago


LONG_AGO = Start(0, 0.0)


class EndpointList:
    """The endpoint list as discovery last reported it.

    kinds: index and role by name; zones: names in the order of their indices; warm_after: s after its start
    from which an engine is warm.

    An entry that can't be parsed is skipped and recorded in `skipped`. A change with a version older than the
    one held is a replay and is ignored. A whole list with an older version that answers a call means that
    discovery has gone back to an earlier state, as after a restart or at another address. It is applied, but
    until discovery reaches the newest version again, no engine that was drained or removed counts as serving.
    """

    def __init__(
        self, kinds: Mapping[str, tuple[int, Role]], zones: Sequence[str], warm_after: float = 0.0
    ) -> None:
        self.kinds, self.zones = kinds, {zone: index for index, zone in enumerate(zones)}
        self.version = -1
        self.newest_version = -1  # the highest version seen; above `version` while discovery has gone back
        self.removed_starts: dict[str, Start] = {}  # starts of engines removed from the list, by uid
        self.entries: dict[str, EndpointEntry] = {}  # by uid
        self.starts: dict[str, Start] = {}  # of the engines in `entries`, by uid
        self.skipped: dict[str, str] = {}  # reason by the text of each entry that the last object skipped
        self.ages = EngineAges(warm_after)

    def apply(
        self, body: bytes, now: float, wall: float, is_response: bool = False
    ) -> tuple[bool, list[EndpointEntry]] | None:
        """Parse and apply one JSON object; see `apply_object`."""
        return self.apply_object(json_object(body), now, wall, is_response)

    def apply_object(
        self, message: Mapping[str, Any], now: float, wall: float, is_response: bool = False
    ) -> tuple[bool, list[EndpointEntry]] | None:
        """Apply a whole list or a change.

        Returns whether it is a whole list, and its entries; None where it is older than the one held.
        is_response: it answers a call for the whole list. now: s on the front node's clock; wall: s since
        1970. Raises ListError.
        """
        version, complete, targets = message.get("rev"), message.get("all"), message.get("targets")
        if not isinstance(version, int) or not isinstance(complete, bool) or not isinstance(targets, list):
            raise ListError("rev, all or targets is missing or has the wrong type")
        if is_response and not complete:
            raise ListError("the call for the whole list was answered with a change")
        if version < self.version and not is_response:
            # A replayed change must not make a drained engine available again.
            return None
        entries: list[EndpointEntry] = []
        present: dict[str, None] = {}
        has_unnamed = False
        self.skipped = {}
        self.ages.add_starts(filter(None, map(self.read_start, targets)), now, wall)
        for target in targets:
            previous = self.find_previous(target)
            try:
                uid, entry = self.read_entry(target, now)
            except ListError as error:
                self.skipped[str(target)[:80]] = str(error)
                has_unnamed = has_unnamed or not (
                    isinstance(target, dict) and isinstance(target.get("uid"), str)
                )
                fallback = self.find_fallback(target)
                if fallback is None:
                    continue
                uid, entry = fallback
            if version < self.newest_version:
                entry = self.limit_health(uid, entry, previous)
            present[uid] = None
            entries.append(entry)
            self.entries[uid] = entry
            if entry[4] is Health.REMOVED:
                self.forget(uid)
        # If an entry has no readable uid, any engine that seems to be missing may be the one it stands for.
        complete = complete and not has_unnamed
        if complete:
            for uid in [uid for uid in self.entries if uid not in present]:
                self.forget(uid)
            self.ages.first_list_applied = self.ages.first_list_applied or is_response
        self.version, self.newest_version = version, max(version, self.newest_version)
        return complete, entries

    def find_previous(self, target: Any) -> tuple[EndpointEntry, int] | None:
        """Return the present entry of that engine and its reported start in ms, if it is known."""
        uid = target.get("uid") if isinstance(target, dict) else None
        if not isinstance(uid, str) or uid not in self.entries:
            return None
        return self.entries[uid], self.starts[uid].boot_ms

    def limit_health(
        self, uid: str, entry: EndpointEntry, previous: tuple[EndpointEntry, int] | None
    ) -> EndpointEntry:
        """Return the entry with a health no better than the one known for the same process.

        An older list may name an engine as serving although its drain or removal has been reported; it must
        get no new requests. The cost: a drain that was cancelled while discovery was restored stays in effect
        until discovery reaches the newest version again.
        """
        boot_ms, health = self.starts[uid].boot_ms, entry[4]
        if previous and boot_ms < previous[1]:
            self.starts[uid] = Start(previous[1], previous[0][6])
            return previous[0]
        if previous and boot_ms == previous[1]:
            health = max(health, previous[0][4], key=HEALTH_ORDER.index)
        elif not previous and uid in self.removed_starts and boot_ms <= self.removed_starts[uid].boot_ms:
            health = Health.REMOVED
        return (*entry[:4], health, *entry[5:])

    def find_fallback(self, target: Any) -> tuple[str, EndpointEntry] | None:
        """Return the uid and entry to use for a known engine whose new entry can't be parsed.

        It is the present entry, with the new state where that can be parsed: a drain has to take effect. The
        cost: if it is the address that can't be parsed, requests still go to the old one.
        """
        uid = target.get("uid") if isinstance(target, dict) else None
        if not isinstance(uid, str) or uid not in self.entries:
            return None
        entry, state = self.entries[uid], target.get("state")
        health = HEALTH_OF_STATE.get(state, entry[4]) if isinstance(state, str) else entry[4]
        return uid, (*entry[:4], health, *entry[5:])

    def serving_endpoints(self, zone: int) -> tuple[list[Endpoint], list[Endpoint]]:
        """Return the engines that are serving, in that zone and in the other zones."""
        on = [entry for entry in self.entries.values() if entry[4] is Health.ON]
        return [entry[0] for entry in on if entry[1] == zone], [entry[0] for entry in on if entry[1] != zone]

    def read_start(self, target: Any) -> ReportedStart | None:
        """Return the start of that engine, or None if it is missing or malformed."""
        if not isinstance(target, dict):
            return None
        boot_ms, model = target.get("boot_ms"), target.get("model")
        if not isinstance(boot_ms, int) or not isinstance(model, str) or model not in self.kinds:
            return None
        return ReportedStart(self.kinds[model][1], boot_ms / 1000)

    def forget(self, uid: str) -> None:
        """Remove that engine from the list, and remember its start."""
        self.entries.pop(uid, None)
        self.removed_starts.pop(uid, None)
        self.removed_starts[uid] = self.starts.pop(uid, LONG_AGO)
        if len(self.removed_starts) > MAX_REMOVED:
            del self.removed_starts[next(iter(self.removed_starts))]

    def read_entry(self, target: Any, now: float) -> tuple[str, EndpointEntry]:
        """Return the uid and the entry of that engine. Raises ListError."""
        try:
            uid, boot_ms = target["uid"], int(target.get("boot_ms") or 0)
            host, _, port = target["endpoint"].rpartition(":")
            kind, role = self.kinds[target["model"]]
            # A deployment without zones or pod groups names none: all engines are in the first.
            zone = self.zones[target["az"]] if target.get("az") else 0
            health, group = HEALTH_OF_STATE[target["state"]], int(target.get("pod_group") or 0)
            size = float(1.0 if target.get("capacity_hint") is None else target["capacity_hint"])
            port_number, number = int(port), endpoint_number(uid)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise ListError(f"the engine can't be parsed: {error!r}") from None
        if not (host and 0 < port_number < 65536 and isfinite(size)):
            raise ListError("the engine's endpoint or capacity_hint is out of range")
        endpoint = self.entries[uid][0] if uid in self.entries else None
        if endpoint is None or (endpoint.address, endpoint.port, endpoint.role) != (host, port_number, role):
            endpoint = Endpoint(number, uid, role, host, port_number)
        start = self.find_start(uid, boot_ms, role, now)
        return uid, (endpoint, zone, kind, group, health, size, start.at)

    def find_start(self, uid: str, boot_ms: int, role: Role, now: float) -> Start:
        """Return the start of that engine: the known one, unless another start is reported now.

        A running engine must not look new because a clock was set, or because it is back on the list.
        """
        start = self.starts.get(uid) or self.removed_starts.get(uid)
        if start is None or start.boot_ms != boot_ms:
            start = Start(boot_ms, self.ages.on_front_clock(ReportedStart(role, boot_ms / 1000), now))
        self.starts[uid] = start
        return start
