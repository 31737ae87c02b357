"""Carries sessions over WebSocket connections."""

import asyncio
from collections.abc import Callable
from typing import Any

import orjson
import structlog
from tornado.iostream import StreamClosedError
from tornado.web import Application
from tornado.websocket import WebSocketHandler

from heathford.sessions.liveness import (
    NORMAL,
    SLOW,
    SessionLiveness,
    CheckSchedule,
    LivenessTimeouts,
    LivenessAction,
)
from heathford.sessions.limits import farewell
from heathford.sessions.protocol import StrictProtocol
from heathford.sessions.rpc import JsonRpcSession
from heathford.sessions.session import SessionManager
from heathford.sessions.versions import BEFORE, PREFIX, VersionError, of_subprotocols

GOING_AWAY, TRY_LATER = 1001, 1013  # close codes of RFC 6455 and its registry

log = structlog.get_logger()


class SessionSocket(WebSocketHandler):
    def initialize(self, sockets: "SessionServer") -> None:
        self.session_server = sockets
        self.rpc: JsonRpcSession | None = None
        self.version = BEFORE
        self.life: SessionLiveness | None = None
        self.watching = False
        self.reading: asyncio.Future[None] | None = None  # while the client is kept from sending more

    def get_websocket_protocol(self) -> StrictProtocol | None:
        if self.request.headers.get("Sec-WebSocket-Version") != "13":
            return None
        return StrictProtocol(self, False, self.session_server.params(self))

    def prepare(self) -> None:
        """Refuses versions that are not served before the handshake, where it can still say which are."""
        offered = [
            name.strip()
            for value in self.request.headers.get_list("Sec-WebSocket-Protocol")
            for name in value.split(",")
        ]
        try:
            self.version = of_subprotocols(offered)
        except VersionError as problem:
            self.set_status(400)
            self.set_header("Content-Type", "application/problem+json")
            self.finish(
                orjson.dumps(
                    {
                        "type": "about:blank",
                        "title": "Bad Request",
                        "status": 400,
                        "detail": str(problem),
                        "served": problem.served,
                    }
                )
            )

    def select_subprotocol(self, subprotocols: list[str]) -> str | None:
        name = f"{PREFIX}{self.version}"
        return name if name in subprotocols else None

    def check_origin(self, origin: str) -> bool:
        return True  # editors' pages come from hosts of their own; no cookie is carried that could be misused

    def get_compression_options(self) -> dict[str, Any] | None:
        return {} if self.session_server.compress else None

    def open(self, *args: str, **kwargs: str) -> None:
        if self.session_server.manager.capacity.full or self.session_server.manager.stopping:
            self.close(TRY_LATER, "stopping" if self.session_server.manager.stopping else "too many sessions")
            return
        self.set_nodelay(True)
        self.rpc = self.session_server.begin(self)

    async def on_message(self, message: str | bytes) -> None:
        if not self.rpc or not self.life:
            return
        self.life.hears(self.session_server.now())
        self.rpc.message(message)
        while not self.session_server.manager.capacity.reads(self.rpc.session.held_bytes) and self.open_still:
            self.reading = asyncio.get_running_loop().create_future()
            await self.reading

    def on_ping(self, data: bytes) -> None:
        if self.life:
            self.life.hears(self.session_server.now())

    def on_pong(self, data: bytes) -> None:
        if self.life:
            self.life.hears(self.session_server.now())

    def on_close(self) -> None:
        if self.rpc:
            self.session_server.end(self)
            rpc, self.rpc = self.rpc, None
            rpc.session.client_left()
            self.resume_reading()

    @property
    def open_still(self) -> bool:
        return self.ws_connection is not None and not self.ws_connection.is_closing()

    @property
    def protocol(self) -> StrictProtocol | None:
        return self.ws_connection if isinstance(self.ws_connection, StrictProtocol) else None

    # heathford.sessions.rpc.Outlet

    @property
    def slow(self) -> bool:
        return self.protocol is not None and self.protocol.unsent > self.session_server.unsent

    def resume_reading(self) -> None:
        if self.reading and not self.reading.done():
            self.reading.set_result(None)

    def say(self, message: bytes) -> None:
        protocol = self.protocol
        if protocol is None or protocol.is_closing():
            return
        try:
            written = protocol.write_text(message)
        except StreamClosedError:
            return
        if self.slow and not self.watching:
            self.watching = True
            self.session_server.look_soon(self)
            written.add_done_callback(self.caught_up)

    def caught_up(self, written: "asyncio.Future[None]") -> None:
        self.watching = False
        if not written.cancelled() and not written.exception() and self.rpc:
            self.rpc.session.caught_up()


