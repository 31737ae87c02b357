"""Simulated editors that use the client libraries. Editors share a client, and each try is recorded."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from heathford.client import BadRequest, HttpClient, WebSocketClient
from heathford.client.answers import CompletionError
from heathford.client.base import Client, AttemptError
from heathford.client.retry import FailureKind
from heathford.days.plan import Editor, Turn, make_text
from heathford.days.recording import Recording

# The failures of a try that are final answers of the front node.
FINAL_ANSWERS = {FailureKind.REFUSED: "rate-limited", FailureKind.ABORTED: "aborted"}


class Noted(Client):
    """A library's client that records each try as if it were a session with a socket of its own."""

    recording: Recording
    front_names: list[str]
    attempts = 0

    def start_recording(self, recording: Recording, front_names: list[str]) -> None:
        self.recording, self.front_names = recording, front_names

    def set_front_url(self, front: int, url: str) -> None:
        """Use a new URL for a front node that was restarted; front: its index."""
        self.addresses[front] = self.address_from_url(url)

    @staticmethod
    def address_from_url(url: str) -> str:
        """Return the address that this client takes for a front node's session URL."""
        return url

    async def once(
        self, front: int, params: dict[str, Any], timeout: float, tell: Callable[[str, str], None]
    ) -> tuple[str, str, Any]:
        self.attempts += 1
        idempotency_key, name = params["idempotency_key"], f"try{type(self).__name__}{self.attempts}"

        def note(what: str, **fields: Any) -> None:
            self.recording.note("client", what, session=name, front=self.front_names[front], id=1, **fields)

        def record_chunk(completion: str, text: str) -> None:
            note("chunk", completion=completion, text=text)
            tell(completion, text)

        note("asked", first=idempotency_key, workload=params["model"], timeout=timeout)
        try:
            completion, reason, usage = await super().once(  # type: ignore[safe-super]
                front, params, timeout, record_chunk
            )
        except AttemptError as error:
            if error.trouble in FINAL_ANSWERS:
                note(
                    "final",
                    final=FINAL_ANSWERS[error.trouble],
                    completion=error.completion or None,
                    retry_after=error.retry_after,
                    message=str(error),
                )
            elif error.trouble is FailureKind.UNREACHED:
                note("goes")  # never sent: the client is owed no answer
            else:
                note("closed", code=None)
            raise
        except BadRequest as error:
            note("final", final="error", code=400, completion=None, message=str(error))
            raise
        except asyncio.CancelledError:
            note("goes")
            raise
        note(
            "final", final="finished", completion=completion, same=True, tokens=usage.get("completion_tokens")
        )
        return completion, reason, usage


class NotedWebSocket(Noted, WebSocketClient):
    """The WebSocket library's client, recorded. Its name is part of the sessions' names."""

    pass


class NotedHttp(Noted, HttpClient):
    """The HTTP library's client, recorded. Its name is part of the sessions' names."""

    @staticmethod
    def address_from_url(url: str) -> str:
        return url.replace("ws", "http", 1).removesuffix("/v1/sessions")


CLIENT_CLASSES: dict[str, type[Noted]] = {
    "websocket library": NotedWebSocket,
    "http library": NotedHttp,
}


class LibraryClients:
    """The library clients of a day: one for each library, tenant and retry budget."""

    def __init__(self, recording: Recording, urls: list[str], front_names: list[str], seed: int) -> None:
        self.recording, self.urls, self.front_names, self.seed = recording, urls, front_names, seed
        self.clients: dict[tuple[str, str, float], Noted] = {}

    def client_for(self, editor: Editor) -> Noted:
        name = editor.client_kind, editor.tenant, editor.retry_share
        if name not in self.clients:
            client_class = CLIENT_CLASSES[editor.client_kind]
            client = self.clients[name] = client_class(
                [client_class.address_from_url(url) for url in self.urls],
                editor.tenant,
                editor.retry_share,
                seed=self.seed + len(self.clients),
            )
            client.start_recording(self.recording, self.front_names)
        return self.clients[name]

    def set_front_url(self, front: int, url: str) -> None:
        for client in self.clients.values():
            client.set_front_url(front, url)

    async def close(self) -> None:
        for client in self.clients.values():
            await client.close()


class LibraryEditor:
    """One editor that uses a library's client, which does all retries."""

    def __init__(
        self,
        recording: Recording,
        client: Noted,
        editor: Editor,
        name: str,
        timeouts: dict[str, tuple[float, float]],
        effects: dict[str, str],
        bytes_per_token: float,
        stop_at: float,
    ) -> None:
        self.recording, self.client, self.editor, self.name = recording, client, editor, name
        self.timeouts, self.bytes_per_token, self.stop_at = timeouts, bytes_per_token, stop_at
        self.repeatable = effects[editor.workload] == "idempotent"
        self.rng = random.Random(editor.seed)

    async def run_session(self) -> None:
        """Play all turns."""
        editor = self.editor
        history = (
            make_text(editor.shared_prefix, editor.shared_tokens, self.bytes_per_token)
            if editor.shared_prefix
            else ""
        )
        for number, turn in enumerate(editor.turns):
            if number:
                await asyncio.sleep(turn.think_time)
                if time.monotonic() > self.stop_at:
                    break
            history += make_text(f"{editor.seed}:{number}", turn.new_tokens, self.bytes_per_token)
            answer = await self.run_turn(turn, history, f"{self.name}.{number}")
            if answer is None:
                break
            history += answer

    async def run_turn(self, turn: Turn, prompt: str, request_key: str) -> str | None:
        """Request one answer. Return its text, empty if it failed, or None if the editor leaves."""
        editor, tokens = self.editor, len(prompt) / self.bytes_per_token
        base, per_1000_tokens = self.timeouts[editor.workload]
        timeout = editor.timeout or base + per_1000_tokens * tokens / 1000
        self.recording.note("client", "wants", first=request_key, workload=editor.workload, tokens=tokens)
        stream = self.client.stream(
            editor.workload,
            prompt,
            max_tokens=turn.answer_tokens,
            timeout=timeout,
            repeatable=self.repeatable,
            idempotency_key=request_key,
            prompt_cache_key=editor.shared_prefix,
            prefix_tokens=editor.shared_tokens,
        )
        task = stream.start()
        leave_timeout = min(
            (x for x in (turn.leaves_after, turn.cancels_after) if x is not None), default=None
        )
        await asyncio.wait([task], timeout=leave_timeout)
        if not task.done():
            task.cancel()
            await asyncio.wait([task])
            return None
        try:
            return task.result().text
        except CompletionError:
            return ""
