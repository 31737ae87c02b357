"""Incremental parser of HTTP/1.1 responses; no I/O.

Framing follows RFC 9112. Requests use the same framing and are parsed in requests.py.
"""

import re
from collections.abc import Callable, Iterator
from typing import Any

import orjson

MAX_CHUNK_BYTES = 1 << 30  # any plausible size, where the caller sets no stricter limit
MAX_TRAILERS = 64  # fields
# Bytes that size lines and line ends of all chunks of a message may have.
MAX_FRAMING_BYTES = 65_536
LINE_ENDS_OF_CHUNK = 4  # bytes: behind its size line and behind its data
CONTENT_LENGTH = re.compile(r"[0-9]{1,15}")  # int() alone accepts signs, underscores and non-ASCII digits
MAX_SIZE_LINE_BYTES = 1_024  # of a chunk: its size, and extensions that are not used
# int() alone accepts signs, underscores and 0x too. An extension has no control characters: a bare line feed
# ends the line for some parsers and not for others.
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[\t -~\x80-\xff]*)?")
SIZE_LINE_START = re.compile(rb"(?:%b\r?)?" % SIZE_LINE.pattern)


# A step of a parser; None: it needs more bytes. Called with the parser, as a bound method would make the
# parser refer to itself, and keep it in memory until a full garbage collection.
ParseStep = Callable[[Any], bytes | None]


class MalformedMessageError(Exception):
    """The received bytes break the protocol."""


class FieldsTooLongError(MalformedMessageError):
    """A head or a trailer section is longer than allowed, or has too many fields."""


def json_object(data: bytes) -> dict[str, Any]:
    """Parse a JSON object; raises MalformedMessageError for anything else."""
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise MalformedMessageError(f"no JSON: {error}") from None
    if not isinstance(value, dict):
        raise MalformedMessageError("no JSON object")
    return value


class Message:
    """The framing that requests and responses share: received bytes, and a body of known length or in chunks.

    max_line_bytes: limit of a head or a trailer section; max_chunk_bytes: limit of the size that a chunk
    states. A corrupt size would otherwise make the parser wait for gigabytes; a real chunk that long is
    refused as well. framing_ratio: bytes that the framing of chunks may have for each byte in them, beside
    MAX_FRAMING_BYTES.
    """

    framing_ratio = 0

    def __init__(self, max_line_bytes: int, max_chunk_bytes: int) -> None:
        self.max_line_bytes, self.max_chunk_bytes = max_line_bytes, max_chunk_bytes
        self.buffer = bytearray()
        self.headers: dict[str, str] = {}
        self.trailers: dict[str, str] = {}
        self.trailer_fields = self.trailer_bytes = 0
        self.framing_excess = 0  # bytes of framing, less framing_ratio for each byte of the chunks
        self.done = self.keep_alive = False
        self.remaining = 0  # bytes of the body, or of the current chunk, that are still to be received
        self.next_step: ParseStep = type(self).read_head  # parses the next part

    @property
    def has_trailers(self) -> bool:
        """Whether part of a trailer was received."""
        in_trailers = self.next_step is Message.read_trailers
        return in_trailers and (self.trailer_fields > 0 or self.buffer[:1] not in (b"", b"\r"))

    @property
    def awaited_part(self) -> str:
        """The name of the part that is being read, for the log."""
        return "nothing" if self.done else self.next_step.__name__.removeprefix("read_")

    def read_head(self) -> bytes | None:
        raise NotImplementedError

    def read_line(self, max_bytes: int) -> bytes | None:
        """Return the next line without its end, or None where it is not complete yet."""
        at = self.buffer.find(b"\r\n", 0, max_bytes + 3)
        if at < 0 or at > max_bytes:
            if len(self.buffer) > max_bytes:
                raise MalformedMessageError("a line too long")
            return None
        line = bytes(self.buffer[:at])
        del self.buffer[: at + 2]
        return line

    def read_body(self) -> bytes | None:
        part = self.take_body_bytes()
        self.done = self.remaining == 0
        return part

    def take_body_bytes(self) -> bytes | None:
        """Return the buffered bytes of the body or chunk, or None where there are none."""
        if len(self.buffer) <= self.remaining:
            part = bytes(self.buffer)
            self.buffer.clear()
        else:
            part = bytes(self.buffer[: self.remaining])
            del self.buffer[: self.remaining]
        self.remaining -= len(part)
        return part or None

    def read_chunk_size(self) -> bytes | None:
        line = self.read_line(min(self.max_line_bytes, MAX_SIZE_LINE_BYTES))
        match = SIZE_LINE_START.fullmatch(self.buffer) if line is None else SIZE_LINE.fullmatch(line)
        if not match:
            raise MalformedMessageError("a chunk without a size")
        if line is None:
            return None
        self.remaining = int(match[1], 16)
        if self.remaining > self.max_chunk_bytes:
            raise MalformedMessageError("a chunk too long")
        self.framing_excess += len(line) + LINE_ENDS_OF_CHUNK - self.framing_ratio * self.remaining
        if self.framing_excess > MAX_FRAMING_BYTES:
            raise MalformedMessageError("chunks too small for their framing")
        self.next_step = Message.read_chunk if self.remaining else Message.read_trailers
        return b""

    def read_chunk(self) -> bytes | None:
        if self.remaining:
            return self.take_body_bytes()
        if len(self.buffer) < 2:
            return None
        if self.buffer[:2] != b"\r\n":
            raise MalformedMessageError("a chunk longer than stated")
        del self.buffer[:2]
        self.next_step = Message.read_chunk_size
        return b""

    def read_trailers(self) -> bytes | None:
        line = self.read_line(self.max_line_bytes)
        if line is None:
            return None
        if line:
            self.trailer_fields += 1
            self.trailer_bytes += len(line) + len(b"\r\n")
            if self.trailer_fields > MAX_TRAILERS or self.trailer_bytes > self.max_line_bytes:
                raise FieldsTooLongError("trailers too long")
            self.trailers |= parse_header_fields([line.decode("latin-1")])
        else:
            self.done = True
        return b""


