"""An abandoned prefill that its engine, cut off from the network, finishes late.

Guards against a state that nobody releases. Any engine may confirm the release, but only an answer of the
prefill's own engine shows that it has noticed the close of the connection: one that is cut off may finish the
prefill after the last repetition of the release (0.1, 0.5 and 1 s later). With an engine silent for 3 s,
releases came only up to 1.6 s after the client had disconnected, and up to 1 s apart, although a state may be
held for 0.6 s.
"""

import asyncio
from itertools import pairwise
from pathlib import Path
from time import monotonic

import pytest
from raw_peers import FrontSetup, RawEngine, answer_releases, request, run_scenario

from heathford.platform.abandoned_prefill import MAX_FOLLOW_UP, AbandonedPrefill

LIMIT = 0.3  # s; the stand-in's pin limit
ALLOWANCE = 0.3  # s; HELD_ALLOWANCE
CUT = 3.0  # s for which the prefill engine is silent
QUIET_AFTER = 3.5  # s after it resumes: up to 1 s until the next release, then 0.1, 0.5 and 1 s


async def release_times(engine: RawEngine, seconds: float) -> list[float]:
    """Return when releases came in that time (resolution 5 ms), with its start and end."""
    began = monotonic()
    times, seen = [began], engine.deletes
    while monotonic() < began + seconds:
        if engine.deletes > seen:
            seen = engine.deletes
            times.append(monotonic())
        await asyncio.sleep(0.005)
    return [*times, monotonic()]


def test_a_prefill_that_may_end_late_is_released_until_its_engine_has_answered(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        client.send(request("c0"))
        await prefill_engine.wait_for_request()
        answering = asyncio.create_task(answer_releases(decode_engine))
        client.disconnect("closed")
        times = await release_times(decode_engine, CUT)
        gaps = [later - earlier for earlier, later in pairwise(times)]
        assert max(gaps) <= LIMIT + ALLOWANCE, [round(gap, 3) for gap in gaps]
        prefill_engine.count(b"DELETE")
        prefill_engine.reset_counts()  # the calls sent to it meanwhile have been given up
        answering_again = asyncio.create_task(answer_releases(prefill_engine))
        await asyncio.sleep(QUIET_AFTER)
        before = prefill_engine.deletes + decode_engine.deletes
        await asyncio.sleep(1.0)
        assert prefill_engine.deletes + decode_engine.deletes == before
        for task in (answering, answering_again):
            task.cancel()

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "answered_at, releases", [(1, [0.1, 0.5, 1.0, None]), (3, [0.1, 0.35, 0.1, 0.5, 1.0, None])]
)
def test_releases_follow_the_answer_of_the_engine_itself(
    answered_at: int, releases: list[float | None]
) -> None:
    """answered_at: number of the release that the prefill engine answers itself."""
    abandoned, now, found = AbandonedPrefill(since=0.0), 0.0, []
    for number in range(1, len(releases) + 1):
        abandoned.release_confirmed(by_its_engine=number == answered_at)
        after = abandoned.next_release_in(now, LIMIT)
        found.append(after)
        now += after or 0.0
    assert found == pytest.approx(releases)


def test_an_engine_that_never_comes_back_is_not_followed_forever() -> None:
    abandoned, now = AbandonedPrefill(since=0.0), 0.0
    while (after := abandoned.next_release_in(now, LIMIT)) is not None:
        abandoned.release_confirmed(by_its_engine=False)
        now += after
        assert after <= LIMIT + ALLOWANCE
    assert MAX_FOLLOW_UP <= now <= MAX_FOLLOW_UP + LIMIT + ALLOWANCE
