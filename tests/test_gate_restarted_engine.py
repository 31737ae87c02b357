"""An attempt that was decided for an engine's earlier process is not sent to its next one."""

from collections.abc import Callable

import pytest
from conftest import CoreHarness

from heathford.interface import Health, Outcome


@pytest.mark.parametrize("removed_between", [False, True], ids=["listed anew", "removed between"])
@pytest.mark.parametrize("number", [1, 2], ids=["prefill", "decode"])
def test_an_attempt_that_waits_while_its_engine_restarts_does_not_reach_the_cold_one(
    core_harness: Callable[..., CoreHarness], number: int, removed_between: bool
) -> None:
    """Guards against sends to a cold engine that were decided for a warm one and count against no budget."""
    harness = core_harness()
    harness.engines((1, 0), (2, 1))
    harness.submit()
    if number == 2:
        assert harness.link.attempts[-1].events.may_send()
        harness.complete_prefill()
    attempt = harness.link.attempts[-1]
    assert attempt.engine == f"e{number}"
    if removed_between:
        harness.engines((number, number - 1), health=Health.REMOVED)
        harness.loop.pass_time(0.1)
    harness.engines((number, number - 1), started=harness.loop.now)
    assert not attempt.events.may_send()
    attempt.events.ended(Outcome.UNSENT, 0, {}, {})
    harness.loop.turn()
    cold = harness.core.router.engines[number].cold_attempts
    assert len(cold) == len([a for a in harness.link.attempts if a.engine == f"e{number}"]) - 1


def test_an_attempt_is_sent_while_the_list_only_repeats_its_engine(
    core_harness: Callable[..., CoreHarness],
) -> None:
    """Guards against attempts that are withdrawn whenever a list names their engine once more."""
    harness = core_harness()
    harness.engines((1, 0), (2, 1))
    harness.submit()
    harness.engines((1, 0), (2, 1))
    assert harness.link.attempts[-1].events.may_send()
