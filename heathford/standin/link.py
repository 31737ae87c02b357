"""A link without engines: reads at once and answers as many tokens as asked for. For tests of what stands
before the core, and for measuring it alone."""

import asyncio
from collections.abc import Mapping
from typing import Any

from heathford.core.protocols import Arrival, CallEvents, Endpoint, NoLivenessCheck, ReleaseEvents
from heathford.interface import Role, Outcome
from heathford.policy.transfer import TransferRates


class AnsweringLink(NoLivenessCheck):
    """While `held` it says nothing. pace: s between tokens; 0: all at once."""

    may_read_late = False  # its engine is in this process

    def __init__(self, pace: float = 0.0) -> None:
        self.pace = pace
        self.transfers = TransferRates()
        self.paused = False
        self.breaks = 0  # a stream of so many tokens at the most breaks off at its first
        self.size, self.token = 1, "t"  # characters of a token
        self.calls: list[AnsweringCall] = []  # those that are out, and with `keep` those that were
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
        asyncio.get_running_loop().call_soon(call.go)
        return call

    def release(self, endpoint: Endpoint, name: str, events: ReleaseEvents) -> None:
        asyncio.get_running_loop().call_soon(events.confirmed, endpoint.name)


class AnsweringCall:
    def __init__(self, link: AnsweringLink, endpoint: Endpoint, body: Any, events: CallEvents) -> None:
        self.link, self.endpoint, self.body, self.events = link, endpoint, body, events
        self.cancelled = False
        self.tokens_sent = 0

    def cancel(self) -> None:
        self.cancelled = True
        self.done()
        self.events.ended(Outcome.CANCELLED, 0, {}, {})

    def is_progressing(self) -> bool:
        """What was sent has arrived, here."""
        return False

    def give_up_unless_arrived(self) -> Arrival:
        """What was sent has arrived, here."""
        return Arrival.CONFIRMED

    def withdraw(self) -> None:
        """What was sent here has begun."""

    def done(self) -> None:
        if not self.link.keep:
            self.link.calls.remove(self)

    def go(self) -> None:
        if self.link.paused or self.cancelled:
            return
        if self.endpoint.role is Role.PREFILL:
            self.done()
            self.events.ended(Outcome.PREFILLED, 0, {}, {"kv": {"x": 1}})
            return
        if not self.tokens_sent:
            self.events.first_token()
        most = self.body["max_tokens"]
        if most == self.link.breaks:
            self.done()
            self.events.ended(Outcome.BROKEN, 0, {}, {})
            return
        while self.tokens_sent < most and not self.cancelled:
            self.tokens_sent += 1
            self.events.tokens(self.link.token * self.link.size)
            if self.link.pace and self.tokens_sent < most:
                asyncio.get_running_loop().call_later(self.link.pace, self.go)
                return
        if not self.cancelled:
            self.done()
            self.events.ended(
                Outcome.FINISHED, 0, {}, {"reason": "stop", "usage": {"completion_tokens": self.tokens_sent}}
            )
