"""Sessions in JSON-RPC 2.0, with bodies of the published completions API. Does no I/O."""

from collections.abc import Mapping
from typing import Any, Protocol

import orjson

from heathford.sessions.guidance import Retry, retry_after_rate_limit, retry_field
from heathford.sessions.limits import is_request_id
from heathford.sessions.workload_catalog import ParamsError
from heathford.sessions.session import SessionManager, Session
from heathford.sessions.versions import CURRENT_VERSION

# Error codes: JSON-RPC's own, then two of the range that it leaves to servers.
PARSE_ERROR, INVALID_REQUEST, METHOD_NOT_FOUND, INVALID_PARAMS = -32700, -32600, -32601, -32602
RATE_LIMITED, ABORTED = -32001, -32002
METHODS = "completions.create, completions.cancel"


class MessageWriter(Protocol):
    """The WebSocket connection of a session."""

    def send_message(self, message: bytes) -> None:
        """Send a text message, unless the connection is closed."""
        ...

    @property
    def slow(self) -> bool:
        """Whether more than the bound is unsent."""
        ...

    def resume_reading(self) -> None:
        """Read from the client again if that was paused."""
        ...


class JsonRpcSession:
    """Translates a client's JSON-RPC messages to calls of its session, and answers to messages."""

    def __init__(
        self, manager: SessionManager, writer: MessageWriter, name: str, version: int = CURRENT_VERSION
    ) -> None:
        self.manager, self.writer, self.version = manager, writer, version
        self.session = Session(manager, self, name)

    def handle_message(self, data: str | bytes) -> None:
        """Handle one message; an invalid one is answered with an error."""
        received = self.manager.now()
        if isinstance(data, bytes):
            self.send_error(None, INVALID_REQUEST, "messages are text")
            return
        try:
            call = orjson.loads(data)
        except (orjson.JSONDecodeError, UnicodeEncodeError) as error:
            self.send_error(None, PARSE_ERROR, f"no JSON: {error}")
            return
        if isinstance(call, list):
            self.send_error(
                None, INVALID_REQUEST, "batches are not taken: send each request as a message of its own"
            )
            return
        if not (
            isinstance(call, dict) and call.get("jsonrpc") == "2.0" and isinstance(call.get("method"), str)
        ):
            self.send_error(None, INVALID_REQUEST, "no JSON-RPC 2.0 request")
            return
        key, params = call.get("id"), call.get("params", {})
        if not (key is None or is_request_id(key)):
            self.send_error(None, INVALID_REQUEST, "id: allowed is a text or a number")
        elif call["method"] not in METHODS.split(", "):
            if "id" in call:
                self.send_error(
                    key, METHOD_NOT_FOUND, f"unknown method {call['method']!r}; allowed are {METHODS}"
                )
        elif not isinstance(params, dict):
            self.send_error(key, INVALID_PARAMS, "params: allowed is an object")
        elif call["method"] == "completions.cancel":
            self.cancel(key, params.get("id"))
        else:
            self.create(key, params, received, len(data))

    def create(self, key: Any, params: Mapping[str, Any], received: float, size: int) -> None:
        if key is None:
            self.send_error(None, INVALID_REQUEST, "completions.create needs an id, to be answered by")
        elif key in self.session.requests:
            self.send_error(key, INVALID_REQUEST, f"id: {key!r} is in use by a completion that is out")
        else:
            try:
                arguments, attempt = (
                    self.manager.catalog.parse_request(params),
                    self.manager.catalog.parse_attempt(params),
                )
            except ParamsError as error:
                self.send_error(key, INVALID_PARAMS, str(error))
                return
            self.session.submit(key, arguments, received, size, attempt)

    def cancel(self, key: Any, cancelled_key: Any) -> None:
        found = is_request_id(cancelled_key) and self.session.cancel(cancelled_key)
        if key is not None:
            self.send({"jsonrpc": "2.0", "id": key, "result": {"cancelled": found}})

    def announce_closing(self, after: float) -> None:
        """Notify the client that the front node stops and closes this session in `after` s."""
        self.send(
            {
                "jsonrpc": "2.0",
                "method": "session.going",
                "params": {"closes_in": after, "retry_after": self.manager.retry_after},
            }
        )

    def send(self, message: Mapping[str, Any]) -> None:
        self.writer.send_message(orjson.dumps(message))

    def send_error(self, key: Any, code: int, message: str, data: Mapping[str, Any] | None = None) -> None:
        error: dict[str, Any] = {"code": code, "message": message}
        if data is not None:
            error["data"] = data
        self.send({"jsonrpc": "2.0", "id": key, "error": error})

    # heathford.sessions.session.SessionWriter

    @property
    def slow(self) -> bool:
        return self.writer.slow

    def resume_reading(self) -> None:
        self.writer.resume_reading()

    def chunk(self, key: Any, request: str, text: str) -> None:
        self.send(
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
        self.send(
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
        data |= {"retry_after": retry_after, "final": "rate-limited"} | retry_field(
            retry_after_rate_limit(), self.version
        )
        self.send_error(key, RATE_LIMITED, "rate-limited", data)

    def aborted(self, key: Any, request: str, why: str, retry: Retry) -> None:
        data = {"final": "aborted"} | retry_field(retry, self.version)
        data |= {"completion": request} if request else {}
        self.send_error(key, ABORTED, why, data)

    def conflict(self, key: Any) -> None:
        self.send_error(
            key, INVALID_PARAMS, "idempotency_key: stands for another completion; allowed is a new one"
        )
