"""Long sends: how their progress is followed, the rates learned from them, and how the policy uses these."""

import pytest
from conftest import RouterHarness

from heathford.interface import PART_ARRIVED, GiveUpReason, Outcome
from heathford.policy.transfer import (
    RATE_MAX_AGE,
    BEHIND_AFTER,
    LONG_SEND,
    PROGRESS_CHECK_INTERVAL,
    ASSUMED_RATE,
    STALLED_AFTER,
    CLEANUP_SIZE,
    Send,
    SendState,
    TransferRates,
)

SIZE = 250_000  # bytes
PREFILL_ENTRY, DECODE_ENTRY, COMBINED_ENTRY = (10, 0), (12, 1), (14, 2)


def arrived_send(engine: int, rate: float, size: int = SIZE) -> Send:
    """Return a send that has arrived, at that many bytes per s."""
    return Send(engine, size, 0.0, 0.0, moved=size, spent=size / rate)


def rates_of(rate: float, now: float = 0.0, engine: int = 1) -> TransferRates:
    rates = TransferRates()
    rates.observe(arrived_send(engine, rate), now)
    return rates


@pytest.mark.parametrize(
    "rate, state",
    [(0.0, SendState.STALLED), (ASSUMED_RATE / 4, SendState.BEHIND), (ASSUMED_RATE, SendState.PROGRESSING)],
)
def test_a_send_in_progress_is_given_up_only_where_the_deadline_told_would_be_wrong(
    rate: float, state: SendState
) -> None:
    send = TransferRates().start(1, SIZE, 4.0, 0.0)
    states = [
        send.check_progress(step * PROGRESS_CHECK_INTERVAL, int(step * PROGRESS_CHECK_INTERVAL * rate))
        for step in range(1, 30)
    ]
    end_step = next((step for step, found in enumerate(states, 1) if found is not SendState.PROGRESSING), 0)
    if state is SendState.PROGRESSING:
        assert end_step * PROGRESS_CHECK_INTERVAL > SIZE / rate
    else:
        after = STALLED_AFTER if state is SendState.STALLED else send.reserved_time + BEHIND_AFTER
        assert states[end_step - 1] is state
        assert end_step * PROGRESS_CHECK_INTERVAL == pytest.approx(after, abs=PROGRESS_CHECK_INTERVAL)


def test_a_stall_of_this_process_is_no_stalled_send_and_changes_no_rate() -> None:
    """Guards against engines that are avoided because this process itself stalled."""
    send = TransferRates().start(1, SIZE, 4.0, 0.0)
    assert send.check_progress(0.15, 0) is SendState.PROGRESSING
    send.check_progress(0.17, SIZE)
    rates = TransferRates()
    rates.observe(send, 0.17)
    expected = rates.expected_time(1, SIZE, 0.2)
    assert expected == pytest.approx(3 * PROGRESS_CHECK_INTERVAL)


@pytest.mark.parametrize(
    "size, left, reserved_time",
    [(20_000, 4.0, 0.0), (SIZE, 4.0, 1.25 * SIZE / ASSUMED_RATE), (SIZE, 0.2, 0.1)],
)
def test_the_deadline_told_is_reduced_by_the_expected_time_of_a_long_send(
    size: int, left: float, reserved_time: float
) -> None:
    assert TransferRates().start(1, size, left, 0.0).reserved_time == pytest.approx(reserved_time)


def test_rates_fall_at_once_rise_by_halves_and_expire() -> None:
    rates = rates_of(2e6)
    rates.observe(arrived_send(1, 1e6), 1.0)
    assert rates.expected_time(1, SIZE, 1.0) == pytest.approx(0.25)
    rates.observe(arrived_send(1, 3e6), 2.0)
    assert rates.expected_time(1, SIZE, 2.0) == pytest.approx(0.125)
    # A short send is no measurement: buffers take it at once, or this process stalled.
    rates.observe(arrived_send(1, 1e3, LONG_SEND - 1), 3.0)
    assert rates.expected_time(1, SIZE, 3.0) == pytest.approx(0.125)
    assert rates.expected_time(1, SIZE, 2.0 + RATE_MAX_AGE) is None and not rates.rates


