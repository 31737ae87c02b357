"""A small HTTP/1.1 server over raw streams, so that a stand-in can break off anywhere."""

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

LONGEST_HEAD = 65_536  # bytes


class Exchange:
    """One request and the means to answer it, whole or in chunks."""

    def __init__(
        self, stream: IOStream, peer: str, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.peer = peer  # the other side's host
        self.stream, self.method, self.path, self.headers, self.body = stream, method, path, headers, body
        self.gone = False  # the other side has closed

    def json(self) -> Any:
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
    """Calls `answer` for each request, one after the other on a connection."""

    def __init__(
        self, answer: Callable[[Exchange], Awaitable[None]], tls: ssl.SSLContext | None = None
    ) -> None:
        super().__init__(ssl_options=tls)
        self.answer = answer
        self.streams: dict[IOStream, None] = {}
        self.silent = False
        self.port = 0

    def open(self, address: str, port: int = 0) -> None:
        sockets = bind_sockets(port, address, backlog=1024)
        self.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        self.streams[stream] = None
        stream.set_nodelay(True)
        try:
            while True:
                await self.one(stream, str(address[0]))
        except (StreamClosedError, ValueError):
            stream.close()
        finally:
            self.streams.pop(stream, None)

    async def one(self, stream: IOStream, peer: str) -> None:
        head = (await stream.read_until(b"\r\n\r\n", max_bytes=LONGEST_HEAD)).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        method, path, _ = first.split(" ")
        headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        body = await stream.read_bytes(int(headers.get("content-length", "0")))
        while self.silent:
            await asyncio.sleep(0.02)
        exchange = Exchange(stream, peer, method, path, headers, body)

        def closed() -> None:
            exchange.gone = True

        stream.set_close_callback(closed)
        await self.answer(exchange)
        stream.set_close_callback(None)

    def reset_all(self) -> None:
        """Every connection ends by a reset, as when the process is killed."""
        for stream in list(self.streams):
            if stream.socket:
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            stream.close()
