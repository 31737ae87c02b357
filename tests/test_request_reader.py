"""The reader of a connection's requests: independent of how bytes are split, and bounded for any input."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathford.wire.request_reader import (
    MAX_QUEUED_REQUESTS,
    ReadAheadBudget,
    ReceivedRequest,
    RequestReader,
    ReadFailure,
)

MAX_HEAD_BYTES = 4_096
MAX_BODY_BYTES = 65_536
PLAIN = b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n"
SIZED = b"POST /a HTTP/1.1\r\nHost: o\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"POST /b HTTP/1.1\r\nHost: o\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n0\r\nT: 1\r\n\r\n"
)
BROKEN = b"GET /\x00 HTTP/1.1\r\n\r\n"


def new_reader(max_bytes: int = 1 << 20) -> RequestReader:
    return RequestReader(MAX_HEAD_BYTES, MAX_BODY_BYTES, ReadAheadBudget(max_bytes))


def drain(reader: RequestReader) -> list[object]:
    """Return the target, body and `has_body` of each complete request, or the status of a failure."""
    drained: list[object] = []
    while received := reader.next_request():
        if isinstance(received, ReadFailure):
            drained.append(received.error.status)
        else:
            drained.append((received.request.target, bytes(received.request.body), received.has_body))
    return drained


@given(
    st.lists(st.sampled_from([PLAIN, SIZED, CHUNKED, b"\r\n" + PLAIN]), max_size=6),
    st.lists(st.integers(0, 600), max_size=8),
    st.booleans(),
)
def test_requests_do_not_depend_on_how_the_bytes_are_split(
    parts: list[bytes], cuts: list[int], broken: bool
) -> None:
    data = b"".join(parts) + (BROKEN if broken else b"")
    whole, split = new_reader(), new_reader()
    whole.feed(data, 0.0)
    for start, end in pairwise([0, *sorted(cuts), len(data)]):
        split.feed(data[start:end], 0.0)
    assert whole.has_partial_request == split.has_partial_request and not whole.has_partial_request
    drained = drain(split)
    assert drained == drain(whole) and len(drained) == len(parts) + broken


@given(st.binary(max_size=500))
def test_malformed_bytes_raise_nothing(data: bytes) -> None:
    reader = new_reader()
    reader.feed(data, 0.0)
    reader.feed(PLAIN, 0.0)
    drain(reader)


def test_a_request_ends_when_its_last_byte_is_read() -> None:
    reader = new_reader()
    reader.feed(SIZED[:-1], 1.0)
    reader.feed(SIZED[-1:] + PLAIN, 2.0)
    times = [
        one.ended_at
        for one in (reader.next_request(), reader.next_request())
        if isinstance(one, ReceivedRequest)
    ]
    assert times == [2.0, 2.0]


def test_bodies_beyond_the_budget_are_read_and_dropped() -> None:
    """All bytes are read, so that the end of the connection can be seen; requests without body get a 503."""
    budget = ReadAheadBudget(max_bytes=1_000)
    reader = RequestReader(MAX_HEAD_BYTES, MAX_BODY_BYTES, budget)
    body = b"x" * 400
    request = b"POST /a HTTP/1.1\r\nHost: o\r\nContent-Length: 400\r\n\r\n" + body
    for _ in range(10 * MAX_QUEUED_REQUESTS):
        reader.feed(request, 0.0)
    assert budget.buffered_bytes == 800
    drained = drain(reader)
    assert drained[:3] == [("/a", body, True), ("/a", body, True), ("/a", b"", False)]
    assert len(drained) == MAX_QUEUED_REQUESTS + 1 and drained[-1] == 503 and budget.buffered_bytes == 0


def test_the_body_of_one_waiting_request_is_always_kept() -> None:
    budget = ReadAheadBudget(max_bytes=0)
    reader = RequestReader(MAX_HEAD_BYTES, MAX_BODY_BYTES, budget)
    reader.feed(SIZED + SIZED, 0.0)
    assert drain(reader) == [("/a", b"hello", True), ("/a", b"", False)]


@pytest.mark.parametrize("after", [b"", PLAIN, BROKEN, SIZED[:-2]])
def test_a_closed_reader_keeps_nothing(after: bytes) -> None:
    budget = ReadAheadBudget()
    reader = RequestReader(MAX_HEAD_BYTES, MAX_BODY_BYTES, budget)
    reader.feed(SIZED + after, 0.0)
    reader.close()
    reader.feed(SIZED, 0.0)
    assert reader.next_request() is None and not reader.pending and budget.buffered_bytes == 0


def test_a_client_that_awaits_100_continue() -> None:
    reader = new_reader()
    reader.feed(b"POST / HTTP/1.1\r\nHost: o\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", 0.0)
    assert reader.awaits_continue
    reader.continue_sent()
    reader.feed(b"hi", 1.0)
    assert not reader.awaits_continue and drain(reader) == [("/", b"hi", True)]
