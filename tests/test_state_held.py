"""A prefill state is fetched or released within its limit, whatever becomes of the decode attempt."""

import asyncio
import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from conftest import CoreHarness, RecordedAttempt, RecordingReleaseEvents
from raw_peers import (
    FrontSetup,
    RawClient,
    RawEngine,
    answer_releases,
    decode,
    prefill,
    request,
    run_scenario,
    until,
)

from heathford.core.protocols import Arrival
from heathford.interface import STALL_ALLOWANCE, Effect, Outcome
from heathford.platform.release_schedule import MAX_ROUND_INTERVAL
from heathford.standin.platform import DECODE_RESPONSE, PREFILL_RESPONSE, RESPONSES

LIMIT = 0.3  # s; the stand-in's pin limit
ALLOWANCE = 0.3  # s; HELD_ALLOWANCE
LARGE = 240_000  # bytes of a prompt: more than SMALL_BUFFER and the kernels' buffers take
SMALL_BUFFER = 4_096  # bytes; receive buffer of a decode engine


def unread_decode(uid: str = "w") -> RawEngine:
    """Return an engine that accepts connections and never reads: a large request never arrives whole."""
    engine = decode(uid)
    engine.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    return engine


@pytest.mark.parametrize("request_class", ["chat", "booking"])
def test_a_decode_attempt_that_never_arrives_does_not_keep_the_prefill_state_held(
    tmp_path: Path, request_class: str
) -> None:
    """Guards against an unarrived attempt that extends the time for which the state is held."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine = setup.engines[0]
        client = setup.client()
        client.send(request("c0", request_class=request_class, size=LARGE))
        (await prefill_engine.wait_for_request()).sock.sendall(PREFILL_RESPONSE)
        read_at = time.monotonic()
        await until(lambda: prefill_engine.deletes > 0, "the release")
        assert time.monotonic() - read_at <= LIMIT + ALLOWANCE

    run_scenario(tmp_path, scenario, prefill(), unread_decode())


@pytest.mark.parametrize(
    "outcome", [Outcome.UNARRIVED, Outcome.UNREACHABLE, Outcome.UNSENT, Outcome.NO_FREE_CONNECTION]
)
@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT])
def test_attempts_that_do_not_arrive_do_not_restart_the_time_limit(
    core_harness: Callable[..., CoreHarness],
    monkeypatch: pytest.MonkeyPatch,
    effect: Effect,
    outcome: Outcome,
) -> None:
    """Each attempt is given up when the core checks its arrival."""

    def give_up(attempt: RecordedAttempt) -> Arrival:
        attempt.events.ended(outcome, 0, {}, {})
        return Arrival.UNSENT

    monkeypatch.setattr(RecordedAttempt, "give_up_unless_arrived", give_up)
    harness = core_harness(effect)
    harness.engines((10, 0), (12, 1), (13, 1), (14, 1))
    harness.submit()
    harness.complete_prefill()
    harness.loop.pass_time(LIMIT)
    assert harness.link.released == [harness.link.attempts[0].name]


def test_a_request_that_may_have_run_is_not_rate_limited(core_harness: Callable[..., CoreHarness]) -> None:
    harness = core_harness(Effect.NON_IDEMPOTENT)
    harness.engines((10, 0), (12, 1), (13, 1))
    client, _ = harness.submit()
    harness.complete_prefill()
    harness.link.attempts[-1].events.ended(Outcome.UNARRIVED, 0, {}, {})
    harness.loop.turn()
    assert client.finals == ["aborted: given up"] and len(harness.link.attempts) == 2


def test_connections_that_break_before_an_answer_do_not_restart_the_time_limit(
    core_harness: Callable[..., CoreHarness],
) -> None:
    harness = core_harness(Effect.IDEMPOTENT)
    harness.engines((10, 0), (12, 1), (13, 1), (14, 1))
    harness.submit()
    harness.complete_prefill()
    for _ in range(3):
        harness.loop.pass_time(LIMIT / 6)
        harness.link.attempts[-1].events.ended(Outcome.BROKEN, 0, {}, {})
        harness.loop.turn()
    assert harness.link.released == [harness.link.attempts[0].name]


def test_a_release_that_overtakes_its_prefill_is_repeated(tmp_path: Path) -> None:
    """The client disconnects, the attempt is closed, and the release is read before the prefill succeeds."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine = setup.engines[0]
        client = setup.client()
        client.send(request("c0"))
        await prefill_engine.wait_for_request()
        client.disconnect("closed")
        (await prefill_engine.wait_for_request(1, b"DELETE")).sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        released_at = time.monotonic()
        await until(lambda: prefill_engine.deletes == 2, "a second release")
        assert time.monotonic() - released_at < LIMIT

    run_scenario(tmp_path, scenario)


