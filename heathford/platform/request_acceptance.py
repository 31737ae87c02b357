"""A client's request read into a call on the core; no I/O."""

import re
from collections.abc import Mapping

from heathford.core.core import Core
from heathford.core.protocols import ResponseWriter
from heathford.core.accepted_request import AcceptedRequest
from heathford.wire.http1 import MalformedMessageError, json_object
from heathford.wire.requests import Request, RequestError

PATH = "/v1/chat/completions"
NAME = re.compile(r"[0-9A-Za-z_-]{1,64}")  # it goes into a path towards engines
WORD = re.compile(r"[!-~]{0,128}")
KEY_VALUE = re.compile(r"[ -~]{0,256}")
NUMBER = re.compile(r"[0-9]{1,12}")
LONGEST_WAIT = 600_000  # ms: ten minutes, beyond any client timeout that a deployment states
MOST_TOKENS = 10_000_000  # of a prompt or an answer: beyond any model's context
KEY = "idempotency-key"  # by which engines know a repeat: passed on as it came
NAMED = ("x-call-id", "x-call-class", "x-route-hash", "x-budget-ms", "x-call-info", "x-call-cost", KEY)


def whole_number(text: str, what: str, most: int) -> int:
    """int() alone takes signs, spaces, underscores and other scripts' digits."""
    if not NUMBER.fullmatch(text) or int(text) > most:
        raise RequestError(400, f"{what} is no whole number in range")
    return int(text)


def word(text: str, what: str) -> str:
    if not WORD.fullmatch(text):
        raise RequestError(400, f"{what} can't be read")
    return text


def accept_request(
    core: Core,
    sink: ResponseWriter,
    request: Request,
    workloads: Mapping[str, int],
    open_names: Mapping[str, AcceptedRequest],
    received: float,
) -> AcceptedRequest:
    """Takes what was asked, or raises RequestError: before the core has seen any of it. workloads: their
    places by name; open_names: completions that clients hold open here. received: s on the loop's clock from
    which the client's budget counts."""
    if request.target.partition("?")[0] != PATH:
        raise RequestError(404, "nothing here")
    if request.method != "POST":
        raise RequestError(405, "only POST is known here")
    headers = request.headers
    for field in NAMED:
        if field in request.repeated:
            raise RequestError(400, f"{field} told twice")
    name = headers.get("x-call-id", "")
    if not NAME.fullmatch(name):
        raise RequestError(400, "no X-Call-Id that can be read")
    if name in open_names:
        # Guards against two completions under one name: each would let go of what is held for the other.
        raise RequestError(409, "a completion of this id is open")
    workload = workloads.get(headers.get("x-call-class", ""))
    if workload is None:
        raise RequestError(400, "no such X-Call-Class")
    budget = whole_number(headers.get("x-budget-ms", ""), "X-Budget-Ms", LONGEST_WAIT)
    if not budget:
        raise RequestError(400, "no time left")
    cost = headers.get("x-call-cost")
    hint = whole_number(cost, "X-Call-Cost", 10**12) / 1e6 if cost else 0.0
    key = headers.get(KEY, "")
    if not KEY_VALUE.fullmatch(key):
        raise RequestError(400, f"{KEY} can't be read")
    info = dict.fromkeys(("prefix", "prompt_len", "prefix_len", "max_out"), "")
    for pair in headers.get("x-call-info", "").split(","):
        field, _, value = pair.strip().partition("=")
        if field in info:
            info[field] = value
    prompt = whole_number(info["prompt_len"], "prompt_len", MOST_TOKENS)
    shared = whole_number(info["prefix_len"] or "0", "prefix_len", MOST_TOKENS)
    longest = whole_number(info["max_out"], "max_out", MOST_TOKENS)
    if shared > prompt:
        raise RequestError(400, "prefix_len is more than prompt_len")
    # Guards against what no engine can use: sent on, it would come back as an error that looks like the
    # engine's own. Harms nothing that an engine would take.
    try:
        body = json_object(bytes(request.body))
    except MalformedMessageError as problem:
        raise RequestError(400, f"the body is {problem}") from None
    if body.get("stream") is not True or not isinstance(body.get("messages"), list):
        raise RequestError(400, "the body asks for no stream, or brings no messages")
    return core.accept(
        sink,
        workload,
        0,
        word(headers.get("x-route-hash", ""), "X-Route-Hash"),
        word(info["prefix"], "prefix"),
        prompt,
        shared,
        longest,
        budget / 1000,
        (request.target, bytes(request.body)),
        mark=key,
        received=received,
        name=name,
        answer_hint=hint,
        size=len(request.body),
    )
