"""Completions over HTTP/1.1: POST /v1/completions, streamed as server-sent events."""

import asyncio
import ssl
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import urlsplit

import orjson
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from heathford.client.answers import BadRequest
from heathford.client.base import Client, AttemptError
from heathford.client.retry import FailureKind
from heathford.wire.event_stream import EventStream
from heathford.wire.http1 import MalformedMessageError, Response, json_object, encode_request

CONNECT_TIMEOUT = 1.0  # s in which a running front node accepts a connection
ANSWER_GRACE = 0.5  # s after the deadline in which the front node's final answer may still arrive
MAX_SILENCE = 30.0  # s without an event after which a stream counts as lost
PROTOCOL_VERSION = "2"  # of the protocol; a service of the previous version ignores the header
MAX_PART_BYTES = 1 << 20  # of a response head or of one event
READ_BYTES = 65_536


class HttpClient(Client):
    """A client over HTTP/1.1; addresses: http://HOST:PORT or https://HOST:PORT."""

    def __init__(self, addresses: Sequence[str], *args: Any, **more: Any) -> None:
        super().__init__(addresses, *args, **more)
        self.idle: dict[int, list[IOStream]] = {}

    async def connection(self, front: int) -> IOStream:
        """Return an idle connection to a front node, or a new one. Raises AttemptError."""
        idle = self.idle.setdefault(front, [])
        while idle:
            stream = idle.pop()
            stream.set_close_callback(None)
            if not stream.closed():
                return stream
        url = urlsplit(self.addresses[front])
        try:
            secure = (self.tls or ssl.create_default_context()) if url.scheme == "https" else None
            stream = await TCPClient().connect(
                str(url.hostname),
                url.port or (443 if secure else 80),
                timeout=CONNECT_TIMEOUT,
                ssl_options=secure,
            )
        except (TimeoutError, OSError, StreamClosedError) as error:
            raise AttemptError(FailureKind.UNREACHED, f"{self.addresses[front]}: {error!r}") from None
        stream.set_nodelay(True)
        return stream

    async def once(
        self, front: int, params: dict[str, Any], timeout: float, tell: Callable[[str, str], None]
    ) -> tuple[str, str, Any]:
        body = {k: v for k, v in params.items() if k != "idempotency_key"}
        body |= {"timeout": timeout, "stream": True, "stream_options": {"include_usage": True}}
        data = encode_request(
            "POST",
            "/v1/completions",
            urlsplit(self.addresses[front]).netloc,
            {"Idempotency-Key": params["idempotency_key"], "Heathford-Version": PROTOCOL_VERSION},
            orjson.dumps(body),
        )
        stream = await self.connection(front)
        try:
            await stream.write(data)
            result = await self.answer(stream, timeout, tell)
        except StreamClosedError as error:
            raise AttemptError(FailureKind.LOST, f"the connection was lost: {error.real_error}") from None
        except MalformedMessageError as error:
            stream.close()
            raise AttemptError(FailureKind.LOST, f"the answer is not valid HTTP: {error}") from None
        except BaseException:
            stream.close()  # so that the front node notices that its client has left
            raise
        if stream.closed():
            return result
        self.idle.setdefault(front, []).append(stream)
        stream.set_close_callback(lambda: None)  # makes tornado notice a close while the connection is idle
        return result

    async def answer(
        self, stream: IOStream, timeout: float, tell: Callable[[str, str], None]
    ) -> tuple[str, str, Any]:
        """Read the response of one attempt. Raises AttemptError, or BadRequest for an invalid request."""
        try:
            async with asyncio.timeout(timeout + ANSWER_GRACE) as limit:
                return await self.read_answer(stream, limit, tell)
        except TimeoutError:
            raise AttemptError(FailureKind.LOST, "the front node did not answer in time") from None

    async def read_answer(
        self, stream: IOStream, limit: asyncio.Timeout, tell: Callable[[str, str], None]
    ) -> tuple[str, str, Any]:
        """Read the response within the limit, which each event renews. Raises as `answer` does."""
        loop = asyncio.get_running_loop()
        response, events = Response(MAX_PART_BYTES), EventStream(MAX_PART_BYTES)
        body = bytearray()
        completion, reason, usage = "", "", dict[str, Any]()
        why, retry = "", ""
        while not response.done:
            for part in response.feed(await stream.read_bytes(READ_BYTES, partial=True)):
                if response.status != 200:
                    body += part
                    continue
                for event in events.feed(part):
                    if event.data is None:
                        continue
                    limit.reschedule(loop.time() + MAX_SILENCE)
                    if event.ends_stream:
                        continue
                    message = json_object(event.data)
                    if "error" in message:
                        why, retry = message["error"]["message"], str(message.get("retry") or "")
                        continue
                    completion, usage = message["id"], message.get("usage") or usage
                    for choice in message["choices"]:
                        reason = choice["finish_reason"] or reason
                        if choice["text"]:
                            tell(completion, choice["text"])
        if response.status != 200:
            self.fail(response.status, bytes(body))
        if why:
            raise AttemptError(FailureKind.ABORTED, why, 0.0, retry, completion)
        if not events.finished:
            raise AttemptError(FailureKind.LOST, "the stream ended without its end mark")
        return completion, reason, usage

    def fail(self, status: int, body: bytes) -> None:
        """Raise AttemptError or BadRequest for a response with an error status."""
        try:
            message = json_object(body)
        except MalformedMessageError:
            message = {}
        why = str(message.get("detail") or f"status {status}")
        retry, completion = str(message.get("retry") or ""), str(message.get("completion") or "")
        if status == 429:
            raise AttemptError(
                FailureKind.REFUSED, why, float(message.get("retry_after") or 0.0), retry, completion
            )
        if 400 <= status < 500:
            raise BadRequest(why)
        raise AttemptError(FailureKind.ABORTED, why, 0.0, retry, completion)

    async def close(self) -> None:
        for streams in self.idle.values():
            for stream in streams:
                stream.close()
        self.idle.clear()
