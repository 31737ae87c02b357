"""Engines with the platform's protocol for the soak: prefill, decode, failures and held prefill states."""

import asyncio
import re
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager, nullcontext
from random import Random
from time import monotonic
from typing import Any

import orjson

from heathford.soak.plan import FaultKind
from heathford.soak.records import Record, RecordKind
from heathford.soak.relay import ConnectionObserver
from heathford.standin.platform import STREAM, RESPONSES, StandInServer, chunk
from heathford.standin.stream_faults import (
    SPOILT_STREAMS,
    TOKEN_EVENT,
    in_chunks,
    in_chunks_with_extensions,
    in_one_chunk,
    slow_stream,
    token_event,
    write_slowly,
    write_spoilt,
)
from heathford.wire.requests import RequestError, Request

EVENTS_PER_STREAM = 6
EVENT_INTERVAL = 0.05  # s
PREFILL_DURATIONS = (0.01, 0.08)  # s; shortest and longest
DECODE_DURATIONS = (0.01, 0.08)  # s until the first event; shortest and longest
HANG_POLL_INTERVAL = 0.02  # s between two checks of a hanging engine whether its connection is closed
MAX_EVENTS_BEFORE_SPOILT = 4
SPOILT_DURATION = 8.0  # s that a spoilt stream goes on; clients may wait for 5 s
SLOW_EVENT_DURATIONS = (4.2, 6.0)  # s for one event; shortest and longest: more than silence may last
SLOW_EVENT_SIZES = (230, 30_000)  # bytes
SLOW_EVENT_FRAMES = (in_chunks, in_chunks_with_extensions, in_one_chunk)
NOT_HELD = "gone"
MAX_REQUEST_BYTES = 1 << 20
EVENT_TIMESTAMP = re.compile(
    rb"t(\d+\.\d+);"
)  # in each event: monotonic time in s at which the engine wrote it
LATE_EVENT_THRESHOLD = 0.1  # s; only events with a longer delay are recorded

RecordCallback = Callable[[Record], None]


