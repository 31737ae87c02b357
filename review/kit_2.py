"""Stand-ins of the second review: engines, discovery, clients, front nodes and the record of a case.

Everything listens on 127.0.0.1 with free ports. A front node is started by the `run` command of the deploy
file, as a process of its own, with a configuration as the platform gives it. What the pages leave open is
done as a sound server or client would do it.
"""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000  # ns
SECOND = 1_000 * MS  # ns
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ACTION_TIME_LIMIT = 110.0  # s for a whole case


class CaseError(Exception):
    """The case can't run."""


class Record:
    """What was sent, answered and run; times in s since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.file = path.open("w")

    @property
    def now(self) -> float:
        return time.monotonic() - self.started

    def add(self, *words: Any) -> None:
        print(f"{self.now:9.4f}", *words, file=self.file, flush=True)


class Message:
    """One HTTP/1.1 message."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the fields of a head; None if the connection ends first."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return the next request of a connection; None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(*head, body)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def answer(status: int, body: bytes = b"", fields: str = "") -> bytes:
    """Return an answer with a length; a 204 has none."""
    length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status} X\r\n{length}{fields}\r\n".encode() + body


READ = answer(202, b'{"cached_tokens":0}')
GONE = answer(410, b"", "X-Rejected: 1\r\n")
FULL = answer(503, b"", "X-Rejected: 1\r\n")
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_EVENTS = (
    chunk(
        b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":4,'
        b'"prompt_tokens_details":{"cached_tokens":0}}}\n\n'
    )
    + chunk(b"data: [DONE]\n\n")
    + b"0\r\n\r\n"
)


def event(text: str, end: bool = False) -> bytes:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": "stop" if end else None}
    return chunk(b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n")


class Server:
    """A server on a free port of 127.0.0.1."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.handle(reader, writer)
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close(self) -> None:
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Attempt:
    """One attempt as its engine sees it; over: answered, or its connection is closed."""

    def __init__(self, engine: "Engine", message: Message, now: float) -> None:
        self.engine, self.message, self.at = engine, message, now
        self.name = message.headers.get("x-call-id", "")
        self.ended_at: float | None = None


class World:
    """What all engines of a case know together: attempts, and the states that are held."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.attempts: list[Attempt] = []
        self.held: dict[str, float] = {}  # since when, by request
        # (request, since, until) of each state that was let go without a send
        self.released: list[tuple[str, float, float]] = []

    def hold(self, name: str, engine: "Engine") -> None:
        self.held[name] = self.record.now
        self.record.add("state held", name, "at", engine.uid)

    def release(self, name: str) -> None:
        since = self.held.pop(name, None)
        if since is not None:
            self.released.append((name, since, self.record.now))
            self.record.add("state released", name, f"after {self.record.now - since:.3f} s")

    def attempts_of(self, name: str) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.name == name]


