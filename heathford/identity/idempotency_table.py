"""Completions known by member and key, while they are out and for a while after; no I/O.

A repeat of one that is out joins it. A repeat of one that ended gets the same final answer, for `keep`
seconds. The same key with another body is a mistake of the client's. Bounded: `most` completions are
remembered; when there is no room, what has ended is forgotten, first what may run again, last what must not.
"""

from enum import Enum

from heathford.identity.shared_request import SharedRequest
from heathford.interface import Effect

# In which order ended completions are forgotten: the later, the more a forgotten one could harm.
FORGOTTEN = (Effect.IDEMPOTENT, Effect.IDEMPOTENCY_KEYED, Effect.NON_IDEMPOTENT)


class LookupResult(Enum):
    NEW = "new"
    IN_PROGRESS = "out"
    ENDED = "ended"
    CONFLICT = "conflict"
    TABLE_FULL = "no room"  # to remember it: all that is remembered is out


class IdempotencyTable:
    """keep: s for which a final answer is given again."""

    def __init__(self, most: int, keep: float) -> None:
        self.most, self.keep = most, keep
        self.known: dict[tuple[int, str], tuple[bytes, Effect, SharedRequest]] = {}
        self.ended: dict[Effect, dict[tuple[int, str], float]] = {effect: {} for effect in FORGOTTEN}
        self.repeats = 0  # those that joined or got an answer again

    def look_up(
        self, member: int, key: str, body: bytes, now: float
    ) -> tuple[LookupResult, SharedRequest | None]:
        """What is known of a completion; body: a digest of what was asked."""
        self.forget(now)
        found = self.known.get((member, key))
        if found is None:
            return (LookupResult.NEW if self.make_room() else LookupResult.TABLE_FULL), None
        digest, _, shared = found
        if digest != body:
            return LookupResult.CONFLICT, None
        self.repeats += 1
        return (LookupResult.ENDED if shared.over else LookupResult.IN_PROGRESS), shared

    def add(self, member: int, key: str, body: bytes, effect: Effect, shared: SharedRequest) -> None:
        self.known[member, key] = body, effect, shared

    def mark_ended(self, member: int, key: str, now: float) -> None:
        """Its final answer is there."""
        found = self.known.get((member, key))
        if found:
            self.ended[found[1]][member, key] = now + self.keep

    def restore(
        self, member: int, key: str, body: bytes, effect: Effect, shared: SharedRequest, until: float
    ) -> None:
        """One that an earlier start has kept; in the order of `until`."""
        if self.make_room():
            self.known[member, key] = body, effect, shared
            self.ended[effect][member, key] = until

    def remove(self, member: int, key: str) -> None:
        """Nothing is out of it any more and it may run again: a repeat is a new one."""
        found = self.known.pop((member, key), None)
        if found:
            self.ended[found[1]].pop((member, key), None)

    def forget(self, now: float) -> None:
        for table in self.ended.values():
            while table:
                name, until = next(iter(table.items()))
                if until > now:
                    break
                del table[name]
                self.known.pop(name, None)

    def make_room(self) -> bool:
        if len(self.known) < self.most:
            return True
        for effect in FORGOTTEN:
            if self.ended[effect]:
                name = next(iter(self.ended[effect]))
                del self.ended[effect][name]
                self.known.pop(name, None)
                return True
        return False
