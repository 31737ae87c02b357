"""The outcome of each engine answer in the platform's protocol, also when it arrives byte by byte."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heathford.interface import Outcome
from heathford.platform.answers import Answer, CompletionEvents
from heathford.standin.platform import (
    EVENTS,
    DECODE_RESPONSE,
    PREFILL_RESPONSE,
    STREAM,
    RESPONSES,
    chunk,
    build_response,
)
from heathford.wire.http1 import MalformedMessageError

ALL = b"".join(EVENTS)


def feed_in_steps(data: bytes, is_prefill: bool, part_size: int) -> tuple[bytes, object]:
    """Feed an answer in parts; return what was passed on, and its outcome.

    The outcome is None while the answer is incomplete, "nonsense" once it is malformed.
    """
    answer, passed_on = Answer(is_prefill), b""
    for offset in range(0, len(data), part_size):
        try:
            passed_on += answer.feed(data[offset : offset + part_size])
            if answer.response.done:
                return passed_on, answer.outcome()
        except MalformedMessageError:
            return passed_on, "nonsense"
    return passed_on, None


STREAM_UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
PREFILL_UNTIL_CLOSE = b"HTTP/1.1 202 Accepted\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize(
    "data, is_prefill, passed_on, expected",
    [
        (STREAM_UNTIL_CLOSE + ALL, False, ALL, (Outcome.FINISHED, 4)),
        (STREAM_UNTIL_CLOSE + ALL[:-3], False, ALL.removesuffix(EVENTS[-1]), "nonsense"),
        (PREFILL_UNTIL_CLOSE + b'{"cached_tokens":4}', True, b"", (Outcome.PREFILLED, 4)),
        (PREFILL_UNTIL_CLOSE + b'{"cached_tok', True, b"", "nonsense"),
        (PREFILL_UNTIL_CLOSE + b"x" * 300_000, True, b"", "nonsense"),
    ],
)
def test_answer_without_a_length_ends_with_its_connection(
    data: bytes, is_prefill: bool, passed_on: bytes, expected: object
) -> None:
    for part_size in (1, 7, len(data)):
        answer, received = Answer(is_prefill), b""
        try:
            for offset in range(0, len(data), part_size):
                received += answer.feed(data[offset : offset + part_size])
            assert not answer.response.done and not answer.keep_alive
            answer.response.feed_eof()
            result: object = answer.outcome()
        except MalformedMessageError:
            result = "nonsense"
        assert (received, result) == (passed_on, expected)


@pytest.mark.parametrize(
    "field, keep",
    [
        ("close", False),
        ("Close", False),
        ("keep-alive", True),
        ("keep-alive, close", False),
        ("x-closely", True),
        ("close , te", False),
    ],
)
def test_connection_header_decides_about_reuse(field: str, keep: bool) -> None:
    answer = Answer(is_prefill=False)
    answer.feed(f"HTTP/1.1 500 X\r\nConnection: {field}\r\nContent-Length: 0\r\n\r\n".encode())
    assert answer.response.done and answer.keep_alive == keep


@pytest.mark.parametrize(
    "data, is_prefill, passed_on, expected",
    [
        (DECODE_RESPONSE, False, ALL, (Outcome.FINISHED, 4)),
        (PREFILL_RESPONSE, True, b"", (Outcome.PREFILLED, 4)),
        (build_response(202, b'{"cached_tokens":-3}'), True, b"", (Outcome.PREFILLED, 0)),
        (build_response(202, b"{"), True, b"", "nonsense"),
        (RESPONSES["error"], False, b"", (Outcome.ERROR, 0)),
        (RESPONSES["full"], True, b"", (Outcome.FULL, 0)),
        (RESPONSES["expired"], False, b"", (Outcome.FULL, 0)),
        (RESPONSES["busy"], False, b"", (Outcome.ERROR, 0)),
        (RESPONSES["gone"], False, b"", (Outcome.FULL, 1)),
        (build_response(410), False, b"", (Outcome.ERROR, 0)),
        (build_response(200, b"{}"), True, b"", (Outcome.ERROR, 0)),
        (build_response(202, b"{}"), False, b"", (Outcome.ERROR, 0)),
        (build_response(404), False, b"", (Outcome.ERROR, 0)),
        (
            b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nA: 1\r\n\r\n" + DECODE_RESPONSE,
            False,
            ALL,
            (Outcome.FINISHED, 4),
        ),
        (
            DECODE_RESPONSE.replace(b"\r\n\r\n", b"\r\nX-Load-Report: \xff;=\r\n\r\n", 1),
            False,
            ALL,
            (Outcome.FINISHED, 4),
        ),
        (RESPONSES["begin"], False, EVENTS[0], None),
        (STREAM + chunk(ALL[:100]) + chunk(ALL[100:]) + b"0\r\n\r\n", False, ALL, (Outcome.FINISHED, 4)),
        # Malformed before the first event, when a retry is still possible, and later.
        (b"\x00\x01\x02noise", False, b"", "nonsense"),
        (b"HTTP/1.1 2x0 OK\r\n\r\n", False, b"", "nonsense"),
        (b"HTTP/1.1 200 OK\r\nA: " + b"a" * 20_000, False, b"", "nonsense"),
        (STREAM + b"zz\r\n", False, b"", "nonsense"),
        (STREAM + chunk(b"noise\n\n"), False, b"", "nonsense"),
        (STREAM + chunk(b"data: {]\n\n"), False, b"", "nonsense"),
        (STREAM + chunk(b"a" * 20_000), False, b"", "nonsense"),
        (STREAM + b"0\r\n\r\n", False, b"", "nonsense"),
        (STREAM + chunk(EVENTS[0]) + b"zz\r\n", False, EVENTS[0], "nonsense"),
        (STREAM + chunk(EVENTS[0]) + b"-5\r\n", False, EVENTS[0], "nonsense"),
        (STREAM + chunk(EVENTS[0]) + b"C0000000\r\ndata", False, EVENTS[0], "nonsense"),
        (STREAM + chunk(EVENTS[0]) + b"1\r\nabc\r\n", False, EVENTS[0], "nonsense"),
        (STREAM + chunk(EVENTS[0]) + b"0\r\n\r\n", False, EVENTS[0], "nonsense"),
        (STREAM + chunk(ALL) + chunk(EVENTS[0]), False, ALL, "nonsense"),
    ],
)
def test_outcome_of_each_answer(data: bytes, is_prefill: bool, passed_on: bytes, expected: object) -> None:
    assert feed_in_steps(data, is_prefill, 1) == (passed_on, expected)
    passed_at_once, result_at_once = feed_in_steps(data, is_prefill, len(data))
    assert result_at_once == expected and (passed_at_once == passed_on or expected == "nonsense")


def test_connection_with_a_second_answer_is_not_reused() -> None:
    answer = Answer(is_prefill=False)
    assert answer.feed(DECODE_RESPONSE + DECODE_RESPONSE) == ALL
    assert answer.outcome() == (Outcome.FINISHED, 4) and not answer.keep_alive
    next_answer = Answer(is_prefill=False)
    next_answer.feed(DECODE_RESPONSE)
    assert next_answer.keep_alive


def test_unfinished_chunk_is_limited() -> None:
    answer = Answer(is_prefill=False)
    answer.feed(STREAM + chunk(EVENTS[0]) + b"3FFFF\r\n")
    with pytest.raises(MalformedMessageError):
        for _ in range(100):
            answer.feed(b"a" * 1000)
    assert len(answer.events.buffer) < 40_000


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "start, part",
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (CHUNKED_HEAD + b"0\r\n", b"a:\r\n"),
        (CHUNKED_HEAD, b"1;%b\r\n \r\n" % (b"x" * 900)),
    ],
    ids=["interim responses", "trailers", "extensions"],
)
@pytest.mark.parametrize("count", [1, 1_000])
def test_an_answer_without_end_is_malformed(start: bytes, part: bytes, count: int) -> None:
    """Parts beside the body had no bound, and an engine that sends them took the loop's time."""
    answer, size = Answer(False), 0
    answer.feed(start)
    with pytest.raises(MalformedMessageError):
        while size < 1 << 20:
            size += len(part) * count
            answer.feed(part * count)


