"""Run cases of invalid WebSocket frames against a front node in this process, and shrink those that fail."""

import asyncio
import json
import random
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from heathford.completions.handler import routes
from heathford.core.core import Core
from heathford.core.protocols import Endpoint
from heathford.fuzz.frames import VIOLATIONS, Case, frame, handshake, message, random_case, violation
from heathford.identity.idempotency_table import IdempotencyTable
from heathford.interface import Effect, Group, Health, EngineKind, Role, Workload
from heathford.sessions.liveness import LivenessTimeouts
from heathford.sessions.limits import SessionCapacity
from heathford.sessions.workload_catalog import WorkloadLimits, WorkloadCatalog
from heathford.sessions.session import SessionManager
from heathford.sessions.fair_queue import FairQueue
from heathford.sessions.websocket import SessionServer
from heathford.standin.link import AnsweringLink

TIMEOUT = 3.0  # s to wait for an answer: a case takes milliseconds
MAX_MESSAGE_BYTES = 100_000


class InProcessFront:
    """A front node's sessions and core, listening on a port of this process; its engines answer at once."""

    def __init__(self, effect: Effect = Effect.IDEMPOTENT, **overrides: Any) -> None:
        loop = asyncio.get_running_loop()
        self.link = AnsweringLink()
        kinds = [EngineKind(Role.PREFILL, 10**6), EngineKind(Role.DECODE, 10**6)]
        self.core = Core(
            loop,
            self.link,
            "f",
            1,
            kinds,
            [Workload(1.0, 0.0, 0.05, effect, Group.ALL, 2.0, 1.0)],
            0,
            1,
            0,
            6,
            0.3,
            True,
            2.0,
            10.0,
            0.3,
            2.5,
            2.0,
            answer_margin=0.05,
            stream_limit=20.0,
        )
        self.core.apply_endpoint_list(
            True,
            [
                (Endpoint(n, f"e{n}", kinds[n % 2].role, "127.0.0.1", n), 0, n % 2, 1, Health.ON, 1.0, 0.0)
                for n in range(8)
            ],
        )
        settings: dict[str, Any] = (
            dict(
                most=10,
                most_out=100,
                most_waiting=0,
                most_held=10**6,
                read_ahead=10**6,
                come_back=5.0,
                identities=100,
                ping=30.0,
                pong=30.0,
                idle=60.0,
                slow=20.0,
                window=0.0,
                unsent=20_000,
                compress=True,
            )
            | overrides
        )
        catalog = WorkloadCatalog([WorkloadLimits(0, "w", 4.0, 0.0, 5000, 4.0, 50_000, 1.0, 0.0)], ["m", "n"])
        self.manager = SessionManager(
            self.core,
            catalog,
            SessionCapacity(settings["most_held"], settings["most"], settings["read_ahead"]),
            FairQueue(),
            IdempotencyTable(settings["identities"], settings["come_back"]),
            loop.time,
            loop.call_at,
            settings["most_out"],
            settings["most_waiting"],
        )
        self.session_server = SessionServer(
            self.manager,
            loop.time,
            LivenessTimeouts(settings["ping"], settings["pong"], settings["idle"], settings["slow"]),
            settings["unsent"],
            settings["window"],
            settings["compress"],
            1,
        )
        application = self.session_server.application(MAX_MESSAGE_BYTES)
        application.add_handlers(".*", routes(self.manager, settings["unsent"], MAX_MESSAGE_BYTES))
        self.server = HTTPServer(application, ssl_options=overrides.get("tls"))
        bound = bind_sockets(0, "127.0.0.1", backlog=1024)
        self.server.add_sockets(bound)
        self.port = bound[0].getsockname()[1]
        self.url = f"ws://127.0.0.1:{self.port}/v1/sessions"

    @property
    def held_resources(self) -> str:
        """The resources that are still held, with their counts; empty if none are."""
        counts = {
            "completions": len(self.core.live),
            "sessions": len(self.session_server.open),
            "bytes": self.manager.capacity.held_bytes,
            "calls": len(self.link.calls),
            "places": self.manager.capacity.sessions,
        }
        return ", ".join(f"{n} {name}" for name, n in counts.items() if n)


