"""Both client libraries, asyncio and blocking: the same results, errors and guidance at the same fronts."""

import asyncio
import json
import subprocess
import sys
import tarfile
import threading
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from heathford.client import (
    Aborted,
    BadRequest,
    Blocking,
    Finished,
    HttpClient,
    NoFront,
    RateLimited,
    WebSocketClient,
)
from heathford.client.base import Client, AttemptError
from heathford.client.retry import (
    BACKOFF,
    MAX_BACKOFF,
    MAX_CREDIT,
    JITTER,
    RetryState,
    RetryBudget,
    FrontOrder,
    FailureKind,
)
from heathford.completions import responses
from heathford.fuzz.sessions import InProcessFront
from heathford.interface import Effect
from heathford.standin.server import Exchange, Server

HERE = Path(__file__).parent
KINDS = ["websocket", "http"]
UNUSED_PORT = 1  # of the loopback address; nothing listens there


class Fleet:
    """Front nodes in a thread of their own, so that blocking clients can be tested against them."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.fronts: list[InProcessFront] = []

    def call(self, work: Callable[[], Any]) -> Any:
        async def run() -> Any:
            return work()

        return asyncio.run_coroutine_threadsafe(run(), self.loop).result(10.0)

    def add(self, effect: Effect = Effect.IDEMPOTENT, **figures: Any) -> InProcessFront:
        served: InProcessFront = self.call(lambda: InProcessFront(effect, **figures))
        self.fronts.append(served)
        return served

    def kill(self, served: InProcessFront) -> None:
        """Act as a killed front node: its connections end, and it accepts no new ones."""
        self.call(served.server.stop)
        self.break_connections(served)

    def break_connections(self, served: InProcessFront) -> None:
        """Break all connections of a front node."""

        def close() -> None:
            for socket in list(served.session_server.open):
                if socket.protocol:
                    socket.protocol.stream.close()
            for connection in list(served.server._connections):
                connection.stream.close()

        self.call(close)


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    found = Fleet()
    yield found
    for served in found.fronts:
        found.call(served.server.stop)
    found.loop.call_soon_threadsafe(found.loop.stop)
    found.thread.join()


def make_client(kind: str, ports: list[int], **more: Any) -> Client:
    if kind == "websocket":
        return WebSocketClient([f"ws://127.0.0.1:{p}/v1/sessions" for p in ports], **more)
    return HttpClient([f"http://127.0.0.1:{p}" for p in ports], **more)


def client_starting_at_first(kind: str, ports: list[int]) -> Callable[[], Client]:
    """Return a function that makes a client which tries these ports in order."""

    def make() -> Client:
        client = make_client(kind, ports, seed=1)
        client.fronts.order, client.fronts.current = list(range(len(ports))), 0
        return client

    return make


def outcome_of(ask: Callable[[], Finished]) -> tuple[str, str, Any]:
    try:
        found = ask()
        return "finished", found.text, found.tries
    except RateLimited as error:
        return "rate-limited", error.text, error.retry_after > 0
    except (Aborted, BadRequest, NoFront) as error:
        return type(error).__name__.lower(), error.text, None


# Name, settings of each front node (None: nothing listens), parameters of the request, expected outcome.
REFUSED = "rate-limited", "", True
CASES: list[tuple[str, list[dict[str, Any] | None], dict[str, Any], tuple[str, str, Any]]] = [
    ("one front", [{}], {}, ("finished", "tttt", 1)),
    ("text of one token", [{}], {"max_tokens": 1}, ("finished", "t", 1)),
    ("token ids", [{}], {"prompt": [1, 2, 3]}, ("finished", "tttt", 1)),
    ("first front down", [None, {}], {}, ("finished", "tttt", 2)),
    ("two fronts down", [None, None, {}], {}, ("finished", "tttt", 3)),
    ("all fronts down", [None, None], {"timeout": 0.6}, ("nofront", "", None)),
    ("first front refuses", [{"most_held": 10}, {}], {}, ("finished", "tttt", 2)),
    ("all fronts refuse", [{"most_held": 10}, {"most_held": 10}], {"timeout": 1.2}, REFUSED),
    ("the only front refuses", [{"most_held": 10}], {"timeout": 0.9}, REFUSED),
    ("refused, then down", [{"most_held": 10}, None], {"timeout": 0.9}, REFUSED),
    ("no such workload", [{}, {}], {"model": "none"}, ("badrequest", "", None)),
    ("too many tokens", [{}], {"max_tokens": 6000}, ("badrequest", "", None)),
    ("an empty prompt", [{}], {"prompt": ""}, ("badrequest", "", None)),
    ("a key that is no text", [{}], {"idempotency_key": "a\tb"}, ("badrequest", "", None)),
    ("an unknown member's prefix", [{}], {"prefix_tokens": 5000}, ("badrequest", "", None)),
    ("must not run twice", [{}], {"repeatable": False}, ("finished", "tttt", 1)),
    ("must not run twice, first down", [None, {}], {"repeatable": False}, ("finished", "tttt", 2)),
    ("must not run twice, refused", [{"most_held": 10}, {}], {"repeatable": False}, ("finished", "tttt", 2)),
    ("silence", [{"held": True}], {"timeout": 0.5, "repeatable": False}, ("aborted", "", None)),
    ("shared beginning", [{}], {"prompt_cache_key": "p", "prefix_tokens": 10}, ("finished", "tttt", 1)),
]


@pytest.fixture(scope="module")
def previous_library(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Callable[..., Any]]:
    """The client library of the previous version, from its archive, in a process of its own."""
    folder = tmp_path_factory.mktemp("version-1")
    with tarfile.open(HERE / "fixtures" / "version-1.tar.gz") as archive:
        archive.extractall(folder, filter="data")
    running = subprocess.Popen(
        [sys.executable, str(HERE / "version_1.py"), str(folder), "ask"],
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        cwd=folder,
    )
    assert running.stdin and running.stdout
    asking, answers = running.stdin, running.stdout

    def ask(**asked: Any) -> tuple[Any, ...]:
        asking.write(json.dumps(asked) + "\n")
        asking.flush()
        return tuple(json.loads(answers.readline()))

    yield ask
    asking.close()
    running.wait()


@pytest.mark.parametrize("version", ["present", "before"])
@pytest.mark.parametrize("blocking", [False, True])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("name, fronts, params_of_case, expected", CASES)
def test_conformance(
    fleet: Fleet,
    previous_library: Callable[..., Any],
    kind: str,
    blocking: bool,
    version: str,
    name: str,
    fronts: list[dict[str, Any] | None],
    params_of_case: dict[str, Any],
    expected: tuple[str, str, Any],
) -> None:
    ports = []
    for figures in fronts:
        if figures is None:
            ports.append(UNUSED_PORT)
            continue
        served = fleet.add(**{k: v for k, v in figures.items() if k != "held"})
        served.link.paused = bool(figures.get("held"))
        ports.append(served.port)
    params: dict[str, Any] = {
        "model": "w",
        "prompt": "x" * 400,
        "max_tokens": 4,
        "timeout": 5.0,
    } | params_of_case
    if version == "before":
        form = "ws://127.0.0.1:{}/v1/sessions" if kind == "websocket" else "http://127.0.0.1:{}"
        addresses = [form.format(port) for port in ports]
        assert previous_library(kind=kind, blocking=blocking, addresses=addresses, params=params) == expected
        return
    make = client_starting_at_first(kind, ports)
    if blocking:
        with Blocking(make) as client:
            assert outcome_of(lambda: client.complete(**params)) == expected
        return

    def ask() -> Finished:
        async def run() -> Finished:
            async with make() as client:
                return await client.complete(**params)

        return asyncio.run(run())

    assert outcome_of(ask) == expected


Scenario = Callable[[Client, list[InProcessFront]], Awaitable[None]]


def run_with_two_fronts(
    fleet: Fleet, kind: str, scenario: Scenario, effect: Effect = Effect.IDEMPOTENT, pace: float = 0.03
) -> None:
    fronts = [fleet.add(effect), fleet.add(effect)]
    for front in fronts:
        front.link.pace = pace

    async def run() -> None:
        async with (
            asyncio.timeout(15.0),
            client_starting_at_first(kind, [f.port for f in fronts])() as client,
        ):
            await scenario(client, fronts)

    asyncio.run(run())


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("repeatable, ended", [(True, "finished"), (False, "aborted")])
def test_a_front_killed_before_the_first_token(fleet: Fleet, kind: str, repeatable: bool, ended: str) -> None:
    async def scenario(client: Client, fronts: list[InProcessFront]) -> None:
        fronts[0].link.paused = True
        stream = client.stream("w", "x" * 400, max_tokens=4, repeatable=repeatable, timeout=2.0)
        task = stream.start()
        while not fronts[0].core.live:
            await asyncio.sleep(0.001)
        fleet.kill(fronts[0])
        try:
            assert ((await task).text, ended) == ("tttt", "finished")
        except Aborted:
            assert ended == "aborted" and fronts[1].core.tally.taken == 0

    run_with_two_fronts(fleet, kind, scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_a_front_killed_mid_stream_aborts_with_the_text_received(fleet: Fleet, kind: str) -> None:
    async def scenario(client: Client, fronts: list[InProcessFront]) -> None:
        received = ""
        with pytest.raises(Aborted) as error:
            async for part in client.stream("w", "x" * 400, max_tokens=50, timeout=3.0):
                received += part
                if len(received) == 3:
                    fleet.kill(fronts[0])
        assert error.value.text == received and 3 <= len(received) < 50

    run_with_two_fronts(fleet, kind, scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_after_a_lost_connection_the_repeat_joins_without_a_second_attempt(fleet: Fleet, kind: str) -> None:
    """A non-idempotent request goes on at its front; the client repeats it by its key and loses no text."""

    async def scenario(client: Client, fronts: list[InProcessFront]) -> None:
        received = ""
        async for part in client.stream("w", "x" * 400, max_tokens=30, repeatable=False, timeout=5.0):
            received += part
            if len(received) == 5:
                fleet.break_connections(fronts[0])
        assert received == "t" * 30
        assert fronts[0].core.tally.taken == 1 and fronts[0].link.sent == 2 and not fronts[1].core.tally.taken

    run_with_two_fronts(fleet, kind, scenario, Effect.NON_IDEMPOTENT)


@pytest.mark.parametrize("kind", KINDS)
def test_text_of_another_run_does_not_continue_a_lost_stream(fleet: Fleet, kind: str) -> None:
    """An idempotent request ended with its connection, so the repeat starts it anew at the same front."""

    async def scenario(client: Client, fronts: list[InProcessFront]) -> None:
        received = ""
        with pytest.raises(Aborted, match="anew") as error:
            async for part in client.stream("w", "x" * 400, max_tokens=30, timeout=5.0):
                received += part
                if len(received) == 5:
                    fleet.break_connections(fronts[0])
        assert error.value.text == received and fronts[0].core.tally.taken == 2

    run_with_two_fronts(fleet, kind, scenario)


@pytest.mark.parametrize("repeatable, raised", [(True, RateLimited), (False, Aborted)])
def test_a_request_that_may_have_run_is_not_reported_as_rate_limited(
    repeatable: bool, raised: type[Exception]
) -> None:
    """After a lost connection the first attempt may have run, though the front refuses the repeat."""

    class Front(HttpClient):
        async def once(self, front: int, *rest: Any) -> Any:
            self.asked = getattr(self, "asked", 0) + 1
            raise AttemptError(FailureKind.LOST if self.asked == 1 else FailureKind.REFUSED, "so", 0.2)

    async def run() -> None:
        with pytest.raises(raised):
            await Front(["http://127.0.0.1:1"]).complete("w", "x", timeout=0.5, repeatable=repeatable)

    asyncio.run(run())


def test_a_stream_without_its_end_mark_is_no_answer() -> None:
    async def scenario() -> None:
        async def answer(exchange: Exchange) -> None:
            exchange.head(200, {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})
            exchange.chunk(responses.chunk_event("c", "w", "half"))
            exchange.end()

        server = Server(answer)
        server.open("127.0.0.1")
        async with HttpClient([f"http://127.0.0.1:{server.port}"]) as client:
            with pytest.raises(Aborted):
                await client.complete("w", "x", timeout=0.5)
        server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("kind", KINDS)
def test_leaving_a_stream_early_cancels_it_at_the_front(fleet: Fleet, kind: str) -> None:
    async def scenario(client: Client, fronts: list[InProcessFront]) -> None:
        async with client.stream("w", "x" * 400, max_tokens=500) as stream:
            async for _ in stream:
                break
        while fronts[0].core.live:
            await asyncio.sleep(0.001)
        assert fronts[0].core.tally.left == 1

    run_with_two_fronts(fleet, kind, scenario)


@pytest.mark.parametrize(
    "repeatable, keyed, failures, fronts",
    [
        (True, True, [FailureKind.UNREACHED, FailureKind.UNREACHED], [1, 2]),
        (True, True, [FailureKind.LOST, FailureKind.REFUSED], [0, 1]),
        (True, False, [FailureKind.LOST], [1]),
        (False, False, [FailureKind.LOST], [None]),
        (False, True, [FailureKind.LOST, FailureKind.REFUSED, FailureKind.LOST], [0, 0, 0]),
        (False, True, [FailureKind.LOST, FailureKind.UNREACHED], [0, None]),
        (False, True, [FailureKind.ABORTED], [None]),
        (True, True, [FailureKind.ABORTED], [0]),
        (False, False, [FailureKind.REFUSED, FailureKind.UNREACHED], [1, 2]),
    ],
)
def test_front_of_the_next_attempt(
    repeatable: bool, keyed: bool, failures: list[FailureKind], fronts: list[int | None]
) -> None:
    front_order = FrontOrder(3, 1)
    front_order.order, front_order.current = [0, 1, 2], 0
    retry_state = RetryState(front_order, RetryBudget(0.2), 100.0, repeatable, keyed)
    for failure, front in zip(failures, fronts, strict=True):
        retry = retry_state.next_attempt(failure, 10.0, 0.5)
        assert (retry.front if retry else None) == front
        assert retry is None or failure is not FailureKind.REFUSED or 0.5 <= retry.wait <= 0.75


def test_retries_stay_within_their_share() -> None:
    front_order, budget = FrontOrder(2, 1), RetryBudget(0.2)
    retries = 0
    for n in range(1000):
        retry_state = RetryState(front_order, budget, 1e9, True, True)
        while retry_state.next_attempt(FailureKind.REFUSED, float(n)) is not None and retries < 10_000:
            retries += 1
    assert retries <= 0.2 * 1000 + MAX_CREDIT and retries > 150


def test_waits_grow_and_have_jitter() -> None:
    front_order = FrontOrder(2, 1)
    front_order.order, front_order.current = [0, 1], 0
    retry_state = RetryState(front_order, RetryBudget(0.2), 100.0, True, True)
    found = [retry_state.next_attempt(FailureKind.UNREACHED, 10.0 + n / 100) for n in range(8)]
    waits = [retry.wait for retry in found if retry]
    assert waits[0] == 0.0 < waits[1] < waits[2] < waits[3]
    assert max(waits) <= MAX_BACKOFF * (1 + JITTER) and waits[2] % BACKOFF != 0.0
    refused = [
        RetryState(front_order, RetryBudget(0.2), 100.0, True, True).next_attempt(
            FailureKind.REFUSED, 20.0, 1.0
        )
        for _ in range(2)
    ]
    assert refused[0] and refused[1] and refused[0].wait != refused[1].wait


def test_a_front_that_succeeded_is_tried_next_and_one_that_failed_last() -> None:
    front_order = FrontOrder(3, 1)
    front_order.order, front_order.current = [0, 1, 2], 0
    assert (
        front_order.record_failure(0, 10.0) == 1
        and front_order.record_failure(1, 10.1) == 2
        and front_order.record_failure(2, 10.2) == 0
    )
    front_order.record_success(2)
    assert RetryState(front_order, RetryBudget(0.2), 100.0, True, True).front == 2
    # All others are in their cooldown, so the next in turn is tried.
    assert front_order.record_failure(2, 10.3) == 0 and front_order.record_failure(0, 11.05) == 1


def test_saved_retry_credit_is_bounded() -> None:
    budget = RetryBudget(0.2)
    for _ in range(1000):
        budget.earn()
    assert sum(budget.spend() for _ in range(100)) == MAX_CREDIT


@pytest.mark.parametrize("kind", KINDS)
def test_a_buffered_answer_is_started_anew_at_another_front(fleet: Fleet, kind: str) -> None:
    async def scenario(client: Client, fronts: list[InProcessFront]) -> None:
        task = asyncio.ensure_future(client.complete("w", "x" * 400, max_tokens=20, timeout=5.0))
        while not fronts[0].link.calls or not fronts[0].link.calls[0].tokens_sent:
            await asyncio.sleep(0.001)
        fleet.kill(fronts[0])
        found = await task
        assert found.text == "t" * 20 and found.tries > 1 and fronts[1].core.tally.finished == 1

    run_with_two_fronts(fleet, kind, scenario)


def test_a_closing_session_gets_no_new_request(fleet: Fleet) -> None:
    async def scenario(client: Client, fronts: list[InProcessFront]) -> None:
        assert (await client.complete("w", "x", max_tokens=2)).tries == 1
        fleet.call(lambda: setattr(fronts[0].session_server, "closing_window", 30.0))
        fleet.call(fronts[0].session_server.stop)
        while not any(s.closing for s in client.sessions.values()):  # type: ignore[attr-defined]
            await asyncio.sleep(0.001)
        assert (await client.complete("w", "x", max_tokens=2)).text == "tt"
        assert fronts[1].core.tally.finished == 1 and fronts[0].manager.repeat_counter.first_requests == 1
        assert fronts[0].manager.repeat_counter.repeats == 0

    run_with_two_fronts(fleet, "websocket", scenario)


def test_no_attempt_starts_past_the_deadline() -> None:
    retry_state = RetryState(FrontOrder(2, 1), RetryBudget(1.0), 10.0, True, True)
    assert (
        retry_state.next_attempt(FailureKind.REFUSED, 9.0, 2.0) is None
        and retry_state.next_attempt(FailureKind.LOST, 9.99) is None
    )
