"""What of a completion is kept across a restart, and what a repeat gets after one; no I/O.

Before a completion that must not run twice is first dispatched, it is on disk that it may run. After a
restart a repeat of one that had ended gets the same final answer; one that was out may have run, and is
aborted with that reason. What may run again is kept only once it has finished, so that a repeat gets its
answer without running it.
"""

from collections.abc import Mapping
from typing import Any

import orjson

from heathford.identity.shared import Shared
from heathford.interface import Effect

SPACE = "identity"
CUT_OFF = "its front was cut off while it was out: it may have run"
LONGEST = 1 << 20  # bytes of a final answer that is kept; a longer one is kept as an abort that says so
TOO_LONG = "it finished, but its answer was too long to be kept"


def key_of(member: int, mark: str) -> bytes:
    return b"%d/" % member + mark.encode("utf-8", "surrogatepass")


def member_and_mark(key: bytes) -> tuple[int, str]:
    member, _, mark = key.partition(b"/")
    return int(member), mark.decode("utf-8", "surrogatepass")


def needs_promise(effect: Effect) -> bool:
    """Whether it must be on disk that it may run before it does."""
    return effect is not Effect.IDEMPOTENT


def out(digest: bytes, effect: Effect) -> bytes:
    return orjson.dumps({"body": digest.hex(), "effect": effect.value, "final": "out"})


def ended(digest: bytes, effect: Effect, shared: Shared) -> bytes:
    """Of one that has its final answer."""
    text = "".join(shared.parts)
    final = dict(shared.told)
    if len(text) > LONGEST:
        text, final = "", {"final": "aborted", "why": TOO_LONG}
    return orjson.dumps(
        {"body": digest.hex(), "effect": effect.value, "name": shared.name, "text": text, **final}
    )


def restored(value: bytes) -> tuple[bytes, Effect, Shared]:
    """Digest, effect and the completion as a repeat hears it; raises ValueError where it can't be read."""
    said: Mapping[str, Any] = orjson.loads(value)
    try:
        digest, effect = bytes.fromhex(said["body"]), Effect(said["effect"])
        shared = Shared()
        shared.name = said.get("name", "")
        if said["final"] == "finished":
            shared.parts = [said["text"]] if said["text"] else []
            shared.finished(said["reason"], said["usage"])
        elif said["final"] == "aborted":
            shared.parts = [said["text"]] if said["text"] else []
            shared.aborted(said["why"])
        else:
            shared.aborted(CUT_OFF)
    except (KeyError, TypeError) as problem:
        raise ValueError(f"no kept completion: {problem!r}") from None
    return digest, effect, shared
