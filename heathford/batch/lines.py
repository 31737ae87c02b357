"""Parsing and validation of the lines of a batch's input file; no I/O."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from heathford.sessions.workload_catalog import WorkloadCatalog, ParamsError

ENDPOINT = "/v1/completions"
MAX_LINE_BYTES = 4 << 20  # more than the longest prompt that a workload allows
MAX_LINES = 100_000  # of one batch: its bitmap takes a few KB, and a small fleet finishes it within a day
MAX_LISTED_MISTAKES = 100  # of one file; further ones are only counted
MAX_CUSTOM_ID_CHARS = 256


@dataclass(frozen=True)
class Mistake:
    """An error in an input file, as the published API has it; `line` is None for the whole file."""

    code: str
    message: str
    line: int | None

    def body(self) -> dict[str, Any]:
        return {"code": self.code, "message": self.message, "line": self.line, "param": None}


@dataclass(frozen=True)
class Line:
    """A valid line of an input file."""

    number: int  # from 1
    custom_id: str
    request: Mapping[str, Any]  # the validated request


class LineError(Exception):
    """A line is invalid; `code` is the error code of the published API."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


def parse_line(data: bytes, number: int, catalog: WorkloadCatalog) -> Line:
    """Parse and validate a line; raises LineError."""
    if len(data) > MAX_LINE_BYTES:
        raise LineError("line_too_long", f"{len(data)} bytes; allowed are {MAX_LINE_BYTES}")
    try:
        fields = orjson.loads(data)
    except orjson.JSONDecodeError as problem:
        raise LineError("invalid_json_line", f"no JSON in UTF-8: {problem}") from None
    if not isinstance(fields, dict):
        raise LineError("invalid_json_line", "no JSON object")
    custom_id = fields.get("custom_id")
    if not isinstance(custom_id, str) or not custom_id or len(custom_id) > MAX_CUSTOM_ID_CHARS:
        raise LineError(
            "invalid_custom_id", f"custom_id: allowed is a text of 1 to {MAX_CUSTOM_ID_CHARS} characters"
        )
    if fields.get("method") != "POST" or fields.get("url") != ENDPOINT:
        raise LineError("invalid_url", f"method and url: allowed are POST and {ENDPOINT}")
    if not isinstance(fields.get("body"), dict):
        raise LineError("invalid_body", "body: allowed is an object")
    if fields["body"].get("stream"):
        raise LineError("invalid_body", "stream: allowed is false in a batch")
    try:
        return Line(number, custom_id, catalog.parse_request(fields["body"]))
    except ParamsError as problem:
        raise LineError("invalid_body", str(problem)) from None


class LineSplitter:
    """Splits a stream of bytes into lines with their offsets; memory is bounded by one line."""

    def __init__(self) -> None:
        self.buffer = bytearray()  # the start of an incomplete line
        self.offset = 0  # of the buffer in the stream
        self.number = 0  # of the last line
        self.dropped_bytes = 0  # of the current line, if it is too long

    def feed(self, data: bytes) -> Iterator[tuple[int, int, int, bytes]]:
        """Yield number, offset, size and content of each complete line; the content of a long one is cut."""
        self.buffer += data
        while (end := self.buffer.find(b"\n")) >= 0:
            yield from self.emit(bytes(self.buffer[:end]), end + 1)
        extra = len(self.buffer) - (MAX_LINE_BYTES + 1)
        if extra > 0:
            del self.buffer[-extra:]
            self.dropped_bytes += extra

    def end(self) -> Iterator[tuple[int, int, int, bytes]]:
        """Yield the last line if no newline ends it."""
        if self.buffer:
            yield from self.emit(bytes(self.buffer), len(self.buffer))

    def emit(self, line: bytes, size: int) -> Iterator[tuple[int, int, int, bytes]]:
        dropped_bytes, self.dropped_bytes = self.dropped_bytes, 0
        line_offset = self.offset
        self.offset += size + dropped_bytes
        del self.buffer[:size]
        self.number += 1
        if line.strip():
            yield self.number, line_offset, size + dropped_bytes, line


class InputFileCheck:
    """Collects the locations of an input file's valid lines, and the errors of the others."""

    def __init__(self, catalog: WorkloadCatalog) -> None:
        self.catalog = catalog
        self.locations: list[tuple[int, int, int]] = []  # number, offset, size of each valid line
        self.submission_keys: list[tuple[str, int]] = []  # sort key and index of each valid line
        self.mistakes: list[Mistake] = []
        self.mistake_count = 0
        self.line_numbers: dict[str, int] = {}  # by custom_id
        self.members: dict[int, None] = {}

    def add_line(self, number: int, offset: int, size: int, data: bytes) -> None:
        """Validate a line, as LineSplitter yields it."""
        try:
            line = parse_line(
                data if size <= MAX_LINE_BYTES else data + b" " * (MAX_LINE_BYTES + 1), number, self.catalog
            )
            if line.custom_id in self.line_numbers:
                first = self.line_numbers[line.custom_id]
                raise LineError(
                    "duplicate_custom_id", f"custom_id {line.custom_id!r} stands already at line {first}"
                )
        except LineError as problem:
            self.add_mistake(problem.code, str(problem), number)
            return
        self.line_numbers[line.custom_id] = number
        # Lines with the same prompt prefix are submitted together, to use the engines' prefix caches.
        self.submission_keys.append(
            (f"{line.request['workload']}:{line.request['shared']}", len(self.locations))
        )
        self.locations.append((number, offset, size))

    def add_mistake(self, code: str, message: str, number: int | None) -> None:
        self.mistake_count += 1
        if len(self.mistakes) < MAX_LISTED_MISTAKES:
            self.mistakes.append(Mistake(code, message, number))

    def finish(self) -> None:
        """Check the file as a whole, after its last line."""
        if not self.locations and not self.mistake_count:
            self.add_mistake("empty_file", "no line asks for anything", None)
        if len(self.locations) > MAX_LINES:
            self.add_mistake("too_many_lines", f"{len(self.locations)} lines; allowed are {MAX_LINES}", None)

    @property
    def submission_order(self) -> list[int]:
        """Indexes of the valid lines, in the order in which they are submitted."""
        return [index for _, index in sorted(self.submission_keys)]
