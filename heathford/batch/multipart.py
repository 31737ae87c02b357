"""Incremental parser of multipart/form-data (RFC 7578); no I/O, memory is bounded by one chunk."""

from collections.abc import Iterator
from email.message import Message
from email.parser import HeaderParser
from enum import Enum

MAX_PART_HEADER_BYTES = 8 << 10  # also of the preamble


class MultipartError(Exception):
    """The body is not valid multipart/form-data, or a field of it is not allowed."""


class EventKind(Enum):
    """Kind of a parser event."""

    PART = "part"  # a part starts
    DATA = "data"  # bytes of the part's body
    END = "end"  # of the form


def parse_boundary(content_type: str) -> bytes:
    """Return the boundary from a Content-Type header; raises MultipartError."""
    message = HeaderParser().parsestr(f"Content-Type: {content_type}\n\n")
    boundary = message.get_param("boundary")
    if (
        message.get_content_type() != "multipart/form-data"
        or not isinstance(boundary, str)
        or not (0 < len(boundary) <= 70 and boundary.isascii())
    ):
        raise MultipartError("content type: allowed is multipart/form-data with a boundary")
    return boundary.encode()


class MultipartParser:
    """Parses a form that is fed in chunks; `state` is the method that parses the next bytes."""

    def __init__(self, boundary: bytes) -> None:
        self.delimiter = b"\r\n--" + boundary
        self.buffer = bytearray(b"\r\n")  # the first delimiter may come without a line end before it
        self.state = self.preamble

    @property
    def finished(self) -> bool:
        return self.state == self.epilogue

    def feed(self, data: bytes) -> Iterator[tuple[EventKind, str, str, bytes]]:
        """Yield events: PART with the part's name and file name, DATA with bytes, END.

        Raises MultipartError.
        """
        self.buffer += data
        while True:
            before = len(self.buffer), self.state
            yield from self.state()
            if (len(self.buffer), self.state) == before:
                return

    def preamble(self) -> Iterator[tuple[EventKind, str, str, bytes]]:
        at = self.buffer.find(self.delimiter)
        if at >= 0:
            del self.buffer[: at + len(self.delimiter)]
            self.state = self.after_delimiter
        elif len(self.buffer) > MAX_PART_HEADER_BYTES:
            raise MultipartError("no part begins")
        return iter(())

    def after_delimiter(self) -> Iterator[tuple[EventKind, str, str, bytes]]:
        if len(self.buffer) < 2:
            return
        if self.buffer[:2] == b"--":
            self.buffer.clear()
            self.state = self.epilogue
            yield EventKind.END, "", "", b""
        elif self.buffer[:2] == b"\r\n":
            self.state = self.part_header
        else:
            raise MultipartError("a boundary that does not end its line")

    def part_header(self) -> Iterator[tuple[EventKind, str, str, bytes]]:
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self.buffer) > MAX_PART_HEADER_BYTES:
                raise MultipartError("a part's head too long")
            return
        text = bytes(self.buffer[2 : end + 2]).decode("utf-8", "replace")
        del self.buffer[: end + 2]  # keeps the last line end: it may start the delimiter after an empty part
        message: Message = HeaderParser().parsestr(text)
        name = message.get_param("name", header="content-disposition")
        filename = message.get_filename() or ""
        if message.get_content_disposition() != "form-data" or not isinstance(name, str):
            raise MultipartError("a part without a name")
        self.at_body_start = True
        self.state = self.part_body
        yield EventKind.PART, name, filename, b""

    def part_body(self) -> Iterator[tuple[EventKind, str, str, bytes]]:
        at = self.buffer.find(self.delimiter)
        if at >= 0:
            data = bytes(self.buffer[:at])
            del self.buffer[: at + len(self.delimiter)]
            self.state = self.after_delimiter
        else:
            safe = max(0, len(self.buffer) - len(self.delimiter) + 1)
            data = bytes(self.buffer[:safe])
            del self.buffer[:safe]
        if self.at_body_start and data:
            if not data.startswith(b"\r\n") and len(data) >= 2:
                raise MultipartError("a part's head that does not end")
            if len(data) < 2:
                self.buffer[:0] = data
                return
            data, self.at_body_start = data[2:], False
        if data:
            yield EventKind.DATA, "", "", data

    def epilogue(self) -> Iterator[tuple[EventKind, str, str, bytes]]:
        self.buffer.clear()
        return iter(())
