"""Clients: their connections, what they ask in turn, and the sinks that stream answers back.

On asyncio's transports, as the link is. Bounds here guard the process; what is answered comes from the core.
"""

import asyncio
from collections import Counter
from collections.abc import Mapping
from typing import Any

import structlog

from heathford.core.core import Core, Taken
from heathford.platform.asking import ask
from heathford.wire.request_reader import ReadAhead, Received, RequestReader, Unreadable
from heathford.wire.requests import RefusedError, Request

LONGEST_HEAD = 16_384  # bytes: clients' heads have a few hundred
LONGEST_BODY = 262_144  # bytes: what the protocol allows
UNSENT = 1_048_576  # bytes not yet taken by a client that reads slowly, after which it has left
FIRST = 2.0  # s for a connection's first byte: silent ones are owed a close within 3
IDLE = 30.0  # s that a connection is kept between requests: clients come back within seconds or not at all
SAYS = 0.5  # s within which a client that connects begins to ask
WRITES = 2.6  # s from connecting for a first request that has begun: it is still coming, slowly
SWEEP = 0.25  # s between two looks at what idles: small beside FIRST
LINGER = 1.0  # s for which a connection that we have shut is still read: closed over unread bytes it would be
# reset, and what the client has not read yet would be lost
LINGER_AT_END = 0.3  # s of the same while the process ends: it may be killed 0.7 s after the longest deadline

REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 413: "Content Too Large", 417: "Expectation Failed",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
    502: "Bad Gateway", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%b\r\n"
CLOSING = b"Connection: close\r\n"

log = structlog.get_logger()


def whole(status: int, text: str, close: bool, more: str = "") -> bytes:
    body = text.encode() + b"\n"
    closing = "Connection: close\r\n" if close else ""
    return (f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: text/plain\r\n"
            f"Content-Length: {len(body)}\r\n{closing}{more}\r\n").encode() + body


class Door:
    """All clients' connections of one front. connections: at most, in all."""

    def __init__(self, core: Core, workloads: Mapping[str, int], connections: int) -> None:
        self.core, self.workloads, self.most = core, workloads, connections
        self.loop = asyncio.get_running_loop()
        self.clients: dict[ClientConnection, None] = {}
        self.open: dict[str, Taken] = {}  # completions that clients wait for, by the clients' names
        self.stopping = False
        self.refused: Counter[int] = Counter()  # by status: what was never taken
        self.turned_out = 0  # connections closed to make room
        self.ahead = ReadAhead()

    def connection(self) -> "ClientConnection":
        return ClientConnection(self)

    def opened(self, client: "ClientConnection") -> None:
        if len(self.clients) >= self.most and not self.make_room():
            self.turned_out += 1
            client.drop()  # unread: an answer would need the descriptor until its client has read it
        else:
            self.clients[client] = None

    def make_room(self) -> bool:
        """Guards against clients that connect by the hundreds and say nothing: those without an open request
        make way. First whose connection we have shut, then who connected and said nothing for longer than a
        client that wants something does, who was answered and stays, who is slow to ask, and only then who
        has just come. Could harm a client whose connection is closed as it asks; it asks again on a new one.
        """
        now = self.loop.time()

        def rank(client: ClientConnection) -> tuple[int, float]:
            if client.closing and client.flushed:
                return -1, client.since
            if client.reader.begun:
                return 2, client.since
            if client.served:
                return 1, client.since
            return (0 if now - client.since >= SAYS else 3), client.since
        oldest = min((c for c in self.clients if c.taken is None), key=rank, default=None)
        if oldest is None:
            return False
        self.turned_out += 1
        oldest.drop()
        return True

    def sweep(self, now: float) -> None:
        linger = LINGER_AT_END if self.stopping else LINGER
        for client in list(self.clients):
            if client.taken is not None:
                continue
            if client.closing:
                if now - client.since >= (linger if client.flushed else IDLE):
                    client.drop()
            elif client.reader.begun or not client.served:
                if now - client.since >= (WRITES if client.reader.begun else FIRST):
                    self.refused[408] += 1
                    client.answer(whole(408, "no whole request in time", True), False)
            elif now - client.since >= IDLE:
                client.finish()

    def close_idle(self) -> None:
        for client in list(self.clients):
            if client.taken is None and not client.reader.pending and not client.closing:
                client.finish()


