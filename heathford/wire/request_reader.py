"""Reads the requests of one client connection, however many come behind the one in hand; no I/O.

Nothing that comes is left unread: a connection whose bytes wait in the socket can't be seen to close. Memory
is bounded instead: what a client sends far ahead is read, but not kept.
"""

from collections import deque
from dataclasses import dataclass

from heathford.wire.requests import RefusedError, Request

MOST_KEPT = 8_388_608  # bytes of bodies that wait at all connections: few beside a front node's memory
MOST_WAITING = 256  # requests that wait; a client that sends more on one connection wants no answers


@dataclass
class ReadAhead:
    """What all connections together keep of requests that wait."""

    most: int = MOST_KEPT
    kept: int = 0


@dataclass(frozen=True)
class Received:
    """A whole request; kept: with its body.

    began, ended: s on the loop's clock at which its first byte and its last were read.
    """

    request: Request
    began: float
    ended: float
    kept: bool = True


@dataclass(frozen=True)
class Unreadable:
    """Bytes from which on nothing on the connection can be read."""

    error: RefusedError


class RequestReader:
    """Requests in the order in which they came. longest_head, longest_body: bytes that one may have."""

    def __init__(self, longest_head: int, longest_body: int, ahead: ReadAhead) -> None:
        self.longest_head, self.longest_body = longest_head, longest_body
        self.ahead = ahead
        self.waiting: deque[Received | Unreadable] = deque()
        self.unreadable = False
        self.current = Request(longest_head, longest_body)
        self.began = 0.0  # when the first byte of the current one was read

    @property
    def has_whole(self) -> bool:
        """A request that has come whole waits to be taken."""
        return bool(self.waiting)

    @property
    def begun(self) -> bool:
        """Part of a request has come, and its end has not."""
        return not self.unreadable and self.current.begun

    @property
    def pending(self) -> bool:
        """More has come than was taken."""
        return bool(self.waiting) or self.begun

    @property
    def awaits_continue(self) -> bool:
        """The request that is coming waits for 100 (Continue) before it sends its body."""
        return self.begun and self.current.waits

    def continued(self) -> None:
        """100 (Continue) has been sent."""
        self.current.waits = False

    def feed(self, data: bytes, now: float) -> None:
        """Take what came; from bytes that can't be read on, the rest of the connection is dropped."""
        if self.unreadable:
            return
        if not self.current.begun:
            self.began = now
        try:
            self.current.feed(data)
            while self.current.done:
                self.add(self.current, now)
                self.began = now
                self.current = Request(self.longest_head, self.longest_body, self.current.rest)
                self.current.feed(b"")
        except RefusedError as error:
            self.give_up(error)

    def take(self) -> Received | Unreadable | None:
        """The next of what is whole."""
        if not self.waiting:
            return None
        found = self.waiting.popleft()
        if isinstance(found, Received):
            self.ahead.kept -= len(found.request.body)
        return found

    def close(self) -> None:
        """Drop all that waits; nothing more is read."""
        while self.waiting:
            self.take()
        self.unreadable = True

    def add(self, request: Request, now: float) -> None:
        if len(self.waiting) >= MOST_WAITING:
            raise RefusedError(503, "too many requests at once")
        # One is always kept: a client may well send its next request a moment before it has read an answer.
        kept = not self.waiting or self.ahead.kept + len(request.body) <= self.ahead.most
        if not kept:
            request.body = bytearray()
        self.ahead.kept += len(request.body)
        self.waiting.append(Received(request, self.began, now, kept))

    def give_up(self, error: RefusedError) -> None:
        self.waiting.append(Unreadable(error))
        self.unreadable = True
        self.current = Request(self.longest_head, self.longest_body)
