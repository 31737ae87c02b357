"""Carries attempts to engines over pooled HTTP/1.1 connections."""

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
from heathford.engines.answers import (
    cached_tokens,
    parse_event,
    parse_load_report,
    parse_prefill_answer,
    failure_outcome,
)
from heathford.engines.pools import ConnectionPool, ConnectionPools
from heathford.engines.release_retries import NO_ANSWER, ReleaseRetries
from heathford.engines.stream_progress import StreamProgress
from heathford.wire.event_stream import EventStream
from heathford.wire.http1 import MalformedMessageError, Response, encode_request
from heathford.interface import Role, Outcome
from heathford.policy.transfer import TransferRates

READ_BYTES = 65_536  # at once: a socket buffer, so that one stream can't hold up the others

log = structlog.get_logger()


class EngineLink(NoLivenessCheck):
    """A `Link` for engines that speak the OpenAI completions API.

    connect_timeout: s. connections: at most, per engine. idle: s that an idle connection is kept.
    stream_silence: s without progress after which a stream counts as dead. longest_line: bytes. pin_limit: s
    within which prefill state has to be released. source: local address of connections, or empty. tls: for
    new connections, if any; an engine's certificate must have the engine's name in the endpoint list.
    """

    may_read_late = True  # an engine can read what its kernel received before the connection was closed

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
        self.connect_timeout, self.max_connections = connect_timeout, connections
        self.stream_silence, self.longest_line, self.source = stream_silence, longest_line, source
        self.pin_limit, self.tls = pin_limit, tls
        self.transfers = TransferRates()  # stays empty: no deadline is sent here, and no send is cut short
        self.pools: ConnectionPools[IOStream] = ConnectionPools(idle, inf)
        self.tasks = Tasks("link")
        self.stopped = False

    def send(
        self,
        endpoint: Endpoint,
        name: str,
        body: Mapping[str, Any],
        kv_transfer_params: Mapping[str, Any] | None,
        idempotency_key: str,
        timeout: float,
        events: CallEvents,
    ) -> "HttpCall":
        call = HttpCall(self, endpoint, name, events)
        self.tasks.spawn(
            call.run(completion_request(endpoint, name, body, kv_transfer_params, idempotency_key), timeout)
        )
        return call

    def release(self, endpoint: Endpoint, name: str, events: ReleaseEvents) -> None:
        self.tasks.spawn(self.release_state(endpoint, name, events))

    async def release_state(self, endpoint: Endpoint, name: str, events: ReleaseEvents) -> None:
        loop = asyncio.get_running_loop()
        retries = ReleaseRetries(loop.time(), self.pin_limit)
        while (wait := retries.next_try_delay(loop.time())) is not None:
            if wait:
                await asyncio.sleep(wait)
            events.requested(endpoint.name)
            status = await self.send_release(endpoint, name, retries.try_timeout(loop.time()))
            if retries.confirms_release(status):
                events.confirmed(endpoint.name)
                return
            events.not_confirmed(endpoint.name, max(NO_ANSWER, status))
        log.warning("prefill state not released", engine=endpoint.name, dispatch=name)
        events.failed()

    async def send_release(self, endpoint: Endpoint, name: str, time_limit: float) -> int:
        """Ask an engine once for the release; return the status of its answer, or NO_ANSWER.

        time_limit: s.
        """
        pool = self.pool(endpoint)
        stream = None
        try:
            async with asyncio.timeout(time_limit):
                stream = await self.connection(endpoint, pool)
                response = await self.exchange_release(stream, endpoint, name)
        except (StreamClosedError, OSError, MalformedMessageError, TimeoutError):
            if stream:
                self.drop(pool, stream)
            return NO_ANSWER
        self.give_back(pool, stream, response.keep_alive)
        return response.status

    async def exchange_release(self, stream: IOStream, endpoint: Endpoint, name: str) -> Response:
        """Return the whole answer to the release request.

        Raises StreamClosedError or MalformedMessageError.
        """
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
        """Return an idle connection or a new one.

        Raises OSError or StreamClosedError if the connection fails.
        """
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
        # Notices at once when the engine closes the idle connection: an attempt written to a dead connection
        # may have run, and a request that must not be retried would be lost.
        stream.set_close_callback(lambda: self.pools.remove(pool, stream))

    def drop(self, pool: ConnectionPool[IOStream], stream: IOStream) -> None:
        stream.set_close_callback(None)
        self.pools.remove(pool, stream)
        stream.close()

    def stop(self) -> None:
        self.stopped = True
        self.pools.close_idle()


