"""The platform around front nodes of a case: deploy file, configuration, engines, discovery agent, clients.

Written from the protocol pages alone, with the standard library; nothing of the project is imported.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
MS = 1_000_000  # ns
SECOND = 1_000 * MS  # ns
READY_TIMEOUT = 10.0  # s
TIME_LIMIT = 100.0  # s for a whole case
LOOPBACK = "127.0.0.1"
MB = 1 << 20  # bytes
# How a connection or a stand-in's task may end.
ENDED = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError)


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The record of a run: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def add(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started:8.3f}  {text}\n")
        self.file.flush()


def small_deployment(zone: int = 0, number: int = 0, fronts: int = 1) -> dict[str, Any]:
    """Return the settings of a small deployment: three classes, one kind of engine for each role."""

    def category(name: str, effect: str, target: float, deadline: float) -> dict[str, Any]:
        return {
            "name": name,
            "objectiveNs": int(target * SECOND),
            "deadlineNs": int(deadline * SECOND),
            "lateShare": 0.2,
            "idempotency": effect,
            "group": "all",
            "stream": True,
            "worth": 1.0,
        }

    return {
        "azs": ["a"],
        "kinds": ["reader", "writer", "mixed"],
        "zone": zone,
        "myNumber": number,
        "nInstances": fronts,
        "registryMode": "automatic",
        "kindOfService": "twostage",
        "categories": [
            category("status", "free", 1.2, 6.0),
            category("schedule", "free", 3.0, 15.0),
            category("booking", "single_shot", 1.5, 7.5),
        ],
        "familyInfo": {
            "ahead": False,
            "aimUsPer1000PromptTokens": [40_000.0, 40_000.0, 40_000.0],
            "memoryTokens": [240_000, 160_000, 240_000],
            "roleByKind": ["read", "write", "both"],
            "tokenAimNs": [60 * MS, 80 * MS, 70 * MS],
            "pinLimitNs": 300 * MS,
            "readInPlace": False,
            "resume": False,
        },
        "feedback": {"columns": [], "via": "off"},
        "policyLimits": {
            "cancel": True,
            "connIdleNs": 15 * SECOND,
            "connectTimeoutNs": 250 * MS,
            "maxOpen": 20_000,
            "maxRetryAfterNs": SECOND,
            "maxStreams": 32,
            "probes": False,
            "peers": False,
            "retryAfter": True,
            "secondCopies": False,
            "tryLimit": 4,
        },
        "safety": {
            "answerSlackNs": 16 * MS,
            "askWithinNs": 10 * SECOND,
            "coldFrom": 0.25,
            "drainGraceNs": SECOND,
            "fallNs": SECOND,
            "tipMultiple": 2.5,
            "warmAfterNs": 13 * SECOND,
        },
        "tenants": [],
        "weights": "off",
    }


class Message:
    """One HTTP message: its first line, its headers by lower-case name, and its body."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start, self.headers, self.body = start, headers, body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_request(reader: asyncio.StreamReader) -> Message:
    start, headers = await read_head(reader)
    return Message(start, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def response(status: int, body: bytes = b"", headers: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def event(content: str, reason: str | None = None) -> bytes:
    choice = {"index": 0, "delta": {"content": content}, "finish_reason": reason}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def usage_event(prompt: int, answer: int) -> bytes:
    usage = {
        "prompt_tokens": prompt,
        "completion_tokens": answer,
        "prompt_tokens_details": {"cached_tokens": 0},
    }
    return b"data: " + json.dumps({"choices": [], "usage": usage}).encode() + b"\n\n"


class Engine:
    """A sound engine of one role; held: the states of all engines of the deployment, by request.

    read_time: s for a read; first_time: s to the first event; events, interval: of a stream, interval in s.
    """

    def __init__(self, uid: str, kind: str, held: dict[str, float], record: Record) -> None:
        self.uid, self.kind, self.held, self.record = uid, kind, held, record
        self.read_time, self.first_time, self.events, self.interval = 0.05, 0.05, 5, 0.05
        self.state, self.boot_ms = "SERVING", 0
        self.server: asyncio.Server | None = None
        self.port = 0
        self.on_request: Callable[[Engine, Message, asyncio.StreamWriter], Awaitable[bool]] | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def entry(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": f"{LOOPBACK}:{self.port}",
            "az": "a",
            "model": self.kind,
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(*ENDED):
            while True:
                request = await read_request(reader)
                await self.answer(request, reader, writer)
                await writer.drain()
        writer.close()

    async def answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        method, target, _ = request.start.split(" ")
        if method == "DELETE":
            self.held.pop(target.rpartition("/")[2], None)
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return
        if self.on_request and await self.on_request(self, request, writer):
            return
        await self.run(request, reader, writer)

    async def run(self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read or answer the request, as a sound engine does; stop where the front node has closed."""
        name = request.headers.get("x-call-id", "")
        if not name:
            writer.write(response(404))
            return
        self.record.add(f"engine {self.uid} runs {name}, told {request.headers.get('x-budget-ms')} ms")
        if self.kind == "reader":
            await asyncio.sleep(self.read_time)
            if not reader.at_eof():
                self.held[name] = time.monotonic()
                writer.write(response(202, b'{"cached_tokens":0}'))
            return
        if self.kind == "writer" and self.held.pop(name, None) is None:
            writer.write(response(410, headers="X-Rejected: 1\r\n"))
            return
        await asyncio.sleep(self.first_time)
        if reader.at_eof():
            return
        writer.write(STREAM_HEAD)
        for number in range(self.events):
            if reader.at_eof():
                return
            writer.write(chunk(event("abcd", "stop" if number == self.events - 1 else None)))
            await writer.drain()
            await asyncio.sleep(self.interval)
        writer.write(chunk(usage_event(100, self.events)) + chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")


class Discovery:
    """The discovery agent: whole lists and watches, an empty line each 2 s."""

    def __init__(self, engines: list[Engine]) -> None:
        self.engines, self.version, self.port = engines, 1, 0
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def message(self) -> bytes:
        return json.dumps(
            {"rev": self.version, "all": True, "targets": [e.entry for e in self.engines]}
        ).encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(*ENDED):
            while True:
                request = await read_request(reader)
                if "follow=1" not in request.start:
                    writer.write(response(200, self.message()))
                    await writer.drain()
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(chunk(self.message() + b"\n"))
                while True:
                    await writer.drain()
                    await asyncio.sleep(2.0)
                    writer.write(chunk(b"\n"))
        writer.close()


class FrontNode:
    """One front node, started by `run` of the deploy file."""

    def __init__(
        self, name: str, folder: Path, settings: dict[str, Any], discovery: Discovery, limits: dict[str, Any]
    ) -> None:
        self.name, self.folder = name, folder
        self.port = free_port()
        self.path = folder / f"{name}.json"
        address = f"{LOOPBACK}:{self.port}"
        self.environment = {
            **os.environ,
            "NODE_NAME": name,
            "NODE_LISTEN": address,
            "NODE_DISCOVERY": f"{LOOPBACK}:{discovery.port}",
            "NODE_CONFIG": str(self.path),
            "TMPDIR": str(folder),
        }
        configuration = {
            "name": name,
            "listen": address,
            "discovery": f"{LOOPBACK}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": limits,
            "known": json.loads(discovery.message()),
            "settings": settings,
        }
        self.path.write_text(json.dumps(configuration))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=self.environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Wait for status 200 of /health/ready. Raises CaseError."""
        give_up_at = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < give_up_at:
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                start, _ = await read_head(reader)
                writer.close()
                if " 200 " in start:
                    return
            await asyncio.sleep(0.05)
        raise CaseError(f"front node {self.name} is not ready")

    def memory(self) -> int:
        """Return the bytes of memory that the process holds, 0 once it has ended."""
        assert self.process
        with suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
        return 0

    @property
    def ended(self) -> bool:
        return self.process is not None and self.process.poll() is not None

    def stop(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return int(sock.getsockname()[1])


def completion(name: str, category: str, budget: float, prompt: int = 200) -> bytes:
    """Return a client's request. budget: s that the client waits; prompt: tokens."""
    body = json.dumps(
        {
            "model": "chat",
            "stream": True,
            "max_tokens": 50,
            "messages": [{"role": "user", "content": "abcd" * prompt}],
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\n"
        f"X-Call-Id: {name}\r\nX-Call-Class: {category}\r\nX-Route-Hash: {name}\r\n"
        f"X-Budget-Ms: {int(budget * 1000)}\r\nX-Call-Info: prompt_len={prompt},max_out=50\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, bool]:
    """Return the status line of one answer, and whether it is whole. Raises ENDED without a status line."""
    start, headers = await read_head(reader)
    with suppress(OSError, asyncio.IncompleteReadError):
        if headers.get("transfer-encoding") != "chunked":
            await reader.readexactly(int(headers.get("content-length", "0")))
            return start, True
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(size + 2)
        await reader.readexactly(2)
        return start, True
    return start, False


def start_helper(output: Path, *arguments: str) -> "subprocess.Popen[bytes]":
    """Start a stand-in as a process of its own, which writes to that file."""
    with output.open("wb") as file:
        return subprocess.Popen(
            [sys.executable, *arguments], stdin=subprocess.DEVNULL, stdout=file, stderr=file
        )


class Deployment:
    """A small deployment: front nodes, engines of three kinds and the discovery agent."""

    def __init__(self, folder: Path, record: Record, limits: dict[str, Any], fronts: int = 1) -> None:
        self.folder, self.record, self.limits, self.front_count = folder, record, limits, fronts
        self.held: dict[str, float] = {}
        self.engines = [
            Engine(f"{kind}-{number}", kind, self.held, record)
            for kind in ("reader", "writer", "mixed")
            for number in range(3)
        ]
        self.discovery = Discovery(self.engines)
        self.fronts: list[FrontNode] = []

    async def start(self) -> None:
        """Start all of it, and wait until the front nodes are ready. Raises CaseError."""
        for engine in self.engines:
            await engine.open()
        await self.discovery.open()
        for number in range(self.front_count):
            settings = small_deployment(number=number, fronts=self.front_count)
            front = FrontNode(f"n{number}", self.folder, settings, self.discovery, self.limits)
            self.fronts.append(front)
            front.start()
        for front in self.fronts:
            await front.wait_until_ready()

    def stop(self) -> None:
        for front in self.fronts:
            front.stop()


def run_case(record_path: Path, play: Callable[[Path, Record, bool], Awaitable[bool]]) -> int:
    """Play a case, with the disruption unless TROUBLE is 0, and return its exit status.

    record_path: the file that tells what was sent, answered and run. play: gets a temporary folder, the
    record and whether to disrupt; returns whether the rule held. SIGTERM ends the case, and what it started.
    """
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        with tempfile.TemporaryDirectory() as temporary:
            held = asyncio.run(asyncio.wait_for(play(Path(temporary), record, trouble), TIME_LIMIT))
    except Exception as error:
        record.add(f"could not run: {error!r}")
        return 2
    record.add("the rule held" if held else "the rule was broken")
    return 0 if held else 1