class ReceivedFrames:
    """What the front node sent on a raw connection."""

    def __init__(self) -> None:
        self.texts: list[dict[str, Any]] = []
        self.pongs = 0
        self.code: int | None = None  # of its close frame
        self.ended = False  # the connection


async def read_frames(reader: asyncio.StreamReader, received: ReceivedFrames) -> None:
    """Collect the frames that arrive until the connection ends."""
    try:
        while True:
            first, second = await reader.readexactly(2)
            size = second & 0x7F
            if size > 125:
                size = int.from_bytes(await reader.readexactly(2 if size == 126 else 8))
            data = await reader.readexactly(size)
            opcode = first & 0x0F
            if opcode == 1:
                if first & 0x40:
                    data = zlib.decompressobj(-15).decompress(data + b"\x00\x00\xff\xff")
                received.texts.append(json.loads(data))
            elif opcode == 10:
                received.pongs += 1
            elif opcode == 8:
                received.code = int.from_bytes(data[:2]) if data else 1005
    except (asyncio.IncompleteReadError, ConnectionError):
        received.ended = True


def encode_request(request_id: int, n: int) -> bytes:
    return json.dumps(
        {
            "jsonrpc": "2.0",
            "id": request_id,
            "method": "completions.create",
            "params": {"model": "w", "prompt": "é" * (1 + n), "max_tokens": 1 + n % 4},
        },
        ensure_ascii=False,
    ).encode()


async def play(front: InProcessFront, case: Case) -> list[str]:
    """Run one case on a connection of its own, and return what the front node did wrong."""
    deflate = bool(case[0].get("deflate"))
    reader, writer = await asyncio.open_connection("127.0.0.1", front.port)
    failures: list[str] = []
    received = ReceivedFrames()
    reading: asyncio.Task[None] | None = None
    try:
        writer.write(handshake("x", deflate))
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT)).decode()
        if " 101 " not in head or (deflate != ("permessage-deflate" in head)):
            return [f"handshake answered by {head!r}"]
        reading = asyncio.get_running_loop().create_task(read_frames(reader, received))
        codes: set[int] | None = None
        sent_ids, expected_errors, cut = [], 0, False
        pongs = 0
        for request_id, step in enumerate(case[1:]):
            kind = step["do"]
            if kind == "ask":
                writer.write(message(step, encode_request(request_id, step.get("n", 0)), deflate))
                sent_ids.append(request_id)
            elif kind == "cancel":
                cancel_message = {
                    "jsonrpc": "2.0",
                    "method": "completions.cancel",
                    "params": {"id": request_id - 1},
                }
                writer.write(message(step, json.dumps(cancel_message).encode(), deflate))
            elif kind == "nonsense":
                writer.write(message(step, b"{nonsense", deflate))
                expected_errors += 1
            elif kind == "binary":
                writer.write(frame(2, b"\x00\xff"))
                expected_errors += 1
            elif kind == "ping":
                writer.write(frame(9, b"p" * (step.get("n", 0) % 126)))
                pongs += 1
            elif kind == "pong":
                writer.write(frame(10, b"unasked"))
            elif kind == "cut":
                data = frame(1, encode_request(request_id, 100))
                writer.write(data[: step["n"] % len(data)])
                cut = True
            elif codes is None:
                data, codes = violation(step, deflate)
                writer.write(data + b"\x00" * step.get("junk", 0))
            if codes or cut:
                break
        if cut:
            writer.transport.abort()
        elif codes is None:
            await wait_until(
                lambda: len(final_ids(received)) >= len(sent_ids) + expected_errors or received.ended
            )
            await wait_until(lambda: received.pongs > 0 or not pongs)
            writer.write(frame(8, b"\x03\xe8"))
            codes = {1000}
            answered_ids = final_ids(received)
            if (
                sorted(k for k in answered_ids if k is not None) != sent_ids
                or answered_ids.count(None) != expected_errors
            ):
                failures.append(f"sent {sent_ids} and {expected_errors} errors, answered {answered_ids}")
        if codes:
            await wait_until(lambda: received.code is not None or received.ended)
            if received.code not in codes:
                failures.append(f"closed with {received.code}, expected {codes}")
            if writer.can_write_eof():
                writer.write_eof()
        answered_ids = final_ids(received)
        if len(set(answered_ids) - {None}) != len([s for s in answered_ids if s is not None]):
            failures.append(f"answered twice: {answered_ids}")
    except OSError as error:
        failures.append(f"{error!r}")
    finally:
        writer.transport.abort()
        if reading:
            reading.cancel()
    if not await wait_until(lambda: not front.held_resources):
        failures.append(f"still held: {front.held_resources}")
    return failures


