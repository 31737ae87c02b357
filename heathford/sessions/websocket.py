"""The server of sessions over WebSocket connections."""

import asyncio
from collections.abc import Callable
from typing import Any

import orjson
import structlog
from tornado.iostream import StreamClosedError
from tornado.web import Application
from tornado.websocket import WebSocketHandler

from heathford.sessions.liveness import (
    CLOSE_NORMAL,
    CLOSE_SLOW,
    SessionLiveness,
    CheckSchedule,
    LivenessTimeouts,
    LivenessAction,
)
from heathford.sessions.limits import closing_delays
from heathford.sessions.protocol import StrictProtocol
from heathford.sessions.rpc import JsonRpcSession
from heathford.sessions.session import SessionManager
from heathford.sessions.versions import (
    PREVIOUS_VERSION,
    SUBPROTOCOL_PREFIX,
    VersionError,
    version_from_subprotocols,
)

CLOSE_GOING_AWAY, CLOSE_TRY_LATER = 1001, 1013  # WebSocket close codes

log = structlog.get_logger()


class SessionSocket(WebSocketHandler):
    """One WebSocket connection, and the MessageWriter of its session."""

    def initialize(self, sockets: "SessionServer") -> None:
        """Take the server of all sessions, which tornado passes under the key given in `application`."""
        self.session_server = sockets
        self.rpc: JsonRpcSession | None = None
        self.version = PREVIOUS_VERSION
        self.liveness: SessionLiveness | None = None
        self.awaiting_flush = False
        self.read_pause: asyncio.Future[None] | None = None  # while nothing is read from the client

    def get_websocket_protocol(self) -> StrictProtocol | None:
        if self.request.headers.get("Sec-WebSocket-Version") != "13":
            return None
        return StrictProtocol(self, False, self.session_server.params(self))

    def prepare(self) -> None:
        """Refuse unsupported versions before the handshake, where the response can list the served ones."""
        offered = [
            name.strip()
            for value in self.request.headers.get_list("Sec-WebSocket-Protocol")
            for name in value.split(",")
        ]
        try:
            self.version = version_from_subprotocols(offered)
        except VersionError as error:
            self.set_status(400)
            self.set_header("Content-Type", "application/problem+json")
            self.finish(
                orjson.dumps(
                    {
                        "type": "about:blank",
                        "title": "Bad Request",
                        "status": 400,
                        "detail": str(error),
                        "served": error.served,
                    }
                )
            )

    def select_subprotocol(self, subprotocols: list[str]) -> str | None:
        name = f"{SUBPROTOCOL_PREFIX}{self.version}"
        return name if name in subprotocols else None

    def check_origin(self, origin: str) -> bool:
        return True  # web pages of other hosts may connect: no cookie is used that they could misuse

    def get_compression_options(self) -> dict[str, Any] | None:
        return {} if self.session_server.compress else None

    def open(self, *args: str, **kwargs: str) -> None:
        if self.session_server.manager.capacity.full or self.session_server.manager.stopping:
            self.close(
                CLOSE_TRY_LATER, "stopping" if self.session_server.manager.stopping else "too many sessions"
            )
            return
        self.set_nodelay(True)
        self.rpc = self.session_server.open_session(self)

    async def on_message(self, message: str | bytes) -> None:
        if not self.rpc or not self.liveness:
            return
        self.liveness.record_received(self.session_server.now())
        self.rpc.handle_message(message)
        while not self.session_server.manager.capacity.may_read(self.rpc.session.held_bytes) and self.is_open:
            self.read_pause = asyncio.get_running_loop().create_future()
            await self.read_pause

    def on_ping(self, data: bytes) -> None:
        if self.liveness:
            self.liveness.record_received(self.session_server.now())

    def on_pong(self, data: bytes) -> None:
        if self.liveness:
            self.liveness.record_received(self.session_server.now())

    def on_close(self) -> None:
        if self.rpc:
            self.session_server.end_session(self)
            rpc, self.rpc = self.rpc, None
            rpc.session.client_left()
            self.resume_reading()

    @property
    def is_open(self) -> bool:
        return self.ws_connection is not None and not self.ws_connection.is_closing()

    @property
    def protocol(self) -> StrictProtocol | None:
        return self.ws_connection if isinstance(self.ws_connection, StrictProtocol) else None

    # heathford.sessions.rpc.MessageWriter

    @property
    def slow(self) -> bool:
        """Whether more than `max_unsent` bytes are unsent."""
        return self.protocol is not None and self.protocol.unsent > self.session_server.max_unsent

    def resume_reading(self) -> None:
        if self.read_pause and not self.read_pause.done():
            self.read_pause.set_result(None)

    def send_message(self, message: bytes) -> None:
        protocol = self.protocol
        if protocol is None or protocol.is_closing():
            return
        try:
            written = protocol.write_text(message)
        except StreamClosedError:
            return
        if self.slow and not self.awaiting_flush:
            self.awaiting_flush = True
            self.session_server.check_soon(self)
            written.add_done_callback(self.on_flushed)

    def on_flushed(self, written: "asyncio.Future[None]") -> None:
        """Send merged tokens once the client has caught up."""
        self.awaiting_flush = False
        if not written.cancelled() and not written.exception() and self.rpc:
            self.rpc.session.flush_requests()


