"""The parser of requests: independent of how bytes are split, and strict."""

import pytest

from heathford.wire.requests import RequestError, Request

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


def test_a_client_that_awaits_100_continue() -> None:
    request = Request(1024, 1024)
    request.feed(head(b"Expect: 100-continue", b"Content-Length: 2"))
    assert request.expects_continue and not request.done
    request.feed(b"ab")
    assert request.done
