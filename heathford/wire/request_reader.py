"""Parses the requests of one client connection, including pipelined ones; no I/O.

The owner reads all bytes that arrive, as it can't see the end of a connection while bytes wait in its socket.
Memory is bounded instead: the bodies of requests that a client sends far ahead are dropped.
"""

from collections import deque
from dataclasses import dataclass

from heathford.wire.requests import Request, RequestError

MAX_BUFFERED_BYTES = 8_388_608  # of waiting bodies on all connections: little of a front node's memory
MAX_QUEUED_REQUESTS = 256  # on one connection; a client that sends more does not wait for answers


@dataclass
class ReadAheadBudget:
    """The memory that all connections together use for the bodies of waiting requests."""

    max_bytes: int = MAX_BUFFERED_BYTES
    buffered_bytes: int = 0


@dataclass(frozen=True)
class ReceivedRequest:
    """A complete request; has_body: its body was kept.

    started_at, ended_at: when its first and its last byte were read, in s on the loop's clock.
    """

    request: Request
    started_at: float
    ended_at: float
    has_body: bool = True


@dataclass(frozen=True)
class ReadFailure:
    """The point from which on nothing on the connection can be read."""

    error: RequestError


class RequestReader:
    """Queues the requests of one connection in the order in which they were received.

    max_head_bytes, max_body_bytes: limits of one request; budget: shared by all connections.
    """

    def __init__(self, max_head_bytes: int, max_body_bytes: int, budget: ReadAheadBudget) -> None:
        self.max_head_bytes, self.max_body_bytes = max_head_bytes, max_body_bytes
        self.budget = budget
        self.queue: deque[ReceivedRequest | ReadFailure] = deque()
        self.unreadable = False
        self.current = Request(max_head_bytes, max_body_bytes)
        self.started_at = 0.0  # when the first byte of the current one was read

    @property
    def has_complete_request(self) -> bool:
        """Whether a complete request, or a failure, waits to be handled."""
        return bool(self.queue)

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request was received, and not its end."""
        return not self.unreadable and self.current.has_started

    @property
    def pending(self) -> bool:
        """Whether more was received than was handled."""
        return bool(self.queue) or self.has_partial_request

    @property
    def awaits_continue(self) -> bool:
        """Whether the client sends the body of the current request only after a 100 (Continue)."""
        return self.has_partial_request and self.current.expects_continue

    def continue_sent(self) -> None:
        """Record that 100 (Continue) has been sent."""
        self.current.expects_continue = False

    def feed(self, data: bytes, now: float) -> None:
        """Parse received bytes; after an error all further bytes of the connection are dropped."""
        if self.unreadable:
            return
        if not self.current.has_started:
            self.started_at = now
        try:
            self.current.feed(data)
            while self.current.done:
                self.add(self.current, now)
                self.started_at = now
                self.current = Request(self.max_head_bytes, self.max_body_bytes, self.current.rest)
                self.current.feed(b"")
        except RequestError as error:
            self.fail(error)

    def next_request(self) -> ReceivedRequest | ReadFailure | None:
        """Remove and return the first item of the queue, if there is any."""
        if not self.queue:
            return None
        received = self.queue.popleft()
        if isinstance(received, ReceivedRequest):
            self.budget.buffered_bytes -= len(received.request.body)
        return received

    def close(self) -> None:
        """Drop all waiting requests; bytes are ignored from now on."""
        while self.queue:
            self.next_request()
        self.unreadable = True

    def add(self, request: Request, now: float) -> None:
        """Queue a complete request. Raises RequestError."""
        if len(self.queue) >= MAX_QUEUED_REQUESTS:
            raise RequestError(503, "too many requests at once")
        # One body is always kept: a client may send its next request just before it has read an answer.
        has_body = not self.queue or self.budget.buffered_bytes + len(request.body) <= self.budget.max_bytes
        if not has_body:
            request.body = bytearray()
        self.budget.buffered_bytes += len(request.body)
        self.queue.append(ReceivedRequest(request, self.started_at, now, has_body))

    def fail(self, error: RequestError) -> None:
        """Queue the failure and ignore all further bytes."""
        self.queue.append(ReadFailure(error))
        self.unreadable = True
        self.current = Request(self.max_head_bytes, self.max_body_bytes)
