"""Sessions as an independent WebSocket client sees them, over loopback, engines answering by a script."""

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
from heathford.fuzz.sessions import Heard, Served, half_closes, listen
from heathford.fuzz.sessions import play as play_frames
from heathford.interface import Effect, Outcome
from heathford.sessions.protocol import StrictProtocol

Scene = Callable[[Served, ClientConnection], Awaitable[None]]


def play(scene: Scene, connection: Mapping[str, Any] | None = None, **figures: Any) -> None:
    async def run() -> None:
        served = Served(**figures)
        async with asyncio.timeout(20.0), connect(served.url, **(connection or {})) as client:
            await scene(served, client)
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


async def answer(client: ClientConnection, key: Any) -> dict[str, Any]:
    while True:
        said: dict[str, Any] = json.loads(await client.recv())
        if "method" not in said and said["id"] == key:
            return said


async def finishes(client: ClientConnection, key: Any) -> None:
    assert (await answer(client, key))["result"]["final"] == "finished"


def test_many_completions_on_one_session() -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        text: dict[int, str] = {}
        finals: list[int] = []
        for key in range(48):
            await client.send(create(key))
            if key % 4 != 3:  # four at a time: a front that has answered nothing yet lets in no more
                continue
            while len(finals) <= key:
                said = json.loads(await client.recv())
                if said.get("method") == "completions.chunk":
                    params = said["params"]
                    text[params["id"]] = text.get(params["id"], "") + params["choices"][0]["text"]
                else:
                    finals.append(said["id"])
                    assert said["result"]["choices"][0]["text"] == text[said["id"]] == "ttt"
                    assert said["result"]["id"].startswith("cmpl-")
        assert sorted(finals) == list(range(48)) and not served.core.live

    play(scene)


@pytest.mark.parametrize("compression", ["deflate", None])
def test_fragments_pings_and_deflate(compression: str | None) -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        whole = create(1)
        await client.send(whole[n : n + 40] for n in range(0, len(whole), 40))
        await finishes(client, 1)
        await (await client.ping())
        await client.send(create("two", prompt=[1, 2, 3]))
        await finishes(client, "two")

    play(scene, {"compression": compression})


