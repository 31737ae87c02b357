"""Simulated editors with a WebSocket session of their own. What passes at the socket is recorded."""

import asyncio
import random
import time
from typing import Any

import orjson
from tornado.websocket import WebSocketClientConnection, websocket_connect

from heathford.days.plan import Editor, Turn, make_text
from heathford.days.recording import Recording

MIN_TIME_LEFT = 0.05  # s before the deadline; with less left, nothing is sent any more
RECONNECT_DELAY = 0.1  # s before the next try after no front node could be reached
LINGER = 0.2  # s to listen after the last answer, for messages that must not come any more
TIMED_OUT = object()
MAX_STREAM_TIME = 60.0  # s to listen to a stream after the deadline


class SocketEditor:
    """One editor's session.

    urls: of the front nodes, in the order of front_names. timeouts: by workload, for editors without a
    timeout of their own: s, and s per 1000 tokens of the prompt.
    """

    def __init__(
        self,
        recording: Recording,
        editor: Editor,
        name: str,
        urls: list[str],
        front_names: list[str],
        timeouts: dict[str, tuple[float, float]],
        bytes_per_token: float,
        stop_at: float,
    ) -> None:
        self.recording, self.editor, self.name = recording, editor, name
        self.urls, self.front_names, self.timeouts = urls, front_names, timeouts
        self.bytes_per_token = bytes_per_token
        self.stop_at = stop_at  # s of the monotonic clock after which no turn starts
        self.socket: WebSocketClientConnection | None = None
        self.front = ""
        self.request_count = 0
        self.left = False  # amid a request
        self.dropped = False  # the socket, on purpose, in this turn
        self.pending_read: asyncio.Future[Any] | None = None
        self.rng = random.Random(editor.seed)

    def note(self, what: str, **fields: Any) -> None:
        self.recording.note("client", what, session=self.name, front=self.front, **fields)

    async def run_session(self) -> None:
        """Play all turns, then close the session."""
        editor = self.editor
        shared = (
            make_text(editor.shared_prefix, editor.shared_tokens, self.bytes_per_token)
            if editor.shared_prefix
            else ""
        )
        history = shared
        try:
            for number, turn in enumerate(editor.turns):
                if number:
                    await asyncio.sleep(turn.think_time)
                    if time.monotonic() > self.stop_at:
                        break
                history += make_text(f"{editor.seed}:{number}", turn.new_tokens, self.bytes_per_token)
                answer = await self.run_turn(turn, history, number)
                if answer is None:
                    break
                history += answer
        finally:
            if not self.left:
                await self.linger()
            if self.socket:
                self.note("leaves")
                self.socket.close()

    async def next_message(self, socket: WebSocketClientConnection, deadline: float) -> Any:
        """Return the next message, None if the socket is closed, or TIMED_OUT.

        A read that has not ended is kept for the next call: if it were cancelled, its message could be lost.
        """
        if self.pending_read is None:
            self.pending_read = asyncio.ensure_future(socket.read_message())
        await asyncio.wait([self.pending_read], timeout=max(0.0, deadline - time.monotonic()))
        if not self.pending_read.done():
            return TIMED_OUT
        pending_read, self.pending_read = self.pending_read, None
        return pending_read.result()

    async def linger(self) -> None:
        """Record what still arrives shortly after the last answer."""
        deadline = time.monotonic() + LINGER
        while self.socket:
            received = await self.next_message(self.socket, deadline)
            if received is None or received is TIMED_OUT:
                return
            answer = orjson.loads(received)
            if answer.get("method") is None and answer.get("id") is not None:
                self.note_final(answer, "")

    async def connect(self) -> bool:
        """Open a session at the first front node that can be reached; return whether there is one."""
        first = self.editor.first_front
        for offset in range(len(self.urls)):
            index = (first + offset) % len(self.urls)
            try:
                self.socket = await websocket_connect(self.urls[index], connect_timeout=1.0)
            except Exception:
                continue
            self.front = self.front_names[index]
            return True
        return False

    async def run_turn(self, turn: Turn, prompt: str, number: int) -> str | None:
        """Request one answer, with retries. Return its text, or None if the session is over."""
        idempotency_key = f"{self.name}.{number}"
        self.dropped = False
        base, per_1000_tokens = self.timeouts[self.editor.workload]
        tokens = len(prompt) / self.bytes_per_token
        timeout = self.editor.timeout or base + per_1000_tokens * tokens / 1000
        deadline = time.monotonic() + timeout
        self.recording.note(
            "client", "wants", first=idempotency_key, workload=self.editor.workload, tokens=tokens
        )
        for retries_left in range(self.editor.retries, -1, -1):
            disconnected = self.socket is None or self.socket.close_code is not None
            while disconnected and not await self.connect():
                if deadline - time.monotonic() < RECONNECT_DELAY + MIN_TIME_LEFT:
                    self.note("no front", first=idempotency_key)
                    return None
                await asyncio.sleep(RECONNECT_DELAY)
            if deadline - time.monotonic() < MIN_TIME_LEFT:
                return ""
            outcome, text, retry_after = await self.request_once(
                idempotency_key, turn, prompt, deadline - time.monotonic()
            )
            if outcome == "finished":
                return text
            if outcome in ("left", "lost", "cancelled") and not (outcome == "lost" and retries_left):
                return None
            if outcome == "lost":
                self.socket = self.pending_read = None
            pause = retry_after * (1.0 + self.rng.random())
            if outcome == "lost" and self.dropped:
                pause = 0.0
            if not retries_left or time.monotonic() + pause > deadline - 0.2:
                return "" if outcome != "lost" else None
            await asyncio.sleep(pause)
        return ""

    async def request_once(
        self, idempotency_key: str, turn: Turn, prompt: str, timeout: float
    ) -> tuple[str, str, float]:
        """Send the request once. Return its outcome, the text received, and the Retry-After in seconds."""
        socket = self.socket
        assert socket
        self.request_count += 1
        request_id = self.request_count
        params: dict[str, Any] = {
            "model": self.editor.workload,
            "prompt": prompt,
            "max_tokens": turn.answer_tokens,
            "timeout": timeout,
            "idempotency_key": f"{idempotency_key}",
        }
        if self.editor.tenant:
            params["user"] = self.editor.tenant
        if self.editor.shared_prefix:
            params |= {
                "prompt_cache_key": self.editor.shared_prefix,
                "prefix_tokens": self.editor.shared_tokens,
            }
        message = orjson.dumps(
            {"jsonrpc": "2.0", "id": request_id, "method": "completions.create", "params": params}
        ).decode()
        self.note(
            "asked", id=request_id, first=idempotency_key, workload=self.editor.workload, timeout=timeout
        )
        sent_at = time.monotonic()
        try:
            await socket.write_message(message)
        except Exception:
            self.note("closed", code=socket.close_code)
            return "lost", "", 0.0
        listen_until = sent_at + timeout + MAX_STREAM_TIME
        leaves_at = sent_at + turn.leaves_after if turn.leaves_after is not None else None
        cancels_at = sent_at + turn.cancels_after if turn.cancels_after is not None else None
        disconnects_at = (
            sent_at + turn.disconnects_after
            if turn.disconnects_after is not None and not self.dropped
            else None
        )
        text: list[str] = []
        while True:
            wake_at = min(x for x in (listen_until, leaves_at, cancels_at, disconnects_at) if x is not None)
            received = await self.next_message(socket, wake_at)
            if received is TIMED_OUT and wake_at == disconnects_at:
                self.note("goes", id=request_id)
                self.dropped = True
                socket.close()
                return "lost", "", 0.0
            if received is TIMED_OUT:
                if wake_at == cancels_at:
                    cancels_at = None
                    self.note("cancels", id=request_id)
                    await socket.write_message(
                        orjson.dumps(
                            {
                                "jsonrpc": "2.0",
                                "id": None,
                                "method": "completions.cancel",
                                "params": {"id": request_id},
                            }
                        ).decode()
                    )
                    continue
                self.note("goes", id=request_id)
                self.left = True
                return "left", "", 0.0
            if received is None:
                self.note("closed", code=socket.close_code)
                return "lost", "", 0.0
            answer = orjson.loads(received)
            if answer.get("method") == "completions.chunk":
                part = answer["params"]["choices"][0]["text"]
                text.append(part)
                self.note(
                    "chunk", id=answer["params"]["id"], completion=answer["params"]["completion"], text=part
                )
                continue
            if answer.get("id") is None:
                continue
            self.note_final(answer, "".join(text))
            if answer["id"] == request_id:
                data = (answer.get("error") or {}).get("data") or {}
                outcome = data.get("final") or ("finished" if "result" in answer else "error")
                if outcome == "aborted" and turn.cancels_after is not None and cancels_at is None:
                    outcome = "cancelled"
                return outcome, "".join(text), data.get("retry_after", 0.0)

    def note_final(self, answer: dict[str, Any], text: str) -> None:
        """Record a final answer; text: of its chunks."""
        if "result" in answer:
            result = answer["result"]
            self.note(
                "final",
                id=answer["id"],
                final=result["final"],
                completion=result["id"],
                same=result["choices"][0]["text"] == text,
                tokens=result["usage"].get("completion_tokens"),
            )
        else:
            error = answer["error"]
            data = error.get("data") or {}
            self.note(
                "final",
                id=answer["id"],
                final=data.get("final", "error"),
                code=error["code"],
                completion=data.get("completion"),
                retry_after=data.get("retry_after"),
                message=error["message"],
            )
