"""A limit on the memory that all client connections take together; no I/O."""

from dataclasses import dataclass


@dataclass
class MemoryBudget:
    """Bytes that requests and answers of all connections may take, and those that they take now."""

    max_bytes: int
    used_bytes: int = 0

    def has_room(self, size: int = 0, share: float = 1.0) -> bool:
        """Return whether `size` more bytes fit into that share of the budget."""
        return self.used_bytes + size <= self.max_bytes * share


class MemoryCharge:
    """What one user of a budget takes of it."""

    __slots__ = ("budget", "size")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.size = 0

    def set(self, size: int) -> None:
        """Take that many bytes in all, instead of those taken before."""
        self.budget.used_bytes += size - self.size
        self.size = size
