"""One service with two protocols: versions, guidance, broken connections, and the terminal."""

import asyncio
import json
import subprocess
import sys
import tarfile
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import httpx
import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import InvalidStatus

from heathford.client import Aborted, BadRequest, Finished, HttpClient, NoFront, RateLimited, WebSocketClient
from heathford.client.base import Client
from heathford.client.retry import RetryState, RetryBudget, FrontOrder, FailureKind
from heathford.fuzz.sessions import InProcessFront
from heathford.identity.repeat_counter import RepeatCounter
from heathford.interface import Effect, Health, Outcome
from heathford.sessions.versions import VersionError, version_from_header, version_from_subprotocols
from heathford.terminal.app import TryApp
from heathford.terminal.board import Board, prompts_of

KINDS = ["websocket", "http"]
HERE = Path(__file__).parent


def make_client(kind: str, ports: list[int], **more: Any) -> Client:
    if kind == "websocket":
        return WebSocketClient([f"ws://127.0.0.1:{p}/v1/sessions" for p in ports], **more)
    return HttpClient([f"http://127.0.0.1:{p}" for p in ports], **more)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def within() -> None:
        async with asyncio.timeout(20.0):
            await scenario()

    asyncio.run(within())


# Versions.


@pytest.mark.parametrize(
    "named, version", [(None, 1), ("1", 1), ("2", 2), (" 2 ", 2), ("3", 0), ("", 0), ("2.0", 0), ("-1", 0)]
)
def test_versions_of_a_header(named: str | None, version: int) -> None:
    if version:
        assert version_from_header(named) == version
    else:
        with pytest.raises(VersionError, match="served are 2, 1"):
            version_from_header(named)


@pytest.mark.parametrize(
    "offered, version",
    [
        ([], 1),
        (["heathford.v1"], 1),
        (["heathford.v1", "heathford.v2"], 2),
        (["chat"], 1),
        (["heathford.v9", "heathford.v1"], 1),
        (["heathford.v3"], 0),
        (["heathford.vx", "chat"], 0),
    ],
)
def test_versions_of_subprotocols(offered: list[str], version: int) -> None:
    if version:
        assert version_from_subprotocols(offered) == version
    else:
        with pytest.raises(VersionError, match="served are 2, 1"):
            version_from_subprotocols(offered)


def test_an_unknown_version_gets_the_list_of_served_ones() -> None:
    async def scenario() -> None:
        served = InProcessFront()
        with pytest.raises(InvalidStatus) as refused:
            await connect(served.url, subprotocols=["heathford.v7"])  # type: ignore[list-item]
        assert refused.value.response.status_code == 400
        assert json.loads(refused.value.response.body or b"")["served"] == [2, 1]
        async with httpx.AsyncClient(base_url=f"http://127.0.0.1:{served.port}") as client:
            answer = await client.post("/v1/completions", json={}, headers={"Heathford-Version": "7"})
            assert answer.status_code == 400 and answer.json()["served"] == [2, 1]
            assert answer.headers["Content-Type"] == "application/problem+json"
        served.server.stop()

    run(scenario)


