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

# Steps of the parser right after a read: more than a usual request needs, less than a millisecond.
STEPS_PER_READ = 64
MAX_UNPARSED_BYTES = 2_097_152  # on one connection: eight reads
MAX_QUEUED_REQUESTS = 256  # on one connection; a client that sends more does not wait for answers
# The part of the budget that is open to requests queued behind another one of their connection.
READ_AHEAD_SHARE = 0.5
# Bytes that the first request of a connection, and one that is not complete, may take in any case: clients
# that send one request at a time are served while others fill the budget.
GUARANTEED_BYTES = 16_384


@dataclass(slots=True)
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


class ArrivalTimes:
    """When the bytes of a connection were received, by their positions on it; in s on the loop's clock.

    Positions have to be asked for in ascending order.
    """

    def __init__(self) -> None:
        self.received = 0  # bytes in all
        self.reads: list[tuple[int, float]] = []  # position after each read, and its time

    def add(self, size: int, now: float) -> None:
        self.received += size
        self.reads.append((self.received, now))

    def keep_last(self) -> None:
        """Forget all reads but the last one."""
        del self.reads[:-1]

    def time_of(self, position: int) -> float:
        """Return when the byte at that position was received; earlier ones are forgotten."""
        while self.reads[0][0] <= position:
            del self.reads[0]
        return self.reads[0][1]


class RequestReader:
    """Queues the requests of one connection in the order in which they were received.

    What one read brings is parsed in several steps: while `has_unparsed` is set, the owner goes on with
    `parse_more` in later turns of the event loop.

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
        self.arrivals = ArrivalTimes()
        self.has_unparsed = False  # bytes were received that were not looked at yet
        self.started_at: float | None = None  # when the first byte of the current one was read

    def new_request(self) -> Request:
        """Return a parser of the next request."""
        return Request(self.max_head_bytes, self.max_body_bytes, self.buffer)

    @property
    def has_complete_request(self) -> bool:
        """Whether a complete request, or a failure, waits to be handled."""
        return bool(self.queue)

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request was received, and not its end; also true while it is not known."""
        return not self.unreadable and self.current.has_started

    @property
    def parsed(self) -> int:
        """Bytes of the connection that were parsed."""
        return self.arrivals.received - len(self.buffer)

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
        """Take received bytes, and parse the first ones unless there is a backlog.

        After an error all further bytes of the connection are dropped.
        """
        if self.unreadable:
            return
        self.buffer += data
        self.arrivals.add(len(data), now)
        if self.has_unparsed:
            self.charge_partial_request()
        else:
            self.parse_more(STEPS_PER_READ)

    def parse_more(self, max_steps: int) -> int:
        """Parse received bytes in about so many steps, and return the steps taken."""
        steps = 0
        try:
            while steps < max_steps:
                self.note_start()
                steps += self.current.parse(max_steps - steps)
                if not self.current.done:
                    break
                self.add(self.current)
                self.current.discard_body()
                self.current = self.new_request()
                self.started_at = None
        except RequestError as error:
            self.fail(error)
        self.has_unparsed = bool(self.buffer) and steps >= max_steps
        if not self.has_unparsed:
            self.arrivals.keep_last()
        if not self.current.has_started:  # nothing but empty lines
            self.started_at = None
        if self.partial_bytes or self.partial_memory.size:
            self.charge_partial_request()
        return steps

    def note_start(self) -> None:
        """Note when the current request began, at its first byte."""
        if self.started_at is None and self.buffer:
            self.started_at = self.arrivals.time_of(self.parsed)

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

    def add(self, request: Request) -> None:
        """Queue a complete request, or count it where there is no memory for it. Raises RequestError."""
        if self.queued_requests >= MAX_QUEUED_REQUESTS:
            raise RequestError(503, "too many requests at once")
        self.queued_requests += 1
        self.partial_memory.set(0)
        parsed = None if request.body_discarded else ParsedRequest.of(request, self.kept_fields)
        if parsed and (self.is_guaranteed(parsed.size) or self.budget.has_room(parsed.size, self.share)):
            self.queue_memory.set(self.queue_memory.size + parsed.size)
            ended_at = self.arrivals.time_of(self.parsed - 1)
            started_at = ended_at if self.started_at is None else self.started_at
            self.queue.append(ReceivedRequest(parsed, started_at, ended_at))
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
        """Charge what was received and is not complete; drop it if there is no memory for it."""
        self.partial_memory.set(self.partial_bytes)
        if self.partial_fits():
            return
        self.current.discard_body()
        self.partial_memory.set(self.partial_bytes)
        if not self.partial_fits():
            self.fail(RequestError(503, "too much at once"))

    def partial_fits(self) -> bool:
        """Return whether there is memory for what was received and is not complete."""
        if self.partial_memory.size <= GUARANTEED_BYTES:
            return True
        return len(self.buffer) <= MAX_UNPARSED_BYTES and self.budget.has_room()

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
        self.unreadable, self.has_unparsed = True, False
        self.partial_memory.set(0)
        if self.current.has_started:
            self.buffer.clear()
            self.current.discard_body()
            self.current = self.new_request()
