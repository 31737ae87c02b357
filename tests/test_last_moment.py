"""An attempt that waits for a connection or a release is looked at again right before its first byte.

Between the decision and that moment an engine may begin to drain, and the window for repeats may end.
"""

import asyncio
from pathlib import Path
from typing import Any

import pytest
from raw_peers import FrontSetup, decode, prefill, request, run_scenario, run_loop_turns, until

from heathford.standin.platform import GOOD, READ


class Gate:
    """Connections to one port come up when it is opened."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, loop: asyncio.AbstractEventLoop, port: int) -> None:
        self.opened = asyncio.Event()
        self.waiting = 0
        connect = loop.create_connection

        async def later(made: Any, host: str, to: int, **more: Any) -> Any:
            if to == port:
                self.waiting += 1
                await self.opened.wait()
            return await connect(made, host, to, **more)

        monkeypatch.setattr(loop, "create_connection", later)


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
@pytest.mark.parametrize("place", [0, 1], ids=["prefill", "decode"])
def test_no_attempt_at_an_engine_that_began_to_drain_while_its_connection_came_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, place: int, state: str
) -> None:
    async def day(play: FrontSetup) -> None:
        engine = play.engines[place]
        gate = Gate(monkeypatch, play.node.loop, engine.listener.getsockname()[1])
        client = play.client()
        client.send(request("c0"))
        if place:
            (await play.engines[0].wait_for_request()).sock.sendall(READ)
        await until(lambda: gate.waiting > 0, "a connection on its way")
        version = play.node.instances.version
        engine.state = state
        play.publish_entries(engine)
        await until(lambda: play.node.instances.version > version, "the drain told")
        gate.opened.set()
        await run_loop_turns(200)
        assert engine.posts == 0
        other = play.engines[place + 2]
        (await other.wait_for_request()).sock.sendall(GOOD if place else READ)

    run_scenario(
        tmp_path, day, prefill("r"), decode("w"), prefill("r2"), decode("w2"), connectTimeoutNs=10**9
    )
