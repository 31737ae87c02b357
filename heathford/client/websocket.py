"""Completions over WebSocket sessions (RFC 6455, JSON-RPC 2.0): one session per front node, many requests."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import orjson
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.websocket import WebSocketClientConnection, websocket_connect

from heathford.client.answers import BadRequest
from heathford.client.base import Client, AttemptError
from heathford.client.retry import FailureKind

CONNECT_TIMEOUT = 1.0  # s in which a running front node accepts a session
ANSWER_GRACE = 0.5  # s after the deadline in which the front node's final answer may still arrive
STREAM_TIMEOUT = 120.0  # s between two messages of a stream
SUBPROTOCOLS = ["heathford.v2", "heathford.v1"]  # newest first
RATE_LIMITED, ABORTED = -32001, -32002


def refusal_detail(body: bytes) -> str:
    """Return the reason that a front node gives for refusing the handshake."""
    try:
        return str(orjson.loads(body)["detail"])
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return "the front node refused the session"


class SharedSession:
    """One session and its requests in progress, by JSON-RPC id."""

    def __init__(self, socket: WebSocketClientConnection) -> None:
        self.socket = socket
        self.last_id = 0
        self.pending: dict[int, asyncio.Queue[dict[str, Any] | None]] = {}
        self.closing = self.lost = False
        self.reader_task = asyncio.get_running_loop().create_task(self.read_messages())

    async def read_messages(self) -> None:
        """Pass each message on to its request until the session ends; None stands for the end."""
        try:
            while (data := await self.socket.read_message()) is not None:
                message = orjson.loads(data)
                if message.get("method") == "session.going":
                    self.closing = True  # what is in progress ends here; new requests use another front node
                    continue
                key = message["params"]["id"] if "method" in message else message.get("id")
                if key in self.pending:
                    self.pending[key].put_nowait(message)
        finally:
            self.lost = True
            for queue in self.pending.values():
                queue.put_nowait(None)

    async def send_call(self, method: str, params: dict[str, Any], key: int | None = None) -> None:
        """Send a JSON-RPC call; without a key, a notification."""
        await self.socket.write_message(
            orjson.dumps(
                {"jsonrpc": "2.0", "method": method, "params": params, **({"id": key} if key else {})}
            ).decode()
        )


class WebSocketClient(Client):
    """A client over sessions; addresses: ws://HOST:PORT/v1/sessions or wss://HOST:PORT/v1/sessions."""

    def __init__(self, addresses: Sequence[str], *args: Any, **more: Any) -> None:
        super().__init__(addresses, *args, **more)
        self.sessions: dict[int, SharedSession] = {}
        self.connecting: dict[int, asyncio.Lock] = {}

    async def session(self, front: int) -> SharedSession:
        """Return the open session with a front node, or a new one. Raises AttemptError or BadRequest."""
        async with self.connecting.setdefault(front, asyncio.Lock()):
            shared = self.sessions.get(front)
            if shared and not shared.lost and not shared.closing:
                return shared
            try:
                socket = await websocket_connect(
                    HTTPRequest(self.addresses[front], connect_timeout=CONNECT_TIMEOUT, ssl_options=self.tls),
                    subprotocols=SUBPROTOCOLS,
                )
            except HTTPClientError as error:
                if error.code == 400 and error.response:
                    raise BadRequest(refusal_detail(error.response.body)) from None
                raise AttemptError(FailureKind.UNREACHED, f"{self.addresses[front]}: {error!r}") from None
            except Exception as error:  # connection refused, no answer, or not a WebSocket server
                raise AttemptError(FailureKind.UNREACHED, f"{self.addresses[front]}: {error!r}") from None
            self.sessions[front] = SharedSession(socket)
            return self.sessions[front]

    async def once(
        self, front: int, params: dict[str, Any], timeout: float, tell: Callable[[str, str], None]
    ) -> tuple[str, str, Any]:
        session = await self.session(front)
        session.last_id += 1
        key = session.last_id
        queue = session.pending[key] = asyncio.Queue()
        ended = started = False
        try:
            try:
                await session.send_call("completions.create", {**params, "timeout": timeout}, key)
            except Exception as error:
                raise AttemptError(FailureKind.LOST, f"the session was lost: {error!r}") from None
            while True:
                try:
                    async with asyncio.timeout(STREAM_TIMEOUT if started else timeout + ANSWER_GRACE):
                        message = await queue.get()
                except TimeoutError:
                    raise AttemptError(FailureKind.LOST, "the front node did not answer in time") from None
                if message is None:
                    ended = True
                    refused = session.socket.close_code == 1013
                    raise AttemptError(
                        FailureKind.UNREACHED if refused else FailureKind.LOST, "the session was lost"
                    )
                if "method" in message:
                    started = True
                    tell(message["params"]["completion"], message["params"]["choices"][0]["text"])
                    continue
                ended = True
                if "result" in message:
                    result = message["result"]
                    return result["id"], result["choices"][0]["finish_reason"], result["usage"]
                self.fail(message["error"])
        finally:
            del session.pending[key]
            if not ended and not session.lost:
                asyncio.ensure_future(session.send_call("completions.cancel", {"id": key})).add_done_callback(
                    lambda done: done.cancelled() or done.exception()
                )

    def fail(self, error: dict[str, Any]) -> None:
        """Raise AttemptError or BadRequest for a JSON-RPC error."""
        data = error.get("data") or {}
        guidance, completion = str(data.get("retry") or ""), str(data.get("completion") or "")
        if error["code"] == RATE_LIMITED:
            wait = float(data.get("retry_after") or 0.0)
            raise AttemptError(FailureKind.REFUSED, error["message"], wait, guidance, completion)
        if error["code"] == ABORTED:
            raise AttemptError(FailureKind.ABORTED, error["message"], 0.0, guidance, completion)
        raise BadRequest(error["message"])

    async def close(self) -> None:
        for session in self.sessions.values():
            session.socket.close()
            session.reader_task.cancel()
        await asyncio.gather(*(s.reader_task for s in self.sessions.values()), return_exceptions=True)
        self.sessions.clear()
