"""Carries dispatches to engines in the platform's protocol, over kept connections."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import structlog

from heathford.core.protocols import CallEvents, Endpoint, ReleaseEvents
from heathford.core.tasks import Tasks
from heathford.engines.pools import ConnectionPools
from heathford.engines.release_retries import NO_ANSWER
from heathford.interface import Outcome
from heathford.platform.engine_call import EngineCall
from heathford.platform.exchange import EngineConnection
from heathford.platform.silent_engines import SilentEngines
from heathford.platform.state_release import REFUSED, ReleaseCall, StateRelease
from heathford.platform.abandoned_prefill import AbandonedPrefill
from heathford.policy.transfer import TransferRates
from heathford.wire.http1 import MalformedMessageError

IDLE_PART = 0.6  # of the time after which engines close idle connections: one written into then is lost
RELEASE_PART = 0.05  # of all connections, kept back for releases: without one a state stays held
FEW_CONNECTIONS = 8  # up to which none is kept back
REUSE_DELAY = (
    0.05  # s after an answer before a connection is used again: some engines close it then, or answer
)
# once more some milliseconds late, which would be taken for what the next request gets
FAILED_AGAIN = 0.5  # s after a release that nobody confirmed until it is said again; then twice as long
FAILED_AGAIN_MOST = 4.0  # s of these: in all they outlast a cut of several seconds

log = structlog.get_logger()


def kept_back(connections: int) -> int:
    """How many of all connections only releases may use: one at least, where there are more than a few."""
    if connections <= FEW_CONNECTIONS:
        return 0
    return max(1, int(connections * RELEASE_PART))


class PlatformLink:
    """connect_timeout, pin_limit, idle (after which engines close) in s; connections: at most, in all.
    listed: engines that are on, those of the own zone and the others."""

    may_read_late = True  # a close is no recall: a process reads what its machine has taken before it

    def __init__(
        self,
        connect_timeout: float,
        pin_limit: float,
        idle: float,
        connections: int,
        listed: Callable[[], tuple[Sequence[Endpoint], Sequence[Endpoint]]],
    ) -> None:
        self.listed = listed
        self.loop = asyncio.get_running_loop()
        self.connect_timeout, self.pin_limit = connect_timeout, pin_limit
        self.pools: ConnectionPools[EngineConnection] = ConnectionPools(
            IDLE_PART * idle, connections, REUSE_DELAY, kept_back(connections)
        )
        self.silent_engines = SilentEngines(lambda address: self.pools.pool(*address).last_received_at)
        self.tasks = Tasks("link")
        self.releases: dict[str, StateRelease] = {}  # by completion
        self.abandoned_prefills: dict[str, AbandonedPrefill] = {}  # by request
        self.transfers = TransferRates()
        self.retry_timers: dict[
            str, asyncio.TimerHandle
        ] = {}  # requests whose release is to be said once more
        self.outcomes: Counter[Outcome] = Counter()
        self.malformed_answers = self.failed_releases = 0
        self.stopped = False

    def send(
        self,
        endpoint: Endpoint,
        name: str,
        body: Any,
        kv: Mapping[str, Any] | None,
        mark: str,
        timeout: float,
        events: CallEvents,
    ) -> EngineCall:
        call = EngineCall(self, endpoint, name, body, mark, timeout, events)
        if name in self.retry_timers:
            self.retry_timers.pop(name).cancel()
        if name in self.abandoned_prefills:
            # The core has them said once this attempt is through.
            self.abandoned_prefills[name] = AbandonedPrefill(self.loop.time())
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
                self.failed_releases += 1
                release.told_failed()
            if confirmed and name in self.abandoned_prefills:
                self.abandoned_prefills[name].release_confirmed(release.holder_answered)
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
        unclear = self.abandoned_prefills.get(name)
        late = unclear.next_release_in(self.loop.time(), self.pin_limit) if confirmed and unclear else None
        if late is None:
            self.abandoned_prefills.pop(name, None)
        else:
            self.say_again(late, endpoint, name, events, FAILED_AGAIN_MOST)

    def say_again(
        self, after: float, endpoint: Endpoint, name: str, events: ReleaseEvents, then_after: float
    ) -> None:
        if name in self.retry_timers:
            self.retry_timers[name].cancel()
        self.retry_timers[name] = self.loop.call_later(
            after, self.release_again, endpoint, name, events, then_after
        )

    def last_received_at(self, endpoint: Endpoint) -> float:
        """When anything came from that engine last, while a connection to it has stood."""
        return self.pools.pool(endpoint.address, endpoint.port).last_received_at

    def check_liveness(
        self, endpoint: Endpoint, name: str, within: float, told: Callable[[bool], None]
    ) -> None:
        """By a DELETE, which each engine accepts and answers whatever it holds."""
        call = ReleaseCall(self, endpoint, name, within)
        call.status.add_done_callback(lambda status: told(status.result() not in (NO_ANSWER, REFUSED)))

    def release_again(self, endpoint: Endpoint, name: str, events: ReleaseEvents, again_after: float) -> None:
        """Guards against a release that is read, on another connection, before the prefill that was given up
        ends well, and against one that nobody confirmed: what is left would stay. Not where another attempt
        has begun: it names the request, and would take what that leaves. Costs a few calls for each prefill
        given up."""
        del self.retry_timers[name]
        self.release(endpoint, name, events, again_after)

    def give_back(self, connection: EngineConnection) -> None:
        if connection.closed() or self.stopped:
            connection.close()
        else:
            self.pools.add_idle(connection.pool, connection, self.loop.time())

    def nonsense(self, endpoint: Endpoint, problem: MalformedMessageError) -> None:
        self.malformed_answers += 1
        if self.malformed_answers <= 20:  # the first tell what it looks like; the count goes on
            log.warning("nonsense from an engine", engine=endpoint.name, what=str(problem))

    def stop(self) -> None:
        self.stopped = True
        for timer in self.retry_timers.values():
            timer.cancel()
        self.retry_timers.clear()
        self.pools.close_idle()
