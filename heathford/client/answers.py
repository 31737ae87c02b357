"""Results and errors of a completion, the same for both protocols."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Finished:
    """A finished completion.

    completion: the front node's name for it; reason: the finish reason; usage: the token counts.
    """

    completion: str
    text: str
    reason: str
    usage: Mapping[str, Any]
    tries: int  # attempts that this client made


class CompletionError(Exception):
    """A completion that did not finish.

    text: the text received by then; tries: attempts that this client made.
    """

    def __init__(self, why: str, text: str = "", tries: int = 0) -> None:
        super().__init__(why)
        self.text, self.tries = text, tries


class RateLimited(CompletionError):  # noqa: N818 - the name of the final answer
    """The request was rate-limited, and repeating it is safe.

    retry_after: seconds to wait before the next attempt.
    """

    def __init__(self, why: str, retry_after: float, text: str = "", tries: int = 0) -> None:
        super().__init__(why, text, tries)
        self.retry_after = retry_after


class Aborted(CompletionError):  # noqa: N818
    """The request ended without an answer, and may have run."""


class BadRequest(CompletionError):  # noqa: N818
    """The request is invalid; repeating it gives the same error."""


class NoFront(CompletionError):  # noqa: N818
    """No front node could be reached in time; nothing was sent."""
