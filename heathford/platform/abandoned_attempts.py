"""Decides when to repeat a release for attempts that were given up and may still hold state; no I/O.

An engine reads a release on another connection than the end of the attempt, and may read it first. A release
frees nothing that an attempt waits on, and nothing that a prefill leaves later: so it is repeated.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from heathford.core.protocols import Endpoint
from heathford.engines.pools import Address
from heathford.interface import Role
from heathford.policy.held_state import release_time

REPEAT_DELAYS = (0.1, 0.5, 1.0)  # s from each release to the next
# Repeats after a release that all engines of given-up attempts have answered: a prefill may finish after it,
# a decode attempt has ended by then, unless its engine is slow to read the end of its connection.
REPEATS_AFTER_PREFILL = len(REPEAT_DELAYS)
REPEATS_AFTER_DECODE = 1
MAX_FOLLOW_UP = 10.0  # s: the engine may be cut off for twice the silences that deployments have seen
# s after which attempts are forgotten for which no release was needed, as a later one has used the state
FORGET_AFTER = MAX_FOLLOW_UP + sum(REPEAT_DELAYS)


@dataclass
class AbandonedAttempts:
    """The attempts of one request that were given up, and the releases that have been confirmed since.

    since: s on the loop's clock when the last one was given up, or when the last attempt after it was sent.
    engines: of these attempts, by address. unheard: those that have answered no release since.
    repeats: how many follow once all engines have answered one. confirmed_releases: counted from that one, or
    else from `since`. Any engine confirms a release; only an answer of an attempt's own engine suggests that
    this engine has seen the connection close.
    """

    since: float
    engines: dict[Address, Endpoint] = field(default_factory=dict)
    unheard: dict[Address, Endpoint] = field(default_factory=dict)
    repeats: int = 0
    confirmed_releases: int = 0

    def add(self, engine: Endpoint, now: float) -> None:
        """Add an attempt that was given up, and follow all of them anew."""
        self.engines[engine.address, engine.port] = engine
        repeats = REPEATS_AFTER_PREFILL if engine.role is Role.PREFILL else REPEATS_AFTER_DECODE
        self.repeats = max(self.repeats, repeats)
        self.restart(now)

    def restart(self, now: float) -> None:
        """Follow all attempts anew: releases before now say nothing of what a further attempt has left."""
        self.since, self.confirmed_releases = now, 0
        self.unheard = dict(self.engines)

    def release_confirmed(self, answered: Iterable[Address]) -> None:
        """Record a confirmed release. answered: engines that answered it, or whose process is gone."""
        self.confirmed_releases += 1
        if not self.unheard:
            return
        for address in answered:
            self.unheard.pop(address, None)
        if not self.unheard:
            self.confirmed_releases = 1

    @property
    def engine_to_ask(self) -> Endpoint | None:
        """The engine that the next release goes to first, None where any one will do."""
        return next(iter(self.unheard.values()), None)

    def next_release_in(self, now: float, pin_limit: float) -> float | None:
        """Return the s until the next release, or None when no further one is needed.

        While an engine is silent, its attempt may keep or leave state at any time. So releases follow each
        other within `pin_limit` (s for which state may be held), less the time that one release may take.
        """
        if not self.unheard:
            return (
                REPEAT_DELAYS[self.confirmed_releases - 1]
                if self.confirmed_releases <= self.repeats
                else None
            )
        if now - self.since >= MAX_FOLLOW_UP:
            return None
        return min(
            REPEAT_DELAYS[min(self.confirmed_releases, len(REPEAT_DELAYS)) - 1],
            release_time(0.0, pin_limit),
        )


class AbandonedAttemptTable:
    """The given-up attempts of all requests, by the name of the request."""

    def __init__(self) -> None:
        self.by_name: dict[str, AbandonedAttempts] = {}  # the latest last

    def __len__(self) -> int:
        return len(self.by_name)

    def get(self, name: str) -> AbandonedAttempts | None:
        """Return the given-up attempts of a request."""
        return self.by_name.get(name)

    def add(self, name: str, engine: Endpoint, now: float) -> None:
        """Add an attempt of a request; forget requests of which nothing was heard for long."""
        attempts = self.by_name.pop(name, None) or AbandonedAttempts(now)
        attempts.add(engine, now)
        self.by_name[name] = attempts
        while now - next(iter(self.by_name.values())).since >= FORGET_AFTER:
            del self.by_name[next(iter(self.by_name))]

    def attempt_sent(self, name: str, now: float) -> None:
        """Note a further attempt of the request: what all may leave is released once it has ended."""
        attempts = self.by_name.pop(name, None)
        if attempts:
            attempts.restart(now)
            self.by_name[name] = attempts

    def forget(self, name: str) -> None:
        """Forget a request for which no further release is needed."""
        self.by_name.pop(name, None)
