"""Stand-ins of the platform's protocol: an engine whose answers are scripted, and discovery's agent.

An engine answers each request by the next step of its script, or well once that is used up. A step is a word
of WORDS or BREAKS; "hold", which waits for `held` and answers well; "spoil", which begins, waits and goes on
with noise; or bytes that are written as they are, after which the connection stays open.
"""

import asyncio
from collections.abc import Mapping
from typing import Any

import orjson

from heathford.wire.requests import RequestError, Request

MS = 1_000_000  # ns
SECOND = 1_000 * MS
LONGEST = 1 << 20  # bytes of a head or a body
EVENTS = [
    b'data: {"choices":[{"index":0,"delta":{"content":"ab"},"finish_reason":null}]}\n\n',
    b'data: {"choices":[{"index":0,"delta":{"content":"cd"},"finish_reason":"stop"}]}\n\n',
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":4}}}\n\n',
    b"data: [DONE]\n\n",
]
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
REJECTED = "X-Rejected: 1\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


DECODE_RESPONSE = STREAM + b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n"


def build_response(status: int, body: bytes = b"", more: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


PREFILL_RESPONSE = build_response(202, b'{"cached_tokens":4}')
RESPONSES = {
    "read": PREFILL_RESPONSE,
    "good": DECODE_RESPONSE,
    "error": build_response(500),
    "full": build_response(503, more=REJECTED),
    "expired": build_response(504, more=REJECTED),
    "busy": build_response(503),
    "gone": build_response(410, more=REJECTED),
    "begin": STREAM + chunk(EVENTS[0]),  # and no more
    "silent": b"",
}
BREAKS = {"reset": b"", "break": STREAM + chunk(EVENTS[0])}  # what comes before the connection ends


class StandInServer:
    """A server of whole requests, one after the other on a connection."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.address = ""
        self.writers: dict[asyncio.StreamWriter, None] = {}
        self.connected = 0

    async def open(self, port: int = 0) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self.address

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        self.connected += 1
        request = Request(LONGEST, LONGEST)
        try:
            while True:
                request.feed(b"")
                while not request.done:
                    data = await reader.read(65536)
                    if not data:
                        return
                    request.feed(data)
                await self.answer(request, writer)
                await writer.drain()
                request = Request(LONGEST, LONGEST, request.rest)
        except (RequestError, OSError):
            return
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close(self) -> None:
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class ScriptedEngine(StandInServer):
    def __init__(self, uid: str, model: str, reads: bool, *script: str | bytes) -> None:
        super().__init__()
        self.uid, self.model, self.is_prefill = uid, model, reads
        self.script = list(script)
        self.received_requests: list[tuple[str, str]] = []  # method and id, as they came
        self.bodies: list[bytes] = []
        self.request_headers: list[Mapping[str, str]] = []
        self.came = asyncio.Condition()
        self.resume = asyncio.Event()  # what "hold" waits for before it answers well
        self.state = "SERVING"
        self.boot_ms = 0

    @property
    def row(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "a",
            "model": self.model,
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    async def wait_for_requests(self, count: int, method: str = "POST") -> None:
        """Until that many requests of the method have come."""
        async with self.came:
            await self.came.wait_for(lambda: sum(m == method for m, _ in self.received_requests) >= count)

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        name = request.headers.get("x-call-id", request.target.rpartition("/")[2])
        self.received_requests.append((request.method, name))
        async with self.came:
            self.came.notify_all()
        if request.method == "DELETE":
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return
        self.bodies.append(bytes(request.body))
        self.request_headers.append(request.headers)
        well = "read" if self.is_prefill else "good"
        step = self.script.pop(0) if self.script else well
        if step == "hold":
            await self.resume.wait()
            step = well
        if step == "spoil":
            writer.write(RESPONSES["begin"])
            await self.resume.wait()
            step = b"zz\r\n"
        if step in BREAKS:
            assert isinstance(step, str)
            writer.write(BREAKS[step])
            await writer.drain()
            writer.close()
        else:
            writer.write(RESPONSES[step] if isinstance(step, str) else step)


class DiscoveryAgent(StandInServer):
    """Discovery as it is seen from a front's machine."""

    def __init__(self, *engines: ScriptedEngine) -> None:
        super().__init__()
        self.version = 1
        self.engines = list(engines)
        self.watchers: dict[asyncio.StreamWriter, None] = {}
        self.watched = asyncio.Condition()
        self.silent = False
        self.unanswered = 0  # so many calls next get no answer

    def list_message(self, complete: bool, rows: list[dict[str, Any]]) -> bytes:
        return orjson.dumps({"rev": self.version, "all": complete, "targets": rows})

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if self.silent or self.unanswered:
            self.unanswered -= bool(self.unanswered)
            await asyncio.Event().wait()
        rows = self.list_message(True, [e.row for e in self.engines])
        if "follow=1" not in request.target:
            writer.write(build_response(200, rows))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(rows + b"\n"))
        self.watchers[writer] = None
        async with self.watched:
            self.watched.notify_all()

    async def wait_for_watchers(self, count: int = 1) -> None:
        async with self.watched:
            await self.watched.wait_for(lambda: len(self.watchers) >= count)

    def send_change(self, *rows: dict[str, Any], complete: bool = False) -> None:
        self.version += 1
        for writer in self.watchers:
            writer.write(chunk(self.list_message(complete, list(rows)) + b"\n"))


def settings(**limits: Any) -> dict[str, Any]:
    """As a front node is told them: two kinds of engine, one workload of each effect."""

    def category(name: str, effect: str) -> dict[str, Any]:
        return {
            "name": name,
            "objectiveNs": SECOND,
            "deadlineNs": 4 * SECOND,
            "idempotency": effect,
            "stream": True,
        }

    return {
        "azs": ["a", "b"],
        "kinds": ["m0", "m1"],
        "zone": 0,
        "myNumber": 0,
        "nInstances": 1,
        "registryMode": "automatic",
        "categories": [category("chat", "free"), category("booking", "single_shot")],
        "familyInfo": {
            "memoryTokens": [200_000, 150_000],
            "roleByKind": ["read", "write"],
            "tokenAimNs": [50 * MS, 50 * MS],
            "pinLimitNs": 300 * MS,
            "unknown": 1,
        },
        "policyLimits": {
            "tryLimit": 4,
            "cancel": True,
            "retryAfter": True,
            "maxRetryAfterNs": SECOND,
            "connIdleNs": 15 * SECOND,
            "connectTimeoutNs": 250 * MS,
            **limits,
        },
        "safety": {"warmAfterNs": SECOND, "coldFrom": 0.3, "tipMultiple": 2.5, "fallNs": SECOND},
    }
