"""A blocking client: an event loop in its own thread behind ordinary calls."""

import asyncio
import threading
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Self, TypeVar

from heathford.client.answers import Finished
from heathford.client.base import Client

Value = TypeVar("Value")


class Blocking:
    """A blocking form of a client, as Blocking(lambda: WebSocketClient([...])).

    make: called in the event loop's thread, where the client also runs.
    """

    def __init__(self, make: Callable[[], Client]) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, name="heathford-client", daemon=True)
        self.thread.start()

        async def create_client() -> Client:
            return make()

        self.client = self.wait(create_client())

    def wait(self, work: Coroutine[Any, Any, Value]) -> Value:
        """Run a coroutine in the loop's thread and return its result; cancel it if interrupted."""
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        try:
            return future.result()
        except BaseException:
            future.cancel()
            raise

    def complete(self, model: str, prompt: str | list[int], **more: Any) -> Finished:
        return self.wait(self.client.complete(model, prompt, **more))

    def stream(self, model: str, prompt: str | list[int], **more: Any) -> Iterator[str]:
        """Yield the text as it is received; leaving the iteration early cancels the request."""

        async def start_stream() -> Any:
            stream = self.client.stream(model, prompt, **more)
            stream.start()
            return stream

        stream = self.wait(start_stream())
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

    def __exit__(self, *error: object) -> None:
        self.close()
