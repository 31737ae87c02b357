"""Carries dispatches to engines in the platform's protocol, over kept connections.

On asyncio's transports, the layer beneath Tornado's streams: a stream tells neither of bytes that nobody
asked for on an idle connection nor whether a request's last byte was written. Costs: docs/design/platform.md.
"""

import asyncio
import errno
import socket
import struct
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from typing import Any

import structlog

from heathford.core.doors import Arrival, CallEvents, Endpoint, ReleaseEvents
from heathford.core.tasks import Tasks
from heathford.engines.letting_go import LettingGo, next_to_ask
from heathford.engines.pools import Connections, Pools
from heathford.interface import Role, Verdict
from heathford.platform.answers import LONGEST_LINE, Answer
from heathford.wire.http1 import NonsenseError, Response, request
from heathford.wire.socket_state import state_of, undelivered

IDLE_PART = 0.6  # of the time after which engines close idle connections: one written into then is lost
SETTLED = 0.01  # s after an answer before a connection is used again: some engines close it then, and a
# request that crosses the close may have run; ten times the way between zones
SILENCE = 4.0  # s without an event after which a stream is held for dead: clients may be kept waiting for 5
OVERTAKEN = 0.1  # s after a release that may have overtaken the read it is for until it is said once more
UNCLEAR = frozenset({Verdict.CANCELLED, Verdict.TIMED_OUT, Verdict.BROKEN})  # ends of a read that may go on
ROOMS = "/bootstrap/rooms/"
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # for SO_LINGER: what the kernel still holds is dropped

OWN_TROUBLE = frozenset({
    errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR,
    errno.ENETDOWN})  # failures of this machine: they say nothing of the engine
CONNECT_AGAIN = 0.02  # s until a connect that failed by trouble of our own is tried again

log = structlog.get_logger()


class EngineConnection(asyncio.Protocol):
    """One connection to an engine, used by one exchange at a time or idle."""

    def __init__(self, link: "PlatformLink", pool: Connections["EngineConnection"]) -> None:
        self.link, self.pool = link, pool
        self.transport: asyncio.Transport | None = None
        self.user: Exchange | None = None
        self.unwritten = False  # part of what was sent has not left yet
        self.counted = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that pause and resume tell of unwritten bytes

    def pause_writing(self) -> None:
        self.unwritten = True

    def resume_writing(self) -> None:
        self.unwritten = False

    def write(self, data: bytes) -> None:
        assert self.transport
        self.transport.write(data)
        if self.transport.is_closing():  # it broke while it was written
            self.unwritten = True

    def data_received(self, data: bytes) -> None:
        if self.user:
            self.user.heard(data)
        else:
            # Guards against an answer to nothing: the next dispatch would take it for its own.
            self.close()

    def eof_received(self) -> None:
        if self.user:
            self.user.closed_by_engine()

    def connection_lost(self, problem: Exception | None) -> None:
        self.uncount()
        if self.user:
            user, self.user = self.user, None
            user.lost(self.unwritten)

    def uncount(self) -> None:
        if self.counted:
            self.counted = False
            self.link.pools.lost(self.pool, self)

    def closed(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def quiet(self) -> bool:
        """Nothing has come on it, an end included. Guards against what the loop has not come to yet: a
        request written behind an end may have run for all we know."""
        return not state_of(self.transport).unread

    def close(self) -> None:
        """At once, with what is unwritten. Shut down first: a transport closes its socket in the loop's next
        turn, and an answer to the client that left before that would cross a dispatch that is still out."""
        self.user = None
        self.uncount()
        if self.transport:
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):  # it has broken, or is closed
                if undelivered(self.transport).unconfirmed:
                    # Guards against a request that the kernel delivers after we have given it up, as the peer
                    # reads on or a cut heals. Harms nothing: no answer to it is wanted any more.
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                else:
                    sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()


