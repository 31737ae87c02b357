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

from heathford.core.protocols import Endpoint
from heathford.interface import Role
from heathford.platform.abandoned_attempts import (
    FORGET_AFTER,
    MAX_FOLLOW_UP,
    AbandonedAttempts,
    AbandonedAttemptTable,
)


PREFILL_ADDRESS, DECODE_ADDRESS = ("127.0.0.1", 1), ("127.0.0.1", 2)
PREFILL = Endpoint(1, "r", Role.PREFILL, *PREFILL_ADDRESS)
DECODE = Endpoint(2, "w", Role.DECODE, *DECODE_ADDRESS)
LIMIT = 0.3  # s; the stand-in's pin limit
ALLOWANCE = 0.3  # s; HELD_ALLOWANCE
CUT = 3.0  # s for which the prefill engine is silent
QUIET_AFTER = 3.5  # s after it resumes: up to 1 s until the next release, then 0.1, 0.5 and 1 s


def given_up(*engines: Endpoint, now: float = 0.0) -> AbandonedAttempts:
    abandoned = AbandonedAttempts(now)
    for engine in engines:
        abandoned.add(engine, now)
    return abandoned


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
    abandoned, now, found = given_up(PREFILL), 0.0, []
    for number in range(1, len(releases) + 1):
        abandoned.release_confirmed([PREFILL_ADDRESS] if number == answered_at else [])
        after = abandoned.next_release_in(now, LIMIT)
        found.append(after)
        now += after or 0.0
    assert found == pytest.approx(releases)


def test_an_engine_that_never_comes_back_is_not_followed_forever() -> None:
    abandoned, now = given_up(PREFILL), 0.0
    while (after := abandoned.next_release_in(now, LIMIT)) is not None:
        abandoned.release_confirmed([])
        now += after
        assert after <= LIMIT + ALLOWANCE
    assert MAX_FOLLOW_UP <= now <= MAX_FOLLOW_UP + LIMIT + ALLOWANCE


def test_a_release_is_repeated_at_the_decode_engine_whose_attempt_was_given_up() -> None:
    """The release may overtake the end of the attempt, which is still waiting on the state."""
    abandoned = given_up(DECODE)
    abandoned.release_confirmed([PREFILL_ADDRESS])
    assert abandoned.engine_to_ask is DECODE and abandoned.next_release_in(0.0, LIMIT) == 0.1
    abandoned.release_confirmed([DECODE_ADDRESS])
    assert abandoned.engine_to_ask is None and abandoned.next_release_in(0.1, LIMIT) == 0.1
    abandoned.release_confirmed([DECODE_ADDRESS])
    assert abandoned.next_release_in(0.2, LIMIT) is None


def test_releases_go_on_until_both_engines_of_two_given_up_attempts_have_answered() -> None:
    """A decode attempt that was given up must not end the wait for the prefill engine before it."""
    abandoned = given_up(PREFILL, DECODE)
    abandoned.release_confirmed([DECODE_ADDRESS])
    assert abandoned.engine_to_ask is PREFILL
    abandoned.release_confirmed([PREFILL_ADDRESS])
    assert abandoned.next_release_in(0.1, LIMIT) == 0.1
    for delay in (0.5, 1.0, None):
        abandoned.release_confirmed([])
        assert abandoned.next_release_in(0.2, LIMIT) == delay


def test_given_up_attempts_that_need_no_release_are_forgotten() -> None:
    """A later attempt may use the state, so that no release follows: the table would grow for good."""
    table = AbandonedAttemptTable()
    for number in range(100):
        table.add(f"c{number}", DECODE, number * FORGET_AFTER / 10)
    assert len(table) <= 11
    table.attempt_sent("c95", 100 * FORGET_AFTER)
    table.add("later", DECODE, 100 * FORGET_AFTER)
    assert len(table) == 2 and table.get("c95")