class Engine(Server):
    """A reader ("read"), a writer ("write") or both ("both").

    read_rate: prompt tokens read in a second. goes_on: whether a read goes on after its connection is closed.
    """

    def __init__(self, world: World, uid: str, model: str, role: str, read_rate: float = 20_000.0) -> None:
        super().__init__()
        self.world, self.uid, self.model, self.role, self.read_rate = world, uid, model, role, read_rate
        self.zone, self.state, self.boot_ms, self.size = "kbh", "SERVING", 0, 1.0
        self.goes_on = False
        self.first_token = 0.03  # s from a request to the first event
        self.events, self.event_interval = 4, 0.02
        self.special: Callable[[Attempt, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.quiet = False  # record no line for each attempt
        self.listed_address = ""  # where the list names another address than the engine's own

    @property
    def row(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": self.listed_address or self.address,
            "az": self.zone,
            "model": self.model,
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": self.size,
            "boot_ms": self.boot_ms,
        }

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        record = self.world.record
        while message := await read_request(reader):
            method, target, _ = message.first.split(" ", 2)
            if method == "DELETE":
                name = target.rpartition("/")[2]
                record.add("DELETE", name, "at", self.uid)
                self.world.release(name)
                writer.write(answer(204))
                continue
            attempt = Attempt(self, message, record.now)
            self.world.attempts.append(attempt)
            if not self.quiet:
                record.add("attempt", attempt.name, "at", self.uid, "budget", message.headers["x-budget-ms"])
            run = asyncio.ensure_future(self.run(attempt, writer))
            # A front node sends nothing on a connection until it has its answer: what comes is its end.
            closed = asyncio.ensure_future(reader.read(1))
            await asyncio.wait((run, closed), return_when=asyncio.FIRST_COMPLETED)
            if run.done():
                closed.cancel()
                attempt.ended_at = record.now
                run.result()
                if closed.done() and not closed.cancelled():
                    return
                await asyncio.wait((closed,))
                continue
            attempt.ended_at = record.now
            record.add("connection closed under attempt", attempt.name, "at", self.uid)
            if closed.exception() is None and closed.result():
                raise CaseError("a front node sent more before it had its answer")
            if not self.goes_on:
                run.cancel()
            return

    async def run(self, attempt: Attempt, writer: asyncio.StreamWriter) -> None:
        if self.special and await self.special(attempt, writer):
            return
        tokens = prompt_tokens(attempt.message)
        if self.role == "read":
            await asyncio.sleep(tokens / self.read_rate)
            self.world.hold(attempt.name, self)
            self.write(writer, READ)
            return
        if attempt.name in self.world.held:
            self.world.held.pop(attempt.name)
            self.world.record.add("state taken", attempt.name, "by", self.uid)
            await asyncio.sleep(self.first_token)
        elif self.role == "both":
            await asyncio.sleep(self.first_token + tokens / self.read_rate)
        else:
            self.write(writer, GONE)
            return
        await self.stream(attempt, writer)

    async def stream(self, attempt: Attempt, writer: asyncio.StreamWriter) -> None:
        self.write(writer, STREAM)
        for number in range(self.events):
            self.write(writer, event(f"{attempt.name}:{number}", number == self.events - 1))
            await asyncio.sleep(self.event_interval)
        self.write(writer, LAST_EVENTS)

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)


class Relay(Server):
    """The network before a server: what is sent, and the end of a connection, arrives `delay` s later."""

    def __init__(self, server: Server, delay: float) -> None:
        super().__init__()
        self.target, self.delay = server, delay

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target.port)
        self.writers.add(far_writer)
        ways = (self.carry(reader, far_writer), self.carry(far_reader, writer))
        await asyncio.gather(*ways, return_exceptions=True)
        self.writers.discard(far_writer)
        far_writer.close()

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                data = await reader.read(65_536)
            except ConnectionError:
                data = b""
            self.later(writer.write, data) if data else self.later(writer.close)
            if not data:
                return

    def later(self, action: Callable[..., None], *arguments: bytes) -> None:
        """Act after the delay: the loop's timers are exact to 1 ms, so the last part is waited out."""
        due = time.monotonic() + self.delay

        def act() -> None:
            while time.monotonic() < due:
                pass
            action(*arguments)

        asyncio.get_running_loop().call_later(max(0.0, self.delay - 0.001), act)


def prompt_tokens(message: Message) -> int:
    """Return the tokens of a request's prompt: one is four characters."""
    return len(message.body) // 4


class Discovery(Server):
    """The agent of one front node's machine; all agents of a case tell the same list."""

    def __init__(self, record: Record, engines: list[Engine]) -> None:
        super().__init__()
        self.record, self.engines, self.version = record, engines, 1
        self.watchers: set[asyncio.StreamWriter] = set()

    def whole(self) -> bytes:
        return json.dumps(
            {"rev": self.version, "all": True, "targets": [e.row for e in self.engines]}
        ).encode()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while message := await read_request(reader):
            if "follow=1" not in message.first:
                writer.write(answer(200, self.whole()))
                continue
            since = int(message.first.split("since=")[1].split(" ")[0])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if since != self.version:
                writer.write(chunk(self.whole() + b"\n"))
            self.watchers.add(writer)
            try:
                while not reader.at_eof():
                    await asyncio.sleep(2.0)
                    writer.write(chunk(b"\n"))
            finally:
                self.watchers.discard(writer)

    def tell(self, *engines: Engine) -> None:
        """Tell a change of these engines to all watches."""
        self.version += 1
        rows = [engine.row for engine in engines]
        for engine in engines:
            self.record.add("told", engine.uid, engine.state, engine.boot_ms)
        change = json.dumps({"rev": self.version, "all": False, "targets": rows}).encode()
        for writer in self.watchers:
            writer.write(chunk(change + b"\n"))


