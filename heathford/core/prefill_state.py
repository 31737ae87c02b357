"""What a request's prefill attempts have left at their engines, and which may still leave something."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from heathford.core.held_state import HeldStage, HeldState

if TYPE_CHECKING:
    from heathford.core.engine_attempt import EngineAttempt


class PrefillState:
    """Of one request. Nothing here sends or releases: its request does.

    transfer: what a decode engine is told to find the state, None while there is none. read_at: s on the
    loop's clock at which it was left. held: the state that is followed, also while it is being released.
    """

    def __init__(self) -> None:
        self.transfer: Mapping[str, Any] | None = None
        self.read_at = 0.0
        self.held: HeldState | None = None
        self.left_by: EngineAttempt | None = None  # the prefill attempt that left the state which waits now
        self.released_from: EngineAttempt | None = None  # the same, once its state was released
        self.unclear: EngineAttempt | None = None  # the last that may end well after its release

    @property
    def waits(self) -> bool:
        """A state waits for a decode attempt, or for one that is out to begin."""
        return self.left_by is not None

    def was_left(self, attempt: "EngineAttempt", transfer: Mapping[str, Any], now: float) -> None:
        """A prefill attempt has ended well."""
        self.left_by, self.transfer, self.read_at = attempt, transfer, now
        self.held = attempt.hold_state()

    def engine_answered(self, now: float) -> None:
        """The limit counts anew from what an engine itself has told."""
        if self.held:
            self.held.since = now

    def was_taken(self) -> None:
        """An attempt of the request has begun to stream."""
        self.released_from = None
        if self.held:
            self.held.end(HeldStage.TAKEN)

    def to_release(self) -> "EngineAttempt | None":
        """The prefill attempt whose state is released from now on: the one that waits, or once more the one
        that was released last, for what an attempt may have kept then."""
        self.released_from = self.left_by or self.released_from
        self.left_by = self.transfer = None
        return self.released_from

    def unclear_before(self, last: "EngineAttempt") -> "EngineAttempt | None":
        """The prefill attempt that ended unclear and that others followed, up to the last one; told once."""
        attempt, self.unclear = self.unclear, None
        return None if attempt is last else attempt
