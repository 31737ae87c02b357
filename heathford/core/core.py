"""One Router, carried: events are gathered over a turn of the loop and played together.

The core knows no client protocol and no wire. A front hands it a completion with a sink; a link tells it of
dispatches; a list tells it of engines. What the Router can't see is owned here: one final answer whatever
happens, the life of a stream after its first token, and what is left of a completion whose decision failed.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import astuple
from math import inf
from traceback import walk_tb
from typing import Any

import structlog

from heathford.core.doors import Call, Cancellable, Endpoint, Link, Loop, Sink
from heathford.core.gate import (
    NOT_LISTED, Attempt, Event, Gate, Reason, RequestLife, Rule, Stage, Target)
from heathford.core.held_state import HeldStage, HeldState, HeldStatistics, ReleaseReason, SignOfLife
from heathford.core.history import History
from heathford.interface import (
    ANSWERED, NEVER_RAN, Handle, Health, Kind, Role, Verdict, Workload)
from heathford.policy import Completion, Router
from heathford.policy.held_state import SILENT_AFTER

FAULTS = 64  # faults in one decision after which it is left to the next turn: more is a loop, not a fault

DECIDE_AGAIN = 0.05  # s until the next look at what waits after a fault that no request explains

log = structlog.get_logger()


class TurnClock:
    now = 0.0


class Tally:
    """Counts for this front's life. Taken equals the four others and what is open, at any time."""

    def __init__(self) -> None:
        self.taken = self.finished = self.rate_limited = self.aborted = self.left = 0
        self.faults = self.late = 0  # decisions that raised; completions that the Router let run out of time


