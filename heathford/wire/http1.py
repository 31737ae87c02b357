"""HTTP/1.1 responses and server-sent events, read from bytes as they come; no I/O.

Requests stand beside it in requests.py, on the same framing.

RFC 9112 for framing, the WHATWG HTML standard (section 9.2) for event streams.
"""

import re
from collections.abc import Iterator
from typing import Any

import orjson

LONGEST_CHUNK = 1 << 30  # bytes: where nothing stricter is stated, any that is no nonsense
MOST_TRAILERS = 64  # fields: memory is bounded whatever comes
LENGTH = re.compile(r"[0-9]{1,15}")  # int() alone takes signs, underscores and other scripts' digits
SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}")  # int() alone takes signs, underscores and 0x too


class MalformedMessageError(Exception):
    """What came is not what the protocol allows."""


def json_object(data: bytes) -> dict[str, Any]:
    """Raises MalformedMessageError where it is none."""
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as problem:
        raise MalformedMessageError(f"no JSON: {problem}") from None
    if not isinstance(value, dict):
        raise MalformedMessageError("no JSON object")
    return value


class Message:
    """The framing that requests and responses share: bytes that came, and a body by length or in chunks.

    longest_line: bytes of a head or a chunk's size line; longest_chunk: bytes that a chunk may state. It
    guards against a size that is nonsense and would be believed for gigabytes; a chunk that long would harm.
    """

    def __init__(self, longest_line: int, longest_chunk: int) -> None:
        self.longest_line, self.longest_chunk = longest_line, longest_chunk
        self.buffer = bytearray()
        self.headers: dict[str, str] = {}
        self.trailers: dict[str, str] = {}
        self.done = self.keep_alive = False
        self.left = 0  # bytes of the body, or of the chunk, still to come
        self.reads = self.read_head

    def read_head(self) -> bytes | None:
        raise NotImplementedError

    def line(self) -> bytes | None:
        at = self.buffer.find(b"\r\n")
        if at < 0 or at > self.longest_line:
            if len(self.buffer) > self.longest_line:
                raise MalformedMessageError("a line too long")
            return None
        line = bytes(self.buffer[:at])
        del self.buffer[: at + 2]
        return line

    def read_body(self) -> bytes | None:
        part = self.take()
        self.done = self.left == 0
        return part

    def take(self) -> bytes | None:
        part = bytes(self.buffer[: self.left])
        del self.buffer[: self.left]
        self.left -= len(part)
        return part or None

    def read_size(self) -> bytes | None:
        line = self.line()
        if line is None:
            return None
        size = line.split(b";")[0].strip(b" \t")
        if not SIZE.fullmatch(size):
            raise MalformedMessageError("a chunk without a size")
        self.left = int(size, 16)
        if self.left > self.longest_chunk:
            raise MalformedMessageError("a chunk too long")
        self.reads = self.read_chunk if self.left else self.read_trailers
        return b""

    def read_chunk(self) -> bytes | None:
        if self.left:
            return self.take()
        if len(self.buffer) < 2:
            return None
        if self.buffer[:2] != b"\r\n":
            raise MalformedMessageError("a chunk longer than stated")
        del self.buffer[:2]
        self.reads = self.read_size
        return b""

    def read_trailers(self) -> bytes | None:
        line = self.line()
        if line is None:
            return None
        if line:
            self.trailers |= fields_of([line.decode("latin-1")])
            if len(self.trailers) > MOST_TRAILERS:
                raise MalformedMessageError("too many trailers")
        else:
            self.done = True
        return b""


class Response(Message):
    """Reads one response. feed() yields body parts; `done` once it is whole.

    strict: bytes behind the end spoil it. Else they belong to nothing that was asked: the answer stands, and
    the connection is not used again, where they would be taken for the next answer.
    """

    def __init__(self, longest_line: int, longest_chunk: int = LONGEST_CHUNK, strict: bool = True) -> None:
        super().__init__(longest_line, longest_chunk)
        self.strict = strict
        self.status = 0
        self.until_close = False  # the body ends with the connection

    def feed(self, data: bytes) -> Iterator[bytes]:
        self.buffer += data
        while not self.done:
            part = self.reads()
            if part is None:
                return
            if part:
                yield part
        if self.buffer:
            if self.strict:
                raise MalformedMessageError("bytes after the end of a response")
            self.keep_alive = False
            self.buffer.clear()

    def feed_eof(self) -> None:
        """The other side has closed: a body without a stated length is whole now."""
        if self.until_close:
            self.done = True

    def read_rest(self) -> bytes | None:
        part = bytes(self.buffer)
        self.buffer.clear()
        return part or None

    def read_head(self) -> bytes | None:
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self.buffer) > self.longest_line:
                raise MalformedMessageError("a head too long")
            if self.buffer and not b"HTTP/1.1 ".startswith(self.buffer[:9]):
                raise MalformedMessageError("no HTTP/1.1 response")
            return None
        first, *lines = bytes(self.buffer[:end]).decode("latin-1").split("\r\n")
        del self.buffer[: end + 4]
        parts = first.split(" ", 2)
        if len(parts) < 2 or parts[0] != "HTTP/1.1" or not (parts[1].isdigit() and len(parts[1]) == 3):
            raise MalformedMessageError("no HTTP/1.1 status line")
        self.status = int(parts[1])
        self.headers = fields_of(lines)
        if self.status < 200:  # an interim response: the real one follows
            self.headers = {}
            return b""
        self.keep_alive = "close" not in tokens_of(self.headers.get("connection", ""))
        if self.headers.get("transfer-encoding", "").lower() == "chunked":
            self.reads = self.read_size
        elif self.status in (204, 304):
            self.done = True
        else:
            length = self.headers.get("content-length")
            if length is None:  # RFC 9112, 6.3: the body ends with the connection
                self.until_close, self.keep_alive = True, False
                self.reads = self.read_rest
                return b""
            if not LENGTH.fullmatch(length):
                raise MalformedMessageError("a length that is no number")
            self.left = int(length)
            self.reads = self.read_body
            self.done = self.left == 0
        return b""


def tokens_of(value: str) -> list[str]:
    """The tokens of a field that lists them, in lower case."""
    return [token.strip().lower() for token in value.split(",")]


def fields_of(lines: list[str]) -> dict[str, str]:
    fields = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise MalformedMessageError("a header line without a name")
        fields[name.lower()] = value.strip()
    return fields


class EventStream:
    """Reads server-sent events; feed() yields the data of each whole event."""

    def __init__(self, longest: int) -> None:
        self.longest = longest  # bytes of one event
        self.buffer = b""
        self.data: list[bytes] = []

    def feed(self, part: bytes) -> Iterator[bytes]:
        lines = (self.buffer + part).replace(b"\r\n", b"\n").split(b"\n")
        self.buffer = lines.pop()
        if len(self.buffer) > self.longest:
            raise MalformedMessageError("an event too long")
        for line in lines:
            if not line:
                if self.data:
                    yield b"\n".join(self.data)
                self.data = []
            elif line.startswith(b"data:"):
                self.data.append(line[5:].removeprefix(b" "))
            # comments, names of events and unknown fields are passed over, as the standard says


def encode_request(method: str, path: str, host: str, headers: dict[str, str], body: bytes) -> bytes:
    """One request with a body of stated length, to be sent on a connection kept alive."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
