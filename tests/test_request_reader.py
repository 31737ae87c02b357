"""The reader of a connection's requests: independent of how bytes are split, and bounded for any input."""

import tracemalloc
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathford.wire.memory_budget import MemoryBudget
from heathford.wire.request_reader import (
    GUARANTEED_BYTES,
    MAX_QUEUED_REQUESTS,
    READ_AHEAD_SHARE,
    ReadFailure,
    ReceivedRequest,
    RequestReader,
)
from heathford.wire.requests import OVERHEAD_BYTES

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
        reader.feed(data, 0.0)
        taken, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert taken <= reader.budget.used_bytes and peak < reader.budget.used_bytes + 3 * len(data)


def test_fields_that_nobody_uses_are_not_kept() -> None:
    """Heads with hundreds of fields stayed in the queue whole, and no limit on memory counted them."""
    lines = [b"a%d: %s" % (number, b"v" * 90) for number in range(40)]
    reader = new_reader()
    reader.feed(post(b"", b"X-Call-Id: c0", *lines) * 250, 0.0)
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
