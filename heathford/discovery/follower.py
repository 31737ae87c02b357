"""Decide when discovery is called and how long each call may take: a state machine without I/O.

The whole list is fetched, then a watch is opened from its version. After any failure the whole list is
fetched again. A list that is not answered at once may have been requested while discovery was down, and is
then never answered; or discovery may be slow. So the next list is requested soon, and one call that timed out
is kept open for longer beside it (`late_list`). The client keeps exactly the connections of `calls` open,
passes on what arrives on them, and calls `wake` once the clock reads `wake_at`.

Requirement: a change is applied at most 6 s after discovery had it and could be reached, whichever call
failed, and at once where discovery has just returned from an outage. A change that a silent watch misses is
found by the next whole list, which is complete at most

    WATCH_SILENCE + one list that never ends (LIST_TIMEOUT) + RETRY_DELAY_MAX + the list that succeeds

after it, well under 6 s.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf

from heathford.discovery.json_stream import JsonStream
from heathford.fleet.list_watch import ListError, EndpointEntry
from heathford.fleet.endpoint_list import MAX_LIST_BYTES, EndpointList
from heathford.wire.http1 import MalformedMessageError, Response

PATH = "/registry/instances"
# s to the first piece of a whole list, and from one piece to the next. The agent on this machine answers at
# once, or never if it was called while discovery was down.
READ_TIMEOUT = 0.12
RETRY_DELAY = 0.02  # s before a failed call is repeated
# s: RETRY_DELAY doubles up to this. A change that the agent has at the end of an outage counts as reported at
# that moment; together with READ_TIMEOUT this stays under the shortest drain grace known, 0.25 s.
RETRY_DELAY_MAX = 0.08
LIST_TIMEOUT = 1.5  # s for a whole list, even if each of its pieces arrives in time
LATE_LIST_TIMEOUT_MAX = 3.0  # s: LIST_TIMEOUT doubles up to this with each late list that didn't arrive
LIST_TIMEOUT_MAX = 6.0  # s: LIST_TIMEOUT doubles up to this with each list that took longer, for a slow agent
WATCH_SILENCE = 3.0  # s without a complete line after which a watch is broken: an empty line is due every 2 s
OBJECT_TIMEOUT = 1.0  # s from the first byte of a line or an object to its end


class CallKind(Enum):
    """The two calls of discovery."""

    LIST = "list"
    WATCH = "watch"


@dataclass(frozen=True, eq=False)
class Call:
    """One call to discovery, on a connection of its own."""

    kind: CallKind
    path: str


@dataclass(frozen=True)
class ListChange:
    """The whole endpoint list, or the entries that have changed."""

    complete: bool
    entries: list[EndpointEntry]


@dataclass
class Progress:
    """What has arrived of the response to a call."""

    started_at: float  # s on the loop's clock
    response: Response
    body: bytearray
    objects: JsonStream

    @classmethod
    def start(cls, now: float) -> "Progress":
        return cls(now, Response(MAX_LIST_BYTES), bytearray(), JsonStream(MAX_LIST_BYTES))


@dataclass
class LateList:
    """A call for the whole list that timed out and is kept open beside the call that replaced it."""

    call: Call
    progress: Progress
    expires_at: float  # s on the loop's clock
    response_started: bool


class DiscoveryFollower:
    """Keeps an endpoint list current by calls to discovery.

    changed: called with each change of the list, in order. All times are s on the loop's clock.
    """

    def __init__(self, endpoints: EndpointList, changed: Callable[[ListChange], None]) -> None:
        self.endpoints = endpoints
        self.changed = changed
        self.call: Call | None = None
        self.late_list: LateList | None = None
        self.timer_at = inf  # when the open call times out, or the next one is made
        self.expired_late_lists = 0  # in a row
        self.failures = 0  # in a row
        self.slow_lists = 0  # in a row: lists that exceeded list_timeout while they were still arriving
        self.has_list = False  # a whole list was applied since the start or the last change of address
        self.reason = ""  # why the last call failed
        self.call_started_at = 0.0
        self.object_started_at: float | None = None  # of the incomplete object of a watch
        self.progress = Progress.start(0.0)  # of the open call

    @property
    def calls(self) -> list[Call]:
        """The calls whose connections are to be open, the latest last."""
        return [call for call in (self.late_list.call if self.late_list else None, self.call) if call]

    @property
    def wake_at(self) -> float:
        """When `wake` is to be called."""
        return min(self.timer_at, self.late_list.expires_at) if self.late_list else self.timer_at

    def start(self, now: float) -> None:
        """Fetch the whole list at once; call it also after the address of discovery has changed."""
        self.failures = self.slow_lists = self.expired_late_lists = 0
        self.has_list = False
        self.late_list = None
        self.start_call(CallKind.LIST, now)

    def stop(self) -> None:
        """Close all calls and make no others."""
        self.call, self.late_list, self.timer_at = None, None, inf

    def wake(self, now: float) -> None:
        """Handle the timers that have expired: a call times out, or the next one is due."""
        if self.late_list and now >= self.late_list.expires_at:
            self.late_list = None
            self.expired_late_lists += 1
        if now < self.timer_at:
            return
        if self.call is None:
            self.start_call(CallKind.LIST, now)
            return
        if self.call.kind is CallKind.LIST and now >= self.call_started_at + self.list_timeout:
            self.slow_lists += 1
        elif self.call.kind is CallKind.LIST:
            self.keep_as_late_list(self.call)
        self.failed(f"{self.call.kind.value}: no response in time", now)

    def keep_as_late_list(self, call: Call) -> None:
        """Keep a call for the whole list open although it has timed out.

        Without this a discovery service that takes longer than READ_TIMEOUT would never deliver a list. A
        late list is replaced only if its response has not started and that of this call has.
        """
        response_started = bool(self.progress.body) or self.progress.response.status != 0
        if self.late_list and (self.late_list.response_started or not response_started):
            return
        timeout = min(LIST_TIMEOUT * 2 ** min(self.expired_late_lists, 8), LATE_LIST_TIMEOUT_MAX)
        self.late_list = LateList(call, self.progress, self.progress.started_at + timeout, response_started)

    def ended(self, call: Call, reason: str, now: float) -> None:
        """Handle a connection that was refused, broke or was closed by discovery."""
        if self.late_list and call is self.late_list.call:
            self.late_list = None
        elif call is self.call:
            self.failed(f"{call.kind.value}: {reason}", now)

    def received(self, call: Call, data: bytes, wall: float, now: float) -> None:
        """Handle bytes from the connection of a call. wall: s since 1970, to convert engine starts."""
        if self.late_list and call is self.late_list.call:
            self.late_list_received(self.late_list, data, wall, now)
            return
        if call is not self.call:
            return
        try:
            if call.kind is CallKind.LIST:
                self.list_received(data, wall, now)
            else:
                self.watch_received(data, wall, now)
        except MalformedMessageError as error:
            self.failed(f"{call.kind.value}: {error}", now)

    # The two kinds of calls.

    @property
    def list_timeout(self) -> float:
        """The time-out of a call for the whole list, s."""
        return float(min(LIST_TIMEOUT * 2 ** min(self.slow_lists, 8), LIST_TIMEOUT_MAX))

    def start_call(self, kind: CallKind, now: float) -> None:
        path = PATH if kind is CallKind.LIST else f"{PATH}?follow=1&since={self.endpoints.version}"
        self.call = Call(kind, path)
        self.call_started_at = now
        self.object_started_at = None
        self.progress = Progress.start(now)
        self.timer_at = now + (READ_TIMEOUT if kind is CallKind.LIST else WATCH_SILENCE)

    def failed(self, reason: str, now: float) -> None:
        """Close the open call, and schedule a call for the whole list."""
        self.reason = reason
        self.call = None
        self.timer_at = now + min(RETRY_DELAY * 2 ** min(self.failures, 8), RETRY_DELAY_MAX)
        self.failures += 1

    def list_received(self, data: bytes, wall: float, now: float) -> None:
        self.timer_at = min(now + READ_TIMEOUT, self.call_started_at + self.list_timeout)
        self.feed_list(self.progress, data, wall, now)

    def late_list_received(self, late_list: LateList, data: bytes, wall: float, now: float) -> None:
        late_list.response_started = True
        try:
            self.feed_list(late_list.progress, data, wall, now)
        except MalformedMessageError as error:
            self.late_list, self.reason = None, f"list: {error}"

    def feed_list(self, progress: Progress, data: bytes, wall: float, now: float) -> None:
        """Apply a list once it is complete, and open a watch. Raises MalformedMessageError."""
        for part in progress.response.feed(data):
            progress.body += part
            if len(progress.body) > MAX_LIST_BYTES:
                raise ListError("the list is longer than the limit")
        if not progress.response.done:
            return
        self.check_status(progress)
        self.notify(self.endpoints.apply(bytes(progress.body), now, wall, is_response=True))
        self.failures = self.slow_lists = self.expired_late_lists = 0
        self.has_list = True
        self.late_list = None
        self.start_call(CallKind.WATCH, now)

    def watch_received(self, data: bytes, wall: float, now: float) -> None:
        progress = self.progress
        for part in progress.response.feed(data):
            self.check_status(progress)
            for document in progress.objects.feed(part):
                self.object_started_at = None
                self.timer_at = now + WATCH_SILENCE
                if document:
                    self.apply_change(document, wall, now)
        if progress.response.done:
            raise ListError("the watch was closed by discovery")
        if progress.objects.unfinished:
            self.object_started_at = now if self.object_started_at is None else self.object_started_at
            self.timer_at = min(self.timer_at, self.object_started_at + OBJECT_TIMEOUT)

    def check_status(self, progress: Progress) -> None:
        if progress.response.status != 200:
            raise ListError(f"status {progress.response.status}")

    def apply_change(self, document: bytes, wall: float, now: float) -> None:
        change = self.endpoints.apply(document, now, wall)
        if change is None:
            # Discovery may have gone back to an earlier state, and all further changes would be ignored as
            # replays. The cost is one whole list for a change that was only sent twice.
            raise ListError("the change has an older version than the endpoint list")
        self.notify(change)

    def notify(self, change: tuple[bool, list[EndpointEntry]] | None) -> None:
        if change and (any(change) or self.endpoints.skipped):  # also to report skipped entries
            self.changed(ListChange(*change))