class Response(Message):
    """Parses one response. `feed` yields parts of the body; `done` is set once the response is complete.

    strict: bytes after the end are an error. Otherwise the response is valid and `keep_alive` is cleared, as
    the bytes answer no request and would be taken for the next response on the connection.
    """

    framing_ratio = 16  # streams are long, and have no limit

    def __init__(
        self, max_line_bytes: int, max_chunk_bytes: int = MAX_CHUNK_BYTES, strict: bool = True
    ) -> None:
        super().__init__(max_line_bytes, max_chunk_bytes)
        self.strict = strict
        self.status = 0
        self.head_complete = False  # the final one: interim responses don't count
        self.until_close = False  # the body ends when the peer closes
        self.interim_bytes = 0  # heads of interim responses

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Parse received bytes and yield parts of the body. Raises MalformedMessageError."""
        self.buffer += data
        while not self.done:
            part = self.next_step(self)
            if part is None:
                return
            if part:
                yield part
        if self.buffer:
            if self.strict:
                raise MalformedMessageError("received bytes after the end of the response")
            self.keep_alive = False
            self.buffer.clear()

    def feed_eof(self) -> None:
        """Handle that the peer has closed its side, which completes a body without a stated length."""
        if self.until_close:
            self.done = True

    def read_rest(self) -> bytes | None:
        part = bytes(self.buffer)
        self.buffer.clear()
        return part or None

    def read_head(self) -> bytes | None:
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self.buffer) > self.max_line_bytes:
                raise MalformedMessageError("the head of the response is too long")
            if self.buffer and not b"HTTP/1.1 ".startswith(self.buffer[:9]):
                raise MalformedMessageError("the bytes are not an HTTP/1.1 response")
            return None
        status_line, *lines = bytes(self.buffer[:end]).decode("latin-1").split("\r\n")
        del self.buffer[: end + 4]
        parts = status_line.split(" ", 2)
        if len(parts) < 2 or parts[0] != "HTTP/1.1" or not (parts[1].isdigit() and len(parts[1]) == 3):
            raise MalformedMessageError("the status line is not valid HTTP/1.1")
        self.status = int(parts[1])
        self.headers = parse_header_fields(lines)
        if self.status < 200:  # an interim response: the final one follows
            self.headers = {}
            self.interim_bytes += end + 4
            if self.interim_bytes > self.max_line_bytes:
                raise FieldsTooLongError("too many interim responses")
            return b""
        self.head_complete = True
        self.keep_alive = "close" not in parse_token_list(self.headers.get("connection", ""))
        if self.headers.get("transfer-encoding", "").lower() == "chunked":
            self.next_step = Message.read_chunk_size
        elif self.status in (204, 304):
            self.done = True
        else:
            length = self.headers.get("content-length")
            if length is None:  # RFC 9112, 6.3: the body ends when the peer closes
                self.until_close, self.keep_alive = True, False
                self.next_step = Response.read_rest
                return b""
            if not CONTENT_LENGTH.fullmatch(length):
                raise MalformedMessageError("Content-Length is not a number")
            self.remaining = int(length)
            self.next_step = Message.read_body
            self.done = self.remaining == 0
        return b""


def parse_token_list(value: str) -> list[str]:
    """Return the tokens of a comma-separated header field in lower case."""
    return [token.strip().lower() for token in value.split(",")]


def parse_header_fields(lines: list[str]) -> dict[str, str]:
    """Return the fields by their names in lower case. Raises MalformedMessageError."""
    fields = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise MalformedMessageError("a header line without a name")
        fields[name.lower()] = value.strip()
    return fields


def encode_request(method: str, path: str, host: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a request with a Content-Length, for a persistent connection."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
