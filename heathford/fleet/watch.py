"""Carries the platform's list and watch calls, to an address that may change while it runs."""

import asyncio
import time
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing, suppress

import structlog

from heathford.fleet.follow import Lines, ListError, Row
from heathford.fleet.instances import ANSWER, LONGEST, SILENCE, Instances
from heathford.wire.http1 import NonsenseError, Response, request

PATH = "/registry/instances"
READ_BYTES = 65_536  # bytes read at once

log = structlog.get_logger()


class Watch:
    """Follows discovery until it is stopped; `changed` gets every change, in order."""

    def __init__(
        self, address: str, port: int, instances: Instances, changed: Callable[[bool, list[Row]], None]
    ) -> None:
        self.address, self.port, self.instances, self.changed = address, port, instances, changed
        self.following: asyncio.Task[None] | None = None
        self.heard = asyncio.Event()  # a whole answer to a list call was taken

    def start(self) -> None:
        self.following = asyncio.get_running_loop().create_task(self.run())

    def stop(self) -> None:
        if self.following:
            self.following.cancel()

    def move(self, address: str, port: int) -> None:
        """Another address from now on: at once, and the watch at the old one is let go."""
        self.stop()
        self.address, self.port = address, port
        self.instances.failures = 0
        self.start()

    async def run(self) -> None:
        while True:
            try:
                await self.list_all()
                await self.follow()
            except (OSError, EOFError, TimeoutError, NonsenseError) as problem:
                wait = self.instances.failed()
                if self.instances.failures < 3:
                    log.warning("discovery", failed=repr(problem), again_in=round(wait, 3))
                await asyncio.sleep(wait)

    def told(self, body: bytes) -> None:
        found = self.instances.told(body, asyncio.get_running_loop().time(), time.time())
        for what, why in self.instances.passed.items():
            log.error("instance passed over", instance=what, why=why)
        if found is not None and (found[0] or found[1]):
            self.changed(*found)

    async def list_all(self) -> None:
        self.told(b"".join([part async for part in self.get(PATH, ANSWER)]))
        self.heard.set()

    async def first(self, within: float) -> bool:
        """Waits for the first whole list, that many s at most; whether it is there."""
        with suppress(TimeoutError):
            await asyncio.wait_for(self.heard.wait(), within)
        return self.heard.is_set()

    async def follow(self) -> None:
        lines = Lines(LONGEST)
        async with aclosing(self.get(f"{PATH}?follow=1&since={self.instances.version}", SILENCE)) as parts:
            async for part in parts:
                for line in lines.feed(part):
                    self.told(line)

    async def get(self, path: str, patience: float) -> AsyncGenerator[bytes, None]:
        """The parts of the body as they come, each within `patience` s; raises ListError for another status
        than 200."""
        writer = None
        try:
            async with asyncio.timeout(patience):
                reader, writer = await asyncio.open_connection(self.address, self.port)
                writer.write(request("GET", path, self.address, {"Accept": "application/json"}, b""))
            response = Response(LONGEST)
            while not response.done:
                async with asyncio.timeout(patience):
                    data = await reader.read(READ_BYTES)
                if not data:
                    raise EOFError("discovery closed")
                for part in response.feed(data):
                    if response.status != 200:
                        raise ListError(f"status {response.status}")
                    yield part
        finally:
            if writer:
                writer.close()
