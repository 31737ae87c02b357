"""Engines of the platform's protocol that read, write, fail and hold what was read, for the soak."""

import asyncio
import re
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager, nullcontext
from random import Random
from time import monotonic
from typing import Any

import orjson

from heathford.soak.plan import Kind
from heathford.soak.records import Record, Seen
from heathford.soak.relay import Watcher
from heathford.standin.platform import STREAM, WORDS, Stand, chunk
from heathford.wire.requests import RequestError, Request

EVENTS = 6  # of a stream
EVENT_EVERY = 0.05  # s
PREFILL_TAKES = (0.01, 0.08)  # s, between
DECODE_TAKES = (0.01, 0.08)  # s to the first event, between
HANG_LOOK = 0.02  # s between two looks of an engine that hangs
NOT_HELD = "gone"
LONGEST = 1 << 20
STAMP = re.compile(rb"t(\d+\.\d+);")  # in each event: when its engine wrote it
LATE_NOTED = 0.1  # s from which an event that comes late is noted

Note = Callable[[Record], None]


class SoakEngine(Stand):
    """One engine. rooms: what prefill has left, by request, of all engines; wanted: how many decode attempts
    wait for it."""

    def __init__(
        self,
        uid: str,
        prefill: bool,
        zone: str,
        rooms: dict[str, float],
        wanted: Counter[str],
        note: Note,
        seed: int,
    ) -> None:
        super().__init__()
        self.wanted = wanted
        self.uid, self.prefill, self.zone, self.rooms, self.note = uid, prefill, zone, rooms, note
        self.random = Random(seed)
        self.troubles: list[Kind] = []
        self.readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}
        self.state, self.boot_ms = "SERVING", 0

    def row(self, port: int) -> dict[str, Any]:
        """As discovery tells it, behind a relay on that port."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{port}",
            "az": self.zone,
            "model": "m0" if self.prefill else "m1",
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.readers[writer] = reader
        try:
            await super().serve(reader, writer)
        finally:
            self.readers.pop(writer, None)

    def given_up(self, writer: asyncio.StreamWriter) -> bool:
        """The front node has closed the connection: what it asked for there is not gone on with."""
        reader = self.readers.get(writer)
        return reader is None or reader.at_eof() or writer.is_closing()

    def say(self, kind: Seen, request: str, text: str = "") -> None:
        self.note(Record(monotonic(), kind, "", request, self.uid, 0.0, text))

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        name = request.headers.get("x-call-id", request.target.rpartition("/")[2])
        if request.method == "DELETE":
            if not self.wanted.get(name):  # as the bench page has it: not what an attempt waits for
                self.rooms.pop(name, None)
            self.say(Seen.RELEASED, name)
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return
        self.say(Seen.DELIVERED, name, "prefill" if self.prefill else "decode")
        if Kind.ENGINE_HANGS in self.troubles:
            await self.hang(name, writer)
            return
        if Kind.ENGINE_FULL in self.troubles:
            self.say(Seen.ENGINE_SAID, name, "full")
            writer.write(WORDS["full"])
        elif Kind.ENGINE_ERRORS in self.troubles:
            self.say(Seen.ENGINE_SAID, name, "error")
            writer.write(WORDS["error"])
        elif self.prefill:
            await asyncio.sleep(self.random.uniform(*PREFILL_TAKES))
            if self.given_up(writer):
                return
            self.rooms[name] = monotonic()
            self.say(Seen.ENGINE_SAID, name, "read")
            writer.write(WORDS["read"])
        elif name not in self.rooms:
            self.say(Seen.ENGINE_SAID, name, NOT_HELD)
            writer.write(WORDS["gone"])
        else:
            with self.waiting_for(name):
                await asyncio.sleep(self.random.uniform(*DECODE_TAKES))
                if self.given_up(writer):
                    return
                self.rooms.pop(name, None)
            await self.stream(name, writer)

    @contextmanager
    def waiting_for(self, name: str) -> Iterator[None]:
        """A decode attempt waits for what prefill has left: a release leaves it."""
        self.wanted[name] += 1
        try:
            yield
        finally:
            self.wanted[name] -= 1

    async def hang(self, name: str, writer: asyncio.StreamWriter) -> None:
        """Say nothing until the front node closes the connection."""
        with self.waiting_for(name) if not self.prefill else nullcontext():
            while not self.given_up(writer):
                await asyncio.sleep(HANG_LOOK)

    async def stream(self, name: str, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM)
        for number in range(EVENTS):
            if number:
                await asyncio.sleep(EVENT_EVERY)
            said = {
                "choices": [
                    {
                        "index": 0,
                        "delta": {"content": f"t{monotonic():.6f};"},
                        "finish_reason": "stop" if number == EVENTS - 1 else None,
                    }
                ]
            }
            writer.write(chunk(b"data: " + orjson.dumps(said) + b"\n\n"))
        writer.write(chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")
        self.say(Seen.ENGINE_SAID, name, "stream")


class EngineLink(Watcher):
    """One connection to an engine, as its relay sees it: which front node sends what, and when."""

    def __init__(self, uid: str, note: Note) -> None:
        self.uid, self.note = uid, note
        self.request = Request(LONGEST, LONGEST)
        self.begun = self.whole = False
        self.name = ""

    def sent(self, data: bytes) -> None:
        now = monotonic()
        try:
            self.request.feed(data)
        except RequestError:
            self.note(Record(now, Seen.LOG, engine=self.uid, text="an engine was sent nonsense"))
            return
        while True:
            if not self.begun and self.request.method:
                self.begun, self.whole = True, False
                self.name = self.request.headers.get("x-call-id", "")
                if self.request.method == "POST":
                    self.say(now, Seen.FIRST_BYTE)
            if not self.request.done:
                return
            if self.request.method == "POST":
                self.whole = True
                self.say(now, Seen.LAST_BYTE, float(self.request.headers.get("x-budget-ms", "0")))
            self.begun = False
            self.request = Request(LONGEST, LONGEST, self.request.rest)
            self.request.feed(b"")

    def received(self, data: bytes) -> None:
        now = monotonic()
        for stamp in STAMP.findall(data):
            late = now - float(stamp)
            if late > LATE_NOTED:
                self.note(Record(now, Seen.EVENT_ON_THE_WAY, "", self.name, self.uid, late, stamp.decode()))
        if data.endswith(b"0\r\n\r\n") or (data.startswith(b"HTTP/1.1") and b"chunked" not in data):
            if self.name:
                self.say(monotonic(), Seen.PASSED_ON)
            self.name = ""  # answered whole: an end of the connection is no end of an attempt

    def closed(self) -> None:
        if self.name:
            self.say(monotonic(), Seen.GIVEN_UP)

    def say(self, now: float, kind: Seen, value: float = 0.0) -> None:
        self.note(Record(now, kind, "", self.name, self.uid, value))