class Front:
    """One front node, as a process of its own."""

    def __init__(self, case: "Case", name: str, discovery: Discovery, settings: dict[str, Any]) -> None:
        self.case, self.name, self.discovery, self.settings = case, name, discovery, settings
        self.port = case.free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.limits: dict[str, Any] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}

    @property
    def configuration(self) -> Path:
        return self.case.folder / f"{self.name}.json"

    def write_configuration(self, discovery: Discovery) -> None:
        text = json.dumps(
            {
                "name": self.name,
                "listen": f"127.0.0.1:{self.port}",
                "discovery": discovery.address,
                "seed": "8c1f30d27a5be964",
                "limits": self.limits,
                "known": json.loads(discovery.whole()),
                "settings": self.settings,
            }
        )
        new = self.configuration.with_suffix(".new")
        new.write_text(text)
        new.replace(self.configuration)

    def start(self) -> None:
        self.write_configuration(self.discovery)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temporary = self.case.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        with (self.case.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "TMPDIR": str(temporary),
                    "NODE_NAME": self.name,
                    "NODE_LISTEN": f"127.0.0.1:{self.port}",
                    "NODE_DISCOVERY": self.discovery.address,
                    "NODE_CONFIG": str(self.configuration),
                },
            )
        self.case.processes.append(self.process)
        self.case.record.add("front node started", self.name)

    async def wait_ready(self, limit: float = 30.0) -> None:
        end = time.monotonic() + limit
        while time.monotonic() < end:
            assert self.process
            if self.process.poll() is not None:
                raise CaseError(f"front node {self.name} has ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head and " 200 " in head[0]:
                    self.case.record.add("front node ready", self.name)
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CaseError(f"front node {self.name} was not ready in time")

    def signal(self, number: int) -> None:
        assert self.process
        self.case.record.add("signal", signal.Signals(number).name, "to", self.name)
        self.process.send_signal(number)


class Answer:
    """What a client got: status 0 where the connection ended without a whole head."""

    def __init__(self) -> None:
        self.status, self.body, self.whole, self.headers = 0, b"", False, dict[str, str]()
        self.first_at: float | None = None
        self.events = 0


class Client:
    """One client connection."""

    def __init__(self, case: Any, front: Any) -> None:
        self.case, self.front = case, front
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.front.port, limit=1 << 20)

    def request(self, name: str, tokens: int, budget_ms: int, **more: Any) -> bytes:
        """Return one request; its body is four characters for each token."""
        frame = json.dumps(
            {
                "model": "chat",
                "stream": True,
                "max_tokens": more.get("max_out", 256),
                "messages": [{"role": "user", "content": ""}],
            }
        )
        fill = "x" * max(0, 4 * tokens - len(frame))
        body = frame.replace('"content": ""', f'"content": "{fill}"').encode()
        prefix = f"prefix={more['prefix']},prefix_len={more['prefix_len']}," if "prefix" in more else ""
        fields = [
            "POST /v1/chat/completions HTTP/1.1",
            "Host: origin.svc",
            f"X-Call-Id: {name}",
            f"X-Call-Class: {more.get('workload', 'overlay-text')}",
            f"X-Route-Hash: {more.get('session', 's' + name)}",
            f"X-Budget-Ms: {budget_ms}",
            f"X-Call-Info: {prefix}prompt_len={tokens},max_out={more.get('max_out', 256)}",
            f"Content-Length: {len(body)}",
        ]
        return "\r\n".join(fields).encode() + b"\r\n\r\n" + body

    async def send(self, name: str, tokens: int, budget_ms: int, **more: Any) -> None:
        if self.writer is None:
            await self.connect()
        assert self.writer
        if not more.get("quiet"):
            self.case.record.add("client sends", name, f"{tokens} tokens, budget {budget_ms} ms")
        self.writer.write(self.request(name, tokens, budget_ms, **more))

    async def receive(self, name: str, quiet: bool = False) -> Answer:
        """Return the answer to the request sent last."""
        result = Answer()
        assert self.reader
        head = await read_head(self.reader)
        if head:
            result.status, result.headers = int(head[0].split(" ")[1]), head[1]
            result.first_at = self.case.record.now
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                await self.receive_body(result)
        if not quiet:
            whole = "whole" if result.whole else "not whole"
            text = result.body[:60] if result.status != 200 else f"{result.events} events"
            self.case.record.add("client got", name, result.status, whole, text)
        return result

    async def receive_body(self, result: Answer) -> None:
        assert self.reader
        if "content-length" in result.headers:
            result.body = await self.reader.readexactly(int(result.headers["content-length"]))
        else:
            while size := int((await self.reader.readuntil(b"\r\n"))[:-2], 16):
                part = await self.reader.readexactly(size + 2)
                result.body += part[:-2]
                result.events += part.count(b"data: ")
            await self.reader.readexactly(2)
        result.whole = True

    async def ask(self, name: str, tokens: int, budget_ms: int, **more: Any) -> Answer:
        await self.send(name, tokens, budget_ms, **more)
        return await self.receive(name, more.get("quiet", False))

    def close(self) -> None:
        if self.writer:
            self.writer.close()


