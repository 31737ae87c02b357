"""One dispatch to an engine in the platform's protocol: sent, answered, given up."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from heathford.core.protocols import Arrival, CallEvents, Endpoint
from heathford.interface import PART_ARRIVED, Role, Outcome
from heathford.platform.answers import Answer
from heathford.platform.exchange import EngineConnection, Exchange
from heathford.platform.abandoned_prefill import AbandonedPrefill
from heathford.policy.transfer import PROGRESS_CHECK_INTERVAL, Send, SendState
from heathford.wire.http1 import MalformedMessageError, encode_request
from heathford.wire.socket_state import unacknowledged_bytes

if TYPE_CHECKING:
    from heathford.platform.link import PlatformLink

SILENCE = 4.0  # s without an event after which a stream is held for dead: clients may be kept waiting for 5
PREFILL_ANSWER = 0.1  # s in which a prefill engine's answer comes whole once it has begun: some 100 bytes
UNCLEAR = frozenset({Outcome.CANCELLED, Outcome.TIMED_OUT, Outcome.BROKEN})  # ends of a read that may go on


class EngineCall(Exchange):
    """One dispatch. Ends once, with the first thing that ends it."""

    link: "PlatformLink"

    def __init__(
        self,
        link: "PlatformLink",
        endpoint: Endpoint,
        name: str,
        body: tuple[str, bytes],
        mark: str,
        timeout: float,
        events: CallEvents,
    ) -> None:
        super().__init__(link, endpoint, timeout)
        self.name, self.body, self.mark, self.events = name, body, mark, events
        self.answer = Answer(endpoint.role is Role.PREFILL)
        self.heard_at = 0.0  # when the last event came
        self.begun = False  # events of a stream have come
        self.answer_begun = False  # of a prefill engine
        self.sending: Send | None = None  # while its last byte has not left

    def start(self) -> None:
        if self.over:
            return
        left = self.until - self.loop.time()
        if left <= 0.0:
            self.end(Outcome.UNSENT)
            return
        self.connect(self.encoded, min(left, self.link.connect_timeout))

    def wait_for_release(self) -> None:
        """Guards against an attempt that waits past its time behind a release which nobody confirms."""
        self.expect(max(0.0, self.until - self.loop.time()), self.withdraw)

    def begin(self, connection: EngineConnection, data: Callable[[], bytes]) -> None:
        if not self.events.may_send():
            self.link.give_back(connection)
            self.end(Outcome.UNSENT)
        else:
            super().begin(connection, data)
            self.loop.call_later(PROGRESS_CHECK_INTERVAL, self.look_at_send)

    def look_at_send(self) -> None:
        """Guards against a deadline, told by the head of a long request, that is out of date when the rest
        has come, and against a cut in its middle. While its last byte is still here it has not run."""
        connection, sending = self.connection, self.sending
        if self.over or not connection or not sending:
            return
        now, left = self.loop.time(), connection.not_confirmed()
        state = sending.check_progress(now, sending.size - left)
        if not left:
            self.sending = None
            self.link.transfers.observe(sending, now)
        elif state is SendState.BEHIND and connection.has_unwritten:
            self.give_up_slow_send(sending)
        elif state is not SendState.STALLED:
            self.loop.call_later(PROGRESS_CHECK_INTERVAL, self.look_at_send)
        elif connection.has_unwritten:
            self.end(Outcome.UNREACHABLE, PART_ARRIVED if sending.moved > 0 else 0)

    def give_up_slow_send(self, sending: Send) -> None:
        """Its engine may be asked again, with a deadline that leaves out the time which it takes."""
        self.link.transfers.observe(sending, self.loop.time())
        self.end(Outcome.UNSENT, PART_ARRIVED)

    def encoded(self) -> bytes:
        (target, body), self.body = self.body, ("", b"")  # written once: not kept while the answer streams
        now = self.loop.time()
        self.sending = self.link.transfers.start(self.endpoint.number, len(body), self.until - now, now)
        told = max(1, int(1000 * (self.until - now - self.sending.reserved_time)))
        headers = {"X-Call-Id": self.name, "X-Budget-Ms": str(told)}
        if self.mark:
            headers["Idempotency-Key"] = self.mark
        return encode_request("POST", target, self.endpoint.address, headers, body)

    def cancel(self) -> None:
        self.end(Outcome.CANCELLED)

    def withdraw(self) -> None:
        """Also where part of a long request has left: an engine starts on what is whole."""
        if self.connection is None or self.connection.has_unwritten:
            self.end(Outcome.UNSENT)

    def is_progressing(self) -> bool:
        """A slow send is no cut: its attempt may yet arrive within the limit of what is held."""
        return self.connection is not None and self.sending is not None and not self.sending.stalled

    def give_up_unless_arrived(self) -> Arrival:
        """Guards against what prefill holds for a request that never gets to its decode engine. Once the
        kernel has the last byte it may have run for all we know: the kernel sends on until the socket is
        closed, whatever it held when it was asked."""
        if self.over or self.begun:
            return Arrival.ANSWERED
        if self.is_progressing() and self.connection and self.connection.has_unwritten and self.sending:
            self.give_up_slow_send(self.sending)
            return Arrival.UNSENT
        if self.connection is None or self.connection.has_unwritten:
            self.end(Outcome.UNREACHABLE)
            return Arrival.UNSENT
        if unacknowledged_bytes(self.connection.transport):
            self.end(Outcome.UNARRIVED)
            return Arrival.UNCONFIRMED
        return Arrival.CONFIRMED

    def end(self, verdict: Outcome, detail: int = 0, keep: bool = False) -> None:
        if self.over:
            return
        sent = self.connection is not None
        self.stop(keep)
        self.link.outcomes[verdict] += 1
        if (sent or verdict is Outcome.BROKEN) and verdict in UNCLEAR and self.endpoint.role is Role.PREFILL:
            self.link.abandoned_prefills[self.name] = AbandonedPrefill(self.loop.time())
        self.events.ended(verdict, detail, {}, {"kv": {}})

    def timed_out(self) -> None:
        self.end(Outcome.TIMED_OUT)

    def unreached(self) -> None:
        """Nothing of it was sent."""
        self.end(Outcome.UNREACHABLE)

    def crowded(self) -> None:
        """All our connections are in use: nothing was sent, and for us this engine is full."""
        self.end(Outcome.NO_FREE_CONNECTION)

    def lost(self, unwritten: bool) -> None:
        self.connection = None
        self.end(Outcome.UNREACHABLE if unwritten else Outcome.BROKEN)

    def closed_by_engine(self) -> None:
        self.answer.response.feed_eof()
        if self.answer.response.done:
            self.heard(b"")

    def heard(self, data: bytes) -> None:
        try:
            events = self.answer.feed(data)
            done = self.answer.response.done
            verdict, detail = self.answer.outcome() if done else (Outcome.ERROR, 0)
        except MalformedMessageError as problem:
            self.link.nonsense(self.endpoint, problem)
            self.end(Outcome.ERROR)
            return
        if events:
            self.heard_at = self.loop.time()
            if not self.begun:
                self.begun = True
                self.events.first_token()
                self.expect(SILENCE, self.look_for_silence)
            self.events.tokens(events)
        if done:
            self.end(verdict, detail, keep=self.answer.keep)
        elif self.endpoint.role is Role.PREFILL and not self.answer_begun:
            self.begin_prefill_answer()

    def begin_prefill_answer(self) -> None:
        """Guards against a state that its engine holds while the rest of its answer never comes. Costs a
        second read where the rest would have come later."""
        self.answer_begun = True
        self.events.answer_begun()
        left = self.until - self.loop.time()
        self.expect(max(0.0, min(PREFILL_ANSWER, left)), self.timed_out)

    def look_for_silence(self) -> None:
        """One timer that looks again, not one an event."""
        left = self.heard_at + SILENCE - self.loop.time()
        if left <= 0.0:
            self.end(Outcome.TIMED_OUT)
        else:
            self.expect(left, self.look_for_silence)
