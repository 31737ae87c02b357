"""One attempt at an engine in the platform's protocol, from its request to its outcome."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from heathford.core.protocols import Arrival, CallEvents, Endpoint
from heathford.engines.stream_progress import StreamProgress
from heathford.interface import PART_ARRIVED, Role, Outcome
from heathford.platform.answers import Answer
from heathford.platform.exchange import EngineConnection, Exchange
from heathford.policy.transfer import PROGRESS_CHECK_INTERVAL, Send, SendState
from heathford.wire.http1 import MalformedMessageError, encode_request
from heathford.wire.socket_state import unacknowledged_bytes

if TYPE_CHECKING:
    from heathford.platform.link import PlatformLink

STREAM_SILENCE_LIMIT = 4.0  # s without progress, after which a stream has failed: clients wait for 5 s
TRAILERS_TIMEOUT = 0.8  # s for trailers, from their first byte: an end passed on a second late is lost
REST_TIMEOUT = 0.1  # s for the rest of an answer other than a stream, which has some 100 bytes
NO_BODY = ("", b"")  # in place of a request's target and body that are not needed any more
# Outcomes after which an attempt may go on at its engine, which has not seen the end of the connection yet.
UNCERTAIN_OUTCOMES = frozenset(
    {Outcome.CANCELLED, Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.UNARRIVED, Outcome.ERROR}
)


class EngineCall(Exchange):
    """One attempt; it ends once, with the first outcome that is reported.

    name: the id that the engine knows the request by; body: the request target and the bytes to post;
    idempotency_key: or empty; timeout: s from now; waits_for_state: whether a prefill has left state for it.
    """

    link: "PlatformLink"

    def __init__(
        self,
        link: "PlatformLink",
        endpoint: Endpoint,
        name: str,
        body: tuple[str, bytes],
        idempotency_key: str,
        timeout: float,
        events: CallEvents,
        waits_for_state: bool,
    ) -> None:
        super().__init__(link, endpoint, timeout)
        self.may_hold_state = waits_for_state or endpoint.role is Role.PREFILL
        self.name, self.body, self.idempotency_key, self.events = name, body, idempotency_key, events
        self.answer = Answer(endpoint.role is Role.PREFILL)
        self.stream: StreamProgress | None = None  # from its first event on
        self.rest_awaited = False  # the wait for the rest of an answer other than a stream is bounded
        self.trailers_started = False  # part of a trailer of a stream was received
        self.transfer: Send | None = None  # until the last byte is acknowledged

    def start(self) -> None:
        """Connect and send the request, unless the attempt has ended or expired."""
        if self.over:
            return
        time_left = self.expires_at - self.loop.time()
        if time_left <= 0.0:
            self.end(Outcome.UNSENT)
            return
        self.connect(self.encode, min(time_left, self.link.connect_timeout))

    def wait_for_release(self) -> None:
        """Withdraw the attempt when it expires while it waits for a release that no engine confirms."""
        self.set_timer(max(0.0, self.expires_at - self.loop.time()), self.withdraw)

    def send_request(self, connection: EngineConnection, encode: Callable[[], bytes]) -> None:
        """Write the request, if the core still permits it, and follow its transfer."""
        if not self.events.may_send():
            self.link.return_connection(connection)
            self.end(Outcome.UNSENT)
        else:
            super().send_request(connection, encode)
            self.loop.call_later(PROGRESS_CHECK_INTERVAL, self.check_transfer)

    def check_transfer(self) -> None:
        """Check the progress of the transfer, and end the attempt if it is too slow or has stalled.

        The head of a long request states its deadline, which is out of date if the rest arrives too late; and
        the connection may break in the middle. As long as the last byte is in this process, the request has
        not run.
        """
        connection, transfer = self.connection, self.transfer
        if self.over or not connection or not transfer:
            return
        now, undelivered = self.loop.time(), connection.undelivered_bytes()
        state = transfer.check_progress(now, transfer.size - undelivered)
        if not undelivered:
            self.transfer = None
            self.link.transfers.observe(transfer, now)
        elif state is SendState.BEHIND and connection.has_unwritten:
            self.give_up_slow_transfer(transfer)
        elif state is not SendState.STALLED:
            self.loop.call_later(PROGRESS_CHECK_INTERVAL, self.check_transfer)
        elif connection.has_unwritten:
            self.end(Outcome.UNREACHABLE, PART_ARRIVED if transfer.moved > 0 else 0)

    def give_up_slow_transfer(self, transfer: Send) -> None:
        """End the attempt as UNSENT; its rate is recorded for the next one.

        The same engine may be tried again, with a deadline that leaves out the time of the transfer.
        """
        self.link.transfers.observe(transfer, self.loop.time())
        self.end(Outcome.UNSENT, PART_ARRIVED)

    def encode(self) -> bytes:
        """Return the request as bytes, and start to time its transfer; called once."""
        (target, body), self.body = self.body, NO_BODY  # frees the prompt while the answer streams
        now = self.loop.time()
        self.transfer = self.link.transfers.start(self.endpoint.number, len(body), self.expires_at - now, now)
        budget_ms = max(1, int(1000 * (self.expires_at - now - self.transfer.reserved_time)))
        headers = {"X-Call-Id": self.name, "X-Budget-Ms": str(budget_ms)}
        if self.idempotency_key:
            headers["Idempotency-Key"] = self.idempotency_key
        return encode_request("POST", target, self.endpoint.address, headers, body)

    def cancel(self) -> None:
        self.end(Outcome.CANCELLED)

    def withdraw(self) -> None:
        """End the attempt as UNSENT if its last byte has not left this process.

        Part of a long request may have left: an engine starts only on a complete request.
        """
        if self.connection is None or self.connection.has_unwritten:
            self.end(Outcome.UNSENT)

    def is_progressing(self) -> bool:
        """Return whether the transfer is under way and has not stalled.

        A slow transfer is not a broken connection: the request may still arrive while its state may be held.
        """
        return self.connection is not None and self.transfer is not None and not self.transfer.stalled

    def give_up_unless_arrived(self) -> Arrival:
        """End the attempt unless it is known to have arrived, and return how far it has come.

        Otherwise prefill state stays held for a request that never reaches its decode engine. Once the kernel
        has the last byte, the request may have run: the kernel sends on until the socket is closed, whatever
        it held when it was queried.
        """
        if self.over or self.stream_started:
            return Arrival.ANSWERED
        if self.is_progressing() and self.connection and self.connection.has_unwritten and self.transfer:
            self.give_up_slow_transfer(self.transfer)
            return Arrival.UNSENT
        if self.connection is None or self.connection.has_unwritten:
            self.end(Outcome.UNREACHABLE)
            return Arrival.UNSENT
        if unacknowledged_bytes(self.connection.transport):
            self.end(Outcome.UNARRIVED)
            return Arrival.UNCONFIRMED
        return Arrival.CONFIRMED

    def end(self, outcome: Outcome, detail: int = 0, keep_alive: bool = False) -> None:
        """End the attempt with that outcome, unless it has ended."""
        if self.over:
            return
        sent = self.connection is not None or outcome is Outcome.BROKEN
        self.finish(keep_alive)
        self.body = NO_BODY  # the call may live on in a connection that is still being opened
        self.link.outcomes[outcome] += 1
        if self.stream and outcome is not Outcome.FINISHED:
            self.link.report_unfinished_stream(self, self.stream, outcome)
        if sent and self.may_hold_state and not self.stream_started and self.was_given_up(outcome):
            self.link.abandoned.add(self.name, self.endpoint, self.loop.time())
        self.events.ended(outcome, detail, {}, {"kv": {}})

    def was_given_up(self, outcome: Outcome) -> bool:
        """Return whether this process ended the attempt, so that its engine may learn of it later."""
        return outcome in UNCERTAIN_OUTCOMES and not self.answer.response.done

    def on_timeout(self) -> None:
        self.end(Outcome.TIMED_OUT)

    def on_connect_failure(self) -> None:
        self.end(Outcome.UNREACHABLE)

    def on_no_free_connection(self) -> None:
        """End the attempt: nothing was sent, and for this process the engine is full."""
        self.end(Outcome.NO_FREE_CONNECTION)

    def on_connection_lost(self, has_unwritten: bool) -> None:
        self.connection = None
        self.end(Outcome.UNREACHABLE if has_unwritten else Outcome.BROKEN)

    def on_eof(self) -> None:
        self.answer.response.feed_eof()
        if self.answer.response.done:
            self.on_data(b"")

    def on_data(self, data: bytes) -> None:
        try:
            events = self.answer.feed(data)
            done = self.answer.response.done
            outcome, detail = self.answer.outcome() if done else (Outcome.ERROR, 0)
        except MalformedMessageError as error:
            self.end_malformed(error)
            return
        now = self.loop.time()
        if self.stream:
            self.stream.received(now, len(data))
        elif events:
            self.stream = StreamProgress(STREAM_SILENCE_LIMIT, self.answer.events, now)
            self.events.first_token()
            self.set_timer(STREAM_SILENCE_LIMIT, self.check_stream_progress)
        if events:
            self.events.tokens(events)
        if done:
            self.end(outcome, detail, keep_alive=self.answer.keep_alive)
        elif self.endpoint.role is Role.PREFILL or self.answer.has_failed:
            self.await_rest()
        elif self.stream and not self.trailers_started and self.answer.response.has_trailers:
            self.trailers_started = True
            self.set_timer(TRAILERS_TIMEOUT, self.on_timeout)

    def end_malformed(self, error: MalformedMessageError) -> None:
        """End the attempt, whose answer breaks the protocol."""
        self.link.report_malformed_answer(self.endpoint, self.name, error)
        self.end(Outcome.ERROR)

    def await_rest(self) -> None:
        """Bound the wait for the rest of a prefill engine's answer, or of one whose head tells a failure.

        The rest may never arrive. A prefill engine may hold the state from now on; the cost is a second
        prefill attempt where the rest would have arrived later. A failure is known from the head.
        """
        if self.rest_awaited:
            return
        self.rest_awaited = True
        if self.endpoint.role is Role.PREFILL:
            self.events.answer_begun()
        time_left = self.expires_at - self.loop.time()
        self.set_timer(max(0.0, min(REST_TIMEOUT, time_left)), self.on_rest_timeout)

    def on_rest_timeout(self) -> None:
        """End an attempt whose answer has not come whole, by its head if that tells a failure."""
        self.end(*self.answer.failure() if self.answer.has_failed else (Outcome.TIMED_OUT, 0))

    def check_stream_progress(self) -> None:
        """End a stream that has failed, else check again: one timer per stream, not one per event."""
        assert self.stream
        try:
            check_in = self.stream.next_check_in(self.loop.time())
        except MalformedMessageError as error:
            self.end_malformed(error)
            return
        if check_in <= 0.0:
            self.end(Outcome.TIMED_OUT)
        else:
            self.set_timer(check_in, self.check_stream_progress)

    @property
    def stream_started(self) -> bool:
        """Whether at least one event was received."""
        return self.stream is not None