def test_a_long_stream_in_chunks_of_one_byte_is_passed_on() -> None:
    """The bound on framing grows with the body, as a stream has no limit; events are not searched by byte."""
    answer, event = Answer(False), EVENTS[0]
    data = b"".join(b"1\r\n%c\r\n" % byte for byte in event)
    answer.feed(CHUNKED_HEAD)
    for _ in range(40_000 // len(event)):
        assert answer.feed(data) == event


def test_an_event_is_searched_for_its_end_once() -> None:
    """Each chunk had the whole buffer searched again: a second for 270 kB in chunks of one byte."""
    searched = 0

    class CountedBytes(bytearray):
        def find(self, sub: Any, start: Any = None, end: Any = None) -> int:
            nonlocal searched
            searched += len(self) - (start or 0)
            return super().find(sub, start, end)

        def __contains__(self, sub: Any) -> bool:
            nonlocal searched
            searched += len(self)
            return super().__contains__(sub)

    stream = CompletionEvents()
    stream.buffer = CountedBytes()
    event = EVENTS[0][:-2] + b" " * 4_000 + b"\n\n"
    passed_on = b"".join(stream.pass_on(bytes([byte])) for byte in event)
    assert passed_on == event and len(event) <= searched < 2 * len(event)


@pytest.mark.parametrize("part_size", [1, 700, 200_000])
def test_an_event_may_be_as_long_in_parts_as_in_one_piece(part_size: int) -> None:
    """One of 30 kB that its engine wrote in parts counted as malformed: the stream was cut off."""
    long_event = EVENTS[0].replace(b"ab", b"x" * 30_000)
    data = STREAM_UNTIL_CLOSE + long_event + b"".join(EVENTS[1:])
    answer, passed_on = Answer(False), b""
    for offset in range(0, len(data), part_size):
        passed_on += answer.feed(data[offset : offset + part_size])
    assert passed_on == long_event + b"".join(EVENTS[1:])


def test_an_event_longer_than_a_body_may_be_is_malformed() -> None:
    """Without a bound an engine that never ends an event would fill the memory."""
    answer = Answer(False)
    answer.feed(STREAM_UNTIL_CLOSE + EVENTS[0])
    with pytest.raises(MalformedMessageError):
        for _ in range(70):
            answer.feed(b"x" * 4_096)


@pytest.mark.parametrize(
    "line, is_sound",
    [
        (b"5a", True),
        (b"0000000000000005 \t", True),
        (b'5a;seq=1;note="a part"', True),
        (b"5a;data: {}\n\ndata: {}\n\n", False),
        (b"00000000000000005", False),
        (b"5a 5", False),
        (b"data: ", False),
        (b"\r", False),
        (b"-5", False),
        pytest.param(b"5a;" + b"x" * 1_100, False, id="too long"),
    ],
)
def test_a_size_line_is_judged_as_it_comes(line: bytes, is_sound: bool) -> None:
    """A line that can state no size was read on, up to 16 kB of it or a time limit."""
    answer = Answer(False)
    answer.feed(STREAM)
    if is_sound:
        for byte in line:
            answer.feed(bytes([byte]))
    else:
        with pytest.raises(MalformedMessageError):
            for byte in line:
                answer.feed(bytes([byte]))


STREAM_PIECES = [
    *EVENTS,
    b"\n",
    b": still here\n\n",
    b'data:{"choices":[]}\r\n\r\n',
    b'data: {"choices":[],\n',
    b'data: "x":1}\n\n',
    b"event: x\n",
    b"data:\n\n",
    b"data: {} \n\n",
    b"data: {{\n\n",
    b"noise\n",
]


def passed_on_in_parts(data: bytes, sizes: list[int]) -> tuple[bytes, bool, int] | None:
    """Return what is passed on of a stream in such parts, and the parser's state; None if malformed."""
    stream, passed_on = CompletionEvents(), b""
    for size in [*sizes, len(data)]:
        part, data = data[:size], data[size:]
        try:
            passed_on += stream.pass_on(part)
        except MalformedMessageError:
            return None
    return passed_on, stream.finished, stream.event_count


@settings(derandomize=True, deadline=None)
@given(st.lists(st.sampled_from(STREAM_PIECES), max_size=6), st.lists(st.integers(0, 90), max_size=30))
def test_events_do_not_depend_on_the_parts_that_they_come_in(pieces: list[bytes], sizes: list[int]) -> None:
    """Guards the step for a part that is one event against the steps for all others."""
    data = EVENTS[0] + b"".join(pieces)
    assert passed_on_in_parts(data, sizes) == passed_on_in_parts(data, [1] * len(data))
