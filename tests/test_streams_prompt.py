"""Stream events are passed on in the event loop iteration in which they arrive, and not in larger groups."""

from pathlib import Path
from typing import Any

import pytest
from raw_peers import FrontSetup, RawConnection, RawClient, request, run_scenario, until

from heathford.platform.exchange import EngineConnection
from heathford.standin.platform import EVENTS, PREFILL_RESPONSE, SECOND, STREAM, chunk

STREAMS = 200
ROUNDS = 10
MAX_LATENCY = 0.3  # s from the engine's write to the client, by the requirements
EVENT = EVENTS[0]


@pytest.mark.parametrize("count_at_once", [1, 2, 7])
def test_a_complete_event_is_passed_on_in_the_same_loop_iteration(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, count_at_once: int
) -> None:
    """Once the connection to the engine has handled received bytes, they are in the client's socket."""
    clients: list[RawClient] = []
    passed: list[int] = []
    received = EngineConnection.data_received

    def check_client(self: EngineConnection, data: bytes) -> None:
        received(self, data)
        if data.count(EVENT):
            passed.append(clients[0].read_available().count(EVENT) - sum(passed))

    monkeypatch.setattr(EngineConnection, "data_received", check_client)

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        clients.append(setup.client())
        connection = await setup.submit_until_decode(clients[0])
        connection.sock.sendall(STREAM)
        for count in range(1, 6):
            connection.sock.sendall(chunk(count_at_once * EVENT))
            await until(lambda count=count: len(passed) == count, "the events")  # type: ignore[misc]
        assert passed == 5 * [count_at_once]

    run_scenario(tmp_path, scenario)


def test_a_partial_event_does_not_delay_those_before_it(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        client = setup.client()
        connection = await setup.submit_until_decode(client)
        connection.sock.sendall(STREAM + chunk(3 * EVENT + EVENT[:20]))
        await until(lambda: client.read_available().count(EVENT) == 3, "three events")
        connection.sock.sendall(chunk(EVENT[20:]))
        await until(lambda: client.read_available().count(EVENT) == 4, "the fourth")

    run_scenario(tmp_path, scenario)


def test_events_are_passed_on_in_time_with_two_hundred_streams(tmp_path: Path) -> None:
    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, decode_engine = setup.engines
        clients: list[RawClient] = []
        streams: list[RawConnection] = []
        for number in range(STREAMS):
            clients.append(setup.client())
            clients[-1].send(request(f"c{number}"))
            (await prefill_engine.wait_for_request(number + 1)).sock.sendall(PREFILL_RESPONSE)
            streams.append(await decode_engine.wait_for_request(number + 1))
            streams[-1].sock.sendall(STREAM + chunk(EVENT))
            await until(lambda: clients[-1].read_available().count(EVENT) == 1, "the first event")
        loop, slowest = setup.node.loop, 0.0
        for round_number in range(2, ROUNDS + 2):
            started_at = loop.time()
            for stream in streams:
                stream.sock.sendall(chunk(EVENT))
            await until(
                lambda round_number=round_number: all(  # type: ignore[misc]
                    client.read_available().count(EVENT) == round_number for client in clients
                ),
                "an event of each",
            )
            slowest = max(slowest, loop.time() - started_at)
        assert slowest < MAX_LATENCY

    def long_pin_limit(configuration: dict[str, Any]) -> None:
        """Raise the limit: these engines answer no release, and 200 streams take long to start when busy."""
        configuration["familyInfo"]["pinLimitNs"] = 60 * SECOND

    run_scenario(tmp_path, scenario, sockets=2_048, change_settings=long_pin_limit)
