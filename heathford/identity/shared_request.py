"""One completion, listened to by any number of clients; no I/O. It is the sink that the core knows."""

from collections.abc import Callable, Mapping
from typing import Any

from heathford.core.protocols import ResponseWriter
from heathford.core.accepted_request import AcceptedRequest


class SharedRequest:
    """What came of a completion so far, and who listens. A late listener gets the text from the start.

    ended: called once it has its final answer, or was let go.
    """

    def __init__(self, ended: Callable[[], None] = lambda: None) -> None:
        self.request: AcceptedRequest | None = None
        self.name = ""  # as clients are told it, once it is taken
        self.final_fields: Mapping[str, Any] = {}  # how it ended, in plain values
        self.listeners: dict[ResponseWriter, None] = {}
        self.parts: list[str] = []
        self.final: Callable[[ResponseWriter], None] | None = None
        self.ended = ended
        self.was_rate_limited = self.was_finished = False  # how it ended: rate-limited, finished, or neither

    @property
    def over(self) -> bool:
        return self.final is not None

    def join(self, listener: ResponseWriter) -> None:
        if self.parts:
            listener.tokens("".join(self.parts))
        if self.final:
            self.final(listener)
        else:
            self.listeners[listener] = None

    def leave(self, listener: ResponseWriter) -> bool:
        """True where nobody listens any more."""
        self.listeners.pop(listener, None)
        return not self.listeners

    def abandon(self) -> None:
        """Ends it without an answer: nobody wants it."""
        if not self.over:
            if self.request:
                self.request.client_left()
            self.aborted("ended by its client")

    # heathford.core.protocols.ResponseWriter

    def client_connected(self) -> bool:
        return True

    def tokens(self, text: str) -> None:
        self.parts.append(text)
        for listener in list(self.listeners):
            listener.tokens(text)

    def finished(self, reason: str, usage: Mapping[str, Any]) -> None:
        self.was_finished = True
        self.final_fields = {"final": "finished", "reason": reason, "usage": usage}
        self.settle(lambda listener: listener.finished(reason, usage))

    def rate_limited(self, retry_after: float) -> None:
        self.was_rate_limited = True
        self.final_fields = {"final": "rate-limited"}
        self.settle(lambda listener: listener.rate_limited(retry_after))

    def aborted(self, why: str) -> None:
        self.final_fields = {"final": "aborted", "why": why}
        self.settle(lambda listener: listener.aborted(why))

    def settle(self, final: Callable[[ResponseWriter], None]) -> None:
        self.final = final
        listeners, self.listeners = self.listeners, {}
        try:
            for listener in listeners:
                final(listener)
        finally:
            self.ended()
