"""Client of the files and batches API over HTTP, for asyncio and blocking code."""

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

CONNECT_TIMEOUT = 2.0  # s
# s without a byte of a body; long, because a front node syncs an upload to disk before it answers
MAX_SILENCE = 60.0
CHUNK_BYTES = 256 << 10  # of a file sent at once
MAX_HEAD_BYTES = 1 << 20  # of a response head
POLL_INTERVALS = 0.5, 10.0  # s between two polls of a batch: the first and the longest
FINAL_STATUSES = ("completed", "failed", "expired", "cancelled")
MAX_TRIES = 4  # attempts of a call that is safe to repeat: get, fetch, cancel
RETRY_PAUSE = 0.5  # s before the first retry, doubled each time


class Batches:
    """The files and batches of one front node; no other front node knows them.

    address: http://HOST:PORT or https://HOST:PORT; member: the tenant that owns them.
    """

    def __init__(self, address: str, member: str = "", tls: ssl.SSLContext | None = None) -> None:
        self.address, self.member, self.tls = address, member, tls
        self.url = urlsplit(address)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Do nothing: no connection is kept between calls."""

    # Calls of the API.

    async def upload(self, path: Path, told: Callable[[int], None] = lambda sent: None) -> dict[str, Any]:
        """Upload a file; return its description. Raises NoFront, Aborted or BadRequest.

        told: called with the number of bytes sent so far. Not retried, because an upload whose answer was
        lost may exist; the list of files shows it.
        """
        boundary = uuid.uuid4().hex
        name = path.name.replace('"', "_").replace("\r", "_").replace("\n", "_")
        head = (
            f'--{boundary}\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n--{boundary}\r\n'
            f'Content-Disposition: form-data; name="file"; filename="{name}"\r\n'
            f"Content-Type: application/jsonl\r\n\r\n"
        ).encode()
        tail = f"\r\n--{boundary}--\r\n".encode()
        size = path.stat().st_size

        async def send(stream: IOStream) -> None:
            await stream.write(head)
            sent = 0
            with path.open("rb") as file:
                while data := file.read(CHUNK_BYTES):
                    await stream.write(data)
                    sent += len(data)
                    told(sent)
            if sent != size:
                raise BadRequest(f"{path} changed during the upload")
            await stream.write(tail)

        return await self.json(
            "POST",
            "/v1/files",
            {
                "Content-Type": f"multipart/form-data; boundary={boundary}",
                "Content-Length": str(len(head) + size + len(tail)),
            },
            send,
        )

    async def submit(
        self, file: str, window: str = "24h", metadata: dict[str, str] | None = None
    ) -> dict[str, Any]:
        """Create a batch. Not retried, because a second call would create a second batch."""
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
        result: dict[str, Any] = await self.again(lambda: self.json("GET", f"/v1/batches/{batch}", {}))
        return result

    async def watch(self, batch: str) -> AsyncIterator[dict[str, Any]]:
        """Yield the batch each time it has changed, until it has a final status.

        A front node that can't be reached is retried as in get().
        """
        wait, last = POLL_INTERVALS[0], ""
        while True:
            result = await self.get(batch)
            shown = repr((result["status"], result["request_counts"]))
            if shown != last:
                wait, last = POLL_INTERVALS[0], shown
                yield result
            if result["status"] in FINAL_STATUSES:
                return
            await asyncio.sleep(wait)
            wait = min(1.5 * wait, POLL_INTERVALS[1])

    async def cancel(self, batch: str) -> dict[str, Any]:
        result: dict[str, Any] = await self.again(lambda: self.post(f"/v1/batches/{batch}/cancel", {}))
        return result

    async def fetch(self, file: str, to: Path) -> int:
        """Write a file's content to a path, completely or not at all; return its size in bytes."""
        partial = to.with_name(to.name + ".part")

        async def once() -> int:
            size = 0
            with partial.open("wb") as output:

                def keep(data: bytes) -> None:
                    nonlocal size
                    output.write(data)
                    size += len(data)

                await self.exchange("GET", f"/v1/files/{file}/content", {}, None, keep)
            return size

        try:
            result: int = await self.again(once)
            partial.replace(to)
        finally:
            partial.unlink(missing_ok=True)
        return result

    async def delete(self, file: str) -> dict[str, Any]:
        return await self.json("DELETE", f"/v1/files/{file}", {})

    async def entries(self, what: str) -> AsyncIterator[dict[str, Any]]:
        """Yield all files or batches, newest first; what: "files" or "batches"."""
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

    # HTTP.

    async def again(self, once: Callable[[], Any]) -> Any:
        """Make a call that is safe to repeat; retry it if the front node or the answer was lost."""
        for tried in range(MAX_TRIES):
            try:
                return await once()
            except (NoFront, Aborted):
                if tried + 1 == MAX_TRIES:
                    raise
                await asyncio.sleep(RETRY_PAUSE * 2**tried)
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
            result: dict[str, Any] = orjson.loads(bytes(body))
        except orjson.JSONDecodeError:
            raise Aborted("the answer is not valid JSON") from None
        return result

    async def exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        send: Callable[[IOStream], Any] | None,
        keep: Callable[[bytes], Any],
    ) -> None:
        """Make one HTTP request. Raises NoFront, BadRequest, or Aborted if the request may have been done."""
        host, secure = str(self.url.hostname), self.url.scheme == "https"
        tls = (self.tls or ssl.create_default_context()) if secure else None
        try:
            stream = await TCPClient().connect(
                host, self.url.port or (443 if secure else 80), timeout=CONNECT_TIMEOUT, ssl_options=tls
            )
        except (TimeoutError, OSError, StreamClosedError) as error:
            raise NoFront(f"{self.address}: {error!r}") from None
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.url.netloc}", "Connection: close"]
        lines += [f"Heathford-Member: {self.member}"] * bool(self.member)
        lines += [f"{name}: {value}" for name, value in headers.items()]
        try:
            await stream.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            if send:
                await send(stream)
            await self.answer(stream, keep)
        except (StreamClosedError, MalformedMessageError, TimeoutError) as error:
            raise Aborted(f"the connection was lost: {error!r}") from None
        finally:
            stream.close()

    async def answer(self, stream: IOStream, keep: Callable[[bytes], Any]) -> None:
        """Read a response; keep: called with the body of a success. Raises BadRequest or Aborted."""
        loop = asyncio.get_running_loop()
        response, error_body = Response(MAX_HEAD_BYTES), bytearray()
        async with asyncio.timeout(MAX_SILENCE) as limit:
            while not response.done:
                for part in response.feed(await stream.read_bytes(CHUNK_BYTES, partial=True)):
                    limit.reschedule(loop.time() + MAX_SILENCE)
                    if response.status == 200:
                        keep(part)
                    else:
                        error_body += part
        if response.status != 200:
            try:
                why = str(orjson.loads(bytes(error_body))["detail"])
            except (orjson.JSONDecodeError, KeyError, TypeError):
                why = f"status {response.status}"
            if response.status >= 500:
                raise Aborted(why)
            raise BadRequest(why)


class BlockingBatches:
    """Batches for blocking code: each call runs its own event loop."""

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
        """Yield the batch each time it has changed, until it has a final status."""
        with asyncio.Runner() as runner:
            watching = self.batches.watch(batch)
            while True:
                try:
                    yield runner.run(anext(watching))  # type: ignore[arg-type]
                except StopAsyncIteration:
                    return
