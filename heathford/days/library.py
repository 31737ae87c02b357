"""Editors whose program uses one of the client libraries: one client for all of them, each try noted."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from heathford.client import BadRequest, HttpClient, WebSocketClient
from heathford.client.answers import CompletionError
from heathford.client.base import Client, AttemptError
from heathford.client.retry import FailureKind
from heathford.days.plan import Editor, Turn, text_of
from heathford.days.recording import Recording

ENDS = {
    FailureKind.REFUSED: "rate-limited",
    FailureKind.ABORTED: "aborted",
}  # which are final answers of the front


class Noted(Client):
    """A client whose tries are noted as a socket of their own would see them."""

    recording: Recording
    front_names: list[str]
    tried = 0

    def watch(self, recording: Recording, front_names: list[str]) -> None:
        self.recording, self.front_names = recording, front_names

    def moved(self, front: int, url: str) -> None:
        """The front has come up again, elsewhere."""
        self.addresses[front] = self.form(url)

    @staticmethod
    def form(url: str) -> str:
        return url

    async def once(
        self, front: int, params: dict[str, Any], timeout: float, tell: Callable[[str, str], None]
    ) -> tuple[str, str, Any]:
        self.tried += 1
        first, name = params["idempotency_key"], f"try{type(self).__name__}{self.tried}"

        def note(what: str, **fields: Any) -> None:
            self.recording.note("client", what, session=name, front=self.front_names[front], id=1, **fields)

        def told(completion: str, text: str) -> None:
            note("chunk", completion=completion, text=text)
            tell(completion, text)

        note("asked", first=first, workload=params["model"], timeout=timeout)
        try:
            completion, reason, usage = await super().once(  # type: ignore[safe-super]
                front, params, timeout, told
            )
        except AttemptError as problem:
            if problem.trouble in ENDS:
                note(
                    "final",
                    final=ENDS[problem.trouble],
                    completion=problem.completion or None,
                    retry_after=problem.retry_after,
                    message=str(problem),
                )
            elif problem.trouble is FailureKind.UNREACHED:
                note("goes")  # it was never sent
            else:
                note("closed", code=None)
            raise
        except BadRequest as problem:
            note("final", final="error", code=400, completion=None, message=str(problem))
            raise
        except asyncio.CancelledError:
            note("goes")
            raise
        note(
            "final", final="finished", completion=completion, same=True, tokens=usage.get("completion_tokens")
        )
        return completion, reason, usage


class NotedWebSocket(Noted, WebSocketClient):
    pass


class NotedHttp(Noted, HttpClient):
    @staticmethod
    def form(url: str) -> str:
        return url.replace("ws", "http", 1).removesuffix("/v1/sessions")


LIBRARIES: dict[str, type[Noted]] = {"websocket library": NotedWebSocket, "http library": NotedHttp}


class Libraries:
    """The programs of a day: one client for each library, member and retry budget."""

    def __init__(self, recording: Recording, urls: list[str], front_names: list[str], seed: int) -> None:
        self.recording, self.urls, self.front_names, self.seed = recording, urls, front_names, seed
        self.made: dict[tuple[str, str, float], Noted] = {}

    def of(self, editor: Editor) -> Noted:
        name = editor.by, editor.member, editor.retry_share
        if name not in self.made:
            kind = LIBRARIES[editor.by]
            client = self.made[name] = kind(
                [kind.form(url) for url in self.urls],
                editor.member,
                editor.retry_share,
                seed=self.seed + len(self.made),
            )
            client.watch(self.recording, self.front_names)
        return self.made[name]

    def moved(self, front: int, url: str) -> None:
        for client in self.made.values():
            client.moved(front, url)

    async def close(self) -> None:
        for client in self.made.values():
            await client.close()


class LibraryEditor:
    """One editor of such a program. Its client's own retries are all there are."""

    def __init__(
        self,
        recording: Recording,
        client: Noted,
        editor: Editor,
        name: str,
        timeouts: dict[str, tuple[float, float]],
        effects: dict[str, str],
        bytes_per_token: float,
        until: float,
    ) -> None:
        self.recording, self.client, self.editor, self.name = recording, client, editor, name
        self.timeouts, self.bytes_per_token, self.until = timeouts, bytes_per_token, until
        self.repeatable = effects[editor.workload] == "idempotent"
        self.random = random.Random(editor.seed)

    async def live(self) -> None:
        editor = self.editor
        history = text_of(editor.shared, editor.shared_tokens, self.bytes_per_token) if editor.shared else ""
        for number, turn in enumerate(editor.turns):
            if number:
                await asyncio.sleep(turn.think)
                if time.monotonic() > self.until:
                    break
            history += text_of(f"{editor.seed}:{number}", turn.tokens, self.bytes_per_token)
            answer = await self.ask(turn, history, f"{self.name}.{number}")
            if answer is None:
                break
            history += answer

    async def ask(self, turn: Turn, prompt: str, first: str) -> str | None:
        """The answer's text, or None where the editor goes."""
        editor, tokens = self.editor, len(prompt) / self.bytes_per_token
        base, more = self.timeouts[editor.workload]
        timeout = editor.timeout or base + more * tokens / 1000
        self.recording.note("client", "wants", first=first, workload=editor.workload, tokens=tokens)
        stream = self.client.stream(
            editor.workload,
            prompt,
            max_tokens=turn.answer,
            timeout=timeout,
            repeatable=self.repeatable,
            idempotency_key=first,
            prompt_cache_key=editor.shared,
            prefix_tokens=editor.shared_tokens,
        )
        task = stream.start()
        goes = min((x for x in (turn.leaves, turn.cancels) if x is not None), default=None)
        await asyncio.wait([task], timeout=goes)
        if not task.done():
            task.cancel()
            await asyncio.wait([task])
            return None
        try:
            return task.result().text
        except CompletionError:
            return ""
