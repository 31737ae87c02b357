"""Sessions in JSON-RPC 2.0, with bodies of the published completions API; no I/O."""

from collections.abc import Mapping
from typing import Any, Protocol

import orjson

from heathford.sessions.guidance import Retry, after_refusal, told
from heathford.sessions.limits import known
from heathford.sessions.workload_catalog import ParamsError
from heathford.sessions.session import SessionManager, Session
from heathford.sessions.versions import PRESENT

PARSE, REQUEST, METHOD, PARAMS = -32700, -32600, -32601, -32602  # JSON-RPC's own
RATE_LIMITED, ABORTED = -32001, -32002  # within the range that JSON-RPC leaves to servers
METHODS = "completions.create, completions.cancel"


class Outlet(Protocol):
    """The socket of a session."""

    def say(self, message: bytes) -> None: ...

    @property
    def slow(self) -> bool: ...

    def resume_reading(self) -> None: ...


class JsonRpcSession:
    """What a client says becomes calls on its session; what the session tells becomes messages."""

    def __init__(self, manager: SessionManager, outlet: Outlet, name: str, version: int = PRESENT) -> None:
        self.manager, self.outlet, self.version = manager, outlet, version
        self.session = Session(manager, self, name)

    def message(self, data: str | bytes) -> None:
        received = self.manager.now()
        if isinstance(data, bytes):
            self.error(None, REQUEST, "messages are text")
            return
        try:
            call = orjson.loads(data)
        except (orjson.JSONDecodeError, UnicodeEncodeError) as problem:
            self.error(None, PARSE, f"no JSON: {problem}")
            return
        if isinstance(call, list):
            self.error(None, REQUEST, "batches are not taken: send each request as a message of its own")
            return
        if not (
            isinstance(call, dict) and call.get("jsonrpc") == "2.0" and isinstance(call.get("method"), str)
        ):
            self.error(None, REQUEST, "no JSON-RPC 2.0 request")
            return
        key, params = call.get("id"), call.get("params", {})
        if not (key is None or known(key)):
            self.error(None, REQUEST, "id: allowed is a text or a number")
        elif call["method"] not in METHODS.split(", "):
            if "id" in call:
                self.error(key, METHOD, f"unknown method {call['method']!r}; allowed are {METHODS}")
        elif not isinstance(params, dict):
            self.error(key, PARAMS, "params: allowed is an object")
        elif call["method"] == "completions.cancel":
            self.cancel(key, params.get("id"))
        else:
            self.create(key, params, received, len(data))

    def create(self, key: Any, params: Mapping[str, Any], received: float, size: int) -> None:
        if key is None:
            self.error(None, REQUEST, "completions.create needs an id, to be answered by")
        elif key in self.session.requests:
            self.error(key, REQUEST, f"id: {key!r} is in use by a completion that is out")
        else:
            try:
                arguments, attempt = (
                    self.manager.catalog.parse_request(params),
                    self.manager.catalog.parse_attempt(params),
                )
            except ParamsError as problem:
                self.error(key, PARAMS, str(problem))
                return
            self.session.submit(key, arguments, received, size, attempt)

    def cancel(self, key: Any, wanted: Any) -> None:
        found = known(wanted) and self.session.cancel(wanted)
        if key is not None:
            self.say({"jsonrpc": "2.0", "id": key, "result": {"cancelled": found}})

    def going(self, after: float) -> None:
        """The front stops, and will close this session in `after` seconds."""
        self.say(
            {
                "jsonrpc": "2.0",
                "method": "session.going",
                "params": {"closes_in": after, "retry_after": self.manager.retry_after},
            }
        )

    def say(self, message: Mapping[str, Any]) -> None:
        self.outlet.say(orjson.dumps(message))

    def error(self, key: Any, code: int, what: str, data: Mapping[str, Any] | None = None) -> None:
        error: dict[str, Any] = {"code": code, "message": what}
        if data is not None:
            error["data"] = data
        self.say({"jsonrpc": "2.0", "id": key, "error": error})

    # heathford.sessions.session.Voice

    @property
    def slow(self) -> bool:
        return self.outlet.slow

    def resume_reading(self) -> None:
        self.outlet.resume_reading()

    def chunk(self, key: Any, request: str, text: str) -> None:
        self.say(
            {
                "jsonrpc": "2.0",
                "method": "completions.chunk",
                "params": {
                    "id": key,
                    "completion": request,
                    "object": "text_completion",
                    "choices": [{"index": 0, "text": text, "finish_reason": None}],
                },
            }
        )

    def finished(self, key: Any, request: str, reason: str, usage: Mapping[str, Any], text: str) -> None:
        self.say(
            {
                "jsonrpc": "2.0",
                "id": key,
                "result": {
                    "id": request,
                    "object": "text_completion",
                    "final": "finished",
                    "usage": usage,
                    "choices": [{"index": 0, "text": text, "finish_reason": reason}],
                },
            }
        )

    def rate_limited(self, key: Any, request: str, retry_after: float) -> None:
        data: dict[str, Any] = {"completion": request} if request else {}
        data |= {"retry_after": retry_after, "final": "rate-limited"} | told(after_refusal(), self.version)
        self.error(key, RATE_LIMITED, "rate-limited", data)

    def aborted(self, key: Any, request: str, why: str, retry: Retry) -> None:
        data = {"final": "aborted"} | told(retry, self.version)
        data |= {"completion": request} if request else {}
        self.error(key, ABORTED, why, data)

    def conflict(self, key: Any) -> None:
        self.error(key, PARAMS, "idempotency_key: stands for another completion; allowed is a new one")
