"""Releases the state held for a request: asks more and more engines until one confirms the release."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import structlog

from heathford.core.protocols import Endpoint, ReleaseEvents
from heathford.engines.pools import Address
from heathford.engines.release_retries import NO_ANSWER, RELEASED_STATUSES
from heathford.platform.answers import LONGEST_LINE
from heathford.platform.exchange import Exchange
from heathford.platform.release_schedule import (
    MAX_CALLS_TO_FIRST_ASKED,
    MIN_ENGINES_ASKED,
    ReleaseSchedule,
    next_to_ask,
)
from heathford.wire.http1 import MalformedMessageError, Response, encode_request

if TYPE_CHECKING:
    from heathford.platform.link import PlatformLink

ROOMS_PATH = "/bootstrap/rooms/"  # in the engines' interface; what follows names a request
NO_CONNECTION = -1  # in place of a status: all connections of this process are in use
CONNECTION_REFUSED = -2  # in place of a status: by the protocol, the engine's process has ended

log = structlog.get_logger()


def release_request(endpoint: Endpoint, name: str) -> bytes:
    """Return the request that releases a state; every engine answers it, whatever it holds."""
    return encode_request("DELETE", ROOMS_PATH + name, endpoint.address, {}, b"")


class Startable(Protocol):
    """A call that waits for a release of its request to end."""

    def start(self) -> None: ...


class ReleaseCall(Exchange):
    """One DELETE request to one engine.

    status: resolves when the call ends, to the HTTP status or to NO_ANSWER, NO_CONNECTION or
    CONNECTION_REFUSED.
    """

    link: "PlatformLink"

    def __init__(self, link: "PlatformLink", endpoint: Endpoint, name: str, timeout: float) -> None:
        super().__init__(link, endpoint, timeout)
        self.response = Response(LONGEST_LINE, LONGEST_LINE, strict=False)
        self.status: asyncio.Future[int] = self.loop.create_future()
        link.silent_engines.record_request((endpoint.address, endpoint.port), self.loop.time())
        self.connect(lambda: release_request(endpoint, name), timeout, use_reserved=True)

    @property
    def engine_label(self) -> str:
        """The engine's name, or its address where the name is not known."""
        return self.endpoint.name or f"{self.endpoint.address}:{self.endpoint.port}"

    def end(self, status: int, keep_alive: bool = False) -> None:
        """End the call with that status, unless it has ended."""
        if not self.over:
            self.finish(keep_alive)
            if status not in (NO_ANSWER, CONNECTION_REFUSED):
                self.link.silent_engines.record_answer((self.endpoint.address, self.endpoint.port))
            self.status.set_result(status)

    def on_timeout(self) -> None:
        self.end(NO_ANSWER)

    def on_data(self, data: bytes) -> None:
        try:
            for _ in self.response.feed(data):
                pass
        except MalformedMessageError:
            self.end(NO_ANSWER)
            return
        if self.response.done:
            self.end(self.response.status, self.response.keep_alive)

    def on_connection_lost(self, has_unwritten: bool) -> None:
        self.connection = None
        self.end(NO_ANSWER)

    def on_eof(self) -> None:
        self.response.feed_eof()
        if self.response.done:
            self.end(self.response.status)

    def on_connect_failure(self) -> None:
        self.end(CONNECTION_REFUSED if self.connection_refused else NO_ANSWER)

    def on_no_free_connection(self) -> None:
        self.end(NO_CONNECTION)