class Exchange:
    """One request on its way: connect, send, answer; `over` once nothing more is wanted of it."""

    def __init__(self, link: "PlatformLink", endpoint: Endpoint, within: float) -> None:
        self.link, self.endpoint = link, endpoint
        self.loop = link.loop
        self.until = self.loop.time() + within
        self.connection: EngineConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.over = False

    def connect(self, data: Callable[[], bytes], within: float) -> None:
        """An idle connection, or a new one within that many s."""
        pools = self.link.pools
        pool = pools.pool(self.endpoint.address, self.endpoint.port)
        kept = pools.idle_one(pool, self.loop.time())
        while kept and not kept.quiet():
            kept.close()
            kept = pools.idle_one(pool, self.loop.time())
        if kept:
            self.begin(kept, data)
        elif pools.opening(pool):
            self.expect(within, self.unreached)
            self.link.tasks.spawn(self.open(pool, data))
        else:
            self.crowded()

    async def open(self, pool: Connections[EngineConnection], data: Callable[[], bytes]) -> None:
        connection = EngineConnection(self.link, pool)
        try:
            await asyncio.wait_for(self.connected(connection), self.link.connect_timeout)
        except (OSError, TimeoutError):
            connection.close()
            if not self.over:
                self.unreached()
            return
        except BaseException:
            connection.close()
            raise
        if self.over:
            self.link.give_back(connection)
        elif connection.closed():
            connection.uncount()
            self.unreached()
        else:
            self.begin(connection, data)

    async def connected(self, connection: EngineConnection) -> None:
        """Connect, again where this machine had no room for a moment. Raises OSError.

        Guards against a moment's trouble of our own for which all engines would be set aside, at all front
        nodes of this machine. Could harm by a wait for the connect time-out where the trouble lasts."""
        while True:
            try:
                await self.loop.create_connection(
                    lambda: connection, self.endpoint.address, self.endpoint.port)
                return
            except OSError as problem:
                if problem.errno not in OWN_TROUBLE or self.over:
                    raise
            await asyncio.sleep(CONNECT_AGAIN)

    def begin(self, connection: EngineConnection, data: Callable[[], bytes]) -> None:
        self.connection, connection.user = connection, self
        self.expect(max(0.0, self.until - self.loop.time()), self.timed_out)
        connection.write(data())

    def expect(self, seconds: float, then: Callable[[], None]) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(seconds, then)

    def stop(self, keep: bool) -> None:
        """Nothing more is wanted. A connection with anything still to come or go is closed, not used again:
        the rest of a request that was answered early would leave behind its verdict, and might run."""
        self.over = True
        if self.timer:
            self.timer.cancel()
            self.timer = None
        connection, self.connection = self.connection, None
        if connection:
            connection.user = None
            if keep and not connection.unwritten:
                self.link.give_back(connection)
            else:
                connection.close()

    def timed_out(self) -> None:
        """Sent, and not answered by `until`."""
        raise NotImplementedError

    def heard(self, data: bytes) -> None:
        raise NotImplementedError

    def lost(self, unwritten: bool) -> None:
        raise NotImplementedError

    def closed_by_engine(self) -> None:
        """The engine has ended its side in order, which may be how it ends its answer."""
        raise NotImplementedError

    def unreached(self) -> None:
        raise NotImplementedError

    def crowded(self) -> None:
        raise NotImplementedError


