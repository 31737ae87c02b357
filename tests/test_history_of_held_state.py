"""The history and the summary figures of a held prefill state."""

from collections.abc import Callable

import pytest
from conftest import CoreHarness, RecordedAttempt

from heathford.core.protocols import Arrival
from heathford.interface import Effect, Outcome


def prefilled_request(
    core_harness: Callable[..., CoreHarness], effect: Effect = Effect.IDEMPOTENT
) -> tuple[CoreHarness, str]:
    """Return a harness with one request whose prefill has ended, and the request's name."""
    harness = core_harness(effect)
    harness.link.confirms = False
    harness.engines((10, 0), (12, 1), (13, 1))
    _, request = harness.submit()
    harness.complete_prefill()
    return harness, request.name


@pytest.mark.parametrize("found", list(Arrival))
def test_each_arrival_check_records_its_result(
    core_harness: Callable[..., CoreHarness], monkeypatch: pytest.MonkeyPatch, found: Arrival
) -> None:
    monkeypatch.setattr(RecordedAttempt, "give_up_unless_arrived", lambda out: found)
    harness, name = prefilled_request(core_harness)
    harness.loop.pass_time(0.13)
    assert f"look for arrival: {found.name}" in harness.core.history.event_lines(name)


def test_each_step_of_a_release_is_recorded_with_its_engine(core_harness: Callable[..., CoreHarness]) -> None:
    harness, name = prefilled_request(core_harness)
    harness.link.attempts[-1].events.ended(Outcome.FULL, 1, {}, {})
    harness.loop.turn()
    release = harness.link.releases[0]
    release.requested("e10")
    release.not_confirmed("e10", 0)
    release.requested("e12")
    release.confirmed("e12")
    assert [line for line in harness.core.history.event_lines(name) if line.startswith("release")] == [
        "release: the policy lets it go",
        "release asked",
        "release unanswered: no answer",
        "release asked",
        "release confirmed",
    ]
    assert [r.engine for r in harness.core.history.of(name) if r.event == "release confirmed"] == ["e12"]
    held = harness.core.held_state_summary()
    assert (held["open"], held["released"]) == (0, 1)


def test_the_release_of_an_unclear_prefill_has_its_own_reason(
    core_harness: Callable[..., CoreHarness],
) -> None:
    harness = core_harness()
    harness.link.confirms = False
    harness.engines((10, 0), (12, 1))
    _, request = harness.submit()
    harness.link.attempts[-1].events.ended(Outcome.BROKEN, 0, {}, {})
    harness.loop.turn()
    assert "release: its prefill attempt ended unseen" in harness.core.history.event_lines(request.name)
    harness.link.releases[0].failed()
    assert harness.core.held_state_summary()["unconfirmed"] == 1


def test_the_summary_has_how_long_a_state_is_held_and_how_that_ends(
    core_harness: Callable[..., CoreHarness],
) -> None:
    harness, _ = prefilled_request(core_harness)
    harness.loop.pass_time(0.1)
    assert harness.core.held_state_summary() == {"open": 1, "longest": 0.1}
    harness.link.attempts[-1].events.first_token()
    assert harness.core.held_state_summary() == {"open": 0, "longest": 0.1, "taken": 1}


def test_a_rate_limited_answer_is_recorded_with_its_reason(core_harness: Callable[..., CoreHarness]) -> None:
    harness = core_harness()
    harness.engines((10, 0))
    client, request = harness.submit()
    assert client.finals == ["rate-limited"]
    assert harness.core.history.event_lines(request.name)[-1] == "rate_limited: no listed engine may take it"
