"""A slow discovery service is still followed, and a list is applied in time after an outage."""

import asyncio

import pytest

from heathford.discovery.client import DiscoveryClient
from heathford.discovery.follower import ListChange
from heathford.fleet.endpoint_list import EndpointList
from heathford.interface import Role
from heathford.standin.platform import DiscoveryAgent, ScriptedEngine
from heathford.wire.requests import Request

LIST_DEADLINE = 6.0  # s within which a list has to be applied, whichever call failed
DRAIN_GRACE = 0.25  # s: the shortest drain grace known


class SlowAgent(DiscoveryAgent):
    """Starts each answer `delay` seconds after its request."""

    delay = 0.0  # s
    calls = 0

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        await asyncio.sleep(self.delay)
        await super().answer(request, writer)


async def start_client(agent: SlowAgent, changes: list[ListChange]) -> DiscoveryClient:
    host, _, port = (await agent.open()).rpartition(":")
    client = DiscoveryClient(host, int(port), EndpointList({"m0": (0, Role.PREFILL)}, ["a"]), changes.append)
    client.start()
    return client


def prefill_engine() -> ScriptedEngine:
    engine = ScriptedEngine("r", "m0", True)
    engine.address = "127.0.0.1:9"
    return engine


@pytest.mark.parametrize("delay", [0.11, 0.13, 0.2, 0.5, 1.0])
def test_the_list_of_a_slow_agent_is_applied(delay: float) -> None:
    async def scenario() -> None:
        agent = SlowAgent(prefill_engine())
        agent.delay = delay
        changes: list[ListChange] = []
        client = await start_client(agent, changes)
        assert await client.wait_for_first_list(LIST_DEADLINE)
        assert len(changes) == 1 and changes[0].complete
        client.stop()
        agent.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("delay, timeout", [(0.0, DRAIN_GRACE), (0.5, LIST_DEADLINE), (2.0, LIST_DEADLINE)])
def test_after_an_outage_the_list_is_applied_in_time(delay: float, timeout: float) -> None:
    """Calls made while discovery was down are never answered."""

    async def scenario() -> None:
        agent = SlowAgent(prefill_engine())
        agent.silent = True
        changes: list[ListChange] = []
        client = await start_client(agent, changes)
        await asyncio.sleep(1.0)
        agent.delay, agent.silent = delay, False
        assert await client.wait_for_first_list(timeout)
        assert len(client.protocols) == 1
        client.stop()
        assert not client.protocols
        agent.close()

    asyncio.run(scenario())