def final_ids(received: ReceivedFrames) -> list[Any]:
    """Return the request ids of the final answers; None for errors without an id."""
    return [t["id"] for t in received.texts if "method" not in t]


async def wait_until(condition: Callable[[], bool]) -> bool:
    """Wait at most TIMEOUT for a condition; return whether it was met."""
    end = time.monotonic() + TIMEOUT
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.0005)
    return True


async def cut_at_every_byte(front: InProcessFront, methods: tuple[str, ...] = ("eof", "reset")) -> list[str]:
    """Cut off a handshake and a message after every byte, and return what the front node did wrong.

    methods: "eof" closes the connection for writing only, "reset" resets it.
    """
    failures = []
    client_bytes = handshake("x", True) + frame(1, encode_request(1, 3))
    for at in range(len(client_bytes) + 1):
        for method in methods:
            reader, writer = await asyncio.open_connection("127.0.0.1", front.port)
            writer.write(client_bytes[:at])
            if method == "eof":
                writer.write_eof()
                try:
                    async with asyncio.timeout(TIMEOUT):
                        await reader.read()
                except (TimeoutError, ConnectionError):
                    failures.append(f"half closed after byte {at}: the front node keeps the connection")
            writer.transport.abort()
            if not await wait_until(lambda: not front.held_resources):
                failures.append(f"{method} after byte {at}: still held: {front.held_resources}")
    return failures


async def serves_requests(front: InProcessFront) -> bool:
    """Return whether a client that keeps to the protocol is served."""
    return not await play(front, [{"do": "open", "deflate": True}, {"do": "ask", "n": 3, "deflate": True}])


async def shrink(front: InProcessFront, case: Case) -> Case:
    """Return the case without the steps that the failure doesn't need."""
    at = 1
    while at < len(case):
        shorter = case[:at] + case[at + 1 :]
        if await play(front, shorter):
            case = shorter
        else:
            at += 1
    return case


async def fuzz(seconds: float, seed: int, keep: Path | None, show: Callable[[str], None]) -> int:
    """Run random cases for that many seconds, and return how many failed.

    keep: a folder for the shrunk cases that failed.
    """
    front = InProcessFront()
    rng = random.Random(seed)
    end = time.monotonic() + seconds
    played = failed = 0
    kinds: dict[str, int] = {}
    cut_off_failures = await cut_at_every_byte(front)
    failed += len(cut_off_failures)
    for failure in cut_off_failures:
        show(failure)
    while time.monotonic() < end:
        case = random_case(rng)
        for step in case:
            kinds[step["do"]] = kinds.get(step["do"], 0) + 1
        failures = await play(front, case)
        played += 1
        if failures or (played % 100 == 0 and not await serves_requests(front)):
            failed += 1
            shrunk = await shrink(front, case)
            show(f"{failures}: {json.dumps(shrunk)}")
            if keep:
                keep.mkdir(parents=True, exist_ok=True)
                (keep / f"seed-{seed}-{played}.json").write_text(json.dumps(shrunk) + "\n")
    front.server.stop()
    show(
        f"{played} cases, {sum(kinds.get(v, 0) for v in VIOLATIONS)} violations of {len(VIOLATIONS)} kinds, "
        f"{front.core.tally.taken} requests accepted, {front.core.tally.faults} decisions failed"
    )
    show(f"{played - failed} passed, {failed} failed")
    return failed
