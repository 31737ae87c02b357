"""When discovery is called, and how long each call may take: one state machine with one clock, no I/O.

A whole list is asked for, then a watch is opened from its version. Whatever fails, the whole list is asked
for again. A list that does not come at once may have been asked for while discovery was down, and is then
never answered, or discovery may be slow: so the next is asked for soon, and one that was given up is listened
to for longer beside it, `patient`. The carrier keeps exactly the connections of `calls` open, feeds what
comes on them, and calls `wake` once the clock reads `deadline`.

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
from heathford.fleet.list_watch import ListError, EndpointEntry
from heathford.fleet.endpoint_list import LONGEST, EndpointList
from heathford.wire.http1 import MalformedMessageError, Response

PATH = "/registry/instances"
ANSWER_WITHIN = 0.12  # s between two pieces of a whole list, and to the first: the agent on this machine
# replies at once, or never if it was asked while discovery was down
RETRY_FIRST = 0.02  # s before a failed call is made again
RETRY_MOST = 0.08  # s, doubled up to here: what the agent gets at its return counts as told at once, and with
# ANSWER_WITHIN this stays under the shortest drain grace known, 0.25 s
LIST_WITHIN = 1.5  # s for a whole list, however it comes: a list that trickles is given up
PATIENT_WITHIN_MOST = 3.0  # s, doubled up to here from LIST_WITHIN for each list that was waited for in vain
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
    entries: list[EndpointEntry]


@dataclass
class Progress:
    """What has come in answer to a call. began: s on the loop's clock."""

    began: float
    response: Response
    body: bytearray
    objects: JsonStream

    @classmethod
    def none_yet(cls, now: float) -> "Progress":
        return cls(now, Response(LONGEST), bytearray(), JsonStream(LONGEST))


@dataclass
class PatientCall:
    """A whole list that has been given up and is still listened to, beside the call that took its place."""

    call: Call
    progress: Progress
    until: float
    begun: bool


