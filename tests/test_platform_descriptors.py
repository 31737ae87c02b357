"""A front node whose descriptors run out, as a process with a limit of its own."""

import asyncio
from pathlib import Path

import pytest
from test_platform import ALL, NodeProcess, run_scenario, prefill, decode

from heathford.platform.process import RESERVED_DESCRIPTORS, Descriptors

SOCKETS = 128
IDLE_CLIENTS = 400  # far more than there are descriptors
TURNING_AWAY = 0.5  # s of processor time in a second: a loop that spins takes all of it


def processor_time(node: NodeProcess) -> float:
    assert node.process
    fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100  # in ticks of 10 ms


def descriptors(node: NodeProcess) -> int:
    assert node.process
    return len(list(Path(f"/proc/{node.process.pid}/fd").iterdir()))


@pytest.mark.parametrize("limit", [64, 128, 256, 512, 1024, 65536])
def test_clients_and_engines_leave_room_for_the_rest(limit: int) -> None:
    shares = Descriptors.share(limit)
    assert shares.clients > limit / 3 and shares.engines > limit / 4
    assert limit - shares.clients - shares.engines >= min(RESERVED_DESCRIPTORS, limit // 3)


def test_discovery_is_followed_again_though_idle_clients_hold_all_they_can(tmp_path: Path) -> None:
    """Discovery goes down, idle clients fill the descriptors, discovery returns with news."""
    prefill_engine, decode_engine, other = prefill(), decode("hold"), decode(uid="w2")
    other.state = "DRAINING"

    async def scenario(node: NodeProcess) -> None:
        waiting = asyncio.create_task(node.request("c0"))
        await decode_engine.until(1)
        port = int(node.agent.address.rpartition(":")[2])
        node.agent.close()
        node.agent.watching.clear()
        await asyncio.gather(*(node.client() for _ in range(IDLE_CLIENTS)))
        await asyncio.sleep(0.3)
        spent = processor_time(node)
        await asyncio.sleep(1.0)
        assert processor_time(node) - spent < TURNING_AWAY
        assert descriptors(node) <= SOCKETS
        decode_engine.state, other.state = "DRAINING", "SERVING"
        node.agent.version += 1
        await node.agent.open(port)
        await node.agent.until_watched()
        decode_engine.held.set()
        assert await waiting == (200, ALL, True)
        assert await node.request("c1") == (200, ALL, True)  # on a new connection, though all are taken
        assert ("POST", "c1") in other.asked and ("POST", "c1") not in decode_engine.asked

    run_scenario(tmp_path, [prefill_engine, decode_engine, other], scenario, sockets=SOCKETS, limited=True)


def test_an_open_request_is_not_turned_out_for_new_clients(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill(), decode("hold", "hold", "hold")

    async def scenario(node: NodeProcess) -> None:
        waiting = [asyncio.create_task(node.request(f"c{n}")) for n in range(3)]
        await decode_engine.until(3)
        for _ in range(3):
            await asyncio.gather(*(node.client() for _ in range(IDLE_CLIENTS // 3)))
        decode_engine.held.set()
        assert await asyncio.gather(*waiting) == 3 * [(200, ALL, True)]

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario, sockets=SOCKETS, limited=True)
