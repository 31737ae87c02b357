"""Runs one router: events of one turn of the event loop are collected and applied together.

The core knows no client protocol and no wire format. A front end hands it requests, each with a response
writer; a link reports on attempts; discovery or the registry reports the endpoint list. The core owns what
the router can't see: that each request gets exactly one final answer, a stream after its first token, and the
cleanup of a request whose routing decision raised an exception.
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

MAX_DECISION_FAULTS = 64  # per turn: more is taken for an endless loop and left to the next turn

DECISION_RETRY_DELAY = 0.05  # s until the next decision after an exception that no single request caused

log = structlog.get_logger()


class TurnClock:
    """The router's clock: stands still during a turn. `now` is in s on the loop's clock."""

    now = 0.0


class Tally:
    """Request counts since the process started.

    At any time, `taken` (accepted) equals `finished` + `rate_limited` + `aborted` + `left` (the client
    disconnected) + the number of open requests.
    """

    def __init__(self) -> None:
        self.taken = self.finished = self.rate_limited = self.aborted = self.left = 0
        self.faults = self.late = 0  # decisions that raised; requests the router let run past their deadline

    def ends(self) -> dict[str, int]:
        """Return how many requests were accepted, and how those that are over have ended, for a log line."""
        return {
            "taken": self.taken,
            "finished": self.finished,
            "rate_limited": self.rate_limited,
            "aborted": self.aborted,
            "left": self.left,
        }


class Core:
    """The requests, attempts and router of one front node.

    name: unique among front nodes and across restarts, because attempts are named after it and engines may
    remember their names. answer_margin: s before the client's deadline by which the final answer is given.
    stream_limit: s that an answer may stream. The other parameters are those of `Router`.
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
        self.gate = Gate(self.report_violation, keyed_repeats=not link.may_read_late)
        self.held_statistics = HeldStatistics()
        self.endpoints: dict[int, Endpoint] = {}
        self.live: dict[AcceptedRequest, None] = {}
        self.removal_candidates: dict[AcceptedRequest, None] = {}  # checked at the end of this turn
        self.events: list[tuple[AcceptedRequest | None, Callable[[], None]]] = []
        self.turn_scheduled = False
        self.request_number = 0
        self.idle_callbacks: list[Callable[[], None]] = []  # called once, when no request is live
        # Called when an update could not be applied: the whole list should be requested again.
        self.on_endpoint_list_failure: Callable[[], None] = lambda: None
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
        # s that held prefill state may wait for a decode attempt to arrive at its engine.
        self.decode_wait_limit = self.router.decode_wait_limit

    # Called by the router: heathford.interface.RouterActions.

    def wake(self, after: float) -> None:
        self.loop.call_at(self.loop.time() + after, self.schedule_turn)

    def subscribe(self) -> None:
        """Do nothing: the endpoint list is watched all the time."""

    def trace(self, text: str) -> None:
        log.info("trace", text=text)

    # Used by the gate and by attempts.

    def target(self, number: int) -> Target:
        """Return the engine's present entry in the endpoint list, or a removed engine if it has none."""
        return self.router.engines.get(number) or NOT_LISTED

    def report_violation(self, rule: Rule, name: str, what: str) -> None:
        log.error(
            "rule violated",
            rule=rule.name,
            what=what,
            request=name,
            history=[astuple(record) for record in self.history.of(name)],
        )

    # Called by front ends and by whatever follows the endpoint list.

    def accept(
        self,
        response_writer: ResponseWriter,
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
        on_removed: Callable[[AcceptedRequest], None] = lambda request: None,
    ) -> AcceptedRequest:
        """Accept a request; its final answer goes to the response writer before the client's deadline.

        timeout: s from `received` (s on the loop's clock; now if None) until the client gives up.
        member: number of the tenant. session, shared: identities of the session and of the shared prompt
        prefix. prompt, shared_tokens, longest: tokens of the prompt, of the shared prefix and at most of the
        answer. mark: idempotency key, or empty. name: the request's name towards client and engines, where
        the client protocol has one. answer_hint: expected s of the answer, 0 if unknown. size: bytes sent to
        an engine, used where the link reports slow sends. on_removed: called once the request is over and no
        attempt of it is out, so that nothing of it takes memory any more.
        """
        self.request_number += 1
        self.tally.taken += 1
        since = self.loop.time() if received is None else received
        answer_deadline = since + timeout - self.answer_margin
        request = AcceptedRequest(
            self,
            response_writer,
            name or f"cmpl-{self.name}-{self.request_number}",
            bool(name),
            body,
            mark,
            answer_deadline,
            self.workloads[workload],
            on_removed,
        )
        self.live[request] = None

        def route() -> None:
            if request.over:
                request.abandoned = True
                return
            request.routed_request = self.router.accept(
                request,
                workload,
                member,
                session,
                shared,
                prompt,
                shared_tokens,
                longest,
                answer_hint,
                answer_deadline,
                size,
            )

        self.enqueue_event(request, route)
        return request

    def apply_endpoint_list(
        self, complete: bool, entries: Sequence[tuple[Endpoint, int, int, int, Health, float, float]]
    ) -> None:
        """Apply a snapshot (complete) or a change of the endpoint list.

        Each entry: endpoint, zone, kind, cell, health, size, started (s on the loop's clock, 0 if long ago).
        """

        def apply() -> None:
            self.router.begin_list_update(complete)
            for endpoint, zone, kind, cell, health, size, started in entries:
                try:
                    self.endpoints[endpoint.number] = endpoint
                    self.router.update_engine(endpoint.number, zone, kind, cell, health, size, started)
                except Exception as problem:
                    # One bad entry must not keep the entries after it, drains among them, from the router.
                    # A drain in the bad entry itself is lost.
                    self.record_fault(problem, None)
            try:
                self.router.end_list_update()
            except Exception as problem:
                self.record_fault(problem, None)
                self.on_endpoint_list_failure()
            if len(self.endpoints) > len(self.router.engines):
                # Engines come and go under ever new names: drop those that the router has forgotten.
                self.endpoints = {n: e for n, e in self.endpoints.items() if n in self.router.engines}

        self.enqueue_event(None, apply)

    # Turns of the event loop.

    def enqueue_event(self, request: AcceptedRequest | None, apply: Callable[[], None]) -> None:
        self.events.append((request, apply))
        self.schedule_turn()

    def notify_router(self, request: AcceptedRequest, notify: Callable[[RoutedRequest], None]) -> None:
        def apply() -> None:
            # Abandoned requests too: otherwise the router would count their attempts as in flight forever.
            if request.routed_request:
                notify(request.routed_request)

        self.enqueue_event(request, apply)

    def check_removable(self, request: AcceptedRequest) -> None:
        """Check at the end of this turn whether the request can be dropped.

        Called whenever something of it ends. A request that is given up during the decision has no event of
        its own in that turn and would otherwise never be removed.
        """
        self.removal_candidates[request] = None
        self.schedule_turn()

    def schedule_turn(self) -> None:
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.call_soon(self.turn)

    def turn(self) -> None:
        self.turn_scheduled = False
        self.clock.now = self.loop.time()
        events, self.events = self.events, []
        for request, apply in events:
            if request:
                self.check_removable(request)
            try:
                apply()
            except Exception as problem:
                self.record_fault(problem, request)
        self.decide()
        candidates, self.removal_candidates = self.removal_candidates, {}
        for request in candidates:
            if request.is_removable and request in self.live:
                request.release_late_prefill()
                del self.live[request]
                request.removed()
        if not self.live and self.idle_callbacks:
            calls, self.idle_callbacks = self.idle_callbacks, []
            for call in calls:
                call()

    def decide(self) -> None:
        """Run the router's decision; abort the request that made it raise and decide the others.

        After an exception the router has lost the requests that it had not reached yet, so its waiting list
        is rebuilt from the live requests.
        """
        for _ in range(MAX_DECISION_FAULTS):
            try:
                self.router.decide()
                return
            except Exception as problem:
                culprit = self.culprit(problem)
                self.record_fault(problem, culprit)
                self.router.waiting = [
                    t.routed_request
                    for t in self.live
                    if t.routed_request and not t.over and t.in_flight is None and not t.abandoned
                ]
                if culprit is None:
                    self.wake(DECISION_RETRY_DELAY)
                    return

    def culprit(self, problem: BaseException) -> AcceptedRequest | None:
        """Return the request that the innermost stack frame with a routed request was working on.

        Found by the router's local variable names, `request` and `self`.
        """
        by_routed_request = {
            id(t.routed_request): t for t in self.live if t.routed_request and not t.abandoned
        }
        found = None
        for frame, _ in walk_tb(problem.__traceback__):
            for name in ("request", "self"):
                found = by_routed_request.get(id(frame.f_locals.get(name)), found)
        return found

    def record_fault(self, problem: Exception, request: AcceptedRequest | None) -> None:
        self.tally.faults += 1
        log.error("decision failed", completion=request.name if request else None, exc_info=problem)
        if request:
            request.abandon("its decision failed")
            self.enqueue_event(request, lambda: None)

    def call_response_writer(self, response_writer: ResponseWriter, call: Callable[[], None]) -> None:
        """Call the response writer; if it raises, abort that one request.

        Part of another answer may have gone out already; the response writer has to take care of that.
        """
        try:
            call()
        except Exception as problem:
            log.error("response writer failed", exc_info=problem)
            try:
                response_writer.aborted("its answer could not be written")
            except Exception as second:
                log.error("response writer failed to abort the request", exc_info=second)

    @property
    def open_count(self) -> int:
        return sum(not t.over for t in self.live)

    def held_state_summary(self) -> dict[str, float]:
        """Return the figures on held prefill states for the periodic state log line."""
        now = self.loop.time()
        open_states = [t.prefill.held for t in self.live if t.prefill.held]
        return self.held_statistics.summary(
            max((now - held.held_from for held in open_states if held.open), default=0.0)
        )
