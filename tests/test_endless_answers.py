"""Answers whose sender goes on without end: each reader waits for content, not for bytes."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, suppress
from itertools import chain, islice, repeat

import pytest
from test_link import HEAD, TOKEN, RecordedCallEvents

from heathford.client import HttpClient, batches, http
from heathford.client.answers import Aborted
from heathford.core.protocols import Endpoint
from heathford.engines.link import EngineLink
from heathford.fleet import registry_client
from heathford.fleet.list_watch import RegistryFollower
from heathford.interface import Outcome, Role
from heathford.platform.answers import LONGEST_BODY
from heathford.standin.platform import STREAM, chunk
from heathford.standin.stream_faults import SPOILT_STREAMS, SpoiltStream

MAX_SILENCE = 0.3  # s, in place of each reader's own limit
END_LIMIT = 1.5  # s in which each reader has to end: far more than its limit, far less than PLAY_SECONDS
PLAY_SECONDS = 4.0
PART_INTERVAL = 0.05  # s
JSON_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


@asynccontextmanager
async def server_of(parts: Iterator[bytes]) -> AsyncIterator[int]:
    """Serve these parts, one each PART_INTERVAL, to each client; yield the port."""
    all_parts = list(islice(parts, int(PLAY_SECONDS / PART_INTERVAL)))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            for part in all_parts:
                writer.write(part)
                await asyncio.sleep(PART_INTERVAL)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


def make_link() -> EngineLink:
    """Return a link with that limit for silence, and events up to the length that a body may have."""
    return EngineLink(
        connect_timeout=0.5,
        connections=8,
        idle=5.0,
        stream_silence=MAX_SILENCE,
        longest_line=LONGEST_BODY,
        pin_limit=0.3,
    )


CHUNKED_STREAMS = {kind: stream for kind, stream in SPOILT_STREAMS.items() if stream.head == STREAM}


@pytest.mark.parametrize("stream", CHUNKED_STREAMS.values(), ids=CHUNKED_STREAMS)
def test_a_spoilt_stream_does_not_hold_the_link_to_engines(stream: SpoiltStream) -> None:
    """The link of the other fronts counted any byte as progress of a stream."""

    async def scenario() -> None:
        recorded, loop = RecordedCallEvents(), asyncio.get_running_loop()
        link = make_link()
        async with server_of(chain([HEAD + chunk(TOKEN)], stream.parts())) as port:
            endpoint = Endpoint(1, "e", Role.DECODE, "127.0.0.1", port)
            link.send(endpoint, "c.0", {"prompt": "x"}, None, "", 0.3, recorded)
            await recorded.begun.wait()
            started = loop.time()
            await asyncio.wait_for(recorded.over.wait(), PLAY_SECONDS)
            assert loop.time() - started < END_LIMIT
            assert recorded.outcome in (Outcome.TIMED_OUT, Outcome.ERROR)
        link.stop()

    asyncio.run(scenario())


def test_empty_deltas_are_progress_of_a_stream() -> None:
    """An event without text was none: a sound stream of such events was cut off."""

    async def scenario() -> None:
        recorded = RecordedCallEvents()
        link = make_link()
        empty_deltas = [chunk(TOKEN.replace(b" a", b""))] * 12
        end = chunk(TOKEN) + chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n"
        async with server_of(iter([HEAD + chunk(TOKEN), *empty_deltas, end])) as port:
            endpoint = Endpoint(1, "e", Role.DECODE, "127.0.0.1", port)
            link.send(endpoint, "c.0", {"prompt": "x"}, None, "", 0.3, recorded)
            await asyncio.wait_for(recorded.over.wait(), PLAY_SECONDS)
            assert recorded.outcome is Outcome.FINISHED
        link.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "parts",
    [
        [HEAD, b"5a;"],
        [HEAD + b"5a;", b"x"],
        [HEAD, chunk(b": still here\n\n")],
        [b"HTTP/1.1 200 OK\r\nX: ", b"x"],
        [b"HTTP/1.1 502 X\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(b" ")],
    ],
    ids=["size line", "extension", "comments", "head", "body of an error"],
)
def test_an_answer_without_end_does_not_hold_the_client_library(
    monkeypatch: pytest.MonkeyPatch, parts: list[bytes]
) -> None:
    """Each read had the whole time limit anew, before the first event too."""
    monkeypatch.setattr(http, "MAX_SILENCE", MAX_SILENCE)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with (
            server_of(chain(parts[:1], repeat(parts[1]))) as port,
            HttpClient([f"http://127.0.0.1:{port}"]) as client,
        ):
            started = loop.time()
            with pytest.raises(Aborted):
                await client.complete("w", "x", timeout=MAX_SILENCE, repeatable=False)
            assert loop.time() - started < END_LIMIT

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "parts", [[JSON_HEAD, b"0"], [JSON_HEAD + b"5a;", b"x"], [b"HTTP/1.1 200 OK\r\nX: ", b"x"]]
)
def test_an_answer_without_end_does_not_hold_the_batch_client(
    monkeypatch: pytest.MonkeyPatch, parts: list[bytes]
) -> None:
    """Any byte renewed the time limit, also one of a head or of a size line."""
    monkeypatch.setattr(batches, "MAX_SILENCE", MAX_SILENCE)
    monkeypatch.setattr(batches, "MAX_TRIES", 1)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with server_of(chain(parts[:1], repeat(parts[1]))) as port:
            started = loop.time()
            with pytest.raises(Aborted):
                await batches.Batches(f"http://127.0.0.1:{port}").get("b1")
            assert loop.time() - started < END_LIMIT

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "parts", [[JSON_HEAD, chunk(b" ")], [JSON_HEAD, chunk(b"\n")], [JSON_HEAD + b"5a;", b"x"]]
)
@pytest.mark.parametrize("version", [0, 7], ids=["list", "watch"])
def test_an_answer_without_end_does_not_hold_the_endpoint_list(
    monkeypatch: pytest.MonkeyPatch, parts: list[bytes], version: int
) -> None:
    """Any byte renewed the time limit of the watch, which was never opened anew then."""
    monkeypatch.setattr(registry_client, "WATCH_TIMEOUT", MAX_SILENCE)
    monkeypatch.setattr(registry_client, "LIST_TIMEOUT", MAX_SILENCE)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        follower = RegistryFollower({"k": (0, Role.PREFILL)}, ["z"], ["r"], 1)
        follower.version = version
        async with server_of(chain(parts[:1], repeat(parts[1]))) as port:
            client = registry_client.RegistryClient("127.0.0.1", port, follower, lambda whole, entries: None)
            started = loop.time()
            with pytest.raises(TimeoutError):
                await (client.watch() if version else client.list_all())
            assert loop.time() - started < END_LIMIT

    asyncio.run(scenario())
