"""Parse an engine's answers in the platform's protocol; no I/O.

Each result that the protocol defines becomes one Outcome. The events of a stream are passed on as the
bytes they came in.
"""

import json
from typing import Any

from heathford.engines.answers import cached_tokens
from heathford.interface import Outcome
from heathford.wire.event_stream import EventStream, ServerSentEvent
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


class CompletionEvents(EventStream):
    """The events of an engine's answer, each of them a JSON object but the last one.

    The first event has to be a completion chunk. Until it came nothing is passed on: a malformed stream is a
    failed attempt until then, which may be retried.
    """

    def __init__(self) -> None:
        super().__init__(LONGEST_BODY)
        self.started = False
        self.cached_tokens = 0  # prompt tokens that the engine found in its cache

    def pass_on(self, part: bytes) -> bytes:
        """Return the bytes of all events that are now complete. Raises MalformedMessageError."""
        passed_on = []
        for event in self.feed(part):
            if event.data is not None:
                self.check_event(event)
            if self.started:
                passed_on.append(event.raw)
        return b"".join(passed_on)

    def check_event(self, event: ServerSentEvent) -> None:
        """Raise MalformedMessageError for data that no event of a completion has."""
        assert event.data is not None
        if event.ends_stream:
            if not self.started:
                raise MalformedMessageError("the stream does not begin with an event")
            return
        completion = parse_completion_event(event.data)
        if not self.started:
            if not isinstance(completion.get("choices"), list):
                raise MalformedMessageError("an event has no choices")
            self.started = True
        if "usage" in completion:
            self.cached_tokens = cached_tokens(completion["usage"])


def parse_completion_event(data: bytes) -> dict[str, Any]:
    """Return an event's JSON object. Raises MalformedMessageError.

    Some serving engines write NaN, and halves of a surrogate pair, both of which strict parsers refuse.
    """
    try:
        return json_object(data)
    except MalformedMessageError:
        pass
    try:
        event = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise MalformedMessageError(f"an event is no JSON: {error}") from None
    if not isinstance(event, dict):
        raise MalformedMessageError("an event is no JSON object")
    return event


class Answer:
    """One answer of an engine, fed as its bytes arrive. is_prefill: it answers a prefill attempt."""

    def __init__(self, is_prefill: bool) -> None:
        self.is_prefill = is_prefill
        self.response = Response(LONGEST_LINE, LONGEST_BODY, strict=False)
        self.events = CompletionEvents()
        self.body = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Return the bytes to pass on to the client. Raises MalformedMessageError."""
        response, passed_on = self.response, b""
        for part in response.feed(data):
            if not self.is_prefill and response.status == 200:
                passed_on += self.events.pass_on(part)
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
        return self.failure()

    def failure(self) -> tuple[Outcome, int]:
        """Return the outcome and its detail that the head of a failed answer tells."""
        status = self.response.status
        if status in REJECTION_DETAILS and self.response.headers.get(REJECTED_HEADER) == "1":
            return Outcome.FULL, REJECTION_DETAILS[status]
        return Outcome.ERROR, 0

    @property
    def has_failed(self) -> bool:
        """Whether the head has come, and tells that the attempt has failed."""
        expected_status = 202 if self.is_prefill else 200
        return self.response.head_complete and self.response.status != expected_status


def positive_count(count: Any) -> int:
    """Return the count, or 0 for anything but a positive integer."""
    return count if isinstance(count, int) and count > 0 else 0
