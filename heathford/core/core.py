"""One Router, carried: events are gathered over a turn of the loop and played together.

The core knows no client protocol and no wire. A front hands it a completion with a sink; a link tells it of
dispatches; a list tells it of engines. What the Router can't see is owned here: one final answer whatever
happens, the life of a stream after its first token, and what is left of a completion whose decision failed.
"""

from collections.abc import Callable, Sequence
from dataclasses import astuple
from math import inf
from traceback import walk_tb
from typing import Any

import structlog

from heathford.core.protocols import Endpoint, Link, Loop, ResponseWriter
from heathford.core.gate import NOT_LISTED, Gate, Rule, Target
from heathford.core.held_state import HeldStatistics
from heathford.core.history import History
from heathford.core.accepted_request import AcceptedRequest
from heathford.interface import RoutedRequest, Health, EngineKind, Workload
from heathford.policy import Router

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


class Core:
    """One instance. Engines are told by its list_* methods, as the Router's own.

    name: of this instance, never used by another or by an earlier start: dispatches are called by it, and an
    engine may remember them. answer_margin: s before the client timeout by which the final answer is given;
    stream_limit: s that an answer may stream. `fronts` and `number` as in the Router.
    """

    def __init__(
        self,
        loop: Loop,
        link: Link,
        name: str,
        seed: int,
        kinds: Sequence[EngineKind],
        workloads: Sequence[Workload],
        number: int,
        fronts: int,
        zone: int,
        try_limit: int,
        pin_limit: float,
        may_cancel: bool,
        longest_retry: float,
        warm_after: float,
        cold_from: float,
        cold_multiple: float,
        cold_window: float,
        answer_margin: float,
        stream_limit: float = inf,
        may_delay_retries: bool = True,
        read_in_place: bool = False,
        subscribe: bool = False,
    ) -> None:
        self.loop, self.link, self.name, self.workloads = loop, link, name, workloads
        self.answer_margin, self.stream_limit = answer_margin, stream_limit
        self.clock = TurnClock()
        self.clock.now = loop.time()
        self.tally = Tally()
        self.history = History(loop.time)
        self.gate = Gate(self.violated, keyed_repeats=not link.may_read_late)
        self.held_statistics = HeldStatistics()
        self.endpoints: dict[int, Endpoint] = {}
        self.live: dict[AcceptedRequest, None] = {}
        self.touched: dict[AcceptedRequest, None] = {}  # this turn
        self.events: list[tuple[AcceptedRequest | None, Callable[[], None]]] = []
        self.turn_due = False
        self.count = 0
        self.idle_callbacks: list[Callable[[], None]] = []  # called once nothing is live
        self.on_endpoint_list_failure: Callable[[], None] = (
            lambda: None
        )  # a change of the list has failed: ask anew
        self.pin_limit = pin_limit
        self.router = Router(
            self.clock,
            self,
            seed,
            kinds,
            workloads,
            number,
            fronts,
            zone,
            try_limit,
            pin_limit,
            may_cancel,
            may_delay_retries,
            longest_retry,
            warm_after,
            cold_from,
            cold_multiple,
            cold_window,
            read_in_place,
            subscribe,
            keyed_repeats=not link.may_read_late,
            transfers=link.transfers,
        )
        self.hold = self.router.decode_wait_limit  # s for which a state may wait for an attempt that arrives

    # What the Router asks for: heathford.interface.RouterActions.

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
        log.error(
            "rule violated",
            rule=rule.name,
            what=what,
            request=name,
            history=[astuple(record) for record in self.history.of(name)],
        )

    # What fronts and the list say.

    def accept(
        self,
        sink: ResponseWriter,
        workload: int,
        member: int,
        session: str,
        shared: str,
        prompt: int,
        shared_tokens: int,
        longest: int,
        timeout: float,
        body: Any,
        mark: str = "",
        received: float | None = None,
        name: str = "",
        answer_hint: float = 0.0,
        size: int = 0,
    ) -> AcceptedRequest:
        """Takes a completion: lengths in tokens, timeout in s from `received` (else now) after which the
        client gives up. The final answer comes before that, by the sink. name: by which its client and all
        engines know it, where the protocol has one; answer_hint: s that the answer should take, 0 unknown;
        size: bytes that are sent to an engine, where the link tells of slow sends."""
        self.count += 1
        self.tally.taken += 1
        since = self.loop.time() if received is None else received
        due = since + timeout - self.answer_margin
        taken = AcceptedRequest(
            self,
            sink,
            name or f"cmpl-{self.name}-{self.count}",
            bool(name),
            body,
            mark,
            due,
            self.workloads[workload],
        )
        self.live[taken] = None

        def begin() -> None:
            if taken.over:
                taken.abandoned = True
                return
            taken.handle = self.router.accept(
                taken,
                workload,
                member,
                session,
                shared,
                prompt,
                shared_tokens,
                longest,
                answer_hint,
                due,
                size,
            )

        self.happened(taken, begin)
        return taken

    def apply_endpoint_list(
        self, complete: bool, rows: Sequence[tuple[Endpoint, int, int, int, Health, float, float]]
    ) -> None:
        """Rows: endpoint, zone, kind, cell, health, size, started (s on the loop's clock, 0 if long ago)."""

        def play() -> None:
            self.router.begin_list_update(complete)
            for endpoint, zone, kind, cell, health, size, started in rows:
                try:
                    self.endpoints[endpoint.number] = endpoint
                    self.router.update_engine(endpoint.number, zone, kind, cell, health, size, started)
                except Exception as problem:
                    # Guards against one entry that leaves all after it untold, drains among them. Could harm
                    # by a drain in that entry which is not acted on.
                    self.fault(problem, None)
            try:
                self.router.end_list_update()
            except Exception as problem:
                self.fault(problem, None)
                self.on_endpoint_list_failure()
            if len(self.endpoints) > len(self.router.engines):
                # Engines come and go under ever new names: only those that the Router still holds are kept.
                self.endpoints = {n: e for n, e in self.endpoints.items() if n in self.router.engines}

        self.happened(None, play)

    # Turns.

    def happened(self, taken: AcceptedRequest | None, play: Callable[[], None]) -> None:
        self.events.append((taken, play))
        self.turn_soon()

    def tell(self, taken: AcceptedRequest, say: Callable[[RoutedRequest], None]) -> None:
        def play() -> None:
            # Also for what was abandoned: else what ends for it now would count as out for good.
            if taken.handle:
                say(taken.handle)

        self.happened(taken, play)

    def check_gone(self, taken: AcceptedRequest) -> None:
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
                taken.release_late_prefill()
                self.live.pop(taken, None)
        if not self.live and self.idle_callbacks:
            calls, self.idle_callbacks = self.idle_callbacks, []
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
                    t.handle
                    for t in self.live
                    if t.handle and not t.over and t.in_flight is None and not t.abandoned
                ]
                if culprit is None:
                    self.wake(DECIDE_AGAIN)
                    return

    def culprit(self, problem: BaseException) -> AcceptedRequest | None:
        """The completion whose handle is in hand in the innermost frame that has one."""
        handles = {id(t.handle): t for t in self.live if t.handle and not t.abandoned}
        found = None
        for frame, _ in walk_tb(problem.__traceback__):
            for name in ("request", "self"):
                found = handles.get(id(frame.f_locals.get(name)), found)
        return found

    def fault(self, problem: Exception, taken: AcceptedRequest | None) -> None:
        self.tally.faults += 1
        log.error("decision failed", completion=taken.name if taken else None, exc_info=problem)
        if taken:
            taken.abandon("its decision failed")
            self.happened(taken, lambda: None)

    def guarded(self, sink: ResponseWriter, call: Callable[[], None]) -> None:
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
    def open_count(self) -> int:
        return sum(not t.over for t in self.live)

    def held_state_summary(self) -> dict[str, float]:
        """For the state line: states that are held, and how those that were have ended."""
        now = self.loop.time()
        open_states = [t.prefill.held for t in self.live if t.prefill.held]
        return self.held_statistics.told(
            max((now - held.begun_at for held in open_states if held.open), default=0.0)
        )
