"""When discovery is called, and how long each call may take: one state machine with one clock, no I/O.

A whole list is asked for, then a watch is opened from its version. Whatever fails, the whole list is asked
for again. The carrier keeps exactly the connection of `call` open, feeds what comes on it, and calls `wake`
once the clock reads `deadline`.

What has to hold: a change that discovery has is acted on at most 6 s after discovery had it and could be
reached, whichever call failed, and at once where discovery was silent and has just returned. A change that a
silent watch misses is found by the next whole list, which is complete at most

    WATCH_SILENCE + one list that never ends (LIST_WITHIN) + RETRY_MOST + the list that succeeds

after it, well under 6 s.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf

from heathford.discovery.json_stream import JsonStream
from heathford.fleet.follow import ListError, Row
from heathford.fleet.instances import LONGEST, Instances
from heathford.wire.http1 import NonsenseError, Response

PATH = "/registry/instances"
ANSWER_WITHIN = 0.12  # s between two pieces of a whole list, and to the first: the agent on this machine
# replies at once, or never if it was asked while discovery was down
RETRY_FIRST = 0.02  # s before a failed call is made again
RETRY_MOST = 0.08  # s, doubled up to here: what the agent gets at its return counts as told at once, and with
# ANSWER_WITHIN this stays under the shortest drain grace known, 0.25 s
LIST_WITHIN = 1.5  # s for a whole list, however it comes: a list that trickles is given up
LIST_WITHIN_MOST = 6.0  # s, doubled up to here for lists given up in a row: a slow agent is heard at last
WATCH_SILENCE = 3.0  # s without a whole line after which a watch is broken: an empty line comes every 2 s
OBJECT_WITHIN = 1.0  # s from the first byte of a line or an object to its end


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
    """What the endpoint list says now: all of it, or only what changed."""

    complete: bool
    rows: list[Row]


@dataclass
class Progress:
    """What has come in answer to the call that is open."""

    response: Response
    body: bytearray
    objects: JsonStream


class DiscoveryFollower:
    """changed: called with each change of the list, in order."""

    def __init__(self, endpoints: Instances, changed: Callable[[ListChange], None]) -> None:
        self.endpoints = endpoints
        self.changed = changed
        self.call: Call | None = None
        self.deadline = inf
        self.failures = 0  # in a row
        self.slow_lists = 0  # whole lists given up in a row although they were still coming
        self.listed = False  # a whole list has been taken since the start or the last move
        self.reason = ""  # why the last call failed
        self.began = 0.0  # when the open call was begun
        self.object_began: float | None = None
        self.progress = Progress(Response(LONGEST), bytearray(), JsonStream(LONGEST))

    def start(self, now: float) -> None:
        """Ask for the whole list at once; also after the address of discovery has changed."""
        self.failures = self.slow_lists = 0
        self.listed = False
        self.begin(CallKind.LIST, now)

    def stop(self) -> None:
        """Close the open call and open no other."""
        self.call, self.deadline = None, inf

    def wake(self, now: float) -> None:
        """The deadline has passed: the open call is given up, or the next one is due."""
        if now < self.deadline:
            return
        if self.call is None:
            self.begin(CallKind.LIST, now)
            return
        if self.call.kind is CallKind.LIST and now >= self.began + self.list_within:
            self.slow_lists += 1
        self.failed(f"{self.call.kind.value}: silent", now)

    def ended(self, call: Call, reason: str, now: float) -> None:
        """The connection of a call was refused, has broken or was closed by discovery."""
        if call is self.call:
            self.failed(f"{call.kind.value}: {reason}", now)

    def received(self, call: Call, data: bytes, wall: float, now: float) -> None:
        """Bytes came on the connection of a call. wall: s since 1970, by which starts of engines are told."""
        if call is not self.call:
            return
        try:
            if call.kind is CallKind.LIST:
                self.list_received(data, wall, now)
            else:
                self.watch_received(data, wall, now)
        except NonsenseError as error:
            self.failed(f"{call.kind.value}: {error}", now)

    # The two calls.

    @property
    def list_within(self) -> float:
        """Seconds for the whole list that is asked for."""
        return float(min(LIST_WITHIN * 2 ** min(self.slow_lists, 8), LIST_WITHIN_MOST))

    def begin(self, kind: CallKind, now: float) -> None:
        path = PATH if kind is CallKind.LIST else f"{PATH}?follow=1&since={self.endpoints.version}"
        self.call = Call(kind, path)
        self.began = now
        self.object_began = None
        self.progress = Progress(Response(LONGEST), bytearray(), JsonStream(LONGEST))
        self.deadline = now + (ANSWER_WITHIN if kind is CallKind.LIST else WATCH_SILENCE)

    def failed(self, reason: str, now: float) -> None:
        """Whatever failed: the whole list is asked for again, soon."""
        self.reason = reason
        self.call = None
        self.deadline = now + min(RETRY_FIRST * 2 ** min(self.failures, 8), RETRY_MOST)
        self.failures += 1

    def list_received(self, data: bytes, wall: float, now: float) -> None:
        progress = self.progress
        for part in progress.response.feed(data):
            progress.body += part
            if len(progress.body) > LONGEST:
                raise ListError("a list too long")
        self.deadline = min(now + ANSWER_WITHIN, self.began + self.list_within)
        if not progress.response.done:
            return
        self.check_status()
        self.tell(self.endpoints.told(bytes(progress.body), now, wall, listed=True))
        self.failures = self.slow_lists = 0
        self.listed = True
        self.begin(CallKind.WATCH, now)

    def watch_received(self, data: bytes, wall: float, now: float) -> None:
        progress = self.progress
        for part in progress.response.feed(data):
            self.check_status()
            for found in progress.objects.feed(part):
                self.object_began = None
                self.deadline = now + WATCH_SILENCE
                if found:
                    self.tell_change(found, wall, now)
        if progress.response.done:
            raise ListError("the watch has ended")
        if progress.objects.unfinished:
            self.object_began = now if self.object_began is None else self.object_began
            self.deadline = min(self.deadline, self.object_began + OBJECT_WITHIN)

    def check_status(self) -> None:
        if self.progress.response.status != 200:
            raise ListError(f"status {self.progress.response.status}")

    def tell_change(self, found: bytes, wall: float, now: float) -> None:
        change = self.endpoints.told(found, now, wall)
        if change is None:
            # Guards against discovery that has gone back to an older state, whose further changes would all
            # be dropped as replayed. Costs one whole list for a line that came twice.
            raise ListError("an older version than the one held")
        self.tell(change)

    def tell(self, change: tuple[bool, list[Row]] | None) -> None:
        if change and (any(change) or self.endpoints.passed):  # what can't be read is told as well
            self.changed(ListChange(*change))