def test_a_release_is_not_repeated_once_another_attempt_is_in_flight(tmp_path: Path) -> None:
    """The release names the request, so it would hit the state that the other attempt leaves."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        client.send(request("c0"))
        (await prefill_engine.wait_for_request()).sock.close()
        (await prefill_engine.wait_for_request(1, b"DELETE")).sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        (await prefill_engine.wait_for_request(2)).sock.sendall(PREFILL_RESPONSE)
        await decode_engine.wait_for_request()
        await asyncio.sleep(LIMIT)
        assert prefill_engine.deletes + decode_engine.deletes == 1

    run_scenario(tmp_path, scenario)


def test_what_the_kernel_holds_of_an_abandoned_attempt_is_never_delivered(tmp_path: Path) -> None:
    """The engine reads on after the attempt was closed; it must not get a whole request."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        client.send(request("c0", size=LARGE))
        (await prefill_engine.wait_for_request()).sock.sendall(PREFILL_RESPONSE)
        await until(lambda: prefill_engine.deletes > 0, "the release")
        sock = decode_engine.listener.accept()[0]
        got = 0
        try:
            while part := await asyncio.to_thread(sock.recv, 65_536):
                got += len(part)
        except ConnectionResetError:
            pass
        assert 0 < got < LARGE
        sock.close()

    run_scenario(tmp_path, scenario, prefill(), unread_decode())


# s after prefill's answer: limit plus allowance, less STALL_ALLOWANCE and the duration of a release.
RELEASED_AFTER = 0.35


def attempt_in_flight(core_harness: Callable[..., CoreHarness], effect: Effect) -> CoreHarness:
    """Return a harness with a state whose decode attempt is in flight, and engines for a second try."""
    harness = core_harness(effect)
    harness.engines((10, 0), (11, 0), (12, 1), (13, 1))
    harness.submit()
    harness.complete_prefill()
    return harness


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT])
def test_a_state_is_released_at_its_limit_and_no_sooner_while_its_attempt_is_in_flight(
    core_harness: Callable[..., CoreHarness], effect: Effect
) -> None:
    """Whatever the engine's kernel has acknowledged: until then the attempt may still fetch the state."""
    harness = attempt_in_flight(core_harness, effect)
    harness.loop.pass_time(RELEASED_AFTER - 0.01)
    assert harness.link.released == []
    harness.loop.pass_time(0.02)
    assert harness.link.released == [harness.link.attempts[0].name]
    assert len(harness.link.attempts) == 2 and not harness.link.attempts[1].cancelled
    harness.link.attempts[1].events.first_token()
    harness.link.attempts[1].events.ended(Outcome.FINISHED, 0, {}, {})
    harness.loop.turn()
    assert harness.core.tally.finished == 1


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.ERROR])
def test_an_answer_of_the_engine_itself_restarts_the_time_limit(
    core_harness: Callable[..., CoreHarness], outcome: Outcome
) -> None:
    harness = attempt_in_flight(core_harness, Effect.IDEMPOTENT)
    harness.loop.pass_time(0.2)
    harness.link.attempts[-1].events.ended(outcome, 0, {}, {})
    harness.loop.pass_time(RELEASED_AFTER - 0.01)
    assert harness.link.released == [] and len(harness.link.attempts) == 3
    harness.loop.pass_time(0.02)
    assert len(harness.link.released) == 1


@pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED])
@pytest.mark.parametrize("after", [0.13, 0.3])
def test_a_long_attempt_without_an_answer_does_not_restart_the_time_limit(
    core_harness: Callable[..., CoreHarness], outcome: Outcome, after: float
) -> None:
    """Guards against three attempts in a row at stopped engines, each of which restarted the limit."""
    harness = attempt_in_flight(core_harness, Effect.IDEMPOTENT)
    harness.loop.pass_time(after)
    harness.link.attempts[-1].events.ended(outcome, 0, {}, {})
    harness.loop.turn()
    assert harness.link.released == [harness.link.attempts[0].name]


@pytest.mark.parametrize(
    "effect, again",
    [(Effect.IDEMPOTENT, True), (Effect.IDEMPOTENCY_KEYED, False), (Effect.NON_IDEMPOTENT, False)],
)
def test_with_a_silent_decode_engine_a_request_that_may_be_retried_is_prefilled_again(
    core_harness: Callable[..., CoreHarness], effect: Effect, again: bool
) -> None:
    harness = attempt_in_flight(core_harness, effect)
    harness.loop.pass_time(RELEASED_AFTER + 0.01)
    ((engine, on_result),) = harness.link.liveness_checks
    assert engine == harness.link.attempts[1].engine
    on_result(False)
    harness.loop.turn()
    assert harness.link.attempts[1].cancelled is again
    assert [attempt.engine[:2] for attempt in harness.link.attempts[2:]] == ["e1"] * again
    assert harness.core.router.engines[int(engine[1:])].cooldowns  # new attempts go elsewhere


def test_a_keyed_request_is_prefilled_again_once_its_silent_engine_answers_that_it_has_not_run(
    core_harness: Callable[..., CoreHarness],
) -> None:
    """Not retried for silence alone: the engine may read the first attempt after it has forgotten the key."""
    harness = attempt_in_flight(core_harness, Effect.IDEMPOTENCY_KEYED)
    harness.loop.pass_time(RELEASED_AFTER + 0.01)
    harness.link.liveness_checks[0][1](False)
    harness.loop.pass_time(0.1)
    assert len(harness.link.attempts) == 2 and not harness.link.attempts[1].cancelled
    harness.link.attempts[1].events.ended(Outcome.FULL, 1, {}, {})
    harness.loop.turn()
    assert [attempt.engine[:2] for attempt in harness.link.attempts[2:]] == ["e1"]


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT])
def test_an_engine_that_answers_keeps_the_attempt(
    core_harness: Callable[..., CoreHarness], effect: Effect
) -> None:
    harness = attempt_in_flight(core_harness, effect)
    harness.loop.pass_time(RELEASED_AFTER + 0.01)
    harness.link.liveness_checks[0][1](True)
    harness.loop.turn()
    assert len(harness.link.attempts) == 2 and not harness.link.attempts[1].cancelled


def test_an_engine_that_has_answered_since_gets_no_liveness_check(
    core_harness: Callable[..., CoreHarness],
) -> None:
    harness = attempt_in_flight(core_harness, Effect.IDEMPOTENT)
    harness.link.last_heard[harness.link.attempts[1].engine] = harness.loop.time() + 0.1
    harness.loop.pass_time(RELEASED_AFTER + 0.01)
    assert len(harness.link.released) == 1 and not harness.link.liveness_checks


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT])
def test_an_attempt_that_arrives_after_the_release_is_prefilled_again(
    core_harness: Callable[..., CoreHarness], effect: Effect
) -> None:
    """410 follows from the release: nothing has run, and the engine gets no cooldown."""
    harness = attempt_in_flight(core_harness, effect)
    harness.loop.pass_time(RELEASED_AFTER + 0.01)
    attempt = harness.link.attempts[1]
    attempt.events.ended(Outcome.FULL, 1, {}, {})
    harness.loop.turn()
    assert [further.engine for further in harness.link.attempts[2:]] in (["e10"], ["e11"])
    assert not harness.core.router.engines[int(attempt.engine[1:])].cooldowns


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_disconnected_client_does_not_keep_the_state_held(
    core_harness: Callable[..., CoreHarness], may_cancel: bool
) -> None:
    harness = core_harness(may_cancel=may_cancel)
    harness.engines((10, 0), (12, 1))
    _, accepted_request = harness.submit()
    harness.complete_prefill()
    accepted_request.client_left()
    harness.loop.pass_time(RELEASED_AFTER + 0.01)
    assert harness.link.released == [harness.link.attempts[0].name]