class SoakEngine(StandInServer):
    """One engine; prefill states are shared by all engines of a run.

    held_states: the held prefill states, by request name. waiting_decodes: how many decode attempts wait
    for the prefill state of a request.
    """

    def __init__(
        self,
        uid: str,
        prefill: bool,
        zone: str,
        held_states: dict[str, float],
        waiting_decodes: Counter[str],
        add_record: RecordCallback,
        seed: int,
    ) -> None:
        super().__init__()
        self.waiting_decodes = waiting_decodes
        self.uid, self.is_prefill, self.zone, self.held_states, self.add_record = (
            uid,
            prefill,
            zone,
            held_states,
            add_record,
        )
        self.random = Random(seed)
        self.active_faults: list[FaultKind] = []
        self.readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}
        self.state, self.boot_ms = "SERVING", 0
        self.open_streams = 0

    def endpoint_entry(self, port: int) -> dict[str, Any]:
        """Return the engine's entry of the endpoint list, with the port of its relay."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{port}",
            "az": self.zone,
            "model": "m0" if self.is_prefill else "m1",
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

    def front_closed(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether the front node has closed the connection, which abandons the attempt on it."""
        reader = self.readers.get(writer)
        return reader is None or reader.at_eof() or writer.is_closing()

    def record(self, kind: RecordKind, request: str, text: str = "") -> None:
        self.add_record(Record(monotonic(), kind, "", request, self.uid, 0.0, text))

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        name = request.headers.get("x-call-id", request.target.rpartition("/")[2])
        if request.method == "DELETE":
            if not self.waiting_decodes.get(
                name
            ):  # a release does not free a state that a decode attempt waits for
                self.held_states.pop(name, None)
            self.record(RecordKind.RELEASED, name)
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return
        self.record(RecordKind.DELIVERED, name, "prefill" if self.is_prefill else "decode")
        if FaultKind.ENGINE_HANGS in self.active_faults:
            await self.hang(name, writer)
            return
        if FaultKind.ENGINE_FULL in self.active_faults:
            self.record(RecordKind.ENGINE_SAID, name, "full")
            writer.write(RESPONSES["full"])
        elif FaultKind.ENGINE_ERRORS in self.active_faults:
            self.record(RecordKind.ENGINE_SAID, name, "error")
            writer.write(RESPONSES["error"])
        elif self.is_prefill:
            await asyncio.sleep(self.random.uniform(*PREFILL_DURATIONS))
            if self.front_closed(writer):
                return
            self.held_states[name] = monotonic()
            self.record(RecordKind.ENGINE_SAID, name, "read")
            writer.write(RESPONSES["read"])
        elif name not in self.held_states:
            self.record(RecordKind.ENGINE_SAID, name, NOT_HELD)
            writer.write(RESPONSES["gone"])
        else:
            with self.waiting_for(name):
                await asyncio.sleep(self.random.uniform(*DECODE_DURATIONS))
                if self.front_closed(writer):
                    return
                self.held_states.pop(name, None)
            self.record(RecordKind.FETCHED, name)
            await self.stream(name, writer)

    @contextmanager
    def waiting_for(self, name: str) -> Iterator[None]:
        """Count a decode attempt that waits for a prefill state, which no release frees meanwhile."""
        self.waiting_decodes[name] += 1
        try:
            yield
        finally:
            self.waiting_decodes[name] -= 1

    async def hang(self, name: str, writer: asyncio.StreamWriter) -> None:
        """Answer nothing until the front node closes the connection."""
        with self.waiting_for(name) if not self.is_prefill else nullcontext():
            while not self.front_closed(writer):
                await asyncio.sleep(HANG_POLL_INTERVAL)

    async def stream(self, name: str, writer: asyncio.StreamWriter) -> None:
        """Write a stream, whole and in time unless a fault is active."""
        self.open_streams += 1
        try:
            if FaultKind.ENGINE_SPOILS in self.active_faults:
                await self.spoil_stream(name, writer)
            elif FaultKind.ENGINE_WRITES_SLOWLY in self.active_faults:
                await self.write_stream_slowly(name, writer)
            else:
                await self.write_stream(name, writer)
        finally:
            self.open_streams -= 1

    async def spoil_stream(self, name: str, writer: asyncio.StreamWriter) -> None:
        """Write some sound events, then one of the kinds of spoilt streams, until the connection ends."""
        how = self.random.choice(list(SPOILT_STREAMS))
        stream = SPOILT_STREAMS[how]
        writer.write(stream.head)
        for _ in range(self.random.randint(1, MAX_EVENTS_BEFORE_SPOILT)):
            writer.write(stream.frame(TOKEN_EVENT))
            await asyncio.sleep(EVENT_INTERVAL)
        self.record(RecordKind.ENGINE_SAID, name, "stream")
        self.record(RecordKind.SPOILT, name, how)
        await write_spoilt(stream, writer, SPOILT_DURATION, lambda: self.front_closed(writer))

    async def write_stream_slowly(self, name: str, writer: asyncio.StreamWriter) -> None:
        """Write a sound stream, one of whose events comes in parts over several seconds."""
        size, frame = self.random.choice(SLOW_EVENT_SIZES), self.random.choice(SLOW_EVENT_FRAMES)
        seconds = self.random.uniform(*SLOW_EVENT_DURATIONS)
        self.record(RecordKind.WRITES_SLOWLY, name)
        await write_slowly(slow_stream(token_event(b"x" * size), seconds, frame), writer)
        self.record(RecordKind.ENGINE_SAID, name, "stream")

    async def write_stream(self, name: str, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM)
        for number in range(EVENTS_PER_STREAM):
            if number:
                await asyncio.sleep(EVENT_INTERVAL)
            event = {
                "choices": [
                    {
                        "index": 0,
                        "delta": {"content": f"t{monotonic():.6f};"},
                        "finish_reason": "stop" if number == EVENTS_PER_STREAM - 1 else None,
                    }
                ]
            }
            writer.write(chunk(b"data: " + orjson.dumps(event) + b"\n\n"))
        writer.write(chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")
        self.record(RecordKind.ENGINE_SAID, name, "stream")


class EngineConnectionObserver(ConnectionObserver):
    """Records what a front node sends on one connection to an engine, and when; called by the relay."""

    def __init__(self, uid: str, add_record: RecordCallback) -> None:
        self.uid, self.add_record = uid, add_record
        self.request = Request(MAX_REQUEST_BYTES, MAX_REQUEST_BYTES)
        self.request_started = self.request_complete = False
        self.name = ""  # of the request whose attempt is not answered yet

    def sent(self, data: bytes) -> None:
        now = monotonic()
        try:
            self.request.feed(data)
        except RequestError:
            self.add_record(
                Record(now, RecordKind.LOG, engine=self.uid, text="an engine received a malformed request")
            )
            return
        while True:
            if not self.request_started and self.request.method:
                self.request_started, self.request_complete = True, False
                self.name = self.request.headers.get("x-call-id", "")
                if self.request.method == "POST":
                    self.record(now, RecordKind.FIRST_BYTE)
            if not self.request.done:
                return
            if self.request.method == "POST":
                self.request_complete = True
                self.record(now, RecordKind.LAST_BYTE, float(self.request.headers.get("x-budget-ms", "0")))
            self.request_started = False
            self.request = Request(MAX_REQUEST_BYTES, MAX_REQUEST_BYTES, self.request.buffer)
            self.request.feed(b"")

    def received(self, data: bytes) -> None:
        now = monotonic()
        for timestamp in EVENT_TIMESTAMP.findall(data):
            delay = now - float(timestamp)
            if delay > LATE_EVENT_THRESHOLD:
                self.add_record(
                    Record(
                        now, RecordKind.EVENT_ON_THE_WAY, "", self.name, self.uid, delay, timestamp.decode()
                    )
                )
        if data.endswith(b"0\r\n\r\n") or (data.startswith(b"HTTP/1.1") and b"chunked" not in data):
            if self.name:
                self.record(monotonic(), RecordKind.PASSED_ON)
            self.name = ""  # the answer is complete: a close of the connection no longer gives up an attempt

    def closed(self) -> None:
        if self.name:
            self.record(monotonic(), RecordKind.GIVEN_UP)

    def record(self, now: float, kind: RecordKind, value: float = 0.0) -> None:
        self.add_record(Record(now, kind, "", self.name, self.uid, value))
