"""multipart/form-data (RFC 7578) read from bytes as they come; no I/O, memory bounded by one chunk."""

from collections.abc import Iterator
from email.message import Message
from email.parser import HeaderParser
from enum import Enum

MOST_HEAD = 8 << 10  # bytes of a part's header lines


class MultipartError(Exception):
    """The body is not what its content type says."""


class What(Enum):
    PART = "part"  # a part begins: its name and file name
    DATA = "data"
    END = "end"  # of the whole


def boundary_of(content_type: str) -> bytes:
    """Raises MultipartError."""
    found = HeaderParser().parsestr(f"Content-Type: {content_type}\n\n")
    boundary = found.get_param("boundary")
    if (
        found.get_content_type() != "multipart/form-data"
        or not isinstance(boundary, str)
        or not (0 < len(boundary) <= 70 and boundary.isascii())
    ):
        raise MultipartError("content type: allowed is multipart/form-data with a boundary")
    return boundary.encode()


class Multipart:
    def __init__(self, boundary: bytes) -> None:
        self.mark = b"\r\n--" + boundary
        self.buffer = bytearray(b"\r\n")  # as if a line had ended: the first mark stands at the beginning
        self.state = self.preamble

    @property
    def over(self) -> bool:
        return self.state == self.epilogue

    def feed(self, data: bytes) -> Iterator[tuple[What, str, str, bytes]]:
        """What happens, in order; name and file name with PART, bytes with DATA. Raises MultipartError."""
        self.buffer += data
        while True:
            before = len(self.buffer), self.state
            yield from self.state()
            if (len(self.buffer), self.state) == before:
                return

    def preamble(self) -> Iterator[tuple[What, str, str, bytes]]:
        at = self.buffer.find(self.mark)
        if at >= 0:
            del self.buffer[: at + len(self.mark)]
            self.state = self.after_mark
        elif len(self.buffer) > MOST_HEAD:
            raise MultipartError("no part begins")
        return iter(())

    def after_mark(self) -> Iterator[tuple[What, str, str, bytes]]:
        if len(self.buffer) < 2:
            return
        if self.buffer[:2] == b"--":
            self.buffer.clear()
            self.state = self.epilogue
            yield What.END, "", "", b""
        elif self.buffer[:2] == b"\r\n":
            self.state = self.head
        else:
            raise MultipartError("a boundary that does not end its line")

    def head(self) -> Iterator[tuple[What, str, str, bytes]]:
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self.buffer) > MOST_HEAD:
                raise MultipartError("a part's head too long")
            return
        text = bytes(self.buffer[2 : end + 2]).decode("utf-8", "replace")
        del self.buffer[: end + 2]  # an empty part ends with the line end that ends its head
        found: Message = HeaderParser().parsestr(text)
        name = found.get_param("name", header="content-disposition")
        filename = found.get_filename() or ""
        if found.get_content_disposition() != "form-data" or not isinstance(name, str):
            raise MultipartError("a part without a name")
        self.first = True
        self.state = self.body
        yield What.PART, name, filename, b""

    def body(self) -> Iterator[tuple[What, str, str, bytes]]:
        at = self.buffer.find(self.mark)
        if at >= 0:
            data = bytes(self.buffer[:at])
            del self.buffer[: at + len(self.mark)]
            self.state = self.after_mark
        else:
            safe = max(0, len(self.buffer) - len(self.mark) + 1)
            data = bytes(self.buffer[:safe])
            del self.buffer[:safe]
        if self.first and data:
            if not data.startswith(b"\r\n") and len(data) >= 2:
                raise MultipartError("a part's head that does not end")
            if len(data) < 2:
                self.buffer[:0] = data
                return
            data, self.first = data[2:], False
        if data:
            yield What.DATA, "", "", data

    def epilogue(self) -> Iterator[tuple[What, str, str, bytes]]:
        self.buffer.clear()
        return iter(())