@pytest.mark.parametrize(
    "part", [PREFILL_RESPONSE[:20], PREFILL_RESPONSE[:-4]], ids=["half a head", "half a body"]
)
def test_a_prefill_answer_that_begins_and_does_not_end_is_released_in_time(
    tmp_path: Path, part: bytes
) -> None:
    """The engine has processed the prompt and holds the state; the rest of its answer never comes."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine = setup.engines[0]
        client = setup.client()
        client.send(request("c0"))
        (await prefill_engine.wait_for_request()).sock.sendall(part)
        began = time.monotonic()
        await until(lambda: prefill_engine.deletes > 0, "the release")
        assert time.monotonic() - began <= LIMIT + ALLOWANCE - STALL_ALLOWANCE

    run_scenario(tmp_path, scenario)


def test_a_release_reports_to_all_callers_and_goes_on_where_an_answer_is_lost(tmp_path: Path) -> None:
    """The holder reads the DELETE, but its 204 is lost: another engine is asked in addition."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        recorders = RecordingReleaseEvents(), RecordingReleaseEvents()
        holder = setup.node.endpoint_list.serving_endpoints(0)[0][0]
        began = time.monotonic()
        for recorder in recorders:
            setup.node.link.release(holder, "c0", recorder)
        await prefill_engine.wait_for_request(1, b"DELETE")
        second = await decode_engine.wait_for_request(1, b"DELETE")
        assert time.monotonic() - began < 2 * MAX_ROUND_INTERVAL + 0.05
        second.sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        await until(lambda: not setup.node.link.releases, "the end of the release")
        assert prefill_engine.deletes == decode_engine.deletes == 1
        assert (
            recorders[1].events[-1].startswith("confirmed")
            and recorders[0].events[-1] == recorders[1].events[-1]
        )

    run_scenario(tmp_path, scenario)


