"""Parses engines' answers, and maps each failure to one `Outcome`; no I/O."""

from collections.abc import Mapping
from typing import Any

import orjson

from heathford.wire.http1 import MalformedMessageError, json_object
from heathford.interface import Outcome

# Names in a load report (header endpoint-load-metrics, JSON form) and the router's names for them.
LOAD_NAMES = {"application_utilization": "slots", "mem_utilization": "memory"}
NAMED_METRIC_NAMES = {"queue": "queue", "held": "held"}
STATE_GONE_CODE = "kv_state_gone"  # error code of a decode engine that could not fetch the prefill state
FULL_STATUSES = frozenset({429, 503})  # the engine has not started the request


def parse_load_report(header: str) -> dict[str, float]:
    """Return the load figures of a report; none of a malformed one, as reports are late and inexact."""
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
    pairs = [(LOAD_NAMES.get(k), v) for k, v in report.items()]
    pairs += [(NAMED_METRIC_NAMES.get(k), v) for k, v in named.items()] if isinstance(named, dict) else []
    return {k: float(v) for k, v in pairs if k and isinstance(v, int | float) and v >= 0}


def failure_outcome(status: int, body: bytes) -> tuple[Outcome, int]:
    """Return the outcome and detail of an answer with an error status."""
    if status in FULL_STATUSES:
        return Outcome.FULL, 0
    if status == 410 and error_code(body) == STATE_GONE_CODE:
        return Outcome.FULL, 1
    return Outcome.ERROR, 0


def error_code(body: bytes) -> str:
    try:
        error = orjson.loads(body)["error"]
        return str(error["code"])
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return ""


def parse_prefill_answer(body: bytes) -> tuple[int, Mapping[str, Any]]:
    """Return the cached prompt tokens and the KV transfer parameters of a prefill answer.

    Raises MalformedMessageError.
    """
    answer = json_object(body)
    kv_transfer_params = answer.get("kv_transfer_params")
    if not isinstance(kv_transfer_params, dict):
        raise MalformedMessageError("prefill answer without kv_transfer_params")
    return cached_tokens(answer.get("usage")), kv_transfer_params


def parse_event(data: bytes) -> tuple[str, str, Mapping[str, Any]]:
    """Return text, finish reason and usage of one event of a stream, each empty if not in it.

    Raises MalformedMessageError.
    """
    event = json_object(data)
    if "error" in event:
        raise MalformedMessageError(f"error event in the stream: {event['error']!r}")
    choices = event.get("choices")
    if not isinstance(choices, list):
        raise MalformedMessageError("stream event without choices")
    first = choices[0] if choices else {}
    text, reason, usage = first.get("text") or "", first.get("finish_reason") or "", event.get("usage") or {}
    if not (isinstance(text, str) and isinstance(reason, str) and isinstance(usage, dict)):
        raise MalformedMessageError("stream event with a field of the wrong type")
    return text, reason, usage


def cached_tokens(usage: Any) -> int:
    """Return the cached prompt tokens of a usage object, 0 if it gives no valid number."""
    details = usage.get("prompt_tokens_details") if isinstance(usage, dict) else None
    count = details.get("cached_tokens", 0) if isinstance(details, dict) else 0
    return count if isinstance(count, int) and count > 0 else 0
