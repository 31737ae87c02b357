"""What an engine's answer means in the platform's protocol; no I/O.

One Verdict for each row of its table of outcomes, and an answer's events as the bytes they came in.
"""

from typing import Any

from heathford.engines.answers import cached_tokens
from heathford.interface import Outcome
from heathford.wire.http1 import MalformedMessageError, Response, json_object

LONGEST_LINE = 16_384  # bytes of a head, a size line or one event: engines send a few hundred
LONGEST_BODY = 262_144  # bytes of a body or a chunk: what the protocol allows
REJECTED = "x-rejected"  # the header by which an engine says that it has begun nothing
TURNED_AWAY = {503: 0, 504: 0, 410: 1}  # statuses that may carry it, and the detail; 1: no state to fetch
DONE = b"data: [DONE]"
ENDS = (b"\n\n", b"\r\n\r\n")  # of an event


class Events:
    """Whole events out of parts of a stream. The first is checked before anything is passed on: until then
    a stream that is spoilt is a dispatch that failed, and another may be sent."""

    def __init__(self) -> None:
        self.rest = b""
        self.begun = self.finished = False
        self.found = 0  # prompt tokens found kept

    def feed(self, part: bytes) -> bytes:
        """The bytes of all events that are whole by now. Raises MalformedMessageError."""
        self.rest += part
        at = max(self.rest.rfind(end) + len(end) if end in self.rest else 0 for end in ENDS)
        if len(self.rest) - at > LONGEST_LINE:
            raise MalformedMessageError("an event too long")
        if not at:
            return b""
        whole, self.rest = self.rest[:at], self.rest[at:]
        if self.finished:
            raise MalformedMessageError("an event after the last")
        if not self.begun:
            self.check(whole)
            self.begun = True
        if b'"usage"' in whole:
            self.found = found_in(whole)
        self.finished = whole.rstrip().endswith(DONE)
        return whole

    def check(self, whole: bytes) -> None:
        first = whole.lstrip(b"\r\n").split(b"\n", 1)[0]
        if not first.startswith(b"data:"):
            raise MalformedMessageError("a stream that begins with no event")
        if not isinstance(json_object(first[5:]).get("choices"), list):
            raise MalformedMessageError("an event without choices")


def found_in(events: bytes) -> int:
    for line in events.split(b"\n"):
        if line.startswith(b"data: {") and b'"usage"' in line:
            try:
                return cached_tokens(json_object(line[5:]).get("usage"))
            except MalformedMessageError:
                return 0  # figures only: the events are passed on as they are
    return 0


class Answer:
    """One answer of an engine, from its first byte. Raises MalformedMessageError from `feed`."""

    def __init__(self, reading: bool) -> None:
        self.reading = reading
        self.response = Response(LONGEST_LINE, LONGEST_BODY, strict=False)
        self.events = Events()
        self.body = bytearray()

    def feed(self, data: bytes) -> bytes:
        """What there is to pass on."""
        response, out = self.response, b""
        for part in response.feed(data):
            if not self.reading and response.status == 200:
                out += self.events.feed(part)
            else:
                self.body += part
                if len(self.body) > LONGEST_BODY:
                    raise MalformedMessageError("an answer too long")
        return out

    @property
    def keep(self) -> bool:
        return self.response.keep_alive

    def outcome(self) -> tuple[Outcome, int]:
        """Once it is whole: the verdict and its detail. Raises MalformedMessageError."""
        status = self.response.status
        if status == 200 and not self.reading:
            if not self.events.finished or self.events.rest.strip():
                raise MalformedMessageError("a stream that ends without saying so")
            return Outcome.FINISHED, self.events.found
        if status == 202 and self.reading:
            return Outcome.PREFILLED, tokens_found(json_object(bytes(self.body)).get("cached_tokens"))
        if status in TURNED_AWAY and self.response.headers.get(REJECTED) == "1":
            return Outcome.FULL, TURNED_AWAY[status]
        return Outcome.ERROR, 0


def tokens_found(count: Any) -> int:
    return count if isinstance(count, int) and count > 0 else 0
