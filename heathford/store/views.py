"""The index: persistent maps, so that a view stays as it was while changes go on; no I/O."""

from bisect import bisect_left
from collections.abc import Iterable, Iterator
from typing import Any

from pyrsistent import PMap, pmap

from heathford.store.format import Change

Entry = tuple[bytes, float | None]  # value, and s of store time until it is gone
EMPTY: PMap[bytes, Entry] = pmap()


class ViewBuilder:
    """A view in the making, at recovery: plain dicts, made persistent once all is read."""

    def __init__(self) -> None:
        self.spaces: dict[str, dict[bytes, Entry]] = {}
        self.sequence, self.time = 0, 0.0

    def take(self, changes: Iterable[Change], sequence: int, time: float) -> None:
        self.sequence, self.time = sequence, max(self.time, time)
        for change in changes:
            space = self.spaces.setdefault(change.space, {})
            if change.value is None:
                space.pop(change.key, None)
            else:
                space[change.key] = (change.value, change.until)

    def build(self) -> "View":
        return View(
            pmap({name: pmap(space) for name, space in self.spaces.items() if space}),
            self.sequence,
            self.time,
        )


class View:
    """The store's content after one record. Making the next shares all but what changed."""

    __slots__ = ("keys", "sequence", "spaces", "time")

    def __init__(
        self, spaces: PMap[str, PMap[bytes, Entry]] | None = None, sequence: int = 0, time: float = 0.0
    ) -> None:
        self.spaces: PMap[str, PMap[bytes, Entry]] = pmap() if spaces is None else spaces
        self.sequence, self.time = sequence, time
        self.keys: dict[str, list[bytes]] = {}  # in order, of spaces that were scanned

    def with_changes(self, changes: Iterable[Change], sequence: int, time: float) -> "View":
        edited: dict[str, Any] = {}
        for change in changes:
            if change.space not in edited:
                edited[change.space] = self.spaces.get(change.space, EMPTY).evolver()
            space = edited[change.space]
            if change.value is not None:
                space[change.key] = (change.value, change.until)
            elif change.key in space:
                del space[change.key]
        spaces: Any = self.spaces.evolver()
        for name, space in edited.items():
            whole = space.persistent()
            if whole:
                spaces[name] = whole
            elif name in self.spaces:
                del spaces[name]
        return View(spaces.persistent(), sequence, max(self.time, time))

    def get(self, space: str, key: bytes, now: float) -> bytes | None:
        entry = self.spaces.get(space, EMPTY).get(key)
        return None if entry is None or is_over(entry, now) else entry[0]

    def scan(
        self, space: str, now: float, begin: bytes = b"", prefix: bytes = b""
    ) -> Iterator[tuple[bytes, bytes]]:
        """In the order of keys, from `begin`, those with the prefix."""
        entries = self.spaces.get(space)
        if entries is None:
            return
        if space not in self.keys:
            self.keys[space] = sorted(entries)
        keys = self.keys[space]
        for place in range(bisect_left(keys, max(begin, prefix)), len(keys)):
            key = keys[place]
            if not key.startswith(prefix):
                return
            if not is_over(entries[key], now):
                yield key, entries[key][0]

    def entries(self) -> Iterator[tuple[str, bytes, Entry]]:
        """All, in no order that means anything: to sort them would hold the loop while a snapshot begins."""
        for space in sorted(self.spaces):
            for key, entry in self.spaces[space].items():
                yield space, key, entry

    def over(self, now: float, most: int) -> list[Change]:
        """Deletions of what has expired, at most so many."""
        found: list[Change] = []
        for space in sorted(self.spaces):
            for key, entry in self.spaces[space].items():
                if is_over(entry, now):
                    found.append(Change(space, key, None))
                    if len(found) >= most:
                        return found
        return found

    def __len__(self) -> int:
        return sum(len(space) for space in self.spaces.values())


def is_over(entry: Entry, now: float) -> bool:
    return entry[1] is not None and entry[1] <= now
