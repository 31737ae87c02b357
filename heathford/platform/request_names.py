"""Which names (X-Call-Id) a further request may not have; no I/O.

Engines know attempts, and the state that they leave, by the name of their request.
"""

from heathford.wire.memory_budget import MemoryBudget, MemoryCharge

# s for which a name is known after its request: longer than the deadlines and the windows for repeats in use.
# A client that sends the same request again does so within this time.
USED_NAME_TIME = 60.0
USED_NAME_BYTES = 256  # of memory: the longest name and its place in the table
USED_NAMES_SHARE = 0.125  # of the memory budget, at most
MAX_USED_NAMES = 16_384


class RequestNames:
    """The names of open requests, and of those that must not come again."""

    def __init__(self, memory: MemoryBudget) -> None:
        self.memory = memory
        self.charge = MemoryCharge(memory)
        self.open: dict[str, None] = {}
        self.used: dict[str, float] = {}  # until when, in s on the event loop's clock; the first ones first

    def is_taken(self, name: str, now: float) -> bool:
        """Return whether a request under that name has to be refused."""
        return name in self.open or self.used.get(name, now) > now

    def request_opened(self, name: str) -> None:
        """Note a request that was accepted."""
        self.open[name] = None

    def request_removed(self, name: str, forbids_repeat: bool, now: float) -> None:
        """Note that a request is over and no attempt of it is out.

        forbids_repeat: see `RequestLifecycle`.
        """
        self.open.pop(name, None)
        if forbids_repeat:
            self.used.pop(name, None)
            self.used[name] = now + USED_NAME_TIME
        self.forget_used(now)

    def forget_used(self, now: float) -> None:
        """Forget names whose time is over, and the first ones of too many."""
        while self.used:
            first, until = next(iter(self.used.items()))
            if until > now and len(self.used) <= self.max_used:
                break
            del self.used[first]
        self.charge.set(len(self.used) * USED_NAME_BYTES)

    @property
    def max_used(self) -> int:
        """How many names of earlier requests are known at most."""
        return min(MAX_USED_NAMES, int(USED_NAMES_SHARE * self.memory.max_bytes / USED_NAME_BYTES))
