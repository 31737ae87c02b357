"""HTTP/1.1 requests, read from bytes as they come: strict, bounded, no I/O.

RFC 9112. What could be read in two ways is refused, since another program behind this one may read it in the
other: both kinds of length, a length told twice, folded or bare lines, an unknown transfer coding.
"""

import re

from heathford.wire.http1 import LENGTH, Message, MalformedMessageError, tokens_of

METHOD = re.compile(rb"[A-Z]{1,16}( |$)|\r$")  # what a request can begin with, as far as it has come
FIRST = re.compile(r"([A-Z]{1,16}) (/[!-~]*) HTTP/(\d)\.(\d)")
NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
VALUE = re.compile(r"[\t -~\x80-\xff]*")


class RequestError(Exception):
    """What was asked can't be taken; `status` tells the client why, in HTTP's words."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Request(Message):
    """Reads one request; `rest` holds what has come already and, once it is `done`, what came behind it."""

    def __init__(self, longest_head: int, longest_body: int, rest: bytes = b"") -> None:
        super().__init__(longest_head, longest_body)
        self.longest_body = longest_body
        self.buffer += rest
        self.method = self.target = ""
        self.repeated: dict[str, None] = {}  # names of fields that came more than once
        self.body = bytearray()
        self.awaits_continue = False  # for 100 (Continue) before it sends its body

    @property
    def has_started(self) -> bool:
        return bool(self.method or self.buffer)

    @property
    def rest(self) -> bytes:
        return bytes(self.buffer)

    def feed(self, data: bytes) -> None:
        """Raises RequestError; nothing of that connection can be read from then on."""
        self.buffer += data
        try:
            while not self.done and (part := self.reads()) is not None:
                self.body += part
                if len(self.body) > self.longest_body:
                    raise RequestError(413, "a body too long")
        except MalformedMessageError as problem:
            raise RequestError(400, str(problem)) from None

    def read_head(self) -> bytes | None:
        while self.buffer.startswith(b"\r\n"):  # RFC 9112, 2.2: empty lines ahead are passed over
            del self.buffer[:2]
        end = self.buffer.find(b"\r\n\r\n")
        if (len(self.buffer) if end < 0 else end) > self.longest_line:
            raise RequestError(431, "a head too long")
        if self.buffer and not METHOD.match(self.buffer):
            raise RequestError(400, "no HTTP request")
        if end < 0:
            return None
        first, *lines = self.buffer[:end].decode("latin-1").split("\r\n")
        del self.buffer[: end + 4]
        parts = FIRST.fullmatch(first)
        if not parts:
            raise RequestError(400, "no HTTP request line")
        if parts[3] != "1" or parts[4] != "1":
            raise RequestError(505, "only HTTP/1.1 is spoken here")
        for line in lines:
            name, colon, value = line.partition(":")
            name, value = name.lower(), value.strip(" \t")
            if not colon or not NAME.fullmatch(name) or not VALUE.fullmatch(value):
                raise RequestError(400, "a header line that can't be read")
            if name in self.headers:
                self.repeated[name] = None
            self.headers[name] = value
        self.method, self.target = parts[1], parts[2]
        self.keep_alive = "close" not in tokens_of(self.headers.get("connection", ""))
        self.frame()
        return b""

    def frame(self) -> None:
        """How long the body is. Guards against a second request hidden in it: told in two ways, another
        program would believe the other. Could harm a client that repeats an equal length; none needs to."""
        coding, length = self.headers.get("transfer-encoding"), self.headers.get("content-length")
        for name in ("transfer-encoding", "content-length", "host"):
            if name in self.repeated:
                raise RequestError(400, f"{name} told twice")
        if coding is not None:
            if length is not None:
                raise RequestError(400, "a body of two lengths")
            if coding.lower() != "chunked":
                raise RequestError(501, "a transfer coding other than chunked")
            self.reads = self.read_size
        elif length is not None:
            if not LENGTH.fullmatch(length):
                raise RequestError(400, "a length that is no number")
            self.left = int(length)
            if self.left > self.longest_body:
                raise RequestError(413, "a body too long")
            self.reads = self.read_body
            self.done = self.left == 0
        else:
            self.done = True
        expected = self.headers.get("expect")
        if expected is not None:
            if expected.lower() != "100-continue":
                raise RequestError(417, "an expectation other than 100-continue")
            self.awaits_continue = not self.done and not self.buffer
