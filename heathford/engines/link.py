"""Carries dispatches to engines over kept connections."""

import asyncio
import socket
import ssl
from collections.abc import Mapping
from math import inf
from typing import Any

import orjson
import structlog
from tornado.iostream import IOStream, SSLIOStream, StreamClosedError

from heathford.core.protocols import Arrival, CallEvents, Endpoint, NoLivenessCheck, ReleaseEvents
from heathford.core.tasks import Tasks
from heathford.engines.answers import cached_tokens, chunk, load_of, read_answer, verdict_of
from heathford.engines.pools import ConnectionPool, ConnectionPools
from heathford.engines.release_retries import NO_ANSWER, ReleaseRetries
from heathford.wire.http1 import EventStream, MalformedMessageError, Response, encode_request
from heathford.interface import Role, Outcome
from heathford.policy.transfer import TransferRates

READ_BYTES = 65_536  # bytes read at once: a socket's buffer, so that one stream can't keep the others waiting

log = structlog.get_logger()


class EngineLink(NoLivenessCheck):
    """connect_timeout, idle and stream_silence in s; connections at most for each engine; source: the local
    address that connections are made from, or empty; pin_limit: s within which a state is released. tls: what
    new connections are made with, if anything; an engine's certificate must name it as the list does."""

    may_read_late = True  # a close is no recall: a process reads what its machine has taken before it

    def __init__(
        self,
        connect_timeout: float,
        connections: int,
        idle: float,
        stream_silence: float,
        longest_line: int,
        pin_limit: float,
        source: str = "",
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.connect_timeout, self.most = connect_timeout, connections
        self.stream_silence, self.longest_line, self.source = stream_silence, longest_line, source
        self.pin_limit, self.tls = pin_limit, tls
        self.transfers = TransferRates()  # no deadline is told here: sends go on as long as they are wanted
        self.pools: ConnectionPools[IOStream] = ConnectionPools(idle, inf)
        self.tasks = Tasks("link")
        self.stopped = False

    def send(
        self,
        endpoint: Endpoint,
        name: str,
        body: Mapping[str, Any],
        kv: Mapping[str, Any] | None,
        mark: str,
        timeout: float,
        events: CallEvents,
    ) -> "HttpCall":
        call = HttpCall(self, endpoint, name, events)
        self.tasks.spawn(call.run(encoded(endpoint, name, body, kv, mark), timeout))
        return call

    def release(self, endpoint: Endpoint, name: str, events: ReleaseEvents) -> None:
        self.tasks.spawn(self.release_state(endpoint, name, events))

    async def release_state(self, endpoint: Endpoint, name: str, events: ReleaseEvents) -> None:
        loop = asyncio.get_running_loop()
        tries = ReleaseRetries(loop.time(), self.pin_limit)
        while (wait := tries.next_try(loop.time())) is not None:
            if wait:
                await asyncio.sleep(wait)
            events.requested(endpoint.name)
            status = await self.delete(endpoint, name, tries.patience(loop.time()))
            if tries.is_over(status):
                events.confirmed(endpoint.name)
                return
            events.not_confirmed(endpoint.name, max(NO_ANSWER, status))
        log.warning("state not let go", engine=endpoint.name, dispatch=name)
        events.failed()

    async def delete(self, endpoint: Endpoint, name: str, patience: float) -> int:
        """The status of the answer, or NO_ANSWER."""
        pool = self.pool(endpoint)
        stream = None
        try:
            async with asyncio.timeout(patience):
                stream = await self.connection(endpoint, pool)
                response = await self.delete_on(stream, endpoint, name)
        except (StreamClosedError, OSError, MalformedMessageError, TimeoutError):
            if stream:
                self.drop(pool, stream)
            return NO_ANSWER
        self.give_back(pool, stream, response.keep_alive)
        return response.status

    async def delete_on(self, stream: IOStream, endpoint: Endpoint, name: str) -> Response:
        """The whole answer. Raises StreamClosedError or MalformedMessageError."""
        await stream.write(encode_request("DELETE", f"/v1/kv_transfers/{name}", endpoint.address, {}, b""))
        response = Response(self.longest_line)
        while not response.done:
            for _ in response.feed(await stream.read_bytes(READ_BYTES, partial=True)):
                pass
        return response

    # Connections.

    def pool(self, endpoint: Endpoint) -> ConnectionPool[IOStream]:
        return self.pools.pool(endpoint.address, endpoint.port)

    async def connection(self, endpoint: Endpoint, pool: ConnectionPool[IOStream]) -> IOStream:
        """A kept one, or a new one. Raises OSError or StreamClosedError where none can be had."""
        stream = self.pools.take_idle(pool, asyncio.get_running_loop().time())
        if stream:
            stream.set_close_callback(None)
            return stream
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.source:
                sock.bind((self.source, 0))
        except OSError:
            sock.close()
            raise
        stream = (
            SSLIOStream(sock, read_chunk_size=READ_BYTES, ssl_options=self.tls)
            if self.tls
            else IOStream(sock, read_chunk_size=READ_BYTES)
        )
        self.pools.reserve(pool)
        try:
            await stream.connect((endpoint.address, endpoint.port), endpoint.name if self.tls else None)
        except BaseException:
            self.drop(pool, stream)
            raise
        return stream

    def give_back(self, pool: ConnectionPool[IOStream], stream: IOStream, keep: bool) -> None:
        if not keep or stream.closed() or self.stopped:
            self.drop(pool, stream)
            return
        now = asyncio.get_running_loop().time()
        self.pools.close_expired(now)
        self.pools.add_idle(pool, stream, now)
        # An engine that closes a kept connection is seen at once: a dispatch written into a dead one
        # may have run for all we know, and a completion that can't repeat would be lost by it.
        stream.set_close_callback(lambda: self.pools.remove(pool, stream))

    def drop(self, pool: ConnectionPool[IOStream], stream: IOStream) -> None:
        stream.set_close_callback(None)
        self.pools.remove(pool, stream)
        stream.close()

    def stop(self) -> None:
        self.stopped = True
        self.pools.close_idle()


class HttpCall:
    """One dispatch on its way: connect, send, answer. Ends once, with the first thing that ends it."""

    def __init__(self, link: EngineLink, endpoint: Endpoint, name: str, events: CallEvents) -> None:
        self.link, self.endpoint, self.name, self.events = link, endpoint, name, events
        self.pool = link.pool(endpoint)
        self.stream: IOStream | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.over = self.begun = False
        self.heard = 0.0  # when the last token came
        self.load: dict[str, float] = {}

    def cancel(self) -> None:
        self.end(Outcome.CANCELLED)

    def withdraw(self) -> None:
        if self.stream is None:
            self.end(Outcome.UNSENT)

    def is_progressing(self) -> bool:
        """Not followed here."""
        return False

    def give_up_unless_arrived(self) -> Arrival:
        """Only what has no connection yet is known not to have arrived here."""
        if self.stream is None:
            self.end(Outcome.UNREACHABLE)
            return Arrival.UNSENT
        return Arrival.ANSWERED if self.begun else Arrival.CONFIRMED

    def end(
        self, verdict: Outcome, detail: int = 0, answer: Mapping[str, Any] | None = None, keep: bool = False
    ) -> None:
        if self.over:
            return
        self.over = True
        if self.timer:
            self.timer.cancel()
        if self.stream:
            if keep:
                self.link.give_back(self.pool, self.stream, True)
            else:
                self.link.drop(self.pool, self.stream)
        self.events.ended(verdict, detail, self.load, answer or {})

    def expect(self, seconds: float, verdict: Outcome) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(seconds, self.end, verdict)

    async def run(self, data: bytes, timeout: float) -> None:
        loop = asyncio.get_running_loop()
        if self.over:
            return
        self.pool = self.link.pool(self.endpoint)
        if self.pool.open - len(self.pool.idle) >= self.link.most:
            # All our connections there are in use: nothing was sent, and for us this engine is full.
            self.end(Outcome.NO_FREE_CONNECTION)
            return
        until = loop.time() + timeout
        self.expect(min(timeout, self.link.connect_timeout), Outcome.UNREACHABLE)
        try:
            stream = await self.link.connection(self.endpoint, self.pool)
        except (StreamClosedError, OSError):
            self.end(Outcome.UNREACHABLE)
            return
        if self.over or not self.events.may_send():
            self.link.give_back(self.pool, stream, True)
            self.end(Outcome.UNSENT)
            return
        self.stream = stream
        self.expect(until - loop.time(), Outcome.TIMED_OUT)
        try:
            await stream.write(data)
            await self.answer(stream)
        except StreamClosedError:
            self.end(Outcome.BROKEN)
        except MalformedMessageError as problem:
            log.warning("nonsense from an engine", engine=self.endpoint.name, what=str(problem))
            self.end(Outcome.ERROR)

    async def answer(self, stream: IOStream) -> None:
        response = Response(self.link.longest_line)
        events = EventStream(self.link.longest_line)
        body = bytearray()
        reason, usage = "", dict[str, Any]()
        finished = False
        while not response.done:
            data = await stream.read_bytes(READ_BYTES, partial=True)
            if self.over:
                return
            for part in response.feed(data):
                if response.status != 200 or "event-stream" not in response.headers.get("content-type", ""):
                    body += part
                    if len(body) > 16 * self.link.longest_line:
                        raise MalformedMessageError("an answer too long")
                    continue
                for event in events.feed(part):
                    if event == b"[DONE]":
                        finished = True
                        continue
                    text, its_reason, its_usage = chunk(event)
                    reason, usage = its_reason or reason, {**its_usage} or usage
                    if text:
                        self.token(text)
                    if self.over:
                        return
        if response.status != 200:
            self.load = load_of(response.headers.get("endpoint-load-metrics", ""))
            verdict, detail = verdict_of(response.status, bytes(body))
            self.end(verdict, detail, keep=response.keep_alive)
        elif self.endpoint.role is Role.PREFILL:
            self.load = load_of(response.headers.get("endpoint-load-metrics", ""))
            found, kv = read_answer(bytes(body))
            self.end(Outcome.PREFILLED, found, {"kv": kv}, keep=response.keep_alive)
        elif not finished or not self.begun:
            raise MalformedMessageError("a stream that ends without saying so" if self.begun else "no stream")
        else:
            self.load = load_of(response.trailers.get("endpoint-load-metrics", ""))
            self.end(
                Outcome.FINISHED,
                cached_tokens(usage),
                {"reason": reason, "usage": usage},
                keep=response.keep_alive,
            )

    def token(self, text: str) -> None:
        self.heard = asyncio.get_running_loop().time()
        if not self.begun:
            self.begun = True
            self.events.first_token()
            if not self.over:
                self.watch_silence(self.link.stream_silence)
        self.events.tokens(text)

    def watch_silence(self, seconds: float) -> None:
        """One timer that looks again, not one a token: timers were a sixth of what a stream cost."""
        if self.timer:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(seconds, self.look_for_silence)

    def look_for_silence(self) -> None:
        left = self.heard + self.link.stream_silence - asyncio.get_running_loop().time()
        if left <= 0.0:
            self.end(Outcome.TIMED_OUT)
        elif not self.over:
            self.watch_silence(left)


def encoded(
    endpoint: Endpoint, name: str, body: Mapping[str, Any], kv: Mapping[str, Any] | None, mark: str
) -> bytes:
    headers = {"X-Request-Id": name}
    if mark:
        headers["Idempotency-Key"] = mark
    if endpoint.role is Role.PREFILL:
        more: dict[str, Any] = {
            "max_tokens": 1,
            "stream": False,
            "kv_transfer_params": {"do_remote_decode": True, "do_remote_prefill": False},
        }
    else:
        more = {"stream": True, "stream_options": {"include_usage": True}}
        if kv is not None:
            more["kv_transfer_params"] = kv
    return encode_request(
        "POST", "/v1/completions", endpoint.address, headers, orjson.dumps({**body, **more})
    )
