"""Clients of front nodes: well-behaved ones, some that disconnect early, and some that misbehave."""

import asyncio
import re
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from time import monotonic

import orjson

from heathford.soak.engine import LATE_EVENT_THRESHOLD, EVENT_TIMESTAMP
from heathford.soak.plan import FaultKind
from heathford.soak.records import NEVER_ANSWERED, Record, RecordKind

RecordCallback = Callable[[Record], None]
STALL_TIMEOUT = 5.0  # s added to LATE_ANSWER_WAIT, for an answer that stalls or never comes
LATE_ANSWER_WAIT = 2.0  # s past its time budget that a client waits for an answer that is late
THINK_TIMES = (0.05, 0.5)  # s; shortest and longest pause between two requests
BUDGET_FRACTIONS = (0.3, 0.5, 1.0)  # of the deployment's longest deadline
PROMPT_SIZES = (36, 2_000, 60_000, 250_000)  # bytes; a body may have 256 KiB at most
# chat is idempotent, booking non-idempotent, and order is sent with an idempotency key.
REQUEST_CLASSES = ("chat", "booking", "order")
LEAVE_PROBABILITY = 0.05  # that a client closes its connection early, without a CLIENTS_LEAVE fault


@dataclass
class FrontAddress:
    """Where a front node listens, and whether its clients may open new connections to it."""

    name: str
    port: int
    ready: bool = False


def request_bytes(name: str, request_class: str, budget: int, size: int, session: str) -> bytes:
    """Return an HTTP request; budget: ms, size: bytes of the prompt."""
    body = orjson.dumps({"stream": True, "messages": [{"role": "user", "content": "x" * size}]})
    key = f"Idempotency-Key: {name}\r\n" if request_class == "order" else ""
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: o\r\nX-Call-Id: {name}\r\n"
        f"X-Call-Class: {request_class}\r\n"
        f"X-Route-Hash: {session}\r\nX-Budget-Ms: {budget}\r\n{key}"
        f"X-Call-Info: prompt_len={1 + size // 4},prefix_len=0,max_out=20\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class SoakClient:
    """One client; sends one request after the other until it is cancelled."""

    def __init__(
        self,
        number: int,
        fronts: list[FrontAddress],
        add_record: RecordCallback,
        active_faults: list[FaultKind],
        seed: int,
        longest_deadline: float,
    ) -> None:
        self.number, self.fronts, self.add_record, self.active_faults = (
            number,
            fronts,
            add_record,
            active_faults,
        )
        self.budgets = [int(1000 * fraction * longest_deadline) for fraction in BUDGET_FRACTIONS]  # ms
        self.random = Random(seed * 10_007 + number)
        self.count = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.front = fronts[0]
        self.answers_on_connection = 0

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(*THINK_TIMES))
            with suppress(OSError):
                if FaultKind.CLIENTS_BAD in self.active_faults and self.random.random() < 0.3:
                    await self.misbehave()
                else:
                    await self.ask()

    async def connect(self) -> bool:
        """Open a connection to a front node that is ready, unless one is open; return whether there is one.

        An open connection is used for as long as it stays open, also while its front node terminates.
        """
        if self.writer and self.reader and not self.writer.is_closing() and not self.reader.at_eof():
            return True
        self.disconnect()
        ready = [front for front in self.fronts if front.ready]
        if not ready:
            return False
        self.front = self.random.choice(ready)
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.front.port)
        self.answers_on_connection = 0
        return True

    def disconnect(self) -> None:
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    def record(self, kind: RecordKind, name: str, value: float = 0.0, text: str = "") -> None:
        self.add_record(Record(monotonic(), kind, self.front.name, name, "", value, text))

    async def ask(self) -> None:
        if not await self.connect():
            return
        assert self.writer and self.reader
        self.count += 1
        name = f"c{self.number}-{self.count}"
        request_class, budget = self.random.choice(REQUEST_CLASSES), self.random.choice(self.budgets)
        reused = self.answers_on_connection > 0
        self.writer.write(
            request_bytes(name, request_class, budget, self.random.choice(PROMPT_SIZES), f"s{self.number}")
        )
        self.record(RecordKind.ASKED, name, budget, request_class)
        leave_probability = 0.5 if FaultKind.CLIENTS_LEAVE in self.active_faults else LEAVE_PROBABILITY
        if self.random.random() < leave_probability:
            with suppress(TimeoutError):
                async with asyncio.timeout(self.random.uniform(0.0, 0.3)):
                    await self.read_answer(name, reused)
                    return
            self.record(RecordKind.LEFT, name)
            if self.random.random() < 0.5:
                self.writer.transport.abort()
            self.disconnect()
            return
        try:
            async with asyncio.timeout(budget / 1000 + LATE_ANSWER_WAIT + STALL_TIMEOUT):
                await self.read_answer(name, reused)
        except TimeoutError:
            # Also where the answer had begun, but did not end.
            self.record(RecordKind.LOST, name, text=NEVER_ANSWERED)
            self.disconnect()

    async def read_answer(self, name: str, reused: bool) -> None:
        assert self.reader
        status = 0
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            if status != 200:
                length = re.search(rb"(?i)content-length: (\d+)", head)
                await self.reader.readexactly(int(length[1]) if length else 0)
            else:
                await self.read_stream(name)
        except (asyncio.IncompleteReadError, OSError):
            if status == 200:
                self.record(RecordKind.CUT, name)
            else:
                self.record(RecordKind.LOST, name, text="reused" if reused else "new")
            self.disconnect()
            return
        self.answers_on_connection += 1
        self.record(RecordKind.ANSWERED, name, status)
        if b"connection: close" in head.lower():
            self.disconnect()

    async def read_stream(self, name: str) -> None:
        assert self.reader
        body = b""
        while True:
            size = int(await self.reader.readline() or b"0", 16)
            chunk = await self.reader.readexactly(size + 2)
            if not size:
                break
            body += chunk
            for timestamp in EVENT_TIMESTAMP.findall(chunk):
                delay = monotonic() - float(timestamp)
                if delay > LATE_EVENT_THRESHOLD:
                    self.record(RecordKind.LATE_EVENT, name, delay, timestamp.decode())
        if b"[DONE]" not in body:
            self.record(RecordKind.LOG, name, text="a stream ended with its last chunk, but without [DONE]")

    async def misbehave(self) -> None:
        """Send an incomplete or malformed request on a new connection and record how long it stays open.

        The front node has to answer or to close the connection within oracle.BAD_CLIENT_TIMEOUT (3 s). The
        client waits 1 s longer, so that an excess is seen.
        """
        ready = [front for front in self.fronts if front.ready]
        if not ready:
            return
        front = self.random.choice(ready)
        reader, writer = await asyncio.open_connection("127.0.0.1", front.port)
        complete_request = request_bytes("bad", "chat", 900, 36, "s")
        writer.write(
            self.random.choice(
                [
                    b"",
                    complete_request[:40],
                    complete_request[:-5],
                    b"\x00\xff nonsense\r\n\r\n",
                    3 * complete_request[:200],
                ]
            )
        )
        if self.random.random() < 0.3:
            writer.transport.abort()
            return
        started_at = monotonic()
        with suppress(TimeoutError, OSError):
            async with asyncio.timeout(4.0):
                await reader.read(1)
        waited = monotonic() - started_at
        if front.ready:
            self.add_record(Record(monotonic(), RecordKind.WAITED, front.name, value=waited))
        writer.close()
