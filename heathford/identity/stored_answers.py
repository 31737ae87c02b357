"""Encode and decode the records of requests with an idempotency key in the store; no I/O.

A request that must not run twice (any effect but idempotent) is recorded on disk before its first attempt.
After a restart, a repeat of a request that had ended gets the same final answer. A request that was in
progress may have run, and its repeat is aborted with that reason. Idempotent requests are recorded only once
they have finished, so that a repeat gets the answer without another run.
"""

from collections.abc import Mapping
from typing import Any

import orjson

from heathford.identity.shared_request import SharedRequest
from heathford.interface import Effect

SPACE = "identity"  # the namespace in the store
# The abort reason that a repeat receives if the front node ended while the request was in progress.
MAY_HAVE_RUN = "its front was cut off while it was out: it may have run"
MAX_ANSWER_CHARS = 1 << 20  # a longer answer is stored as an abort with ANSWER_TOO_LONG
ANSWER_TOO_LONG = "it finished, but its answer was too long to be kept"


def store_key(tenant: int, idempotency_key: str) -> bytes:
    """Return the store key of a request."""
    return b"%d/" % tenant + idempotency_key.encode("utf-8", "surrogatepass")


def parse_store_key(key: bytes) -> tuple[int, str]:
    """Return the tenant and the idempotency key."""
    tenant, _, idempotency_key = key.partition(b"/")
    return int(tenant), idempotency_key.decode("utf-8", "surrogatepass")


def must_be_stored_first(effect: Effect) -> bool:
    """Return whether a request with that effect has to be recorded on disk before its first attempt."""
    return effect is not Effect.IDEMPOTENT


def encode_in_progress(digest: bytes, effect: Effect) -> bytes:
    """Return the record of a request that may run. digest: of the request body."""
    return orjson.dumps({"body": digest.hex(), "effect": effect.value, "final": "out"})


def encode_final(digest: bytes, effect: Effect, shared: SharedRequest) -> bytes:
    """Return the record of a request that has its final answer. digest: of the request body."""
    text = "".join(shared.parts)
    outcome = dict(shared.final_fields)
    if len(text) > MAX_ANSWER_CHARS:
        text, outcome = "", {"final": "aborted", "why": ANSWER_TOO_LONG}
    return orjson.dumps(
        {"body": digest.hex(), "effect": effect.value, "name": shared.name, "text": text, **outcome}
    )


def decode_record(value: bytes) -> tuple[bytes, Effect, SharedRequest]:
    """Return the digest, the effect, and the request as its repeats receive it. Raises ValueError."""
    record: Mapping[str, Any] = orjson.loads(value)
    try:
        digest, effect = bytes.fromhex(record["body"]), Effect(record["effect"])
        shared = SharedRequest()
        shared.name = record.get("name", "")
        if record["final"] == "finished":
            shared.parts = [record["text"]] if record["text"] else []
            shared.finished(record["reason"], record["usage"])
        elif record["final"] == "aborted":
            shared.parts = [record["text"]] if record["text"] else []
            shared.aborted(record["why"])
        else:
            shared.aborted(MAY_HAVE_RUN)
    except (KeyError, TypeError) as error:
        raise ValueError(f"not the record of a request: {error!r}") from None
    return digest, effect, shared