@pytest.mark.parametrize(
    "version, effect, refused, retry",
    [
        (1, Effect.IDEMPOTENT, True, None),
        (1, Effect.NON_IDEMPOTENT, False, None),
        (2, Effect.IDEMPOTENT, True, "anywhere"),
        (2, Effect.IDEMPOTENT, False, "anywhere"),
        (2, Effect.IDEMPOTENCY_KEYED, False, "never"),
        (2, Effect.NON_IDEMPOTENT, False, "never"),
    ],
)
def test_both_protocols_give_the_same_guidance(
    version: int, effect: Effect, refused: bool, retry: str | None
) -> None:
    async def scenario() -> None:
        served = InProcessFront(effect, most_held=10 if refused else 10**6)
        served.link.paused = served.link.keep = True
        request_params = {"model": "w", "prompt": "x" * 400, "max_tokens": 3, "timeout": 3.0}

        async def break_all() -> None:
            while True:
                for call in served.link.calls:
                    call.events.first_token()
                    call.events.ended(Outcome.BROKEN, 0, {}, {})
                await asyncio.sleep(0.005)

        breaking = asyncio.ensure_future(break_all())
        names = [f"heathford.v{version}"] * (version > 1)
        async with connect(served.url, subprotocols=names or None) as session:  # type: ignore[arg-type]
            assert session.subprotocol == (names[0] if names else None)
            await session.send(
                json.dumps(
                    {"jsonrpc": "2.0", "id": 1, "method": "completions.create", "params": request_params}
                )
            )
            data = json.loads(await session.recv())["error"]["data"]
        async with httpx.AsyncClient(base_url=f"http://127.0.0.1:{served.port}") as client:
            headers = {"Heathford-Version": str(version)} if version > 1 else {}
            answer = await client.post("/v1/completions", json=request_params, headers=headers)
        assert answer.headers["Heathford-Version"] == str(version)
        final = "rate-limited" if refused else "aborted"
        assert data["final"] == answer.json()["final"] == final
        assert data.get("retry") == answer.json().get("retry") == retry
        breaking.cancel()
        served.server.stop()

    run(scenario)


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize(
    "guidance, failure, expected_front",
    [
        ("", FailureKind.ABORTED, 0),
        ("anywhere", FailureKind.ABORTED, 0),
        ("never", FailureKind.ABORTED, None),
        ("here", FailureKind.ABORTED, 0),
        ("here", FailureKind.REFUSED, 1),
        ("never", FailureKind.LOST, 0),
    ],
)
def test_a_client_follows_guidance_where_it_is_stricter(
    guidance: str, failure: FailureKind, expected_front: int | None, repeatable: bool
) -> None:
    front_order = FrontOrder(2, 1)
    front_order.order, front_order.current = [0, 1], 0
    retry = RetryState(front_order, RetryBudget(0.2), 100.0, repeatable, True).next_attempt(
        failure, 10.0, 0.1, guidance
    )
    if failure is FailureKind.ABORTED and not repeatable and guidance != "here":
        expected_front = None
    assert (retry.front if retry else None) == expected_front


def test_first_requests_and_repeats_are_counted_separately() -> None:
    tries = RepeatCounter(3, 10.0)
    are_new = [
        tries.count(*one)
        for one in (
            (0, "a", 1.0),
            (0, "a", 2.0),
            (1, "a", 2.0),
            (0, "", 2.0),
            (0, "", 2.0),
            (0, "b", 3.0, 2),
            (0, "c", 4.0),
            (0, "d", 5.0),
            (0, "a", 6.0),
            (0, "d", 16.0),
        )
    ]
    assert are_new == [True, False, True, True, True, False, True, True, True, True]
    assert (tries.first_requests, tries.repeats) == (8, 2) and len(tries.last_seen) <= 3


# The service of the previous version.


@pytest.fixture(scope="module")
def previous_version(tmp_path_factory: pytest.TempPathFactory) -> Path:
    folder = tmp_path_factory.mktemp("version-1")
    with tarfile.open(HERE / "fixtures" / "version-1.tar.gz") as archive:
        archive.extractall(folder, filter="data")
    return folder


def start_process(folder: Path, what: str) -> "subprocess.Popen[str]":
    return subprocess.Popen(
        [sys.executable, str(HERE / "version_1.py"), str(folder), what],
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        cwd=folder,
    )


@pytest.fixture(scope="module")
def previous_service(previous_version: Path) -> Iterator[int]:
    serving = start_process(previous_version, "serve")
    assert serving.stdout and serving.stdin
    yield int(serving.stdout.readline())
    serving.stdin.close()
    serving.wait()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "request_params, expected",
    [
        ({}, ("finished", "tttt", 1)),
        ({"repeatable": False}, ("finished", "tttt", 1)),
        ({"idempotency_key": "k"}, ("finished", "tttt", 1)),
        ({"model": "none"}, ("badrequest", "", 1)),
        ({"prompt": [1, 2]}, ("finished", "tttt", 1)),
        ({"prompt": ""}, ("badrequest", "", 1)),
    ],
)
def test_a_service_one_version_behind_the_library(
    previous_service: int, kind: str, request_params: dict[str, Any], expected: tuple[str, str, int]
) -> None:
    async def scenario() -> None:
        params: dict[str, Any] = {"model": "w", "prompt": "x", "max_tokens": 4} | request_params
        async with make_client(kind, [previous_service]) as client:
            try:
                found = await client.complete(**params)
                assert ("finished", found.text, found.tries) == expected
            except BadRequest as error:
                assert ("badrequest", error.text, 1) == expected

    run(scenario)


