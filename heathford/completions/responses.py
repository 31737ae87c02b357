"""Responses of the published completions API; errors as problem details (RFC 9457). Does no I/O."""

from collections.abc import Mapping
from math import ceil
from typing import Any

import orjson

PROBLEM_TYPE = "application/problem+json"
STREAM_TYPE = "text/event-stream"
FINISHED, RATE_LIMITED, ABORTED = "finished", "rate-limited", "aborted"  # final answers


def problem_body(status: int, title: str, detail: str, **more: Any) -> bytes:
    """Return a problem details body with further fields."""
    return orjson.dumps({"type": "about:blank", "title": title, "status": status, "detail": detail, **more})


def rate_limited_response(
    completion: str, retry_after: float, **more: Any
) -> tuple[int, dict[str, str], bytes]:
    """Return status 429, headers and body: a repeat is safe after `retry_after` s.

    The Retry-After header allows only whole seconds; the body has the exact value.
    """
    more |= {"completion": completion} if completion else {}
    return (
        429,
        {"Retry-After": str(ceil(retry_after)), "Content-Type": PROBLEM_TYPE},
        problem_body(
            429, "Too Many Requests", "rate-limited", final=RATE_LIMITED, retry_after=retry_after, **more
        ),
    )


def aborted_response(completion: str, why: str, **more: Any) -> tuple[int, dict[str, str], bytes]:
    """Return status 502, headers and body: the request may have run."""
    return (
        502,
        {"Content-Type": PROBLEM_TYPE},
        problem_body(502, "Bad Gateway", why, final=ABORTED, completion=completion, **more),
    )


def completion_body(completion: str, model: str, text: str, reason: str, usage: Mapping[str, Any]) -> bytes:
    """Return the body of a complete answer."""
    return orjson.dumps(
        {
            "id": completion,
            "object": "text_completion",
            "model": model,
            "final": FINISHED,
            "usage": usage,
            "choices": [{"index": 0, "text": text, "finish_reason": reason}],
        }
    )


def chunk_event(completion: str, model: str, text: str) -> bytes:
    """Return the event of one piece of a streamed answer."""
    return format_event(
        {
            "id": completion,
            "object": "text_completion",
            "model": model,
            "choices": [{"index": 0, "text": text, "finish_reason": None}],
        }
    )


def final_events(
    completion: str, model: str, reason: str, usage: Mapping[str, Any], with_usage: bool
) -> bytes:
    """Return the events that end a stream: the final answer, the usage if asked for, and [DONE]."""
    end = format_event(
        {
            "id": completion,
            "object": "text_completion",
            "model": model,
            "final": FINISHED,
            "choices": [{"index": 0, "text": "", "finish_reason": reason}],
        }
    )
    if with_usage:
        end += format_event(
            {"id": completion, "object": "text_completion", "model": model, "choices": [], "usage": usage}
        )
    return end + b"data: [DONE]\n\n"


def error_event(completion: str, why: str, **more: Any) -> bytes:
    """Return the event that ends a stream without an answer; no [DONE] follows."""
    return format_event(
        {
            "error": {"message": why, "type": ABORTED, "code": ABORTED},
            "id": completion,
            "final": ABORTED,
            **more,
        }
    )


def format_event(value: Mapping[str, Any]) -> bytes:
    """Return a server-sent event with JSON data."""
    return b"data: " + orjson.dumps(value) + b"\n\n"
