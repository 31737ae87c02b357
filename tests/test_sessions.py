"""Sessions as seen by an independent WebSocket client over loopback, with scripted engines."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.websocket import WebSocketProtocol13
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed, ConnectionClosedError

from heathford.fuzz.frames import ORDINARY, VIOLATIONS, Case, frame, handshake
from heathford.fuzz.sessions import ReceivedFrames, InProcessFront, cut_at_every_byte, read_frames
from heathford.fuzz.sessions import play as play_frames
from heathford.interface import Effect, Outcome
from heathford.sessions.protocol import StrictProtocol

Scenario = Callable[[InProcessFront, ClientConnection], Awaitable[None]]


def run_scenario(scenario: Scenario, connection: Mapping[str, Any] | None = None, **figures: Any) -> None:
    async def run() -> None:
        served = InProcessFront(**figures)
        async with asyncio.timeout(20.0), connect(served.url, **(connection or {})) as client:
            await scenario(served, client)
        served.server.stop()

    asyncio.run(run())


def create(key: Any, **params: Any) -> str:
    return json.dumps(
        {
            "jsonrpc": "2.0",
            "id": key,
            "method": "completions.create",
            "params": {"model": "w", "prompt": "x" * 400, "max_tokens": 3, **params},
        }
    )


async def receive_answer(client: ClientConnection, key: Any) -> dict[str, Any]:
    while True:
        message: dict[str, Any] = json.loads(await client.recv())
        if "method" not in message and message["id"] == key:
            return message


async def assert_finishes(client: ClientConnection, key: Any) -> None:
    assert (await receive_answer(client, key))["result"]["final"] == "finished"


def test_many_completions_on_one_session() -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        text: dict[int, str] = {}
        finals: list[int] = []
        for key in range(48):
            await client.send(create(key))
            if key % 4 != 3:  # four at a time: the initial window of the fair queue
                continue
            while len(finals) <= key:
                message = json.loads(await client.recv())
                if message.get("method") == "completions.chunk":
                    params = message["params"]
                    text[params["id"]] = text.get(params["id"], "") + params["choices"][0]["text"]
                else:
                    finals.append(message["id"])
                    assert message["result"]["choices"][0]["text"] == text[message["id"]] == "ttt"
                    assert message["result"]["id"].startswith("cmpl-")
        assert sorted(finals) == list(range(48)) and not served.core.live

    run_scenario(scenario)


@pytest.mark.parametrize("compression", ["deflate", None])
def test_fragments_pings_and_deflate(compression: str | None) -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        complete = create(1)
        await client.send(complete[n : n + 40] for n in range(0, len(complete), 40))
        await assert_finishes(client, 1)
        await (await client.ping())
        await client.send(create("two", prompt=[1, 2, 3]))
        await assert_finishes(client, "two")

    run_scenario(scenario, {"compression": compression})


@pytest.mark.parametrize(
    "message, code, what",
    [
        ("{", -32700, "no JSON"),
        ("[]", -32600, "batches"),
        ("3", -32600, "no JSON-RPC"),
        ('{"jsonrpc":"1.0","id":1,"method":"completions.create"}', -32600, "no JSON-RPC"),
        ('{"jsonrpc":"2.0","id":true,"method":"completions.create"}', -32600, "id"),
        ('{"jsonrpc":"2.0","id":1,"method":"nope"}', -32601, "allowed are completions.create"),
        ('{"jsonrpc":"2.0","id":1,"method":"completions.create","params":[]}', -32602, "params"),
        ('{"jsonrpc":"2.0","method":"completions.create","params":{}}', -32600, "needs an id"),
        (create(1, model="x"), -32602, "no workload here; allowed are w"),
        (create(1, model=3), -32602, "model"),
        (create(1, max_tokens=-1), -32602, "max_tokens: -1"),
        (create(1, max_tokens=2.5), -32602, "whole number"),
        (create(1, max_tokens=True), -32602, "whole number"),
        (create(1, max_tokens=5001), -32602, "1 to 5000"),
        (create(1, timeout=-1), -32602, "timeout"),
        (create(1, timeout="1"), -32602, "timeout"),
        (create(1, user="x"), -32602, "no member"),
        (create(1, prompt=""), -32602, "0 tokens"),
        (create(1, prompt=[1, -2]), -32602, "list of token ids"),
        (create(1, prompt={"a": 1}), -32602, "prompt"),
        (create(1, prefix_tokens=101), -32602, "prompt's 100"),
        (create(1, prompt_cache_key=4), -32602, "printable"),
        (create(1, idempotency_key="a\r\nb"), -32602, "printable"),
        (b"\x01", -32600, "messages are text"),
    ],
)
def test_invalid_messages_get_their_error_code_and_affect_no_other_request(
    message: str | bytes, code: int, what: str
) -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        await client.send(create("before"))
        await client.send(message)
        found = None
        while found is None:
            reply = json.loads(await client.recv())
            found = reply.get("error")
        assert found["code"] == code and what in found["message"]
        await client.send(create("after"))
        await assert_finishes(client, "after")
        assert served.core.tally.finished == 2 and not served.session_server.manager.capacity.held_bytes

    run_scenario(scenario)


def test_an_id_in_use_is_refused_and_the_first_request_keeps_it() -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        served.link.paused = True
        await client.send(create(1))
        await client.send(create(1))
        assert (await receive_answer(client, 1))["error"]["code"] == -32600
        served.link.paused = False
        served.link.calls[0].send_events()
        await assert_finishes(client, 1)

    run_scenario(scenario)


def test_a_cancelled_request_ends_once_and_frees_its_engine() -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        served.link.paused = served.link.keep = True
        await client.send(create(1))
        await client.send(
            json.dumps({"jsonrpc": "2.0", "id": 2, "method": "completions.cancel", "params": {"id": 1}})
        )
        error = (await receive_answer(client, 1))["error"]
        assert (error["code"], error["data"]["final"]) == (-32002, "aborted")
        assert (await receive_answer(client, 2))["result"] == {"cancelled": True}
        await client.send(
            json.dumps({"jsonrpc": "2.0", "id": 3, "method": "completions.cancel", "params": {"id": 1}})
        )
        assert (await receive_answer(client, 3))["result"] == {"cancelled": False}
        while served.core.live:
            await asyncio.sleep(0)
        assert all(call.cancelled for call in served.link.calls)

    run_scenario(scenario)


@pytest.mark.parametrize("figures, expected", [({"most_out": 1}, 1), ({"most_held": 700}, 1)])
def test_a_session_beyond_its_limits_is_rate_limited(figures: dict[str, Any], expected: int) -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        served.link.paused = True
        await client.send(create(1))
        await client.send(create(2))
        error = (await receive_answer(client, 2))["error"]
        assert error["code"] == -32001 and error["data"]["retry_after"] > 0
        assert len(served.core.live) == expected

    run_scenario(scenario, **figures)


def test_too_many_sessions_and_too_large_messages_are_closed_with_their_codes() -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        async with connect(served.url) as second:
            with pytest.raises(ConnectionClosed):
                await second.recv()
            assert second.close_code == 1013
        with pytest.raises(ConnectionClosedError):
            await client.send("x" * 200_000)
            await client.recv()
        assert client.close_code == 1009
        while served.session_server.open:
            await asyncio.sleep(0)
        async with connect(served.url) as third:
            await third.send(create(1))
            await assert_finishes(third, 1)
            served.session_server.close()
            with pytest.raises(ConnectionClosed):
                await third.recv()
            assert third.close_code == 1001

    run_scenario(scenario, most=1)


def test_a_client_that_does_not_read_delays_no_other_client() -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        served.link.size = 4000
        async with connect(served.url, max_queue=1, compression=None, max_size=None) as slow:
            await slow.send(create(1, max_tokens=2000))  # 8 MB, which the client does not read yet
            await client.send(create(1))
            await assert_finishes(client, 1)
            complete = (await receive_answer(slow, 1))["result"]["choices"][0]["text"]
            assert len(complete) == 8_000_000

    run_scenario(scenario, {"max_size": None})


def test_a_client_that_disconnects_leaves_no_request_in_progress() -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        served.link.paused = served.link.keep = True
        for key in range(4):
            await client.send(create(key))
        while len(served.link.calls) < 4:
            await asyncio.sleep(0)
        client.transport.abort()
        while served.core.live or served.session_server.open:
            await asyncio.sleep(0)
        assert all(c.cancelled for c in served.link.calls) and served.core.tally.left == 4
        assert (
            not served.session_server.manager.capacity.held_bytes
            and not served.session_server.manager.capacity.sessions
        )

    run_scenario(scenario)


async def receive_text(client: ClientConnection, key: Any) -> tuple[str, dict[str, Any]]:
    """Return the text of the chunks, and the final answer."""
    text = ""
    while True:
        message = json.loads(await client.recv())
        if message.get("method") == "completions.chunk" and message["params"]["id"] == key:
            text += message["params"]["choices"][0]["text"]
        elif "method" not in message and message["id"] == key:
            return text, message


def test_a_repeat_joins_the_request_in_progress_and_later_gets_the_same_answer() -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        served.link.pace = 0.02
        async with connect(served.url) as second:
            await client.send(create(1, idempotency_key="k", max_tokens=10))
            await second.send(create(7, idempotency_key="k", max_tokens=10))
            (one, first), (two, repeat) = await asyncio.gather(
                receive_text(client, 1), receive_text(second, 7)
            )
            assert one == two == "t" * 10 and first["result"] == {**repeat["result"]}
            # One prefill and one decode attempt.
            assert served.link.sent == 2 and served.core.tally.taken == 1
            await second.send(create(8, idempotency_key="k", max_tokens=10))
            assert (await receive_text(second, 8))[1]["result"] == first["result"] and served.link.sent == 2
            await second.send(create(9, idempotency_key="k", max_tokens=9))
            assert (await receive_answer(second, 9))["error"]["code"] == -32602
            await second.send(create(10, idempotency_key="k", user="n", max_tokens=9))  # of another tenant
            await assert_finishes(second, 10)

    run_scenario(scenario)


@pytest.mark.parametrize("figures, active", [({"most_out": 1, "most_waiting": 4}, 1), ({}, 16)])
def test_two_waiting_requests_with_one_key_run_once(figures: dict[str, Any], active: int) -> None:
    """Each was new when it was submitted: they wait in their sessions or in the fair queue."""

    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        served.link.paused = served.link.keep = True
        async with connect(served.url) as second:
            for one in (client, second):
                for key in range(active if one is client or figures else 0):
                    await one.send(create(key, timeout=3.0))
                await one.send(create("k", idempotency_key="k", timeout=3.0, max_tokens=7))
            while (
                len(served.manager.fair_queue.waiting)
                + sum(len(s.rpc.session.waiting.heap) for s in served.session_server.open if s.rpc)
                < 2
            ):
                await asyncio.sleep(0.001)
            served.link.paused = False
            for call in list(served.link.calls):
                call.send_events()
            finals = [await receive_text(client, "k"), await receive_text(second, "k")]
            assert finals[0] == finals[1] and finals[0][0] == "ttttttt"
            # One prefill and one decode attempt.
            assert sum(c.body["max_tokens"] == 7 for c in served.link.calls) == 2

    run_scenario(scenario, **figures)


@pytest.mark.parametrize(
    "effect, attempts, counts",
    [
        (Effect.IDEMPOTENT, 4, (2, 1)),
        (Effect.NON_IDEMPOTENT, 2, (1, 0)),
        (Effect.IDEMPOTENCY_KEYED, 2, (1, 0)),
    ],
)
def test_a_repeat_after_the_client_disconnected(
    effect: Effect, attempts: int, counts: tuple[int, int]
) -> None:
    """An idempotent request ends with its client and runs again; the repeat joins any other request."""

    async def run() -> None:
        served = InProcessFront(effect)
        served.link.pace = 0.03
        async with asyncio.timeout(10.0):
            async with connect(served.url) as client:
                await client.send(create(1, idempotency_key="k", max_tokens=10))
                await client.recv()
                client.transport.abort()
            while served.session_server.open:
                await asyncio.sleep(0.001)
            async with connect(served.url) as second:
                await second.send(create(1, idempotency_key="k", max_tokens=10))
                text, final = await receive_text(second, 1)
                assert text == final["result"]["choices"][0]["text"] == "t" * 10
        assert served.link.sent == attempts
        assert (served.core.tally.taken, served.core.tally.left) == counts
        while served.held_resources:
            await asyncio.sleep(0.001)
        served.server.stop()

    asyncio.run(run())


def test_a_repeat_with_an_earlier_deadline_is_answered_in_time() -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        served.link.paused = True
        await client.send(create(1, idempotency_key="k"))
        async with connect(served.url) as second:
            await second.send(create(2, idempotency_key="k", timeout=0.3))
            error = (await receive_answer(second, 2))["error"]
            assert error["data"]["final"] == "aborted" and served.core.tally.aborted == 0
        served.link.paused = False
        served.link.calls[0].send_events()
        await assert_finishes(client, 1)

    run_scenario(scenario)


def test_requests_beyond_the_active_limit_wait_by_deadline_and_are_refused_at_theirs() -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        served.link.paused = True
        await client.send(create("out", timeout=30))
        for key, timeout in (("late", 20), ("early", 10), ("never", 0.3)):
            await client.send(create(key, timeout=timeout))
        await client.send(create("no room"))
        for key in ("no room", "never"):
            assert (await receive_answer(client, key))["error"]["code"] == -32001
        served.link.paused = False
        served.link.calls[0].send_events()
        order: list[str] = []
        while len(order) < 3:
            message = json.loads(await client.recv())
            if "result" in message:
                order.append(message["id"])
        assert order == ["out", "early", "late"]

    run_scenario(scenario, most_out=1, most_waiting=3)


def test_a_session_beyond_its_read_ahead_is_not_read_from() -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        served.link.paused = True
        for key in range(60):
            await client.send(create(key, prompt="x" * 8000))
        while served.manager.capacity.held_bytes < 16_000:
            await asyncio.sleep(0.001)
        for _ in range(50):
            await asyncio.sleep(0.001)
            assert served.manager.capacity.held_bytes < 30_000
        for key in range(2):
            await client.send(
                json.dumps({"jsonrpc": "2.0", "method": "completions.cancel", "params": {"id": key}})
            )
        served.link.paused = False
        for call in list(served.link.calls):
            call.send_events()
        seen = 0
        while seen < 60:
            seen += "method" not in json.loads(await client.recv())
        assert not served.manager.capacity.held_bytes

    run_scenario(scenario, read_ahead=16_000, most_out=200)


@pytest.mark.parametrize("ping, expected", [(0.3, {"silent"}), (30.0, {"slow"})])
def test_half_open_and_slow_sessions_are_closed(ping: float, expected: set[str]) -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
        writer.write(handshake("x", False))
        await reader.readuntil(b"\r\n\r\n")  # from here on the client neither reads nor answers a ping
        slow_reader, slow = await asyncio.open_connection("127.0.0.1", served.port, limit=1000)
        slow.write(handshake("x", False))
        await slow_reader.readuntil(b"\r\n\r\n")
        served.link.size, served.link.pace = 5000, 0.001
        slow.write(frame(1, create(1, max_tokens=5000, timeout=60).encode()))
        while set(served.session_server.closed_counts) != expected:
            await asyncio.sleep(0.01)
            await client.send(create(1))
            await receive_answer(client, 1)
        writer.close()
        slow.close()

    run_scenario(scenario, slow=0.3, ping=ping, pong=0.3)


def test_a_stopping_front_refuses_requests_and_closes_its_sessions_one_by_one() -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        others = [await connect(served.url) for _ in range(4)]
        served.link.pace = 0.03
        await client.send(create(1, max_tokens=30))
        await client.recv()
        served.session_server.stop()
        await client.send(create(2))
        assert (await receive_answer(client, 2))["error"]["data"]["retry_after"] > 0
        await assert_finishes(client, 1)
        times = []
        for other in others:
            going = json.loads(await other.recv())
            assert going["method"] == "session.going"
            times.append(going["params"]["closes_in"])
            with pytest.raises(ConnectionClosed):
                await other.recv()
            assert other.close_code == 1001
        with pytest.raises(ConnectionClosed):
            while True:
                await client.recv()
        assert client.close_code == 1001 and len(set(times)) == 4 and max(times) < 0.5

    run_scenario(scenario, window=0.5)


def test_clients_that_use_one_key_at_the_same_moment_share_one_request() -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        clients = [await connect(served.url) for _ in range(6)]
        for one in clients:
            await one.send(create(1, idempotency_key="same"))
        for one in clients:
            await assert_finishes(one, 1)
            await one.close()
        assert served.core.tally.taken == 1 and served.link.sent == 2

    run_scenario(scenario)


OPERATIONS = st.fixed_dictionaries(
    {
        "do": st.sampled_from([*ORDINARY, *VIOLATIONS, "cut"]),
        "parts": st.integers(1, 20),
        "n": st.integers(0, 9999),
        "pings": st.integers(0, 2),
        "deflate": st.booleans(),
        "junk": st.sampled_from([0, 7, 3000]),
    }
)


def test_invalid_frames_get_the_close_code_of_the_rfc_and_leave_nothing_held() -> None:
    loop = asyncio.new_event_loop()

    async def create_front() -> InProcessFront:
        return InProcessFront()

    served = loop.run_until_complete(create_front())

    @settings(derandomize=True, deadline=None, max_examples=120)
    @given(st.booleans(), st.lists(OPERATIONS, max_size=8))
    def play_operations(deflate: bool, operations: Case) -> None:
        case = [
            {"do": "open", "deflate": deflate},
            *[{**operation, "n": operation["n"] % 200} for operation in operations],
        ]
        assert loop.run_until_complete(play_frames(served, case)) == []

    play_operations()
    assert loop.run_until_complete(cut_at_every_byte(served, ("reset",))) == []
    served.server.stop()
    loop.close()


def test_the_fuzzer_finds_violations_that_tornado_alone_accepts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(StrictProtocol, "_receive_frame", WebSocketProtocol13._receive_frame)

    async def run() -> set[str]:
        served = InProcessFront()
        found = set()
        for kind in VIOLATIONS:
            if await play_frames(served, [{"do": "open", "deflate": True}, {"do": kind, "n": 1, "junk": 0}]):
                found.add(kind)
        if await play_frames(
            served,
            [
                {"do": "open", "deflate": True},
                {"do": "ask", "parts": 3, "pings": 1, "deflate": True, "n": 90},
            ],
        ):
            found.add("ping between compressed fragments")
        served.server.stop()
        return found

    monkeypatch.setattr("heathford.fuzz.sessions.TIMEOUT", 0.3)
    found = asyncio.run(run())
    assert {"unmasked", "bad text", "rsv", "ping between compressed fragments"} <= found


def test_500_sessions_with_three_requests_each_when_all_engines_break() -> None:
    """Each request, in progress or waiting, gets one final answer when all attempts break off."""

    async def run() -> None:
        served = InProcessFront(most=600, most_held=10**8)
        served.link.paused = served.link.keep = True
        reply: list[ReceivedFrames] = []
        listening, writers = [], []
        for _ in range(500):
            reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
            writer.write(
                handshake("x", False)
                + b"".join(frame(1, create(key, timeout=3.0).encode()) for key in range(3))
            )
            await reader.readuntil(b"\r\n\r\n")
            reply.append(ReceivedFrames())
            listening.append(asyncio.ensure_future(read_frames(reader, reply[-1])))
            writers.append(writer)
        while served.core.tally.taken + served.manager.fair_queue.shed_count < 1500:
            await asyncio.sleep(0.001)
        broken = 0
        async with asyncio.timeout(10.0):
            while any(len(h.texts) < 3 for h in reply):
                for call in served.link.calls[broken:]:
                    call.events.ended(Outcome.BROKEN, 0, {}, {})
                broken = len(served.link.calls)
                await asyncio.sleep(0.005)
        for h in reply:
            assert sorted(t["id"] for t in h.texts) == [0, 1, 2]
            assert {t["error"]["data"]["final"] for t in h.texts} <= {"rate-limited", "aborted"}
        tally = served.core.tally
        assert tally.taken == tally.rate_limited + tally.aborted and not served.core.live
        for task, writer in zip(listening, writers, strict=True):
            task.cancel()
            writer.transport.abort()
        served.server.stop()

    asyncio.run(run())


def test_a_session_that_cancels_each_request_at_once_holds_nothing() -> None:
    async def scenario(served: InProcessFront, client: ClientConnection) -> None:
        for key in range(300):
            await client.send(create(key))
            await client.send(
                json.dumps({"jsonrpc": "2.0", "method": "completions.cancel", "params": {"id": key}})
            )
        finals: list[int] = []
        while len(finals) < 300:
            message = json.loads(await client.recv())
            if "method" not in message:
                finals.append(message["id"])
        assert sorted(finals) == list(range(300))
        while served.held_resources != "1 sessions, 1 places":
            await asyncio.sleep(0.001)

    run_scenario(scenario)
