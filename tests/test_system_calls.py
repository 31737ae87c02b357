"""System calls that fail for a moment cost a moment, and are not laid at an engine's door."""

import asyncio
import errno
import socket
import time
from pathlib import Path
from typing import Any

import pytest
from raw_peers import Day, request, run_day, until

from heathford.standin.platform import GOOD, READ

FAILURES = 8
LOCAL = [errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


@pytest.mark.parametrize("number", [errno.ENFILE])
def test_a_moment_without_room_does_not_stop_accepting(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async def day(play: Day) -> None:
        left, accept = FAILURES, socket.socket.accept

        def failing(self: socket.socket) -> Any:
            nonlocal left
            if left:
                left -= 1
                raise OSError(number, "for a moment")
            return accept(self)
        monkeypatch.setattr(socket.socket, "accept", failing)
        began = time.monotonic()
        client = play.client()
        client.say(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n")
        assert await client.until(1) == [200]
        assert time.monotonic() - began < 0.5
    run_day(tmp_path, day)


