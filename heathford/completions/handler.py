"""Handles POST /v1/completions; each call is a session with one request, on the same core and limits."""

import asyncio
from collections.abc import Mapping
from typing import Any

import orjson
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from heathford.completions import responses
from heathford.sessions.guidance import Retry, retry_after_rate_limit, retry_field
from heathford.sessions.workload_catalog import ParamsError
from heathford.sessions.session import SessionManager, Session
from heathford.sessions.versions import PREVIOUS_VERSION, VERSION_HEADER, VersionError, version_from_header

REQUEST_KEY = 0  # of the one request of such a session


class CompletionsHandler(RequestHandler):
    """One call of the API, and the SessionWriter of its session.

    Set up by the routes: desk: the session manager; unsent: bytes written but not sent yet above which the
    client counts as slow and its tokens are merged; longest: the largest request body, in bytes.
    """

    def initialize(self, desk: SessionManager, unsent: int, longest: int) -> None:
        self.manager, self.max_unsent, self.max_body_bytes = desk, unsent, longest
        self.session: Session | None = None
        self.ended = asyncio.Event()
        self.streaming = self.with_usage = self.started = False
        self.model, self.version = "", PREVIOUS_VERSION
        self.unsent_bytes = 0

    async def post(self) -> None:
        received = self.manager.now()
        try:
            self.version = version_from_header(self.request.headers.get(VERSION_HEADER))
        except VersionError as error:
            self.respond(
                400,
                {"Content-Type": responses.PROBLEM_TYPE},
                responses.problem_body(400, "Bad Request", str(error), served=error.served),
            )
            return
        self.set_header(VERSION_HEADER, str(self.version))
        if len(self.request.body) > self.max_body_bytes:
            self.respond(
                413,
                {"Content-Type": responses.PROBLEM_TYPE},
                responses.problem_body(413, "Content Too Large", f"allowed are {self.max_body_bytes} bytes"),
            )
            return
        try:
            params = orjson.loads(self.request.body)
        except orjson.JSONDecodeError as error:
            self.bad_request(f"no JSON: {error}")
            return
        if not isinstance(params, dict):
            self.bad_request("the body: allowed is an object")
            return
        streaming, options = params.get("stream") or False, params.get("stream_options") or {}
        key = self.request.headers.get("Idempotency-Key")
        if key is not None:
            params["idempotency_key"] = key
        if not isinstance(streaming, bool) or not isinstance(options, dict):
            self.bad_request("stream: allowed is true or false; stream_options: an object")
            return
        try:
            arguments, attempt = (
                self.manager.catalog.parse_request(params),
                self.manager.catalog.parse_attempt(params),
            )
        except ParamsError as error:
            self.bad_request(str(error))
            return
        self.streaming, self.with_usage = streaming, bool(options.get("include_usage"))
        self.model = arguments["body"]["model"]
        self.session = Session(self.manager, self, self.manager.next_session_name())
        self.session.submit(REQUEST_KEY, arguments, received, len(self.request.body), attempt)
        await self.ended.wait()

    def on_connection_close(self) -> None:
        if self.session:
            self.session.client_left()
        self.ended.set()

    def bad_request(self, detail: str) -> None:
        """Answer 400."""
        self.respond(
            400, {"Content-Type": responses.PROBLEM_TYPE}, responses.problem_body(400, "Bad Request", detail)
        )

    def respond(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Send a complete response, unless the response has ended."""
        if self._finished:
            return
        self.set_status(status)
        for name, value in headers.items():
            self.set_header(name, value)
        if self.session:
            remaining = max(0, self.manager.max_active - self.session.active)
            self.set_header("RateLimit-Policy", f'"front";q={self.manager.max_active}')
            self.set_header("RateLimit", f'"front";r={remaining}')
        self.finish(body)
        self.ended.set()

    def write_events(self, data: bytes, end: bool = False) -> None:
        """Send events of a stream, with its head before the first; end: these are the last."""
        if self._finished:
            return
        if not self.started:
            self.started = True
            self.set_header("Content-Type", responses.STREAM_TYPE)
            self.set_header("Cache-Control", "no-store")
        self.write(data)
        written: Any = self.finish() if end else self.flush()
        self.unsent_bytes += len(data)
        written.add_done_callback(lambda done: self.bytes_sent(done, len(data)))
        if end:
            self.ended.set()

    def bytes_sent(self, done: "asyncio.Future[None]", size: int) -> None:
        """Count written bytes as sent; flush merged tokens when the client is no longer slow."""
        slow = self.slow
        self.unsent_bytes -= size
        if done.cancelled() or isinstance(done.exception(), StreamClosedError | OSError):
            return
        if slow and not self.slow and self.session:
            self.session.flush_requests()

    # heathford.sessions.session.SessionWriter

    @property
    def slow(self) -> bool:
        return self.unsent_bytes > self.max_unsent

    def resume_reading(self) -> None:
        """Do nothing: such a session has one request, so its client is never kept from sending."""

    def chunk(self, key: Any, completion: str, text: str) -> None:
        if self.streaming:
            self.write_events(responses.chunk_event(completion, self.model, text))

    def finished(self, key: Any, completion: str, reason: str, usage: Mapping[str, Any], text: str) -> None:
        if self.streaming:
            self.write_events(
                responses.final_events(completion, self.model, reason, usage, self.with_usage), end=True
            )
        else:
            self.respond(
                200,
                {"Content-Type": "application/json"},
                responses.completion_body(completion, self.model, text, reason, usage),
            )

    def rate_limited(self, key: Any, completion: str, retry_after: float) -> None:
        self.respond(
            *responses.rate_limited_response(
                completion, retry_after, **retry_field(retry_after_rate_limit(), self.version)
            )
        )

    def aborted(self, key: Any, completion: str, why: str, retry: Retry) -> None:
        if self.started:
            self.write_events(
                responses.error_event(completion, why, **retry_field(retry, self.version)), end=True
            )
        else:
            self.respond(*responses.aborted_response(completion, why, **retry_field(retry, self.version)))

    def conflict(self, key: Any) -> None:
        self.respond(
            422,
            {"Content-Type": responses.PROBLEM_TYPE},
            responses.problem_body(
                422,
                "Unprocessable Content",
                "Idempotency-Key: stands for another completion; allowed is a new one",
            ),
        )


def routes(manager: SessionManager, unsent: int, longest: int) -> list[Any]:
    """Return the tornado routes of the API; the arguments are those of CompletionsHandler."""
    return [(r"/v1/completions", CompletionsHandler, {"desk": manager, "unsent": unsent, "longest": longest})]
