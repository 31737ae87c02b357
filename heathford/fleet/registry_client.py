"""Carries list and watch calls to the registry."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Callable

import structlog
from tornado.iostream import IOStream, StreamClosedError

from heathford.fleet.list_watch import SILENCE, RegistryFollower, Lines, ListError, EndpointEntry
from heathford.wire.http1 import MalformedMessageError, Response, encode_request

PATH = "/api/v1/engines"
READ_BYTES = 65_536  # bytes read at once
LONGEST = 16_777_216  # bytes of a list: tens of thousands of engines

log = structlog.get_logger()


class RegistryClient:
    """Follows the list at an address until it is stopped; `changed` gets every change, in order."""

    def __init__(
        self,
        address: str,
        port: int,
        follower: RegistryFollower,
        changed: Callable[[bool, list[EndpointEntry]], None],
        source: str = "",
    ) -> None:
        self.address, self.port, self.follower, self.changed = address, port, follower, changed
        self.source = source
        self.first_list = asyncio.Event()  # the first list is there

    async def run(self) -> None:
        while True:
            try:
                if not self.follower.version:
                    await self.list_all()
                await self.watch()
            except (StreamClosedError, OSError, MalformedMessageError) as problem:
                wait = self.follower.failed()
                log.warning("list of engines", failed=repr(problem), again_in=round(wait, 3))
                await asyncio.sleep(wait)

    async def list_all(self) -> None:
        body = b"".join([part async for part in self.get(PATH)])
        rows = self.follower.listed(body, asyncio.get_running_loop().time(), time.time())
        for what, why in self.follower.passed.items():
            log.error("engine passed over", engine=what, why=why)
        self.changed(True, rows)
        self.first_list.set()

    async def watch(self) -> None:
        lines = Lines(LONGEST)
        path = f"{PATH}?watch=1&allowWatchBookmarks=true&resourceVersion={self.follower.version}"
        async for part in self.get(path):
            for line in lines.feed(part):
                rows = self.follower.watched(line, asyncio.get_running_loop().time(), time.time())
                if rows is None:
                    return
                if rows:
                    self.changed(False, rows)

    async def get(self, path: str) -> AsyncIterator[bytes]:
        """The parts of the body as they come; raises ListError for another status than 200."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if self.source:
            sock.bind((self.source, 0))
        stream = IOStream(sock)
        try:
            async with asyncio.timeout(SILENCE):
                await stream.connect((self.address, self.port))
                await stream.write(
                    encode_request("GET", path, self.address, {"Accept": "application/json"}, b"")
                )
            response = Response(LONGEST)
            while not response.done:
                async with asyncio.timeout(SILENCE):
                    data = await stream.read_bytes(READ_BYTES, partial=True)
                for part in response.feed(data):
                    if response.status == 410:
                        self.follower.version = 0
                    if response.status != 200:
                        raise ListError(f"status {response.status}")
                    yield part
        finally:
            stream.close()
