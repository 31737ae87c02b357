"""Interfaces that the core needs: a response writer for each request, a link to engines, an event loop."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Any, Protocol

from heathford.interface import Role, Outcome
from heathford.policy.transfer import TransferRates


class ResponseWriter(Protocol):
    """Passes a request's tokens and its final answer on to the client.

    The core calls exactly one of `finished`, `rate_limited` and `aborted`, once.
    """

    def client_connected(self) -> bool:
        """Return whether the client is still connected, as far as this machine knows.

        Called right before an attempt is sent. Where it returns False, `AcceptedRequest.client_left` has been
        called too.
        """

    def tokens(self, part: Any) -> None:
        """Pass on what the link received, unchanged: text, or events as bytes."""

    def finished(self, reason: str, usage: Mapping[str, Any]) -> None: ...

    def rate_limited(self, retry_after: float) -> None:
        """Answer that a retry does no harm; retry_after: s."""

    def aborted(self, why: str) -> None:
        """Answer that the request failed; it may have run."""


@dataclass(eq=False)
class Endpoint:
    """An engine as the endpoint list names it; a new process under the same name is the same endpoint."""

    number: int
    name: str
    role: Role
    address: str
    port: int


class LinkCall(Protocol):
    """One attempt that a link carries."""

    def cancel(self) -> None:
        """End the attempt with CANCELLED, unless it has ended."""

    def withdraw(self) -> None:
        """End the attempt with UNSENT, unless a part of it may have been sent or it has ended."""

    def is_progressing(self) -> bool:
        """Return whether its bytes are being sent and some have been taken lately, as this machine knows."""

    def give_up_unless_arrived(self) -> "Arrival":
        """End the attempt if it has not arrived, and return how far it has come.

        It ends with UNREACHABLE, or UNSENT where its bytes are merely sent slowly, if its last byte has not
        been handed to this machine's kernel, and with UNARRIVED if the kernel has the byte but the far
        machine has not acknowledged it.
        """


class Arrival(Enum):
    """How far an attempt has come, as far as this machine knows."""

    UNSENT = "its last byte has not left this process"
    UNCONFIRMED = "its last byte may have left, and the far machine has not confirmed it"
    CONFIRMED = "the far machine has confirmed it: whether its engine has read it is not known"
    ANSWERED = "its engine has answered"


class ReleaseEvents(Protocol):
    """What a link reports on one release; engines are given by name or address."""

    def requested(self, engine: str) -> None:
        """Report that an engine is being asked for the release."""

    def not_confirmed(self, engine: str, status: int) -> None:
        """Report that an engine did not confirm it; status: HTTP status of the answer, 0 if none came."""

    def confirmed(self, engine: str) -> None:
        """Report that an engine has confirmed the release. This or `failed` is the last report."""

    def failed(self) -> None:
        """Report that no engine has confirmed the release in time."""


class CallEvents(Protocol):
    """What a link reports on one attempt: any number of tokens, then `ended` once, and nothing after it."""

    def may_send(self) -> bool:
        """Return, right before the first byte is sent, whether the attempt may be sent.

        If not, the link ends it with UNSENT, unless it has ended meanwhile.
        """

    def answer_begun(self) -> None:
        """Report that a prefill engine's answer has begun: it may hold the state from now on."""

    def first_token(self) -> None: ...

    def tokens(self, part: Any) -> None: ...

    def ended(
        self, outcome: Outcome, detail: int, load: Mapping[str, float], answer: Mapping[str, Any]
    ) -> None:
        """Report the end of the attempt; outcome, detail and load as in `heathford.interface`.

        answer: `reason` and `usage` of a finished attempt, `kv` (the KV transfer parameters) of a prefill.
        """


class Link(Protocol):
    """Carries attempts to engines.

    may_read_late: whether an engine may still read an attempt, which its machine received before, long after
    this process has given it up or closed the connection. Where it may, a retry could run after the engines
    have forgotten its idempotency key. transfers: rates of long sends.
    """

    may_read_late: bool
    transfers: TransferRates

    def send(
        self,
        endpoint: Endpoint,
        name: str,
        body: Any,
        kv_transfer_params: Mapping[str, Any] | None,
        idempotency_key: str,
        timeout: float,
        events: CallEvents,
    ) -> LinkCall:
        """Start one attempt; no event is reported before this method has returned.

        name: the id by which the engine knows the attempt, and by which a release names its state. body: the
        request, which the core passes through between front end and link. kv_transfer_params: where a decode
        engine fetches the prefill state, or None. idempotency_key: empty if there is none. timeout: s.
        """

    def release(self, endpoint: Endpoint, name: str, events: ReleaseEvents) -> None:
        """Release the state that the prefill attempt `name` left, or may have left, at a prefill engine.

        Where attempts share a name, the link queues those sent during the release, and starts them when it
        has ended, confirmed or not. No event is reported before this method has returned.
        """

    def last_received_at(self, endpoint: Endpoint) -> float:
        """Return when bytes last came from that engine, in s on the loop's clock; -inf if never.

        Counts all connections.
        """

    def check_liveness(
        self, endpoint: Endpoint, name: str, within: float, on_result: Callable[[bool], None]
    ) -> None:
        """Check whether an engine answers anything within that many s.

        Done by a release of what is held for `name`, which is being released in any case. Where the protocol
        has no liveness check every engine counts as alive. on_result is not called before this method has
        returned.
        """


class NoLivenessCheck:
    """The liveness part of a `Link` whose protocol has no liveness check: every engine counts as alive."""

    def last_received_at(self, endpoint: Endpoint) -> float:
        """Return -inf: not recorded."""
        return -inf

    def check_liveness(
        self, endpoint: Endpoint, name: str, within: float, on_result: Callable[[bool], None]
    ) -> None:
        """Report the engine as alive."""
        asyncio.get_running_loop().call_soon(on_result, True)


class Cancellable(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None: ...


class Loop(Protocol):
    """The part of an event loop that the core uses; tests bring a loop with a simulated clock."""

    def time(self) -> float: ...

    def call_soon(self, call: Callable[[], None]) -> Any: ...

    def call_at(self, when: float, call: Callable[[], None]) -> Cancellable: ...
