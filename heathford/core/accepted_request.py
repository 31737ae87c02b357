"""One request that a front handed over, until its one final answer and the end of its last attempt."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import structlog

from heathford.core.engine_attempt import EngineAttempt
from heathford.core.protocols import Cancellable, ResponseWriter
from heathford.core.gate import Event, Reason, RequestLife
from heathford.core.held_state import ReleaseReason
from heathford.core.prefill_state import PrefillState
from heathford.interface import Outcome, Workload
from heathford.policy import RequestState

if TYPE_CHECKING:
    from heathford.core.core import Core

log = structlog.get_logger()


class AcceptedRequest:
    """A completion that a front handed over, until its final answer and the end of its last dispatch."""

    def __init__(
        self,
        core: "Core",
        sink: ResponseWriter,
        name: str,
        one_name: bool,
        body: Any,
        mark: str,
        due: float,
        workload: Workload,
    ) -> None:
        self.core, self.response_writer, self.name, self.body, self.mark = core, sink, name, body, mark
        self.life = RequestLife(name, workload)
        core.history.add(name, "taken")
        self.due = due
        self.one_name: bool = one_name  # one_name: its dispatches are all called as itself
        self.handle: RequestState | None = None
        self.attempts: list[EngineAttempt] = []
        self.in_flight: EngineAttempt | None = None
        self.prefill: PrefillState = PrefillState()
        self.over: bool = False  # final answer given, or the client has gone
        self.abandoned: bool = False  # its decision failed: nothing more is asked of its handle
        self.timer: Cancellable | None = core.loop.call_at(due + core.answer_margin / 2, self.abort_overdue)

    # What the Router asks for: heathford.interface.RequestActions.

    def send(self, engine: int, timeout: float) -> None:
        core = self.core
        dispatch = EngineAttempt(self, len(self.attempts), core.endpoints[engine], core.loop.time())
        self.attempts.append(dispatch)
        self.in_flight = dispatch
        core.gate.step(self.life, Event.HANDED_OVER)
        dispatch.record("handed over")
        kv = None if dispatch.is_prefill else self.prefill.transfer
        try:
            dispatch.call = core.link.send(
                dispatch.endpoint, dispatch.name, self.body, kv, self.mark, timeout, dispatch
            )
        except Exception as problem:
            # Guards against an attempt that never began and counts as out for good. Harms nothing: the link
            # tells of nothing before it has returned.
            core.fault(problem, None)
            dispatch.ended(Outcome.UNSENT, 0, {}, {})
            return
        if self.prefill.waits and not dispatch.is_prefill:
            due = max(self.prefill.read_at + core.hold, dispatch.sent + (core.pin_limit - core.hold) / 2)
            dispatch.arrival = core.loop.call_at(due, dispatch.look_for_arrival)

    def cancel(self, seq: int) -> None:
        if seq < len(self.attempts):
            self.stop(self.attempts[seq])

    def rate_limit(self, retry_after: float) -> None:
        if not self.over and self.core.gate.may_answer_refused(self.life) is not Reason.ALLOWED:
            self.abort("it may have run")
        elif self.close("rate_limited", self.give_up_reason):
            self.core.guarded(self.response_writer, lambda: self.response_writer.rate_limited(retry_after))

    @property
    def give_up_reason(self) -> str:
        """Why the Router has given it up."""
        why = self.handle.give_up_reason if self.handle else None
        return why.value if why else ""

    def abort(self, why: str = "given up") -> None:
        if self.close("aborted", why):
            self.core.guarded(self.response_writer, lambda: self.response_writer.aborted(why))

    def release(self, reason: ReleaseReason = ReleaseReason.POLICY) -> None:
        """Also once more for what an attempt may have kept at the first release."""
        holder = self.prefill.to_release()
        if holder:
            self.release_from(holder, reason)
            if self.in_flight:
                self.in_flight.look_for_life()

    # What the front says.

    def client_left(self) -> None:
        """The client has gone: nothing more is owed. A stream that nobody reads ends."""
        if not self.close("left"):
            return
        if self.in_flight and self.in_flight.streaming:
            self.stop(self.in_flight)
        elif self.in_flight and self.in_flight.call:
            # Guards against a dispatch that begins once its client has gone: it may still wait for its
            # connection, or for a release. Also where running ones may not be cancelled. Harms nothing.
            self.in_flight.call.withdraw()
        self.core.tell(self, lambda handle: handle.client_left())

    # What the core owns.

    def finish(self, reason: str, usage: Mapping[str, Any]) -> None:
        if self.close("finished"):
            self.core.guarded(self.response_writer, lambda: self.response_writer.finished(reason, usage))

    def release_from(self, dispatch: EngineAttempt, reason: ReleaseReason) -> None:
        """Now, before the next dispatch: one that can't connect, or whose bytes reach nobody, stops no clock,
        and several in a row outlast the pin limit. Where all have one name the link holds what is sent next
        until the release is through, so that it takes no later state. Costs that dispatch a round trip."""
        dispatch.record("release", reason.value)
        self.prefill.held = held = dispatch.hold_state()
        held.release_begins()
        self.core.link.release(dispatch.endpoint, dispatch.name, held)

    def prefill_ended_unclear(self, dispatch: EngineAttempt) -> None:
        """Guards against a read that ends unseen: its state may wait at the reader though we were never told
        of it, and only its name lets it go. Harms nothing where there is none."""
        self.prefill.unclear = dispatch
        self.release_from(dispatch, ReleaseReason.PREFILL_UNCLEAR)

    def release_late_prefill(self) -> None:
        """Guards against what such a read leaves after that release, while the request went on elsewhere:
        until a later attempt has what it needs, or the request is over, a release could take that from it.
        Costs a release where a further attempt followed."""
        if not self.prefill.unclear:
            return
        dispatch = self.prefill.unclear_before(self.attempts[-1])
        if dispatch and self.one_name:
            self.release_from(dispatch, ReleaseReason.PREFILL_LATE)

    def close(self, how: str, why: str = "") -> bool:
        """True for the first call only: a completion gets one final answer."""
        if self.over:
            return False
        self.over = True
        self.core.gate.step(self.life, Event.LEFT if how == "left" else Event.ANSWERED)
        self.core.history.add(self.name, how, why)
        if self.timer:
            self.timer.cancel()
            self.timer = None
        tally = self.core.tally
        setattr(tally, how, getattr(tally, how) + 1)
        self.core.check_gone(self)
        return True

    def stop(self, dispatch: EngineAttempt) -> None:
        if dispatch.call and not dispatch.over:
            dispatch.call.cancel()

    def abort_overdue(self) -> None:
        """Guards against a completion that the Router lets run out of time, as after a fault of its own: the
        client still gets its answer. Could harm if it came before the Router's own, so it waits past that."""
        self.core.tally.late += 1
        log.error("overdue", completion=self.name, out=self.in_flight.name if self.in_flight else None)
        self.abort("out of time")
        if self.in_flight:
            self.stop(self.in_flight)  # and the Router hears how it ended: else it counts it as out for good
        else:
            self.core.tell(self, lambda handle: handle.client_left())

    def stream_too_long(self) -> None:
        self.abort("the stream ran past its limit")
        if self.in_flight:
            self.stop(self.in_flight)

    def abandon(self, why: str) -> None:
        """The Router is asked no more about it; all that is out or held for it is released."""
        self.abandoned = True
        self.abort(why)
        if self.in_flight:
            self.stop(self.in_flight)
        self.release(ReleaseReason.DECISION_FAILED)

    @property
    def gone(self) -> bool:
        return (
            self.over
            and self.in_flight is None
            and (self.abandoned or self.handle is None or self.handle.is_done)
        )
