"""The core: one final answer per request, the limits of a stream, and the cleanup after a failed decision."""

import gc
from collections.abc import Callable
from typing import Any

import pytest
from conftest import RecordingClient, CoreHarness

from heathford.core.engine_attempt import EngineAttempt
from heathford.core.accepted_request import AcceptedRequest
from heathford.interface import Effect, Health, Outcome
from heathford.policy import RequestState

MakeHarness = Callable[..., CoreHarness]
FLEET = ((10, 0), (12, 1), (13, 1))


def streaming_request(make_harness: MakeHarness, **more: Any) -> tuple[CoreHarness, Any, Any]:
    harness = make_harness(**more)
    harness.engines(*FLEET)
    client, request = harness.submit()
    harness.complete_prefill()
    attempt = harness.link.attempts[-1]
    assert attempt.kv == {"remote_request_id": harness.link.attempts[0].name}
    attempt.events.first_token()
    attempt.events.tokens("a")
    harness.loop.turn()
    return harness, client, request


def test_a_request_runs_prefill_then_decode_and_finishes_once(core_harness: MakeHarness) -> None:
    harness, client, _ = streaming_request(core_harness)
    attempt = harness.link.attempts[-1]
    attempt.events.ended(Outcome.FINISHED, 0, {}, {"reason": "stop", "usage": {}})
    attempt.events.ended(Outcome.BROKEN, 0, {}, {})
    harness.loop.pass_time(10.0)
    assert client.finals == ["finished"] and client.text == ["a"] and not harness.core.live
    assert [o.engine[:2] for o in harness.link.attempts] == ["e1", "e1"] and harness.link.released == []


@pytest.mark.parametrize("outcome", [Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.ERROR])
def test_a_broken_stream_is_aborted_and_not_retried(core_harness: MakeHarness, outcome: Outcome) -> None:
    harness, client, _ = streaming_request(core_harness)
    harness.link.attempts[-1].events.ended(outcome, 0, {}, {})
    harness.loop.pass_time(10.0)
    assert (
        len(client.finals) == 1 and client.finals[0].startswith("aborted") and len(harness.link.attempts) == 2
    )
    assert not harness.core.live


def test_a_stream_past_its_limit_is_cancelled_and_aborted(core_harness: MakeHarness) -> None:
    harness, client, _ = streaming_request(core_harness)
    harness.loop.pass_time(4.9)
    assert client.finals == []
    harness.loop.pass_time(0.2)
    assert client.finals == ["aborted: the stream ran past its limit"] and harness.link.attempts[-1].cancelled
    assert not harness.core.live


def test_a_first_token_and_a_time_out_in_one_turn(core_harness: MakeHarness) -> None:
    harness = core_harness()
    harness.engines(*FLEET)
    client, _ = harness.submit()
    harness.complete_prefill()
    attempt = harness.link.attempts[-1]
    attempt.events.first_token()
    attempt.events.tokens("a")
    attempt.events.ended(Outcome.TIMED_OUT, 0, {}, {})
    harness.loop.pass_time(10.0)
    assert (
        len(client.finals) == 1 and client.finals[0].startswith("aborted") and len(harness.link.attempts) == 2
    )


def test_events_after_the_final_answer_change_nothing(core_harness: MakeHarness) -> None:
    harness, client, _ = streaming_request(core_harness)
    attempt = harness.link.attempts[-1]
    attempt.events.ended(Outcome.FINISHED, 0, {}, {})
    harness.loop.turn()
    attempt.events.first_token()
    attempt.events.tokens("late")
    attempt.events.ended(Outcome.FINISHED, 0, {}, {})
    harness.loop.pass_time(10.0)
    assert client.finals == ["finished"] and client.text == ["a"]


def test_a_stream_goes_on_after_its_engine_is_removed(core_harness: MakeHarness) -> None:
    harness, client, _ = streaming_request(core_harness)
    harness.engines(*FLEET, health=Health.REMOVED)
    harness.link.attempts[-1].events.tokens("b")
    harness.link.attempts[-1].events.ended(Outcome.FINISHED, 0, {}, {})
    harness.loop.turn()
    assert client.finals == ["finished"] and client.text == ["a", "b"]


