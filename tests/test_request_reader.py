"""The reader of a connection's requests: independent of how bytes are split, and bounded for any input."""

import gc
import tracemalloc
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathford.wire.memory_budget import MemoryBudget
from heathford.wire.request_reader import (
    GUARANTEED_BYTES,
    MAX_QUEUED_REQUESTS,
    MAX_UNPARSED_BYTES,
    READ_AHEAD_SHARE,
    ReadFailure,
    ReceivedRequest,
    RequestReader,
)
from heathford.wire.requests import OVERHEAD_BYTES, RequestError

MAX_HEAD_BYTES = 4_096
MAX_BODY_BYTES = 65_536
PLAIN = b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n"
SIZED = b"POST /a HTTP/1.1\r\nHost: o\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"POST /b HTTP/1.1\r\nHost: o\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n0\r\nT: 1\r\n\r\n"
)
BROKEN = b"GET /\x00 HTTP/1.1\r\n\r\n"


def new_reader(budget: MemoryBudget | None = None) -> RequestReader:
    return RequestReader(MAX_HEAD_BYTES, MAX_BODY_BYTES, ("x-call-id",), budget or MemoryBudget(1 << 20))


def feed_all(reader: RequestReader, data: bytes, now: float = 0.0) -> None:
    """Feed the bytes, and parse them all."""
    reader.feed(data, now)
    while reader.has_unparsed:
        reader.parse_more(64)


def post(body: bytes, *lines: bytes) -> bytes:
    head = b"\r\n".join([b"POST /a HTTP/1.1", b"Host: o", *lines, b"Content-Length: %d" % len(body)])
    return head + b"\r\n\r\n" + body


def drain(reader: RequestReader) -> list[object]:
    """Return the target and body of each complete request, "discarded", or the status of a failure."""
    drained: list[object] = []
    while received := reader.next_request():
        if isinstance(received, ReadFailure):
            drained.append(received.error.status)
        elif isinstance(received, ReceivedRequest):
            drained.append((received.request.target, received.request.body))
        else:
            drained.append("discarded")
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


def test_requests_beyond_the_budget_are_read_and_counted() -> None:
    """All bytes are read, so that the end of the connection can be seen; each discarded one gets a 503."""
    budget = MemoryBudget(int(2 * (OVERHEAD_BYTES + 402) / READ_AHEAD_SHARE))
    reader = new_reader(budget)
    body = b"x" * 400
    for _ in range(10 * MAX_QUEUED_REQUESTS):
        reader.feed(post(body), 0.0)
    assert budget.used_bytes == 2 * (OVERHEAD_BYTES + 402) and len(reader.queue) == 4
    drained = drain(reader)
    assert drained[:3] == [("/a", body), ("/a", body), "discarded"]
    assert len(drained) == MAX_QUEUED_REQUESTS + 1 and drained[-1] == 503 and budget.used_bytes == 0


@pytest.mark.parametrize("step", [1 << 20, 1_000])
def test_the_first_request_is_kept_while_others_fill_the_budget(step: int) -> None:
    """A client that sends one request at a time is served; a longer one is refused, not kept."""
    kept = b"x" * (GUARANTEED_BYTES - OVERHEAD_BYTES - 2)
    for body, expected in ((kept, ("/a", kept)), (b"x" * MAX_BODY_BYTES, "discarded")):
        budget = MemoryBudget(0)
        reader = new_reader(budget)
        data = post(body) + SIZED
        for at in range(0, len(data), step):
            reader.feed(data[at : at + step], 0.0)
            assert budget.used_bytes <= GUARANTEED_BYTES + MAX_HEAD_BYTES
        assert drain(reader) == [expected, "discarded"] and budget.used_bytes == 0


def test_queued_requests_keep_no_copy_of_the_bytes_behind_them() -> None:
    """Each kept all that followed in the same read: 250 requests at once took 30 times their size."""
    data = b"".join(post(b"x" * 1_000, b"X-Call-Id: c%d" % number) for number in range(250))
    reader = new_reader()
    tracemalloc.start()
    try:
        feed_all(reader, data)
        taken, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert taken <= reader.budget.used_bytes and peak < reader.budget.used_bytes + 3 * len(data)


