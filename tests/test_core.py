"""What the core owns: one final answer, the life of a stream, and what a failed decision leaves behind."""

import gc
from collections.abc import Callable
from typing import Any

import pytest
from conftest import RecordingClient, CoreHarness

from heathford.core.engine_attempt import EngineAttempt
from heathford.core.accepted_request import AcceptedRequest
from heathford.interface import Effect, Health, Outcome
from heathford.policy import RequestState

New = Callable[..., CoreHarness]
FLEET = ((10, 0), (12, 1), (13, 1))


def streaming(new: New, **more: Any) -> tuple[CoreHarness, Any, Any]:
    i = new(**more)
    i.engines(*FLEET)
    client, taken = i.take()
    i.read()
    out = i.link.attempts[-1]
    assert out.kv == {"remote_request_id": i.link.attempts[0].name}
    out.events.first_token()
    out.events.tokens("a")
    i.loop.turn()
    return i, client, taken


def test_a_completion_goes_reader_then_writer_and_finishes_once(core_harness: New) -> None:
    i, client, _ = streaming(core_harness)
    out = i.link.attempts[-1]
    out.events.ended(Outcome.FINISHED, 0, {}, {"reason": "stop", "usage": {}})
    out.events.ended(Outcome.BROKEN, 0, {}, {})
    i.loop.pass_time(10.0)
    assert client.finals == ["finished"] and client.text == ["a"] and not i.core.live
    assert [o.engine[:2] for o in i.link.attempts] == ["e1", "e1"] and i.link.released == []


@pytest.mark.parametrize("outcome", [Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.ERROR])
def test_a_stream_that_breaks_is_aborted_and_not_sent_again(core_harness: New, outcome: Outcome) -> None:
    i, client, _ = streaming(core_harness)
    i.link.attempts[-1].events.ended(outcome, 0, {}, {})
    i.loop.pass_time(10.0)
    assert len(client.finals) == 1 and client.finals[0].startswith("aborted") and len(i.link.attempts) == 2
    assert not i.core.live


def test_a_stream_past_its_limit_is_cut_and_aborted(core_harness: New) -> None:
    i, client, _ = streaming(core_harness)
    i.loop.pass_time(4.9)
    assert client.finals == []
    i.loop.pass_time(0.2)
    assert client.finals == ["aborted: the stream ran past its limit"] and i.link.attempts[-1].cancelled
    assert not i.core.live


def test_a_first_token_and_a_time_out_in_one_batch(core_harness: New) -> None:
    i = core_harness()
    i.engines(*FLEET)
    client, _ = i.take()
    i.read()
    out = i.link.attempts[-1]
    out.events.first_token()
    out.events.tokens("a")
    out.events.ended(Outcome.TIMED_OUT, 0, {}, {})
    i.loop.pass_time(10.0)
    assert len(client.finals) == 1 and client.finals[0].startswith("aborted") and len(i.link.attempts) == 2


def test_news_after_the_final_answer_changes_nothing(core_harness: New) -> None:
    i, client, _ = streaming(core_harness)
    out = i.link.attempts[-1]
    out.events.ended(Outcome.FINISHED, 0, {}, {})
    i.loop.turn()
    out.events.first_token()
    out.events.tokens("late")
    out.events.ended(Outcome.FINISHED, 0, {}, {})
    i.loop.pass_time(10.0)
    assert client.finals == ["finished"] and client.text == ["a"]


def test_the_list_says_gone_while_a_stream_runs(core_harness: New) -> None:
    i, client, _ = streaming(core_harness)
    i.engines(*FLEET, health=Health.REMOVED)
    i.link.attempts[-1].events.tokens("b")
    i.link.attempts[-1].events.ended(Outcome.FINISHED, 0, {}, {})
    i.loop.turn()
    assert client.finals == ["finished"] and client.text == ["a", "b"]


@pytest.mark.parametrize("when", ["reading", "between", "writing", "streaming"])
def test_a_client_that_leaves_frees_all_that_is_held(core_harness: New, when: str) -> None:
    i = core_harness(cold_multiple=0.0)
    i.engines(*FLEET)
    client, taken = i.take()
    if when == "between":
        i.engines((12, 1), (13, 1), started=i.loop.now)  # cold, and none may be sent there: the state waits
    if when != "reading":
        i.read()
    if when == "streaming":
        i.link.attempts[-1].events.first_token()
        i.loop.turn()
    taken.client_left()
    i.loop.pass_time(0.29)
    assert client.finals == [] and not i.core.live and i.core.tally.left == 1
    assert i.link.attempts[-1].cancelled == (when != "between")
    assert (i.link.released == [i.link.attempts[0].name]) == (when != "streaming")