@pytest.mark.parametrize("when", ["reading", "between", "writing", "streaming"])
def test_a_disconnected_client_frees_all_that_is_held(core_harness: MakeHarness, when: str) -> None:
    harness = core_harness(cold_multiple=0.0)
    harness.engines(*FLEET)
    client, request = harness.submit()
    if when == "between":
        # The decode engines are cold and get no attempt, so the state waits.
        harness.engines((12, 1), (13, 1), started=harness.loop.now)
    if when != "reading":
        harness.complete_prefill()
    if when == "streaming":
        harness.link.attempts[-1].events.first_token()
        harness.loop.turn()
    request.client_left()
    harness.loop.pass_time(0.29)
    assert client.finals == [] and not harness.core.live and harness.core.tally.left == 1
    assert harness.link.attempts[-1].cancelled == (when != "between")
    assert (harness.link.released == [harness.link.attempts[0].name]) == (when != "streaming")


@pytest.mark.parametrize(
    "effect, final", [(Effect.IDEMPOTENT, "rate-limited"), (Effect.NON_IDEMPOTENT, "aborted: given up")]
)
def test_silence_ends_in_one_answer_before_the_client_timeout(
    core_harness: MakeHarness, effect: Effect, final: str
) -> None:
    harness = core_harness(effect)
    harness.engines(*FLEET)
    client, _ = harness.submit(timeout=4.0)
    harness.complete_prefill()
    for _ in range(400):  # each attempt times out
        harness.loop.pass_time(0.01)
        for attempt in [o for o in harness.link.attempts if not o.cancelled and not o.events.over]:  # type: ignore[attr-defined]
            if harness.loop.now >= 103.9:
                attempt.events.ended(Outcome.TIMED_OUT, 0, {}, {})
                harness.loop.turn()
    assert client.finals == [final] and not harness.core.live


