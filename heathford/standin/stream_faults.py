"""Streams that an engine spoils after some sound events, and sound ones that it writes slowly."""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import chain, repeat

from heathford.standin.platform import EVENTS, STREAM, chunk

TOKEN_EVENT, _, _, DONE = EVENTS
LAST_CHUNK = b"0\r\n\r\n"
LENGTH_STREAM = STREAM.replace(b"Transfer-Encoding: chunked", b"Content-Length: 4294967296")
UNFRAMED_STREAM = STREAM.replace(b"Transfer-Encoding: chunked", b"Connection: close")


@dataclass(frozen=True)
class SpoiltStream:
    """What an engine writes in place of the rest of a stream: `start` once, then `part` again and again.

    interval: s between two parts. part: may be empty, the engine is silent then. head: of the answer, which
    tells how the sound events before these parts are framed.
    """

    start: bytes
    part: bytes
    interval: float
    head: bytes = STREAM

    def frame(self, event: bytes) -> bytes:
        """Return a sound event as this stream frames it."""
        return chunk(event) if self.head == STREAM else event

    def parts(self) -> Iterator[bytes]:
        """Yield the parts; never ends."""
        return chain([self.start], repeat(self.part))


SPOILT_STREAMS = {
    "extension without end, with events, usual pace": SpoiltStream(b"5a;", TOKEN_EVENT, 0.03),
    "extension without end, with events, slowly": SpoiltStream(b"5a;", TOKEN_EVENT, 0.2),
    "extension without end, no line ends": SpoiltStream(b"5a;x=", b"y" * 8, 0.2),
    "size line of zeros": SpoiltStream(b"", b"0", 0.1),
    "size line of digits, slowly": SpoiltStream(b"", b"f", 1.0),
    "size line of spaces": SpoiltStream(b"5a", b" ", 0.1),
    "size that can not be read": SpoiltStream(b"zz\r\n", chunk(TOKEN_EVENT), 0.05),
    "no size line, no line end": SpoiltStream(b"", b"noise ", 0.1),
    "no size line, events": SpoiltStream(b"", TOKEN_EVENT, 0.1),
    "size of 2 GB": SpoiltStream(b"80000000\r\n", TOKEN_EVENT, 0.05),
    "size of 4 GB behind zeros": SpoiltStream(b"0000000100000000\r\n", TOKEN_EVENT, 0.05),
    "size of 31 digits": SpoiltStream(b"f" * 31 + b"\r\n", TOKEN_EVENT, 0.05),
    "size too large by a few bytes": SpoiltStream(
        b"%x\r\n%b\r\n" % (len(TOKEN_EVENT) + 9, TOKEN_EVENT), chunk(TOKEN_EVENT), 0.1
    ),
    "size too large by many chunks": SpoiltStream(b"10000\r\n", chunk(TOKEN_EVENT), 0.1),
    "size too small": SpoiltStream(b"10\r\n" + TOKEN_EVENT + b"\r\n", chunk(TOKEN_EVENT), 0.1),
    "chunk of 256 KiB, bytes of no event": SpoiltStream(b"40000\r\n", b"noise ", 0.1),
    "chunk of 256 KiB, no JSON": SpoiltStream(b"40000\r\ndata: {", b"{{ noise ", 0.1),
    "chunk of 256 KiB, JSON and more": SpoiltStream(b'40000\r\ndata: {"choices":[]} ', b"noise ", 0.1),
    "chunks with bytes of no event": SpoiltStream(b"", chunk(b"noise "), 0.3),
    "chunks with lines of no event": SpoiltStream(b"", chunk(b"noise\n\n"), 0.3),
    "chunks with blank lines": SpoiltStream(b"", chunk(b"\n\n"), 0.3),
    "chunks with comments": SpoiltStream(b"", chunk(b": still here\n\n"), 0.3),
    "chunks with events without data": SpoiltStream(b"", chunk(b"event: ping\nid: 7\n\n"), 0.3),
    "chunks with events that are no JSON": SpoiltStream(b"", chunk(b"data: {{{\n\n"), 0.3),
    "chunks with events that are numbers": SpoiltStream(b"", chunk(b"data: 7\n\n"), 0.3),
    "4 GB stated, bytes of no event": SpoiltStream(b"", b"noise ", 0.1, LENGTH_STREAM),
    "no length, bytes of no event": SpoiltStream(b"", b"noise ", 0.1, UNFRAMED_STREAM),
    "end mark, then trailers": SpoiltStream(chunk(DONE) + b"0\r\n", b"x: y\r\n", 0.1),
    "end mark, then a trailer without end": SpoiltStream(chunk(DONE) + b"0\r\nx: ", b"y", 0.1),
    "end mark, then a size line of zeros": SpoiltStream(chunk(DONE), b"0", 0.4),
    "end mark, then an extension without end": SpoiltStream(chunk(DONE) + b"0;", b"x", 0.1),
    "end mark, then comments": SpoiltStream(chunk(DONE), chunk(b": still here\n\n"), 0.3),
    "end mark, then events": SpoiltStream(chunk(DONE), chunk(TOKEN_EVENT), 0.3),
    "end mark, then nothing": SpoiltStream(chunk(DONE), b"", 0.3),
    "half a size line, then nothing": SpoiltStream(b"5", b"", 0.3),
    "half an event, then nothing": SpoiltStream(chunk(TOKEN_EVENT[:30]), b"", 0.3),
}