class StateRelease:
    """The release of all state held for one request.

    waiting_calls: calls of the same request, started once the release has ended.
    """

    def __init__(self, link: "PlatformLink", holder: Endpoint, name: str, events: ReleaseEvents) -> None:
        self.link, self.holder, self.name = link, holder, name
        self.asked: list[Endpoint] = []
        self.listeners = [events]
        self.waiting_calls: list[Startable] = []
        self.calls: dict[asyncio.Future[int], ReleaseCall] = {}  # without an answer so far
        self.answered: dict[Address, None] = {}  # engines that answered, or whose process is gone

    def notify(self, notification: Callable[[ReleaseEvents], None]) -> None:
        """Pass a notification on to all listeners."""
        for events in self.listeners:
            notification(events)

    async def run(self) -> bool:
        """Ask engines for `pin_limit` s at most, and return whether one has confirmed the release.

        The holder is asked first. As an unreachable holder would keep the state for good, other engines are
        asked after it: on this platform any engine can release what another one holds.
        """
        loop = self.link.loop
        schedule = ReleaseSchedule(loop.time(), self.link.pin_limit)
        try:
            while True:
                wait = schedule.next_round_in(loop.time())
                if wait == 0.0:
                    self.ask_batch(schedule)
                elif not self.calls:
                    if wait is None:
                        return False
                    await asyncio.sleep(wait)
                elif await self.confirmed_within(wait, schedule):
                    return True
        finally:
            for call in list(self.calls.values()):
                call.end(NO_ANSWER)

    def ask_batch(self, schedule: ReleaseSchedule) -> None:
        """Ask as many engines as the schedule says, each once; where none is left, the first one again."""
        for _ in range(schedule.batch_size):
            endpoint = self.next_endpoint()
            if endpoint is None:
                schedule.no_engine_available(self.link.loop.time())
                return
            asked_before = endpoint in self.asked
            self.asked.append(endpoint)
            self.ask(endpoint, schedule)
            if asked_before:
                return

    def next_endpoint(self) -> Endpoint | None:
        """Return the holder first, then other engines; silent ones only where there are no others."""
        if not self.asked and not self.is_silent((self.holder.address, self.holder.port)):
            return self.holder
        candidate = self.other_endpoint(self.is_silent)
        if candidate and candidate not in self.asked:
            return candidate
        if not self.asked:
            return self.holder
        if len(self.asked) < MIN_ENGINES_ASKED:
            candidate = self.other_endpoint(lambda address: False)
        in_flight = sum(call.endpoint is candidate for call in self.calls.values())
        return candidate if in_flight < MAX_CALLS_TO_FIRST_ASKED else None

    def other_endpoint(self, is_silent: Callable[[Address], bool]) -> Endpoint | None:
        """Return the next engine beside the holder, as `next_to_ask` chooses it."""
        same_zone, other_zones = self.link.listed_engines()
        connected = self.link.pools.addresses_by_last_received()
        return next_to_ask(self.name, self.asked, connected, same_zone, other_zones, is_silent)

    def is_silent(self, address: Address) -> bool:
        """Return whether that engine has left releases unanswered lately."""
        return self.link.silent_engines.is_silent(address, self.link.loop.time())

    def ask(self, endpoint: Endpoint, schedule: ReleaseSchedule) -> None:
        """Send the release to one engine."""
        now = self.link.loop.time()
        schedule.record_request(now)
        call = ReleaseCall(self.link, endpoint, self.name, max(0.0, schedule.ends_at - now))
        self.calls[call.status] = call
        self.notify(lambda events: events.requested(call.engine_label))

    async def confirmed_within(self, wait: float | None, schedule: ReleaseSchedule) -> bool:
        """Wait for the next answers, for `wait` s at most, and return whether one confirms the release."""
        done, _ = await asyncio.wait(self.calls, timeout=wait, return_when=asyncio.FIRST_COMPLETED)
        for status in [status for status in self.calls if status in done]:
            call = self.calls.pop(status)
            if status.result() > 0 or status.result() == CONNECTION_REFUSED:
                self.answered[call.endpoint.address, call.endpoint.port] = None
            if status.result() in RELEASED_STATUSES:
                self.notify(lambda events, call=call: events.confirmed(call.engine_label))  # type: ignore[misc]
                return True
            self.notify(
                lambda events, call=call, status=status: events.not_confirmed(  # type: ignore[misc]
                    call.engine_label, max(NO_ANSWER, status.result())
                )
            )
            now = self.link.loop.time()
            first_time = self.asked.count(call.endpoint) == 1
            if first_time and status.result() != NO_CONNECTION and now < call.expires_at:
                schedule.record_refusal(now)
        return False

    def report_failure(self) -> None:
        """Log and notify that no engine has confirmed the release."""
        log.warning(
            "prefill state not released",
            completion=self.name,
            tried=[f"{e.address}:{e.port}" for e in self.asked],
        )
        self.notify(lambda events: events.failed())
