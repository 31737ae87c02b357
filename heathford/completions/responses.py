"""What an HTTP client is told: bodies of the published API, problems by RFC 9457; no I/O."""

from collections.abc import Mapping
from math import ceil
from typing import Any

import orjson

PROBLEM_TYPE = "application/problem+json"
STREAM = "text/event-stream"
FINISHED, RATE_LIMITED, ABORTED = "finished", "rate-limited", "aborted"


def problem_body(status: int, title: str, detail: str, **more: Any) -> bytes:
    return orjson.dumps({"type": "about:blank", "title": title, "status": status, "detail": detail, **more})


def refusal(completion: str, retry_after: float, **more: Any) -> tuple[int, dict[str, str], bytes]:
    """429: a new try does no harm, after `retry_after` s. The header knows whole seconds, the body more."""
    more |= {"completion": completion} if completion else {}
    return (
        429,
        {"Retry-After": str(ceil(retry_after)), "Content-Type": PROBLEM_TYPE},
        problem_body(
            429, "Too Many Requests", "rate-limited", final=RATE_LIMITED, retry_after=retry_after, **more
        ),
    )


def failure(completion: str, why: str, **more: Any) -> tuple[int, dict[str, str], bytes]:
    """502: no promise about what has run."""
    return (
        502,
        {"Content-Type": PROBLEM_TYPE},
        problem_body(502, "Bad Gateway", why, final=ABORTED, completion=completion, **more),
    )


def whole(completion: str, model: str, text: str, reason: str, usage: Mapping[str, Any]) -> bytes:
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


def part(completion: str, model: str, text: str) -> bytes:
    return event(
        {
            "id": completion,
            "object": "text_completion",
            "model": model,
            "choices": [{"index": 0, "text": text, "finish_reason": None}],
        }
    )


def last(completion: str, model: str, reason: str, usage: Mapping[str, Any], with_usage: bool) -> bytes:
    end = event(
        {
            "id": completion,
            "object": "text_completion",
            "model": model,
            "final": FINISHED,
            "choices": [{"index": 0, "text": "", "finish_reason": reason}],
        }
    )
    if with_usage:
        end += event(
            {"id": completion, "object": "text_completion", "model": model, "choices": [], "usage": usage}
        )
    return end + b"data: [DONE]\n\n"


def broken(completion: str, why: str, **more: Any) -> bytes:
    """A stream that ends without an answer: an error event, and no [DONE]."""
    return event(
        {
            "error": {"message": why, "type": ABORTED, "code": ABORTED},
            "id": completion,
            "final": ABORTED,
            **more,
        }
    )


def event(value: Mapping[str, Any]) -> bytes:
    return b"data: " + orjson.dumps(value) + b"\n\n"
