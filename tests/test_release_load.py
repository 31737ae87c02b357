"""The number of releases where engines do not answer: they must not add to an overload."""

import asyncio
from collections import Counter
from pathlib import Path

from raw_peers import FrontSetup, RawConnection, RawEngine, decode, prefill, request, run_scenario

from heathford.platform.silent_engines import PROBE_INTERVAL, SILENT_AFTER, SilentEngines
from heathford.standin.platform import PREFILL_RESPONSE

PREFILLS, DECODES = 4, 8
REQUESTS = 12
REQUEST_INTERVAL = 0.05  # s
WATCH_TIME = 3.0  # s
MAX_RELEASES_PER_STATE = 10  # in that time: one release and two retries, at three engines each at most
MAX_PROBES = 48  # for all states together: each engine is tried once a second


async def answer_prefills(engines: list[RawEngine], answered: Counter[RawConnection]) -> None:
    """Answer each prefill attempt and no release; `answered` counts them by connection."""
    while True:
        for engine in engines:
            if engine.posts:
                for connection in engine.connections:
                    while answered[connection] < connection.received.count(b"POST /"):
                        answered[connection] += 1
                        connection.sock.sendall(PREFILL_RESPONSE)
        await asyncio.sleep(0.002)


def test_many_states_at_silent_engines_cost_few_releases_each(
    tmp_path: Path, no_violations: list[str]
) -> None:
    """Guards against releases that go to all engines for each state, and again when they fail: these kept an
    overloaded fleet from ever catching up (4,725 releases for 906 requests)."""
    prefills = [prefill(f"r{number}") for number in range(PREFILLS)]
    decodes = [decode(f"w{number}") for number in range(DECODES)]

    async def scenario(setup: FrontSetup) -> None:
        answered = Counter[RawConnection]()
        answering = asyncio.create_task(answer_prefills(prefills, answered))
        for number in range(REQUESTS):
            setup.client().send(request(f"c{number}", request_class="booking"))
            await asyncio.sleep(REQUEST_INTERVAL)
        await asyncio.sleep(WATCH_TIME)
        answering.cancel()
        releases = sum(engine.deletes for engine in setup.engines)
        assert (
            REQUESTS / 2
            <= answered.total()
            <= releases
            <= MAX_RELEASES_PER_STATE * answered.total() + MAX_PROBES
        )

    try:
        run_scenario(tmp_path, scenario, *prefills, *decodes, sockets=1_024)
    finally:
        only_held_state = all(violation.startswith("HELD") for violation in no_violations)
        no_violations.clear()  # no engine confirms a release here, which the gate reports
    assert only_held_state


ENGINE = ("127.0.0.1", 1)


def test_an_engine_is_silent_while_it_leaves_a_release_unanswered() -> None:
    engines = SilentEngines(lambda address: 0.0)
    assert not engines.is_silent(ENGINE, 10.0)
    engines.record_request(ENGINE, 10.0)
    assert not engines.is_silent(ENGINE, 10.0 + SILENT_AFTER / 2)
    assert engines.is_silent(ENGINE, 10.0 + SILENT_AFTER)
    assert not engines.is_silent(("127.0.0.1", 2), 10.0 + SILENT_AFTER)


def test_an_engine_that_has_answered_is_not_silent() -> None:
    engines = SilentEngines(lambda address: 0.0)
    engines.record_request(ENGINE, 10.0)
    engines.record_answer(ENGINE)
    assert not engines.is_silent(ENGINE, 10.0 + SILENT_AFTER)


def test_an_engine_that_has_sent_something_since_is_not_silent() -> None:
    engines = SilentEngines(lambda address: 10.01)
    engines.record_request(ENGINE, 10.0)
    assert not engines.is_silent(ENGINE, 10.0 + SILENT_AFTER)


def test_a_silent_engine_is_probed_by_one_release_at_a_time() -> None:
    engines = SilentEngines(lambda address: 0.0)
    engines.record_request(ENGINE, 10.0)
    assert engines.is_silent(ENGINE, 10.0 + PROBE_INTERVAL / 2)
    assert not engines.is_silent(ENGINE, 10.0 + PROBE_INTERVAL)
    engines.record_request(ENGINE, 10.0 + PROBE_INTERVAL)
    assert engines.is_silent(ENGINE, 10.0 + PROBE_INTERVAL)


def test_entries_of_removed_engines_do_not_accumulate() -> None:
    engines = SilentEngines(lambda address: 0.0)
    for number in range(5_000):
        engines.record_request(("127.0.0.1", number), 10.0 + number * PROBE_INTERVAL / 100)
    assert len(engines) < 1_000
