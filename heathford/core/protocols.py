"""What the core needs of those beside it: a sink for each completion, a link to engines, a loop for time."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Any, Protocol

from heathford.interface import Role, Outcome
from heathford.policy.transfer import TransferRates


class ResponseWriter(Protocol):
    """Where a completion's tokens and its one final answer go; the core calls one of the last three, once."""

    def client_connected(self) -> bool:
        """Whether the client is still there, as far as this machine knows by now; asked right before an
        attempt begins. False has been told to the core by `leave` as well."""

    def tokens(self, part: Any) -> None:
        """As the link tells them, untouched: text, or events as bytes."""

    def finished(self, reason: str, usage: Mapping[str, Any]) -> None: ...

    def rate_limited(self, retry_after: float) -> None:
        """A new try does harm to nothing; retry_after in s."""

    def aborted(self, why: str) -> None:
        """No promise about what has run."""


@dataclass(eq=False)
class Endpoint:
    """An engine as the list names it. A new process under the same name is the same endpoint."""

    number: int
    name: str
    role: Role
    address: str
    port: int


class Call(Protocol):
    """One dispatch that is out."""

    def cancel(self) -> None:
        """Ends it with CANCELLED, unless it has ended."""

    def withdraw(self) -> None:
        """Ends it with UNSENT, unless something of it may have left or it has ended."""

    def is_progressing(self) -> bool:
        """Whether its bytes are on their way and have moved of late, as far as this machine knows."""

    def give_up_unless_arrived(self) -> "Arrival":
        """Ends it with UNREACHABLE where its last byte has not been handed to this machine's kernel, with
        UNARRIVED where the kernel has had it and the far machine has not confirmed it; unless it has ended.
        Tells what was found."""


class Arrival(Enum):
    """How far a dispatch has come, as far as this machine knows."""

    UNSENT = "its last byte has not left this process"
    UNCONFIRMED = "its last byte may have left, and the far machine has not confirmed it"
    CONFIRMED = "the far machine has confirmed it: whether its engine has read it is not known"
    ANSWERED = "its engine has answered"


class ReleaseEvents(Protocol):
    """What a link tells of one release, of each engine by its name or address."""

    def requested(self, engine: str) -> None:
        """The release is on its way to an engine."""

    def not_confirmed(self, engine: str, status: int) -> None:
        """An engine did not confirm it; status: of its answer, 0 where there was none."""

    def confirmed(self, engine: str) -> None:
        """An engine has confirmed it. The last that is told, as `failed` is."""

    def failed(self) -> None:
        """No engine has confirmed it in its time."""


class CallEvents(Protocol):
    """What a link tells of one dispatch: any number of tokens, then ended, once, and nothing after it."""

    def may_send(self) -> bool:
        """Asked right before the first byte leaves: whether the attempt is to begin. If not, the link ends it
        as UNSENT, unless that has happened meanwhile."""

    def answer_begun(self) -> None:
        """Part of a reader's answer has come: it may hold the state from now on."""

    def first_token(self) -> None: ...

    def tokens(self, part: Any) -> None: ...

    def ended(
        self, verdict: Outcome, detail: int, load: Mapping[str, float], answer: Mapping[str, Any]
    ) -> None:
        """Detail as in the interface; answer: `reason` and `usage` of a finished one, `kv` of a read one."""


class Link(Protocol):
    """Carries attempts to engines.

    late_reads: whether an engine may read an attempt long after it was sent, or was given up here. Where it
    may, a repeat could run after the time for which its key is known. transfers: what is known of long sends.
    """

    may_read_late: bool
    transfers: TransferRates

    def send(
        self,
        endpoint: Endpoint,
        name: str,
        body: Any,
        kv: Mapping[str, Any] | None,
        mark: str,
        timeout: float,
        events: CallEvents,
    ) -> Call:
        """Starts one dispatch, called `name` to the engine; `body`: what is asked, untouched by the core, as
        the front and this link know it; `kv`: the read state that a writer takes up;
        `mark`: by which a tokened repeat is known, or empty. Tells of nothing before it has returned."""

    def release(self, endpoint: Endpoint, name: str, events: ReleaseEvents) -> None:
        """Lets go of the state that the dispatch `name` left, or may have left, at a reader. Where several
        are called by one name, what is sent under it afterwards starts once this is through. Tells of nothing
        before it has returned."""

    def last_received_at(self, endpoint: Endpoint) -> float:
        """When anything came from that engine last, on any connection: s on the loop's clock, else -inf."""

    def check_liveness(
        self, endpoint: Endpoint, name: str, within: float, told: Callable[[bool], None]
    ) -> None:
        """Tells whether an engine answers anything within that many s; asked by a release of what is held for
        `name`, which is being released in any case. Where a protocol has no such call the engine counts as
        alive. Tells nothing before it has returned."""


class NoLivenessCheck:
    """The part of a `Link` whose protocol has nothing to ask an engine for life with."""

    def last_received_at(self, endpoint: Endpoint) -> float:
        """Not followed."""
        return -inf

    def check_liveness(
        self, endpoint: Endpoint, name: str, within: float, told: Callable[[bool], None]
    ) -> None:
        """Whoever is asked lives."""
        asyncio.get_running_loop().call_soon(told, True)


class Cancellable(Protocol):
    def cancel(self) -> None: ...


class Loop(Protocol):
    """The part of an event loop that the core uses; a test's own loop has it too."""

    def time(self) -> float: ...

    def call_soon(self, call: Callable[[], None]) -> Any: ...

    def call_at(self, when: float, call: Callable[[], None]) -> Cancellable: ...
