"""Streams that never end well, and sound slow ones, between real processes over loopback."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

import orjson
from node_processes import PLATFORM_COMMAND, started_node, wait_for_log, write_configuration
from raw_peers import request

from heathford.standin.platform import DiscoveryAgent, ScriptedEngine
from heathford.standin.stream_faults import (
    LAST_CHUNK,
    SLOW_STREAMS,
    SPOILT_STREAMS,
    TOKEN_EVENT,
    write_slowly,
    write_spoilt,
)
from heathford.wire.requests import Request

MAX_WAIT = 5.0  # s after an engine's last event, by the protocol page
PLAY_SECONDS = 12.0  # for which a spoilt stream goes on
BUDGET = 4000  # ms
START_INTERVAL = 0.05  # s between two requests
DECODE_ENGINES = 8
MAX_TRIES = 20
RETRY_DELAY = 0.2  # s
KINDS = [*SPOILT_STREAMS, *SLOW_STREAMS]


class FaultyEngine(ScriptedEngine):
    """A decode engine that answers each request as its name says."""

    def __init__(
        self, uid: str, serve_stream: Callable[[str, asyncio.StreamWriter], Awaitable[None]]
    ) -> None:
        super().__init__(uid, "m1", False)
        self.serve_stream = serve_stream

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.method == "DELETE":
            await super().answer(request, writer)
        else:
            await self.serve_stream(request.headers["x-call-id"], writer)


class Play:
    """One front node as a process, with engines whose streams are of the kinds asked for."""

    def __init__(self) -> None:
        self.last_event_at: dict[str, float] = {}  # when the engine wrote it, by request
        self.ended_at: dict[str, float] = {}  # when the client's connection ended
        self.received: dict[str, bytes] = {}

    async def serve_spoilt(self, name: str, writer: asyncio.StreamWriter) -> None:
        kind = kind_of(name)
        stream = SPOILT_STREAMS[kind]
        writer.write(stream.head + stream.frame(TOKEN_EVENT) + stream.frame(TOKEN_EVENT))
        self.last_event_at[kind] = asyncio.get_running_loop().time()
        await write_spoilt(stream, writer, PLAY_SECONDS, writer.is_closing)

    async def serve_slow(self, name: str, writer: asyncio.StreamWriter) -> None:
        await write_slowly(SLOW_STREAMS[kind_of(name)], writer)

    async def ask(self, port: int, kind: str) -> None:
        """Ask for a stream of that kind, again where the front node has refused it."""
        for number in range(MAX_TRIES):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request(f"{KINDS.index(kind):08x}{number:08x}", budget=BUDGET, keep=False))
            self.received[kind] = await reader.read()
            self.ended_at[kind] = asyncio.get_running_loop().time()
            writer.close()
            if self.received[kind].startswith(b"HTTP/1.1 200 "):
                return
            await asyncio.sleep(RETRY_DELAY)

    async def run(
        self,
        folder: Path,
        kinds: Iterable[str],
        serve_stream: Callable[[str, asyncio.StreamWriter], Awaitable[None]],
    ) -> None:
        """Ask for each kind once, and wait until all connections have ended."""
        prefill_engine = ScriptedEngine("r", "m0", True)
        engines = [
            prefill_engine,
            *(FaultyEngine(f"w{number}", serve_stream) for number in range(DECODE_ENGINES)),
        ]
        await asyncio.gather(*(engine.open() for engine in engines))
        agent = DiscoveryAgent(*engines)
        discovery = await agent.open()
        path = folder / "config.json"
        write_configuration(path, discovery)
        async with started_node("n0", path, discovery, *PLATFORM_COMMAND) as process:
            ready = orjson.loads(await wait_for_log(process, b'"ready"'))
            port = int(ready["listen"].rpartition(":")[2])
            asked = []
            for kind in kinds:
                asked.append(asyncio.create_task(self.ask(port, kind)))
                await asyncio.sleep(START_INTERVAL)
            await asyncio.gather(*asked)
        agent.close()
        for engine in engines:
            engine.close()


def kind_of(name: str) -> str:
    """Return the kind that a request asks for by its name."""
    return KINDS[int(name[:8], 16)]


def test_no_client_is_left_waiting_behind_a_spoilt_stream(tmp_path: Path) -> None:
    """Bytes of no event counted as progress: clients waited for over 5 s after the last event."""
    play = Play()
    asyncio.run(play.run(tmp_path, SPOILT_STREAMS, play.serve_spoilt))
    waits = {kind: round(play.ended_at[kind] - play.last_event_at[kind], 2) for kind in SPOILT_STREAMS}
    print("s from the last sound event to the end of the client's connection:", waits)
    assert not {kind: wait for kind, wait in waits.items() if wait > MAX_WAIT}
    for kind in SPOILT_STREAMS:
        assert play.received[kind].count(TOKEN_EVENT) >= 2, kind
        assert not play.received[kind].endswith(LAST_CHUNK), kind


def test_sound_streams_that_are_written_slowly_arrive_whole(tmp_path: Path) -> None:
    """Guards against a stream cut off while its engine still writes a sound event."""
    play = Play()
    asyncio.run(play.run(tmp_path, SLOW_STREAMS, play.serve_slow))
    for kind, stream in SLOW_STREAMS.items():
        assert play.received[kind].endswith(LAST_CHUNK), kind
        assert dechunked(play.received[kind]) == stream.events, kind


def dechunked(answer: bytes) -> bytes:
    """Return the body of an answer that came in chunks."""
    rest, body = answer.partition(b"\r\n\r\n")[2], b""
    while (size := int(rest.partition(b"\r\n")[0], 16)) > 0:
        start = rest.index(b"\r\n") + 2
        body, rest = body + rest[start : start + size], rest[start + size + 2 :]
    return body
