"""A fault in one place affects at most one request, which still gets its final answer."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from conftest import CoreHarness
from raw_peers import FrontSetup, decode, front_node, prefill, request, run_loop_turns, run_scenario, until

from heathford.core.protocols import Endpoint
from heathford.interface import Health, Role, Outcome
from heathford.platform.client_connection import ClientConnection
from heathford.platform.client_server import ClientServer
from heathford.policy import Router
from heathford.standin.platform import DECODE_RESPONSE, PREFILL_RESPONSE
from heathford.wire.request_reader import RequestReader

MakeCoreHarness = Callable[..., CoreHarness]


def raise_in(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, times: int = 1) -> list[None]:
    """Have the method raise so many times, then work as before; return a list with one item per raise."""
    method, raised = getattr(owner, name), list[None]()

    def patched(*args: Any, **kwargs: Any) -> Any:
        if len(raised) < times:
            raised.append(None)
            raise ValueError("a fault of our own")
        return method(*args, **kwargs)

    monkeypatch.setattr(owner, name, patched)
    return raised


def test_unattributed_decision_fault_keeps_waiting_requests(
    core_harness: MakeCoreHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Waiting requests dropped out of the decisions and were answered only when their time was up."""
    harness = core_harness()
    harness.engines((1, 0), (2, 1))
    raised = raise_in(monkeypatch, Router, "send")
    monkeypatch.setattr(harness.core, "culprit", lambda problem: None)
    clients = [harness.submit()[0] for _ in range(2)]
    harness.loop.pass_time(0.2)
    assert raised and len(harness.link.attempts) == 2 and not any(client.finals for client in clients)


def test_attempt_that_failed_to_start_is_not_in_flight(
    core_harness: MakeCoreHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = core_harness()
    harness.engines((1, 0), (2, 1))
    raised = raise_in(monkeypatch, harness.link, "send")
    client, accepted_request = harness.submit()
    harness.loop.pass_time(0.2)
    assert raised and accepted_request.in_flight is accepted_request.attempts[1] and not client.finals
    assert sum(len(engine.in_flight) for engine in harness.core.router.engines.values()) == 1


@pytest.mark.parametrize("outcome", [Outcome.PREFILLED, Outcome.BROKEN])
def test_attempt_of_an_abandoned_request_does_not_stay_in_flight(
    core_harness: MakeCoreHarness, monkeypatch: pytest.MonkeyPatch, outcome: Outcome
) -> None:
    harness = core_harness(may_cancel=False)
    harness.engines((1, 0), (2, 1))
    client, accepted_request = harness.submit()
    accepted_request.abandon("a fault")
    harness.loop.turn()
    assert client.finals == ["aborted: a fault"] and not harness.core.live
    assert sum(len(engine.in_flight) for engine in harness.core.router.engines.values()) == 0


def endpoint(number: int, role: Role) -> Endpoint:
    return Endpoint(number, f"e{number}", role, "127.0.0.1", number)


def test_list_entry_that_raises_does_not_affect_others(core_harness: MakeCoreHarness) -> None:
    """The drain in the entry behind it takes effect; the rest of the list used to be skipped."""
    harness = core_harness()
    harness.engines((1, 0), (2, 1))
    harness.core.apply_endpoint_list(
        False,
        [
            (endpoint(3, Role.PREFILL), 0, 99, 1, Health.ON, 1.0, 0.0),  # an unknown kind
            (endpoint(1, Role.PREFILL), 0, 0, 1, Health.DRAINING, 1.0, 0.0),
        ],
    )
    harness.loop.turn()
    assert harness.core.tally.faults == 1 and harness.core.router.engines[1].health is Health.DRAINING
    harness.submit()
    assert not harness.link.attempts


def test_failed_list_update_respects_drains_and_is_requested_again(
    core_harness: MakeCoreHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = core_harness()
    harness.engines((1, 0), (2, 1), (4, 0))
    requested: list[None] = []
    harness.core.on_endpoint_list_failure = lambda: requested.append(None)
    raised = raise_in(monkeypatch, harness.core.router, "end_list_update")
    harness.engines((1, 0), (4, 0), health=Health.DRAINING)
    harness.submit()
    harness.loop.pass_time(0.5)
    assert raised and requested and not harness.link.attempts


@pytest.mark.parametrize("method_name", ["rate_limited", "finished", "aborted"])
def test_request_is_answered_when_the_response_writer_raises(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, method_name: str
) -> None:
    raised = raise_in(monkeypatch, ClientConnection, method_name)

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client, other = setup.client(), setup.client()
        client.send(request("c0", budget=300, request_class="booking"))
        connection = await prefill_engine.wait_for_request()
        if method_name != "rate_limited":
            connection.sock.sendall(PREFILL_RESPONSE)
            connection = await decode_engine.wait_for_request()
        if method_name == "finished":
            connection.sock.sendall(DECODE_RESPONSE)
        if method_name == "aborted":
            connection.sock.close()
        if method_name == "finished":  # part of the answer was sent: it ends without its last chunk
            await client.wait_until_closed()
            assert client.whole_streams == 0
        else:
            assert await client.wait_for_answers(1) == [502]
        await setup.answer(other, "c1")
        assert raised

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "owner, name", [(RequestReader, "feed"), (ClientConnection, "submit")], ids=["parser", "hand-over"]
)
def test_fault_while_receiving_a_request_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str
) -> None:
    raised = raise_in(monkeypatch, owner, name)

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client, other = setup.client(), setup.client()
        client.send(request("c0"))
        assert await client.wait_for_answers(1) == [500]
        await setup.answer(other, "c1")
        assert raised and prefill_engine.posts == 1

    run_scenario(tmp_path, scenario)


def test_fault_at_one_connection_does_not_end_the_sweeps(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    raised = raise_in(monkeypatch, ClientServer, "sweep_connection")

    async def scenario() -> None:
        async with front_node(tmp_path, prefill(), decode()) as setup:
            first, second = setup.client(), setup.client()
            await until(lambda: len(raised) == 1, "a sweep")
            await until(lambda: setup.node.sweeps >= 3, "further sweeps")
            await run_loop_turns()
            first.read_available(), second.read_available()
            assert first.ended + second.ended == 1

    asyncio.run(scenario())
