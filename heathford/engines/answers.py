"""What an engine's answer means: one Verdict for every way in which a dispatch can end; no I/O."""

from collections.abc import Mapping
from typing import Any

import orjson

from heathford.wire.http1 import MalformedMessageError, json_object
from heathford.interface import Outcome

# Names in a load report (endpoint-load-metrics, JSON form) and what the decisions call them.
LOADS = {"application_utilization": "slots", "mem_utilization": "memory"}
NAMED_LOADS = {"queue": "queue", "held": "held"}
STATE_GONE = "kv_state_gone"  # the error code by which an engine says that it could fetch no state
FULL = frozenset({429, 503})  # statuses which say that nothing was begun


def load_of(header: str) -> dict[str, float]:
    """A report that can't be read is none: it is late and not exact anyway."""
    form, _, text = header.strip().partition(" ")
    if form != "JSON":
        return {}
    try:
        report = orjson.loads(text)
    except orjson.JSONDecodeError:
        return {}
    if not isinstance(report, dict):
        return {}
    named = report.get("named_metrics")
    pairs = [(LOADS.get(k), v) for k, v in report.items()]
    pairs += [(NAMED_LOADS.get(k), v) for k, v in named.items()] if isinstance(named, dict) else []
    return {k: float(v) for k, v in pairs if k and isinstance(v, int | float) and v >= 0}


def verdict_of(status: int, body: bytes) -> tuple[Outcome, int]:
    """The verdict and detail of an answer that is no success."""
    if status in FULL:
        return Outcome.FULL, 0
    if status == 410 and error_code(body) == STATE_GONE:
        return Outcome.FULL, 1
    return Outcome.ERROR, 0


def error_code(body: bytes) -> str:
    try:
        error = orjson.loads(body)["error"]
        return str(error["code"])
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return ""


def read_answer(body: bytes) -> tuple[int, Mapping[str, Any]]:
    """Of a read: prompt tokens found kept, and what takes the state up."""
    answer = json_object(body)
    kv = answer.get("kv_transfer_params")
    if not isinstance(kv, dict):
        raise MalformedMessageError("a read without kv_transfer_params")
    return cached_tokens(answer.get("usage")), kv


def chunk(data: bytes) -> tuple[str, str, Mapping[str, Any]]:
    """Of one event of a stream: text, finish reason and usage, each empty if not in it."""
    event = json_object(data)
    if "error" in event:
        raise MalformedMessageError(f"an error in the stream: {event['error']!r}")
    choices = event.get("choices")
    if not isinstance(choices, list):
        raise MalformedMessageError("an event without choices")
    first = choices[0] if choices else {}
    text, reason, usage = first.get("text") or "", first.get("finish_reason") or "", event.get("usage") or {}
    if not (isinstance(text, str) and isinstance(reason, str) and isinstance(usage, dict)):
        raise MalformedMessageError("an event with fields of another type")
    return text, reason, usage


def cached_tokens(usage: Any) -> int:
    details = usage.get("prompt_tokens_details") if isinstance(usage, dict) else None
    count = details.get("cached_tokens", 0) if isinstance(details, dict) else 0
    return count if isinstance(count, int) and count > 0 else 0