class DiscoveryFollower:
    """changed: called with each change of the list, in order."""

    def __init__(self, endpoints: EndpointList, changed: Callable[[ListChange], None]) -> None:
        self.endpoints = endpoints
        self.changed = changed
        self.call: Call | None = None
        self.patient: PatientCall | None = None
        self.due = inf  # when the open call is given up, or the next one made
        self.patient_lists = 0  # waited for in vain, in a row
        self.failures = 0  # in a row
        self.slow_lists = 0  # whole lists given up in a row although they were still coming
        self.listed = False  # a whole list has been taken since the start or the last move
        self.reason = ""  # why the last call failed
        self.began = 0.0  # when the open call was begun
        self.object_began: float | None = None
        self.progress = Progress.none_yet(0.0)

    @property
    def calls(self) -> list[Call]:
        """Whose connections are to be open: the latest last."""
        return [call for call in (self.patient.call if self.patient else None, self.call) if call]

    @property
    def deadline(self) -> float:
        """When `wake` is due."""
        return min(self.due, self.patient.until) if self.patient else self.due

    def start(self, now: float) -> None:
        """Ask for the whole list at once; also after the address of discovery has changed."""
        self.failures = self.slow_lists = self.patient_lists = 0
        self.listed = False
        self.patient = None
        self.begin(CallKind.LIST, now)

    def stop(self) -> None:
        """Close the open call and open no other."""
        self.call, self.patient, self.due = None, None, inf

    def wake(self, now: float) -> None:
        """The deadline has passed: the open call is given up, or the next one is due."""
        if self.patient and now >= self.patient.until:
            self.patient = None
            self.patient_lists += 1
        if now < self.due:
            return
        if self.call is None:
            self.begin(CallKind.LIST, now)
            return
        if self.call.kind is CallKind.LIST and now >= self.began + self.list_within:
            self.slow_lists += 1
        elif self.call.kind is CallKind.LIST:
            self.listen_on(self.call)
        self.failed(f"{self.call.kind.value}: silent", now)

    def listen_on(self, call: Call) -> None:
        """Guards against discovery that takes longer than a call may: each list was given up as it was being
        answered. Where one is listened to already, only a list that has begun takes its place."""
        begun = bool(self.progress.body) or self.progress.response.status != 0
        if self.patient and (self.patient.begun or not begun):
            return
        within = min(LIST_WITHIN * 2 ** min(self.patient_lists, 8), PATIENT_WITHIN_MOST)
        self.patient = PatientCall(call, self.progress, self.progress.began + within, begun)

    def ended(self, call: Call, reason: str, now: float) -> None:
        """The connection of a call was refused, has broken or was closed by discovery."""
        if self.patient and call is self.patient.call:
            self.patient = None
        elif call is self.call:
            self.failed(f"{call.kind.value}: {reason}", now)

    def received(self, call: Call, data: bytes, wall: float, now: float) -> None:
        """Bytes came on the connection of a call. wall: s since 1970, by which starts of engines are told."""
        if self.patient and call is self.patient.call:
            self.patient_received(self.patient, data, wall, now)
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
        self.progress = Progress.none_yet(now)
        self.due = now + (ANSWER_WITHIN if kind is CallKind.LIST else WATCH_SILENCE)

    def failed(self, reason: str, now: float) -> None:
        """Whatever failed: the whole list is asked for again, soon."""
        self.reason = reason
        self.call = None
        self.due = now + min(RETRY_FIRST * 2 ** min(self.failures, 8), RETRY_MOST)
        self.failures += 1

    def list_received(self, data: bytes, wall: float, now: float) -> None:
        self.due = min(now + ANSWER_WITHIN, self.began + self.list_within)
        self.feed_list(self.progress, data, wall, now)

    def patient_received(self, patient: PatientCall, data: bytes, wall: float, now: float) -> None:
        patient.begun = True
        try:
            self.feed_list(patient.progress, data, wall, now)
        except MalformedMessageError as error:
            self.patient, self.reason = None, f"list: {error}"

    def feed_list(self, progress: Progress, data: bytes, wall: float, now: float) -> None:
        """Take a list once it is whole, and open a watch from it. Raises MalformedMessageError."""
        for part in progress.response.feed(data):
            progress.body += part
            if len(progress.body) > LONGEST:
                raise ListError("a list too long")
        if not progress.response.done:
            return
        self.check_status(progress)
        self.tell(self.endpoints.told(bytes(progress.body), now, wall, listed=True))
        self.failures = self.slow_lists = self.patient_lists = 0
        self.listed = True
        self.patient = None
        self.begin(CallKind.WATCH, now)

    def watch_received(self, data: bytes, wall: float, now: float) -> None:
        progress = self.progress
        for part in progress.response.feed(data):
            self.check_status(progress)
            for found in progress.objects.feed(part):
                self.object_began = None
                self.due = now + WATCH_SILENCE
                if found:
                    self.tell_change(found, wall, now)
        if progress.response.done:
            raise ListError("the watch has ended")
        if progress.objects.unfinished:
            self.object_began = now if self.object_began is None else self.object_began
            self.due = min(self.due, self.object_began + OBJECT_WITHIN)

    def check_status(self, progress: Progress) -> None:
        if progress.response.status != 200:
            raise ListError(f"status {progress.response.status}")

    def tell_change(self, found: bytes, wall: float, now: float) -> None:
        change = self.endpoints.told(found, now, wall)
        if change is None:
            # Guards against discovery that has gone back to an older state, whose further changes would all
            # be dropped as replayed. Costs one whole list for a line that came twice.
            raise ListError("an older version than the one held")
        self.tell(change)

    def tell(self, change: tuple[bool, list[EndpointEntry]] | None) -> None:
        if change and (any(change) or self.endpoints.passed):  # what can't be read is told as well
            self.changed(ListChange(*change))
