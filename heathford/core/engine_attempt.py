"""One attempt at one engine, as its link tells of it, and what a prefill attempt leaves."""

from collections.abc import Mapping
from math import inf
from typing import TYPE_CHECKING, Any

from heathford.core.protocols import Call, Cancellable, Endpoint
from heathford.core.gate import GateAttempt, Event, Reason, Stage
from heathford.core.held_state import HeldStage, HeldState, ReleaseReason, SignOfLife
from heathford.interface import ANSWERED_BY_ENGINE, NEVER_RAN, Role, Outcome
from heathford.policy.held_state import TIMER_TOLERANCE, SILENT_AFTER, release_time
from heathford.policy.transfer import PROGRESS_CHECK_INTERVAL

if TYPE_CHECKING:
    from heathford.core.accepted_request import AcceptedRequest


class EngineAttempt:
    """One dispatch, as its link tells of it."""

    def __init__(self, taken: "AcceptedRequest", seq: int, endpoint: Endpoint, now: float) -> None:
        self.taken, self.seq, self.endpoint, self.sent = taken, seq, endpoint, now
        self.name = taken.name if taken.one_name else f"{taken.name}.{seq}"
        self.is_prefill = endpoint.role is Role.PREFILL
        self.streaming = self.over = False
        self.arrival: Cancellable | None = None  # the look whether it has arrived
        self.call: Call | None = None
        self.held: HeldState | None = None  # what this prefill attempt has left
        self.attempt = GateAttempt(taken.core.target(endpoint.number), self.is_prefill, now)
        taken.life.attempts.append(self.attempt)

    def record(self, event: str, reason: str = "", engine: str = "") -> None:
        self.taken.core.history.add(self.taken.name, event, reason, self.seq, engine or self.endpoint.name)

    def may_send(self) -> bool:
        """Guards against an attempt that begins once its client has gone: the end of its connection may lie
        unread behind what it sent ahead, or behind what the loop is busy with. Also against one whose engine
        has begun to drain, or whose window has ended, while it waited for its connection or a release."""
        core, taken = self.taken.core, self.taken
        if self.over or taken.over:
            return False
        waits = taken.response_writer.client_connected()  # which may end it
        if self.over or taken.over:
            return False
        reason = core.gate.may_send(
            taken.life, self.attempt, core.target(self.endpoint.number), waits, core.loop.time()
        )
        if reason is not Reason.ALLOWED:
            self.record("not sent", reason.value)
            return False
        core.gate.step(taken.life, Event.SENT)
        self.record("sent")
        return True

    def answer_begun(self) -> None:
        """The limit counts from the first byte that its prefill engine has answered."""
        if not self.over:
            self.record("answer begins")
            self.hold_state()

    def first_token(self) -> None:
        if self.over or self.streaming:
            return
        self.streaming = True
        self.taken.prefill.was_taken()
        if self.taken.life.stage is Stage.SENT:  # else its client has just been answered or has left
            self.taken.core.gate.step(self.taken.life, Event.FIRST_EVENT)
        self.record("first event")
        self.taken.release_late_prefill()
        core, taken = self.taken.core, self.taken
        latency = core.loop.time() - self.sent
        if taken.timer:
            taken.timer.cancel()
        taken.body = None  # nothing is sent again from now on: kept while answers stream, prompts fill memory
        if core.stream_limit < inf:
            taken.timer = core.loop.call_at(core.loop.time() + core.stream_limit, taken.stream_too_long)
        core.tell(taken, lambda handle: handle.first_token(self.seq, latency))

    def hold_state(self) -> HeldState:
        """Follow what this prefill attempt has left, or may have left; anew once that counts as released, as
        an attempt that was out then may have kept it."""
        if not self.held or not self.held.open:
            core = self.taken.core
            self.held = HeldState(core.loop.time(), core.loop.time, self.record, core.held_statistics)
            self.expect_end_of_hold(self.held)
        return self.held

    def expect_end_of_hold(self, held: HeldState) -> None:
        core = self.taken.core
        held.check = core.loop.call_at(core.gate.held_until(held.since, core.pin_limit), self.check_held)

    def check_held(self) -> None:
        """Guards against a state that stays held unseen: looked at when its limit is over, by what engines
        have told, not by what was sent."""
        held, core = self.held, self.taken.core
        if not held or not held.open:
            return
        now = core.loop.time()
        if now < core.gate.held_until(held.since, core.pin_limit):
            self.expect_end_of_hold(held)
        else:
            core.gate.held_too_long(self.taken.name, now - held.since, held.stage.value)

    def look_for_life(self) -> None:
        """Learn whether the engine of this attempt runs: its state is being released, so it has answered
        nothing yet."""
        core = self.taken.core
        if self.over or self.streaming or not self.call:
            return
        if core.link.last_received_at(self.endpoint) > self.sent:
            self.record("look for life", SignOfLife.HEARD_SINCE.value)
            return
        core.link.check_liveness(self.endpoint, self.name, SILENT_AFTER, self.life_told)

    def life_told(self, alive: bool) -> None:
        """What came of it."""
        if self.over or self.streaming:
            return
        core = self.taken.core
        alive = alive or core.link.last_received_at(self.endpoint) > self.sent
        self.record("look for life", (SignOfLife.ANSWERS if alive else SignOfLife.SILENT).value)
        if not alive:
            core.tell(self.taken, lambda handle: handle.engine_silent(self.seq))

    def look_for_arrival(self) -> None:
        """Guards against a state that is held behind an attempt which reaches nobody: it stops no clock."""
        if not self.call or self.over or self.streaming:
            return
        core = self.taken.core
        now, due = core.loop.time(), release_time(self.taken.prefill.read_at, core.pin_limit)
        if now < due - TIMER_TOLERANCE and self.call.is_progressing():
            self.arrival = core.loop.call_at(min(now + PROGRESS_CHECK_INTERVAL, due), self.look_for_arrival)
        else:
            self.record("look for arrival", self.call.give_up_unless_arrived().name)

    def tokens(self, part: Any) -> None:
        if self.streaming and not self.over and not self.taken.over:
            self.taken.response_writer.tokens(part)

    def ended(
        self, verdict: Outcome, detail: int, load: Mapping[str, float], answer: Mapping[str, Any]
    ) -> None:
        if self.over:
            return
        self.over = True
        if self.arrival:
            self.arrival.cancel()
        taken, core = self.taken, self.taken.core
        self.attempt.verdict = verdict
        core.gate.step(taken.life, Event.ENDED)
        self.record("ended", verdict.value)
        now = core.loop.time()
        latency = now - self.sent
        if verdict in ANSWERED_BY_ENGINE:
            taken.prefill.engine_answered(now)
        if taken.in_flight is self:
            taken.in_flight = None
        if verdict is Outcome.PREFILLED:
            taken.prefill.was_left(self, answer["kv"], now)
            if taken.abandoned:
                taken.release(ReleaseReason.REQUEST_OVER)
        elif self.is_prefill and verdict not in NEVER_RAN:
            taken.prefill_ended_unclear(self)
        elif self.held:
            self.held.end(HeldStage.NEVER_HELD)
        if verdict is Outcome.FINISHED:
            taken.finish(answer.get("reason") or "stop", answer.get("usage") or {})
        elif self.streaming:
            taken.abort(f"the stream ended early: {verdict.value}")
        closed = taken.over
        core.tell(taken, lambda handle: handle.ended(self.seq, verdict, latency, closed, detail, load))
