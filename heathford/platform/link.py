"""The link to engines in the platform's protocol: attempts and releases over pooled connections."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import structlog

from heathford.core.protocols import CallEvents, Endpoint, ReleaseEvents
from heathford.core.tasks import Tasks
from heathford.engines.pools import ConnectionPools
from heathford.engines.release_retries import NO_ANSWER
from heathford.engines.stream_progress import StreamProgress
from heathford.interface import Outcome
from heathford.platform.abandoned_attempts import AbandonedAttemptTable
from heathford.platform.engine_call import EngineCall
from heathford.platform.exchange import EngineConnection
from heathford.platform.silent_engines import SilentEngines
from heathford.platform.state_release import CONNECTION_REFUSED, ReleaseCall, StateRelease
from heathford.policy.transfer import TransferRates
from heathford.wire.http1 import MalformedMessageError

IDLE_TIME_FRACTION = 0.6  # of the engines' idle time-out: a request written as the engine closes is lost
RELEASE_FRACTION = 0.05  # of all connections, reserved for releases: without a connection a state stays held
SMALL_POOL = 8  # connections, up to which none is reserved
# s after a response until its connection is used again: some engines close it then, or send the response once
# more some milliseconds later, which would be taken for the response to the next request
REUSE_DELAY = 0.05
RELEASE_RETRY_DELAY = 0.5  # s from an unconfirmed release to its retry; doubles for each further one
MAX_LOGGED_ANSWERS = 100  # of each kind: enough to see what is wrong; all are counted
MAX_RELEASE_RETRY_DELAY = 4.0  # s: all retries together outlast a network outage of several seconds

log = structlog.get_logger()


def reserved_connections(max_connections: int) -> int:
    """Return how many connections only releases may use: at least one, unless there are few in all."""
    if max_connections <= SMALL_POOL:
        return 0
    return max(1, int(max_connections * RELEASE_FRACTION))


class PlatformLink:
    """Sends attempts and releases to engines, and retries releases.

    connect_timeout, pin_limit (for which a state may be held) and engine_idle_timeout (after which engines
    close idle connections) in s; max_connections: to all engines together; listed_engines: returns the
    listed engines that may be used, those of the own zone and the others.
    """

    may_read_late = True  # closing recalls nothing: an engine still reads what its machine received before

    def __init__(
        self,
        connect_timeout: float,
        pin_limit: float,
        engine_idle_timeout: float,
        max_connections: int,
        listed_engines: Callable[[], tuple[Sequence[Endpoint], Sequence[Endpoint]]],
    ) -> None:
        self.listed_engines = listed_engines
        self.loop = asyncio.get_running_loop()
        self.connect_timeout, self.pin_limit = connect_timeout, pin_limit
        self.pools: ConnectionPools[EngineConnection] = ConnectionPools(
            IDLE_TIME_FRACTION * engine_idle_timeout,
            max_connections,
            REUSE_DELAY,
            reserved_connections(max_connections),
        )
        self.silent_engines = SilentEngines(lambda address: self.pools.pool(*address).last_received_at)
        self.tasks = Tasks("link")
        self.releases: dict[str, StateRelease] = {}  # by request
        self.abandoned = AbandonedAttemptTable()
        self.transfers = TransferRates()
        self.retry_timers: dict[str, asyncio.TimerHandle] = {}  # of releases, by request
        self.outcomes: Counter[Outcome] = Counter()
        self.malformed_answers = self.unfinished_streams = self.failed_releases = 0
        self.stopped = False

    def send(
        self,
        endpoint: Endpoint,
        name: str,
        body: Any,
        kv: Mapping[str, Any] | None,
        idempotency_key: str,
        timeout: float,
        events: CallEvents,
    ) -> EngineCall:
        call = EngineCall(self, endpoint, name, body, idempotency_key, timeout, events, kv is not None)
        if name in self.retry_timers:
            self.retry_timers.pop(name).cancel()
        self.abandoned.attempt_sent(name, self.loop.time())
        if name in self.releases:
            # A DELETE names the request. If it arrived after this attempt, which is sent later, it would
            # release the attempt's state. The cost is the wait for its answer.
            self.releases[name].waiting_calls.append(call)
            call.wait_for_release()
        else:
            self.loop.call_soon(call.start)
        return call

    def release(
        self,
        endpoint: Endpoint,
        name: str,
        events: ReleaseEvents,
        retry_delay: float = RELEASE_RETRY_DELAY,
    ) -> None:
        """Release the state held for a request, or join the release that is in progress.

        retry_delay: s until a retry where no engine confirms the release.
        """
        if name in self.releases:
            self.releases[name].listeners.append(events)
        else:
            self.releases[name] = StateRelease(self, endpoint, name, events)
            self.tasks.spawn(self.run_release(endpoint, name, events, retry_delay))

    async def run_release(
        self, endpoint: Endpoint, name: str, events: ReleaseEvents, retry_delay: float
    ) -> None:
        """Run the release, schedule its retry, and start the calls that wait for its end."""
        release = self.releases[name]
        try:
            confirmed = await release.run()
            if not confirmed:
                self.failed_releases += 1
                release.report_failure()
            abandoned = self.abandoned.get(name)
            if confirmed and abandoned:
                abandoned.release_confirmed(release.answered)
            if not release.waiting_calls:
                self.schedule_retry_if_needed(confirmed, endpoint, name, events, retry_delay)
        finally:
            del self.releases[name]
            for call in release.waiting_calls:
                call.start()

    def schedule_retry_if_needed(
        self, confirmed: bool, endpoint: Endpoint, name: str, events: ReleaseEvents, retry_delay: float
    ) -> None:
        """Retry a release that no engine confirmed, or that may have overtaken the end of an attempt."""
        if not confirmed and retry_delay <= MAX_RELEASE_RETRY_DELAY:
            self.schedule_retry(retry_delay, endpoint, name, events, 2 * retry_delay)
            return
        abandoned = self.abandoned.get(name) if confirmed else None
        delay = abandoned.next_release_in(self.loop.time(), self.pin_limit) if abandoned else None
        if abandoned and delay is not None:
            next_engine = abandoned.engine_to_ask or endpoint
            self.schedule_retry(delay, next_engine, name, events, MAX_RELEASE_RETRY_DELAY)
        else:
            self.abandoned.forget(name)

    def schedule_retry(
        self, delay: float, endpoint: Endpoint, name: str, events: ReleaseEvents, next_retry_delay: float
    ) -> None:
        """Retry the release in `delay` s; next_retry_delay: s until the retry after that one."""
        if name in self.retry_timers:
            self.retry_timers[name].cancel()
        self.retry_timers[name] = self.loop.call_later(
            delay, self.retry_release, endpoint, name, events, next_retry_delay
        )

    def last_received_at(self, endpoint: Endpoint) -> float:
        """Return when anything was last received from that engine, while any connection to it was open."""
        return self.pools.pool(endpoint.address, endpoint.port).last_received_at

    def check_liveness(
        self, endpoint: Endpoint, name: str, within: float, on_result: Callable[[bool], None]
    ) -> None:
        """Check liveness with a DELETE request, which every engine answers, whatever it holds."""
        call = ReleaseCall(self, endpoint, name, within)
        call.status.add_done_callback(
            lambda status: on_result(status.result() not in (NO_ANSWER, CONNECTION_REFUSED))
        )

    def retry_release(self, endpoint: Endpoint, name: str, events: ReleaseEvents, retry_delay: float) -> None:
        """Release once more, so that no state is left behind.

        An engine may read a release, on another connection, before it sees the end of an attempt that was
        given up; and a release may stay unconfirmed. `send` cancels the retry when it starts another attempt,
        as the release names the request and would take that attempt's state. The cost is a few calls for each
        attempt that was given up.
        """
        del self.retry_timers[name]
        self.release(endpoint, name, events, retry_delay)

    def return_connection(self, connection: EngineConnection) -> None:
        """Put a connection back into its pool, or close it if it is closing or the link has stopped."""
        if connection.closed() or self.stopped:
            connection.close()
        else:
            self.pools.add_idle(connection.pool, connection, self.loop.time())

    def report_malformed_answer(self, endpoint: Endpoint, name: str, error: MalformedMessageError) -> None:
        """Count an engine's answer that breaks the protocol, and log the first ones."""
        self.malformed_answers += 1
        if self.malformed_answers <= MAX_LOGGED_ANSWERS:
            log.warning(
                "malformed answer from an engine", engine=endpoint.name, request=name, what=str(error)
            )

    def report_unfinished_stream(self, call: EngineCall, stream: StreamProgress, outcome: Outcome) -> None:
        """Count a stream that ended before its last chunk, whoever ended it, and log the first ones."""
        self.unfinished_streams += 1
        if self.unfinished_streams <= MAX_LOGGED_ANSWERS:
            log.warning(
                "stream ended before its last chunk",
                engine=call.endpoint.name,
                request=call.name,
                outcome=outcome.value,
                since_last_event=round(self.loop.time() - stream.last_event_at, 3),
                since_last_byte=round(self.loop.time() - stream.last_byte_at, 3),
                bytes_since_event=stream.bytes_since_event,
                reading=call.answer.response.awaited_part,
                done_event=call.answer.events.finished,
            )

    def stop(self) -> None:
        """Cancel retries and close idle connections; those in use close when their exchange ends."""
        self.stopped = True
        for timer in self.retry_timers.values():
            timer.cancel()
        self.retry_timers.clear()
        self.pools.close_idle()
