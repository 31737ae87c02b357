"""Write and read recordings: what passed at the sockets, one JSON line per event, timed by one clock."""

import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import orjson


class Recording:
    """Appends events to a file. Times are seconds of the monotonic clock, which all processes share."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("wb", buffering=1 << 16)

    def note(self, at: str, what: str, **fields: Any) -> None:
        self.file.write(orjson.dumps({"t": time.monotonic(), "at": at, "what": what, **fields}) + b"\n")

    def flush(self) -> None:
        """Write out all events noted so far, for those who follow the recording."""
        self.file.flush()

    def close(self) -> None:
        self.file.close()


def follow(path: Path, pause: Callable[[], None]) -> Iterator[dict[str, Any]]:
    """Yield the events of a recording that is still being written, up to its end event.

    pause: called whenever there is nothing new. Raises ValueError for a line that isn't valid JSON.
    """
    rest = b""
    while not path.exists():
        pause()
    with path.open("rb") as file:
        while True:
            block = file.read(1 << 20)
            if not block:
                pause()
                continue
            *lines, rest = (rest + block).split(b"\n")
            for line in lines:
                try:
                    event = orjson.loads(line)
                except orjson.JSONDecodeError as error:
                    raise ValueError(f"{path}: {error}") from None
                yield event
                if event["at"] == "day" and event["what"] == "end":
                    return


def events(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the events of a recording. Raises ValueError, with the line number, at invalid JSON."""
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                yield orjson.loads(line)
            except orjson.JSONDecodeError as error:
                raise ValueError(f"{path}:{number}: {error}") from None