@pytest.mark.parametrize(
    "effect, final", [(Effect.IDEMPOTENT, "rate-limited"), (Effect.NON_IDEMPOTENT, "aborted: given up")]
)
def test_silence_ends_in_one_answer_before_the_client_timeout(
    core_harness: New, effect: Effect, final: str
) -> None:
    i = core_harness(effect)
    i.engines(*FLEET)
    client, _ = i.take(timeout=4.0)
    i.read()
    for _ in range(400):  # each dispatch runs into the time it was given
        i.loop.pass_time(0.01)
        for out in [o for o in i.link.attempts if not o.cancelled and not o.events.over]:  # type: ignore[attr-defined]
            if i.loop.now >= 103.9:
                out.events.ended(Outcome.TIMED_OUT, 0, {}, {})
                i.loop.turn()
    assert client.finals == [final] and not i.core.live


def test_what_the_router_lets_run_out_of_time_is_aborted(
    core_harness: New, monkeypatch: pytest.MonkeyPatch
) -> None:
    i = core_harness()
    i.engines(*FLEET)
    monkeypatch.setattr(i.core.router, "decide", lambda: None)
    client, _ = i.take(timeout=2.0)
    i.loop.pass_time(2.0)
    assert client.finals == ["aborted: out of time"] and not i.core.live and i.core.tally.late == 1


@pytest.mark.parametrize("where", ["try_place", "has_eligible_engine", "possibly_run_attempts"])
def test_one_completion_whose_decision_raises_is_aborted_alone(
    core_harness: New, monkeypatch: pytest.MonkeyPatch, where: str
) -> None:
    i = core_harness()
    i.engines(*FLEET)
    victim: list[Any] = []
    owner = RequestState if where == "possibly_run_attempts" else type(i.core.router)
    true = getattr(owner, where)

    def faulty(self: Any, *args: Any) -> Any:
        if (self if where == "possibly_run_attempts" else args[0]) in victim:
            raise ZeroDivisionError("seeded")
        return true(self, *args)

    monkeypatch.setattr(owner, where, faulty)
    clients = [i.take()[0] for _ in range(2)]
    bad, taken = i.take()
    victim.append(taken.handle)
    clients += [i.take()[0] for _ in range(2)]
    i.loop.pass_time(0.2)
    while any(not c.finals for c in clients):
        for out in [o for o in i.link.attempts if not o.events.over]:  # type: ignore[attr-defined]
            if out.kv is None and out.engine == "e10":
                out.events.ended(Outcome.PREFILLED, 0, {}, {"kv": {"remote_request_id": out.name}})
            else:
                out.events.first_token()
                out.events.ended(Outcome.FINISHED, 0, {}, {})
            i.loop.turn()
        i.loop.pass_time(0.05)
        assert i.loop.now < 110.0
    assert [c.finals for c in clients] == [["finished"]] * 4
    assert bad.finals == ["aborted: its decision failed"] and not i.core.live and i.core.tally.faults >= 1


def test_a_read_that_ends_unseen_is_let_go_by_name(core_harness: New) -> None:
    i = core_harness()
    i.engines(*FLEET)
    i.take()
    i.link.attempts[0].events.ended(Outcome.TIMED_OUT, 0, {}, {})
    assert i.link.released == ["cmpl-f-1.0"]


def test_a_sink_that_raises_harms_nobody_else(core_harness: New) -> None:
    i, client, _ = streaming(core_harness)
    client.finished = lambda *a: 1 / 0
    i.link.attempts[-1].events.ended(Outcome.FINISHED, 0, {}, {})
    i.loop.turn()
    assert not i.core.live and i.core.tally.finished == 1


def test_one_that_ran_out_of_time_is_no_longer_counted_at_its_engine(core_harness: New) -> None:
    """Guards against an engine that looks busy for good: a reader takes two of ours, and two lost ones
    closed it until the front's end."""
    i = core_harness()
    i.engines(*FLEET)
    i.link.send = lambda *rest: Lost()  # type: ignore[assignment, method-assign]
    client, taken = i.take()
    i.loop.pass_time(10.0)
    assert client.finals == ["aborted: out of time"]
    taken.attempts[0].ended(Outcome.CANCELLED, 0, {}, {})
    i.loop.turn()
    assert not i.core.live and not any(e.in_flight for e in i.core.router.engines.values())


class Lost:
    def cancel(self) -> None:
        """A link that does not tell of the end at once."""


def named(new: New, **more: Any) -> tuple[CoreHarness, Any]:
    i = new(**more)
    i.engines(*FLEET)
    taken = i.core.accept(RecordingClient(), 0, 0, "s", "", 5000, 0, 100, 4.0, "body", name="c0")
    i.loop.turn()
    return i, taken


