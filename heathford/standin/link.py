"""A link without engines: it prefills at once and answers with as many tokens as the request allows.

Tests and benchmarks use it for the parts of a front node between the clients and the core.
"""

import asyncio
from collections.abc import Mapping
from typing import Any

from heathford.core.protocols import Arrival, CallEvents, Endpoint, NoLivenessCheck, ReleaseEvents
from heathford.interface import Role, Outcome
from heathford.policy.transfer import TransferRates


class AnsweringLink(NoLivenessCheck):
    """An engine link whose attempts all succeed at once, and send nothing while `paused`.

    pace: time between tokens in s; 0 sends all at once.
    """

    may_read_late = False  # an attempt arrives at once, as its engine is in this process

    def __init__(self, pace: float = 0.0) -> None:
        self.pace = pace
        self.transfers = TransferRates()
        self.paused = False
        self.break_at_max_tokens = 0  # max_tokens of requests that break after the first token
        self.size, self.token = 1, "t"  # the text of a token is `token` repeated `size` times
        self.calls: list[AnsweringCall] = []  # those in flight, and with `keep` also those that ended
        self.keep = False
        self.sent = 0

    def send(
        self,
        endpoint: Endpoint,
        name: str,
        body: Mapping[str, Any],
        kv: Any,
        mark: str,
        timeout: float,
        events: CallEvents,
    ) -> "AnsweringCall":
        call = AnsweringCall(self, endpoint, body, events)
        self.calls.append(call)
        self.sent += 1
        asyncio.get_running_loop().call_soon(call.send_events)
        return call

    def release(self, endpoint: Endpoint, name: str, events: ReleaseEvents) -> None:
        asyncio.get_running_loop().call_soon(events.confirmed, endpoint.name)


class AnsweringCall:
    """One attempt over the link."""

    def __init__(self, link: AnsweringLink, endpoint: Endpoint, body: Any, events: CallEvents) -> None:
        self.link, self.endpoint, self.body, self.events = link, endpoint, body, events
        self.cancelled = False
        self.tokens_sent = 0

    def cancel(self) -> None:
        self.cancelled = True
        self.unregister()
        self.events.ended(Outcome.CANCELLED, 0, {}, {})

    def is_progressing(self) -> bool:
        """Return False: the attempt arrived at once, so no bytes are on the way."""
        return False

    def give_up_unless_arrived(self) -> Arrival:
        """Return that the attempt has arrived, as every attempt does at once."""
        return Arrival.CONFIRMED

    def withdraw(self) -> None:
        """Do nothing, as every attempt has begun already."""

    def unregister(self) -> None:
        if not self.link.keep:
            self.link.calls.remove(self)

    def send_events(self) -> None:
        """Pass on the next events of the attempt, unless it is cancelled or the link is paused."""
        if self.link.paused or self.cancelled:
            return
        if self.endpoint.role is Role.PREFILL:
            self.unregister()
            self.events.ended(Outcome.PREFILLED, 0, {}, {"kv": {"x": 1}})
            return
        if not self.tokens_sent:
            self.events.first_token()
        max_tokens = self.body["max_tokens"]
        if max_tokens == self.link.break_at_max_tokens:
            self.unregister()
            self.events.ended(Outcome.BROKEN, 0, {}, {})
            return
        while self.tokens_sent < max_tokens and not self.cancelled:
            self.tokens_sent += 1
            self.events.tokens(self.link.token * self.link.size)
            if self.link.pace and self.tokens_sent < max_tokens:
                asyncio.get_running_loop().call_later(self.link.pace, self.send_events)
                return
        if not self.cancelled:
            self.unregister()
            self.events.ended(
                Outcome.FINISHED, 0, {}, {"reason": "stop", "usage": {"completion_tokens": self.tokens_sent}}
            )
