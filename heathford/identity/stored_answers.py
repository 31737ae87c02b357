"""What of a completion is kept across a restart, and what a repeat gets after one; no I/O.

Before a completion that must not run twice is first dispatched, it is on disk that it may run. After a
restart a repeat of one that had ended gets the same final answer; one that was out may have run, and is
aborted with that reason. What may run again is kept only once it has finished, so that a repeat gets its
answer without running it.
"""

from collections.abc import Mapping
from typing import Any

import orjson

from heathford.identity.shared_request import SharedRequest
from heathford.interface import Effect

SPACE = "identity"
MAY_HAVE_RUN = "its front was cut off while it was out: it may have run"
MAX_ANSWER_CHARS = (
    1 << 20
)  # bytes of a final answer that is kept; a longer one is kept as an abort that says so
ANSWER_TOO_LONG = "it finished, but its answer was too long to be kept"


def store_key(member: int, mark: str) -> bytes:
    return b"%d/" % member + mark.encode("utf-8", "surrogatepass")


def parse_store_key(key: bytes) -> tuple[int, str]:
    member, _, mark = key.partition(b"/")
    return int(member), mark.decode("utf-8", "surrogatepass")


def must_be_stored_first(effect: Effect) -> bool:
    """Whether it must be on disk that it may run before it does."""
    return effect is not Effect.IDEMPOTENT


def encode_in_progress(digest: bytes, effect: Effect) -> bytes:
    return orjson.dumps({"body": digest.hex(), "effect": effect.value, "final": "out"})


def encode_final(digest: bytes, effect: Effect, shared: SharedRequest) -> bytes:
    """Of one that has its final answer."""
    text = "".join(shared.parts)
    final = dict(shared.final_fields)
    if len(text) > MAX_ANSWER_CHARS:
        text, final = "", {"final": "aborted", "why": ANSWER_TOO_LONG}
    return orjson.dumps(
        {"body": digest.hex(), "effect": effect.value, "name": shared.name, "text": text, **final}
    )


def decode_record(value: bytes) -> tuple[bytes, Effect, SharedRequest]:
    """Digest, effect and the completion as a repeat hears it; raises ValueError where it can't be read."""
    said: Mapping[str, Any] = orjson.loads(value)
    try:
        digest, effect = bytes.fromhex(said["body"]), Effect(said["effect"])
        shared = SharedRequest()
        shared.name = said.get("name", "")
        if said["final"] == "finished":
            shared.parts = [said["text"]] if said["text"] else []
            shared.finished(said["reason"], said["usage"])
        elif said["final"] == "aborted":
            shared.parts = [said["text"]] if said["text"] else []
            shared.aborted(said["why"])
        else:
            shared.aborted(MAY_HAVE_RUN)
    except (KeyError, TypeError) as problem:
        raise ValueError(f"no kept completion: {problem!r}") from None
    return digest, effect, shared
