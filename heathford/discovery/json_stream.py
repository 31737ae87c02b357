"""Splits a watch's body into JSON objects and empty lines; no I/O.

The protocol promises one object a line, but objects may also come indented, over several lines.
"""

import re
from collections.abc import Iterator

from heathford.wire.http1 import MalformedMessageError

# A string can't hold a raw line break, so each line can be scanned on its own.
TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}]')


class JsonStream:
    """Yields the bytes of each whole object, and ``b""`` for each empty line between objects.

    longest: bytes that an object or a line may have.
    """

    def __init__(self, longest: int) -> None:
        self.longest = longest
        self.line = bytearray()  # what came of a line that has not ended
        self.lines: list[bytes] = []  # whole lines of an object that has not ended
        self.size = 0  # of these lines, bytes
        self.depth = 0  # of open braces in these lines

    @property
    def unfinished(self) -> bool:
        """Part of an object has come, and its end has not."""
        return bool(self.line or self.lines)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Raises MalformedMessageError where the bytes can't be split into objects."""
        first, *rest = data.split(b"\n")
        self.line += first
        for following in rest:
            line = bytes(self.line).strip()
            self.line = bytearray(following)
            found = self.add(line)
            if found is not None:
                yield found
        if len(self.line) + self.size > self.longest:
            raise MalformedMessageError("an object too long")

    def add(self, line: bytes) -> bytes | None:
        """Take one whole line; return the object that it ends, if it does."""
        if not line:
            if self.lines:
                raise MalformedMessageError("an empty line inside an object")
            return b""
        if not self.lines and not line.startswith(b"{"):
            raise MalformedMessageError("a line that begins no object")
        self.lines.append(line)
        self.size += len(line)
        for token in TOKENS.finditer(line):
            if token[0] == b"{":
                self.depth += 1
            elif token[0] == b"}":
                self.depth -= 1
        if self.depth > 0:
            return None
        whole = b"".join(self.lines)
        self.lines, self.size, self.depth = [], 0, 0
        return whole