class ClientConnection(asyncio.Protocol):
    """One client's connection and the sink of the completion that is open on it."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(LONGEST_HEAD, LONGEST_BODY, door.ahead)
        self.taken: Taken | None = None
        self.name = ""  # of the completion that is open
        self.keep = True  # the client goes on after the request in hand
        self.since = door.loop.time()  # when it connected, was last answered, or began to ask
        self.served = 0  # answers given
        self.begun = False  # the head of the answer has gone out
        self.closing = False

    # What the transport says.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.door.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        if self.served and not self.reader.pending and self.taken is None:
            self.since = self.door.loop.time()
        self.reader.feed(data, self.door.loop.time())
        self.advance()

    def eof_received(self) -> None:
        """Guards against attempts that begin after the client has gone: a turn of the core that is due comes
        before connection_lost. Could harm a client that shuts its sending side and still waits; what the
        protocol says of clients that close leaves no way to tell them apart."""
        self.leave()

    def connection_lost(self, problem: Exception | None) -> None:
        self.door.clients.pop(self, None)
        self.leave()

    def leave(self) -> None:
        self.closing = True
        self.reader.close()
        taken = self.taken
        if taken is not None:
            self.forget()
            taken.leave()

    # Requests.

    def advance(self) -> None:
        """Handle the next request that is whole, unless one is in hand; its answer calls this again."""
        if self.closing or self.taken is not None:
            return
        found = self.reader.take()
        if isinstance(found, Received):
            self.handle(found)
        elif isinstance(found, Unreadable):
            self.refuse(found.error, False)
        elif self.reader.awaits_continue:
            self.reader.continued()
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def handle(self, received: Received) -> None:
        door, request = self.door, received.request
        self.keep = request.keep
        if request.target.partition("?")[0] == "/health/ready" and request.method == "GET":
            status, text = (503, "not ready") if door.stopping else (200, "ready")
            self.answer(whole(status, text, door.stopping), request.keep)
            return
        try:
            if not received.kept:
                raise RefusedError(503, "too many requests at once")
            self.take(request, received.at)
        except RefusedError as problem:
            self.refuse(problem, request.keep)

    def take(self, request: Request, at: float) -> None:
        """Hand the request to the core. Raises RefusedError: before the core has seen any of it."""
        door = self.door
        self.begun = False
        self.taken = ask(door.core, self, request, door.workloads, door.open, at)
        self.name = request.headers["x-call-id"]
        request.body = bytearray()  # the core has it
        door.open[self.name] = self.taken

    def refuse(self, problem: RefusedError, keep: bool) -> None:
        """keep: what was whole but made no sense leaves the connection in order; anything else does not."""
        self.door.refused[problem.status] += 1
        self.answer(whole(problem.status, str(problem), not keep), keep)

    def forget(self) -> None:
        self.door.open.pop(self.name, None)
        self.taken, self.name = None, ""

    # Answers.

    def write(self, data: bytes) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)
        if transport.get_write_buffer_size() > UNSENT:
            # Guards against a client that asks and does not read. Could harm one on a line slower than its
            # own answer for a thousand events.
            self.drop()
            self.leave()

    def answer(self, data: bytes, keep: bool) -> None:
        """A whole answer; after it the connection waits for the next request, or closes."""
        self.write(data)
        self.served += 1
        self.since = self.door.loop.time()
        if keep and not (self.door.stopping and not self.asks_on):
            self.door.loop.call_soon(self.advance)
        else:
            self.finish()

    def finish(self) -> None:
        """Shuts our side once all is written, and reads on until the client closes too: closed over bytes
        that nobody has read, the connection would be reset and the answer lost on its way. What is read after
        this is dropped; its client sends it anew on another connection."""
        self.closing = True
        self.reader.close()
        self.since = self.door.loop.time()
        transport = self.transport
        if transport and not transport.is_closing():
            transport.write_eof()

    @property
    def flushed(self) -> bool:
        """All that was written has left."""
        return self.transport is None or not self.transport.get_write_buffer_size()

    def drop(self) -> None:
        self.closing = True
        self.reader.close()
        self.door.clients.pop(self, None)
        if self.transport:
            self.transport.abort()

    # What the core says: heathford.core.doors.Sink.

    def tokens(self, part: Any) -> None:
        chunk = b"%x\r\n%b\r\n" % (len(part), part)
        if not self.begun:
            self.begun = True
            chunk = STREAM % (CLOSING if self.ends_after else b"") + chunk
        self.write(chunk)

    @property
    def asks_on(self) -> bool:
        """More has come behind the request in hand. It was taken by this machine and is owed an answer."""
        return self.reader.pending

    @property
    def ends_after(self) -> bool:
        return (self.door.stopping and not self.asks_on) or not self.keep

    def finished(self, reason: str, usage: Mapping[str, Any]) -> None:
        keep = not self.ends_after
        self.forget()
        self.answer(b"0\r\n\r\n", keep)

    def rate_limited(self, retry_after: float) -> None:
        keep = not self.ends_after
        self.forget()
        more = f"Retry-After: {retry_after:.3f}\r\n" if retry_after > 0.0 else ""
        self.answer(whole(503, "busy: nothing was done", not keep, more), keep)

    def aborted(self, why: str) -> None:
        keep = not self.ends_after
        self.forget()
        if self.begun:
            self.drop()  # without the last chunk: what came is not whole
        else:
            self.answer(whole(502, why, not keep), keep)
