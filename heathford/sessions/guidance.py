"""What a client is told of trying again, the same on both protocols since version 2; no I/O."""

from enum import Enum

from heathford.interface import Effect
from heathford.sessions.versions import BEFORE


class Retry(Enum):
    """Where a new try does no harm, with the key of the first."""

    ANYWHERE = "anywhere"
    HERE = "here"  # at this front alone: only it knows what is out
    NEVER = "never"


def told(retry: Retry, version: int) -> dict[str, str]:
    """The field that says it, in the versions that have it."""
    return {"retry": retry.value} if version > BEFORE else {}


def after_refusal() -> Retry:
    return Retry.ANYWHERE


def after_abort(effect: Effect) -> Retry:
    """Of one that ended without an answer: it may have run. What this front remembers of one that must not
    run twice is this abort, and other fronts know nothing of it."""
    return Retry.ANYWHERE if effect is Effect.IDEMPOTENT else Retry.NEVER


def still_out() -> Retry:
    """Of a repeat whose own time is over while the first goes on."""
    return Retry.HERE
