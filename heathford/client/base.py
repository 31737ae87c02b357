"""The part common to both clients: the attempts of a request, its text in order and once, its result."""

import asyncio
import ssl
import uuid
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any, Self

from heathford.client.answers import Aborted, BadRequest, CompletionError, Finished, NoFront, RateLimited
from heathford.client.retry import (
    MIN_TIME_LEFT,
    RETRY_GUIDANCE,
    RetryState,
    RetryBudget,
    FrontOrder,
    FailureKind,
)


class AttemptError(Exception):
    """A failed attempt.

    trouble: how it failed; retry_after: s; guidance: where the front node allows a repeat; completion: the
    front node's name for the request, if it accepted it.
    """

    def __init__(
        self,
        trouble: FailureKind,
        why: str,
        retry_after: float = 0.0,
        guidance: str = "",
        completion: str = "",
    ) -> None:
        super().__init__(why)
        self.completion = completion
        self.trouble, self.retry_after = trouble, retry_after
        # Values of later protocol versions are ignored.
        self.guidance = guidance if guidance in RETRY_GUIDANCE else ""


class Client(ABC):
    """A client of a group of front nodes.

    addresses: of the front nodes, any of which may get a request; member: the tenant that owns the requests;
    retry_share: the most retries for each new request, on average; seed: of the order of front nodes and the
    jitter of waits, for tests; tls: for TLS addresses, if other authorities than the system's are to be
    trusted or a client certificate is to be presented.

    Raises ValueError without an address.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        member: str = "",
        retry_share: float = 0.2,
        seed: int | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        if not addresses:
            raise ValueError("addresses: at least one front node address is required")
        self.addresses, self.member, self.tls = list(addresses), member, tls
        self.fronts, self.budget = FrontOrder(len(addresses), seed), RetryBudget(retry_share)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *error: object) -> None:
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
        """Return a stream of a completion's text; the request is sent once the stream is started.

        timeout: s for all attempts until the first token; repeatable: whether running the request twice is
        safe; idempotency_key: generated if none is given.
        """
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
        """Return the complete answer. Raises RateLimited, Aborted, BadRequest or NoFront."""
        stream = self.stream(model, prompt, **more)
        stream.buffered = True
        return await stream.result()

    @abstractmethod
    async def once(
        self, front: int, params: dict[str, Any], timeout: float, tell: Callable[[str, str], None]
    ) -> tuple[str, str, Any]:
        """Make one attempt at one front node; return its name for the request, finish reason and usage.

        tell: called with that name and each piece of text. Raises AttemptError or BadRequest.
        """

    @abstractmethod
    async def close(self) -> None: ...


class Stream:
    """A completion in progress: iterate over it for its text, or await its result.

    Leaving the iteration or the context early cancels the request.
    """

    def __init__(self, client: Client, params: dict[str, Any], timeout: float, repeatable: bool) -> None:
        self.client, self.params, self.timeout, self.repeatable = client, params, timeout, repeatable
        self.text = ""
        self.completion = ""
        self.tries = 0
        self.parts: asyncio.Queue[str | None] = asyncio.Queue()
        self.buffered = False  # the caller gets no text before the end
        self.skip_chars = 0  # characters that a repeat will send again
        self.task: asyncio.Task[Finished] | None = None

    def start(self) -> "asyncio.Task[Finished]":
        """Send the request unless that has been done; return the task that ends with its result."""
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self.run())
            self.task.add_done_callback(lambda _: self.parts.put_nowait(None))
        return self.task

    async def __aenter__(self) -> Self:
        self.start()
        return self

    async def __aexit__(self, *error: object) -> None:
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
        """Wait for the end and return the complete answer; raises as Client.complete does."""
        return await self.start()

    def tell(self, completion: str, text: str) -> None:
        """Receive text of the attempt in flight.

        A repeat that joins the request in progress gets the text from its start: what the caller has is
        skipped. The text of another run can't continue where the first broke off; it can only replace the
        first if the caller has seen none of it. Raises Aborted.
        """
        if self.buffered and completion != self.completion:
            self.text, self.skip_chars = "", 0
        if self.completion and completion != self.completion and self.text:
            raise Aborted("the stream was lost, and the request was started anew", self.text, self.tries)
        self.completion = completion
        new, self.skip_chars = text[self.skip_chars :], max(0, self.skip_chars - len(text))
        if new:
            self.text += new
            self.parts.put_nowait(new)

    async def run(self) -> Finished:
        """Make attempts until the request has its final answer or must not be retried."""
        loop = asyncio.get_running_loop()
        client = self.client
        until = loop.time() + self.timeout
        retry_state = RetryState(client.fronts, client.budget, until, self.repeatable, keyed=True)
        front, ran = retry_state.front, False  # whether any attempt may have run
        turned_away: float | None = None
        while True:
            self.tries += 1
            self.skip_chars = len(self.text)
            try:
                completion, reason, usage = await client.once(
                    front,
                    {**self.params, "attempt": self.tries},
                    max(MIN_TIME_LEFT, until - loop.time()),
                    self.tell,
                )
                client.fronts.record_success(front)
                return Finished(completion, self.text, reason, usage, self.tries)
            except BadRequest:
                raise
            except AttemptError as failed:
                trouble, why, wait, guidance = (
                    failed.trouble,
                    str(failed),
                    failed.retry_after,
                    failed.guidance,
                )
            ran = ran or trouble in (FailureKind.LOST, FailureKind.ABORTED)
            turned_away = wait if trouble is FailureKind.REFUSED else turned_away
            if self.text and trouble is not FailureKind.LOST and not (self.buffered and self.repeatable):
                raise Aborted(why, self.text, self.tries)
            retry = retry_state.next_attempt(trouble, loop.time(), wait, guidance)
            if retry is None:
                raise self.error(trouble, why, turned_away, ran)
            await asyncio.sleep(retry.wait)
            front = retry.front

    def error(self, trouble: FailureKind, why: str, turned_away: float | None, ran: bool) -> CompletionError:
        """Return the error for the caller.

        RateLimited and NoFront promise that a repeat is safe: they are used only if no attempt may have run,
        RateLimited also if running twice is safe.
        """
        if turned_away is not None and (not ran or (self.repeatable and trouble is FailureKind.REFUSED)):
            return RateLimited(why, turned_away, self.text, self.tries)
        if not ran:
            return NoFront(why, self.text, self.tries)
        return Aborted(why, self.text, self.tries)
