"""Encode responses to clients as HTTP/1.1 bytes; no I/O."""

REASON_PHRASES = {
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
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%b\r\n"
CLOSE_HEADER = b"Connection: close\r\n"


def full_response(status: int, text: str, close: bool, extra_headers: str = "") -> bytes:
    """Encode a plain-text response with its length. extra_headers: lines that each end with CRLF."""
    body = text.encode() + b"\n"
    close_header = "Connection: close\r\n" if close else ""
    return (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\nContent-Type: text/plain\r\n"
        f"Content-Length: {len(body)}\r\n{close_header}{extra_headers}\r\n"
    ).encode() + body
