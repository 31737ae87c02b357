"""A release that an engine reads before the end of the attempt that waits on the state.

Both go over connections of their own, so either may arrive first. The release then frees nothing, and the
attempt ends right after it.
"""

import asyncio
from collections.abc import Callable
from pathlib import Path
from time import monotonic

import pytest
from conftest import CoreHarness
from raw_peers import FrontSetup, RawConnection, answer_releases, request, run_scenario, until

from heathford.interface import Outcome
from heathford.standin.platform import PREFILL_RESPONSE

LIMIT = 0.3  # s; the stand-in's pin limit
ALLOWANCE = 0.3  # s; HELD_ALLOWANCE
SLOWEST_CLOSE = 0.05  # s from the end of an attempt here until its engine has seen it
WATCHED = 2.5  # s: longer than all repeats for a given-up prefill


async def ended_at(connection: RawConnection) -> float:
    """Wait until the front node has closed the connection, and return when it was seen."""
    connection.sock.setblocking(False)

    def closed() -> bool:
        try:
            return not connection.sock.recv(1)
        except BlockingIOError:
            return False
        except OSError:
            return True

    await until(closed, "the end of the attempt")
    return monotonic()


@pytest.mark.parametrize(
    "request_class, end",
    [
        ("chat", "closed"),
        ("chat", "reset"),
        ("chat", "half closed"),
        ("booking", "closed"),
        ("booking", "deadline"),
    ],
)
def test_a_release_is_repeated_once_the_end_of_a_decode_attempt_has_surely_arrived(
    tmp_path: Path, request_class: str, end: str
) -> None:
    """The only release overtook the end of the attempt: the state stayed held for good."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        client.send(request("c0", budget=700 if end == "deadline" else 4000, request_class=request_class))
        (await prefill_engine.wait_for_request()).sock.sendall(PREFILL_RESPONSE)
        attempt = await decode_engine.wait_for_request()
        times: dict[str, list[float]] = {engine.uid: [] for engine in setup.engines}
        answering = asyncio.create_task(
            answer_releases(*setup.engines, on_release=lambda engine: times[engine.uid].append(monotonic()))
        )
        if end != "deadline":
            client.disconnect(end)
        ended = await ended_at(attempt)
        await asyncio.sleep(WATCHED)
        answering.cancel()
        released = sorted(time - ended for engine_times in times.values() for time in engine_times)
        effective = [after for after in released if after >= SLOWEST_CLOSE]
        assert effective and effective[0] <= LIMIT + ALLOWANCE, released
        assert any(time - ended >= SLOWEST_CLOSE for time in times[decode_engine.uid]), "not at its engine"
        assert sum(after > 0.0 for after in released) <= 4
        assert not setup.node.link.retry_timers and not len(setup.node.link.abandoned)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.UNARRIVED])
def test_a_state_that_a_given_up_attempt_may_have_kept_is_released_once_a_later_attempt_streams(
    core_harness: Callable[..., CoreHarness], outcome: Outcome
) -> None:
    """The next attempt calls repeats off, as they would take its state: the first state stayed held."""
    harness = core_harness()
    harness.engines((10, 0), (11, 0), (12, 1), (13, 1))
    harness.submit_named("c0")
    harness.complete_prefill()
    harness.loop.pass_time(0.5)
    assert harness.link.released == ["c0"]  # at its limit, with the decode attempt in flight
    harness.link.attempts[-1].events.ended(outcome, 0, {}, {})
    harness.loop.turn()
    harness.complete_prefill()
    released = len(harness.link.released)
    harness.link.attempts[-1].events.first_token()
    harness.loop.turn()
    assert len(harness.link.released) == released + 1


def test_a_state_that_was_fetched_is_not_released(core_harness: Callable[..., CoreHarness]) -> None:
    """Guards against a call for each usual request."""
    harness = core_harness()
    harness.engines((10, 0), (12, 1))
    harness.submit_named("c0")
    harness.complete_prefill()
    harness.link.attempts[-1].events.first_token()
    harness.loop.turn()
    harness.link.attempts[-1].events.ended(Outcome.FINISHED, 0, {}, {})
    harness.loop.pass_time(1.0)
    assert harness.link.released == [] and not harness.core.live
