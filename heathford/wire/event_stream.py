"""Incremental parser of server-sent events; no I/O.

Follows the WHATWG HTML standard (section 9.2), but lines end with LF or CRLF only, and a line that begins no
field of the standard is an error: engines send none, and behind a chunk of the wrong size the rest of a
stream looks like that.
"""

import re
from dataclasses import dataclass

from heathford.wire.http1 import MalformedMessageError
from heathford.wire.json_prefix import begins_json_object

DATA_FIELD = b"data:"
FIELDS = (DATA_FIELD, b"event:", b"id:", b"retry:", b":")  # the last one begins a comment
LONGEST_FIELD = max(map(len, FIELDS))
DONE = b"[DONE]"  # the data of a completion stream's last event
SINGLE_EVENT_START, EVENT_END = b"data: ", b"\n\n"
SINGLE_EVENT = re.compile(rb"data: [^\n]*[^\s]\n\n")  # what a part usually is: one event of one line
MAX_BYTES_WITHOUT_DATA = 16_384  # that an incomplete event may have before its data


@dataclass(slots=True)
class ServerSentEvent:
    """What came up to a blank line.

    raw: as received; data: None if it has none, as with a comment; ends_stream: whether it is the last event
    of a completion stream.
    """

    raw: bytes
    data: bytes | None
    ends_stream: bool


class EventStream:
    """Splits a completion stream into events.

    buffer: what was received of the incomplete event. event_count: complete events with data so far.
    finished: the last event was received.
    """

    def __init__(self, max_event_bytes: int) -> None:
        self.max_event_bytes = max_event_bytes
        self.buffer = bytearray()
        self.line_start = 0  # of the incomplete line, in the buffer
        self.data_lines: list[bytes] = []  # of the incomplete event
        self.event_count = 0
        self.finished = False
        self.data_line_bytes = 0  # of the incomplete event's complete lines with data

    def feed(self, part: bytes) -> list[ServerSentEvent]:
        """Return the events that are now complete. Raises MalformedMessageError.

        Only the new bytes are searched: an event may come in chunks of one byte.
        """
        if not self.buffer and not self.finished and SINGLE_EVENT.fullmatch(part):
            return [self.complete_event(part, part[len(SINGLE_EVENT_START) : -len(EVENT_END)])]
        events = []
        search_from, event_start = len(self.buffer), 0
        self.buffer += part
        while (line_end := self.buffer.find(b"\n", search_from)) >= 0:
            line = bytes(self.buffer[self.line_start : line_end]).removesuffix(b"\r")
            self.line_start = search_from = line_end + 1
            if line:
                self.add_line(line)
            else:
                events.append(self.end_event(bytes(self.buffer[event_start : self.line_start])))
                event_start = self.line_start
        del self.buffer[:event_start]
        self.line_start -= event_start
        self.check_incomplete()
        return events

    def add_line(self, line: bytes) -> None:
        """Add a complete line to the incomplete event. Raises MalformedMessageError."""
        if self.finished:
            raise MalformedMessageError("an event follows the last one")
        if not line.startswith(FIELDS):
            raise MalformedMessageError("a line that is no field of an event")
        if line.startswith(DATA_FIELD):
            value = line.removeprefix(DATA_FIELD)
            if value:
                self.data_line_bytes += len(line)
            self.data_lines.append(value.removeprefix(b" "))

    def end_event(self, raw: bytes) -> ServerSentEvent:
        """Return the event that a blank line has completed; one with empty data is none by the standard."""
        data = self.data_lines[0] if len(self.data_lines) == 1 else b"\n".join(self.data_lines)
        self.data_lines = []
        self.data_line_bytes = 0
        return self.complete_event(raw, data) if data else ServerSentEvent(raw, None, False)

    def complete_event(self, raw: bytes, data: bytes) -> ServerSentEvent:
        """Count and return an event with data."""
        self.event_count += 1
        self.finished = data.strip() == DONE
        return ServerSentEvent(raw, data, self.finished)

    def check_incomplete(self) -> None:
        """Raise MalformedMessageError if the buffer is too long, or begins no field."""
        if not self.buffer:
            return
        size = len(self.buffer)
        has_data = self.data_lines or self.line_has_data
        if size > self.max_event_bytes or (size > MAX_BYTES_WITHOUT_DATA and not has_data):
            raise MalformedMessageError("an event is too long")
        start = bytes(self.buffer[self.line_start : self.line_start + LONGEST_FIELD]).removesuffix(b"\r")
        if not start:
            return
        if self.finished:
            raise MalformedMessageError("an event follows the last one")
        if not any(start.startswith(field) or field.startswith(start) for field in FIELDS):
            raise MalformedMessageError("a line that is no field of an event")

    @property
    def incomplete_data_bytes(self) -> int:
        """Bytes of the lines with data that were received of the incomplete event.

        An empty data line counts until it is complete only.
        """
        if not self.buffer:
            return 0
        size = len(self.buffer) - self.line_start
        is_data_line = self.line_has_data or DATA_FIELD.startswith(
            bytes(self.buffer[self.line_start : self.line_start + LONGEST_FIELD])
        )
        return self.data_line_bytes + size * is_data_line

    @property
    def line_has_data(self) -> bool:
        """Whether the incomplete line is a data field."""
        return self.buffer.startswith(DATA_FIELD, self.line_start)

    @property
    def has_incomplete_event(self) -> bool:
        """Whether part of an event, or of a comment, was received."""
        return bool(self.buffer)

    def check_incomplete_data(self) -> None:
        """Raise MalformedMessageError if the incomplete event can not become one with a JSON object.

        Parses all that was received of it: to be called now and then, not for each part.
        """
        lines = list(self.data_lines)
        if self.line_has_data:
            lines.append(bytes(self.buffer[self.line_start + len(DATA_FIELD) :]).removeprefix(b" "))
        data = b"\n".join(lines)
        if not DONE.startswith(data) and not begins_json_object(data):
            raise MalformedMessageError("the data of an event is no JSON")
