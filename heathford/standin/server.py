"""A small HTTP/1.1 server over raw streams, which lets a stand-in break a connection at any byte."""

import asyncio
import socket
import ssl
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

MAX_HEAD_BYTES = 65_536  # bytes


class Exchange:
    """One request and the methods to answer it, at once or in chunks."""

    def __init__(
        self, stream: IOStream, peer: str, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.peer = peer  # host of the client
        self.stream, self.method, self.path, self.headers, self.body = stream, method, path, headers, body
        self.peer_closed = False  # the client has closed the connection

    def json(self) -> Any:
        """Return the decoded body, or None if it is not JSON."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError:
            return None

    def write(self, data: bytes) -> None:
        if not self.stream.closed():
            self.stream.write(data)

    def head(self, status: int, headers: dict[str, str]) -> None:
        lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
        self.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    def respond(self, status: int, value: Any, headers: dict[str, str] | None = None) -> None:
        """Send a whole response with the value as JSON, or without a body if it is None."""
        body = b"" if value is None else orjson.dumps(value)
        length = {} if status == 204 else {"Content-Length": str(len(body))}
        self.head(status, {"Content-Type": "application/json", **length, **(headers or {})})
        self.write(body)

    def chunk(self, data: bytes) -> None:
        self.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self, trailers: dict[str, str] | None = None) -> None:
        lines = "".join(f"{k}: {v}\r\n" for k, v in (trailers or {}).items())
        self.write(b"0\r\n" + lines.encode() + b"\r\n")


class Server(TCPServer):
    """A server that calls `handler` for each request, one after the other on each connection.

    While `silent`, it reads requests and answers none.
    """

    def __init__(
        self, handler: Callable[[Exchange], Awaitable[None]], tls: ssl.SSLContext | None = None
    ) -> None:
        super().__init__(ssl_options=tls)
        self.handler = handler
        self.streams: dict[IOStream, None] = {}
        self.silent = False
        self.port = 0

    def open(self, address: str, port: int = 0) -> None:
        """Start to listen; port 0 takes an ephemeral port."""
        sockets = bind_sockets(port, address, backlog=1024)
        self.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        self.streams[stream] = None
        stream.set_nodelay(True)
        try:
            while True:
                await self.handle_request(stream, str(address[0]))
        except (StreamClosedError, ValueError):
            stream.close()
        finally:
            self.streams.pop(stream, None)

    async def handle_request(self, stream: IOStream, peer: str) -> None:
        head = (await stream.read_until(b"\r\n\r\n", max_bytes=MAX_HEAD_BYTES)).decode("latin-1")
        request_line, *lines = head[:-4].split("\r\n")
        method, path, _ = request_line.split(" ")
        headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        body = await stream.read_bytes(int(headers.get("content-length", "0")))
        while self.silent:
            await asyncio.sleep(0.02)
        exchange = Exchange(stream, peer, method, path, headers, body)

        def closed() -> None:
            exchange.peer_closed = True

        stream.set_close_callback(closed)
        await self.handler(exchange)
        stream.set_close_callback(None)

    def reset_connections(self) -> None:
        """Close every connection by a TCP reset, as when the process is killed."""
        for stream in list(self.streams):
            if stream.socket:
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            stream.close()
