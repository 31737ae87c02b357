"""Guidance for clients on repeating a request, over WebSocket and HTTP, since version 2. Does no I/O."""

from enum import Enum

from heathford.interface import Effect
from heathford.sessions.versions import PREVIOUS_VERSION


class Retry(Enum):
    """Where a repeat with the same idempotency key is safe."""

    ANYWHERE = "anywhere"
    HERE = "here"  # only at this front node, as only it knows the request in progress
    NEVER = "never"


def retry_field(retry: Retry, version: int) -> dict[str, str]:
    """Return the guidance as a field, or no field in version 1."""
    return {"retry": retry.value} if version > PREVIOUS_VERSION else {}


def retry_after_rate_limit() -> Retry:
    """Return the guidance for a rate-limited request: nothing of it has run."""
    return Retry.ANYWHERE


def retry_after_abort(effect: Effect) -> Retry:
    """Return the guidance for an aborted request, which may have run.

    A request that must not run twice can't be repeated: this front node would answer with the same abort, and
    other front nodes don't know the request.
    """
    return Retry.ANYWHERE if effect is Effect.IDEMPOTENT else Retry.NEVER


def retry_while_in_progress() -> Retry:
    """Return the guidance for a repeat that timed out while the request itself is still in progress."""
    return Retry.HERE
