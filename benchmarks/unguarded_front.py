"""The command line with one guard of the front taken out: benchmarks.unguarded_front GUARD front …"""

import sys
from collections.abc import Callable
from typing import Any

from heathford.cli.main import cli
from heathford.core import accepted_request
from heathford.engines import link
from heathford.front import memory
from heathford.identity import idempotency_table
from heathford.interface import Effect, Health
from heathford.policy import Router, router
from heathford.policy.slow_start import SlowStart
from heathford.sessions import rpc, session, fair_queue
from heathford.sessions.guidance import Retry
from heathford.sessions import websocket as sockets


def answers_twice() -> None:
    true = accepted_request.AcceptedRequest.finish

    def finish(self: accepted_request.AcceptedRequest, reason: str, usage: Any) -> None:
        true(self, reason, usage)
        self.response_writer.aborted("seeded")

    accepted_request.AcceptedRequest.finish = finish  # type: ignore[method-assign]


def never_gives_up() -> None:
    router.GIVE_UP_MARGIN = -1e9
    Router.has_eligible_engine = lambda self, request, now, timely=True: True  # type: ignore[method-assign]
    accepted_request.AcceptedRequest.abort_overdue = lambda self: None  # type: ignore[method-assign]


def sends_beside() -> None:
    """A second dispatch at once, as a hedge would be."""
    true = accepted_request.AcceptedRequest.send

    def send(self: accepted_request.AcceptedRequest, engine: int, timeout: float) -> None:
        true(self, engine, timeout)
        out = self.in_flight
        if out and not out.is_prefill and len(self.attempts) == 2:
            true(self, engine, timeout)

    accepted_request.AcceptedRequest.send = send  # type: ignore[method-assign]


def forgets_effects() -> None:
    """All workloads are taken for idempotent."""
    true = Router.__init__

    def begin(self: Router, *args: Any, **more: Any) -> None:
        true(self, *args, **more)
        self.workloads = [
            type(w)(
                w.latency_target,
                w.target_per_1000,
                w.token_target,
                Effect.IDEMPOTENT,
                w.group,
                w.key_ttl,
                w.value,
            )
            for w in self.workloads
        ]

    Router.__init__ = begin  # type: ignore[method-assign]


def ignores_drains() -> None:
    true = Router.update_engine

    def row(
        self: Router,
        number: int,
        zone: int,
        kind: int,
        cell: int,
        health: Health,
        size: float,
        started: float,
    ) -> None:
        true(self, number, zone, kind, cell, Health.ON, size, started)

    Router.update_engine = row  # type: ignore[method-assign]


def crowds_cold_engines() -> None:
    """Each new process gets all that the front has, and so from each front."""
    SlowStart.is_cold = lambda self, engine: False  # type: ignore[method-assign]
    true = Router.pick_by_hash

    def pair(self: Router, request: Any, role: Any, is_available: Any) -> Any:
        newest = max(self.pools[role], key=lambda e: e.started, default=None)
        if newest and newest.started > 0 and self.clock.now - newest.started < self.slow_start.warm_after:
            return newest
        return true(self, request, role, is_available)

    Router.pick_by_hash = pair  # type: ignore[method-assign]


def pins_states() -> None:
    def release(self: link.EngineLink, endpoint: Any, name: str, events: Any) -> None:
        """Ask nobody."""

    link.EngineLink.release = release  # type: ignore[method-assign]


def forgets_keys() -> None:
    """A repeat is taken for a new completion."""
    idempotency_table.IdempotencyTable.look_up = lambda self, tenant, key, body, now: (  # type: ignore[method-assign]
        idempotency_table.LookupResult.NEW,
        None,
    )


def closes_at_once() -> None:
    """A stopping front closes sessions that have completions out."""

    def stop(self: sockets.SessionServer) -> None:
        self.manager.stopping = True
        self.close()

    sockets.SessionServer.stop = stop  # type: ignore[method-assign]


def lets_all_go() -> None:
    """What must not run twice ends with its client too, and is forgotten."""

    def leave(self: session.SessionRequest, cancelled: bool) -> None:
        shared, manager = self.shared, self.session.manager
        self.close()
        if shared and shared.leave(self) and not shared.over:
            shared.abandon()
            manager.idempotency_table.remove(self.arguments["member"], self.arguments["mark"])

    session.SessionRequest.leave = leave  # type: ignore[method-assign]


def cancels_without_answer() -> None:
    """A completion that its client cancels just ends."""

    def cancel(self: session.Session, key: Any) -> bool:
        found = self.requests.get(key)
        if found:
            found.leave(cancelled=True)
        return found is not None

    session.Session.cancel = cancel  # type: ignore[method-assign]


def streams_on() -> None:
    """A completion that was cancelled is still told to its client."""

    def cancel(self: session.Session, key: Any) -> bool:
        found = self.requests.get(key)
        if found:
            self.writer.aborted(key, found.name, "cancelled by the client", Retry.NEVER)
        return found is not None

    session.Session.cancel = cancel  # type: ignore[method-assign]


def drops_what_is_slow() -> None:
    """Every tenth chunk is dropped, as a slow reader's could be."""
    true = rpc.JsonRpcSession.chunk
    count = 0

    def chunk(self: rpc.JsonRpcSession, key: Any, request: str, text: str) -> None:
        nonlocal count
        count += 1
        if count % 10:
            true(self, key, request, text)

    rpc.JsonRpcSession.chunk = chunk  # type: ignore[method-assign]


def forgets_restarts() -> None:
    """What a store has kept is not looked at."""
    memory.Memory.restore = lambda self, idempotency_table, now: 0  # type: ignore[method-assign]


def shares_nothing() -> None:
    """The window never holds anyone back."""
    fair_queue.INITIAL_WINDOW = 1e9
    fair_queue.MIN_WINDOW = 1e9


GUARDS: dict[str, Callable[[], None]] = {
    f.__name__: f
    for f in (
        answers_twice,
        never_gives_up,
        sends_beside,
        forgets_effects,
        ignores_drains,
        crowds_cold_engines,
        pins_states,
        forgets_keys,
        closes_at_once,
        lets_all_go,
        cancels_without_answer,
        streams_on,
        drops_what_is_slow,
        forgets_restarts,
        shares_nothing,
    )
}

if __name__ == "__main__":
    GUARDS[sys.argv.pop(1)]()
    cli()
