"""Parse an engine's answers in the platform's protocol; no I/O.

Each result that the protocol defines becomes one Outcome. The events of a stream are passed on as the
bytes they came in.
"""

from typing import Any

from heathford.engines.answers import cached_tokens
from heathford.interface import Outcome
from heathford.wire.http1 import MalformedMessageError, Response, json_object

# Bytes of a head, a chunk-size line or the answer to a release: engines send a few hundred.
LONGEST_LINE = 16_384
LONGEST_BODY = 262_144  # bytes of a body, a chunk or an event: the protocol's limit
REJECTED_HEADER = "x-rejected"  # set by an engine that has not started the request
REJECTION_DETAILS = {
    503: 0,
    504: 0,
    410: 1,
}  # status with that header -> detail; 1: could not fetch the prefill state
DATA_FIELD = b"data:"
DONE_EVENT = b"data: [DONE]"
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
LONGEST_EVENT_END = max(map(len, EVENT_ENDS))


class EventStream:
    """Splits a stream into complete server-sent events.

    The first event is validated before anything is passed on: until then a malformed stream is a failed
    attempt, which may be retried.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.started = self.finished = False
        self.cached_tokens = 0  # prompt tokens that the engine found in its cache

    def feed(self, part: bytes) -> bytes:
        """Return the bytes of all events that are now complete. Raises MalformedMessageError."""
        end_of_events = self.find_end(part)
        if len(self.buffer) - end_of_events > LONGEST_LINE:
            self.check_incomplete_event(end_of_events)
        if not end_of_events:
            return b""
        complete = bytes(self.buffer[:end_of_events])
        del self.buffer[:end_of_events]
        if self.finished:
            raise MalformedMessageError("an event follows the last one")
        if not self.started:
            self.check_first_event(complete)
            self.started = True
        if b'"usage"' in complete:
            self.cached_tokens = cached_tokens_in(complete)
        self.finished = complete.rstrip().endswith(DONE_EVENT)
        return complete

    def find_end(self, part: bytes) -> int:
        """Append the bytes to the buffer, and return how many of it complete events have, or 0.

        Only the new bytes are searched: an event may come in chunks of one byte.
        """
        search_from = max(0, len(self.buffer) - LONGEST_EVENT_END + 1)
        self.buffer += part
        end_of_events = 0
        for event_end in EVENT_ENDS:
            place = self.buffer.rfind(event_end, search_from)
            if place >= 0:
                end_of_events = max(end_of_events, place + len(event_end))
        return end_of_events

    def check_incomplete_event(self, start: int) -> None:
        """Raise MalformedMessageError if what was received of an event is too long, or can't be one."""
        if len(self.buffer) - start > LONGEST_BODY or not self.buffer.startswith(DATA_FIELD, start):
            raise MalformedMessageError("an event is too long")

    def check_first_event(self, complete: bytes) -> None:
        """Raise MalformedMessageError unless the first event is a completion chunk."""
        first = complete.lstrip(b"\r\n").split(b"\n", 1)[0]
        if not first.startswith(DATA_FIELD):
            raise MalformedMessageError("the stream does not begin with an event")
        if not isinstance(json_object(first.removeprefix(DATA_FIELD)).get("choices"), list):
            raise MalformedMessageError("an event has no choices")


def cached_tokens_in(events: bytes) -> int:
    """Return the cached tokens that the events' usage reports, 0 if there is none or it is malformed."""
    for line in events.split(b"\n"):
        if line.startswith(b"data: {") and b'"usage"' in line:
            try:
                return cached_tokens(json_object(line.removeprefix(DATA_FIELD)).get("usage"))
            except MalformedMessageError:
                return 0  # statistics only: the events are passed on unchanged
    return 0


class Answer:
    """One answer of an engine, fed as its bytes arrive. is_prefill: it answers a prefill attempt."""

    def __init__(self, is_prefill: bool) -> None:
        self.is_prefill = is_prefill
        self.response = Response(LONGEST_LINE, LONGEST_BODY, strict=False)
        self.events = EventStream()
        self.body = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Return the bytes to pass on to the client. Raises MalformedMessageError."""
        response, passed_on = self.response, b""
        for part in response.feed(data):
            if not self.is_prefill and response.status == 200:
                passed_on += self.events.feed(part)
            else:
                self.body += part
                if len(self.body) > LONGEST_BODY:
                    raise MalformedMessageError("the body is too long")
        return passed_on

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may carry further requests."""
        return self.response.keep_alive

    def outcome(self) -> tuple[Outcome, int]:
        """Return the outcome and its detail; call it once the answer is complete.

        Raises MalformedMessageError.
        """
        status = self.response.status
        if status == 200 and not self.is_prefill:
            if not self.events.finished or self.events.buffer.strip():
                raise MalformedMessageError("the stream ends without its last event")
            return Outcome.FINISHED, self.events.cached_tokens
        if status == 202 and self.is_prefill:
            return Outcome.PREFILLED, positive_count(json_object(bytes(self.body)).get("cached_tokens"))
        if status in REJECTION_DETAILS and self.response.headers.get(REJECTED_HEADER) == "1":
            return Outcome.FULL, REJECTION_DETAILS[status]
        return Outcome.ERROR, 0


def positive_count(count: Any) -> int:
    """Return the count, or 0 for anything but a positive integer."""
    return count if isinstance(count, int) and count > 0 else 0
