"""A fault in one place costs at most one request, which is still answered."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from conftest import CoreHarness
from raw_peers import FrontSetup, decode, front_node, prefill, request, run_scenario, run_loop_turns, until

from heathford.core.protocols import Endpoint
from heathford.interface import Health, Role, Outcome
from heathford.platform.client_connection import ClientConnection
from heathford.platform.client_server import ClientServer
from heathford.policy import Router
from heathford.standin.platform import GOOD, READ
from heathford.wire.request_reader import RequestReader

Make = Callable[..., CoreHarness]


def raising(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, times: int = 1) -> list[None]:
    """Have the method raise that often, then work as before; what it has raised is counted."""
    method, raised = getattr(owner, name), list[None]()

    def patched(*rest: Any, **more: Any) -> Any:
        if len(raised) < times:
            raised.append(None)
            raise ValueError("a fault of our own")
        return method(*rest, **more)

    monkeypatch.setattr(owner, name, patched)
    return raised


def test_a_decision_that_no_request_explains_leaves_all_that_wait_waiting(
    core_harness: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seen before: what waited was lost to the decisions, and answered when its time was up."""
    i = core_harness()
    i.engines((1, 0), (2, 1))
    raised = raising(monkeypatch, Router, "send")
    monkeypatch.setattr(i.core, "culprit", lambda problem: None)
    clients = [i.take()[0] for _ in range(2)]
    i.loop.pass_time(0.2)
    assert raised and len(i.link.attempts) == 2 and not any(client.finals for client in clients)


def test_an_attempt_that_could_not_be_started_is_not_out(
    core_harness: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    i = core_harness()
    i.engines((1, 0), (2, 1))
    raised = raising(monkeypatch, i.link, "send")
    client, taken = i.take()
    i.loop.pass_time(0.2)
    assert raised and taken.in_flight is taken.attempts[1] and not client.finals
    assert sum(len(engine.in_flight) for engine in i.core.router.engines.values()) == 1


@pytest.mark.parametrize("verdict", [Outcome.PREFILLED, Outcome.BROKEN])
def test_what_ends_for_an_abandoned_request_is_not_out_at_its_engine_for_good(
    core_harness: Make, monkeypatch: pytest.MonkeyPatch, verdict: Outcome
) -> None:
    i = core_harness(may_cancel=False)
    i.engines((1, 0), (2, 1))
    client, taken = i.take()
    taken.abandon("a fault")
    i.loop.turn()
    assert client.finals == ["aborted: a fault"] and not i.core.live
    assert sum(len(engine.in_flight) for engine in i.core.router.engines.values()) == 0


def endpoint(number: int, role: Role) -> Endpoint:
    return Endpoint(number, f"e{number}", role, "127.0.0.1", number)


def test_an_entry_of_the_list_that_raises_costs_only_itself(core_harness: Make) -> None:
    """The drain that stands behind it is acted on. Seen before: the list was left half taken."""
    i = core_harness()
    i.engines((1, 0), (2, 1))
    i.core.apply_endpoint_list(
        False,
        [
            (endpoint(3, Role.PREFILL), 0, 99, 1, Health.ON, 1.0, 0.0),  # a kind that nobody knows
            (endpoint(1, Role.PREFILL), 0, 0, 1, Health.DRAINING, 1.0, 0.0),
        ],
    )
    i.loop.turn()
    assert i.core.tally.faults == 1 and i.core.router.engines[1].health is Health.DRAINING
    i.take()
    assert not i.link.attempts


def test_a_list_that_could_not_be_laid_out_sends_nothing_to_what_drains_and_is_asked_for_again(
    core_harness: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    i = core_harness()
    i.engines((1, 0), (2, 1), (4, 0))
    again: list[None] = []
    i.core.on_endpoint_list_failure = lambda: again.append(None)
    raised = raising(monkeypatch, i.core.router, "end_list_update")
    i.engines((1, 0), (4, 0), health=Health.DRAINING)
    i.take()
    i.loop.pass_time(0.5)
    assert raised and again and not i.link.attempts


@pytest.mark.parametrize("step", ["rate_limited", "finished", "aborted"])
def test_a_response_writer_that_raises_ends_in_an_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    raised = raising(monkeypatch, ClientConnection, step)

    async def day(play: FrontSetup) -> None:
        a, b = play.engines
        client, other = play.client(), play.client()
        client.send(request("c0", budget=300, request_class="booking"))
        held = await a.wait_for_request()
        if step != "rate_limited":
            held.sock.sendall(READ)
            held = await b.wait_for_request()
        if step == "finished":
            held.sock.sendall(GOOD)
        if step == "aborted":
            held.sock.close()
        if step == "finished":  # part of the answer has gone out: it ends without its last chunk
            await client.wait_until_closed()
            assert client.whole_streams == 0
        else:
            assert await client.wait_for_answers(1) == [502]
        await play.answer(other, "c1")
        assert raised

    run_scenario(tmp_path, day)


@pytest.mark.parametrize(
    "owner, name", [(RequestReader, "feed"), (ClientConnection, "submit")], ids=["parser", "hand-over"]
)
def test_a_fault_on_the_way_in_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str
) -> None:
    raised = raising(monkeypatch, owner, name)

    async def day(play: FrontSetup) -> None:
        a, b = play.engines
        client, other = play.client(), play.client()
        client.send(request("c0"))
        assert await client.wait_for_answers(1) == [500]
        await play.answer(other, "c1")
        assert raised and a.posts == 1

    run_scenario(tmp_path, day)


def test_a_fault_at_one_connection_does_not_end_the_sweeps(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    raised = raising(monkeypatch, ClientServer, "sweep_connection")

    async def day() -> None:
        async with front_node(tmp_path, prefill(), decode()) as play:
            first, second = play.client(), play.client()
            await until(lambda: len(raised) == 1, "a sweep")
            await until(lambda: play.node.sweeps >= 3, "further sweeps")
            await run_loop_turns()
            first.read_available(), second.read_available()
            assert first.ended + second.ended == 1

    asyncio.run(day())
