"""An attempt that waited for a connection or a release is checked again right before its first byte.

Since the decision its engine may have begun to drain, and the time in which its key is known may have ended.
"""

import asyncio
from pathlib import Path
from typing import Any

import pytest
from raw_peers import FrontSetup, decode, prefill, request, run_scenario, run_loop_turns, until

from heathford.standin.platform import DECODE_RESPONSE, PREFILL_RESPONSE


class DelayedConnections:
    """Delays connections to one port until they are released."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, loop: asyncio.AbstractEventLoop, port: int) -> None:
        self.released = asyncio.Event()
        self.waiting = 0
        connect = loop.create_connection

        async def delayed_connect(protocol_factory: Any, host: str, to_port: int, **more: Any) -> Any:
            if to_port == port:
                self.waiting += 1
                await self.released.wait()
            return await connect(protocol_factory, host, to_port, **more)

        monkeypatch.setattr(loop, "create_connection", delayed_connect)


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
@pytest.mark.parametrize("place", [0, 1], ids=["prefill", "decode"])
def test_no_attempt_at_an_engine_that_began_to_drain_while_its_connection_came_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, place: int, state: str
) -> None:
    async def scenario(setup: FrontSetup) -> None:
        engine = setup.engines[place]
        connections = DelayedConnections(monkeypatch, setup.node.loop, engine.listener.getsockname()[1])
        client = setup.client()
        client.send(request("c0"))
        if place:
            (await setup.engines[0].wait_for_request()).sock.sendall(PREFILL_RESPONSE)
        await until(lambda: connections.waiting > 0, "a connection attempt")
        version = setup.node.endpoint_list.version
        engine.state = state
        setup.publish_entries(engine)
        await until(lambda: setup.node.endpoint_list.version > version, "the drain in the endpoint list")
        connections.released.set()
        await run_loop_turns(200)
        assert engine.posts == 0
        other = setup.engines[place + 2]
        (await other.wait_for_request()).sock.sendall(DECODE_RESPONSE if place else PREFILL_RESPONSE)

    run_scenario(
        tmp_path, scenario, prefill("r"), decode("w"), prefill("r2"), decode("w2"), connectTimeoutNs=10**9
    )
