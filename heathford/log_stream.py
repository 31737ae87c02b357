"""Write logs to standard error without ever blocking on its reader."""

import os
import select

LONGEST_LINE = 4_096  # bytes (PIPE_BUF): a pipe that polls as writable takes as many without blocking
STANDARD_ERROR = 2


class LossyStream:
    """A text stream that never blocks: lines that can't be written at once are dropped and counted.

    If the reader of the logs stops reading and its pipe is full, a blocking write would stall the event
    loop, and with it every client. The price is gaps in the logs and truncated long lines.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> int:
        """Write a line, truncated to LONGEST_LINE, or drop it; return the length of the text."""
        data = text.encode(errors="backslashreplace")
        if len(data) > LONGEST_LINE:
            data = data[: LONGEST_LINE - 1] + b"\n"
        try:
            if self.poll.poll(0):
                os.write(self.descriptor, data)
                return len(text)
        except OSError:
            pass  # the reader has closed the pipe
        self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: no text is buffered."""


LOG_STREAM = LossyStream(STANDARD_ERROR)
