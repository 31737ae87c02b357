"""Discovery that is slow to answer is heard, and a drain after an outage is still noticed at once."""

import asyncio

import pytest

from heathford.discovery.client import DiscoveryClient
from heathford.discovery.follower import ListChange
from heathford.fleet.endpoint_list import EndpointList
from heathford.interface import Role
from heathford.standin.platform import Agent, ScriptedEngine
from heathford.wire.requests import Request

WITHIN = 6.0  # s after which a change counts, whatever call failed
GRACE = 0.25  # s: the shortest drain grace known


class SlowAgent(Agent):
    """Every answer begins that many seconds after it was asked for."""

    delay = 0.0
    calls = 0

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        await asyncio.sleep(self.delay)
        await super().answer(request, writer)


async def followed(agent: SlowAgent, changes: list[ListChange]) -> DiscoveryClient:
    host, _, port = (await agent.open()).rpartition(":")
    client = DiscoveryClient(host, int(port), EndpointList({"m0": (0, Role.PREFILL)}, ["a"]), changes.append)
    client.start()
    return client


def engine() -> ScriptedEngine:
    made = ScriptedEngine("r", "m0", True)
    made.address = "127.0.0.1:9"
    return made


@pytest.mark.parametrize("delay", [0.11, 0.13, 0.2, 0.5, 1.0])
def test_a_slow_agent_is_heard(delay: float) -> None:
    async def day() -> None:
        agent = SlowAgent(engine())
        agent.delay = delay
        changes: list[ListChange] = []
        client = await followed(agent, changes)
        assert await client.wait_for_first_list(WITHIN)
        assert len(changes) == 1 and changes[0].complete
        client.stop()
        agent.close()

    asyncio.run(day())


@pytest.mark.parametrize("delay, within", [(0.0, GRACE), (0.5, WITHIN), (2.0, WITHIN)])
def test_after_an_outage_the_list_is_there_in_time(delay: float, within: float) -> None:
    """What was asked while discovery was down is never answered."""

    async def day() -> None:
        agent = SlowAgent(engine())
        agent.silent = True
        changes: list[ListChange] = []
        client = await followed(agent, changes)
        await asyncio.sleep(1.0)
        agent.delay, agent.silent = delay, False
        assert await client.wait_for_first_list(within)
        assert len(client.protocols) == 1
        client.stop()
        assert not client.protocols
        agent.close()

    asyncio.run(day())
