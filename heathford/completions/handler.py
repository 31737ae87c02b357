"""Carries POST /v1/completions; each request is a session of one completion, on the same core and limits."""

import asyncio
from collections.abc import Mapping
from typing import Any

import orjson
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from heathford.completions import responses
from heathford.sessions.guidance import Retry, after_refusal, told
from heathford.sessions.workload_catalog import ParamsError
from heathford.sessions.session import SessionManager, Session
from heathford.sessions.versions import BEFORE, HEADER, VersionError, of_header

KEY = 0  # the one completion of such a session


class CompletionsHandler(RequestHandler):
    """unsent: bytes that a client may leave untaken before its tokens are merged."""

    def initialize(self, desk: SessionManager, unsent: int, longest: int) -> None:
        self.manager, self.unsent, self.longest = desk, unsent, longest
        self.session: Session | None = None
        self.over = asyncio.Event()
        self.streams = self.with_usage = self.begun = False
        self.model, self.version = "", BEFORE
        self.untaken = 0

    async def post(self) -> None:
        received = self.manager.now()
        try:
            self.version = of_header(self.request.headers.get(HEADER))
        except VersionError as problem:
            self.say(
                400,
                {"Content-Type": responses.PROBLEM_TYPE},
                responses.problem_body(400, "Bad Request", str(problem), served=problem.served),
            )
            return
        self.set_header(HEADER, str(self.version))
        if len(self.request.body) > self.longest:
            self.say(
                413,
                {"Content-Type": responses.PROBLEM_TYPE},
                responses.problem_body(413, "Content Too Large", f"allowed are {self.longest} bytes"),
            )
            return
        try:
            params = orjson.loads(self.request.body)
        except orjson.JSONDecodeError as problem:
            self.bad_request(f"no JSON: {problem}")
            return
        if not isinstance(params, dict):
            self.bad_request("the body: allowed is an object")
            return
        streams, options = params.get("stream") or False, params.get("stream_options") or {}
        key = self.request.headers.get("Idempotency-Key")
        if key is not None:
            params["idempotency_key"] = key
        if not isinstance(streams, bool) or not isinstance(options, dict):
            self.bad_request("stream: allowed is true or false; stream_options: an object")
            return
        try:
            arguments, attempt = (
                self.manager.catalog.parse_request(params),
                self.manager.catalog.parse_attempt(params),
            )
        except ParamsError as problem:
            self.bad_request(str(problem))
            return
        self.streams, self.with_usage = streams, bool(options.get("include_usage"))
        self.model = arguments["body"]["model"]
        self.session = Session(self.manager, self, self.manager.next_session_name())
        self.session.submit(KEY, arguments, received, len(self.request.body), attempt)
        await self.over.wait()

    def on_connection_close(self) -> None:
        if self.session:
            self.session.client_left()
        self.over.set()

    def bad_request(self, what: str) -> None:
        self.say(
            400, {"Content-Type": responses.PROBLEM_TYPE}, responses.problem_body(400, "Bad Request", what)
        )

    def say(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        if self._finished:
            return
        self.set_status(status)
        for name, value in headers.items():
            self.set_header(name, value)
        if self.session:
            left = max(0, self.manager.max_active - self.session.active)
            self.set_header("RateLimit-Policy", f'"front";q={self.manager.max_active}')
            self.set_header("RateLimit", f'"front";r={left}')
        self.finish(body)
        self.over.set()

    def stream(self, data: bytes, end: bool = False) -> None:
        if self._finished:
            return
        if not self.begun:
            self.begun = True
            self.set_header("Content-Type", responses.STREAM)
            self.set_header("Cache-Control", "no-store")
        self.write(data)
        written: Any = self.finish() if end else self.flush()
        self.untaken += len(data)
        written.add_done_callback(lambda done: self.taken(done, len(data)))
        if end:
            self.over.set()

    def taken(self, done: "asyncio.Future[None]", size: int) -> None:
        slow = self.slow
        self.untaken -= size
        if done.cancelled() or isinstance(done.exception(), StreamClosedError | OSError):
            return
        if slow and not self.slow and self.session:
            self.session.caught_up()

    # heathford.sessions.session.Voice

    @property
    def slow(self) -> bool:
        return self.untaken > self.unsent

    def resume_reading(self) -> None:
        """One completion a request: there is nothing to be kept from sending."""

    def chunk(self, key: Any, completion: str, text: str) -> None:
        if self.streams:
            self.stream(responses.part(completion, self.model, text))

    def finished(self, key: Any, completion: str, reason: str, usage: Mapping[str, Any], text: str) -> None:
        if self.streams:
            self.stream(responses.last(completion, self.model, reason, usage, self.with_usage), end=True)
        else:
            self.say(
                200,
                {"Content-Type": "application/json"},
                responses.whole(completion, self.model, text, reason, usage),
            )

    def rate_limited(self, key: Any, completion: str, retry_after: float) -> None:
        self.say(*responses.refusal(completion, retry_after, **told(after_refusal(), self.version)))

    def aborted(self, key: Any, completion: str, why: str, retry: Retry) -> None:
        if self.begun:
            self.stream(responses.broken(completion, why, **told(retry, self.version)), end=True)
        else:
            self.say(*responses.failure(completion, why, **told(retry, self.version)))

    def conflict(self, key: Any) -> None:
        self.say(
            422,
            {"Content-Type": responses.PROBLEM_TYPE},
            responses.problem_body(
                422,
                "Unprocessable Content",
                "Idempotency-Key: stands for another completion; allowed is a new one",
            ),
        )


def routes(desk: SessionManager, unsent: int, longest: int) -> list[Any]:
    return [(r"/v1/completions", CompletionsHandler, {"desk": desk, "unsent": unsent, "longest": longest})]
