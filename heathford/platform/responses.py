"""Whole responses and the parts of a streamed one, as bytes; no I/O."""

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%b\r\n"
CLOSING = b"Connection: close\r\n"


def whole(status: int, text: str, close: bool, more: str = "") -> bytes:
    body = text.encode() + b"\n"
    closing = "Connection: close\r\n" if close else ""
    return (
        f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: text/plain\r\n"
        f"Content-Length: {len(body)}\r\n{closing}{more}\r\n"
    ).encode() + body