class HttpCall:
    """One attempt: connects, sends and receives the answer. The first thing that ends it counts."""

    def __init__(self, link: EngineLink, endpoint: Endpoint, name: str, events: CallEvents) -> None:
        self.link, self.endpoint, self.name, self.events = link, endpoint, name, events
        self.pool = link.pool(endpoint)
        self.stream: IOStream | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.over = False
        self.progress: StreamProgress | None = None  # of the stream, from its first token on
        self.load: dict[str, float] = {}

    @property
    def begun(self) -> bool:
        """Whether a token was received."""
        return self.progress is not None

    def cancel(self) -> None:
        self.end(Outcome.CANCELLED)

    def withdraw(self) -> None:
        if self.stream is None:
            self.end(Outcome.UNSENT)

    def is_progressing(self) -> bool:
        """Return False: the progress of sends is not recorded."""
        return False

    def give_up_unless_arrived(self) -> Arrival:
        """End the attempt if it has no connection yet: only then is it known not to have arrived."""
        if self.stream is None:
            self.end(Outcome.UNREACHABLE)
            return Arrival.UNSENT
        return Arrival.ANSWERED if self.begun else Arrival.CONFIRMED

    def end(
        self, outcome: Outcome, detail: int = 0, answer: Mapping[str, Any] | None = None, keep: bool = False
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
        self.events.ended(outcome, detail, self.load, answer or {})

    def set_timer(self, seconds: float, outcome: Outcome) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(seconds, self.end, outcome)

    async def run(self, data: bytes, timeout: float) -> None:
        loop = asyncio.get_running_loop()
        if self.over:
            return
        self.pool = self.link.pool(self.endpoint)
        if self.pool.open - len(self.pool.idle) >= self.link.max_connections:
            # All connections to this engine are in use, so nothing was sent.
            self.end(Outcome.NO_FREE_CONNECTION)
            return
        until = loop.time() + timeout
        self.set_timer(min(timeout, self.link.connect_timeout), Outcome.UNREACHABLE)
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
        self.set_timer(until - loop.time(), Outcome.TIMED_OUT)
        try:
            await stream.write(data)
            await self.receive_answer(stream)
        except StreamClosedError:
            self.end(Outcome.BROKEN)
        except MalformedMessageError as error:
            self.end_malformed(error)

    def end_malformed(self, error: MalformedMessageError) -> None:
        """End the attempt, whose answer breaks the protocol."""
        log.warning(
            "malformed answer from an engine", engine=self.endpoint.name, request=self.name, what=str(error)
        )
        self.end(Outcome.ERROR)

    async def receive_answer(self, stream: IOStream) -> None:
        response = Response(self.link.longest_line)
        events = EventStream(self.link.longest_line)
        body = bytearray()
        reason, usage = "", dict[str, Any]()
        while not response.done:
            data = await stream.read_bytes(READ_BYTES, partial=True)
            if self.over:
                return
            for part in response.feed(data):
                if response.status != 200 or "event-stream" not in response.headers.get("content-type", ""):
                    body += part
                    if len(body) > 16 * self.link.longest_line:
                        raise MalformedMessageError("answer too long")
                    continue
                for event in events.feed(part):
                    if event.data is None or event.ends_stream:
                        continue
                    text, event_reason, event_usage = parse_event(event.data)
                    reason, usage = event_reason or reason, {**event_usage} or usage
                    if text:
                        self.on_token(text, events)
                    if self.over:
                        return
            if self.progress:
                self.progress.received(asyncio.get_running_loop().time(), len(data))
        if response.status != 200:
            self.load = parse_load_report(response.headers.get("endpoint-load-metrics", ""))
            outcome, detail = failure_outcome(response.status, bytes(body))
            self.end(outcome, detail, keep=response.keep_alive)
        elif self.endpoint.role is Role.PREFILL:
            self.load = parse_load_report(response.headers.get("endpoint-load-metrics", ""))
            cached, kv_transfer_params = parse_prefill_answer(bytes(body))
            self.end(Outcome.PREFILLED, cached, {"kv": kv_transfer_params}, keep=response.keep_alive)
        elif not events.finished or not self.begun:
            raise MalformedMessageError(
                "stream ended without [DONE]" if self.begun else "no stream in the answer"
            )
        else:
            self.load = parse_load_report(response.trailers.get("endpoint-load-metrics", ""))
            self.end(
                Outcome.FINISHED,
                cached_tokens(usage),
                {"reason": reason, "usage": usage},
                keep=response.keep_alive,
            )

    def on_token(self, text: str, events: EventStream) -> None:
        if not self.progress:
            now = asyncio.get_running_loop().time()
            self.progress = StreamProgress(self.link.stream_silence, events, now)
            self.events.first_token()
            if not self.over:
                self.schedule_progress_check(self.link.stream_silence)
        self.events.tokens(text)

    def schedule_progress_check(self, seconds: float) -> None:
        """Schedule one check for the whole stream: a timer per token would be a sixth of a stream's cost."""
        if self.timer:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(seconds, self.check_progress)

    def check_progress(self) -> None:
        """End a stream that has failed, else check again."""
        assert self.progress
        try:
            check_in = self.progress.next_check_in(asyncio.get_running_loop().time())
        except MalformedMessageError as error:
            self.end_malformed(error)
            return
        if check_in <= 0.0:
            self.end(Outcome.TIMED_OUT)
        elif not self.over:
            self.schedule_progress_check(check_in)


def completion_request(
    endpoint: Endpoint,
    name: str,
    body: Mapping[str, Any],
    kv_transfer_params: Mapping[str, Any] | None,
    idempotency_key: str,
) -> bytes:
    """Return the encoded HTTP request of an attempt: a prefill, or a stream for the other roles."""
    headers = {"X-Request-Id": name}
    if idempotency_key:
        headers["Idempotency-Key"] = idempotency_key
    if endpoint.role is Role.PREFILL:
        more: dict[str, Any] = {
            "max_tokens": 1,
            "stream": False,
            "kv_transfer_params": {"do_remote_decode": True, "do_remote_prefill": False},
        }
    else:
        more = {"stream": True, "stream_options": {"include_usage": True}}
        if kv_transfer_params is not None:
            more["kv_transfer_params"] = kv_transfer_params
    return encode_request(
        "POST", "/v1/completions", endpoint.address, headers, orjson.dumps({**body, **more})
    )