@pytest.mark.parametrize(
    "said, code, what",
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
def test_bad_messages_get_their_code_and_lose_nothing(said: str | bytes, code: int, what: str) -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        await client.send(create("before"))
        await client.send(said)
        found = None
        while found is None:
            heard = json.loads(await client.recv())
            found = heard.get("error")
        assert found["code"] == code and what in found["message"]
        await client.send(create("after"))
        await finishes(client, "after")
        assert served.core.tally.finished == 2 and not served.session_server.manager.capacity.held_bytes

    play(scene)


def test_an_id_in_use_is_refused_and_the_first_keeps_it() -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        served.link.held = True
        await client.send(create(1))
        await client.send(create(1))
        assert (await answer(client, 1))["error"]["code"] == -32600
        served.link.held = False
        served.link.calls[0].go()
        await finishes(client, 1)

    play(scene)


def test_a_cancel_ends_it_once_and_frees_the_engine() -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        served.link.held = served.link.keep = True
        await client.send(create(1))
        await client.send(
            json.dumps({"jsonrpc": "2.0", "id": 2, "method": "completions.cancel", "params": {"id": 1}})
        )
        error = (await answer(client, 1))["error"]
        assert (error["code"], error["data"]["final"]) == (-32002, "aborted")
        assert (await answer(client, 2))["result"] == {"cancelled": True}
        await client.send(
            json.dumps({"jsonrpc": "2.0", "id": 3, "method": "completions.cancel", "params": {"id": 1}})
        )
        assert (await answer(client, 3))["result"] == {"cancelled": False}
        while served.core.live:
            await asyncio.sleep(0)
        assert all(call.cancelled for call in served.link.calls)

    play(scene)


@pytest.mark.parametrize("figures, wanted", [({"most_out": 1}, 1), ({"most_held": 700}, 1)])
def test_beyond_its_bounds_a_session_is_rate_limited(figures: dict[str, Any], wanted: int) -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        served.link.held = True
        await client.send(create(1))
        await client.send(create(2))
        error = (await answer(client, 2))["error"]
        assert error["code"] == -32001 and error["data"]["retry_after"] > 0
        assert len(served.core.live) == wanted

    play(scene, **figures)


def test_too_many_sessions_and_too_large_messages_are_closed_with_their_codes() -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
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
            await finishes(third, 1)
            served.session_server.close()
            with pytest.raises(ConnectionClosed):
                await third.recv()
            assert third.close_code == 1001

    play(scene, most=1)


def test_a_client_that_does_not_read_is_bounded_and_nobody_waits_for_it() -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        served.link.size = 4000
        async with connect(served.url, max_queue=1, compression=None, max_size=None) as slow:
            await slow.send(create(1, max_tokens=2000))  # 8 MB that it does not read
            await client.send(create(1))
            await finishes(client, 1)
            whole = (await answer(slow, 1))["result"]["choices"][0]["text"]
            assert len(whole) == 8_000_000

    play(scene, {"max_size": None})


def test_a_client_that_disconnects_leaves_nothing_out() -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        served.link.held = served.link.keep = True
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

    play(scene)


async def text_of(client: ClientConnection, key: Any) -> tuple[str, dict[str, Any]]:
    """What chunks brought, and the final answer."""
    text = ""
    while True:
        said = json.loads(await client.recv())
        if said.get("method") == "completions.chunk" and said["params"]["id"] == key:
            text += said["params"]["choices"][0]["text"]
        elif "method" not in said and said["id"] == key:
            return text, said


def test_a_repeat_joins_the_one_that_is_out_and_later_gets_the_same_answer() -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        served.link.pace = 0.02
        async with connect(served.url) as second:
            await client.send(create(1, idempotency_key="k", max_tokens=10))
            await second.send(create(7, idempotency_key="k", max_tokens=10))
            (one, first), (two, repeat) = await asyncio.gather(text_of(client, 1), text_of(second, 7))
            assert one == two == "t" * 10 and first["result"] == {**repeat["result"]}
            assert served.link.sent == 2 and served.core.tally.taken == 1  # one read, one written
            await second.send(create(8, idempotency_key="k", max_tokens=10))
            assert (await text_of(second, 8))[1]["result"] == first["result"] and served.link.sent == 2
            await second.send(create(9, idempotency_key="k", max_tokens=9))
            assert (await answer(second, 9))["error"]["code"] == -32602
            await second.send(create(10, idempotency_key="k", user="n", max_tokens=9))  # another member's
            await finishes(second, 10)

    play(scene)


@pytest.mark.parametrize("figures, before", [({"most_out": 1, "most_waiting": 4}, 1), ({}, 16)])
def test_two_with_one_key_that_both_waited_are_dispatched_once(figures: dict[str, Any], before: int) -> None:
    """Each was new when it was asked: one waits in its session, or both for their share of the front."""

    async def scene(served: Served, client: ClientConnection) -> None:
        served.link.held = served.link.keep = True
        async with connect(served.url) as second:
            for one in (client, second):
                for key in range(before if one is client or figures else 0):
                    await one.send(create(key, timeout=3.0))
                await one.send(create("k", idempotency_key="k", timeout=3.0, max_tokens=7))
            while (
                len(served.manager.fair_queue.waiting)
                + sum(len(s.rpc.session.waiting.heap) for s in served.session_server.open if s.rpc)
                < 2
            ):
                await asyncio.sleep(0.001)
            served.link.held = False
            for call in list(served.link.calls):
                call.go()
            finals = [await text_of(client, "k"), await text_of(second, "k")]
            assert finals[0] == finals[1] and finals[0][0] == "ttttttt"
            assert sum(c.body["max_tokens"] == 7 for c in served.link.calls) == 2  # a read and a write

    play(scene, **figures)


@pytest.mark.parametrize(
    "effect, dispatches, tallies",
    [
        (Effect.IDEMPOTENT, 4, (2, 1)),
        (Effect.NON_IDEMPOTENT, 2, (1, 0)),
        (Effect.IDEMPOTENCY_KEYED, 2, (1, 0)),
    ],
)
def test_a_client_that_comes_again(effect: Effect, dispatches: int, tallies: tuple[int, int]) -> None:
    """What may run again ended with its client, and runs again; what must not goes on, and is joined."""

    async def run() -> None:
        served = Served(effect)
        served.link.pace = 0.03
        async with asyncio.timeout(10.0):
            async with connect(served.url) as client:
                await client.send(create(1, idempotency_key="k", max_tokens=10))
                await client.recv()
                client.transport.abort()
            while served.session_server.open:
                await asyncio.sleep(0.001)
            async with connect(served.url) as again:
                await again.send(create(1, idempotency_key="k", max_tokens=10))
                text, final = await text_of(again, 1)
                assert text == final["result"]["choices"][0]["text"] == "t" * 10
        assert served.link.sent == dispatches
        assert (served.core.tally.taken, served.core.tally.left) == tallies
        while served.held:
            await asyncio.sleep(0.001)
        served.server.stop()

    asyncio.run(run())


def test_a_repeat_with_less_time_left_is_answered_in_its_own_time() -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        served.link.held = True
        await client.send(create(1, idempotency_key="k"))
        async with connect(served.url) as second:
            await second.send(create(2, idempotency_key="k", timeout=0.3))
            error = (await answer(second, 2))["error"]
            assert error["data"]["final"] == "aborted" and served.core.tally.aborted == 0
        served.link.held = False
        served.link.calls[0].go()
        await finishes(client, 1)

    play(scene)


def test_what_a_session_has_too_much_of_waits_by_due_time_and_is_refused_late() -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        served.link.held = True
        await client.send(create("out", timeout=30))
        for key, timeout in (("late", 20), ("early", 10), ("never", 0.3)):
            await client.send(create(key, timeout=timeout))
        await client.send(create("no room"))
        for key in ("no room", "never"):
            assert (await answer(client, key))["error"]["code"] == -32001
        served.link.held = False
        served.link.calls[0].go()
        order: list[str] = []
        while len(order) < 3:
            said = json.loads(await client.recv())
            if "result" in said:
                order.append(said["id"])
        assert order == ["out", "early", "late"]

    play(scene, most_out=1, most_waiting=3)


def test_a_session_that_sends_more_than_may_be_held_is_not_read_from() -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        served.link.held = True
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
        served.link.held = False
        for call in list(served.link.calls):
            call.go()
        seen = 0
        while seen < 60:
            seen += "method" not in json.loads(await client.recv())
        assert not served.manager.capacity.held_bytes

    play(scene, read_ahead=16_000, most_out=200)


@pytest.mark.parametrize("ping, wanted", [(0.3, {"silent"}), (30.0, {"slow"})])
def test_half_open_and_slow_sessions_are_given_up(ping: float, wanted: set[str]) -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
        writer.write(handshake("x", False))
        await reader.readuntil(b"\r\n\r\n")  # from here on it neither reads nor answers a ping
        slow_reader, slow = await asyncio.open_connection("127.0.0.1", served.port, limit=1000)
        slow.write(handshake("x", False))
        await slow_reader.readuntil(b"\r\n\r\n")
        served.link.size, served.link.pace = 5000, 0.001
        slow.write(frame(1, create(1, max_tokens=5000, timeout=60).encode()))
        while set(served.session_server.closed_counts) != wanted:
            await asyncio.sleep(0.01)
            await client.send(create(1))
            await answer(client, 1)
        writer.close()
        slow.close()

    play(scene, slow=0.3, ping=ping, pong=0.3)


def test_a_stopping_front_refuses_tells_and_spreads_its_sessions() -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        others = [await connect(served.url) for _ in range(4)]
        served.link.pace = 0.03
        await client.send(create(1, max_tokens=30))
        await client.recv()
        served.session_server.stop()
        await client.send(create(2))
        assert (await answer(client, 2))["error"]["data"]["retry_after"] > 0
        await finishes(client, 1)
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

    play(scene, window=0.5)


def test_two_clients_present_one_key_at_the_same_moment() -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        clients = [await connect(served.url) for _ in range(6)]
        for one in clients:
            await one.send(create(1, idempotency_key="same"))
        for one in clients:
            await finishes(one, 1)
            await one.close()
        assert served.core.tally.taken == 1 and served.link.sent == 2

    play(scene)


OPS = st.fixed_dictionaries(
    {
        "do": st.sampled_from([*ORDINARY, *VIOLATIONS, "cut"]),
        "parts": st.integers(1, 20),
        "n": st.integers(0, 9999),
        "pings": st.integers(0, 2),
        "deflate": st.booleans(),
        "junk": st.sampled_from([0, 7, 3000]),
    }
)


def test_hostile_frames_get_the_code_of_the_rfc_and_leave_nothing() -> None:
    loop = asyncio.new_event_loop()

    async def begin() -> Served:
        return Served()

    served = loop.run_until_complete(begin())

    @settings(derandomize=True, deadline=None, max_examples=120)
    @given(st.booleans(), st.lists(OPS, max_size=8))
    def hostile(deflate: bool, ops: Case) -> None:
        case = [{"do": "open", "deflate": deflate}, *[{**op, "n": op["n"] % 200} for op in ops]]
        assert loop.run_until_complete(play_frames(served, case)) == []

    hostile()
    assert loop.run_until_complete(half_closes(served, ("reset",))) == []
    served.server.stop()
    loop.close()


def test_the_fuzzer_finds_what_tornado_alone_lets_through(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(StrictProtocol, "_receive_frame", WebSocketProtocol13._receive_frame)

    async def run() -> set[str]:
        served = Served()
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

    monkeypatch.setattr("heathford.fuzz.sessions.PATIENCE", 0.3)
    found = asyncio.run(run())
    assert {"unmasked", "bad text", "rsv", "ping between compressed fragments"} <= found


def test_500_sessions_with_three_out_each_when_all_engines_break() -> None:
    """Each completion gets one final answer, by the front, however many are out or wait when all breaks."""

    async def run() -> None:
        served = Served(most=600, most_held=10**8)
        served.link.held = served.link.keep = True
        heard: list[Heard] = []
        listening, writers = [], []
        for _ in range(500):
            reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
            writer.write(
                handshake("x", False)
                + b"".join(frame(1, create(key, timeout=3.0).encode()) for key in range(3))
            )
            await reader.readuntil(b"\r\n\r\n")
            heard.append(Heard())
            listening.append(asyncio.ensure_future(listen(reader, heard[-1])))
            writers.append(writer)
        while served.core.tally.taken + served.manager.fair_queue.shed_count < 1500:
            await asyncio.sleep(0.001)
        broken = 0
        async with asyncio.timeout(10.0):
            while any(len(h.texts) < 3 for h in heard):
                for call in served.link.calls[broken:]:
                    call.events.ended(Outcome.BROKEN, 0, {}, {})
                broken = len(served.link.calls)
                await asyncio.sleep(0.005)
        for h in heard:
            assert sorted(t["id"] for t in h.texts) == [0, 1, 2]
            assert {t["error"]["data"]["final"] for t in h.texts} <= {"rate-limited", "aborted"}
        tally = served.core.tally
        assert tally.taken == tally.rate_limited + tally.aborted and not served.core.live
        for task, writer in zip(listening, writers, strict=True):
            task.cancel()
            writer.transport.abort()
        served.server.stop()

    asyncio.run(run())


def test_a_session_that_opens_and_cancels_each_at_once_holds_nothing() -> None:
    async def scene(served: Served, client: ClientConnection) -> None:
        for key in range(300):
            await client.send(create(key))
            await client.send(
                json.dumps({"jsonrpc": "2.0", "method": "completions.cancel", "params": {"id": key}})
            )
        finals: list[int] = []
        while len(finals) < 300:
            said = json.loads(await client.recv())
            if "method" not in said:
                finals.append(said["id"])
        assert sorted(finals) == list(range(300))
        while served.held != "1 sessions, 1 places":
            await asyncio.sleep(0.001)

    play(scene)