class Dispatch:
    """One dispatch, as its link tells of it."""

    def __init__(self, taken: "Taken", seq: int, endpoint: Endpoint, now: float) -> None:
        self.taken, self.seq, self.endpoint, self.sent = taken, seq, endpoint, now
        self.name = taken.name if taken.one_name else f"{taken.name}.{seq}"
        self.reading = endpoint.role is Role.READER
        self.streaming = self.over = False
        self.arrival: Cancellable | None = None  # the look whether it has arrived
        self.call: Call | None = None
        self.held: HeldState | None = None  # what this prefill attempt has left
        self.attempt = Attempt(taken.core.target(endpoint.number), self.reading, now)
        taken.life.attempts.append(self.attempt)

    def record(self, event: str, reason: str = "", engine: str = "") -> None:
        self.taken.core.history.add(self.taken.name, event, reason, self.seq, engine or self.endpoint.name)

    def wanted(self) -> bool:
        """Guards against an attempt that begins once its client has gone: the end of its connection may lie
        unread behind what it sent ahead, or behind what the loop is busy with. Also against one whose engine
        has begun to drain, or whose window has ended, while it waited for its connection or a release."""
        core, taken = self.taken.core, self.taken
        if self.over or taken.over:
            return False
        waits = taken.sink.still_waits()  # which may end it
        if self.over or taken.over:
            return False
        reason = core.gate.may_send(
            taken.life, self.attempt, core.target(self.endpoint.number), waits, core.loop.time())
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
        if self.taken.held:
            self.taken.held.end(HeldStage.TAKEN)
        if self.taken.life.stage is Stage.SENT:  # else its client has just been answered or has left
            self.taken.core.gate.step(self.taken.life, Event.FIRST_EVENT)
        self.record("first event")
        core, taken = self.taken.core, self.taken
        latency = core.loop.time() - self.sent
        if taken.timer:
            taken.timer.cancel()
        taken.body = None  # nothing is sent again from now on: kept while answers stream, prompts fill memory
        if core.stream_limit < inf:
            taken.timer = core.loop.call_at(core.loop.time() + core.stream_limit, taken.stream_too_long)
        core.tell(taken, lambda handle: handle.first_token(self.seq, latency))

    def hold_state(self) -> HeldState:
        """Follow what this prefill attempt has left, or may have left."""
        if not self.held:
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
        if core.link.heard_at(self.endpoint) > self.sent:
            self.record("look for life", SignOfLife.HEARD_SINCE.value)
            return
        core.link.ask_for_life(self.endpoint, self.name, SILENT_AFTER, self.life_told)

    def life_told(self, alive: bool) -> None:
        """What came of it."""
        if self.over or self.streaming:
            return
        core = self.taken.core
        alive = alive or core.link.heard_at(self.endpoint) > self.sent
        self.record("look for life", (SignOfLife.ANSWERS if alive else SignOfLife.SILENT).value)
        if not alive:
            core.tell(self.taken, lambda handle: handle.engine_silent(self.seq))

    def look_for_arrival(self) -> None:
        """Guards against a state that is held behind an attempt which reaches nobody: it stops no clock."""
        if self.call and not self.over and not self.streaming:
            self.record("look for arrival", self.call.give_up_unless_arrived().name)

    def tokens(self, part: Any) -> None:
        if self.streaming and not self.over and not self.taken.over:
            self.taken.sink.tokens(part)

    def ended(
        self, verdict: Verdict, detail: int, load: Mapping[str, float], answer: Mapping[str, Any]
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
        if verdict in ANSWERED and taken.held:
            taken.held.since = now  # the limit counts anew from what an engine itself has told
        if taken.out is self:
            taken.out = None
        if verdict is Verdict.READ:
            taken.kv, taken.state_at, taken.read_at = answer["kv"], self, now
            taken.held = self.hold_state()
            if taken.abandoned:
                taken.release(ReleaseReason.REQUEST_OVER)
        elif self.reading and verdict not in NEVER_RAN:
            # Guards against a read that ends unseen: its state may wait at the reader though we were never
            # told of it, and only its name lets it go. Harms nothing where there is none.
            taken.let_go(self, ReleaseReason.PREFILL_UNCLEAR)
        elif self.held:
            self.held.end(HeldStage.NEVER_HELD)
        if verdict is Verdict.FINISHED:
            taken.finish(answer.get("reason") or "stop", answer.get("usage") or {})
        elif self.streaming:
            taken.abort(f"the stream ended early: {verdict.value}")
        closed = taken.over
        core.tell(taken, lambda handle: handle.ended(self.seq, verdict, latency, closed, detail, load))


class Taken:
    """A completion that a front handed over, until its final answer and the end of its last dispatch."""

    def __init__(
        self, core: "Core", sink: Sink, name: str, one_name: bool, body: Any, mark: str, due: float,
        workload: Workload,
    ) -> None:
        self.core, self.sink, self.name, self.body, self.mark = core, sink, name, body, mark
        self.life = RequestLife(name, workload)
        core.history.add(name, "taken")
        self.due = due
        self.one_name: bool = one_name  # one_name: its dispatches are all called as itself
        self.handle: Completion | None = None
        self.dispatches: list[Dispatch] = []
        self.out: Dispatch | None = None
        self.kv: Mapping[str, Any] | None = None
        self.state_at: Dispatch | None = None  # the reading dispatch that left the state
        self.held: HeldState | None = None  # of the last one that did, also while it is being released
        self.read_at: float = 0.0  # s on the loop's clock at which the state was left
        self.over: bool = False  # final answer given, or the client has gone
        self.abandoned: bool = False  # its decision failed: nothing more is asked of its handle
        self.timer: Cancellable | None = core.loop.call_at(due + core.answer_margin / 2, self.overdue)

    # What the Router asks for: heathford.interface.CompletionDoor.

    def send(self, engine: int, timeout: float) -> None:
        core = self.core
        dispatch = Dispatch(self, len(self.dispatches), core.endpoints[engine], core.loop.time())
        self.dispatches.append(dispatch)
        self.out = dispatch
        core.gate.step(self.life, Event.HANDED_OVER)
        dispatch.record("handed over")
        kv = None if dispatch.reading else self.kv
        try:
            dispatch.call = core.link.send(
                dispatch.endpoint, dispatch.name, self.body, kv, self.mark, timeout, dispatch)
        except Exception as problem:
            # Guards against an attempt that never began and counts as out for good. Harms nothing: the link
            # tells of nothing before it has returned.
            core.fault(problem, None)
            dispatch.ended(Verdict.UNSENT, 0, {}, {})
            return
        if self.state_at and not dispatch.reading:
            due = max(self.read_at + core.hold, dispatch.sent + (core.pin_limit - core.hold) / 2)
            dispatch.arrival = core.loop.call_at(due, dispatch.look_for_arrival)

    def cancel(self, seq: int) -> None:
        if seq < len(self.dispatches):
            self.stop(self.dispatches[seq])

    def rate_limit(self, retry_after: float) -> None:
        if not self.over and self.core.gate.may_answer_refused(self.life) is not Reason.ALLOWED:
            self.abort("it may have run")
        elif self.close("rate_limited", self.given_up):
            self.core.guarded(self.sink, lambda: self.sink.rate_limited(retry_after))

    @property
    def given_up(self) -> str:
        """Why the Router has given it up."""
        why = self.handle.given_up if self.handle else None
        return why.value if why else ""

    def abort(self, why: str = "given up") -> None:
        if self.close("aborted", why):
            self.core.guarded(self.sink, lambda: self.sink.aborted(why))

    def release(self, reason: ReleaseReason = ReleaseReason.POLICY) -> None:
        if self.state_at:
            self.let_go(self.state_at, reason)
            if self.out:
                self.out.look_for_life()
        self.kv = self.state_at = None

    # What the front says.

    def leave(self) -> None:
        """The client has gone: nothing more is owed. A stream that nobody reads ends."""
        if not self.close("left"):
            return
        if self.out and self.out.streaming:
            self.stop(self.out)
        elif self.out and self.out.call:
            # Guards against a dispatch that begins once its client has gone: it may still wait for its
            # connection, or for a release. Also where running ones may not be cancelled. Harms nothing.
            self.out.call.withdraw()
        self.core.tell(self, lambda handle: handle.left())

    # What the core owns.

    def finish(self, reason: str, usage: Mapping[str, Any]) -> None:
        if self.close("finished"):
            self.core.guarded(self.sink, lambda: self.sink.finished(reason, usage))

    def let_go(self, dispatch: Dispatch, reason: ReleaseReason) -> None:
        """Now, before the next dispatch: one that can't connect, or whose bytes reach nobody, stops no clock,
        and several in a row outlast the pin limit. Where all have one name the link holds what is sent next
        until the release is through, so that it takes no later state. Costs that dispatch a round trip."""
        dispatch.record("release", reason.value)
        held = dispatch.hold_state()
        held.release_begins()
        self.core.link.release(dispatch.endpoint, dispatch.name, held)

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

    def stop(self, dispatch: Dispatch) -> None:
        if dispatch.call and not dispatch.over:
            dispatch.call.cancel()

    def overdue(self) -> None:
        """Guards against a completion that the Router lets run out of time, as after a fault of its own: the
        client still gets its answer. Could harm if it came before the Router's own, so it waits past that."""
        self.core.tally.late += 1
        log.error("overdue", completion=self.name, out=self.out.name if self.out else None)
        self.abort("out of time")
        if self.out:
            self.stop(self.out)  # and the Router hears how it ended: else it counts it as out for good
        else:
            self.core.tell(self, lambda handle: handle.left())

    def stream_too_long(self) -> None:
        self.abort("the stream ran past its limit")
        if self.out:
            self.stop(self.out)

    def abandon(self, why: str) -> None:
        """The Router is asked no more about it; all that is out or held for it is let go."""
        self.abandoned = True
        self.abort(why)
        if self.out:
            self.stop(self.out)
        self.release(ReleaseReason.DECISION_FAILED)

    @property
    def gone(self) -> bool:
        return self.over and self.out is None and (
            self.abandoned or self.handle is None or self.handle.settled)


class Core:
    """One instance. Engines are told by its list_* methods, as the Router's own.

    name: of this instance, never used by another or by an earlier start: dispatches are called by it, and an
    engine may remember them. answer_margin: s before the client timeout by which the final answer is given;
    stream_limit: s that an answer may stream. `fronts` and `number` as in the Router.
    """

    def __init__(
        self, loop: Loop, link: Link, name: str, seed: int, kinds: Sequence[Kind],
        workloads: Sequence[Workload], number: int, fronts: int, zone: int, try_limit: int, pin_limit: float,
        may_cancel: bool, longest_retry: float, warm_after: float, cold_from: float, cold_multiple: float,
        cold_window: float, answer_margin: float, stream_limit: float = inf, may_delay_retries: bool = True,
        read_in_place: bool = False, subscribe: bool = False,
    ) -> None:
        self.loop, self.link, self.name, self.workloads = loop, link, name, workloads
        self.answer_margin, self.stream_limit = answer_margin, stream_limit
        self.clock = TurnClock()
        self.clock.now = loop.time()
        self.tally = Tally()
        self.history = History(loop.time)
        self.gate = Gate(self.violated)
        self.held_statistics = HeldStatistics()
        self.endpoints: dict[int, Endpoint] = {}
        self.live: dict[Taken, None] = {}
        self.touched: dict[Taken, None] = {}  # this turn
        self.events: list[tuple[Taken | None, Callable[[], None]]] = []
        self.turn_due = False
        self.count = 0
        self.idle: list[Callable[[], None]] = []  # called once nothing is live
        self.list_not_taken: Callable[[], None] = lambda: None  # a change of the list has failed: ask anew
        self.pin_limit = pin_limit
        self.router = Router(
            self.clock, self, seed, kinds, workloads, number, fronts, zone, try_limit, pin_limit, may_cancel,
            may_delay_retries, longest_retry, warm_after, cold_from, cold_multiple, cold_window,
            read_in_place, subscribe)
        self.hold = self.router.hold  # s for which a state may wait for an attempt that arrives

    # What the Router asks for: heathford.interface.InstanceDoor.

    def wake(self, after: float) -> None:
        self.loop.call_at(self.loop.time() + after, self.turn_soon)

    def subscribe(self) -> None:
        """The list comes by itself here."""

    def trace(self, text: str) -> None:
        log.info("trace", text=text)

    # What the gate asks and says.

    def target(self, number: int) -> Target:
        """An engine as the list says now; one that it no longer names is gone."""
        return self.router.engines.get(number) or NOT_LISTED

    def violated(self, rule: Rule, name: str, what: str) -> None:
        log.error("rule violated", rule=rule.name, what=what, request=name,
                  history=[astuple(record) for record in self.history.of(name)])

    # What fronts and the list say.

    def take(
        self, sink: Sink, workload: int, member: int, session: str, shared: str, prompt: int,
        shared_tokens: int, longest: int, timeout: float, body: Any, mark: str = "",
        received: float | None = None, name: str = "", answer_hint: float = 0.0,
    ) -> Taken:
        """Takes a completion: lengths in tokens, timeout in s from `received` (else now) after which the
        client gives up. The final answer comes before that, by the sink. name: by which its client and all
        engines know it, where the protocol has one; answer_hint: s that the answer should take, 0 unknown."""
        self.count += 1
        self.tally.taken += 1
        since = self.loop.time() if received is None else received
        due = since + timeout - self.answer_margin
        taken = Taken(self, sink, name or f"cmpl-{self.name}-{self.count}", bool(name), body, mark, due,
                      self.workloads[workload])
        self.live[taken] = None

        def begin() -> None:
            if taken.over:
                taken.abandoned = True
                return
            taken.handle = self.router.take(
                taken, workload, member, session, shared, prompt, shared_tokens, longest, answer_hint, due)
        self.happened(taken, begin)
        return taken

    def list_changed(
        self, complete: bool, rows: Sequence[tuple[Endpoint, int, int, int, Health, float, float]]
    ) -> None:
        """Rows: endpoint, zone, kind, cell, health, size, started (s on the loop's clock, 0 if long ago)."""
        def play() -> None:
            self.router.list_begins(complete)
            for endpoint, zone, kind, cell, health, size, started in rows:
                try:
                    self.endpoints[endpoint.number] = endpoint
                    self.router.list_row(endpoint.number, zone, kind, cell, health, size, started)
                except Exception as problem:
                    # Guards against one entry that leaves all after it untold, drains among them. Could harm
                    # by a drain in that entry which is not acted on.
                    self.fault(problem, None)
            try:
                self.router.list_ends()
            except Exception as problem:
                self.fault(problem, None)
                self.list_not_taken()
            if len(self.endpoints) > len(self.router.engines):
                # Engines come and go under ever new names: only those that the Router still holds are kept.
                self.endpoints = {n: e for n, e in self.endpoints.items() if n in self.router.engines}
        self.happened(None, play)

    # Turns.

    def happened(self, taken: Taken | None, play: Callable[[], None]) -> None:
        self.events.append((taken, play))
        self.turn_soon()

    def tell(self, taken: Taken, say: Callable[[Handle], None]) -> None:
        def play() -> None:
            # Also for what was abandoned: else what ends for it now would count as out for good.
            if taken.handle:
                say(taken.handle)
        self.happened(taken, play)

    def check_gone(self, taken: Taken) -> None:
        """Something ended for it: the end of this turn sees whether it still lives. Given up while deciding,
        a completion has no event of its own in that turn, and would stay for good."""
        self.touched[taken] = None
        self.turn_soon()

    def turn_soon(self) -> None:
        if not self.turn_due:
            self.turn_due = True
            self.loop.call_soon(self.turn)

    def turn(self) -> None:
        self.turn_due = False
        self.clock.now = self.loop.time()
        events, self.events = self.events, []
        for taken, play in events:
            if taken:
                self.check_gone(taken)
            try:
                play()
            except Exception as problem:
                self.fault(problem, taken)
        self.decide()
        touched, self.touched = self.touched, {}
        for taken in touched:
            if taken.gone:
                self.live.pop(taken, None)
        if not self.live and self.idle:
            calls, self.idle = self.idle, []
            for call in calls:
                call()

    def decide(self) -> None:
        """Guards against one completion whose decision raises: it is aborted, the others are decided. The
        Router has then lost those it had not reached, so all that wait are handed to it again."""
        for _ in range(FAULTS):
            try:
                self.router.decide()
                return
            except Exception as problem:
                culprit = self.culprit(problem)
                self.fault(problem, culprit)
                self.router.waiting = [
                    t.handle for t in self.live
                    if t.handle and not t.over and t.out is None and not t.abandoned]
                if culprit is None:
                    self.wake(DECIDE_AGAIN)
                    return

    def culprit(self, problem: BaseException) -> Taken | None:
        """The completion whose handle is in hand in the innermost frame that has one."""
        handles = {id(t.handle): t for t in self.live if t.handle and not t.abandoned}
        found = None
        for frame, _ in walk_tb(problem.__traceback__):
            for name in ("completion", "self"):
                found = handles.get(id(frame.f_locals.get(name)), found)
        return found

    def fault(self, problem: Exception, taken: Taken | None) -> None:
        self.tally.faults += 1
        log.error("decision failed", completion=taken.name if taken else None, exc_info=problem)
        if taken:
            taken.abandon("its decision failed")
            self.happened(taken, lambda: None)

    def guarded(self, sink: Sink, call: Callable[[], None]) -> None:
        """Guards against a sink that raises: its client is told that its request failed, nobody else hears of
        it. Could harm a client to which part of another answer has gone out; its sink knows."""
        try:
            call()
        except Exception as problem:
            log.error("sink failed", exc_info=problem)
            try:
                sink.aborted("its answer could not be written")
            except Exception as second:
                log.error("sink failed", exc_info=second)

    @property
    def open(self) -> int:
        return sum(not t.over for t in self.live)

    def told_of_held(self) -> dict[str, float]:
        """For the state line: states that are held, and how those that were have ended."""
        now = self.loop.time()
        open_states = [t.held for t in self.live if t.held]
        return self.held_statistics.told(
            max((now - held.begun_at for held in open_states if held.open), default=0.0))
