"""What both clients share: a completion's tries, its text once and in order, its end."""

import asyncio
import ssl
import uuid
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any, Self

from heathford.client.answers import Aborted, BadRequest, CompletionError, Finished, NoFront, RateLimited
from heathford.client.retry import MIN_TIME_LEFT, SAID, RetryState, RetryBudget, FrontOrder, FailureKind


class AttemptError(Exception):
    """How a try came to nothing."""

    def __init__(
        self, trouble: FailureKind, why: str, retry_after: float = 0.0, said: str = "", completion: str = ""
    ) -> None:
        super().__init__(why)
        self.completion = completion  # as the front calls it, where it took one
        self.trouble, self.retry_after = trouble, retry_after
        self.said = said if said in SAID else ""  # what later versions may say is passed over


class Client(ABC):
    """addresses: of fronts, any of which may be asked; member: for whom; retry_share: tries again for each
    first try, at the most; seed: of the order of fronts and of waits, for tests; tls: for addresses that
    need it, where the system's authorities are not the ones to trust, or a certificate is to be shown."""

    def __init__(
        self,
        addresses: Sequence[str],
        member: str = "",
        retry_share: float = 0.2,
        seed: int | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        if not addresses:
            raise ValueError("addresses: at least one front is needed")
        self.addresses, self.member, self.tls = list(addresses), member, tls
        self.fronts, self.budget = FrontOrder(len(addresses), seed), RetryBudget(retry_share)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *problem: object) -> None:
        await self.close()

    def stream(
        self,
        model: str,
        prompt: str | list[int],
        *,
        max_tokens: int | None = None,
        timeout: float = 30.0,
        repeatable: bool = True,
        idempotency_key: str | None = None,
        prompt_cache_key: str = "",
        prefix_tokens: int = 0,
    ) -> "Stream":
        """A completion whose text comes as it is made. timeout: s for all tries until the first token;
        repeatable: whether running it twice does no harm. Each gets a key, if none is given."""
        params: dict[str, Any] = {"model": model, "prompt": prompt}
        params |= {"idempotency_key": idempotency_key or uuid.uuid4().hex}
        for name, value in (
            ("max_tokens", max_tokens),
            ("user", self.member),
            ("prompt_cache_key", prompt_cache_key),
            ("prefix_tokens", prefix_tokens),
        ):
            if value:
                params[name] = value
        return Stream(self, params, timeout, repeatable)

    async def complete(self, model: str, prompt: str | list[int], **more: Any) -> Finished:
        """The whole answer. Raises RateLimited, Aborted, BadRequest or NoFront."""
        stream = self.stream(model, prompt, **more)
        stream.whole = True
        return await stream.result()

    @abstractmethod
    async def once(
        self, front: int, params: dict[str, Any], timeout: float, tell: Callable[[str, str], None]
    ) -> tuple[str, str, Any]:
        """One try at one front: completion, finish reason, usage. `tell` gets completion and text as it
        comes. Raises TroubleError, or BadRequest."""

    @abstractmethod
    async def close(self) -> None: ...


class Stream:
    """An answer under way: iterate over it for text, or await its result; leaving it early cancels it."""

    def __init__(self, client: Client, params: dict[str, Any], timeout: float, repeatable: bool) -> None:
        self.client, self.params, self.timeout, self.repeatable = client, params, timeout, repeatable
        self.text = ""
        self.completion = ""
        self.tries = 0
        self.parts: asyncio.Queue[str | None] = asyncio.Queue()
        self.whole = False  # the caller sees nothing before the end
        self.skip = 0  # characters that a joined answer tells again
        self.task: asyncio.Task[Finished] | None = None

    def start(self) -> "asyncio.Task[Finished]":
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self.run())
            self.task.add_done_callback(lambda _: self.parts.put_nowait(None))
        return self.task

    async def __aenter__(self) -> Self:
        self.start()
        return self

    async def __aexit__(self, *problem: object) -> None:
        if self.task and not self.task.done():
            self.task.cancel()
            await asyncio.wait([self.task])

    async def __aiter__(self) -> AsyncIterator[str]:
        task = self.start()
        try:
            while (part := await self.parts.get()) is not None:
                yield part
            await task
        finally:
            task.cancel()

    async def result(self) -> Finished:
        return await self.start()

    def tell(self, completion: str, text: str) -> None:
        """Text of the completion that is out. One joined again is told from its start: what the caller has is
        passed over. Another completion's text can't go on where the first broke off; it can take its place
        where the caller has seen nothing."""
        if self.whole and completion != self.completion:
            self.text, self.skip = "", 0
        if self.completion and completion != self.completion and self.text:
            raise Aborted("broke off, and was begun anew elsewhere", self.text, self.tries)
        self.completion = completion
        new, self.skip = text[self.skip :], max(0, self.skip - len(text))
        if new:
            self.text += new
            self.parts.put_nowait(new)

    async def run(self) -> Finished:
        loop = asyncio.get_running_loop()
        client = self.client
        until = loop.time() + self.timeout
        attempt = RetryState(client.fronts, client.budget, until, self.repeatable, keyed=True)
        front, ran = attempt.front, False  # whether any try may have run
        turned_away: float | None = None
        while True:
            self.tries += 1
            self.skip = len(self.text)
            try:
                completion, reason, usage = await client.once(
                    front,
                    {**self.params, "attempt": self.tries},
                    max(MIN_TIME_LEFT, until - loop.time()),
                    self.tell,
                )
                client.fronts.good(front)
                return Finished(completion, self.text, reason, usage, self.tries)
            except BadRequest:
                raise
            except AttemptError as problem:
                trouble, why, wait, said = (problem.trouble, str(problem), problem.retry_after, problem.said)
            ran = ran or trouble in (FailureKind.LOST, FailureKind.ABORTED)
            turned_away = wait if trouble is FailureKind.REFUSED else turned_away
            if self.text and trouble is not FailureKind.LOST and not (self.whole and self.repeatable):
                raise Aborted(why, self.text, self.tries)
            again = attempt.after(trouble, loop.time(), wait, said)
            if again is None:
                raise self.error(trouble, why, turned_away, ran)
            await asyncio.sleep(again.wait)
            front = again.front

    def error(self, trouble: FailureKind, why: str, turned_away: float | None, ran: bool) -> CompletionError:
        """What the caller is told: that nothing has run only where no try may have, or where that does no
        harm."""
        if turned_away is not None and (not ran or (self.repeatable and trouble is FailureKind.REFUSED)):
            return RateLimited(why, turned_away, self.text, self.tries)
        if not ran:
            return NoFront(why, self.text, self.tries)
        return Aborted(why, self.text, self.tries)
