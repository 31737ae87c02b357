"""Log lines that tell why an engine in slow start was sent an attempt."""

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
from conftest import CoreHarness
from node_processes import PLATFORM_COMMAND, node_process, wait_for_log
from structlog.testing import capture_logs

from heathford.standin.platform import DiscoveryAgent, ScriptedEngine


def test_an_attempt_at_a_cold_engine_is_logged_with_what_let_it_in(
    core_harness: Callable[..., CoreHarness],
) -> None:
    """Guards against sends to a cold engine that nobody can account for afterwards."""
    harness = core_harness()
    harness.engines((1, 0), (2, 1))
    harness.engines((3, 1), started=harness.loop.now)
    with capture_logs() as lines:
        for _ in range(19):  # until it is warm
            harness.submit()
            harness.complete_prefill()
            assert harness.link.attempts[-1].events.may_send()
            harness.link.attempts[-1].events.first_token()
            harness.loop.pass_time(0.5)
    logged = [line for line in lines if line["event"] == "cold engine used"]
    sent = [attempt for attempt in harness.link.attempts if attempt.engine == "e3"]
    assert logged and len(logged) == len(sent) == harness.core.router.slow_start.attempts_sent
    for line in logged:
        assert line["engine"] == "e3" and 0.0 <= line["age"] < 10.0 and 0.0 < line["share"] <= 1.0
        assert line["attempt"] == 1 and line["own_in_window"] >= 1 and line["waited"] == 0.0


def test_a_front_node_logs_each_change_of_its_endpoint_list(tmp_path: Path) -> None:
    """Guards against a timeline without the moment at which a front node learned of a start or an end."""

    async def next_list_line(process: asyncio.subprocess.Process) -> dict[str, Any]:
        return dict(orjson.loads(await wait_for_log(process, b"endpoint list")))

    async def scenario() -> None:
        cold, warm = (ScriptedEngine(uid, "m0", True) for uid in ("s-00000001", "s-00000002"))
        cold.boot_ms = int(1000 * (time.time() + 2.0))  # the list takes some time
        agent = DiscoveryAgent(cold, warm)
        await asyncio.gather(cold.open(), warm.open())
        async with node_process(tmp_path, *PLATFORM_COMMAND, agent=agent) as process:
            first = await next_list_line(process)
            assert first["complete"] and first["entries"] == 2 and not first["leaving"]
            assert list(first["cold"]) == [cold.uid] and 0.0 <= first["cold"][cold.uid] < 1.0
            await agent.wait_for_watchers()
            warm.state = "DRAINING"
            agent.send_change(warm.row)
            while not (change := await next_list_line(process))["leaving"]:
                pass
            assert change["leaving"] == {warm.uid: "draining"} and not change["cold"]
        cold.close()
        warm.close()

    asyncio.run(asyncio.wait_for(scenario(), 20.0))
