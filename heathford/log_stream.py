"""Standard error for logs, written so that nobody who does not read it can stop the process."""

import os
import select

LONGEST_LINE = 4_096  # bytes: a pipe that polls as writable takes as many at once, unblocked (PIPE_BUF)
STANDARD_ERROR = 2


class LossyStream:
    """A text stream that never blocks. What can't be written at once is dropped, and counted.

    Guards against a reader of the logs that stops reading: once its pipe is full a write would block the
    event loop, and with it every client, until it reads again. Could harm by a gap in the logs, or a line cut
    short.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> int:
        """Write a line, or drop it."""
        data = text.encode(errors="backslashreplace")
        if len(data) > LONGEST_LINE:
            data = data[: LONGEST_LINE - 1] + b"\n"
        try:
            if self.poll.poll(0):
                os.write(self.descriptor, data)
                return len(text)
        except OSError:
            pass  # the reader has gone
        self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Nothing is buffered."""


LOG_STREAM = LossyStream(STANDARD_ERROR)
