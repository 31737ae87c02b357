"""A prefill that is given up at an engine which is cut off, goes on with it, and leaves its state late.

What happens: the release of a prefill that was given up is confirmed by another engine, at once and again
0.1, 0.5 and 1 s later. An engine that is cut off does not see the close, and may end the prefill well after
the last of these: nobody releases what it leaves.

Why: that the release was confirmed is taken for the end of the prefill. Only an answer of its own engine
shows that it has seen the close. What showed it: with an engine silent for 3 s, releases came up to 1.6 s
after the client had left, 0.5 and 1 s apart where a state may be held for 0.6 s, and then none.
"""

import asyncio
from itertools import pairwise
from pathlib import Path
from time import monotonic

import pytest
from raw_peers import FrontSetup, RawEngine, answer_releases, request, run_scenario

from heathford.platform.abandoned_prefill import MAX_FOLLOW_UP, AbandonedPrefill

LIMIT = 0.3  # s, as the stand-in's settings have it
ALLOWANCE = 0.3  # s more, as the users state
CUT = 3.0  # s for which the prefill engine says nothing
QUIET_AFTER = 3.5  # s from when it goes on: a silent one is asked once a second, then 0.1, 0.5 and 1 s later


async def releases_at(engine: RawEngine, seconds: float) -> list[float]:
    """When releases came there in that time, to 5 ms; the start and the end included."""
    began = monotonic()
    times, seen = [began], engine.deletes
    while monotonic() < began + seconds:
        if engine.deletes > seen:
            seen = engine.deletes
            times.append(monotonic())
        await asyncio.sleep(0.005)
    return [*times, monotonic()]


def test_a_prefill_that_may_end_late_is_released_until_its_engine_has_answered(tmp_path: Path) -> None:
    async def day(play: FrontSetup) -> None:
        reader, writer = play.engines
        client = play.client()
        client.send(request("c0"))
        await reader.wait_for_request()
        answering = asyncio.create_task(answer_releases(writer))
        client.disconnect("closed")
        times = await releases_at(writer, CUT)
        gaps = [later - earlier for earlier, later in pairwise(times)]
        assert max(gaps) <= LIMIT + ALLOWANCE, [round(gap, 3) for gap in gaps]
        reader.count(b"DELETE")
        reader.reset_counts()  # what was sent to it meanwhile was given up since
        back = asyncio.create_task(answer_releases(reader))
        await asyncio.sleep(QUIET_AFTER)
        before = reader.deletes + writer.deletes
        await asyncio.sleep(1.0)
        assert reader.deletes + writer.deletes == before
        for task in (answering, back):
            task.cancel()

    run_scenario(tmp_path, day)


@pytest.mark.parametrize(
    "answered_at, releases", [(1, [0.1, 0.5, 1.0, None]), (3, [0.1, 0.35, 0.1, 0.5, 1.0, None])]
)
def test_releases_follow_the_answer_of_the_engine_itself(
    answered_at: int, releases: list[float | None]
) -> None:
    """answered_at: the release, by its number, that the prefill engine answers itself."""
    unclear, now, found = AbandonedPrefill(since=0.0), 0.0, []
    for number in range(1, len(releases) + 1):
        unclear.release_confirmed(by_its_engine=number == answered_at)
        after = unclear.next_release_in(now, LIMIT)
        found.append(after)
        now += after or 0.0
    assert found == pytest.approx(releases)


def test_an_engine_that_never_comes_back_is_not_followed_for_good() -> None:
    unclear, now = AbandonedPrefill(since=0.0), 0.0
    while (after := unclear.next_release_in(now, LIMIT)) is not None:
        unclear.release_confirmed(by_its_engine=False)
        now += after
        assert after <= LIMIT + ALLOWANCE
    assert MAX_FOLLOW_UP <= now <= MAX_FOLLOW_UP + LIMIT + ALLOWANCE
