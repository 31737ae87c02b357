"""Prefill state is released in time where engine processes are stopped, or read and never answer.

The front node is a process of its own. The kernel of the engine's machine acknowledges the decode attempt,
and no engine ever handles it, as operators saw under fault injection.
"""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from time import monotonic
from typing import Any

import orjson
import pytest
import structlog
from engine_processes import FULL_QUEUE, NEVER_ACCEPTS, ANSWERS_AND_STOPS, READS_WITHOUT_ANSWER, EngineProcess
from raw_peers import request

from heathford.platform.process import log_unhandled
from heathford.soak.front import FrontProcess
from heathford.soak.records import Record
from heathford.standin.platform import DiscoveryAgent, ScriptedEngine, settings
from heathford.wire.requests import Request

LIMIT = 0.3  # s for which state may be held, as the stand-in's settings say
ALLOWANCE = 0.3  # s more, by the requirements
TIMEOUT = 10.0  # s that a test waits for anything


class Prefill(ScriptedEngine):
    """A prefill engine that answers, and records when it answered each request and received each release."""

    def __init__(self, uid: str) -> None:
        super().__init__(uid, "m0", True)
        self.answered_at: dict[str, float] = {}
        self.released_at: dict[str, float] = {}

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        name = request.headers.get("x-call-id", request.target.rpartition("/")[2])
        times = self.released_at if request.method == "DELETE" else self.answered_at
        times.setdefault(name, monotonic())
        await super().answer(request, writer)


class Fleet:
    """One front node process and its engines."""

    def __init__(self, front: FrontProcess, agent: DiscoveryAgent) -> None:
        self.front, self.agent = front, agent
        self.writers: list[asyncio.StreamWriter] = []

    async def ask(self, name: str, request_class: str, **more: Any) -> asyncio.StreamReader:
        """Send a request on a new connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.front.address.port)
        self.writers.append(writer)
        writer.write(request(name, request_class=request_class, **more))
        return reader


@asynccontextmanager
async def fleet(folder: Path, *engines: ScriptedEngine | EngineProcess) -> AsyncIterator[Fleet]:
    """Run a front node until it is ready, with these engines in its endpoint list."""
    for engine in engines:
        await (engine.start() if isinstance(engine, EngineProcess) else engine.open())
    agent = DiscoveryAgent()
    agent.engines = list(engines)  # type: ignore[arg-type]
    records: list[Record] = []
    front = FrontProcess("n0", folder, settings(), [await agent.open()], [], records.append)
    made = Fleet(front, agent)
    try:
        await front.start()
        async with asyncio.timeout(TIMEOUT):
            while not front.address.ready:
                await asyncio.sleep(0.01)
            await agent.wait_for_watchers()  # an earlier change would be missed
        yield made
    finally:
        for writer in made.writers:
            writer.close()
        await front.stop()
        agent.close()
        for engine in engines:
            if isinstance(engine, EngineProcess):
                await engine.close()
            else:
                engine.close()


async def until_released(prefill: Prefill, names: list[str]) -> None:
    async with asyncio.timeout(TIMEOUT):
        while not all(name in prefill.released_at for name in names):
            await asyncio.sleep(0.005)


def test_a_state_behind_silent_decode_engines_is_released_in_time(tmp_path: Path) -> None:
    """Three decode engines fall silent at once, one of them with a full accept queue, while idempotent and
    non-idempotent requests are on their way to them."""

    async def day() -> None:
        prefill = Prefill("r")
        scripts = (NEVER_ACCEPTS, FULL_QUEUE, READS_WITHOUT_ANSWER)
        silent = [EngineProcess(f"w{number}", "m1", script) for number, script in enumerate(scripts)]
        async with fleet(tmp_path, prefill, *silent) as made:
            for engine in silent[:2]:
                engine.stop()
            names = [f"{kind}{number}" for kind in ("chat", "booking") for number in range(3)]
            for name in names:
                await made.ask(name, name[:-1])
            await until_released(prefill, names)
        held = {name: prefill.released_at[name] - prefill.answered_at[name] for name in names}
        assert max(held.values()) <= LIMIT + ALLOWANCE, held

    asyncio.run(day())


@pytest.mark.parametrize("request_class", ["chat", "booking"])
def test_a_state_whose_holder_stops_is_released_by_another_engine(tmp_path: Path, request_class: str) -> None:
    """The prefill engine stops right after its answer, and all decode engines are stopped."""

    async def day() -> None:
        holder, other = EngineProcess("r0", "m0", ANSWERS_AND_STOPS), Prefill("r1")
        silent = [EngineProcess(f"w{number}", "m1", NEVER_ACCEPTS) for number in range(3)]
        async with fleet(tmp_path, holder, *silent) as made:
            for engine in silent:
                engine.stop()
            await other.open()
            await made.ask("c0", request_class)
            answered_at = await holder.read_figure()
            made.agent.engines.append(other)
            made.agent.send_change(other.row)
            await until_released(other, ["c0"])
            other.close()
        assert other.released_at["c0"] - answered_at <= LIMIT + ALLOWANCE

    asyncio.run(day())


def test_requests_at_stopped_engines_are_retried_at_others(tmp_path: Path) -> None:
    """Two of three decode engines are stopped: idempotent requests are served well before their deadline."""

    async def day() -> None:
        prefill, decode = Prefill("r"), ScriptedEngine("w9", "m1", False)
        silent = [EngineProcess(f"w{number}", "m1", NEVER_ACCEPTS) for number in range(2)]
        async with fleet(tmp_path, prefill, decode, *silent) as made:
            for engine in silent:
                engine.stop()
            began = monotonic()
            async with asyncio.timeout(TIMEOUT):
                for number in range(6):
                    reader = await made.ask(f"c{number}", "chat")
                    assert b"data: [DONE]" in await reader.readuntil(b"0\r\n\r\n")
        assert monotonic() - began < 4.0

    asyncio.run(day())


def test_the_history_of_a_request_is_written_on_sigusr1(tmp_path: Path) -> None:
    """Guards against a signal handler that fails unnoticed: the history was missing when it was needed."""

    async def day() -> None:
        prefill, decode = Prefill("r"), ScriptedEngine("w", "m1", False)
        async with fleet(tmp_path, prefill, decode) as made:
            reader = await made.ask("chat0", "chat")
            await reader.readuntil(b"0\r\n\r\n")
            made.front.send(signal.SIGUSR1)
            log = tmp_path / "n0.log"
            async with asyncio.timeout(TIMEOUT):
                while b'"history"' not in log.read_bytes():
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            lines = map(orjson.loads, log.read_bytes().splitlines())
            events = [line["what"] for line in lines if line.get("request") == "chat0"]
        assert [what for what in ("taken", "sent", "first event", "finished") if what not in events] == []

    asyncio.run(day())


def test_an_uncaught_exception_of_a_callback_is_logged(capsys: pytest.CaptureFixture[str]) -> None:
    structlog.reset_defaults()
    loop = asyncio.new_event_loop()
    log_unhandled(loop, {"message": "in a callback", "exception": ValueError("seen")})
    loop.close()
    assert "in a callback" in capsys.readouterr().out
