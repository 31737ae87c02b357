"""Stand-ins for the platform's protocol: an engine with scripted responses, and the discovery agent.

An engine answers each request by the next step of its script, or successfully once the script is used up. A
step is one of these:
- a key of RESPONSES
- a key of RESPONSES_BEFORE_CLOSE, after whose bytes the connection is closed
- "hold", which waits for the event `resume` and then succeeds
- "spoil", which starts a stream, waits for `resume` and continues with invalid bytes
- bytes that are written as they are, after which the connection stays open
"""

import asyncio
from collections.abc import Mapping
from typing import Any

import orjson

from heathford.wire.requests import RequestError, Request

MS = 1_000_000  # ns
SECOND = 1_000 * MS  # ns
MAX_REQUEST_PART_BYTES = 1 << 20  # each of head and body
EVENTS = [
    b'data: {"choices":[{"index":0,"delta":{"content":"ab"},"finish_reason":null}]}\n\n',
    b'data: {"choices":[{"index":0,"delta":{"content":"cd"},"finish_reason":"stop"}]}\n\n',
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":4}}}\n\n',
    b"data: [DONE]\n\n",
]
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
REJECTED_HEADER = "X-Rejected: 1\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


DECODE_RESPONSE = STREAM + b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n"


def build_response(status: int, body: bytes = b"", extra_headers: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra_headers}\r\n".encode() + body


PREFILL_RESPONSE = build_response(202, b'{"cached_tokens":4}')
RESPONSES = {
    "read": PREFILL_RESPONSE,
    "good": DECODE_RESPONSE,
    "error": build_response(500),
    "full": build_response(503, extra_headers=REJECTED_HEADER),
    "expired": build_response(504, extra_headers=REJECTED_HEADER),
    "busy": build_response(503),
    "gone": build_response(410, extra_headers=REJECTED_HEADER),
    "begin": STREAM + chunk(EVENTS[0]),  # the stream does not continue
    "silent": b"",
}
RESPONSES_BEFORE_CLOSE = {"reset": b"", "break": STREAM + chunk(EVENTS[0])}


class StandInServer:
    """Base class of servers that read whole requests, one after the other on each connection."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.address = ""
        self.writers: dict[asyncio.StreamWriter, None] = {}
        self.accepted_connections = 0  # connections accepted so far

    async def open(self, port: int = 0) -> str:
        """Start to listen and return the address; port 0 takes an ephemeral port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self.address

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        self.accepted_connections += 1
        request = Request(MAX_REQUEST_PART_BYTES, MAX_REQUEST_PART_BYTES)
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
                request = Request(MAX_REQUEST_PART_BYTES, MAX_REQUEST_PART_BYTES, request.buffer)
        except (RequestError, OSError):
            return
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Write the response to a whole request."""
        raise NotImplementedError

    def close(self) -> None:
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class ScriptedEngine(StandInServer):
    """An engine that answers by the steps of its script and records the requests it receives."""

    def __init__(self, uid: str, model: str, is_prefill: bool, *script: str | bytes) -> None:
        super().__init__()
        self.uid, self.model, self.is_prefill = uid, model, is_prefill
        self.script = list(script)
        self.received_requests: list[tuple[str, str]] = []  # method and request id, in order
        self.bodies: list[bytes] = []
        self.request_headers: list[Mapping[str, str]] = []
        self.request_received = asyncio.Condition()
        self.resume = asyncio.Event()  # the steps "hold" and "spoil" wait for it
        self.state = "SERVING"
        self.boot_ms = 0  # ms since the epoch; 0: warm

    @property
    def row(self) -> dict[str, Any]:
        """The engine's entry of the endpoint list."""
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
        """Wait until at least `count` requests of the method have been received."""
        async with self.request_received:
            await self.request_received.wait_for(
                lambda: sum(m == method for m, _ in self.received_requests) >= count
            )

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        name = request.headers.get("x-call-id", request.target.rpartition("/")[2])
        self.received_requests.append((request.method, name))
        async with self.request_received:
            self.request_received.notify_all()
        if request.method == "DELETE":
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return
        self.bodies.append(bytes(request.body))
        self.request_headers.append(request.headers)
        default_step = "read" if self.is_prefill else "good"
        step = self.script.pop(0) if self.script else default_step
        if step == "hold":
            await self.resume.wait()
            step = default_step
        if step == "spoil":
            writer.write(RESPONSES["begin"])
            await self.resume.wait()
            step = b"zz\r\n"
        if step in RESPONSES_BEFORE_CLOSE:
            assert isinstance(step, str)
            writer.write(RESPONSES_BEFORE_CLOSE[step])
            await writer.drain()
            writer.close()
        else:
            writer.write(RESPONSES[step] if isinstance(step, str) else step)


class DiscoveryAgent(StandInServer):
    """The discovery agent on a front node's machine, which serves the endpoint list and its changes."""

    def __init__(self, *engines: ScriptedEngine) -> None:
        super().__init__()
        self.version = 1
        self.engines = list(engines)
        self.watchers: dict[asyncio.StreamWriter, None] = {}
        self.watcher_added = asyncio.Condition()
        self.silent = False
        self.unanswered = 0  # so many of the next requests get no answer

    def list_message(self, complete: bool, entries: list[dict[str, Any]]) -> bytes:
        """Return a snapshot of the endpoint list (complete) or a change of it as JSON."""
        return orjson.dumps({"rev": self.version, "all": complete, "targets": entries})

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if self.silent or self.unanswered:
            self.unanswered -= bool(self.unanswered)
            await asyncio.Event().wait()
        message = self.list_message(True, [e.row for e in self.engines])
        if "follow=1" not in request.target:
            writer.write(build_response(200, message))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(message + b"\n"))
        self.watchers[writer] = None
        async with self.watcher_added:
            self.watcher_added.notify_all()

    async def wait_for_watchers(self, count: int = 1) -> None:
        """Wait until so many watches have begun; ended watches count too."""
        async with self.watcher_added:
            await self.watcher_added.wait_for(lambda: len(self.watchers) >= count)

    def send_change(self, *entries: dict[str, Any], complete: bool = False) -> None:
        """Send a new version of the list to all watchers: the changed entries, or the complete list."""
        self.version += 1
        for writer in self.watchers:
            writer.write(chunk(self.list_message(complete, list(entries)) + b"\n"))


def settings(**limits: Any) -> dict[str, Any]:
    """Return a front node's settings for two kinds of engine, prefill and decode, and two workloads.

    Requests of the workload "chat" are idempotent, those of "booking" are not. limits: entries added to or
    changed in "policyLimits".
    """

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
