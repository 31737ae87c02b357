"""A long request at an engine that reads slowly is told a deadline that is out of date when it has arrived.

What happens: the head of a request tells the engine how long the front node will wait, and leaves at once;
the last byte of a prompt of 250 kB leaves when the engine has read the rest. What the engine was told is then
more than its client has left, by as long as that took.

Why: nothing bounded the time from the first byte of an attempt to its last. What showed it: soak seed 9333,
an attempt whose bytes took 0.843 s, told 0.842 s more than was left, where 0.15 s are allowed.
"""

import asyncio
import socket
from pathlib import Path
from time import monotonic

import pytest
from raw_peers import FrontSetup, RawEngine, answer_releases, decode, prefill, request, run_scenario
from test_attempt_left_in_kernel import is_whole

from heathford.standin.platform import READ

LARGE = 250_000  # bytes of a prompt, within the 256 KiB of a body
SMALL_BUFFER = 4_096  # bytes
SLACK = 0.15  # s by which the deadline told may be more than what is left
STEP = 0.01  # s between two reads of the slow engine
STEP_BYTES = 4_000  # of one read: a prompt takes it some 0.6 s


def slow(engine: RawEngine) -> RawEngine:
    """Its receive buffer is small, and it reads in steps."""
    engine.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    return engine


@pytest.mark.parametrize("role", ["prefill", "decode"])
@pytest.mark.parametrize("request_class", ["chat", "booking"])
def test_no_attempt_arrives_long_after_its_deadline_was_told(
    tmp_path: Path, role: str, request_class: str
) -> None:
    """It is given up while its last byte is here, and has not run: another engine may have it."""
    engines = [slow(prefill()), decode()] if role == "prefill" else [prefill(), slow(decode())]
    place = 0 if role == "prefill" else 1

    async def read_in_steps(engine: RawEngine, arrivals: list[float]) -> None:
        sock, _ = await asyncio.get_running_loop().sock_accept(engine.listener)
        began, got = monotonic(), b""
        while part := await asyncio.get_running_loop().sock_recv(sock, STEP_BYTES):
            got += part
            head, end, body = got.partition(b"\r\n\r\n")
            if end and len(body) == int(head.rpartition(b"Content-Length: ")[2].split(b"\r\n")[0]):
                arrivals.append(monotonic() - began)
            await asyncio.sleep(STEP)

    async def day(play: FrontSetup) -> None:
        arrivals: list[float] = []
        play.engines[place].listener.setblocking(False)
        reading = asyncio.create_task(read_in_steps(play.engines[place], arrivals))
        client = play.client()
        client.send(request("c0", request_class=request_class, size=LARGE))
        if place:
            releases = asyncio.create_task(answer_releases(play.engines[0]))
            held = await play.engines[0].wait_for_request()
            while not is_whole(held):
                held.read_available()
                await asyncio.sleep(0.002)
            held.sock.sendall(READ)
        await asyncio.sleep(1.0)
        reading.cancel()
        if place:
            releases.cancel()
        assert not [late for late in arrivals if late > SLACK], arrivals

    run_scenario(tmp_path, day, *engines)
