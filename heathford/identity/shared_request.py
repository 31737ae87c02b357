"""A request whose answer goes to any number of clients; no I/O."""

from collections.abc import Callable, Mapping
from typing import Any

from heathford.core.protocols import ResponseWriter
from heathford.core.accepted_request import AcceptedRequest


class SharedRequest:
    """Keeps the answer to a request so far, and passes it on to any number of response writers.

    It is itself the response writer that the core knows. A writer that joins late gets the text from the
    start.

    ended: called once the request has its final answer or has been abandoned.
    """

    def __init__(self, ended: Callable[[], None] = lambda: None) -> None:
        self.request: AcceptedRequest | None = None
        self.name = ""  # the request's name as clients see it; empty until the request is accepted
        self.final_fields: Mapping[str, Any] = {}  # the final answer as JSON fields
        self.writers: dict[ResponseWriter, None] = {}
        self.parts: list[str] = []  # of the text
        self.send_final: Callable[[ResponseWriter], None] | None = None
        self.ended = ended
        self.was_rate_limited = self.was_finished = False  # both are false after an abort

    @property
    def over(self) -> bool:
        """Whether it has its final answer or was abandoned."""
        return self.send_final is not None

    def join(self, writer: ResponseWriter) -> None:
        """Add a response writer: it gets the text so far, and what follows or the final answer."""
        if self.parts:
            writer.tokens("".join(self.parts))
        if self.send_final:
            self.send_final(writer)
        else:
            self.writers[writer] = None

    def leave(self, writer: ResponseWriter) -> bool:
        """Remove a response writer; return whether none is left."""
        self.writers.pop(writer, None)
        return not self.writers

    def abandon(self) -> None:
        """End the request because no client wants its answer any more."""
        if not self.over:
            if self.request:
                self.request.client_left()
            self.aborted("ended by its client")

    # ResponseWriter, called by the core.

    def client_connected(self) -> bool:
        return True

    def tokens(self, text: str) -> None:
        self.parts.append(text)
        for writer in list(self.writers):
            writer.tokens(text)

    def finished(self, reason: str, usage: Mapping[str, Any]) -> None:
        self.was_finished = True
        self.final_fields = {"final": "finished", "reason": reason, "usage": usage}
        self.end(lambda writer: writer.finished(reason, usage))

    def rate_limited(self, retry_after: float) -> None:
        self.was_rate_limited = True
        self.final_fields = {"final": "rate-limited"}
        self.end(lambda writer: writer.rate_limited(retry_after))

    def aborted(self, why: str) -> None:
        self.final_fields = {"final": "aborted", "why": why}
        self.end(lambda writer: writer.aborted(why))

    def end(self, send_final: Callable[[ResponseWriter], None]) -> None:
        """Give the final answer to each response writer."""
        self.send_final = send_final
        writers, self.writers = self.writers, {}
        try:
            for writer in writers:
                send_final(writer)
        finally:
            self.ended()