def test_fields_that_nobody_uses_are_not_kept() -> None:
    """Heads with hundreds of fields stayed in the queue whole, and no limit on memory counted them."""
    lines = [b"a%d: %s" % (number, b"v" * 90) for number in range(40)]
    reader = new_reader()
    feed_all(reader, post(b"", b"X-Call-Id: c0", *lines) * 250)
    assert reader.budget.used_bytes == 250 * (OVERHEAD_BYTES + 4)
    received = reader.next_request()
    assert isinstance(received, ReceivedRequest) and received.request.headers == {"x-call-id": "c0"}


@pytest.mark.parametrize("after", [b"", PLAIN, BROKEN, SIZED[:-2]])
def test_a_closed_reader_keeps_nothing(after: bytes) -> None:
    budget = MemoryBudget(1 << 20)
    reader = new_reader(budget)
    reader.feed(SIZED + after, 0.0)
    reader.close()
    reader.feed(SIZED, 0.0)
    assert reader.next_request() is None and not reader.pending and budget.used_bytes == 0


def test_a_client_that_awaits_100_continue() -> None:
    reader = new_reader()
    reader.feed(b"POST / HTTP/1.1\r\nHost: o\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", 0.0)
    assert reader.awaits_continue
    reader.continue_sent()
    reader.feed(b"hi", 1.0)
    assert not reader.awaits_continue and drain(reader) == [("/", b"hi")]


def chunks(body: bytes, extension: bytes = b"") -> bytes:
    """Return a chunked body in chunks of one byte."""
    return b"".join(b"1%b\r\n%c\r\n" % (extension, byte) for byte in body) + b"0\r\n\r\n"


def test_one_read_is_parsed_in_bounded_steps() -> None:
    """A read with tens of thousands of lines held the event loop up for a tenth of a second and more."""
    body = b"x" * 5_000
    reader = new_reader()
    reader.feed(b"POST /a HTTP/1.1\r\nHost: o\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body), 0.0)
    assert reader.has_unparsed and reader.has_partial_request and not reader.has_complete_request
    while reader.has_unparsed:
        parsed_before = reader.parsed
        assert reader.parse_more(100) <= 100 and reader.parsed - parsed_before <= 100 * len(b"1\r\n")
    assert drain(reader) == [("/a", body)] and not reader.pending


def test_requests_parsed_late_keep_the_times_of_their_bytes() -> None:
    """A client's budget counts from its first byte, also where the bytes were looked at much later."""
    reader = new_reader()
    reader.feed(SIZED * 100 + SIZED[:-2], 1.0)
    assert reader.has_unparsed
    reader.feed(SIZED[-2:] + SIZED, 2.0)
    while reader.has_unparsed:
        reader.parse_more(64)
    reader.feed(b"\r\n", 3.0)
    reader.feed(SIZED, 4.0)
    items = [reader.next_request() for _ in range(103)]
    times = [(item.started_at, item.ended_at) for item in items if isinstance(item, ReceivedRequest)]
    assert times == [(1.0, 1.0)] * 100 + [(1.0, 2.0), (2.0, 2.0), (4.0, 4.0)]


def test_bytes_that_wait_to_be_parsed_are_bounded() -> None:
    """Whoever sends faster than is parsed is refused; all that follows is dropped."""
    for budget, at_most in ((MemoryBudget(1 << 30), MAX_UNPARSED_BYTES), (MemoryBudget(0), GUARANTEED_BYTES)):
        reader = new_reader(budget)
        for _ in range(400):
            reader.feed(SIZED * 200, 0.0)
            assert reader.partial_memory.size <= at_most
        assert drain(reader)[-1] == 503 and reader.unreadable and budget.used_bytes == 0


def test_times_of_a_body_in_thousands_of_pieces_are_not_all_kept() -> None:
    reader = new_reader()
    for byte in post(b"x" * 2_000):
        reader.feed(bytes([byte]), 0.0)
        assert len(reader.arrivals.reads) <= 1
    assert len(drain(reader)) == 1


@pytest.mark.parametrize("end", ["failed", "closed", "complete"])
def test_nothing_large_waits_for_the_garbage_collector(end: str) -> None:
    """Parsers refer to themselves: clients that came again as soon as refused left 2 MB each for seconds."""
    body = b"x" * MAX_BODY_BYTES
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        for _ in range(100):
            reader = new_reader()
            feed_all(reader, post(body)[: None if end == "complete" else -1])
            if end == "failed":
                reader.fail(RequestError(503, "too much at once"))
            elif end == "closed":
                reader.close()
            reader.next_request()
        del reader
        assert tracemalloc.get_traced_memory()[0] < 20 * MAX_BODY_BYTES
    finally:
        tracemalloc.stop()
        gc.enable()
