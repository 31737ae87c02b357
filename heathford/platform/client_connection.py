"""One client's connection: what it asks in turn, and the answers that stream back to it.

On asyncio's transports, as the link is. Bounds here guard the process; what is answered comes from the core.
"""

import asyncio
from collections import Counter
from collections.abc import Mapping
from typing import Any, Protocol

import structlog

from heathford.core.core import Core
from heathford.core.gate import Reason
from heathford.core.accepted_request import AcceptedRequest
from heathford.platform.request_acceptance import accept_request
from heathford.platform.eviction import Idleness
from heathford.platform.responses import CLOSING, STREAM, whole
from heathford.wire.request_reader import ReadAheadBudget, ReceivedRequest, RequestReader, ReadFailure
from heathford.wire.requests import RequestError, Request
from heathford.wire.socket_state import read_socket_state

LONGEST_HEAD = 16_384  # bytes: clients' heads have a few hundred
LONGEST_BODY = 262_144  # bytes: what the protocol allows
UNSENT = 1_048_576  # bytes not yet taken by a client that reads slowly, after which it has left

log = structlog.get_logger()


class Clients(Protocol):
    """What one connection needs of the server that accepted it."""

    core: Core
    workloads: Mapping[str, int]
    loop: asyncio.AbstractEventLoop
    connections: "dict[ClientConnection, None]"
    open: dict[str, AcceptedRequest]
    read_ahead: ReadAheadBudget
    refused: Counter[int]
    stopping: bool
    refuses_from: float

    def opened(self, connection: "ClientConnection") -> None:
        """A connection has been accepted."""

    def changed(self, connection: "ClientConnection") -> None:
        """What is open on a connection has changed."""

    def closed(self, connection: "ClientConnection") -> None:
        """A connection is gone."""


