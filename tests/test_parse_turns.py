"""Connections with a backlog are parsed in turn, a bounded amount in each turn of the event loop."""

import asyncio

from heathford.platform.parse_turns import STEPS_PER_CONNECTION, STEPS_PER_TURN, ParseTurns


class CountedParser:
    """A parser with so many steps left; `turns`: the steps that it was given."""

    def __init__(self, steps: int) -> None:
        self.steps_left = steps
        self.turns: list[int] = []

    @property
    def has_unparsed(self) -> bool:
        return self.steps_left > 0

    def parse_more(self, max_steps: int) -> int:
        steps = min(max_steps, self.steps_left)
        self.steps_left -= steps
        self.turns.append(steps)
        return steps


def test_a_turn_has_a_bound_and_each_connection_its_share() -> None:
    """However many clients send, and however much, others wait for one short turn."""

    async def scenario() -> None:
        turns = ParseTurns(asyncio.get_running_loop())
        parsers = [CountedParser(10 * STEPS_PER_CONNECTION + 1) for _ in range(100)]
        for parser in parsers:
            turns.add(parser)
        done = 0
        while turns.waiting:
            await asyncio.sleep(0)
            total = sum(sum(parser.turns) for parser in parsers)
            assert total - done <= STEPS_PER_TURN + STEPS_PER_CONNECTION
            done = total
            counts = [len(parser.turns) for parser in parsers]
            assert max(counts) - min(counts) <= 1
        assert not any(parser.steps_left for parser in parsers)
        turns.add(CountedParser(1))
        await asyncio.sleep(0)
        assert not turns.waiting

    asyncio.run(scenario())


def test_connections_that_were_closed_meanwhile_do_not_hold_a_turn_up() -> None:
    async def scenario() -> None:
        turns = ParseTurns(asyncio.get_running_loop())
        for _ in range(100_000):
            turns.add(CountedParser(0))
        await asyncio.sleep(0)
        assert 100_000 - len(turns.waiting) == STEPS_PER_TURN

    asyncio.run(scenario())
