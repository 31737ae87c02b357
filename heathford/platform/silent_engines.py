"""Tracks which engines have left releases unanswered lately, for all releases of a process; no I/O."""

from collections.abc import Callable
from dataclasses import dataclass

from heathford.engines.pools import Address
from heathford.platform.release_schedule import MAX_ROUND_INTERVAL

SILENT_AFTER = MAX_ROUND_INTERVAL  # s without an answer to a release, until other engines are asked instead
PROBE_INTERVAL = 1.0  # s after the last release to a silent engine until another one tests it again
CLEANUP_THRESHOLD = 512  # entries from which on expired ones are removed


@dataclass
class UnansweredReleases:
    """When the first and the last of an engine's unanswered releases were sent, in s on the loop's clock."""

    first_at: float
    last_at: float


class SilentEngines:
    """Shares among all releases of a process which engines do not answer.

    If each release had to detect silent engines itself, many held states would each cause calls to many
    engines, which keeps slow engines from catching up. Instead one release now and then tests a silent
    engine, and its answer counts for all.

    last_received_at: returns when anything was last received from an address, in s on the loop's clock, or
    -inf.
    """

    def __init__(self, last_received_at: Callable[[Address], float]) -> None:
        self.last_received_at = last_received_at
        self.unanswered: dict[Address, UnansweredReleases] = {}

    def __len__(self) -> int:
        """Return the number of engines with unanswered releases."""
        return len(self.unanswered)

    def record_request(self, address: Address, now: float) -> None:
        """Record that a release is being sent to that address."""
        if len(self.unanswered) >= CLEANUP_THRESHOLD:
            self.unanswered = {a: u for a, u in self.unanswered.items() if now - u.last_at < PROBE_INTERVAL}
        releases = self.unanswered.get(address)
        if releases is None or self.last_received_at(address) >= releases.first_at:
            self.unanswered[address] = UnansweredReleases(now, now)
        else:
            releases.last_at = now

    def record_answer(self, address: Address) -> None:
        """Record that the engine answered, with whatever status, or that nothing was sent to it after all."""
        self.unanswered.pop(address, None)

    def is_silent(self, address: Address, now: float) -> bool:
        """Return whether another engine should be asked instead."""
        releases = self.unanswered.get(address)
        if releases is None or self.last_received_at(address) >= releases.first_at:
            return False
        return now - releases.first_at >= SILENT_AFTER and now - releases.last_at < PROBE_INTERVAL