class ClientConnection(asyncio.Protocol):
    """One client's connection and the sink of the completion that is open on it."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(LONGEST_HEAD, LONGEST_BODY, clients.read_ahead)
        self.taken: AcceptedRequest | None = None
        self.name = ""  # of the completion that is open
        self.keep = True  # the client goes on after the request in hand
        self.since = clients.loop.time()  # when it connected, was last answered, or began to ask
        self.served = 0  # answers given
        self.begun = False  # the head of the answer has gone out
        self.closing = False

    # What the transport says.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.clients.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        if self.served and not self.reader.pending and self.taken is None:
            self.since = self.clients.loop.time()
        try:
            self.reader.feed(data, self.clients.loop.time())
        except Exception as problem:
            log.error("request not read", exc_info=problem)
            self.reader.fail(RequestError(500, "the request could not be read"))
        self.advance()
        self.clients.changed(self)

    def eof_received(self) -> None:
        """Guards against attempts that begin after the client has gone: a turn of the core that is due comes
        before connection_lost. Could harm a client that shuts its sending side and still waits; what the
        protocol says of clients that close leaves no way to tell them apart."""
        self.leave()

    def connection_lost(self, problem: Exception | None) -> None:
        self.clients.closed(self)
        self.leave()

    def leave(self) -> None:
        """The client has gone."""
        self.closing = True
        self.reader.close()
        taken = self.taken
        if taken is not None:
            self.forget()
            taken.client_left()
        self.clients.changed(self)

    # Requests.

    def advance(self) -> None:
        """Handle the next request that is whole, unless one is in hand; its answer calls this again."""
        if self.closing or self.taken is not None:
            return
        found = self.reader.next_request()
        if isinstance(found, ReceivedRequest):
            self.handle(found)
        elif isinstance(found, ReadFailure):
            self.refuse(found.error, False)
        elif self.reader.awaits_continue:
            self.reader.continue_sent()
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def handle(self, received: ReceivedRequest) -> None:
        clients, request = self.clients, received.request
        self.keep = request.keep_alive
        if request.target.partition("?")[0] == "/health/ready" and request.method == "GET":
            status, text = (503, "not ready") if clients.stopping else (200, "ready")
            self.answer(whole(status, text, clients.stopping), request.keep_alive)
            return
        try:
            reason = clients.core.gate.may_start(received.has_body, received.ended_at, clients.refuses_from)
            if reason is not Reason.ALLOWED:
                raise RequestError(503, f"not begun: {reason.value}")
            self.take(request, received.started_at)
        except RequestError as problem:
            self.refuse(problem, request.keep_alive)
        except Exception as problem:
            log.error("request not taken", exc_info=problem)
            self.refuse(RequestError(500, "the request could not be taken"), request.keep_alive)

    def take(self, request: Request, began: float) -> None:
        """Hand the request to the core. Raises RequestError: before the core has seen any of it. The client's
        budget counts from the first byte that came: it may have waited since then, however slowly it wrote,
        however long the request stood behind another, and an engine must not be told more."""
        clients = self.clients
        self.begun = False
        self.taken = accept_request(clients.core, self, request, clients.workloads, clients.open, began)
        self.name = request.headers["x-call-id"]
        request.body = bytearray()  # the core has it
        clients.open[self.name] = self.taken
        clients.changed(self)

    def refuse(self, problem: RequestError, keep: bool) -> None:
        """keep: what was whole but made no sense leaves the connection in order; anything else does not."""
        self.clients.refused[problem.status] += 1
        self.record("refused", str(problem.status))
        self.answer(whole(problem.status, str(problem), not keep), keep)

    def forget(self) -> None:
        self.clients.open.pop(self.name, None)
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
            self.record("closed", "reads too slowly")
            self.drop()
            self.leave()

    def answer(self, data: bytes, keep: bool) -> None:
        """A whole answer; after it the connection waits for the next request, or closes."""
        self.write(data)
        self.served += 1
        self.since = self.clients.loop.time()
        if keep and not (self.clients.stopping and not self.asks_on):
            self.clients.loop.call_soon(self.advance)
            self.clients.changed(self)
        else:
            self.finish()

    @property
    def busy(self) -> bool:
        """A request that was read whole has not been answered yet."""
        return self.taken is not None or self.reader.has_complete_request

    @property
    def idleness(self) -> Idleness | None:
        if self.busy:
            return None
        if self.closing:
            return Idleness.SHUT
        if self.reader.has_partial_request:
            return Idleness.ASKING
        return Idleness.ANSWERED if self.served else Idleness.SILENT

    @property
    def unread(self) -> bool:
        """Bytes, or the client's end, have reached this machine and not this program."""
        return read_socket_state(self.transport).unread

    def finish_if_idle(self) -> bool:
        """Shut a connection that nothing is owed on. Guards against a shutdown behind a request that waits in
        the kernel: it would be read, and never answered. It is looked at again once that has been read."""
        if self.closing or self.may_close() is not Reason.ALLOWED:
            return False
        self.record("closed", "idle")
        self.finish()
        return True

    def may_close(self) -> Reason:
        return self.clients.core.gate.may_close(self.busy, self.reader.has_partial_request, self.unread)

    def record(self, event: str, reason: str) -> None:
        self.clients.core.history.add(self.name, event, reason)

    def evict(self) -> bool:
        """Make way for another connection; not where an answer is owed or on its way, or more has come. Half
        a request is told why."""
        if self.busy or not self.flushed or (self.unread and not self.closing):
            return False
        self.record("closed", "evicted")
        if self.reader.has_partial_request:
            self.clients.refused[503] += 1
            self.write(whole(503, "no room for a request so slow", True))
        self.drop()
        return True

    def finish(self) -> None:
        """Shuts our side once all is written, and reads on until the client closes too: closed over bytes
        that nobody has read, the connection would be reset and the answer lost on its way. What is read after
        this is dropped; its client sends it anew on another connection."""
        self.closing = True
        self.reader.close()
        self.since = self.clients.loop.time()
        self.clients.changed(self)
        transport = self.transport
        if transport and not transport.is_closing():
            try:
                transport.write_eof()
            except OSError:  # its client has reset it since we looked
                self.drop()

    @property
    def flushed(self) -> bool:
        """All that was written has left."""
        return self.transport is None or not self.transport.get_write_buffer_size()

    def drop(self) -> None:
        self.closing = True
        self.reader.close()
        self.clients.closed(self)
        if self.transport:
            self.transport.abort()

    # What the core says: heathford.core.protocols.ResponseWriter.

    def client_connected(self) -> bool:
        if self.taken is not None and read_socket_state(self.transport).ended:
            self.leave()
        return self.taken is not None

    def tokens(self, part: Any) -> None:
        chunk = b"%x\r\n%b\r\n" % (len(part), part)
        if not self.begun:
            self.begun = True
            chunk = STREAM % (CLOSING if self.ends_after else b"") + chunk
        self.write(chunk)

    @property
    def asks_on(self) -> bool:
        """More has come behind the request in hand. It was taken by this machine and is owed an answer."""
        return self.reader.pending or self.unread

    @property
    def ends_after(self) -> bool:
        return (self.clients.stopping and not self.asks_on) or not self.keep

    def finished(self, reason: str, usage: Mapping[str, Any]) -> None:
        keep = not self.ends_after
        self.forget()
        self.answer(b"0\r\n\r\n", keep)

    def rate_limited(self, retry_after: float) -> None:
        keep, why = not self.ends_after, self.taken.give_up_reason if self.taken else ""
        self.forget()
        more = f"Retry-After: {retry_after:.3f}\r\n" if retry_after > 0.0 else ""
        self.answer(whole(503, f"busy, nothing was done: {why}", not keep, more), keep)

    def aborted(self, why: str) -> None:
        keep = not self.ends_after
        self.forget()
        if self.begun:
            self.drop()  # without the last chunk: what came is not whole
        else:
            self.answer(whole(502, why, not keep), keep)