# Broken connections.


class BreakingProxy:
    """A proxy that breaks the first connection.

    It does so after a number of bytes of the answer, or at a text in it, of which it passes on `keep` bytes.
    """

    def __init__(self, port: int, after: int | None = None, at: bytes = b"", keep: int = 0) -> None:
        self.to, self.after, self.at, self.keep = port, after, at, keep
        self.broken = 0

    async def listen(self) -> int:
        self.server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.to)

        async def forward_requests() -> None:
            while data := await reader.read(65_536):
                upstream_writer.write(data)
            upstream_writer.close()

        forwarding = asyncio.ensure_future(forward_requests())
        passed = b""
        while data := await upstream_reader.read(65_536):
            if not self.broken:
                so_far = passed + data
                cut = self.after if self.after is not None else so_far.find(self.at) + self.keep
                if (self.after is not None and len(so_far) > self.after) or (self.at and self.at in so_far):
                    self.broken += 1
                    writer.write(so_far[len(passed) : cut] if cut > len(passed) else b"")
                    break
                passed = so_far
            writer.write(data)
        writer.close()
        upstream_writer.close()
        forwarding.cancel()


UMLAUT = "ü".encode()


@pytest.mark.parametrize("repeatable, ended", [(True, "finished"), (False, "finished")])
@pytest.mark.parametrize(
    "kind, where",
    [
        ("http", {"after": 0}),
        ("http", {"after": 40}),
        ("http", {"at": b"\r\n\r\n", "keep": 4}),
        ("http", {"at": UMLAUT, "keep": 1}),
        ("http", {"at": b'text":"', "keep": 3}),
        ("http", {"at": b"finish_reason", "keep": 5}),
        ("websocket", {"at": UMLAUT, "keep": 1}),
        ("websocket", {"at": b"completions.chunk", "keep": 2}),
        ("websocket", {"at": b"result", "keep": 3}),
    ],
)
def test_a_connection_lost_at_any_point_is_joined_again(
    kind: str, where: dict[str, Any], repeatable: bool, ended: str
) -> None:
    """The repeat joins the request by its key, also a non-idempotent one: no text is lost or doubled.

    The request runs only once.
    """

    async def scenario() -> None:
        served = InProcessFront(Effect.NON_IDEMPOTENT)
        served.link.pace, served.link.token = 0.002, "ü"
        proxy = BreakingProxy(served.port, **where)
        port = await proxy.listen()
        async with make_client(kind, [port], seed=1) as client:
            found: Finished = await client.complete(
                "w", "x" * 40, max_tokens=8, repeatable=repeatable, timeout=5.0
            )
        assert (found.text, ended) == ("ü" * 8, "finished") and found.tries == 2 and proxy.broken == 1
        assert served.core.tally.taken == 1 and served.link.sent == 2
        tries = served.manager.repeat_counter
        assert (tries.first_requests, tries.repeats) == (1, 1)
        proxy.server.close()
        served.server.stop()

    run(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_all_fronts_refuse_without_a_retry_storm(kind: str) -> None:
    async def scenario() -> None:
        fronts = [InProcessFront(most_held=10) for _ in range(3)]
        loop = asyncio.get_running_loop()
        begin = loop.time()
        async with make_client(kind, [f.port for f in fronts], seed=1) as client:
            with pytest.raises(RateLimited) as refused:
                await client.complete("w", "x" * 400, timeout=2.0)
        assert loop.time() - begin < 2.2 and refused.value.retry_after > 0
        counts = [f.manager.repeat_counter for f in fronts]
        assert sum(t.first_requests for t in counts) == 1 and 1 <= sum(t.repeats for t in counts) <= 4
        for front in fronts:
            front.server.stop()

    run(scenario)


@pytest.mark.parametrize("first, second", [("websocket", "http"), ("http", "websocket")])
@pytest.mark.parametrize("draining", [False, True])
def test_a_repeat_on_the_other_protocol_joins_the_stream(first: str, second: str, draining: bool) -> None:
    async def scenario() -> None:
        served = InProcessFront(Effect.NON_IDEMPOTENT)
        served.link.pace = 0.02
        request_params: dict[str, Any] = {"max_tokens": 20, "idempotency_key": "k", "repeatable": False}
        async with make_client(first, [served.port]) as one, make_client(second, [served.port]) as other:
            stream = one.stream("w", "x", **request_params)
            begun = asyncio.ensure_future(stream.__aiter__().__anext__())
            assert await begun == "t"
            if draining:
                served.core.apply_endpoint_list(
                    False,
                    [(e, 0, n % 2, 1, Health.DRAINING, 1.0, 0.0) for n, e in served.core.endpoints.items()],
                )
            repeat = await other.complete("w", "x", **request_params)
            found = await stream.result()
        assert repeat.text == found.text == "t" * 20 and repeat.completion == found.completion
        assert served.core.tally.taken == 1 and served.link.sent == 2
        served.server.stop()

    run(scenario)


def test_an_independent_client_streams() -> None:
    async def scenario() -> None:
        served = InProcessFront()
        served.link.pace = 0.002
        text, done = "", False
        async with (
            httpx.AsyncClient(base_url=f"http://127.0.0.1:{served.port}") as client,
            client.stream(
                "POST",
                "/v1/completions",
                json={"model": "w", "prompt": "x", "max_tokens": 30, "stream": True},
            ) as answer,
        ):
            assert answer.headers["Content-Type"].startswith("text/event-stream")
            async for line in answer.aiter_lines():
                if line == "data: [DONE]":
                    done = True
                elif line:
                    text += json.loads(line.removeprefix("data: "))["choices"][0]["text"]
        assert done and text == "t" * 30
        served.server.stop()

    run(scenario)


# The terminal interface.


@pytest.mark.parametrize(
    "line, found",
    [
        ("a", [("w", "a")]),
        ("a || b", [("w", "a"), ("w", "b")]),
        ("v: a || || c", [("v", "a"), ("w", "c")]),
        ("x: a", [("w", "x: a")]),
        ("", []),
        ("v:", []),
    ],
)
def test_prompts_of_an_input_line(line: str, found: list[tuple[str, str]]) -> None:
    assert prompts_of(line, ["w", "v"]) == found


def test_a_board_drops_the_oldest_finished_panel() -> None:
    board = Board(2)
    first, second = board.ask("w", "a", 0.0)[0], board.ask("w", "b", 0.0)[0]
    second.failed(RateLimited("full", 0.5), 1.0)
    assert board.summary == "1 out, 1 rate-limited" and "come back in 0.5 s" in second.guidance
    assert board.ask("w", "c", 2.0)[1] is second and board.ask("w", "d", 2.0)[1] is None
    first.failed(Aborted("lost", tries=2), 3.0)
    assert "it may have run" in first.guidance and "2 tries" in first.heading
    first.failed(NoFront("down"), 3.0)
    assert first.final == "no front"


@pytest.mark.parametrize("kind", KINDS)
def test_try_shows_streams_side_by_side_and_their_ends(kind: str) -> None:
    async def scenario() -> None:
        served = InProcessFront()
        app = TryApp(lambda: make_client(kind, [served.port]), ["w", "none"], 5, 3.0)
        async with app.run_test() as pilot:
            await pilot.press(*"a || none: b")
            await pilot.press("enter")
            while len(app.views) < 2 or not all(v.panel.ended for v in app.views.values()):
                await pilot.pause()
            one, two = (v.panel for v in app.views.values())
            assert (one.text, one.final) == ("ttttt", "finished") and two.final == "refused"
            assert "no workload here" in two.guidance and app.sub_title == "1 finished, 1 refused"
            served.link.paused = True
            await app.ask("w", "c")
            await pilot.press("escape")
            while app.tasks:
                await pilot.pause()
            assert app.board.panels[-1].final == "cancelled"
            await pilot.press("ctrl+l")
            assert not app.board.panels
        served.server.stop()

    run(scenario)
