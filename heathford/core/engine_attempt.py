"""One attempt of a request at one engine: what its link reports, and the state that a prefill leaves."""

from collections.abc import Mapping
from math import inf
from typing import TYPE_CHECKING, Any

import structlog

from heathford.core.protocols import LinkCall, Cancellable, Endpoint
from heathford.core.gate import GateAttempt, Event, Reason, Stage
from heathford.core.history import AttemptHistory
from heathford.core.held_state import HeldStage, HeldState, ReleaseReason, SignOfLife
from heathford.interface import ANSWERED_BY_ENGINE, NEVER_RAN, Role, Outcome
from heathford.policy.engine_state import ColdAdmission
from heathford.policy.held_state import TIMER_TOLERANCE, SILENT_AFTER, release_time
from heathford.policy.transfer import PROGRESS_CHECK_INTERVAL

if TYPE_CHECKING:
    from heathford.core.accepted_request import AcceptedRequest

log = structlog.get_logger()


class EngineAttempt:
    """One attempt of a request; its link reports on it: `heathford.core.protocols.CallEvents`.

    seq: its number among the request's attempts, from 0. handed_over_at: s on the loop's clock at which the
    link got it. held: the state that this prefill attempt has left, or may have left, at its engine.
    """

    def __init__(self, request: "AcceptedRequest", seq: int, endpoint: Endpoint, now: float) -> None:
        self.request, self.seq, self.endpoint, self.handed_over_at = request, seq, endpoint, now
        self.name = request.name if request.attempts_share_name else f"{request.name}.{seq}"
        self.is_prefill = endpoint.role is Role.PREFILL
        self.record = AttemptHistory(request.core.history, request.name, seq, endpoint.name).record
        self.streaming = self.over = False
        self.arrival_check: Cancellable | None = None  # timer
        self.call: LinkCall | None = None  # until it has ended: a call refers to its attempt
        self.held: HeldState | None = None
        self.cold_admission: ColdAdmission | None = None  # None: its engine was warm when it was decided
        self.gate_attempt = GateAttempt(request.core.target(endpoint.number), self.is_prefill, now)
        request.lifecycle.attempts.append(self.gate_attempt)

    def may_send(self) -> bool:
        """Decide right before the first byte leaves whether the attempt may still be sent.

        While it waited for a connection or a release, its client may have disconnected, its engine may have
        begun to drain or restarted, or the time in which the engines know its idempotency key may have ended.
        The end of the client's connection may be unread yet: behind pipelined data, or because the loop is
        busy.
        """
        core, request = self.request.core, self.request
        if self.over or request.over:
            return False
        connected = request.response_writer.client_connected()  # may end this attempt
        if self.over or request.over:
            return False
        reason = core.gate.may_send_first_byte(
            request.lifecycle,
            self.gate_attempt,
            core.target(self.endpoint.number),
            connected,
            core.loop.time(),
        )
        if reason is not Reason.ALLOWED:
            self.record("not sent", reason.value)
            return False
        core.gate.transition(request.lifecycle, Event.SENT)
        self.record("sent")
        if self.cold_admission:
            self.log_cold_attempt(self.cold_admission)
        return True

    def log_cold_attempt(self, admission: ColdAdmission) -> None:
        """Log that this attempt is sent to a cold engine, and why it was let in; times in s."""
        log.info(
            "cold engine used",
            engine=self.endpoint.name,
            role=self.endpoint.role.value,
            request=self.request.name,
            attempt=self.seq,
            age=round(admission.age, 3),
            share=round(admission.share, 4),
            own_in_window=admission.recent_attempts,
            waited=round(self.request.core.loop.time() - self.handed_over_at, 3),
        )

    def answer_begun(self) -> None:
        """Follow the held state from the first byte of the prefill engine's answer on."""
        if not self.over:
            self.record("answer begins")
            self.hold_state()

    def first_token(self) -> None:
        if self.over or self.streaming:
            return
        self.streaming = True
        self.request.prefill.state_fetched()
        # Otherwise the request has just been answered, or its client has left.
        if self.request.lifecycle.stage is Stage.SENT:
            self.request.core.gate.transition(self.request.lifecycle, Event.FIRST_EVENT)
        self.record("first event")
        self.request.release_late_prefill()
        core, request = self.request.core, self.request
        latency = core.loop.time() - self.handed_over_at
        if request.timer:
            request.timer.cancel()
        request.body = None  # no retry from here on
        if core.stream_limit < inf:
            request.timer = core.loop.call_at(core.loop.time() + core.stream_limit, request.abort_long_stream)
        core.notify_router(request, lambda routed_request: routed_request.first_token(self.seq, latency))

    def hold_state(self) -> HeldState:
        """Return the followed state of this prefill attempt, which may hold one at its engine.

        A new one begins if the last one has ended: after a release, a decode attempt that was in flight then
        may have kept the state.
        """
        if not self.held or not self.held.open:
            core = self.request.core
            self.held = HeldState(core.loop.time(), core.loop.time, self.record, core.held_statistics)
            self.schedule_held_check(self.held)
        return self.held

    def schedule_held_check(self, held: HeldState) -> None:
        core = self.request.core
        held.check_timer = core.loop.call_at(
            core.gate.held_until(held.since, core.pin_limit), self.check_held
        )

    def check_held(self) -> None:
        """Count a violation where a state is still held when its limit has passed.

        Judged by what engines have confirmed, not by what was sent to them.
        """
        held, core = self.held, self.request.core
        if not held or not held.open:
            return
        now = core.loop.time()
        if now < core.gate.held_until(held.since, core.pin_limit):
            self.schedule_held_check(held)
        else:
            core.gate.held_too_long(self.request.name, now - held.since, held.stage.value)

    def check_engine_liveness(self) -> None:
        """Check whether the engine of this attempt runs.

        Called while the state that the attempt waits for is being released, so nothing has been received on
        the attempt yet.
        """
        core = self.request.core
        if self.over or self.streaming or not self.call:
            return
        if core.link.last_received_at(self.endpoint) > self.handed_over_at:
            self.record("look for life", SignOfLife.HEARD_SINCE.value)
            return
        core.link.check_liveness(self.endpoint, self.name, SILENT_AFTER, self.on_liveness_result)

    def on_liveness_result(self, alive: bool) -> None:
        """Handle the result of the liveness check."""
        if self.over or self.streaming:
            return
        core = self.request.core
        alive = alive or core.link.last_received_at(self.endpoint) > self.handed_over_at
        self.record("look for life", (SignOfLife.ANSWERS if alive else SignOfLife.SILENT).value)
        if not alive:
            core.notify_router(self.request, lambda routed_request: routed_request.engine_silent(self.seq))

    def check_arrival(self) -> None:
        """Give a decode attempt up that has not arrived and doesn't progress, so that its state is not held.

        An attempt that doesn't arrive doesn't extend the time for which the state may be held.
        """
        if not self.call or self.over or self.streaming:
            return
        core = self.request.core
        now, due = core.loop.time(), release_time(self.request.prefill.prefilled_at, core.pin_limit)
        if now < due - TIMER_TOLERANCE and self.call.is_progressing():
            self.arrival_check = core.loop.call_at(
                min(now + PROGRESS_CHECK_INTERVAL, due), self.check_arrival
            )
        else:
            self.record("look for arrival", self.call.give_up_unless_arrived().name)

    def tokens(self, part: Any) -> None:
        if self.streaming and not self.over and not self.request.over:
            self.request.response_writer.tokens(part)

    def ended(
        self, outcome: Outcome, detail: int, load: Mapping[str, float], answer: Mapping[str, Any]
    ) -> None:
        if self.over:
            return
        self.over, self.call = True, None
        if self.arrival_check:
            self.arrival_check.cancel()
        request, core = self.request, self.request.core
        self.gate_attempt.outcome = outcome
        core.gate.transition(request.lifecycle, Event.ENDED)
        self.record("ended", outcome.value)
        now = core.loop.time()
        latency = now - self.handed_over_at
        if outcome in ANSWERED_BY_ENGINE:
            request.prefill.engine_answered(now)
        if request.in_flight is self:
            request.in_flight = None
        if outcome is Outcome.PREFILLED:
            request.prefill.prefill_succeeded(self, answer["kv"], now)
            if request.abandoned:
                request.release(ReleaseReason.REQUEST_OVER)
        elif self.is_prefill and outcome not in NEVER_RAN:
            request.release_unclear_prefill(self)
        elif self.held:
            self.held.end(HeldStage.NEVER_HELD)
        if outcome is Outcome.FINISHED:
            request.finish(answer.get("reason") or "stop", answer.get("usage") or {})
        elif self.streaming:
            request.abort(f"the stream ended early: {outcome.value}")
        closed = request.over
        core.notify_router(
            request,
            lambda routed_request: routed_request.ended(self.seq, outcome, latency, closed, detail, load),
        )