class EngineCall(Exchange):
    """One dispatch. Ends once, with the first thing that ends it."""

    def __init__(
        self, link: "PlatformLink", endpoint: Endpoint, name: str, body: tuple[str, bytes], mark: str,
        timeout: float, events: CallEvents,
    ) -> None:
        super().__init__(link, endpoint, timeout)
        self.name, self.body, self.mark, self.events = name, body, mark, events
        self.answer = Answer(endpoint.role is Role.READER)
        self.heard_at = 0.0  # when the last event came
        self.begun = False

    def start(self) -> None:
        if self.over:
            return
        left = self.until - self.loop.time()
        if left <= 0.0:
            self.end(Verdict.UNSENT)
            return
        self.connect(self.encoded, min(left, self.link.connect_timeout))

    def begin(self, connection: EngineConnection, data: Callable[[], bytes]) -> None:
        if not self.events.wanted():
            self.link.give_back(connection)
            self.end(Verdict.UNSENT)
        else:
            super().begin(connection, data)

    def encoded(self) -> bytes:
        (target, body), self.body = self.body, ("", b"")  # written once: not kept while the answer streams
        left = max(1, int(1000 * (self.until - self.loop.time())))
        headers = {"X-Call-Id": self.name, "X-Budget-Ms": str(left)}
        if self.mark:
            headers["Idempotency-Key"] = self.mark
        return request("POST", target, self.endpoint.address, headers, body)

    def cancel(self) -> None:
        self.end(Verdict.CANCELLED)

    def withdraw(self) -> None:
        """Also where part of a long request has left: an engine starts on what is whole."""
        if self.connection is None or self.connection.unwritten:
            self.end(Verdict.UNSENT)

    def give_up_unless_arrived(self) -> Arrival:
        """Guards against what prefill holds for a request that never gets to its decode engine. Where only
        the confirmation is missing it may have run for all we know."""
        if self.over or self.begun:
            return Arrival.ANSWERED
        connection = self.connection
        lies = undelivered(connection.transport) if connection else None
        if connection is None or connection.unwritten or (lies and lies.unsent):
            self.end(Verdict.UNREACHABLE)
            return Arrival.UNSENT
        if lies and lies.unconfirmed:
            self.end(Verdict.UNARRIVED)
            return Arrival.UNCONFIRMED
        return Arrival.CONFIRMED

    def end(self, verdict: Verdict, detail: int = 0, keep: bool = False) -> None:
        if self.over:
            return
        sent = self.connection is not None
        self.stop(keep)
        self.link.ends[verdict] += 1
        if (sent or verdict is Verdict.BROKEN) and verdict in UNCLEAR and self.endpoint.role is Role.READER:
            self.link.unclear[self.name] = None
        self.events.ended(verdict, detail, {}, {"kv": {}})

    def timed_out(self) -> None:
        self.end(Verdict.TIMED_OUT)

    def unreached(self) -> None:
        self.end(Verdict.UNREACHABLE)

    def crowded(self) -> None:
        """All our connections are in use: nothing was sent, and for us this engine is full."""
        self.end(Verdict.CROWDED)

    def lost(self, unwritten: bool) -> None:
        self.connection = None
        self.end(Verdict.UNREACHABLE if unwritten else Verdict.BROKEN)

    def closed_by_engine(self) -> None:
        self.answer.response.closed()
        if self.answer.response.done:
            self.heard(b"")

    def heard(self, data: bytes) -> None:
        try:
            events = self.answer.feed(data)
            done = self.answer.response.done
            verdict, detail = self.answer.verdict() if done else (Verdict.ERROR, 0)
        except NonsenseError as problem:
            self.link.nonsense(self.endpoint, problem)
            self.end(Verdict.ERROR)
            return
        if events:
            self.heard_at = self.loop.time()
            if not self.begun:
                self.begun = True
                self.events.first_token()
                self.expect(SILENCE, self.look_for_silence)
            self.events.tokens(events)
        if done:
            self.end(verdict, detail, keep=self.answer.keep)

    def look_for_silence(self) -> None:
        """One timer that looks again, not one an event."""
        left = self.heard_at + SILENCE - self.loop.time()
        if left <= 0.0:
            self.end(Verdict.TIMED_OUT)
        else:
            self.expect(left, self.look_for_silence)


class Release(Exchange):
    """One try to let go of all that is held for a completion."""

    def __init__(self, link: "PlatformLink", endpoint: Endpoint, name: str, patience: float) -> None:
        super().__init__(link, endpoint, patience)
        self.response = Response(LONGEST_LINE, LONGEST_LINE, strict=False)
        self.status: asyncio.Future[int] = self.loop.create_future()
        self.connect(lambda: request("DELETE", ROOMS + name, endpoint.address, {}, b""), patience)

    def end(self, status: int, keep: bool = False) -> None:
        if not self.over:
            self.stop(keep)
            self.status.set_result(status)

    def timed_out(self) -> None:
        self.end(0)

    def heard(self, data: bytes) -> None:
        try:
            for _ in self.response.feed(data):
                pass
        except NonsenseError:
            self.end(0)
            return
        if self.response.done:
            self.end(self.response.status, self.response.keep)

    def lost(self, unwritten: bool) -> None:
        self.connection = None
        self.end(0)

    def closed_by_engine(self) -> None:
        self.response.closed()
        if self.response.done:
            self.end(self.response.status)

    def unreached(self) -> None:
        self.end(0)

    def crowded(self) -> None:
        self.end(0)


