"""Each way in which an engine can end an attempt maps to one outcome, over loopback."""

import asyncio
import socket
import struct
from collections.abc import Mapping
from typing import Any

import pytest
from conftest import RecordingClient

from heathford.core.core import Core
from heathford.core.protocols import Endpoint
from heathford.engines.link import EngineLink
from heathford.engines.release_retries import MAX_TRIES, ReleaseRetries
from heathford.interface import Effect, Group, Health, EngineKind, Role, Outcome, Workload

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
TOKEN = b'data: {"choices":[{"text":" a","finish_reason":null}]}\n\n'
LAST = b'data: {"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}}\n\n'
DONE = b"data: [DONE]\n\n"
LOAD = b'endpoint-load-metrics: JSON {"mem_utilization":0.5,"named_metrics":{"queue":3}}\r\n'


def chunked(*parts: bytes, trailer: bytes = b"") -> bytes:
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\n" + trailer + b"\r\n"


def whole(status: int, body: bytes, more: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, more, len(body), body)


class RecordedCallEvents:
    """The events that a link has reported on one attempt."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self.outcome: Outcome | None = None
        self.detail = -1
        self.load: Mapping[str, float] = {}
        self.over = asyncio.Event()
        self.begun = asyncio.Event()

    def may_send(self) -> bool:
        return True

    def answer_begun(self) -> None: ...

    def first_token(self) -> None:
        self.events.append("first")
        self.begun.set()

    def tokens(self, text: str) -> None:
        self.events.append(text)

    def ended(
        self, outcome: Outcome, detail: int, load: Mapping[str, float], answer: Mapping[str, Any]
    ) -> None:
        assert self.outcome is None
        self.outcome, self.detail, self.load = outcome, detail, load
        self.over.set()


class ScriptedEngine:
    """An engine that answers a request with the given bytes and then ends as given."""

    def __init__(self, response: bytes, ending: str) -> None:
        self.response, self.ending, self.heads, self.connections = response, ending, list[bytes](), 0
        self.closed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while self.ending != "reset before":
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
                await reader.readexactly(int(length or b"0"))
                writer.write(self.response)
                await writer.drain()
                if self.ending != "keep":
                    break
            if self.ending == "silence":
                await reader.read()
        except asyncio.IncompleteReadError:
            pass
        if self.ending.startswith("reset"):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        writer.close()
        self.closed.set()


def make_link(**figures: Any) -> EngineLink:
    values: dict[str, Any] = dict(
        connect_timeout=0.5, connections=8, idle=5.0, stream_silence=0.15, longest_line=2000, pin_limit=0.3
    )
    return EngineLink(**(values | figures))


def run_attempt(
    response: bytes, ending: str, role: Role = Role.DECODE, timeout: float = 0.3, cancel: bool = False
) -> RecordedCallEvents:
    async def run() -> RecordedCallEvents:
        engine, recorded = ScriptedEngine(response, ending), RecordedCallEvents()
        server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        if ending == "refuse":
            server.close()
            await server.wait_closed()
        link = make_link()
        call = link.send(
            Endpoint(1, "e", role, "127.0.0.1", port), "c.0", {"prompt": "x"}, None, "", timeout, recorded
        )
        if cancel:
            await recorded.begun.wait()
            call.cancel()
            await engine.closed.wait()
        await asyncio.wait_for(recorded.over.wait(), 5.0)
        link.stop()
        server.close()
        return recorded

    return asyncio.run(run())


GOOD = HEAD + chunked(TOKEN, TOKEN, LAST, DONE, trailer=LOAD)
READ = (
    b'{"usage":{"prompt_tokens_details":{"cached_tokens":7}},'
    b'"kv_transfer_params":{"remote_request_id":"c.0"}}'
)


@pytest.mark.parametrize(
    "response, ending, outcome, detail",
    [
        (GOOD, "close", Outcome.FINISHED, 4),
        (GOOD, "keep", Outcome.FINISHED, 4),
        (b"", "refuse", Outcome.UNREACHABLE, 0),
        (b"", "reset before", Outcome.BROKEN, 0),
        (b"", "reset", Outcome.BROKEN, 0),
        (b"", "close", Outcome.BROKEN, 0),
        (b"HTTP/1.1 2", "reset", Outcome.BROKEN, 0),
        (HEAD, "close", Outcome.BROKEN, 0),
        (HEAD + b"60\r\ndata: {", "close", Outcome.BROKEN, 0),
        (HEAD + chunked(TOKEN)[:-5], "reset", Outcome.BROKEN, 0),
        (b"", "silence", Outcome.TIMED_OUT, 0),
        (HEAD, "silence", Outcome.TIMED_OUT, 0),
        (HEAD + chunked(TOKEN)[:-5], "silence", Outcome.TIMED_OUT, 0),
        (HEAD + chunked(TOKEN), "keep", Outcome.ERROR, 0),
        (HEAD + chunked(), "keep", Outcome.ERROR, 0),
        (HEAD + b"zz\r\n", "silence", Outcome.ERROR, 0),
        (HEAD + b"2\r\nabc\r\n", "silence", Outcome.ERROR, 0),
        (HEAD + chunked(b"data: {\n\n"), "keep", Outcome.ERROR, 0),
        (HEAD + chunked(b'data: {"error":"x"}\n\n'), "keep", Outcome.ERROR, 0),
        (HEAD + chunked(b'data: {"choices":[{"text":7}]}\n\n'), "keep", Outcome.ERROR, 0),
        (HEAD + b"9000\r\n" + b"x" * 3000, "silence", Outcome.ERROR, 0),
        (GOOD + b"more", "silence", Outcome.ERROR, 0),
        (b"SSH-2.0-x\r\n", "silence", Outcome.ERROR, 0),
        (b"HTTP/1.1 abc X\r\n\r\n", "silence", Outcome.ERROR, 0),
        (b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "silence", Outcome.ERROR, 0),
        (b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 500, "silence", Outcome.ERROR, 0),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + GOOD, "keep", Outcome.FINISHED, 4),
        (whole(500, b"oops"), "keep", Outcome.ERROR, 0),
        (whole(503, b"", b"Retry-After: 1\r\n"), "keep", Outcome.FULL, 0),
        (whole(410, b'{"error":{"code":"kv_state_gone"}}'), "keep", Outcome.FULL, 1),
        (whole(410, b"[]"), "keep", Outcome.ERROR, 0),
    ],
)
def test_each_way_to_end_an_attempt_has_one_outcome(
    response: bytes, ending: str, outcome: Outcome, detail: int
) -> None:
    recorded = run_attempt(response, ending)
    assert (recorded.outcome, recorded.detail) == (outcome, detail)
    if outcome is Outcome.FINISHED:
        assert recorded.events == ["first", " a", " a"] and recorded.load == {"memory": 0.5, "queue": 3.0}


@pytest.mark.parametrize(
    "response, outcome, detail",
    [
        (whole(200, READ, LOAD), Outcome.PREFILLED, 7),
        (whole(200, b"{}"), Outcome.ERROR, 0),
        (whole(200, b"[1"), Outcome.ERROR, 0),
        (whole(503, b""), Outcome.FULL, 0),
    ],
)
def test_prefill_answers(response: bytes, outcome: Outcome, detail: int) -> None:
    recorded = run_attempt(response, "keep", Role.PREFILL)
    assert (recorded.outcome, recorded.detail) == (outcome, detail)
    assert outcome is not Outcome.PREFILLED or recorded.load == {"memory": 0.5, "queue": 3.0}


def test_a_cancel_closes_the_connection_and_ends_it_once() -> None:
    recorded = run_attempt(HEAD + chunked(TOKEN)[:-5], "silence", timeout=5.0, cancel=True)
    assert recorded.outcome is Outcome.CANCELLED


def test_connections_are_reused_and_limited() -> None:
    async def run() -> None:
        engine, link = ScriptedEngine(GOOD, "keep"), make_link(connections=1)
        server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
        endpoint = Endpoint(1, "e", Role.DECODE, "127.0.0.1", server.sockets[0].getsockname()[1])
        for _ in range(3):
            recorded = RecordedCallEvents()
            link.send(endpoint, "c.0", {}, None, "m", 5.0, recorded)
            await recorded.over.wait()
        assert engine.connections == 1 and all(b"Idempotency-Key: m" in h for h in engine.heads)
        engine.ending = "silence"
        first, second = RecordedCallEvents(), RecordedCallEvents()
        engine.response = HEAD + chunked(TOKEN)[:-5]
        call = link.send(endpoint, "c.0", {}, None, "", 5.0, first)
        await first.begun.wait()
        link.send(endpoint, "c.1", {}, None, "", 5.0, second)
        await second.over.wait()
        assert second.outcome is Outcome.NO_FREE_CONNECTION and len(engine.heads) == 4
        call.cancel()
        server.close()

    asyncio.run(run())


def test_a_connection_closed_while_idle_is_not_used() -> None:
    async def run() -> None:
        engine, link = ScriptedEngine(GOOD, "close"), make_link()
        server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
        endpoint = Endpoint(1, "e", Role.DECODE, "127.0.0.1", server.sockets[0].getsockname()[1])
        for _ in range(3):
            recorded = RecordedCallEvents()
            link.send(endpoint, "c.0", {}, None, "", 5.0, recorded)
            await recorded.over.wait()
            await engine.closed.wait()
            pool = link.pool(endpoint)
            while pool.idle:  # until the close is noticed here, too
                await asyncio.sleep(0)
            assert recorded.outcome is Outcome.FINISHED and pool.open == 0
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize("answers, tries", [([204], 1), ([404], 1), ([0, 0, 204], 3), ([500] * 9, MAX_TRIES)])
def test_a_state_is_released_within_its_limit(answers: list[int], tries: int) -> None:
    now, tries_made = 10.0, 0
    retries = ReleaseRetries(now, 0.3)
    while (wait := retries.next_try_delay(now)) is not None:
        now += wait + retries.try_timeout(now + wait) * 0.9
        tries_made += 1
        if retries.confirms_release(answers[tries_made - 1]):
            break
    assert tries_made == tries and now <= 10.3


@pytest.mark.parametrize(
    "effect, final, repeated",
    [
        (Effect.IDEMPOTENCY_KEYED, "rate-limited", False),
        (Effect.NON_IDEMPOTENT, "aborted: given up", False),
        (Effect.IDEMPOTENT, "rate-limited", True),
    ],
)
@pytest.mark.parametrize(
    "response, ending", [(whole(500, b""), "keep"), (b"", "reset"), (b"", "close"), (b"nonsense", "close")]
)
def test_a_keyed_request_is_not_retried_after_an_attempt_that_may_have_run(
    response: bytes, ending: str, effect: Effect, final: str, repeated: bool
) -> None:
    """Guards against a retry that its engine reads after it has forgotten the idempotency key."""

    async def run() -> None:
        engines = [ScriptedEngine(response, ending), ScriptedEngine(response, ending)]
        servers = [await asyncio.start_server(e.serve, "127.0.0.1", 0) for e in engines]
        link, client = make_link(), RecordingClient()
        core = Core(
            asyncio.get_running_loop(),
            link,
            "f",
            1,
            [EngineKind(Role.COMBINED, 0)],
            [Workload(0.1, 0.0, 0.05, effect, Group.ALL, 2.0, 1.0)],
            0,
            1,
            0,
            6,
            0.3,
            True,
            2.0,
            10.0,
            0.3,
            2.5,
            2.0,
            answer_margin=0.1,
            stream_limit=5.0,
        )
        endpoints = [
            Endpoint(n, f"e{n}", Role.COMBINED, "127.0.0.1", server.sockets[0].getsockname()[1])
            for n, server in enumerate(servers, 1)
        ]
        core.apply_endpoint_list(True, [(endpoint, 0, 0, 0, Health.ON, 1.0, 0.0) for endpoint in endpoints])
        core.accept(client, 0, 0, "s", "", 50, 0, 20, 1.0, {"prompt": "x"}, mark="key")
        async with asyncio.timeout(5.0):
            while not client.finals:
                await asyncio.sleep(0.005)
        link.stop()
        for server in servers:
            server.close()
        assert client.finals == [final]
        posts = sum(head.startswith(b"POST") for engine in engines for head in engine.heads)
        assert posts > 1 if repeated else posts == 1

    asyncio.run(run())


@pytest.mark.parametrize("rate", [1_000_000, 2_000_000])
def test_a_long_prompt_is_sent_on_over_a_slow_link(rate: int) -> None:
    """Guards against giving up a slow send as if the connection were cut; as at the platform's link."""
    size, step, outcomes = 250_000, 0.01, list[Outcome]()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received = b""
        while b'x"' not in received[-400:]:
            received += await reader.read(int(rate * step))
            await asyncio.sleep(step)
        writer.write(whole(200, READ))
        await writer.drain()

    async def run() -> None:
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        server = await asyncio.start_server(serve, sock=sock, limit=16_384)
        link, recorded = make_link(), RecordedCallEvents()
        endpoint = Endpoint(1, "e", Role.PREFILL, "127.0.0.1", sock.getsockname()[1])
        call = link.send(endpoint, "c.0", {"prompt": size * "x"}, None, "", 4.0, recorded)
        while not recorded.over.is_set():
            if link.pool(endpoint).open:
                call.give_up_unless_arrived()
            await asyncio.sleep(step)
        link.stop()
        server.close()
        assert recorded.outcome is not None
        outcomes.append(recorded.outcome)

    asyncio.run(run())
    assert outcomes == [Outcome.PREFILLED]


def test_a_token_that_is_written_slowly_is_no_silence() -> None:
    """Silence counted from the last complete token: a stream was cut off while its engine still wrote."""
    recorded = RecordedCallEvents()
    parts = [HEAD + chunked(TOKEN)[: -len(b"0\r\n\r\n")]]
    parts += [b"1\r\n%c\r\n" % byte for byte in TOKEN[:8]]
    parts += [chunked(TOKEN[8:], LAST, DONE)]

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.05)
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        link = make_link()
        endpoint = Endpoint(1, "e", Role.DECODE, "127.0.0.1", port)
        link.send(endpoint, "c.0", {"prompt": "x"}, None, "", 0.3, recorded)
        await asyncio.wait_for(recorded.over.wait(), 5.0)
        link.stop()
        server.close()

    asyncio.run(run())
    assert recorded.outcome is Outcome.FINISHED
