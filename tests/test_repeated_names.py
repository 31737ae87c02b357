"""A request under the name (X-Call-Id) of an earlier one whose client has left, or that has run."""

from pathlib import Path

import pytest
from raw_peers import FrontSetup, decode, prefill, request, run_scenario, until

from heathford.platform.request_names import USED_NAME_BYTES, USED_NAME_TIME, RequestNames
from heathford.standin.platform import DECODE_RESPONSE, PREFILL_RESPONSE
from heathford.wire.memory_budget import MemoryBudget


async def ask_again(setup: FrontSetup, request_class: str) -> list[int]:
    again = setup.client()
    again.send(request("c0", request_class=request_class))
    return await again.wait_for_answers(1)


@pytest.mark.parametrize("request_class", ["chat", "booking"])
@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("end", ["closed", "reset", "half closed"])
def test_a_name_whose_client_has_left_does_not_run_a_second_time(
    tmp_path: Path, request_class: str, cancel: bool, end: str
) -> None:
    """The name was free as its client left: the request ran again while an engine was still at it."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        client.send(request("c0", request_class=request_class))
        (await prefill_engine.wait_for_request()).sock.sendall(PREFILL_RESPONSE)
        await decode_engine.wait_for_request()
        client.disconnect(end)
        await until(lambda: not setup.node.core.open_count, "a client that left")
        assert await ask_again(setup, request_class) == [409]
        await until(lambda: not cancel or not setup.node.core.live, "an end of the attempt")
        assert await ask_again(setup, request_class) == [409]
        assert prefill_engine.posts == decode_engine.posts == 1

    run_scenario(tmp_path, scenario, prefill(), decode(), cancel=cancel)


def test_a_non_idempotent_request_that_was_served_does_not_run_a_second_time(tmp_path: Path) -> None:
    """Only open requests were known: the same request, sent again after its answer, had its effect twice."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        client.send(request("c0", request_class="booking"))
        (await prefill_engine.wait_for_request()).sock.sendall(PREFILL_RESPONSE)
        (await decode_engine.wait_for_request()).sock.sendall(DECODE_RESPONSE)
        await until(lambda: client.whole_streams == 1, "the stream")
        assert await ask_again(setup, "booking") == [409]
        assert prefill_engine.posts == decode_engine.posts == 1

    run_scenario(tmp_path, scenario)


def test_a_request_that_was_refused_before_it_ran_may_come_again(tmp_path: Path) -> None:
    """A client that sends a refused request again under its name must not be refused for that."""

    async def scenario(setup: FrontSetup) -> None:
        engines = setup.engines
        for engine in engines:
            engine.state = "DRAINING"
        setup.publish_entries(*engines)
        await until(lambda: setup.node.endpoint_list.version == 2, "the drain")
        assert await ask_again(setup, "booking") == [503]
        assert await ask_again(setup, "booking") == [503]

    run_scenario(tmp_path, scenario)


def test_names_are_known_for_a_time_and_a_bounded_number_of_them() -> None:
    """Clients with ever new names must not fill the memory."""
    memory = MemoryBudget(80 * USED_NAME_BYTES)
    names = RequestNames(memory)
    for number in range(100):
        names.request_opened(f"c{number}")
        names.request_removed(f"c{number}", True, 1.0 + number)
    assert not names.open and len(names.used) == 10 and memory.used_bytes == 10 * USED_NAME_BYTES
    assert names.is_taken("c99", 100.0) and not names.is_taken("c89", 100.0)
    assert not names.is_taken("c99", 100.0 + USED_NAME_TIME)
    names.request_removed("other", False, 100.0 + USED_NAME_TIME)
    assert not names.used and memory.used_bytes == 0
