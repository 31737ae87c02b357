"""Validate a client's request and hand it to the core; no I/O.

The text of a RequestError is the body of the response, so clients see it.
"""

import re
from collections.abc import Callable, Mapping

from heathford.core.accepted_request import AcceptedRequest
from heathford.core.core import Core
from heathford.core.protocols import ResponseWriter
from heathford.platform.request_names import RequestNames
from heathford.wire.http1 import MalformedMessageError, json_object
from heathford.wire.requests import ParsedRequest, RequestError

COMPLETIONS_PATH = "/v1/chat/completions"
CALL_ID_PATTERN = re.compile(r"[0-9A-Za-z_-]{1,64}")  # part of a request path at the engines
WORD_PATTERN = re.compile(r"[!-~]{0,128}")
KEY_PATTERN = re.compile(r"[ -~]{0,256}")
NUMBER_PATTERN = re.compile(r"[0-9]{1,12}")
MAX_BUDGET_MS = 600_000  # ten minutes: longer than any client timeout in use
MAX_TOKENS = 10_000_000  # of a prompt or an answer: larger than any model's context
IDEMPOTENCY_KEY_HEADER = "idempotency-key"  # engines recognize a repeat by it: passed on unchanged
READ_HEADERS = (  # the headers that are used; each may occur once only
    "x-call-id",
    "x-call-class",
    "x-route-hash",
    "x-budget-ms",
    "x-call-info",
    "x-call-cost",
    IDEMPOTENCY_KEY_HEADER,
)


def parse_whole_number(text: str, field: str, maximum: int) -> int:
    """Parse plain decimal digits. Raises RequestError.

    int() alone would also accept signs, spaces, underscores and non-ASCII digits.
    """
    if not NUMBER_PATTERN.fullmatch(text) or int(text) > maximum:
        raise RequestError(400, f"{field} is no whole number in range")
    return int(text)


def parse_word(text: str, field: str) -> str:
    """Return the text if it is short printable ASCII without spaces, else raise RequestError."""
    if not WORD_PATTERN.fullmatch(text):
        raise RequestError(400, f"{field} can't be read")
    return text


def accept_request(
    core: Core,
    response_writer: ResponseWriter,
    request: ParsedRequest,
    workloads: Mapping[str, int],
    names: RequestNames,
    received: float,
    on_removed: Callable[[AcceptedRequest], None],
) -> AcceptedRequest:
    """Validate the request and have the core accept it.

    Raises RequestError before the core has seen any of it. workloads: index of each workload by its name.
    names: those that a request may not have. received: when the client's budget starts, in seconds on the
    event loop's clock. on_removed: see `Core.accept`.
    """
    if request.target.partition("?")[0] != COMPLETIONS_PATH:
        raise RequestError(404, "nothing here")
    if request.method != "POST":
        raise RequestError(405, "only POST is known here")
    headers = request.headers
    for field in READ_HEADERS:
        if field in request.repeated_fields:
            raise RequestError(400, f"{field} told twice")
    name = headers.get("x-call-id", "")
    if not CALL_ID_PATTERN.fullmatch(name):
        raise RequestError(400, "no X-Call-Id that can be read")
    if names.is_taken(name, core.loop.time()):
        # Two requests under one name would release each other's prefill state, and one that came again after
        # its client had left would run twice.
        raise RequestError(409, "a completion of this id is open, or was lately")
    workload = workloads.get(headers.get("x-call-class", ""))
    if workload is None:
        raise RequestError(400, "no such X-Call-Class")
    budget = parse_whole_number(headers.get("x-budget-ms", ""), "X-Budget-Ms", MAX_BUDGET_MS)
    if not budget:
        raise RequestError(400, "no time left")
    cost = headers.get("x-call-cost")
    hint_seconds = parse_whole_number(cost, "X-Call-Cost", 10**12) / 1e6 if cost else 0.0
    key = headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if not KEY_PATTERN.fullmatch(key):
        raise RequestError(400, f"{IDEMPOTENCY_KEY_HEADER} can't be read")
    info = dict.fromkeys(("prefix", "prompt_len", "prefix_len", "max_out"), "")
    for pair in headers.get("x-call-info", "").split(","):
        field, _, value = pair.strip().partition("=")
        if field in info:
            info[field] = value
    prompt_tokens = parse_whole_number(info["prompt_len"], "prompt_len", MAX_TOKENS)
    shared_tokens = parse_whole_number(info["prefix_len"] or "0", "prefix_len", MAX_TOKENS)
    max_answer_tokens = parse_whole_number(info["max_out"], "max_out", MAX_TOKENS)
    if shared_tokens > prompt_tokens:
        raise RequestError(400, "prefix_len is more than prompt_len")
    # Rejects bodies that no engine accepts: an engine's error for one would look like a fault of that engine.
    try:
        body = json_object(request.body)
    except MalformedMessageError as exc:
        raise RequestError(400, f"the body is {exc}") from None
    if body.get("stream") is not True or not isinstance(body.get("messages"), list):
        raise RequestError(400, "the body asks for no stream, or brings no messages")
    return core.accept(
        response_writer,
        workload,
        0,
        parse_word(headers.get("x-route-hash", ""), "X-Route-Hash"),
        parse_word(info["prefix"], "prefix"),
        prompt_tokens,
        shared_tokens,
        max_answer_tokens,
        budget / 1000,
        (request.target, request.body),
        mark=key,
        received=received,
        name=name,
        answer_hint=hint_seconds,
        size=len(request.body),
        on_removed=on_removed,
    )
