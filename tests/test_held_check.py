"""What the run-time check of held states tells where engines read a release in time and answer it late."""

import asyncio
import time
from pathlib import Path

from raw_peers import FrontSetup, answer_releases, decode, prefill, request, run_scenario, until

from heathford.core.gate import Rule
from heathford.standin.platform import READ

LIMIT = 0.6  # s: of the stand-in's settings, and what the users allow beyond
ANSWERS_AFTER = 0.4  # s: 0.2 s each way


def test_a_release_that_came_in_time_and_is_answered_late_is_no_violation(
    tmp_path: Path, no_violations: list[str]
) -> None:
    """Guards against a rule told as broken that was kept: a call counts once a running engine has it."""

    async def day(play: FrontSetup) -> None:
        reader, writer = play.engines
        client = play.client()
        client.send(request("c0"))
        (await reader.wait_for_request()).sock.sendall(READ)
        read_at = time.monotonic()
        await until(lambda: reader.deletes + writer.deletes > 0, "the release")
        assert time.monotonic() - read_at < LIMIT
        await asyncio.sleep(ANSWERS_AFTER)
        answering = asyncio.create_task(answer_releases(reader, writer))
        await asyncio.sleep(0.1)
        answering.cancel()
        no_violations.clear()  # told below, not once more as the test ends
        assert play.node.core.gate.violations[Rule.HELD] == 0

    run_scenario(tmp_path, day, prefill(), decode())