def test_a_release_has_a_connection_where_requests_use_up_all_of_theirs(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine = setup.engines[0]
        pools = setup.node.link.pools
        pools.open = int(pools.max_connections - pools.reserved)
        assert pools.reserved >= 1 and not pools.reserve(pools.pool("127.0.0.1", 1))
        recorder = RecordingReleaseEvents()
        setup.node.link.release(setup.node.endpoint_list.serving_endpoints(0)[0][0], "c0", recorder)
        (await prefill_engine.wait_for_request(1, b"DELETE")).sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        await until(lambda: not setup.node.link.releases, "the end of the release")
        assert [line.partition(" ")[0] for line in recorder.events] == ["asked", "confirmed"]

    run_scenario(tmp_path, scenario)


def test_a_prefill_attempt_refused_in_pieces_holds_nothing(
    core_harness: Callable[..., CoreHarness],
) -> None:
    harness = core_harness()
    harness.engines((10, 0), (12, 1))
    harness.submit()
    harness.link.attempts[-1].events.answer_begun()
    harness.link.attempts[-1].events.ended(Outcome.FULL, 0, {}, {})
    harness.loop.turn()
    assert harness.link.released == [] and harness.core.held_state_summary()["open"] == 0


def test_the_limit_counts_from_the_first_byte_of_prefill_s_answer(
    core_harness: Callable[..., CoreHarness], no_violations: list[str]
) -> None:
    harness = core_harness()
    harness.link.confirms = False
    harness.engines((10, 0), (12, 1))
    harness.submit()
    harness.link.attempts[-1].events.answer_begun()
    harness.loop.pass_time(0.1)
    harness.complete_prefill()
    harness.loop.pass_time(LIMIT + ALLOWANCE - 0.09)
    assert no_violations == ["HELD: cmpl-f-1: held for 0.600 s, releasing"]
    no_violations.clear()


def test_an_attempt_behind_an_unconfirmed_release_ends_at_its_deadline(tmp_path: Path) -> None:
    """Guards against a late answer by the overdue timer, as with eight of ten engines silent."""

    async def scenario(setup: FrontSetup) -> None:
        client = setup.client()
        client.send(request("c0", budget=500))
        await setup.engines[0].wait_for_request()
        began = time.monotonic()
        assert await client.wait_for_answers(1) == [503]
        assert time.monotonic() - began < 0.5
        assert setup.node.core.tally.late == 0

    run_scenario(tmp_path, scenario)


def test_an_unconfirmed_release_is_repeated_later(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine = setup.engines[0]
        recorder = RecordingReleaseEvents()
        setup.node.link.release(setup.node.endpoint_list.serving_endpoints(0)[0][0], "c0", recorder)
        await until(lambda: "failed" in recorder.events, "the end of the first")
        asked = prefill_engine.deletes
        await until(lambda: prefill_engine.deletes > asked, "another")
        assert setup.node.link.failed_releases == 1

    run_scenario(tmp_path, scenario)


def test_a_state_counts_as_fetched_once_its_attempt_streams_though_its_release_is_unconfirmed(
    core_harness: Callable[..., CoreHarness],
) -> None:
    """The no_violations fixture sees no violation."""
    harness = attempt_in_flight(core_harness, Effect.IDEMPOTENT)
    harness.link.confirms = False
    harness.loop.pass_time(RELEASED_AFTER + 0.01)
    harness.link.attempts[1].events.first_token()
    harness.loop.pass_time(1.0)
    assert harness.core.held_state_summary()["taken"] == 1


def test_where_most_engines_are_silent_the_one_that_runs_is_found_in_time(tmp_path: Path) -> None:
    """Eight of nine engines are silent, as when two roles are silent at once, and nothing shows which."""

    async def scenario(setup: FrontSetup) -> None:
        running = setup.engines[-1]
        recorder = RecordingReleaseEvents()
        began = time.monotonic()
        setup.node.link.release(setup.node.endpoint_list.serving_endpoints(0)[0][0], "c0", recorder)
        (await running.wait_for_request(1, b"DELETE")).sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        await until(lambda: not setup.node.link.releases, "the end of the release")
        assert time.monotonic() - began < ALLOWANCE - STALL_ALLOWANCE + 0.1
        assert recorder.events[-1].startswith("confirmed")

    run_scenario(
        tmp_path,
        scenario,
        *(prefill(f"r{number}") for number in range(4)),
        *(decode(f"w{number}") for number in range(5)),
    )


def test_the_engine_that_answered_last_is_asked_first_after_a_silent_holder(tmp_path: Path) -> None:
    """The others have never answered: they may be as silent as the holder."""
    others = [prefill(f"q{number}") for number in range(5)]

    async def scenario(setup: FrontSetup) -> None:
        await setup.answer(setup.client(), "c0")
        await setup.wait_until_reusable()
        setup.publish_entries(*others)
        listed = setup.node.endpoint_list.serving_endpoints
        await until(lambda: len(listed(0)[0]) == 7, "the others on the list")
        recorder = RecordingReleaseEvents()
        setup.node.link.release(next(e for e in listed(0)[0] if e.name == "r"), "c1", recorder)
        last_answered = await setup.engines[1].wait_for_request(1, b"DELETE")
        last_answered.sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        await until(lambda: not setup.node.link.releases, "the end of the release")
        assert sum(engine.deletes for engine in others) == 0

    try:
        run_scenario(tmp_path, scenario)
    finally:
        for engine in others:
            engine.close()


@pytest.mark.parametrize(
    "outcome, detail",
    [(Outcome.FULL, 0), (Outcome.FULL, 1), (Outcome.ERROR, 0), (Outcome.TIMED_OUT, 0), (Outcome.BROKEN, 0)],
)
@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT])
def test_a_state_that_a_release_left_to_an_attempt_is_released_when_that_ends(
    core_harness: Callable[..., CoreHarness], effect: Effect, outcome: Outcome, detail: int
) -> None:
    """Guards against a state that stays held after its release.

    A release does not take the state from an arrived attempt that waits for it, and the attempt may end
    without fetching it.
    """
    harness = attempt_in_flight(core_harness, effect)
    harness.loop.pass_time(RELEASED_AFTER + 0.01)
    assert len(harness.link.released) == 1
    harness.link.attempts[1].events.ended(outcome, detail, {}, {})
    harness.loop.turn()
    assert len(harness.link.released) == 2 and harness.core.held_state_summary()["released"] == 2