def test_a_request_that_the_router_lets_run_past_its_deadline_is_aborted(
    core_harness: MakeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = core_harness()
    harness.engines(*FLEET)
    monkeypatch.setattr(harness.core.router, "decide", lambda: None)
    client, _ = harness.submit(timeout=2.0)
    harness.loop.pass_time(2.0)
    assert (
        client.finals == ["aborted: out of time"] and not harness.core.live and harness.core.tally.late == 1
    )


@pytest.mark.parametrize("where", ["try_place", "has_eligible_engine", "possibly_run_attempts"])
def test_only_the_request_whose_decision_raises_is_aborted(
    core_harness: MakeHarness, monkeypatch: pytest.MonkeyPatch, where: str
) -> None:
    harness = core_harness()
    harness.engines(*FLEET)
    victim: list[Any] = []
    owner = RequestState if where == "possibly_run_attempts" else type(harness.core.router)
    original = getattr(owner, where)

    def raise_for_victim(self: Any, *args: Any) -> Any:
        if (self if where == "possibly_run_attempts" else args[0]) in victim:
            raise ZeroDivisionError("seeded")
        return original(self, *args)

    monkeypatch.setattr(owner, where, raise_for_victim)
    clients = [harness.submit()[0] for _ in range(2)]
    faulty_client, request = harness.submit()
    victim.append(request.routed_request)
    clients += [harness.submit()[0] for _ in range(2)]
    harness.loop.pass_time(0.2)
    while any(not c.finals for c in clients):
        for attempt in [o for o in harness.link.attempts if not o.events.over]:  # type: ignore[attr-defined]
            if attempt.kv is None and attempt.engine == "e10":
                attempt.events.ended(Outcome.PREFILLED, 0, {}, {"kv": {"remote_request_id": attempt.name}})
            else:
                attempt.events.first_token()
                attempt.events.ended(Outcome.FINISHED, 0, {}, {})
            harness.loop.turn()
        harness.loop.pass_time(0.05)
        assert harness.loop.now < 110.0
    assert [c.finals for c in clients] == [["finished"]] * 4
    assert (
        faulty_client.finals == ["aborted: its decision failed"]
        and not harness.core.live
        and harness.core.tally.faults >= 1
    )


def test_a_prefill_with_an_unknown_result_is_released_by_name(core_harness: MakeHarness) -> None:
    harness = core_harness()
    harness.engines(*FLEET)
    harness.submit()
    harness.link.attempts[0].events.ended(Outcome.TIMED_OUT, 0, {}, {})
    assert harness.link.released == ["cmpl-f-1.0"]


def test_a_response_writer_that_raises_affects_no_other_request(core_harness: MakeHarness) -> None:
    harness, client, _ = streaming_request(core_harness)
    client.finished = lambda *a: 1 / 0
    harness.link.attempts[-1].events.ended(Outcome.FINISHED, 0, {}, {})
    harness.loop.turn()
    assert not harness.core.live and harness.core.tally.finished == 1


def test_a_request_past_its_deadline_is_no_longer_counted_at_its_engine(core_harness: MakeHarness) -> None:
    """Guards against an engine that seems busy forever.

    A prefill engine gets two attempts at a time; two that were never ended kept it closed until a restart.
    """
    harness = core_harness()
    harness.engines(*FLEET)
    harness.link.send = lambda *rest: SilentCall()  # type: ignore[assignment, method-assign]
    client, request = harness.submit()
    harness.loop.pass_time(10.0)
    assert client.finals == ["aborted: out of time"]
    request.attempts[0].ended(Outcome.CANCELLED, 0, {}, {})
    harness.loop.turn()
    assert not harness.core.live and not any(e.in_flight for e in harness.core.router.engines.values())


class SilentCall:
    def cancel(self) -> None:
        """Do nothing: the link does not report the end at once."""


def named_request(make_harness: MakeHarness, **more: Any) -> tuple[CoreHarness, Any]:
    harness = make_harness(**more)
    harness.engines(*FLEET)
    request = harness.core.accept(RecordingClient(), 0, 0, "s", "", 5000, 0, 100, 4.0, "body", name="c0")
    harness.loop.turn()
    return harness, request


def test_with_a_shared_name_a_release_precedes_the_next_attempt(core_harness: MakeHarness) -> None:
    """Guards against a release that waits for the end of the next attempt.

    With several attempts in a row unable to connect, the state was held past the pin limit.
    """
    harness, request = named_request(core_harness)
    first = harness.link.attempts[-1]
    assert first.name == "c0"
    first.events.ended(Outcome.BROKEN, 0, {}, {})  # this prefill may have left a state
    harness.loop.turn()
    second = harness.link.attempts[-1]
    assert second is not first and second.name == "c0" and harness.link.released == ["c0"]
    second.events.ended(Outcome.UNREACHABLE, 0, {}, {})
    harness.loop.pass_time(0.6)  # the only prefill engine is in cooldown
    assert harness.link.attempts[-1] is not second and harness.link.released == ["c0"]
    request.client_left()
    harness.loop.pass_time(0.1)
    assert harness.link.attempts[-1].cancelled and harness.link.released == ["c0", "c0"]


def test_a_state_is_released_before_a_new_prefill_where_no_decode_engine_is_reachable(
    core_harness: MakeHarness,
) -> None:
    """Guards against a release that is delayed until further attempts have failed to connect.

    On a fleet with a zone cut off: prefill at 19.72 s, decode engine not reached by 19.97 s, then two further
    attempts that could not connect; the release came at 20.48 s, too late.
    """
    harness, _ = named_request(core_harness)
    harness.link.attempts[-1].events.ended(Outcome.PREFILLED, 0, {}, {"kv": {}})
    harness.loop.turn()
    harness.loop.pass_time(0.25)
    harness.link.attempts[-1].events.ended(Outcome.UNREACHABLE, 0, {}, {})
    harness.loop.turn()
    assert len(harness.link.attempts) == 3 and harness.link.released == ["c0"]


def test_with_a_shared_name_a_release_spares_a_state_that_waits_for_a_decode_engine(
    core_harness: MakeHarness,
) -> None:
    harness, _ = named_request(core_harness, cold_multiple=0.0)  # so that cold decode engines get no attempt
    harness.link.attempts[-1].events.ended(Outcome.BROKEN, 0, {}, {})
    harness.loop.turn()
    harness.engines((12, 1), (13, 1), started=harness.loop.now)
    harness.link.attempts[-1].events.ended(Outcome.PREFILLED, 0, {}, {"kv": {}})
    harness.loop.turn()
    assert harness.link.released == ["c0"]  # of the broken prefill
    harness.loop.pass_time(0.3)
    assert harness.link.released == ["c0", "c0"]


def test_the_body_is_dropped_once_no_retry_is_possible(core_harness: MakeHarness) -> None:
    harness, request = named_request(core_harness)
    harness.link.attempts[-1].events.ended(Outcome.PREFILLED, 0, {}, {"kv": {}})
    harness.loop.turn()
    assert request.body == "body"
    harness.link.attempts[-1].events.first_token()
    assert request.body is None


def test_removed_engines_are_forgotten(core_harness: MakeHarness) -> None:
    harness = core_harness()
    for n in range(500):
        harness.engines((n, 0), (n + 1, 1))
        harness.engines((n, 0), health=Health.REMOVED)
    assert len(harness.core.endpoints) <= 2 and len(harness.core.router.engines) <= 2


def test_thousands_of_requests_leave_nothing_behind(core_harness: MakeHarness) -> None:
    """Guards against memory that grows for as long as the process runs.

    Engine numbers, sessions and clients are always new; once a request is over, nothing of them is kept.
    """
    harness = core_harness()
    for n in range(1500):
        if n % 10 == 0:
            harness.engines((n, 0), (n + 1, 1), (n + 2, 2))
            harness.engines((n - 10, 0), (n - 9, 1), (n - 8, 2), health=Health.REMOVED)
        harness.core.accept(
            RecordingClient(), 0, 0, f"s{n}", f"p{n}", 5000, 100, 100, 4.0, "body", name=f"c{n}"
        )
        harness.loop.turn()
        if harness.link.attempts[-1].engine == f"e{n // 10 * 10}":
            harness.link.attempts[-1].events.ended(Outcome.PREFILLED, 0, {}, {"kv": {}})
            harness.loop.turn()
        harness.link.attempts[-1].events.first_token()
        harness.link.attempts[-1].events.ended(Outcome.FINISHED, 0, {}, {})
        harness.loop.pass_time(0.05)
        harness.link.attempts.clear()
    assert harness.core.tally.finished == 1500 and not harness.core.live
    gc.collect()
    core = harness.core
    request_states = [o for o in gc.get_objects() if isinstance(o, RequestState) and o.router is core.router]
    accepted_requests = [o for o in gc.get_objects() if isinstance(o, AcceptedRequest) and o.core is core]
    engine_attempts = [o for o in gc.get_objects() if isinstance(o, EngineAttempt) and o.request.core is core]
    assert len(request_states) + len(accepted_requests) + len(engine_attempts) <= 10
    assert len(core.endpoints) <= 6 and len(core.router.engines) <= 6
    assert not any(
        e.cached for e in core.router.last_combined.values() if e.number not in core.router.engines
    )


@pytest.mark.parametrize("may_cancel", [True, False])
def test_an_attempt_not_sent_when_its_client_disconnects_is_never_sent(
    core_harness: MakeHarness, may_cancel: bool
) -> None:
    """It may wait for a connection or a release. Only running attempts are subject to may_cancel."""
    harness = core_harness(may_cancel=may_cancel)
    harness.engines(*FLEET)
    _, request = harness.submit()
    harness.link.attempts[-1].begun = False
    request.client_left()
    assert harness.link.attempts[-1].withdrawn
    harness.loop.pass_time(10.0)
    assert len(harness.link.attempts) == 1 and not harness.core.live
