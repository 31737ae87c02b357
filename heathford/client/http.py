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
from heathford.wire.http1 import EventStream, MalformedMessageError, Response, json_object, encode_request

CONNECT = 1.0  # s in which a front that is there takes a connection
GRACE = 0.5  # s beyond its time in which the front's own answer may still come
SILENCE = 30.0  # s that a stream may say nothing
VERSION = "2"  # of the protocol that is spoken; a service of the version before passes it over
LONGEST = 1 << 20  # bytes of a head or an event
READ_BYTES = 65_536


class HttpClient(Client):
    """addresses: http://HOST:PORT or https://HOST:PORT"""

    def __init__(self, addresses: Sequence[str], *args: Any, **more: Any) -> None:
        super().__init__(addresses, *args, **more)
        self.idle: dict[int, list[IOStream]] = {}

    async def connection(self, front: int) -> IOStream:
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
                str(url.hostname), url.port or (443 if secure else 80), timeout=CONNECT, ssl_options=secure
            )
        except (TimeoutError, OSError, StreamClosedError) as problem:
            raise AttemptError(FailureKind.UNREACHED, f"{self.addresses[front]}: {problem!r}") from None
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
            {"Idempotency-Key": params["idempotency_key"], "Heathford-Version": VERSION},
            orjson.dumps(body),
        )
        stream = await self.connection(front)
        try:
            await stream.write(data)
            found = await self.answer(stream, timeout, tell)
        except StreamClosedError as problem:
            raise AttemptError(FailureKind.LOST, f"the connection was lost: {problem.real_error}") from None
        except MalformedMessageError as problem:
            stream.close()
            raise AttemptError(FailureKind.LOST, f"no answer that can be read: {problem}") from None
        except BaseException:
            stream.close()  # so that the front sees its client go
            raise
        if stream.closed():
            return found
        self.idle.setdefault(front, []).append(stream)
        stream.set_close_callback(lambda: None)  # one that closes while idle is seen
        return found

    async def answer(
        self, stream: IOStream, timeout: float, tell: Callable[[str, str], None]
    ) -> tuple[str, str, Any]:
        response, events = Response(LONGEST), EventStream(LONGEST)
        body = bytearray()
        completion, reason, usage = "", "", dict[str, Any]()
        whole, why, retry = False, "", ""
        wait = timeout + GRACE
        while not response.done:
            try:
                async with asyncio.timeout(wait):
                    data = await stream.read_bytes(READ_BYTES, partial=True)
            except TimeoutError:
                raise AttemptError(FailureKind.LOST, "the front did not answer") from None
            for part in response.feed(data):
                if response.status != 200:
                    body += part
                    continue
                for event in events.feed(part):
                    wait = SILENCE
                    if event == b"[DONE]":
                        whole = True
                        continue
                    said = orjson.loads(event)
                    if "error" in said:
                        why, retry = said["error"]["message"], str(said.get("retry") or "")
                        continue
                    completion, usage = said["id"], said.get("usage") or usage
                    for choice in said["choices"]:
                        reason = choice["finish_reason"] or reason
                        if choice["text"]:
                            tell(completion, choice["text"])
        if response.status != 200:
            self.fail(response.status, bytes(body))
        if why:
            raise AttemptError(FailureKind.ABORTED, why, 0.0, retry, completion)
        if not whole:
            raise AttemptError(FailureKind.LOST, "the stream ended without saying so")
        return completion, reason, usage

    def fail(self, status: int, body: bytes) -> None:
        try:
            said = json_object(body)
        except MalformedMessageError:
            said = {}
        why = str(said.get("detail") or f"status {status}")
        retry, completion = str(said.get("retry") or ""), str(said.get("completion") or "")
        if status == 429:
            raise AttemptError(
                FailureKind.REFUSED, why, float(said.get("retry_after") or 0.0), retry, completion
            )
        if 400 <= status < 500:
            raise BadRequest(why)
        raise AttemptError(FailureKind.ABORTED, why, 0.0, retry, completion)

    async def close(self) -> None:
        for streams in self.idle.values():
            for stream in streams:
                stream.close()
        self.idle.clear()