class PlatformLink:
    """connect_timeout, pin_limit, idle (after which engines close) in s; connections: at most, in all.
    listed: engines that are on, those of the own zone and the others."""

    def __init__(
        self, connect_timeout: float, pin_limit: float, idle: float, connections: int,
        listed: Callable[[], tuple[Sequence[Endpoint], Sequence[Endpoint]]],
    ) -> None:
        self.listed = listed
        self.loop = asyncio.get_running_loop()
        self.connect_timeout, self.pin_limit = connect_timeout, pin_limit
        self.pools: Pools[EngineConnection] = Pools(IDLE_PART * idle, connections, SETTLED)
        self.tasks = Tasks("link")
        self.letting_go: dict[str, list[EngineCall]] = {}  # by completion: dispatches that wait for it
        self.unclear: dict[str, None] = {}  # requests whose prefill was given up, until it is let go
        self.again: dict[str, asyncio.TimerHandle] = {}  # requests whose release is to be said once more
        self.ends: Counter[Verdict] = Counter()
        self.spoilt = self.unreleased = 0
        self.stopped = False

    def send(
        self, endpoint: Endpoint, name: str, body: Any, kv: Mapping[str, Any] | None, mark: str,
        timeout: float, events: CallEvents,
    ) -> EngineCall:
        call = EngineCall(self, endpoint, name, body, mark, timeout, events)
        if name in self.again:
            self.again.pop(name).cancel()
        if name in self.letting_go:
            # Guards against a DELETE that comes after the dispatch it was sent before: it names the
            # completion, and would take the state from that one. Costs the wait for its answer.
            self.letting_go[name].append(call)
        else:
            self.loop.call_soon(call.start)
        return call

    def release(self, endpoint: Endpoint, name: str, events: ReleaseEvents) -> None:
        if name not in self.letting_go:
            self.letting_go[name] = []
            self.tasks.spawn(self.let_go(endpoint, name, events))

    async def let_go(self, holder: Endpoint, name: str, events: ReleaseEvents) -> None:
        """The holder first; one that can't be reached would keep the state for good, so after that any
        other: each accepts it. Those that we have a connection to answer soonest."""
        tries, asked = LettingGo(self.loop.time(), self.pin_limit), [holder]
        try:
            while (wait := tries.next_try(self.loop.time())) is not None:
                if wait:
                    await asyncio.sleep(wait)
                engine = asked[-1].name or f"{asked[-1].address}:{asked[-1].port}"
                events.asked(engine)
                attempt = Release(self, asked[-1], name, tries.patience(self.loop.time()))
                status = await attempt.status
                if tries.is_over(status):
                    events.confirmed(engine)
                    if name in self.unclear and not self.letting_go[name]:
                        self.again[name] = self.loop.call_later(
                            OVERTAKEN, self.release_again, holder, name, events)
                    return
                events.unanswered(engine, status)
                other = next_to_ask(name, asked, self.pools.idle_addresses(), *self.listed())
                if other is not holder and self.loop.time() < attempt.until:
                    tries.refused()
                asked.append(other)
            self.unreleased += 1
            log.warning("state not let go", completion=name, tried=[f"{e.address}:{e.port}" for e in asked])
            events.failed()
        finally:
            self.unclear.pop(name, None)
            for call in self.letting_go.pop(name, []):
                call.start()

    def release_again(self, endpoint: Endpoint, name: str, events: ReleaseEvents) -> None:
        """Guards against a release that is read, on another connection, before the prefill that was given up
        ends well: what that left would stay. Not where another attempt has begun: it names the request, and
        would take what that leaves. Costs one call for each prefill given up."""
        del self.again[name]
        self.release(endpoint, name, events)

    def give_back(self, connection: EngineConnection) -> None:
        if connection.closed() or self.stopped:
            connection.close()
        else:
            self.pools.keep(connection.pool, connection, self.loop.time())

    def nonsense(self, endpoint: Endpoint, problem: NonsenseError) -> None:
        self.spoilt += 1
        if self.spoilt <= 20:  # the first tell what it looks like; the count goes on
            log.warning("nonsense from an engine", engine=endpoint.name, what=str(problem))

    def stop(self) -> None:
        self.stopped = True
        for timer in self.again.values():
            timer.cancel()
        self.again.clear()
        self.pools.close_idle()