def test_a_state_that_a_release_left_to_an_attempt_is_released_when_its_client_disconnects(
    core_harness: Callable[..., CoreHarness],
) -> None:
    harness = attempt_in_flight(core_harness, Effect.IDEMPOTENT)
    harness.loop.pass_time(RELEASED_AFTER + 0.01)
    next(iter(harness.core.live)).client_left()
    harness.loop.turn()
    assert harness.link.attempts[1].cancelled and len(harness.link.released) == 2


def test_an_attempt_that_streams_after_the_release_leaves_nothing_to_release(
    core_harness: Callable[..., CoreHarness],
) -> None:
    harness = attempt_in_flight(core_harness, Effect.IDEMPOTENT)
    harness.loop.pass_time(RELEASED_AFTER + 0.01)
    harness.link.attempts[1].events.first_token()
    harness.link.attempts[1].events.ended(Outcome.BROKEN, 0, {}, {})
    harness.loop.turn()
    assert len(harness.link.released) == 1


async def unclear_prefill(setup: FrontSetup, client: RawClient, budget: int = 4000) -> None:
    """Break the connection of a prefill attempt and confirm its release, before the prefill could succeed."""
    prefill_engine = setup.engines[0]
    client.send(request("c0", budget=budget))
    (await prefill_engine.wait_for_request()).sock.close()
    (await prefill_engine.wait_for_request(1, b"DELETE")).sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")


def test_the_late_state_of_an_unclear_prefill_is_released_once_another_attempt_streams(
    tmp_path: Path,
) -> None:
    """Guards against a state that the first prefill engine leaves after the release.

    Meanwhile the request goes on elsewhere: a release then would hit the state of the second prefill engine.
    """

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        await unclear_prefill(setup, client)
        (await prefill_engine.wait_for_request(2)).sock.sendall(PREFILL_RESPONSE)
        (await decode_engine.wait_for_request()).sock.sendall(DECODE_RESPONSE)
        await until(
            lambda: prefill_engine.deletes + decode_engine.deletes > 1, "a release after the first event"
        )

    run_scenario(tmp_path, scenario)


def test_the_late_state_of_an_unclear_prefill_is_released_once_its_request_is_over(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        await unclear_prefill(setup, client)
        await prefill_engine.wait_for_request(2)
        client.disconnect("closed")
        await until(
            lambda: prefill_engine.deletes + decode_engine.deletes > 1, "a release after the client has left"
        )

    run_scenario(tmp_path, scenario)


def test_the_late_state_of_an_unclear_prefill_is_released_after_a_refusal(tmp_path: Path) -> None:
    """The second prefill engine refuses the request, so the result of the second attempt is known."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        await unclear_prefill(setup, client, budget=400)
        (await prefill_engine.wait_for_request(2)).sock.sendall(RESPONSES["full"])
        await client.wait_for_answers(1)
        await until(
            lambda: prefill_engine.deletes + decode_engine.deletes > 1, "a release after the final answer"
        )

    run_scenario(tmp_path, scenario)


def test_the_release_of_an_unclear_prefill_is_repeated_for_as_long_as_that_may_run(
    tmp_path: Path,
) -> None:
    """Its engine may be cut off, so that it neither notices the close nor ends the prefill soon."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        client.send(request("c0"))
        await prefill_engine.wait_for_request()
        answering = asyncio.create_task(answer_releases(*setup.engines))
        client.disconnect("closed")
        since = time.monotonic()
        await until(lambda: prefill_engine.deletes + decode_engine.deletes > 3, "further releases")
        answering.cancel()
        assert 1.0 <= time.monotonic() - since <= 2.5

    run_scenario(tmp_path, scenario)