class SessionServer:
    """All sessions of a front node.

    now: the clock, in s; max_unsent: bytes written but not sent yet above which a client counts as slow and
    its tokens are merged; closing_window: s over which a stopping front node closes its sessions; compress:
    whether to accept permessage-deflate; seed: of the order of closing.
    """

    def __init__(
        self,
        manager: SessionManager,
        now: Callable[[], float],
        liveness_timeouts: LivenessTimeouts,
        max_unsent: int,
        closing_window: float,
        compress: bool,
        seed: int,
    ) -> None:
        self.manager, self.now, self.liveness_timeouts = manager, now, liveness_timeouts
        self.max_unsent, self.closing_window, self.compress, self.seed = (
            max_unsent,
            closing_window,
            compress,
            seed,
        )
        self.open: dict[SessionSocket, None] = {}  # connections with a session, as an ordered set
        self.check_schedule: CheckSchedule[SessionSocket] = CheckSchedule()
        self.timer: asyncio.TimerHandle | None = None
        self.next_check = float("inf")
        self.all_closed = asyncio.Event()  # set each time the last session ends; cleared before a wait
        self.closed_counts: dict[str, int] = {}  # sessions closed by the front node, by reason

    def params(self, socket: SessionSocket) -> Any:
        """Return the parameters of a connection's protocol for tornado."""
        from tornado.websocket import _WebSocketParams

        return _WebSocketParams(
            max_message_size=socket.max_message_size, compression_options=socket.get_compression_options()
        )

    def open_session(self, socket: SessionSocket) -> JsonRpcSession:
        """Start the session of a connection."""
        self.manager.capacity.sessions += 1
        self.open[socket] = None
        socket.liveness = SessionLiveness(self.liveness_timeouts, self.now())
        rpc = JsonRpcSession(self.manager, socket, self.manager.next_session_name(), socket.version)
        self.check_session(socket)
        return rpc

    def end_session(self, socket: SessionSocket) -> None:
        """Forget the session of a closed connection."""
        if self.open.pop(socket, 0) is None:  # it was in `open`, whose values are None
            self.manager.capacity.sessions -= 1
            self.check_schedule.forget(socket)
            if not self.open:
                self.all_closed.set()

    def application(self, longest_message: int) -> Application:
        """Return the tornado application; longest_message: bytes."""
        return Application(
            [(r"/v1/sessions", SessionSocket, {"sockets": self})],
            websocket_max_message_size=longest_message,
            log_function=lambda handler: None,
        )

    # Liveness checks.

    def check_soon(self, socket: SessionSocket) -> None:
        """Schedule a check of a session for now."""
        self.check_schedule.set(socket, self.now())
        self.schedule_checks(self.now())

    def check_session(self, socket: SessionSocket) -> None:
        """Ping or close a session if it is time to, and schedule its next check."""
        if not socket.liveness or (not socket.rpc and socket in self.open and not socket.is_open):
            return
        in_progress = len(socket.rpc.session.requests) if socket.rpc else 0
        action, next_check = socket.liveness.next_action(self.now(), in_progress, socket.slow)
        if action is LivenessAction.NOTHING or action is LivenessAction.PING:
            if action is LivenessAction.PING and socket.protocol and socket.is_open:
                socket.protocol.write_ping(b"")
            self.check_schedule.set(socket, next_check)
            self.schedule_checks(next_check)
            return
        self.closed_counts[action.value] = self.closed_counts.get(action.value, 0) + 1
        log.info(
            "session closed by its liveness check",
            session=socket.rpc.session.name if socket.rpc else "",
            why=action.value,
        )
        if action is LivenessAction.IDLE:
            socket.close(CLOSE_NORMAL, "idle")
        else:
            if action is LivenessAction.SLOW:
                # For the client: it does not read its messages.
                socket.close(CLOSE_SLOW, "what is said is not taken")
            if socket.protocol:
                socket.protocol.stream.close()  # no closing handshake: the client is gone or reads nothing

    def schedule_checks(self, at: float) -> None:
        """Make sure that checks run at a time, at the latest."""
        if at >= self.next_check:
            return
        if self.timer:
            self.timer.cancel()
        self.next_check = at
        self.timer = asyncio.get_running_loop().call_at(at, self.run_checks)

    def run_checks(self) -> None:
        """Check the sessions that are due, and schedule the next run."""
        self.timer, self.next_check = None, float("inf")
        for socket in self.check_schedule.ready(self.now()):
            self.check_session(socket)
        if self.check_schedule.heap:
            self.schedule_checks(self.check_schedule.heap[0][0])

    # Stopping.

    def stop(self) -> None:
        """Accept no new requests; notify each session, and close it at its time in the closing window.

        A session with requests in progress is closed once they have ended.
        """
        self.manager.stopping = True
        loop = asyncio.get_running_loop()
        for socket, after in closing_delays(list(self.open), self.closing_window, self.seed).items():
            if socket.rpc:
                socket.rpc.announce_closing(after)
            loop.call_later(after, self.close_session, socket)

    def close_session(self, socket: SessionSocket) -> None:
        """Close a session once it has no request in progress."""
        if socket not in self.open:
            return
        if socket.rpc and socket.rpc.session.requests:
            asyncio.get_running_loop().call_later(0.05, self.close_session, socket)
            return
        # Close reason for the client: this front node stops.
        socket.close(CLOSE_GOING_AWAY, "the front stops")

    def close(self) -> None:
        """Close all sessions at once."""
        for socket in list(self.open):
            socket.close(CLOSE_GOING_AWAY, "the front stops")
