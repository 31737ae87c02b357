"""Both client libraries, asyncio and blocking, against the same fronts: the same answers, errors and
guidance."""

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
from heathford.fuzz.sessions import Served
from heathford.interface import Effect
from heathford.standin.server import Exchange, Server

HERE = Path(__file__).parent
KINDS = ["websocket", "http"]
DEAD = 1  # a port of the loopback range where nobody listens


class Fleet:
    """Fronts in a thread of their own, so that blocking clients can be asked beside them."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.fronts: list[Served] = []

    def call(self, work: Callable[[], Any]) -> Any:
        async def run() -> Any:
            return work()

        return asyncio.run_coroutine_threadsafe(run(), self.loop).result(10.0)

    def add(self, effect: Effect = Effect.IDEMPOTENT, **figures: Any) -> Served:
        served: Served = self.call(lambda: Served(effect, **figures))
        self.fronts.append(served)
        return served

    def vanish(self, served: Served) -> None:
        """As a front that is killed: connections end, and none is taken."""
        self.call(served.server.stop)
        self.cut(served)

    def cut(self, served: Served) -> None:
        """All its connections break."""

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


def made(kind: str, ports: list[int], **more: Any) -> Client:
    if kind == "websocket":
        return WebSocketClient([f"ws://127.0.0.1:{p}/v1/sessions" for p in ports], **more)
    return HttpClient([f"http://127.0.0.1:{p}" for p in ports], **more)


def first_at(kind: str, ports: list[int]) -> Callable[[], Client]:
    """A client whose first front is the first of these."""

    def make() -> Client:
        client = made(kind, ports, seed=1)
        client.fronts.order, client.fronts.current = list(range(len(ports))), 0
        return client

    return make


def outcome(ask: Callable[[], Finished]) -> tuple[str, str, Any]:
    try:
        found = ask()
        return "finished", found.text, found.tries
    except RateLimited as problem:
        return "rate-limited", problem.text, problem.retry_after > 0
    except (Aborted, BadRequest, NoFront) as problem:
        return type(problem).__name__.lower(), problem.text, None


# What stands before the client: figures of its fronts (None: nobody listens), what it asks, what it is told.
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
def library_before(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Callable[..., Any]]:
    """The version before's library, as this repository's history has it, in a process of its own."""
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
@pytest.mark.parametrize("name, fronts, asks, wanted", CASES)
def test_conformance(
    fleet: Fleet,
    library_before: Callable[..., Any],
    kind: str,
    blocking: bool,
    version: str,
    name: str,
    fronts: list[dict[str, Any] | None],
    asks: dict[str, Any],
    wanted: tuple[str, str, Any],
) -> None:
    ports = []
    for figures in fronts:
        if figures is None:
            ports.append(DEAD)
            continue
        served = fleet.add(**{k: v for k, v in figures.items() if k != "held"})
        served.link.held = bool(figures.get("held"))
        ports.append(served.port)
    params: dict[str, Any] = {"model": "w", "prompt": "x" * 400, "max_tokens": 4, "timeout": 5.0} | asks
    if version == "before":
        form = "ws://127.0.0.1:{}/v1/sessions" if kind == "websocket" else "http://127.0.0.1:{}"
        addresses = [form.format(port) for port in ports]
        assert library_before(kind=kind, blocking=blocking, addresses=addresses, params=params) == wanted
        return
    make = first_at(kind, ports)
    if blocking:
        with Blocking(make) as client:
            assert outcome(lambda: client.complete(**params)) == wanted
        return

    def ask() -> Finished:
        async def run() -> Finished:
            async with make() as client:
                return await client.complete(**params)

        return asyncio.run(run())

    assert outcome(ask) == wanted


Scene = Callable[[Client, list[Served]], Awaitable[None]]


def two_fronts(
    fleet: Fleet, kind: str, scene: Scene, effect: Effect = Effect.IDEMPOTENT, pace: float = 0.03
) -> None:
    fronts = [fleet.add(effect), fleet.add(effect)]
    for front in fronts:
        front.link.pace = pace

    async def run() -> None:
        async with asyncio.timeout(15.0), first_at(kind, [f.port for f in fronts])() as client:
            await scene(client, fronts)

    asyncio.run(run())


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("repeatable, ended", [(True, "finished"), (False, "aborted")])
def test_a_front_killed_before_the_first_token(fleet: Fleet, kind: str, repeatable: bool, ended: str) -> None:
    async def scene(client: Client, fronts: list[Served]) -> None:
        fronts[0].link.held = True
        stream = client.stream("w", "x" * 400, max_tokens=4, repeatable=repeatable, timeout=2.0)
        task = stream.start()
        while not fronts[0].core.live:
            await asyncio.sleep(0.001)
        fleet.vanish(fronts[0])
        try:
            assert ((await task).text, ended) == ("tttt", "finished")
        except Aborted:
            assert ended == "aborted" and fronts[1].core.tally.taken == 0

    two_fronts(fleet, kind, scene)


@pytest.mark.parametrize("kind", KINDS)
def test_a_front_killed_mid_stream_ends_in_the_truth(fleet: Fleet, kind: str) -> None:
    async def scene(client: Client, fronts: list[Served]) -> None:
        got = ""
        with pytest.raises(Aborted) as problem:
            async for part in client.stream("w", "x" * 400, max_tokens=50, timeout=3.0):
                got += part
                if len(got) == 3:
                    fleet.vanish(fronts[0])
        assert problem.value.text == got and 3 <= len(got) < 50

    two_fronts(fleet, kind, scene)


@pytest.mark.parametrize("kind", KINDS)
def test_a_lost_connection_is_joined_again_without_a_second_dispatch(fleet: Fleet, kind: str) -> None:
    """What must not run twice goes on at its front; the client comes again with its key and misses
    nothing."""

    async def scene(client: Client, fronts: list[Served]) -> None:
        got = ""
        async for part in client.stream("w", "x" * 400, max_tokens=30, repeatable=False, timeout=5.0):
            got += part
            if len(got) == 5:
                fleet.cut(fronts[0])
        assert got == "t" * 30
        assert fronts[0].core.tally.taken == 1 and fronts[0].link.sent == 2 and not fronts[1].core.tally.taken

    two_fronts(fleet, kind, scene, Effect.NON_IDEMPOTENT)


@pytest.mark.parametrize("kind", KINDS)
def test_text_of_another_completion_does_not_go_on_where_one_broke_off(fleet: Fleet, kind: str) -> None:
    """What may run twice ended with its connection: the same front begins it anew."""

    async def scene(client: Client, fronts: list[Served]) -> None:
        got = ""
        with pytest.raises(Aborted, match="anew") as problem:
            async for part in client.stream("w", "x" * 400, max_tokens=30, timeout=5.0):
                got += part
                if len(got) == 5:
                    fleet.cut(fronts[0])
        assert problem.value.text == got and fronts[0].core.tally.taken == 2

    two_fronts(fleet, kind, scene)


@pytest.mark.parametrize("repeatable, raised", [(True, RateLimited), (False, Aborted)])
def test_what_may_have_run_is_not_called_rate_limited(repeatable: bool, raised: type[Exception]) -> None:
    """A front that lost the connection to it, and then refuses it, has forgotten it."""

    class Front(HttpClient):
        async def once(self, front: int, *rest: Any) -> Any:
            self.asked = getattr(self, "asked", 0) + 1
            raise AttemptError(FailureKind.LOST if self.asked == 1 else FailureKind.REFUSED, "so", 0.2)

    async def run() -> None:
        with pytest.raises(raised):
            await Front(["http://127.0.0.1:1"]).complete("w", "x", timeout=0.5, repeatable=repeatable)

    asyncio.run(run())


def test_a_stream_that_ends_without_saying_so_is_no_answer() -> None:
    async def scene() -> None:
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

    asyncio.run(scene())


@pytest.mark.parametrize("kind", KINDS)
def test_leaving_a_stream_early_cancels_it_at_the_front(fleet: Fleet, kind: str) -> None:
    async def scene(client: Client, fronts: list[Served]) -> None:
        async with client.stream("w", "x" * 400, max_tokens=500) as stream:
            async for _ in stream:
                break
        while fronts[0].core.live:
            await asyncio.sleep(0.001)
        assert fronts[0].core.tally.left == 1

    two_fronts(fleet, kind, scene)


@pytest.mark.parametrize(
    "repeatable, keyed, troubles, fronts",
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
def test_where_a_try_goes_next(
    repeatable: bool, keyed: bool, troubles: list[FailureKind], fronts: list[int | None]
) -> None:
    choice = FrontOrder(3, 1)
    choice.order, choice.current = [0, 1, 2], 0
    retry_state = RetryState(choice, RetryBudget(0.2), 100.0, repeatable, keyed)
    for trouble, front in zip(troubles, fronts, strict=True):
        again = retry_state.next_attempt(trouble, 10.0, 0.5)
        assert (again.front if again else None) == front
        assert again is None or trouble is not FailureKind.REFUSED or 0.5 <= again.wait <= 0.75


def test_tries_again_stay_within_their_share() -> None:
    choice, budget = FrontOrder(2, 1), RetryBudget(0.2)
    again = 0
    for n in range(1000):
        retry_state = RetryState(choice, budget, 1e9, True, True)
        while retry_state.next_attempt(FailureKind.REFUSED, float(n)) is not None and again < 10_000:
            again += 1
    assert again <= 0.2 * 1000 + MAX_CREDIT and again > 150


def test_waits_grow_differ_and_end_once_a_front_is_there() -> None:
    choice = FrontOrder(2, 1)
    choice.order, choice.current = [0, 1], 0
    retry_state = RetryState(choice, RetryBudget(0.2), 100.0, True, True)
    found = [retry_state.next_attempt(FailureKind.UNREACHED, 10.0 + n / 100) for n in range(8)]
    waits = [again.wait for again in found if again]
    assert waits[0] == 0.0 < waits[1] < waits[2] < waits[3]
    assert max(waits) <= MAX_BACKOFF * (1 + JITTER) and waits[2] % BACKOFF != 0.0
    refused = [
        RetryState(choice, RetryBudget(0.2), 100.0, True, True).next_attempt(FailureKind.REFUSED, 20.0, 1.0)
        for _ in range(2)
    ]
    assert refused[0] and refused[1] and refused[0].wait != refused[1].wait


def test_a_front_that_was_good_is_asked_next_and_one_that_was_bad_last() -> None:
    choice = FrontOrder(3, 1)
    choice.order, choice.current = [0, 1, 2], 0
    assert (
        choice.record_failure(0, 10.0) == 1
        and choice.record_failure(1, 10.1) == 2
        and choice.record_failure(2, 10.2) == 0
    )
    choice.record_success(2)
    assert RetryState(choice, RetryBudget(0.2), 100.0, True, True).front == 2
    assert (
        choice.record_failure(2, 10.3) == 0 and choice.record_failure(0, 11.05) == 1
    )  # it is a second ago that 0 and 1 were bad


def test_credit_is_not_saved_up_for_a_storm() -> None:
    budget = RetryBudget(0.2)
    for _ in range(1000):
        budget.earn()
    assert sum(budget.spend() for _ in range(100)) == MAX_CREDIT


@pytest.mark.parametrize("kind", KINDS)
def test_a_whole_answer_is_begun_anew_where_nothing_was_seen(fleet: Fleet, kind: str) -> None:
    async def scene(client: Client, fronts: list[Served]) -> None:
        task = asyncio.ensure_future(client.complete("w", "x" * 400, max_tokens=20, timeout=5.0))
        while not fronts[0].link.calls or not fronts[0].link.calls[0].given:
            await asyncio.sleep(0.001)
        fleet.vanish(fronts[0])
        found = await task
        assert found.text == "t" * 20 and found.tries > 1 and fronts[1].core.tally.finished == 1

    two_fronts(fleet, kind, scene)


def test_a_session_that_is_told_to_go_gets_nothing_new(fleet: Fleet) -> None:
    async def scene(client: Client, fronts: list[Served]) -> None:
        assert (await client.complete("w", "x", max_tokens=2)).tries == 1
        fleet.call(lambda: setattr(fronts[0].session_server, "closing_window", 30.0))
        fleet.call(fronts[0].session_server.stop)
        while not any(s.closing for s in client.sessions.values()):  # type: ignore[attr-defined]
            await asyncio.sleep(0.001)
        assert (await client.complete("w", "x", max_tokens=2)).text == "tt"
        assert fronts[1].core.tally.finished == 1 and fronts[0].manager.repeat_counter.first_requests == 1
        assert fronts[0].manager.repeat_counter.repeats == 0

    two_fronts(fleet, "websocket", scene)


def test_no_try_is_begun_past_the_callers_deadline() -> None:
    retry_state = RetryState(FrontOrder(2, 1), RetryBudget(1.0), 10.0, True, True)
    assert (
        retry_state.next_attempt(FailureKind.REFUSED, 9.0, 2.0) is None
        and retry_state.next_attempt(FailureKind.LOST, 9.99) is None
    )
