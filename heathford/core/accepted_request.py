"""One accepted request, until its one final answer and the end of its last attempt."""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

import structlog

from heathford.core.engine_attempt import EngineAttempt
from heathford.core.protocols import Cancellable, ResponseWriter
from heathford.core.gate import Event, Reason, RequestLifecycle
from heathford.core.held_state import ReleaseReason
from heathford.core.prefill_state import PrefillState
from heathford.interface import Outcome, Workload
from heathford.policy import RequestState

if TYPE_CHECKING:
    from heathford.core.core import Core

log = structlog.get_logger()


class AcceptedRequest:
    """A request that the front node has accepted, with its attempts and its held prefill state.

    attempts_share_name: all attempts carry the request's own name, as the client protocol gave it; otherwise
    each has a name of its own. answer_deadline: s on the loop's clock by which the router gives the final
    answer. over: the final answer has been given, or the client has disconnected. abandoned: its routing
    decision raised, so the router is asked for nothing more. routed_request: the router's own object for it,
    None until the turn in which the router gets it. body: what attempts send, None once no further one can
    be. on_removed: called once, when the core has forgotten the request.
    """

    def __init__(
        self,
        core: "Core",
        response_writer: ResponseWriter,
        name: str,
        attempts_share_name: bool,
        body: Any,
        idempotency_key: str,
        answer_deadline: float,
        workload: Workload,
        on_removed: Callable[["AcceptedRequest"], None],
    ) -> None:
        self.core, self.response_writer, self.name, self.body, self.idempotency_key = (
            core,
            response_writer,
            name,
            body,
            idempotency_key,
        )
        self.on_removed = on_removed
        self.lifecycle = RequestLifecycle(name, workload)
        core.history.add(name, "taken")
        self.answer_deadline = answer_deadline
        self.attempts_share_name: bool = attempts_share_name
        self.routed_request: RequestState | None = None
        self.attempts: list[EngineAttempt] = []
        self.in_flight: EngineAttempt | None = None
        self.prefill: PrefillState = PrefillState()
        self.over: bool = False
        self.abandoned: bool = False
        self.timer: Cancellable | None = core.loop.call_at(
            answer_deadline + core.answer_margin / 2, self.abort_overdue
        )

    # Called by the router: heathford.interface.RequestActions.

    def send(self, engine: int, timeout: float) -> None:
        core = self.core
        attempt = EngineAttempt(self, len(self.attempts), core.endpoints[engine], core.loop.time())
        if self.routed_request and self.routed_request.current_attempt:
            attempt.cold_admission = self.routed_request.current_attempt.cold_admission
        self.attempts.append(attempt)
        self.in_flight = attempt
        core.gate.transition(self.lifecycle, Event.HANDED_OVER)
        attempt.record("handed over")
        kv_transfer_params = None if attempt.is_prefill else self.prefill.transfer
        try:
            attempt.call = core.link.send(
                attempt.endpoint,
                attempt.name,
                self.body,
                kv_transfer_params,
                self.idempotency_key,
                timeout,
                attempt,
            )
        except Exception as problem:
            # Otherwise an attempt that never began would count as in flight forever. Safe, because the link
            # reports no event before `send` has returned.
            core.record_fault(problem, None)
            attempt.ended(Outcome.UNSENT, 0, {}, {})
            return
        if self.prefill.is_waiting and not attempt.is_prefill:
            check_at = max(
                self.prefill.prefilled_at + core.decode_wait_limit,
                attempt.handed_over_at + (core.pin_limit - core.decode_wait_limit) / 2,
            )
            attempt.arrival_check = core.loop.call_at(check_at, attempt.check_arrival)

    def cancel(self, seq: int) -> None:
        if seq < len(self.attempts):
            self.cancel_attempt(self.attempts[seq])

    def rate_limit(self, retry_after: float) -> None:
        """Answer that a retry after that many s does no harm; abort where an attempt may have run."""
        if not self.over and self.core.gate.may_answer_rate_limited(self.lifecycle) is not Reason.ALLOWED:
            self.abort("it may have run")
        elif self.close("rate_limited", self.give_up_reason):
            self.core.call_response_writer(
                self.response_writer, lambda: self.response_writer.rate_limited(retry_after)
            )

    @property
    def give_up_reason(self) -> str:
        """Why the router gave the request up, or empty."""
        reason = self.routed_request.give_up_reason if self.routed_request else None
        return reason.value if reason else ""

    def abort(self, why: str = "given up") -> None:
        if self.close("aborted", why):
            self.core.call_response_writer(self.response_writer, lambda: self.response_writer.aborted(why))

    def release(self, reason: ReleaseReason = ReleaseReason.POLICY) -> None:
        """Release the held prefill state.

        Called again after a first release, because a decode attempt in flight then may have kept the state.
        """
        holder = self.prefill.start_release()
        if holder:
            if not self.over and self.lifecycle.possibly_run_attempts():
                # One of them may wait on the state at its engine, and keep it from this release.
                self.prefill.unclear_attempt = holder
            self.release_from(holder, reason)
            if self.in_flight:
                self.in_flight.check_engine_liveness()

    # Called by front ends.

    def client_left(self) -> None:
        """Drop the request of a client that has disconnected; no final answer is given any more.

        A stream that nobody reads is cancelled.
        """
        if not self.close("left"):
            return
        if self.in_flight and self.in_flight.streaming:
            self.cancel_attempt(self.in_flight)
        elif self.in_flight and self.in_flight.call:
            # Keeps an attempt that still waits for a connection or a release from being sent after its client
            # has gone. Done even where running attempts may not be cancelled.
            self.in_flight.call.withdraw()
        self.core.notify_router(self, lambda routed_request: routed_request.client_left())

    # Used by attempts and by the core.

    def finish(self, reason: str, usage: Mapping[str, Any]) -> None:
        if self.close("finished"):
            self.core.call_response_writer(
                self.response_writer, lambda: self.response_writer.finished(reason, usage)
            )

    def release_from(self, attempt: EngineAttempt, reason: ReleaseReason) -> None:
        """Release what a prefill attempt left, at once rather than after the next attempt.

        Attempts that can't connect or don't arrive don't extend the time for which the state may be held, and
        several in a row outlast the pin limit. Where attempts share a name, the link delays the next attempt
        until the release is done, so that the release can't hit a later state. This costs that attempt a
        round trip.
        """
        attempt.record("release", reason.value)
        self.prefill.held = held = attempt.hold_state()
        held.release_started()
        self.core.link.release(attempt.endpoint, attempt.name, held)

    def release_unclear_prefill(self, attempt: EngineAttempt) -> None:
        """Release by name what a prefill attempt with an unknown result may have left.

        Its engine may hold a state of which this process was never notified. The release is harmless where
        there is none.
        """
        self.prefill.unclear_attempt = attempt
        self.release_from(attempt, ReleaseReason.PREFILL_UNCLEAR)

    def release_late_prefill(self) -> None:
        """Release once more what a prefill attempt may have left since, or a decode attempt have kept.

        Its engine may end the prefill after the first release, or a decode attempt that was given up may have
        waited on the state then, while the request went on elsewhere. Called only once a later attempt
        streams or the request is over: earlier, a release by the shared name could take the state that the
        later attempt needs. Costs one release where a further attempt followed.
        """
        if not self.prefill.unclear_attempt:
            return
        attempt = self.prefill.take_unclear_before(self.attempts[-1])
        if attempt and self.attempts_share_name:
            self.release_from(attempt, ReleaseReason.PREFILL_LATE)

    def close(self, how: str, why: str = "") -> bool:
        """Mark the request as over and count it; return False if it was over before.

        how: the attribute of `Tally` to count it under. why: a reason for the history.
        """
        if self.over:
            return False
        self.over = True
        self.body = None
        self.core.gate.transition(self.lifecycle, Event.LEFT if how == "left" else Event.ANSWERED)
        self.core.history.add(self.name, how, why)
        if self.timer:
            self.timer.cancel()
            self.timer = None
        tally = self.core.tally
        setattr(tally, how, getattr(tally, how) + 1)
        self.core.check_removable(self)
        return True

    def cancel_attempt(self, attempt: EngineAttempt) -> None:
        if attempt.call and not attempt.over:
            attempt.call.cancel()

    def abort_overdue(self) -> None:
        """Abort a request that the router let run past its deadline, for instance after an exception.

        The client still gets its answer. The timer fires half the answer margin after the router's own
        deadline, so that it doesn't preempt the router's answer.
        """
        self.core.tally.late += 1
        log.error("overdue", completion=self.name, out=self.in_flight.name if self.in_flight else None)
        self.abort("out of time")
        if self.in_flight:
            # Also notifies the router, which would otherwise count the attempt as in flight forever.
            self.cancel_attempt(self.in_flight)
        else:
            self.core.notify_router(self, lambda routed_request: routed_request.client_left())

    def abort_long_stream(self) -> None:
        self.abort("the stream ran past its limit")
        if self.in_flight:
            self.cancel_attempt(self.in_flight)

    def abandon(self, why: str) -> None:
        """Abort the request without the router: cancel its attempt and release its prefill state."""
        self.abandoned = True
        self.abort(why)
        if self.in_flight:
            self.cancel_attempt(self.in_flight)
        self.release(ReleaseReason.DECISION_FAILED)

    def removed(self) -> None:
        """Let go of attempts and state: the core has forgotten the request, and nothing more happens to it.

        They refer back to the request. With these references it would stay in memory until the next full
        garbage collection, and a client that sends one request after another could fill the memory.
        """
        if self.routed_request is None or self.routed_request.is_done:
            self.routed_request = None
            self.prefill.forget_attempts()
            self.attempts.clear()
        self.on_removed(self)

    @property
    def is_removable(self) -> bool:
        """Whether nothing more can happen to the request, so that the core may forget it."""
        return (
            self.over
            and self.in_flight is None
            and (self.abandoned or self.routed_request is None or self.routed_request.is_done)
        )
