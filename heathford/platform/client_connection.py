"""One client's connection: its requests in turn and the answers streamed back to it.

Built on asyncio transports, like the link to engines. The limits here protect the process; what a request is
answered with is decided by the core.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import structlog

from heathford.core.accepted_request import AcceptedRequest
from heathford.core.core import Core
from heathford.core.gate import Reason
from heathford.platform.eviction import Idleness
from heathford.platform.parse_turns import ParseTurns
from heathford.platform.request_acceptance import READ_HEADERS, accept_request
from heathford.platform.request_names import RequestNames
from heathford.platform.responses import CLOSE_HEADER, STREAM_HEAD, full_response
from heathford.wire.memory_budget import MemoryBudget, MemoryCharge
from heathford.wire.request_reader import DiscardedRequest, ReadFailure, ReceivedRequest, RequestReader
from heathford.wire.requests import ParsedRequest, RequestError
from heathford.wire.socket_state import read_socket_state, unread_bytes

MAX_HEAD_BYTES = 16_384  # clients' heads have a few hundred
MAX_BODY_BYTES = 262_144  # the protocol's limit
MAX_UNSENT_BYTES = 1_048_576  # in the write buffer; a client that reads so slowly is dropped
GUARANTEED_UNSENT_BYTES = 16_384  # that a client may leave in the write buffer while the memory is used up
# Memory that an open request takes beside its body: the core's objects, its attempt and the buffers of both
# connections.
OPEN_REQUEST_BYTES = 32_768

log = structlog.get_logger()


class ConnectionServer(Protocol):
    """What a connection needs of the server that accepted it.

    request_names: X-Call-Ids that are in use or were lately. memory: shared by requests and answers of all
    connections. refused: rejected requests by status.
    refuse_from: when new requests start to be refused, in seconds on the event loop's clock.
    """

    core: Core
    workloads: Mapping[str, int]
    loop: asyncio.AbstractEventLoop
    connections: "dict[ClientConnection, None]"
    request_names: RequestNames
    memory: MemoryBudget
    parse_turns: ParseTurns
    refused: Counter[int]
    stopping: bool
    refuse_from: float

    def connection_opened(self, connection: "ClientConnection") -> None:
        """Register a connection that was accepted."""

    def connection_changed(self, connection: "ClientConnection") -> None:
        """Note that a request on the connection was opened or ended."""

    def connection_closed(self, connection: "ClientConnection") -> None:
        """Unregister a connection."""


class ClientConnection(asyncio.Protocol):
    """One client's connection, and the response writer of the request that is open on it."""

    def __init__(self, server: ConnectionServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(MAX_HEAD_BYTES, MAX_BODY_BYTES, READ_HEADERS, server.memory)
        self.unsent_memory = MemoryCharge(server.memory)  # of the write buffer, beyond what is guaranteed
        self.writing_paused = False
        self.accepted_request: AcceptedRequest | None = None
        self.keep_alive = True  # whether the client keeps the connection after the current request
        self.idle_since = server.loop.time()  # when it connected, was last answered, or started a request
        self.answered_count = 0
        self.head_sent = False  # of the current answer
        self.closing = False
        # Once the time for the current request is over: the position on the connection up to which bytes had
        # arrived by then.
        self.overdue_position: int | None = None

    # Calls of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=GUARANTEED_UNSENT_BYTES, low=0)
        self.server.connection_opened(self)

    def pause_writing(self) -> None:
        self.writing_paused = True

    def resume_writing(self) -> None:
        self.writing_paused = False
        self.unsent_memory.set(0)

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        now, reader = self.server.loop.time(), self.reader
        was_idle = self.answered_count and not reader.pending and self.accepted_request is None
        had_backlog = reader.has_unparsed
        self.parse(lambda: reader.feed(data, now))
        if was_idle and reader.pending:
            self.idle_since = now
        if reader.has_unparsed and not had_backlog:
            self.server.parse_turns.add(self)
        self.after_parsing()

    @property
    def has_unparsed(self) -> bool:
        """Whether bytes were received that were not looked at yet."""
        return self.reader.has_unparsed

    def parse_more(self, max_steps: int) -> int:
        """Parse what was received, in about so many steps; return the steps taken."""
        if self.closing or not self.has_unparsed:
            return 0
        steps_taken = self.parse(lambda: self.reader.parse_more(max_steps)) or 0
        self.after_parsing()
        return steps_taken

    def parse(self, call: Callable[[], int | None]) -> int | None:
        """Call the parser; what it raises is answered as an unreadable request."""
        try:
            return call()
        except Exception as exc:
            log.error("client request could not be parsed", exc_info=exc)
            self.reader.fail(RequestError(500, "the request could not be read"))
            return None

    def after_parsing(self) -> None:
        """Handle what is complete now, and end a connection whose request is overdue."""
        self.handle_next()
        self.server.connection_changed(self)
        if self.overdue_position is not None and not self.busy and not self.closing:
            self.check_overdue()

    def eof_received(self) -> None:
        """Treat the end of the client's data as its departure.

        A turn of the core that is already due runs before connection_lost, and would start attempts for a
        client that is gone. A client that only shut down its sending side loses its answer: the protocol
        gives no way to tell the two apart.
        """
        self.on_client_left()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connection_closed(self)
        self.on_client_left()
        self.unsent_memory.set(0)

    def on_client_left(self) -> None:
        """Stop reading, and tell the core that the client of the open request is gone."""
        self.closing = True
        self.reader.close()
        accepted_request = self.accepted_request
        if accepted_request is not None:
            self.clear_request()
            accepted_request.client_left()
        self.server.connection_changed(self)

    # Requests.

    def handle_next(self) -> None:
        """Handle the next complete request, unless one is open; its answer schedules this call again."""
        if self.closing or self.accepted_request is not None:
            return
        next_item = self.reader.next_request()
        if isinstance(next_item, ReceivedRequest):
            self.handle_request(next_item)
        elif isinstance(next_item, DiscardedRequest):
            self.keep_alive = next_item.keep_alive
            self.refuse_unkept(next_item.keep_alive)
        elif isinstance(next_item, ReadFailure):
            self.refuse(next_item.error, False)
        elif self.reader.awaits_continue:
            self.reader.continue_sent()
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def handle_request(self, received: ReceivedRequest) -> None:
        """Answer a readiness check, or submit the request to the core; answer it at once if refused."""
        server, request = self.server, received.request
        self.keep_alive = request.keep_alive
        if request.target.partition("?")[0] == "/health/ready" and request.method == "GET":
            status, text = (503, "not ready") if server.stopping else (200, "ready")
            self.send_response(full_response(status, text, server.stopping), request.keep_alive)
            return
        try:
            reason = server.core.gate.may_start(True, received.ended_at, server.refuse_from)
            if reason is not Reason.ALLOWED:
                raise RequestError(503, f"not begun: {reason.value}")
            self.submit(request, received.started_at)
        except RequestError as exc:
            self.refuse(exc, request.keep_alive)
        except Exception as exc:
            log.error("client request could not be submitted", exc_info=exc)
            self.refuse(RequestError(500, "the request could not be taken"), request.keep_alive)

    def submit(self, request: ParsedRequest, started_at: float) -> None:
        """Hand the request to the core. Raises RequestError before the core has seen any of it.

        The client's budget counts from the request's first byte: the client may have waited since then, also
        while the request arrived slowly or was queued behind another, and an engine must not be given a
        later deadline. The memory of the request is charged until its last attempt has ended.
        """
        server, charge = self.server, MemoryCharge(self.server.memory)
        self.head_sent = False

        def on_removed(removed: AcceptedRequest) -> None:
            charge.set(0)
            forbids_repeat = removed.lifecycle.forbids_repeat
            server.request_names.request_removed(removed.name, forbids_repeat, server.loop.time())

        self.accepted_request = accept_request(
            server.core, self, request, server.workloads, server.request_names, started_at, on_removed
        )
        charge.set(OPEN_REQUEST_BYTES + request.size)
        server.request_names.request_opened(self.accepted_request.name)
        server.connection_changed(self)

    def refuse(self, exc: RequestError, keep_alive: bool) -> None:
        """Answer with an error status. keep_alive: false if the rest of the connection can't be parsed."""
        self.server.refused[exc.status] += 1
        self.record("refused", str(exc.status))
        self.send_response(full_response(exc.status, str(exc), not keep_alive), keep_alive)

    def refuse_unkept(self, keep_alive: bool) -> None:
        """Refuse a request that was read and not kept."""
        server = self.server
        reason = server.core.gate.may_start(False, server.loop.time(), server.refuse_from)
        self.refuse(RequestError(503, f"not begun: {reason.value}"), keep_alive)

    def clear_request(self) -> None:
        """Forget the open request, once its final answer is due or its client is gone."""
        self.accepted_request = None

    # Answers.

    def write(self, data: bytes) -> None:
        """Write unless the transport is closing; drop a client that reads too slowly."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)
        unsent = transport.get_write_buffer_size()
        if self.writing_paused:
            self.unsent_memory.set(unsent)
        if unsent > MAX_UNSENT_BYTES or (self.writing_paused and not self.server.memory.has_room()):
            # A client that sends requests and never reads would fill memory. This also drops one whose
            # network has been slower than its own answer for about a thousand events.
            self.record("closed", "reads too slowly")
            self.drop()
            self.on_client_left()

    def send_response(self, data: bytes, keep_alive: bool) -> None:
        """Write the end of an answer; then go on to the next request, or half-close the connection."""
        self.write(data)
        self.answered_count += 1
        self.idle_since = self.server.loop.time()
        self.overdue_position = None
        if keep_alive and not (self.server.stopping and not self.has_further_request):
            self.server.loop.call_soon(self.handle_next)
            self.server.connection_changed(self)
        else:
            self.half_close()

    @property
    def busy(self) -> bool:
        """Whether a request that was read completely has not been answered yet."""
        return self.accepted_request is not None or self.reader.has_complete_request

    @property
    def idleness(self) -> Idleness | None:
        if self.busy:
            return None
        if self.closing:
            return Idleness.HALF_CLOSED
        if self.reader.has_partial_request:
            return Idleness.PARTIAL_REQUEST
        return Idleness.ANSWERED if self.answered_count else Idleness.SILENT

    @property
    def has_unread(self) -> bool:
        """Whether bytes or the end of the client's data wait in the kernel, not yet read."""
        return read_socket_state(self.transport).unread

    def check_overdue(self) -> None:
        """Time the current request out, once all that had arrived when its time was over has been parsed.

        A request that has arrived whole is answered, also where this process was too busy to read it. What
        arrives later is no reason to wait: a client may send without end.
        """
        reader = self.reader
        if self.overdue_position is None:
            unread = unread_bytes(self.transport)
            if unread is None:
                return  # asked again at the next sweep
            self.overdue_position = reader.arrivals.received + unread
        if reader.parsed < self.overdue_position and (
            reader.has_unparsed or reader.arrivals.received < self.overdue_position
        ):
            return
        self.time_out()

    def time_out(self) -> None:
        """Answer with status 408, and half-close the connection."""
        self.server.refused[408] += 1
        self.send_response(full_response(408, "no whole request in time", True), False)

    def half_close_if_idle(self) -> bool:
        """Half-close the connection if no answer is owed on it; return whether that was done.

        A request that waits in the kernel keeps it open, as it would otherwise be read and never answered.
        The connection is checked again once that has been read.
        """
        if self.closing or self.may_close() is not Reason.ALLOWED:
            return False
        self.record("closed", "idle")
        self.half_close()
        return True

    def may_close(self) -> Reason:
        return self.server.core.gate.may_close(self.busy, self.reader.has_partial_request, self.has_unread)

    def record(self, event: str, reason: str) -> None:
        name = self.accepted_request.name if self.accepted_request else ""
        self.server.core.history.add(name, event, reason)

    def evict(self) -> bool:
        """Drop the connection to free its descriptor; return whether that was done.

        It stays if an answer is owed or not yet sent, or if unread data has arrived. A client that has sent
        part of a request gets status 503.
        """
        if self.busy or self.has_unparsed or not self.flushed or (self.has_unread and not self.closing):
            return False
        self.record("closed", "evicted")
        if self.reader.has_partial_request:
            self.server.refused[503] += 1
            self.write(full_response(503, "no room for a request so slow", True))
        self.drop()
        return True

    def half_close(self) -> None:
        """Shut down the sending side once all is written, and read on until the client closes too.

        Closing a socket with unread bytes resets the connection, which may lose the answer on its way. What
        is read after this is discarded; the client sends it again on another connection.
        """
        self.closing = True
        self.reader.close()
        self.idle_since = self.server.loop.time()
        self.server.connection_changed(self)
        transport = self.transport
        if transport and not transport.is_closing():
            try:
                transport.write_eof()
            except OSError:  # the client has just reset the connection
                self.drop()

    @property
    def flushed(self) -> bool:
        """Whether all that was written has been handed to the kernel."""
        return self.transport is None or not self.transport.get_write_buffer_size()

    def drop(self) -> None:
        """Close the connection at once, discarding what is not yet written."""
        self.closing = True
        self.reader.close()
        self.server.connection_closed(self)
        if self.transport:
            self.transport.abort()

    # Calls of the core: heathford.core.protocols.ResponseWriter.

    def client_connected(self) -> bool:
        if self.accepted_request is not None and read_socket_state(self.transport).ended:
            self.on_client_left()
        return self.accepted_request is not None

    def tokens(self, part: Any) -> None:
        chunk = b"%x\r\n%b\r\n" % (len(part), part)
        if not self.head_sent:
            self.head_sent = True
            chunk = STREAM_HEAD % (CLOSE_HEADER if self.closes_after_answer else b"") + chunk
        self.write(chunk)

    @property
    def has_further_request(self) -> bool:
        """Whether more has arrived behind the open request, which this machine owes an answer."""
        return self.reader.pending or self.has_unread

    @property
    def closes_after_answer(self) -> bool:
        """Whether the connection closes after the current answer: at shutdown, or as the client asked."""
        return (self.server.stopping and not self.has_further_request) or not self.keep_alive

    def finished(self, reason: str, usage: Mapping[str, Any]) -> None:
        keep_alive = not self.closes_after_answer
        self.clear_request()
        self.send_response(b"0\r\n\r\n", keep_alive)

    def rate_limited(self, retry_after: float) -> None:
        keep_alive, why = (
            not self.closes_after_answer,
            self.accepted_request.give_up_reason if self.accepted_request else "",
        )
        self.clear_request()
        extra_headers = f"Retry-After: {retry_after:.3f}\r\n" if retry_after > 0.0 else ""
        self.send_response(
            full_response(503, f"busy, nothing was done: {why}", not keep_alive, extra_headers), keep_alive
        )

    def aborted(self, why: str) -> None:
        keep_alive = not self.closes_after_answer
        self.clear_request()
        if self.head_sent:
            self.drop()  # no last chunk: the client sees that the stream is incomplete
        else:
            self.send_response(full_response(502, why, not keep_alive), keep_alive)
