"""The state that a request's prefill attempts have left, or may still leave, at their engines."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from heathford.core.held_state import HeldStage, HeldState

if TYPE_CHECKING:
    from heathford.core.engine_attempt import EngineAttempt


class PrefillState:
    """The prefill state of one request. Its request sends and releases; nothing here does.

    transfer: the KV transfer parameters by which a decode engine finds the state, None while there is none.
    prefilled_at: s on the loop's clock at which the prefill attempt ended. held: the state that is followed,
    also while it is being released.
    """

    def __init__(self) -> None:
        self.transfer: Mapping[str, Any] | None = None
        self.prefilled_at = 0.0
        self.held: HeldState | None = None
        self.source: EngineAttempt | None = None  # the prefill attempt that left the waiting state
        self.released_source: EngineAttempt | None = None  # the same, once its state is released
        # The last prefill attempt whose state may be held after its release: the prefill may still succeed,
        # or a decode attempt may have kept the state.
        self.unclear_attempt: EngineAttempt | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether a state waits for a decode attempt, or for one in flight to begin to stream."""
        return self.source is not None

    def prefill_succeeded(self, attempt: "EngineAttempt", transfer: Mapping[str, Any], now: float) -> None:
        """Note the state that a successful prefill attempt has left."""
        self.source, self.transfer, self.prefilled_at = attempt, transfer, now
        self.held = attempt.hold_state()

    def engine_answered(self, now: float) -> None:
        """Restart the time limit of the held state: an engine itself has answered."""
        if self.held:
            self.held.since = now

    def state_fetched(self) -> None:
        """Note that the state is fetched: an attempt of the request has begun to stream."""
        self.released_source = None
        if self.held:
            self.held.end(HeldStage.FETCHED)

    def start_release(self) -> "EngineAttempt | None":
        """Return the prefill attempt whose state is to be released, and stop offering that state.

        That is the attempt whose state waits; otherwise the one released last, once more, as a decode attempt
        may have kept its state then.
        """
        self.released_source = self.source or self.released_source
        self.source = self.transfer = None
        return self.released_source

    def take_unclear_before(self, last: "EngineAttempt") -> "EngineAttempt | None":
        """Return and forget the prefill attempt whose state may be held; None if it is the last attempt."""
        attempt, self.unclear_attempt = self.unclear_attempt, None
        return None if attempt is last else attempt

    def forget_attempts(self) -> None:
        """Let go of all attempts: the request is over, and nothing is released for it any more."""
        self.source = self.released_source = self.unclear_attempt = None
