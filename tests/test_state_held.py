"""What prefill left is used or released within its limit, whatever becomes of the decode attempt."""

import socket
import time
from pathlib import Path

import pytest
from raw_peers import Day, RawEngine, decode, prefill, request, run_day, until

from heathford.standin.platform import READ

LIMIT = 0.3  # s, as the stand-in's settings have it
ALLOWANCE = 0.3  # s more, as the users state
LARGE = 240_000  # bytes of a prompt: more than a decode engine's small receive buffer takes
SMALL_BUFFER = 4_096  # bytes


def deaf_decode(uid: str = "w") -> RawEngine:
    """Its machine accepts connections, and nobody reads: a large request never arrives whole."""
    engine = decode(uid)
    engine.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    return engine



@pytest.mark.parametrize("request_class", ["chat"])
def test_a_decode_attempt_that_never_arrives_does_not_hold_what_prefill_left(
    tmp_path: Path, request_class: str
) -> None:
    """Guards against a send that has not arrived and stops the clock of what prefill holds."""
    async def day(play: Day) -> None:
        reader = play.engines[0]
        client = play.client()
        client.say(request("c0", request_class=request_class, size=LARGE))
        (await reader.asked()).sock.sendall(READ)
        read_at = time.monotonic()
        await until(lambda: reader.deletes > 0, "the release")
        assert time.monotonic() - read_at <= LIMIT + ALLOWANCE
    run_day(tmp_path, day, prefill(), deaf_decode())