@dataclass(frozen=True)
class SlowStream:
    """A whole, sound stream: the parts that an engine writes, s between two of them, and all its events."""

    parts: tuple[bytes, ...]
    interval: float
    events: bytes


def split(data: bytes, count: int) -> list[bytes]:
    """Return the data in about that many parts of the same length."""
    size = -(-len(data) // count)
    return [data[start : start + size] for start in range(0, len(data), size)]


def in_chunks(parts: list[bytes]) -> list[bytes]:
    """Frame each part as a chunk."""
    return [chunk(part) for part in parts]


def in_chunks_with_extensions(parts: list[bytes]) -> list[bytes]:
    """Frame each part as a chunk with an extension."""
    return [b'%x;seq=%d;note="a part"\r\n%b\r\n' % (len(part), at, part) for at, part in enumerate(parts)]


def in_one_chunk(parts: list[bytes]) -> list[bytes]:
    """Frame all parts as one chunk, whose size line and end come byte by byte."""
    size_line = b"%x\r\n" % sum(map(len, parts))
    return [*split(size_line, len(size_line)), *parts, b"\r", b"\n"]


def slow_stream(
    events: bytes, seconds: float, frame: Callable[[list[bytes]], list[bytes]], count: int = 40
) -> SlowStream:
    """Return a stream of the usual events and, behind the first one, others in slow parts.

    seconds: in which these parts come. count: their number, without framing.
    """
    written = frame(split(events, count))
    parts = (chunk(TOKEN_EVENT), *written, *map(chunk, EVENTS[1:]), LAST_CHUNK)
    return SlowStream(parts, seconds / len(written), TOKEN_EVENT + events + b"".join(EVENTS[1:]))


def token_event(content: bytes) -> bytes:
    """Return an event with that text, given as it stands in JSON."""
    return TOKEN_EVENT.replace(b"ab", content)


ESCAPED_EVENT = token_event(rb"\ud83d\ude00 \"quoted\" \\ " + "日本語".encode() + rb" -1.5e+7 true nul ")
TWO_LINE_EVENT = b'event: token\r\nid: 7\r\ndata: {"choices":[],\r\ndata: "x": [1.5e-3, true, null]}\r\n\r\n'

SLOW_STREAMS = {
    "300 bytes over 6 s": slow_stream(token_event(b"x" * 230), 6.0, in_chunks),
    "300 bytes over 9 s": slow_stream(token_event(b"x" * 230), 9.0, in_chunks),
    "30 kB over 6 s": slow_stream(token_event(b"x" * 30_000), 6.0, in_chunks),
    "200 kB over 9 s": slow_stream(token_event(b"x" * 200_000), 9.0, in_chunks),
    "300 bytes over 9 s, extensions": slow_stream(token_event(b"x" * 230), 9.0, in_chunks_with_extensions),
    "200 kB over 9 s, extensions": slow_stream(token_event(b"x" * 200_000), 9.0, in_chunks_with_extensions),
    "300 bytes over 9 s, one chunk": slow_stream(token_event(b"x" * 230), 9.0, in_one_chunk),
    "200 kB over 9 s, one chunk": slow_stream(token_event(b"x" * 200_000), 9.0, in_one_chunk),
    "200 kB of events in one chunk": slow_stream(200 * token_event(b"x" * 900), 8.0, in_one_chunk),
    "escapes and characters of several bytes": slow_stream(ESCAPED_EVENT, 9.0, in_chunks, len(ESCAPED_EVENT)),
    "all fields, an event of two lines": slow_stream(TWO_LINE_EVENT, 9.0, in_chunks, len(TWO_LINE_EVENT)),
    "a comment before each event": slow_stream(4 * (b": still here\n" + TOKEN_EVENT), 9.0, in_chunks),
    "3 s between events": SlowStream((*map(chunk, EVENTS), LAST_CHUNK), 3.0, b"".join(EVENTS)),
    "the last chunk byte by byte": SlowStream(
        (b"".join(map(chunk, EVENTS)), *split(LAST_CHUNK, len(LAST_CHUNK))), 0.5, b"".join(EVENTS)
    ),
    "a trailer": SlowStream(
        (b"".join(map(chunk, EVENTS)), b"0\r\n", b"load: 0.5\r\n", b"\r\n"), 0.1, b"".join(EVENTS)
    ),
}


async def write_spoilt(
    stream: SpoiltStream, writer: asyncio.StreamWriter, seconds: float, has_ended: Callable[[], bool]
) -> None:
    """Write the parts of a spoilt stream for so many s, or until has_ended tells that the connection did."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    for part in stream.parts():
        if loop.time() >= end or has_ended():
            return
        writer.write(part)
        await asyncio.sleep(stream.interval)


async def write_slowly(stream: SlowStream, writer: asyncio.StreamWriter) -> None:
    """Write a slow stream with its head."""
    writer.write(STREAM)
    for part in stream.parts:
        if writer.is_closing():
            return
        writer.write(part)
        await asyncio.sleep(stream.interval)
