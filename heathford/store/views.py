"""In-memory index of the store: immutable views on persistent maps; no I/O."""

from bisect import bisect_left
from collections.abc import Iterable, Iterator
from typing import Any

from pyrsistent import PMap, pmap

from heathford.store.format import Change

Entry = tuple[bytes, float | None]  # value, and the store time (s; never runs backwards) at which it expires
EMPTY: PMap[bytes, Entry] = pmap()


class ViewBuilder:
    """Collects records in plain dicts during recovery and builds one view from them at the end."""

    def __init__(self) -> None:
        self.spaces: dict[str, dict[bytes, Entry]] = {}
        self.sequence, self.time = 0, 0.0

    def apply(self, changes: Iterable[Change], sequence: int, time: float) -> None:
        self.sequence, self.time = sequence, max(self.time, time)
        for change in changes:
            space = self.spaces.setdefault(change.space, {})
            if change.value is None:
                space.pop(change.key, None)
            else:
                space[change.key] = (change.value, change.expires_at)

    def build(self) -> "View":
        return View(
            pmap({name: pmap(space) for name, space in self.spaces.items() if space}),
            self.sequence,
            self.time,
        )


class View:
    """Immutable content of the store up to a sequence number; the next view shares all that did not change.

    Where methods take `now`, it is the store time in s.
    """

    __slots__ = ("ordered_keys", "sequence", "spaces", "time")

    def __init__(
        self, spaces: PMap[str, PMap[bytes, Entry]] | None = None, sequence: int = 0, time: float = 0.0
    ) -> None:
        self.spaces: PMap[str, PMap[bytes, Entry]] = pmap() if spaces is None else spaces
        self.sequence, self.time = sequence, time
        self.ordered_keys: dict[str, list[bytes]] = {}  # sorted keys of the namespaces that were scanned

    def with_changes(self, changes: Iterable[Change], sequence: int, time: float) -> "View":
        edited: dict[str, Any] = {}
        for change in changes:
            if change.space not in edited:
                edited[change.space] = self.spaces.get(change.space, EMPTY).evolver()
            space = edited[change.space]
            if change.value is not None:
                space[change.key] = (change.value, change.expires_at)
            elif change.key in space:
                del space[change.key]
        spaces: Any = self.spaces.evolver()
        for name, space in edited.items():
            entries = space.persistent()
            if entries:
                spaces[name] = entries
            elif name in self.spaces:
                del spaces[name]
        return View(spaces.persistent(), sequence, max(self.time, time))

    def get(self, space: str, key: bytes, now: float) -> bytes | None:
        entry = self.spaces.get(space, EMPTY).get(key)
        return None if entry is None or is_expired(entry, now) else entry[0]

    def scan(
        self, space: str, now: float, start_key: bytes = b"", prefix: bytes = b""
    ) -> Iterator[tuple[bytes, bytes]]:
        """Yield unexpired entries whose key has the prefix, in the order of keys, from `start_key` on."""
        entries = self.spaces.get(space)
        if entries is None:
            return
        if space not in self.ordered_keys:
            self.ordered_keys[space] = sorted(entries)
        keys = self.ordered_keys[space]
        for index in range(bisect_left(keys, max(start_key, prefix)), len(keys)):
            key = keys[index]
            if not key.startswith(prefix):
                return
            if not is_expired(entries[key], now):
                yield key, entries[key][0]

    def entries(self) -> Iterator[tuple[str, bytes, Entry]]:
        """Yield all entries, expired ones too, in no particular order.

        Sorting them would block the event loop when a snapshot is started.
        """
        for space in sorted(self.spaces):
            for key, entry in self.spaces[space].items():
                yield space, key, entry

    def expired_deletions(self, now: float, limit: int) -> list[Change]:
        """Return deletions of expired entries, `limit` at most."""
        deletions: list[Change] = []
        for space in sorted(self.spaces):
            for key, entry in self.spaces[space].items():
                if is_expired(entry, now):
                    deletions.append(Change(space, key, None))
                    if len(deletions) >= limit:
                        return deletions
        return deletions

    def __len__(self) -> int:
        return sum(len(space) for space in self.spaces.values())


def is_expired(entry: Entry, now: float) -> bool:
    return entry[1] is not None and entry[1] <= now
