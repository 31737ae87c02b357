"""Carries dispatches to engines in the platform's protocol, over kept connections."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import structlog

from heathford.core.doors import Arrival, CallEvents, Endpoint, ReleaseEvents
from heathford.core.tasks import Tasks
from heathford.engines.pools import Pools
from heathford.interface import Role, Verdict
from heathford.platform.answers import Answer
from heathford.platform.exchange import EngineConnection, Exchange
from heathford.platform.running_engine import RunningProof
from heathford.platform.silent_engines import SilentEngines
from heathford.platform.state_release import NO_ANSWER, REFUSED, ReleaseCall, StateRelease
from heathford.platform.unclear_prefill import UnclearPrefill
from heathford.wire.http1 import NonsenseError, request
from heathford.wire.socket_state import unconfirmed

IDLE_PART = 0.6  # of the time after which engines close idle connections: one written into then is lost
RELEASE_PART = 0.05  # of all connections, kept back for releases: without one a state stays held
FEW_CONNECTIONS = 8  # up to which none is kept back
SETTLED = 0.01  # s after an answer before a connection is used again: some engines close it then, and a
# request that crosses the close may have run; ten times the way between zones
SILENCE = 4.0  # s without an event after which a stream is held for dead: clients may be kept waiting for 5
PREFILL_ANSWER = 0.1  # s in which a prefill engine's answer comes whole once it has begun: some 100 bytes
FAILED_AGAIN = 0.5  # s after a release that nobody confirmed until it is said again; then twice as long
FAILED_AGAIN_MOST = 4.0  # s of these: in all they outlast a cut of several seconds
UNCLEAR = frozenset({Verdict.CANCELLED, Verdict.TIMED_OUT, Verdict.BROKEN})  # ends of a read that may go on

log = structlog.get_logger()


def kept_back(connections: int) -> int:
    """How many of all connections only releases may use: one at least, where there are more than a few."""
    if connections <= FEW_CONNECTIONS:
        return 0
    return max(1, int(connections * RELEASE_PART))


class EngineCall(Exchange):
    """One dispatch. Ends once, with the first thing that ends it."""

    link: "PlatformLink"

    def __init__(
        self, link: "PlatformLink", endpoint: Endpoint, name: str, body: tuple[str, bytes], mark: str,
        timeout: float, events: CallEvents,
    ) -> None:
        super().__init__(link, endpoint, timeout)
        self.name, self.body, self.mark, self.events = name, body, mark, events
        self.answer = Answer(endpoint.role is Role.READER)
        self.heard_at = 0.0  # when the last event came
        self.begun = False  # events of a stream have come
        self.answer_begun = False  # of a prefill engine
        self.engine_runs = False  # shown on the connection that is used
        self.was_accepted = False  # that connection had been answered on before

    def start(self) -> None:
        if self.over:
            return
        left = self.until - self.loop.time()
        if left <= 0.0:
            self.end(Verdict.UNSENT)
            return
        self.connect(self.encoded, min(left, self.link.connect_timeout))

    def wait_for_release(self) -> None:
        """Guards against an attempt that waits past its time behind a release which nobody confirms."""
        self.expect(max(0.0, self.until - self.loop.time()), self.withdraw)

    def begin(self, connection: EngineConnection, data: Callable[[], bytes]) -> None:
        if self.events.needs_running_engine() and not self.engine_runs:
            self.prove_that_engine_runs(connection, data)
        elif not self.events.wanted():
            self.link.give_back(connection)
            self.end(Verdict.UNSENT)
        else:
            self.was_accepted = connection.heard
            super().begin(connection, data)

    def prove_that_engine_runs(self, connection: EngineConnection, data: Callable[[], bytes]) -> None:
        """First, on the connection that is to be used. What is left is an engine that stops between its
        answer and the last byte of this attempt."""
        if not self.link.finished_name:
            self.link.give_back(connection)
            self.end(Verdict.UNSENT)  # there is nothing to ask it by yet
            return
        if self.timer:
            self.timer.cancel()

        def proven(answered: EngineConnection) -> None:
            if self.over:
                self.link.give_back(answered)
            else:
                self.engine_runs = True
                self.begin(answered, data)

        proof = RunningProof(self.link, self.endpoint, self.link.finished_name, proven, self.unreached)
        proof.start(connection)

    def ask_whether_read(self, state_waits: bool, within: float, told: Callable[[bool], None]) -> None:
        """By a release in the name of a request that is over, else of its own. On a new connection where the
        one of the attempt may still wait to be accepted: connections are accepted in their order."""
        name = self.link.finished_name or ("" if state_waits else self.name)
        if not name:
            self.loop.call_soon(told, False)
            return
        asked = ReleaseCall(self.link, self.endpoint, name, within, fresh=not self.was_accepted)
        asked.status.add_done_callback(lambda status: told(status.result() > 0 or status.result() == REFUSED))

    def encoded(self) -> bytes:
        (target, body), self.body = self.body, ("", b"")  # written once: not kept while the answer streams
        left = max(1, int(1000 * (self.until - self.loop.time())))
        headers = {"X-Call-Id": self.name, "X-Budget-Ms": str(left)}
        if self.mark:
            headers["Idempotency-Key"] = self.mark
        return request("POST", target, self.endpoint.address, headers, body)

    def cancel(self) -> None:
        self.end(Verdict.CANCELLED)

    def withdraw(self) -> None:
        """Also where part of a long request has left: an engine starts on what is whole."""
        if self.connection is None or self.connection.unwritten:
            self.end(Verdict.UNSENT)

    def give_up_unless_arrived(self) -> Arrival:
        """Guards against what prefill holds for a request that never gets to its decode engine. Once the
        kernel has the last byte it may have run for all we know: the kernel sends on until the socket is
        closed, whatever it held when it was asked."""
        if self.over or self.begun:
            return Arrival.ANSWERED
        if self.connection is None or self.connection.unwritten:
            self.end(Verdict.UNREACHABLE)
            return Arrival.UNSENT
        if unconfirmed(self.connection.transport):
            self.end(Verdict.UNARRIVED)
            return Arrival.UNCONFIRMED
        return Arrival.CONFIRMED

    def end(self, verdict: Verdict, detail: int = 0, keep: bool = False) -> None:
        if self.over:
            return
        sent = self.connection is not None
        self.stop(keep)
        self.link.ends[verdict] += 1
        if verdict is Verdict.FINISHED:
            self.link.finished_name = self.name
        if (sent or verdict is Verdict.BROKEN) and verdict in UNCLEAR and self.endpoint.role is Role.READER:
            self.link.unclear[self.name] = UnclearPrefill(self.loop.time())
        self.events.ended(verdict, detail, {}, {"kv": {}})

    def timed_out(self) -> None:
        self.end(Verdict.TIMED_OUT)

    def unreached(self) -> None:
        """Nothing of it was sent."""
        self.end(Verdict.UNREACHABLE)

    def crowded(self) -> None:
        """All our connections are in use: nothing was sent, and for us this engine is full."""
        self.end(Verdict.CROWDED)

    def lost(self, unwritten: bool) -> None:
        self.connection = None
        self.end(Verdict.UNREACHABLE if unwritten else Verdict.BROKEN)

    def closed_by_engine(self) -> None:
        self.answer.response.closed()
        if self.answer.response.done:
            self.heard(b"")

    def heard(self, data: bytes) -> None:
        try:
            events = self.answer.feed(data)
            done = self.answer.response.done
            verdict, detail = self.answer.verdict() if done else (Verdict.ERROR, 0)
        except NonsenseError as problem:
            self.link.nonsense(self.endpoint, problem)
            self.end(Verdict.ERROR)
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
        elif self.endpoint.role is Role.READER and not self.answer_begun:
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
            self.end(Verdict.TIMED_OUT)
        else:
            self.expect(left, self.look_for_silence)


class PlatformLink:
    """connect_timeout, pin_limit, idle (after which engines close) in s; connections: at most, in all.
    listed: engines that are on, those of the own zone and the others."""

    def __init__(
        self, connect_timeout: float, pin_limit: float, idle: float, connections: int,
        listed: Callable[[], tuple[Sequence[Endpoint], Sequence[Endpoint]]],
    ) -> None:
        self.listed = listed
        self.loop = asyncio.get_running_loop()
        self.connect_timeout, self.pin_limit = connect_timeout, pin_limit
        self.pools: Pools[EngineConnection] = Pools(
            IDLE_PART * idle, connections, SETTLED, kept_back(connections))
        self.silent_engines = SilentEngines(lambda address: self.pools.pool(*address).heard_at)
        self.tasks = Tasks("link")
        self.releases: dict[str, StateRelease] = {}  # by completion
        self.unclear: dict[str, UnclearPrefill] = {}  # by request
        self.again: dict[str, asyncio.TimerHandle] = {}  # requests whose release is to be said once more
        self.ends: Counter[Verdict] = Counter()
        self.finished_name = ""  # of a request that is over and holds nothing: engines may be asked by it
        self.spoilt = self.unreleased = 0
        self.stopped = False

    def send(
        self, endpoint: Endpoint, name: str, body: Any, kv: Mapping[str, Any] | None, mark: str,
        timeout: float, events: CallEvents,
    ) -> EngineCall:
        call = EngineCall(self, endpoint, name, body, mark, timeout, events)
        if name in self.again:
            self.again.pop(name).cancel()
        if name in self.unclear:
            # The core has them said once this attempt is through.
            self.unclear[name] = UnclearPrefill(self.loop.time())
        if name in self.releases:
            # Guards against a DELETE that comes after the dispatch it was sent before: it names the
            # completion, and would take the state from that one. Costs the wait for its answer.
            self.releases[name].waiting.append(call)
            call.wait_for_release()
        else:
            self.loop.call_soon(call.start)
        return call

    def release(
        self, endpoint: Endpoint, name: str, events: ReleaseEvents, again_after: float = FAILED_AGAIN
    ) -> None:
        """again_after: s after which it is said once more where no engine confirms it."""
        if name in self.releases:
            self.releases[name].listeners.append(events)
        else:
            self.releases[name] = StateRelease(self, endpoint, name, events)
            self.tasks.spawn(self.run_release(endpoint, name, events, again_after))

    async def run_release(
        self, endpoint: Endpoint, name: str, events: ReleaseEvents, again_after: float
    ) -> None:
        release = self.releases[name]
        try:
            confirmed = await release.run()
            if not confirmed:
                self.unreleased += 1
                release.told_failed()
            if confirmed and name in self.unclear:
                self.unclear[name].was_released(release.holder_answered)
            if not release.waiting:
                self.say_again_if_due(confirmed, endpoint, name, events, again_after)
        finally:
            del self.releases[name]
            for call in release.waiting:
                call.start()

    def say_again_if_due(
        self, confirmed: bool, endpoint: Endpoint, name: str, events: ReleaseEvents, again_after: float
    ) -> None:
        """A release that nobody confirmed, and a confirmed one of a prefill that may still run on."""
        if not confirmed and again_after <= FAILED_AGAIN_MOST:
            self.say_again(again_after, endpoint, name, events, 2 * again_after)
            return
        unclear = self.unclear.get(name)
        late = unclear.next_after(self.loop.time(), self.pin_limit) if confirmed and unclear else None
        if late is None:
            self.unclear.pop(name, None)
        else:
            self.say_again(late, endpoint, name, events, FAILED_AGAIN_MOST)

    def say_again(
        self, after: float, endpoint: Endpoint, name: str, events: ReleaseEvents, then_after: float
    ) -> None:
        if name in self.again:
            self.again[name].cancel()
        self.again[name] = self.loop.call_later(
            after, self.release_again, endpoint, name, events, then_after)

    def heard_at(self, endpoint: Endpoint) -> float:
        """When anything came from that engine last, while a connection to it has stood."""
        return self.pools.pool(endpoint.address, endpoint.port).heard_at

    def ask_for_life(
        self, endpoint: Endpoint, name: str, within: float, told: Callable[[bool], None]
    ) -> None:
        """By a DELETE, which each engine accepts and answers whatever it holds."""
        call = ReleaseCall(self, endpoint, name, within)
        call.status.add_done_callback(lambda status: told(status.result() not in (NO_ANSWER, REFUSED)))

    def release_again(
        self, endpoint: Endpoint, name: str, events: ReleaseEvents, again_after: float
    ) -> None:
        """Guards against a release that is read, on another connection, before the prefill that was given up
        ends well, and against one that nobody confirmed: what is left would stay. Not where another attempt
        has begun: it names the request, and would take what that leaves. Costs a few calls for each prefill
        given up."""
        del self.again[name]
        self.release(endpoint, name, events, again_after)

    def give_back(self, connection: EngineConnection) -> None:
        if connection.closed() or self.stopped:
            connection.close()
        else:
            self.pools.keep(connection.pool, connection, self.loop.time())

    def nonsense(self, endpoint: Endpoint, problem: NonsenseError) -> None:
        self.spoilt += 1
        if self.spoilt <= 20:  # the first tell what it looks like; the count goes on
            log.warning("nonsense from an engine", engine=endpoint.name, what=str(problem))

    def stop(self) -> None:
        self.stopped = True
        for timer in self.again.values():
            timer.cancel()
        self.again.clear()
        self.pools.close_idle()
