"""Parses the requests of one client connection, including pipelined ones; no I/O.

The owner reads all bytes that arrive, as it can't see the end of a connection while bytes wait in its socket.
Memory is bounded instead: of a complete request only what the owner uses is kept, and requests beyond the
memory budget of all connections are counted and refused in their turn.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from heathford.wire.memory_budget import MemoryBudget, MemoryCharge
from heathford.wire.requests import ParsedRequest, Request, RequestError

MAX_QUEUED_REQUESTS = 256  # on one connection; a client that sends more does not wait for answers
# The part of the budget that is open to requests queued behind another one of their connection.
READ_AHEAD_SHARE = 0.5
# Bytes that the first request of a connection may take in any case: clients that send one request at a time
# are served while others fill the budget.
GUARANTEED_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete request.

    started_at, ended_at: when its first and its last byte were read, in s on the loop's clock.
    """

    request: ParsedRequest
    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class DiscardedRequest:
    """A complete request for which there was no memory."""

    keep_alive: bool


@dataclass(frozen=True)
class ReadFailure:
    """The point from which on nothing on the connection can be read."""

    error: RequestError


@dataclass(slots=True)
class DiscardedRun:
    """Consecutive discarded requests that are alike."""

    keep_alive: bool
    count: int


class RequestReader:
    """Queues the requests of one connection in the order in which they were received.

    max_head_bytes, max_body_bytes: limits of one request; kept_fields: header fields that the owner uses, in
    lower case; budget: shared by all connections.
    """

    def __init__(
        self, max_head_bytes: int, max_body_bytes: int, kept_fields: Sequence[str], budget: MemoryBudget
    ) -> None:
        self.max_head_bytes, self.max_body_bytes = max_head_bytes, max_body_bytes
        self.kept_fields = kept_fields
        self.budget = budget
        self.queue_memory = MemoryCharge(budget)  # of complete requests
        self.partial_memory = MemoryCharge(budget)  # of the current request so far
        self.queue: deque[ReceivedRequest | DiscardedRun | ReadFailure] = deque()
        self.queued_requests = 0  # discarded ones included
        self.unreadable = False
        self.buffer = bytearray()  # received bytes that are not parsed yet
        self.current = self.new_request()
        self.started_at = 0.0  # when the first byte of the current one was read

    def new_request(self) -> Request:
        return Request(self.max_head_bytes, self.max_body_bytes, self.buffer)

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
                self.current = self.new_request()
                self.current.feed(b"")
        except RequestError as error:
            self.fail(error)
        self.charge_partial_request()

    def next_request(self) -> ReceivedRequest | DiscardedRequest | ReadFailure | None:
        """Remove and return the first item of the queue, if there is any."""
        if not self.queue:
            return None
        first = self.queue[0]
        if isinstance(first, DiscardedRun) and first.count > 1:
            first.count -= 1
        else:
            self.queue.popleft()
        if isinstance(first, ReadFailure):
            return first
        self.queued_requests -= 1
        if isinstance(first, DiscardedRun):
            return DiscardedRequest(first.keep_alive)
        self.queue_memory.set(self.queue_memory.size - first.request.size)
        return first

    def close(self) -> None:
        """Drop all waiting requests; bytes are ignored from now on."""
        self.queue.clear()
        self.queued_requests = 0
        self.queue_memory.set(0)
        self.drop_unparsed()

    def add(self, request: Request, now: float) -> None:
        """Queue a complete request, or count it where there is no memory for it. Raises RequestError."""
        if self.queued_requests >= MAX_QUEUED_REQUESTS:
            raise RequestError(503, "too many requests at once")
        self.queued_requests += 1
        self.partial_memory.set(0)
        parsed = None if request.body_discarded else ParsedRequest.of(request, self.kept_fields)
        if parsed and (self.is_guaranteed(parsed.size) or self.budget.has_room(parsed.size, self.share)):
            self.queue_memory.set(self.queue_memory.size + parsed.size)
            self.queue.append(ReceivedRequest(parsed, self.started_at, now))
        else:
            self.count_discarded(request.keep_alive)

    @property
    def share(self) -> float:
        """The part of the budget that is open to the next request."""
        return READ_AHEAD_SHARE if self.queue else 1.0

    def is_guaranteed(self, size: int) -> bool:
        """Return whether the next request is kept in any case, if it takes that many bytes."""
        return not self.queue and size <= GUARANTEED_BYTES

    def count_discarded(self, keep_alive: bool) -> None:
        """Queue the refusal of one request."""
        last = self.queue[-1] if self.queue else None
        if isinstance(last, DiscardedRun) and last.keep_alive == keep_alive:
            last.count += 1
        else:
            self.queue.append(DiscardedRun(keep_alive, 1))

    def charge_partial_request(self) -> None:
        """Charge what was read of the current request; discard its body if there is no memory for it."""
        self.partial_memory.set(self.partial_bytes)
        if not self.is_guaranteed(self.partial_bytes) and not self.budget.has_room(share=self.share):
            self.current.discard_body()
            self.partial_memory.set(self.partial_bytes)

    @property
    def partial_bytes(self) -> int:
        """Bytes taken by the part of a request that was read so far."""
        return len(self.buffer) + len(self.current.body)

    def fail(self, error: RequestError) -> None:
        """Queue the failure and ignore all further bytes."""
        self.queue.append(ReadFailure(error))
        self.drop_unparsed()

    def drop_unparsed(self) -> None:
        """Drop the bytes not parsed yet, and ignore all further ones."""
        self.unreadable = True
        self.buffer = bytearray()
        self.current = self.new_request()
        self.partial_memory.set(0)
