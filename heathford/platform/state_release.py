"""Releases what is held for a request: ever more engines are asked until one confirms it."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import structlog

from heathford.core.protocols import Endpoint, ReleaseEvents
from heathford.engines.pools import Address
from heathford.engines.release_retries import NO_ANSWER, RELEASED_STATUSES
from heathford.platform.answers import LONGEST_LINE
from heathford.platform.exchange import Exchange
from heathford.platform.release_schedule import HOLDER_AT_ONCE, LEAST_ASKED, ReleaseSchedule, next_to_ask
from heathford.wire.http1 import MalformedMessageError, Response, encode_request

if TYPE_CHECKING:
    from heathford.platform.link import PlatformLink

ROOMS = "/bootstrap/rooms/"
NO_CONNECTION = -1  # in place of a status, where all of this process's own connections are in use
REFUSED = -2  # the same, where nobody listens: its process is gone, by the protocol page

log = structlog.get_logger()


def release_request(endpoint: Endpoint, name: str) -> bytes:
    """Which every engine answers, whatever it holds."""
    return encode_request("DELETE", ROOMS + name, endpoint.address, {}, b"")


class Startable(Protocol):
    """What waits until a release is through."""

    def start(self) -> None: ...


class ReleaseCall(Exchange):
    """One DELETE to one engine; `status` once it has ended."""

    link: "PlatformLink"

    def __init__(self, link: "PlatformLink", endpoint: Endpoint, name: str, patience: float) -> None:
        super().__init__(link, endpoint, patience)
        self.response = Response(LONGEST_LINE, LONGEST_LINE, strict=False)
        self.status: asyncio.Future[int] = self.loop.create_future()
        link.silent_engines.was_asked((endpoint.address, endpoint.port), self.loop.time())
        self.connect(lambda: release_request(endpoint, name), patience, urgent=True)

    @property
    def engine(self) -> str:
        """By its name, else its address."""
        return self.endpoint.name or f"{self.endpoint.address}:{self.endpoint.port}"

    def end(self, status: int, keep: bool = False) -> None:
        if not self.over:
            self.stop(keep)
            if status not in (NO_ANSWER, REFUSED):
                self.link.silent_engines.has_answered((self.endpoint.address, self.endpoint.port))
            self.status.set_result(status)

    def timed_out(self) -> None:
        self.end(NO_ANSWER)

    def heard(self, data: bytes) -> None:
        try:
            for _ in self.response.feed(data):
                pass
        except MalformedMessageError:
            self.end(NO_ANSWER)
            return
        if self.response.done:
            self.end(self.response.status, self.response.keep_alive)

    def lost(self, unwritten: bool) -> None:
        self.connection = None
        self.end(NO_ANSWER)

    def closed_by_engine(self) -> None:
        self.response.feed_eof()
        if self.response.done:
            self.end(self.response.status)

    def unreached(self) -> None:
        self.end(REFUSED if self.refused else NO_ANSWER)

    def crowded(self) -> None:
        self.end(NO_CONNECTION)


class StateRelease:
    """The release of all that is held for one request. waiting: started once it is over."""

    def __init__(self, link: "PlatformLink", holder: Endpoint, name: str, events: ReleaseEvents) -> None:
        self.link, self.holder, self.name = link, holder, name
        self.asked: list[Endpoint] = []
        self.listeners = [events]
        self.waiting: list[Startable] = []
        self.calls: dict[asyncio.Future[int], ReleaseCall] = {}  # not answered yet
        self.holder_answered = False  # or its process is gone

    def tell(self, say: Callable[[ReleaseEvents], None]) -> None:
        for events in self.listeners:
            say(events)

    async def run(self) -> bool:
        """Whether an engine has confirmed it. The holder is asked first; one that can't be reached would keep
        the state for good, so after that any other: each accepts it."""
        loop = self.link.loop
        schedule = ReleaseSchedule(loop.time(), self.link.pin_limit)
        try:
            while True:
                wait = schedule.next_in(loop.time())
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
        """One engine at first; later as many others as are due, each once, and the first again after all."""
        for _ in range(schedule.batch):
            endpoint = self.next_endpoint()
            if endpoint is None:
                schedule.nobody_is_left(self.link.loop.time())
                return
            again = endpoint in self.asked
            self.asked.append(endpoint)
            self.ask(endpoint, schedule)
            if again:
                return

    def next_endpoint(self) -> Endpoint | None:
        """The holder first, then those that were heard last; silent ones only where there is nobody else."""
        if not self.asked and not self.is_silent((self.holder.address, self.holder.port)):
            return self.holder
        found = self.other_endpoint(self.is_silent)
        if found and found not in self.asked:
            return found
        if not self.asked:
            return self.holder
        if len(self.asked) < LEAST_ASKED:
            found = self.other_endpoint(lambda address: False)
        out = sum(call.endpoint is found for call in self.calls.values())
        return found if out < HOLDER_AT_ONCE else None

    def other_endpoint(self, is_silent: Callable[[Address], bool]) -> Endpoint | None:
        near, far = self.link.listed()
        kept = self.link.pools.addresses_by_last_received()
        return next_to_ask(self.name, self.asked, kept, near, far, is_silent)

    def is_silent(self, address: Address) -> bool:
        return self.link.silent_engines.is_silent(address, self.link.loop.time())

    def ask(self, endpoint: Endpoint, schedule: ReleaseSchedule) -> None:
        now = self.link.loop.time()
        schedule.was_asked(now)
        call = ReleaseCall(self.link, endpoint, self.name, max(0.0, schedule.over_at - now))
        self.calls[call.status] = call
        self.tell(lambda events: events.requested(call.engine))

    async def confirmed_within(self, wait: float | None, schedule: ReleaseSchedule) -> bool:
        """Wait for answers for that long, or for the next one; whether one confirms the release."""
        done, _ = await asyncio.wait(self.calls, timeout=wait, return_when=asyncio.FIRST_COMPLETED)
        for status in [status for status in self.calls if status in done]:
            call = self.calls.pop(status)
            if call.endpoint is self.holder and (status.result() > 0 or status.result() == REFUSED):
                self.holder_answered = True
            if status.result() in RELEASED_STATUSES:
                self.tell(lambda events, call=call: events.confirmed(call.engine))  # type: ignore[misc]
                return True
            self.tell(
                lambda events, call=call, status=status: events.not_confirmed(  # type: ignore[misc]
                    call.engine, max(NO_ANSWER, status.result())
                )
            )
            now = self.link.loop.time()
            first_time = self.asked.count(call.endpoint) == 1
            if first_time and status.result() != NO_CONNECTION and now < call.until:
                schedule.was_refused(now)
        return False

    def told_failed(self) -> None:
        """No engine has confirmed it."""
        log.warning(
            "state not let go", completion=self.name, tried=[f"{e.address}:{e.port}" for e in self.asked]
        )
        self.tell(lambda events: events.failed())
