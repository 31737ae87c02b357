"""What the history and the state line tell of a state that prefill has left."""

from collections.abc import Callable

import pytest
from conftest import CoreHarness, RecordedAttempt

from heathford.core.protocols import Arrival
from heathford.interface import Effect, Outcome


def read(
    core_harness: Callable[..., CoreHarness], effect: Effect = Effect.IDEMPOTENT
) -> tuple[CoreHarness, str]:
    """An instance with one request whose prompt has been read; the request's name."""
    i = core_harness(effect)
    i.link.confirms = False
    i.engines((10, 0), (12, 1), (13, 1))
    _, taken = i.take()
    i.read()
    return i, taken.name


@pytest.mark.parametrize("found", list(Arrival))
def test_each_look_for_arrival_tells_what_it_found(
    core_harness: Callable[..., CoreHarness], monkeypatch: pytest.MonkeyPatch, found: Arrival
) -> None:
    monkeypatch.setattr(RecordedAttempt, "give_up_unless_arrived", lambda out: found)
    i, name = read(core_harness)
    i.loop.pass_time(0.13)
    assert f"look for arrival: {found.name}" in i.core.history.event_lines(name)


def test_each_step_of_a_release_is_told_with_its_engine(core_harness: Callable[..., CoreHarness]) -> None:
    i, name = read(core_harness)
    i.link.attempts[-1].events.ended(Outcome.FULL, 1, {}, {})
    i.loop.turn()
    release = i.link.releases[0]
    release.requested("e10")
    release.not_confirmed("e10", 0)
    release.requested("e12")
    release.confirmed("e12")
    assert [line for line in i.core.history.event_lines(name) if line.startswith("release")] == [
        "release: the policy lets it go",
        "release asked",
        "release unanswered: no answer",
        "release asked",
        "release confirmed",
    ]
    assert [r.engine for r in i.core.history.of(name) if r.event == "release confirmed"] == ["e12"]
    held = i.core.held_state_summary()
    assert (held["open"], held["released"]) == (0, 1)


def test_a_release_of_a_prefill_that_ended_unseen_says_so(core_harness: Callable[..., CoreHarness]) -> None:
    i = core_harness()
    i.link.confirms = False
    i.engines((10, 0), (12, 1))
    _, taken = i.take()
    i.link.attempts[-1].events.ended(Outcome.BROKEN, 0, {}, {})
    i.loop.turn()
    assert "release: its prefill attempt ended unseen" in i.core.history.event_lines(taken.name)
    i.link.releases[0].failed()
    assert i.core.held_state_summary()["unconfirmed"] == 1


def test_the_state_line_tells_how_long_a_state_is_held_and_how_that_ends(
    core_harness: Callable[..., CoreHarness],
) -> None:
    i, _ = read(core_harness)
    i.loop.pass_time(0.1)
    assert i.core.held_state_summary() == {"open": 1, "longest": 0.1}
    i.link.attempts[-1].events.first_token()
    assert i.core.held_state_summary() == {"open": 0, "longest": 0.1, "taken": 1}


def test_a_refusal_says_why(core_harness: Callable[..., CoreHarness]) -> None:
    i = core_harness()
    i.engines((10, 0))
    client, taken = i.take()
    assert client.finals == ["rate-limited"]
    assert i.core.history.event_lines(taken.name)[-1] == "rate_limited: no listed engine may take it"
