"""Incremental, strict and bounded parser of HTTP/1.1 requests (RFC 9112); no I/O.

Ambiguous requests are refused, since a program behind this one may read them differently (request smuggling):
both kinds of length, a repeated length, folded lines or bare line feeds, an unknown transfer coding.
"""

import re
import sys
from collections.abc import Sequence
from dataclasses import dataclass

from heathford.wire.body_buffer import BodyBuffer
from heathford.wire.http1 import (
    CONTENT_LENGTH,
    FieldsTooLongError,
    MalformedMessageError,
    Message,
    parse_token_list,
)

REQUEST_START = re.compile(rb"[A-Z]{1,16}( |$)|\r$")  # a method, or the beginning received so far
MAX_FIELDS = 128  # of a head; clients' have a dozen
EMPTY_LINES = re.compile(rb"(?:\r\n)+")
REQUEST_LINE = re.compile(r"([A-Z]{1,16}) (/[!-~]*) HTTP/(\d)\.(\d)")
# Memory of a ParsedRequest beside the contents of its fields: objects, a dict and the place in a queue.
OVERHEAD_BYTES = 1_536
FIELD_LINE = re.compile(r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t -~\x80-\xff]*)")


class RequestError(Exception):
    """A request is refused; its text is the body of the answer.

    status: the HTTP status of the answer.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Request(Message):
    """Parses one request; `done` is set once it is complete.

    max_head_bytes, max_body_bytes: limits, above which the request is refused; the first is also that of
    trailers (`max_line_bytes` of Message). buffer: bytes received before; parsed ones are removed from it, so
    that the next request of the connection can be given the same buffer.
    """

    def __init__(self, max_head_bytes: int, max_body_bytes: int, buffer: bytearray | None = None) -> None:
        super().__init__(max_head_bytes, max_body_bytes)
        self.max_body_bytes = max_body_bytes
        if buffer is not None:
            self.buffer = buffer
        self.method = self.target = ""
        self.repeated_fields: dict[str, None] = {}  # names of fields that came more than once
        self.empty_line_bytes = 0  # before the request line
        self.steps = 0  # lines and parts of the body parsed so far
        self.body = BodyBuffer()
        self.body_size = 0  # bytes of the body so far, discarded ones included
        self.body_discarded = False
        self.expects_continue = False  # the client sends its body only after a 100 (Continue)

    @property
    def has_started(self) -> bool:
        """Whether any byte of the request was received."""
        return bool(self.method or self.buffer)

    @property
    def rest(self) -> bytes:
        """The bytes not parsed yet; once the request is `done`, those that follow it."""
        return bytes(self.buffer)

    def feed(self, data: bytes) -> None:
        """Parse received bytes. Raises RequestError, after which the connection can't be read any further."""
        self.buffer += data
        self.parse(sys.maxsize)

    def parse(self, max_steps: int) -> int:
        """Parse buffered bytes, and return the steps taken: a step is a line or a part of the body.

        A head is parsed whole. Fewer steps than `max_steps` are taken where the request is done or needs more
        bytes. Raises RequestError.
        """
        steps_before = self.steps
        try:
            while self.buffer and not self.done and self.steps - steps_before < max_steps:
                part = self.next_step(self)
                if part is None:
                    break
                self.steps += 1
                if part:
                    self.add_body_part(part)
        except FieldsTooLongError as error:
            raise RequestError(431, str(error)) from None
        except MalformedMessageError as error:
            raise RequestError(400, str(error)) from None
        return self.steps - steps_before

    def add_body_part(self, part: bytes) -> None:
        """Append to the body, unless it is discarded. Raises RequestError."""
        self.body_size += len(part)
        if self.body_size > self.max_body_bytes:
            raise RequestError(413, "a body too long")
        if not self.body_discarded:
            self.body.append(part)

    def discard_body(self) -> None:
        """Drop the body read so far, and what follows of it."""
        self.body_discarded = True
        self.body = BodyBuffer()

    def read_head(self) -> bytes | None:
        if self.buffer.startswith(b"\r\n"):
            self.skip_empty_lines()
        end = self.buffer.find(b"\r\n\r\n", 0, self.max_line_bytes + 5)
        if (len(self.buffer) if end < 0 else end) > self.max_line_bytes:
            raise RequestError(431, "a head too long")
        if self.buffer and not REQUEST_START.match(self.buffer):
            raise RequestError(400, "no HTTP request")
        if end < 0:
            return None
        request_line, *lines = self.buffer[:end].decode("latin-1").split("\r\n")
        del self.buffer[: end + 4]
        if len(lines) > MAX_FIELDS:
            raise RequestError(431, "too many header fields")
        self.steps += len(lines)
        parts = REQUEST_LINE.fullmatch(request_line)
        if not parts:
            raise RequestError(400, "no HTTP request line")
        if parts[3] != "1" or parts[4] != "1":
            raise RequestError(505, "only HTTP/1.1 is spoken here")
        for line in lines:
            field = FIELD_LINE.fullmatch(line)
            if not field:
                raise RequestError(400, "a header line that can't be read")
            name = field[1].lower()
            if name in self.headers:
                self.repeated_fields[name] = None
            self.headers[name] = field[2].strip(" \t")
        self.method, self.target = parts[1], parts[2]
        self.keep_alive = "close" not in parse_token_list(self.headers.get("connection", ""))
        self.determine_body_length()
        return b""

    def skip_empty_lines(self) -> None:
        """Remove empty lines before the request (RFC 9112, 2.2), a bounded number. Raises RequestError."""
        lines = EMPTY_LINES.match(self.buffer, 0, self.max_line_bytes + 2)
        size = lines.end() if lines else 0
        self.empty_line_bytes += size
        del self.buffer[:size]
        if self.empty_line_bytes > self.max_line_bytes:
            raise RequestError(400, "no request after empty lines")

    def determine_body_length(self) -> None:
        """Find out how the body is framed; refuse it where its length is stated in two ways.

        Otherwise another program might believe the other length, and a second request could be hidden in the
        body. A client that repeats an equal length is refused as well; none needs to.
        """
        coding, length = self.headers.get("transfer-encoding"), self.headers.get("content-length")
        for name in ("transfer-encoding", "content-length", "host"):
            if name in self.repeated_fields:
                raise RequestError(400, f"{name} told twice")  # a repeated field
        if coding is not None:
            if length is not None:
                raise RequestError(400, "a body of two lengths")  # has both fields
            if coding.lower() != "chunked":
                raise RequestError(501, "a transfer coding other than chunked")
            self.next_step = Message.read_chunk_size
        elif length is not None:
            if not CONTENT_LENGTH.fullmatch(length):
                raise RequestError(400, "a length that is no number")
            self.remaining = int(length)
            if self.remaining > self.max_body_bytes:
                raise RequestError(413, "a body too long")
            self.next_step = Message.read_body
            self.done = self.remaining == 0
        else:
            self.done = True
        expected = self.headers.get("expect")
        if expected is not None:
            if expected.lower() != "100-continue":
                raise RequestError(417, "an expectation other than 100-continue")
            self.expects_continue = not self.done and not self.buffer


@dataclass(slots=True)
class ParsedRequest:
    """What is kept of a complete request.

    headers: the fields that are used, by their names in lower case; repeated_fields: those of them that came
    more than once; size: bytes of memory that it takes, for a MemoryBudget.
    """

    method: str
    target: str
    keep_alive: bool
    headers: dict[str, str]
    repeated_fields: tuple[str, ...]
    body: bytes
    size: int

    @classmethod
    def of(cls, request: Request, kept_fields: Sequence[str]) -> "ParsedRequest":
        """Copy the fields of those names, and the body, from a complete request."""
        sent = request.headers
        headers = {name: sent[name] for name in kept_fields if name in sent}
        repeated_fields = tuple(name for name in request.repeated_fields if name in headers)
        body = bytes(request.body)
        size = OVERHEAD_BYTES + len(request.target) + len(body) + sum(map(len, headers.values()))
        return cls(request.method, request.target, request.keep_alive, headers, repeated_fields, body, size)
