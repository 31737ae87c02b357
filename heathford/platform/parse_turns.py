"""Lets connections parse what they have received in turn, so that no turn of the event loop is long."""

import asyncio
from collections import deque
from typing import Protocol

# Steps of the parsers of all connections together in one turn of the event loop: some milliseconds.
STEPS_PER_TURN = 2_048
STEPS_PER_CONNECTION = 256  # before the next connection has its turn


class Parser(Protocol):
    """A connection that may have received more than it has parsed."""

    @property
    def has_unparsed(self) -> bool: ...

    def parse_more(self, max_steps: int) -> int:
        """Parse in about so many steps, and return the steps taken."""


class ParseTurns:
    """A queue of connections with a backlog."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[Parser] = deque()

    def add(self, parser: Parser) -> None:
        """Have the connection parse in later turns of the loop; it must not be waiting already."""
        if not self.waiting:
            self.loop.call_soon(self.run)
        self.waiting.append(parser)

    def run(self) -> None:
        """Have connections parse, one after another, until the steps of this turn are used up."""
        steps = 0
        while self.waiting and steps < STEPS_PER_TURN:
            parser = self.waiting.popleft()
            steps += max(1, parser.parse_more(STEPS_PER_CONNECTION))
            if parser.has_unparsed:
                self.waiting.append(parser)
        if self.waiting:
            self.loop.call_soon(self.run)
