"""Split the body of a watch into JSON objects and empty lines; no I/O.

A watch is a long response with the changes of the endpoint list. The protocol specifies one object a line,
but indented objects that span several lines are accepted too.
"""

import re
from collections.abc import Iterator

from heathford.wire.http1 import MalformedMessageError

# A string can't hold a raw line break, so each line can be scanned on its own.
TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}]')


class JsonStream:
    """Yields the bytes of each complete object, and ``b""`` for each empty line between objects.

    Objects are found by their braces and not validated.

    max_bytes: the size limit of an object and of a line.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.line = bytearray()  # the start of a line that has not ended
        self.lines: list[bytes] = []  # the complete lines of an object that has not ended
        self.size = 0  # bytes in these lines
        self.depth = 0  # number of open braces in these lines

    @property
    def unfinished(self) -> bool:
        """Whether part of a line or an object has arrived, and its end has not."""
        return bool(self.line or self.lines)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the objects and empty lines that end in that data. Raises MalformedMessageError."""
        first, *rest = data.split(b"\n")
        self.line += first
        for next_start in rest:
            line = bytes(self.line).strip()
            self.line = bytearray(next_start)
            result = self.add_line(line)
            if result is not None:
                yield result
        if len(self.line) + self.size > self.max_bytes:
            raise MalformedMessageError("an object is longer than the limit")

    def add_line(self, line: bytes) -> bytes | None:
        """Add one complete line.

        Returns the object that ends with it, ``b""`` for an empty line between objects, or None.
        """
        if not line:
            if self.lines:
                raise MalformedMessageError("an empty line inside an object")
            return b""
        if not self.lines and not line.startswith(b"{"):
            raise MalformedMessageError("an object must begin with {")
        self.lines.append(line)
        self.size += len(line)
        for token in TOKENS.finditer(line):
            if token[0] == b"{":
                self.depth += 1
            elif token[0] == b"}":
                self.depth -= 1
        if self.depth > 0:
            return None
        document = b"".join(self.lines)
        self.lines, self.size, self.depth = [], 0, 0
        return document