class SessionServer:
    """All sessions of a front. unsent: bytes that a client may leave untaken before its tokens are merged;
    window: s over which a stopping front closes its sessions."""

    def __init__(
        self,
        manager: SessionManager,
        now: Callable[[], float],
        liveness_timeouts: LivenessTimeouts,
        unsent: int,
        window: float,
        compress: bool,
        seed: int,
    ) -> None:
        self.manager, self.now, self.liveness_timeouts = manager, now, liveness_timeouts
        self.unsent, self.window, self.compress, self.seed = unsent, window, compress, seed
        self.open: dict[SessionSocket, None] = {}
        self.lookout: CheckSchedule[SessionSocket] = CheckSchedule()
        self.timer: asyncio.TimerHandle | None = None
        self.next_look = float("inf")
        self.all_closed = asyncio.Event()  # the last session has gone
        self.given_up: dict[str, int] = {}  # sessions closed by us, by reason

    def params(self, socket: SessionSocket) -> Any:
        from tornado.websocket import _WebSocketParams

        return _WebSocketParams(
            max_message_size=socket.max_message_size, compression_options=socket.get_compression_options()
        )

    def begin(self, socket: SessionSocket) -> JsonRpcSession:
        self.manager.capacity.sessions += 1
        self.open[socket] = None
        socket.life = SessionLiveness(self.liveness_timeouts, self.now())
        rpc = JsonRpcSession(self.manager, socket, self.manager.next_session_name(), socket.version)
        self.look_at(socket)
        return rpc

    def end(self, socket: SessionSocket) -> None:
        if self.open.pop(socket, 0) is None:
            self.manager.capacity.sessions -= 1
            self.lookout.forget(socket)
            if not self.open:
                self.all_closed.set()

    def application(self, longest_message: int) -> Application:
        return Application(
            [(r"/v1/sessions", SessionSocket, {"sockets": self})],
            websocket_max_message_size=longest_message,
            log_function=lambda handler: None,
        )

    # Looking after them.

    def look_soon(self, socket: SessionSocket) -> None:
        self.lookout.set(socket, self.now())
        self.wake(self.now())

    def look_at(self, socket: SessionSocket) -> None:
        if not socket.life or (not socket.rpc and socket in self.open and not socket.open_still):
            return
        out = len(socket.rpc.session.requests) if socket.rpc else 0
        step, again = socket.life.look(self.now(), out, socket.slow)
        if step is LivenessAction.NOTHING or step is LivenessAction.PING:
            if step is LivenessAction.PING and socket.protocol and socket.open_still:
                socket.protocol.write_ping(b"")
            self.lookout.set(socket, again)
            self.wake(again)
            return
        self.given_up[step.value] = self.given_up.get(step.value, 0) + 1
        log.info("session given up", session=socket.rpc.session.name if socket.rpc else "", why=step.value)
        if step is LivenessAction.IDLE:
            socket.close(NORMAL, "idle")
        else:
            if step is LivenessAction.SLOW:
                socket.close(SLOW, "what is said is not taken")
            if socket.protocol:
                socket.protocol.stream.close()  # no handshake with one who is gone, or reads nothing

    def wake(self, at: float) -> None:
        if at >= self.next_look:
            return
        if self.timer:
            self.timer.cancel()
        self.next_look = at
        self.timer = asyncio.get_running_loop().call_at(at, self.look)

    def look(self) -> None:
        self.timer, self.next_look = None, float("inf")
        for socket in self.lookout.ready(self.now()):
            self.look_at(socket)
        if self.lookout.heap:
            self.wake(self.lookout.heap[0][0])

    # Stopping.

    def stop(self) -> None:
        """Nothing new is taken; each session is told, and closed at its time of the window, once it has
        nothing out."""
        self.manager.stopping = True
        loop = asyncio.get_running_loop()
        for socket, after in farewell(list(self.open), self.window, self.seed).items():
            if socket.rpc:
                socket.rpc.going(after)
            loop.call_later(after, self.close_one, socket)

    def close_one(self, socket: SessionSocket) -> None:
        if socket not in self.open:
            return
        if socket.rpc and socket.rpc.session.requests:
            asyncio.get_running_loop().call_later(0.05, self.close_one, socket)
            return
        socket.close(GOING_AWAY, "the front stops")

    def close(self) -> None:
        for socket in list(self.open):
            socket.close(GOING_AWAY, "the front stops")
