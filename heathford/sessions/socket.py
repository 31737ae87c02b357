"""Carries sessions over WebSocket connections."""

import asyncio
from collections.abc import Callable
from typing import Any

import orjson
import structlog
from tornado.iostream import StreamClosedError
from tornado.web import Application
from tornado.websocket import WebSocketHandler

from heathford.sessions.life import NORMAL, SLOW, Life, Lookout, Patience, Step
from heathford.sessions.limits import farewell
from heathford.sessions.protocol import StrictProtocol
from heathford.sessions.rpc import Rpc
from heathford.sessions.session import Desk
from heathford.sessions.versions import BEFORE, PREFIX, VersionError, of_subprotocols

GOING_AWAY, TRY_LATER = 1001, 1013  # close codes of RFC 6455 and its registry

log = structlog.get_logger()


class SessionSocket(WebSocketHandler):
    def initialize(self, sockets: "Sockets") -> None:
        self.sockets = sockets
        self.rpc: Rpc | None = None
        self.version = BEFORE
        self.life: Life | None = None
        self.watching = False
        self.reading: asyncio.Future[None] | None = None  # while the client is kept from sending more

    def get_websocket_protocol(self) -> StrictProtocol | None:
        if self.request.headers.get("Sec-WebSocket-Version") != "13":
            return None
        return StrictProtocol(self, False, self.sockets.params(self))

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
        return {} if self.sockets.compress else None

    def open(self, *args: str, **kwargs: str) -> None:
        if self.sockets.desk.room.full or self.sockets.desk.stopping:
            self.close(TRY_LATER, "stopping" if self.sockets.desk.stopping else "too many sessions")
            return
        self.set_nodelay(True)
        self.rpc = self.sockets.begin(self)

    async def on_message(self, message: str | bytes) -> None:
        if not self.rpc or not self.life:
            return
        self.life.hears(self.sockets.now())
        self.rpc.message(message)
        while not self.sockets.desk.room.reads(self.rpc.session.held) and self.open_still:
            self.reading = asyncio.get_running_loop().create_future()
            await self.reading

    def on_ping(self, data: bytes) -> None:
        if self.life:
            self.life.hears(self.sockets.now())

    def on_pong(self, data: bytes) -> None:
        if self.life:
            self.life.hears(self.sockets.now())

    def on_close(self) -> None:
        if self.rpc:
            self.sockets.end(self)
            rpc, self.rpc = self.rpc, None
            rpc.session.left()
            self.freed()

    @property
    def open_still(self) -> bool:
        return self.ws_connection is not None and not self.ws_connection.is_closing()

    @property
    def protocol(self) -> StrictProtocol | None:
        return self.ws_connection if isinstance(self.ws_connection, StrictProtocol) else None

    # heathford.sessions.rpc.Outlet

    @property
    def slow(self) -> bool:
        return self.protocol is not None and self.protocol.unsent > self.sockets.unsent

    def freed(self) -> None:
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
            self.sockets.look_soon(self)
            written.add_done_callback(self.caught_up)

    def caught_up(self, written: "asyncio.Future[None]") -> None:
        self.watching = False
        if not written.cancelled() and not written.exception() and self.rpc:
            self.rpc.session.caught_up()


class Sockets:
    """All sessions of a front. unsent: bytes that a client may leave untaken before its tokens are merged;
    window: s over which a stopping front closes its sessions."""

    def __init__(
        self,
        desk: Desk,
        now: Callable[[], float],
        patience: Patience,
        unsent: int,
        window: float,
        compress: bool,
        seed: int,
    ) -> None:
        self.desk, self.now, self.patience = desk, now, patience
        self.unsent, self.window, self.compress, self.seed = unsent, window, compress, seed
        self.open: dict[SessionSocket, None] = {}
        self.lookout: Lookout[SessionSocket] = Lookout()
        self.timer: asyncio.TimerHandle | None = None
        self.next_look = float("inf")
        self.emptied = asyncio.Event()  # the last session has gone
        self.given_up: dict[str, int] = {}  # sessions closed by us, by reason

    def params(self, socket: SessionSocket) -> Any:
        from tornado.websocket import _WebSocketParams

        return _WebSocketParams(
            max_message_size=socket.max_message_size, compression_options=socket.get_compression_options()
        )

    def begin(self, socket: SessionSocket) -> Rpc:
        self.desk.room.sessions += 1
        self.open[socket] = None
        socket.life = Life(self.patience, self.now())
        rpc = Rpc(self.desk, socket, self.desk.next_name(), socket.version)
        self.look_at(socket)
        return rpc

    def end(self, socket: SessionSocket) -> None:
        if self.open.pop(socket, 0) is None:
            self.desk.room.sessions -= 1
            self.lookout.forget(socket)
            if not self.open:
                self.emptied.set()

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
        out = len(socket.rpc.session.answers) if socket.rpc else 0
        step, again = socket.life.look(self.now(), out, socket.slow)
        if step is Step.NOTHING or step is Step.PING:
            if step is Step.PING and socket.protocol and socket.open_still:
                socket.protocol.write_ping(b"")
            self.lookout.set(socket, again)
            self.wake(again)
            return
        self.given_up[step.value] = self.given_up.get(step.value, 0) + 1
        log.info("session given up", session=socket.rpc.session.name if socket.rpc else "", why=step.value)
        if step is Step.IDLE:
            socket.close(NORMAL, "idle")
        else:
            if step is Step.SLOW:
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
        self.desk.stopping = True
        loop = asyncio.get_running_loop()
        for socket, after in farewell(list(self.open), self.window, self.seed).items():
            if socket.rpc:
                socket.rpc.going(after)
            loop.call_later(after, self.close_one, socket)

    def close_one(self, socket: SessionSocket) -> None:
        if socket not in self.open:
            return
        if socket.rpc and socket.rpc.session.answers:
            asyncio.get_running_loop().call_later(0.05, self.close_one, socket)
            return
        socket.close(GOING_AWAY, "the front stops")

    def close(self) -> None:
        for socket in list(self.open):
            socket.close(GOING_AWAY, "the front stops")
