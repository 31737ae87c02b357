"""Completions over HTTP as seen by an independent client, on the same core as sessions."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from websockets.asyncio.client import connect

from heathford.fuzz.sessions import InProcessFront
from heathford.interface import Effect

Scenario = Callable[[InProcessFront], Awaitable[None]]


def run_scenario(scenario: Scenario, effect: Effect = Effect.IDEMPOTENT, **figures: Any) -> None:
    async def run() -> None:
        served = InProcessFront(effect, **figures)
        async with asyncio.timeout(10.0):
            await scenario(served)
            while served.held_resources:
                await asyncio.sleep(0.001)
        served.server.stop()

    asyncio.run(run())


Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def send(served: InProcessFront, body: Any, **headers: str) -> Connection:
    reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in headers.items())
    writer.write(
        f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{lines}"
        f"Content-Length: {len(data)}\r\n\r\n".encode()
        + data
    )
    return reader, writer


async def receive(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    fields = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
    if fields.get("transfer-encoding") == "chunked":
        rest, body = body, b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            body, rest = body + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
    return int(first.split()[1]), fields, body


async def send_and_receive(
    served: InProcessFront, body: Any, **headers: str
) -> tuple[int, dict[str, str], bytes]:
    reader, writer = await send(served, body, **headers)
    found = await receive(reader)
    writer.close()
    return found


REQUEST = {"model": "w", "prompt": "x" * 400, "max_tokens": 5}


def test_complete_and_streamed_answers() -> None:
    async def scenario(served: InProcessFront) -> None:
        status, fields, body = await send_and_receive(served, REQUEST)
        message = json.loads(body)
        assert status == 200 and message["final"] == "finished" and message["choices"][0]["text"] == "ttttt"
        assert fields["ratelimit"].startswith('"front";r=')
        status, fields, body = await send_and_receive(
            served, {**REQUEST, "stream": True, "stream_options": {"include_usage": True}}
        )
        events = [json.loads(e[6:]) for e in body.decode().split("\n\n") if e and e != "data: [DONE]"]
        assert fields["content-type"] == "text/event-stream" and body.endswith(b"data: [DONE]\n\n")
        assert "".join(e["choices"][0]["text"] for e in events if e["choices"]) == "ttttt"
        assert events[-1]["usage"] == {"completion_tokens": 5} and events[-2]["final"] == "finished"

    run_scenario(scenario)


@pytest.mark.parametrize(
    "body, status, what",
    [
        (b"{", 400, "no JSON"),
        ([], 400, "an object"),
        ({**REQUEST, "stream": 1}, 400, "stream"),
        ({**REQUEST, "model": "y"}, 400, "allowed are w"),
        ({**REQUEST, "max_tokens": 0}, 400, "max_tokens"),
        ({**REQUEST, "timeout": -2}, 400, "timeout"),
    ],
)
def test_invalid_requests_get_problem_details(body: Any, status: int, what: str) -> None:
    async def scenario(served: InProcessFront) -> None:
        found, fields, message = await send_and_receive(served, body)
        assert found == status and fields["content-type"] == "application/problem+json"
        assert what in json.loads(message)["detail"]

    run_scenario(scenario)


def test_without_capacity_the_status_is_429_with_retry_after() -> None:
    async def scenario(served: InProcessFront) -> None:
        status, fields, body = await send_and_receive(served, REQUEST)
        message = json.loads(body)
        assert status == 429 and fields["retry-after"] == "1"
        assert message["final"] == "rate-limited" and 0 < message["retry_after"] <= 1

    run_scenario(scenario, most_held=10)


def test_a_client_that_disconnects_frees_all() -> None:
    async def scenario(served: InProcessFront) -> None:
        served.link.pace = 0.02
        reader, writer = await send(served, {**REQUEST, "max_tokens": 200, "stream": True})
        await reader.readuntil(b"data: ")
        writer.transport.abort()
        while served.held_resources:
            await asyncio.sleep(0.001)
        assert served.core.tally.left == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    "effect, status, taken", [(Effect.IDEMPOTENT, 200, 2), (Effect.NON_IDEMPOTENT, 200, 1)]
)
def test_a_repeat_on_the_other_protocol_joins_or_runs_again(effect: Effect, status: int, taken: int) -> None:
    """A request whose WebSocket session was lost is repeated over HTTP with the same key."""

    async def scenario(served: InProcessFront) -> None:
        served.link.pace = 0.02
        async with connect(served.url) as client:
            await client.send(
                json.dumps(
                    {
                        "jsonrpc": "2.0",
                        "id": 1,
                        "method": "completions.create",
                        "params": {**REQUEST, "max_tokens": 20, "idempotency_key": "k"},
                    }
                )
            )
            await client.recv()
            client.transport.abort()
        while served.session_server.open:
            await asyncio.sleep(0.001)
        found, _, body = await send_and_receive(served, {**REQUEST, "max_tokens": 20}, Idempotency_Key="k")
        assert found == status and json.loads(body)["choices"][0]["text"] == "t" * 20
        assert served.core.tally.taken == taken
        repeat = await send_and_receive(served, {**REQUEST, "max_tokens": 20}, Idempotency_Key="k")
        assert repeat[2] == body and served.core.tally.taken == taken
        assert (await send_and_receive(served, REQUEST, Idempotency_Key="k"))[0] == 422

    run_scenario(scenario, effect)
