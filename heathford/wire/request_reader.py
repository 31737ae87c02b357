"""Reads the requests of one client connection, however many come behind the one in hand; no I/O.

Nothing that comes is left unread: a connection whose bytes wait in the socket can't be seen to close. Memory
is bounded instead: what a client sends far ahead is read, but not kept.
"""

from collections import deque
from dataclasses import dataclass

from heathford.wire.requests import RequestError, Request

MAX_BUFFERED_BYTES = (
    8_388_608  # bytes of bodies that wait at all connections: few beside a front node's memory
)
MAX_QUEUED_REQUESTS = 256  # requests that wait; a client that sends more on one connection wants no answers


@dataclass
class ReadAheadBudget:
    """What all connections together keep of requests that wait."""

    max_bytes: int = MAX_BUFFERED_BYTES
    has_body: int = 0


@dataclass(frozen=True)
class ReceivedRequest:
    """A whole request; kept: with its body.

    began, ended: s on the loop's clock at which its first byte and its last were read.
    """

    request: Request
    started_at: float
    ended_at: float
    has_body: bool = True


@dataclass(frozen=True)
class ReadFailure:
    """Bytes from which on nothing on the connection can be read."""

    error: RequestError


class RequestReader:
    """Requests in the order in which they came. longest_head, longest_body: bytes that one may have."""

    def __init__(self, longest_head: int, longest_body: int, ahead: ReadAheadBudget) -> None:
        self.longest_head, self.longest_body = longest_head, longest_body
        self.ahead = ahead
        self.waiting: deque[ReceivedRequest | ReadFailure] = deque()
        self.unreadable = False
        self.current = Request(longest_head, longest_body)
        self.started_at = 0.0  # when the first byte of the current one was read

    @property
    def has_complete_request(self) -> bool:
        """A request that has come whole waits to be taken."""
        return bool(self.waiting)

    @property
    def has_partial_request(self) -> bool:
        """Part of a request has come, and its end has not."""
        return not self.unreadable and self.current.has_started

    @property
    def pending(self) -> bool:
        """More has come than was taken."""
        return bool(self.waiting) or self.has_partial_request

    @property
    def awaits_continue(self) -> bool:
        """The request that is coming waits for 100 (Continue) before it sends its body."""
        return self.has_partial_request and self.current.awaits_continue

    def continue_sent(self) -> None:
        """100 (Continue) has been sent."""
        self.current.awaits_continue = False

    def feed(self, data: bytes, now: float) -> None:
        """Take what came; from bytes that can't be read on, the rest of the connection is dropped."""
        if self.unreadable:
            return
        if not self.current.has_started:
            self.started_at = now
        try:
            self.current.feed(data)
            while self.current.done:
                self.add(self.current, now)
                self.started_at = now
                self.current = Request(self.longest_head, self.longest_body, self.current.rest)
                self.current.feed(b"")
        except RequestError as error:
            self.fail(error)

    def next_request(self) -> ReceivedRequest | ReadFailure | None:
        """The next of what is whole."""
        if not self.waiting:
            return None
        found = self.waiting.popleft()
        if isinstance(found, ReceivedRequest):
            self.ahead.has_body -= len(found.request.body)
        return found

    def close(self) -> None:
        """Drop all that waits; nothing more is read."""
        while self.waiting:
            self.next_request()
        self.unreadable = True

    def add(self, request: Request, now: float) -> None:
        if len(self.waiting) >= MAX_QUEUED_REQUESTS:
            raise RequestError(503, "too many requests at once")
        # One is always kept: a client may well send its next request a moment before it has read an answer.
        kept = not self.waiting or self.ahead.has_body + len(request.body) <= self.ahead.max_bytes
        if not kept:
            request.body = bytearray()
        self.ahead.has_body += len(request.body)
        self.waiting.append(ReceivedRequest(request, self.started_at, now, kept))

    def fail(self, error: RequestError) -> None:
        self.waiting.append(ReadFailure(error))
        self.unreadable = True
        self.current = Request(self.longest_head, self.longest_body)
