"""The blocking form of a client: a loop in a thread of its own behind ordinary calls."""

import asyncio
import threading
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Self, TypeVar

from heathford.client.answers import Finished
from heathford.client.base import Client

Value = TypeVar("Value")


class Blocking:
    """Blocking(lambda: WebSocketClient([...])): the client is made, and lives, in the loop's thread."""

    def __init__(self, make: Callable[[], Client]) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, name="heathford-client", daemon=True)
        self.thread.start()

        async def begin() -> Client:
            return make()

        self.client = self.wait(begin())

    def wait(self, work: Coroutine[Any, Any, Value]) -> Value:
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        try:
            return future.result()
        except BaseException:
            future.cancel()
            raise

    def complete(self, model: str, prompt: str | list[int], **more: Any) -> Finished:
        return self.wait(self.client.complete(model, prompt, **more))

    def stream(self, model: str, prompt: str | list[int], **more: Any) -> Iterator[str]:
        """Text as it comes; leaving it early cancels the completion."""

        async def begin() -> Any:
            stream = self.client.stream(model, prompt, **more)
            stream.start()
            return stream

        stream = self.wait(begin())
        try:
            while (part := self.wait(stream.parts.get())) is not None:
                yield part
            self.wait(stream.result())
        finally:
            self.loop.call_soon_threadsafe(stream.task.cancel)

    def close(self) -> None:
        if self.thread.is_alive():
            self.wait(self.client.close())
            self.loop.call_soon_threadsafe(self.loop.stop)
            self.thread.join()
            self.loop.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *problem: object) -> None:
        self.close()
