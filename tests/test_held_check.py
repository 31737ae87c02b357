"""The run-time check of held states, where engines read a release in time and answer it late."""

import asyncio
import time
from pathlib import Path

from raw_peers import FrontSetup, answer_releases, decode, prefill, request, run_scenario, until

from heathford.core.gate import Rule
from heathford.standin.platform import PREFILL_RESPONSE

LIMIT = 0.6  # s: the stand-in's pin limit plus HELD_ALLOWANCE
ANSWERS_AFTER = 0.4  # s: 0.2 s latency each way


def test_a_release_that_came_in_time_and_is_answered_late_is_no_violation(
    tmp_path: Path, no_violations: list[str]
) -> None:
    """Guards against a false violation: a release counts from when a running engine has read it."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        client.send(request("c0"))
        (await prefill_engine.wait_for_request()).sock.sendall(PREFILL_RESPONSE)
        read_at = time.monotonic()
        await until(lambda: prefill_engine.deletes + decode_engine.deletes > 0, "the release")
        assert time.monotonic() - read_at < LIMIT
        await asyncio.sleep(ANSWERS_AFTER)
        answering = asyncio.create_task(answer_releases(prefill_engine, decode_engine))
        await asyncio.sleep(0.1)
        answering.cancel()
        no_violations.clear()  # asserted below; otherwise the fixture fails, too
        assert setup.node.core.gate.violations[Rule.HELD] == 0

    run_scenario(tmp_path, scenario, prefill(), decode())
