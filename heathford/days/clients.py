"""Editors: each opens a session, asks, waits, thinks, asks again; all of it noted at its own socket."""

import asyncio
import random
import time
from typing import Any

import orjson
from tornado.websocket import WebSocketClientConnection, websocket_connect

from heathford.days.plan import Editor, Turn, text_of
from heathford.days.recording import Recording

LEAST = 0.05  # s left below which a client asks no more
PAUSE = 0.1  # s until a client that found no front looks again
LINGER = 0.2  # s that a client listens on after its last answer, for what must not come any more
TOO_LATE = object()
STREAM = 60.0  # s that a client listens to a stream


class Client:
    """One editor's session. urls: the fronts'; timeouts: s by workload where the plan states none."""

    def __init__(
        self,
        recording: Recording,
        editor: Editor,
        name: str,
        urls: list[str],
        front_names: list[str],
        timeouts: dict[str, tuple[float, float]],
        bytes_per_token: float,
        until: float,
    ) -> None:
        self.recording, self.editor, self.name = recording, editor, name
        self.urls, self.front_names, self.timeouts = urls, front_names, timeouts
        self.bytes_per_token = bytes_per_token
        self.until = until  # s on the monotonic clock after which no further turn begins
        self.socket: WebSocketClientConnection | None = None
        self.front = ""
        self.count = 0
        self.gone = False
        self.dropped = False  # in this turn
        self.reading: asyncio.Future[Any] | None = None
        self.random = random.Random(editor.seed)

    def note(self, what: str, **fields: Any) -> None:
        self.recording.note("client", what, session=self.name, front=self.front, **fields)

    async def live(self) -> None:
        editor = self.editor
        shared = text_of(editor.shared, editor.shared_tokens, self.bytes_per_token) if editor.shared else ""
        history = shared
        try:
            for number, turn in enumerate(editor.turns):
                if number:
                    await asyncio.sleep(turn.think)
                    if time.monotonic() > self.until:
                        break
                history += text_of(f"{editor.seed}:{number}", turn.tokens, self.bytes_per_token)
                answer = await self.ask(turn, history, number)
                if answer is None:
                    break
                history += answer
        finally:
            if not self.gone:
                await self.linger()
            if self.socket:
                self.note("leaves")
                self.socket.close()

    async def heard(self, socket: WebSocketClientConnection, until: float) -> Any:
        """The next message, None where the socket has closed, or TOO_LATE. A read that is not over goes on:
        one cut short could lose the message that it was about to give."""
        if self.reading is None:
            self.reading = asyncio.ensure_future(socket.read_message())
        await asyncio.wait([self.reading], timeout=max(0.0, until - time.monotonic()))
        if not self.reading.done():
            return TOO_LATE
        reading, self.reading = self.reading, None
        return reading.result()

    async def linger(self) -> None:
        """Listens on a little, for what must not come any more."""
        until = time.monotonic() + LINGER
        while self.socket:
            said = await self.heard(self.socket, until)
            if said is None or said is TOO_LATE:
                return
            answer = orjson.loads(said)
            if answer.get("method") is None and answer.get("id") is not None:
                self.final(answer, "")

    async def connected(self) -> bool:
        first = self.editor.front
        for step in range(len(self.urls)):
            place = (first + step) % len(self.urls)
            try:
                self.socket = await websocket_connect(self.urls[place], connect_timeout=1.0)
            except Exception:
                continue
            self.front = self.front_names[place]
            return True
        return False

    async def ask(self, turn: Turn, prompt: str, number: int) -> str | None:
        """One turn with its retries: the answer's text, or None where the session is over."""
        first = f"{self.name}.{number}"
        self.dropped = False
        base, more = self.timeouts[self.editor.workload]
        tokens = len(prompt) / self.bytes_per_token
        timeout = self.editor.timeout or base + more * tokens / 1000
        until = time.monotonic() + timeout
        self.recording.note("client", "wants", first=first, workload=self.editor.workload, tokens=tokens)
        for left in range(self.editor.retries, -1, -1):
            lost = self.socket is None or self.socket.close_code is not None
            while lost and not await self.connected():
                if until - time.monotonic() < PAUSE + LEAST:
                    self.note("no front", first=first)
                    return None
                await asyncio.sleep(PAUSE)
            if until - time.monotonic() < LEAST:
                return ""
            final, text, wait = await self.once(first, turn, prompt, until - time.monotonic())
            if final == "finished":
                return text
            if final in ("left", "lost", "cancelled") and not (final == "lost" and left):
                return None
            if final == "lost":
                self.socket = self.reading = None
            pause = wait * (1.0 + self.random.random())
            if final == "lost" and self.dropped:
                pause = 0.0
            if not left or time.monotonic() + pause > until - 0.2:
                return "" if final != "lost" else None
            await asyncio.sleep(pause)
        return ""

    async def once(self, first: str, turn: Turn, prompt: str, timeout: float) -> tuple[str, str, float]:
        """One try: how it ended, its text, s to stay away."""
        socket = self.socket
        assert socket
        self.count += 1
        key = self.count
        params: dict[str, Any] = {
            "model": self.editor.workload,
            "prompt": prompt,
            "max_tokens": turn.answer,
            "timeout": timeout,
            "idempotency_key": f"{first}",
        }
        if self.editor.member:
            params["user"] = self.editor.member
        if self.editor.shared:
            params |= {"prompt_cache_key": self.editor.shared, "prefix_tokens": self.editor.shared_tokens}
        message = orjson.dumps(
            {"jsonrpc": "2.0", "id": key, "method": "completions.create", "params": params}
        ).decode()
        self.note("asked", id=key, first=first, workload=self.editor.workload, timeout=timeout)
        asked = time.monotonic()
        try:
            await socket.write_message(message)
        except Exception:
            self.note("closed", code=socket.close_code)
            return "lost", "", 0.0
        listening = asked + timeout + STREAM
        leaves = asked + turn.leaves if turn.leaves is not None else None
        cancels = asked + turn.cancels if turn.cancels is not None else None
        drops = asked + turn.drops if turn.drops is not None and not self.dropped else None
        text: list[str] = []
        while True:
            until = min(x for x in (listening, leaves, cancels, drops) if x is not None)
            said = await self.heard(socket, until)
            if said is TOO_LATE and until == drops:
                self.note("goes", id=key)
                self.dropped = True
                socket.close()
                return "lost", "", 0.0
            if said is TOO_LATE:
                if until == cancels:
                    cancels = None
                    self.note("cancels", id=key)
                    await socket.write_message(
                        orjson.dumps(
                            {
                                "jsonrpc": "2.0",
                                "id": None,
                                "method": "completions.cancel",
                                "params": {"id": key},
                            }
                        ).decode()
                    )
                    continue
                self.note("goes", id=key)
                self.gone = True
                return "left", "", 0.0
            if said is None:
                self.note("closed", code=socket.close_code)
                return "lost", "", 0.0
            answer = orjson.loads(said)
            if answer.get("method") == "completions.chunk":
                part = answer["params"]["choices"][0]["text"]
                text.append(part)
                self.note(
                    "chunk", id=answer["params"]["id"], completion=answer["params"]["completion"], text=part
                )
                continue
            if answer.get("id") is None:
                continue
            self.final(answer, "".join(text))
            if answer["id"] == key:
                data = (answer.get("error") or {}).get("data") or {}
                how = data.get("final") or ("finished" if "result" in answer else "error")
                if how == "aborted" and turn.cancels is not None and cancels is None:
                    how = "cancelled"
                return how, "".join(text), data.get("retry_after", 0.0)

    def final(self, answer: dict[str, Any], text: str) -> None:
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
