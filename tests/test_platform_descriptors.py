"""A front node that runs out of descriptors, as a process with a descriptor limit of its own."""

import asyncio
from pathlib import Path

import pytest
from test_platform import ALL, NodeProcess, run_scenario, prefill, decode

from heathford.platform.process import RESERVED_DESCRIPTORS, Descriptors

SOCKETS = 128
IDLE_CLIENTS = 400  # far more than the process has descriptors
MAX_CPU_SECONDS = 0.5  # in one second: a loop that spins would use all of it


def processor_time(node: NodeProcess) -> float:
    assert node.process
    fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100  # clock ticks of 10 ms


def descriptors(node: NodeProcess) -> int:
    assert node.process
    return len(list(Path(f"/proc/{node.process.pid}/fd").iterdir()))


@pytest.mark.parametrize("limit", [64, 128, 256, 512, 1024, 65536])
def test_descriptor_shares_leave_a_reserve(limit: int) -> None:
    shares = Descriptors.share(limit)
    assert shares.clients > limit / 3 and shares.engines > limit / 4
    assert limit - shares.clients - shares.engines >= min(RESERVED_DESCRIPTORS, limit // 3)


def test_discovery_is_followed_again_while_idle_clients_fill_the_limit(tmp_path: Path) -> None:
    """Discovery goes down, idle clients fill the descriptors, and discovery returns with a drain."""
    prefill_engine, decode_engine, other_engine = prefill(), decode("hold"), decode(uid="w2")
    other_engine.state = "DRAINING"

    async def scenario(node: NodeProcess) -> None:
        waiting = asyncio.create_task(node.request("c0"))
        await decode_engine.wait_for_requests(1)
        port = int(node.agent.address.rpartition(":")[2])
        node.agent.close()
        node.agent.watchers.clear()
        await asyncio.gather(*(node.client() for _ in range(IDLE_CLIENTS)))
        await asyncio.sleep(0.3)
        cpu_before = processor_time(node)
        await asyncio.sleep(1.0)
        assert processor_time(node) - cpu_before < MAX_CPU_SECONDS
        assert descriptors(node) <= SOCKETS
        decode_engine.state, other_engine.state = "DRAINING", "SERVING"
        node.agent.version += 1
        await node.agent.open(port)
        await node.agent.wait_for_watchers()
        decode_engine.resume.set()
        assert await waiting == (200, ALL, True)
        # On a new connection, although the limit is reached.
        assert await node.request("c1") == (200, ALL, True)
        assert ("POST", "c1") in other_engine.received_requests and (
            "POST",
            "c1",
        ) not in decode_engine.received_requests

    run_scenario(
        tmp_path, [prefill_engine, decode_engine, other_engine], scenario, sockets=SOCKETS, limited=True
    )


def test_connection_with_an_open_request_is_not_evicted(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill(), decode("hold", "hold", "hold")

    async def scenario(node: NodeProcess) -> None:
        waiting = [asyncio.create_task(node.request(f"c{n}")) for n in range(3)]
        await decode_engine.wait_for_requests(3)
        for _ in range(3):
            await asyncio.gather(*(node.client() for _ in range(IDLE_CLIENTS // 3)))
        decode_engine.resume.set()
        assert await asyncio.gather(*waiting) == 3 * [(200, ALL, True)]

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario, sockets=SOCKETS, limited=True)
