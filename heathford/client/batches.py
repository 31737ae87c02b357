"""Files and batches over HTTP: submit, watch, fetch, cancel; the same in the blocking form."""

import asyncio
import ssl
import uuid
from collections.abc import AsyncIterator, Callable, Iterator
from pathlib import Path
from typing import Any, Self
from urllib.parse import urlsplit

import orjson
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from heathford.client.answers import Aborted, BadRequest, NoFront
from heathford.wire.http1 import MalformedMessageError, Response

CONNECT = 2.0  # s
SILENCE = 60.0  # s that a front may say nothing: it syncs an upload before it answers
CHUNK = 256 << 10  # bytes of a file sent at once
LONGEST = 1 << 20  # bytes of a head
POLL = 0.5, 10.0  # s between two looks at a batch, at first and at the most
FINAL_STATUSES = ("completed", "failed", "expired", "cancelled")
TRIES = 4  # of what changes nothing, or may be done twice: looks, fetches, cancels
PAUSE = 0.5  # s between them, doubled


class Batches:
    """One front's files and batches: they are where they were sent. address: http(s)://HOST:PORT"""

    def __init__(self, address: str, member: str = "", tls: ssl.SSLContext | None = None) -> None:
        self.address, self.member, self.tls = address, member, tls
        self.url = urlsplit(address)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *problem: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Nothing is kept open between calls."""

    # What is asked.

    async def upload(self, path: Path, told: Callable[[int], None] = lambda sent: None) -> dict[str, Any]:
        """Streams the file; told: gets the bytes sent so far. Not tried again by itself: an upload whose
        answer is lost may be there, and lists show it."""
        mark = uuid.uuid4().hex
        name = path.name.replace('"', "_").replace("\r", "_").replace("\n", "_")
        head = (
            f'--{mark}\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n--{mark}\r\n'
            f'Content-Disposition: form-data; name="file"; filename="{name}"\r\n'
            f"Content-Type: application/jsonl\r\n\r\n"
        ).encode()
        tail = f"\r\n--{mark}--\r\n".encode()
        size = path.stat().st_size

        async def send(stream: IOStream) -> None:
            await stream.write(head)
            sent = 0
            with path.open("rb") as file:
                while data := file.read(CHUNK):
                    await stream.write(data)
                    sent += len(data)
                    told(sent)
            if sent != size:
                raise BadRequest(f"{path} changed while it was sent")
            await stream.write(tail)

        return await self.json(
            "POST",
            "/v1/files",
            {
                "Content-Type": f"multipart/form-data; boundary={mark}",
                "Content-Length": str(len(head) + size + len(tail)),
            },
            send,
        )

    async def submit(
        self, file: str, window: str = "24h", metadata: dict[str, str] | None = None
    ) -> dict[str, Any]:
        """Begins a batch. Not tried again by itself: two would be two."""
        return await self.post(
            "/v1/batches",
            {
                "input_file_id": file,
                "endpoint": "/v1/completions",
                "completion_window": window,
                **({"metadata": metadata} if metadata else {}),
            },
        )

    async def get(self, batch: str) -> dict[str, Any]:
        found: dict[str, Any] = await self.again(lambda: self.json("GET", f"/v1/batches/{batch}", {}))
        return found

    async def watch(self, batch: str) -> AsyncIterator[dict[str, Any]]:
        """The batch each time it has changed, until it is over. A front that is away is waited for."""
        wait, last = POLL[0], ""
        while True:
            found = await self.get(batch)
            shown = repr((found["status"], found["request_counts"]))
            if shown != last:
                wait, last = POLL[0], shown
                yield found
            if found["status"] in FINAL_STATUSES:
                return
            await asyncio.sleep(wait)
            wait = min(1.5 * wait, POLL[1])

    async def cancel(self, batch: str) -> dict[str, Any]:
        found: dict[str, Any] = await self.again(lambda: self.post(f"/v1/batches/{batch}/cancel", {}))
        return found

    async def fetch(self, file: str, to: Path) -> int:
        """Writes a file's content, whole or not at all; its bytes."""
        part = to.with_name(to.name + ".part")

        async def once() -> int:
            size = 0
            with part.open("wb") as out:

                def keep(data: bytes) -> None:
                    nonlocal size
                    out.write(data)
                    size += len(data)

                await self.exchange("GET", f"/v1/files/{file}/content", {}, None, keep)
            return size

        try:
            found: int = await self.again(once)
            part.replace(to)
        finally:
            part.unlink(missing_ok=True)
        return found

    async def delete(self, file: str) -> dict[str, Any]:
        return await self.json("DELETE", f"/v1/files/{file}", {})

    async def entries(self, what: str) -> AsyncIterator[dict[str, Any]]:
        """All files or batches ("files", "batches"), page by page, newest first."""
        after = ""
        while True:
            page = await self.again(
                lambda after=after: self.json(  # type: ignore[misc]
                    "GET", f"/v1/{what}?limit=100{after}", {}
                )
            )
            for entry in page["data"]:
                yield entry
            if not page["has_more"]:
                return
            after = f"&after={page['last_id']}"

    # How it is carried.

    async def again(self, once: Callable[[], Any]) -> Any:
        """For what does no harm twice."""
        for tried in range(TRIES):
            try:
                return await once()
            except (NoFront, Aborted):
                if tried + 1 == TRIES:
                    raise
                await asyncio.sleep(PAUSE * 2**tried)
        raise AssertionError

    async def post(self, path: str, value: dict[str, Any]) -> dict[str, Any]:
        data = orjson.dumps(value)

        async def send(stream: IOStream) -> None:
            await stream.write(data)

        return await self.json(
            "POST", path, {"Content-Type": "application/json", "Content-Length": str(len(data))}, send
        )

    async def json(
        self, method: str, path: str, headers: dict[str, str], send: Callable[[IOStream], Any] | None = None
    ) -> dict[str, Any]:
        body = bytearray()
        await self.exchange(method, path, headers, send, body.extend)
        try:
            found: dict[str, Any] = orjson.loads(bytes(body))
        except orjson.JSONDecodeError:
            raise Aborted("no JSON came") from None
        return found

    async def exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        send: Callable[[IOStream], Any] | None,
        keep: Callable[[bytes], Any],
    ) -> None:
        """Raises NoFront, BadRequest, or Aborted where it can't be known what was done."""
        host, secure = str(self.url.hostname), self.url.scheme == "https"
        tls = (self.tls or ssl.create_default_context()) if secure else None
        try:
            stream = await TCPClient().connect(
                host, self.url.port or (443 if secure else 80), timeout=CONNECT, ssl_options=tls
            )
        except (TimeoutError, OSError, StreamClosedError) as problem:
            raise NoFront(f"{self.address}: {problem!r}") from None
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.url.netloc}", "Connection: close"]
        lines += [f"Heathford-Member: {self.member}"] * bool(self.member)
        lines += [f"{name}: {value}" for name, value in headers.items()]
        try:
            await stream.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            if send:
                await send(stream)
            await self.answer(stream, keep)
        except (StreamClosedError, MalformedMessageError, TimeoutError) as problem:
            raise Aborted(f"the connection was lost: {problem!r}") from None
        finally:
            stream.close()

    async def answer(self, stream: IOStream, keep: Callable[[bytes], Any]) -> None:
        response, wrong = Response(LONGEST), bytearray()
        while not response.done:
            async with asyncio.timeout(SILENCE):
                data = await stream.read_bytes(CHUNK, partial=True)
            for part in response.feed(data):
                if response.status == 200:
                    keep(part)
                else:
                    wrong += part
        if response.status != 200:
            try:
                why = str(orjson.loads(bytes(wrong))["detail"])
            except (orjson.JSONDecodeError, KeyError, TypeError):
                why = f"status {response.status}"
            if response.status >= 500:
                raise Aborted(why)
            raise BadRequest(why)


class BlockingBatches:
    """The same without asyncio: each call runs a loop of its own."""

    def __init__(self, address: str, member: str = "", tls: ssl.SSLContext | None = None) -> None:
        self.batches = Batches(address, member, tls)

    def upload(self, path: Path) -> dict[str, Any]:
        return asyncio.run(self.batches.upload(path))

    def submit(self, file: str, window: str = "24h") -> dict[str, Any]:
        return asyncio.run(self.batches.submit(file, window))

    def get(self, batch: str) -> dict[str, Any]:
        return asyncio.run(self.batches.get(batch))

    def cancel(self, batch: str) -> dict[str, Any]:
        return asyncio.run(self.batches.cancel(batch))

    def fetch(self, file: str, to: Path) -> int:
        return asyncio.run(self.batches.fetch(file, to))

    def watch(self, batch: str) -> Iterator[dict[str, Any]]:
        """The batch each time it has changed, until it is over."""
        with asyncio.Runner() as runner:
            watching = self.batches.watch(batch)
            while True:
                try:
                    yield runner.run(anext(watching))  # type: ignore[arg-type]
                except StopAsyncIteration:
                    return