def test_under_one_name_a_release_goes_before_the_dispatch_after_it(core_harness: New) -> None:
    """It waited for that one's end: with one after the other unable to connect, past the pin limit."""
    i, taken = named(core_harness)
    first = i.link.attempts[-1]
    assert first.name == "c0"
    first.events.ended(Outcome.BROKEN, 0, {}, {})  # a read that may have left a state
    i.loop.turn()
    second = i.link.attempts[-1]
    assert second is not first and second.name == "c0" and i.link.released == ["c0"]
    second.events.ended(Outcome.UNREACHABLE, 0, {}, {})
    i.loop.pass_time(0.6)  # the only reader rests
    assert i.link.attempts[-1] is not second and i.link.released == ["c0"]
    taken.client_left()
    i.loop.pass_time(0.1)
    assert i.link.attempts[-1].cancelled and i.link.released == ["c0", "c0"]


def test_a_state_that_no_writer_can_be_reached_for_is_let_go_before_it_is_read_anew(
    core_harness: New,
) -> None:
    """Seen on a fleet with a zone cut off: read at 19.72 s, its writer not reached by 19.97, the release kept
    back until two further dispatches could not connect either: 20.48, past what is allowed."""
    i, _ = named(core_harness)
    i.link.attempts[-1].events.ended(Outcome.PREFILLED, 0, {}, {"kv": {}})
    i.loop.turn()
    i.loop.pass_time(0.25)
    i.link.attempts[-1].events.ended(Outcome.UNREACHABLE, 0, {}, {})
    i.loop.turn()
    assert len(i.link.attempts) == 3 and i.link.released == ["c0"]


def test_under_one_name_a_release_spares_a_state_that_waits_for_a_writer(core_harness: New) -> None:
    i, _ = named(core_harness, cold_multiple=0.0)  # so that cold writers let nothing in
    i.link.attempts[-1].events.ended(Outcome.BROKEN, 0, {}, {})
    i.loop.turn()
    i.engines((12, 1), (13, 1), started=i.loop.now)
    i.link.attempts[-1].events.ended(Outcome.PREFILLED, 0, {}, {"kv": {}})
    i.loop.turn()
    assert i.link.released == ["c0"]  # of the read that broke
    i.loop.pass_time(0.3)
    assert i.link.released == ["c0", "c0"]


def test_what_can_not_be_sent_again_is_let_go(core_harness: New) -> None:
    i, taken = named(core_harness)
    i.link.attempts[-1].events.ended(Outcome.PREFILLED, 0, {}, {"kv": {}})
    i.loop.turn()
    assert taken.body == "body"
    i.link.attempts[-1].events.first_token()
    assert taken.body is None


def test_engines_that_left_the_list_are_forgotten(core_harness: New) -> None:
    i = core_harness()
    for n in range(500):
        i.engines((n, 0), (n + 1, 1))
        i.engines((n, 0), health=Health.REMOVED)
    assert len(i.core.endpoints) <= 2 and len(i.core.router.engines) <= 2


def test_thousands_of_completions_leave_nothing_behind(core_harness: New) -> None:
    """Guards against a front that grows for as long as it runs: engines under ever new numbers, sessions and
    clients always new, and of each nothing is left once it is over."""
    i = core_harness()
    for n in range(1500):
        if n % 10 == 0:
            i.engines((n, 0), (n + 1, 1), (n + 2, 2))
            i.engines((n - 10, 0), (n - 9, 1), (n - 8, 2), health=Health.REMOVED)
        i.core.accept(RecordingClient(), 0, 0, f"s{n}", f"p{n}", 5000, 100, 100, 4.0, "body", name=f"c{n}")
        i.loop.turn()
        if i.link.attempts[-1].engine == f"e{n // 10 * 10}":
            i.link.attempts[-1].events.ended(Outcome.PREFILLED, 0, {}, {"kv": {}})
            i.loop.turn()
        i.link.attempts[-1].events.first_token()
        i.link.attempts[-1].events.ended(Outcome.FINISHED, 0, {}, {})
        i.loop.pass_time(0.05)
        i.link.attempts.clear()
    assert i.core.tally.finished == 1500 and not i.core.live
    gc.collect()
    core = i.core
    left = [o for o in gc.get_objects() if isinstance(o, RequestState) and o.router is core.router]
    held = [o for o in gc.get_objects() if isinstance(o, AcceptedRequest) and o.core is core]
    sent = [o for o in gc.get_objects() if isinstance(o, EngineAttempt) and o.request.core is core]
    assert len(left) + len(held) + len(sent) <= 10
    assert len(core.endpoints) <= 6 and len(core.router.engines) <= 6
    assert not any(
        e.cached for e in core.router.last_combined.values() if e.number not in core.router.engines
    )


@pytest.mark.parametrize("may_cancel", [True, False])
def test_what_has_not_begun_when_its_client_leaves_never_begins(core_harness: New, may_cancel: bool) -> None:
    """It may wait for its connection, or for a release. Running ones are only cancelled where that may be."""
    i = core_harness(may_cancel=may_cancel)
    i.engines(*FLEET)
    _, taken = i.take()
    i.link.attempts[-1].begun = False
    taken.client_left()
    assert i.link.attempts[-1].withdrawn
    i.loop.pass_time(10.0)
    assert len(i.link.attempts) == 1 and not i.core.live
