"""The parser of requests: independent of how bytes are split, strict, and bounded."""

from itertools import repeat

import pytest

from heathford.wire.requests import MAX_FIELDS, Request, RequestError

PLAIN = b"POST /v1/x?a=1 HTTP/1.1\r\nHost: o\r\nX-Call-Id: 7\r\nContent-Length: 4\r\n\r\nabcd"
CHUNKED = (
    b"POST /v1/x HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n3;q=1\r\nabc\r\n1\r\nd\r\n0\r\nT: 1\r\n\r\n"
)
GET = b"GET /health/ready HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n"


def head(*lines: bytes, request_line: bytes = b"POST / HTTP/1.1") -> bytes:
    return b"\r\n".join([request_line, *lines]) + b"\r\n\r\n"


@pytest.mark.parametrize(
    "data, method, target, body, keep",
    [
        (PLAIN, "POST", "/v1/x?a=1", b"abcd", True),
        (CHUNKED, "POST", "/v1/x", b"abcd", True),
        (GET, "GET", "/health/ready", b"", False),
        (b"\r\n\r\n" + PLAIN, "POST", "/v1/x?a=1", b"abcd", True),
        (head(b"Content-Length: 0"), "POST", "/", b"", True),
    ],
)
def test_a_request_does_not_depend_on_how_its_bytes_are_split(
    data: bytes, method: str, target: str, body: bytes, keep: bool
) -> None:
    for split_at in range(len(data) + 1):
        request = Request(1024, 1024)
        request.feed(data[:split_at])
        assert request.done == (split_at == len(data))
        request.feed(data[split_at:] + b"GET /next")
        assert request.done and request.rest == b"GET /next"
        assert (request.method, request.target, bytes(request.body), request.keep_alive) == (
            method,
            target,
            body,
            keep,
        )


@pytest.mark.parametrize(
    "data, status",
    [
        (b"\x16\x03\x01\x02\x00", 400),
        (b"hello\r\n", 400),
        (b"GET  / HTTP/1.1\r\n\r\n", 400),
        (head(request_line=b"GET x HTTP/1.1"), 400),
        (head(request_line=b"GET / HTTP/1.0"), 505),
        (head(request_line=b"GET / HTTP/2.0"), 505),
        (head(request_line=b"GET /\xff HTTP/1.1"), 400),
        (head(b"no colon"), 400),
        (head(b"A : 1"), 400),
        (head(b"A: 1", b" folded"), 400),
        (head(b"A: 1\nB: 2"), 400),
        (head(b"A: \x00"), 400),
        (head(b": 1"), 400),
        (head(b"Content-Length: -1"), 400),
        (head(b"Content-Length: +1"), 400),
        (head(b"Content-Length: 1_0"), 400),
        (head(b"Content-Length: "), 400),
        (head(b"Content-Length: 1, 1"), 400),
        (head(b"Content-Length: 99999999999999999999"), 400),
        (head(b"Content-Length: 62914560"), 413),
        (head(b"Content-Length: 1", b"Content-Length: 1"), 400),
        (head(b"Host: a", b"Host: b"), 400),
        (head(b"Content-Length: 4", b"Transfer-Encoding: chunked"), 400),
        (head(b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"), 400),
        (head(b"Transfer-Encoding: gzip, chunked"), 501),
        (head(b"Transfer-Encoding: xchunked"), 501),
        (head(b"Expect: wonders"), 417),
        (head(b"Transfer-Encoding: chunked") + b"-1\r\n", 400),
        (head(b"Transfer-Encoding: chunked") + b"0x1\r\n", 400),
        (head(b"Transfer-Encoding: chunked") + b"1\r\nab\r\n", 400),
        (head(b"Transfer-Encoding: chunked") + b"C0000000\r\n", 400),
        (head(b"Transfer-Encoding: chunked") + b"400\r\n" + b"a" * 1024 + b"\r\n1\r\nb\r\n", 413),
        (b"GET / HTTP/1.1\r\n" + b"A: 1\r\n" * 400, 431),
        (b"GET /" + b"a" * 2000, 431),
    ],
)
def test_ambiguous_and_malformed_requests_are_refused(data: bytes, status: int) -> None:
    for step in (len(data), 1):
        request = Request(1024, 1024)
        with pytest.raises(RequestError) as refused:
            for at in range(0, len(data), step):
                request.feed(data[at : at + step])
        assert refused.value.status == status


CHUNKED_HEAD = head(b"Transfer-Encoding: chunked")
FAR_TOO_MUCH = 1 << 20  # bytes


@pytest.mark.parametrize(
    "start, part, status",
    [
        (CHUNKED_HEAD + b"0\r\n", b"a:\r\n", 431),
        (CHUNKED_HEAD + b"0\r\n", b"a: %b\r\n" % (b"x" * 900), 431),
        (b"", b"\r\n", 400),
        (CHUNKED_HEAD, b"1;%b\r\na\r\n" % (b"x" * 900), 400),
        (CHUNKED_HEAD, b"1\r\na\r\n", 400),
        (b"POST / HTTP/1.1\r\n", b"a:\r\n", 431),
    ],
    ids=["trailers", "long trailers", "empty lines", "extensions", "tiny chunks", "fields"],
)
def test_a_request_without_end_is_refused(start: bytes, part: bytes, status: int) -> None:
    """Parts beside the body had no bound: such a client was never answered, and took the loop's time."""
    for count in (1, 1_000):
        request, size = Request(1024, 1 << 30), 0
        request.feed(start)
        with pytest.raises(RequestError) as refused:
            for data in repeat(part * count):
                size += len(part)
                assert size < FAR_TOO_MUCH
                request.feed(data)
        assert refused.value.status == status


def test_a_head_of_hundreds_of_fields_is_refused() -> None:
    """Each field costs time, and 1,800 short ones fit into the bytes that a head may have."""
    data = head(*[b"a%d:" % number for number in range(MAX_FIELDS)])
    Request(16_384, 1024).feed(data)
    with pytest.raises(RequestError) as refused:
        Request(16_384, 1024).feed(data[:-2] + b"a:\r\n\r\n")
    assert refused.value.status == 431


def test_what_usual_requests_bring_beside_the_body_is_accepted() -> None:
    """The bounds leave room for a whole body in small chunks, for extensions, trailers and empty lines."""
    body = b"x" * 262_144
    chunk = b"20;a=1\r\n" + b"x" * 32 + b"\r\n"
    request = Request(16_384, len(body))
    data = chunk * 4_000 + b"%x\r\n" % (len(body) - 128_000) + body[128_000:] + b"\r\n0\r\nT: 1\r\n\r\n"
    request.feed(b"\r\n\r\n" + CHUNKED_HEAD + data)
    assert request.done and bytes(request.body) == body


def test_a_client_that_awaits_100_continue() -> None:
    request = Request(1024, 1024)
    request.feed(head(b"Expect: 100-continue", b"Content-Length: 2"))
    assert request.expects_continue and not request.done
    request.feed(b"ab")
    assert request.done