def test_a_short_send_that_falls_behind_sets_the_rate() -> None:
    """Guards against a request that is given up at each attempt, as no rate is learned from it."""
    send = TransferRates().start(1, LONG_SEND // 2, 4.0, 0.0)
    rates = TransferRates()
    states = [
        send.check_progress(step * PROGRESS_CHECK_INTERVAL, int(1e5 * step * PROGRESS_CHECK_INTERVAL))
        for step in range(1, 6)
    ]
    assert states[-1] is SendState.BEHIND
    rates.observe(send, 0.1)
    assert rates.start(1, LONG_SEND // 2, 4.0, 0.1).reserved_time == pytest.approx(1.25 * LONG_SEND / 2 / 1e5)
    assert rates.may_matter(100, 0.1) and not rates.may_matter(100, 0.1 + RATE_MAX_AGE)


def test_rates_of_removed_engines_are_dropped() -> None:
    rates = TransferRates()
    for engine in range(3 * CLEANUP_SIZE):
        rates.observe(arrived_send(engine, 2e6), float(engine))
    assert len(rates.rates) <= CLEANUP_SIZE


@pytest.mark.parametrize("slow_engine_count, by, in_time", [(0, 0.0, True), (1, 0.0, True), (2, 9.0, False)])
def test_an_engine_without_a_rate_is_tried_until_two_were_slow(
    slow_engine_count: int, by: float, in_time: bool
) -> None:
    assert TransferRates().can_arrive_by(1, SIZE, 0.0, by, slow_engine_count) == in_time


def test_no_prefill_for_a_decode_engine_that_a_long_prompt_can_not_reach_in_time() -> None:
    """Guards against a state that is released before the prompt has reached the decode engine."""
    rates = rates_of(2e5, 100.0, DECODE_ENTRY[0])
    harness = RouterHarness(transfers=rates)
    harness.engines(PREFILL_ENTRY, DECODE_ENTRY)
    request = harness.submit(size=SIZE)
    assert (
        harness.new_actions() == [("rate_limit",)]
        and request.give_up_reason is GiveUpReason.TRANSFER_TOO_SLOW
    )
    assert harness.retry_after == 0.0
    harness.submit(size=LONG_SEND // 2)
    assert harness.new_actions() == [("send", PREFILL_ENTRY[0])]
    harness.submit(session="t", size=SIZE)
    harness.new_actions()
    rates.observe(arrived_send(COMBINED_ENTRY[0], 2e5), harness.now)
    harness.engines(COMBINED_ENTRY)
    harness.submit(session="u", size=SIZE)
    assert harness.new_actions() == [("send", COMBINED_ENTRY[0])]


def test_two_slow_engines_of_a_role_end_a_request_and_one_does_not() -> None:
    harness = RouterHarness()
    harness.engines(PREFILL_ENTRY, (11, 0), (15, 0), DECODE_ENTRY)
    request = harness.submit(size=SIZE)
    harness.end_attempt(request, Outcome.UNREACHABLE, detail=PART_ARRIVED)
    assert [asked[0] for asked in harness.new_actions()] == ["send", "send"]
    harness.end_attempt(request, Outcome.UNREACHABLE, detail=PART_ARRIVED)
    assert (
        harness.new_actions() == [("rate_limit",)]
        and request.give_up_reason is GiveUpReason.TRANSFER_TOO_SLOW
    )


def test_an_engine_that_was_slow_gets_a_further_attempt_at_the_learned_rate() -> None:
    """Guards against a cooldown of a healthy engine whose connection is slow."""
    harness = RouterHarness(transfers=(rates := TransferRates()))
    harness.engines(PREFILL_ENTRY, DECODE_ENTRY)
    request = harness.submit(size=SIZE)
    rates.observe(arrived_send(PREFILL_ENTRY[0], 8e5), harness.now)
    harness.end_attempt(request, Outcome.UNSENT, detail=PART_ARRIVED)
    assert harness.new_actions() == [("send", PREFILL_ENTRY[0])] * 2
