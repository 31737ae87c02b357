"""Completions over WebSocket sessions (RFC 6455, JSON-RPC 2.0): one session a front, many completions on
it."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import orjson
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.websocket import WebSocketClientConnection, websocket_connect

from heathford.client.answers import BadRequest
from heathford.client.base import Client, AttemptError
from heathford.client.retry import FailureKind

CONNECT = 1.0  # s in which a front that is there takes a session
GRACE = 0.5  # s beyond its time in which the front's own answer may still come
STREAM = 120.0  # s that a stream may go on
SUBPROTOCOLS = ["heathford.v2", "heathford.v1"]  # newest first
RATE_LIMITED, ABORTED = -32001, -32002


def refusal_of(body: bytes) -> str:
    """Why a front refuses the handshake, as far as it says."""
    try:
        return str(orjson.loads(body)["detail"])
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return "the front refuses the session"


class SharedSession:
    """One session, its completions by id."""

    def __init__(self, socket: WebSocketClientConnection) -> None:
        self.socket = socket
        self.count = 0
        self.out: dict[int, asyncio.Queue[dict[str, Any] | None]] = {}
        self.going = self.lost = False
        self.listening = asyncio.get_running_loop().create_task(self.listen())

    async def listen(self) -> None:
        try:
            while (message := await self.socket.read_message()) is not None:
                said = orjson.loads(message)
                if said.get("method") == "session.going":
                    self.going = True  # what is out ends here; what is new goes elsewhere
                    continue
                key = said["params"]["id"] if "method" in said else said.get("id")
                if key in self.out:
                    self.out[key].put_nowait(said)
        finally:
            self.lost = True
            for queue in self.out.values():
                queue.put_nowait(None)

    async def say(self, method: str, params: dict[str, Any], key: int | None = None) -> None:
        await self.socket.write_message(
            orjson.dumps(
                {"jsonrpc": "2.0", "method": method, "params": params, **({"id": key} if key else {})}
            ).decode()
        )


class WebSocketClient(Client):
    """addresses: ws://HOST:PORT/v1/sessions or wss://HOST:PORT/v1/sessions"""

    def __init__(self, addresses: Sequence[str], *args: Any, **more: Any) -> None:
        super().__init__(addresses, *args, **more)
        self.sessions: dict[int, SharedSession] = {}
        self.connecting: dict[int, asyncio.Lock] = {}

    async def session(self, front: int) -> SharedSession:
        async with self.connecting.setdefault(front, asyncio.Lock()):
            found = self.sessions.get(front)
            if found and not found.lost and not found.going:
                return found
            try:
                socket = await websocket_connect(
                    HTTPRequest(self.addresses[front], connect_timeout=CONNECT, ssl_options=self.tls),
                    subprotocols=SUBPROTOCOLS,
                )
            except HTTPClientError as problem:
                if problem.code == 400 and problem.response:
                    raise BadRequest(refusal_of(problem.response.body)) from None
                raise AttemptError(FailureKind.UNREACHED, f"{self.addresses[front]}: {problem!r}") from None
            except Exception as problem:  # refused, no answer, no WebSocket there
                raise AttemptError(FailureKind.UNREACHED, f"{self.addresses[front]}: {problem!r}") from None
            self.sessions[front] = SharedSession(socket)
            return self.sessions[front]

    async def once(
        self, front: int, params: dict[str, Any], timeout: float, tell: Callable[[str, str], None]
    ) -> tuple[str, str, Any]:
        session = await self.session(front)
        session.count += 1
        key = session.count
        queue = session.out[key] = asyncio.Queue()
        ended = begun = False
        try:
            try:
                await session.say("completions.create", {**params, "timeout": timeout}, key)
            except Exception as problem:
                raise AttemptError(FailureKind.LOST, f"the session is gone: {problem!r}") from None
            while True:
                try:
                    async with asyncio.timeout(STREAM if begun else timeout + GRACE):
                        said = await queue.get()
                except TimeoutError:
                    raise AttemptError(FailureKind.LOST, "the front did not answer") from None
                if said is None:
                    ended = True
                    refused = session.socket.close_code == 1013
                    raise AttemptError(
                        FailureKind.UNREACHED if refused else FailureKind.LOST, "the session was lost"
                    )
                if "method" in said:
                    begun = True
                    tell(said["params"]["completion"], said["params"]["choices"][0]["text"])
                    continue
                ended = True
                if "result" in said:
                    result = said["result"]
                    return result["id"], result["choices"][0]["finish_reason"], result["usage"]
                self.fail(said["error"])
        finally:
            del session.out[key]
            if not ended and not session.lost:
                asyncio.ensure_future(session.say("completions.cancel", {"id": key})).add_done_callback(
                    lambda done: done.cancelled() or done.exception()
                )

    def fail(self, error: dict[str, Any]) -> None:
        data = error.get("data") or {}
        said, completion = str(data.get("retry") or ""), str(data.get("completion") or "")
        if error["code"] == RATE_LIMITED:
            wait = float(data.get("retry_after") or 0.0)
            raise AttemptError(FailureKind.REFUSED, error["message"], wait, said, completion)
        if error["code"] == ABORTED:
            raise AttemptError(FailureKind.ABORTED, error["message"], 0.0, said, completion)
        raise BadRequest(error["message"])

    async def close(self) -> None:
        for session in self.sessions.values():
            session.socket.close()
            session.listening.cancel()
        await asyncio.gather(*(s.listening for s in self.sessions.values()), return_exceptions=True)
        self.sessions.clear()
