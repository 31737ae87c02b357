"""Requests of one connection: the same wherever the bytes are split, bounded whatever comes."""

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

LONGEST_HEAD = 4_096
LONGEST_BODY = 65_536
PLAIN = b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n"
SIZED = b"POST /a HTTP/1.1\r\nHost: o\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"POST /b HTTP/1.1\r\nHost: o\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n0\r\nT: 1\r\n\r\n"
)
BROKEN = b"GET /\x00 HTTP/1.1\r\n\r\n"


def reader(most: int = 1 << 20) -> RequestReader:
    return RequestReader(LONGEST_HEAD, LONGEST_BODY, ReadAheadBudget(most))


def taken(requests: RequestReader) -> list[object]:
    """What is whole: the target and body of each request, or the status of what can't be read."""
    found: list[object] = []
    while one := requests.next_request():
        if isinstance(one, ReadFailure):
            found.append(one.error.status)
        else:
            found.append((one.request.target, bytes(one.request.body), one.has_body))
    return found


@given(
    st.lists(st.sampled_from([PLAIN, SIZED, CHUNKED, b"\r\n" + PLAIN]), max_size=6),
    st.lists(st.integers(0, 600), max_size=8),
    st.booleans(),
)
def test_requests_are_the_same_wherever_they_are_split(
    parts: list[bytes], cuts: list[int], broken: bool
) -> None:
    data = b"".join(parts) + (BROKEN if broken else b"")
    whole, split = reader(), reader()
    whole.feed(data, 0.0)
    for start, end in pairwise([0, *sorted(cuts), len(data)]):
        split.feed(data[start:end], 0.0)
    assert whole.has_partial_request == split.has_partial_request and not whole.has_partial_request
    found = taken(split)
    assert found == taken(whole) and len(found) == len(parts) + broken


@given(st.binary(max_size=500))
def test_nonsense_is_told_and_raises_nothing(data: bytes) -> None:
    requests = reader()
    requests.feed(data, 0.0)
    requests.feed(PLAIN, 0.0)
    taken(requests)


def test_the_time_of_a_request_is_that_of_its_last_byte() -> None:
    requests = reader()
    requests.feed(SIZED[:-1], 1.0)
    requests.feed(SIZED[-1:] + PLAIN, 2.0)
    times = [
        one.ended_at
        for one in (requests.next_request(), requests.next_request())
        if isinstance(one, ReceivedRequest)
    ]
    assert times == [2.0, 2.0]


def test_a_flood_is_read_and_not_kept() -> None:
    """Read, so that the connection can be seen to close; what is not kept is answered as busy."""
    budget = ReadAheadBudget(max_bytes=1_000)
    requests = RequestReader(LONGEST_HEAD, LONGEST_BODY, budget)
    body = b"x" * 400
    request = b"POST /a HTTP/1.1\r\nHost: o\r\nContent-Length: 400\r\n\r\n" + body
    for _ in range(10 * MAX_QUEUED_REQUESTS):
        requests.feed(request, 0.0)
    assert budget.buffered_bytes == 800
    found = taken(requests)
    assert found[:3] == [("/a", body, True), ("/a", body, True), ("/a", b"", False)]
    assert len(found) == MAX_QUEUED_REQUESTS + 1 and found[-1] == 503 and budget.buffered_bytes == 0


def test_one_request_ahead_is_always_kept() -> None:
    budget = ReadAheadBudget(max_bytes=0)
    requests = RequestReader(LONGEST_HEAD, LONGEST_BODY, budget)
    requests.feed(SIZED + SIZED, 0.0)
    assert taken(requests) == [("/a", b"hello", True), ("/a", b"", False)]


@pytest.mark.parametrize("after", [b"", PLAIN, BROKEN, SIZED[:-2]])
def test_a_reader_that_is_closed_keeps_nothing(after: bytes) -> None:
    budget = ReadAheadBudget()
    requests = RequestReader(LONGEST_HEAD, LONGEST_BODY, budget)
    requests.feed(SIZED + after, 0.0)
    requests.close()
    requests.feed(SIZED, 0.0)
    assert requests.next_request() is None and not requests.pending and budget.buffered_bytes == 0


def test_a_body_that_waits_to_be_asked_for() -> None:
    requests = reader()
    requests.feed(b"POST / HTTP/1.1\r\nHost: o\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", 0.0)
    assert requests.awaits_continue
    requests.continue_sent()
    requests.feed(b"hi", 1.0)
    assert not requests.awaits_continue and taken(requests) == [("/", b"hi", True)]
