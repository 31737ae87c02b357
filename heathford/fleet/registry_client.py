"""Follow the endpoint list of the registry over HTTP."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Callable

import structlog
from tornado.iostream import IOStream, StreamClosedError

from heathford.fleet.list_watch import WATCH_TIMEOUT, RegistryFollower, LineSplitter, ListError, EndpointEntry
from heathford.wire.http1 import MalformedMessageError, Response, encode_request

PATH = "/api/v1/engines"
READ_BYTES = 65_536  # bytes read at once
LIST_TIMEOUT = 30.0  # s for a whole list, which has some MB at most
MAX_LIST_BYTES = 16_777_216  # a list of tens of thousands of engines

log = structlog.get_logger()


class RegistryClient:
    """Follows the endpoint list of a registry until its task is cancelled.

    changed: called with each change, in order, and whether it is the whole list. source: the local address to
    connect from, or empty.
    """

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
        self.first_list = asyncio.Event()  # set once the first whole list has been applied

    async def run(self) -> None:
        """Fetch the list, then watch it; start again after each failure, with a delay."""
        while True:
            try:
                if not self.follower.version:
                    await self.list_all()
                await self.watch()
            except (StreamClosedError, OSError, MalformedMessageError) as error:
                delay = self.follower.next_retry_delay()
                log.warning(
                    "following the endpoint list failed", failed=repr(error), again_in=round(delay, 3)
                )
                await asyncio.sleep(delay)

    async def list_all(self) -> None:
        async with asyncio.timeout(LIST_TIMEOUT):
            body = b"".join([part async for part in self.get(PATH)])
        entries = self.follower.apply_list(body, asyncio.get_running_loop().time(), time.time())
        for item, reason in self.follower.skipped.items():
            log.error("engine passed over", engine=item, why=reason)
        self.changed(True, entries)
        self.first_list.set()

    async def watch(self) -> None:
        """Apply events until the watch ends. Raises TimeoutError where no whole line comes in time.

        A byte shows that a process writes, not that events come.
        """
        loop, splitter = asyncio.get_running_loop(), LineSplitter(MAX_LIST_BYTES)
        path = f"{PATH}?watch=1&allowWatchBookmarks=true&resourceVersion={self.follower.version}"
        async with asyncio.timeout(WATCH_TIMEOUT) as limit:
            async for part in self.get(path):
                for line in splitter.feed(part):
                    limit.reschedule(loop.time() + WATCH_TIMEOUT)
                    entries = self.follower.apply_event(line, loop.time(), time.time())
                    if entries is None:
                        return
                    if entries:
                        self.changed(False, entries)

    async def get(self, path: str) -> AsyncIterator[bytes]:
        """Yield the parts of the response body as they arrive; the caller limits the time.

        Raises ListError for any status but 200, StreamClosedError and OSError.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if self.source:
            sock.bind((self.source, 0))
        stream = IOStream(sock)
        try:
            await stream.connect((self.address, self.port))
            await stream.write(encode_request("GET", path, self.address, {"Accept": "application/json"}, b""))
            response = Response(MAX_LIST_BYTES)
            while not response.done:
                data = await stream.read_bytes(READ_BYTES, partial=True)
                for part in response.feed(data):
                    if response.status == 410:
                        self.follower.version = 0
                    if response.status != 200:
                        raise ListError(f"status {response.status}")
                    yield part
        finally:
            stream.close()