class Case:
    """One case: its record, its temporary folder and its processes."""

    def __init__(self, record: Path) -> None:
        self.record = Record(record)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.servers: list[Server] = []
        self.breaks: list[str] = []

    def free_port(self) -> int:
        import socket

        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            return int(sock.getsockname()[1])

    def broken(self, text: str) -> None:
        self.breaks.append(text)
        self.record.add("RULE BROKEN:", text)

    async def open(self, *servers: Server) -> None:
        for server in servers:
            await server.open()
            self.servers.append(server)

    def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for server in self.servers:
            server.close()
        for log in sorted(self.folder.glob("*.log")) if os.environ.get("KEEP_LOGS") else ():
            shutil.copy(log, Path(os.environ["KEEP_LOGS"]) / log.name)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(record: Path, body: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case, write its record to that file, and exit with its code."""
    if not (ROOT / ".venv/complete").exists():
        print("the build of the deploy file is missing")
        sys.exit(NOT_RUN)
    case = Case(record)
    case.record.add("trouble" if TROUBLE else "no trouble")

    async def run() -> None:
        task = asyncio.current_task()
        assert task
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await asyncio.wait_for(body(case), ACTION_TIME_LIMIT)
        finally:
            case.end()
            await asyncio.sleep(0.05)

    code = NOT_RUN
    try:
        asyncio.run(run())
        code = BROKEN if case.breaks else HELD
    except (Exception, asyncio.CancelledError) as error:  # an error of the script is no broken rule
        case.record.add("the case could not run:", repr(error))
        print("the case could not run:", repr(error))
    case.record.add("exit code", code)
    print(f"exit code {code}:", "; ".join(case.breaks[:3]) or "no rule broken")
    sys.exit(code)


def workload(name: str, target: float, timeout: float, effect: str = "free", **more: Any) -> dict[str, Any]:
    """Return one entry of the settings' `categories`; times in s."""
    return {
        "name": name,
        "objectiveNs": int(target * SECOND),
        "deadlineNs": int(timeout * SECOND),
        "idempotency": effect,
        "stream": True,
        "lateShare": 0.3,
        "worth": 1.0,
        **more,
    }


def settings(number: int = 0, fronts: int = 3, **changes: Any) -> dict[str, Any]:
    """Return settings of a small deployment; changes: by section, each entry added or replaced."""
    result: dict[str, Any] = {
        "azs": ["kbh", "odense", "vejle"],
        "kinds": ["prefill", "decode-a", "decode-b", "combined"],
        "categories": [
            workload("overlay-text", 0.8, 3.0),
            workload("booking", 1.5, 7.5, "single_shot"),
        ],
        "clients": {"marksRetry": False},
        "familyInfo": {
            "ahead": False,
            "aimUsPer1000PromptTokens": [60_000.0, 40_000.0],
            "memoryTokens": [226_156, 167_447, 144_405, 174_781],
            "moveFee": 0.02,
            "pinLimitNs": 300 * MS,
            "readInPlace": False,
            "resume": False,
            "roleByKind": ["read", "write", "write", "both"],
            "tokenAimNs": [50 * MS, 70 * MS],
        },
        "feedback": {"columns": [], "via": "off"},
        "kindOfService": "twostage",
        "layer": 0,
        "myNumber": number,
        "nInstances": fronts,
        "policyLimits": {
            "cancel": True,
            "connIdleNs": 15 * SECOND,
            "connectTimeoutNs": 250 * MS,
            "maxOpen": 20_000,
            "maxRetryAfterNs": 2 * SECOND,
            "maxStreams": 32,
            "peers": False,
            "probes": False,
            "retryAfter": True,
            "secondCopies": False,
            "tryLimit": 4,
        },
        "registryMode": "automatic",
        "safety": {
            "answerSlackNs": 16 * MS,
            "askWithinNs": 10 * SECOND,
            "coldFrom": 0.34,
            "drainGraceNs": 2 * SECOND,
            "fallNs": 2 * SECOND,
            "tipMultiple": 2.5,
            "warmAfterNs": 13 * SECOND,
        },
        "tenants": [],
        "tiers": ["text-fleet"],
        "weights": "nominal",
        "zone": 0,
    }
    for section, entries in changes.items():
        result[section] = {**result[section], **entries} if isinstance(entries, dict) else entries
    return result
